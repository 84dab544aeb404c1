"""The dispatcher of one pool: orders all waiting requests and grants routes."""

import collections
import dataclasses

from .capacity import MINIMUM_WORK_PER_S
from .capacity import Capacity
from .ejection import EjectionLimits
from .engine import EngineState
from .engine import Priority
from .engine import Route
from .grants import Grant
from .grants import GrantOutcome
from .grants import HeldGrant
from .grants import Refusal
from .grants import RefusalReason
from .grants import RouteRequest
from .loads import Need
from .loads import StageCost
from .loads import expected_delay
from .loads import prompt_work
from .queueing import FairQueue
from .route_finder import RouteFinder
from .timers import Timers

MEMORY_OF_ENDED = 16_384
"""Ended epochs that are remembered, so that a late want is not granted again."""
NO_ROUTE_TIMEOUT_S = 1.0
"""Time for a route to come back before a request is refused for want of one."""
GRANT_GRACE_S = 5.0
"""Time after its deadline when an open grant counts as lost."""
HEADS_TRIED = 32
"""Accounts of a class that are looked at for one whose request has room."""
PLAIN_HEADS_TRIED = 4
"""Of these, such as could run on any engine."""
DELAY_GAIN = 0.05
"""Weight of each grant in the mean run time of a unit of work."""
MINIMUM_RETRY_AFTER_S = 0.5
MAXIMUM_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class PoolLimits:
    """Bounds and shares of a pool.

    ``reserves``: for each priority, the part of the slots that it may not
    fill, so that more urgent work finds room; ``deadline_margin``: where
    others wait, a request is refused when less than so many times its
    expected run time is left.
    """

    queue_length: int = 4096
    minimum_shares: tuple[float, float, float] = (0.5, 0.2, 0.05)
    reserves: tuple[float, float, float] = (0.0, 0.08, 0.2)
    deadline_margin: float = 2.0
    ejection: EjectionLimits = dataclasses.field(default_factory=EjectionLimits)


@dataclasses.dataclass(slots=True)
class PoolStats:
    """Counts of a pool; the tuples are by priority."""

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
    want: RouteRequest
    need: Need
    route: Route


