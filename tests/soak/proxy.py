"""A TCP proxy on loopback that can delay, block, stall and reset connections."""

import enum
import socket

from wagtailstair.gateway.connection import Connection
from wagtailstair.gateway.connection import connect
from wagtailstair.gateway.connection import listen
from wagtailstair.gateway.loop import Loop

IP = "127.0.0.1"


class LinkMode(enum.Enum):
    """How a proxy treats the bytes of its connections."""

    OK = "ok"
    DELAYED = "delayed"
    # Blocks both directions; the connections stay open.
    SILENT = "silent"
    # Forwards only to the target, or only from it.
    FORWARD_ONLY = "forward_only"
    BACKWARD_ONLY = "backward_only"
    RESET = "reset"


class _Link:
    """A client's connection and its counterpart to the target."""

    def __init__(self, proxy: "Proxy", sock: socket.socket) -> None:
        self._proxy = proxy
        self._buffer: list[tuple[bool, bytes]] = []
        self.is_stalled = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._client = Connection(
            proxy.loop,
            sock,
            lambda data: self._receive(True, data),
            self._on_client_lost,
        )
        self._target = connect(
            proxy.loop,
            proxy.target,
            lambda data: self._receive(False, data),
            self._on_target_lost,
            lambda: None,
        )

    def reset(self) -> None:
        self._client.abort()
        self._target.abort()
        self._proxy.links.discard(self)

    def flush(self) -> None:
        """Forward the buffered bytes, in order."""
        buffered, self._buffer = self._buffer, []
        for is_forward, data in buffered:
            self._receive(is_forward, data)

    def _receive(self, is_forward: bool, data: bytes) -> None:
        if self._buffer or self.is_stalled or not self._proxy.passes(is_forward):
            self._buffer.append((is_forward, data))
            return
        if self._proxy.mode is LinkMode.DELAYED:
            self._buffer.append((is_forward, data))
            self._proxy.loop.call_later(self._proxy.delay_s, self._forward_delayed)
            return
        self._forward(is_forward, data)

    def _forward_delayed(self) -> None:
        """Forward delayed bytes, unless the link was blocked in the meantime."""
        buffered, self._buffer = self._buffer, []
        for index, (is_forward, data) in enumerate(buffered):
            if self.is_stalled or not self._proxy.passes(is_forward):
                self._buffer = buffered[index:]
                return
            self._forward(is_forward, data)

    def _forward(self, is_forward: bool, data: bytes) -> None:
        receiver = self._target if is_forward else self._client
        if data:
            receiver.write(data)
            return
        receiver.close_gracefully()

    def _on_client_lost(self, _error: OSError) -> None:
        self._target.abort()
        self._proxy.links.discard(self)

    def _on_target_lost(self, _error: OSError) -> None:
        self._client.abort()
        self._proxy.links.discard(self)


class Proxy:
    """Forwards connections to one target."""

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
        """Return whether the mode forwards bytes of a direction."""
        if self.mode is LinkMode.SILENT:
            return False
        one_way = LinkMode.BACKWARD_ONLY if is_forward else LinkMode.FORWARD_ONLY
        return self.mode is not one_way

    def set_mode(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change the mode, also for bytes that are already buffered."""
        self.mode = mode
        self.delay_s = delay_s
        for link in list(self.links):
            if mode is LinkMode.RESET:
                link.reset()
            elif mode is LinkMode.OK:
                link.flush()

    def stall_open_links(self) -> None:
        """Stall the open connections permanently; new ones work."""
        for link in self.links:
            link.is_stalled = True

    def _on_accept(self, sock: socket.socket) -> None:
        if self.mode is LinkMode.RESET:
            sock.close()
            return
        self.links.add(_Link(self, sock))
