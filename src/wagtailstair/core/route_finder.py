"""The engines of a pool: what may run where, and what has no room now."""

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

USUAL_INTERVAL_S = 1.0
"""Time for which the usual step of a kind of engine is kept."""


def _may_run(load: EngineLoad, want: RouteRequest, need: Need) -> bool:
    state = load.state
    if load.is_leaving or state.leaving or state.name in want.avoid:
        return False
    if state.kv_tokens < need.kv:
        return False
    return not want.adapter or want.adapter in state.adapters


def _cheapest(
    want: RouteRequest, need: Need, rank: Priority, cost: StageCost, now: float
) -> Pick:
    def pick(group: EngineGroup) -> tuple[float, EngineLoad] | None:
        best_cost = math.inf
        best: EngineLoad | None = None
        for load in group.free:
            if load.used >= load.use_limits[rank] or load.is_ejected:
                continue
            if load.granted_kv + need.kv > load.state.kv_tokens:
                continue
            if not _may_run(load, want, need):
                continue
            delay = cost(load, need, now)
            if delay < best_cost:
                best_cost = delay
                best = load
        return None if best is None else (best_cost, best)

    return pick


class RouteFinder:
    """Finds routes over the engines that are open, healthy and have room.

    What found no room is remembered until something changes, so that a full
    pool is not searched again at each event.
    """

    __slots__ = (
        "_blocked_need",
        "_cost",
        "_ejection",
        "_ejections_change",
        "_loads",
        "_routable_need",
        "_usual_by_kind",
        "_usual_until",
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
        # The least KV memory that found no room, by rank and adapter.
        self._blocked_need: dict[tuple[Priority, str], int] = {}
        # The most for which there are engines, busy or not, by adapter.
        self._routable_need: dict[str, int] = {}
        self._usual_by_kind: dict[tuple[int, int, str], float] = {}
        self._usual_until = 0.0

    def __len__(self) -> int:
        return len(self._loads.by_name)

    # Engines.

    def is_known(self, state: EngineState) -> bool:
        """Tell whether a report is of an incarnation that is known."""
        load = self._loads.by_name.get(state.name)
        return load is not None and load.state.incarnation == state.incarnation

    def observe(self, state: EngineState, now: float) -> None:
        """Take in a report of a known incarnation."""
        if self._loads.observe(state):
            self._changed()
        load = self._loads.by_name[state.name]
        was_ejected = load.is_ejected
        ratio = state.step_s / self._usual_step_s(load, now)
        self._ejection.record_slowness(state.name, ratio, len(self), now)
        self._mark_ejected(state.name, now)
        if was_ejected and not load.is_ejected:
            self._blocked_need.clear()

    def _usual_step_s(self, load: EngineLoad, now: float) -> float:
        """Return the median step of an engine's kind on the same layers."""
        if now >= self._usual_until:
            self._usual_by_kind.clear()
            self._usual_until = now + USUAL_INTERVAL_S
        kind = (load.state.first, load.state.last, load.state.accelerator)
        usual = self._usual_by_kind.get(kind)
        if usual is None and load.group is not None:
            steps = [
                other.state.step_s
                for other in load.group.loads
                if other.state.accelerator == load.state.accelerator
            ]
            usual = statistics.median_low(steps)
            self._usual_by_kind[kind] = usual
        return usual or load.state.step_s or 1.0

    def add(self, state: EngineState, open_needs: t.Iterable[Need]) -> None:
        """Add an engine, or a new incarnation of it, with its open grants."""
        self._loads.add(state, open_needs)
        self._ejection.forget(state.name)
        self._changed()

    def cached(
        self, engine: str, stored: t.Iterable[int], evicted: t.Iterable[int]
    ) -> None:
        """Take in which prompt prefixes an engine holds and dropped."""
        load = self._loads.by_name.get(engine)
        if load is None:
            return
        for prefix in evicted:
            load.prefixes.pop(prefix, None)
        load.store(stored)

    def leaving(self, engine: str) -> None:
        """Give an engine no new work for as long as its incarnation lives."""
        load = self._loads.by_name.get(engine)
        if load is not None:
            load.is_leaving = True
            self._changed()

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone."""
        if self._loads.remove(engine):
            self._ejection.forget(engine)
            self._changed()

    def open_states(self) -> list[EngineState]:
        """Return the reports of the engines that may get new work."""
        loads = self._loads.by_name.values()
        return [load.state for load in loads if not load.is_leaving]

    def _changed(self) -> None:
        self._blocked_need.clear()
        self._routable_need.clear()

    # Grants.

    def start(self, route: Route, need: Need, now: float) -> None:
        """Count a grant."""
        self._loads.start(route, need, now)
        self._started(route, now)

    def adopt(self, route: Route, need: Need, now: float) -> None:
        """Count a grant that another dispatcher gave."""
        self._loads.adopt(route, need, now)
        self._started(route, now)

    def _started(self, route: Route, now: float) -> None:
        for stage in route:
            self._ejection.record_start(stage.engine)
            self._mark_ejected(stage.engine, now)

    def end(self, route: Route, need: Need) -> None:
        """Count the end of a grant."""
        self._loads.end(route, need)
        self._blocked_need.clear()

    def judge(self, route: Route, failed: frozenset[str], now: float) -> None:
        """Learn from the end of a grant which engines failed.

        The others on a broken route have shown neither health nor failure.
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
            self._mark_ejected(name, now)

    def abandon(self, route: Route, now: float) -> None:
        """Learn that a grant ended without telling anything of its engines."""
        for stage in route:
            self._ejection.record_inconclusive(stage.engine)
            self._mark_ejected(stage.engine, now)

    def end_ejections(self, now: float) -> None:
        """Let engines back whose time is over."""
        if now < self._ejections_change:
            return
        self._blocked_need.clear()
        for name in self._loads.by_name:
            self._mark_ejected(name, now)
        self._ejections_change = self._ejection.next_change(now) or math.inf

    def next_change(self, now: float) -> float | None:
        """Return when the next ejection ends."""
        return self._ejection.next_change(now)

    def _mark_ejected(self, engine: str, now: float) -> None:
        load = self._loads.by_name.get(engine)
        if load is not None:
            load.is_ejected = self._ejection.is_ejected(engine, now)

    # Routes.

    def is_blocked(self, want: RouteRequest, need: Need, rank: Priority) -> bool:
        """Tell whether it is known that there is no room for a want."""
        return need.kv >= self._blocked_need.get((rank, want.adapter), math.inf)

    def find(
        self, want: RouteRequest, need: Need, rank: Priority, now: float
    ) -> tuple[Route, float] | None:
        """Find the best route with room, and its expected delay in seconds.

        :param rank: the priority by which slots are set aside.
        """
        pick = _cheapest(want, need, rank, self._cost, now)
        found = shortest_route(self._loads.groups, need.tokens, pick)
        if found is None and not want.avoid:
            # Nothing that needs as much memory, and may not fill more slots,
            # fits until something changes.
            for other in Priority:
                if other < rank:
                    continue
                key = (other, want.adapter)
                least = self._blocked_need.get(key, need.kv)
                self._blocked_need[key] = min(least, need.kv)
        return found

    def has_route(self, want: RouteRequest, need: Need) -> bool:
        """Tell whether engines, busy or not, could run a want."""
        if not want.avoid and need.kv <= self._routable_need.get(want.adapter, -1):
            return True

        def pick(group: EngineGroup) -> tuple[float, EngineLoad] | None:
            for load in group.loads:
                if _may_run(load, want, need):
                    return 0.0, load
            return None

        if shortest_route(self._loads.groups, need.tokens, pick) is None:
            return False
        if not want.avoid:
            self._routable_need[want.adapter] = need.kv
        return True
