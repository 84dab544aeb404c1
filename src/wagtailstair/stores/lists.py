"""Reads, incremental updates and edits of the lists in the platform's table."""

import collections.abc
import dataclasses
import random
import time
import typing as t

from ..clock import Clock
from ..core.changes import AUDIT
from ..core.changes import CHANGES
from ..core.changes import Change
from ..core.changes import Edit
from ..core.changes import Head
from ..core.changes import accept_edit
from ..core.changes import apply_changes
from ..core.changes import audit_key_of
from ..core.changes import deletes_plan
from ..core.changes import find_conflict
from ..core.changes import keys_to_read
from ..core.changes import make_transaction
from ..core.changes import parse_change
from ..core.changes import parse_version
from ..core.differences import edit_conflict
from ..core.lists import HEAD_KEY
from ..core.lists import Lists
from ..core.plans import ACCOUNTS
from ..core.plans import PLANS
from ..core.rows import Row
from ..core.rows import RowKey
from ..exceptions import ListsError
from ..exceptions import PlatformConflictError
from ..exceptions import PlatformError
from ..exceptions import PlatformUnavailableError
from ..exceptions import PlatformUnknownError
from .table import Table

MAX_APPLIED_CHANGES = 500  # a larger version difference is read as a snapshot
SNAPSHOT_ATTEMPTS = 5
AUDIT_BATCH_ROWS = 100
MAX_SEARCHED_VERSIONS = 1000  # in a search for the last change of a row


@dataclasses.dataclass(slots=True, frozen=True)
class RetryPolicy:
    """Number of attempts of an edit, and the backoff with full jitter between them.

    ``pause``: sleeps for a number of seconds; ``uniform``: returns a random
    number from ``[0, 1)``.
    """

    attempts: int = 10
    backoff_s: float = 0.05
    max_backoff_s: float = 2.0
    pause: t.Callable[[float], None] = time.sleep
    uniform: t.Callable[[], float] = random.random

    def wait(self, attempt: int) -> None:
        """Wait before an attempt; the first attempt is number 0."""
        if attempt == 0:
            return
        max_wait_s = min(self.backoff_s * 2.0**attempt, self.max_backoff_s)
        self.pause(max_wait_s * self.uniform())


def read_head(table: Table) -> Head:
    """Return the current version of the lists.

    :raises PlatformUnavailableError: if the version can't be read.
    """
    (row,) = table.read([HEAD_KEY])
    return Head(parse_version(row), row.version)


def read_changes(table: Table, first: int, last: int) -> list[Change]:
    """Return the audit records of the versions ``first`` to ``last``, inclusive.

    :raises ListsError: if a record is missing.
    :raises PlatformUnavailableError: if the records can't be read.
    """
    changes: list[Change] = []
    for start in range(first, last + 1, AUDIT_BATCH_ROWS):
        stop = min(start + AUDIT_BATCH_ROWS, last + 1)
        keys = [(AUDIT, audit_key_of(version)) for version in range(start, stop)]
        changes.extend(parse_change(row) for row in table.read(keys))
    return changes


def read_snapshot(table: Table) -> Lists:
    """Return both lists at one version.

    Edits that take effect during the scan are applied to the rows it returned.

    :raises ListsError: if a row can't be parsed.
    :raises PlatformUnavailableError: if the rows can't be read.
    """
    for _ in range(SNAPSHOT_ATTEMPTS):
        before = read_head(table).version
        rows = [*table.scan(PLANS), *table.scan(ACCOUNTS)]
        after = read_head(table).version
        if after - before > MAX_APPLIED_CHANGES:
            continue
        changes = read_changes(table, before + 1, after)
        return apply_changes(Lists().with_rows(before, rows), changes)
    raise PlatformUnavailableError(
        "too many edits during each attempt to read the lists"
    )


def read_since(table: Table, lists: Lists) -> Lists:
    """Return the current lists, given older ones; their version never decreases.

    :raises ListsError: if a row can't be parsed.
    :raises PlatformUnavailableError: if the rows can't be read.
    """
    head = read_head(table)
    if head.version <= lists.version:
        return lists
    if head.version - lists.version <= MAX_APPLIED_CHANGES:
        try:
            changes = read_changes(table, lists.version + 1, head.version)
            return apply_changes(lists, changes)
        except ListsError:
            # Old audit records may have been removed.
            pass
    return read_snapshot(table)


