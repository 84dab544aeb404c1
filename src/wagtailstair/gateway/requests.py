"""Parser of callers' requests; ambiguous ones are errors, against smuggling."""

import dataclasses
import typing as t

import httptools

from ..core.directory import CallerLimits
from ..exceptions import InvalidRequestError
from ..exceptions import RequestError
from ..exceptions import RequestTooLargeError

Header = tuple[bytes, bytes]

SEPARATOR_BYTES = 4  # colon, space, CR and LF
HEADERS_TOO_LARGE = 431


class HeadersTooLargeError(RequestTooLargeError):
    """The head of a request exceeds the limit."""

    code = "headers_too_large"
    http_status = HEADERS_TOO_LARGE


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request; ``target`` and ``headers`` are as the caller sent them.

    ``received_at``: the time at which its first byte was read.
    """

    method: bytes
    target: bytes
    host: str
    headers: list[Header]
    body: bytearray
    keeps_alive: bool
    received_at: float

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


class RequestReader:
    """Splits a connection's bytes into requests.

    :param on_expect: called when a caller waits for a 100 Continue response.
    """

    __slots__ = (
        "_body",
        "_error",
        "_headers",
        "_host",
        "_in_head",
        "_limits",
        "_now",
        "_on_expect",
        "_overhead_bytes",
        "_parser",
        "_started_at",
        "_target",
        "complete_requests",
    )

    def __init__(self, limits: CallerLimits, on_expect: t.Callable[[], None]) -> None:
        self._limits = limits
        self._on_expect = on_expect
        self._parser = httptools.HttpRequestParser(self)
        self.complete_requests: list[Request] = []
        self._error: RequestError | None = None
        self._now = 0.0
        # Bytes since the last part of a body or the last end of a request.
        self._overhead_bytes = 0
        self._reset()
        self._in_head = False

    @property
    def is_between_requests(self) -> bool:
        """Return whether no request is partly received."""
        return not self._in_head and not self._headers

    def feed(self, data: bytes, now: float) -> None:
        """Parse bytes and add complete requests to ``complete_requests``.

        :raises RequestError: if the bytes are not a valid request.
        """
        self._now = now
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise InvalidRequestError("expected no protocol upgrade") from error
        except httptools.HttpParserError as error:
            raise self._error or InvalidRequestError(str(error)) from error
        if self._overhead_bytes > self._limits.header_bytes:
            raise HeadersTooLargeError(
                f"head or framing over {self._limits.header_bytes} bytes"
            )

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

    def on_headers_complete(self) -> None:
        """Validate the head."""
        self._in_head = False
        self._overhead_bytes = 0
        error = self._check_head()
        if error is not None:
            self._error = error
            raise error

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._overhead_bytes = 0
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self._error = RequestTooLargeError(
                f"body over {self._limits.body_bytes} bytes"
            )
            raise self._error

    def on_message_complete(self) -> None:
        """Add the request to the complete ones."""
        request = Request(
            self._parser.get_method(),
            self._target,
            self._host,
            self._headers,
            self._body,
            self._parser.should_keep_alive(),
            self._started_at,
        )
        self._reset()
        self._overhead_bytes = 0
        self.complete_requests.append(request)

    def _reset(self) -> None:
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
            if int(value) > self._limits.body_bytes:
                return RequestTooLargeError(
                    f"body over {self._limits.body_bytes} bytes"
                )
        for value in self._header_values(b"transfer-encoding"):
            if value.strip().lower() != b"chunked":
                return InvalidRequestError("expected no Transfer-Encoding but chunked")
        if b"100-continue" in (
            value.lower() for value in self._header_values(b"expect")
        ):
            self._on_expect()
        return None
