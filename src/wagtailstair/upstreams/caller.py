"""Non-blocking writes to a caller's socket from the loop's thread."""

import select
import socket

from .loop import Callback
from .loop import Loop

_EPOLL_DISCONNECT = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerSocket:
    """A bounded buffer in front of a caller's socket.

    All methods but the constructor run in the loop's thread.

    :param limit: buffered bytes from which :meth:`is_full` returns True.
    """

    __slots__ = (
        "_buffer",
        "_limit",
        "_loop",
        "_on_drained",
        "_socket",
        "is_disconnected",
        "on_disconnect",
        "on_writable",
    )

    def __init__(self, loop: Loop, sock: socket.socket, limit: int) -> None:
        self._loop = loop
        self._socket = sock
        self._limit = limit
        self._buffer = bytearray()
        self._on_drained: Callback | None = None
        self.is_disconnected = False
        self.on_disconnect: Callback | None = None
        self.on_writable: Callback | None = None

    def open(self) -> None:
        """Start watching for a disconnect of the caller."""
        self._loop.watch(self._socket.fileno(), _EPOLL_DISCONNECT, self._on_ready)

    def close(self) -> None:
        """Stop watching; the request's thread closes the socket itself."""
        self._loop.unwatch(self._socket.fileno())

    def is_full(self) -> bool:
        """Return whether the buffer is full because the caller reads too slowly."""
        return len(self._buffer) >= self._limit

    def send(self, data: bytes) -> None:
        """Send what the socket accepts without blocking and buffer the rest."""
        if self.is_disconnected:
            return
        if self._buffer:
            self._buffer += data
            return
        sent = self._try_send(data)
        if sent < len(data) and not self.is_disconnected:
            self._buffer += data[sent:]
            mask = _EPOLL_DISCONNECT | select.EPOLLOUT
            self._loop.watch(self._socket.fileno(), mask, self._on_ready)

    def drain(self, on_drained: Callback) -> None:
        """Call back once the buffer is empty or the caller has disconnected."""
        if self.is_disconnected or not self._buffer:
            on_drained()
            return
        self._on_drained = on_drained

    def _try_send(self, data: bytes | bytearray) -> int:
        try:
            return self._socket.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0
        except OSError:
            self._mark_disconnected()
            return 0

    def _on_ready(self, mask: int) -> None:
        if mask & _EPOLL_DISCONNECT:
            self._mark_disconnected()
            return
        sent = self._try_send(self._buffer)
        if self.is_disconnected:
            return
        del self._buffer[:sent]
        if self._buffer:
            return
        self._loop.watch(self._socket.fileno(), _EPOLL_DISCONNECT, self._on_ready)
        self._notify_drained()
        if self.on_writable is not None:
            self.on_writable()

    def _mark_disconnected(self) -> None:
        if self.is_disconnected:
            return
        self.is_disconnected = True
        self._buffer.clear()
        self.close()
        self._notify_drained()
        if self.on_disconnect is not None:
            self.on_disconnect()

    def _notify_drained(self) -> None:
        on_drained = self._on_drained
        self._on_drained = None
        if on_drained is not None:
            on_drained()
