"""The division of an upstream's limit among the hosts, in virtual time."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailstair.core.rate_limits import FORGET_S
from wagtailstair.core.rate_limits import RateLimits

UPSTREAM = ("i-1", 1000)
WINDOW_S = 4.0
STEP_S = 0.05


def make_hosts(count):
    names = tuple(f"entry-{number}" for number in range(count))
    return names, [RateLimits(name, random.Random(1)) for name in names]


def send_all(hosts, names, seconds, start=0.0):
    """Let each host send whenever it may; return the times of all requests."""
    times = []
    now = start
    while now < start + seconds:
        for limits in hosts:
            while UPSTREAM not in limits.exhausted(names, now):
                limits.take(UPSTREAM, now)
                times.append(now)
        now += STEP_S
    return times


def most_in_window(times):
    most = 0
    for index, first in enumerate(times):
        count = sum(1 for time in times[index:] if time < first + WINDOW_S)
        most = max(most, count)
    return most


class TestDivision:
    @hypothesis.settings(max_examples=30)
    @hypothesis.given(
        st.integers(1, 60), st.floats(0.2, 40.0, allow_nan=False), st.integers(0, 9)
    )
    def test_hosts_together_send_what_the_users_rule_allows(self, count, limit, seed):
        names, hosts = make_hosts(count)
        for number, limits in enumerate(hosts):
            limits.set_limit(UPSTREAM, limit, names, (number * 7 + seed) % 10 * STEP_S)
        times = send_all(hosts, names, 10.0, 0.5)
        assert most_in_window(times) <= 1.5 * limit * WINDOW_S + 5

    @pytest.mark.parametrize(("count", "limit"), [(6, 8.0), (8, 4.0), (64, 20.0)])
    def test_hosts_together_use_most_of_a_limit(self, count, limit):
        names, hosts = make_hosts(count)
        for limits in hosts:
            limits.set_limit(UPSTREAM, limit, names, 0.0)
        assert len(send_all(hosts, names, 20.0)) >= 0.9 * 20.0 * limit

    def test_parts_change_with_the_live_hosts(self):
        names, hosts = make_hosts(6)
        for limits in hosts:
            limits.set_limit(UPSTREAM, 12.0, names, 0.0)
        send_all(hosts, names, 2.0)
        left = names[:3]
        times = send_all(hosts[:3], left, 10.0, 2.0)
        assert len(times) >= 0.9 * 10.0 * 12.0
        assert most_in_window(times) <= 1.5 * 12.0 * WINDOW_S + 5

    def test_limit_of_zero_closes_an_upstream(self):
        names, hosts = make_hosts(2)
        for limits in hosts:
            limits.set_limit(UPSTREAM, 0.0, names, 0.0)
        # A host may send once more before it knows, but not again and again.
        assert len(send_all(hosts, names, 20.0)) <= 2


class TestChanges:
    def test_repeated_limit_does_not_fill_the_bucket(self):
        names, (limits,) = make_hosts(1)
        assert limits.set_limit(UPSTREAM, 2.0, names, 0.0)
        limits.take(UPSTREAM, 0.0)
        assert not limits.set_limit(UPSTREAM, 2.0, names, 0.0)
        assert limits.exhausted(names, 0.1) == {UPSTREAM}

    def test_lower_limit_applies_at_once(self):
        names, (limits,) = make_hosts(1)
        limits.set_limit(UPSTREAM, 100.0, names, 0.0)
        limits.set_limit(UPSTREAM, 1.0, names, 0.0)
        assert len(send_all([limits], names, 4.0)) <= 6

    def test_limit_ends_with_an_answer_without_one(self):
        names, (limits,) = make_hosts(1)
        limits.set_limit(UPSTREAM, 0.1, names, 0.0)
        limits.take(UPSTREAM, 0.0)
        assert limits.set_limit(UPSTREAM, None, names, 1.0)
        assert limits.limit(UPSTREAM) is None
        assert not limits.exhausted(names, 1.0)

    def test_limit_that_is_not_named_again_is_forgotten(self):
        names, (limits,) = make_hosts(1)
        limits.set_limit(UPSTREAM, 0.0, names, 0.0)
        assert UPSTREAM in limits.exhausted(names, FORGET_S)
        assert not limits.exhausted(names, 2 * FORGET_S)

    def test_gone_upstreams_are_dropped(self):
        names, (limits,) = make_hosts(1)
        limits.set_limit(UPSTREAM, 1.0, names, 0.0)
        limits.drop_gone({("i-1", 2000)})
        assert limits.limit(UPSTREAM) is None