def read_accepted(table: Table, change_id: str, digest: str) -> Change | None:
    """Return the change made by an edit, or ``None`` if it was not accepted yet.

    :raises ListsError: if the change id belongs to another edit.
    :raises PlatformUnavailableError: if the change can't be read.
    """
    (row,) = table.read([(CHANGES, change_id)])
    if row.value is None:
        return None
    version = parse_version(row)
    (change,) = read_changes(table, version, version)
    if change.digest != digest:
        raise ListsError(
            f"was used for another edit, which made version {version}",
            where=f"change id {change_id}",
        )
    return change


def find_change(table: Table, key: RowKey, version: int) -> Change | None:
    """Return the last change of a row up to ``version``, or ``None`` if not found."""
    lowest = max(1, version - MAX_SEARCHED_VERSIONS + 1)
    for last in range(version, lowest - 1, -AUDIT_BATCH_ROWS):
        first = max(lowest, last - AUDIT_BATCH_ROWS + 1)
        try:
            changes = read_changes(table, first, last)
        except ListsError:
            # Old audit records may have been removed.
            return None
        for change in reversed(changes):
            if any(row.row_key == key for row in change.rows):
                return change
    return None


def _read_for_edit(table: Table, edit: Edit) -> Lists:
    rows: list[Row] = table.read(keys_to_read(edit))
    if deletes_plan(edit):
        rows = [*table.scan(ACCOUNTS), *rows]
    try:
        return Lists().with_rows(0, rows)
    except ListsError as error:
        raise PlatformError(f"a row is damaged: {error}") from error


def _raise_if_unchanged(table: Table, head: Head, error: ListsError) -> t.NoReturn:
    # The rows were not read at one version, so the error is only valid if no
    # other edit took effect meanwhile.
    if read_head(table) != head:
        raise PlatformConflictError("the lists were edited while they were read")
    raise error


def _attempt(table: Table, edit: Edit, clock: Clock) -> Change:
    head = read_head(table)
    lists = _read_for_edit(table, edit)
    # This is read after the rows: an earlier attempt of the same edit that took
    # effect must not be reported as a conflict with another edit.
    accepted = read_accepted(table, edit.change_id, edit.digest)
    if accepted is not None:
        return accepted
    key = find_conflict(edit, lists)
    if key is not None:
        change = find_change(table, key, head.version)
        _raise_if_unchanged(table, head, edit_conflict(key, change))
    at = clock.utcnow().isoformat(timespec="milliseconds")
    try:
        change = accept_edit(edit, lists, head, at)
    except ListsError as error:
        _raise_if_unchanged(table, head, error)
    transaction = make_transaction(edit, change, head)
    table.transact(transaction.conditions, transaction.writes)
    return change


def commit_edit(
    table: Table,
    edit: Edit,
    clock: Clock,
    retry: RetryPolicy = RetryPolicy(),
) -> Change:
    """Commit an edit exactly once; calls with the same change id are idempotent.

    Each attempt is conditional on the head's version. Once the head has changed,
    an earlier attempt whose reply was lost can no longer take effect, so a
    conflict or an invalid edit is final even after such an attempt.

    :raises EditConflictError: another edit changed a row first.
    :raises ListsError: the lists would be invalid, or the change id belongs to
        another edit.
    :raises PlatformUnavailableError: nothing took effect.
    :raises PlatformConflictError: nothing took effect, as every attempt
        conflicted with another edit.
    :raises PlatformUnknownError: the edit may have taken effect or may still do so.
    """
    last_unknown: PlatformUnknownError | None = None
    last = PlatformError("no attempt was made")
    for attempt in range(retry.attempts):
        retry.wait(attempt)
        try:
            return _attempt(table, edit, clock)
        except PlatformUnknownError as error:
            last = last_unknown = error
        except (PlatformUnavailableError, PlatformConflictError) as error:
            last = error
        except PlatformError as error:
            last = error
            break
    if last_unknown is None:
        raise last
    raise PlatformUnknownError(
        f"the outcome of change {edit.change_id} is not known;"
        " run it again with the same change id"
    ) from last_unknown


def seen_version(lists: Lists, key: RowKey) -> int:
    """Return the version of a row in a snapshot, 0 if the row is absent.

    :raises EditConflictError: the row changed while the snapshot was read.
    """
    version = lists.row_versions.get(key)
    if version is not None:
        return version
    if lists.value_of(key) is None:
        return 0
    raise edit_conflict(key, None)


def read_rows(table: Table, keys: collections.abc.Sequence[RowKey]) -> Lists:
    """Return lists with only the given rows and their versions, at version 0.

    :raises ListsError: if a row can't be parsed.
    :raises PlatformUnavailableError: if the rows can't be read.
    """
    return Lists().with_rows(0, table.read(keys))
