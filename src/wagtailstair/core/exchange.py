"""What a host does for requests, accounts and engines, by messages to others.

The entry host's side (tickets, charges), the deciding side (pools, homes) and
the spread of load reports, without input or output.
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

ROLES_CACHED = 65_536


class Exchange:
    """All that one host exchanges with the others.

    Messages to this host itself are taken at once; those to others wait in
    ``outgoing`` as peer address, incarnation and message.
    """

    def __init__(self, membership: Membership, make_pool: PoolFactory) -> None:
        self.engines = Engines()
        self.outbox = Outbox()
        self.owned_quotas = OwnedQuotas()
        self.report_distribution = ReportDistribution()
        self.pools = Pools(make_pool, self.engines)
        self.dispatch_client = DispatchClient(
            self.find_owner, make_pool, self.engines, self._tell
        )
        self.charges = Charges(self._find_quota_owner, self._tell, membership.host.name)
        self.outgoing: list[tuple[str, int, Message]] = []
        self.dropped = 0
        self._membership = membership
        self._host = membership.host
        self._generation = -1
        self._cached_at = -1
        self._host_by_role: dict[str, str | None] = {}
        self._era_by_host: dict[str, int] = {}
        self._buried: dict[str, int] = {}
        self._reset_by_sender: dict[str, int] = {}
        self._own: collections.deque[Message] = collections.deque()
        self._acks: dict[str, list[int]] = {}

    # Roles.

    def find_owner(self, key: PoolKey) -> str | None:
        """Return the live host that dispatches a pool."""
        return self.find_host(str(key), key.data_centre)

    def _find_quota_owner(self, account: str) -> str | None:
        return self.find_host(f"account/{account}", None)

    def find_host(self, role: str, data_centre: str | None) -> str | None:
        """Return the live host that has a role, among some or all of them."""
        generation = self._membership.generation
        if generation != self._cached_at or len(self._host_by_role) >= ROLES_CACHED:
            self._cached_at = generation
            self._host_by_role.clear()
        if role not in self._host_by_role:
            live = self._membership.live(data_centre)
            self._host_by_role[role] = owner(role, live)
        return self._host_by_role[role]

    # Engines.

    def observe(self, state: EngineState, now: float) -> None:
        """Take a load report that this host read, and spread it."""
        self._observe(state, now)
        dispatcher = self.find_owner(PoolKey(state.model, state.data_centre))
        whole, load = self.report_distribution.select_peers(
            state, dispatcher, self._neighbours(), now
        )
        for host in whole:
            report = EngineReport(state, max(0.0, now - state.as_of))
            self._send(host, report)
        for host in load:
            self._send(host, load_of(state, now))

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone, here and at the peers."""
        state = self.engines.by_name.get(engine)
        if state is None:
            return
        message = EngineLost(engine, state.incarnation)
        self._engine_lost(message)
        for host in self._neighbours():
            self._send(host, message)

    # Events.

    def receive(
        self, sender: str, incarnation: int, messages: t.Iterable[Message], now: float
    ) -> None:
        """Take what another host sent in one datagram."""
        host = self._membership.find(sender)
        if host is None or host.incarnation != incarnation:
            self.dropped += 1
            return
        for message in messages:
            self._take(sender, incarnation, message, now)

    def apply_member_events(self, events: t.Iterable[Event], now: float) -> None:
        """Follow a change of the live hosts."""
        for event in events:
            self._member_changed(event, now)
        self._follow(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._follow(now)
        self.pools.mark_all_changed()
        self.dispatch_client.tick(now)
        self.charges.tick(now)
        for host, numbered in self.outbox.repeat(now):
            self._send(host, numbered)
        for state in self.report_distribution.stale(self.engines, now):
            self._engine_lost(EngineLost(state.name, state.incarnation))

    def next_wake(self, now: float) -> float | None:
        """Return when to call :meth:`tick` again if no event comes before."""
        wakes = (
            self.dispatch_client.next_wake(now),
            self.charges.next_wake(),
            self.outbox.next_wake(),
            self.pools.next_wake(now),
        )
        return min((wake for wake in wakes if wake is not None), default=None)

    def deliver_messages(self, now: float) -> None:
        """Put all messages out, and take those to this host itself."""
        while True:
            for host, submit in self.dispatch_client.take_sends():
                self._send(host, submit)
            for host, charge in self.charges.take_sends():
                self._send(host, charge)
            for sender, answer in self.pools.poll(now):
                self._answer(sender, answer)
            for host, numbers in self._take_acks():
                self._send(host, Ack(tuple(numbers)))
            if not self._own:
                return
            while self._own:
                message = self._own.popleft()
                self._take(self._host.name, self._host.incarnation, message, now)

    def take_outgoing(self) -> list[tuple[str, int, Message]]:
        """Return the messages to other hosts since the last call."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    # Inside.

    def _neighbours(self) -> list[str]:
        peers = self._membership.live(self._host.data_centre)
        return [peer for peer in peers if peer != self._host.name]

    def _tell(self, host: str, body: Reliable, now: float) -> None:
        self._send(host, self.outbox.add(host, body, now))

    def _send(self, host: str, message: Message) -> None:
        if host == self._host.name:
            self._own.append(message)
            return
        known = self._membership.find(host)
        if known is not None:
            self.outgoing.append((known.peer_address, known.incarnation, message))

    def _follow(self, now: float) -> None:
        if self._generation == self._membership.generation:
            return
        self._generation = self._membership.generation
        self.dispatch_client.local_pools.host_count = max(
            1, len(self._membership.live(self._host.data_centre))
        )
        self.charges.hosts = max(1, len(self._membership.live()))
        self.dispatch_client.reassign(now)
        self.charges.reassign(now)

    def _member_changed(self, event: Event, now: float) -> None:
        if isinstance(event, PeerDead):
            name = event.host.name
            self._lose(name, event.host.incarnation, now)
            self._buried[name] = event.host.incarnation
        elif isinstance(event, PeerReplaced):
            name = event.host.name
            self._lose(name, event.old.incarnation, now)
            sender = f"{name}/{event.old.incarnation}"
            self.pools.forget(sender)
            self.owned_quotas.forget(sender)
            self._reset_by_sender.pop(sender, None)
            self._buried.pop(name, None)
            self.dispatch_client.reissue(name, now)
            self.charges.reissue(name, now)
            self.report_distribution.refresh_all()
        elif isinstance(event, PeerLive):
            self._revive(event.host.name, event.host.incarnation, now)
            if event.host.data_centre == self._host.data_centre:
                self.report_distribution.refresh_all()

    def _lose(self, name: str, incarnation: int, now: float) -> None:
        self.outbox.drop(name)
        self.pools.host_lost(f"{name}/{incarnation}", now)
        self.owned_quotas.host_lost(f"{name}/{incarnation}", now)

    def _revive(self, name: str, incarnation: int, now: float) -> None:
        """Start a new era with a host that was taken for dead."""
        if self._buried.pop(name, None) != incarnation:
            return
        era = self._era_by_host.get(name, 0) + 1
        self._era_by_host[name] = era
        self.dispatch_client.era_by_host[name] = era
        self.charges.era_by_host[name] = era
        self._tell(name, Reset(era), now)

    def _observe(self, state: EngineState, now: float) -> None:
        if not self.engines.observe(state):
            return
        state = self.engines.by_name[state.name]
        self.pools.observe(state, now)
        self.dispatch_client.local_pools.observe(state, now)

    def _engine_lost(self, message: EngineLost) -> None:
        if self.engines.remove(message):
            self.pools.remove(message.name)
            self.dispatch_client.local_pools.remove(message.name)

    def _take(self, sender: str, number: int, message: Message, now: float) -> None:
        name = f"{sender}/{number}"
        if isinstance(message, Submit):
            self.pools.submit(name, message, now)
        elif isinstance(message, Granted):
            self.dispatch_client.receive_grant(sender, message, now)
        elif isinstance(message, Refused):
            self.dispatch_client.receive_refusal(sender, message, now)
        elif isinstance(message, Queued):
            self.dispatch_client.receive_queued(sender, message, now)
        elif isinstance(message, Numbered):
            self._take_numbered(sender, name, message, now)
        elif isinstance(message, Ack):
            self._take_ack(sender, message)
        else:
            self._take_other(sender, name, message, now)

    def _take_other(self, sender: str, name: str, message: Message, now: float) -> None:
        if isinstance(message, Charge):
            charged = self.owned_quotas.charge(name, message, now)
            if charged is not None:
                self._send(sender, charged)
        elif isinstance(message, Charged):
            self.charges.charged(sender, message, now)
        elif isinstance(message, EngineReport):
            as_of = now - message.age_s
            self._observe(dataclasses.replace(message.state, as_of=as_of), now)
        elif isinstance(message, EngineLoad):
            self._take_load(sender, message, now)
        elif isinstance(message, ReportRequest):
            self._answer_report(sender, message, now)
        elif isinstance(message, EngineLost):
            self._engine_lost(message)

    def _take_load(self, sender: str, message: EngineLoad, now: float) -> None:
        known = self.engines.by_name.get(message.name)
        state = None if known is None else with_load(known, message, now)
        if state is None:
            self._send(sender, ReportRequest(message.name))
            return
        self._observe(state, now)

    def _answer_report(self, sender: str, message: ReportRequest, now: float) -> None:
        state = self.engines.by_name.get(message.name)
        if state is not None:
            age_s = max(0.0, now - state.as_of)
            self._send(sender, EngineReport(state, age_s))

    def _take_numbered(
        self, sender: str, name: str, message: Numbered, now: float
    ) -> None:
        body = message.body
        if isinstance(body, Withdraw):
            self.pools.withdraw(name, body, now)
        elif isinstance(body, Finished):
            self.pools.end_grant(name, body, now)
        elif isinstance(body, Held):
            self.pools.adopt_grant(name, body, now)
        elif isinstance(body, Charge):
            self.owned_quotas.charge(name, body, now)
        elif isinstance(body, Settle):
            self.owned_quotas.settle(name, body, now)
        else:
            self._take_reset(sender, name, body, now)
        self._acks.setdefault(sender, []).append(message.number)

    def _take_reset(self, sender: str, name: str, body: Reset, now: float) -> None:
        if self._reset_by_sender.get(name, 0) >= body.era:
            return
        self._reset_by_sender[name] = body.era
        self.pools.reset(name, body.era, now)
        self.owned_quotas.reset(name, body.era, now)
        self.dispatch_client.reissue(sender, now)
        self.charges.reissue(sender, now)

    def _take_ack(self, sender: str, message: Ack) -> None:
        for number in message.numbers:
            self.outbox.acknowledge(sender, number)
        self.dispatch_client.mark_responsive(sender)
        self.charges.suspects.discard(sender)

    def _take_acks(self) -> list[tuple[str, list[int]]]:
        acks, self._acks = self._acks, {}
        return list(acks.items())

    def _answer(self, sender: str, answer: Granted | Refused | Queued) -> None:
        name, _, incarnation = sender.rpartition("/")
        host = self._membership.find(name)
        if host is not None and str(host.incarnation) == incarnation:
            self._send(name, answer)
