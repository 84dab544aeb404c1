"""HTTP exchanges with upstreams over a pool of keep-alive connections."""

import enum
import errno
import typing as t

import httptools

from ..core.exchange_headers import FINAL_STATUS_MIN
from ..core.exchange_headers import STATUS_MAX
from ..core.exchange_headers import STATUS_MIN
from ..exceptions import UpstreamError
from ..logs import log_event
from .connection import Connection
from .connection import connect
from .loop import Loop
from .loop import Timer

Header = tuple[bytes, bytes]

CONNECT_TIMEOUT_S = 0.4
"""Timeout of connecting, in seconds: hundreds of round trips inside a region."""

IDLE_TIMEOUT_S = 6.0
"""Seconds that an idle connection is kept if the upstream names no timeout."""

IDLE_MARGIN_S = 2.0
"""Seconds before an upstream's own timeout at which its connection is closed."""

IDLE_PER_UPSTREAM_MAX = 8

HEAD_BYTES_MAX = 64 << 10
"""Bytes of a head and the interim responses before it, or of framing between two parts
of a body: several times the default limit of a caller's head."""

HEADERS_MAX = 1000
"""Header lines of a response: a short line takes many times its bytes in memory."""

SKIPPED_BYTES_MAX = 4 << 20
"""Bytes before the response to the request itself: a late response is skipped, but a
request does not wait for one that does not end."""


