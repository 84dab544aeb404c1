"""Links with a limited bandwidth between two sockets of one event loop."""

import collections
import socket
import typing as t

from wagtailstair.gateway.connection import Connection
from wagtailstair.gateway.connection import connect
from wagtailstair.gateway.connection import listen
from wagtailstair.gateway.loop import Loop

TICK_S = 0.02
IP = "127.0.0.1"


class SlowLink:
    """Carries the bytes of all connections of a host, in order, at a fixed rate.

    ``sent``: bytes carried so far.
    """

    def __init__(self, loop: Loop, bytes_per_s: float) -> None:
        self.loop = loop
        self.bytes_per_s = bytes_per_s
        self.sent = 0
        self._queue: collections.deque[tuple[Connection, bytes]] = collections.deque()
        self._is_ticking = False

    def carry(self, connection: Connection, data: bytes) -> None:
        """Queue bytes for a connection; empty bytes close it."""
        self._queue.append((connection, data))
        if not self._is_ticking:
            self._is_ticking = True
            self.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        left = max(1, int(self.bytes_per_s * TICK_S))
        while self._queue and left > 0:
            connection, data = self._queue.popleft()
            if not connection.is_open:
                continue
            if not data:
                connection.close_gracefully()
                continue
            part, rest = data[:left], data[left:]
            connection.write(part)
            self.sent += len(part)
            left -= len(part)
            if rest:
                self._queue.appendleft((connection, rest))
        self._is_ticking = bool(self._queue)
        if self._is_ticking:
            self.loop.call_later(TICK_S, self._tick)

    def wrap(self, accept: t.Callable[[socket.socket], None], sock: socket.socket):
        """Accept a connection whose outgoing bytes go over this link."""
        near, far = socket.socketpair()
        near.setblocking(False)
        accept(_TcpLike(far))
        self.join(
            Connection(self.loop, _plain(sock), lambda _data: None, lambda _e: None),
            Connection(self.loop, near, lambda _data: None, lambda _e: None),
        )

    def join(self, outside: Connection, inside: Connection) -> None:
        """Pass bytes between two connections; those to ``outside`` are slow."""
        outside.on_data = lambda data: _pass_on(inside, data)
        outside.on_lost = lambda _error: inside.abort()
        inside.on_data = lambda data: self.carry(outside, data)
        inside.on_lost = lambda _error: outside.abort()


class SlowServer:
    """Forwards connections to a server, whose answers come over a slow link."""

    def __init__(self, link: SlowLink, target: str) -> None:
        self.link = link
        ip, _, port = target.rpartition(":")
        self._target = (ip, int(port))
        self._socket = listen(link.loop, (IP, 0), self._on_accept)
        self.address = f"{IP}:{self._socket.getsockname()[1]}"

    def _on_accept(self, sock: socket.socket) -> None:
        loop = self.link.loop
        outside = Connection(loop, _plain(sock), lambda _d: None, lambda _e: None)
        inside = connect(
            loop, self._target, lambda _d: None, lambda _e: None, lambda: None
        )
        self.link.join(outside, inside)


class _TcpLike(socket.socket):
    """One end of a socket pair that ignores the options of TCP."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock.family, sock.type, sock.proto, sock.detach())

    def setsockopt(self, level: int, *args: t.Any) -> None:
        if level != socket.IPPROTO_TCP:
            super().setsockopt(level, *args)


def _plain(sock: socket.socket) -> socket.socket:
    sock.setblocking(False)
    return sock


def _pass_on(connection: Connection, data: bytes) -> None:
    if not data:
        connection.close_gracefully()
        return
    connection.write(data)
