"""What this host knows from the store, and from peers while it can't reach it."""

import random
import typing as t

from ..core.directory import Directory
from ..core.hosts import Host
from ..core.relay_rows import decode_table
from ..core.relay_rows import encode_table
from ..core.replicas import Replica
from ..core.replicas import ReplicaSet
from ..core.store import Call
from ..core.store import StoreRow
from ..exceptions import ListsError
from ..exceptions import PeerError
from ..exceptions import UpstreamError
from ..logs import log_event
from ..platform import lists as wire_lists
from ..platform import replicas as wire_replicas
from .fetch import Answer
from .fetch import Fetch
from .follower import TableFollower
from .loop import Loop
from .transfer import Upstream
from .transfer import UpstreamPool

SETTLE_TICK_S = 0.25
CHANGES_PAUSE_S = 0.2
"""Seconds in which changes of upstreams are gathered: calls are priced, and two
seconds are left for an upstream that leaves."""

RELAY_TICK_S = 0.4
"""Seconds between two questions to peers while the store is away."""

RELAY_TIMEOUT_S = 0.5
RELAY_PATH = "/tables/"


class Knowledge:
    """The lists and the upstreams in force.

    :param on_lists: called after new lists are in force.
    :param on_replicas: called after upstreams have changed.
    :param peers: returns the live peers, the nearest first.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        lapse_s: float,
        rng: random.Random,
        *,
        on_lists: t.Callable[[], None],
        on_replicas: t.Callable[[], None],
        peers: t.Callable[[], list[Host]],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._rng = rng
        self._on_lists_changed = on_lists
        self._on_replicas_changed = on_replicas
        self._peers = peers
        self.directory: Directory | None = None
        self.replicas = ReplicaSet(lapse_s)
        self._row_by_key: dict[str, dict[str, StoreRow]] = {}
        self._is_asking: set[str] = set()
        self._lists = TableFollower(
            loop, pool, store, wire_lists.TABLE, self._on_lists, rng
        )
        self._upstreams = TableFollower(
            loop,
            pool,
            store,
            wire_replicas.TABLE,
            self._on_replicas,
            rng,
            pause_s=CHANGES_PAUSE_S,
        )
        self._followers = {
            follower.table: follower for follower in (self._lists, self._upstreams)
        }

    def start(self) -> None:
        """Begin to follow the store."""
        for follower in self._followers.values():
            follower.start()
        self._loop.call_later(SETTLE_TICK_S, self._settle)
        self._loop.call_later(RELAY_TICK_S, self._relay)

    @property
    def is_complete(self) -> bool:
        """Tell whether lists and upstreams are known."""
        return self.directory is not None and self._upstreams.version is not None

    @property
    def is_store_away(self) -> bool:
        """Tell whether the last call to the store failed."""
        return any(follower.is_away for follower in self._followers.values())

    def lists_version(self) -> int:
        """Return the version of the lists in force, 0 for none."""
        return 0 if self.directory is None else self.directory.version

    def ask(self, table: str, host: Host) -> None:
        """Ask a peer for a table."""
        if table in self._is_asking:
            return
        self._is_asking.add(table)

        def on_answer(answer: Answer) -> None:
            self._is_asking.discard(table)
            if answer.status == 200:
                self._take_relayed(table, host, answer.body)

        Fetch(
            self._loop,
            self._pool,
            Upstream(host.address, ("peer", host.incarnation)),
            Call("GET", RELAY_PATH + table),
            RELAY_TIMEOUT_S,
            on_answer,
        )

    def ask_lists(self, host: Host) -> None:
        """Ask a peer for the lists."""
        self.ask(wire_lists.TABLE, host)

    def relayed(self, path: str) -> bytes | None:
        """Return a table for a peer, ``None`` if it is not known."""
        table = path.removeprefix(RELAY_PATH)
        follower = self._followers.get(table)
        if follower is None or follower.version is None:
            return None
        rows = list(self._row_by_key.get(table, {}).values())
        return encode_table(follower.version, rows)

    # The store.

    def _keep(self, table: str, rows: tuple[StoreRow, ...], *, is_all: bool) -> None:
        by_key = self._row_by_key.setdefault(table, {})
        if is_all:
            by_key.clear()
        for row in rows:
            if row.value is None:
                by_key.pop(row.key, None)
                continue
            by_key[row.key] = row

    def _on_lists(self, rows: tuple[StoreRow, ...], is_all: bool) -> None:
        self._keep(wire_lists.TABLE, rows, is_all=is_all)
        for row in rows:
            if row.value is None or not wire_lists.is_directory_row(row.table, row.key):
                continue
            self._take_lists(row.value)

    def _take_lists(self, value: bytes) -> None:
        try:
            directory = wire_lists.decode_directory(value)
        except ListsError as error:
            log_event("lists_unreadable", level="ERROR", reason=error)
            return
        before = self.lists_version()
        if directory.version <= before:
            return
        self.directory = directory
        log_event("lists_taken", version=directory.version, before=before)
        self._on_lists_changed()

    def _on_replicas(self, rows: tuple[StoreRow, ...], is_all: bool) -> None:
        self._keep(wire_replicas.TABLE, rows, is_all=is_all)
        now = self._loop.now
        failed_at = max(f.failed_at for f in self._followers.values())
        found = []
        for row in rows:
            if row.value is None:
                self.replicas.remove(row.key, now, failed_at)
                log_event(
                    "upstream_row_gone",
                    replica=row.key,
                    version=row.version,
                    waits=row.key in self.replicas.by_name,
                )
                continue
            replica = self._decode(row)
            if replica is None:
                continue
            found.append(replica)
            if not is_all and self.replicas.put(replica):
                _log_replica(replica, row.version)
        if is_all:
            self.replicas.replace(found, now, failed_at)
            log_event("upstreams_read", count=len(found))
        self._on_replicas_changed()

    @staticmethod
    def _decode(row: StoreRow) -> Replica | None:
        assert row.value is not None
        try:
            return wire_replicas.decode_replica(row.key, row.value)
        except UpstreamError as error:
            log_event("upstream_unreadable", level="WARNING", reason=error)
            return None

    def _settle(self) -> None:
        self._loop.call_later(SETTLE_TICK_S, self._settle)
        is_away = self._upstreams.is_away
        dropped = self.replicas.settle(self._loop.now, is_store_away=is_away)
        for name in dropped:
            log_event("upstream_gone", replica=name, reason="lapsed")
        if dropped:
            self._on_replicas_changed()

    # Peers.

    def _relay(self) -> None:
        self._loop.call_later(RELAY_TICK_S, self._relay)
        away = [f.table for f in self._followers.values() if f.is_away]
        if not away:
            return
        peers = self._peers()
        if not peers:
            return
        host = peers[0] if self._rng.random() < 0.5 else self._rng.choice(peers)
        for table in away:
            self.ask(table, host)

    def _take_relayed(self, table: str, host: Host, body: bytes) -> None:
        try:
            version, rows = decode_table(table, body)
        except PeerError as error:
            log_event("relay_unreadable", level="WARNING", reason=error)
            return
        if table == wire_lists.TABLE:
            # Judged by the version of the lists, not of the store.
            self._on_lists(rows, True)
            return
        follower = self._followers[table]
        if follower.version is None or version > follower.version:
            log_event("table_relayed", table=table, peer=host.name, version=version)
            follower.take(version, rows)


def _log_replica(replica: Replica, version: int) -> None:
    log_event(
        "upstream_changed",
        replica=replica.name,
        data_centre=replica.data_centre,
        accelerator=replica.accelerator,
        leaving=replica.is_leaving,
        layers=replica.layers,
        version=version,
    )
