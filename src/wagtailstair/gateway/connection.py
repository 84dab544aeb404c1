"""A TCP connection on the event loop, with a send buffer."""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
import typing as t

from ..core.admission.client_limits import ClientLimits
from ..logs import log_event
from .loop import FAILED
from .loop import READABLE
from .loop import WRITABLE
from .loop import Loop

READ_BYTES = 64 << 10

LINGER_S = 1.0
"""Seconds for which a connection is still read after the peer has acknowledged all
bytes, so that unread ones do not make the kernel reset it before the peer closes."""

FINISH_CHECK_S = 0.25
"""Seconds between two looks at what a peer has acknowledged."""

STALL_S = 15.0
"""Seconds without an acknowledgement after which a connection that is being finished is
closed: the default time that callers may be idle."""

QUEUED_BYTES = struct.Struct("i")
"""The C ``int`` of the number of bytes in a socket's send queue."""

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Number of probes. With the two times above, a silent connection fails after 3 s:
a host without disturbance for as long counts as reachable."""

USER_TIMEOUT_MS = 3000
"""Milliseconds after which unacknowledged data fails a connection: as long as the
keep-alive probes take."""


def set_options(sock: socket.socket, *, keepalive: bool) -> None:
    """Make a socket non-blocking, disable Nagle's algorithm, and add keep-alive.

    :param keepalive: probe the peer, so that a silent one is detected.
    """
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if not keepalive:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Connection:
    """A connected or connecting socket.

    :param on_data: called with received bytes, empty at end of file.
    :param on_lost: called with the error that broke the connection, but not after
        :meth:`close` or :meth:`abort`.
    :param on_connected: called once a connecting socket is connected.

    ``on_drained``, if set, is called each time the send buffer becomes empty, and
    ``on_closed`` once the descriptor is closed.
    """

    __slots__ = (
        "_acknowledged_at",
        "_events",
        "_is_connecting",
        "_is_finishing",
        "_loop",
        "_send_buffer",
        "_sock",
        "_stall_s",
        "_unacknowledged",
        "is_open",
        "on_closed",
        "on_connected",
        "on_data",
        "on_drained",
        "on_lost",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_data: t.Callable[[bytes], None],
        on_lost: t.Callable[[OSError], None],
        on_connected: t.Callable[[], None] | None = None,
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._send_buffer = bytearray()
        self.on_data = on_data
        self.on_lost = on_lost
        self.on_connected = on_connected
        self.on_drained: t.Callable[[], None] | None = None
        self.on_closed: t.Callable[[], None] | None = None
        self.is_open = True
        self._is_connecting = on_connected is not None
        self._is_finishing = False
        self._stall_s = STALL_S
        # Of a connection that is being finished: bytes at the last look, and when they
        # became fewer.
        self._unacknowledged = 0
        self._acknowledged_at = 0.0
        self._events = WRITABLE if self._is_connecting else READABLE
        loop.add(sock.fileno(), self._events, self._on_events)

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes in the send buffer."""
        return len(self._send_buffer)

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the number of bytes that the peer has not acknowledged."""
        if not self.is_open:
            return 0
        queued = bytearray(QUEUED_BYTES.size)
        # Some systems don't tell; then only the buffer counts.
        with contextlib.suppress(OSError):
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, queued)
        return len(self._send_buffer) + int(QUEUED_BYTES.unpack(queued)[0])

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them until the socket is writable."""
        if not self.is_open or self._is_finishing:
            return
        if self._send_buffer or self._is_connecting:
            self._send_buffer += data
            return
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(error)
            return
        if sent < len(data):
            self._send_buffer += memoryview(data)[sent:]
            self._set_events(self._events | WRITABLE)

    def pause(self) -> None:
        """Stop reading."""
        self._set_events(self._events & ~READABLE)

    def resume(self) -> None:
        """Resume reading."""
        if not self._is_connecting:
            self._set_events(self._events | READABLE)

    def close_gracefully(self, stall_s: float = STALL_S) -> None:
        """Send the buffer, then close after the peer.

        The connection is closed ``LINGER_S`` after the peer has acknowledged all bytes
        at the latest.

        :param stall_s: seconds without an acknowledgement after which it is closed.
        """
        if not self.is_open or self._is_finishing:
            return
        self._is_finishing = True
        self._stall_s = stall_s
        self.on_data = lambda _data: None
        self._unacknowledged = self.unacknowledged_bytes
        self._acknowledged_at = self._loop.now
        self._loop.call_later(FINISH_CHECK_S, self._check_finished)
        if not self._send_buffer:
            self._shut_down_sending()

    def _check_finished(self) -> None:
        if not self.is_open:
            return
        now, unacknowledged = self._loop.now, self.unacknowledged_bytes
        if unacknowledged < self._unacknowledged:
            self._acknowledged_at = now
        self._unacknowledged = unacknowledged
        limit_s = self._stall_s if unacknowledged else LINGER_S
        if now - self._acknowledged_at >= limit_s:
            self.close()
            return
        self._loop.call_later(FINISH_CHECK_S, self._check_finished)

    def close(self) -> None:
        """Close at once and drop unsent bytes."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.remove(self._sock.fileno())
        self._sock.close()
        self._send_buffer = bytearray()
        if self.on_closed is not None:
            self.on_closed()

    def abort(self) -> None:
        """Reset the connection, so that the peer can't take it for an end of file."""
        if not self.is_open:
            return
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def _shut_down_sending(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has already closed
            self.close()
            return
        self._set_events(READABLE)

    def _set_events(self, events: int) -> None:
        if self.is_open and events != self._events:
            self._events = events
            self._loop.change(self._sock.fileno(), events)

    def _fail(self, error: OSError) -> None:
        if not self.is_open:
            return
        self.close()
        if not self._is_finishing:
            self.on_lost(error)

    def _on_events(self, mask: int) -> None:
        if self._is_connecting:
            self._on_connect_result()
            return
        if mask & READABLE:
            self._read()
        elif mask & FAILED:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._fail(OSError(code or errno.ECONNRESET, "connection failed"))
            return
        if mask & WRITABLE and self.is_open:
            self._flush()

    def _on_connect_result(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(OSError(code, "connect failed"))
            return
        self._is_connecting = False
        self._set_events(READABLE)
        connected, self.on_connected = self.on_connected, None
        if connected is not None:
            connected()
        if self.is_open and self._send_buffer:
            self._flush()

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        if self._is_finishing and not data:
            self.close()
            return
        if not data:
            self._set_events(self._events & ~READABLE)
        self.on_data(data)

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._send_buffer)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        del self._send_buffer[:sent]
        if self._send_buffer:
            self._set_events(self._events | WRITABLE)
            return
        self._set_events(self._events & ~WRITABLE)
        if self._is_finishing:
            self._shut_down_sending()
        if self.on_drained is not None:
            self.on_drained()


def connect(
    loop: Loop,
    address: tuple[str, int],
    on_data: t.Callable[[bytes], None],
    on_lost: t.Callable[[OSError], None],
    on_connected: t.Callable[[], None],
) -> Connection:
    """Open a connection to an IP address and port.

    :raises OSError: if the connection fails at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_options(sock, keepalive=True)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, "connect failed")
    except OSError:
        sock.close()
        raise
    return Connection(loop, sock, on_data, on_lost, on_connected)


def listen(
    loop: Loop,
    address: tuple[str, int],
    on_accept: t.Callable[[socket.socket], None],
    read_limits: t.Callable[[], ClientLimits] = ClientLimits,
) -> socket.socket:
    """Accept connections at an address.

    :param read_limits: returns the limits in force.
    :raises OSError: if the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(1024)

    def resume() -> None:
        if sock.fileno() >= 0:
            loop.change(sock.fileno(), READABLE)

    def on_error(error: OSError) -> None:
        if error.errno not in EXHAUSTED:  # the peer has disconnected
            return
        log_event("accept_paused", level="WARNING", error=error.errno)
        loop.change(sock.fileno(), 0)
        loop.call_later(read_limits().accept_pause_s, resume)

    def on_events(_mask: int) -> None:
        while True:
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                on_error(error)
                return
            on_accept(accepted)

    loop.add(sock.fileno(), READABLE, on_events)
    return sock
