"""The cheapest chain of engines through the layers of a model.

A request takes every layer once, in order. The chain is found in one sweep over
the layers at which ranges begin and end: between two of them a request stays on
its engine or goes over to another one that holds the layers, at its fixed cost.
"""

import dataclasses
import itertools
import typing as t

from .directory import ModelSpec
from .replicas import Replica

REMOTE_START_COST_S = 0.5
"""Seconds that a pipeline wholly in another data centre costs: only the request
and its events pass between the two, a thousandth of what activations take."""

CROSSING_COST_S = 3.0
"""Seconds that a crossing in the middle of a pipeline costs: all activations pass
the one pipe between two data centres, one transfer after the other."""


@dataclasses.dataclass(slots=True, frozen=True)
class Hop:
    """The layers from ``first`` up to ``last`` on one engine."""

    replica: Replica
    first: int
    last: int


Path = tuple[Hop, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An engine's cost for a request: seconds a layer, for the hop, as the first."""

    replica: Replica
    layer_s: float
    fixed_s: float
    head_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """Where a chain begins: the first layer, and the data centre before it.

    ``is_begun``: an engine has run the layers before, else there are none.
    """

    layer: int
    data_centre: str
    is_begun: bool = False


@dataclasses.dataclass(slots=True)
class _Run:
    """An engine's layers from ``first`` on, after another run."""

    engine: Candidate
    first: int
    before: "_Run | None"


@dataclasses.dataclass(slots=True)
class _State:
    """The cheapest way to a layer that ends on one engine."""

    cost: float
    run: _Run | None


class _Sweep:
    """The cheapest ways to the layer reached so far."""

    __slots__ = ("_answer", "_entry", "_model", "_transfer_s", "by_centre", "by_engine")

    def __init__(
        self, model: ModelSpec, entry: Entry, prompt: float, answer: float
    ) -> None:
        self._model = model
        self._entry = entry
        self._answer = answer
        self._transfer_s = 0.0
        if model.pipe_bytes_per_s > 0:
            sent = prompt * model.hidden_bytes
            self._transfer_s = sent / model.pipe_bytes_per_s
        self.by_centre = {entry.data_centre: _State(0.0, None)}
        self.by_engine: dict[int, _State] = {}

    def advance(self, layer: int, end: int, active: dict[int, Candidate]) -> None:
        """Run the layers up to ``end`` on each of the engines that hold them."""
        entered: dict[str, _State] = {}
        by_engine: dict[int, _State] = {}
        by_centre: dict[str, _State] = {}
        for index, engine in active.items():
            centre = engine.replica.data_centre
            enter = entered.get(centre)
            if enter is None:
                enter = entered[centre] = self._enter(centre)
            cost, run = enter.cost + engine.fixed_s, enter.run
            if run is None and not self._entry.is_begun:
                cost += engine.head_s
            stay = self.by_engine.get(index)
            if stay is not None and stay.cost <= cost:
                cost, run = stay.cost, stay.run
            else:
                run = _Run(engine, layer, run)
            state = _State(cost + engine.layer_s * (end - layer), run)
            by_engine[index] = state
            best = by_centre.get(centre)
            if best is None or state.cost < best.cost:
                by_centre[centre] = state
        self.by_engine = by_engine
        self.by_centre = by_centre

    def _enter(self, centre: str) -> _State:
        """Return the cheapest way to go over to an engine of a data centre."""
        best: _State | None = None
        for before, state in self.by_centre.items():
            cost = state.cost
            if before != centre:
                cost += self._crossing_s(before, centre, state.run)
            if best is None or cost < best.cost:
                best = _State(cost, state.run)
        return best or _State(float("inf"), None)

    def _crossing_s(self, before: str, after: str, run: _Run | None) -> float:
        if run is None and not self._entry.is_begun:
            return REMOTE_START_COST_S
        delay_s = self._model.delay_s_by_centres.get((before, after), 0.0)
        return CROSSING_COST_S + self._transfer_s + self._answer * delay_s


def cheapest_path(
    model: ModelSpec,
    engines: t.Sequence[Candidate],
    entry: Entry,
    prompt: float,
    answer: float,
) -> Path | None:
    """Return the cheapest chain from an entry to the last layer, if there is one.

    :param prompt: tokens to read; ``answer``: tokens expected.
    """
    starts: dict[int, list[int]] = {}
    ends: dict[int, list[int]] = {}
    for index, engine in enumerate(engines):
        first, last = engine.replica.layers or (0, 0)
        first = max(first, entry.layer)
        if first < last:
            starts.setdefault(first, []).append(index)
            ends.setdefault(last, []).append(index)
    bounds = sorted({entry.layer, model.layers, *starts, *ends})
    sweep = _Sweep(model, entry, prompt, answer)
    active: dict[int, Candidate] = {}
    for layer, end in itertools.pairwise(bounds):
        for index in ends.get(layer, ()):
            del active[index]
        for index in starts.get(layer, ()):
            active[index] = engines[index]
        if not active:
            return None
        sweep.advance(layer, end, active)
    if not sweep.by_centre:
        return None
    best = min(sweep.by_centre.values(), key=lambda state: state.cost)
    return _walk_back(best.run, model.layers)


def _walk_back(run: _Run | None, layers: int) -> Path:
    hops: list[Hop] = []
    last = layers
    while run is not None:
        hops.append(Hop(run.engine.replica, run.first, last))
        last = run.first
        run = run.before
    hops.reverse()
    return _merge(hops)


def _merge(hops: list[Hop]) -> Path:
    """Give each engine one part: what lies between two of its parts, too."""
    merged: list[Hop] = []
    for hop in hops:
        for index, earlier in enumerate(merged):
            if earlier.replica is hop.replica:
                del merged[index:]
                hop = Hop(hop.replica, earlier.first, hop.last)
                break
        merged.append(hop)
    return tuple(merged)
