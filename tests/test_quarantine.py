"""Which parts of prompts are quarantined after crashes of engines."""

import hypothesis
from hypothesis import strategies as st

from wagtailstair.core import quarantine as quarantine_module
from wagtailstair.core.quarantine import EVIDENCE_S
from wagtailstair.core.quarantine import SOUND_S
from wagtailstair.core.quarantine import SUSPECTS_MAX
from wagtailstair.core.quarantine import PartKey
from wagtailstair.core.quarantine import Quarantine

DEADLY = PartKey("engines", "dead")
POPULAR = PartKey("engines", "p1")


def make_quarantine(*crashes, now=0.0):
    """Return a quarantine after crashes of the deadly part, begun or not."""
    quarantine = Quarantine()
    for engine, has_begun in enumerate(crashes):
        quarantine.record_crash(engine, [DEADLY], now, has_begun=has_begun)
    return quarantine


class TestVerdict:
    def test_two_crashes_of_begun_answers_quarantine(self):
        assert not make_quarantine(True).remaining_s([DEADLY], 0.0)
        assert make_quarantine(True, True).remaining_s([DEADLY], 0.0) == EVIDENCE_S

    def test_crashes_of_waiting_requests_weigh_half(self):
        assert not make_quarantine(False, False, False).quarantined(0.0)
        assert make_quarantine(False, False, True).quarantined(0.0) == [DEADLY]

    def test_crashes_of_one_incarnation_count_once(self):
        quarantine = Quarantine()
        for _ in range(9):
            quarantine.record_crash(7, [DEADLY], 0.0, has_begun=True)
        assert not quarantine.quarantined(0.0)

    def test_sound_part_is_no_suspect(self):
        quarantine = Quarantine()
        quarantine.record_sound([POPULAR], 0.0)
        for engine in range(9):
            keys = [POPULAR, DEADLY]
            quarantine.record_crash(engine, keys, 1.0, has_begun=True)
        assert quarantine.quarantined(1.0) == [DEADLY]

    def test_part_that_was_sound_long_ago_is_a_suspect(self):
        quarantine = Quarantine()
        quarantine.record_sound([POPULAR], 0.0)
        for engine in range(2):
            quarantine.record_crash(engine, [POPULAR], SOUND_S, has_begun=True)
        assert quarantine.quarantined(SOUND_S) == [POPULAR]

    def test_answer_clears_a_suspect(self):
        quarantine = make_quarantine(True, True)
        assert quarantine.record_sound([DEADLY], 1.0) == [DEADLY]
        assert not quarantine.quarantined(1.0)

    def test_quarantine_ends(self):
        quarantine = make_quarantine(True, True)
        assert quarantine.remaining_s([DEADLY], EVIDENCE_S - 1) == 1.0
        assert not quarantine.quarantined(EVIDENCE_S)

    def test_parts_of_services_are_apart(self):
        other = PartKey("others", DEADLY.part)
        assert not make_quarantine(True, True).remaining_s([other], 0.0)


class TestExchange:
    def test_crashes_of_two_hosts_quarantine(self):
        ours, theirs = make_quarantine(True), Quarantine()
        theirs.record_crash(9, [DEADLY], 0.0, has_begun=True)
        changed, sound = ours.merge(theirs.report(1.0), 1.0)
        assert (changed, sound) == ([DEADLY], [])
        assert ours.quarantined(1.0) == [DEADLY]
        # What is known already is no news.
        assert ours.merge(theirs.report(2.0), 2.0) == ([], [])

    def test_host_that_knows_a_suspect_to_be_sound_says_so(self):
        ours, theirs = Quarantine(), make_quarantine(True, True)
        ours.record_sound([DEADLY], 0.0)
        assert ours.merge(theirs.report(1.0), 1.0) == ([], [DEADLY])
        assert not ours.quarantined(1.0)

    def test_only_the_host_of_the_request_passes_on_that_a_part_is_sound(self):
        ours, theirs = make_quarantine(True), Quarantine()
        theirs.merge(ours.report(0.0), 0.0)
        assert theirs.record_sound([DEADLY], 1.0) == []
        assert ours.record_sound([DEADLY], 1.0) == [DEADLY]

    def test_old_suspects_are_ignored(self):
        ours, theirs = Quarantine(), make_quarantine(True, True)
        (suspect,) = theirs.report(EVIDENCE_S - 1)
        assert ours.merge([suspect], 0.0)[0] == [DEADLY]
        assert not ours.quarantined(2.0)

    @hypothesis.given(st.permutations(range(6)), st.data())
    def test_verdict_does_not_depend_on_the_order(self, order, data):
        parts = [PartKey("engines", f"p{n}") for n in range(3)]
        reports = []
        for number in range(6):
            source = Quarantine()
            keys = data.draw(st.lists(st.sampled_from(parts), max_size=3))
            has_begun = data.draw(st.booleans())
            source.record_crash(number % 4, keys, 0.0, has_begun=has_begun)
            reports.append(source.report(0.0))
        one, other = Quarantine(), Quarantine()
        for report in reports:
            one.merge(report, 0.0)
        for number in order:
            other.merge(reports[number], 0.0)
        assert set(one.quarantined(0.0)) == set(other.quarantined(0.0))


class TestBounds:
    def test_least_suspects_make_room(self):
        quarantine = make_quarantine(True, True)
        for number in range(2 * SUSPECTS_MAX):
            key = PartKey("engines", f"p{number}")
            quarantine.record_crash(9, [key], 1.0 + number, has_begun=False)
        assert quarantine.quarantined(2.0) == [DEADLY]
        assert len(quarantine._suspect_by_key) == SUSPECTS_MAX
        report = quarantine.report(2.0)
        assert len(report) == quarantine_module.PARTS_PER_MESSAGE
        assert report[0].key == DEADLY

    def test_oldest_sound_parts_are_forgotten(self, monkeypatch):
        monkeypatch.setattr(quarantine_module, "SOUND_MAX", 3)
        quarantine = Quarantine()
        keys = [PartKey("engines", f"p{number}") for number in range(5)]
        for number, key in enumerate(keys):
            quarantine.record_sound([key], float(number))
        assert quarantine.unproven(keys, 5.0) == keys[:2]
