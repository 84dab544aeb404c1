"""Tests of connections to upstreams, fed with bytes and without sockets.

They guard against an upstream that sends bytes without end where no answer needs as
many: they were kept, or read for as long as they came.
"""

import pytest

from wagtailstair.clock import ManualClock
from wagtailstair.gateway import upstream_pool
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.upstream_pool import ExchangeLoss
from wagtailstair.gateway.upstream_pool import Upstream
from wagtailstair.gateway.upstream_pool import UpstreamPool

HEAD_BYTES = 64 << 10
SKIPPED_BYTES = 4 << 20
HEADERS = 1000
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = OK + b"X-Id: other\r\n"
COMPLETE = OK + b"Content-Length: 2\r\n\r\nok"
FILLER = b"f" * 1000
ENDLESS_HEADS = {
    "lines": (OK, b"X-Filler: " + FILLER + b"\r\n"),
    "one line": (OK + b"X-Filler: ", FILLER),
    "name": (OK, FILLER),
    "white space": (OK + b"X-Filler:", b" " * 1000),
    "content length": (OK + b"Content-Length: ", b"0" * 1000),
    "reason phrase": (b"HTTP/1.1 200 ", FILLER),
    "blank lines": (b"", b"\r\n" * 500),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "interim with headers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 40),
    "empty foreign": (b"", FOREIGN + b"Content-Length: 0\r\n\r\n"),
}
ENDLESS_FRAMING = {
    "chunk extension": (CHUNKED + b"5;a=", FILLER),
    "chunk size": (CHUNKED, b"0" * 1000),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-Filler: " + FILLER + b"\r\n"),
    "one trailer": (CHUNKED + b"2\r\nok\r\n0\r\nX-Filler: ", FILLER),
}
ENDLESS_FOREIGN = {
    "body": (
        FOREIGN + b"Transfer-Encoding: chunked\r\n\r\n",
        b"3e8\r\n%b\r\n" % FILLER,
    ),
    "bodies": (b"", FOREIGN + b"Content-Length: 1000\r\n\r\n" + FILLER),
    "until closed": (FOREIGN + b"\r\n", FILLER),
}


class FakeConnection:
    """A connection that records what is written and whether it was closed."""

    def __init__(self, on_data):
        self.on_data = on_data
        self.pending_bytes = 0
        self.is_open = True

    def write(self, data):
        assert self.is_open

    def close(self):
        self.is_open = False

    def pour(self, begin, part, at_most):
        """Feed bytes until the connection is closed; return how many were fed."""
        fed = 0
        if begin:
            self.on_data(begin)
            fed += len(begin)
        while self.is_open and fed < at_most:
            self.on_data(part)
            fed += len(part)
        return fed


class RecordingObserver:
    """The outcome of one exchange."""

    def __init__(self):
        self.headers = None
        self.body = b""
        self.is_complete = False
        self.losses = []

    def on_head(self, status, reason, headers):
        if (b"X-Id", b"other") in headers:
            return False
        self.headers = headers
        return True

    def on_body(self, data):
        self.body += data

    def on_complete(self):
        self.is_complete = True

    def on_lost(self, loss, reason):
        self.losses.append((loss, reason))


@pytest.fixture
def connections(monkeypatch):
    """Return the connections that were opened."""
    opened = []

    def connect(loop, address, on_data, on_lost, on_connected):
        connection = FakeConnection(on_data)
        opened.append(connection)
        on_connected()
        return connection

    monkeypatch.setattr(upstream_pool, "connect", connect)
    return opened


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def pool(clock):
    return UpstreamPool(Loop(clock))


def send(pool):
    observer = RecordingObserver()
    upstream = Upstream("127.0.0.1:1", "i-1")
    pool.send(upstream, b"GET / HTTP/1.1\r\n\r\n", observer, new_connection=False)
    return observer


