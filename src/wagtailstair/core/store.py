"""Calls to the platform's store and its rows, independent of its protocol."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class StoreVersion:
    """A version of the store.

    The store gives numbers out again after it has come back from an older copy.
    ``era``: counts these returns; 0 if unknown, which is before all known ones.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}:{self.number}" if self.era else str(self.number)


NO_VERSION = StoreVersion()
"""Before any version of the store."""

FIRST_ERA = 1
"""Era of a store that has never come back from an older copy."""


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
    version: StoreVersion


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRows:
    """Rows of one consistent read.

    ``version``: version of the whole store; ``is_more``: the response was
    truncated; ``is_conflict``: a condition did not hold, or the requested
    history is no longer kept.
    """

    rows: tuple[StoreRow, ...]
    version: StoreVersion
    is_more: bool = False
    is_conflict: bool = False
