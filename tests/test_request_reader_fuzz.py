"""Property tests of the request parser: any bytes, split at any points.

They guard against requests whose meaning depends on how the network splits them, and
against memory that is not counted, or not freed once requests have been taken.
"""

import hypothesis
import hypothesis.strategies as st

from tests import fuzz
from wagtailstair.core.admission.client_limits import DEFAULT_LIMITS
from wagtailstair.core.directory import CallerLimits
from wagtailstair.exceptions import RequestError
from wagtailstair.gateway.requests import FIELD_BYTES
from wagtailstair.gateway.requests import REQUEST_BYTES
from wagtailstair.gateway.requests import RequestReader

PIPELINED_MAX = DEFAULT_LIMITS.pipelined_max
HEADER_BYTES = 300
BODY_BYTES = 120
LIMITS = CallerLimits(header_bytes=HEADER_BYTES, body_bytes=BODY_BYTES)
WIDE_LIMITS = CallerLimits(body_bytes=BODY_BYTES)
"""The head's limit is over what a test sends."""

FIELD_BYTES_MIN = 4
"""Bytes of the shortest field: a name of one byte, a colon, CR and LF."""

# Text of a head, and the objects of as many fields as it can have.
HEAD_HELD_PER_BYTE = 1 + FIELD_BYTES / FIELD_BYTES_MIN


def held_max(limits, read_bytes, failed):
    """Return the bound on the bytes held with reads of up to ``read_bytes``.

    At most PIPELINED_MAX complete requests and a partial one, the framing of the latter
    once more, and one read that is not parsed, as nothing is read while there is such.
    The part in which a limit is exceeded is parsed before the error is raised.
    """
    head = limits.header_bytes * HEAD_HELD_PER_BYTE
    request = REQUEST_BYTES + head + limits.body_bytes * 9 / 8
    held = (PIPELINED_MAX + 1) * request + limits.header_bytes + read_bytes
    return held + read_bytes * (1 + HEAD_HELD_PER_BYTE) if failed else held


TOKENS = st.text("aX-1", min_size=1, max_size=6).map(str.encode)
VALUES = st.text("ab ,;=", max_size=30).map(str.encode)
FIELDS = st.builds(lambda name, value: b"%b: %b\r\n" % (name, value), TOKENS, VALUES)
SHORT_FIELDS = st.integers(0, 70).map(lambda count: b"a:\r\n" * count)
FIELD_LISTS = st.one_of(
    st.just(b""),
    st.lists(FIELDS, max_size=5).map(b"".join),
    SHORT_FIELDS,
    st.integers(0, HEADER_BYTES).map(lambda count: b"a: %b\r\n" % (b"b" * count)),
)
EXTENSIONS = st.one_of(
    st.just(b""),
    st.sampled_from([b";a", b";a=b", b';a="b;c"']),
    st.integers(1, HEADER_BYTES + 50).map(lambda count: b";a=%b" % (b"b" * count)),
)
BODIES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from(
        [b"\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"0\r\n\r\n", b"\r\n" * 40]
    ),
    st.integers(BODY_BYTES - 2, BODY_BYTES + 2).map(lambda count: b"b" * count),
)
BLANKS = st.sampled_from([b"", b"", b"", b"\r\n", b"\r\n\r\n", b"\n\r\n", b"\r\n" * 60])


UNCHUNKED = ("none", "length")
FRAMINGS = (*UNCHUNKED, "chunked")


@st.composite
def requests(draw, framings):
    method = draw(st.sampled_from([b"GET", b"POST", b"PUT", b"HEAD"]))
    target = draw(st.sampled_from([b"/", b"/a?b=c", b"/" + b"t" * 150]))
    version = draw(st.sampled_from([b"1.1", b"1.1", b"1.1", b"1.0"]))
    head = b"%b %b HTTP/%b\r\nHost: x\r\n" % (method, target, version)
    head += draw(FIELD_LISTS)
    if draw(st.integers(0, 7)) == 0:
        head += b"Expect: 100-continue\r\n"
    framing = draw(st.sampled_from(framings))
    if framing == "none":
        return head + b"\r\n"
    if framing == "length":
        body = draw(BODIES)
        return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    parts = [head, b"Transfer-Encoding: chunked\r\n\r\n"]
    for body in draw(st.lists(BODIES.filter(bool), max_size=4)):
        parts.append(b"%x%b\r\n%b\r\n" % (len(body), draw(EXTENSIONS), body))
    parts += [b"0", draw(EXTENSIONS), b"\r\n", draw(FIELD_LISTS), b"\r\n"]
    return b"".join(parts)


SHORT = st.integers(1, 20).map(
    lambda count: b"GET / HTTP/1.1\r\nHost:x\r\n\r\n" * count
)


def series(framings=FRAMINGS):
    one = st.one_of(SHORT, requests(framings))
    return st.lists(one, min_size=1, max_size=5).map(b"".join)


FRAGMENTS = st.one_of(
    st.binary(min_size=1, max_size=3),
    st.sampled_from([b"\r\n", b"\n", b"\r", b"\r\n\r\n", b"\0", b" ", b":", b"0"]),
    st.sampled_from([b"Host: y\r\n", b"Content-Length: 1\r\n", b"Upgrade: a\r\n"]),
)


