"""The other hosts: who lives, what they run on engines, what they know."""

import random
import socket
import typing as t

from ..core.host_rows import TABLE
from ..core.host_rows import decode_host
from ..core.host_rows import encode_host
from ..core.hosts import Event
from ..core.hosts import Heartbeat
from ..core.hosts import Host
from ..core.hosts import HostState
from ..core.hosts import PeerDead
from ..core.hosts import PeerLeaving
from ..core.hosts import PeerReplaced
from ..core.hosts import SelfPaused
from ..core.hosts import View
from ..core.hosts import ViewRequest
from ..core.membership import Membership
from ..core.messages import EngineLoad
from ..core.messages import EngineLost
from ..core.messages import Message
from ..core.store import Call
from ..core.store import StoreRow
from ..exceptions import PeerError
from ..exceptions import PlatformError
from ..logs import log_event
from ..peers.codec import DATAGRAM_BYTES_MAX
from ..peers.codec import Datagram
from ..peers.codec import decode
from ..peers.codec import encode
from ..platform import store as wire
from .fetch import Answer
from .fetch import Fetch
from .fetch import rows_of
from .loop import READABLE
from .loop import Loop
from .transfer import Upstream
from .transfer import UpstreamPool

HEARTBEAT_S = 0.25
"""Seconds between heartbeats inside a data centre; a quarter as often beyond."""

DEAD_AFTER_S = 1.25
"""Seconds of silence after which a peer is dead: five heartbeats."""

HOSTS_AGAIN_S = 20.0
"""Seconds between two reads of the host rows; newcomers greet by themselves."""

STORE_TIMEOUT_S = 1.0
BACKOFF_S = 0.5
BURST = 32
UINT32_MAX = (1 << 32) - 1


class PeerEvents(t.Protocol):
    """What the gateway is told by its peers, and what it tells them."""

    def lists_version(self) -> int:
        """Return the version of the lists in force here."""
        ...

    def engine_loads(self) -> list[EngineLoad]:
        """Return what this host has running on engines."""
        ...

    def on_engine_load(self, host: str, load: EngineLoad) -> None:
        """Take what a peer has running on an engine."""
        ...

    def on_engine_lost(self, host: Host, lost: EngineLost) -> None:
        """Take a peer's suspicion of an engine."""
        ...

    def on_peer_gone(self, name: str) -> None:
        """Take the end of a peer."""
        ...

    def on_newer_lists(self, host: Host, version: int) -> None:
        """Take word of a version of the lists that is not in force here."""
        ...


