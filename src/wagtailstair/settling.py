"""Completion of claims after their calls have returned.

A claim is settled when the result of its call is written to its row.
"""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import heapq
import itertools
import threading
import typing as t

from .core.claim_steps import Answer
from .core.claim_steps import Command
from .core.claim_steps import Conflict
from .core.claim_steps import Deliver
from .core.claim_steps import Delivered
from .core.claim_steps import Event
from .core.claim_steps import Finish
from .core.claim_steps import Insert
from .core.claim_steps import Read
from .core.claim_steps import Release
from .core.claim_steps import ReplyLost
from .core.claim_steps import Settle
from .core.claim_steps import Unavailable
from .core.claim_steps import Wait
from .core.claim_steps import WaitElapsed
from .core.claim_steps import Written
from .core.claims import Claim
from .exceptions import PlatformConflictError
from .exceptions import PlatformUnavailableError

MAX_READ_ROWS = 100  # in one request
MAX_WAIT_S = 1.0  # between two checks for due events

WriteFuture = concurrent.futures.Future[int]


@dataclasses.dataclass(slots=True)
class Task:
    """A claim, its row key and the function that sends its call."""

    claim: Claim
    key: str
    send: collections.abc.Callable[[], Answer] | None = None
    cause: BaseException | None = None


class Driver(t.Protocol):
    """Executes the commands of claims."""

    def submit(self, task: Task, command: Insert | Settle | Release) -> WriteFuture:
        """Queue the write of a claim's row."""
        ...

    def execute(self, task: Task, command: Command) -> Event:
        """Execute a command and wait for the event that answers it."""
        ...

    def read_rows(self, tasks: collections.abc.Sequence[Task]) -> list[Event]:
        """Read the rows of several claims in one request."""
        ...

    def jitter(self, delay_s: float) -> float:
        """Return a random delay of at most ``delay_s``."""
        ...

    def monotonic(self) -> float:
        """Return the clock's monotonic time."""
        ...


def make_write_event(future: WriteFuture) -> Event:
    """Return the event for a write that has ended."""
    error = future.exception()
    if error is None:
        return Written(future.result())
    if isinstance(error, PlatformConflictError):
        return Conflict()
    if isinstance(error, PlatformUnavailableError):
        return Unavailable()
    return ReplyLost()


class Settler:
    """Completes claims in a thread, until their writes are confirmed."""

    def __init__(self, driver: Driver) -> None:
        self._driver = driver
        self._events: list[tuple[float, int, Task, Event]] = []
        self._commands: list[tuple[Task, Command]] = []
        self._count = 0
        # Orders events that are due at the same time.
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="settler", daemon=True)
        self._thread.start()

    @property
    def count(self) -> int:
        """Return the number of claims that are not finished."""
        return self._count

    def add(self, task: Task, command: Command) -> None:
        """Take over a claim, starting with its next command."""
        with self._changed:
            self._count += 1
        self._start_command(task, command)

    def add_write(self, task: Task, future: WriteFuture) -> None:
        """Take over a claim whose write is queued or in progress."""
        with self._changed:
            self._count += 1
        self._watch_write(task, future)

    def close(self, timeout: float) -> int:
        """Wait for the claims, then stop; return the number not finished."""
        with self._changed:
            self._changed.wait_for(lambda: self._count == 0, timeout)
            self._is_closing = True
            self._changed.notify_all()
        self._thread.join()
        return self._count

    def _start_command(self, task: Task, command: Command) -> None:
        if isinstance(command, Finish):
            self._record_finished()
        elif isinstance(command, Settle | Release):
            self._watch_write(task, self._driver.submit(task, command))
        elif isinstance(command, Wait):
            self._schedule(task, WaitElapsed(), self._driver.jitter(command.delay_s))
        elif isinstance(command, Deliver):
            self._schedule(task, Delivered(), 0.0)
        else:
            with self._changed:
                self._commands.append((task, command))
                self._changed.notify_all()

    def _record_finished(self) -> None:
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def _watch_write(self, task: Task, future: WriteFuture) -> None:
        future.add_done_callback(functools.partial(self._handle_written, task))

    def _handle_written(self, task: Task, future: WriteFuture) -> None:
        self._schedule(task, make_write_event(future), 0.0)

    def _schedule(self, task: Task, event: Event, delay_s: float) -> None:
        due = self._driver.monotonic() + delay_s
        with self._changed:
            heapq.heappush(self._events, (due, next(self._sequence), task, event))
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                self._wait_for_work()
                if self._is_closing:
                    return
                events = self._pop_due()
                commands = self._commands
                self._commands = []
            for task, event in events:
                self._step(task, event)
            self._execute(commands)

    def _wait_for_work(self) -> None:
        if self._is_closing or self._commands:
            return
        wait_s = MAX_WAIT_S
        if self._events:
            wait_s = min(wait_s, self._events[0][0] - self._driver.monotonic())
        if wait_s > 0:
            self._changed.wait(wait_s)

    def _pop_due(self) -> list[tuple[Task, Event]]:
        now = self._driver.monotonic()
        due: list[tuple[Task, Event]] = []
        while self._events and self._events[0][0] <= now:
            _, _, task, event = heapq.heappop(self._events)
            due.append((task, event))
        return due

    def _step(self, task: Task, event: Event) -> None:
        self._start_command(task, task.claim.step(event, self._driver.monotonic()))

    def _execute(self, commands: list[tuple[Task, Command]]) -> None:
        readers: list[Task] = []
        for task, command in commands:
            if isinstance(command, Read):
                readers.append(task)
                continue
            self._step(task, self._driver.execute(task, command))
        for start in range(0, len(readers), MAX_READ_ROWS):
            batch = readers[start : start + MAX_READ_ROWS]
            for task, event in zip(batch, self._driver.read_rows(batch), strict=True):
                self._step(task, event)
