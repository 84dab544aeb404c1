"""What this host knows from the store, or from peers that follow it.

A few hosts of each data centre follow the store. All others learn from
heartbeats that a peer knows of a later change, and ask that peer.
"""

import random
import typing as t

from ..core.directory import Directory
from ..core.hosts import Host
from ..core.relay_rows import RelayedTable
from ..core.relay_rows import decode_relayed
from ..core.relay_rows import encode_relayed
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

TICK_S = 0.25
CHANGES_PAUSE_S = 0.2
"""Seconds in which changes of upstreams are gathered: calls are priced, and two
seconds are left for an upstream that leaves."""

FEED_OVERDUE_S = 0.5
"""Seconds after which a host that follows the store asks a peer for what the store
should have told it: over twice the pause between two calls for changes."""

ALONE_S = 0.6
"""Seconds without a table after which a host that no peer tells of it reads the
store: some round trips to a peer."""

RELAY_TIMEOUT_S = 0.5
RELAY_PATH = "/tables/"
AFTER = "?after="
OK = 200
NEVER = float("-inf")


class TableSync:
    """The lists and the upstreams in force.

    :param on_news: called after a table has changed, with its name.
    :param follows: tells whether this host should follow the store.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        lapse_s: float,
        rng: random.Random,
        *,
        on_news: t.Callable[[str], None],
        follows: t.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._on_news = on_news
        self._follows = follows
        self.directory: Directory | None = None
        self.replicas = ReplicaSet(lapse_s)
        self._pending_relays: set[str] = set()
        # By table: what was known when a peer first knew more, and the instant.
        self._behind_by_table: dict[str, tuple[int, float]] = {}
        self._trouble_at = NEVER
        self._started_at = loop.now
        self._lists = TableFollower(
            loop, pool, store, wire_lists.TABLE, self._on_lists, rng
        )
        self._upstreams = TableFollower(
            loop,
            pool,
            store,
            wire_replicas.TABLE,
            self._on_upstreams,
            rng,
            pause_s=CHANGES_PAUSE_S,
        )
        self._follower_by_table = {
            follower.table: follower for follower in (self._lists, self._upstreams)
        }

    def start(self) -> None:
        """Begin to follow the store or peers."""
        self._started_at = self._loop.now
        self._tick()

    @property
    def is_complete(self) -> bool:
        """Tell whether lists and upstreams are known."""
        return self.directory is not None and self._upstreams.copy.is_complete

    @property
    def is_following(self) -> bool:
        """Tell whether this host follows the store itself."""
        return self._lists.is_active

    @property
    def is_store_unreachable(self) -> bool:
        """Tell whether the last call to the store failed."""
        return any(f.is_store_unreachable for f in self._follower_by_table.values())

    def lists_version(self) -> int:
        """Return the version of the lists in force, 0 for none."""
        return 0 if self.directory is None else self.directory.version

    def upstreams_version(self) -> int:
        """Return the version of the newest change of upstreams that is known."""
        return self._upstreams.copy.version

    def choose_source(self) -> None:
        """Follow the store, or leave that to peers."""
        waited_s = self._loop.now - self._started_at
        is_alone = not self.is_complete and waited_s > ALONE_S
        follows = self._follows() or is_alone
        if follows is self._lists.is_active:
            return
        log_event("source_chosen", source="store" if follows else "peers")
        for follower in self._follower_by_table.values():
            if follows:
                follower.start()
            else:
                follower.stop()

    def on_newer_lists(self, host: Host) -> None:
        """Take word that a peer has newer lists."""
        self._ask_if_due(self._lists, host)

    def on_newer_upstreams(self, host: Host) -> None:
        """Take word that a peer knows of a later change of upstreams."""
        self._ask_if_due(self._upstreams, host)

    def encode_relay(self, target: str) -> bytes | None:
        """Return what a peer asks for, ``None`` if it is not known."""
        table, _, after = target.removeprefix(RELAY_PATH).partition(AFTER)
        follower = self._follower_by_table.get(table)
        if follower is None or not follower.copy.is_complete:
            return None
        copy = follower.copy
        since = copy.since(int(after)) if after.isdigit() else None
        rows = copy.live_rows() if since is None else since
        trouble_s = self._trouble_s(follower)
        return encode_relayed(rows, copy.as_of, trouble_s, is_all=since is None)

    def _trouble_s(self, follower: TableFollower) -> float | None:
        """Return the seconds since the store had trouble, ``None`` for never.

        What keeps this host alone from the store is no trouble to others.
        """
        if self.is_store_unreachable:
            return None
        trouble_at = max(self._trouble_at, follower.failed_at)
        return None if trouble_at == NEVER else self._loop.now - trouble_at

    # Rows.

    def _on_lists(self, rows: list[StoreRow]) -> None:
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
        self._on_news(wire_lists.TABLE)

    def _on_upstreams(self, rows: list[StoreRow]) -> None:
        now = self._loop.now
        failed_at = max(f.failed_at for f in self._follower_by_table.values())
        failed_at = max(failed_at, self._trouble_at)
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
            if replica is not None and self.replicas.put(replica):
                _log_replica(replica, row.version)
        if rows:
            self._on_news(wire_replicas.TABLE)

    @staticmethod
    def _decode(row: StoreRow) -> Replica | None:
        assert row.value is not None
        try:
            return wire_replicas.decode_replica(row.key, row.value)
        except UpstreamError as error:
            log_event("upstream_unreadable", level="WARNING", reason=error)
            return None

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        self.choose_source()
        is_away = self._upstreams.is_store_unreachable
        dropped = self.replicas.drop_lapsed(
            self._loop.now, is_store_unreachable=is_away
        )
        for name in dropped:
            log_event("upstream_gone", replica=name, reason="lapsed")
        if dropped:
            self._on_news(wire_replicas.TABLE)

    # Peers.

    def _ask_if_due(self, follower: TableFollower, host: Host) -> None:
        """Ask a peer for changes, unless the store is about to tell of them."""
        if follower.is_active and not follower.is_store_unreachable:
            known = follower.copy.version
            behind = self._behind_by_table.get(follower.table)
            if behind is None or behind[0] != known:
                behind = self._behind_by_table[follower.table] = known, self._loop.now
            if self._loop.now - behind[1] < FEED_OVERDUE_S:
                return
            follower.restart_feed("a peer knows more")
        self._ask(follower, host)

    def _ask(self, follower: TableFollower, host: Host) -> None:
        table = follower.table
        if table in self._pending_relays:
            return
        self._pending_relays.add(table)

        def on_answer(answer: Answer) -> None:
            self._pending_relays.discard(table)
            if answer.status == OK:
                self._take_relayed(follower, host, answer.body)
                return
            log_event(
                "relay_unanswered",
                table=table,
                peer=host.name,
                status=answer.status,
                reason=answer.reason,
            )

        Fetch(
            self._loop,
            self._pool,
            Upstream(host.address, ("peer", host.incarnation)),
            Call("GET", f"{RELAY_PATH}{table}{AFTER}{follower.copy.as_of}"),
            RELAY_TIMEOUT_S,
            on_answer,
        )

    def _take_relayed(self, follower: TableFollower, host: Host, body: bytes) -> None:
        try:
            relayed = decode_relayed(follower.table, body)
        except PeerError as error:
            log_event("relay_unreadable", level="WARNING", reason=error)
            return
        news = self._merge(follower, relayed)
        log_event(
            "table_relayed",
            table=follower.table,
            peer=host.name,
            version=follower.copy.as_of,
            news=len(news),
        )
        if relayed.trouble_s is not None:
            trouble_at = self._loop.now - relayed.trouble_s
            self._trouble_at = max(self._trouble_at, trouble_at)
        if not news:
            return
        if follower is self._lists:
            self._on_lists(news)
        else:
            self._on_upstreams(news)

    @staticmethod
    def _merge(follower: TableFollower, relayed: RelayedTable) -> list[StoreRow]:
        rows = relayed.store_rows(follower.table)
        if relayed.is_all:
            return follower.copy.apply_snapshot(rows, relayed.as_of)
        return follower.copy.apply_delta(rows, relayed.as_of)


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