class Peers:
    """The place of this host among the others."""

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        host: Host,
        events: PeerEvents,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._store = store
        self._host = host
        self._events = events
        self._rng = rng
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self.membership = Membership(
            host, heartbeat_s=HEARTBEAT_S, dead_after_s=DEAD_AFTER_S, now=loop.now
        )

    def start(self) -> None:
        """Bind, tell the store of this host, and begin to send heartbeats."""
        ip, _, port = self._host.peer_address.rpartition(":")
        self._socket.bind((ip, int(port)))
        self._loop.add(self._socket.fileno(), READABLE, self._on_readable)
        self.membership.set_state(HostState.LIVE)
        self._register()
        self._tick()

    def leave(self) -> None:
        """Tell the others that this host ends."""
        self.membership.set_state(HostState.LEAVING)
        self.membership.hurry()

    def count(self) -> int:
        """Return how many hosts there may be, those not heard of lately too."""
        return max(1, len(self.membership.by_name) + 1)

    def live_hosts(self) -> list[Host]:
        """Return the other live hosts, those of this data centre first."""
        hosts = []
        for name in self.membership.live():
            host = self.membership.find(name)
            if host is not None and name != self._host.name:
                hosts.append(host)
        hosts.sort(key=lambda host: host.data_centre != self._host.data_centre)
        return hosts

    def tell_lost(self, lost: EngineLost) -> None:
        """Tell the hosts of this data centre of a suspicion."""
        for host in self.live_hosts():
            if host.data_centre == self._host.data_centre:
                self._send(host.peer_address, (lost,))

    # Rows of the store.

    def _register(self) -> None:
        value = encode_host(self._host)
        call = wire.transact_call((), [(TABLE, self._host.name, value)])
        self._fetch(call, self._read_hosts, self._register)

    def _read_hosts(self, _rows: t.Any) -> None:
        self._fetch(wire.read_call(TABLE), self._on_hosts, self._read_again)

    def _read_again(self) -> None:
        self._read_hosts(None)

    def _on_hosts(self, rows: t.Any) -> None:
        hosts = []
        for row in rows.rows:
            host = self._decode(row)
            if host is not None:
                hosts.append(host)
        self.membership.host_list(hosts, self._loop.now)
        delay_s = HOSTS_AGAIN_S * self._rng.uniform(0.8, 1.2)
        self._loop.call_later(delay_s, self._read_again)
        message = (self._heartbeat(),)
        for host in hosts:
            if host.name != self._host.name:
                self._send(host.peer_address, message)

    @staticmethod
    def _decode(row: StoreRow) -> Host | None:
        try:
            return decode_host(row)
        except PlatformError as error:
            log_event("host_unreadable", level="WARNING", reason=error)
            return None

    def _fetch(
        self,
        call: Call,
        then: t.Callable[[t.Any], None],
        again: t.Callable[[], None],
    ) -> None:
        def on_answer(answer: Answer) -> None:
            try:
                rows = rows_of(answer)
            except PlatformError as error:
                log_event("hosts_unread", level="WARNING", reason=error)
                pause_s = BACKOFF_S * self._rng.uniform(0.5, 1.5)
                self._loop.call_later(pause_s, again)
                return
            then(rows)

        Fetch(self._loop, self._pool, self._store, call, STORE_TIMEOUT_S, on_answer)

    # Datagrams.

    def _heartbeat(self) -> Heartbeat:
        version = self._events.lists_version()
        return self.membership.next_heartbeat(version, version)

    def _tick(self) -> None:
        self._loop.call_later(HEARTBEAT_S, self._tick)
        now = self._loop.now
        self._note(self.membership.tick(now))
        inside, remote = self.membership.due(now)
        if not inside and not remote:
            return
        heartbeat = self._heartbeat()
        messages: tuple[Message, ...]
        messages = (heartbeat, *self._events.engine_loads())
        for address in inside:
            self._send(address, messages)
        for address in remote:
            self._send(address, messages)
        for address in self.membership.views_wanted(now):
            self._send(address, (ViewRequest(),))

    def _note(self, events: list[Event]) -> None:
        for event in events:
            name = event.host.name if not isinstance(event, SelfPaused) else ""
            log_event("peer_changed", change=type(event).__name__, peer=name)
            if isinstance(event, PeerDead | PeerReplaced | PeerLeaving):
                self._events.on_peer_gone(name)

    def _send(self, address: str, messages: tuple[Message, ...]) -> None:
        data = encode(Datagram(self._host.name, self._host.incarnation, 0, messages))
        ip, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (ip, int(port)))
        except OSError as error:
            log_event("datagram_unsent", level="DEBUG", to=address, error=error.errno)

    def _on_readable(self, _mask: int) -> None:
        for _ in range(BURST):
            try:
                data, _ = self._socket.recvfrom(DATAGRAM_BYTES_MAX + 1)
            except OSError:  # nothing more waits
                return
            try:
                datagram = decode(data)
            except PeerError as error:
                log_event("datagram_malformed", level="WARNING", reason=error)
                continue
            for message in datagram.messages:
                self._take(datagram.sender, message)

    def _take(self, sender: str, message: Message) -> None:
        now = self._loop.now
        if isinstance(message, Heartbeat):
            known = message.host.name in self.membership.by_name
            self._note(self.membership.heartbeat(message, now))
            if not known:
                self._send(message.host.peer_address, (self._heartbeat(),))
            if message.lists_version > self._events.lists_version():
                self._events.on_newer_lists(message.host, message.lists_version)
        elif isinstance(message, EngineLoad):
            self._events.on_engine_load(sender, message)
        elif isinstance(message, EngineLost):
            host = self.membership.find(sender)
            if host is not None:
                self._events.on_engine_lost(host, message)
        elif isinstance(message, View):
            self._note(self.membership.view(sender, message, now))
        elif isinstance(message, ViewRequest):
            host = self.membership.find(sender)
            if host is not None:
                self._send(host.peer_address, (self.membership.own_view(),))