class Pool:
    """Orders the requests for one model in one data centre.

    Wants, dones and holds may come twice or late: a want that is repeated
    gets its grant or refusal again, everything else has no further effect.
    """

    def __init__(
        self,
        model: str,
        data_centre: str,
        limits: PoolLimits | None = None,
        cost: StageCost = expected_delay,
    ) -> None:
        self.model = model
        self.data_centre = data_centre
        self._limits = limits or PoolLimits()
        self._queue = FairQueue(self._limits.queue_length, self._limits.minimum_shares)
        self._slots = RouteFinder(self._limits.reserves, self._limits.ejection, cost)
        self._open_by_request: dict[str, _Open] = {}
        self._ended: collections.OrderedDict[str, tuple[int, Refusal | None]]
        self._ended = collections.OrderedDict()
        self._deadlines = Timers(self._is_waiting)
        self._expiries = Timers(self._is_open)
        self._no_route_since: dict[str, float] = {}
        self._outbox: list[Grant | Refusal] = []
        self._granted = [0, 0, 0]
        self._granted_work = [0.0, 0.0, 0.0]
        self._refused_by_reason: dict[str, int] = collections.defaultdict(int)
        self._pushed_out = 0
        self._capacity = Capacity()
        self._delay_per_work = 0.0

    # Requests.

    def want(self, want: RouteRequest, now: float) -> None:
        """Take a request in, or answer a repeated one again."""
        epoch = self._latest_epoch(want.request)
        if want.epoch < epoch:
            return
        if want.epoch == epoch:
            self._repeat(want)
            return
        self._withdraw(want.request, now)
        self._ended.pop(want.request, None)
        if now >= want.deadline:
            self._refuse(want, RefusalReason.DEADLINE, now)
            return
        run_s = want.work * self._delay_per_work
        wait_s = self._expected_wait_s(want, now)
        late_s = now + wait_s + self._time_wanted_s(want, run_s) - want.deadline
        if late_s > 0:
            self._refuse(want, RefusalReason.DEADLINE, now, late_s)
            return
        taken, victim = self._queue.push(want)
        if not taken:
            self._refuse(want, RefusalReason.QUEUE_FULL, now)
            return
        self._deadlines.add(want.deadline, want.request, want.epoch)
        self._note_route(want, Need.of(want), now)
        if victim is not None:
            self._pushed_out += 1
            self._no_route_since.pop(victim.request, None)
            self._refuse(victim, RefusalReason.QUEUE_FULL, now)

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """Withdraw a request that waits, or end its grant."""
        if epoch < self._latest_epoch(request):
            return
        self._withdraw(request, now)
        self._remember(request, epoch, None)

    def hold(self, hold: HeldGrant, now: float) -> None:
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
        self._withdraw(want.request, now)
        need = Need.of(want)
        self._slots.adopt(hold.route, need, now)
        self._keep(_Open(want, need, hold.route))

    def done(self, done: GrantOutcome, now: float) -> None:
        """End a grant and correct what it cost."""
        if done.epoch < self._latest_epoch(done.request):
            return
        known = self._open_by_request.get(done.request)
        if known is None or known.want.epoch != done.epoch:
            self._withdraw(done.request, now)
            self._remember(done.request, done.epoch, None)
            return
        self._close(known)
        self._remember(done.request, done.epoch, None)
        work = prompt_work(done.prompt_tokens) + done.output_tokens
        self._queue.settle(known.want, work)
        self._capacity.record_served(work, len(self._queue) > 0, now)
        self._slots.judge(known.route, done.failed, now)

    def _latest_epoch(self, request: str) -> int:
        waiting = self._queue.get(request)
        if waiting is not None:
            return waiting.epoch
        known = self._open_by_request.get(request)
        if known is not None:
            return known.want.epoch
        ended = self._ended.get(request)
        return -1 if ended is None else ended[0]

    def _repeat(self, want: RouteRequest) -> None:
        known = self._open_by_request.get(want.request)
        if known is not None:
            grant = Grant(want.request, want.epoch, known.want.host, known.route)
            self._outbox.append(grant)
            return
        ended = self._ended.get(want.request)
        if ended is not None and ended[1] is not None:
            self._outbox.append(ended[1])

    def _withdraw(self, request: str, now: float) -> None:
        self._queue.discard(request)
        self._no_route_since.pop(request, None)
        known = self._open_by_request.get(request)
        if known is not None:
            self._slots.abandon(known.route, now)
            self._close(known)

    def _remember(self, request: str, epoch: int, refusal: Refusal | None) -> None:
        self._ended.pop(request, None)
        self._ended[request] = (epoch, refusal)
        while len(self._ended) > MEMORY_OF_ENDED:
            self._ended.popitem(last=False)

    def _refuse(
        self, want: RouteRequest, reason: RefusalReason, now: float, late_s: float = 0.0
    ) -> None:
        retry_after_s = late_s
        if reason is RefusalReason.QUEUE_FULL:
            work_per_s = self._work_per_s(now) or MINIMUM_WORK_PER_S
            retry_after_s = self._queue.work_ahead(want) / work_per_s
        retry_after_s = max(retry_after_s, MINIMUM_RETRY_AFTER_S)
        retry_after_s = min(retry_after_s, MAXIMUM_RETRY_AFTER_S)
        refusal = Refusal(want.request, want.epoch, want.host, reason, retry_after_s)
        self._refused_by_reason[reason.value] += 1
        self._remember(want.request, want.epoch, refusal)
        self._outbox.append(refusal)

    # Engines and hosts.

    def observe(self, state: EngineState, now: float) -> None:
        """Take in a load report."""
        if self._slots.is_known(state):
            self._slots.observe(state, now)
            return
        self._slots.add(state, self._needs_on(state.name))

    def _needs_on(self, engine: str) -> list[Need]:
        needs: list[Need] = []
        for known in self._open_by_request.values():
            needs += [known.need for s in known.route if s.engine == engine]
        return needs

    def cached(
        self, engine: str, stored: tuple[int, ...], evicted: tuple[int, ...]
    ) -> None:
        """Take in which prompt prefixes an engine holds and dropped."""
        self._slots.cached(engine, stored, evicted)

    def leaving(self, engine: str) -> None:
        """Give an engine no new work for as long as its incarnation lives."""
        self._slots.leaving(engine)

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone; its open grants end by their dones."""
        self._slots.remove(engine)

    def host_lost(self, host: str, now: float) -> None:
        """Withdraw the requests and grants of a dead entry host."""
        waiting = [want for want in self._queue.wants() if want.host == host]
        for want in waiting:
            self.cancel(want.request, want.epoch, now)
        running = [known.want for known in self._open_by_request.values()]
        for want in running:
            if want.host == host:
                self.cancel(want.request, want.epoch, now)

    # Grants.

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Return what has been decided since the last call."""
        self._expire(now)
        self._slots.end_ejections(now)
        while self._grant_one(now):
            pass
        outbox = self._outbox
        self._outbox = []
        return outbox

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again if no event comes before."""
        times = [self._deadlines.next(), self._expiries.next()]
        if self._no_route_since:
            oldest = next(iter(self._no_route_since.values()))
            times.append(oldest + NO_ROUTE_TIMEOUT_S)
        if len(self._queue):
            times.append(self._slots.next_change(now))
        return min((time for time in times if time is not None), default=None)

    def stats(self) -> PoolStats:
        """Return counts for metrics."""
        return PoolStats(
            waiting=tuple(self._queue.count(priority) for priority in Priority),
            granted=tuple(self._granted),
            granted_work=tuple(self._granted_work),
            open_grants=len(self._open_by_request),
            engines=len(self._slots),
            refused_by_reason=dict(self._refused_by_reason),
            pushed_out=self._pushed_out,
            work_per_s=self._capacity.estimate,
        )

    def _expire(self, now: float) -> None:
        for request, _ in self._deadlines.due(now):
            want = self._queue.discard(request)
            if want is not None:
                self._no_route_since.pop(request, None)
                self._refuse(want, RefusalReason.DEADLINE, now)
        for request, epoch in self._expiries.due(now):
            self.cancel(request, epoch, now)
        for request, since in list(self._no_route_since.items()):
            if now < since + NO_ROUTE_TIMEOUT_S:
                break
            want = self._queue.get(request)
            if want is not None and self._slots.has_route(want, Need.of(want)):
                # It came back, and only requests at the head of a queue notice.
                del self._no_route_since[request]
                continue
            self._withdraw(request, now)
            if want is not None:
                self._refuse(want, RefusalReason.NO_ROUTE, now)

    def _grant_one(self, now: float) -> bool:
        for heads in self._queue.heads_by_class(HEADS_TRIED):
            blocked = 0
            for want in heads:
                if self._try(want, now):
                    return True
                blocked += not want.adapter and not want.avoid
                if blocked >= PLAIN_HEADS_TRIED:
                    break
        return False

    def _try(self, want: RouteRequest, now: float) -> bool:
        rank = self._rank(want)
        need = Need.of(want)
        if self._slots.is_blocked(want, need, rank):
            self._note_route(want, need, now)
            return False
        found = self._slots.find(want, need, rank, now)
        if found is None:
            self._note_route(want, need, now)
            return False
        route, delay_s = found
        if now + self._time_wanted_s(want, delay_s) > want.deadline:
            self._withdraw(want.request, now)
            self._refuse(want, RefusalReason.DEADLINE, now)
            return True
        self._learn_delay(delay_s / want.work)
        self._grant(want, need, route, now)
        return True

    def _note_route(self, want: RouteRequest, need: Need, now: float) -> None:
        if self._slots.has_route(want, need):
            self._no_route_since.pop(want.request, None)
        else:
            self._no_route_since.setdefault(want.request, now)

    def _rank(self, want: RouteRequest) -> Priority:
        # Work below its minimum share may also use what is set aside.
        if self._queue.is_under_minimum(want.priority):
            return Priority.URGENT
        return want.priority

    def _grant(self, want: RouteRequest, need: Need, route: Route, now: float) -> None:
        self._queue.take(want.request)
        self._no_route_since.pop(want.request, None)
        self._slots.start(route, need, now)
        self._keep(_Open(want, need, route))
        self._outbox.append(Grant(want.request, want.epoch, want.host, route))
        self._granted[want.priority] += 1
        self._granted_work[want.priority] += want.work

    def _keep(self, known: _Open) -> None:
        want = known.want
        self._open_by_request[want.request] = known
        self._expiries.add(want.deadline + GRANT_GRACE_S, want.request, want.epoch)

    def _close(self, known: _Open) -> None:
        del self._open_by_request[known.want.request]
        self._slots.end(known.route, known.need)

    def _is_waiting(self, request: str, epoch: int) -> bool:
        want = self._queue.get(request)
        return want is not None and want.epoch == epoch

    def _is_open(self, request: str, epoch: int) -> bool:
        known = self._open_by_request.get(request)
        return known is not None and known.want.epoch == epoch

    # Expected waits.

    def _work_per_s(self, now: float) -> float:
        return self._capacity.work_per_s(self._slots.open_states, now)

    def _learn_delay(self, delay_per_work: float) -> None:
        if not self._delay_per_work:
            self._delay_per_work = delay_per_work
            return
        change = delay_per_work - self._delay_per_work
        self._delay_per_work += DELAY_GAIN * change

    def _time_wanted_s(self, want: RouteRequest, run_s: float) -> float:
        """Return the time that must be left for a request to be run.

        Answers may be longer than expected. Where others of its priority
        wait, those with time to spare go first, so that less is run in vain.
        """
        if self._queue.count(want.priority) <= 1:
            return run_s
        return run_s * self._limits.deadline_margin

    def _expected_wait_s(self, want: RouteRequest, now: float) -> float:
        ahead = self._queue.work_ahead(want)
        if not ahead or not len(self._slots):
            return 0.0
        work_per_s = self._work_per_s(now)
        if not work_per_s:
            return 0.0
        wait_s = ahead / work_per_s
        share = self._limits.minimum_shares[want.priority]
        if share > 0:
            own = self._queue.work(want.priority)
            wait_s = min(wait_s, own / (work_per_s * share))
        return wait_s
