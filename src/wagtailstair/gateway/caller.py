"""A caller's connection: requests in, answers out, one after the other."""

import http
import socket
import typing as t

from ..core.directory import CallerLimits
from ..exceptions import RequestError
from ..logs import log_event
from .connection import Connection
from .connection import set_options
from .loop import Loop
from .loop import Timer
from .requests import Header
from .requests import Request
from .requests import RequestReader

PIPELINED_MAX = 8
"""Requests that a caller may send ahead before it is no longer read from."""

BUFFER_BYTES_MAX = 1 << 20
"""Bytes that wait for a caller who does not read, before it is cut off."""

TIMEOUT_STATUS = 408


class ActiveRequest(t.Protocol):
    """A request in work."""

    def on_caller_gone(self) -> None:
        """Stop: nobody waits for the answer."""
        ...


class CallerServer(t.Protocol):
    """What a connection needs from the gateway."""

    loop: Loop
    is_draining: bool

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force."""
        ...

    def start(self, caller: "Caller", request: Request) -> ActiveRequest | None:
        """Begin a request; ``None`` if it was answered at once."""
        ...

    def on_caller_closed(self, caller: "Caller") -> None:
        """Forget a connection."""
        ...


def reason_of(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


class Caller:
    """One connection of a caller."""

    __slots__ = (
        "_active_at",
        "_closes",
        "_connection",
        "_has_begun",
        "_is_chunked",
        "_limits",
        "_parse_error",
        "_reader",
        "_request",
        "_running",
        "_server",
        "_timer",
    )

    def __init__(self, server: CallerServer, sock: socket.socket) -> None:
        set_options(sock, probe=False)
        self._server = server
        self._limits = server.caller_limits()
        self._connection = Connection(
            server.loop, sock, self._on_data, self._on_lost, None
        )
        self._reader = RequestReader(self._limits, self._on_expect)
        self._request: Request | None = None
        self._running: ActiveRequest | None = None
        self._parse_error: RequestError | None = None
        self._closes = False
        self._has_begun = False
        self._is_chunked = False
        self._active_at = server.loop.now
        self._timer: Timer | None = None
        self._watch()

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in work or on its way in."""
        return self._request is None and self._reader.is_between

    @property
    def has_begun(self) -> bool:
        """Tell whether part of an answer was sent."""
        return self._has_begun

    # Answers.

    def answer(
        self, status: int, reason: bytes, headers: t.Iterable[Header], body: bytes
    ) -> None:
        """Send a whole answer."""
        self._write_head(status, reason, headers, length=len(body))
        if body and self._request is not None and self._request.method != b"HEAD":
            self._connection.write(bytes(body))
        self._ended()

    def begin(self, status: int, reason: bytes, headers: t.Iterable[Header]) -> None:
        """Send the head of an answer whose length is not known."""
        self._is_chunked = True
        self._write_head(status, reason, headers, length=None)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        if self._connection.pending > BUFFER_BYTES_MAX:
            self._connection.abort()
            self._on_lost(OSError("the caller does not read"))

    def end(self) -> None:
        """End an answer begun by :meth:`begin`."""
        self._connection.write(b"0\r\n\r\n")
        self._ended()

    def abort_answer(self) -> None:
        """Break the answer off so that it can't be taken for a whole one."""
        self._running = None
        self._connection.abort()
        self._closed()

    # The connection.

    def close_if_idle(self) -> None:
        """Close unless a request is in work."""
        if self.is_idle:
            self._close()

    def close(self) -> None:
        """Close at once and stop what is in work."""
        running, self._running = self._running, None
        if running is not None:
            running.on_caller_gone()
        self._connection.abort()
        self._closed()

    def _write_head(
        self,
        status: int,
        reason: bytes,
        headers: t.Iterable[Header],
        *,
        length: int | None,
    ) -> None:
        self._has_begun = True
        if self._request is None or not self._request.keeps_alive:
            self._closes = True
        if self._server.is_draining:
            self._closes = True
        lines = [b"HTTP/1.1 %d %b" % (status, reason or reason_of(status))]
        for name, value in headers:
            lines.append(name + b": " + value)
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        elif status not in (204, 304):
            lines.append(b"Content-Length: %d" % length)
        if self._closes:
            lines.append(b"Connection: close")
        lines.append(b"\r\n")
        self._connection.write(b"\r\n".join(lines))

    def _ended(self) -> None:
        self._request = None
        self._running = None
        self._has_begun = False
        self._is_chunked = False
        self._active_at = self._server.loop.now
        # The head of this answer may have been sent before the shutdown began.
        if self._closes or self._server.is_draining:
            self._close()
            return
        if self._reader.complete or self._parse_error is not None:
            # Later, so that a run of refusals does not recurse.
            self._server.loop.call_later(0.0, self._next)

    def _close(self) -> None:
        self._connection.close_gracefully()
        self._closed()

    def _closed(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._server.on_caller_closed(self)

    def _next(self) -> None:
        if self._request is not None or not self._connection.is_open:
            return
        if not self._reader.complete:
            if self._parse_error is not None:
                self._refuse(self._parse_error)
            return
        request = self._reader.complete.pop(0)
        self._connection.resume()
        self._request = request
        running = self._server.start(self, request)
        if self._request is request:
            self._running = running

    def _refuse(self, error: RequestError) -> None:
        log_event("request_malformed", status=error.http_status, reason=error)
        self._closes = True
        self.answer(error.http_status, b"", (), b"")

    def _on_expect(self) -> None:
        if self._request is None:
            self._connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_data(self, data: bytes) -> None:
        if not data:
            self._on_lost(OSError("closed"))
            return
        if self._parse_error is not None:
            return
        self._active_at = self._server.loop.now
        try:
            self._reader.feed(data, self._server.loop.now)
        except RequestError as error:
            self._parse_error = error
        if len(self._reader.complete) >= PIPELINED_MAX:
            self._connection.pause()
        if self._request is None:
            self._next()

    def _on_lost(self, _error: OSError) -> None:
        running, self._running = self._running, None
        self._connection.close()
        self._closed()
        if running is not None:
            running.on_caller_gone()

    def _watch(self) -> None:
        """End a connection that is idle or sends its request too slowly."""
        loop = self._server.loop
        if self._request is not None:
            self._timer = loop.call_later(self._limits.header_s, self._watch)
            return
        is_idle = self._reader.is_between
        limit = self._limits.idle_s if is_idle else self._limits.header_s
        left = self._active_at + limit - loop.now
        if left > 0:
            self._timer = loop.call_later(
                min(left, self._limits.header_s) + 0.01, self._watch
            )
            return
        if is_idle:
            self._close()
            return
        log_event("request_malformed", status=TIMEOUT_STATUS, reason="too slow")
        self._closes = True
        self.answer(TIMEOUT_STATUS, b"", (), b"")
