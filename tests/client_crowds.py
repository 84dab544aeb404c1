"""Clients that misuse their connections, and the gateway process that they meet."""

import itertools
import pathlib
import re
import socket
import typing as t

from tests.gateway_deployment import Engine
from tests.gateway_deployment import PendingRequest
from tests.gateway_deployment import Service
from tests.soak.hosts import HostProcess
from wagtailstair.gateway.loop import READABLE
from wagtailstair.gateway.loop import WRITABLE
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.settings import HostSection

MEMORY_MB = 96
DESCRIPTORS = 256
"""Stated memory and descriptors of the host, which are the bounds of the tests."""

HOST_LIMITS = f"memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n"
HOST_LIMIT_FIELDS = {"memory_mb", "descriptors"}

RECEIVE_BUFFER_BYTES = 4096
"""Small, so that answers which a client does not read stay in the gateway."""

ANSWER_BYTES = 1 << 20
EVENT_BYTES = 256 << 10
"""A stream has 6 MB, since the kernel holds up to 4 MB of what a client leaves."""

NOT_EXECUTED = {400, 401, 404, 408, 413, 429, 431, 503}
"""Statuses with which the gateway rejects a request; the stand-ins send none."""

STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")

Buffers = t.Sequence[bytes]


def host_limits() -> str:
    """Return the settings of the host's limits, if the product has them."""
    fields = set(HostSection.__struct_fields__)
    return HOST_LIMITS if fields >= HOST_LIMIT_FIELDS else ""


class LimitedHost(HostProcess):
    """A gateway process whose settings state the memory and descriptors of its host."""

    max_memory_mb = MEMORY_MB

    def settings_text(self) -> str:
        text = super().settings_text()
        return text.replace("[host]\n", "[host]\n" + host_limits(), 1)

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        assert self.process is not None
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))


class LargeService(Service):
    """A service whose answers are large, but for ordinary requests."""

    is_large = False

    def answer(self, pending: PendingRequest) -> None:
        attempt = pending.request.header(b"x-attempt-id")
        if not self.is_large or attempt.startswith(b"ordinary"):
            super().answer(pending)
            return
        self.record_arrival(pending)
        signed = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        pending.caller.answer(200, b"Fine", signed, bytes(ANSWER_BYTES))


class LargeEngine(Engine):
    """An engine whose streams are larger than the gateway may buffer."""

    events = 24
    pause_s = 0.05

    def write(self, pending: PendingRequest, data: bytes) -> None:
        super().write(pending, data.replace(b"data: ", b"data: " + b"e" * EVENT_BYTES))


class CrowdClient:
    """A connection that sends and reads in parts, at a given pace.

    :param buffers: what it sends; it stays open afterwards.
    :param attempts: the attempt ids of the requests in it, in order.
    :param piece_bytes: most bytes of one send; 0 for no bound.
    :param pause_s: seconds between two sends.
    :param read_bytes: bytes that it reads every ``pause_s``; ``None`` if it reads all
        at once.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        buffers: Buffers,
        attempts: t.Sequence[str] = (),
        *,
        piece_bytes: int = 0,
        pause_s: float = 0.0,
        read_bytes: int | None = None,
    ) -> None:
        self.attempts = attempts
        self.is_closed = False
        self.data = b""
        self._loop = loop
        self._buffers = [memoryview(buffer) for buffer in buffers]
        self._piece_bytes = piece_bytes
        self._pause_s = pause_s
        self._read_bytes = read_bytes
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if read_bytes is not None:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ip, _, port = address.rpartition(":")
        self._sock.connect_ex((ip, int(port)))
        loop.add(self._sock.fileno(), self._events(WRITABLE), self._on_events)
        if read_bytes:
            loop.call_later(pause_s, self._read_slowly)

    @property
    def has_sent(self) -> bool:
        """Return whether all is sent, or the gateway has closed the connection."""
        return self.is_closed or not self._buffers

    def rejected(self) -> set[str]:
        """Return the attempts which the answers name as not executed."""
        statuses = [int(status) for status in STATUS_LINE.findall(self.data)]
        found = set()
        for attempt, status in zip(self.attempts, statuses, strict=False):
            if status in NOT_EXECUTED:
                found.add(attempt)
        return found

    def read_arrived(self) -> None:
        """Read what has arrived, also if this client reads slowly or not at all."""
        try:
            while not self.is_closed:
                self._read(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove(self._sock.fileno())
        self._sock.close()

    def _events(self, events: int) -> int:
        return events | READABLE if self._read_bytes is None else events

    def _on_events(self, mask: int) -> None:
        try:
            if self._read_bytes is None and mask & READABLE:
                self._read(1 << 16)
            elif mask & ~(READABLE | WRITABLE):
                self.close()
            if mask & WRITABLE and not self.is_closed:
                self._send()
        except BlockingIOError:
            return
        except OSError:  # rejecting such a client by a reset is allowed
            self.close()

    def _read(self, size: int) -> None:
        data = self._sock.recv(size)
        self.data += data
        if not data:
            self.close()

    def _read_slowly(self) -> None:
        if self.is_closed:
            return
        self._loop.call_later(self._pause_s, self._read_slowly)
        try:
            self._read(self._read_bytes or 0)
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def _send(self) -> None:
        if self._buffers:
            buffer = self._buffers[0]
            sent = self._sock.send(buffer[: self._piece_bytes or len(buffer)])
            if sent < len(buffer):
                self._buffers[0] = buffer[sent:]
            else:
                self._buffers.pop(0)
        if self._buffers and not self._pause_s:
            return
        self._loop.change(self._sock.fileno(), self._events(0))
        if self._buffers:
            self._loop.call_later(self._pause_s, self._resume_sending)

    def _resume_sending(self) -> None:
        if not self.is_closed:
            self._loop.change(self._sock.fileno(), self._events(WRITABLE))


def chunks(body: bytes, size: int) -> bytes:
    """Return the chunks of a body, without the last, empty one."""
    parts = []
    for start in itertools.count(0, size):
        part = body[start : start + size]
        if not part:
            return b"".join(parts)
        parts.append(b"%x\r\n%b\r\n" % (len(part), part))
    raise AssertionError
