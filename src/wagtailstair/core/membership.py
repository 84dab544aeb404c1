"""Liveness of hosts, from heartbeats, the platform's host list and settings.

Within a data centre every host sends heartbeats to every other host. To each
other data centre it sends them to two hosts, chosen by rendezvous hashing.
Each host shares with the peers of its data centre which remote hosts send it
heartbeats (its *view*); a remote host is live if it is in any of these views.

A few hosts of each data centre are its *delegates*, which do work on behalf of
all its hosts. Every host determines them from the heartbeats it has received.
"""

import dataclasses
import typing as t

from .hosts import Event as Event
from .hosts import Heartbeat as Heartbeat
from .hosts import Host as Host
from .hosts import HostState as HostState
from .hosts import NameClash as NameClash
from .hosts import PeerDead as PeerDead
from .hosts import PeerLeaving as PeerLeaving
from .hosts import PeerLive as PeerLive
from .hosts import PeerReplaced as PeerReplaced
from .hosts import SelfPaused as SelfPaused
from .hosts import View as View
from .hosts import ViewRequest as ViewRequest
from .peer import Peer as Peer
from .peer import view_checksum as view_checksum
from .rendezvous import ranked
from .store import NO_VERSION
from .store import StoreVersion

REMOTE_FACTOR = 4  # remote heartbeat interval and timeout, relative to local ones
REMOTE_TARGETS = 2  # hosts of each remote data centre that get heartbeats
PROBES = 1  # silent hosts of each remote data centre tried per round
PAUSE_FRACTION = 0.5  # of the timeout; a longer gap between ticks is a pause
FORGET_AFTER_S = 600.0  # of silence; then an unlisted host is removed
VIEW_REQUEST_INTERVAL_S = 1.0  # between two requests for the same view
PEERS_MAX = 4096  # heartbeats of further hosts are ignored
TICK_SLACK_S = 0.005  # a tick that is this much early still sends heartbeats


