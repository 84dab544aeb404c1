"""What a dispatcher knows of the load of its engines."""

import collections
import dataclasses
import typing as t

from .engine import EngineState
from .engine import Priority
from .engine import Route
from .grants import RouteRequest

WORK_PER_PROMPT_TOKEN = 1 / 8
MINIMUM_PREFILL_TOKENS_PER_S = 1.0
PREFIXES_PER_ENGINE = 4_096
RESERVE_DEPTH = 0.5
"""Part of an engine's slots that may be set aside for more urgent work."""
FIT_MEMORY = 0.95
"""Weight of the past in the fit of step times, at each report."""


def prompt_work(prompt_tokens: int) -> float:
    """Return the work of reading a prompt."""
    return prompt_tokens * WORK_PER_PROMPT_TOKEN


@dataclasses.dataclass(slots=True, frozen=True)
class Need:
    """What a want needs of an engine.

    ``tokens``: output tokens expected; ``kv``: KV memory in tokens.
    """

    prompt_tokens: int
    tokens: float
    kv: int
    prefixes: tuple[int, ...]

    @classmethod
    def of(cls, want: RouteRequest) -> "Need":
        """Return the need of a want."""
        tokens = max(1.0, want.work - prompt_work(want.prompt_tokens))
        kv = want.prompt_tokens + want.max_tokens
        return cls(want.prompt_tokens, tokens, kv, want.prefixes)


class StepFit:
    """A line through reported step times over the requests that ran."""

    __slots__ = ("_covariance", "_mean_running", "_mean_step_s", "_variance")

    def __init__(self) -> None:
        self._mean_running = 0.0
        self._mean_step_s = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    def add(self, running: int, step_s: float) -> None:
        """Take in a report."""
        if not self._mean_step_s:
            self._mean_running = running
            self._mean_step_s = step_s
            return
        off_running = running - self._mean_running
        off_step_s = step_s - self._mean_step_s
        part = 1 - FIT_MEMORY
        self._mean_running += part * off_running
        self._mean_step_s += part * off_step_s
        self._variance += part * (off_running * off_running - self._variance)
        self._covariance += part * (off_running * off_step_s - self._covariance)

    def slope_s(self) -> float:
        """Return the seconds that one more request adds to a step."""
        if self._variance < 0.25:
            return 0.0
        return max(0.0, self._covariance / self._variance)


