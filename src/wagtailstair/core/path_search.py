"""The cheapest chain of engines through the layers of a model.

A request passes every layer once, in order. One sweep visits the layers at which
ranges of engines begin or end. At each of them a request stays on its engine or
moves to another one that holds the next layers, for the fixed cost of a hop.
"""

import dataclasses
import itertools
import typing as t

from .directory import ModelSpec
from .replicas import Replica

REMOTE_START_COST_S = 0.5
"""Seconds that a pipeline costs that begins in another data centre: only the
request and its events pass between the two, a thousandth of the activations."""

CROSSING_COST_S = 3.0
"""Seconds that a crossing inside a pipeline costs: all activations share the one
link between two data centres, which carries one transfer at a time."""


@dataclasses.dataclass(slots=True, frozen=True)
class Hop:
    """The layers from ``first`` up to ``last`` on one engine."""

    replica: Replica
    first: int
    last: int


Path = tuple[Hop, ...]


Link = tuple[str, str]
"""Two data centres in order of their names; both directions share the link."""


def crossed_links(path: Path) -> list[Link]:
    """Return the links that a chain uses between its engines, in order."""
    links = []
    for hop, following in itertools.pairwise(path):
        centres = (hop.replica.data_centre, following.replica.data_centre)
        if centres[0] != centres[1]:
            links.append(link_between(*centres))
    return links


def link_between(centre: str, other: str) -> Link:
    """Return the link between two data centres."""
    return (centre, other) if centre < other else (other, centre)


def transfer_s(model: ModelSpec, prompt: float) -> float:
    """Return the seconds for which the activations of a prompt occupy a link."""
    if model.link_bytes_per_s <= 0:
        return 0.0
    return prompt * model.hidden_bytes / model.link_bytes_per_s


class Candidate(t.NamedTuple):
    """An engine with its costs for a request.

    ``layer_s``: seconds for each layer; ``fixed_s``: seconds for the hop;
    ``head_s``: further seconds if the engine is the first of the chain.
    """

    replica: Replica
    layer_s: float
    fixed_s: float
    head_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """Where a chain begins.

    ``layer``: its first layer; ``data_centre``: where the request comes from;
    ``is_begun``: whether the layers before it have already run on an engine;
    ``link_s``: further seconds that the load on a link costs.
    """

    layer: int
    data_centre: str
    is_begun: bool = False
    link_s: t.Mapping[Link, float] = dataclasses.field(default_factory=dict)


class Run(t.NamedTuple):
    """The layers from ``first`` on that run on one engine, linked to the run before."""

    replica: Replica
    first: int
    previous: "Run | None"


@dataclasses.dataclass(slots=True)
class _State:
    """The cheapest chain up to a layer; ``run`` is its last part."""

    cost: float
    run: Run | None


class _Sweep:
    """The cheapest chains to the layer reached so far, by engine and data centre."""

    __slots__ = ("_answer", "_entry", "_model", "_transfer_s", "by_centre", "by_engine")

    def __init__(
        self, model: ModelSpec, entry: Entry, prompt: float, answer: float
    ) -> None:
        self._model = model
        self._entry = entry
        self._answer = answer
        self._transfer_s = transfer_s(model, prompt)
        self.by_centre = {entry.data_centre: _State(0.0, None)}
        self.by_engine: dict[int, _State] = {}

    def advance(self, layer: int, end: int, covering: dict[int, Candidate]) -> None:
        """Extend the chains up to layer ``end``, on each engine that covers it."""
        entered: dict[str, _State] = {}
        by_engine: dict[int, _State] = {}
        by_centre: dict[str, _State] = {}
        for index, engine in covering.items():
            centre = engine.replica.data_centre
            enter = entered.get(centre)
            if enter is None:
                enter = entered[centre] = self._cheapest_entry(centre)
            cost, run = enter.cost + engine.fixed_s, enter.run
            if run is None and not self._entry.is_begun:
                cost += engine.head_s
            stay = self.by_engine.get(index)
            if stay is not None and stay.cost <= cost:
                cost, run = stay.cost, stay.run
            else:
                run = Run(engine.replica, layer, run)
            state = _State(cost + engine.layer_s * (end - layer), run)
            by_engine[index] = state
            best = by_centre.get(centre)
            if best is None or state.cost < best.cost:
                by_centre[centre] = state
        self.by_engine = by_engine
        self.by_centre = by_centre

    def _cheapest_entry(self, centre: str) -> _State:
        """Return the cheapest chain from which to enter a data centre."""
        best: _State | None = None
        for source, state in self.by_centre.items():
            cost = state.cost
            if source != centre:
                cost += self._crossing_s(source, centre, state.run)
            if best is None or cost < best.cost:
                best = _State(cost, state.run)
        return best or _State(float("inf"), None)

    def _crossing_s(self, source: str, target: str, run: Run | None) -> float:
        if run is None and not self._entry.is_begun:
            return REMOTE_START_COST_S
        delay_s = self._model.delay_s_by_centres.get((source, target), 0.0)
        load_s = self._entry.link_s.get(link_between(source, target), 0.0)
        return CROSSING_COST_S + self._transfer_s + self._answer * delay_s + load_s


def cheapest_path(
    model: ModelSpec,
    engines: t.Sequence[Candidate],
    entry: Entry,
    prompt: float,
    answer: float,
    end: int | None = None,
) -> Path | None:
    """Return the cheapest chain from an entry to a layer, if there is one.

    :param prompt: tokens to read.
    :param answer: expected tokens of the answer.
    :param end: the layer before which the chain ends, the model's last by default.
    """
    target = model.layers if end is None else end
    starts: dict[int, list[int]] = {}
    ends: dict[int, list[int]] = {}
    for index, engine in enumerate(engines):
        first, last = engine.replica.layers or (0, 0)
        first = max(first, entry.layer)
        last = min(last, target)
        if first < last:
            starts.setdefault(first, []).append(index)
            ends.setdefault(last, []).append(index)
    bounds = sorted({entry.layer, target, *starts, *ends})
    sweep = _Sweep(model, entry, prompt, answer)
    covering: dict[int, Candidate] = {}
    for layer, following in itertools.pairwise(bounds):
        for index in ends.get(layer, ()):
            del covering[index]
        for index in starts.get(layer, ()):
            covering[index] = engines[index]
        if not covering:
            return None
        sweep.advance(layer, following, covering)
    if not sweep.by_centre:
        return None
    best = min(sweep.by_centre.values(), key=lambda state: state.cost)
    return collect_hops(best.run, target)


def collect_hops(run: Run | None, layers: int) -> Path:
    """Return the chain of hops that ends with a run before layer ``layers``."""
    hops: list[Hop] = []
    last = layers
    while run is not None:
        hops.append(Hop(run.replica, run.first, last))
        last = run.first
        run = run.previous
    hops.reverse()
    return merge_hops(hops)


def merge_hops(hops: t.Iterable[Hop]) -> Path:
    """Merge the hops of an engine that occurs twice, with all hops in between."""
    merged: list[Hop] = []
    for hop in hops:
        for index, earlier in enumerate(merged):
            if earlier.replica.identity == hop.replica.identity:
                del merged[index:]
                hop = Hop(hop.replica, earlier.first, hop.last)
                break
        merged.append(hop)
    return tuple(merged)
