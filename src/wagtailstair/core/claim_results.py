"""Last phase of a claim: write the result or release the row, and deliver once."""

import dataclasses
import enum

from .claim_steps import Answer
from .claim_steps import ClaimRow
from .claim_steps import ClaimState
from .claim_steps import Command
from .claim_steps import Conflict
from .claim_steps import Deliver
from .claim_steps import Event
from .claim_steps import Failure
from .claim_steps import Finish
from .claim_steps import Read
from .claim_steps import Release
from .claim_steps import ReplyLost
from .claim_steps import RowRead
from .claim_steps import Settle
from .claim_steps import Store
from .claim_steps import Stored
from .claim_steps import Unavailable
from .claim_steps import Wait
from .claim_steps import WaitElapsed
from .claim_steps import Written


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimLimits:
    """Limits on the steps of a claim; ``*_s`` in seconds.

    ``send_window_s``: time from the start of the claim within which the call may
    be sent; ``confirm_s``: time that delivery waits for the write of the result;
    ``cleanup_reads``: reads that look for the row of an insert whose reply was
    lost; ``inline_body_bytes``: largest body that is stored in the row itself;
    ``retention_s``: age at which a row may be swept.
    """

    inserts: int = 3
    send_window_s: float = 30.0
    confirm_s: float = 1.0
    confirm_attempts: int = 200
    cleanup_reads: int = 3
    backoff_s: float = 0.05
    max_backoff_s: float = 2.0
    inline_body_bytes: int = 16 << 10
    retention_s: float = 7 * 86400.0


class Phase(enum.Enum):
    """The phase of a claim, named after the command whose event is due."""

    NEW = "new"
    INSERTING = "inserting"
    READING = "reading"
    WAITING = "waiting"
    FETCHING = "fetching"
    SENDING = "sending"
    STORING = "storing"
    CONFIRMING = "confirming"
    CONFIRM_READING = "confirm_reading"
    CONFIRM_WAITING = "confirm_waiting"
    CLEANUP_READING = "cleanup_reading"
    CLEANUP_WAITING = "cleanup_waiting"
    DELIVERING = "delivering"
    DONE = "done"


