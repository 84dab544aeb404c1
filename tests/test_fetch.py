"""Time-outs of the gateway's own calls, in virtual time."""

import heapq
import itertools

import pytest

from wagtailstair.core.store import Call
from wagtailstair.gateway.fetch import TRANSFER_TIMEOUT_S
from wagtailstair.gateway.fetch import Fetch
from wagtailstair.gateway.loop import Timer
from wagtailstair.gateway.upstream_pool import Upstream

UPSTREAM = Upstream("127.0.0.1:1", "store")
STALL_S = 1.0


class VirtualLoop:
    """Timers in virtual time."""

    def __init__(self):
        self.now = 0.0
        self._timers = []
        self._order = itertools.count()

    def call_at(self, when, callback):
        timer = Timer(when, callback)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def call_later(self, delay_s, callback):
        return self.call_at(self.now + delay_s, callback)

    def run_until(self, end):
        while self._timers and self._timers[0][0] <= end:
            self.now, _, timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                timer.callback()
        self.now = end


class Pool:
    """Hands out one connection, and keeps its observer."""

    def __init__(self):
        self.observer = None
        self.is_cancelled = False

    def send(self, _upstream, _data, observer, *, new_connection):
        self.observer = observer
        return self

    def cancel(self):
        self.is_cancelled = True


@pytest.fixture
def loop():
    return VirtualLoop()


@pytest.fixture
def pool():
    return Pool()


@pytest.fixture
def answers():
    return []


def start(loop, pool, answers, stall_s):
    call = Call("GET", "/")
    return Fetch(loop, pool, UPSTREAM, call, 1.5, answers.append, stall_s=stall_s)


def send_parts(loop, pool, count, interval_s):
    for _ in range(count):
        loop.run_until(loop.now + interval_s)
        pool.observer.on_body(b"part")


class TestTransfer:
    # Guards against a time-out that ends a response which is still arriving.
    def test_a_response_that_arrives_in_parts_is_not_timed_out(
        self, loop, pool, answers
    ):
        start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 9, 0.9)
        pool.observer.on_complete()
        assert [(a.status, a.body) for a in answers] == [(200, b"part" * 9)]
        assert answers[0].took_s == pytest.approx(8.1)

    def test_a_response_that_does_not_begin_is_timed_out(self, loop, pool, answers):
        start(loop, pool, answers, STALL_S)
        loop.run_until(1.4)
        assert not answers
        loop.run_until(1.6)
        assert [a.reason for a in answers] == ["timeout"]
        assert pool.is_cancelled

    def test_a_response_that_stops_arriving_is_timed_out(self, loop, pool, answers):
        start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 3, 0.5)
        loop.run_until(1.5 + STALL_S - 0.1)
        assert not answers
        loop.run_until(1.5 + STALL_S + 0.1)
        assert [(a.reason, a.received) for a in answers] == [("timeout", 12)]

    def test_a_sender_of_a_few_bytes_at_a_time_is_timed_out(self, loop, pool, answers):
        start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 25, 0.5)
        assert [a.reason for a in answers] == ["timeout"]
        assert answers[0].took_s == pytest.approx(TRANSFER_TIMEOUT_S)

    def test_without_stall_time_the_whole_response_is_timed(self, loop, pool, answers):
        start(loop, pool, answers, None)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 2, 0.7)
        loop.run_until(1.6)
        assert [a.reason for a in answers] == ["timeout"]

    def test_a_cancelled_call_has_no_answer(self, loop, pool, answers):
        fetch = start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        fetch.cancel()
        loop.run_until(20.0)
        assert not answers
        assert pool.is_cancelled
