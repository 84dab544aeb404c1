"""Calls with an idempotency key: each runs at most once, on any host."""

import collections.abc
import concurrent.futures
import random
import threading
import typing as t
import uuid

from .clock import Clock
from .commits import GroupWriter
from .commits import TableService
from .core.claim_rows import TABLE
from .core.claim_rows import decode_claim
from .core.claim_rows import find_expired
from .core.claim_rows import make_write
from .core.claim_steps import Answer
from .core.claim_steps import Answered
from .core.claim_steps import CallLost
from .core.claim_steps import Claimant
from .core.claim_steps import ClaimRow
from .core.claim_steps import Command
from .core.claim_steps import Deliver
from .core.claim_steps import Delivered
from .core.claim_steps import Event
from .core.claim_steps import Failure
from .core.claim_steps import FailureReason
from .core.claim_steps import Fetch
from .core.claim_steps import Fetched
from .core.claim_steps import Finish
from .core.claim_steps import Insert
from .core.claim_steps import NotRun
from .core.claim_steps import Read
from .core.claim_steps import Release
from .core.claim_steps import RowRead
from .core.claim_steps import Send
from .core.claim_steps import Settle
from .core.claim_steps import Store
from .core.claim_steps import Stored
from .core.claim_steps import Unavailable
from .core.claim_steps import Wait
from .core.claim_steps import WaitElapsed
from .core.claims import Claim
from .core.claims import ClaimLimits
from .core.claims import make_claim_key
from .core.rows import Row
from .exceptions import CallInProgressError
from .exceptions import DeadlineExceededError
from .exceptions import KeyReusedError
from .exceptions import NotReadyError
from .exceptions import NoUpstreamError
from .exceptions import Outcome
from .exceptions import OutcomeUnknownError
from .exceptions import PlatformError
from .exceptions import RequestError
from .exceptions import UpstreamNotSentError
from .exceptions import UpstreamRefusedError
from .settling import Settler
from .settling import Task
from .settling import WriteFuture
from .settling import make_write_event

MAX_UNSETTLED_RESULTS = 1024
UNAVAILABLE_RETRY_S = 1.0  # sent to callers as the time to retry after

Sender = collections.abc.Callable[[], Answer]


