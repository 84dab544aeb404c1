"""A fleet of the present size: engines of eight kinds in three data centres."""

import dataclasses

from wagtailstair.core.engine import EngineState

MODEL = "draft"
LAYERS = 32
DATA_CENTRES = ("a", "b", "c")
HOSTS = ("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2")
LINK_S_BY_SAME_CENTRE = {True: 0.0001, False: 0.0005}
"""One-way delay in seconds, by whether both ends are in one data centre."""
BATCH_GROWTH = 0.5
"""Fraction by which a step of a full batch is longer than that of one stream."""


@dataclasses.dataclass(slots=True, frozen=True)
class AcceleratorKind:
    """A kind of accelerator; each engine holds one of ``parts`` equal layer ranges."""

    name: str
    parts: int
    slots: int
    step_s: float
    prefill_tokens_per_s: float
    kv_tokens: int


KINDS = (
    AcceleratorKind("k0", 1, 16, 0.018, 16_000, 60_000),
    AcceleratorKind("k1", 1, 12, 0.025, 12_000, 40_000),
    AcceleratorKind("k2", 2, 16, 0.011, 20_000, 60_000),
    AcceleratorKind("k3", 2, 12, 0.014, 16_000, 40_000),
    AcceleratorKind("k4", 2, 12, 0.018, 14_000, 40_000),
    AcceleratorKind("k5", 3, 12, 0.009, 24_000, 40_000),
    AcceleratorKind("k6", 3, 10, 0.012, 20_000, 30_000),
    AcceleratorKind("k7", 3, 8, 0.016, 16_000, 24_000),
)
# The kinds of a data centre's engines, by layer range.
WHOLE_MODEL_KINDS = ("k0", "k0", "k1", "k1")
HALF_KINDS = (("k2", "k3"), ("k2", "k4"))
THIRD_KINDS = (("k5", "k6"), ("k5", "k7"), ("k6", "k7"))
KIND_BY_NAME = {kind.name: kind for kind in KINDS}


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """One engine of the fleet."""

    name: str
    data_centre: str
    kind: AcceleratorKind
    first: int
    last: int


def _specs_of(data_centre: str) -> list[EngineSpec]:
    specs = []
    for parts in ((WHOLE_MODEL_KINDS,), HALF_KINDS, THIRD_KINDS):
        bounds = [LAYERS * part // len(parts) for part in range(len(parts) + 1)]
        for part, names in enumerate(parts):
            for number, kind in enumerate(names):
                name = f"{data_centre}-{len(parts)}{part}{number}"
                first, last = bounds[part], bounds[part + 1]
                spec = EngineSpec(name, data_centre, KIND_BY_NAME[kind], first, last)
                specs.append(spec)
    return specs


def make_fleet() -> list[EngineSpec]:
    """Return the 42 engines; each data centre has all layers of the model."""
    specs = []
    for data_centre in DATA_CENTRES:
        specs.extend(_specs_of(data_centre))
    return specs


def idle_state(spec: EngineSpec) -> EngineState:
    """Return the report of an idle engine."""
    links = tuple(
        (other, LINK_S_BY_SAME_CENTRE[other == spec.data_centre])
        for other in DATA_CENTRES
    )
    return EngineState(
        name=spec.name,
        incarnation="0",
        address=spec.name,
        data_centre=spec.data_centre,
        model=MODEL,
        version="1",
        role="any",
        accelerator=spec.kind.name,
        first=spec.first,
        last=spec.last,
        layers=LAYERS,
        slots=spec.kind.slots,
        running=0,
        waiting=0,
        kv_tokens=spec.kind.kv_tokens,
        kv_used=0,
        step_s=spec.kind.step_s,
        prefill_tokens_per_s=spec.kind.prefill_tokens_per_s,
        leaving=False,
        fencing_checked=True,
        order=0,
        as_of=0.0,
        links_s=links,
    )


def slot_bound(
    specs: list[EngineSpec], prompt_tokens: float, output_tokens: float
) -> float:
    """Return the output tokens/s of a fleet whose slots are all in use.

    A stream holds a slot on each stage of its route from its prefill to its
    end. Routes consist of engines with the same number of parts. The rate of a
    slot is convex in the time of each stage, so the rate is highest if the
    fastest slots of all stages are paired. Prefills are assumed not to wait
    for one another.
    """
    total = 0.0
    for parts in (1, 2, 3):
        times_by_stage: list[list[float]] = []
        for part in range(parts):
            first = LAYERS * part // parts
            times: list[float] = []
            for spec in specs:
                if spec.kind.parts != parts or spec.first != first:
                    continue
                others = spec.kind.slots - 1
                growth = 1 + BATCH_GROWTH * others / spec.kind.slots
                step_s = spec.kind.step_s * growth
                read_s = prompt_tokens / spec.kind.prefill_tokens_per_s
                times += [output_tokens * step_s + read_s] * spec.kind.slots
            times_by_stage.append(sorted(times))
        for stages in zip(*times_by_stage, strict=False):
            links_s = (
                output_tokens
                * LINK_S_BY_SAME_CENTRE[True]
                * (parts if parts > 1 else 0)
            )
            total += output_tokens / (sum(stages) + links_s)
    return total
