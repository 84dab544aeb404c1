"""Parser of callers' requests; ambiguous ones are errors, against smuggling."""

import dataclasses
import typing as t

import httptools

from ..core.admission.client_limits import DEFAULT_LIMITS
from ..core.directory import CallerLimits
from ..exceptions import InvalidRequestError
from ..exceptions import RequestError
from ..exceptions import RequestTooLargeError

Header = tuple[bytes, bytes]

SEPARATOR_BYTES = 4  # colon, space, CR and LF
HEADERS_TOO_LARGE = 431

SLICE_REQUESTS_MAX = 2
"""Requests that may end in a part that ends with the first empty line: one whose own
empty line was cut in two, and the next."""

CHUNKED_SLICE_BYTES = 64
"""Bytes of a chunked body that are parsed at least at a time: a body of nothing but
empty lines is not parsed four bytes at a time."""

CHUNKED_SLICE_REQUESTS_MAX = 4
"""Requests that may end in such a part: the shortest one takes 26 bytes."""

FIELD_BYTES = 200
"""Bytes that a header field takes beside its text: two bytes objects and a tuple."""

REQUEST_BYTES = 1000
"""Bytes of the objects of a request beside its target, fields and body."""

GROWTH_SHARE = 1 / 8
"""Share of a body that its growing buffer allocates ahead."""

CHUNKED = -1
"""Length of a body that is not known in advance."""

EMPTY_LINE = b"\r\n\r\n"


class HeadersTooLargeError(RequestTooLargeError):
    """The head of a request exceeds the limit."""

    code = "headers_too_large"
    http_status = HEADERS_TOO_LARGE


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request; ``target`` and ``headers`` are as the caller sent them.

    ``received_at``: the time at which its first byte was read; ``held_bytes``: its
    memory; ``is_body_dropped``: whether its body was not kept, as it was of no use.
    """

    method: bytes
    target: bytes
    host: str
    headers: list[Header]
    body: bytearray
    keeps_alive: bool
    received_at: float
    held_bytes: int = 0
    is_body_dropped: bool = False

    @property
    def path(self) -> str:
        """Return the target without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""

    def header_list(self, name: bytes) -> bytes:
        """Return the values of all lines of a header whose value is a list."""
        values = [value for key, value in self.headers if key.lower() == name]
        return b",".join(values)


