"""How long an upstream that asked for a pause gets nothing, and what it gets then."""

import random

import pytest

from wagtailstair.core.pauses import PAUSE_MAX_S
from wagtailstair.core.pauses import RETURN_SPREAD_S
from wagtailstair.core.pauses import RETURN_STEPS
from wagtailstair.core.pauses import STEP_S
from wagtailstair.core.pauses import Pauses

UPSTREAM = ("i-1", 1000)


class NoSpread(random.Random):
    def random(self):
        return 0.0


def make_pauses():
    return Pauses(NoSpread())


def count_sent(pauses, begin, end):
    """Send whenever it is allowed; return how often."""
    sent = 0
    now = begin
    while now < end:
        if UPSTREAM not in pauses.closed(now):
            pauses.take(UPSTREAM, now)
            sent += 1
        now += 0.01
    return sent


class TestPauses:
    def test_nothing_is_sent_within_a_pause(self):
        pauses = make_pauses()
        pauses.begin(UPSTREAM, 3.0, 0.0)
        assert count_sent(pauses, 0.0, 2.99) == 0
        assert pauses.remaining_s(UPSTREAM, 1.0) == 2.0

    def test_load_doubles_in_each_step_after_it(self):
        pauses = make_pauses()
        pauses.begin(UPSTREAM, 1.0, 0.0)
        sent = []
        for step in range(4):
            begin = 1.0 + step * STEP_S
            sent.append(count_sent(pauses, begin, begin + STEP_S - 0.005))
        assert sent == [1, 2, 4, 8]
        assert not pauses.closed(1.0 + RETURN_STEPS * STEP_S)

    def test_later_refusal_extends_a_pause_and_earlier_one_does_not_end_it(self):
        pauses = make_pauses()
        pauses.begin(UPSTREAM, 3.0, 0.0)
        pauses.begin(UPSTREAM, 1.0, 1.0)
        assert pauses.remaining_s(UPSTREAM, 1.0) == 2.0
        pauses.begin(UPSTREAM, 5.0, 2.0)
        assert pauses.remaining_s(UPSTREAM, 2.0) == 5.0

    @pytest.mark.parametrize("seconds", [1e6, 1e300])
    def test_pause_of_days_is_bounded(self, seconds):
        pauses = make_pauses()
        assert pauses.begin(UPSTREAM, seconds, 0.0) == PAUSE_MAX_S
        assert pauses.remaining_s(UPSTREAM, 0.0) == PAUSE_MAX_S

    def test_pause_ends_with_the_incarnation(self):
        pauses = make_pauses()
        pauses.begin(UPSTREAM, 3.0, 0.0)
        pauses.drop_gone({("i-1", 2000)})
        assert not pauses.closed(0.0)

    def test_hosts_return_one_after_the_other(self):
        rng = random.Random(1)
        first_sent = set()
        for _ in range(50):
            pauses = Pauses(rng)
            pauses.begin(UPSTREAM, 1.0, 0.0)
            now = 1.0
            while UPSTREAM in pauses.closed(now):
                now += 0.01
            first_sent.add(round(now, 2))
        assert max(first_sent) <= 1.0 + RETURN_SPREAD_S + 0.02
        assert len(first_sent) > 20
