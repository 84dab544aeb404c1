"""A TCP proxy on loopback whose links can be delayed, cut, silenced and reset."""

import enum
import socket

from wagtailstair.gateway.connection import Connection
from wagtailstair.gateway.connection import connect
from wagtailstair.gateway.connection import listen
from wagtailstair.gateway.loop import Loop

IP = "127.0.0.1"


class LinkMode(enum.Enum):
    """What becomes of bytes."""

    OK = "ok"
    DELAYED = "delayed"
    # Nothing passes, and nobody is told.
    SILENT = "silent"
    # Only towards the target, or only back from it.
    FORWARD_ONLY = "forward_only"
    BACKWARD_ONLY = "backward_only"
    RESET = "reset"


class _Link:
    """A connection from outside and its counterpart to the target."""

    def __init__(self, proxy: "Proxy", sock: socket.socket) -> None:
        self._proxy = proxy
        self._held: list[tuple[bool, bytes]] = []
        self.is_stalled = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._outer = Connection(
            proxy.loop, sock, lambda data: self._take(True, data), self._on_outer_lost
        )
        self._inner = connect(
            proxy.loop,
            proxy.target,
            lambda data: self._take(False, data),
            self._on_inner_lost,
            lambda: None,
        )

    def reset(self) -> None:
        self._outer.abort()
        self._inner.abort()
        self._proxy.links.discard(self)

    def flush(self) -> None:
        """Pass on what was held, in order."""
        held, self._held = self._held, []
        for is_forward, data in held:
            self._take(is_forward, data)

    def _take(self, is_forward: bool, data: bytes) -> None:
        if self._held or self.is_stalled or not self._proxy.passes(is_forward):
            self._held.append((is_forward, data))
            return
        if self._proxy.mode is LinkMode.DELAYED:
            self._held.append((is_forward, data))
            self._proxy.loop.call_later(self._proxy.delay_s, self._release)
            return
        self._pass(is_forward, data)

    def _release(self) -> None:
        """Pass on what a delay has held, unless the link is cut meanwhile."""
        held, self._held = self._held, []
        for index, (is_forward, data) in enumerate(held):
            if self.is_stalled or not self._proxy.passes(is_forward):
                self._held = held[index:]
                return
            self._pass(is_forward, data)

    def _pass(self, is_forward: bool, data: bytes) -> None:
        side = self._inner if is_forward else self._outer
        if data:
            side.write(data)
            return
        side.close_gracefully()

    def _on_outer_lost(self, _error: OSError) -> None:
        self._inner.abort()
        self._proxy.links.discard(self)

    def _on_inner_lost(self, _error: OSError) -> None:
        self._outer.abort()
        self._proxy.links.discard(self)


class Proxy:
    """Passes connections on to one target."""

    def __init__(self, loop: Loop, target: str, port: int = 0) -> None:
        self.loop = loop
        ip, _, number = target.rpartition(":")
        self.target = (ip, int(number))
        self.mode = LinkMode.OK
        self.delay_s = 0.0
        self.links: set[_Link] = set()
        sock = listen(loop, (IP, port), self._on_accept)
        self.address = f"{IP}:{sock.getsockname()[1]}"

    def passes(self, is_forward: bool) -> bool:
        """Tell whether bytes of a direction get through."""
        if self.mode is LinkMode.SILENT:
            return False
        one_way = LinkMode.BACKWARD_ONLY if is_forward else LinkMode.FORWARD_ONLY
        return self.mode is not one_way

    def set_mode(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change what becomes of bytes, those that are held with them."""
        self.mode = mode
        self.delay_s = delay_s
        for link in list(self.links):
            if mode is LinkMode.RESET:
                link.reset()
            elif mode is LinkMode.OK:
                link.flush()

    def stall_open(self) -> None:
        """Silence the open connections for good, while new ones work."""
        for link in self.links:
            link.is_stalled = True

    def _on_accept(self, sock: socket.socket) -> None:
        if self.mode is LinkMode.RESET:
            sock.close()
            return
        self.links.add(_Link(self, sock))
