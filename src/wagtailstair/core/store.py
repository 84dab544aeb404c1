"""Calls to the platform's store and its rows, independent of its protocol."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """An HTTP call; ``headers``: those beside the ones that each call has."""

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRow:
    """A row; ``value`` is ``None`` if it was deleted."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRows:
    """Rows of one consistent read.

    ``version``: version of the whole store; ``is_more``: the response was
    truncated; ``is_conflict``: a condition did not hold, or the requested
    history is no longer kept.
    """

    rows: tuple[StoreRow, ...]
    version: int
    is_more: bool = False
    is_conflict: bool = False
