"""Dispatcher of one pool: orders the waiting requests and grants routes."""

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

MAX_ENDED_EPOCHS = 16_384
"""Ended epochs that are kept, so that a late copy of a request is not granted."""
NO_ROUTE_TIMEOUT_S = 1.0
"""Time that a request may wait while no engines could form a route for it."""
GRANT_GRACE_S = 5.0
"""Time from its deadline until an open grant is cancelled as lost."""
MAX_HEADS_TRIED = 32
"""Accounts of a class that are searched for one whose next request has room."""
MAX_UNRESTRICTED_HEADS = 4
"""Blocked requests without adapter and avoided engines after which a search ends."""
DELAY_SMOOTHING = 0.05
"""Weight of a grant in the moving average of the run time per work unit."""
MINIMUM_RETRY_AFTER_S = 0.5
MAXIMUM_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class PoolLimits:
    """Limits and shares of a pool.

    ``reserves``: for each priority, the share of the slots that it may not
    fill, so that more urgent work finds room; ``deadline_margin``: while
    others of its priority wait, a request is refused if the time left is less
    than this multiple of its expected run time.
    """

    queue_length: int = 4096
    minimum_shares: tuple[float, float, float] = (0.5, 0.2, 0.05)
    reserves: tuple[float, float, float] = (0.0, 0.08, 0.2)
    deadline_margin: float = 2.0
    ejection: EjectionLimits = dataclasses.field(default_factory=EjectionLimits)


@dataclasses.dataclass(slots=True)
class PoolStats:
    """Counts of a pool; the tuples are indexed by priority."""

    waiting: tuple[int, ...]
    granted: tuple[int, ...]
    granted_work: tuple[float, ...]
    open_grants: int
    engines: int
    refused_by_reason: dict[str, int]
    displaced: int
    work_per_s: float


@dataclasses.dataclass(slots=True)
class _OpenGrant:
    route_request: RouteRequest
    need: Need
    route: Route


