"""The load of a dispatcher's engines, from their reports and its own grants."""

import collections
import dataclasses
import typing as t

from .engine import EngineState
from .engine import Priority
from .engine import Route
from .grants import RouteRequest

WORK_PER_PROMPT_TOKEN = 1 / 8
"""Work of a prompt token; an output token is 1."""

MINIMUM_PREFILL_TOKENS_PER_S = 1.0
PREFIXES_PER_ENGINE = 4_096
"""Most prefix hashes that are remembered for an engine."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of an engine's slots that may be reserved for urgent requests."""

FIT_DECAY = 0.95
"""Weight of earlier reports in the fit of step times, applied at each report."""


def prompt_work(prompt_tokens: int) -> float:
    """Return the work of reading a prompt."""
    return prompt_tokens * WORK_PER_PROMPT_TOKEN


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """What a request needs from an engine.

    ``tokens``: expected output tokens; ``kv``: KV memory in tokens; ``prefixes``:
    hashes of the prompt's prefix blocks, shortest first.
    """

    prompt_tokens: int
    tokens: float
    kv: int
    prefixes: tuple[int, ...]

    @classmethod
    def of(cls, request: RouteRequest) -> "Need":
        """Return the need of a request that waits for a route."""
        tokens = max(1.0, request.work - prompt_work(request.prompt_tokens))
        kv = request.prompt_tokens + request.max_tokens
        return cls(request.prompt_tokens, tokens, kv, request.prefixes)


class StepFit:
    """Linear fit of reported step times against the number of running requests."""

    __slots__ = ("_covariance", "_mean_running", "_mean_step_s", "_variance")

    def __init__(self) -> None:
        self._mean_running = 0.0
        self._mean_step_s = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    def add(self, running: int, step_s: float) -> None:
        """Add a report to the fit."""
        if not self._mean_step_s:
            self._mean_running = running
            self._mean_step_s = step_s
            return
        running_deviation = running - self._mean_running
        step_s_deviation = step_s - self._mean_step_s
        weight = 1 - FIT_DECAY
        self._mean_running += weight * running_deviation
        self._mean_step_s += weight * step_s_deviation
        self._variance += weight * (
            running_deviation * running_deviation - self._variance
        )
        self._covariance += weight * (
            running_deviation * step_s_deviation - self._covariance
        )

    def slope_s(self) -> float:
        """Return the seconds that one more request adds to a step."""
        if self._variance < 0.25:
            return 0.0
        return max(0.0, self._covariance / self._variance)


@dataclasses.dataclass(slots=True, eq=False)
class EngineLoad:
    """An engine's last report and the grants of its dispatcher on it.

    ``granted``: open grants; ``granted_kv``: KV memory reserved for them, in
    tokens; ``other_requests``: requests that this dispatcher did not grant; ``used``:
    the sum of both; ``use_limits``: for each priority, the number of used slots up to
    which it gets grants; ``prefill_until``: when the prompts granted so far will
    have been read; ``next_step_s``: expected seconds of a step with one more
    request; ``read_s``: seconds to read one prompt token.
    """

    state: EngineState
    granted: int = 0
    granted_kv: int = 0
    other_requests: int = 0
    used: int = 0
    is_leaving: bool = False
    is_ejected: bool = False
    use_limits: list[int] = dataclasses.field(default_factory=list)
    prefill_until: float = 0.0
    next_step_s: float = 0.0
    read_s: float = 0.0
    group: "EngineGroup | None" = None
    fit: StepFit = dataclasses.field(default_factory=StepFit)
    prefixes: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def update_report(self, state: EngineState) -> None:
        """Update the load from a report."""
        self.state = state
        self.read_s = 1 / max(state.prefill_tokens_per_s, MINIMUM_PREFILL_TOKENS_PER_S)
        self.fit.add(state.running, state.step_s)
        self.refresh()

    def refresh(self) -> None:
        """Recompute the values that depend on the number of requests."""
        self.used = self.granted + self.other_requests
        added_requests = self.used + 1 - max(1, self.state.running)
        step_s = self.state.step_s + added_requests * self.fit.slope_s()
        self.next_step_s = max(0.0, step_s)
        if self.group is None:
            return
        if self.used < self.state.slots:
            self.group.free[self] = None
        else:
            self.group.free.pop(self, None)

    def unread_share(self, prefixes: tuple[int, ...]) -> float:
        """Return the share of a prompt that the engine has no cached prefix for."""
        if not prefixes or not self.prefixes:
            return 1.0
        matched = 0
        for prefix in prefixes:
            if prefix not in self.prefixes:
                break
            matched += 1
        return 1 - matched / len(prefixes)

    def start(self, need: Need, now: float) -> None:
        """Add a grant."""
        read_s = need.prompt_tokens * self.unread_share(need.prefixes) * self.read_s
        self.prefill_until = max(now, self.prefill_until) + read_s
        self.granted += 1
        self.granted_kv += need.kv
        self.store(need.prefixes)
        self.refresh()

    def end(self, need: Need) -> None:
        """Remove a grant that ended."""
        self.granted = max(0, self.granted - 1)
        self.granted_kv = max(0, self.granted_kv - need.kv)
        self.refresh()

    def store(self, prefixes: t.Iterable[int]) -> None:
        """Record prefixes that the engine has cached; drop the least recent ones."""
        for prefix in prefixes:
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > PREFIXES_PER_ENGINE:
            self.prefixes.popitem(last=False)


