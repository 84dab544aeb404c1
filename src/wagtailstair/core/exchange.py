"""Messages between hosts about requests, accounts and engines, without I/O.

The exchange joins the entry host's side (submissions and charges), the deciding
side (pools and account quotas) and the distribution of load reports.
"""

import collections
import dataclasses
import typing as t

from .charges import Charges
from .charges import OwnedQuotas
from .dispatch_client import DispatchClient
from .engine import EngineState
from .membership import Event
from .membership import Membership
from .membership import PeerDead
from .membership import PeerLive
from .membership import PeerReplaced
from .messages import Ack
from .messages import Charge
from .messages import Charged
from .messages import EngineLoad
from .messages import EngineLost
from .messages import EngineReport
from .messages import Finished
from .messages import Granted
from .messages import Held
from .messages import Message
from .messages import Numbered
from .messages import PoolKey
from .messages import Queued
from .messages import Refused
from .messages import Reliable
from .messages import ReportRequest
from .messages import Reset
from .messages import Settle
from .messages import Submit
from .messages import Withdraw
from .outbox import Outbox
from .pools import Engines
from .pools import PoolFactory
from .pools import Pools
from .rendezvous import owner
from .report_distribution import ReportDistribution
from .report_distribution import load_of
from .report_distribution import with_load

ROLE_CACHE_MAX = 65_536
"""Most cached results of :meth:`Exchange.find_host`."""


