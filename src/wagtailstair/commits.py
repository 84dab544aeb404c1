"""Group commit: conditional writes of single rows are batched in transactions."""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import threading
import typing as t

from .clock import Clock
from .core.rows import Condition
from .core.rows import Row
from .core.rows import RowKey
from .core.rows import Write
from .exceptions import PlatformConflictError
from .exceptions import PlatformError
from .exceptions import PlatformUnavailableError
from .exceptions import PlatformUnknownError

MAX_BATCH_ROWS = 64
MAX_QUEUE_ROWS = 4096
UNAVAILABLE_BACKOFF_S = 0.5


class TableService(t.Protocol):
    """The interface of the table service that the daemon uses.

    A failed call raises :exc:`PlatformUnavailableError` if nothing took effect
    and :exc:`PlatformUnknownError` if the request may have taken effect.
    """

    def transact(
        self,
        conditions: collections.abc.Sequence[Condition],
        writes: collections.abc.Sequence[Write],
    ) -> collections.abc.Sequence[int]:
        """Write all rows; raise :exc:`PlatformConflictError` if a condition fails."""
        ...

    def read(
        self, keys: collections.abc.Sequence[RowKey]
    ) -> collections.abc.Sequence[Row]:
        """Return the rows in the order of ``keys``, absent ones included."""
        ...


@dataclasses.dataclass(slots=True)
class _Operation:
    condition: Condition
    write: Write
    future: "concurrent.futures.Future[int]"

    @property
    def row(self) -> RowKey:
        return (self.condition.table, self.condition.key)


def _conflicting_rows(error: PlatformConflictError) -> frozenset[RowKey]:
    conflicts = getattr(error, "conflicts", None) or ()
    return frozenset((conflict.table, conflict.key) for conflict in conflicts)


class GroupWriter:
    """Writes queued operations in batches, one transaction each, in a thread.

    A conflict of one operation doesn't fail the others of its batch. Two
    operations on one row never share a batch: both conditions would hold, and
    the later write would overwrite the earlier one.

    :param unavailable_backoff_s: seconds for which writes are refused at once
        after the table was unavailable.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        *,
        max_batch: int = MAX_BATCH_ROWS,
        max_queue: int = MAX_QUEUE_ROWS,
        unavailable_backoff_s: float = UNAVAILABLE_BACKOFF_S,
    ) -> None:
        self._table = table
        self._clock = clock
        self._max_batch = max_batch
        self._max_queue = max_queue
        self._unavailable_backoff_s = unavailable_backoff_s
        self._refuse_until = float("-inf")
        self._queue: collections.deque[_Operation] = collections.deque()
        self._changed = threading.Condition()
        self._is_closing = False
        self._thread = threading.Thread(
            target=self._run, name="group-writer", daemon=True
        )
        self._thread.start()

    def submit(
        self, condition: Condition, write: Write
    ) -> "concurrent.futures.Future[int]":
        """Queue a write; return a future of the row's new version.

        The future fails with the errors of :class:`TableService`.
        """
        future: concurrent.futures.Future[int] = concurrent.futures.Future()
        with self._changed:
            reason = self._refusal_reason()
            if reason is not None:
                future.set_exception(PlatformUnavailableError(reason, where="table"))
                return future
            self._queue.append(_Operation(condition, write, future))
            self._changed.notify()
        return future

    def close(self) -> None:
        """Write the queued operations, then stop the thread."""
        with self._changed:
            self._is_closing = True
            self._changed.notify()
        self._thread.join()

    def _refusal_reason(self) -> str | None:
        if self._is_closing:
            return "the writer is closed"
        if self._clock.monotonic() < self._refuse_until:
            return "backing off, as the table was unavailable"
        if len(self._queue) >= self._max_queue:
            return "the write queue is full"
        return None

    def _run(self) -> None:
        while True:
            batch = self._take_batch()
            if not batch:
                return
            self._commit(batch)

    def _take_batch(self) -> list[_Operation]:
        with self._changed:
            while not self._queue and not self._is_closing:
                self._changed.wait()
            batch: list[_Operation] = []
            rows: set[RowKey] = set()
            postponed: list[_Operation] = []
            while self._queue and len(batch) < self._max_batch:
                operation = self._queue.popleft()
                if operation.row in rows:
                    postponed.append(operation)
                    continue
                rows.add(operation.row)
                batch.append(operation)
            self._queue.extendleft(reversed(postponed))
            return batch

    def _commit(self, batch: list[_Operation]) -> None:
        conditions = [operation.condition for operation in batch]
        writes = [operation.write for operation in batch]
        try:
            versions = self._table.transact(conditions, writes)
            pairs = list(zip(batch, versions, strict=True))
        except PlatformConflictError as error:
            self._retry_without_conflicts(batch, error)
        except PlatformUnavailableError as error:
            self._fail_all_queued(batch, error)
        except PlatformError as error:
            _fail_operations(batch, error)
        except Exception as error:
            # After an unexpected error, the write may have taken effect.
            unknown = PlatformUnknownError(str(error), where="table")
            unknown.__cause__ = error
            _fail_operations(batch, unknown)
        else:
            for operation, version in pairs:
                operation.future.set_result(version)

    def _retry_without_conflicts(
        self, batch: list[_Operation], error: PlatformConflictError
    ) -> None:
        if len(batch) == 1:
            _fail_operations(batch, error)
            return
        rows = _conflicting_rows(error)
        failed = [operation for operation in batch if operation.row in rows]
        remaining = [operation for operation in batch if operation.row not in rows]
        if failed:
            _fail_operations(failed, error)
            if remaining:
                self._commit(remaining)
            return
        for operation in remaining:
            self._commit([operation])

    def _fail_all_queued(
        self, batch: list[_Operation], error: PlatformUnavailableError
    ) -> None:
        with self._changed:
            self._refuse_until = self._clock.monotonic() + self._unavailable_backoff_s
            batch = [*batch, *self._queue]
            self._queue.clear()
        _fail_operations(batch, error)


def _fail_operations(operations: list[_Operation], error: PlatformError) -> None:
    for operation in operations:
        operation.future.set_exception(error)