class TestEndlessAnswers:
    @pytest.mark.parametrize("shape", ENDLESS_HEADS)
    def test_endless_head_is_given_up(self, pool, connections, shape):
        observer = send(pool)
        begin, part = ENDLESS_HEADS[shape]
        fed = connections[0].pour(begin, part, 4 * HEAD_BYTES)
        assert HEAD_BYTES < fed <= HEAD_BYTES + len(begin) + len(part)
        assert observer.losses == [
            (ExchangeLoss.UNKNOWN, "head or framing over 65536 bytes")
        ]
        assert not connections[0].is_open

    @pytest.mark.parametrize("shape", ENDLESS_FRAMING)
    def test_endless_framing_is_given_up(self, pool, connections, shape):
        observer = send(pool)
        begin, part = ENDLESS_FRAMING[shape]
        fed = connections[0].pour(begin, part, 4 * HEAD_BYTES)
        assert HEAD_BYTES < fed <= HEAD_BYTES + len(begin) + len(part)
        assert observer.losses == [
            (ExchangeLoss.UNKNOWN, "head or framing over 65536 bytes")
        ]
        assert not connections[0].is_open
        assert not observer.is_complete

    @pytest.mark.parametrize("shape", ENDLESS_FOREIGN)
    def test_endless_answers_to_other_requests_are_given_up(
        self, pool, connections, shape
    ):
        observer = send(pool)
        begin, part = ENDLESS_FOREIGN[shape]
        fed = connections[0].pour(begin, part, 2 * SKIPPED_BYTES)
        assert fed <= 1.1 * SKIPPED_BYTES
        assert len(observer.losses) == 1
        assert observer.losses[0][0] is ExchangeLoss.UNKNOWN
        assert not connections[0].is_open

    # Short lines take many times their bytes in memory.
    def test_many_short_header_lines_are_given_up(self, pool, connections):
        observer = send(pool)
        fed = connections[0].pour(OK, b"a:\r\n", HEAD_BYTES)
        # The parser passes a line on when the next one begins.
        assert fed <= len(OK) + 4 * (HEADERS + 2)
        assert observer.losses == [(ExchangeLoss.UNKNOWN, "over 1000 header lines")]
        assert not connections[0].is_open

    def test_many_short_header_lines_in_one_part_are_given_up(self, pool, connections):
        observer = send(pool)
        connections[0].on_data(OK + b"a:\r\n" * (HEADERS + 1) + b"\r\n")
        assert observer.headers is None
        assert observer.losses == [(ExchangeLoss.UNKNOWN, "over 1000 header lines")]

    def test_head_by_single_bytes_is_given_up(self, pool, connections):
        observer = send(pool)
        fed = connections[0].pour(OK + b"X-Filler: ", b"f", HEAD_BYTES + 1000)
        assert fed == HEAD_BYTES + 1
        assert len(observer.losses) == 1

    # The parser drops blank lines between responses without a callback, and each
    # part of them postponed the end of the idle connection.
    def test_bytes_without_a_request_close_the_connection(self, pool, connections):
        observer = send(pool)
        connections[0].on_data(COMPLETE)
        assert observer.is_complete
        assert connections[0].is_open
        connections[0].on_data(b"\r\n")
        assert not connections[0].is_open
        send(pool)
        assert len(connections) == 2


class TestValidAnswers:
    @pytest.mark.parametrize("size", [1, 7, 1 << 16])
    def test_several_interim_responses(self, pool, connections, size):
        observer = send(pool)
        hint = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + hint * 20 + COMPLETE
        for start in range(0, len(data), size):
            connections[0].on_data(data[start : start + size])
        assert (observer.body, observer.is_complete) == (b"ok", True)
        assert connections[0].is_open

    def test_long_head_with_many_lines(self, pool, connections):
        observer = send(pool)
        lines = b"".join(b"X-%d: %b\r\n" % (n, b"f" * 100) for n in range(500))
        connections[0].on_data(OK + lines + b"Content-Length: 2\r\n\r\nok")
        assert observer.is_complete
        assert len(observer.headers) == 501

    def test_long_body_in_single_byte_chunks(self, pool, connections):
        observer = send(pool)
        connections[0].on_data(CHUNKED)
        for _ in range(3 * HEAD_BYTES // 600):
            connections[0].on_data(b"1\r\nx\r\n" * 100)
        connections[0].on_data(b"0\r\n\r\n")
        assert observer.is_complete
        assert observer.losses == []

    def test_late_answer_to_another_request_is_skipped(self, pool, connections):
        observer = send(pool)
        connections[0].on_data(FOREIGN + b"Content-Length: 1000000\r\n\r\n")
        for _ in range(1000):
            connections[0].on_data(FILLER)
        connections[0].on_data(COMPLETE)
        assert (observer.body, observer.is_complete) == (b"ok", True)

    # The counts belong to one exchange, not to the connection.
    def test_many_answers_on_one_connection(self, pool, connections):
        head = OK + b"X-Filler: " + b"f" * 20_000 + b"\r\nContent-Length: 2\r\n\r\nok"
        for _ in range(10):
            observer = send(pool)
            connections[0].on_data(head)
            assert observer.is_complete
        assert len(connections) == 1
