"""Runs membership and dispatch of a host: heartbeats, views, messages, timers."""

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
    :param on_newer_lists: called with the version if a peer reports a higher one.
    :param known_lists_version: the highest version reported to this host so far.
    """

    def __init__(
        self,
        membership: Membership,
        transport: UdpTransport,
        make_pool: PoolFactory,
        clock: Clock,
        lists_version: t.Callable[[], int],
        on_newer_lists: t.Callable[[int], None] = lambda version: None,
        known_lists_version: t.Callable[[], int] | None = None,
    ) -> None:
        self.membership = membership
        self.lock = threading.RLock()
        self.failed_ticks = 0
        self.dispatcher = Dispatcher(membership, transport, make_pool, clock, self.lock)
        self.listeners: list[Listener] = [self.dispatcher.apply_member_events]
        self._transport = transport
        self._clock = clock
        self._lists_version = lists_version
        self._known_lists_version = known_lists_version or lists_version
        self._on_newer_lists = on_newer_lists
        self._ticked_at = float("-inf")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="node", daemon=True)

    def start(self) -> None:
        """Start sending heartbeats and receiving messages."""
        self._transport.start(self._receive)
        self._thread.start()

    def stop(self) -> None:
        """Send a last heartbeat to the peers and stop."""
        self._stopping.set()
        self._thread.join()
        with self.lock:
            self.membership.make_heartbeats_due()
            self._send_heartbeats(self._clock.monotonic())
        self._transport.close()

    def set_state(self, state: HostState) -> None:
        """Change the state of this host and announce it to the peers at once."""
        with self.lock:
            self.membership.set_state(state)
        self.announce()
        self._notify([])

    def announce(self) -> None:
        """Send heartbeats at once, for example to announce a new lists version."""
        with self.lock:
            self.membership.make_heartbeats_due()
            self._send_heartbeats(self._clock.monotonic())
        self._transport.flush()

    def peer_versions(self) -> PeerVersions:
        """Return the versions of the lists that the peers have reported."""
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
        """Return this host's rank among the readers of the lists in its data centre."""
        host = self.membership.host
        with self.lock:
            live = self.membership.live(host.data_centre)
        names = ranked(f"lists/{host.data_centre}", {*live, host.name})
        return names.index(host.name)

    def apply_host_list(self, hosts: t.Iterable[Host]) -> None:
        """Apply the platform's list of entry hosts; skip invalid addresses."""
        usable = [host for host in hosts if is_address(host.peer_address)]
        with self.lock:
            self.membership.apply_host_list(usable, self._clock.monotonic())

    def tick(self) -> float:
        """Run all due timers; return the maximum seconds until the next call."""
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
                # If this thread ended, the host would send no more heartbeats.
                self.failed_ticks += 1
                name = type(error).__name__
                log_event("node_tick_failed", level="ERROR", error=name)
            self._stopping.wait(wait_s)

    def _send_heartbeats(self, now: float) -> None:
        local, remote = self.membership.due_addresses(now)
        held, known = self._lists_version(), self._known_lists_version()
        if local:
            message = self.membership.next_heartbeat(held, known)
            for address in local:
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
                self._receive_heartbeat(message)
            elif isinstance(message, ViewRequest):
                self._send_view(datagram.sender)
            elif isinstance(message, View):
                with self.lock:
                    now = self._clock.monotonic()
                    events = self.membership.receive_view(datagram.sender, message, now)
                self._notify(events)
            else:
                others.append(message)
        if others:
            self.dispatcher.receive(datagram.sender, datagram.incarnation, others)

    def _receive_heartbeat(self, message: Heartbeat) -> None:
        with self.lock:
            now = self._clock.monotonic()
            previous_version = self.membership.lists_version()
            is_new = self.membership.find(message.host.name) is None
            events = self.membership.receive_heartbeat(message, now)
            if is_new and self.membership.find(message.host.name) is not None:
                self._send_first_heartbeat(message.host)
            version = self.membership.lists_version()
        self._notify(events)
        if version > previous_version and version > self._lists_version():
            self._on_newer_lists(version)

    def _send_first_heartbeat(self, host: Host) -> None:
        """Answer the first heartbeat of a host without waiting for the interval."""
        is_remote = host.data_centre != self.membership.host.data_centre
        models = self.dispatcher.models() if is_remote else ()
        held, known = self._lists_version(), self._known_lists_version()
        message = self.membership.next_heartbeat(held, known, models)
        self._transport.send(host.peer_address, 0, message)
        self._transport.flush()

    def _send_view(self, sender: str) -> None:
        with self.lock:
            host = self.membership.find(sender)
            if host is None:
                return
            view = self.membership.own_view()
            self._transport.send(host.peer_address, host.incarnation, view)
        self._transport.flush()

    def _notify(self, events: list[Event]) -> None:
        for event in events:
            _log_member_event(event)
        for listener in self.listeners:
            listener(events)


def _log_member_event(event: Event) -> None:
    kind = type(event).__name__
    if isinstance(event, PeerLive):
        log_event("peer_live", peer=event.host.name)
        return
    host = getattr(event, "host", None)
    name = "" if host is None else host.name
    log_event("membership_changed", level="WARNING", change=kind, peer=name)
