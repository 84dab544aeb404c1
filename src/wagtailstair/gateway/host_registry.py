"""The rows by which entry hosts find each other: one's own written, others read."""

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
from .fetch import decode_store_answer
from .loop import Loop
from .transfer import Upstream
from .transfer import UpstreamPool

HOSTS_AGAIN_S = 20.0
"""Seconds between two reads of the host rows; newcomers greet by themselves."""

STORE_TIMEOUT_S = 1.0
BACKOFF_S = 0.5


class HostRegistry:
    """Writes this host's row once, then reads all rows from time to time.

    :param on_hosts: takes the hosts that the rows name, this one among them.
    :param reads_again: tells whether this host should go on reading.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        host: Host,
        rng: random.Random,
        *,
        on_hosts: t.Callable[[list[Host]], None],
        reads_again: t.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._store = store
        self._host = host
        self._rng = rng
        self._on_hosts = on_hosts
        self._reads_again = reads_again

    def start(self) -> None:
        """Write this host's row, and read the others when that is done."""
        value = encode_host(self._host)
        call = wire.transact_call((), [(TABLE, self._host.name, value)])
        self._fetch(call, lambda _rows: self._read(), self.start)

    def _read(self) -> None:
        self._fetch(wire.read_call(TABLE), self._take, self._read)

    def _read_again(self) -> None:
        if self._reads_again():
            self._read()
            return
        self._read_later()

    def _read_later(self) -> None:
        delay_s = HOSTS_AGAIN_S * self._rng.uniform(0.8, 1.2)
        self._loop.call_later(delay_s, self._read_again)

    def _take(self, rows: StoreRows) -> None:
        self._read_later()
        hosts = []
        for row in rows.rows:
            host = _decode(row)
            if host is not None:
                hosts.append(host)
        self._on_hosts(hosts)

    def _fetch(
        self,
        call: Call,
        then: t.Callable[[StoreRows], None],
        again: t.Callable[[], None],
    ) -> None:
        def on_answer(answer: Answer) -> None:
            try:
                rows = decode_store_answer(answer)
            except PlatformError as error:
                log_event("hosts_unread", level="WARNING", reason=error)
                pause_s = BACKOFF_S * self._rng.uniform(0.5, 1.5)
                self._loop.call_later(pause_s, again)
                return
            then(rows)

        Fetch(self._loop, self._pool, self._store, call, STORE_TIMEOUT_S, on_answer)


def _decode(row: StoreRow) -> Host | None:
    try:
        return decode_host(row)
    except PlatformError as error:
        log_event("host_unreadable", level="WARNING", reason=error)
        return None
