"""Choice of a route over engines that hold ranges of layers."""

import collections
import dataclasses
import typing as t

from .demand import Want
from .engine import EngineState
from .engine import Route
from .engine import Stage

WORK_PER_PROMPT_TOKEN = 1 / 8
DEFAULT_LINK_S = 0.0005
MINIMUM_PREFILL_TOKENS_PER_S = 1.0
STEP_GROWTH_AT_FULL = 0.5
"""Part by which a step takes longer on a full engine than on an empty one."""


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """An engine's last report and what its dispatcher has granted on it.

    ``granted``: grants that are open; ``granted_kv``: KV memory that they may
    fill, in tokens; ``foreign``: requests on the engine that are not of this
    dispatcher.
    """

    state: EngineState
    granted: int = 0
    granted_kv: int = 0
    foreign: int = 0
    is_leaving: bool = False
    prefixes: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def used(self) -> int:
        """Slots in use, as far as is known."""
        return self.granted + self.foreign

    @property
    def is_open(self) -> bool:
        """Whether new work may go to the engine."""
        return not (self.is_leaving or self.state.leaving)


StageCost = t.Callable[[EngineLoad, Want], float]
Admits = t.Callable[[EngineLoad, Want], bool]


def prompt_work(prompt_tokens: int) -> float:
    """Return the work of reading a prompt."""
    return prompt_tokens * WORK_PER_PROMPT_TOKEN


def expected_tokens(want: Want) -> float:
    """Return how many output tokens the work of a want stands for."""
    return max(1.0, want.work - prompt_work(want.prompt_tokens))


def kv_need(want: Want) -> int:
    """Return the KV memory that a want is expected to fill, in tokens."""
    return want.prompt_tokens + int(expected_tokens(want))


def cached_share(load: EngineLoad, want: Want) -> float:
    """Return the part of the prompt whose prefix the engine holds."""
    if not want.prefixes:
        return 0.0
    matched = 0
    for prefix in want.prefixes:
        if prefix not in load.prefixes:
            break
        matched += 1
    return matched / len(want.prefixes)


def step_at(load: EngineLoad, used: int) -> float:
    """Estimate the seconds of a step with ``used`` requests on the engine."""
    state = load.state
    slots = max(1, state.slots)
    reported = 1 + STEP_GROWTH_AT_FULL * min(1.0, state.running / slots)
    asked = 1 + STEP_GROWTH_AT_FULL * min(1.0, used / slots)
    return state.step_s * asked / reported


def prefill_s(load: EngineLoad, want: Want) -> float:
    """Estimate the seconds to read the part of the prompt that isn't cached."""
    speed = max(load.state.prefill_tokens_per_s, MINIMUM_PREFILL_TOKENS_PER_S)
    return want.prompt_tokens * (1 - cached_share(load, want)) / speed


def expected_delay(load: EngineLoad, want: Want) -> float:
    """Estimate the seconds that a stage adds to the whole answer."""
    step_s = step_at(load, load.used + 1)
    return prefill_s(load, want) + expected_tokens(want) * step_s


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
    paths: dict[str, _Path], load: EngineLoad, tokens: float
) -> tuple[float, _Path | None]:
    best_cost = float("inf")
    best: _Path | None = None
    for path in paths.values():
        link = link_s(path.load.state, load.state.data_centre)
        cost = path.cost + link * (tokens + 1)
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
    loads: t.Iterable[EngineLoad],
    want: Want,
    admits: Admits,
    cost: StageCost = expected_delay,
) -> tuple[Route, float] | None:
    """Find the route of least expected delay, or ``None``.

    :param loads: engines of one model, in ascending order of their ranges.
    :param admits: whether an engine may take the want.
    """
    tokens = expected_tokens(want)
    paths_by_boundary: dict[int, dict[str, _Path]] = {}
    best: _Path | None = None
    for load in loads:
        state = load.state
        before: _Path | None = None
        total = 0.0
        if state.first > 0:
            reached = paths_by_boundary.get(state.first)
            if reached is None:
                continue
            total, before = _best_before(reached, load, tokens)
        if not admits(load, want):
            continue
        path = _Path(total + cost(load, want), load, before)
        if state.last >= state.layers:
            if best is None or path.cost < best.cost:
                best = path
            continue
        paths = paths_by_boundary.setdefault(state.last, {})
        known = paths.get(state.data_centre)
        if known is None or path.cost < known.cost:
            paths[state.data_centre] = path
    if best is None:
        return None
    return _route_of(best), best.cost


def engine_tokens_per_s(state: EngineState) -> float:
    """Return the tokens a second that an engine's slots and KV memory allow."""
    if state.step_s <= 0:
        return 0.0
    return max(1, state.slots) / state.step_s


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


def fleet_bound(states: t.Iterable[EngineState]) -> float:
    """Return the maximum flow of tokens a second through the layer ranges."""
    capacity: dict[int, dict[int, float]] = collections.defaultdict(dict)
    sink = 0
    for state in states:
        if state.leaving:
            continue
        sink = max(sink, state.layers)
        edges = capacity[state.first]
        known = edges.get(state.last, 0.0)
        edges[state.last] = known + engine_tokens_per_s(state)
    if not sink:
        return 0.0
    total = 0.0
    while True:
        flow = _augment(capacity, sink)
        if flow <= 0:
            return total
        total += flow