class Pool:
    """Orders the requests for one model in one data centre.

    :meth:`submit`, :meth:`end_grant` and :meth:`adopt_grant` may be called twice
    or late. A repeated request is answered with the same grant or refusal, any
    other repeated call has no effect.
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
        self._route_finder = RouteFinder(
            self._limits.reserves, self._limits.ejection, cost
        )
        self._open_by_request: dict[str, _OpenGrant] = {}
        self._ended: collections.OrderedDict[str, tuple[int, Refusal | None]]
        self._ended = collections.OrderedDict()
        self._deadlines = Timers(self._is_waiting)
        self._expiries = Timers(self._is_open)
        self._no_route_since: dict[str, float] = {}
        self._decisions: list[Grant | Refusal] = []
        self._granted = [0, 0, 0]
        self._granted_work = [0.0, 0.0, 0.0]
        self._refused_by_reason: dict[str, int] = collections.defaultdict(int)
        self._displaced = 0
        self._capacity = Capacity()
        self._delay_per_work = 0.0

    # Requests.

    def submit(self, item: RouteRequest, now: float) -> None:
        """Queue a request, or answer a repeated one again."""
        epoch = self._latest_epoch(item.request)
        if item.epoch < epoch:
            return
        if item.epoch == epoch:
            self._answer_again(item)
            return
        self._withdraw(item.request, now)
        self._ended.pop(item.request, None)
        if now >= item.deadline:
            self._refuse(item, RefusalReason.DEADLINE, now)
            return
        run_s = item.work * self._delay_per_work
        wait_s = self._expected_wait_s(item, now)
        overrun_s = now + wait_s + self._required_time_s(item, run_s) - item.deadline
        if overrun_s > 0:
            self._refuse(item, RefusalReason.DEADLINE, now, overrun_s)
            return
        is_queued, victim = self._queue.push(item)
        if not is_queued:
            self._refuse(item, RefusalReason.QUEUE_FULL, now)
            return
        self._deadlines.add(item.deadline, item.request, item.epoch)
        self._update_no_route(item, Need.of(item), now)
        if victim is not None:
            self._displaced += 1
            self._no_route_since.pop(victim.request, None)
            self._refuse(victim, RefusalReason.QUEUE_FULL, now)

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """Remove a waiting request, or end its grant."""
        if epoch < self._latest_epoch(request):
            return
        self._withdraw(request, now)
        self._record_ended(request, epoch, None)

    def adopt_grant(self, held_grant: HeldGrant, now: float) -> None:
        """Adopt a grant of another dispatcher."""
        item = held_grant.route_request
        if item.epoch < self._latest_epoch(item.request):
            return
        open_grant = self._open_by_request.get(item.request)
        if open_grant is not None and open_grant.route_request.epoch == item.epoch:
            return
        ended = self._ended.get(item.request)
        if ended is not None and ended[0] == item.epoch:
            return
        self._withdraw(item.request, now)
        need = Need.of(item)
        self._route_finder.count_adopted(held_grant.route, need, now)
        self._add_open_grant(_OpenGrant(item, need, held_grant.route))

    def end_grant(self, outcome: GrantOutcome, now: float) -> None:
        """End a grant and correct its charge to the actual cost."""
        if outcome.epoch < self._latest_epoch(outcome.request):
            return
        open_grant = self._open_by_request.get(outcome.request)
        if open_grant is None or open_grant.route_request.epoch != outcome.epoch:
            self._withdraw(outcome.request, now)
            self._record_ended(outcome.request, outcome.epoch, None)
            return
        self._end_grant(open_grant)
        self._record_ended(outcome.request, outcome.epoch, None)
        work = prompt_work(outcome.prompt_tokens) + outcome.output_tokens
        self._queue.correct_charge(open_grant.route_request, work)
        self._capacity.record_served(work, len(self._queue) > 0, now)
        self._route_finder.record_outcome(open_grant.route, outcome.failed, now)

    def _latest_epoch(self, request: str) -> int:
        waiting = self._queue.get(request)
        if waiting is not None:
            return waiting.epoch
        open_grant = self._open_by_request.get(request)
        if open_grant is not None:
            return open_grant.route_request.epoch
        ended = self._ended.get(request)
        return -1 if ended is None else ended[0]

    def _answer_again(self, item: RouteRequest) -> None:
        open_grant = self._open_by_request.get(item.request)
        if open_grant is not None:
            grant = Grant(
                item.request,
                item.epoch,
                open_grant.route_request.host,
                open_grant.route,
            )
            self._decisions.append(grant)
            return
        ended = self._ended.get(item.request)
        if ended is not None and ended[1] is not None:
            self._decisions.append(ended[1])

    def _withdraw(self, request: str, now: float) -> None:
        self._queue.discard(request)
        self._no_route_since.pop(request, None)
        open_grant = self._open_by_request.get(request)
        if open_grant is not None:
            self._route_finder.record_inconclusive(open_grant.route, now)
            self._end_grant(open_grant)

    def _record_ended(self, request: str, epoch: int, refusal: Refusal | None) -> None:
        self._ended.pop(request, None)
        self._ended[request] = (epoch, refusal)
        while len(self._ended) > MAX_ENDED_EPOCHS:
            self._ended.popitem(last=False)

    def _refuse(
        self,
        item: RouteRequest,
        reason: RefusalReason,
        now: float,
        overrun_s: float = 0.0,
    ) -> None:
        retry_after_s = overrun_s
        if reason is RefusalReason.QUEUE_FULL:
            work_per_s = self._work_per_s(now) or MINIMUM_WORK_PER_S
            retry_after_s = self._queue.work_ahead(item) / work_per_s
        retry_after_s = max(retry_after_s, MINIMUM_RETRY_AFTER_S)
        retry_after_s = min(retry_after_s, MAXIMUM_RETRY_AFTER_S)
        refusal = Refusal(item.request, item.epoch, item.host, reason, retry_after_s)
        self._refused_by_reason[reason.value] += 1
        self._record_ended(item.request, item.epoch, refusal)
        self._decisions.append(refusal)

    # Engines and hosts.

    def observe(self, state: EngineState, now: float) -> None:
        """Apply a load report of an engine."""
        if self._route_finder.is_known(state):
            self._route_finder.observe(state, now)
            return
        self._route_finder.add(state, self._needs_on(state.name))

    def _needs_on(self, engine: str) -> list[Need]:
        needs: list[Need] = []
        for open_grant in self._open_by_request.values():
            needs += [open_grant.need for s in open_grant.route if s.engine == engine]
        return needs

    def update_prefixes(
        self, engine: str, stored: tuple[int, ...], evicted: tuple[int, ...]
    ) -> None:
        """Update the prompt prefixes that an engine has cached."""
        self._route_finder.update_prefixes(engine, stored, evicted)

    def mark_leaving(self, engine: str) -> None:
        """Give this incarnation of an engine no new work."""
        self._route_finder.mark_leaving(engine)

    def remove(self, engine: str) -> None:
        """Remove an engine; its open grants stay until :meth:`end_grant`."""
        self._route_finder.remove(engine)

    def cancel_host(self, host: str, now: float) -> None:
        """Cancel the requests and grants of a dead entry host."""
        waiting = [item for item in self._queue.items() if item.host == host]
        for item in waiting:
            self.cancel(item.request, item.epoch, now)
        running = [
            open_grant.route_request for open_grant in self._open_by_request.values()
        ]
        for item in running:
            if item.host == host:
                self.cancel(item.request, item.epoch, now)

    # Grants.

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Return the grants and refusals since the last call."""
        self._expire(now)
        self._route_finder.end_ejections(now)
        while self._grant_one(now):
            pass
        decisions = self._decisions
        self._decisions = []
        return decisions

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again if no event occurs before."""
        times = [self._deadlines.next(), self._expiries.next()]
        if self._no_route_since:
            oldest = next(iter(self._no_route_since.values()))
            times.append(oldest + NO_ROUTE_TIMEOUT_S)
        if len(self._queue):
            times.append(self._route_finder.next_change(now))
        return min((time for time in times if time is not None), default=None)

    def stats(self) -> PoolStats:
        """Return the counts for metrics."""
        return PoolStats(
            waiting=tuple(self._queue.count(priority) for priority in Priority),
            granted=tuple(self._granted),
            granted_work=tuple(self._granted_work),
            open_grants=len(self._open_by_request),
            engines=len(self._route_finder),
            refused_by_reason=dict(self._refused_by_reason),
            displaced=self._displaced,
            work_per_s=self._capacity.estimate,
        )

    def _expire(self, now: float) -> None:
        for request, _ in self._deadlines.due(now):
            item = self._queue.discard(request)
            if item is not None:
                self._no_route_since.pop(request, None)
                self._refuse(item, RefusalReason.DEADLINE, now)
        for request, epoch in self._expiries.due(now):
            self.cancel(request, epoch, now)
        for request, since in list(self._no_route_since.items()):
            if now < since + NO_ROUTE_TIMEOUT_S:
                break
            item = self._queue.get(request)
            if item is not None and self._route_finder.has_route(item, Need.of(item)):
                # A route is possible again. Only requests at the head of a queue
                # are tried, so the entries of others have not been removed yet.
                del self._no_route_since[request]
                continue
            self._withdraw(request, now)
            if item is not None:
                self._refuse(item, RefusalReason.NO_ROUTE, now)

    def _grant_one(self, now: float) -> bool:
        for heads in self._queue.heads_by_class(MAX_HEADS_TRIED):
            blocked = 0
            for item in heads:
                if self._try_to_grant(item, now):
                    return True
                blocked += not item.adapter and not item.avoid
                if blocked >= MAX_UNRESTRICTED_HEADS:
                    break
        return False

    def _try_to_grant(self, item: RouteRequest, now: float) -> bool:
        rank = self._rank(item)
        need = Need.of(item)
        if self._route_finder.is_blocked(item, need, rank):
            self._update_no_route(item, need, now)
            return False
        found = self._route_finder.find(item, need, rank, now)
        if found is None:
            self._update_no_route(item, need, now)
            return False
        route, delay_s = found
        if now + self._required_time_s(item, delay_s) > item.deadline:
            self._withdraw(item.request, now)
            self._refuse(item, RefusalReason.DEADLINE, now)
            return True
        self._update_delay(delay_s / item.work)
        self._grant(item, need, route, now)
        return True

    def _update_no_route(self, item: RouteRequest, need: Need, now: float) -> None:
        if self._route_finder.has_route(item, need):
            self._no_route_since.pop(item.request, None)
        else:
            self._no_route_since.setdefault(item.request, now)

    def _rank(self, item: RouteRequest) -> Priority:
        # A priority below its minimum share may also use the reserved slots.
        if self._queue.is_under_minimum(item.priority):
            return Priority.URGENT
        return item.priority

    def _grant(self, item: RouteRequest, need: Need, route: Route, now: float) -> None:
        self._queue.take(item.request)
        self._no_route_since.pop(item.request, None)
        self._route_finder.start(route, need, now)
        self._add_open_grant(_OpenGrant(item, need, route))
        self._decisions.append(Grant(item.request, item.epoch, item.host, route))
        self._granted[item.priority] += 1
        self._granted_work[item.priority] += item.work

    def _add_open_grant(self, open_grant: _OpenGrant) -> None:
        item = open_grant.route_request
        self._open_by_request[item.request] = open_grant
        self._expiries.add(item.deadline + GRANT_GRACE_S, item.request, item.epoch)

    def _end_grant(self, open_grant: _OpenGrant) -> None:
        del self._open_by_request[open_grant.route_request.request]
        self._route_finder.end(open_grant.route, open_grant.need)

    def _is_waiting(self, request: str, epoch: int) -> bool:
        item = self._queue.get(request)
        return item is not None and item.epoch == epoch

    def _is_open(self, request: str, epoch: int) -> bool:
        open_grant = self._open_by_request.get(request)
        return open_grant is not None and open_grant.route_request.epoch == epoch

    # Estimates.

    def _work_per_s(self, now: float) -> float:
        return self._capacity.work_per_s(self._route_finder.open_states, now)

    def _update_delay(self, delay_per_work: float) -> None:
        if not self._delay_per_work:
            self._delay_per_work = delay_per_work
            return
        change = delay_per_work - self._delay_per_work
        self._delay_per_work += DELAY_SMOOTHING * change

    def _required_time_s(self, item: RouteRequest, run_s: float) -> float:
        """Return the time that must be left before a request's deadline.

        Answers may be longer than expected. While others of its priority
        wait, a request with little time left is refused, so that fewer slots
        are used for answers that miss their deadline.
        """
        if self._queue.count(item.priority) <= 1:
            return run_s
        return run_s * self._limits.deadline_margin

    def _expected_wait_s(self, item: RouteRequest, now: float) -> float:
        ahead = self._queue.work_ahead(item)
        if not ahead or not len(self._route_finder):
            return 0.0
        work_per_s = self._work_per_s(now)
        if not work_per_s:
            return 0.0
        wait_s = ahead / work_per_s
        share = self._limits.minimum_shares[item.priority]
        if share > 0:
            own = self._queue.work(item.priority)
            wait_s = min(wait_s, own / (work_per_s * share))
        return wait_s
