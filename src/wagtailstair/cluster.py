"""Membership of this host in the cluster: peers, dispatch, accounts and plans."""

import pathlib
import random
import typing as t

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from .clock import Clock
from .core.lists import Lists
from .core.lists import ListsHolder
from .core.lists_refresh import ListsRefresh
from .core.membership import Host
from .core.membership import HostState
from .core.membership import Membership
from .core.pools import PoolFactory
from .core.rendezvous import owner
from .exceptions import NotReadyError
from .exceptions import PeerError
from .exceptions import SettingsError
from .follower import Follower
from .peers.bulk import SIGNATURE_HEADER
from .peers.bulk import RecentChanges
from .peers.bulk import check_request
from .peers.bulk import fetch_lists
from .peers.bulk import serve_lists
from .peers.node import Node
from .peers.transport import UdpTransport
from .settings import Settings
from .stores.hosts import HostEntry
from .stores.lists import read_head
from .stores.lists import read_since
from .stores.table import Table

LISTS_REFRESH_TIMEOUT_S = 2.0
STATUS_FORBIDDEN = 403
STATUS_BAD_REQUEST = 400


def read_peer_key(settings: Settings) -> bytes:
    """Return the secret that peers share; empty if none is set.

    :raises SettingsError: if its file can't be read or is empty.
    """
    path = settings.peers.key_file
    if not path:
        return b""
    try:
        key = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"can't be read: {error}", where=path) from error
    if not key:
        raise SettingsError("expected a secret, got an empty file", where=path)
    # BLAKE2 accepts keys of up to 64 bytes.
    return key[:64]


def _ip_of(address: str) -> str:
    return address.rpartition(":")[0].strip("[]")