@dataclasses.dataclass(slots=True, eq=False)
class EngineLoad:
    """An engine's last report and what its dispatcher has granted on it.

    ``granted``: grants that are open; ``granted_kv``: KV memory set aside for
    them, in tokens; ``other_requests``: requests that are not of this dispatcher;
    ``used``: both together; ``use_limits``: for each priority, the use up to which
    it may be granted; ``prefill_until``: when the prompts granted so far are
    read; ``next_step_s``: a step with one more request; ``read_s``: seconds
    to read one prompt token.
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

    def take(self, state: EngineState) -> None:
        """Take in a report."""
        self.state = state
        self.read_s = 1 / max(state.prefill_tokens_per_s, MINIMUM_PREFILL_TOKENS_PER_S)
        self.fit.add(state.running, state.step_s)
        self.refresh()

    def refresh(self) -> None:
        """Work out again what depends on the use."""
        self.used = self.granted + self.other_requests
        more = self.used + 1 - max(1, self.state.running)
        step_s = self.state.step_s + more * self.fit.slope_s()
        self.next_step_s = max(0.0, step_s)
        if self.group is None:
            return
        if self.used < self.state.slots:
            self.group.free[self] = None
        else:
            self.group.free.pop(self, None)

    def unread_share(self, prefixes: tuple[int, ...]) -> float:
        """Return the part of a prompt whose prefix the engine does not hold."""
        if not prefixes or not self.prefixes:
            return 1.0
        matched = 0
        for prefix in prefixes:
            if prefix not in self.prefixes:
                break
            matched += 1
        return 1 - matched / len(prefixes)

    def start(self, need: Need, now: float) -> None:
        """Count a grant."""
        read_s = need.prompt_tokens * self.unread_share(need.prefixes) * self.read_s
        self.prefill_until = max(now, self.prefill_until) + read_s
        self.granted += 1
        self.granted_kv += need.kv
        self.store(need.prefixes)
        self.refresh()

    def end(self, need: Need) -> None:
        """Count the end of a grant."""
        self.granted = max(0, self.granted - 1)
        self.granted_kv = max(0, self.granted_kv - need.kv)
        self.refresh()

    def store(self, prefixes: t.Iterable[int]) -> None:
        """Note prefixes that the engine holds."""
        for prefix in prefixes:
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > PREFIXES_PER_ENGINE:
            self.prefixes.popitem(last=False)


StageCost = t.Callable[[EngineLoad, Need, float], float]


def expected_delay(load: EngineLoad, need: Need, now: float) -> float:
    """Estimate the seconds that a stage adds to the whole answer.

    The prompts still to be read come first, then this one, then a step for
    each token; all over the speeds that the engine reports.
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

    ``free``: those with a free slot.
    """

    first: int
    last: int
    layers: int
    data_centre: str
    loads: list[EngineLoad] = dataclasses.field(default_factory=list)
    free: dict[EngineLoad, None] = dataclasses.field(default_factory=dict)


LaneKey = tuple[int, int, int, str]


def _lane_key(state: EngineState) -> LaneKey:
    return (state.first, state.last, state.layers, state.data_centre)


def set_caps(group: EngineGroup, reserves: tuple[float, float, float]) -> None:
    """Set aside slots of a lane for more urgent work, on its fastest engines.

    :param reserves: for each priority, the part of the lane's slots that it
        may not fill.
    """
    fastest = sorted(group.loads, key=lambda load: (load.state.step_s, load.state.name))
    slots = sum(load.state.slots for load in fastest)
    for load in fastest:
        load.use_limits = [load.state.slots] * len(Priority)
    for priority in Priority:
        left = int(slots * reserves[priority])
        for load in fastest:
            part = min(left, int(load.state.slots * RESERVE_DEPTH))
            load.use_limits[priority] -= part
            left -= part


class LoadTable:
    """The engines of a pool by name and by lane."""

    __slots__ = ("_reserves", "by_name", "groups")

    def __init__(self, reserves: tuple[float, float, float]) -> None:
        self._reserves = reserves
        self.by_name: dict[str, EngineLoad] = {}
        self.groups: list[EngineGroup] = []

    def _arrange(self) -> None:
        lane_by_key: dict[LaneKey, EngineGroup] = {}
        for load in self.by_name.values():
            key = _lane_key(load.state)
            group = lane_by_key.get(key)
            if group is None:
                group = lane_by_key[key] = EngineGroup(*key)
            group.loads.append(load)
            load.group = group
            load.refresh()
        self.groups = [lane_by_key[key] for key in sorted(lane_by_key)]
        for group in self.groups:
            set_caps(group, self._reserves)

    def observe(self, state: EngineState) -> bool:
        """Take in a report of a known incarnation; return if more may fit now."""
        load = self.by_name[state.name]
        if state.as_of < load.state.as_of:
            return False
        before, other_requests = load.state, load.other_requests
        unknown = max(0, state.running + state.waiting - load.granted)
        load.other_requests = min(other_requests, unknown)
        load.take(state)
        if _lane_key(before) != _lane_key(state) or before.slots != state.slots:
            self._arrange()
            return True
        if (before.leaving, before.adapters) != (state.leaving, state.adapters):
            return True
        return (
            load.other_requests != other_requests or before.kv_tokens != state.kv_tokens
        )

    def add(self, state: EngineState, open_needs: t.Iterable[Need]) -> None:
        """Add an engine, or a new incarnation of it, with its open grants."""
        load = EngineLoad(state)
        for need in open_needs:
            load.granted += 1
            load.granted_kv += need.kv
        load.other_requests = max(0, state.running + state.waiting - load.granted)
        load.take(state)
        self.by_name[state.name] = load
        self._arrange()

    def remove(self, name: str) -> bool:
        """Forget an engine; return whether it was known."""
        if self.by_name.pop(name, None) is None:
            return False
        self._arrange()
        return True

    def start(self, route: Route, need: Need, now: float) -> None:
        """Count a grant on each stage."""
        for stage in route:
            load = self.by_name.get(stage.engine)
            if load is not None:
                load.start(need, now)

    def adopt(self, route: Route, need: Need, now: float) -> None:
        """Count a grant that was taken for foreign until now."""
        for stage in route:
            load = self.by_name.get(stage.engine)
            if load is not None:
                load.other_requests = max(0, load.other_requests - 1)
        self.start(route, need, now)

    def end(self, route: Route, need: Need) -> None:
        """Count the end of a grant on each stage."""
        for stage in route:
            load = self.by_name.get(stage.engine)
            if load is not None:
                load.end(need)