class ExchangeLoss(enum.Enum):
    """Whether a request whose exchange failed may have reached the upstream.

    ``NOT_SENT``: it certainly did not; ``UNKNOWN``: it may have run.
    """

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Observer(t.Protocol):
    """Callbacks of an exchange to its initiator."""

    def on_head(self, status: int, reason: bytes, headers: list[Header]) -> bool:
        """Handle a response head; return ``False`` if it answers another request."""
        ...

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        ...

    def on_complete(self) -> None:
        """Handle the end of a complete response."""
        ...

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Handle the end of the exchange without a complete response."""
        ...


OnHead = t.Callable[["Upstream", int, list[Header]], None]


class Upstream(t.NamedTuple):
    """Target of a connection: an address, and the process start that serves it.

    A restarted process has another identity, so its connections are not mixed up.
    """

    address: str
    identity: t.Hashable


class UpstreamConnection:
    """A connection to an upstream and the parser of its responses.

    ``received``: bytes received since the request was sent; ``is_reused``: whether it
    has carried an earlier exchange, of which bytes may still arrive;
    ``is_closed_by_upstream``: whether the upstream has closed or reset it.
    """

    __slots__ = (
        "_connect_timer",
        "_ends_at_eof",
        "_fault",
        "_has_final_head",
        "_headers",
        "_is_skipping",
        "_loop",
        "_overhead_bytes",
        "_parser",
        "_pool",
        "_reason",
        "connection",
        "idle_s",
        "idle_since",
        "is_closed_by_upstream",
        "is_reusable",
        "is_reused",
        "observer",
        "received",
        "upstream",
    )

    def __init__(self, pool: "UpstreamPool", loop: Loop, upstream: Upstream) -> None:
        self._pool = pool
        self._loop = loop
        self.upstream = upstream
        self.observer: Observer | None = None
        self.is_reusable = True
        self.is_reused = False
        self.is_closed_by_upstream = False
        self.idle_s = IDLE_TIMEOUT_S
        self.idle_since = 0.0
        self._connect_timer: Timer | None = None
        self._headers: list[Header] = []
        self._has_final_head = False
        host, _, port = upstream.address.rpartition(":")
        self.connection: Connection | None = connect(
            loop, (host, int(port)), self._on_data, self._on_lost, self._on_connected
        )
        self._connect_timer = loop.call_later(
            CONNECT_TIMEOUT_S, self._on_connect_timeout
        )
        self._reset_parser()

    def send(self, data: bytes, observer: Observer) -> None:
        """Send a request whose response goes to the observer."""
        self.observer = observer
        self._reset_parser()
        if self.connection is not None:
            self.connection.write(data)

    def cancel(self) -> None:
        """Close the connection without further callbacks to the observer."""
        self.observer = None
        self._close()

    def pause(self) -> None:
        """Stop reading from the upstream."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Resume reading from the upstream."""
        if self.connection is not None:
            self.connection.resume()

    def give_up(self, reason: str) -> None:
        """Close the connection and report the exchange as lost."""
        self._fail(ExchangeLoss.UNKNOWN, reason)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a response; without a request the connection is not reusable."""
        if self.observer is None:
            self.is_reusable = False
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Store a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which follow the body, are dropped."""
        if self._has_final_head:
            return
        if len(self._headers) >= HEADERS_MAX:
            self._fault = f"over {HEADERS_MAX} header lines"
            raise UpstreamError(self._fault)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head of a final response to the observer."""
        if self.observer is None:
            return
        status = self._parser.get_status_code()
        if not STATUS_MIN <= status <= STATUS_MAX:
            self._fault = f"not an answer: status {status:03d}"
            raise UpstreamError(self._fault)
        if status < FINAL_STATUS_MIN:
            return
        self._has_final_head = True
        self._read_connection_headers(status)
        self._pool.on_head(self.upstream, status, self._headers)
        if not self.observer.on_head(status, self._reason, self._headers):
            # The response to an earlier request: skip it and wait for the next.
            self._is_skipping = True
            self.is_reusable = False

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the observer."""
        self._overhead_bytes = 0
        if self.observer is not None and self._has_final_head and not self._is_skipping:
            self.observer.on_body(data)

    def on_message_complete(self) -> None:
        """Complete the exchange, unless the response was skipped or interim."""
        if not self._has_final_head or self.observer is None:
            return
        if self._is_skipping:
            self._is_skipping = False
            self._has_final_head = False
            return
        self._complete()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._reason = b""
        self._has_final_head = False
        self._is_skipping = False
        self._ends_at_eof = False
        self._fault = ""
        self._overhead_bytes = 0
        self.received = 0

    def _read_connection_headers(self, status: int) -> None:
        is_framed = status in (204, 304)
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"connection" and b"close" in value.lower():
                self.is_reusable = False
            elif lowered == b"keep-alive":
                self._read_keep_alive(value)
            elif lowered in (b"content-length", b"transfer-encoding"):
                is_framed = True
        self._ends_at_eof = not is_framed
        if self._ends_at_eof:
            self.is_reusable = False

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                self.idle_s = max(0.0, int(number) - IDLE_MARGIN_S)

    def _complete(self) -> None:
        observer, self.observer = self.observer, None
        connection = self.connection
        # The upstream responded early and does not read the rest of the request.
        if connection is not None and connection.pending_bytes:
            self.is_reusable = False
        if observer is not None:
            observer.on_complete()

    def _on_connected(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        self._fail(ExchangeLoss.NOT_SENT, "connect timeout")

    def _on_lost(self, error: OSError) -> None:
        self.is_closed_by_upstream = error.errno == errno.ECONNRESET
        loss = (
            ExchangeLoss.NOT_SENT
            if self._connect_timer is not None
            else ExchangeLoss.UNKNOWN
        )
        self._fail(loss, f"errno {error.errno}")

    def _on_data(self, data: bytes) -> None:
        if not data:
            self._on_eof()
            return
        if self.observer is None:
            # They belong to no request, and the parser drops blank lines unseen.
            log_event(
                "answer_unasked", address=self.upstream.address, received=len(data)
            )
            self.cancel()
            return
        self.received += len(data)
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_reusable = False
            self.give_up(self._fault or f"not an answer: {error}")
            return
        excess = self._find_excess()
        if excess and self.observer is not None:
            self.give_up(excess)
            return
        if self.observer is None and self.connection is not None:
            self._pool.release(self)

    def _find_excess(self) -> str:
        """Return which limit the response exceeds, empty for none."""
        if self._overhead_bytes > HEAD_BYTES_MAX:
            return f"head or framing over {HEAD_BYTES_MAX} bytes"
        is_own = self._has_final_head and not self._is_skipping
        if not is_own and self.received > SKIPPED_BYTES_MAX:
            return f"other answers over {SKIPPED_BYTES_MAX} bytes"
        return ""

    def _on_eof(self) -> None:
        has_answer = self._has_final_head and not self._is_skipping
        if self.observer is not None and has_answer and self._ends_at_eof:
            self._complete()
            self._close()
            return
        self.is_closed_by_upstream = True
        self._fail(ExchangeLoss.UNKNOWN, "closed")

    def _fail(self, loss: ExchangeLoss, reason: str) -> None:
        observer, self.observer = self.observer, None
        self._close()
        if observer is not None:
            observer.on_lost(loss, reason)

    def _close(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self._pool.discard(self)


class UpstreamPool:
    """Idle connections to upstreams, kept for further requests.

    ``on_buffered``: called with each change of the bytes that the gateway's own calls
    have buffered of their answers.

    :param on_head: called with the head of each final answer, also of one that turns
        out to belong to another request.
    """

    __slots__ = ("_idle_by_upstream", "_loop", "on_buffered", "on_head")

    def __init__(
        self, loop: Loop, on_head: OnHead = lambda _upstream, _status, _headers: None
    ) -> None:
        self._loop = loop
        self.on_head = on_head
        self.on_buffered: t.Callable[[int], None] = lambda _change: None
        self._idle_by_upstream: dict[Upstream, list[UpstreamConnection]] = {}
        self._loop.call_later(1.0, self._sweep)

    def send(
        self,
        upstream: Upstream,
        data: bytes,
        observer: Observer,
        *,
        new_connection: bool,
    ) -> UpstreamConnection | None:
        """Send a request on an idle or new connection.

        :param new_connection: open a new one, which is less likely to be lost.
        :returns: ``None`` if no connection could be opened; nothing was sent.
        """
        connection = None if new_connection else self._take(upstream)
        if connection is None:
            try:
                connection = UpstreamConnection(self, self._loop, upstream)
            except OSError as error:
                log_event(
                    "connect_failed",
                    level="WARNING",
                    address=upstream.address,
                    error=error.errno,
                )
                return None
        connection.send(data, observer)
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its response, or close it."""
        idle = self._idle_by_upstream.setdefault(connection.upstream, [])
        if (
            not connection.is_reusable
            or connection.idle_s <= 0
            or len(idle) >= IDLE_PER_UPSTREAM_MAX
        ):
            connection.cancel()
            return
        connection.idle_since = self._loop.now
        if connection not in idle:
            idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        idle = self._idle_by_upstream.get(connection.upstream)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def _take(self, upstream: Upstream) -> UpstreamConnection | None:
        idle = self._idle_by_upstream.get(upstream)
        while idle:
            connection = idle.pop()
            if self._loop.now - connection.idle_since < connection.idle_s:
                connection.is_reused = True
                return connection
            connection.cancel()
        return None

    def _sweep(self) -> None:
        for upstream, idle in list(self._idle_by_upstream.items()):
            for connection in list(idle):
                if self._loop.now - connection.idle_since >= connection.idle_s:
                    connection.cancel()
            if not idle:
                del self._idle_by_upstream[upstream]
        self._loop.call_later(1.0, self._sweep)
