"""What daemons say to each other about requests, engines and quotas.

A *handle* is a number that an entry host gives to one submission of a request
to one dispatcher, or to one charge. It is used once, so that a late or
repeated message can't touch a later submission of the same request. Its upper
bits are the *era*: the number of times that the entry host has told that
dispatcher to forget everything before.
"""

import dataclasses
import enum
import typing as t

from .engine import EngineState
from .engine import Route
from .grants import RefusalReason
from .grants import RouteRequest
from .membership import Heartbeat
from .membership import View
from .membership import ViewRequest

ERA_SHIFT = 40  # bits of a handle below its era


class Limit(enum.IntEnum):
    """The answer to a charge: allowed, or over which limit."""

    NONE = 0
    RATE = 1
    CONCURRENCY = 2


@dataclasses.dataclass(slots=True, frozen=True)
class PoolKey:
    """The pool of one model in one data centre."""

    model: str
    data_centre: str

    def __str__(self) -> str:
        return f"pool/{self.model}/{self.data_centre}"


@dataclasses.dataclass(slots=True, frozen=True)
class Submit:
    """Ask a dispatcher for a route; repeated until there is an answer."""

    handle: int
    key: PoolKey
    want: RouteRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """The submission waits."""

    handle: int


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """The submission has a route."""

    handle: int
    route: Route


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The submission gets no route."""

    handle: int
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Withdraw:
    """The entry host no longer waits, or does not use the grant.

    ``key``: None if the entry host no longer knows it.
    """

    handle: int
    key: PoolKey | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """A grant has ended with this cost."""

    handle: int
    key: PoolKey
    prompt_tokens: int
    output_tokens: int
    failed: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """A grant in use that another dispatcher gave."""

    handle: int
    key: PoolKey
    want: RouteRequest
    route: Route
    tokens_done: int


@dataclasses.dataclass(slots=True, frozen=True)
class Reset:
    """The sender took the receiver for dead and has forgotten what it told.

    The receiver forgets the sender's handles of earlier eras than ``era`` and
    submits anew what it had submitted to the sender.
    """

    era: int


@dataclasses.dataclass(slots=True, frozen=True)
class Charge:
    """Ask an account's home for leave; ``adopt``: it has been given already."""

    handle: int
    account: str
    work: float
    work_per_s: float
    burst_s: float
    max_concurrent: int
    adopt: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Charged:
    """The home's answer."""

    handle: int
    limit: Limit
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Settle:
    """A charged request has ended with this cost."""

    handle: int
    work: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """A load report, read ``age_s`` seconds before it was sent."""

    state: EngineState
    age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoad:
    """What changes often of a load report, for a host that has the rest.

    ``incarnation``: a checksum of the engine's incarnation.
    """

    name: str
    incarnation: int
    running: int
    waiting: int
    kv_used: int
    step_s: float
    age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReportRequest:
    """Ask for the whole report of an engine of which only the load came."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLost:
    """An engine can't be reached or is off the host list."""

    name: str
    incarnation: str


Reliable = Withdraw | Finished | Held | Reset | Charge | Settle


@dataclasses.dataclass(slots=True, frozen=True)
class Numbered:
    """A message that is repeated until its number is acknowledged."""

    number: int
    body: Reliable


@dataclasses.dataclass(slots=True, frozen=True)
class EngineUses:
    """What requests hold on engines; it replaces what its source told before.

    ``source``: a host, or a data centre for the sum of its hosts; ``keys``:
    checksums of engines and their starts; ``running``, ``heads`` and ``held``:
    requests on each, those that begin there, and token-layers.
    """

    source: str
    is_centre: bool
    keys: tuple[int, ...]
    running: tuple[int, ...]
    heads: tuple[int, ...]
    held: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Ack:
    """These numbered messages have arrived."""

    numbers: tuple[int, ...]


Message = t.Union[  # noqa: UP007 - a name for the codec's registry
    Heartbeat,
    ViewRequest,
    View,
    Submit,
    Queued,
    Granted,
    Refused,
    Charge,
    Charged,
    EngineReport,
    EngineLoad,
    EngineUses,
    ReportRequest,
    EngineLost,
    Numbered,
    Ack,
]
