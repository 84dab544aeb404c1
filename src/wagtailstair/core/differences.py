"""Differences between lists, and conflicts between edits."""

import collections.abc

from ..exceptions import EditConflictError
from .changes import Change
from .changes import RowChange
from .lists import Lists
from .plans import ACCOUNTS
from .plans import PLANS
from .rows import RowKey
from .rows import Value


def _differing(
    old: collections.abc.Mapping[str, object],
    new: collections.abc.Mapping[str, object],
) -> list[str]:
    names = old.keys() | new.keys()
    return sorted(name for name in names if old.get(name) != new.get(name))


def diff_lists(old: Lists, new: Lists) -> list[RowChange]:
    """Return the rows that differ, sorted by name, plans before accounts."""
    plans = _differing(old.plan_by_name, new.plan_by_name)
    accounts = _differing(old.account_by_name, new.account_by_name)
    keys = [(PLANS, name) for name in plans]
    keys.extend((ACCOUNTS, name) for name in accounts)
    return [RowChange(*key, old.value_of(key), new.value_of(key)) for key in keys]


def rebase_lists(
    edited: Lists, current: Lists, later: collections.abc.Iterable[Change]
) -> list[RowChange]:
    """Return the changes to the current lists that apply an operator's edits.

    Rows that only others changed since the operator read the lists keep their
    current values.

    :param edited: the operator's lists, at the version they were read at.
    :param later: all changes between the versions of the two lists.
    :raises EditConflictError: naming a row that both sides changed.
    """
    base_by_key: dict[RowKey, Value | None] = {}
    change_by_key: dict[RowKey, Change] = {}
    for change in later:
        for row in change.rows:
            base_by_key.setdefault(row.row_key, row.before)
            change_by_key[row.row_key] = change
    changes = []
    for difference in diff_lists(current, edited):
        key = difference.row_key
        if key not in base_by_key:
            changes.append(difference)
            continue
        if difference.value == base_by_key[key]:
            continue
        raise edit_conflict(key, change_by_key[key])
    return changes


def edit_conflict(key: RowKey, change: Change | None) -> EditConflictError:
    """Return the error for a row that another edit changed first."""
    where = "/".join(key)
    if change is None:
        return EditConflictError("the row has changed since it was read", where=where)
    return EditConflictError(
        f"changed by {change.author} in change {change.change_id}"
        f" (version {change.version}) since it was read",
        where=where,
    )