class Membership:
    """The hosts of a deployment, as seen by one of them.

    :param host: this host.
    :param heartbeat_s: seconds between heartbeats within the data centre.
    :param dead_after_s: seconds without a heartbeat after which a peer of the
        data centre is dead.
    :param full_rate_peers: number of live peers of the data centre above which
        heartbeat interval and timeout grow in proportion to that number.
    """

    def __init__(
        self,
        host: Host,
        *,
        heartbeat_s: float,
        dead_after_s: float,
        now: float,
        seeds: t.Iterable[str] = (),
        full_rate_peers: int = PEERS_MAX,
    ) -> None:
        self.host = host
        self.state = HostState.JOINING
        self.by_name: dict[str, Peer] = {}
        self.seeds = tuple(seeds)
        self.generation = 0
        self._heartbeat_s = heartbeat_s
        self._dead_after_s = dead_after_s
        self._full_rate_peers = full_rate_peers
        self._seq = 0
        self._ticked_at = now
        self._sent_at = float("-inf")
        self._sent_remote_at = float("-inf")
        self._remote_by_name: dict[str, Host] = {}
        self._live_cache: dict[str | None, tuple[str, ...]] = {}

    # Input.

    def receive_heartbeat(self, message: Heartbeat, now: float) -> list[Event]:
        """Apply a heartbeat from a peer; return the resulting events."""
        host = message.host
        if host.name == self.host.name:
            if host.incarnation == self.host.incarnation:
                return []
            return [NameClash(host)]
        peer = self.by_name.get(host.name)
        if peer is None:
            if len(self.by_name) >= PEERS_MAX:
                return []
            peer = self.by_name[host.name] = Peer(host, silent_since=now)
        elif self._is_stale(peer, message):
            return []
        events: list[Event] = []
        replaced = peer.has_sent_heartbeat and peer.host.incarnation != host.incarnation
        if replaced:
            events.append(PeerReplaced(host, peer.host))
            self._reset(peer)
        peer.host = host
        peer.seq = message.seq
        peer.has_sent_heartbeat = True
        peer.silent_since = now
        peer.view = message.view
        peer.is_store_unreachable = message.is_store_unreachable
        peer.lists_version = max(peer.lists_version, message.lists_version)
        known = max(message.known_lists_version, message.lists_version)
        peer.known_lists_version = max(peer.known_lists_version, known)
        events.extend(self._set_peer_state(peer, message.state))
        return events

    def receive_view(self, sender: str, message: View, now: float) -> list[Event]:
        """Apply the view of a peer of this data centre; ignore any other."""
        del now
        peer = self.by_name.get(sender)
        if peer is None or peer.host.data_centre != self.host.data_centre:
            return []
        peer.view_hosts = message.hosts
        return self._update_remote()

    def apply_host_list(self, hosts: t.Iterable[Host], now: float) -> None:
        """Apply the platform's list of entry hosts.

        The list lags behind, so it only provides addresses to contact. Liveness
        comes from heartbeats alone.
        """
        host_by_name = {h.name: h for h in hosts if h.name != self.host.name}
        for peer in self.by_name.values():
            peer.is_listed = peer.host.name in host_by_name
        for name, host in host_by_name.items():
            known = self.by_name.get(name)
            if known is None:
                host = dataclasses.replace(host, incarnation=0)
                self.by_name[name] = Peer(host, silent_since=now, is_listed=True)
                continue
            if known.state is HostState.DEAD or not known.has_sent_heartbeat:
                incarnation = known.host.incarnation
                known.host = dataclasses.replace(host, incarnation=incarnation)

    def tick(self, now: float) -> list[Event]:
        """Detect peers that have timed out; return the resulting events.

        Must be called at least once per heartbeat interval.
        """
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > self._dead_after_s * PAUSE_FRACTION:
            for peer in self.by_name.values():
                peer.silent_since = max(
                    peer.silent_since, min(peer.silent_since + gap, now)
                )
            return [SelfPaused(gap)]
        events: list[Event] = []
        slowdown = self._slowdown()
        for peer in list(self.by_name.values()):
            silence = now - peer.silent_since
            if peer.state is HostState.DEAD or not peer.has_sent_heartbeat:
                if silence > FORGET_AFTER_S and not peer.is_listed:
                    del self.by_name[peer.host.name]
                continue
            if silence > self._timeout(peer, slowdown):
                events.extend(self._mark_dead(peer))
        return events

    # Output.

    def due_addresses(self, now: float) -> tuple[list[str], list[str]]:
        """Return the local and remote addresses whose heartbeat is due."""
        local: list[str] = []
        remote: list[str] = []
        heartbeat_s = self._heartbeat_s * self._slowdown()
        if now - self._sent_at >= heartbeat_s - TICK_SLACK_S:
            self._sent_at = now
            local.extend(self._local_addresses())
        remote_s = self._heartbeat_s * REMOTE_FACTOR - TICK_SLACK_S
        if now - self._sent_remote_at >= remote_s:
            self._sent_remote_at = now
            remote.extend(self._remote_addresses())
            remote.extend(self._seed_addresses())
        return local, list(dict.fromkeys(remote))

    def make_heartbeats_due(self) -> None:
        """Make all heartbeats due immediately, to announce a change."""
        self._sent_at = self._sent_remote_at = float("-inf")

    def is_delegate(self, count: int, now: float, silence_s: float) -> bool:
        """Return whether this host is one of the delegates of its data centre.

        The delegates are the first ``count`` by name among this host and its live
        peers that can reach the store.

        :param silence_s: greatest age of the last heartbeat of such a peer.
        """
        names = [self.host.name]
        for peer in self._local_peers():
            is_recent = peer.has_sent_heartbeat and now - peer.silent_since <= silence_s
            if (
                is_recent
                and peer.state is HostState.LIVE
                and not peer.is_store_unreachable
            ):
                names.append(peer.host.name)
        return self.host.name in sorted(names)[:count]

    def next_heartbeat(
        self,
        lists_version: int,
        known_lists_version: int,
        models: tuple[str, ...] = (),
        *,
        upstreams_version: StoreVersion = NO_VERSION,
        is_store_unreachable: bool = False,
    ) -> Heartbeat:
        """Return the next heartbeat to send.

        :param models: models that the engines of this data centre serve.
        """
        self._seq += 1
        view = view_checksum(self._direct_remote_hosts())
        host = dataclasses.replace(self.host, models=models)
        return Heartbeat(
            host,
            self._seq,
            self.state,
            lists_version,
            view,
            known_lists_version,
            upstreams_version,
            is_store_unreachable,
        )

    def models_by_centre(self) -> dict[str, set[str]]:
        """Return the models that the hosts of other data centres announce."""
        models: dict[str, set[str]] = {}
        for host in (*self._direct_remote_hosts(), *self._remote_by_name.values()):
            models.setdefault(host.data_centre, set()).update(host.models)
        return models

    def own_view(self) -> View:
        """Return the live remote hosts that send heartbeats to this host."""
        hosts = sorted(self._direct_remote_hosts(), key=lambda host: host.name)
        return View(tuple(hosts))

    def view_request_addresses(self, now: float) -> list[str]:
        """Return the addresses of peers to ask for their changed view."""
        addresses = []
        for peer in self._local_peers():
            if peer.state is HostState.DEAD:
                continue
            if peer.view == view_checksum(peer.view_hosts):
                continue
            if now - peer.view_requested_at < VIEW_REQUEST_INTERVAL_S:
                continue
            peer.view_requested_at = now
            addresses.append(peer.host.peer_address)
        return addresses

    def live(self, data_centre: str | None = None) -> tuple[str, ...]:
        """Return the sorted names of the live hosts, including this one."""
        names = self._live_cache.get(data_centre)
        if names is None:
            names = self._live_cache[data_centre] = self._find_live(data_centre)
        return names

    def find(self, name: str) -> Host | None:
        """Return the host with a name, ``None`` if it is unknown or dead."""
        if name == self.host.name:
            return self.host
        peer = self.by_name.get(name)
        if (
            peer is not None
            and peer.has_sent_heartbeat
            and peer.state is not HostState.DEAD
        ):
            return peer.host
        return self._remote_by_name.get(name)

    def lists_version(self) -> int:
        """Return the highest version of the lists that a direct peer holds."""
        return max((peer.lists_version for peer in self._direct_peers()), default=0)

    def known_lists_version(self) -> int:
        """Return the highest version of the lists that any peer has announced."""
        versions = (peer.known_lists_version for peer in self.by_name.values())
        return max(versions, default=0)

    def count_direct_peers(self) -> int:
        """Return the number of peers whose heartbeats arrive directly."""
        return sum(1 for _ in self._direct_peers())

    def holders(self, version: int) -> list[Host]:
        """Return the direct peers that hold at least a version of the lists.

        Those of this data centre come first.
        """
        found = [peer for peer in self._direct_peers() if peer.lists_version >= version]
        found.sort(key=self._distance)
        return [peer.host for peer in found]

    def live_local_hosts(self) -> list[Host]:
        """Return the other live hosts of this data centre."""
        return [p.host for p in self._local_peers() if p.state is HostState.LIVE]

    def listed_without_heartbeat(self) -> list[Host]:
        """Return the listed hosts that have never sent a heartbeat."""
        return [
            p.host
            for p in self.by_name.values()
            if not p.has_sent_heartbeat and p.is_listed
        ]

    def set_state(self, state: HostState) -> None:
        """Set the state that the heartbeats of this host announce."""
        if state is not self.state:
            self.state = state
            self._mark_changed()

    # Internals.

    def _is_stale(self, peer: Peer, message: Heartbeat) -> bool:
        if not peer.has_sent_heartbeat:
            return False
        if message.host.incarnation == peer.host.incarnation:
            return message.seq <= peer.seq
        # Incarnations come from wall clocks, so with clock skew a successor may
        # have a lower one. Accept it once the predecessor is dead.
        older = message.host.incarnation < peer.host.incarnation
        return older and peer.state is not HostState.DEAD

    def _set_peer_state(self, peer: Peer, state: HostState) -> list[Event]:
        if peer.state is HostState.LEAVING and state is not HostState.DEAD:
            return []
        if state is HostState.DEAD or peer.state is state:
            return []
        peer.state = state
        self._mark_changed()
        if state is HostState.LIVE:
            return [PeerLive(peer.host)]
        if state is HostState.LEAVING:
            return [PeerLeaving(peer.host)]
        return []

    def _reset(self, peer: Peer) -> None:
        peer.state = HostState.JOINING
        peer.lists_version = 0
        peer.view_hosts = ()
        self._mark_changed()

    def _mark_dead(self, peer: Peer) -> list[Event]:
        peer.state = HostState.DEAD
        peer.view_hosts = ()
        self._mark_changed()
        events: list[Event] = []
        if peer.host.name not in self._remote_by_name:
            events.append(PeerDead(peer.host))
        events.extend(self._update_remote())
        return events

    def _update_remote(self) -> list[Event]:
        """Merge the views of all peers of this data centre."""
        remote: dict[str, Host] = {}
        for peer in self._local_peers():
            for host in peer.view_hosts:
                known = remote.get(host.name)
                if known is None or known.incarnation < host.incarnation:
                    remote[host.name] = host
        old, self._remote_by_name = self._remote_by_name, remote
        events: list[Event] = []
        for name, host in remote.items():
            before = old.pop(name, None)
            if self._has_direct_peer(name) or before == host:
                continue
            if before is not None and before.incarnation != host.incarnation:
                events.append(PeerReplaced(host, before))
            events.append(PeerLive(host))
        events.extend(
            PeerDead(old[name]) for name in old if not self._has_direct_peer(name)
        )
        self._mark_changed()
        return events

    def _has_direct_peer(self, name: str) -> bool:
        peer = self.by_name.get(name)
        return (
            peer is not None
            and peer.has_sent_heartbeat
            and peer.state is not HostState.DEAD
        )

    def _mark_changed(self) -> None:
        self.generation += 1
        self._live_cache.clear()

    def _slowdown(self) -> float:
        """Return the factor by which heartbeat interval and timeout grow."""
        live = 0
        for peer in self._local_peers():
            live += peer.has_sent_heartbeat and peer.state is not HostState.DEAD
        return max(1.0, live / self._full_rate_peers)

    def _timeout(self, peer: Peer, slowdown: float) -> float:
        if peer.host.data_centre == self.host.data_centre:
            return self._dead_after_s * slowdown
        return self._dead_after_s * REMOTE_FACTOR

    def _distance(self, peer: Peer) -> tuple[bool, str]:
        return peer.host.data_centre != self.host.data_centre, peer.host.name

    def _direct_peers(self) -> t.Iterator[Peer]:
        for peer in self.by_name.values():
            if peer.has_sent_heartbeat and peer.state is not HostState.DEAD:
                yield peer

    def _local_peers(self) -> t.Iterator[Peer]:
        for peer in self.by_name.values():
            if peer.host.data_centre == self.host.data_centre:
                yield peer

    def _direct_remote_hosts(self) -> list[Host]:
        return [
            peer.host
            for peer in self.by_name.values()
            if peer.state is HostState.LIVE
            and peer.host.data_centre != self.host.data_centre
        ]

    def _find_live(self, data_centre: str | None) -> tuple[str, ...]:
        found = set()
        if self.state is HostState.LIVE:
            found.add(self.host)
        for peer in self.by_name.values():
            if peer.state is HostState.LIVE:
                found.add(peer.host)
        for name, host in self._remote_by_name.items():
            if not self._has_direct_peer(name):
                found.add(host)
        names = {host.name for host in found if data_centre in (None, host.data_centre)}
        return tuple(sorted(names))

    def _local_addresses(self) -> t.Iterator[str]:
        for peer in self._local_peers():
            yield peer.host.peer_address

    def _seed_addresses(self) -> t.Iterator[str]:
        known = {peer.host.peer_address for peer in self.by_name.values()}
        for address in self.seeds:
            if address not in known and address != self.host.peer_address:
                yield address

    def _remote_addresses(self) -> t.Iterator[str]:
        hosts_by_centre: dict[str, dict[str, Host]] = {}
        silent_by_centre: dict[str, list[Host]] = {}
        for host in self._remote_by_name.values():
            hosts_by_centre.setdefault(host.data_centre, {})[host.name] = host
        for peer in self.by_name.values():
            centre = peer.host.data_centre
            if centre == self.host.data_centre:
                continue
            if peer.has_sent_heartbeat and peer.state is not HostState.DEAD:
                hosts_by_centre.setdefault(centre, {})[peer.host.name] = peer.host
            else:
                silent_by_centre.setdefault(centre, []).append(peer.host)
        for by_name in hosts_by_centre.values():
            for name in ranked(self.host.name, by_name)[:REMOTE_TARGETS]:
                yield by_name[name].peer_address
        # Probe silent hosts in turn, so that the end of a partition is detected.
        for silent in silent_by_centre.values():
            for step in range(min(PROBES, len(silent))):
                yield silent[(self._seq + step) % len(silent)].peer_address
