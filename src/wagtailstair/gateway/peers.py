"""The other hosts: who lives, what they run on engines, what they know."""

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
from ..core.messages import EngineLost
from ..core.messages import EngineUses
from ..core.messages import Message
from ..exceptions import PeerError
from ..logs import log_event
from ..peers.codec import DATAGRAM_BYTES_MAX
from ..peers.codec import Datagram
from ..peers.codec import decode
from ..peers.codec import encode
from .host_registry import HostRegistry
from .loop import READABLE
from .loop import Loop
from .transfer import Upstream
from .transfer import UpstreamPool

HEARTBEAT_S = 0.25
"""Seconds between heartbeats inside a data centre; a quarter as often beyond."""

DEAD_AFTER_S = 1.25
"""Seconds of silence after which a peer is dead: five heartbeats."""

FULL_RATE_PEERS = 10
"""Peers in a data centre up to which heartbeats keep their pace: 40 a second, a
hundredth of a small core."""

DELEGATES = 2
"""Hosts of a data centre that follow the store and talk to other data centres."""

DELEGATE_SILENCE_S = 1.25
"""Seconds of silence after which a delegate is succeeded; changes are due in 2 s."""

INTRODUCTION_S = 0.1
"""Seconds in which peers answer the greeting of a host that has started."""

INTRODUCTION_MAX_S = 0.5
"""Seconds after which a host that can't read the host rows goes on by itself."""

ANNOUNCE_PAUSE_S = 0.1
"""Seconds between two heartbeats out of turn, which tell of changes."""

CENTRE_USES_S = 5.0
"""Seconds after which what a data centre told of its requests is forgotten."""

BURST = 32


