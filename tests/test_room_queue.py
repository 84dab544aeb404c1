"""Patterns of load on a host whose engines have no room for all requests.

Each test names the callers that a plain queue, polled by every request, would leave
waiting or send back together: requests were served by rank and arrival alone, and all
refused callers were asked to return after the same 0.3 s.
"""

import random

import pytest

from tests.virtual_loop import VirtualLoop
from wagtailstair.core.room_queue import QUEUE_LENGTH
from wagtailstair.core.room_queue import RETURN_MAX_S
from wagtailstair.core.room_queue import RoomQueue
from wagtailstair.core.room_queue import make_item
from wagtailstair.gateway.waiting_streams import CHECK_INTERVAL_S
from wagtailstair.gateway.waiting_streams import WaitingStreams


class Engines:
    """Room for some requests at once, each of which runs for a while."""

    def __init__(self, loop, places, run_s):
        self.loop = loop
        self.free = places
        self.run_s = run_s
        self.asked = 0

    def start(self):
        self.asked += 1
        if not self.free:
            return False
        self.free -= 1
        self.loop.call_later(self.run_s, self.end)
        return True

    def end(self):
        self.free += 1


class Stream:
    def __init__(self, engines, waiting, account, rank, number):
        self.engines = engines
        self.waiting = waiting
        self.account = account
        self.rank = rank
        self.number = number
        self.queue_key = ""
        self.started_at = None
        self.refused = ""
        self.refused_at = None
        self.sent_at = engines.loop.now

    def send(self, wait_s=1.0):
        must_wait = self.waiting.queue.has_waiting(self.rank)
        if not must_wait and self.engines.start():
            self.record()
            return self
        self.waiting.add(
            self, self.account, self.rank, 1000.0, self.engines.loop.now + wait_s
        )
        return self

    def start_queued(self):
        if not self.engines.start():
            return False
        self.record()
        return True

    def record(self):
        self.started_at = self.engines.loop.now
        self.waiting.queue.record_start(self.started_at, 1000.0)

    def refuse_waiting(self, reason):
        self.refused = reason
        self.refused_at = self.engines.loop.now


@pytest.fixture
def loop():
    return VirtualLoop()


@pytest.fixture
def waiting(loop):
    return WaitingStreams(loop, random.Random(1))


@pytest.fixture
def engines(loop):
    """Twenty requests a second."""
    return Engines(loop, places=4, run_s=0.2)


@pytest.fixture
def flood(loop, engines, waiting):
    """Send requests of an account at a rate; return the list that they are added to."""

    def begin(account, rank, per_s, until, wait_s=1.0):
        streams = []

        def send():
            streams.append(
                Stream(engines, waiting, account, rank, len(streams)).send(wait_s)
            )
            if loop.now < until:
                loop.call_later(1 / per_s, send)

        loop.call_later(0.0, send)
        return streams

    return begin


def served(streams):
    return sum(stream.started_at is not None for stream in streams)


def waits(streams):
    return [s.started_at - s.sent_at for s in streams if s.started_at is not None]


class TestFloods:
    def test_flood_of_the_least_urgent_leaves_urgent_requests_first(self, loop, flood):
        batch = flood("batch", 2, per_s=100, until=6.0)
        urgent = flood("shop", 0, per_s=10, until=6.0)
        loop.run_until(8.0)
        assert served(urgent) == len(urgent)
        assert max(waits(urgent)) <= 0.2 + 2 * CHECK_INTERVAL_S
        assert served(batch) > 0

    def test_flood_of_the_most_urgent_leaves_each_rank_its_minimum(self, loop, flood):
        urgent = flood("shop", 0, per_s=100, until=6.0)
        standard = flood("desk", 1, per_s=10, until=6.0)
        loop.run_until(8.0)
        # A quarter of what is started at that time: 20 a second.
        assert served(standard) >= 0.2 * 20 * 6
        assert served(urgent) > served(standard)

    def test_hot_account_does_not_crowd_out_small_ones(self, loop, flood):
        hot = flood("hot", 0, per_s=100, until=6.0)
        small = [flood(f"small-{n}", 0, per_s=2, until=6.0) for n in range(4)]
        loop.run_until(8.0)
        for streams in small:
            assert served(streams) >= 0.9 * len(streams)
        assert served(hot) > 0


class TestEarlyRefusal:
    def test_what_can_not_be_served_in_time_is_refused_at_once(self, loop, flood):
        streams = flood("shop", 0, per_s=100, until=6.0)
        loop.run_until(8.0)
        late = [s for s in streams if s.refused and s.sent_at > 2.0]
        held = [s.refused_at - s.sent_at for s in late]
        assert len(late) > 100
        assert sorted(held)[int(0.9 * len(held))] <= CHECK_INTERVAL_S

    def test_engines_are_asked_for_the_next_of_each_rank_only(
        self, loop, engines, flood
    ):
        # Each waiting request asked for itself: ten of them took most of a small
        # host's processor.
        engines.free = 0
        for rank in range(3):
            flood("shop", rank, per_s=30, until=1.0, wait_s=10.0)
        loop.run_until(1.2)
        engines.asked = 0
        loop.run_until(2.2)
        assert engines.asked <= 3 * (1 / CHECK_INTERVAL_S + 1)

    def test_number_of_waiting_requests_is_limited(self, engines, waiting):
        engines.free = 0
        streams = []
        for number in range(QUEUE_LENGTH + 50):
            streams.append(Stream(engines, waiting, "shop", 0, number).send())
        assert len(waiting.queue) <= QUEUE_LENGTH
        refused = [stream for stream in streams if stream.refused]
        assert len(refused) >= 50
        assert {stream.refused for stream in refused} == {"queue full"}


class TestReturns:
    def test_refused_callers_do_not_come_back_together(self):
        queue = RoomQueue(random.Random(1))
        for number in range(20):
            queue.record_start(number / 10, 1000.0)
        delays = [queue.return_s(2.0, 20.0) for _ in range(30)]
        for begin in range(int(RETURN_MAX_S)):
            returning = [d for d in delays if begin <= d < begin + 1]
            # Ten requests start each second.
            assert len(returning) <= 15
        assert max(delays) <= RETURN_MAX_S

    def test_callers_are_spread_where_nothing_starts(self):
        queue = RoomQueue(random.Random(1))
        delays = [queue.return_s(2.0, 20.0) for _ in range(100)]
        assert max(delays) - min(delays) > 0.2

    def test_a_caller_with_little_time_is_asked_to_come_back_in_time(self):
        queue = RoomQueue(random.Random(1))
        for _ in range(50):
            assert queue.return_s(2.0, 1.0) <= 0.25


class TestWaiting:
    def test_request_that_has_ended_no_longer_waits(self, loop, engines, waiting):
        engines.free = 0
        stream = Stream(engines, waiting, "shop", 0, 0).send()
        waiting.discard(stream.queue_key)
        engines.free = 1
        loop.run_until(3.0)
        assert stream.started_at is None
        assert not stream.refused
        assert len(waiting.queue) == 0

    def test_rank_outside_the_known_ones_counts_as_the_nearest(self):
        assert make_item("1", "", 7, 10.0, 1.0).priority == 2
        assert make_item("1", "", -1, 10.0, 1.0).priority == 0
