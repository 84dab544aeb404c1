"""What an entry host and the dispatcher of a pool say to each other."""

import dataclasses
import enum

from .engine import Priority
from .engine import Route


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """A request that waits for a route.

    ``work``: expected cost in work units; ``deadline``: instant on the
    receiver's monotonic clock; ``prefixes``: hashes of the prompt's prefix
    blocks, shortest first; ``entitled``: within the account's limits.
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
    """Leave to run one epoch of a request along a route."""

    request: str
    epoch: int
    host: str
    route: Route


class RefusalReason(enum.Enum):
    """Why a pool gives no route."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ROUTE = "no_route"


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """No route for a request; it has not run."""

    request: str
    epoch: int
    host: str
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class HeldGrant:
    """A grant in use, told anew to a dispatcher that has just taken over."""

    want: RouteRequest
    route: Route
    tokens_done: int


@dataclasses.dataclass(slots=True, frozen=True)
class GrantOutcome:
    """The end of a grant, with what it really cost.

    ``failed``: engines that the entry host saw fail.
    """

    request: str
    epoch: int
    host: str
    prompt_tokens: int
    output_tokens: int
    failed: frozenset[str] = frozenset()
