"""Rows, conditions and transactions of the platform's table."""

import dataclasses
import typing as t

RowKey = tuple[str, str]
"""The table and the key of a row."""

Value = dict[str, t.Any]
"""The JSON value of a row."""

VERSION_ABSENT = 0
"""The version of a row that does not exist."""

VERSION_UNKNOWN = -1
"""The version of a row whose value comes from an audit record."""


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as read; an absent row has version 0 and no value."""

    table: str
    key: str
    version: int
    value: Value | None


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """A precondition of a transaction: the row is at ``version``."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """A new value for a row; ``None`` deletes it."""

    table: str
    key: str
    value: Value | None


@dataclasses.dataclass(slots=True, frozen=True)
class Transaction:
    """Writes that take effect atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
