"""Records that an entry host and the dispatcher of a pool exchange."""

import dataclasses
import enum

from .engine import Priority
from .engine import Route


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """A request that waits for a route.

    ``work``: expected cost in work units; ``deadline``: time on the local
    monotonic clock, in messages seconds from the time of sending; ``entitled``:
    within the account's limits; ``prefixes``: hashes of the prompt's prefix
    blocks, shortest first; ``avoid``: engines that the route must not contain.
    """

    request: str
    epoch: int
    host: str
    account: str
    priority: Priority
    weight: float
    work: float
    prompt_tokens: int
    max_tokens: int
    deadline: float
    entitled: bool = True
    adapter: str = ""
    prefixes: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Permission to run one epoch of a request along a route."""

    request: str
    epoch: int
    host: str
    route: Route


class RefusalReason(enum.Enum):
    """Why a pool refuses a request."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ROUTE = "no_route"


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Refusal of a request, which has not run."""

    request: str
    epoch: int
    host: str
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class HeldGrant:
    """A grant in use, reported to a dispatcher that has just taken over."""

    route_request: RouteRequest
    route: Route
    tokens_done: int


@dataclasses.dataclass(slots=True, frozen=True)
class GrantOutcome:
    """The end of a grant, with its actual cost.

    ``failed``: engines whose failure the entry host observed.
    """

    request: str
    epoch: int
    host: str
    prompt_tokens: int
    output_tokens: int
    failed: frozenset[str] = frozenset()
