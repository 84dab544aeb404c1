"""Follows a table of the store: reads all rows once, then long-polls for changes."""

import random
import typing as t

from ..core.store import NO_VERSION
from ..core.store import Call
from ..core.store import StoreRow
from ..core.store import StoreRows
from ..core.table_copy import TableCopy
from ..exceptions import PlatformError
from ..logs import log_event
from ..platform import store as wire
from .fetch import Answer
from .fetch import Fetch
from .loop import Loop
from .loop import Timer
from .store_eras import StoreEras
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

READ_TIMEOUT_S = 1.5
"""Seconds within which an answer must begin, and within which each further part of it
must arrive: a slow store answers within a few hundred milliseconds."""

FEED_WAIT_S = 10.0
"""Seconds that the store holds a call for changes open; each call is billed."""

FEED_MARGIN_S = 1.0
"""Seconds beyond its wait within which the answer to a call for changes must begin."""

BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.0
"""Bounds of the backoff after a failed call; changes must arrive within 2 s."""


class TableFollower:
    """A copy of one table, updated from the store while the follower is active.

    :param on_change: called with the rows that have changed in the copy.
    :param pause_s: seconds between two calls for changes, so that one call
        returns several.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        table: str,
        on_change: t.Callable[[list[StoreRow]], None],
        rng: random.Random,
        eras: StoreEras,
        pause_s: float = 0.0,
    ) -> None:
        self._loop = loop
        self._eras = eras
        eras.add_listener(self._on_return)
        self._pause_s = pause_s
        self._pool = pool
        self._store = store
        self.table = table
        self._on_change = on_change
        self._rng = rng
        self._failures = 0
        # Calls in a row whose history the store no longer had.
        self._conflicts = 0
        self._pages: list[StoreRow] = []
        self._read_as_of = NO_VERSION
        self._fetch: Fetch | None = None
        # Whether the store may hold the call in progress until there is a change.
        self._is_waiting = False
        self._timer: Timer | None = None
        self.copy = TableCopy(table)
        self.is_active = False
        self.failed_at = float("-inf")
        self.is_store_unreachable = False

    def start(self) -> None:
        """Start to follow the store, from the version of the copy on."""
        if not self.is_active:
            self.is_active = True
            self._resume()

    def stop(self) -> None:
        """Stop following the store."""
        self.is_active = False
        self.is_store_unreachable = False
        self._failures = 0
        self._cancel()

    @property
    def is_receiving(self) -> bool:
        """Return whether an answer of the store is arriving."""
        return self._fetch is not None and self._fetch.has_begun

    def restart_feed(self, reason: str) -> None:
        """Cancel the call that waits for changes and send one that returns at once.

        Used if the answer to a call seems overdue. The cancelled call is not counted
        as a failure of the store, but a failure of the new call is. A call that
        doesn't wait, or whose answer is arriving, is left to its own time-out.
        """
        if not self.is_active or not self.copy.is_complete:
            return
        if self._fetch is not None and (not self._is_waiting or self.is_receiving):
            return
        fetch = self._fetch
        log_event(
            "feed_renewed",
            table=self.table,
            reason=reason,
            version=self.copy.as_of,
            received=0 if fetch is None else fetch.received,
            age=0.0 if fetch is None else fetch.age_s,
        )
        self._cancel()
        self._feed(0.0)

    def _cancel(self) -> None:
        fetch, self._fetch = self._fetch, None
        if fetch is not None:
            fetch.cancel()
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()

    def _schedule(self, delay_s: float, call: t.Callable[[], None]) -> None:
        self._timer = self._loop.call_later(delay_s, call)

    def _send(
        self, call: Call, timeout_s: float, on_rows: t.Callable[[StoreRows], None]
    ) -> None:
        def on_answer(answer: Answer) -> None:
            self._fetch = None
            try:
                rows = self._eras.decode(answer)
            except PlatformError as error:
                self._on_failure(str(error))
                return
            self._on_success()
            on_rows(rows)

        self._fetch = Fetch(
            self._loop,
            self._pool,
            self._store,
            call,
            timeout_s,
            on_answer,
            stall_s=READ_TIMEOUT_S,
        )

    def _on_success(self) -> None:
        self._failures = 0
        if self.is_store_unreachable:
            self.is_store_unreachable = False
            log_event("store_regained", table=self.table)

    def _on_failure(self, reason: str) -> None:
        self.failed_at = self._loop.now
        self._failures += 1
        if not self.is_store_unreachable:
            self.is_store_unreachable = True
            log_event("store_lost", level="WARNING", table=self.table, reason=reason)
        pause = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(self._failures - 1, 8))
        self._schedule(pause * self._rng.uniform(0.5, 1.0), self._resume)

    def _resume(self) -> None:
        if self.copy.is_complete and self.copy.as_of.era >= self._eras.current:
            # After a failure, the first call returns at once, to probe the store.
            self._feed(0.0 if self.is_store_unreachable else FEED_WAIT_S)
            return
        self._read_all()

    def _on_return(self) -> None:
        """Read all rows, as those of the copy are of an earlier era of the store."""
        if not self.is_active or not self.copy.is_complete:
            return
        # Deferred, as an answer of the store is being handled.
        self._loop.call_later(0.0, self._replace_call)

    def _replace_call(self) -> None:
        is_outdated = self.copy.as_of.era < self._eras.current
        if self.is_active and is_outdated and self._is_waiting:
            self._cancel()
            self._read_all()

    def _read_all(self) -> None:
        self._pages = []
        self._read_as_of = NO_VERSION
        self._read("")

    def _read(self, after: str) -> None:
        call = wire.read_call(self.table, after)
        self._is_waiting = False
        self._send(call, READ_TIMEOUT_S, self._on_page)

    def _on_page(self, rows: StoreRows) -> None:
        if self._pages and rows.version.era != self._read_as_of.era:
            # The pages are of two eras.
            self._schedule(BACKOFF_S, self._read_all)
            return
        if not self._pages:
            # The first page's version counts: a later page does not show the changes
            # that were made to earlier pages in the meantime.
            self._read_as_of = rows.version
        self._pages.extend(rows.rows)
        if rows.is_more and rows.rows:
            self._read(rows.rows[-1].key)
            return
        pages, self._pages = self._pages, []
        self._schedule(0.0, self._resume)
        self._on_change(self.copy.apply_snapshot(pages, self._read_as_of))

    def _feed(self, wait_s: float) -> None:
        call = wire.feed_call(self.table, self.copy.as_of.number, wait_s)
        self._is_waiting = wait_s > 0
        timeout_s = wait_s + FEED_MARGIN_S if wait_s else READ_TIMEOUT_S
        self._send(call, timeout_s, self._on_feed)

    def _on_feed(self, rows: StoreRows) -> None:
        if rows.version.era > self.copy.as_of.era:
            # The call named a version of an earlier era: its rows may be any.
            self._read_all()
            return
        if rows.is_conflict:
            version = self.copy.as_of
            log_event("store_history_gone", table=self.table, version=version)
            pause_s = self._conflict_pause_s()
            self._conflicts += 1
            self._schedule(pause_s, self._read_all)
            return
        self._conflicts = 0
        self._schedule(self._pause_s, self._resume)
        changed = self.copy.apply_delta(rows.rows, rows.version)
        if changed:
            self._on_change(changed)

    def _conflict_pause_s(self) -> float:
        """Return the seconds before the next read of all rows."""
        if not self._conflicts:
            return 0.0
        pause_s = min(BACKOFF_MAX_S, BACKOFF_S * 2.0 ** min(self._conflicts - 1, 8))
        return pause_s * self._rng.uniform(0.5, 1.0)
