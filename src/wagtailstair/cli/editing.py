"""Idempotent edits of the lists."""

import dataclasses
import itertools
import typing as t
import uuid

from ..clock import SystemClock
from ..core.changes import MAX_EDIT_ROWS
from ..core.changes import Change
from ..core.changes import RowEdit
from ..core.changes import change_value
from ..core.changes import digest_of
from ..core.changes import make_edit
from ..stores.lists import RetryPolicy
from ..stores.lists import commit_edit
from ..stores.lists import read_accepted
from ..stores.table import TableClient
from .output import print_json
from .output import print_note

RETRY = RetryPolicy()
# Leaves write capacity of the table to other clients between parts.
PART_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class EditResult:
    """The result of an edit.

    ``change`` is ``None`` if the lists already had the requested content.
    ``from_earlier_run`` is set if an earlier run with the same change id made
    the change.
    """

    change: Change | None
    from_earlier_run: bool = False


def run_edit(
    table: TableClient,
    author: str,
    change_id: str | None,
    content: object,
    make_rows: t.Callable[[], t.Sequence[RowEdit]],
) -> EditResult:
    """Commit an edit, unless an earlier run already committed it.

    An edit of more than ``MAX_EDIT_ROWS`` rows is committed in parts, each
    under its own change id.

    :param content: the request, identical in each run of the same edit; its
        digest shows whether a change id belongs to this request.
    :param make_rows: reads the lists and returns the rows to change.
    """
    if change_id is not None:
        accepted = read_accepted(table, change_id, digest_of(content))
        if accepted is not None:
            return EditResult(accepted, from_earlier_run=True)
    rows = list(make_rows())
    if not rows:
        return EditResult(None)
    has_new_id = change_id is None
    change_id = change_id or str(uuid.uuid4())
    # Printed before the first write, so that an interrupted run can be repeated.
    print_note(f"change id: {change_id}")
    for part in itertools.count(1):
        if len(rows) <= MAX_EDIT_ROWS:
            break
        part_id = f"{change_id}.{part}"
        part_content = [content, part]
        if not has_new_id and read_accepted(table, part_id, digest_of(part_content)):
            continue
        edit = make_edit(part_id, author, rows[:MAX_EDIT_ROWS], part_content)
        change = commit_edit(table, edit, SystemClock(), RETRY)
        print_note(f"accepted: version {change.version}, {len(change.rows)} rows")
        del rows[:MAX_EDIT_ROWS]
        RETRY.pause(PART_PAUSE_S)
    # The last part has the change id itself: once it is accepted, the whole edit is.
    edit = make_edit(change_id, author, rows, content)
    return EditResult(commit_edit(table, edit, SystemClock(), RETRY))


def print_result(result: EditResult, as_json: bool) -> None:
    """Print the result of an edit."""
    if as_json:
        change = None if result.change is None else change_value(result.change)
        print_json({"change": change, "before": result.from_earlier_run})
        return
    if result.change is None:
        print_note("no difference")
        return
    count = len(result.change.rows)
    status = "accepted before" if result.from_earlier_run else "accepted"
    rows = "1 row" if count == 1 else f"{count} rows"
    print_note(f"{status}: version {result.change.version}, {rows}")
