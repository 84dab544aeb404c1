"""Commands that a claim gives to its adapter, and the events that answer them."""

import dataclasses
import enum

from ..exceptions import Outcome

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """What an upstream answered; kept and replayed as it is."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Claimant:
    """The one run of one process that made a claim."""

    host: str
    incarnation: str
    attempt: str


class ClaimState(enum.Enum):
    """How far a claim has come, as its row tells."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRow:
    """The row of a claim.

    ``claimed_at``: wall clock, seconds since the epoch; ``object_name``: where
    the body is when it is too large for the row.
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
    """The end of a call without an answer."""

    reason: FailureReason
    outcome: Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class Insert:
    """Write the row on condition that it is absent."""

    row: ClaimRow


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Read the row."""


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Let time pass."""

    delay_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Send the call, unless ``not_after`` has passed by then."""

    not_after: float


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """Put a large body into the object store."""

    name: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """Get a large body from the object store."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Settle:
    """Write the result on condition that the row is at ``version``."""

    version: int
    row: ClaimRow


@dataclasses.dataclass(slots=True, frozen=True)
class Release:
    """Delete the row on condition that it is at ``version``."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Deliver:
    """Give the result to the caller."""

    result: Answer | Failure


@dataclasses.dataclass(slots=True, frozen=True)
class Finish:
    """Nothing is left to do."""


Command = (
    Insert | Read | Wait | Send | Store | Fetch | Settle | Release | Deliver | Finish
)


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """A write took effect; ``version`` is that of the row, 0 after a delete."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """The condition of a write did not hold."""


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyLost:
    """A write may have taken effect, or may still do so."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """Nothing took effect, or nothing could be read."""


@dataclasses.dataclass(slots=True, frozen=True)
class RowRead:
    """The row as read; ``None`` if it is absent."""

    version: int
    row: ClaimRow | None
    is_claimant_dead: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class WaitElapsed:
    """The delay has passed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """The upstream answered."""

    answer: Answer


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """The call did not run: not sent, or refused."""


@dataclasses.dataclass(slots=True, frozen=True)
class CallLost:
    """The call was sent and its end is not known."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """The object is stored."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fetched:
    """The object as read."""

    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Delivered:
    """The caller has its result."""


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