class PeerEvents(t.Protocol):
    """What the gateway is told by its peers, and what it tells them."""

    def lists_version(self) -> int:
        """Return the version of the lists in force here."""
        ...

    def upstreams_version(self) -> int:
        """Return the version of the newest change of upstreams known here."""
        ...

    def is_store_unreachable(self) -> bool:
        """Tell whether this host's last call to the store failed."""
        ...

    def own_uses(self) -> EngineUses:
        """Return what the requests of this host hold on engines."""
        ...

    def centre_uses(self) -> EngineUses:
        """Return what the requests of all hosts here hold on engines."""
        ...

    def on_engine_uses(self, told: EngineUses) -> None:
        """Take what requests elsewhere hold on engines."""
        ...

    def on_engine_lost(self, host: Host, lost: EngineLost) -> None:
        """Take a peer's suspicion of an engine."""
        ...

    def on_source_gone(self, source: str, *, is_centre: bool) -> None:
        """Take the end of a peer, or of word from a data centre."""
        ...

    def on_newer_lists(self, host: Host) -> None:
        """Take word of lists that are newer than those in force here."""
        ...

    def on_newer_upstreams(self, host: Host) -> None:
        """Take word of changes of upstreams that are not known here."""
        ...

    def on_introduced(self) -> None:
        """Take note that the hosts that live are known."""
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
        self._host = host
        self._events = events
        self._rows = HostRegistry(
            loop,
            pool,
            store,
            host,
            rng,
            on_hosts=self._on_hosts,
            reads_again=self.is_first_delegate,
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
        self._introduced_at: float | None = None
        self._announced_at = float("-inf")
        self._is_delegate = True
        # Of other data centres: the last word, its instant, and if it is passed on.
        self._uses_by_centre: dict[str, tuple[EngineUses, float]] = {}
        self._untold_centres: set[str] = set()

    def start(self) -> None:
        """Bind, tell the store of this host, and begin to send heartbeats."""
        ip, _, port = self._host.peer_address.rpartition(":")
        self._socket.bind((ip, int(port)))
        self._loop.add(self._socket.fileno(), READABLE, self._on_readable)
        self._started_at = self._loop.now
        self.membership.set_state(HostState.LIVE)
        self._rows.start()
        self._tick()

    def leave(self) -> None:
        """Tell the others that this host ends."""
        self.membership.set_state(HostState.LEAVING)
        self.membership.make_heartbeats_due()

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

    def is_delegate(self) -> bool:
        """Tell whether this host is a delegate of its data centre."""
        return self._is_among(DELEGATES)

    def is_first_delegate(self) -> bool:
        """Tell whether this host alone acts for its data centre."""
        return self._is_among(1)

    def _is_among(self, delegates: int) -> bool:
        now = self._loop.now
        is_one = self.membership.is_delegate(delegates, now, DELEGATE_SILENCE_S)
        return is_one and self._is_introduced()

    def announce(self) -> None:
        """Tell the hosts of this data centre of a change, out of turn."""
        now = self._loop.now
        if now - self._announced_at < ANNOUNCE_PAUSE_S:
            return
        self._announced_at = now
        hosts = self.membership.live_local_hosts()
        self._send_all([host.peer_address for host in hosts], (self._heartbeat(),))

    def _is_introduced(self) -> bool:
        """Tell whether the hosts that live have had time to answer a greeting."""
        now = self._loop.now
        if self._introduced_at is not None:
            return now >= self._introduced_at + INTRODUCTION_S
        return now >= self._started_at + INTRODUCTION_MAX_S

    def broadcast_engine_lost(self, lost: EngineLost) -> None:
        """Tell the hosts of this data centre of a suspicion."""
        hosts = self.membership.live_local_hosts()
        self._send_all([host.peer_address for host in hosts], (lost,))

    def _on_hosts(self, hosts: list[Host]) -> None:
        """Greet the hosts that the store names."""
        self.membership.apply_host_list(hosts, self._loop.now)
        others = [h.peer_address for h in hosts if h.name != self._host.name]
        self._send_all(others, (self._heartbeat(),))
        if self._introduced_at is None:
            self._introduced_at = self._loop.now
            self._loop.call_later(INTRODUCTION_S, self._events.on_introduced)

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
        self._note(self.membership.tick(now))
        inside, remote = self.membership.due(now)
        if inside:
            self._send_all(inside, (self._heartbeat(), self._events.own_uses()))
            self._pass_on(inside)
        if remote and self._note_delegate():
            uses = self._events.centre_uses()
            self._send_all(remote, (self._heartbeat(), uses))
        self._send_all(self.membership.view_request_addresses(now), (ViewRequest(),))
        self._forget_centres(now)

    def _note_delegate(self) -> bool:
        is_one = self.is_delegate()
        if is_one is not self._is_delegate:
            self._is_delegate = is_one
            log_event("delegate_changed", is_delegate=is_one)
        return is_one

    def _pass_on(self, inside: list[str]) -> None:
        """Tell the hosts of this data centre what other data centres have told."""
        if not self._untold_centres or not self._is_delegate:
            self._untold_centres.clear()
            return
        messages = []
        for centre in self._untold_centres:
            messages.append(self._uses_by_centre[centre][0])
        self._untold_centres.clear()
        self._send_all(inside, tuple(messages))

    def _forget_centres(self, now: float) -> None:
        for centre, (_, told_at) in list(self._uses_by_centre.items()):
            if now - told_at > CENTRE_USES_S:
                del self._uses_by_centre[centre]
                self._untold_centres.discard(centre)
                self._events.on_source_gone(centre, is_centre=True)

    def _note(self, events: list[Event]) -> None:
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
        """Send the same datagram to some peers."""
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
            self._take_heartbeat(message, now)
        elif isinstance(message, EngineUses):
            self._take_uses(sender, message, now)
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

    def _take_heartbeat(self, message: Heartbeat, now: float) -> None:
        host = message.host
        known = self.membership.by_name.get(host.name)
        is_new = known is None or known.host.incarnation != host.incarnation
        self._note(self.membership.receive_heartbeat(message, now))
        if is_new:
            self._send(host.peer_address, (self._heartbeat(),))
        if message.lists_version > self._events.lists_version():
            self._events.on_newer_lists(host)
        if message.upstreams_version > self._events.upstreams_version():
            self._events.on_newer_upstreams(host)

    def _take_uses(self, sender: str, uses: EngineUses, now: float) -> None:
        if uses.is_centre:
            if uses.source == self._host.data_centre:
                return
            self._uses_by_centre[uses.source] = (uses, now)
            host = self.membership.find(sender)
            # What a peer here has passed on is not passed on again.
            if host is not None and host.data_centre == uses.source:
                self._untold_centres.add(uses.source)
        self._events.on_engine_uses(uses)
