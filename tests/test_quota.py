from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailstair.core.quota import Allowed
from wagtailstair.core.quota import Limited
from wagtailstair.core.quota import Quota
from wagtailstair.core.quota import QuotaLimits
from wagtailstair.core.quota import local_share

LIMITS = QuotaLimits(work_per_s=10.0, burst_s=2.0, max_concurrent=3)
MANY = QuotaLimits(work_per_s=10.0, burst_s=2.0, max_concurrent=10_000)


class TestRate:
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(st.floats(0, 0.5), st.floats(0.1, 15)), min_size=1, max_size=80
        )
    )
    def test_allows_no_more_than_the_rate_and_the_burst(self, arrivals):
        quota = Quota()
        now = allowed = 0.0
        for number, (pause_s, work) in enumerate(arrivals):
            now += pause_s
            answer = quota.charge("a", str(number), "h", work, MANY, now)
            if isinstance(answer, Allowed):
                allowed += work
        assert allowed <= 10.0 * now + 20.0 + 1e-6

    def test_retry_is_allowed_after_retry_after(self):
        quota = Quota()
        quota.charge("a", "1", "h", 20.0, MANY, 0.0)
        answer = quota.charge("a", "2", "h", 5.0, MANY, 0.0)
        assert answer == Limited("rate", 0.5)
        assert isinstance(quota.charge("a", "2", "h", 5.0, MANY, 0.49), Limited)
        assert isinstance(quota.charge("a", "2", "h", 5.0, MANY, 0.51), Allowed)

    def test_work_beyond_the_burst_is_allowed_and_lowers_the_level_below_zero(self):
        quota = Quota()
        assert isinstance(quota.charge("a", "1", "h", 50.0, MANY, 0.0), Allowed)
        answer = quota.charge("a", "2", "h", 1.0, MANY, 0.0)
        assert answer == Limited("rate", 3.1)

    def test_settling_returns_unused_work_once(self):
        quota = Quota()
        quota.charge("a", "1", "h", 20.0, MANY, 0.0)
        quota.settle("a", "1", 4.0, 0.0)
        quota.settle("a", "1", 0.0, 0.0)
        assert isinstance(quota.charge("a", "2", "h", 16.0, MANY, 0.0), Allowed)
        assert isinstance(quota.charge("a", "3", "h", 1.0, MANY, 0.0), Limited)

    def test_a_repeated_charge_costs_nothing(self):
        quota = Quota()
        for _ in range(3):
            assert isinstance(quota.charge("a", "1", "h", 20.0, MANY, 0.0), Allowed)
        assert isinstance(quota.charge("a", "2", "h", 10.0, MANY, 1.0), Allowed)


class TestConcurrency:
    def test_is_limited_and_freed_by_settling(self):
        quota = Quota()
        for name in "123":
            quota.charge("a", name, "h", 0.1, LIMITS, 0.0)
        answer = quota.charge("a", "4", "h", 0.1, LIMITS, 0.0)
        assert answer.limit == "concurrency"
        quota.settle("a", "1", 0.1, 0.0)
        assert isinstance(quota.charge("a", "4", "h", 0.1, LIMITS, 0.0), Allowed)

    def test_a_lost_host_frees_only_its_own_requests(self):
        quota = Quota()
        quota.charge("a", "1", "h1", 0.1, LIMITS, 0.0)
        quota.charge("a", "2", "h2", 0.1, LIMITS, 0.0)
        quota.close_host("h1", 1.0)
        assert quota.open_requests("a") == 1
        quota.settle("a", "2", 0.1, 1.0)
        assert quota.open_requests("a") == 0

    def test_a_new_owner_counts_adopted_requests(self):
        quota = Quota()
        for name in "123":
            quota.adopt("a", name, "h", 0.1, LIMITS, 0.0)
        assert isinstance(quota.charge("a", "4", "h", 0.1, LIMITS, 0.0), Limited)


class TestLocalShare:
    def test_shares_of_all_hosts_add_up_to_the_plan(self):
        for hosts in range(1, 40):
            share = local_share(MANY, hosts)
            assert share.work_per_s * hosts <= MANY.work_per_s + 1e-9
            assert share.max_concurrent * hosts <= MANY.max_concurrent + hosts
            assert share.max_concurrent >= 1


class TestMemory:
    def test_idle_accounts_are_dropped(self):
        quota = Quota()
        for number in range(1_000):
            name = str(number)
            quota.charge(name, name, "h", 1.0, LIMITS, float(number))
            quota.settle(name, name, 1.0, float(number))
        assert len(quota) < 200
