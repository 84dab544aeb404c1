"""The state machine of one call with an idempotency key.

Each table access and each send is a command whose reply is the next event, so
tests can replay any interleaving of claims and failures.
"""

import collections.abc
import dataclasses
import hashlib
import urllib.parse

from ..exceptions import Outcome
from .claim_results import ClaimLimits as ClaimLimits
from .claim_results import ClaimResult
from .claim_results import Phase
from .claim_results import unexpected
from .claim_steps import Answer
from .claim_steps import Answered
from .claim_steps import ClaimRow
from .claim_steps import ClaimState
from .claim_steps import Command
from .claim_steps import Conflict
from .claim_steps import Event
from .claim_steps import Failure
from .claim_steps import FailureReason
from .claim_steps import Fetch
from .claim_steps import Fetched
from .claim_steps import Finish
from .claim_steps import Insert
from .claim_steps import NotRun
from .claim_steps import Read
from .claim_steps import Release
from .claim_steps import ReplyLost
from .claim_steps import RowRead
from .claim_steps import Send
from .claim_steps import Settle
from .claim_steps import Store
from .claim_steps import Unavailable
from .claim_steps import WaitElapsed
from .claim_steps import Written

HASH_BYTES = 32


def make_claim_key(account: str, service: str, key: str) -> str:
    """Return the row key of a claim, unique to its account, service and key."""
    parts = (account, service, key)
    return "/".join(urllib.parse.quote(part, safe="") for part in parts)


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return a hash that distinguishes two requests with the same key."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for part in (method.encode(), path.encode(), body):
        # The length prefix keeps ("a", "bc") and ("ab", "c") distinct.
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.hexdigest()


