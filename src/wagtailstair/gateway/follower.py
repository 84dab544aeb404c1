"""Follows a table of the store: all its rows once, then what changes."""

import random
import typing as t

from ..core.store import Call
from ..core.store import StoreRow
from ..core.store import StoreRows
from ..exceptions import PlatformError
from ..logs import log_event
from ..platform import store as wire
from .fetch import Answer
from .fetch import Fetch
from .fetch import rows_of
from .loop import Loop
from .transfer import Upstream
from .transfer import UpstreamPool

READ_TIMEOUT_S = 1.5
"""Seconds for a read: a slow store's answers take some hundred milliseconds."""

FEED_WAIT_S = 10.0
"""Seconds that a call for changes waits; each call is priced."""

FEED_MARGIN_S = 1.0
"""Seconds beyond its wait after which a call for changes is given up."""

BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.0
"""Bounds of the pause after a failed call: changes are due within 2 s."""


class TableFollower:
    """One table as the store last told it.

    :param on_rows: takes rows and whether they are all rows of the table.
    :param pause_s: between two calls for changes, so that one brings several.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        table: str,
        on_rows: t.Callable[[tuple[StoreRow, ...], bool], None],
        rng: random.Random,
        pause_s: float = 0.0,
    ) -> None:
        self._loop = loop
        self._pause_s = pause_s
        self._pool = pool
        self._store = store
        self.table = table
        self._on_rows = on_rows
        self._rng = rng
        self._failures = 0
        self._pages: list[StoreRow] = []
        self.version: int | None = None
        self.failed_at = float("-inf")
        self.is_away = False

    def start(self) -> None:
        """Read the whole table."""
        self._pages = []
        self._read("")

    def take(self, version: int, rows: tuple[StoreRow, ...]) -> None:
        """Take all rows of the table from a peer, if they are newer."""
        if self.version is None or version > self.version:
            self.version = version
            self._on_rows(rows, True)

    def _send(
        self, call: Call, timeout_s: float, then: t.Callable[[StoreRows], None]
    ) -> None:
        def on_answer(answer: Answer) -> None:
            try:
                rows = rows_of(answer)
            except PlatformError as error:
                self._failed(str(error))
                return
            self._heard()
            then(rows)

        Fetch(self._loop, self._pool, self._store, call, timeout_s, on_answer)

    def _heard(self) -> None:
        self._failures = 0
        if self.is_away:
            self.is_away = False
            log_event("store_regained", table=self.table)

    def _failed(self, reason: str) -> None:
        self.failed_at = self._loop.now
        self._failures += 1
        if not self.is_away:
            self.is_away = True
            log_event("store_lost", level="WARNING", table=self.table, reason=reason)
        pause = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(self._failures - 1, 8))
        pause *= self._rng.uniform(0.5, 1.0)
        self._loop.call_later(pause, self._resume)

    def _resume(self) -> None:
        if self.version is None:
            self.start()
        else:
            self._feed()

    def _read(self, after: str) -> None:
        call = wire.read_call(self.table, after)
        self._send(call, READ_TIMEOUT_S, self._on_page)

    def _on_page(self, rows: StoreRows) -> None:
        self._pages.extend(rows.rows)
        if rows.is_more and rows.rows:
            self._read(rows.rows[-1].key)
            return
        pages, self._pages = tuple(self._pages), []
        self.version = rows.version
        self._on_rows(pages, True)
        self._feed()

    def _feed(self) -> None:
        assert self.version is not None
        # After a failure the first call returns at once: is the store back?
        wait_s = 0.0 if self.is_away else FEED_WAIT_S
        call = wire.feed_call(self.table, self.version, wait_s)
        timeout_s = wait_s + (READ_TIMEOUT_S if self.is_away else FEED_MARGIN_S)
        self._send(call, timeout_s, self._on_changes)

    def _on_changes(self, rows: StoreRows) -> None:
        if rows.is_conflict:
            log_event("store_history_gone", table=self.table, version=self.version)
            self.start()
            return
        if rows.rows:
            self.version = max(self.version or 0, rows.rows[-1].version)
            self._on_rows(rows.rows, False)
        self.version = max(self.version or 0, rows.version)
        self._loop.call_later(self._pause_s, self._feed)
