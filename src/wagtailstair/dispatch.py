"""Requests for routes and for leave, sent to the hosts that decide on them."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import threading
import typing as t

from .clock import Clock
from .core.charges import Charges
from .core.charges import Homes
from .core.charges import Verdict
from .core.demand import Done
from .core.demand import Grant
from .core.demand import Refusal
from .core.demand import Want
from .core.engine import EngineState
from .core.membership import Event
from .core.membership import Membership
from .core.membership import PeerDead
from .core.membership import PeerLive
from .core.membership import PeerReplaced
from .core.messages import Ack
from .core.messages import Charge
from .core.messages import Charged
from .core.messages import EngineLoad
from .core.messages import EngineLost
from .core.messages import EngineReport
from .core.messages import Finished
from .core.messages import Granted
from .core.messages import Held
from .core.messages import Message
from .core.messages import Numbered
from .core.messages import PoolKey
from .core.messages import Queued
from .core.messages import Refused
from .core.messages import Reliable
from .core.messages import ReportRequest
from .core.messages import Reset
from .core.messages import Settle
from .core.messages import Submit
from .core.messages import Withdraw
from .core.outbox import Outbox
from .core.pools import Engines
from .core.pools import PoolFactory
from .core.pools import Pools
from .core.quota import QuotaLimits
from .core.rendezvous import owner
from .core.spread import Spread
from .core.spread import load_of
from .core.spread import with_load
from .core.tickets import Tickets

TICK_S = 0.05  # the longest time between two looks at what is due
WAKE_FLOOR_S = 0.005
ROLES_CACHED = 65_536

Decision = Grant | Refusal


class Transport(t.Protocol):
    """Sends messages to other hosts; any may be lost, late, doubled or swapped."""

    def send(self, address: str, incarnation: int, message: Message) -> None:
        """Send a message to an incarnation of a host, soon."""

    def flush(self) -> None:
        """Send what is not worth waiting for more."""


class Dispatcher:
    """The requests of this host, and the pools and accounts that it decides on.

    All methods may be called from any thread; futures are resolved outside
    the lock.
    """

    def __init__(
        self,
        membership: Membership,
        transport: Transport,
        make_pool: PoolFactory,
        clock: Clock,
        lock: contextlib.AbstractContextManager[t.Any] | None = None,
    ) -> None:
        self.engines = Engines()
        self.outbox = Outbox()
        self.homes = Homes()
        self.spread = Spread()
        self.dropped = 0
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._lock = lock or threading.RLock()
        self._host = membership.host
        self.pools = Pools(make_pool, self.engines)
        self.tickets = Tickets(self._find_owner, make_pool, self.engines, self._tell)
        self.charges = Charges(self._find_home, self._tell, self._host.name)
        self._generation = -1
        self._cached_at = -1
        self._host_by_role: dict[str, str | None] = {}
        self._era_by_host: dict[str, int] = {}
        self._buried: dict[str, int] = {}
        self._reset_by_sender: dict[str, int] = {}
        self._own: collections.deque[Message] = collections.deque()
        self._acks: dict[str, list[int]] = {}
        self._future_by_id: dict[
            tuple[str, int], concurrent.futures.Future[Decision]
        ] = {}
        self._charge_by_request: dict[str, concurrent.futures.Future[Verdict]] = {}
        self._resolved: list[t.Callable[[], None]] = []

    # Requests.

    def submit(
        self, model: str, data_centre: str, want: Want
    ) -> concurrent.futures.Future[Decision]:
        """Ask for a route.

        The future ends with a grant or a refusal, at the latest a second
        after the deadline of the want.
        """
        future: concurrent.futures.Future[Decision] = concurrent.futures.Future()
        with self._lock:
            name = (want.request, want.epoch)
            known = self._future_by_id.get(name)
            if known is not None:
                return known
            self._future_by_id[name] = future
            now = self._clock.monotonic()
            self.tickets.submit(PoolKey(model, data_centre), want, now)
            self._pump(now)
        self._resolve()
        return future

    def done(self, model: str, data_centre: str, done: Done) -> None:
        """End a grant with what it really cost."""
        del model, data_centre  # the ticket knows them
        with self._lock:
            now = self._clock.monotonic()
            self.tickets.done(done, now)
            self._pump(now)
        self._resolve()

    def cancel(self, model: str, data_centre: str, request: str, epoch: int) -> None:
        """Withdraw a request; its future is cancelled if it still waits."""
        del model, data_centre  # the ticket knows them
        with self._lock:
            now = self._clock.monotonic()
            self.tickets.cancel(request, epoch, now)
            future = self._future_by_id.pop((request, epoch), None)
            if future is not None:
                self._resolved.append(_canceller(future))
            self._pump(now)
        self._resolve()

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits
    ) -> concurrent.futures.Future[Verdict]:
        """Ask the account's home for leave to run a request."""
        future: concurrent.futures.Future[Verdict] = concurrent.futures.Future()
        with self._lock:
            known = self._charge_by_request.get(request)
            if known is not None:
                return known
            self._charge_by_request[request] = future
            now = self._clock.monotonic()
            self.charges.charge(account, request, work, limits, now)
            self._pump(now)
        self._resolve()
        return future

    def settle(self, account: str, request: str, work: float) -> None:
        """Close a charge with the work that the request really cost."""
        del account  # the charge knows it
        with self._lock:
            now = self._clock.monotonic()
            self.charges.settle(request, work, now)
            future = self._charge_by_request.pop(request, None)
            if future is not None:
                self._resolved.append(_canceller(future))
            self._pump(now)
        self._resolve()

    # Engines.

    def data_centres_of(self, model: str) -> list[str]:
        """Return the data centres that serve a model, sorted."""
        with self._lock:
            found = {
                state.data_centre
                for state in self.engines.by_name.values()
                if state.model == model
            }
            for name, models in self._membership.models_by_centre().items():
                if model in models:
                    found.add(name)
        return sorted(found)

    def engine_states(self) -> list[EngineState]:
        """Return the last known states of all engines."""
        with self._lock:
            return list(self.engines.by_name.values())

    def models(self) -> tuple[str, ...]:
        """Return the models of this data centre's engines, sorted."""
        with self._lock:
            states = self.engines.by_name.values()
            return tuple(sorted({state.model for state in states}))

    def polls(self, engine: str) -> bool:
        """Return whether this host is the one to poll an engine."""
        with self._lock:
            host = self._find_host(f"engine/{engine}", self._host.data_centre)
        return host in (self._host.name, None)

    def observe(self, state: EngineState) -> None:
        """Take a load report that this host read, and spread it."""
        with self._lock:
            now = self._clock.monotonic()
            self._observe(state, now)
            dispatcher = self._find_owner(PoolKey(state.model, state.data_centre))
            peers = self._membership.live(self._host.data_centre)
            others = [peer for peer in peers if peer != self._host.name]
            whole, load = self.spread.targets(state, dispatcher, others, now)
            for host in whole:
                report = EngineReport(state, max(0.0, now - state.as_of))
                self._send(host, report, now)
            for host in load:
                self._send(host, load_of(state, now), now)
            self._pump(now)
        self._resolve()

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone, here and at the peers."""
        with self._lock:
            state = self.engines.by_name.get(engine)
            if state is None:
                return
            now = self._clock.monotonic()
            message = EngineLost(engine, state.incarnation)
            self._engine_lost(message)
            for host in self._membership.live(self._host.data_centre):
                if host != self._host.name:
                    self._send(host, message, now)
            self._pump(now)
        self._resolve()

    # Peers.

    def receive(
        self, sender: str, incarnation: int, messages: t.Iterable[Message]
    ) -> None:
        """Take what another host sent in one datagram."""
        with self._lock:
            now = self._clock.monotonic()
            host = self._membership.find(sender)
            if host is None or host.incarnation != incarnation:
                self.dropped += 1
                return
            for message in messages:
                self._take(sender, incarnation, message, now)
            self._pump(now)
        self._resolve()

    def members_changed(self, events: t.Iterable[Event]) -> None:
        """Follow a change of the live hosts."""
        with self._lock:
            now = self._clock.monotonic()
            for event in events:
                self._member_changed(event, now)
            self._follow(now)
            self._pump(now)
        self._resolve()

    def tick(self) -> float:
        """Do what is due; return seconds after which to call again, at most."""
        with self._lock:
            now = self._clock.monotonic()
            self._follow(now)
            self.pools.touch()
            self.tickets.tick(now)
            self.charges.tick(now)
            for host, numbered in self.outbox.repeat(now):
                self._send(host, numbered, now)
            for state in self.spread.stale(self.engines, now):
                self._engine_lost(EngineLost(state.name, state.incarnation))
            self._pump(now)
            wait_s = self._wait_s(now)
        self._resolve()
        return wait_s

    # Inside.

    def _wait_s(self, now: float) -> float:
        wakes = (
            self.tickets.next_wake(now),
            self.charges.next_wake(),
            self.outbox.next_wake(),
            self.pools.next_wake(now),
        )
        times = [wake for wake in wakes if wake is not None]
        wait_s = min(times, default=now + TICK_S) - now
        return min(TICK_S, max(WAKE_FLOOR_S, wait_s))

    def _find_owner(self, key: PoolKey) -> str | None:
        return self._find_host(str(key), key.data_centre)

    def _find_home(self, account: str) -> str | None:
        return self._find_host(f"account/{account}", None)

    def _find_host(self, role: str, data_centre: str | None) -> str | None:
        """Return the live host that has a role, among some or all of them."""
        generation = self._membership.generation
        if generation != self._cached_at or len(self._host_by_role) >= ROLES_CACHED:
            self._cached_at = generation
            self._host_by_role.clear()
        if role not in self._host_by_role:
            live = self._membership.live(data_centre)
            self._host_by_role[role] = owner(role, live)
        return self._host_by_role[role]

    def _tell(self, host: str, body: Reliable, now: float) -> None:
        self._send(host, self.outbox.add(host, body, now), now)

    def _send(self, host: str, message: Message, now: float) -> None:
        if host == self._host.name:
            self._own.append(message)
            return
        known = self._membership.find(host)
        if known is not None:
            self._transport.send(known.peer_address, known.incarnation, message)

    def _follow(self, now: float) -> None:
        if self._generation == self._membership.generation:
            return
        self._generation = self._membership.generation
        self.tickets.share = max(1, len(self._membership.live(self._host.data_centre)))
        self.charges.hosts = max(1, len(self._membership.live()))
        self.tickets.moved(now)
        self.charges.moved(now)

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
            self.homes.forget(sender)
            self._reset_by_sender.pop(sender, None)
            self._buried.pop(name, None)
            self.tickets.void(name, now)
            self.charges.void(name, now)
            self.spread.hurry()
        elif isinstance(event, PeerLive):
            self._revive(event.host.name, event.host.incarnation, now)
            if event.host.data_centre == self._host.data_centre:
                self.spread.hurry()

    def _lose(self, name: str, incarnation: int, now: float) -> None:
        self.outbox.drop(name)
        self.pools.host_lost(f"{name}/{incarnation}", now)
        self.homes.host_lost(f"{name}/{incarnation}", now)

    def _revive(self, name: str, incarnation: int, now: float) -> None:
        """Start a new era with a host that was taken for dead."""
        if self._buried.pop(name, None) != incarnation:
            return
        era = self._era_by_host.get(name, 0) + 1
        self._era_by_host[name] = era
        self.tickets.era_by_host[name] = era
        self.charges.era_by_host[name] = era
        self._tell(name, Reset(era), now)

    def _observe(self, state: EngineState, now: float) -> None:
        if not self.engines.observe(state):
            return
        state = self.engines.by_name[state.name]
        self.pools.observe(state, now)
        self.tickets.observe(state, now)

    def _engine_lost(self, message: EngineLost) -> None:
        if self.engines.remove(message):
            self.pools.remove(message.name)
            self.tickets.remove(message.name)

    def _take(self, sender: str, number: int, message: Message, now: float) -> None:
        name = f"{sender}/{number}"
        if isinstance(message, Submit):
            self.pools.submit(name, message, now)
        elif isinstance(message, Granted):
            self.tickets.granted(sender, message, now)
        elif isinstance(message, Refused):
            self.tickets.refused(sender, message, now)
        elif isinstance(message, Queued):
            self.tickets.queued(sender, message, now)
        elif isinstance(message, Numbered):
            self._take_numbered(sender, name, message, now)
        elif isinstance(message, Ack):
            self._take_ack(sender, message)
        else:
            self._take_other(sender, name, message, now)

    def _take_other(self, sender: str, name: str, message: Message, now: float) -> None:
        if isinstance(message, Charge):
            charged = self.homes.charge(name, message, now)
            if charged is not None:
                self._send(sender, charged, now)
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
            self._send(sender, ReportRequest(message.name), now)
            return
        self._observe(state, now)

    def _answer_report(self, sender: str, message: ReportRequest, now: float) -> None:
        state = self.engines.by_name.get(message.name)
        if state is not None:
            age_s = max(0.0, now - state.as_of)
            self._send(sender, EngineReport(state, age_s), now)

    def _take_numbered(
        self, sender: str, name: str, message: Numbered, now: float
    ) -> None:
        body = message.body
        if isinstance(body, Withdraw):
            self.pools.withdraw(name, body, now)
        elif isinstance(body, Finished):
            self.pools.finished(name, body, now)
        elif isinstance(body, Held):
            self.pools.held(name, body, now)
        elif isinstance(body, Charge):
            self.homes.charge(name, body, now)
        elif isinstance(body, Settle):
            self.homes.settle(name, body, now)
        else:
            self._take_reset(sender, name, body, now)
        self._acks.setdefault(sender, []).append(message.number)

    def _take_reset(self, sender: str, name: str, body: Reset, now: float) -> None:
        if self._reset_by_sender.get(name, 0) >= body.era:
            return
        self._reset_by_sender[name] = body.era
        self.pools.reset(name, body.era, now)
        self.homes.reset(name, body.era, now)
        self.tickets.void(sender, now)
        self.charges.void(sender, now)

    def _take_ack(self, sender: str, message: Ack) -> None:
        for number in message.numbers:
            self.outbox.acknowledge(sender, number)
        self.tickets.heard(sender)
        self.charges.suspects.discard(sender)

    def _pump(self, now: float) -> None:
        """Carry messages to this host itself, and send all others."""
        name = self._host.name
        while True:
            for host, submit in self.tickets.take_sends():
                self._send(host, submit, now)
            for host, charge in self.charges.take_sends():
                self._send(host, charge, now)
            for sender, answer in self.pools.poll(now):
                self._answer(sender, answer, now)
            for host, numbers in self._take_acks():
                self._send(host, Ack(tuple(numbers)), now)
            if not self._own:
                break
            while self._own:
                message = self._own.popleft()
                self._take(name, self._host.incarnation, message, now)
        self._transport.flush()
        self._collect()

    def _take_acks(self) -> list[tuple[str, list[int]]]:
        acks, self._acks = self._acks, {}
        return list(acks.items())

    def _answer(
        self, sender: str, answer: Granted | Refused | Queued, now: float
    ) -> None:
        name, _, incarnation = sender.rpartition("/")
        host = self._membership.find(name)
        if host is not None and str(host.incarnation) == incarnation:
            self._send(name, answer, now)

    def _collect(self) -> None:
        for decision in self.tickets.take_results():
            name = (decision.request, decision.epoch)
            future = self._future_by_id.pop(name, None)
            if future is not None:
                self._resolved.append(_setter(future, decision))
        for request, verdict in self.charges.take_results():
            waiting = self._charge_by_request.pop(request, None)
            if waiting is not None:
                self._resolved.append(_setter(waiting, verdict))

    def _resolve(self) -> None:
        with self._lock:
            resolved, self._resolved = self._resolved, []
        for call in resolved:
            call()


Value = t.TypeVar("Value")


def _canceller(future: concurrent.futures.Future[Value]) -> t.Callable[[], None]:
    def call() -> None:
        future.cancel()

    return call


def _setter(
    future: concurrent.futures.Future[Value], value: Value
) -> t.Callable[[], None]:
    def call() -> None:
        if future.set_running_or_notify_cancel():
            future.set_result(value)

    return call
