"""Time-outs of the gateway's own calls, in virtual time."""

import pytest

from tests.virtual_loop import Pool
from tests.virtual_loop import VirtualLoop
from wagtailstair.core.store import Call
from wagtailstair.gateway.fetch import ANSWER_BYTES_MAX
from wagtailstair.gateway.fetch import TRANSFER_BYTES_PER_S_MIN
from wagtailstair.gateway.fetch import TRANSFER_GRACE_S
from wagtailstair.gateway.fetch import Fetch
from wagtailstair.gateway.upstream_pool import ExchangeLoss
from wagtailstair.gateway.upstream_pool import Upstream

UPSTREAM = Upstream("127.0.0.1:1", "store")
STALL_S = 1.0
PART = b"p" * TRANSFER_BYTES_PER_S_MIN


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


def send_parts(loop, pool, count, interval_s, part=PART):
    for _ in range(count):
        loop.run_until(loop.now + interval_s)
        pool.observer.on_body(part)


class TestBuffered:
    """What a call buffers counts until its end, however it ends."""

    @pytest.mark.parametrize("end", ["complete", "lost", "cancelled", "too long"])
    def test_buffered_bytes_are_counted_until_the_end(self, loop, pool, answers, end):
        fetch = start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 3, 0.1)
        assert pool.buffered == 3 * len(PART)
        if end == "complete":
            pool.observer.on_complete()
        elif end == "lost":
            pool.observer.on_lost(ExchangeLoss.UNKNOWN, "closed")
        elif end == "cancelled":
            fetch.cancel()
        else:
            pool.observer.on_body(bytes(ANSWER_BYTES_MAX))
        assert pool.buffered == 0


class TestTransfer:
    # Guards against a time-out that ends a response which is still arriving.
    def test_a_response_that_arrives_in_parts_is_not_timed_out(
        self, loop, pool, answers
    ):
        start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 9, 0.9)
        pool.observer.on_complete()
        assert [(a.status, a.body) for a in answers] == [(200, PART * 9)]
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
        assert [(a.reason, a.received) for a in answers] == [("timeout", 3 * len(PART))]

    def test_a_sender_of_a_few_bytes_at_a_time_is_timed_out(self, loop, pool, answers):
        start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 25, 0.5, b"few")
        assert [a.reason for a in answers] == ["too slow"]
        assert answers[0].took_s <= TRANSFER_GRACE_S + STALL_S
        assert pool.is_cancelled

    # Guards against a bound on the whole time, with which a large table over a slow
    # link would begin anew for ever.
    def test_a_steady_transfer_may_take_long(self, loop, pool, answers):
        start(loop, pool, answers, STALL_S)
        pool.observer.on_head(200, b"", [])
        send_parts(loop, pool, 100, 0.9)
        pool.observer.on_complete()
        assert [a.status for a in answers] == [200]

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
