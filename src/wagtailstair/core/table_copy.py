"""A copy of one table of the store, fed by the store and by peers in any order."""

import typing as t

from .store import StoreRow

TOMBSTONES_MAX = 1024
"""Removed rows that are remembered, so that peers hear of them: more than a
deployment has upstreams today."""


class TableCopy:
    """Rows by key, those that were removed with them.

    ``version``: of the newest change that is known; ``as_of``: all changes up to
    this version of the store were taken in, 0 before the first whole read.
    """

    __slots__ = ("_oldest_told", "_row_by_key", "_table", "as_of", "version")

    def __init__(self, table: str) -> None:
        self._table = table
        self._row_by_key: dict[str, StoreRow] = {}
        # Changes up to this version can't be told one by one.
        self._oldest_told = 0
        self.version = 0
        self.as_of = 0

    @property
    def is_complete(self) -> bool:
        """Tell whether all rows of some moment were taken in."""
        return self.as_of > 0

    def apply_delta(self, rows: t.Iterable[StoreRow], as_of: int) -> list[StoreRow]:
        """Take in all changes up to a version of the store; return what is news."""
        news = self._merge(rows)
        self.as_of = max(self.as_of, as_of, self.version)
        self._drop_tombstones()
        return news

    def apply_snapshot(self, rows: t.Iterable[StoreRow], as_of: int) -> list[StoreRow]:
        """Take in all rows as of a version of the store; return what is news.

        What is known of later changes stays.
        """
        rows = list(rows)
        present = {row.key for row in rows}
        for key, known in self._row_by_key.items():
            is_gone = key not in present and known.value is not None
            if is_gone and known.version <= as_of:
                rows.append(StoreRow(self._table, key, None, as_of))
        if not self.is_complete:
            self._oldest_told = as_of
        return self.apply_delta(rows, as_of)

    def live_rows(self) -> list[StoreRow]:
        """Return the rows that exist."""
        return [row for row in self._row_by_key.values() if row.value is not None]

    def rows_since(self, version: int) -> list[StoreRow] | None:
        """Return what changed after a version, ``None`` if that is not known."""
        if version < self._oldest_told:
            return None
        return [row for row in self._row_by_key.values() if row.version > version]

    def _merge(self, rows: t.Iterable[StoreRow]) -> list[StoreRow]:
        news = []
        for row in rows:
            known = self._row_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            self._row_by_key[row.key] = row
            self.version = max(self.version, row.version)
            news.append(row)
        return news

    def _drop_tombstones(self) -> None:
        removed = [row for row in self._row_by_key.values() if row.value is None]
        if len(removed) <= TOMBSTONES_MAX:
            return
        removed.sort(key=lambda row: row.version)
        for row in removed[: len(removed) - TOMBSTONES_MAX]:
            del self._row_by_key[row.key]
            self._oldest_told = max(self._oldest_told, row.version)
