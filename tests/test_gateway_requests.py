import random

import pytest

from wagtailstair.core.admission.client_limits import DEFAULT_LIMITS
from wagtailstair.core.directory import CallerLimits
from wagtailstair.exceptions import InvalidRequestError
from wagtailstair.exceptions import RequestError
from wagtailstair.exceptions import RequestTooLargeError
from wagtailstair.gateway.requests import HeadersTooLargeError
from wagtailstair.gateway.requests import RequestReader

HEAD = b"POST /a/b?c=d HTTP/1.1\r\nHost: Desk.example:80\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = CallerLimits(header_bytes=1000, body_bytes=100)


def read(data, limits=LIMITS):
    reader = RequestReader(limits, lambda: None)
    reader.feed(data, 1.0)
    return reader


def read_in_parts(data, size):
    reader = RequestReader(LIMITS, lambda: None)
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size], 0.0)
    return reader


class TestCompleteRequests:
    def test_request_is_split_into_its_parts(self):
        (request,) = read(
            HEAD + b"X-A: b\r\nContent-Length: 3\r\n\r\nabc"
        ).complete_requests
        assert request.method == b"POST"
        assert request.target == b"/a/b?c=d"
        assert request.path == "/a/b"
        assert request.host == "desk.example"
        assert bytes(request.body) == b"abc"
        assert request.header(b"x-a") == b"b"
        assert request.keeps_alive

    def test_split_position_does_not_change_the_request(self):
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        for split in range(len(data)):
            reader = RequestReader(LIMITS, lambda: None)
            reader.feed(data[:split], 0.0)
            reader.feed(data[split:], 0.0)
            (request,) = reader.complete_requests
            assert bytes(request.body) == b"abc"

    def test_pipelined_requests_stay_in_order(self):
        one = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
        two = b"GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        reader = read(one + two)
        assert [request.path for request in reader.complete_requests] == ["/1", "/2"]
        assert [request.keeps_alive for request in reader.complete_requests] == [
            True,
            False,
        ]

    def test_trailers_are_not_headers(self):
        data = b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Evil: 1\r\n\r\n"
        (request,) = read(HEAD + data).complete_requests
        assert request.header(b"x-evil") == b""

    def test_expect_callback_is_called_once(self):
        calls = []
        reader = RequestReader(LIMITS, lambda: calls.append(1))
        reader.feed(HEAD + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n", 0.0)
        assert calls == [1]
        reader.feed(b"a", 0.0)
        assert len(reader.complete_requests) == 1


AMBIGUOUS = {
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "same length twice": b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "a list of lengths": b"Content-Length: 3, 3\r\n\r\nabc",
    "length with a sign": b"Content-Length: +3\r\n\r\nabc",
    "length and chunks": (
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "chunks and length": (
        b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"
    ),
    "chunked twice": (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "another encoding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "unknown encoding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "bare line feed": b"X-A: b\nContent-Length: 0\r\n\r\n",
    "bare line feed at the end": b"Content-Length: 0\r\n\n",
    "folded header": b"X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
    "space before the colon": b"Content-Length : 0\r\n\r\n",
    "carriage return in a value": b"X-A: b\rc\r\n\r\n",
    "zero byte in a value": b"X-A: b\0c\r\n\r\n",
    "second host": b"Host: other\r\n\r\n",
    "bare line feed in a chunk": (
        b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n"
    ),
    "chunk size overflow": (
        b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n"
    ),
    "upgrade": b"Connection: upgrade\r\nUpgrade: foo\r\n\r\nGET / HTTP/1.1\r\n\r\n",
}


class TestAmbiguousRequests:
    @pytest.mark.parametrize("tail", AMBIGUOUS.values(), ids=AMBIGUOUS.keys())
    def test_ambiguous_head_or_body_is_rejected(self, tail):
        with pytest.raises(InvalidRequestError):
            read(HEAD + tail)

    @pytest.mark.parametrize(
        "line",
        [
            b"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
            b"GET / HTTP/2.0\r\nHost: x\r\n\r\n",
            b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost:\r\n\r\n",
            b"FOO\r\n\r\n",
            b"GET / HTTP/1.1\nHost: x\n\n",
        ],
    )
    def test_invalid_request_line_or_host_is_rejected(self, line):
        with pytest.raises(RequestError):
            read(line)


SHORT_HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"


class TestLimits:
    def test_too_long_head_is_rejected(self):
        with pytest.raises(HeadersTooLargeError):
            read(HEAD + b"X-A: " + b"b" * 1000 + b"\r\n\r\n")

    def test_unfinished_head_is_rejected_at_the_limit(self):
        reader = RequestReader(LIMITS, lambda: None)
        reader.feed(HEAD, 0.0)
        for _ in range(18):
            reader.feed(b"x" * 50, 0.0)
        with pytest.raises(HeadersTooLargeError):
            reader.feed(b"x" * 100, 0.0)

    # Only the head and the body were counted: a trailer was kept without a limit.
    @pytest.mark.parametrize(
        ("begin", "part"),
        [
            (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n"),
            (CHUNKED + b"2\r\nok\r\n0\r\nX-A: ", b"b" * 10),
            (CHUNKED + b"2;a=", b"b" * 10),
            (CHUNKED, b"0" * 10),
            (b"", b"\r\n" * 5),
            (HEAD + b"Content-Length: 2\r\n\r\nok", b"\r\n" * 5),
        ],
        ids=["trailers", "trailer", "extension", "size", "blank", "blank after"],
    )
    def test_endless_framing_is_rejected(self, begin, part):
        reader = RequestReader(LIMITS, lambda: None)
        if begin:
            reader.feed(begin, 0.0)
        for _ in range((LIMITS.header_bytes - len(begin)) // len(part)):
            reader.feed(part, 0.0)
        with pytest.raises(HeadersTooLargeError):
            reader.feed(part * (1 + len(begin) // len(part)) * 2, 0.0)

    # In one part, the bytes beside target and fields were not counted, and a malformed
    # byte behind the limit was found before it.
    @pytest.mark.parametrize("size", [1, 7, 999, 1001, 5000])
    @pytest.mark.parametrize(
        "data",
        [
            SHORT_HEAD + b"A: %b\r\n\r\n" % (b"b" * (1001 - len(SHORT_HEAD) - 7)),
            b"\r\n" * 490 + SHORT_HEAD + b"\r\n",
            SHORT_HEAD + b"A: %b\0" % (b"b" * 1000),
        ],
        ids=["request line", "blank lines", "malformed behind it"],
    )
    def test_head_over_the_limit_is_rejected_however_it_is_split(self, data, size):
        with pytest.raises(HeadersTooLargeError):
            read_in_parts(data, size)

    # Nothing was left of a limit that had become lower, and parsing did not go on.
    def test_blank_lines_over_a_lower_limit_are_rejected(self):
        reader = RequestReader(LIMITS, lambda: None)
        reader.feed(b"\r\n" * 200, 0.0)
        reader.set_limits(CallerLimits(header_bytes=100))
        with pytest.raises(HeadersTooLargeError):
            reader.feed(SHORT_HEAD, 0.0)

    # Bytes of the next request counted if the empty line was cut in two.
    @pytest.mark.parametrize("size", [1, 7, 997, 998, 999, 1000, 5000])
    def test_head_at_the_limit_is_accepted_however_it_is_split(self, size):
        data = SHORT_HEAD + b"A: %b\r\n\r\n" % (b"b" * (1000 - len(SHORT_HEAD) - 7))
        data += SHORT_HEAD + b"\r\n"
        assert len(read_in_parts(data, size).complete_requests) == 2

    # The bytes of the body before it were counted as part of the next head.
    @pytest.mark.parametrize("split", [0, 1, 20, 90, 140])
    def test_head_after_a_long_body_in_one_part(self, split):
        limits = CallerLimits(header_bytes=100, body_bytes=5000)
        data = HEAD + b"Content-Length: 2000\r\n\r\n" + b"b" * 2000 + HEAD[:split]
        reader = read(data, limits)
        reader.feed(HEAD[split:] + b"\r\n", 1.0)
        assert len(reader.complete_requests) == 2

    def test_long_body_in_single_byte_chunks_is_read(self):
        reader = RequestReader(
            CallerLimits(header_bytes=1000, body_bytes=5000), lambda: None
        )
        reader.feed(CHUNKED, 0.0)
        for _ in range(50):
            reader.feed(b"1\r\nx\r\n" * 100, 0.0)
        reader.feed(b"0\r\n\r\n", 0.0)
        (request,) = reader.complete_requests
        assert bytes(request.body) == b"x" * 5000

    def test_too_long_body_is_rejected_by_its_length(self):
        with pytest.raises(RequestTooLargeError):
            read(HEAD + b"Content-Length: 101\r\n\r\n")

    def test_too_long_chunked_body_is_rejected(self):
        data = b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101 + b"\r\n"
        with pytest.raises(RequestTooLargeError):
            read(HEAD + data)


SHORT = b"GET /%d HTTP/1.1\r\nHost:x\r\n\r\n"


def make_pipeline(rng, count):
    """Return the bytes of requests of all kinds of framing, and their bodies."""
    parts = []
    bodies = []
    for _ in range(count):
        body = rng.choice([b"", b"a", b"\r\n\r\n", b"GET /\r\n\r\n" * 9, EMPTY_LINES])
        head = HEAD.replace(b"POST", rng.choice([b"POST", b"PUT"]))
        if not body and rng.random() < 0.7:
            parts.append(rng.choice([SHORT % 1, b"\r\n" + SHORT % 2]))
        elif rng.random() < 0.5:
            parts.append(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        else:
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            end = rng.choice([b"0\r\n\r\n", b"0\r\nX-A: b\r\n\r\n"])
            parts.append(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + end)
        bodies.append(body)
    return b"".join(parts), bodies


EMPTY_LINES = b"\r\n\r\n" * 50


PIPELINED_MAX = [4, DEFAULT_LIMITS.pipelined_max, 64]
"""The lowest, the default and the highest limit of the settings."""


class TestPipelining:
    # All requests of a read were parsed at once, 2,000 of them, before any was served.
    # The bytes that are kept may get lost, or come in another order.
    # With a limit below what one part can hold, the rest would never be parsed.
    @pytest.mark.parametrize("pipelined_max", PIPELINED_MAX)
    @pytest.mark.parametrize("seed", range(60))
    def test_few_requests_are_parsed_ahead_and_none_is_lost(self, seed, pipelined_max):
        rng = random.Random(seed)
        data, bodies = make_pipeline(rng, 200)
        reader = RequestReader(
            CallerLimits(), lambda: None, pipelined_max=pipelined_max
        )
        read = []
        while data or reader.complete_requests:
            if data and not reader.is_full:
                size = rng.choice([1, 7, 90, 5000])
                reader.feed(data[:size], 0.0)
                data = data[size:]
            else:
                read.append(bytes(reader.take_request().body))
                reader.resume()
            assert len(reader.complete_requests) <= pipelined_max
        assert read == bodies
        assert reader.held_bytes == 0

    @pytest.mark.parametrize("pipelined_max", PIPELINED_MAX)
    def test_all_bytes_at_once(self, pipelined_max):
        reader = RequestReader(
            CallerLimits(), lambda: None, pipelined_max=pipelined_max
        )
        reader.feed(b"".join(SHORT % n for n in range(2000)), 0.0)
        # The last part may hold two, so that one less is parsed.
        assert len(reader.complete_requests) >= pipelined_max - 1
        for number in range(2000):
            assert len(reader.complete_requests) <= pipelined_max
            assert reader.take_request().path == f"/{number}"
            reader.resume()
        assert reader.is_between_requests


class TestMemory:
    def test_fields_count_with_their_objects(self):
        data = HEAD + b"a:b\r\n" * 3000
        reader = RequestReader(CallerLimits(), lambda: None)
        reader.feed(data, 0.0)
        assert reader.held_bytes > 3000 * 150
        reader.drop()
        assert reader.held_bytes == 0

    # A body was kept until its end although the request is answered without it.
    @pytest.mark.parametrize("is_chunked", [False, True])
    def test_body_without_use_is_not_kept(self, is_chunked):
        heads = []

        def wants_body(request):
            heads.append(request.path)
            return False

        limits = CallerLimits(header_bytes=1000, body_bytes=1 << 20)
        reader = RequestReader(limits, lambda: None, wants_body)
        framing = b"Content-Length: 1000000\r\n\r\n"
        reader.feed(CHUNKED if is_chunked else HEAD + framing, 0.0)
        for _ in range(100):
            part = b"x" * 10_000
            reader.feed(b"2710\r\n%b\r\n" % part if is_chunked else part, 0.0)
            assert reader.held_bytes < 5000
        if is_chunked:
            reader.feed(b"0\r\n\r\n", 0.0)
        (request,) = reader.complete_requests
        assert request.is_body_dropped
        assert not request.body
        assert heads == ["/a/b"]

    def test_body_without_use_is_limited(self):
        reader = RequestReader(LIMITS, lambda: None, lambda _request: False)
        with pytest.raises(RequestTooLargeError):
            reader.feed(CHUNKED + b"65\r\n" + b"a" * 101 + b"\r\n", 0.0)
