"""Choice of a route over groups of engines, and the throughput bound of a fleet."""

import collections
import dataclasses
import typing as t

from .engine import EngineState
from .engine import Route
from .engine import Stage
from .loads import EngineGroup
from .loads import EngineLoad

DEFAULT_LINK_S = 0.0005
"""Seconds one way to a data centre that an engine reports no delay to."""

Pick = t.Callable[[EngineGroup], tuple[float, EngineLoad] | None]
"""Chooses an engine of a group; returns its expected delay in seconds and its load."""


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
    previous: "_Path | None"


def _best_predecessor(
    paths: t.Iterable[_Path], data_centre: str, tokens: float
) -> tuple[float, _Path | None]:
    best_cost = float("inf")
    best: _Path | None = None
    for path in paths:
        # Each output token crosses the link once, and so does the prompt.
        cost = path.cost + link_s(path.load.state, data_centre) * (tokens + 1)
        if cost < best_cost:
            best_cost = cost
            best = path
    return best_cost, best


def _route_of(path: _Path) -> Route:
    stages = []
    node: _Path | None = path
    while node is not None:
        state = node.load.state
        stages.append(Stage(state.name, state.address, state.first, state.last))
        node = node.previous
    return tuple(reversed(stages))


def shortest_route(
    groups: t.Iterable[EngineGroup], tokens: float, pick: Pick
) -> tuple[Route, float] | None:
    """Return the route of least expected delay and that delay, or ``None``.

    The layer ranges of a route cover every layer of the model exactly once.

    :param groups: engine groups of one model, in ascending order of their ranges.
    :param tokens: expected output tokens.
    """
    paths_by_boundary: dict[int, dict[str, _Path]] = {}
    best: _Path | None = None
    for group in groups:
        previous: _Path | None = None
        total = 0.0
        if group.first > 0:
            reached = paths_by_boundary.get(group.first)
            if reached is None:
                continue
            total, previous = _best_predecessor(
                reached.values(), group.data_centre, tokens
            )
        picked = pick(group)
        if picked is None:
            continue
        path = _Path(total + picked[0], picked[1], previous)
        if group.last >= group.layers:
            if best is None or path.cost < best.cost:
                best = path
            continue
        paths = paths_by_boundary.setdefault(group.last, {})
        current = paths.get(group.data_centre)
        if current is None or path.cost < current.cost:
            paths[group.data_centre] = path
    if best is None:
        return None
    return _route_of(best), best.cost


def engine_tokens_per_s(state: EngineState, kv_per_request: int = 0) -> float:
    """Return the tokens a second that an engine's slots and KV memory allow.

    A request holds its slot also while other stages process its token. The other
    stages are assumed to be as fast for each layer as this engine.

    :param kv_per_request: mean KV memory of a request, in tokens.
    """
    if state.step_s <= 0 or state.last <= state.first:
        return 0.0
    slots = max(1, state.slots)
    if kv_per_request > 0:
        slots = min(slots, state.kv_tokens // kv_per_request)
    return slots / (state.step_s * state.layers / (state.last - state.first))


def _push_flow(capacity: dict[int, dict[int, float]], sink: int) -> float:
    """Push flow along a shortest augmenting path from layer 0; return its amount."""
    parent_by_node: dict[int, int] = {0: 0}
    queue = collections.deque([0])
    while queue and sink not in parent_by_node:
        node = queue.popleft()
        for neighbour, residual in capacity[node].items():
            if residual > 1e-9 and neighbour not in parent_by_node:
                parent_by_node[neighbour] = node
                queue.append(neighbour)
    if sink not in parent_by_node:
        return 0.0
    flow = float("inf")
    node = sink
    while node != 0:
        flow = min(flow, capacity[parent_by_node[node]][node])
        node = parent_by_node[node]
    node = sink
    while node != 0:
        parent = parent_by_node[node]
        capacity[parent][node] -= flow
        capacity[node][parent] = capacity[node].get(parent, 0.0) + flow
        node = parent
    return flow


def fleet_bound(states: t.Iterable[EngineState], kv_per_request: int = 0) -> float:
    """Return the maximum flow through all layers, in tokens a second.

    :param kv_per_request: mean KV memory of a request, in tokens.
    """
    capacity: dict[int, dict[int, float]] = collections.defaultdict(dict)
    sink = 0
    for state in states:
        if state.leaving:
            continue
        sink = max(sink, state.layers)
        edges = capacity[state.first]
        current = edges.get(state.last, 0.0)
        edges[state.last] = current + engine_tokens_per_s(state, kv_per_request)
    if not sink:
        return 0.0
    total = 0.0
    while True:
        flow = _push_flow(capacity, sink)
        if flow <= 0:
            return total
        total += flow