class ObjectStore(t.Protocol):
    """The interface of the object store that claims use."""

    def put(self, name: str, data: bytes) -> None:
        """Store an object; raise :exc:`PlatformError` unless it is certainly stored."""
        ...

    def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none."""
        ...


def _never_dead(host: str, incarnation: str) -> bool:
    return False


_ERROR_BY_REASON: dict[FailureReason, tuple[type[RequestError], str]] = {
    FailureReason.PLATFORM_AWAY: (NotReadyError, "the platform's table is unavailable"),
    FailureReason.DEADLINE: (
        DeadlineExceededError,
        "the deadline has passed",
    ),
    FailureReason.KEY_REUSED: (
        KeyReusedError,
        "the idempotency key was used with another request",
    ),
    FailureReason.IN_PROGRESS: (
        CallInProgressError,
        "another call with this key has no result yet",
    ),
    FailureReason.OUTCOME_UNKNOWN: (
        OutcomeUnknownError,
        "the call was sent and its result is not known",
    ),
    FailureReason.UPSTREAM_NOT_RUN: (NoUpstreamError, "no upstream ran the call"),
}


def _make_error(failure: Failure, cause: BaseException | None) -> RequestError:
    if isinstance(cause, RequestError) and cause.outcome is failure.outcome:
        return cause
    kind, message = _ERROR_BY_REASON[failure.reason]
    if failure.outcome is Outcome.UNKNOWN and kind.outcome is Outcome.NOT_RUN:
        kind = OutcomeUnknownError
    retry_after_s = None
    if failure.reason is FailureReason.PLATFORM_AWAY:
        retry_after_s = UNAVAILABLE_RETRY_S
    error = kind(message, outcome=failure.outcome, retry_after_s=retry_after_s)
    error.__cause__ = cause
    return error


class Claims:
    """Runs the calls of one daemon that have an idempotency key.

    A claim is a table row, written before the call is sent. Settling a claim
    means to write the result of its call into that row.

    :param host: the daemon's name.
    :param incarnation: identifies this run of the daemon.
    :param is_dead: returns whether an incarnation of a host is known to be dead.
    :param max_unsettled: number of results not yet written at which new calls
        are refused.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        host: str,
        incarnation: str = "",
        *,
        limits: ClaimLimits | None = None,
        is_dead: collections.abc.Callable[[str, str], bool] = _never_dead,
        max_unsettled: int = MAX_UNSETTLED_RESULTS,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._host = host
        self._incarnation = incarnation or uuid.uuid4().hex
        self._limits = limits or ClaimLimits()
        self._is_dead = is_dead
        self._max_unsettled = max_unsettled
        self._random = random.Random()
        self._writer = GroupWriter(table, clock)
        self._settler = Settler(self)
        self._idle = threading.Condition()
        self._running = 0
        self._is_closing = False

    @property
    def send_window_s(self) -> float:
        """Return for how many seconds after its start a call may still be sent."""
        return self._limits.send_window_s

    @property
    def unsettled(self) -> int:
        """Return the number of results whose write is not yet confirmed."""
        return self._settler.count

    def run(
        self,
        account: str,
        service: str,
        key: str,
        request_hash: str,
        deadline: float,
        send: Sender,
    ) -> Answer:
        """Run a call at most once, or replay the answer of an earlier one.

        :param deadline: time on the monotonic clock.
        :param send: sends the call once. It raises :exc:`UpstreamNotSentError`,
            :exc:`UpstreamRefusedError` or a :exc:`RequestError` with the outcome
            ``not_run`` only if the call was not executed. After any other error
            the outcome is unknown.
        :raises RequestError: its ``outcome`` states whether the call was run.
        """
        with self._idle:
            if self._is_closing or self.unsettled >= self._max_unsettled:
                raise NotReadyError(
                    "calls with an idempotency key are not accepted now",
                    retry_after_s=UNAVAILABLE_RETRY_S,
                )
            self._running += 1
        try:
            return self._run(
                self._new_task(account, service, key, request_hash, deadline, send)
            )
        finally:
            with self._idle:
                self._running -= 1
                self._idle.notify_all()

    def sweep(self, rows: collections.abc.Iterable[Row]) -> int:
        """Delete the claims past their retention; return the number deleted.

        :param rows: rows of the claims' table.
        """
        now = self._clock.utcnow().timestamp()
        deletes = find_expired(rows, now, self._limits.retention_s)
        swept = 0
        for condition, write in deletes:
            future = self._writer.submit(condition, write)
            concurrent.futures.wait([future])
            swept += future.exception() is None
        return swept

    def close(self, timeout: float) -> int:
        """Write the pending results; return the number that could not be written.

        :param timeout: seconds to wait for running calls, and again for writes.
        """
        with self._idle:
            self._is_closing = True
            self._idle.wait_for(lambda: self._running == 0, timeout)
        unsettled = self._settler.close(timeout)
        self._writer.close()
        return unsettled

    def _new_task(
        self,
        account: str,
        service: str,
        key: str,
        request_hash: str,
        deadline: float,
        send: Sender,
    ) -> Task:
        claimant = Claimant(self._host, self._incarnation, uuid.uuid4().hex)
        row = ClaimRow(request_hash, claimant, self._clock.utcnow().timestamp())
        claim = Claim(row, deadline, self._limits)
        return Task(claim, make_claim_key(account, service, key), send)

    def _run(self, task: Task) -> Answer:
        claim = task.claim
        command = claim.start(self._clock.monotonic())
        while not isinstance(command, Deliver):
            if isinstance(command, Settle | Release):
                future = self.submit(task, command)
                if not self._wait_until_written(future):
                    claim.is_delivered = True
                    self._settler.add_write(task, future)
                    return self._get_answer(task)
                event = make_write_event(future)
            else:
                event = self.execute(task, command)
            command = claim.step(event, self._clock.monotonic())
        command = claim.step(Delivered(), self._clock.monotonic())
        if not isinstance(command, Finish):
            self._settler.add(task, command)
        return self._get_answer(task)

    def _wait_until_written(self, future: WriteFuture) -> bool:
        done, _ = concurrent.futures.wait([future], self._limits.confirm_s)
        return bool(done)

    def _get_answer(self, task: Task) -> Answer:
        result = task.claim.result
        if isinstance(result, Answer):
            return result
        if result is None:
            raise OutcomeUnknownError("the call ended without an answer or an error")
        raise _make_error(result, task.cause)

    # Execution of commands, for the calling thread and the settler.

    def submit(self, task: Task, command: Insert | Settle | Release) -> WriteFuture:
        """Queue the write of a claim's row."""
        condition, write = make_write(task.key, command)
        return self._writer.submit(condition, write)

    def execute(self, task: Task, command: Command) -> Event:
        """Execute a command and wait for the event that answers it."""
        return _EXECUTE_BY_COMMAND[type(command)](self, task, command)

    def _make_row_event(self, row: Row) -> RowRead:
        """Return the event for a row that was read."""
        if row.value is None:
            return RowRead(row.version, None)
        claim = decode_claim(row.value)
        claimant = claim.claimant
        is_dead = self._is_dead(claimant.host, claimant.incarnation)
        return RowRead(row.version, claim, is_dead)

    def jitter(self, delay_s: float) -> float:
        """Return a random delay between half of ``delay_s`` and ``delay_s``."""
        return delay_s * self._random.uniform(0.5, 1.0)

    def monotonic(self) -> float:
        """Return the clock's monotonic time."""
        return self._clock.monotonic()

    def read_rows(self, tasks: collections.abc.Sequence[Task]) -> list[Event]:
        """Read the rows of several claims in one request."""
        try:
            rows = self._table.read([(TABLE, task.key) for task in tasks])
        except PlatformError:
            return [Unavailable() for _ in tasks]
        return [self._make_row_event(row) for row in rows]

    def _execute_insert(self, task: Task, command: Insert) -> Event:
        future = self.submit(task, command)
        concurrent.futures.wait([future])
        return make_write_event(future)

    def _execute_read(self, task: Task, command: Read) -> Event:
        return self.read_rows([task])[0]

    def _execute_wait(self, task: Task, command: Wait) -> Event:
        threading.Event().wait(self.jitter(command.delay_s))
        return WaitElapsed()

    def _execute_send(self, task: Task, command: Send) -> Event:
        # Check the deadline again: the process may have paused since the claim.
        if task.send is None or self._clock.monotonic() >= command.not_after:
            return NotRun()
        try:
            answer = task.send()
        except (UpstreamNotSentError, UpstreamRefusedError) as error:
            task.cause = error
            return NotRun()
        except RequestError as error:
            task.cause = error
            return NotRun() if error.outcome is Outcome.NOT_RUN else CallLost()
        except Exception as error:
            task.cause = error
            return CallLost()
        return Answered(answer)

    def _execute_store(self, task: Task, command: Store) -> Event:
        try:
            self._objects.put(command.name, command.body)
        except PlatformError:
            return Unavailable()
        return Stored()

    def _execute_fetch(self, task: Task, command: Fetch) -> Event:
        try:
            body = self._objects.get(command.name)
        except PlatformError:
            return Unavailable()
        return Unavailable() if body is None else Fetched(body)


_EXECUTE_BY_COMMAND: dict[type, collections.abc.Callable[..., Event]] = {
    Insert: Claims._execute_insert,
    Read: Claims._execute_read,
    Wait: Claims._execute_wait,
    Send: Claims._execute_send,
    Store: Claims._execute_store,
    Fetch: Claims._execute_fetch,
}
