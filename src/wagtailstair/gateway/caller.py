"""A caller's connection, whose requests are answered one at a time and in order."""

import http
import socket
import typing as t

from ..core.admission.client_limits import DEFAULT_LIMITS
from ..core.admission.client_memory import Group
from ..core.admission.client_memory import Stage
from ..core.directory import CallerLimits
from ..exceptions import RequestError
from ..logs import log_event
from .clients import Clients
from .connection import Connection
from .connection import set_options
from .loop import Loop
from .loop import Timer
from .requests import Header
from .requests import Request
from .requests import RequestReader

FORWARDED_COPIES = 2
"""Times that the body of a forwarded request is in memory: it may have to be sent
again, and the upstream may not have taken it yet."""

BUFFER_BYTES_MAX = 1 << 20
"""Unsent bytes after which a caller that does not read is disconnected."""

TIMEOUT_STATUS = 408
UNAVAILABLE = 503

EVICTED_RETRY_AFTER = b"0.5"
"""Seconds after which a host that lacked memory for a request may have it again."""

REASON_MEMORY = "memory"
REASON_FORWARDED = "forwarded"
REASON_UNREAD = "unread"


class ActiveRequest(t.Protocol):
    """A request that is being served."""

    @property
    def account_name(self) -> str:
        """Return the name of the caller's account, empty for none."""
        ...

    @property
    def is_forwarded(self) -> bool:
        """Return whether it was sent to an upstream."""
        ...

    def refuse(self, reason: str) -> None:
        """Answer that it was not run, unless it was forwarded."""
        ...

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
        """Remove a connection that takes no more requests.

        Its last answer may not have been read yet.
        """
        ...

    def on_caller_finished(self, caller: "Caller") -> None:
        """Remove a connection whose descriptor is closed."""
        ...


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status, empty for an unknown one."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


