"""The cluster as this host sees it: peers, dispatch, and the lists all follow."""

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
from .peers.bulk import HEADER
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

REFRESH_TIMEOUT_S = 2.0
FORBIDDEN = 403
BAD_REQUEST = 400


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
    # A keyed hash takes at most this much.
    return key[:64]


def _ip_of(address: str) -> str:
    return address.rpartition(":")[0].strip("[]")


class Cluster:
    """The peers of a daemon and what it shares with them.

    :param incarnation: grows with each start of this host.
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
        self._recent = RecentChanges()
        self.holder = ListsHolder()
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
            lambda: self.holder.current.version,
            lambda version: self._follower.heard(),
            known_lists_version=lambda: self._follower.known(),
        )
        self.dispatcher = self._node.dispatcher
        self._follower = Follower(
            self.holder,
            clock,
            ListsRefresh(settings.platform.lists_interval_s, now, rng.random),
            read_head=lambda: read_head(table).version,
            read_since=lambda lists: read_since(table, lists),
            fetch=self._fetch,
            find_peers=self._node.peer_versions,
            find_rank=self._node.lists_rank,
            on_taken=self._on_taken,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether the lists are good enough to serve by."""
        return self._follower.is_ready and self.holder.current.version > 0

    def start(self) -> None:
        """Begin to talk to peers and to follow the lists."""
        self._node.start()
        self._follower.start()

    def announce_live(self) -> None:
        """Tell the peers that this host serves."""
        self._node.set_state(HostState.LIVE)

    def announce_leaving(self) -> None:
        """Tell the peers that this host gets no new work."""
        self._node.set_state(HostState.LEAVING)

    def stop(self) -> None:
        """Tell the peers for a last time, and stop."""
        self._follower.stop()
        self._node.stop()

    def fresh_lists(self) -> Lists:
        """Return the lists to judge a request by.

        :raises NotReadyError: if there are none yet.
        """
        self._follower.wait_until_fresh(self._clock.monotonic() + REFRESH_TIMEOUT_S)
        lists = self.holder.current
        if not self._follower.is_ready or lists.version == 0:
            raise NotReadyError("no lists yet", retry_after_s=1.0)
        return lists

    def is_dead(self, name: str, incarnation: str) -> bool:
        """Tell whether an incarnation of a host is known to be gone."""
        with self._node.lock:
            host = self._membership.find(name)
            peer = self._membership.by_name.get(name)
        if host is not None and incarnation.isdigit():
            return host.incarnation > int(incarnation)
        return peer is not None and peer.state is HostState.DEAD

    def owns(self, role: str) -> bool:
        """Tell whether this host has a role that costs little if two have it."""
        with self._node.lock:
            live = self._membership.live()
        return owner(role, live) == self._host.name

    def take_host_list(self, entries: list[HostEntry]) -> None:
        """Take the entry hosts that the platform lists."""
        hosts = []
        for entry in entries:
            if not entry.peer_address or entry.is_leaving:
                continue
            hosts.append(
                Host(entry.name, entry.data_centre, entry.address, entry.peer_address)
            )
        self._node.apply_host_list(hosts)

    def peers(self) -> list[dict[str, t.Any]]:
        """Describe the peers for operators."""
        found = []
        with self._node.lock:
            for name in sorted(self._membership.by_name):
                peer = self._membership.by_name[name]
                if not peer.heard:
                    continue
                found.append(
                    {
                        "host": name,
                        "data_centre": peer.host.data_centre,
                        "state": peer.state.name.lower(),
                        "lists_version": peer.lists_version,
                    }
                )
        return found

    def serve_lists(self, request: Request) -> Response:
        """Answer a peer that asks for the lists."""
        text = request.args.get("after", "")
        if not text.isascii() or not text.isdigit():
            return Response("after: expected a version", status=BAD_REQUEST)
        after = int(text)
        if not self._key and not self._is_peer_address(request.remote_addr or ""):
            # The lists hold the hashes of keys, which no caller may read.
            return Response("only for peers", status=FORBIDDEN)
        try:
            signature = request.headers.get(HEADER, "")
            check_request(self._key, after, signature, self._clock)
        except PeerError as error:
            return Response(str(error), status=FORBIDDEN)
        body = serve_lists(self.holder.current, self._recent, after, self._key)
        return Response(body, content_type="application/octet-stream")

    def _is_peer_address(self, ip: str) -> bool:
        if ip == _ip_of(self._host.address):
            return True
        with self._node.lock:
            peers = list(self._membership.by_name.values())
        return any(_ip_of(peer.host.address) == ip for peer in peers)

    def _fetch(self, peer: str, lists: Lists) -> Lists:
        with self._node.lock:
            host = self._membership.find(peer)
        if host is None:
            raise PeerError("not heard any more", where=peer)
        return fetch_lists(host.address, lists, self._clock, self._key)

    def _on_taken(self, old: Lists, new: Lists) -> None:
        self._recent.note(old, new)
        self._node.announce()
