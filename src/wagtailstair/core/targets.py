"""What the engines of a data centre should hold, from lists and demand."""

import collections.abc
import dataclasses

SHIFT_GAIN = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """A model as it should be served.

    ``ranges``: the layer ranges of one pipeline, each held by one engine;
    ``bytes_per_layer``: of weights, for the weight store's rate.
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
    """Engines that should hold one layer range of a model."""

    spec: ModelSpec
    first: int
    last: int
    engines: int


Pipelines = dict[str, int]
"""Number of pipelines by model."""


def _pressure(demand: float, pipelines: int) -> float:
    return demand / pipelines if pipelines else float("inf")


def _worst(
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
    """Return how many pipelines each model gets.

    Each model gets one as far as the engines go; each further one goes to the
    model with the most work for each pipeline. The present division stays
    unless the new one lowers the highest pressure by ``shift_gain``.

    :param demand_by_model: work a second.
    """
    pipelines: Pipelines = {spec.model: 0 for spec in specs}
    left = engines
    for spec in specs:
        if len(spec.ranges) > left:
            continue
        pipelines[spec.model] = 1
        left -= len(spec.ranges)
    while True:
        wanting = [spec for spec in specs if len(spec.ranges) <= left]
        if not wanting:
            break
        spec = max(
            wanting,
            key=lambda s: _pressure(
                demand_by_model.get(s.model, 0.0), pipelines[s.model]
            ),
        )
        pipelines[spec.model] += 1
        left -= len(spec.ranges)
    if _stays(specs, pipelines, present, demand_by_model, engines, shift_gain):
        return dict(present)
    return pipelines


def _stays(
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
    threshold = (1 - shift_gain) * _worst(present, demand_by_model)
    return _worst(pipelines, demand_by_model) > threshold


def make_targets(
    specs: collections.abc.Sequence[ModelSpec], pipelines: Pipelines
) -> list[Target]:
    """Return the targets for a division of the engines."""
    targets: list[Target] = []
    for spec in specs:
        for first, last in spec.ranges:
            targets.append(Target(spec, first, last, pipelines.get(spec.model, 0)))
    return targets
