"""Sends and receives datagrams over UDP; messages to one address are batched."""

import dataclasses
import ipaddress
import select
import socket
import threading
import typing as t

from ..clock import Clock
from ..core.messages import Message
from ..exceptions import PeerError
from ..logs import log_event
from .codec import DATAGRAM_BYTES
from .codec import DATAGRAM_BYTES_MAX
from .codec import Datagram
from .codec import decode
from .codec import encode

COALESCE_S = 0.002  # minimum time between two batches to an address
PENDING_MAX = 512  # queued messages for one address; further ones are dropped
RECEIVE_BURST = 64  # datagrams received between two checks for due messages
RECEIVE_BUFFER_BYTES = 1 << 20
IDLE_POLL_S = 0.5
DESTINATIONS_MAX = 4096

Receiver = t.Callable[[Datagram], None]


@dataclasses.dataclass(slots=True)
class Traffic:
    """Counts of datagrams and bytes.

    ``malformed``: received but not decodable; ``misdirected``: received but meant
    for another incarnation; ``unsent``: messages dropped because a
    queue was full, and datagrams that the socket refused; ``failed``: received
    datagrams whose handling raised an unexpected error.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    malformed: int = 0
    misdirected: int = 0
    unsent: int = 0
    failed: int = 0


@dataclasses.dataclass(slots=True)
class _Destination:
    address: tuple[str, int]
    receiver: int
    messages: list[Message] = dataclasses.field(default_factory=list)
    sent_at: float = float("-inf")


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(address: str) -> bool:
    """Return whether an address is ``ip:port``."""
    try:
        host, port = _parse_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port < 1 << 16


class UdpTransport:
    """Sends and receives the datagrams of one host.

    :param key: the secret that authenticates datagrams; if empty, the tag is a mere
        checksum.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        port: int,
        clock: Clock,
        key: bytes = b"",
    ) -> None:
        self.traffic = Traffic()
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._key = key
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((address, port))
        self._socket.setblocking(False)
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._lock = threading.Lock()
        self._destinations: dict[tuple[str, int], _Destination] = {}
        self._pending: dict[tuple[str, int], _Destination] = {}
        self._is_closing = False
        self._thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Return the bound UDP port."""
        port: int = self._socket.getsockname()[1]
        return port

    def start(self, receive: Receiver) -> None:
        """Start receiving; ``receive`` is called in the transport's thread."""
        self._thread = threading.Thread(
            target=self._run, args=(receive,), name="peers", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Send the queued messages, then stop and close the sockets."""
        self._flush_due(float("inf"))
        self._is_closing = True
        self._wake()
        if self._thread is not None:
            self._thread.join()
        self._socket.close()
        self._wake_writer.close()
        self._wake_reader.close()

    def send(self, address: str, incarnation: int, message: Message) -> None:
        """Queue a message to an incarnation of a host (0: any incarnation)."""
        key = (address, incarnation)
        with self._lock:
            destination = self._destinations.get(key)
            if destination is None:
                if len(self._destinations) >= DESTINATIONS_MAX:
                    self._destinations = dict(self._pending)
                destination = _Destination(_parse_address(address), incarnation)
                self._destinations[key] = destination
            if len(destination.messages) >= PENDING_MAX:
                self.traffic.unsent += 1
                return
            destination.messages.append(message)
            self._pending[key] = destination

    def flush(self) -> None:
        """Send the queued messages to each address that :data:`COALESCE_S` permits."""
        self._flush_due(self._clock.monotonic())
        if self._pending:
            self._wake()

    def _flush_due(self, now: float) -> None:
        batches: list[tuple[_Destination, list[Message]]] = []
        with self._lock:
            for key, destination in list(self._pending.items()):
                if now - destination.sent_at < COALESCE_S:
                    continue
                del self._pending[key]
                destination.sent_at = now
                batches.append((destination, destination.messages))
                destination.messages = []
        for destination, messages in batches:
            self._send_batch(destination, messages)

    def _send_batch(self, destination: _Destination, messages: list[Message]) -> None:
        datagram = Datagram(
            self._name, self._incarnation, destination.receiver, tuple(messages)
        )
        data = encode(datagram, self._key)
        if len(data) > DATAGRAM_BYTES and len(messages) > 1:
            middle = len(messages) // 2
            self._send_batch(destination, messages[:middle])
            self._send_batch(destination, messages[middle:])
            return
        try:
            self._socket.sendto(data, destination.address)
        except OSError:
            self.traffic.unsent += 1
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            return  # the buffer is full, so the thread wakes up anyway

    def _run(self, receive: Receiver) -> None:
        readers = (self._socket, self._wake_reader)
        while not self._is_closing:
            wait_s = COALESCE_S if self._pending else IDLE_POLL_S
            ready, _, _ = select.select(readers, (), (), wait_s)
            if self._wake_reader in ready:
                self._drain_wake()
            if self._socket in ready:
                self._receive_burst(receive)
            self._flush_due(self._clock.monotonic())

    def _drain_wake(self) -> None:
        try:
            self._wake_reader.recv(4096)
        except OSError:
            return

    def _receive_burst(self, receive: Receiver) -> None:
        for _ in range(RECEIVE_BURST):
            try:
                data, _ = self._socket.recvfrom(DATAGRAM_BYTES_MAX + 1)
            except OSError:
                return
            self.traffic.received += 1
            self.traffic.received_bytes += len(data)
            try:
                datagram = decode(data, self._key)
            except PeerError:
                self.traffic.malformed += 1
                continue
            if datagram.receiver not in (0, self._incarnation):
                self.traffic.misdirected += 1
                continue
            self._deliver(datagram, receive)

    def _deliver(self, datagram: Datagram, receive: Receiver) -> None:
        try:
            receive(datagram)
        except Exception as error:
            # If this thread ended, the host would receive no more datagrams.
            self.traffic.failed += 1
            log_event(
                "datagram_failed",
                level="ERROR",
                peer=datagram.sender,
                error=type(error).__name__,
            )
