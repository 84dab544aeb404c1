"""The host among its peers: heartbeats, views, dispatch, and their thread."""

import threading
import typing as t

from ..clock import Clock
from ..core.lists_refresh import PeerVersions
from ..core.membership import Event
from ..core.membership import Heartbeat
from ..core.membership import Host
from ..core.membership import HostState
from ..core.membership import Membership
from ..core.membership import PeerLive
from ..core.membership import View
from ..core.membership import ViewRequest
from ..core.messages import Message
from ..core.pools import PoolFactory
from ..core.rendezvous import ranked
from ..dispatch import Dispatcher
from ..logs import log_event
from .codec import Datagram
from .transport import UdpTransport
from .transport import is_address

MEMBERSHIP_TICK_S = 0.1

Listener = t.Callable[[list[Event]], None]


class Node:
    """Runs membership and dispatch over a transport.

    :param lists_version: the version of the lists that this host has.
    :param on_heard: called when a peer has told of a higher version.
    :param known_lists_version: the highest version that this host has heard of.
    """

    def __init__(
        self,
        membership: Membership,
        transport: UdpTransport,
        make_pool: PoolFactory,
        clock: Clock,
        lists_version: t.Callable[[], int],
        on_heard: t.Callable[[int], None] = lambda version: None,
        known_lists_version: t.Callable[[], int] | None = None,
    ) -> None:
        self.membership = membership
        self.lock = threading.RLock()
        self.failures = 0
        self.dispatcher = Dispatcher(membership, transport, make_pool, clock, self.lock)
        self.listeners: list[Listener] = [self.dispatcher.apply_member_events]
        self._transport = transport
        self._clock = clock
        self._lists_version = lists_version
        self._lists_known = known_lists_version or lists_version
        self._on_heard = on_heard
        self._ticked_at = float("-inf")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="node", daemon=True)

    def start(self) -> None:
        """Begin to send heartbeats and to take messages."""
        self._transport.start(self._receive)
        self._thread.start()

    def stop(self) -> None:
        """Tell the peers for a last time, and stop."""
        self._stopping.set()
        self._thread.join()
        with self.lock:
            self.membership.make_heartbeats_due()
            self._send_heartbeats(self._clock.monotonic())
        self._transport.close()

    def set_state(self, state: HostState) -> None:
        """Change what this host says of itself, and tell the peers at once."""
        with self.lock:
            self.membership.set_state(state)
        self.announce()
        self._notify([])

    def announce(self) -> None:
        """Tell the peers at once, for example of a new version of the lists."""
        with self.lock:
            self.membership.make_heartbeats_due()
            self._send_heartbeats(self._clock.monotonic())
        self._transport.flush()

    def peer_versions(self) -> PeerVersions:
        """Return what the peers have told of the lists."""
        with self.lock:
            held = self.membership.lists_version()
            holders = self.membership.holders(held) if held else []
            return PeerVersions(
                live=self.membership.count_direct_peers(),
                held=held,
                known=self.membership.known_lists_version(),
                holders=tuple(host.name for host in holders),
            )

    def lists_rank(self) -> int:
        """Return this host's rank as reader of the lists in its data centre."""
        host = self.membership.host
        with self.lock:
            live = self.membership.live(host.data_centre)
        names = ranked(f"lists/{host.data_centre}", {*live, host.name})
        return names.index(host.name)

    def apply_host_list(self, hosts: t.Iterable[Host]) -> None:
        """Take the platform's list of entry hosts; a mistyped address is left out."""
        usable = [host for host in hosts if is_address(host.peer_address)]
        with self.lock:
            self.membership.apply_host_list(usable, self._clock.monotonic())

    def tick(self) -> float:
        """Do what is due; return seconds after which to call again, at most."""
        events: list[Event] = []
        with self.lock:
            now = self._clock.monotonic()
            if now - self._ticked_at >= MEMBERSHIP_TICK_S:
                self._ticked_at = now
                events = self.membership.tick(now)
                self._send_heartbeats(now)
                for address in self.membership.view_request_addresses(now):
                    self._transport.send(address, 0, ViewRequest())
        self._transport.flush()
        self._notify(events)
        return self.dispatcher.tick()

    def _run(self) -> None:
        while not self._stopping.is_set():
            wait_s = MEMBERSHIP_TICK_S
            try:
                wait_s = self.tick()
            except Exception as error:
                # Without this thread the host would fall silent.
                self.failures += 1
                name = type(error).__name__
                log_event("node_tick_failed", level="ERROR", error=name)
            self._stopping.wait(wait_s)

    def _send_heartbeats(self, now: float) -> None:
        inside, remote = self.membership.due_addresses(now)
        held, known = self._lists_version(), self._lists_known()
        if inside:
            message = self.membership.next_heartbeat(held, known)
            for address in inside:
                self._transport.send(address, 0, message)
        if remote:
            models = self.dispatcher.models()
            message = self.membership.next_heartbeat(held, known, models)
            for address in remote:
                self._transport.send(address, 0, message)

    def _receive(self, datagram: Datagram) -> None:
        others: list[Message] = []
        for message in datagram.messages:
            if isinstance(message, Heartbeat):
                self._take_heartbeat(message)
            elif isinstance(message, ViewRequest):
                self._answer_view(datagram.sender)
            elif isinstance(message, View):
                with self.lock:
                    now = self._clock.monotonic()
                    events = self.membership.receive_view(datagram.sender, message, now)
                self._notify(events)
            else:
                others.append(message)
        if others:
            self.dispatcher.receive(datagram.sender, datagram.incarnation, others)

    def _take_heartbeat(self, message: Heartbeat) -> None:
        with self.lock:
            now = self._clock.monotonic()
            known = self.membership.lists_version()
            is_new = self.membership.find(message.host.name) is None
            events = self.membership.receive_heartbeat(message, now)
            if is_new and self.membership.find(message.host.name) is not None:
                self._greet(message.host)
            version = self.membership.lists_version()
        self._notify(events)
        if version > known and version > self._lists_version():
            self._on_heard(version)

    def _greet(self, host: Host) -> None:
        """Answer the first heartbeat of a host, so that it need not wait."""
        is_remote = host.data_centre != self.membership.host.data_centre
        models = self.dispatcher.models() if is_remote else ()
        held, known = self._lists_version(), self._lists_known()
        message = self.membership.next_heartbeat(held, known, models)
        self._transport.send(host.peer_address, 0, message)
        self._transport.flush()

    def _answer_view(self, sender: str) -> None:
        with self.lock:
            host = self.membership.find(sender)
            if host is None:
                return
            view = self.membership.own_view()
            self._transport.send(host.peer_address, host.incarnation, view)
        self._transport.flush()

    def _notify(self, events: list[Event]) -> None:
        for event in events:
            _log(event)
        for listener in self.listeners:
            listener(events)


def _log(event: Event) -> None:
    kind = type(event).__name__
    if isinstance(event, PeerLive):
        log_event("peer_live", peer=event.host.name)
        return
    host = getattr(event, "host", None)
    name = "" if host is None else host.name
    log_event("membership_changed", level="WARNING", change=kind, peer=name)
