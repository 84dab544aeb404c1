"""The other hosts: which are live, their load on engines, their table versions."""

import random
import socket
import typing as t

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
from ..core.messages import EngineFailed
from ..core.messages import EngineLost
from ..core.messages import EngineUses
from ..core.messages import Message
from ..core.messages import QueueCounts
from ..core.quarantine import CrashSuspects
from ..core.store import StoreVersion
from ..exceptions import PeerError
from ..logs import log_event
from ..peers.codec import DATAGRAM_BYTES_MAX
from ..peers.codec import Datagram
from ..peers.codec import decode
from ..peers.codec import encode
from .host_registry import HostRegistry
from .loop import READABLE
from .loop import Loop
from .store_eras import StoreEras
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

HEARTBEAT_S = 0.25
"""Seconds between heartbeats inside a data centre; other data centres get a quarter
as many."""

DEAD_AFTER_S = 1.25
"""Seconds without a heartbeat after which a peer is dead: five intervals."""

FULL_RATE_PEERS = 10
"""Peers in a data centre up to which the heartbeat interval is not stretched: 40
heartbeats a second take one percent of a small CPU core."""

DELEGATES = 2
"""Hosts of a data centre that follow the store and send heartbeats to other data
centres."""

DELEGATE_TIMEOUT_S = 1.25
"""Seconds without a heartbeat after which a delegate is replaced; changes of the
store must arrive within 2 s."""

DISCOVERY_S = 0.1
"""Seconds in which peers answer the first heartbeat of a host that has started."""

DISCOVERY_TIMEOUT_S = 0.5
"""Seconds after which a host that can't read the host rows stops waiting for them."""

ANNOUNCE_INTERVAL_S = 0.1
"""Minimum seconds between two extra heartbeats that announce changes."""

CENTRE_USES_TIMEOUT_S = 5.0
"""Seconds after which the load last reported by a data centre is dropped."""

DATAGRAMS_PER_EVENT = 32
"""Maximum datagrams read at once, so that other sockets and timers are not delayed."""


SUSPECTS_INTERVAL_S = 1.0
SUSPECTS_PEERS = 2
"""Hosts to which the suspects of crashes are sent in each such interval, as long as
there are any: a host that has missed them learns them within a few seconds."""


class PeerEvents(t.Protocol):
    """The gateway's state that is sent to peers, and callbacks for their messages."""

    def lists_version(self) -> int:
        """Return the version of the lists in force here."""
        ...

    def upstreams_version(self) -> StoreVersion:
        """Return the version of the newest change of upstreams received here."""
        ...

    def is_store_unreachable(self) -> bool:
        """Return whether this host's last call to the store failed."""
        ...

    def own_uses(self) -> EngineUses:
        """Return the load that the requests of this host put on engines."""
        ...

    def centre_uses(self) -> EngineUses:
        """Return the load that the requests of this data centre put on engines."""
        ...

    def on_engine_uses(self, message: EngineUses) -> None:
        """Apply the load that the requests of another source put on engines."""
        ...

    def queue_counts(self) -> QueueCounts | None:
        """Return what this host has queued and started, ``None`` to send nothing."""
        ...

    def on_queue_counts(self, source: str, message: QueueCounts) -> None:
        """Apply what a live host of this data centre has queued and started."""
        ...

    def on_engine_lost(self, host: Host, lost: EngineLost) -> None:
        """Suspect an engine that a peer suspects."""
        ...

    def on_engine_failed(self, host: Host, failed: EngineFailed) -> None:
        """Record that an engine has failed a request of a peer."""
        ...

    def on_source_gone(self, source: str, *, is_centre: bool) -> None:
        """Drop the load reported by a peer or data centre that is gone."""
        ...

    def crash_suspects(self) -> CrashSuspects | None:
        """Return what the other hosts should know of crashes, ``None`` for nothing."""
        ...

    def on_crash_suspects(self, message: CrashSuspects) -> CrashSuspects | None:
        """Apply what a peer knows of crashes; return a reply, if there is one."""
        ...

    def on_table_versions(
        self, host: Host, lists: int, upstreams: StoreVersion
    ) -> None:
        """Apply the versions of the tables that a peer's heartbeat announces."""
        ...

    def on_peers_discovered(self) -> None:
        """Handle the end of discovery: the live peers have had time to answer."""
        ...