class Exchange:
    """Sends and handles all messages of one host.

    Messages to this host itself are handled by :meth:`deliver_messages`. Those to
    other hosts wait in ``outgoing`` as tuples of peer address, incarnation and message.
    """

    def __init__(self, membership: Membership, make_pool: PoolFactory) -> None:
        self.engines = Engines()
        self.outbox = Outbox()
        self.owned_quotas = OwnedQuotas()
        self.report_distribution = ReportDistribution()
        self.pools = Pools(make_pool, self.engines)
        self.dispatch_client = DispatchClient(
            self.find_owner, make_pool, self.engines, self._send_reliably
        )
        self.charges = Charges(
            self._find_quota_owner, self._send_reliably, membership.host.name
        )
        self.outgoing: list[tuple[str, int, Message]] = []
        self.dropped = 0
        self._membership = membership
        self._host = membership.host
        self._generation = -1
        self._cache_generation = -1
        self._host_by_role: dict[str, str | None] = {}
        self._era_by_host: dict[str, int] = {}
        self._dead_incarnation_by_host: dict[str, int] = {}
        self._reset_by_sender: dict[str, int] = {}
        self._messages_to_self: collections.deque[Message] = collections.deque()
        self._acks: dict[str, list[int]] = {}

    # Roles.

    def find_owner(self, key: PoolKey) -> str | None:
        """Return the live host that dispatches a pool."""
        return self.find_host(str(key), key.data_centre)

    def _find_quota_owner(self, account: str) -> str | None:
        return self.find_host(f"account/{account}", None)

    def find_host(self, role: str, data_centre: str | None) -> str | None:
        """Return the live host that has a role.

        :param data_centre: where to look for it; ``None`` for all data centres.
        """
        generation = self._membership.generation
        if (
            generation != self._cache_generation
            or len(self._host_by_role) >= ROLE_CACHE_MAX
        ):
            self._cache_generation = generation
            self._host_by_role.clear()
        if role not in self._host_by_role:
            live = self._membership.live(data_centre)
            self._host_by_role[role] = owner(role, live)
        return self._host_by_role[role]

    # Engines.

    def observe(self, state: EngineState, now: float) -> None:
        """Store a load report that this host has read, and send it to peers."""
        self._store_report(state, now)
        dispatcher = self.find_owner(PoolKey(state.model, state.data_centre))
        report_targets, load_targets = self.report_distribution.select_peers(
            state, dispatcher, self._data_centre_peers(), now
        )
        for host in report_targets:
            report = EngineReport(state, max(0.0, now - state.as_of))
            self._send(host, report)
        for host in load_targets:
            self._send(host, load_of(state, now))

    def remove(self, engine: str) -> None:
        """Remove an engine that is gone, here and at the peers."""
        state = self.engines.by_name.get(engine)
        if state is None:
            return
        message = EngineLost(engine, state.incarnation)
        self._remove_engine(message)
        for host in self._data_centre_peers():
            self._send(host, message)

    # Events.

    def receive(
        self, sender: str, incarnation: int, messages: t.Iterable[Message], now: float
    ) -> None:
        """Handle the messages of one datagram from another host."""
        host = self._membership.find(sender)
        if host is None or host.incarnation != incarnation:
            self.dropped += 1
            return
        for message in messages:
            self._handle(sender, incarnation, message, now)

    def apply_member_events(self, events: t.Iterable[Event], now: float) -> None:
        """Apply changes of the live hosts."""
        for event in events:
            self._apply_member_event(event, now)
        self._apply_membership(now)

    def tick(self, now: float) -> None:
        """Run all timers that are due."""
        self._apply_membership(now)
        self.pools.mark_all_changed()
        self.dispatch_client.tick(now)
        self.charges.tick(now)
        for host, numbered in self.outbox.take_due(now):
            self._send(host, numbered)
        for state in self.report_distribution.stale(self.engines, now):
            self._remove_engine(EngineLost(state.name, state.incarnation))

    def next_wake(self, now: float) -> float | None:
        """Return when to call :meth:`tick` next, unless an event comes first."""
        wakes = (
            self.dispatch_client.next_wake(now),
            self.charges.next_wake(),
            self.outbox.next_wake(),
            self.pools.next_wake(now),
        )
        return min((wake for wake in wakes if wake is not None), default=None)

    def deliver_messages(self, now: float) -> None:
        """Queue all pending messages, and handle those to this host itself."""
        while True:
            for host, submit in self.dispatch_client.take_sends():
                self._send(host, submit)
            for host, charge in self.charges.take_sends():
                self._send(host, charge)
            for sender, answer in self.pools.poll(now):
                self._send_answer(sender, answer)
            for host, numbers in self._drain_acks():
                self._send(host, Ack(tuple(numbers)))
            if not self._messages_to_self:
                return
            while self._messages_to_self:
                message = self._messages_to_self.popleft()
                self._handle(self._host.name, self._host.incarnation, message, now)

    def take_outgoing(self) -> list[tuple[str, int, Message]]:
        """Return and clear the messages to other hosts."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    # Internals.

    def _data_centre_peers(self) -> list[str]:
        peers = self._membership.live(self._host.data_centre)
        return [peer for peer in peers if peer != self._host.name]

    def _send_reliably(self, host: str, body: Reliable, now: float) -> None:
        self._send(host, self.outbox.add(host, body, now))

    def _send(self, host: str, message: Message) -> None:
        if host == self._host.name:
            self._messages_to_self.append(message)
            return
        peer = self._membership.find(host)
        if peer is not None:
            self.outgoing.append((peer.peer_address, peer.incarnation, message))

    def _apply_membership(self, now: float) -> None:
        if self._generation == self._membership.generation:
            return
        self._generation = self._membership.generation
        self.dispatch_client.local_pools.host_count = max(
            1, len(self._membership.live(self._host.data_centre))
        )
        self.charges.hosts = max(1, len(self._membership.live()))
        self.dispatch_client.reassign(now)
        self.charges.reassign(now)

    def _apply_member_event(self, event: Event, now: float) -> None:
        if isinstance(event, PeerDead):
            name = event.host.name
            self._drop_host(name, event.host.incarnation, now)
            self._dead_incarnation_by_host[name] = event.host.incarnation
        elif isinstance(event, PeerReplaced):
            name = event.host.name
            self._drop_host(name, event.old.incarnation, now)
            sender = f"{name}/{event.old.incarnation}"
            self.pools.drop_host(sender)
            self.owned_quotas.drop_host(sender)
            self._reset_by_sender.pop(sender, None)
            self._dead_incarnation_by_host.pop(name, None)
            self.dispatch_client.reissue(name, now)
            self.charges.reissue(name, now)
            self.report_distribution.refresh_all()
        elif isinstance(event, PeerLive):
            self._start_era(event.host.name, event.host.incarnation, now)
            if event.host.data_centre == self._host.data_centre:
                self.report_distribution.refresh_all()

    def _drop_host(self, name: str, incarnation: int, now: float) -> None:
        self.outbox.drop(name)
        self.pools.host_lost(f"{name}/{incarnation}", now)
        self.owned_quotas.host_lost(f"{name}/{incarnation}", now)

    def _start_era(self, name: str, incarnation: int, now: float) -> None:
        """Start a new era with a host that is live again after it was declared dead.

        The reset makes the host close what this host sent it in earlier eras.
        """
        if self._dead_incarnation_by_host.pop(name, None) != incarnation:
            return
        era = self._era_by_host.get(name, 0) + 1
        self._era_by_host[name] = era
        self.dispatch_client.era_by_host[name] = era
        self.charges.era_by_host[name] = era
        self._send_reliably(name, Reset(era), now)

    def _store_report(self, state: EngineState, now: float) -> None:
        if not self.engines.observe(state):
            return
        state = self.engines.by_name[state.name]
        self.pools.observe(state, now)
        self.dispatch_client.local_pools.observe(state, now)

    def _remove_engine(self, message: EngineLost) -> None:
        if self.engines.remove(message):
            self.pools.remove(message.name)
            self.dispatch_client.local_pools.remove(message.name)

    def _handle(
        self, sender: str, incarnation: int, message: Message, now: float
    ) -> None:
        sender_id = f"{sender}/{incarnation}"
        if isinstance(message, Submit):
            self.pools.submit(sender_id, message, now)
        elif isinstance(message, Granted):
            self.dispatch_client.receive_grant(sender, message, now)
        elif isinstance(message, Refused):
            self.dispatch_client.receive_refusal(sender, message, now)
        elif isinstance(message, Queued):
            self.dispatch_client.receive_queued(sender, message, now)
        elif isinstance(message, Numbered):
            self._handle_numbered(sender, sender_id, message, now)
        elif isinstance(message, Ack):
            self._handle_ack(sender, message)
        else:
            self._handle_unnumbered(sender, sender_id, message, now)

    def _handle_unnumbered(
        self, sender: str, sender_id: str, message: Message, now: float
    ) -> None:
        if isinstance(message, Charge):
            charged = self.owned_quotas.charge(sender_id, message, now)
            if charged is not None:
                self._send(sender, charged)
        elif isinstance(message, Charged):
            self.charges.receive_verdict(sender, message, now)
        elif isinstance(message, EngineReport):
            as_of = now - message.age_s
            self._store_report(dataclasses.replace(message.state, as_of=as_of), now)
        elif isinstance(message, EngineLoad):
            self._handle_load(sender, message, now)
        elif isinstance(message, ReportRequest):
            self._handle_report_request(sender, message, now)
        elif isinstance(message, EngineLost):
            self._remove_engine(message)

    def _handle_load(self, sender: str, message: EngineLoad, now: float) -> None:
        last_state = self.engines.by_name.get(message.name)
        state = None if last_state is None else with_load(last_state, message, now)
        if state is None:
            self._send(sender, ReportRequest(message.name))
            return
        self._store_report(state, now)

    def _handle_report_request(
        self, sender: str, message: ReportRequest, now: float
    ) -> None:
        state = self.engines.by_name.get(message.name)
        if state is not None:
            age_s = max(0.0, now - state.as_of)
            self._send(sender, EngineReport(state, age_s))

    def _handle_numbered(
        self, sender: str, sender_id: str, message: Numbered, now: float
    ) -> None:
        body = message.body
        if isinstance(body, Withdraw):
            self.pools.withdraw(sender_id, body, now)
        elif isinstance(body, Finished):
            self.pools.end_grant(sender_id, body, now)
        elif isinstance(body, Held):
            self.pools.adopt_grant(sender_id, body, now)
        elif isinstance(body, Charge):
            self.owned_quotas.charge(sender_id, body, now)
        elif isinstance(body, Settle):
            self.owned_quotas.settle(sender_id, body, now)
        else:
            self._handle_reset(sender, sender_id, body, now)
        self._acks.setdefault(sender, []).append(message.number)

    def _handle_reset(
        self, sender: str, sender_id: str, body: Reset, now: float
    ) -> None:
        if self._reset_by_sender.get(sender_id, 0) >= body.era:
            return
        self._reset_by_sender[sender_id] = body.era
        self.pools.reset(sender_id, body.era, now)
        self.owned_quotas.reset(sender_id, body.era, now)
        self.dispatch_client.reissue(sender, now)
        self.charges.reissue(sender, now)

    def _handle_ack(self, sender: str, message: Ack) -> None:
        for number in message.numbers:
            self.outbox.acknowledge(sender, number)
        self.dispatch_client.mark_responsive(sender)
        self.charges.suspects.discard(sender)

    def _drain_acks(self) -> list[tuple[str, list[int]]]:
        acks, self._acks = self._acks, {}
        return list(acks.items())

    def _send_answer(self, sender: str, answer: Granted | Refused | Queued) -> None:
        name, _, incarnation = sender.rpartition("/")
        host = self._membership.find(name)
        if host is not None and str(host.incarnation) == incarnation:
            self._send(name, answer)
