"""Choice of a route over lanes of engines, and the bound of a fleet."""

import collections
import dataclasses
import typing as t

from .engine import EngineState
from .engine import Route
from .engine import Stage
from .loads import EngineGroup
from .loads import EngineLoad

DEFAULT_LINK_S = 0.0005

Pick = t.Callable[[EngineGroup], tuple[float, EngineLoad] | None]
"""Chooses an engine of a lane; returns its expected delay in seconds too."""


def link_s(source: EngineState, target_data_centre: str) -> float:
    """Return the seconds one way from an engine to a data centre."""
    for data_centre, seconds in source.links_s:
        if data_centre == target_data_centre:
            return seconds
    return DEFAULT_LINK_S


@dataclasses.dataclass(slots=True)
class _Path:
    cost: float
    load: EngineLoad
    before: "_Path | None"


def _best_before(
    paths: t.Iterable[_Path], data_centre: str, tokens: float
) -> tuple[float, _Path | None]:
    best_cost = float("inf")
    best: _Path | None = None
    for path in paths:
        # Each token crosses the link, and so does the prompt.
        cost = path.cost + link_s(path.load.state, data_centre) * (tokens + 1)
        if cost < best_cost:
            best_cost = cost
            best = path
    return best_cost, best


def _route_of(path: _Path) -> Route:
    stages = []
    step: _Path | None = path
    while step is not None:
        state = step.load.state
        stages.append(Stage(state.name, state.address, state.first, state.last))
        step = step.before
    return tuple(reversed(stages))


def shortest_route(
    groups: t.Iterable[EngineGroup], tokens: float, pick: Pick
) -> tuple[Route, float] | None:
    """Find the route of least expected delay, or ``None``.

    Its layer ranges cover the model once.

    :param groups: lanes of one model, in ascending order of their ranges.
    :param tokens: output tokens that are expected.
    """
    paths_by_boundary: dict[int, dict[str, _Path]] = {}
    best: _Path | None = None
    for group in groups:
        before: _Path | None = None
        total = 0.0
        if group.first > 0:
            reached = paths_by_boundary.get(group.first)
            if reached is None:
                continue
            total, before = _best_before(reached.values(), group.data_centre, tokens)
        picked = pick(group)
        if picked is None:
            continue
        path = _Path(total + picked[0], picked[1], before)
        if group.last >= group.layers:
            if best is None or path.cost < best.cost:
                best = path
            continue
        paths = paths_by_boundary.setdefault(group.last, {})
        known = paths.get(group.data_centre)
        if known is None or path.cost < known.cost:
            paths[group.data_centre] = path
    if best is None:
        return None
    return _route_of(best), best.cost


def engine_tokens_per_s(state: EngineState, kv_per_request: int = 0) -> float:
    """Return the tokens a second that an engine's slots and KV memory carry.

    A request holds its slot also while its token is at the other stages; they
    are taken to need as long for a layer as this engine does.

    :param kv_per_request: KV memory of a mean request, in tokens.
    """
    if state.step_s <= 0 or state.last <= state.first:
        return 0.0
    slots = max(1, state.slots)
    if kv_per_request > 0:
        slots = min(slots, state.kv_tokens // kv_per_request)
    return slots / (state.step_s * state.layers / (state.last - state.first))


def _augment(capacity: dict[int, dict[int, float]], sink: int) -> float:
    before: dict[int, int] = {0: 0}
    queue = collections.deque([0])
    while queue and sink not in before:
        node = queue.popleft()
        for other, left in capacity[node].items():
            if left > 1e-9 and other not in before:
                before[other] = node
                queue.append(other)
    if sink not in before:
        return 0.0
    flow = float("inf")
    node = sink
    while node != 0:
        flow = min(flow, capacity[before[node]][node])
        node = before[node]
    node = sink
    while node != 0:
        parent = before[node]
        capacity[parent][node] -= flow
        capacity[node][parent] = capacity[node].get(parent, 0.0) + flow
        node = parent
    return flow


def fleet_bound(states: t.Iterable[EngineState], kv_per_request: int = 0) -> float:
    """Return the maximum flow of tokens a second through the layer ranges.

    :param kv_per_request: KV memory of a mean request, in tokens.
    """
    capacity: dict[int, dict[int, float]] = collections.defaultdict(dict)
    sink = 0
    for state in states:
        if state.leaving:
            continue
        sink = max(sink, state.layers)
        edges = capacity[state.first]
        known = edges.get(state.last, 0.0)
        edges[state.last] = known + engine_tokens_per_s(state, kv_per_request)
    if not sink:
        return 0.0
    total = 0.0
    while True:
        flow = _augment(capacity, sink)
        if flow <= 0:
            return total
        total += flow
