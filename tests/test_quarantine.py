"""Which prompts are quarantined after crashes of engines."""

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailstair.core import quarantine as quarantine_module
from wagtailstair.core.quarantine import BEGUN_WEIGHT
from wagtailstair.core.quarantine import EVIDENCE_S
from wagtailstair.core.quarantine import MESSAGE_CANDIDATES
from wagtailstair.core.quarantine import SOUND_S
from wagtailstair.core.quarantine import STREAMING_WEIGHT
from wagtailstair.core.quarantine import WAITING_WEIGHT
from wagtailstair.core.quarantine import CrashSuspects
from wagtailstair.core.quarantine import PartKey
from wagtailstair.core.quarantine import Quarantine
from wagtailstair.peers.codec import DATAGRAM_BYTES_MAX
from wagtailstair.peers.codec import Datagram
from wagtailstair.peers.codec import encode

DEADLY = PartKey("engines", "dead")
POPULAR = PartKey("engines", "p1")
OTHER = PartKey("engines", "p2")
OWN = tuple(PartKey("engines", f"own{number}") for number in range(9))


def make_quarantine(*weights, now=0.0):
    """Return a quarantine after crashes of the deadly part with some weights."""
    quarantine = Quarantine()
    for engine, weight in enumerate(weights):
        quarantine.record_crash(engine, [([DEADLY], weight)], now)
    return quarantine


def crash(quarantine, engine, *requests, now=0.0, weight=BEGUN_WEIGHT):
    """Record a crash under some requests of this host."""
    quarantine.record_crash(engine, [(keys, weight) for keys in requests], now)


def groups(quarantine, now=0.0):
    return [set(group.keys) for group in quarantine.quarantined(now)]


class TestVerdict:
    def test_two_crashes_of_begun_answers_quarantine(self):
        one = make_quarantine(BEGUN_WEIGHT)
        assert not one.remaining_s([DEADLY], 0.0)
        two = make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        assert two.remaining_s([DEADLY], 0.0) == EVIDENCE_S

    def test_crashes_of_waiting_requests_weigh_half(self):
        waiting = make_quarantine(*[WAITING_WEIGHT] * 3)
        assert not waiting.quarantined(0.0)
        mixed = make_quarantine(WAITING_WEIGHT, WAITING_WEIGHT, BEGUN_WEIGHT)
        assert groups(mixed) == [{DEADLY}]

    def test_three_crashes_within_answers_quarantine(self):
        assert not make_quarantine(*[STREAMING_WEIGHT] * 2).quarantined(0.0)
        three = make_quarantine(*[STREAMING_WEIGHT] * 3)
        assert groups(three) == [{DEADLY}]

    def test_crashes_of_one_incarnation_count_once(self):
        quarantine = Quarantine()
        for _ in range(9):
            crash(quarantine, 7, [DEADLY])
        assert not quarantine.quarantined(0.0)

    def test_sound_part_is_no_suspect(self):
        quarantine = Quarantine()
        quarantine.record_sound([POPULAR], 0.0)
        for engine in range(9):
            crash(quarantine, engine, [POPULAR, DEADLY], now=1.0)
        assert groups(quarantine, 1.0) == [{DEADLY}]

    def test_part_that_was_sound_long_ago_is_a_suspect(self):
        quarantine = Quarantine()
        quarantine.record_sound([POPULAR], 0.0)
        for engine in range(2):
            crash(quarantine, engine, [POPULAR], now=SOUND_S)
        assert groups(quarantine, SOUND_S) == [{POPULAR}]

    def test_answer_clears_a_suspect(self):
        quarantine = make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        assert quarantine.record_sound([DEADLY], 1.0) == [DEADLY]
        assert not quarantine.quarantined(1.0)

    def test_quarantine_ends(self):
        quarantine = make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        assert quarantine.remaining_s([DEADLY], EVIDENCE_S - 1) == 1.0
        assert not quarantine.quarantined(EVIDENCE_S)

    def test_parts_of_services_are_apart(self):
        quarantine = make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        other = PartKey("others", DEADLY.part)
        assert not quarantine.remaining_s([other], 0.0)


