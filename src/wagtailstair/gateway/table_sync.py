"""Keeps the lists and the upstreams up to date, from the store or from peers.

A few delegates of each data centre follow the store. The heartbeats of every
host carry its versions; a host that sees a newer version than its own requests
the changes from the sender.
"""

import dataclasses
import random
import typing as t

from ..core.directory import Directory
from ..core.hosts import Host
from ..core.relay_rows import RelayedTable
from ..core.relay_rows import ValueDeflater
from ..core.relay_rows import decode_relayed
from ..core.relay_rows import decode_request
from ..core.relay_rows import encode_relayed
from ..core.replicas import Replica
from ..core.replicas import ReplicaSet
from ..core.store import NO_VERSION
from ..core.store import StoreRow
from ..core.store import StoreVersion
from ..core.unordered_versions import UnorderedVersions
from ..exceptions import ListsError
from ..exceptions import PeerError
from ..exceptions import UpstreamError
from ..logs import log_event
from ..platform import lists as wire_lists
from ..platform import replicas as wire_replicas
from .fetch import Answer
from .follower import TableFollower
from .loop import Loop
from .relay_client import RelayClient
from .settings import StoreSection
from .store_eras import StoreEras
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

TICK_S = 0.25
CHANGES_PAUSE_S = 0.2
"""Seconds between two calls for changes of upstreams. Each call is billed, so that one
call should return several changes; a leaving upstream must be noticed within 2 s."""

FEED_OVERDUE_S = 0.5
"""Seconds after which a host that follows the store requests from a peer a change
that the store has not delivered: over twice ``CHANGES_PAUSE_S``."""

STORE_FALLBACK_S = 0.6
"""Seconds after the start within which peers should have sent the tables. A host that
lacks a table then reads the store. Covers a few round trips to a peer."""

NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Announcement:
    """The newest version of the lists that a peer has announced.

    ``behind_since``: when a peer first announced a newer version than the one held
    here, ``None`` while none has.
    """

    version: int = 0
    behind_since: float | None = None


