"""The engines of each data centre, in subsets that a choice of pipeline searches.

A subset lies in one data centre and its engines together hold every layer, so that a
pipeline needs no link between data centres. A choice searches two subsets instead of
the whole fleet: its cost doesn't grow with the number of engines, and hosts that
know the same old loads don't all choose the same engines.
"""

import dataclasses
import itertools
import random
import typing as t

from .engine_costs import EngineCost
from .engine_costs import RatedEngine
from .path_search import Path
from .path_search import Run
from .path_search import collect_hops

SUBSET_ENGINES_MAX = 48
"""Most engines of a subset, if a data centre's engines can be divided: a search takes
a tenth of a millisecond, and each layer still has several engines to choose from."""


class Segment(t.NamedTuple):
    """Layers that the same engines of a subset hold: ``covering`` has their indexes."""

    first: int
    layers: int
    covering: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSubset:
    """Engines of one data centre that together hold all layers of a model."""

    data_centre: str
    engines: tuple[RatedEngine, ...]
    segments: tuple[Segment, ...]


def divide_engines(
    layers: int, engines: t.Iterable[RatedEngine], rng: random.Random
) -> dict[str, list[EngineSubset]]:
    """Return the subsets of each data centre whose engines hold all layers.

    :param layers: number of layers of the model.
    """
    by_centre: dict[str, list[RatedEngine]] = {}
    for engine in engines:
        by_centre.setdefault(engine.replica.data_centre, []).append(engine)
    subsets_by_centre = {}
    for centre, members in by_centre.items():
        rng.shuffle(members)
        subsets = []
        for part in _divide(layers, members):
            subsets.append(_make_subset(layers, centre, part))
        if subsets:
            subsets_by_centre[centre] = subsets
    return subsets_by_centre


def _held_layers(engine: RatedEngine, layers: int) -> tuple[int, int]:
    first, last = t.cast("tuple[int, int]", engine.replica.layers)
    return max(0, first), min(last, layers)


def _divide(layers: int, engines: list[RatedEngine]) -> list[list[RatedEngine]]:
    """Divide engines into parts of similar size that each hold all layers.

    Engines of layers that few hold are in several parts. There are no parts if the
    engines lack a layer.
    """
    unused = list(engines)
    parts: list[list[RatedEngine]] = []
    for _ in range(1 + (len(engines) - 1) // SUBSET_ENGINES_MAX):
        chain = _find_chain(layers, unused, engines)
        if chain is None:
            return []
        parts.append(chain)
        chosen = {engine.identity for engine in chain}
        unused = [engine for engine in unused if engine.identity not in chosen]
    for index, engine in enumerate(unused):
        parts[index % len(parts)].append(engine)
    return parts


def _find_chain(
    layers: int, unused: list[RatedEngine], engines: list[RatedEngine]
) -> list[RatedEngine] | None:
    """Return few engines that together hold all layers, unused ones where possible."""
    chain: list[RatedEngine] = []
    layer = 0
    while layer < layers:
        best = _farthest(layers, layer, unused) or _farthest(layers, layer, engines)
        if best is None:
            return None
        chain.append(best)
        layer = _held_layers(best, layers)[1]
    return chain


def _farthest(
    layers: int, layer: int, engines: list[RatedEngine]
) -> RatedEngine | None:
    """Return the engine that holds a layer and most of those after it."""
    best, end = None, layer
    for engine in engines:
        first, last = _held_layers(engine, layers)
        if first <= layer and last > end:
            best, end = engine, last
    return best


def _make_subset(layers: int, centre: str, engines: list[RatedEngine]) -> EngineSubset:
    """Return a subset of engines that together hold all layers."""
    ranges = [_held_layers(engine, layers) for engine in engines]
    bounds = {0, layers}
    for held in ranges:
        if held[0] < held[1]:
            bounds.update(held)
    segments = []
    for first, last in itertools.pairwise(sorted(bounds)):
        covering = []
        for index, held in enumerate(ranges):
            if held[0] <= first and last <= held[1]:
                covering.append(index)
        segments.append(Segment(first, last - first, tuple(covering)))
    return EngineSubset(centre, tuple(engines), tuple(segments))


def cheapest_in_subset(
    subset: EngineSubset, costs: t.Sequence[EngineCost]
) -> tuple[float, Path]:
    """Return the cheapest pipeline within a subset and its cost in seconds.

    :param costs: of the subset's engines, in their order.
    """
    # The cheapest chain up to the segment, and for each engine that which ends on it.
    cost: float = 0.0
    run: Run | None = None
    cost_by_index = [float("inf")] * len(costs)
    run_by_index: list[Run | None] = [None] * len(costs)
    for first, layers, covering in subset.segments:
        best_cost, best_index = float("inf"), 0
        for index in covering:
            layer_s, hop_s, head_s = costs[index]
            entered = cost + hop_s if first else head_s + hop_s
            reached = cost_by_index[index]
            if entered < reached:
                reached = entered
                run_by_index[index] = Run(subset.engines[index].replica, first, run)
            reached += layer_s * layers
            cost_by_index[index] = reached
            if reached < best_cost:
                best_cost, best_index = reached, index
        cost, run = best_cost, run_by_index[best_index]
    last = subset.segments[-1].first + subset.segments[-1].layers
    return cost, collect_hops(run, last)