class TestGroups:
    """Sound requests share parts with those that crash engines."""

    def test_request_with_some_parts_of_a_group_is_sent(self):
        quarantine = Quarantine()
        for engine in range(2):
            crash(quarantine, engine, [POPULAR, DEADLY, OWN[engine]])
        assert groups(quarantine) == [{POPULAR, DEADLY}]
        assert quarantine.remaining_s([POPULAR, DEADLY, OWN[5]], 0.0)
        assert not quarantine.remaining_s([POPULAR, OWN[5]], 0.0)

    def test_whole_answer_narrows_a_group(self):
        quarantine = Quarantine()
        for engine in range(2):
            crash(quarantine, engine, [POPULAR, DEADLY])
        quarantine.record_sound([POPULAR], 1.0)
        assert groups(quarantine, 1.0) == [{DEADLY}]
        assert quarantine.remaining_s([OTHER, DEADLY], 1.0)
        assert not quarantine.remaining_s([POPULAR], 1.0)

    def test_crash_without_a_part_narrows_a_group(self):
        quarantine = Quarantine()
        for engine in range(2):
            crash(quarantine, engine, [POPULAR, DEADLY])
        crash(quarantine, 2, [OTHER, DEADLY])
        assert groups(quarantine) == [{DEADLY}]

    def test_sound_requests_at_all_crashes_are_sent(self):
        # No answer has ended whole yet, and sound requests were at each crash.
        quarantine = Quarantine()
        for engine in range(3):
            requests = [[POPULAR, DEADLY, OWN[engine]], [POPULAR, OWN[engine + 3]]]
            crash(quarantine, engine, *requests, weight=STREAMING_WEIGHT)
        assert groups(quarantine) == [{POPULAR, DEADLY}]
        assert not quarantine.remaining_s([POPULAR, OWN[8]], 0.0)

    def test_crashes_are_explained_once(self):
        # The request beside the deadly ones explains no crash of its own.
        quarantine = Quarantine()
        for engine in range(2):
            crash(quarantine, engine, [DEADLY], [OTHER])
        crash(quarantine, 2, [DEADLY])
        assert groups(quarantine) == [{DEADLY}]

    def test_of_groups_at_as_many_crashes_the_heavier_is_quarantined(self):
        # Streams that are resumed together are at the next crash together.
        beside = PartKey("engines", "a1")
        quarantine = Quarantine()
        for engine in range(3):
            requests = [([DEADLY], BEGUN_WEIGHT), ([beside], STREAMING_WEIGHT)]
            quarantine.record_crash(engine, requests, 0.0)
        assert groups(quarantine) == [{DEADLY}]

    def test_two_deadly_parts(self):
        quarantine = Quarantine()
        for engine in range(4):
            crash(quarantine, engine, [POPULAR, DEADLY if engine % 2 else OTHER])
        quarantine.record_sound([POPULAR], 1.0)
        found = groups(quarantine, 1.0)
        assert sorted(found, key=sorted) == [{DEADLY}, {OTHER}]

    @hypothesis.given(st.data())
    def test_deadly_part_is_quarantined_within_six_crashes(self, data):
        """Whatever else the requests hold, and whatever is at the engines beside."""
        parts = [PartKey("engines", f"p{number}") for number in range(4)]
        some = st.lists(st.sampled_from(parts), max_size=4)
        quarantine = Quarantine()
        engine = 0
        for _ in range(6):
            deadly = [*data.draw(some), DEADLY]
            if quarantine.remaining_s(deadly, 0.0):
                continue
            beside = data.draw(st.lists(some, max_size=2))
            crash(quarantine, engine, deadly, *beside)
            engine += 1
        assert quarantine.remaining_s([DEADLY, *parts], 0.0)


