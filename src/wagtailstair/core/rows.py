"""Rows of the platform's table, as the core sees them."""

import dataclasses
import typing as t

RowKey = tuple[str, str]
"""The table and the key of a row."""

Value = dict[str, t.Any]
"""The JSON value of a row."""

VERSION_ABSENT = 0
"""The version of a row that does not exist."""

VERSION_UNKNOWN = -1
"""The version of a row that was learnt from a change record."""


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row as read; an absent row has version 0 and no value."""

    table: str
    key: str
    version: int
    value: Value | None


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """What must hold for a transaction: a row is at a version."""

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
    """Writes that take effect together, if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