class Claim(ClaimResult):
    """One call under an idempotency key, from its claim to its settled result.

    :param row: the row to claim with; its claimant is unique to this call.
    :param deadline: monotonic time after which the caller no longer waits.
    """

    __slots__ = (
        "_contended",
        "_inserts",
        "_replay",
        "_send_until",
        "deadline",
    )

    def __init__(self, row: ClaimRow, deadline: float, limits: ClaimLimits) -> None:
        super().__init__(row, limits)
        self.deadline = deadline
        self._inserts = 0
        self._contended = False
        self._send_until = 0.0
        self._replay: ClaimRow | None = None

    def start(self, now: float) -> Command:
        """Return the first command."""
        self._send_until = now + self.limits.send_window_s
        if now >= self.deadline:
            return self._fail(FailureReason.DEADLINE, Outcome.NOT_RUN)
        return self._insert()

    def step(self, event: Event, now: float) -> Command:
        """Apply the event that answers the last command; return the next command.

        :raises ValueError: if the event does not answer the last command.
        """
        return _HANDLER_BY_PHASE[self.phase](self, event, now)

    # Before the call is sent.

    def _insert(self) -> Command:
        self._inserts += 1
        self.phase = Phase.INSERTING
        return Insert(self.row)

    def _read(self) -> Command:
        self.phase = Phase.READING
        return Read()

    def _fail(self, reason: FailureReason, outcome: Outcome) -> Command:
        self.result = Failure(reason, outcome)
        if self._insert_lost:
            # The insert may still take effect: check for its row afterwards.
            return self._deliver(Phase.CLEANUP_READING, Read())
        return self._deliver(Phase.DONE, Finish())

    def _fail_unsent(self, reason: FailureReason) -> Command:
        # If a row of another call was seen, that call may have run.
        outcome = Outcome.UNKNOWN if self._contended else Outcome.NOT_RUN
        return self._fail(reason, outcome)

    def _on_inserting(self, event: Event, now: float) -> Command:
        if isinstance(event, Written):
            return self._send(event.version, now)
        if isinstance(event, Conflict):
            self._contended = True
            return self._read()
        if isinstance(event, ReplyLost):
            self._insert_lost = True
            return self._read()
        if isinstance(event, Unavailable):
            return self._fail_unsent(FailureReason.PLATFORM_AWAY)
        raise unexpected(self, event)

    def _on_reading(self, event: Event, now: float) -> Command:
        if isinstance(event, Unavailable):
            if self._contended and now < self.deadline:
                return self._wait(Phase.WAITING)
            return self._fail_unsent(FailureReason.PLATFORM_AWAY)
        if not isinstance(event, RowRead):
            raise unexpected(self, event)
        if event.row is None:
            return self._handle_absent_row(now)
        if event.row.claimant == self.row.claimant:
            return self._send(event.version, now)
        self._contended = True
        return self._handle_other_claim(event.row, event.is_claimant_dead, now)

    def _handle_absent_row(self, now: float) -> Command:
        self._contended = False
        if now >= self.deadline:
            return self._fail_unsent(FailureReason.DEADLINE)
        if self._inserts >= self.limits.inserts:
            return self._fail_unsent(FailureReason.PLATFORM_AWAY)
        return self._insert()

    def _handle_other_claim(self, row: ClaimRow, is_dead: bool, now: float) -> Command:
        if row.request_hash != self.row.request_hash:
            return self._fail(FailureReason.KEY_REUSED, Outcome.NOT_RUN)
        if row.state is ClaimState.ANSWERED and row.answer is not None:
            return self._replay_answer(row)
        if row.state is not ClaimState.CLAIMED or is_dead:
            return self._fail(FailureReason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        if now >= self.deadline:
            return self._fail(FailureReason.IN_PROGRESS, Outcome.UNKNOWN)
        return self._wait(Phase.WAITING)

    def _on_waiting(self, event: Event, now: float) -> Command:
        if isinstance(event, WaitElapsed):
            return self._read()
        raise unexpected(self, event)

    def _replay_answer(self, row: ClaimRow) -> Command:
        self._replay = row
        if row.object_name:
            self.phase = Phase.FETCHING
            return Fetch(row.object_name)
        self.result = row.answer
        return self._deliver(Phase.DONE, Finish())

    def _on_fetching(self, event: Event, now: float) -> Command:
        if isinstance(event, Unavailable):
            if now >= self.deadline:
                return self._fail(FailureReason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
            return self._wait(Phase.WAITING)
        if not isinstance(event, Fetched) or self._replay is None:
            raise unexpected(self, event)
        answer = self._replay.answer
        if answer is None:
            raise unexpected(self, event)
        self.result = dataclasses.replace(answer, body=event.body)
        return self._deliver(Phase.DONE, Finish())

    # Sending the call.

    def _send(self, version: int, now: float) -> Command:
        self._version = version
        self._contended = False
        if now >= min(self._send_until, self.deadline):
            return self._release(FailureReason.DEADLINE, now)
        self.phase = Phase.SENDING
        return Send(min(self._send_until, self.deadline))

    def _on_sending(self, event: Event, now: float) -> Command:
        if isinstance(event, NotRun):
            return self._release(FailureReason.UPSTREAM_NOT_RUN, now)
        if isinstance(event, Answered):
            return self._settle_answer(event.answer, now)
        # The call may have been sent: its outcome is unknown.
        self.result = Failure(FailureReason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        row = dataclasses.replace(self.row, state=ClaimState.UNKNOWN)
        return self._confirm(Settle(self._version, row), now)

    def _settle_answer(self, answer: Answer, now: float) -> Command:
        self.result = answer
        if len(answer.body) <= self.limits.inline_body_bytes:
            row = dataclasses.replace(
                self.row, state=ClaimState.ANSWERED, answer=answer
            )
            return self._confirm(Settle(self._version, row), now)
        name = f"claim-{self.row.claimant.attempt}"
        row = dataclasses.replace(
            self.row,
            state=ClaimState.ANSWERED,
            answer=dataclasses.replace(answer, body=b""),
            object_name=name,
        )
        self._pending = Settle(self._version, row)
        self._confirm_until = now + self.limits.confirm_s
        self.phase = Phase.STORING
        return Store(name, answer.body)

    def _release(self, reason: FailureReason, now: float) -> Command:
        self.result = Failure(reason, Outcome.NOT_RUN)
        return self._confirm(Release(self._version), now)

    def _reject_event(self, event: Event, now: float) -> Command:
        raise unexpected(self, event)


_Handler = collections.abc.Callable[[Claim, Event, float], Command]

_HANDLER_BY_PHASE: dict[Phase, _Handler] = {
    Phase.NEW: Claim._reject_event,
    Phase.INSERTING: Claim._on_inserting,
    Phase.READING: Claim._on_reading,
    Phase.WAITING: Claim._on_waiting,
    Phase.FETCHING: Claim._on_fetching,
    Phase.SENDING: Claim._on_sending,
    Phase.STORING: Claim._on_storing,
    Phase.CONFIRMING: Claim._on_confirming,
    Phase.CONFIRM_READING: Claim._on_confirm_reading,
    Phase.CONFIRM_WAITING: Claim._on_confirm_waiting,
    Phase.CLEANUP_READING: Claim._on_cleanup_reading,
    Phase.CLEANUP_WAITING: Claim._on_cleanup_waiting,
    Phase.DELIVERING: Claim._on_delivering,
    Phase.DONE: Claim._reject_event,
}
