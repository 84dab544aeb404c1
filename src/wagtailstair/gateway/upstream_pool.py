"""One HTTP exchange with an upstream, and the connections that are kept for more."""

import enum
import typing as t

import httptools

from ..logs import log_event
from .connection import Connection
from .connection import connect
from .loop import Loop
from .loop import Timer

Header = tuple[bytes, bytes]

CONNECT_S = 0.4
"""Seconds for a connection inside a region: hundreds of times a round trip."""

IDLE_S = 6.0
"""Seconds that a connection is kept where the upstream names no timeout."""

IDLE_MARGIN_S = 2.0
"""Seconds before an upstream's own timeout at which its connection is dropped."""

IDLE_PER_ADDRESS = 8


class ExchangeLoss(enum.Enum):
    """What is known of a request whose exchange broke."""

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Observer(t.Protocol):
    """What an exchange tells the one who started it."""

    def on_head(self, status: int, reason: bytes, headers: list[Header]) -> bool:
        """Take the head of an answer; ``False`` if the answer is not this one's."""
        ...

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        ...

    def on_complete(self) -> None:
        """Take the end of a whole answer."""
        ...

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Take the end of the exchange without a whole answer."""
        ...


class Upstream(t.NamedTuple):
    """Where a connection goes: an address and the start that it belongs to."""

    address: str
    identity: t.Hashable


class Wire:
    """A connection to an upstream and the parser of its answers."""

    __slots__ = (
        "_closes_at_end",
        "_headers",
        "_is_final",
        "_is_skipping",
        "_loop",
        "_parser",
        "_pool",
        "_reason",
        "_timer",
        "connection",
        "idle_s",
        "idle_since",
        "is_clean",
        "observer",
        "upstream",
    )

    def __init__(self, pool: "UpstreamPool", loop: Loop, upstream: Upstream) -> None:
        self._pool = pool
        self._loop = loop
        self.upstream = upstream
        self.observer: Observer | None = None
        self.is_clean = True
        self.idle_s = IDLE_S
        self.idle_since = 0.0
        self._timer: Timer | None = None
        self._headers: list[Header] = []
        host, _, port = upstream.address.rpartition(":")
        self.connection: Connection | None = connect(
            loop, (host, int(port)), self._on_data, self._on_lost, self._on_connected
        )
        self._timer = loop.call_later(CONNECT_S, self._on_connect_timeout)
        self._begin()

    def send(self, data: bytes, observer: Observer) -> None:
        """Send a request; its answer goes to the observer."""
        self.observer = observer
        self._begin()
        if self.connection is not None:
            self.connection.write(data)

    def cancel(self) -> None:
        """Close the connection; the observer hears nothing more."""
        self.observer = None
        self._drop()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self.observer is None:
            self.is_clean = False
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Take a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; after the body it is a trailer and dropped."""
        if not self._is_final:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand the head over."""
        if self.observer is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._is_final = True
        self._read_connection_headers(status)
        if not self.observer.on_head(status, self._reason, self._headers):
            # An answer to an earlier request: passed over, ours is still due.
            self._is_skipping = True
            self.is_clean = False

    def on_body(self, data: bytes) -> None:
        """Hand a part of the body over."""
        if self.observer is not None and self._is_final and not self._is_skipping:
            self.observer.on_body(data)

    def on_message_complete(self) -> None:
        """Note the end of an answer."""
        if not self._is_final or self.observer is None:
            return
        if self._is_skipping:
            self._is_skipping = False
            self._is_final = False
            return
        self._complete()

    # Inside.

    def _begin(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._reason = b""
        self._is_final = False
        self._is_skipping = False
        self._closes_at_end = False

    def _read_connection_headers(self, status: int) -> None:
        is_framed = status in (204, 304)
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"connection" and b"close" in value.lower():
                self.is_clean = False
            elif lowered == b"keep-alive":
                self._read_keep_alive(value)
            elif lowered in (b"content-length", b"transfer-encoding"):
                is_framed = True
        self._closes_at_end = not is_framed
        if self._closes_at_end:
            self.is_clean = False

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                self.idle_s = max(0.0, int(number) - IDLE_MARGIN_S)

    def _complete(self) -> None:
        observer, self.observer = self.observer, None
        connection = self.connection
        # An answer that comes before the request is whole leaves the rest unread.
        if connection is not None and connection.pending:
            self.is_clean = False
        if observer is not None:
            observer.on_complete()

    def _on_connected(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_connect_timeout(self) -> None:
        self._timer = None
        self._end(ExchangeLoss.NOT_SENT, "connect timeout")

    def _on_lost(self, error: OSError) -> None:
        loss = (
            ExchangeLoss.NOT_SENT if self._timer is not None else ExchangeLoss.UNKNOWN
        )
        self._end(loss, f"errno {error.errno}")

    def _on_data(self, data: bytes) -> None:
        if not data:
            self._on_end()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_clean = False
            self._end(ExchangeLoss.UNKNOWN, f"not an answer: {error}")
            return
        if self.observer is None and self.connection is not None:
            self._pool.keep(self)

    def _on_end(self) -> None:
        is_answer = self._is_final and not self._is_skipping
        if self.observer is not None and is_answer and self._closes_at_end:
            self._complete()
            self._drop()
            return
        self._end(ExchangeLoss.UNKNOWN, "closed")

    def _end(self, loss: ExchangeLoss, reason: str) -> None:
        observer, self.observer = self.observer, None
        self._drop()
        if observer is not None:
            observer.on_lost(loss, reason)

    def _drop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self._pool.forget(self)


class UpstreamPool:
    """Connections to upstreams that wait for another request."""

    __slots__ = ("_idle_by_upstream", "_loop")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._idle_by_upstream: dict[Upstream, list[Wire]] = {}
        self._loop.call_later(1.0, self._sweep)

    def send(
        self, upstream: Upstream, data: bytes, observer: Observer, *, fresh: bool
    ) -> Wire | None:
        """Send a request on a kept or new connection.

        :param fresh: take a new one, whose loss is less likely.
        :returns: ``None`` if no connection could be begun; nothing was sent.
        """
        wire = None if fresh else self._take(upstream)
        if wire is None:
            try:
                wire = Wire(self, self._loop, upstream)
            except OSError as error:
                log_event(
                    "connect_failed",
                    level="WARNING",
                    address=upstream.address,
                    error=error.errno,
                )
                return None
        wire.send(data, observer)
        return wire

    def keep(self, wire: Wire) -> None:
        """Keep a connection whose answer is whole, if it can be used again."""
        idle = self._idle_by_upstream.setdefault(wire.upstream, [])
        if not wire.is_clean or wire.idle_s <= 0 or len(idle) >= IDLE_PER_ADDRESS:
            wire.cancel()
            return
        wire.idle_since = self._loop.now
        if wire not in idle:
            idle.append(wire)

    def forget(self, wire: Wire) -> None:
        """Drop a connection that is closed."""
        idle = self._idle_by_upstream.get(wire.upstream)
        if idle is not None and wire in idle:
            idle.remove(wire)

    def _take(self, upstream: Upstream) -> Wire | None:
        idle = self._idle_by_upstream.get(upstream)
        while idle:
            wire = idle.pop()
            if self._loop.now - wire.idle_since < wire.idle_s:
                return wire
            wire.cancel()
        return None

    def _sweep(self) -> None:
        for upstream, idle in list(self._idle_by_upstream.items()):
            for wire in list(idle):
                if self._loop.now - wire.idle_since >= wire.idle_s:
                    wire.cancel()
            if not idle:
                del self._idle_by_upstream[upstream]
        self._loop.call_later(1.0, self._sweep)
