"""Callers who were refused for want of room and come back as they were told.

Where new requests go first, a caller that came back is refused again, mostly for good:
most callers try only once more, and at another host than before.
"""

import random

from tests import test_shared_order
from tests.test_shared_order import TOKENS
from wagtailstair.core.admission.returning import EARLY_S
from wagtailstair.core.admission.returning import ENTRIES_MAX
from wagtailstair.core.admission.returning import MESSAGE_ENTRIES
from wagtailstair.core.admission.returning import RETURN_WINDOW_S
from wagtailstair.core.admission.returning import UNSENT_S
from wagtailstair.core.admission.returning import RefusedRequest
from wagtailstair.core.admission.returning import ReturningRequests

WAIT_S = 0.5
RETURNED_WAIT_S = 1.0
REMAINING_S = 20.0


class TestEntries:
    def test_request_is_returning_from_the_time_that_it_was_told(self):
        returning = ReturningRequests()
        returning.record_refusal(7, 0.5, 10.0)
        assert not returning.take(8, 10.6)
        assert not returning.take(7, 10.4)
        assert returning.take(7, 10.5 - EARLY_S / 2)
        assert not returning.take(7, 10.6)

    def test_request_that_comes_late_is_new(self):
        returning = ReturningRequests()
        returning.record_refusal(7, 0.5, 10.0)
        assert not returning.take(7, 10.6 + RETURN_WINDOW_S)

    def test_entries_are_bounded(self):
        returning = ReturningRequests()
        for digest in range(2 * ENTRIES_MAX):
            returning.record_refusal(digest, 0.0, 1.0)
        assert len(returning) == ENTRIES_MAX
        assert not returning.take(0, 1.0)
        assert returning.take(2 * ENTRIES_MAX - 1, 1.0)

    def test_other_hosts_are_told_in_parts(self):
        here, there = ReturningRequests(), ReturningRequests()
        for digest in range(MESSAGE_ENTRIES + 3):
            here.record_refusal(digest, 0.5, 1.0)
        first = here.take_unsent(1.25)
        assert len(first) == MESSAGE_ENTRIES
        assert first[0] == RefusedRequest(0, 250)
        there.receive(first, 1.25)
        assert not there.take(0, 1.4)
        assert there.take(0, 1.5)
        assert len(here.take_unsent(1.5)) == 3
        assert not here.has_unsent(1.5)

    def test_old_refusals_are_not_told(self):
        returning = ReturningRequests()
        returning.record_refusal(7, 0.5, 1.0)
        assert returning.take_unsent(1.1 + UNSENT_S) == ()

    def test_nothing_is_kept_when_it_is_switched_off(self):
        returning = ReturningRequests()
        returning.record_refusal(7, 0.0, 1.0)
        returning.set_enabled(is_enabled=False)
        returning.record_refusal(8, 0.0, 1.0)
        returning.receive([RefusedRequest(9, 0)], 1.0)
        assert not any(returning.take(digest, 1.0) for digest in (7, 8, 9))
        assert not returning.has_unsent(1.0)


class Stream(test_shared_order.Stream):
    """A stream whose caller comes back once after a refusal, at any host."""

    def __init__(self, hosts, number, account, rank, digest):
        self.hosts = hosts
        super().__init__(hosts.engines, hosts.waiting[number], account, rank, digest)
        self.digest = digest
        self.refusals = 0
        self.is_returning = False

    def send(self, wait_s=WAIT_S):
        queue, now = self.waiting.queue, self.engines.loop.now
        self.is_returning = queue.returning.take(self.digest, now)
        must_wait = queue.has_waiting(self.rank)
        must_wait = must_wait or queue.holds_back_new(self.rank, TOKENS, now)
        if not must_wait and self.engines.start():
            self.record()
            return self
        deadline = now + (RETURNED_WAIT_S if self.is_returning else wait_s)
        self.waiting.add(
            self,
            self.account,
            self.rank,
            TOKENS,
            deadline,
            is_returning=self.is_returning,
        )
        return self

    def record(self):
        self.started_at = now = self.engines.loop.now
        self.waiting.queue.record_start(now, TOKENS, self.rank, self.account)

    def refuse_waiting(self, reason):
        self.refusals += 1
        queue, now = self.waiting.queue, self.engines.loop.now
        return_s = queue.return_s(now, REMAINING_S)
        queue.returning.record_refusal(self.digest, return_s, now)
        if self.refusals == 1:
            self.engines.loop.call_later(return_s, self.come_back)

    def come_back(self):
        self.waiting = self.hosts.rng.choice(self.hosts.waiting)
        self.send()


class Hosts(test_shared_order.Hosts):
    """Hosts with callers that come back."""

    def __init__(self, count, *, is_first, seed, places=4):
        super().__init__(count, places=places)
        self.rng = random.Random(seed)
        self.digests = 0
        for waiting in self.waiting:
            waiting.queue.returning.set_enabled(is_enabled=is_first)

    def load(self, account, rank, per_s, until, streams=None):
        """Send streams of an account at random hosts; return the list of them."""
        streams = [] if streams is None else streams

        def send():
            self.digests += 1
            number = self.rng.randrange(len(self.waiting))
            stream = Stream(self, number, account, rank, self.digests)
            streams.append(stream)
            stream.send()
            if self.loop.now < until:
                self.loop.call_later(self.rng.expovariate(per_s), send)

        self.loop.call_later(0.0, send)
        return streams


def play(*, is_first, seed, cut=(), seconds=24.0):
    """Return the streams of each account; a burst of three seconds comes every eight.

    The engines start twenty streams a second; in a burst twice as many come, else half.
    """
    hosts = Hosts(5, is_first=is_first, seed=seed)
    hosts.cut = set(cut)
    streams_by_account = {
        "large": hosts.load("large", 0, 6.0, seconds),
        "small": hosts.load("small", 0, 2.0, seconds),
        "late": hosts.load("late", 2, 4.0, seconds),
    }
    for begin in (2.0, 10.0, 18.0):
        for account, rank, per_s in (("large", 0, 20.0), ("late", 2, 10.0)):
            streams = streams_by_account[account]
            hosts.loop.call_at(
                begin,
                lambda a=account, r=rank, p=per_s, e=begin + 3.0, s=streams: hosts.load(
                    a, r, p, e, s
                ),
            )
    hosts.loop.run_until(seconds + 12.0)
    return streams_by_account


def count_lost(streams):
    return sum(stream.refusals > 1 for stream in streams)


SEEDS = [1, 2, 3, 4, 5, 6]


class TestLoad:
    """Bursts of twice the work that engines take, at five hosts, in two ranks."""

    def test_fewer_urgent_callers_are_refused_twice(self):
        with_part = without = 0
        for seed in SEEDS:
            with_part += count_lost(play(is_first=True, seed=seed)["large"])
            without += count_lost(play(is_first=False, seed=seed)["large"])
        assert with_part < 0.6 * without
