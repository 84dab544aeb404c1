"""Commands that a claim issues to its driver, and the events that answer them."""

import dataclasses
import enum

from ..exceptions import Outcome

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """An upstream's response, stored and replayed unchanged."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Claimant:
    """The attempt, and the process incarnation, that made a claim."""

    host: str
    incarnation: str
    attempt: str


class ClaimState(enum.Enum):
    """The state of a claim, as stored in its row."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRow:
    """The row of a claim.

    ``claimed_at``: wall clock, seconds since the epoch; ``object_name``: object
    that holds the body if it is too large for the row.
    """

    request_hash: str
    claimant: Claimant
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    answer: Answer | None = None
    object_name: str = ""


class FailureReason(enum.Enum):
    """Why a call ends without an answer."""

    PLATFORM_AWAY = "platform_away"
    DEADLINE = "deadline"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_NOT_RUN = "upstream_not_run"


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """The result of a call that ends without an answer."""

    reason: FailureReason
    outcome: Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class Insert:
    """Write the row if it does not exist."""

    row: ClaimRow


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Read the row."""


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Wait for ``delay_s`` seconds."""

    delay_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Send the call to an upstream, but not after ``not_after``."""

    not_after: float


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """Write a large body to the object store."""

    name: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """Read a large body from the object store."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Settle:
    """Write the result if the row is at ``version``."""

    version: int
    row: ClaimRow


@dataclasses.dataclass(slots=True, frozen=True)
class Release:
    """Delete the row if it is at ``version``."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Deliver:
    """Return the result to the caller."""

    result: Answer | Failure


@dataclasses.dataclass(slots=True, frozen=True)
class Finish:
    """End the claim; no command follows."""


Command = (
    Insert | Read | Wait | Send | Store | Fetch | Settle | Release | Deliver | Finish
)


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """A write took effect; ``version``: new version of the row, 0 if deleted."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """The condition of a write did not hold."""


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyLost:
    """The reply to a write was lost: it may have taken effect, or may still do so."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """The platform was unavailable: nothing was written or read."""


@dataclasses.dataclass(slots=True, frozen=True)
class RowRead:
    """The row as read; ``None`` if it is absent."""

    version: int
    row: ClaimRow | None
    is_claimant_dead: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class WaitElapsed:
    """The delay of a ``Wait`` has elapsed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """The upstream answered."""

    answer: Answer


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """The call did not run: not sent, or refused."""


@dataclasses.dataclass(slots=True, frozen=True)
class CallLost:
    """The call was sent, and its outcome is unknown."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """The object is stored."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fetched:
    """The body of the object as read."""

    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Delivered:
    """The caller has received its result."""


Event = (
    Written
    | Conflict
    | ReplyLost
    | Unavailable
    | RowRead
    | WaitElapsed
    | Answered
    | NotRun
    | CallLost
    | Stored
    | Fetched
    | Delivered
)
