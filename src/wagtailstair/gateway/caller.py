"""A caller's connection, whose requests are answered one at a time and in order."""

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
"""Pipelined requests after which reading from the caller pauses."""

BUFFER_BYTES_MAX = 1 << 20
"""Unsent bytes after which a caller that does not read is disconnected."""

TIMEOUT_STATUS = 408


class ActiveRequest(t.Protocol):
    """A request that is being served."""

    def on_caller_gone(self) -> None:
        """Cancel the request: its caller has disconnected."""
        ...


class CallerServer(t.Protocol):
    """Interface of the server that a caller's connection uses."""

    loop: Loop
    is_draining: bool

    def caller_limits(self) -> CallerLimits:
        """Return the current limits."""
        ...

    def start(self, caller: "Caller", request: Request) -> ActiveRequest | None:
        """Serve a request; return ``None`` if it was answered at once."""
        ...

    def on_caller_closed(self, caller: "Caller") -> None:
        """Remove a closed connection."""
        ...


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status, empty for an unknown one."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


class Caller:
    """One connection of a caller."""

    __slots__ = (
        "_active_at",
        "_active_request",
        "_close_after_answer",
        "_connection",
        "_has_begun",
        "_is_chunked",
        "_limits",
        "_parse_error",
        "_reader",
        "_request",
        "_server",
        "_timer",
    )

    def __init__(self, server: CallerServer, sock: socket.socket) -> None:
        set_options(sock, keepalive=False)
        self._server = server
        self._limits = server.caller_limits()
        self._connection = Connection(
            server.loop, sock, self._on_data, self._on_lost, None
        )
        self._reader = RequestReader(self._limits, self._on_expect)
        self._request: Request | None = None
        self._active_request: ActiveRequest | None = None
        self._parse_error: RequestError | None = None
        self._close_after_answer = False
        self._has_begun = False
        self._is_chunked = False
        self._active_at = server.loop.now
        self._timer: Timer | None = None
        self._check_timeouts()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being served or received."""
        return self._request is None and self._reader.is_between_requests

    @property
    def has_begun(self) -> bool:
        """Return whether part of the current response was sent."""
        return self._has_begun

    @property
    def active_request(self) -> ActiveRequest | None:
        """Return the request that is being served."""
        return self._active_request

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes that the caller has not taken yet."""
        return self._connection.pending_bytes

    def on_drained(self, callback: t.Callable[[], None] | None) -> None:
        """Set what is called each time the caller has taken all bytes."""
        self._connection.on_drained = callback

    # Responses.

    def answer(
        self, status: int, reason: bytes, headers: t.Iterable[Header], body: bytes
    ) -> None:
        """Send a complete response."""
        self._write_head(status, reason, headers, length=len(body))
        if body and self._request is not None and self._request.method != b"HEAD":
            self._connection.write(bytes(body))
        self._on_answer_sent()

    def begin(self, status: int, reason: bytes, headers: t.Iterable[Header]) -> None:
        """Send the head of a chunked response, whose length is not known."""
        self._is_chunked = True
        self._write_head(status, reason, headers, length=None)

    def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        if self._connection.pending_bytes > BUFFER_BYTES_MAX:
            self._connection.abort()
            self._on_lost(OSError("send buffer full: the caller does not read"))

    def end(self) -> None:
        """End a response begun by :meth:`begin`."""
        self._connection.write(b"0\r\n\r\n")
        self._on_answer_sent()

    def abort_answer(self) -> None:
        """Reset the connection, so that the response can't pass for a complete one."""
        self._active_request = None
        self._connection.abort()
        self._on_closed()

    # Connection.

    def close_if_idle(self) -> None:
        """Close unless a request is being served or received."""
        if self.is_idle:
            self._close_gracefully()

    def close(self) -> None:
        """Close at once and cancel the current request."""
        active_request, self._active_request = self._active_request, None
        if active_request is not None:
            active_request.on_caller_gone()
        self._connection.abort()
        self._on_closed()

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
            self._close_after_answer = True
        if self._server.is_draining:
            self._close_after_answer = True
        lines = [b"HTTP/1.1 %d %b" % (status, reason or reason_phrase(status))]
        for name, value in headers:
            lines.append(name + b": " + value)
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        elif status not in (204, 304):
            lines.append(b"Content-Length: %d" % length)
        if self._close_after_answer:
            lines.append(b"Connection: close")
        lines.append(b"\r\n")
        self._connection.write(b"\r\n".join(lines))

    def _on_answer_sent(self) -> None:
        self._request = None
        self._active_request = None
        self._has_begun = False
        self._is_chunked = False
        self._active_at = self._server.loop.now
        # The shutdown may have begun after this response's head was sent.
        if self._close_after_answer or self._server.is_draining:
            self._close_gracefully()
            return
        if self._reader.complete_requests or self._parse_error is not None:
            # Deferred, so that a series of immediate responses does not recurse.
            self._server.loop.call_later(0.0, self._start_next)

    def _close_gracefully(self) -> None:
        self._connection.close_gracefully()
        self._on_closed()

    def _on_closed(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._server.on_caller_closed(self)

    def _start_next(self) -> None:
        if self._request is not None or not self._connection.is_open:
            return
        if not self._reader.complete_requests:
            if self._parse_error is not None:
                self._refuse(self._parse_error)
            return
        request = self._reader.complete_requests.pop(0)
        self._connection.resume()
        self._request = request
        active_request = self._server.start(self, request)
        if self._request is request:
            self._active_request = active_request

    def _refuse(self, error: RequestError) -> None:
        log_event("request_malformed", status=error.http_status, reason=error)
        self._close_after_answer = True
        self.answer(error.http_status, b"", (), b"")

    def _on_expect(self) -> None:
        if self._request is None:
            self._connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_data(self, data: bytes) -> None:
        if not data:
            self._on_lost(OSError("the caller closed the connection"))
            return
        if self._parse_error is not None:
            return
        self._active_at = self._server.loop.now
        try:
            self._reader.feed(data, self._server.loop.now)
        except RequestError as error:
            self._parse_error = error
        if len(self._reader.complete_requests) >= PIPELINED_MAX:
            self._connection.pause()
        if self._request is None:
            self._start_next()

    def _on_lost(self, _error: OSError) -> None:
        active_request, self._active_request = self._active_request, None
        self._connection.close()
        self._on_closed()
        if active_request is not None:
            active_request.on_caller_gone()

    def _check_timeouts(self) -> None:
        """Close a connection that is idle or pauses too long within a request."""
        loop = self._server.loop
        if self._request is not None:
            self._timer = loop.call_later(self._limits.header_s, self._check_timeouts)
            return
        is_idle = self._reader.is_between_requests
        limit_s = self._limits.idle_s if is_idle else self._limits.header_s
        remaining_s = self._active_at + limit_s - loop.now
        if remaining_s > 0:
            self._timer = loop.call_later(
                min(remaining_s, self._limits.header_s) + 0.01, self._check_timeouts
            )
            return
        if is_idle:
            self._close_gracefully()
            return
        log_event(
            "request_malformed",
            status=TIMEOUT_STATUS,
            reason="caller paused too long within a request",
        )
        self._close_after_answer = True
        self.answer(TIMEOUT_STATUS, b"", (), b"")