class ClaimResult:
    """The part of a claim that writes its result or releases it, and delivers it.

    :param row: the row to claim with; its claimant is unique to this call.
    """

    __slots__ = (
        "_cleanup_reads",
        "_confirm_attempts",
        "_confirm_until",
        "_delay_s",
        "_insert_lost",
        "_next_step",
        "_pending",
        "_version",
        "is_delivered",
        "limits",
        "phase",
        "result",
        "row",
    )

    def __init__(self, row: ClaimRow, limits: ClaimLimits) -> None:
        self.row = row
        self.limits = limits
        self.phase = Phase.NEW
        self.result: Answer | Failure | None = None
        self.is_delivered = False
        self._insert_lost = False
        self._version = 0
        self._delay_s = limits.backoff_s
        self._pending: Command = Finish()
        self._next_step: tuple[Phase, Command] = (Phase.DONE, Finish())
        self._confirm_until = 0.0
        self._confirm_attempts = 0
        self._cleanup_reads = 0

    def _wait(self, phase: Phase) -> Command:
        self.phase = phase
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, self.limits.max_backoff_s)
        return Wait(delay_s)

    # Write the result or the release until it is confirmed.

    def _confirm(self, command: Settle | Release, now: float) -> Command:
        self._pending = command
        self._confirm_until = now + self.limits.confirm_s
        self._delay_s = self.limits.backoff_s
        return self._continue_or_deliver(Phase.CONFIRMING, command, now)

    def _continue_or_deliver(
        self, phase: Phase, command: Command, now: float
    ) -> Command:
        if self._confirm_attempts >= self.limits.confirm_attempts:
            return self._finish_confirmed()
        if not self.is_delivered and now >= self._confirm_until:
            return self._deliver(phase, command)
        self.phase = phase
        return command

    def _retry(self, now: float) -> Command:
        self._confirm_attempts += 1
        wait = self._wait(Phase.CONFIRM_WAITING)
        return self._continue_or_deliver(Phase.CONFIRM_WAITING, wait, now)

    def _on_storing(self, event: Event, now: float) -> Command:
        if isinstance(event, Stored):
            return self._continue_or_deliver(Phase.CONFIRMING, self._pending, now)
        if not isinstance(event, Unavailable):
            raise unexpected(self, event)
        return self._retry(now)

    def _on_confirming(self, event: Event, now: float) -> Command:
        if isinstance(event, Written):
            return self._finish_confirmed()
        if isinstance(event, Unavailable):
            return self._retry(now)
        if isinstance(event, Conflict | ReplyLost):
            return self._continue_or_deliver(Phase.CONFIRM_READING, Read(), now)
        raise unexpected(self, event)

    def _on_confirm_waiting(self, event: Event, now: float) -> Command:
        if isinstance(event, WaitElapsed):
            return self._continue_or_deliver(Phase.CONFIRM_READING, Read(), now)
        raise unexpected(self, event)

    def _on_confirm_reading(self, event: Event, now: float) -> Command:
        if isinstance(event, Unavailable):
            return self._retry(now)
        if not isinstance(event, RowRead):
            raise unexpected(self, event)
        if not self._is_unsettled(event.row):
            return self._finish_confirmed()
        self._version = event.version
        self._confirm_attempts += 1
        return self._retry_write(now)

    def _is_unsettled(self, row: ClaimRow | None) -> bool:
        if row is None or row.claimant != self.row.claimant:
            return False
        return row.state is ClaimState.CLAIMED

    def _retry_write(self, now: float) -> Command:
        pending = self._pending
        if isinstance(pending, Release):
            self._pending = Release(self._version)
            return self._continue_or_deliver(Phase.CONFIRMING, self._pending, now)
        if not isinstance(pending, Settle):
            raise TypeError(f"expected a Settle or a Release, got {pending}")
        self._pending = Settle(self._version, pending.row)
        answer = self.result
        if pending.row.object_name and isinstance(answer, Answer):
            # Storing the same object again is idempotent.
            store = Store(pending.row.object_name, answer.body)
            return self._continue_or_deliver(Phase.STORING, store, now)
        return self._continue_or_deliver(Phase.CONFIRMING, self._pending, now)

    def _finish_confirmed(self) -> Command:
        if isinstance(self._pending, Release) and self._insert_lost:
            return self._deliver(Phase.CLEANUP_READING, Read())
        return self._deliver(Phase.DONE, Finish())

    # After an insert whose reply was lost: delete the row if it appears late.

    def _on_cleanup_waiting(self, event: Event, now: float) -> Command:
        if not isinstance(event, WaitElapsed):
            raise unexpected(self, event)
        self.phase = Phase.CLEANUP_READING
        return Read()

    def _on_cleanup_reading(self, event: Event, now: float) -> Command:
        if isinstance(event, RowRead) and self._is_unsettled(event.row):
            self._insert_lost = False
            self._pending = Release(event.version)
            self.phase = Phase.CONFIRMING
            return self._pending
        self._cleanup_reads += 1
        if self._cleanup_reads >= self.limits.cleanup_reads:
            return self._deliver(Phase.DONE, Finish())
        return self._wait(Phase.CLEANUP_WAITING)

    # Deliver the result to the caller once.

    def _deliver(self, phase: Phase, command: Command) -> Command:
        if self.is_delivered:
            self.phase = phase
            return command
        if self.result is None:
            raise ValueError("expected a result to deliver, got none")
        self._next_step = (phase, command)
        self.phase = Phase.DELIVERING
        return Deliver(self.result)

    def _on_delivering(self, event: Event, now: float) -> Command:
        self.is_delivered = True
        self.phase, command = self._next_step
        return command


def unexpected(claim: ClaimResult, event: Event) -> ValueError:
    """Return the error for an event that does not answer the last command."""
    return ValueError(
        f"unexpected event {type(event).__name__} while {claim.phase.value}"
    )
