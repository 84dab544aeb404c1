"""The dispatcher of one pool: orders all waiting requests and grants routes."""

import collections
import dataclasses
import heapq

from .demand import Done
from .demand import Grant
from .demand import Hold
from .demand import Refusal
from .demand import RefusalReason
from .demand import Want
from .ejection import Ejection
from .ejection import EjectionLimits
from .engine import EngineState
from .engine import Priority
from .engine import Route
from .queueing import FairQueue
from .routing import EngineLoad
from .routing import expected_delay
from .routing import fleet_bound
from .routing import kv_need
from .routing import prompt_work
from .routing import shortest_route

MEMORY_OF_ENDED = 16_384
"""Ended epochs that are remembered, so that a late want is not granted again."""
PREFIXES_PER_ENGINE = 4_096
RATE_TIME_CONSTANT_S = 10.0
NO_ROUTE_PATIENCE_S = 2.0
GRANT_GRACE_S = 5.0
"""Time after its deadline when an open grant counts as lost."""
HEADS_TRIED = 4
MINIMUM_RETRY_AFTER_S = 0.5
MAXIMUM_RETRY_AFTER_S = 60.0
BOUND_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class PoolLimits:
    """Bounds and shares of a pool.

    ``reserves``: share of each engine's slots that stays free of work of a
    priority, for more urgent work.
    """

    queue_length: int = 4096
    minimum_shares: tuple[float, float, float] = (0.5, 0.2, 0.05)
    reserves: tuple[float, float, float] = (0.0, 0.05, 0.1)
    ejection: EjectionLimits = dataclasses.field(default_factory=EjectionLimits)


@dataclasses.dataclass(slots=True)
class PoolStats:
    """Counts of a pool; the first three tuples are by priority."""

    waiting: tuple[int, ...]
    granted: tuple[int, ...]
    granted_work: tuple[float, ...]
    open_grants: int
    engines: int
    refused_by_reason: dict[str, int]
    pushed_out: int
    work_per_s: float


@dataclasses.dataclass(slots=True)
class _Open:
    want: Want
    route: Route


