"""Thread-safe dispatcher of a host: route requests, quota charges, load reports."""

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

MAX_TICK_INTERVAL_S = 0.05
MIN_TICK_INTERVAL_S = 0.005

Decision = Grant | Refusal


class Transport(t.Protocol):
    """Sends messages to other hosts, without delivery or order guarantees.

    Any message may be lost, delayed, duplicated or reordered.
    """

    def send(self, address: str, incarnation: int, message: Message) -> None:
        """Queue a message to an incarnation of a host."""

    def flush(self) -> None:
        """Send all queued messages."""


class Dispatcher:
    """Dispatches this host's requests, and decides on the pools and quotas it owns.

    All methods are thread-safe. Futures are resolved outside the lock.
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
        self._charge_future_by_request: dict[
            str, concurrent.futures.Future[Verdict]
        ] = {}
        self._pending_resolutions: list[t.Callable[[], None]] = []

    # Requests.

    def submit(
        self, model: str, data_centre: str, route_request: RouteRequest
    ) -> concurrent.futures.Future[Decision]:
        """Request a route.

        The future gets a grant or a refusal, at the latest one second after the
        deadline of the route request.
        """
        future: concurrent.futures.Future[Decision] = concurrent.futures.Future()
        with self._lock:
            request_id = (route_request.request, route_request.epoch)
            existing = self._future_by_id.get(request_id)
            if existing is not None:
                return existing
            self._future_by_id[request_id] = future
            now = self._clock.monotonic()
            self.dispatch_client.submit(PoolKey(model, data_centre), route_request, now)
            self._process_messages(now)
        self._resolve_futures()
        return future

    def done(self, model: str, data_centre: str, outcome: GrantOutcome) -> None:
        """Report the end of a grant, with its actual cost."""
        del model, data_centre  # stored by the dispatch client
        with self._lock:
            now = self._clock.monotonic()
            self.dispatch_client.end_grant(outcome, now)
            self._process_messages(now)
        self._resolve_futures()

    def cancel(self, model: str, data_centre: str, request: str, epoch: int) -> None:
        """Withdraw a request; its future is cancelled if it is still pending."""
        del model, data_centre  # stored by the dispatch client
        with self._lock:
            now = self._clock.monotonic()
            self.dispatch_client.cancel(request, epoch, now)
            future = self._future_by_id.pop((request, epoch), None)
            if future is not None:
                self._pending_resolutions.append(_make_canceller(future))
            self._process_messages(now)
        self._resolve_futures()

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits
    ) -> concurrent.futures.Future[Verdict]:
        """Charge a request to its account's quota; the future gets the verdict."""
        future: concurrent.futures.Future[Verdict] = concurrent.futures.Future()
        with self._lock:
            existing = self._charge_future_by_request.get(request)
            if existing is not None:
                return existing
            self._charge_future_by_request[request] = future
            now = self._clock.monotonic()
            self.charges.charge(account, request, work, limits, now)
            self._process_messages(now)
        self._resolve_futures()
        return future

    def settle(self, account: str, request: str, work: float) -> None:
        """Settle a charge at the actual work of the request."""
        del account  # stored with the open charge
        with self._lock:
            now = self._clock.monotonic()
            self.charges.settle(request, work, now)
            future = self._charge_future_by_request.pop(request, None)
            if future is not None:
                self._pending_resolutions.append(_make_canceller(future))
            self._process_messages(now)
        self._resolve_futures()

    # Engines.

    def data_centres_of(self, model: str) -> list[str]:
        """Return the data centres that serve a model, sorted."""
        with self._lock:
            names = {
                state.data_centre
                for state in self.exchange.engines.by_name.values()
                if state.model == model
            }
            for name, models in self._membership.models_by_centre().items():
                if model in models:
                    names.add(name)
        return sorted(names)

    def engine_states(self) -> list[EngineState]:
        """Return the most recent state of each engine."""
        with self._lock:
            return list(self.exchange.engines.by_name.values())

    def pool_stats(self) -> dict[PoolKey, PoolStats]:
        """Return the statistics of the pools that this host dispatches."""
        stats_by_key = {}
        with self._lock:
            for key, pool in self.pools.by_key.items():
                stats_by_key[key] = pool.stats()
        return stats_by_key

    def models(self) -> tuple[str, ...]:
        """Return the models of this data centre's engines, sorted."""
        with self._lock:
            states = self.exchange.engines.by_name.values()
            return tuple(sorted({state.model for state in states}))

    def is_poller_of(self, engine: str) -> bool:
        """Return whether this host is responsible for polling an engine."""
        with self._lock:
            host = self.exchange.find_host(f"engine/{engine}", self._host.data_centre)
        return host in (self._host.name, None)

    def observe(self, state: EngineState) -> None:
        """Store a load report that this host has read, and send it to peers."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.observe(state, now)
            self._process_messages(now)
        self._resolve_futures()

    def remove(self, engine: str) -> None:
        """Remove an engine that is gone, here and at the peers."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.remove(engine)
            self._process_messages(now)
        self._resolve_futures()

    # Peers.

    def receive(
        self, sender: str, incarnation: int, messages: t.Iterable[Message]
    ) -> None:
        """Handle the messages of one datagram from another host."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.receive(sender, incarnation, messages, now)
            self._process_messages(now)
        self._resolve_futures()

    def apply_member_events(self, events: t.Iterable[Event]) -> None:
        """Apply changes of the membership."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.apply_member_events(events, now)
            self._process_messages(now)
        self._resolve_futures()

    def tick(self) -> float:
        """Run all timers that are due; return the seconds until the next call."""
        with self._lock:
            now = self._clock.monotonic()
            self.exchange.tick(now)
            self._process_messages(now)
            wake = self.exchange.next_wake(now)
        self._resolve_futures()
        if wake is None:
            return MAX_TICK_INTERVAL_S
        return min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, wake - now))

    # Internals.

    def _process_messages(self, now: float) -> None:
        self.exchange.deliver_messages(now)
        for address, incarnation, message in self.exchange.take_outgoing():
            self._transport.send(address, incarnation, message)
        self._transport.flush()
        self._collect_results()

    def _collect_results(self) -> None:
        for decision in self.dispatch_client.take_results():
            request_id = (decision.request, decision.epoch)
            future = self._future_by_id.pop(request_id, None)
            if future is not None:
                self._pending_resolutions.append(_make_resolver(future, decision))
        for request, verdict in self.charges.take_results():
            charge_future = self._charge_future_by_request.pop(request, None)
            if charge_future is not None:
                self._pending_resolutions.append(_make_resolver(charge_future, verdict))

    def _resolve_futures(self) -> None:
        with self._lock:
            resolutions, self._pending_resolutions = self._pending_resolutions, []
        for resolve in resolutions:
            resolve()


Value = t.TypeVar("Value")


def _make_canceller(future: concurrent.futures.Future[Value]) -> t.Callable[[], None]:
    def cancel() -> None:
        future.cancel()

    return cancel


def _make_resolver(
    future: concurrent.futures.Future[Value], value: Value
) -> t.Callable[[], None]:
    def resolve() -> None:
        if future.set_running_or_notify_cancel():
            future.set_result(value)

    return resolve