class Cluster:
    """The peers of a daemon, the dispatcher, and the lists of accounts and plans.

    :param incarnation: increases with each start of this host.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        incarnation: int,
        http_port: int,
        table: Table,
        make_pool: PoolFactory,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._key = read_peer_key(settings)
        self._recent_changes = RecentChanges()
        self.lists_holder = ListsHolder()
        host = settings.host
        transport = UdpTransport(
            host.name, incarnation, host.address, host.peer_port, clock, self._key
        )
        self.traffic = transport.traffic
        self._host = Host(
            name=host.name,
            data_centre=host.data_centre,
            address=f"{host.address}:{http_port}",
            peer_address=f"{host.address}:{host.peer_port}",
            incarnation=incarnation,
        )
        now = clock.monotonic()
        self._membership = Membership(
            self._host,
            heartbeat_s=settings.peers.heartbeat_s,
            dead_after_s=settings.peers.dead_after_s,
            now=now,
            seeds=settings.peers.seeds,
        )
        self._node = Node(
            self._membership,
            transport,
            make_pool,
            clock,
            lambda: self.lists_holder.current.version,
            lambda version: self._lists_follower.request_tick(),
            known_lists_version=lambda: self._lists_follower.highest_known_version(),
        )
        self.dispatcher = self._node.dispatcher
        self._lists_follower = Follower(
            self.lists_holder,
            clock,
            ListsRefresh(settings.platform.lists_interval_s, now, rng.random),
            read_head=lambda: read_head(table).version,
            read_since=lambda lists: read_since(table, lists),
            fetch=self._fetch_from_peer,
            find_peers=self._node.peer_versions,
            find_rank=self._node.lists_rank,
            on_lists_replaced=self._handle_lists_applied,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the lists were current enough at some time to start serving."""
        return self._lists_follower.is_ready and self.lists_holder.current.version > 0

    def start(self) -> None:
        """Start the exchange with peers and the refresh of the lists."""
        self._node.start()
        self._lists_follower.start()

    def announce_live(self) -> None:
        """Announce to the peers that this host serves requests."""
        self._node.set_state(HostState.LIVE)

    def announce_leaving(self) -> None:
        """Announce to the peers that this host accepts no new work."""
        self._node.set_state(HostState.LEAVING)

    def stop(self) -> None:
        """Send a last heartbeat to the peers, and stop."""
        self._lists_follower.stop()
        self._node.stop()

    def fresh_lists(self) -> Lists:
        """Return the lists of accounts and plans to check a request against.

        Stale lists are refreshed first, but returned if that takes too long.

        :raises NotReadyError: if the host has none that it may start to serve with.
        """
        self._lists_follower.wait_until_fresh(
            self._clock.monotonic() + LISTS_REFRESH_TIMEOUT_S
        )
        lists = self.lists_holder.current
        if not self._lists_follower.is_ready or lists.version == 0:
            raise NotReadyError(
                "the lists of accounts and plans are not loaded yet", retry_after_s=1.0
            )
        return lists

    def is_host_dead(self, name: str, incarnation: str) -> bool:
        """Return whether an incarnation of a host is dead or has been replaced."""
        with self._node.lock:
            host = self._membership.find(name)
            peer = self._membership.by_name.get(name)
        if host is not None and incarnation.isdigit():
            return host.incarnation > int(incarnation)
        return peer is not None and peer.state is HostState.DEAD

    def owns_role(self, role: str) -> bool:
        """Return whether this host has a role, according to its view of the membership.

        Hosts with different views may both have it, so only roles that are safe to
        run twice may rely on this.
        """
        with self._node.lock:
            live = self._membership.live()
        return owner(role, live) == self._host.name

    def apply_host_list(self, entries: list[HostEntry]) -> None:
        """Apply the entry hosts of the platform's host list."""
        hosts = []
        for entry in entries:
            if not entry.peer_address or entry.is_leaving:
                continue
            hosts.append(
                Host(entry.name, entry.data_centre, entry.address, entry.peer_address)
            )
        self._node.apply_host_list(hosts)

    def describe_peers(self) -> list[dict[str, t.Any]]:
        """Return the peers for the status report, sorted by name."""
        descriptions = []
        with self._node.lock:
            for name in sorted(self._membership.by_name):
                peer = self._membership.by_name[name]
                if not peer.has_sent_heartbeat:
                    continue
                descriptions.append(
                    {
                        "host": name,
                        "data_centre": peer.host.data_centre,
                        "state": peer.state.name.lower(),
                        "lists_version": peer.lists_version,
                    }
                )
        return descriptions

    def serve_lists(self, request: Request) -> Response:
        """Answer a peer's request for the lists of accounts and plans."""
        text = request.args.get("after", "")
        if not text.isascii() or not text.isdigit():
            return Response("after: expected a version", status=STATUS_BAD_REQUEST)
        after = int(text)
        if not self._key and not self._is_peer_address(request.remote_addr or ""):
            # The lists contain hashes of API keys, which callers must not read.
            return Response("only for peers", status=STATUS_FORBIDDEN)
        try:
            signature = request.headers.get(SIGNATURE_HEADER, "")
            check_request(self._key, after, signature, self._clock)
        except PeerError as error:
            return Response(str(error), status=STATUS_FORBIDDEN)
        body = serve_lists(
            self.lists_holder.current, self._recent_changes, after, self._key
        )
        return Response(body, content_type="application/octet-stream")

    def _is_peer_address(self, ip: str) -> bool:
        if ip == _ip_of(self._host.address):
            return True
        with self._node.lock:
            peers = list(self._membership.by_name.values())
        return any(_ip_of(peer.host.address) == ip for peer in peers)

    def _fetch_from_peer(self, peer: str, lists: Lists) -> Lists:
        with self._node.lock:
            host = self._membership.find(peer)
        if host is None:
            raise PeerError("the peer is no longer live", where=peer)
        return fetch_lists(host.address, lists, self._clock, self._key)

    def _handle_lists_applied(self, old: Lists, new: Lists) -> None:
        self._recent_changes.record_changes(old, new)
        self._node.announce()
