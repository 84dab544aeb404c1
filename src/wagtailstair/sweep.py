"""Deletes claims past their retention, one page at a time, on one host."""

import itertools
import threading
import typing as t

from .claims import Claims
from .core.rows import Row
from .exceptions import PlatformError
from .logs import log_event

INTERVAL_S = 60.0  # between two pages
PAGE_ROWS = 1000
TABLE = "claims"

Scan = t.Callable[[str, str], t.Iterator[Row]]


class Sweeper:
    """Sweeps the claims' table page by page, and starts over at its end.

    :param scan: yields the rows of a table after a key.
    :param is_owner: returns whether this host is the one that sweeps. Two hosts
        at once only cost extra reads: each delete is conditional on its row.
    """

    def __init__(
        self,
        claims: Claims,
        scan: Scan,
        is_owner: t.Callable[[], bool],
        interval_s: float = INTERVAL_S,
    ) -> None:
        self._claims = claims
        self._scan = scan
        self._is_owner = is_owner
        self._interval_s = interval_s
        self._after = ""
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sweep", daemon=True)

    def start(self) -> None:
        """Start the thread that sweeps."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current page, without waiting for it."""
        self._stopping.set()

    def sweep_page(self) -> int:
        """Sweep the next page; return the number of claims deleted."""
        rows = list(itertools.islice(self._scan(TABLE, self._after), PAGE_ROWS))
        self._after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        return self._claims.sweep(rows)

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            if not self._is_owner():
                continue
            try:
                swept = self.sweep_page()
            except PlatformError as error:
                log_event("sweep_failed", level="WARNING", code=error.code)
                continue
            if swept:
                log_event("claims_swept", count=swept)
