"""Property tests of a caller's connection: any bytes over a pair of sockets.

They guard against bytes that raise within the gateway, that leave a caller without an
answer, or that start a request twice.
"""

import contextlib
import itertools
import re
import socket

import hypothesis
import hypothesis.strategies as st

from tests import fuzz
from tests.test_request_reader_fuzz import READ_SIZES
from tests.test_request_reader_fuzz import WIDE_LIMITS
from tests.test_request_reader_fuzz import mutated
from tests.test_request_reader_fuzz import read_in
from wagtailstair.clock import SystemClock
from wagtailstair.gateway.caller import Caller
from wagtailstair.gateway.loop import Loop

STATUS = re.compile(rb"HTTP/1\.1 (\d{3}) ")
ANSWERS_TIMEOUT_S = 5.0
EXTRA_TURNS = 3
"""Turns of the loop after the last answer, in which another one would be noticed."""


class FakeServer:
    """Answers each request at once, or in the next turn of the loop."""

    is_draining = False

    def __init__(self, loop, is_deferred):
        self.loop = loop
        self.is_deferred = is_deferred
        self.started = []
        self.is_closed = False

    def caller_limits(self):
        return WIDE_LIMITS

    def start(self, caller, request):
        self.started.append((request.method, request.target, bytes(request.body)))
        if self.is_deferred:
            self.loop.call_later(0.0, lambda: caller.answer(200, b"", (), b""))
        else:
            caller.answer(200, b"", (), b"")

    def on_caller_closed(self, _caller):
        self.is_closed = True

    def on_caller_finished(self, _caller):
        pass


def tcp_pair():
    """Return two connected sockets; a Unix pair lacks the options of TCP."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def exchange(data, sizes, is_deferred, answers):
    """Send bytes, and read until there are so many answers; return what came."""
    loop = Loop(SystemClock())
    server = FakeServer(loop, is_deferred)
    errors = []
    loop._call = lambda handler, *arguments: call(errors, handler, arguments)
    near, far = tcp_pair()
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    near.setblocking(False)
    received = bytearray()
    unsent = [data[start:end] for start, end in spans(len(data), sizes)]
    ends_at = loop.now + ANSWERS_TIMEOUT_S
    turns_left = EXTRA_TURNS

    def turn():
        nonlocal turns_left
        with contextlib.suppress(OSError):
            received.extend(near.recv(1 << 16))
        if unsent:
            with contextlib.suppress(OSError):
                near.send(unsent.pop(0))
        elif len(final_statuses(received)) >= answers or loop.now > ends_at:
            turns_left -= 1
        if turns_left:
            loop.call_later(0.0, turn)
        else:
            loop.stop()

    caller = Caller(server, far)
    loop.call_later(0.0, turn)
    loop.run()
    is_closed = server.is_closed
    caller.close()
    near.close()
    loop._epoll.close()
    assert not errors
    return server.started, bytes(received), is_closed


def spans(length, sizes):
    """Return the begin and the end of each part."""
    found = []
    start = 0
    sizes = itertools.cycle(sizes)
    while start < length:
        end = start + next(sizes)
        found.append((start, end))
        start = end
    return found


def final_statuses(received):
    statuses = [int(status) for status in STATUS.findall(received)]
    return [status for status in statuses if status != 100]


def call(errors, handler, arguments):
    try:
        handler(*arguments)
    except Exception as error:
        errors.append(error)


class TestCaller:
    @fuzz.seeded_test(examples=150)
    @hypothesis.given(
        st.one_of(mutated(), st.binary(max_size=400)), READ_SIZES, st.booleans()
    )
    def test_any_bytes(self, data, sizes, is_deferred):
        expected = read_in(WIDE_LIMITS, data, sizes, [9])
        served = []
        error = expected.error
        for method, target, _, _, body, keeps_alive, *_ in expected.taken:
            served.append((method, target, body))
            if not keeps_alive:
                error = None
                break
        statuses = [200] * len(served)
        if error is not None:
            statuses.append(error.http_status)
            assert 400 <= error.http_status < 500
        started, received, is_closed = exchange(
            data, [size * 8 for size in sizes], is_deferred, len(statuses)
        )
        assert started == served
        assert final_statuses(received) == statuses
        if error is not None:
            assert b"Connection: close" in received.rpartition(b"HTTP/1.1")[2]
            assert is_closed
