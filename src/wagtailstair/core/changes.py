"""Changes to the lists: edits, their transactions and their audit records."""

import collections.abc
import dataclasses
import hashlib
import json
import re

import msgspec

from ..exceptions import ListsError
from .lists import HEAD
from .lists import LISTS
from .lists import Lists
from .lists import validate
from .plans import ACCOUNTS
from .plans import PLANS
from .plans import account_value
from .plans import parse_account
from .plans import parse_plan
from .plans import plan_value
from .rows import VERSION_ABSENT
from .rows import VERSION_UNKNOWN
from .rows import Condition
from .rows import Row
from .rows import RowKey
from .rows import Transaction
from .rows import Value
from .rows import Write

AUDIT = "audit"
CHANGES = "changes"
MAX_EDIT_ROWS = 200

_VERSION_DIGITS = 12
_DIGEST_BYTES = 16
_CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}")
_MAX_AUTHOR_CHARS = 128


@dataclasses.dataclass(slots=True, frozen=True)
class RowEdit:
    """A new value for a row as seen at a version; ``None`` deletes the row."""

    table: str
    key: str
    value: Value | None
    seen_version: int

    @property
    def row_key(self) -> RowKey:
        """The table and the key."""
        return (self.table, self.key)


@dataclasses.dataclass(slots=True, frozen=True)
class Edit:
    """An operator's request to change some rows.

    ``digest``: distinguishes this edit from another with the same change id.
    """

    change_id: str
    author: str
    rows: tuple[RowEdit, ...]
    digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class RowChange:
    """The values of a row before and after a change; ``None`` if absent."""

    table: str
    key: str
    before: Value | None
    value: Value | None

    @property
    def row_key(self) -> RowKey:
        """The table and the key."""
        return (self.table, self.key)


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """An accepted edit, as stored in its audit record; ``at``: UTC, ISO 8601."""

    version: int
    change_id: str
    author: str
    at: str
    digest: str
    rows: tuple[RowChange, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """The version of the lists and the version of the row that holds it."""

    version: int
    row_version: int


def digest_of(content: object) -> str:
    """Return a hash of the content of an edit."""
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _normal_value(row: RowEdit) -> Value | None:
    if row.table not in (PLANS, ACCOUNTS):
        raise ListsError("expected a plan or an account", where=row.table)
    if row.value is None:
        return None
    if row.table == PLANS:
        return plan_value(parse_plan(row.key, row.value))
    return account_value(parse_account(row.key, row.value))


def make_edit(
    change_id: str,
    author: str,
    rows: collections.abc.Iterable[RowEdit],
    content: object = None,
) -> Edit:
    """Validate the parts of an edit and return it.

    :param content: the operator's request, if the rows do not determine it; it
        must be the same when the edit is retried.
    :raises ListsError: if a part is not valid.
    """
    if _CHANGE_ID.fullmatch(change_id) is None:
        raise ListsError(
            "expected 1 to 128 letters, digits and any of '_.:-'", where="change id"
        )
    if not 0 < len(author) <= _MAX_AUTHOR_CHARS:
        raise ListsError(
            f"expected 1 to {_MAX_AUTHOR_CHARS} characters", where="author"
        )
    edit_by_key: dict[RowKey, RowEdit] = {}
    for row in rows:
        if row.row_key in edit_by_key:
            raise ListsError("expected one edit per row", where="/".join(row.row_key))
        edit_by_key[row.row_key] = dataclasses.replace(row, value=_normal_value(row))
    if not 0 < len(edit_by_key) <= MAX_EDIT_ROWS:
        raise ListsError(
            f"expected 1 to {MAX_EDIT_ROWS} rows in an edit, got {len(edit_by_key)}"
        )
    if content is None:
        content = [[row.table, row.key, row.value] for row in edit_by_key.values()]
    return Edit(change_id, author, tuple(edit_by_key.values()), digest_of(content))


def keys_to_read(edit: Edit) -> list[RowKey]:
    """Return the keys of the edited rows and of the plans of edited accounts."""
    keys = dict.fromkeys(row.row_key for row in edit.rows)
    for row in edit.rows:
        if row.table == ACCOUNTS and row.value is not None:
            keys[PLANS, row.value["plan"]] = None
    return list(keys)


def deletes_plan(edit: Edit) -> bool:
    """Return whether an edit deletes a plan, so that all accounts are checked."""
    return any(row.table == PLANS and row.value is None for row in edit.rows)


def find_conflict(edit: Edit, lists: Lists) -> RowKey | None:
    """Return a row that changed since the operator read it, if there is one."""
    for row in edit.rows:
        version = lists.row_versions.get(row.row_key, VERSION_ABSENT)
        if version != row.seen_version:
            return row.row_key
    return None


def accept_edit(edit: Edit, lists: Lists, head: Head, at: str) -> Change:
    """Validate an edit against the lists and return the resulting change.

    :param lists: the rows of `keys_to_read`, and all accounts if `deletes_plan`.
    :param at: the time in UTC, ISO 8601.
    :raises ListsError: if the lists would not be valid.
    """
    version = head.version + 1
    changes = []
    rows = []
    for row in edit.rows:
        before = lists.value_of(row.row_key)
        if before is None and row.value is None:
            raise ListsError("there is no such row", where="/".join(row.row_key))
        changes.append(RowChange(row.table, row.key, before, row.value))
        rows.append(Row(row.table, row.key, VERSION_UNKNOWN, row.value))
    validate(lists.with_rows(version, rows), [row.row_key for row in edit.rows])
    return Change(version, edit.change_id, edit.author, at, edit.digest, tuple(changes))


def make_transaction(edit: Edit, change: Change, head: Head) -> Transaction:
    """Return the transaction that applies a change atomically."""
    audit_key = audit_key_of(change.version)
    conditions = [
        Condition(LISTS, HEAD, head.row_version),
        Condition(CHANGES, edit.change_id, VERSION_ABSENT),
        Condition(AUDIT, audit_key, VERSION_ABSENT),
    ]
    writes = [
        Write(LISTS, HEAD, {"version": change.version}),
        Write(CHANGES, edit.change_id, {"version": change.version}),
        Write(AUDIT, audit_key, change_value(change)),
    ]
    for row in edit.rows:
        conditions.append(Condition(row.table, row.key, row.seen_version))
        writes.append(Write(row.table, row.key, row.value))
    return Transaction(tuple(conditions), tuple(writes))


def audit_key_of(version: int) -> str:
    """Return the key of the audit record of a version."""
    return f"{version:0{_VERSION_DIGITS}d}"


def change_value(change: Change) -> Value:
    """Return the JSON value of an audit record."""
    value: Value = msgspec.to_builtins(change)
    return value


def _convert_error(row: Row, error: msgspec.ValidationError) -> ListsError:
    return ListsError(str(error), where=f"{row.table}/{row.key}")


def parse_change(row: Row) -> Change:
    """Return the change of an audit record.

    :raises ListsError: if the row is absent or not a valid audit record.
    """
    if row.value is None:
        raise ListsError("there is no such record", where=f"{row.table}/{row.key}")
    try:
        return msgspec.convert(row.value, Change)
    except msgspec.ValidationError as error:
        raise _convert_error(row, error) from error


class _VersionValue(msgspec.Struct):
    version: int


def parse_version(row: Row) -> int:
    """Return the version in ``lists/head`` or a row of ``changes``, 0 if absent.

    :raises ListsError: if the value of the row holds no version.
    """
    if row.value is None:
        return 0
    try:
        return msgspec.convert(row.value, _VersionValue).version
    except msgspec.ValidationError as error:
        raise _convert_error(row, error) from error


def apply_changes(lists: Lists, changes: collections.abc.Iterable[Change]) -> Lists:
    """Return the lists after some changes of consecutive versions.

    :raises ListsError: if a change is missing or can't be parsed.
    """
    version = lists.version
    row_by_key: dict[RowKey, Row] = {}
    for change in changes:
        if change.version != version + 1:
            raise ListsError(
                f"version {change.version} does not follow version {version}",
                where=AUDIT,
            )
        version = change.version
        for row in change.rows:
            row_by_key[row.row_key] = Row(
                row.table, row.key, VERSION_UNKNOWN, row.value
            )
    if version == lists.version:
        return lists
    return lists.with_rows(version, row_by_key.values())
