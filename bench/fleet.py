"""The fleet of today's size: engines of eight kinds in three data centres."""

import dataclasses

from wagtailstair.core.engine import EngineState

MODEL = "draft"
LAYERS = 32
DATA_CENTRES = ("a", "b", "c")
HOSTS = ("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2")
LINK_S = {True: 0.0001, False: 0.0005}
"""Seconds one way, by whether both ends are in one data centre."""
BATCH_GROWTH = 0.5
"""Part by which a step of a full batch is longer than that of one stream."""


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of accelerator: its share of the layers and its speeds."""

    name: str
    parts: int
    slots: int
    step_s: float
    prefill_tokens_per_s: float
    kv_tokens: int


KINDS = (
    Kind("k0", 1, 16, 0.018, 16_000, 60_000),
    Kind("k1", 1, 12, 0.025, 12_000, 40_000),
    Kind("k2", 2, 16, 0.011, 20_000, 60_000),
    Kind("k3", 2, 12, 0.014, 16_000, 40_000),
    Kind("k4", 2, 12, 0.018, 14_000, 40_000),
    Kind("k5", 3, 12, 0.009, 24_000, 40_000),
    Kind("k6", 3, 10, 0.012, 20_000, 30_000),
    Kind("k7", 3, 8, 0.016, 16_000, 24_000),
)
# Kinds of the engines of each part of the layers, in every data centre.
WHOLE = ("k0", "k0", "k1", "k1")
HALVES = (("k2", "k3"), ("k2", "k4"))
THIRDS = (("k5", "k6"), ("k5", "k7"), ("k6", "k7"))
KIND_BY_NAME = {kind.name: kind for kind in KINDS}


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """One engine of the fleet."""

    name: str
    data_centre: str
    kind: Kind
    first: int
    last: int


def _specs_of(data_centre: str) -> list[EngineSpec]:
    specs = []
    for parts in ((WHOLE,), HALVES, THIRDS):
        bounds = [LAYERS * part // len(parts) for part in range(len(parts) + 1)]
        for part, names in enumerate(parts):
            for number, kind in enumerate(names):
                name = f"{data_centre}-{len(parts)}{part}{number}"
                first, last = bounds[part], bounds[part + 1]
                spec = EngineSpec(name, data_centre, KIND_BY_NAME[kind], first, last)
                specs.append(spec)
    return specs


def make_fleet() -> list[EngineSpec]:
    """Return the 42 engines; each data centre holds the model alone."""
    specs = []
    for data_centre in DATA_CENTRES:
        specs.extend(_specs_of(data_centre))
    return specs


def idle_state(spec: EngineSpec) -> EngineState:
    """Return the report of an engine without load."""
    links = tuple((other, LINK_S[other == spec.data_centre]) for other in DATA_CENTRES)
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


def slot_bound(specs: list[EngineSpec], prompt: float, output: float) -> float:
    """Return output tokens a second with every slot of the fleet always full.

    A stream holds a slot on each stage of its route from its prefill to its
    end. Engines of equal parts form the routes; the rate of a slot is convex
    in the time of each stage, so pairing the fastest with the fastest is the
    maximum. Prefills are counted as if they never waited for one another.
    """
    total = 0.0
    for parts in (1, 2, 3):
        lanes: list[list[float]] = []
        for part in range(parts):
            first = LAYERS * part // parts
            times: list[float] = []
            for spec in specs:
                if spec.kind.parts != parts or spec.first != first:
                    continue
                others = spec.kind.slots - 1
                growth = 1 + BATCH_GROWTH * others / spec.kind.slots
                step_s = spec.kind.step_s * growth
                read_s = prompt / spec.kind.prefill_tokens_per_s
                times += [output * step_s + read_s] * spec.kind.slots
            lanes.append(sorted(times))
        for stages in zip(*lanes, strict=False):
            links_s = output * LINK_S[True] * (parts if parts > 1 else 0)
            total += output / (sum(stages) + links_s)
    return total
