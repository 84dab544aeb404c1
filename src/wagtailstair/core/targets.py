"""Number of engines that should hold each layer range, from lists and demand."""

import collections.abc
import dataclasses

SHIFT_GAIN = 0.25
"""Relative decrease of the highest pressure that justifies a new division."""


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """How a model should be served.

    ``ranges``: the layer ranges of one pipeline, each held by one engine;
    ``bytes_per_layer``: size of the weights, for the weight store's rate.
    """

    model: str
    version: str
    layers: int
    ranges: tuple[tuple[int, int], ...]
    adapters: tuple[str, ...] = ()
    role: str = ""
    bytes_per_layer: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """Number of engines that should hold one layer range of a model."""

    spec: ModelSpec
    first: int
    last: int
    engines: int


Pipelines = dict[str, int]
"""Number of pipelines by model."""


def _pressure(demand: float, pipelines: int) -> float:
    return demand / pipelines if pipelines else float("inf")


def _highest_pressure(
    pipelines: Pipelines, demand_by_model: collections.abc.Mapping[str, float]
) -> float:
    return max(
        (_pressure(demand_by_model.get(m, 0.0), n) for m, n in pipelines.items()),
        default=0.0,
    )


def divide_engines(
    specs: collections.abc.Sequence[ModelSpec],
    demand_by_model: collections.abc.Mapping[str, float],
    engines: int,
    present: Pipelines,
    shift_gain: float = SHIFT_GAIN,
) -> Pipelines:
    """Return the number of pipelines of each model.

    Each model gets one pipeline while there are engines left. Each further one
    goes to the model with the highest pressure, its demand for each pipeline.
    The present division stays unless the new one lowers the highest pressure
    by the share ``shift_gain``.

    :param demand_by_model: demand, in a unit that is the same for all models.
    :param present: the present division.
    """
    pipelines: Pipelines = {spec.model: 0 for spec in specs}
    left = engines
    for spec in specs:
        if len(spec.ranges) > left:
            continue
        pipelines[spec.model] = 1
        left -= len(spec.ranges)
    while True:
        candidates = [spec for spec in specs if len(spec.ranges) <= left]
        if not candidates:
            break
        spec = max(
            candidates,
            key=lambda s: _pressure(
                demand_by_model.get(s.model, 0.0), pipelines[s.model]
            ),
        )
        pipelines[spec.model] += 1
        left -= len(spec.ranges)
    if _keeps_present(specs, pipelines, present, demand_by_model, engines, shift_gain):
        return dict(present)
    return pipelines


def _keeps_present(
    specs: collections.abc.Sequence[ModelSpec],
    pipelines: Pipelines,
    present: Pipelines,
    demand_by_model: collections.abc.Mapping[str, float],
    engines: int,
    shift_gain: float,
) -> bool:
    if set(present) != set(pipelines):
        return False
    used = sum(present[spec.model] * len(spec.ranges) for spec in specs)
    unused = engines - used
    if unused < 0 or any(len(spec.ranges) <= unused for spec in specs):
        return False
    if any(present[model] == 0 < count for model, count in pipelines.items()):
        return False
    threshold = (1 - shift_gain) * _highest_pressure(present, demand_by_model)
    return _highest_pressure(pipelines, demand_by_model) > threshold


def make_targets(
    specs: collections.abc.Sequence[ModelSpec], pipelines: Pipelines
) -> list[Target]:
    """Return the targets for a division of the engines among models."""
    targets: list[Target] = []
    for spec in specs:
        for first, last in spec.ranges:
            targets.append(Target(spec, first, last, pipelines.get(spec.model, 0)))
    return targets
