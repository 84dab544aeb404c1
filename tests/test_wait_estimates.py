import collections
import random

from wagtailstair.core.engine import Priority
from wagtailstair.core.wait_estimates import ESTIMATE_DECAY_S
from wagtailstair.core.wait_estimates import WaitEstimates

STANDARD = Priority.STANDARD
CENTRES = ("a", "b", "c")


def first_choice(estimates, now, priority=STANDARD, seed=1):
    return estimates.order("a", CENTRES, priority, now, random.Random(seed))[0]


def add_wait(estimates, data_centre, seconds, now, priority=STANDARD):
    estimates.record_submission("r", data_centre, priority, now - seconds)
    estimates.record_grant("r", now)


class TestOrder:
    def test_prefers_the_own_data_centre_without_a_long_wait(self):
        estimates = WaitEstimates()
        assert first_choice(estimates, 0.0) == "a"
        add_wait(estimates, "a", 0.01, 1.0)
        assert first_choice(estimates, 1.0) == "a"
        assert sorted(
            estimates.order("a", CENTRES, STANDARD, 1.0, random.Random())
        ) == [*CENTRES]

    def test_avoids_a_data_centre_after_a_long_wait_until_the_estimate_decays(self):
        estimates = WaitEstimates()
        add_wait(estimates, "a", 1.0, 1.0)
        assert first_choice(estimates, 1.0) != "a"
        assert first_choice(estimates, 1.0, Priority.URGENT) == "a"
        assert first_choice(estimates, 1.0 + ESTIMATE_DECAY_S) == "a"

    def test_a_request_that_still_waits_counts(self):
        estimates = WaitEstimates()
        estimates.record_submission("r", "a", STANDARD, 0.0)
        assert first_choice(estimates, 0.5) != "a"
        estimates.record_withdrawal("r")
        assert first_choice(estimates, 0.5) == "a"

    def test_refusals_count_as_waits(self):
        estimates = WaitEstimates()
        estimates.record_submission("r", "a", STANDARD, 0.0)
        estimates.record_refusal("r", 0.0)
        assert first_choice(estimates, 0.0) != "a"

    def test_hosts_with_the_same_estimates_choose_different_data_centres(self):
        estimates = WaitEstimates()
        add_wait(estimates, "a", 1.0, 1.0)
        chosen = collections.Counter(
            first_choice(estimates, 1.0, seed=n) for n in range(200)
        )
        assert min(chosen["b"], chosen["c"]) > 60

    def test_returns_only_the_given_data_centres(self):
        order = WaitEstimates().order("a", ("b",), STANDARD, 0.0, random.Random(1))
        assert order == ("b",)
