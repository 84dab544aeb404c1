"""What the gateway needs of the platform's store, free of its protocol."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """An HTTP call."""

    method: str
    target: str
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRow:
    """A row; ``value`` is ``None`` for one that was dropped."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRows:
    """Rows as of one moment.

    ``version``: of the whole store; ``is_more``: the answer was cut;
    ``is_conflict``: a condition did not hold, or the history asked for is gone.
    """

    rows: tuple[StoreRow, ...]
    version: int
    is_more: bool = False
    is_conflict: bool = False