StageCost = t.Callable[[EngineLoad, Need, float], float]


def expected_delay(load: EngineLoad, need: Need, now: float) -> float:
    """Estimate the seconds that a stage adds to the whole answer.

    The engine first reads the prompts granted earlier, then this one, then runs
    one step for each output token, all at the speeds that it reports.
    """
    unread = need.prompt_tokens
    seconds = need.tokens * load.next_step_s
    if need.prefixes:
        seconds += unread * load.unread_share(need.prefixes) * load.read_s
    else:
        seconds += unread * load.read_s
    if load.prefill_until > now:
        seconds += load.prefill_until - now
    return seconds


@dataclasses.dataclass(slots=True, eq=False)
class EngineGroup:
    """The engines of one data centre that hold the same range of layers.

    ``free``: the engines with a free slot, in a dict that serves as ordered set.
    """

    first: int
    last: int
    layers: int
    data_centre: str
    loads: list[EngineLoad] = dataclasses.field(default_factory=list)
    free: dict[EngineLoad, None] = dataclasses.field(default_factory=dict)


GroupKey = tuple[int, int, int, str]


def _group_key(state: EngineState) -> GroupKey:
    return (state.first, state.last, state.layers, state.data_centre)


def set_use_limits(group: EngineGroup, reserves: tuple[float, float, float]) -> None:
    """Reserve slots of a group for more urgent requests, on its fastest engines.

    :param reserves: for each priority, the share of the group's slots that it
        may not use.
    """
    fastest = sorted(group.loads, key=lambda load: (load.state.step_s, load.state.name))
    slots = sum(load.state.slots for load in fastest)
    for load in fastest:
        load.use_limits = [load.state.slots] * len(Priority)
    for priority in Priority:
        to_reserve = int(slots * reserves[priority])
        for load in fastest:
            reserved = min(to_reserve, int(load.state.slots * MAX_RESERVED_SHARE))
            load.use_limits[priority] -= reserved
            to_reserve -= reserved


class LoadTable:
    """The engines of a pool by name and by group."""

    __slots__ = ("_reserves", "by_name", "groups")

    def __init__(self, reserves: tuple[float, float, float]) -> None:
        self._reserves = reserves
        self.by_name: dict[str, EngineLoad] = {}
        self.groups: list[EngineGroup] = []

    def _rebuild_groups(self) -> None:
        group_by_key: dict[GroupKey, EngineGroup] = {}
        for load in self.by_name.values():
            key = _group_key(load.state)
            group = group_by_key.get(key)
            if group is None:
                group = group_by_key[key] = EngineGroup(*key)
            group.loads.append(load)
            load.group = group
            load.refresh()
        self.groups = [group_by_key[key] for key in sorted(group_by_key)]
        for group in self.groups:
            set_use_limits(group, self._reserves)

    def observe(self, state: EngineState) -> bool:
        """Update an engine of the same incarnation; return if more may fit now."""
        load = self.by_name[state.name]
        if state.as_of < load.state.as_of:
            return False
        before, other_requests = load.state, load.other_requests
        other_requests_now = max(0, state.running + state.waiting - load.granted)
        load.other_requests = min(other_requests, other_requests_now)
        load.update_report(state)
        if _group_key(before) != _group_key(state) or before.slots != state.slots:
            self._rebuild_groups()
            return True
        if (before.leaving, before.adapters) != (state.leaving, state.adapters):
            return True
        return (
            load.other_requests != other_requests or before.kv_tokens != state.kv_tokens
        )

    def add(self, state: EngineState, open_needs: t.Iterable[Need]) -> None:
        """Add an engine or a new incarnation of it, with its open grants."""
        load = EngineLoad(state)
        for need in open_needs:
            load.granted += 1
            load.granted_kv += need.kv
        load.other_requests = max(0, state.running + state.waiting - load.granted)
        load.update_report(state)
        self.by_name[state.name] = load
        self._rebuild_groups()

    def remove(self, name: str) -> bool:
        """Remove an engine; return whether it was in the table."""
        if self.by_name.pop(name, None) is None:
            return False
        self._rebuild_groups()
        return True

    def start(self, route: Route, need: Need, now: float) -> None:
        """Add a grant to the engine of each stage."""
        for stage in route:
            load = self.by_name.get(stage.engine)
            if load is not None:
                load.start(need, now)

    def count_adopted(self, route: Route, need: Need, now: float) -> None:
        """Add a grant whose request was counted in ``other_requests`` until now."""
        for stage in route:
            load = self.by_name.get(stage.engine)
            if load is not None:
                load.other_requests = max(0, load.other_requests - 1)
        self.start(route, need, now)

    def end(self, route: Route, need: Need) -> None:
        """Remove a grant that ended from the engine of each stage."""
        for stage in route:
            load = self.by_name.get(stage.engine)
            if load is not None:
                load.end(need)
