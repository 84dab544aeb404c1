"""Load reports of model engines, priorities and the stages of a route."""

import dataclasses
import enum


class Priority(enum.IntEnum):
    """Priority of a request, most urgent first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


PRIORITY_BY_NAME = {priority.name.lower(): priority for priority in Priority}


@dataclasses.dataclass(slots=True, frozen=True)
class Stage:
    """One engine of a route with the layers ``[first, last)`` that it runs."""

    engine: str
    address: str
    first: int
    last: int


Route = tuple[Stage, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """A load report of one engine, valid at ``as_of`` on the reader's clock.

    ``step_s``: seconds of one decoding step of its layers at the present load;
    ``links_s``: seconds one way to each data centre; ``kv_tokens``: size of the
    KV memory in tokens; ``kv_used``: tokens in use.
    """

    name: str
    incarnation: str
    address: str
    data_centre: str
    model: str
    version: str
    role: str
    accelerator: str
    first: int
    last: int
    layers: int
    slots: int
    running: int
    waiting: int
    kv_tokens: int
    kv_used: int
    step_s: float
    prefill_tokens_per_s: float
    leaving: bool
    fencing_checked: bool
    order: int
    as_of: float
    adapters: tuple[str, ...] = ()
    links_s: tuple[tuple[str, float], ...] = ()
