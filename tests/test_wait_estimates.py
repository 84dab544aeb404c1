import collections
import random

from wagtailstair.core.engine import Priority
from wagtailstair.core.wait_estimates import ESTIMATE_DECAY_S
from wagtailstair.core.wait_estimates import WaitEstimates

STANDARD = Priority.STANDARD
CENTRES = ("a", "b", "c")


def first(waits, now, priority=STANDARD, seed=1):
    return waits.order("a", CENTRES, priority, now, random.Random(seed))[0]


def wait_in(waits, data_centre, seconds, now, priority=STANDARD):
    waits.submitted("r", data_centre, priority, now - seconds)
    waits.granted("r", now)


class TestOrder:
    def test_stays_at_home_without_cause(self):
        waits = WaitEstimates()
        assert first(waits, 0.0) == "a"
        wait_in(waits, "a", 0.01, 1.0)
        assert first(waits, 1.0) == "a"
        assert sorted(waits.order("a", CENTRES, STANDARD, 1.0, random.Random())) == [
            *CENTRES
        ]

    def test_leaves_where_it_has_waited_and_tries_again_later(self):
        waits = WaitEstimates()
        wait_in(waits, "a", 1.0, 1.0)
        assert first(waits, 1.0) != "a"
        assert first(waits, 1.0, Priority.URGENT) == "a"
        assert first(waits, 1.0 + ESTIMATE_DECAY_S) == "a"

    def test_a_request_that_still_waits_tells_as_well(self):
        waits = WaitEstimates()
        waits.submitted("r", "a", STANDARD, 0.0)
        assert first(waits, 0.5) != "a"
        waits.withdrawn("r")
        assert first(waits, 0.5) == "a"

    def test_refusals_count_as_waits(self):
        waits = WaitEstimates()
        waits.submitted("r", "a", STANDARD, 0.0)
        waits.refused("r", 0.0)
        assert first(waits, 0.0) != "a"

    def test_hosts_with_the_same_news_do_not_all_go_to_one_place(self):
        waits = WaitEstimates()
        wait_in(waits, "a", 1.0, 1.0)
        chosen = collections.Counter(first(waits, 1.0, seed=n) for n in range(200))
        assert min(chosen["b"], chosen["c"]) > 60

    def test_goes_to_no_data_centre_that_is_not_offered(self):
        order = WaitEstimates().order("a", ("b",), STANDARD, 0.0, random.Random(1))
        assert order == ("b",)
