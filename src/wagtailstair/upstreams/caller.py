"""A caller's socket, written from the loop's thread without blocking."""

import select
import socket

from .loop import Callback
from .loop import Loop

_EPOLL_DISCONNECT = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerSocket:
    """A bounded buffer in front of a caller's socket.

    All methods but the constructor run in the loop's thread.

    :param limit: bytes that may wait before :meth:`is_full` is true.
    """

    __slots__ = (
        "_buffer",
        "_limit",
        "_loop",
        "_on_drained",
        "_socket",
        "gone",
        "on_gone",
        "on_room",
    )

    def __init__(self, loop: Loop, sock: socket.socket, limit: int) -> None:
        self._loop = loop
        self._socket = sock
        self._limit = limit
        self._buffer = bytearray()
        self._on_drained: Callback | None = None
        self.gone = False
        self.on_gone: Callback | None = None
        self.on_room: Callback | None = None

    def open(self) -> None:
        """Begin to watch for the caller's disconnect."""
        self._loop.watch(self._socket.fileno(), _EPOLL_DISCONNECT, self._on_ready)

    def close(self) -> None:
        """Stop watching; the socket itself belongs to the request's thread."""
        self._loop.unwatch(self._socket.fileno())

    def is_full(self) -> bool:
        """Tell whether the caller reads too slowly to take more."""
        return len(self._buffer) >= self._limit

    def send(self, data: bytes) -> None:
        """Send what the socket takes at once and keep the rest."""
        if self.gone:
            return
        if self._buffer:
            self._buffer += data
            return
        sent = self._try_send(data)
        if sent < len(data) and not self.gone:
            self._buffer += data[sent:]
            mask = _EPOLL_DISCONNECT | select.EPOLLOUT
            self._loop.watch(self._socket.fileno(), mask, self._on_ready)

    def drain(self, on_drained: Callback) -> None:
        """Call back once nothing waits, or the caller is gone."""
        if self.gone or not self._buffer:
            on_drained()
            return
        self._on_drained = on_drained

    def _try_send(self, data: bytes | bytearray) -> int:
        try:
            return self._socket.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return 0
        except OSError:
            self._lose()
            return 0

    def _on_ready(self, mask: int) -> None:
        if mask & _EPOLL_DISCONNECT:
            self._lose()
            return
        sent = self._try_send(self._buffer)
        if self.gone:
            return
        del self._buffer[:sent]
        if self._buffer:
            return
        self._loop.watch(self._socket.fileno(), _EPOLL_DISCONNECT, self._on_ready)
        self._notify_drained()
        if self.on_room is not None:
            self.on_room()

    def _lose(self) -> None:
        if self.gone:
            return
        self.gone = True
        self._buffer.clear()
        self.close()
        self._notify_drained()
        if self.on_gone is not None:
            self.on_gone()

    def _notify_drained(self) -> None:
        on_drained = self._on_drained
        self._on_drained = None
        if on_drained is not None:
            on_drained()
