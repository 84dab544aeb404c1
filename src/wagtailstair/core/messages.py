"""Messages between daemons about requests, engines and quotas.

A *handle* is a number that an entry host assigns to one charge, or to one
submission of a request to one dispatcher. It is used only once, so a late or
duplicate message cannot affect a later submission of the same request. Its
upper bits are the *era*: the number of resets that the entry host has sent to
that dispatcher.
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
from .quarantine import CrashSuspects

ERA_SHIFT = 40  # number of bits of a handle below its era


class Limit(enum.IntEnum):
    """The limit that a charge exceeds, ``NONE`` if it is allowed."""

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
    """A request to a dispatcher for a route, repeated until it is answered."""

    handle: int
    key: PoolKey
    route_request: RouteRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """The submission is queued."""

    handle: int


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """The submission has been granted a route."""

    handle: int
    route: Route


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The submission has been refused."""

    handle: int
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Withdraw:
    """The entry host cancels its submission or does not use the grant.

    ``key``: ``None`` if the entry host no longer has it.
    """

    handle: int
    key: PoolKey | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """A granted request has ended, with its cost and its failed engines."""

    handle: int
    key: PoolKey
    prompt_tokens: int
    output_tokens: int
    failed: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """A grant in use that another dispatcher issued."""

    handle: int
    key: PoolKey
    route_request: RouteRequest
    route: Route
    tokens_done: int


@dataclasses.dataclass(slots=True, frozen=True)
class Reset:
    """The sender had declared the receiver dead and discarded its state.

    The receiver drops the sender's handles of eras before ``era`` and resubmits
    what it had submitted to the sender.
    """

    era: int


@dataclasses.dataclass(slots=True, frozen=True)
class Charge:
    """A request to admit a call, sent to the host that owns an account's quota.

    ``adopt``: the call has already been admitted.
    """

    handle: int
    account: str
    work: float
    work_per_s: float
    burst_s: float
    max_concurrent: int
    adopt: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Charged:
    """The reply to a charge."""

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
    """A full load report of an engine, ``age_s`` seconds old when sent."""

    state: EngineState
    age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLoad:
    """The frequently changing part of a load report, for hosts with the rest.

    ``incarnation``: checksum of the engine's incarnation.
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
    """A request for the full report of an engine of which only the load is known."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class EngineFailed:
    """An engine has taken no connection of the sender."""

    name: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class EngineLost:
    """An engine is unreachable or no longer in the host list."""

    name: str
    incarnation: str


Reliable = Withdraw | Finished | Held | Reset | Charge | Settle


@dataclasses.dataclass(slots=True, frozen=True)
class Numbered:
    """A message that is resent until its number is acknowledged."""

    number: int
    body: Reliable


@dataclasses.dataclass(slots=True, frozen=True)
class EngineUses:
    """The load of requests on engines, replacing the earlier one of its source.

    ``source``: a host, or a data centre for the sum of its hosts; ``keys``:
    checksums of engines and their incarnations; ``running``, ``heads``, ``held``
    and ``unread``: per engine, its requests, those whose pipeline starts there, the
    token-layers that they occupy, and thousands of token-layers of prompts that it
    has yet to read.
    """

    source: str
    is_centre: bool
    keys: tuple[int, ...]
    running: tuple[int, ...]
    heads: tuple[int, ...]
    held: tuple[int, ...]
    unread: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class QueueCounts:
    """The streams that a host has queued and started, replacing its earlier message.

    ``sequence``: number of the message; ``waiting``, ``waiting_work``: queued streams
    and their tokens, by rank; ``started_work``, ``starts``: tokens by rank, and
    number, of the streams started in the last 2 s; ``accounts``: accounts with the
    most tokens started in the last 10 s, and these tokens.
    """

    sequence: int
    waiting: tuple[int, ...]
    waiting_work: tuple[int, ...]
    started_work: tuple[int, ...]
    starts: int
    accounts: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Ack:
    """An acknowledgement of numbered messages."""

    numbers: tuple[int, ...]


Message = t.Union[  # noqa: UP007 - the codec's registry needs a named union
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
    QueueCounts,
    ReportRequest,
    EngineLost,
    EngineFailed,
    CrashSuspects,
    Numbered,
    Ack,
]
