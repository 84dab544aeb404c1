import random

from wagtailstair.core.retry import RetryBudget
from wagtailstair.core.retry import backoff_s
from wagtailstair.core.retry import retry_pause_s


class TestBudget:
    def test_retries_are_a_tenth_of_the_traffic(self):
        budget = RetryBudget(share=0.1, reserve=3.0)
        retries = 0
        for number in range(10_000):
            now = number / 100
            budget.count_attempt(now)
            retries += budget.take(now)
        # Without traffic of its own the reserve comes back in 10 s.
        assert 900 <= retries <= 1_000 + 3 + 3 * 10

    def test_a_quiet_hour_does_not_pay_for_a_storm(self):
        budget = RetryBudget(share=0.1, reserve=3.0)
        for number in range(1_000):
            budget.count_attempt(number / 1_000)
        assert sum(budget.take(3_600.0) for _ in range(100)) == 3


class TestPause:
    def test_full_jitter_below_a_cap(self):
        rng = random.Random(1)
        pauses = [backoff_s(attempt, rng) for attempt in range(40) for _ in range(50)]
        assert max(pauses) <= 2.0
        assert min(pauses) < 0.01
        assert max(backoff_s(0, rng) for _ in range(100)) <= 0.05

    def test_no_retry_beyond_the_deadline_and_no_charge_for_it(self):
        budget = RetryBudget(reserve=1.0)
        rng = random.Random(1)
        assert retry_pause_s(0, 0.0, 0.5, budget, rng, least_s=1.0) is None
        assert retry_pause_s(0, 0.0, 9.0, budget, rng) is not None
        assert retry_pause_s(0, 0.0, 9.0, budget, rng) is None