class Pool:
    """Orders the requests for one model in one data centre.

    Wants, dones and holds may come twice or late: a want that is repeated
    gets its grant or refusal again, everything else has no further effect.
    """

    def __init__(
        self, model: str, data_centre: str, limits: PoolLimits | None = None
    ) -> None:
        self.model = model
        self.data_centre = data_centre
        self._limits = limits or PoolLimits()
        self._queue = FairQueue(self._limits.queue_length, self._limits.minimum_shares)
        self._ejection = Ejection(self._limits.ejection)
        self._load_by_engine: dict[str, EngineLoad] = {}
        self._ordered: list[EngineLoad] = []
        self._open_by_request: dict[str, _Open] = {}
        self._ended: collections.OrderedDict[str, tuple[int, Refusal | None]]
        self._ended = collections.OrderedDict()
        self._deadlines: list[tuple[float, str, int]] = []
        self._expiries: list[tuple[float, str, int]] = []
        self._no_route_since: dict[str, float] = {}
        self._outbox: list[Grant | Refusal] = []
        self._granted = [0, 0, 0]
        self._granted_work = [0.0, 0.0, 0.0]
        self._refused_by_reason: dict[str, int] = collections.defaultdict(int)
        self._pushed_out = 0
        self._rate = 0.0
        self._rate_at = 0.0
        self._bound = 0.0
        self._bound_at = -BOUND_INTERVAL_S

    # Requests.

    def want(self, want: Want, now: float) -> None:
        """Take a request in, or answer a repeated one again."""
        epoch = self._latest_epoch(want.request)
        if want.epoch < epoch:
            return
        if want.epoch == epoch:
            self._repeat(want)
            return
        self._withdraw(want.request)
        self._ended.pop(want.request, None)
        if now >= want.deadline:
            self._refuse(want, RefusalReason.DEADLINE, now)
            return
        late_s = now + self._expected_wait_s(want, now) - want.deadline
        if late_s > 0:
            self._refuse(want, RefusalReason.DEADLINE, now, late_s)
            return
        taken, victim = self._queue.push(want)
        if not taken:
            self._refuse(want, RefusalReason.QUEUE_FULL, now)
            return
        heapq.heappush(self._deadlines, (want.deadline, want.request, want.epoch))
        if victim is not None:
            self._pushed_out += 1
            self._no_route_since.pop(victim.request, None)
            self._refuse(victim, RefusalReason.QUEUE_FULL, now)

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """Withdraw a request that waits, or end its grant."""
        if epoch < self._latest_epoch(request):
            return
        self._withdraw(request)
        self._remember(request, epoch, None)

    def hold(self, hold: Hold, now: float) -> None:
        """Take over a grant that another dispatcher gave."""
        want = hold.want
        if want.epoch < self._latest_epoch(want.request):
            return
        known = self._open_by_request.get(want.request)
        if known is not None and known.want.epoch == want.epoch:
            return
        ended = self._ended.get(want.request)
        if ended is not None and ended[0] == want.epoch:
            return
        self._withdraw(want.request)
        self._open(want, hold.route)
        for stage in hold.route:
            load = self._load_by_engine.get(stage.engine)
            if load is not None:
                load.foreign = max(0, load.foreign - 1)

    def done(self, done: Done, now: float) -> None:
        """End a grant and correct what it cost."""
        if done.epoch < self._latest_epoch(done.request):
            return
        known = self._open_by_request.get(done.request)
        if known is None or known.want.epoch != done.epoch:
            self._withdraw(done.request)
            self._remember(done.request, done.epoch, None)
            return
        self._close(known)
        self._remember(done.request, done.epoch, None)
        work = prompt_work(done.prompt_tokens) + done.output_tokens
        self._queue.settle(known.want, work)
        self._count_rate(work, now)
        for stage in known.route:
            if stage.engine in done.failed:
                self._ejection.failed(stage.engine, len(self._load_by_engine), now)
            elif done.failed:
                self._ejection.abandoned(stage.engine)
            else:
                self._ejection.succeeded(stage.engine, now)

    def _latest_epoch(self, request: str) -> int:
        waiting = self._queue.get(request)
        if waiting is not None:
            return waiting.epoch
        known = self._open_by_request.get(request)
        if known is not None:
            return known.want.epoch
        ended = self._ended.get(request)
        return -1 if ended is None else ended[0]

    def _repeat(self, want: Want) -> None:
        known = self._open_by_request.get(want.request)
        if known is not None:
            grant = Grant(want.request, want.epoch, known.want.host, known.route)
            self._outbox.append(grant)
            return
        ended = self._ended.get(want.request)
        if ended is not None and ended[1] is not None:
            self._outbox.append(ended[1])

    def _withdraw(self, request: str) -> None:
        self._queue.discard(request)
        self._no_route_since.pop(request, None)
        known = self._open_by_request.get(request)
        if known is not None:
            for stage in known.route:
                self._ejection.abandoned(stage.engine)
            self._close(known)

    def _remember(self, request: str, epoch: int, refusal: Refusal | None) -> None:
        self._ended.pop(request, None)
        self._ended[request] = (epoch, refusal)
        while len(self._ended) > MEMORY_OF_ENDED:
            self._ended.popitem(last=False)

    def _refuse(
        self, want: Want, reason: RefusalReason, now: float, late_s: float = 0.0
    ) -> None:
        retry_after_s = late_s
        if reason is RefusalReason.QUEUE_FULL:
            retry_after_s = self._queue.work_ahead(want) / self._capacity(now)
        retry_after_s = max(retry_after_s, MINIMUM_RETRY_AFTER_S)
        retry_after_s = min(retry_after_s, MAXIMUM_RETRY_AFTER_S)
        refusal = Refusal(want.request, want.epoch, want.host, reason, retry_after_s)
        self._refused_by_reason[reason.value] += 1
        self._remember(want.request, want.epoch, refusal)
        self._outbox.append(refusal)

    # Engines and hosts.

    def observe(self, state: EngineState, now: float) -> None:
        """Take in a load report."""
        load = self._load_by_engine.get(state.name)
        if load is not None and load.state.incarnation == state.incarnation:
            if state.as_of < load.state.as_of:
                return
            reordered = (load.state.first, load.state.last) != (state.first, state.last)
            load.state = state
            unknown = max(0, state.running + state.waiting - load.granted)
            load.foreign = min(load.foreign, unknown)
            if reordered:
                self._order()
            return
        fresh = EngineLoad(state)
        self._count_open(fresh)
        self._ejection.forget(state.name)
        fresh.foreign = max(0, state.running + state.waiting - fresh.granted)
        self._load_by_engine[state.name] = fresh
        self._order()

    def _count_open(self, load: EngineLoad) -> None:
        for known in self._open_by_request.values():
            for stage in known.route:
                if stage.engine == load.state.name:
                    load.granted += 1
                    load.granted_kv += kv_need(known.want)

    def cached(
        self, engine: str, stored: tuple[int, ...], evicted: tuple[int, ...]
    ) -> None:
        """Take in which prompt prefixes an engine holds and dropped."""
        load = self._load_by_engine.get(engine)
        if load is None:
            return
        for prefix in evicted:
            load.prefixes.pop(prefix, None)
        for prefix in stored:
            load.prefixes.pop(prefix, None)
            load.prefixes[prefix] = None
        while len(load.prefixes) > PREFIXES_PER_ENGINE:
            load.prefixes.popitem(last=False)

    def leaving(self, engine: str) -> None:
        """Give an engine no new work for as long as its incarnation lives."""
        load = self._load_by_engine.get(engine)
        if load is not None:
            load.is_leaving = True

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone; its open grants end by their dones."""
        if self._load_by_engine.pop(engine, None) is not None:
            self._ejection.forget(engine)
            self._order()

    def host_lost(self, host: str, now: float) -> None:
        """Withdraw the requests and grants of a dead entry host."""
        waiting = [want for want in self._queue.wants() if want.host == host]
        for want in waiting:
            self.cancel(want.request, want.epoch, now)
        running = [known.want for known in self._open_by_request.values()]
        for want in running:
            if want.host == host:
                self.cancel(want.request, want.epoch, now)

    def _order(self) -> None:
        loads = self._load_by_engine.values()
        self._ordered = sorted(loads, key=lambda load: load.state.first)

    # Grants.

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Return what has been decided since the last call."""
        self._expire(now)
        while self._grant_one(now):
            pass
        outbox = self._outbox
        self._outbox = []
        return outbox

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again if no event comes before."""
        times = []
        if self._deadlines:
            times.append(self._deadlines[0][0])
        if self._expiries:
            times.append(self._expiries[0][0])
        if self._no_route_since:
            oldest = next(iter(self._no_route_since.values()))
            times.append(oldest + NO_ROUTE_PATIENCE_S)
        if len(self._queue):
            change = self._ejection.next_change(now)
            if change is not None:
                times.append(change)
        return min(times, default=None)

    def stats(self) -> PoolStats:
        """Return counts for metrics."""
        return PoolStats(
            waiting=tuple(self._queue.count(priority) for priority in Priority),
            granted=tuple(self._granted),
            granted_work=tuple(self._granted_work),
            open_grants=len(self._open_by_request),
            engines=len(self._load_by_engine),
            refused_by_reason=dict(self._refused_by_reason),
            pushed_out=self._pushed_out,
            work_per_s=self._rate,
        )

    def _expire(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request, epoch = heapq.heappop(self._deadlines)
            want = self._queue.get(request)
            if want is None or want.epoch != epoch:
                continue
            self._withdraw(request)
            self._refuse(want, RefusalReason.DEADLINE, now)
        while self._expiries and self._expiries[0][0] <= now:
            _, request, epoch = heapq.heappop(self._expiries)
            known = self._open_by_request.get(request)
            if known is not None and known.want.epoch == epoch:
                self.cancel(request, epoch, now)
        for request, since in list(self._no_route_since.items()):
            if now < since + NO_ROUTE_PATIENCE_S:
                break
            want = self._queue.get(request)
            self._withdraw(request)
            if want is not None:
                self._refuse(want, RefusalReason.NO_ROUTE, now)

    def _grant_one(self, now: float) -> bool:
        for want in self._queue.heads(HEADS_TRIED):
            found = self._find(want, now, with_slots=True)
            if found is not None:
                self._queue.take(want.request)
                self._no_route_since.pop(want.request, None)
                self._open(want, found)
                self._outbox.append(Grant(want.request, want.epoch, want.host, found))
                self._granted[want.priority] += 1
                self._granted_work[want.priority] += want.work
                return True
            if self._find(want, now, with_slots=False) is None:
                self._no_route_since.setdefault(want.request, now)
            else:
                self._no_route_since.pop(want.request, None)
        return False

    def _find(self, want: Want, now: float, *, with_slots: bool) -> Route | None:
        reserve = self._limits.reserves[want.priority]
        if self._queue.is_under_minimum(want.priority):
            reserve = 0.0

        def admits(load: EngineLoad, want: Want) -> bool:
            state = load.state
            if not load.is_open or state.name in want.avoid:
                return False
            if want.adapter and want.adapter not in state.adapters:
                return False
            if not with_slots:
                return True
            if load.used >= state.slots - int(state.slots * reserve):
                return False
            if load.granted_kv + kv_need(want) > state.kv_tokens and load.granted:
                return False
            return not self._ejection.is_ejected(state.name, now)

        found = shortest_route(self._ordered, want, admits, expected_delay)
        return None if found is None else found[0]

    def _open(self, want: Want, route: Route) -> None:
        self._open_by_request[want.request] = _Open(want, route)
        expiry = want.deadline + GRANT_GRACE_S
        heapq.heappush(self._expiries, (expiry, want.request, want.epoch))
        for stage in route:
            load = self._load_by_engine.get(stage.engine)
            if load is not None:
                load.granted += 1
                load.granted_kv += kv_need(want)
            self._ejection.started(stage.engine)

    def _close(self, known: _Open) -> None:
        del self._open_by_request[known.want.request]
        for stage in known.route:
            load = self._load_by_engine.get(stage.engine)
            if load is not None:
                load.granted = max(0, load.granted - 1)
                load.granted_kv = max(0, load.granted_kv - kv_need(known.want))

    # Rates.

    def _count_rate(self, work: float, now: float) -> None:
        span_s = max(0.0, now - self._rate_at)
        decay = max(0.0, 1 - span_s / RATE_TIME_CONSTANT_S)
        self._rate = self._rate * decay + work / RATE_TIME_CONSTANT_S
        self._rate_at = now

    def _capacity(self, now: float) -> float:
        if now - self._bound_at >= BOUND_INTERVAL_S:
            states = (load.state for load in self._ordered if load.is_open)
            self._bound = fleet_bound(states)
            self._bound_at = now
        return max(self._bound, self._rate, 1.0)

    def _expected_wait_s(self, want: Want, now: float) -> float:
        ahead = self._queue.work_ahead(want)
        if not ahead:
            return 0.0
        capacity = self._capacity(now)
        wait_s = ahead / capacity
        share = self._limits.minimum_shares[want.priority]
        if share > 0:
            own = self._queue.work(want.priority)
            wait_s = min(wait_s, own / (capacity * share))
        return wait_s