class TestExchange:
    def test_crashes_of_two_hosts_quarantine(self):
        ours, theirs = make_quarantine(BEGUN_WEIGHT), Quarantine()
        crash(theirs, 9, [DEADLY])
        assert ours.merge(theirs.report(1.0), 1.0) == (True, [])
        assert groups(ours, 1.0) == [{DEADLY}]
        # What is known already is no news.
        assert ours.merge(theirs.report(2.0), 2.0) == (False, [])

    def test_host_that_knows_a_suspect_to_be_sound_says_so(self):
        ours, theirs = Quarantine(), make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        ours.record_sound([DEADLY], 0.0)
        assert ours.merge(theirs.report(1.0), 1.0) == (False, [DEADLY])
        assert not ours.quarantined(1.0)

    def test_answer_clears_crashes_that_become_known_later(self):
        ours, theirs = Quarantine(), make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        ours.record_sound([DEADLY], 1.0)
        now = 1.0 + 2 * SOUND_S
        assert ours.merge(theirs.report(now), now) == (False, [DEADLY])

    def test_only_the_host_of_the_request_passes_on_that_a_part_is_sound(self):
        ours, theirs = make_quarantine(BEGUN_WEIGHT), Quarantine()
        theirs.merge(ours.report(0.0), 0.0)
        assert theirs.record_sound([DEADLY], 1.0) == []
        assert ours.record_sound([DEADLY], 1.0) == [DEADLY]

    def test_old_crashes_are_ignored(self):
        ours, theirs = Quarantine(), make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        assert ours.merge(theirs.report(EVIDENCE_S - 1), 0.0)[0]
        assert groups(ours, 0.5) == [{DEADLY}]
        assert not ours.quarantined(2.0)

    @hypothesis.given(st.permutations(range(6)), st.data())
    def test_verdict_does_not_depend_on_the_order(self, order, data):
        parts = [PartKey("engines", f"p{n}") for n in range(3)]
        reports = []
        for number in range(6):
            source = Quarantine()
            keys = data.draw(st.lists(st.sampled_from(parts), max_size=3))
            weight = data.draw(st.sampled_from([BEGUN_WEIGHT, STREAMING_WEIGHT]))
            crash(source, number % 4, keys, weight=weight)
            reports.append(source.report(0.0))
        one, other = Quarantine(), Quarantine()
        for report in reports:
            one.merge(report, 0.0)
        for number in order:
            other.merge(reports[number], 0.0)
        assert one.quarantined(0.0) == other.quarantined(0.0)


class TestBounds:
    def test_least_candidates_make_room(self):
        quarantine = make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        for number in range(512):
            key = PartKey("engines", f"p{number}")
            crash(quarantine, 9, [key], now=1.0, weight=WAITING_WEIGHT)
        crash(quarantine, 9, [DEADLY], now=2.0)
        assert groups(quarantine, 2.0) == [{DEADLY}]
        (group,) = quarantine.quarantined(2.0)
        assert group.crashes == 3
        report = quarantine.report(2.0)
        assert len(report) <= MESSAGE_CANDIDATES
        assert report[0].keys == {DEADLY}

    def test_least_crashes_make_room(self):
        quarantine = make_quarantine(BEGUN_WEIGHT, BEGUN_WEIGHT)
        for number in range(512):
            key = PartKey("engines", f"p{number}")
            crash(quarantine, 9 + number, [key], now=1.0 + number)
        assert groups(quarantine, 2.0) == [{DEADLY}]
        assert len(quarantine._crash_by_engine) == quarantine_module.CRASHES_MAX

    @pytest.mark.parametrize("letters", [1, 30])
    def test_message_fits_into_a_datagram(self, letters):
        # Callers choose the number of parts and the length of their ids.
        quarantine = Quarantine()
        for engine in range(32):
            parts = [f"{engine}x{n}" + "p" * letters for n in range(34)]
            for number in range(4):
                keys = [PartKey("e" * letters, part) for part in parts[number:]]
                crash(quarantine, engine, keys)
        report = quarantine.report(0.0)
        assert report
        message = CrashSuspects(report)
        datagram = Datagram("entry-1", 1_700_000_000_000, 1, (message,))
        assert len(encode(datagram)) <= DATAGRAM_BYTES_MAX

    @pytest.mark.parametrize("requests", [16, 32])
    def test_groups_of_many_requests_are_found(self, requests):
        quarantine = Quarantine()
        parts = [PartKey("engines", f"p{number}") for number in range(12)]
        for engine in range(32):
            held = []
            for number in range(requests):
                held.append([parts[(engine * 7 + number * k) % 12] for k in range(4)])
            crash(quarantine, engine, *held, weight=STREAMING_WEIGHT)
        assert quarantine.quarantined(0.0)

    def test_oldest_sound_parts_are_forgotten(self, monkeypatch):
        monkeypatch.setattr(quarantine_module, "SOUND_MAX", 3)
        quarantine = Quarantine()
        keys = [PartKey("engines", f"p{number}") for number in range(5)]
        for number, key in enumerate(keys):
            quarantine.record_sound([key], float(number))
        assert quarantine.unproven(keys, 5.0) == keys[:2]