class TableSync:
    """Holds the lists and the upstreams in force, and keeps them up to date.

    :param on_change: called after a table has changed, with its name.
    :param on_relay_ended: called with a table that was requested from a peer, the
        outcome and the seconds it took.
    :param should_follow_store: returns whether this host should follow the store.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        settings: StoreSection,
        rng: random.Random,
        eras: StoreEras,
        *,
        on_change: t.Callable[[str], None],
        on_relay_ended: t.Callable[[str, str, float], None],
        should_follow_store: t.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._on_change = on_change
        self._should_follow_store = should_follow_store
        self.directory: Directory | None = None
        self.replicas = ReplicaSet(settings.lapse_s)
        self._rewrite_s = settings.rewrite_s
        self._eras = eras
        # Era of the upstreams in force, ``None`` before the first ones.
        self._upstreams_era: int | None = None
        # Time at which the first upstreams of the current era were received.
        self._returned_at = NEVER
        self._unordered = UnorderedVersions()
        # Value of the row of the lists in force.
        self._lists_value = b""
        self._lists_taken_at = loop.now
        self._deflater = ValueDeflater()
        self.relays = RelayClient(loop, pool, self._apply_relay, on_relay_ended)
        # By table: the version held when a peer first announced a newer one, and
        # the time of that announcement.
        self._behind_by_table: dict[str, tuple[StoreVersion, float]] = {}
        # Time of the last store failure that a peer has reported.
        self._reported_failure_at = NEVER
        self._started_at = loop.now
        self._lists = TableFollower(
            loop, pool, store, wire_lists.TABLE, self._on_lists, rng, eras
        )
        self._upstreams = TableFollower(
            loop,
            pool,
            store,
            wire_replicas.TABLE,
            self._on_upstreams,
            rng,
            eras,
            pause_s=CHANGES_PAUSE_S,
        )
        self._follower_by_table = {
            follower.table: follower for follower in (self._lists, self._upstreams)
        }
        self._announced_lists = Announcement()

    def start(self) -> None:
        """Start to follow the store or peers."""
        self._started_at = self._loop.now
        self._tick()

    @property
    def is_complete(self) -> bool:
        """Return whether both the lists and the upstreams have been received."""
        return self.directory is not None and self._upstreams.copy.is_complete

    @property
    def is_following(self) -> bool:
        """Return whether this host follows the store itself."""
        return self._lists.is_active

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the last call to the store failed."""
        return any(f.is_store_unreachable for f in self._follower_by_table.values())

    def lists_version(self) -> int:
        """Return the version of the lists in force, 0 for none."""
        return 0 if self.directory is None else self.directory.version

    def upstreams_version(self) -> StoreVersion:
        """Return the version of the newest change of upstreams received."""
        return self._upstreams.copy.version

    def announced_lists_version(self) -> int:
        """Return the newest version of the lists that a peer announced, 0 for none."""
        return self._announced_lists.version

    @property
    def lists_age_s(self) -> float:
        """Return the seconds since the lists in force were received."""
        return self._loop.now - self._lists_taken_at

    def choose_source(self) -> None:
        """Start or stop following the store, as this host's role requires."""
        waited_s = self._loop.now - self._started_at
        needs_fallback = not self.is_complete and waited_s > STORE_FALLBACK_S
        # The versions of peers of earlier builds can't be compared.
        is_behind = self._unordered.is_ahead(
            self.upstreams_version().number, self._loop.now
        )
        should_follow = self._should_follow_store() or needs_fallback or is_behind
        if should_follow is self._lists.is_active:
            return
        log_event("source_chosen", source="store" if should_follow else "peers")
        for follower in self._follower_by_table.values():
            if should_follow:
                follower.start()
            else:
                follower.stop()

    def on_versions(self, host: Host, lists: int, upstreams: StoreVersion) -> None:
        """Apply the versions of the tables that a peer's heartbeat announces."""
        self._eras.observe(upstreams.era, host.name)
        if lists > self.lists_version():
            self.on_newer_lists(host, lists)
        if upstreams.era > self._eras.current:
            return
        held = self.upstreams_version()
        if upstreams > held:
            self.on_newer_upstreams(host, upstreams)
        elif not upstreams.era and upstreams.number > held.number:
            self._unordered.record(upstreams.number, self._loop.now)

    def on_newer_lists(self, host: Host, version: int) -> None:
        """Handle a heartbeat of a peer that has newer lists."""
        announced = self._announced_lists
        announced.version = max(announced.version, version)
        if announced.behind_since is None:
            announced.behind_since = self._loop.now
        # All rows, as the peer's lists may be newer than the store's row of them.
        self._request_if_due(self._lists, host, NO_VERSION, version)

    def on_newer_upstreams(self, host: Host, version: StoreVersion) -> None:
        """Handle a heartbeat of a peer that has newer changes of upstreams."""
        after = self._upstreams.copy.as_of
        if after.era != version.era:
            after = NO_VERSION
        self._request_if_due(self._upstreams, host, after, version)

    def _take_behind_s(self, version: int) -> float:
        """Return for how long newer lists were announced but not held here."""
        announced = self._announced_lists
        since = announced.behind_since
        if version >= announced.version:
            announced.behind_since = None
        return 0.0 if since is None else self._loop.now - since

    def encode_relay(self, target: str) -> bytes | None:
        """Encode the table that a peer requests, ``None`` if it is incomplete here."""
        request = decode_request(target)
        follower = self._follower_by_table.get(request.table)
        if follower is None or not follower.copy.is_complete:
            return None
        copy = follower.copy
        since = None
        if request.after is not None:
            since = copy.rows_since(StoreVersion(copy.as_of.era, request.after))
        rows = copy.live_rows() if since is None else since
        return encode_relayed(
            self._with_lists_in_force(rows) if follower is self._lists else rows,
            copy.as_of,
            self._store_failure_age_s(follower),
            is_all=since is None,
            deflater=self._deflater if request.accepts_deflate else None,
        )

    def _with_lists_in_force(self, rows: list[StoreRow]) -> list[StoreRow]:
        """Return rows with the lists in force instead of those of the store's copy."""
        if self.directory is None:
            return rows
        # No version of the store: the row yields to any that the store has.
        in_force = StoreRow(
            wire_lists.TABLE, wire_lists.KEY, self._lists_value, NO_VERSION
        )
        found = [in_force]
        for row in rows:
            if not wire_lists.is_directory_row(row.table, row.key):
                found.append(row)
            elif row.value == self._lists_value:
                found[0] = row
        return found

    def _store_failure_age_s(self, follower: TableFollower) -> float | None:
        """Return the seconds since the store last failed, ``None`` for never.

        A failure that may concern only this host is not reported: while the store
        is unreachable from here, the result is ``None``.
        """
        if self.is_store_unreachable:
            return None
        failed_at = max(self._reported_failure_at, follower.failed_at)
        return None if failed_at == NEVER else self._loop.now - failed_at

    # Rows.

    def _on_lists(self, rows: list[StoreRow]) -> None:
        for row in rows:
            if row.value is None or not wire_lists.is_directory_row(row.table, row.key):
                continue
            self._apply_lists(row.value)

    def _apply_lists(self, value: bytes) -> None:
        try:
            directory = wire_lists.decode_directory(value)
        except ListsError as error:
            log_event("lists_unreadable", level="ERROR", reason=error)
            return
        before = self.lists_version()
        if directory.version <= before:
            return
        self.directory = directory
        self._lists_value = value
        layers_by_service = {}
        for service in directory.service_by_name.values():
            if service.model is not None:
                layers_by_service[service.name] = service.model.layers
        self.replicas.apply_models(layers_by_service)
        self._lists_taken_at = self._loop.now
        log_event(
            "lists_taken",
            version=directory.version,
            before=before,
            bytes=len(value),
            behind=self._take_behind_s(directory.version),
            announced=self.announced_lists_version(),
        )
        self._on_change(wire_lists.TABLE)

    def _on_upstreams(self, rows: list[StoreRow]) -> None:
        now = self._loop.now
        is_return = self._apply_upstreams_era()
        failed_at = max(f.failed_at for f in self._follower_by_table.values())
        failed_at = max(failed_at, self._reported_failure_at, self._returned_at)
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
            if is_return and self.replicas.contradicts(replica):
                self.replicas.hold_back(replica, now + self._rewrite_s)
                log_event("upstream_held_back", replica=row.key, version=row.version)
                continue
            if self.replicas.put(replica):
                _log_replica(replica, row.version)
        if rows:
            self._on_change(wire_replicas.TABLE)

    def _apply_upstreams_era(self) -> bool:
        """Return whether the rows are the first of a later era of the store.

        Those of live upstreams may then be missing as after a failure of the store.
        """
        era = self._upstreams.copy.as_of.era
        before, self._upstreams_era = self._upstreams_era, era
        if before is None or era <= before:
            return False
        self._returned_at = self._loop.now
        return True

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
        is_unreachable = self._upstreams.is_store_unreachable
        dropped = self.replicas.drop_lapsed(
            self._loop.now, is_store_unreachable=is_unreachable
        )
        for name in dropped:
            log_event("upstream_gone", replica=name, reason="lapsed")
        applied = self.replicas.apply_held_back(self._loop.now)
        for replica in applied:
            _log_replica(replica, self.upstreams_version())
        if dropped or applied:
            self._on_change(wire_replicas.TABLE)

    # Peers.

    def _request_if_due(
        self,
        follower: TableFollower,
        host: Host,
        after: StoreVersion,
        announced: int | StoreVersion,
    ) -> None:
        """Request changes from a peer, unless the store should deliver them soon."""
        if follower.is_active and not follower.is_store_unreachable:
            version = follower.copy.version
            behind = self._behind_by_table.get(follower.table)
            if behind is None or behind[0] != version:
                behind = self._behind_by_table[follower.table] = version, self._loop.now
            if self._loop.now - behind[1] < FEED_OVERDUE_S:
                return
            follower.restart_feed("a peer has a newer version")
        self.relays.request(
            follower.table,
            host,
            after.number,
            announced,
            # Rows of upstreams are small.
            accepts_deflate=follower is self._lists,
        )

    def _apply_relay(self, table: str, host: Host, answer: Answer) -> None:
        follower = self._follower_by_table[table]
        try:
            relay = decode_relayed(table, answer.body)
        except PeerError as error:
            log_event("relay_unreadable", level="WARNING", reason=error)
            return
        if relay.era > self._eras.current:
            log_event("relay_unreadable", level="WARNING", reason=f"era {relay.era}")
            return
        changed = self._merge(follower, relay)
        log_event(
            "table_relayed",
            table=table,
            peer=host.name,
            version=follower.copy.as_of,
            news=len(changed),
            received=answer.received,
            took=answer.took_s,
        )
        if relay.trouble_s is not None:
            failed_at = self._loop.now - relay.trouble_s
            self._reported_failure_at = max(self._reported_failure_at, failed_at)
        if follower is self._lists:
            # The operator's version decides, whatever the store's is.
            self._on_lists(relay.store_rows(table))
        elif changed:
            self._on_upstreams(changed)

    @staticmethod
    def _merge(follower: TableFollower, relay: RelayedTable) -> list[StoreRow]:
        """Merge a relayed table into the copy; return the rows that changed."""
        rows = relay.store_rows(follower.table)
        if relay.is_all:
            return follower.copy.apply_snapshot(rows, relay.version)
        return follower.copy.apply_delta(rows, relay.version)


def _log_replica(replica: Replica, version: StoreVersion) -> None:
    log_event(
        "upstream_changed",
        replica=replica.name,
        data_centre=replica.data_centre,
        accelerator=replica.accelerator,
        leaving=replica.is_leaving,
        layers=replica.layers,
        version=version,
    )
