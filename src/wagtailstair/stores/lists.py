"""The lists in the platform's table: reading, following and editing them."""

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

MAX_APPLIED_CHANGES = 500
SNAPSHOT_ATTEMPTS = 5
AUDIT_BATCH = 100
MAX_AUTHOR_SEARCH = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class RetryPolicy:
    """How often an edit is tried, with full jitter between the attempts.

    ``pause`` waits some seconds; ``uniform`` draws from [0, 1).
    """

    attempts: int = 10
    backoff_s: float = 0.05
    max_backoff_s: float = 2.0
    pause: t.Callable[[float], None] = time.sleep
    uniform: t.Callable[[], float] = random.random

    def wait(self, attempt: int) -> None:
        """Wait before an attempt; the first one is number 0."""
        if attempt == 0:
            return
        longest_s = min(self.backoff_s * 2.0**attempt, self.max_backoff_s)
        self.pause(longest_s * self.uniform())


def read_head(table: Table) -> Head:
    """Return the present version of the lists.

    :raises PlatformUnavailableError: if it can't be read.
    """
    (row,) = table.read([HEAD_KEY])
    return Head(parse_version(row), row.version)


def read_changes(table: Table, first: int, last: int) -> list[Change]:
    """Return the audit records of the versions from first to last, both in.

    :raises ListsError: if one is missing.
    :raises PlatformUnavailableError: if they can't be read.
    """
    changes: list[Change] = []
    for start in range(first, last + 1, AUDIT_BATCH):
        stop = min(start + AUDIT_BATCH, last + 1)
        keys = [(AUDIT, audit_key_of(version)) for version in range(start, stop)]
        changes.extend(parse_change(row) for row in table.read(keys))
    return changes


def read_snapshot(table: Table) -> Lists:
    """Return both lists as they are at one version.

    Edits that take effect during the scan are put on top of what it read.

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
    raise PlatformUnavailableError("the lists change faster than they can be read")


def read_since(table: Table, lists: Lists) -> Lists:
    """Return the present lists, given older ones; never lower ones.

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
    """Return the change that an edit has made, if it was accepted before.

    :raises ListsError: if its change id belongs to another edit.
    :raises PlatformUnavailableError: if that can't be read.
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
    """Return the last change of a row, looking back from a version."""
    lowest = max(1, version - MAX_AUTHOR_SEARCH + 1)
    for last in range(version, lowest - 1, -AUDIT_BATCH):
        first = max(lowest, last - AUDIT_BATCH + 1)
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


def _refuse(table: Table, head: Head, error: ListsError) -> t.NoReturn:
    # The rows were not read at one instant: a refusal stands only if no
    # other edit came between.
    if read_head(table) != head:
        raise PlatformConflictError("the lists changed while they were read")
    raise error


def _attempt(table: Table, edit: Edit, clock: Clock) -> Change:
    head = read_head(table)
    lists = _read_for_edit(table, edit)
    # Read after the rows, so that an earlier attempt of the same edit that
    # took effect is not taken for somebody else's change.
    accepted = read_accepted(table, edit.change_id, edit.digest)
    if accepted is not None:
        return accepted
    key = find_conflict(edit, lists)
    if key is not None:
        change = find_change(table, key, head.version)
        _refuse(table, head, edit_conflict(key, change))
    at = clock.utcnow().isoformat(timespec="milliseconds")
    try:
        change = accept_edit(edit, lists, head, at)
    except ListsError as error:
        _refuse(table, head, error)
    transaction = make_transaction(edit, change, head)
    table.transact(transaction.conditions, transaction.writes)
    return change


def commit_edit(
    table: Table,
    edit: Edit,
    clock: Clock,
    retry: RetryPolicy = RetryPolicy(),
) -> Change:
    """Make an edit take effect once, however often it is run.

    Once the head has moved, an attempt whose reply was lost can no longer
    take effect; so a refusal is final, even after such an attempt.

    :raises EditConflictError: somebody else changed a row first.
    :raises ListsError: the lists would not be valid, or the change id belongs
        to another edit.
    :raises PlatformUnavailableError: nothing took effect.
    :raises PlatformConflictError: nothing took effect; too many other edits.
    :raises PlatformUnknownError: the edit may have taken effect, or still may.
    """
    lost: PlatformUnknownError | None = None
    last = PlatformError("not tried")
    for attempt in range(retry.attempts):
        retry.wait(attempt)
        try:
            return _attempt(table, edit, clock)
        except PlatformUnknownError as error:
            last = lost = error
        except (PlatformUnavailableError, PlatformConflictError) as error:
            last = error
        except PlatformError as error:
            last = error
            break
    if lost is None:
        raise last
    raise PlatformUnknownError(
        f"the outcome of change {edit.change_id} is not known;"
        " run it again with the same change id"
    ) from lost


def seen_version(lists: Lists, key: RowKey) -> int:
    """Return the version at which a snapshot holds a row; 0 if it is absent.

    :raises EditConflictError: the row changed while the snapshot was read.
    """
    version = lists.row_versions.get(key)
    if version is not None:
        return version
    if lists.value_of(key) is None:
        return 0
    raise edit_conflict(key, None)


def read_rows(table: Table, keys: collections.abc.Sequence[RowKey]) -> Lists:
    """Return lists of a few rows alone, with their versions; version 0.

    :raises ListsError: if a row can't be parsed.
    :raises PlatformUnavailableError: if they can't be read.
    """
    return Lists().with_rows(0, table.read(keys))
