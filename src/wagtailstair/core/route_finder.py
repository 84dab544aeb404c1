"""Search of routes over the engines of a pool that have room."""

import math
import statistics
import typing as t

from .ejection import Ejection
from .ejection import EjectionLimits
from .engine import EngineState
from .engine import Priority
from .engine import Route
from .grants import RouteRequest
from .loads import EngineGroup
from .loads import EngineLoad
from .loads import LoadTable
from .loads import Need
from .loads import StageCost
from .routing import Pick
from .routing import shortest_route

MEDIAN_INTERVAL_S = 1.0
"""Time for which the median step time of a kind of engine is cached."""


def _may_run(load: EngineLoad, item: RouteRequest, need: Need) -> bool:
    state = load.state
    if load.is_leaving or state.leaving or state.name in item.avoid:
        return False
    if state.kv_tokens < need.kv:
        return False
    return not item.adapter or item.adapter in state.adapters


def _cheapest(
    item: RouteRequest, need: Need, rank: Priority, cost: StageCost, now: float
) -> Pick:
    def pick(group: EngineGroup) -> tuple[float, EngineLoad] | None:
        best_cost = math.inf
        best: EngineLoad | None = None
        for load in group.free:
            if load.used >= load.use_limits[rank] or load.is_ejected:
                continue
            if load.granted_kv + need.kv > load.state.kv_tokens:
                continue
            if not _may_run(load, item, need):
                continue
            delay = cost(load, need, now)
            if delay < best_cost:
                best_cost = delay
                best = load
        return None if best is None else (best_cost, best)

    return pick