class Caller:
    """One connection of a caller.

    :param clients: where it counts its memory and its place, if they are bounded.
    :param account_of: called with a request whose body follows; returns the name of
        its account, or ``None`` if its body is of no use.
    """

    __slots__ = (
        "_account_of",
        "_active_at",
        "_active_request",
        "_answer_bytes",
        "_answered_at",
        "_clients",
        "_close_after_answer",
        "_connection",
        "_has_begun",
        "_is_chunked",
        "_is_closed",
        "_limits",
        "_on_exchange_drained",
        "_parse_error",
        "_reader",
        "_request",
        "_server",
        "_timer",
        "_unread_bytes_max",
        "_unsent_before",
        "_use",
    )

    def __init__(
        self,
        server: CallerServer,
        sock: socket.socket,
        clients: Clients | None = None,
        group: Group = Group.CALLERS,
        account_of: t.Callable[[Request], str | None] | None = None,
    ) -> None:
        set_options(sock, keepalive=False)
        self._server = server
        self._limits = server.caller_limits()
        self._connection = Connection(
            server.loop, sock, self._on_data, self._on_lost, None
        )
        self._connection.on_drained = self._on_drained
        self._connection.on_closed = self._on_descriptor_closed
        self._clients = clients
        self._use = None if clients is None else clients.open(self, group)
        self._account_of = account_of
        client_limits = DEFAULT_LIMITS if clients is None else clients.limits()
        self._unread_bytes_max = client_limits.unread_kb << 10
        self._reader = RequestReader(
            self._limits,
            self._on_expect,
            self._wants_body,
            client_limits.pipelined_max,
        )
        self._on_exchange_drained: t.Callable[[], None] | None = None
        self._answer_bytes = 0
        # Unsent bytes at the last report.
        self._unsent_before = 0
        self._is_closed = False
        self._request: Request | None = None
        self._active_request: ActiveRequest | None = None
        self._parse_error: RequestError | None = None
        self._close_after_answer = False
        self._has_begun = False
        self._is_chunked = False
        self._active_at = server.loop.now
        self._answered_at = server.loop.now
        self._timer: Timer | None = None
        self._check_timeouts()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being served or received."""
        return self._request is None and self._reader.is_between_requests

    @property
    def is_finishing(self) -> bool:
        """Return whether it takes no more requests and its last answer is sent."""
        return self._is_closed and self._connection.is_open

    @property
    def has_unread_answer(self) -> bool:
        """Return whether the caller has not acknowledged all bytes."""
        return self._connection.unacknowledged_bytes > 0

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
        self._on_exchange_drained = callback

    def hold(self, answer_bytes: int) -> None:
        """Set how many bytes of the answer are kept elsewhere for the caller."""
        self._answer_bytes = answer_bytes
        self.account()

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
        pending_bytes = self._connection.pending_bytes
        if pending_bytes > BUFFER_BYTES_MAX:
            if self._clients is not None:
                idle_s = self._server.loop.now - self._active_at
                self._clients.record(REASON_UNREAD, pending_bytes, idle_s)
            self._connection.abort()
            self._on_lost(OSError("send buffer full: the caller does not read"))
        elif pending_bytes:
            self.account()

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

    def close_unused(self) -> None:
        """Close at once; no request is being served or received."""
        self._connection.close()
        self._on_closed()

    def evict(self) -> str:
        """End the connection to free its memory; return the reason.

        A request that was not forwarded is refused. Otherwise the connection is reset,
        so that the caller can't take the answer for a complete one.
        """
        active_request = self._active_request
        if active_request is not None:
            if active_request.is_forwarded or self._has_begun:
                self.close()
                return REASON_FORWARDED
            self._close_after_answer = True
            active_request.refuse(REASON_MEMORY)
            return REASON_MEMORY
        if self._is_closed or self._connection.pending_bytes:
            self.close()
            return REASON_UNREAD
        self._close_after_answer = True
        headers = ((b"Retry-After", EVICTED_RETRY_AFTER),)
        self.answer(UNAVAILABLE, b"", headers, b"")
        return REASON_MEMORY

    def account(self, moved_bytes: int = 0) -> None:
        """Report what the connection holds."""
        if self._clients is None or self._use is None:
            return
        held_bytes = self._reader.held_bytes + self._answer_bytes
        pending_bytes = self._connection.pending_bytes
        held_bytes += pending_bytes
        moved_bytes += max(0, self._unsent_before - pending_bytes)
        self._unsent_before = pending_bytes
        if self._request is not None:
            held_bytes += self._request.held_bytes * FORWARDED_COPIES
        self._use.is_ahead = self._reader.is_ahead
        self._clients.update(self._use, held_bytes, self._stage(), moved_bytes)

    def _wants_body(self, request: Request) -> bool:
        """Return whether a body is to be kept, and note whose it is."""
        if self._account_of is None:
            return True
        account = self._account_of(request)
        if account is not None and self._use is not None:
            self._use.account = account
        return account is not None

    def _stage(self) -> Stage:
        if self._is_closed:
            unread = self._connection.pending_bytes
            return Stage.ANSWERED if unread else Stage.CLOSING
        if self._request is not None:
            active_request = self._active_request
            if active_request is not None and active_request.is_forwarded:
                return Stage.FORWARDED
            return Stage.RECEIVING
        if self._connection.pending_bytes:
            return Stage.ANSWERED
        if self._reader.is_between_requests and not self._reader.complete_requests:
            return Stage.IDLE
        return Stage.RECEIVING

    def _on_drained(self) -> None:
        self._active_at = self._server.loop.now
        if self._on_exchange_drained is not None:
            self._on_exchange_drained()
        self.account()
        self._start_next()

    def _on_descriptor_closed(self) -> None:
        use, self._use = self._use, None
        if use is not None and self._clients is not None:
            self._clients.memory.close(use)
        self._server.on_caller_finished(self)

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
        self._answer_bytes = 0
        self._active_at = self._answered_at = self._server.loop.now
        self.account()
        # The shutdown may have begun after this response's head was sent.
        if self._close_after_answer or self._server.is_draining:
            self._close_gracefully()
            return
        if self._reader.complete_requests or self._parse_error is not None:
            # Deferred, so that a series of immediate responses does not recurse.
            self._server.loop.call_later(0.0, self._start_next)

    def _close_gracefully(self) -> None:
        self._connection.close_gracefully(self._limits.idle_s)
        self._on_closed()

    def _on_closed(self) -> None:
        if self._is_closed:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._is_closed = True
        self._request = None
        self._reader.drop()
        self.account()
        self._server.on_caller_closed(self)

    def _start_next(self) -> None:
        if self._request is not None or self._is_closed:
            return
        if self._connection.pending_bytes > self._unread_bytes_max:
            return
        if not self._reader.complete_requests:
            if self._parse_error is not None:
                self._refuse(self._parse_error)
            return
        self._request = request = self._reader.take_request()
        if self._parse_error is None:
            self._parse(b"")
        active_request = self._server.start(self, request)
        if self._request is request:
            self._active_request = active_request
        if active_request is not None and self._use is not None:
            self._use.account = active_request.account_name
        self.account()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes, or those kept; read on if there is room for more."""
        if self._reader.is_between_requests:
            # They may have changed since the connection was accepted.
            self._limits = self._server.caller_limits()
            self._reader.set_limits(self._limits)
        try:
            if data:
                self._reader.feed(data, self._server.loop.now)
            else:
                self._reader.resume()
        except RequestError as error:
            self._parse_error = error
        if self._reader.is_full:
            self._connection.pause()
        else:
            self._connection.resume()

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
        self._parse(data)
        # Empty lines between requests are not activity.
        if self._reader.complete_requests or not self._reader.is_between_requests:
            self._active_at = self._server.loop.now
        self.account(len(data))
        if self._clients is not None:
            self._clients.evict()
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
        since = self._active_at
        head_started_at = self._reader.head_started_at
        if head_started_at is not None:
            # Reading may have been paused while the request before it was served.
            since = max(head_started_at, self._answered_at)
        remaining_s = since + limit_s - loop.now
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
