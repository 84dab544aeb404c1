"""Requests for routes and for leave, sent to the hosts that decide on them."""

import concurrent.futures
import contextlib
import threading
import typing as t

from .clock import Clock
from .core.charges import Verdict
from .core.engine import EngineState
from .core.exchange import Exchange
from .core.grants import Grant
from .core.grants import GrantOutcome
from .core.grants import Refusal
from .core.grants import RouteRequest
from .core.membership import Event
from .core.membership import Membership
from .core.messages import Message
from .core.messages import PoolKey
from .core.pool import PoolStats
from .core.pools import PoolFactory
from .core.quota import QuotaLimits

TICK_S = 0.05  # the longest time between two looks at what is due
WAKE_FLOOR_S = 0.005

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
        self.exchange = Exchange(membership, make_pool)
        self.dispatch_client = self.exchange.dispatch_client
        self.charges = self.exchange.charges
        self.pools = self.exchange.pools
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._lock = lock or threading.RLock()
        self._host = membership.host
        self._future_by_id: dict[
            tuple[str, int], concurrent.futures.Future[Decision]
        ] = {}
        self._charge_by_request: dict[str, concurrent.futures.Future[Verdict]] = {}
        self._resolved: list[t.Callable[[], None]] = []

    # Requests.

    def submit(
        self, model: str, data_centre: str, want: RouteRequest
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
            self.dispatch_client.submit(PoolKey(model, data_centre), want, now)
            self._pump(now)
        self._resolve()
        return future

    def done(self, model: str, data_centre: str, done: GrantOutcome) -> None:
        """End a grant with what it really cost."""
        del model, data_centre  # the ticket knows them
        with self._lock:
            now = self._clock.monotonic()
            self.dispatch_client.done(done, now)
            self._pump(now)
        self._resolve()

    def cancel(self, model: str, data_centre: str, request: str, epoch: int) -> None:
        """Withdraw a request; its future is cancelled if it still waits."""
        del model, data_centre  # the ticket knows them
        with self._lock:
            now = self._clock.monotonic()
            self.dispatch_client.cancel(request, epoch, now)
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
                for state in self.exchange.engines.by_name.values()
                if state.model == model
            }
            for name, models in self._membership.models_by_centre().items():
                if model in models:
                    found.add(name)
        return sorted(found)

    def engine_states(self) -> list[EngineState]:
        """Return the last known states of all engines."""
        with self._lock:
            return list(self.exchange.engines.by_name.values())

    def pool_stats(self) -> dict[PoolKey, PoolStats]:
        """Return the counts of the pools that this host decides on."""
        found = {}
        with self._lock:
            for key, pool in self.pools.by_key.items():
                found[key] = pool.stats()
        return found

    def models(self) -> tuple[str, ...]:
        """Return the models of this data centre's engines, sorted."""
        with self._lock:
            states = self.exchange.engines.by_name.values()
            return tuple(sorted({state.model for state in states}))

    def polls(self, engine: str) -> bool:
        """Return whether this host is the one to poll an engine."""
        with self._lock:
            host = self.exchange.find_host(f"engine/{engine}", self._host.data_centre)
        return host in (self._host.name, None)

    def observe(self, state: EngineState) -> None:
        """Take a load report that this host read, and spread it."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.observe(state, now)
            self._pump(now)
        self._resolve()

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone, here and at the peers."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.remove(engine)
            self._pump(now)
        self._resolve()

    # Peers.

    def receive(
        self, sender: str, incarnation: int, messages: t.Iterable[Message]
    ) -> None:
        """Take what another host sent in one datagram."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.receive(sender, incarnation, messages, now)
            self._pump(now)
        self._resolve()

    def apply_member_events(self, events: t.Iterable[Event]) -> None:
        """Follow a change of the live hosts."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.apply_member_events(events, now)
            self._pump(now)
        self._resolve()

    def tick(self) -> float:
        """Do what is due; return seconds after which to call again, at most."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.tick(now)
            self._pump(now)
            wake = self.exchange.next_wake(now)
        self._resolve()
        if wake is None:
            return TICK_S
        return min(TICK_S, max(WAKE_FLOOR_S, wake - now))

    # Inside.

    def _pump(self, now: float) -> None:
        self.exchange.deliver_messages(now)
        for address, incarnation, message in self.exchange.take_outgoing():
            self._transport.send(address, incarnation, message)
        self._transport.flush()
        self._collect()

    def _collect(self) -> None:
        for decision in self.dispatch_client.take_results():
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
