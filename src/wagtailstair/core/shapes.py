"""Layer ranges of models, derived from engine reports, and targets for engines."""

import collections.abc

from .engine import EngineState
from .lists import Lists
from .targets import ModelSpec
from .targets import Pipelines
from .targets import Target
from .targets import divide_engines
from .targets import make_targets

Ranges = tuple[tuple[int, int], ...]


def planned_models(lists: Lists) -> set[str]:
    """Return the models that at least one plan includes."""
    models: set[str] = set()
    for plan in lists.plan_by_name.values():
        models.update(plan.models)
    return models


def _most_common_ranges(states: collections.abc.Sequence[EngineState]) -> Ranges:
    """Return the ranges most engines hold, chained from layer 0; empty with a gap."""
    count_by_range: dict[tuple[int, int], int] = {}
    for state in states:
        key = (state.first, state.last)
        count_by_range[key] = count_by_range.get(key, 0) + 1
    layers = states[0].layers
    ranges: list[tuple[int, int]] = []
    position = 0
    while position < layers:
        candidates = [key for key in count_by_range if key[0] == position]
        if not candidates:
            return ()
        best = max(candidates, key=lambda key: (count_by_range[key], key))
        ranges.append(best)
        position = best[1]
    return tuple(ranges)


def has_route(model: str, states: collections.abc.Iterable[EngineState]) -> bool:
    """Return whether engines that are not leaving form a chain through all layers."""
    lasts_by_first: dict[int, set[int]] = {}
    layers = 0
    for state in states:
        if state.model != model or state.leaving:
            continue
        lasts_by_first.setdefault(state.first, set()).add(state.last)
        layers = state.layers
    reached = {0}
    pending = [0]
    while pending:
        for last in lasts_by_first.get(pending.pop(), ()):
            if last not in reached:
                reached.add(last)
                pending.append(last)
    return layers > 0 and layers in reached


class ModelShapes:
    """Remembers the layer ranges of each model and derives targets from them.

    Ranges are updated only while they cover all layers, so that a range whose
    last engine died is remembered.
    """

    def __init__(self) -> None:
        self._spec_by_model: dict[str, ModelSpec] = {}

    def derive(
        self, lists: Lists, engines: collections.abc.Sequence[EngineState]
    ) -> list[Target]:
        """Return the targets for the engines of one data centre."""
        self._update_specs(engines)
        specs = []
        for model in sorted(planned_models(lists)):
            if model in self._spec_by_model:
                specs.append(self._spec_by_model[model])
        if not specs:
            return []
        usable = [state for state in engines if not state.leaving]
        held = _pipelines_held(specs, usable)
        demand_by_model = _demand_by_model(usable)
        pipelines = divide_engines(specs, demand_by_model, len(usable), held)
        return make_targets(specs, pipelines)

    def _update_specs(self, engines: collections.abc.Sequence[EngineState]) -> None:
        states_by_model: dict[str, list[EngineState]] = {}
        for state in engines:
            states_by_model.setdefault(state.model, []).append(state)
        for model, states in states_by_model.items():
            ranges = _most_common_ranges(states)
            if not ranges:
                continue
            self._spec_by_model[model] = ModelSpec(
                model=model,
                version=max(state.version for state in states),
                layers=states[0].layers,
                ranges=ranges,
            )


def _pipelines_held(
    specs: collections.abc.Sequence[ModelSpec],
    engines: collections.abc.Sequence[EngineState],
) -> Pipelines:
    pipelines: Pipelines = {}
    for spec in specs:
        counts = dict.fromkeys(spec.ranges, 0)
        for state in engines:
            key = (state.first, state.last)
            if state.model == spec.model and key in counts:
                counts[key] += 1
        pipelines[spec.model] = min(counts.values())
    return pipelines


def _demand_by_model(
    engines: collections.abc.Sequence[EngineState],
) -> dict[str, float]:
    demand_by_model: dict[str, float] = {}
    for state in engines:
        load = float(state.running + state.waiting)
        demand_by_model[state.model] = demand_by_model.get(state.model, 0.0) + load
    return demand_by_model
