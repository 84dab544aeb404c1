"""Shapes of models as the engines report them, and the targets that follow."""

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
    """Return the models that some plan may use."""
    models: set[str] = set()
    for plan in lists.plan_by_name.values():
        models.update(plan.models)
    return models


def _partition(states: collections.abc.Sequence[EngineState]) -> Ranges:
    # The ranges that most engines hold, chained from layer 0; empty if broken.
    count_by_range: dict[tuple[int, int], int] = {}
    for state in states:
        key = (state.first, state.last)
        count_by_range[key] = count_by_range.get(key, 0) + 1
    layers = states[0].layers
    ranges: list[tuple[int, int]] = []
    position = 0
    while position < layers:
        following = [key for key in count_by_range if key[0] == position]
        if not following:
            return ()
        best = max(following, key=lambda key: (count_by_range[key], key))
        ranges.append(best)
        position = best[1]
    return tuple(ranges)


def has_route(model: str, states: collections.abc.Iterable[EngineState]) -> bool:
    """Tell whether engines that stay form a chain through all layers."""
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


class Shapes:
    """Remembers the shape of each model, and derives targets.

    A model's layer ranges are learnt while they are whole, so that a range
    whose last engine died is still known.
    """

    def __init__(self) -> None:
        self._spec_by_model: dict[str, ModelSpec] = {}

    def derive(
        self, lists: Lists, engines: collections.abc.Sequence[EngineState]
    ) -> list[Target]:
        """Return the targets for the engines of one data centre."""
        self._learn(engines)
        specs = []
        for model in sorted(planned_models(lists)):
            if model in self._spec_by_model:
                specs.append(self._spec_by_model[model])
        if not specs:
            return []
        usable = [state for state in engines if not state.leaving]
        present = _present(specs, usable)
        demand_by_model = _demand(usable)
        pipelines = divide_engines(specs, demand_by_model, len(usable), present)
        return make_targets(specs, pipelines)

    def _learn(self, engines: collections.abc.Sequence[EngineState]) -> None:
        states_by_model: dict[str, list[EngineState]] = {}
        for state in engines:
            states_by_model.setdefault(state.model, []).append(state)
        for model, states in states_by_model.items():
            ranges = _partition(states)
            if not ranges:
                continue
            self._spec_by_model[model] = ModelSpec(
                model=model,
                version=max(state.version for state in states),
                layers=states[0].layers,
                ranges=ranges,
            )


def _present(
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


def _demand(engines: collections.abc.Sequence[EngineState]) -> dict[str, float]:
    demand_by_model: dict[str, float] = {}
    for state in engines:
        load = float(state.running + state.waiting)
        demand_by_model[state.model] = demand_by_model.get(state.model, 0.0) + load
    return demand_by_model