class RouteFinder:
    """Finds routes over the healthy engines that take new work and have room.

    A search that found no room is remembered until an engine's state or load
    changes, so that a full pool is not searched again at each event.
    """

    __slots__ = (
        "_blocked_need",
        "_cost",
        "_ejection",
        "_ejections_change",
        "_loads",
        "_median_step_by_kind",
        "_medians_expire_at",
        "_routable_need",
    )

    def __init__(
        self,
        reserves: tuple[float, float, float],
        ejection: EjectionLimits,
        cost: StageCost,
    ) -> None:
        self._loads = LoadTable(reserves)
        self._ejection = Ejection(ejection)
        self._ejections_change = math.inf
        self._cost = cost
        # Least KV memory for which there was no room, by rank and adapter.
        self._blocked_need: dict[tuple[Priority, str], int] = {}
        # Most KV memory for which there is a route, busy or not, by adapter.
        self._routable_need: dict[str, int] = {}
        self._median_step_by_kind: dict[tuple[int, int, str], float] = {}
        self._medians_expire_at = 0.0

    def __len__(self) -> int:
        return len(self._loads.by_name)

    # Engines.

    def is_known(self, state: EngineState) -> bool:
        """Return whether a report is of a known incarnation of an engine."""
        load = self._loads.by_name.get(state.name)
        return load is not None and load.state.incarnation == state.incarnation

    def observe(self, state: EngineState, now: float) -> None:
        """Apply a report of a known incarnation."""
        if self._loads.observe(state):
            self._clear_searches()
        load = self._loads.by_name[state.name]
        was_ejected = load.is_ejected
        ratio = state.step_s / self._median_step_s(load, now)
        self._ejection.record_slowness(state.name, ratio, len(self), now)
        self._update_ejected(state.name, now)
        if was_ejected and not load.is_ejected:
            self._blocked_need.clear()

    def _median_step_s(self, load: EngineLoad, now: float) -> float:
        """Return the median step time of engines of this kind on the same layers."""
        if now >= self._medians_expire_at:
            self._median_step_by_kind.clear()
            self._medians_expire_at = now + MEDIAN_INTERVAL_S
        kind = (load.state.first, load.state.last, load.state.accelerator)
        median_s = self._median_step_by_kind.get(kind)
        if median_s is None and load.group is not None:
            steps = [
                other.state.step_s
                for other in load.group.loads
                if other.state.accelerator == load.state.accelerator
            ]
            median_s = statistics.median_low(steps)
            self._median_step_by_kind[kind] = median_s
        return median_s or load.state.step_s or 1.0

    def add(self, state: EngineState, open_needs: t.Iterable[Need]) -> None:
        """Add an engine or a new incarnation of it, with its open grants."""
        self._loads.add(state, open_needs)
        self._ejection.drop(state.name)
        self._clear_searches()

    def update_prefixes(
        self, engine: str, stored: t.Iterable[int], evicted: t.Iterable[int]
    ) -> None:
        """Update the prompt prefixes that an engine has cached."""
        load = self._loads.by_name.get(engine)
        if load is None:
            return
        for prefix in evicted:
            load.prefixes.pop(prefix, None)
        load.store(stored)

    def mark_leaving(self, engine: str) -> None:
        """Give this incarnation of an engine no new work."""
        load = self._loads.by_name.get(engine)
        if load is not None:
            load.is_leaving = True
            self._clear_searches()

    def remove(self, engine: str) -> None:
        """Remove an engine."""
        if self._loads.remove(engine):
            self._ejection.drop(engine)
            self._clear_searches()

    def open_states(self) -> list[EngineState]:
        """Return the states of the engines that take new work."""
        loads = self._loads.by_name.values()
        return [load.state for load in loads if not load.is_leaving]

    def _clear_searches(self) -> None:
        self._blocked_need.clear()
        self._routable_need.clear()

    # Grants.

    def start(self, route: Route, need: Need, now: float) -> None:
        """Count a grant."""
        self._loads.start(route, need, now)
        self._record_started(route, now)

    def count_adopted(self, route: Route, need: Need, now: float) -> None:
        """Count a grant of another dispatcher."""
        self._loads.count_adopted(route, need, now)
        self._record_started(route, now)

    def _record_started(self, route: Route, now: float) -> None:
        for stage in route:
            self._ejection.record_start(stage.engine)
            self._update_ejected(stage.engine, now)

    def end(self, route: Route, need: Need) -> None:
        """Count the end of a grant."""
        self._loads.end(route, need)
        self._blocked_need.clear()

    def record_outcome(self, route: Route, failed: frozenset[str], now: float) -> None:
        """Record which engines of an ended grant failed.

        The others on a broken route count as neither succeeded nor failed.
        """
        for stage in route:
            name = stage.engine
            if name in failed:
                self._ejection.record_failure(name, len(self._loads.by_name), now)
                self._ejections_change = now
            elif failed:
                self._ejection.record_inconclusive(name)
            else:
                self._ejection.record_success(name, now)
            self._update_ejected(name, now)

    def record_inconclusive(self, route: Route, now: float) -> None:
        """Record the end of a grant that says nothing of its engines' health."""
        for stage in route:
            self._ejection.record_inconclusive(stage.engine)
            self._update_ejected(stage.engine, now)

    def end_ejections(self, now: float) -> None:
        """Use engines again whose ejection has ended."""
        if now < self._ejections_change:
            return
        self._blocked_need.clear()
        for name in self._loads.by_name:
            self._update_ejected(name, now)
        self._ejections_change = self._ejection.next_change(now) or math.inf

    def next_change(self, now: float) -> float | None:
        """Return when the next ejection ends."""
        return self._ejection.next_change(now)

    def _update_ejected(self, engine: str, now: float) -> None:
        load = self._loads.by_name.get(engine)
        if load is not None:
            load.is_ejected = self._ejection.is_ejected(engine, now)

    # Routes.

    def is_blocked(self, item: RouteRequest, need: Need, rank: Priority) -> bool:
        """Return whether an earlier search found no room for such a request."""
        return need.kv >= self._blocked_need.get((rank, item.adapter), math.inf)

    def find(
        self, item: RouteRequest, need: Need, rank: Priority, now: float
    ) -> tuple[Route, float] | None:
        """Find the best route with room, and its expected delay in seconds.

        :param rank: the priority that decides which reserved slots may be used.
        """
        pick = _cheapest(item, need, rank, self._cost, now)
        found = shortest_route(self._loads.groups, need.tokens, pick)
        if found is None and not item.avoid:
            # No request of the same or a lower rank that needs at least as much
            # memory fits until something changes.
            for other in Priority:
                if other < rank:
                    continue
                key = (other, item.adapter)
                least = self._blocked_need.get(key, need.kv)
                self._blocked_need[key] = min(least, need.kv)
        return found

    def has_route(self, item: RouteRequest, need: Need) -> bool:
        """Return whether engines, busy or not, could run a request."""
        if not item.avoid and need.kv <= self._routable_need.get(item.adapter, -1):
            return True

        def pick(group: EngineGroup) -> tuple[float, EngineLoad] | None:
            for load in group.loads:
                if _may_run(load, item, need):
                    return 0.0, load
            return None

        if shortest_route(self._loads.groups, need.tokens, pick) is None:
            return False
        if not item.avoid:
            self._routable_need[item.adapter] = need.kv
        return True