@st.composite
def mutated(draw, framings=FRAMINGS):
    one = st.one_of(SHORT, requests(framings), BLANKS)
    data = b"".join(draw(st.lists(one, min_size=1, max_size=6)))
    for _ in range(draw(st.integers(0, 3))):
        position = draw(st.integers(0, len(data)))
        cut = draw(st.integers(0, 3))
        fragment = draw(st.one_of(st.just(b""), FRAGMENTS))
        data = data[:position] + fragment + data[position + cut :]
    return data


READ_SIZES = st.lists(
    st.one_of(st.integers(1, 5), st.integers(1, 400)), min_size=1, max_size=8
)
TAKEN = st.lists(st.integers(0, 3), min_size=1, max_size=8)


class Taker:
    """Reads and takes requests as a connection of the gateway does."""

    def __init__(self, limits, read_bytes, keeps_bodies):
        self.limits = limits
        self.expected = 0
        self.error = None
        self.taken = []
        self.read_bytes = read_bytes
        self.reader = RequestReader(
            limits, self.on_expect, None if keeps_bodies else lambda _request: False
        )

    def on_expect(self):
        self.expected += 1

    def parse(self, data=b""):
        try:
            if data:
                self.reader.feed(data, 0.0)
            else:
                self.reader.resume()
        except RequestError as error:
            self.error = type(error)
        self.check()
        if self.error is None:
            assert self.reader.is_full or not self.reader._unparsed
            assert self.reader.complete_requests or not self.reader.is_full

    def take(self):
        request = self.reader.take_request()
        self.check()
        self.taken.append(
            (
                request.method,
                request.target,
                request.host,
                request.headers,
                bytes(request.body),
                request.keeps_alive,
                request.is_body_dropped,
                request.held_bytes,
            )
        )
        if self.error is None:
            self.parse()

    def check(self):
        reader = self.reader
        is_failed = self.error is not None
        bound = held_max(self.limits, self.read_bytes, is_failed)
        assert 0 <= reader.held_bytes <= bound
        assert len(reader.complete_requests) <= PIPELINED_MAX

    def take_all(self):
        while self.reader.complete_requests:
            self.take()

    def read(self, data, sizes, counts):
        """Read all data, a part at a time, and take some requests after each part."""
        start = number = 0
        while start < len(data) and self.error is None:
            if self.reader.is_full:
                self.take()
                continue
            size = sizes[number % len(sizes)]
            self.parse(data[start : start + size])
            start += size
            for _ in range(counts[number % len(counts)]):
                if self.reader.complete_requests:
                    self.take()
            number += 1
        self.take_all()

    @property
    def outcome(self):
        return self.taken, self.error, self.expected, self.reader.is_between_requests


def read_in(limits, data, sizes, counts, keeps_bodies=True):
    taker = Taker(limits, max(sizes), keeps_bodies)
    taker.read(data, sizes, counts)
    return taker


def check_splits(limits, data, sizes, counts, keeps_bodies=True):
    whole = read_in(limits, data, [max(1, len(data))], [0], keeps_bodies)
    split = read_in(limits, data, sizes, counts, keeps_bodies)
    assert split.outcome == whole.outcome
    for taker in (whole, split):
        taker.reader.drop()
        assert taker.reader.held_bytes == 0


LONG_EXTENSION = (
    b"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0;%b\r\n\r\n" % (b"a" * (HEADER_BYTES - 4))
)
"""The smallest such request that is accepted in one read only."""


class TestSplits:
    """A proxy and the gateway could see different requests in the same bytes."""

    @fuzz.seeded_test(examples=500)
    @hypothesis.given(mutated(), READ_SIZES, TAKEN, st.booleans())
    def test_any_bytes(self, data, sizes, counts, keeps_bodies):
        check_splits(WIDE_LIMITS, data, sizes, counts, keeps_bodies)

    # The limit counted other bytes of a head when it came in one piece.
    @fuzz.seeded_test(examples=300)
    @hypothesis.given(mutated(UNCHUNKED), READ_SIZES, TAKEN)
    def test_any_bytes_at_the_limit_of_a_head(self, data, sizes, counts):
        check_splits(LIMITS, data, sizes, counts)

    # The bytes after the last part of a body in a read don't count.
    @fuzz.seeded_test(examples=300)
    @hypothesis.given(mutated(), READ_SIZES, TAKEN)
    @hypothesis.example(LONG_EXTENSION, [1], [0])
    def test_any_bytes_at_the_limit_of_framing(self, data, sizes, counts):
        check_splits(LIMITS, data, sizes, counts)


class TestMemory:
    # Bytes of a request that was taken stayed in the total.
    @fuzz.seeded_test(examples=300)
    @hypothesis.given(series(), READ_SIZES, TAKEN)
    def test_nothing_is_held_once_all_is_taken(self, data, sizes, counts):
        taker = read_in(LIMITS, data, sizes, counts)
        if taker.error is None:
            assert taker.reader.held_bytes == 0
            assert taker.reader.is_between_requests
            assert not taker.reader.is_ahead