class RequestReader:
    """Splits a connection's bytes into requests.

    :param on_expect: called when a caller waits for a 100 Continue response.
    :param wants_body: called with a request whose head is complete and whose body
        follows; the body is dropped unless it returns ``True``.
    :param pipelined_max: complete requests that are kept; further bytes stay unparsed.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_body_left",
        "_complete_bytes",
        "_error",
        "_head_bytes",
        "_headers",
        "_host",
        "_in_head",
        "_keeps_body",
        "_limits",
        "_now",
        "_on_expect",
        "_overhead_bytes",
        "_parser",
        "_pipelined_max",
        "_started_at",
        "_tail",
        "_target",
        "_unparsed",
        "_wants_body",
        "complete_requests",
    )

    def __init__(
        self,
        limits: CallerLimits,
        on_expect: t.Callable[[], None],
        wants_body: t.Callable[[Request], bool] | None = None,
        pipelined_max: int = DEFAULT_LIMITS.pipelined_max,
    ) -> None:
        self._limits = limits
        self._pipelined_max = pipelined_max
        self._on_expect = on_expect
        self._wants_body = wants_body
        self._unparsed = b""
        self._complete_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self.complete_requests: list[Request] = []
        self._error: RequestError | None = None
        self._now = 0.0
        # Bytes since the last part of a body or the last end of a request.
        self._overhead_bytes = 0
        # The last bytes parsed, as an empty line may be cut in two.
        self._tail = b""
        self._reset()
        self._in_head = False

    @property
    def is_between_requests(self) -> bool:
        """Return whether no request is partly received."""
        return not self._in_head and not self._headers

    @property
    def is_full(self) -> bool:
        """Return whether requests have to be taken before more bytes are read."""
        in_chunks = not self._in_head and self._body_left == CHUNKED
        ahead = CHUNKED_SLICE_REQUESTS_MAX if in_chunks else SLICE_REQUESTS_MAX
        return len(self.complete_requests) + ahead > self._pipelined_max

    @property
    def is_ahead(self) -> bool:
        """Return whether there are requests, or bytes of one, that are not taken."""
        return bool(self.complete_requests or self._unparsed)

    @property
    def head_started_at(self) -> float | None:
        """Return when the first byte of an incomplete head was read."""
        return self._started_at if self._in_head else None

    @property
    def held_bytes(self) -> int:
        """Return the memory of all requests that are not taken, in bytes."""
        held = self._complete_bytes + self._overhead_bytes + len(self._unparsed)
        if self.is_between_requests:
            return held
        return held + self._request_bytes()

    def set_limits(self, limits: CallerLimits) -> None:
        """Change the limits, between two requests."""
        self._limits = limits

    def take_request(self) -> Request:
        """Return and remove the first complete request."""
        request = self.complete_requests.pop(0)
        self._complete_bytes -= request.held_bytes
        return request

    def drop(self) -> None:
        """Free the memory of all requests; nothing may be parsed afterwards."""
        self._unparsed = b""
        self.complete_requests.clear()
        self._complete_bytes = 0
        self._overhead_bytes = 0
        self._in_head = False
        self._reset()

    def feed(self, data: bytes, now: float) -> None:
        """Parse bytes and add complete requests to ``complete_requests``.

        What is left when these are ``pipelined_max`` is kept for :meth:`resume`.

        :raises RequestError: if the bytes are not a valid request.
        """
        self._now = now
        self._unparsed = self._unparsed + data if self._unparsed else data
        self.resume()

    def resume(self) -> None:
        """Parse the bytes that were kept, after requests have been taken.

        :raises RequestError: if the bytes are not a valid request.
        """
        data, self._unparsed = self._unparsed, b""
        start = 0
        while start < len(data):
            if self.is_full:
                self._unparsed = data[start:]
                return
            end = self._slice_end(data, start)
            self._parse(data[start:end])
            start = end

    def _slice_end(self, data: bytes, start: int) -> int:
        """Return the end of a part in which only few requests can end."""
        if not self._in_head and self._body_left > 0:
            return min(start + self._body_left, len(data))
        if not self._in_head and self._body_left == CHUNKED:
            found = data.find(EMPTY_LINE, start + CHUNKED_SLICE_BYTES)
            return len(data) if found < 0 else found + len(EMPTY_LINE)
        # The limit is checked at the same byte however the bytes are split.
        left = self._limits.header_bytes - self._overhead_bytes
        # Less may be left than none, if the limit is lower than for the request before.
        limit = min(start + max(0, left) + 1, len(data))
        joined = self._tail + data[start : start + len(EMPTY_LINE) - 1]
        found = joined.find(EMPTY_LINE)
        if found >= 0:
            return min(limit, start + found + len(EMPTY_LINE) - len(self._tail))
        found = data.find(EMPTY_LINE, start, limit)
        return limit if found < 0 else found + len(EMPTY_LINE)

    def _parse(self, data: bytes) -> None:
        self._overhead_bytes += len(data)
        self._tail = (self._tail + data[1 - len(EMPTY_LINE) :])[1 - len(EMPTY_LINE) :]
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise InvalidRequestError("expected no protocol upgrade") from error
        except httptools.HttpParserError as error:
            raise self._error or InvalidRequestError(str(error)) from error
        self._check_overhead()

    def _check_overhead(self) -> None:
        if self._overhead_bytes > self._limits.header_bytes:
            self._error = HeadersTooLargeError(
                f"head or framing over {self._limits.header_bytes} bytes"
            )
            raise self._error

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset()
        self._in_head = True
        self._started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Store a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which follow the body, are dropped."""
        if not self._in_head:
            return
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + FIELD_BYTES

    def on_headers_complete(self) -> None:
        """Validate the head."""
        self._check_overhead()
        self._in_head = False
        self._overhead_bytes = 0
        error = self._check_head()
        if error is not None:
            self._error = error
            raise error
        if self._body_left and self._wants_body is not None:
            self._keeps_body = self._wants_body(self._make_request())

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._overhead_bytes = 0
        self._body_bytes += len(data)
        if self._body_left > 0:
            self._body_left -= len(data)
        if self._keeps_body:
            self._body += data
        if self._body_bytes > self._limits.body_bytes:
            self._error = RequestTooLargeError(
                f"body over {self._limits.body_bytes} bytes"
            )
            raise self._error

    def on_message_complete(self) -> None:
        """Add the request to the complete ones."""
        request = self._make_request()
        self._reset()
        self._overhead_bytes = 0
        self.complete_requests.append(request)
        self._complete_bytes += request.held_bytes

    def _make_request(self) -> Request:
        return Request(
            self._parser.get_method(),
            self._target,
            self._host,
            self._headers,
            self._body,
            self._parser.should_keep_alive(),
            self._started_at,
            self._request_bytes(),
            self._body_bytes > 0 and not self._keeps_body,
        )

    def _request_bytes(self) -> int:
        body_bytes = int(len(self._body) * (1 + GROWTH_SHARE))
        return REQUEST_BYTES + len(self._target) + self._head_bytes + body_bytes

    def _reset(self) -> None:
        self._head_bytes = 0
        self._body_bytes = 0
        self._body_left = 0
        self._keeps_body = True
        self._target = b""
        self._headers: list[Header] = []
        self._host = ""
        self._body = bytearray()
        self._started_at = 0.0

    def _header_values(self, lower_name: bytes) -> list[bytes]:
        return [value for name, value in self._headers if name.lower() == lower_name]

    def _check_head(self) -> RequestError | None:
        size = len(self._target)
        for name, value in self._headers:
            size += len(name) + len(value) + SEPARATOR_BYTES
        if size > self._limits.header_bytes:
            return HeadersTooLargeError(f"head over {self._limits.header_bytes} bytes")
        if not self._target.startswith(b"/"):
            return InvalidRequestError(
                "expected a request target that begins with a slash"
            )
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            return InvalidRequestError("expected HTTP/1.0 or HTTP/1.1")
        return self._check_host() or self._check_body()

    def _check_host(self) -> RequestError | None:
        hosts = self._header_values(b"host")
        if len(hosts) != 1 or not hosts[0]:
            return InvalidRequestError("expected exactly one Host header with a value")
        host = hosts[0].decode("latin-1").lower()
        name, colon, port = host.rpartition(":")
        self._host = name if colon and port.isdigit() else host
        return None

    def _check_body(self) -> RequestError | None:
        for value in self._header_values(b"content-length"):
            self._body_left = int(value)
            if self._body_left > self._limits.body_bytes:
                return RequestTooLargeError(
                    f"body over {self._limits.body_bytes} bytes"
                )
        for value in self._header_values(b"transfer-encoding"):
            if value.strip().lower() != b"chunked":
                return InvalidRequestError("expected no Transfer-Encoding but chunked")
            self._body_left = CHUNKED
        if b"100-continue" in (
            value.lower() for value in self._header_values(b"expect")
        ):
            self._on_expect()
        return None