class Peers:
    """Exchanges heartbeats and the load on engines with the other hosts."""

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        host: Host,
        events: PeerEvents,
        rng: random.Random,
        eras: StoreEras,
    ) -> None:
        self._loop = loop
        self._host = host
        self._events = events
        self._rng = rng
        self._suspects_sent_at = float("-inf")
        self._registry = HostRegistry(
            loop,
            pool,
            store,
            host,
            rng,
            eras,
            on_hosts=self._on_hosts,
            should_reread=self.is_first_delegate,
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self.membership = Membership(
            host,
            heartbeat_s=HEARTBEAT_S,
            dead_after_s=DEAD_AFTER_S,
            now=loop.now,
            full_rate_peers=FULL_RATE_PEERS,
        )
        self._started_at = loop.now
        # Time of the first read of the host rows.
        self._rows_read_at: float | None = None
        self._announced_at = float("-inf")
        self._is_delegate = True
        # The last message of each other data centre and the time of its arrival.
        self._uses_by_centre: dict[str, tuple[EngineUses, float]] = {}
        # Data centres whose last message is still to be forwarded.
        self._unforwarded_centres: set[str] = set()

    def start(self) -> None:
        """Bind the socket, write the row of this host and start to send heartbeats."""
        ip, _, port = self._host.peer_address.rpartition(":")
        self._socket.bind((ip, int(port)))
        self._loop.add(self._socket.fileno(), READABLE, self._on_readable)
        self._started_at = self._loop.now
        self.membership.set_state(HostState.LIVE)
        self._registry.start()
        self._tick()

    def leave(self) -> None:
        """Announce to the other hosts that this host is leaving."""
        self.membership.set_state(HostState.LEAVING)
        self.membership.make_heartbeats_due()

    def count(self) -> int:
        """Return the number of known hosts, including dead ones and this one."""
        return max(1, len(self.membership.by_name) + 1)

    def live_names(self) -> tuple[str, ...]:
        """Return the names of the live hosts and this one, the same until a change."""
        return self.membership.live()

    def live_hosts(self) -> list[Host]:
        """Return the other live hosts, those of this data centre first."""
        hosts = []
        for name in self.membership.live():
            host = self.membership.find(name)
            if host is not None and name != self._host.name:
                hosts.append(host)
        hosts.sort(key=lambda host: host.data_centre != self._host.data_centre)
        return hosts

    def is_delegate(self) -> bool:
        """Return whether this host is a delegate of its data centre."""
        return self._is_among_delegates(DELEGATES)

    def is_first_delegate(self) -> bool:
        """Return whether this host is the first delegate of its data centre."""
        return self._is_among_delegates(1)

    def _is_among_delegates(self, count: int) -> bool:
        now = self._loop.now
        is_delegate = self.membership.is_delegate(count, now, DELEGATE_TIMEOUT_S)
        return is_delegate and self._is_discovery_done()

    def announce(self) -> None:
        """Send an extra heartbeat to this data centre, with the new versions."""
        now = self._loop.now
        if now - self._announced_at < ANNOUNCE_INTERVAL_S:
            return
        self._announced_at = now
        hosts = self.membership.live_local_hosts()
        self._send_all([host.peer_address for host in hosts], (self._heartbeat(),))

    def _is_discovery_done(self) -> bool:
        """Return whether the live hosts have had time to answer a heartbeat."""
        now = self._loop.now
        if self._rows_read_at is not None:
            return now >= self._rows_read_at + DISCOVERY_S
        return now >= self._started_at + DISCOVERY_TIMEOUT_S

    def broadcast_engine_lost(self, lost: EngineLost) -> None:
        """Report a suspected engine to the hosts of this data centre."""
        hosts = self.membership.live_local_hosts()
        self._send_all([host.peer_address for host in hosts], (lost,))

    def broadcast_engine_failed(self, failed: EngineFailed) -> None:
        """Report an engine that failed a request to all live hosts."""
        self._send_all([host.peer_address for host in self.live_hosts()], (failed,))

    def broadcast_suspects(self, message: CrashSuspects) -> None:
        """Send the suspects of crashes to all live hosts."""
        self._send_all([host.peer_address for host in self.live_hosts()], (message,))

    def _repeat_suspects(self, now: float) -> None:
        """Send the suspects of crashes to some hosts, in case they have missed them."""
        if now - self._suspects_sent_at < SUSPECTS_INTERVAL_S:
            return
        self._suspects_sent_at = now
        message = self._events.crash_suspects()
        if message is None:
            return
        hosts = self.live_hosts()
        chosen = self._rng.sample(hosts, min(SUSPECTS_PEERS, len(hosts)))
        self._send_all([host.peer_address for host in chosen], (message,))

    def _on_hosts(self, hosts: list[Host]) -> None:
        """Send a heartbeat to the hosts that the host rows name."""
        self.membership.apply_host_list(hosts, self._loop.now)
        others = [h.peer_address for h in hosts if h.name != self._host.name]
        self._send_all(others, (self._heartbeat(),))
        if self._rows_read_at is None:
            self._rows_read_at = self._loop.now
            self._loop.call_later(DISCOVERY_S, self._events.on_peers_discovered)

    # Datagrams.

    def _heartbeat(self) -> Heartbeat:
        version = self._events.lists_version()
        return self.membership.next_heartbeat(
            version,
            version,
            upstreams_version=self._events.upstreams_version(),
            is_store_unreachable=self._events.is_store_unreachable(),
        )

    def _tick(self) -> None:
        self._loop.call_later(HEARTBEAT_S, self._tick)
        now = self._loop.now
        self._handle_events(self.membership.tick(now))
        inside, remote = self.membership.due_addresses(now)
        if inside:
            self._send_all(inside, (self._heartbeat(), self._events.own_uses()))
            self._forward_centre_uses(inside)
        if remote and self._update_delegate():
            uses = self._events.centre_uses()
            self._send_all(remote, (self._heartbeat(), uses))
        self._send_all(self.membership.view_request_addresses(now), (ViewRequest(),))
        self._expire_centres(now)
        self._repeat_suspects(now)
        self._send_queue_counts()

    def _send_queue_counts(self) -> None:
        """Tell the hosts of this data centre what is queued here, if it matters.

        In a datagram of its own: hosts of older builds drop one with a message that
        they don't know, and must not miss heartbeats. Also sent between two
        heartbeats, as many hosts send these less often.
        """
        message = self._events.queue_counts()
        if message is not None:
            hosts = self.membership.live_local_hosts()
            self._send_all([host.peer_address for host in hosts], (message,))

    def _update_delegate(self) -> bool:
        """Log a change of this host's role; return whether it is a delegate."""
        is_delegate = self.is_delegate()
        if is_delegate is not self._is_delegate:
            self._is_delegate = is_delegate
            log_event("delegate_changed", is_delegate=is_delegate)
        return is_delegate

    def _forward_centre_uses(self, inside: list[str]) -> None:
        """Forward the load of other data centres to the hosts of this one."""
        if not self._unforwarded_centres or not self._is_delegate:
            self._unforwarded_centres.clear()
            return
        messages = []
        for centre in self._unforwarded_centres:
            messages.append(self._uses_by_centre[centre][0])
        self._unforwarded_centres.clear()
        self._send_all(inside, tuple(messages))

    def _expire_centres(self, now: float) -> None:
        """Drop the load of data centres that have not reported it in time."""
        for centre, (_, received_at) in list(self._uses_by_centre.items()):
            if now - received_at > CENTRE_USES_TIMEOUT_S:
                del self._uses_by_centre[centre]
                self._unforwarded_centres.discard(centre)
                self._events.on_source_gone(centre, is_centre=True)

    def _handle_events(self, events: list[Event]) -> None:
        """Log membership changes; drop the load of dead, leaving and replaced peers."""
        for event in events:
            name = event.host.name if not isinstance(event, SelfPaused) else ""
            log_event("peer_changed", change=type(event).__name__, peer=name)
            if isinstance(event, PeerDead | PeerReplaced | PeerLeaving):
                self._events.on_source_gone(name, is_centre=False)

    def _send(self, address: str, messages: tuple[Message, ...]) -> None:
        self._send_all([address], messages)

    def _send_all(
        self, addresses: t.Sequence[str], messages: tuple[Message, ...]
    ) -> None:
        """Send one datagram to each of the addresses."""
        if not addresses:
            return
        data = encode(Datagram(self._host.name, self._host.incarnation, 0, messages))
        for address in addresses:
            ip, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (ip, int(port)))
            except OSError as error:
                log_event(
                    "datagram_unsent", level="DEBUG", to=address, error=error.errno
                )

    def _on_readable(self, _mask: int) -> None:
        for _ in range(DATAGRAMS_PER_EVENT):
            try:
                data, _ = self._socket.recvfrom(DATAGRAM_BYTES_MAX + 1)
            except OSError:  # no datagram is left, or the socket has an error
                return
            try:
                datagram = decode(data)
            except PeerError as error:
                log_event("datagram_malformed", level="WARNING", reason=error)
                continue
            for message in datagram.messages:
                self._on_message(datagram.sender, message)

    def _on_message(self, sender: str, message: Message) -> None:
        now = self._loop.now
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message, now)
        elif isinstance(message, EngineUses):
            self._on_engine_uses(sender, message, now)
        elif isinstance(message, QueueCounts):
            self._on_queue_counts(sender, message)
        elif isinstance(message, View):
            self._handle_events(self.membership.receive_view(sender, message, now))
        else:
            self._on_other_message(self.membership.find(sender), message)

    def _on_other_message(self, host: Host | None, message: Message) -> None:
        """Handle a message about engines, or one to be answered.

        :param host: the sender, ``None`` if it isn't known.
        """
        if isinstance(message, CrashSuspects):
            reply = self._events.on_crash_suspects(message)
            if host is not None and reply is not None:
                self._send(host.peer_address, (reply,))
        elif host is None:
            return
        elif isinstance(message, EngineLost):
            self._events.on_engine_lost(host, message)
        elif isinstance(message, EngineFailed):
            self._events.on_engine_failed(host, message)
        elif isinstance(message, ViewRequest):
            self._send(host.peer_address, (self.membership.own_view(),))

    def _on_queue_counts(self, sender: str, message: QueueCounts) -> None:
        """Apply the counters of a live host of this data centre."""
        hosts = self.membership.live_local_hosts()
        if any(host.name == sender for host in hosts):
            self._events.on_queue_counts(sender, message)

    def _on_heartbeat(self, message: Heartbeat, now: float) -> None:
        host = message.host
        peer = self.membership.by_name.get(host.name)
        is_new = peer is None or peer.host.incarnation != host.incarnation
        self._handle_events(self.membership.receive_heartbeat(message, now))
        if is_new:
            self._send(host.peer_address, (self._heartbeat(),))
            suspects = self._events.crash_suspects()
            if suspects is not None:
                self._send(host.peer_address, (suspects,))
        self._events.on_table_versions(
            host, message.lists_version, message.upstreams_version
        )

    def _on_engine_uses(self, sender: str, uses: EngineUses, now: float) -> None:
        if uses.is_centre:
            if uses.source == self._host.data_centre:
                return
            self._uses_by_centre[uses.source] = (uses, now)
            host = self.membership.find(sender)
            # A message that a peer of this data centre has forwarded is not
            # forwarded again.
            if host is not None and host.data_centre == uses.source:
                self._unforwarded_centres.add(uses.source)
        self._events.on_engine_uses(uses)
