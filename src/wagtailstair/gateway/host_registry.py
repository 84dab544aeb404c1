"""Registers this host in the store's host rows, and reads those of the others."""

import random
import typing as t

from ..core.host_rows import TABLE
from ..core.host_rows import decode_host
from ..core.host_rows import encode_host
from ..core.hosts import Host
from ..core.store import Call
from ..core.store import StoreRow
from ..core.store import StoreRows
from ..exceptions import PlatformError
from ..logs import log_event
from ..platform import store as wire
from .fetch import Answer
from .fetch import Fetch
from .loop import Loop
from .store_eras import StoreEras
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

READ_INTERVAL_S = 20.0
"""Seconds between two reads of the host rows. A host that starts sends heartbeats by
itself, so that the rows need not be read often."""

STORE_TIMEOUT_S = 1.0
"""Seconds within which an answer must begin, and within which each further part of it
must arrive."""

BACKOFF_S = 0.5

REWRITE_SPREAD_S = 5.0
"""Seconds over which the hosts write their rows again after the store has come back
from an older copy. The live hosts know each other; only one that starts later needs
the rows."""


class HostRegistry:
    """Writes this host's row, then reads all rows from time to time.

    The row is written again whenever the store has come back from an older copy, which
    may lack it.

    :param on_hosts: called with the hosts that the rows name, this one included.
    :param should_reread: returns whether this host should read the rows again.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        host: Host,
        rng: random.Random,
        eras: StoreEras,
        *,
        on_hosts: t.Callable[[list[Host]], None],
        should_reread: t.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._store = store
        self._host = host
        self._rng = rng
        self._on_hosts = on_hosts
        self._should_reread = should_reread
        self._eras = eras
        eras.add_listener(self._on_return)

    def start(self) -> None:
        """Write this host's row, then read the rows of all hosts."""
        self._fetch(self._write_call(), lambda _rows: self._read(), self.start)

    def _on_return(self) -> None:
        delay_s = self._rng.uniform(0.0, REWRITE_SPREAD_S)
        self._loop.call_later(delay_s, self._rewrite)

    def _rewrite(self) -> None:
        self._fetch(self._write_call(), lambda _rows: None, self._rewrite)

    def _write_call(self) -> Call:
        value = encode_host(self._host)
        return wire.transact_call((), [(TABLE, self._host.name, value)])

    def _read(self) -> None:
        self._fetch(wire.read_call(TABLE), self._on_rows, self._read)

    def _reread(self) -> None:
        if self._should_reread():
            self._read()
            return
        self._schedule_reread()

    def _schedule_reread(self) -> None:
        delay_s = READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self._loop.call_later(delay_s, self._reread)

    def _on_rows(self, rows: StoreRows) -> None:
        self._schedule_reread()
        hosts = []
        for row in rows.rows:
            host = _decode(row)
            if host is not None:
                hosts.append(host)
        self._on_hosts(hosts)

    def _fetch(
        self,
        call: Call,
        on_rows: t.Callable[[StoreRows], None],
        retry: t.Callable[[], None],
    ) -> None:
        def on_answer(answer: Answer) -> None:
            try:
                rows = self._eras.decode(answer)
            except PlatformError as error:
                log_event("hosts_unread", level="WARNING", reason=error)
                pause_s = BACKOFF_S * self._rng.uniform(0.5, 1.5)
                self._loop.call_later(pause_s, retry)
                return
            on_rows(rows)

        Fetch(
            self._loop,
            self._pool,
            self._store,
            call,
            STORE_TIMEOUT_S,
            on_answer,
            stall_s=STORE_TIMEOUT_S,
        )


def _decode(row: StoreRow) -> Host | None:
    try:
        return decode_host(row)
    except PlatformError as error:
        log_event("host_unreadable", level="WARNING", reason=error)
        return None
