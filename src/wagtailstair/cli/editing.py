"""Running an edit, so that it can be run again."""

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
PART_PAUSE_S = 1.0  # leaves writes of the table for others


@dataclasses.dataclass(slots=True, frozen=True)
class EditResult:
    """How an edit ended; no change: the lists were like this already.

    ``before``: an earlier run made the change.
    """

    change: Change | None
    before: bool = False


def run_edit(
    table: TableClient,
    author: str,
    change_id: str | None,
    content: object,
    make_rows: t.Callable[[], t.Sequence[RowEdit]],
) -> EditResult:
    """Make an edit, or find that an earlier run has made it.

    An edit of very many rows is made in parts, under ids of their own.

    :param content: what the operator asked for, the same in each run.
    :param make_rows: reads the lists and returns the rows to change.
    """
    if change_id is not None:
        accepted = read_accepted(table, change_id, digest_of(content))
        if accepted is not None:
            return EditResult(accepted, before=True)
    rows = list(make_rows())
    if not rows:
        return EditResult(None)
    is_new = change_id is None
    change_id = change_id or str(uuid.uuid4())
    # Told first, so that a run that is cut short can be run again.
    print_note(f"change id: {change_id}")
    for part in itertools.count(1):
        if len(rows) <= MAX_EDIT_ROWS:
            break
        part_id = f"{change_id}.{part}"
        part_content = [content, part]
        if not is_new and read_accepted(table, part_id, digest_of(part_content)):
            continue
        edit = make_edit(part_id, author, rows[:MAX_EDIT_ROWS], part_content)
        change = commit_edit(table, edit, SystemClock(), RETRY)
        print_note(f"accepted: version {change.version}, {len(change.rows)} rows")
        del rows[:MAX_EDIT_ROWS]
        RETRY.pause(PART_PAUSE_S)
    # The last part has the id itself, so that it stands for all of them.
    edit = make_edit(change_id, author, rows, content)
    return EditResult(commit_edit(table, edit, SystemClock(), RETRY))


def print_result(result: EditResult, as_json: bool) -> None:
    """Print how an edit ended."""
    if as_json:
        change = None if result.change is None else change_value(result.change)
        print_json({"change": change, "before": result.before})
        return
    if result.change is None:
        print_note("no difference")
        return
    count = len(result.change.rows)
    word = "accepted before" if result.before else "accepted"
    rows = "1 row" if count == 1 else f"{count} rows"
    print_note(f"{word}: version {result.change.version}, {rows}")
