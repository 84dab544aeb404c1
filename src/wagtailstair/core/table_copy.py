"""A copy of one table, updated by the store and by peers in any order."""

import typing as t

from .store import NO_VERSION
from .store import StoreRow
from .store import StoreVersion

TOMBSTONES_MAX = 1024
"""Deleted rows that are kept to pass the deletions on to peers; more than the
number of upstreams in a deployment."""


class TableCopy:
    """Rows by key, including tombstones of deleted ones.

    ``version``: version of the newest change received; ``as_of``: version of the
    store up to which all changes are applied, none before the first full read.
    """

    __slots__ = ("_history_start", "_row_by_key", "_table", "as_of", "version")

    def __init__(self, table: str) -> None:
        self._table = table
        self._row_by_key: dict[str, StoreRow] = {}
        # Changes up to this version can't be listed one by one.
        self._history_start = NO_VERSION
        self.version = NO_VERSION
        self.as_of = NO_VERSION

    @property
    def is_complete(self) -> bool:
        """Return whether a full read of the table has been applied."""
        return self.as_of > NO_VERSION

    def apply_delta(
        self, rows: t.Iterable[StoreRow], as_of: StoreVersion
    ) -> list[StoreRow]:
        """Apply all changes up to a version of the store; return the newer rows.

        Changes of a later era than the copy's have no effect: those between the
        store's older copy and the first of them would be missing.
        """
        if as_of.era > self.as_of.era:
            return []
        return self._apply(rows, as_of)

    def apply_snapshot(
        self, rows: t.Iterable[StoreRow], as_of: StoreVersion
    ) -> list[StoreRow]:
        """Apply all rows as of a version of the store; return the newer rows.

        A row that has changed after that version is left as it is.
        """
        rows = list(rows)
        present = {row.key for row in rows}
        for key, known in self._row_by_key.items():
            is_gone = key not in present and known.value is not None
            if is_gone and known.version <= as_of:
                rows.append(StoreRow(self._table, key, None, as_of))
        if not self.is_complete or as_of.era > self.as_of.era:
            self._history_start = as_of
        return self._apply(rows, as_of)

    def live_rows(self) -> list[StoreRow]:
        """Return the rows that are not deleted."""
        return [row for row in self._row_by_key.values() if row.value is not None]

    def rows_since(self, version: StoreVersion) -> list[StoreRow] | None:
        """Return the rows changed after a version, ``None`` if not all are known."""
        if version < self._history_start:
            return None
        return [row for row in self._row_by_key.values() if row.version > version]

    def _apply(self, rows: t.Iterable[StoreRow], as_of: StoreVersion) -> list[StoreRow]:
        newer = self._merge(rows)
        self.as_of = max(self.as_of, as_of, self.version)
        self._drop_tombstones()
        return newer

    def _merge(self, rows: t.Iterable[StoreRow]) -> list[StoreRow]:
        newer = []
        # All changes up to here are applied: a row that is missing was deleted, and
        # a peer that sends it has an older copy.
        applied = self.as_of
        for row in rows:
            known = self._row_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            if known is None and row.version <= applied:
                continue
            self._row_by_key[row.key] = row
            self.version = max(self.version, row.version)
            newer.append(row)
        return newer

    def _drop_tombstones(self) -> None:
        tombstones = [row for row in self._row_by_key.values() if row.value is None]
        if len(tombstones) <= TOMBSTONES_MAX:
            return
        tombstones.sort(key=lambda row: row.version)
        for row in tombstones[: len(tombstones) - TOMBSTONES_MAX]:
            del self._row_by_key[row.key]
            self._history_start = max(self._history_start, row.version)
