"""Which daemons are live, from heartbeats, the platform's host list and settings.

Inside a data centre every host sends heartbeats to every other. To another
data centre a host sends them to two hosts, chosen by rendezvous hashing; each
host tells the peers of its own data centre which remote hosts it hears (its
*view*), and a remote host is live if anyone here hears it.

A few hosts of each data centre are its *delegates*: they do for all what each
would else do by itself. Every host finds them from what it has heard.
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

REMOTE_FACTOR = 4  # remote heartbeats and timeouts, over those inside
REMOTE_TARGETS = 2  # hosts of another data centre that hear this one
PROBES = 1  # unheard hosts of a data centre that are tried each round
PAUSE_FACTOR = 0.5  # share of the timeout between own ticks that is a pause
FORGET_AFTER_S = 600.0  # a dead host that no list names is forgotten
VIEW_REFRESH_S = 1.0  # between two requests for the same view
PEERS_MAX = 4096
TICK_SLACK_S = 0.005  # a tick that is a little early still sends


class Membership:
    """The hosts of a deployment as one of them sees them.

    :param host: this host.
    :param heartbeat_s: seconds between heartbeats inside the data centre.
    :param dead_after_s: silence after which a peer of the data centre is dead.
    :param full_rate_peers: peers of the data centre up to which heartbeats keep
        their pace; with more, both times grow in proportion.
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
        self._remote: dict[str, Host] = {}
        self._live_cache: dict[str | None, tuple[str, ...]] = {}

    # Input.

    def receive_heartbeat(self, message: Heartbeat, now: float) -> list[Event]:
        """Take a heartbeat from a peer."""
        host = message.host
        if host.name == self.host.name:
            if host.incarnation == self.host.incarnation:
                return []
            return [NameClash(host)]
        peer = self.by_name.get(host.name)
        if peer is None:
            if len(self.by_name) >= PEERS_MAX:
                return []
            peer = self.by_name[host.name] = Peer(host, heard_at=now)
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
        peer.heard_at = now
        peer.view = message.view
        peer.is_store_unreachable = message.is_store_unreachable
        peer.lists_version = max(peer.lists_version, message.lists_version)
        known = max(message.known_lists_version, message.lists_version)
        peer.known_lists_version = max(peer.known_lists_version, known)
        events.extend(self._enter(peer, message.state))
        return events

    def receive_view(self, sender: str, message: View, now: float) -> list[Event]:
        """Take the view of a peer of this data centre."""
        del now
        peer = self.by_name.get(sender)
        if peer is None or peer.host.data_centre != self.host.data_centre:
            return []
        peer.view_hosts = message.hosts
        return self._update_remote()

    def apply_host_list(self, hosts: t.Iterable[Host], now: float) -> None:
        """Take the platform's list of entry hosts, which lags.

        It only tells where to look for hosts: whether they live they say
        themselves.
        """
        listed = {host.name: host for host in hosts if host.name != self.host.name}
        for peer in self.by_name.values():
            peer.listed = peer.host.name in listed
        for name, host in listed.items():
            known = self.by_name.get(name)
            if known is None:
                host = dataclasses.replace(host, incarnation=0)
                self.by_name[name] = Peer(host, heard_at=now, listed=True)
                continue
            if known.state is HostState.DEAD or not known.has_sent_heartbeat:
                incarnation = known.host.incarnation
                known.host = dataclasses.replace(host, incarnation=incarnation)

    def tick(self, now: float) -> list[Event]:
        """Notice silence. Call it at least each heartbeat interval."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap > self._dead_after_s * PAUSE_FACTOR:
            for peer in self.by_name.values():
                peer.heard_at = max(peer.heard_at, min(peer.heard_at + gap, now))
            return [SelfPaused(gap)]
        events: list[Event] = []
        stretch = self._stretch()
        for peer in list(self.by_name.values()):
            silence = now - peer.heard_at
            if peer.state is HostState.DEAD or not peer.has_sent_heartbeat:
                if silence > FORGET_AFTER_S and not peer.listed:
                    del self.by_name[peer.host.name]
                continue
            if silence > self._timeout(peer, stretch):
                events.extend(self._bury(peer))
        return events

    # Output.

    def due_addresses(self, now: float) -> tuple[list[str], list[str]]:
        """Return the addresses, inside and remote, that a heartbeat goes to now."""
        inside: list[str] = []
        remote: list[str] = []
        heartbeat_s = self._heartbeat_s * self._stretch()
        if now - self._sent_at >= heartbeat_s - TICK_SLACK_S:
            self._sent_at = now
            inside.extend(self._inside_addresses())
        remote_s = self._heartbeat_s * REMOTE_FACTOR - TICK_SLACK_S
        if now - self._sent_remote_at >= remote_s:
            self._sent_remote_at = now
            remote.extend(self._remote_addresses())
            remote.extend(self._seed_addresses())
        return inside, list(dict.fromkeys(remote))

    def make_heartbeats_due(self) -> None:
        """Make the next heartbeats due at once, to announce a change."""
        self._sent_at = self._sent_remote_at = float("-inf")

    def is_delegate(self, count: int, now: float, silence_s: float) -> bool:
        """Tell whether this host is one of some delegates of its data centre.

        Delegates reach the store and were heard within ``silence_s``.
        """
        names = [self.host.name]
        for peer in self._inside():
            is_heard = peer.has_sent_heartbeat and now - peer.heard_at <= silence_s
            if (
                is_heard
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
        upstreams_version: int = 0,
        is_store_unreachable: bool = False,
    ) -> Heartbeat:
        """Return the heartbeat to send.

        :param models: what the engines here serve, for remote hosts.
        """
        self._seq += 1
        view = view_checksum(self._heard_remote())
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
        """Return the models that other data centres have told of."""
        models: dict[str, set[str]] = {}
        for host in (*self._heard_remote(), *self._remote.values()):
            models.setdefault(host.data_centre, set()).update(host.models)
        return models

    def own_view(self) -> View:
        """Return the remote hosts that this host hears itself."""
        hosts = sorted(self._heard_remote(), key=lambda host: host.name)
        return View(tuple(hosts))

    def view_request_addresses(self, now: float) -> list[str]:
        """Return the addresses of peers whose view has changed."""
        addresses = []
        for peer in self._inside():
            if peer.state is HostState.DEAD:
                continue
            if peer.view == view_checksum(peer.view_hosts):
                continue
            if now - peer.view_asked_at < VIEW_REFRESH_S:
                continue
            peer.view_asked_at = now
            addresses.append(peer.host.peer_address)
        return addresses

    def live(self, data_centre: str | None = None) -> tuple[str, ...]:
        """Return the names of the live hosts, this one among them, sorted."""
        names = self._live_cache.get(data_centre)
        if names is None:
            names = self._live_cache[data_centre] = self._find_live(data_centre)
        return names

    def find(self, name: str) -> Host | None:
        """Return a host that is not dead, by name."""
        if name == self.host.name:
            return self.host
        peer = self.by_name.get(name)
        if (
            peer is not None
            and peer.has_sent_heartbeat
            and peer.state is not HostState.DEAD
        ):
            return peer.host
        return self._remote.get(name)

    def lists_version(self) -> int:
        """Return the highest version of the lists that a live peer has."""
        return max((peer.lists_version for peer in self._heard()), default=0)

    def known_lists_version(self) -> int:
        """Return the highest version of the lists that any peer has told of."""
        versions = (peer.known_lists_version for peer in self.by_name.values())
        return max(versions, default=0)

    def count_direct_peers(self) -> int:
        """Return the number of peers that are heard directly."""
        return sum(1 for _ in self._heard())

    def holders(self, version: int) -> list[Host]:
        """Return the peers that hold a version of the lists, nearest first."""
        found = [peer for peer in self._heard() if peer.lists_version >= version]
        found.sort(key=self._distance)
        return [peer.host for peer in found]

    def live_local_hosts(self) -> list[Host]:
        """Return the other live hosts of this data centre."""
        return [p.host for p in self._inside() if p.state is HostState.LIVE]

    def unheard(self) -> list[Host]:
        """Return the listed hosts that have never been heard."""
        return [
            p.host
            for p in self.by_name.values()
            if not p.has_sent_heartbeat and p.listed
        ]

    def set_state(self, state: HostState) -> None:
        """Change what this host says of itself."""
        if state is not self.state:
            self.state = state
            self._changed()

    # Inside.

    def _is_stale(self, peer: Peer, message: Heartbeat) -> bool:
        if not peer.has_sent_heartbeat:
            return False
        if message.host.incarnation == peer.host.incarnation:
            return message.seq <= peer.seq
        # With skewed wall clocks a successor may count lower: take it once
        # the predecessor is silent.
        older = message.host.incarnation < peer.host.incarnation
        return older and peer.state is not HostState.DEAD

    def _enter(self, peer: Peer, state: HostState) -> list[Event]:
        if peer.state is HostState.LEAVING and state is not HostState.DEAD:
            return []
        if state is HostState.DEAD or peer.state is state:
            return []
        peer.state = state
        self._changed()
        if state is HostState.LIVE:
            return [PeerLive(peer.host)]
        if state is HostState.LEAVING:
            return [PeerLeaving(peer.host)]
        return []

    def _reset(self, peer: Peer) -> None:
        peer.state = HostState.JOINING
        peer.lists_version = 0
        peer.view_hosts = ()
        self._changed()

    def _bury(self, peer: Peer) -> list[Event]:
        peer.state = HostState.DEAD
        peer.view_hosts = ()
        self._changed()
        events: list[Event] = []
        if peer.host.name not in self._remote:
            events.append(PeerDead(peer.host))
        events.extend(self._update_remote())
        return events

    def _update_remote(self) -> list[Event]:
        """Join the views of all peers of the data centre."""
        remote: dict[str, Host] = {}
        for peer in self._inside():
            for host in peer.view_hosts:
                known = remote.get(host.name)
                if known is None or known.incarnation < host.incarnation:
                    remote[host.name] = host
        old, self._remote = self._remote, remote
        events: list[Event] = []
        for name, host in remote.items():
            before = old.pop(name, None)
            if self._hears(name) or before == host:
                continue
            if before is not None and before.incarnation != host.incarnation:
                events.append(PeerReplaced(host, before))
            events.append(PeerLive(host))
        events.extend(PeerDead(old[name]) for name in old if not self._hears(name))
        self._changed()
        return events

    def _hears(self, name: str) -> bool:
        peer = self.by_name.get(name)
        return (
            peer is not None
            and peer.has_sent_heartbeat
            and peer.state is not HostState.DEAD
        )

    def _changed(self) -> None:
        self.generation += 1
        self._live_cache.clear()

    def _stretch(self) -> float:
        """Return by how much the pace of heartbeats is slowed."""
        live = 0
        for peer in self._inside():
            live += peer.has_sent_heartbeat and peer.state is not HostState.DEAD
        return max(1.0, live / self._full_rate_peers)

    def _timeout(self, peer: Peer, stretch: float) -> float:
        if peer.host.data_centre == self.host.data_centre:
            return self._dead_after_s * stretch
        return self._dead_after_s * REMOTE_FACTOR

    def _distance(self, peer: Peer) -> tuple[bool, str]:
        return peer.host.data_centre != self.host.data_centre, peer.host.name

    def _heard(self) -> t.Iterator[Peer]:
        for peer in self.by_name.values():
            if peer.has_sent_heartbeat and peer.state is not HostState.DEAD:
                yield peer

    def _inside(self) -> t.Iterator[Peer]:
        for peer in self.by_name.values():
            if peer.host.data_centre == self.host.data_centre:
                yield peer

    def _heard_remote(self) -> list[Host]:
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
        for name, host in self._remote.items():
            if not self._hears(name):
                found.add(host)
        names = {host.name for host in found if data_centre in (None, host.data_centre)}
        return tuple(sorted(names))

    def _inside_addresses(self) -> t.Iterator[str]:
        for peer in self._inside():
            yield peer.host.peer_address

    def _seed_addresses(self) -> t.Iterator[str]:
        known = {peer.host.peer_address for peer in self.by_name.values()}
        for address in self.seeds:
            if address not in known and address != self.host.peer_address:
                yield address

    def _remote_addresses(self) -> t.Iterator[str]:
        hosts_by_centre: dict[str, dict[str, Host]] = {}
        silent_by_centre: dict[str, list[Host]] = {}
        for host in self._remote.values():
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
        # Silent hosts are tried in turn, so that a healed partition is noticed.
        for silent in silent_by_centre.values():
            for step in range(min(PROBES, len(silent))):
                yield silent[(self._seq + step) % len(silent)].peer_address
