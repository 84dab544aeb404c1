"""Simulates daemons that refresh the lists, with a platform and faulty links."""

import random

from wagtailstair.clock import ManualClock
from wagtailstair.core.lists import Lists
from wagtailstair.core.lists import ListsHolder
from wagtailstair.core.lists_refresh import ListsRefresh
from wagtailstair.core.lists_refresh import PeerVersions
from wagtailstair.core.rendezvous import ranked
from wagtailstair.exceptions import PeerError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.follower import Follower

STEP_S = 0.1
HEARTBEAT_S = 0.5
DEAD_AFTER_S = 2.5
INTERVAL_S = 1.0


class Daemon:
    """One incarnation of a daemon."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.centre = name[0]
        self.holder = ListsHolder()
        self.started_at = simulation.clock.monotonic()
        self.frozen_until = 0.0
        self.heartbeat_at = 0.0
        self.versions_by_peer = {}
        self.calls = []
        self.inbox = []
        self.reached_platform = False
        self.snapshot = 0
        self.lists_reads = 0
        rng = random.Random(f"{simulation.seed} {name} {self.started_at}")
        self.rng = rng
        self.refresh = ListsRefresh(INTERVAL_S, self.started_at, rng.random)
        self.follower = Follower(
            self.holder,
            simulation.clock,
            self.refresh,
            read_head=lambda: self.read().version,
            read_since=self.read_since,
            fetch=self.fetch,
            find_peers=self.peers,
            find_rank=self.rank,
            on_lists_replaced=self.on_lists_replaced,
            submit=self.submit,
        )

    @property
    def version(self):
        return self.holder.current.version

    def submit(self, run):
        now = self.simulation.clock.monotonic()
        self.simulation.reads.append(now)
        due = now + self.rng.uniform(0.0, self.simulation.delay_s)
        # The platform answers with its version as of now, even if the reply
        # arrives much later.
        self.calls.append((due, run, self.simulation.version))

    def read(self):
        if self.simulation.is_down or self.name in self.simulation.cut_platform:
            raise PlatformUnavailableError("platform unreachable")
        self.reached_platform = True
        return Lists(version=self.snapshot)

    def read_since(self, lists):
        self.lists_reads += 1
        return self.read()

    def fetch(self, peer, lists):
        other = self.simulation.by_name.get(peer)
        if other is None or not self.simulation.is_connected(self.name, peer):
            raise PeerError("peer unreachable")
        if self.simulation.is_frozen(other):
            raise PeerError("no answer")
        return other.holder.current

    def live(self):
        now = self.simulation.clock.monotonic()
        return {
            n: v for n, v in self.versions_by_peer.items() if now - v[2] <= DEAD_AFTER_S
        }

    def peers(self):
        live = self.live()
        held = max((value[0] for value in live.values()), default=0)
        known = max((value[1] for value in self.versions_by_peer.values()), default=0)
        holders = sorted(n for n, value in live.items() if value[0] >= held)
        return PeerVersions(len(live), held, known, tuple(holders) if held else ())

    def rank(self):
        names = {name for name in self.live() if name[0] == self.centre} | {self.name}
        return ranked(f"lists/{self.centre}", names).index(self.name)

    def on_lists_replaced(self, old, new):
        assert new.version > old.version
        self.heartbeat_at = 0.0

    def step(self, now):
        inbox, self.inbox = self.inbox, []
        for name, held, known in inbox:
            self.versions_by_peer[name] = (held, known, now)
        self.follower.tick()
        due = [call for call in self.calls if call[0] <= now]
        self.calls = [call for call in self.calls if call[0] > now]
        for _, run, snapshot in due:
            self.snapshot = snapshot
            run()
        if now - self.heartbeat_at >= HEARTBEAT_S:
            self.heartbeat_at = now
            self.simulation.send_heartbeat(self)

    def serves(self, now):
        """Return whether a request would be served now, without waiting."""
        return self.refresh.is_ready and self.refresh.is_fresh(now)


class FollowerSimulation:
    """The platform, the daemons and the links between them."""

    def __init__(self, names, seed=0):
        self.seed = seed
        self.clock = ManualClock(1000.0)
        self.version = 1
        self.is_down = False
        self.delay_s = 0.05
        self.cut_platform = set()
        self.cut_links = set()
        self.reads = []
        self.served = {}
        self.names = names
        self.by_name = {name: Daemon(self, name) for name in names}

    def is_connected(self, one, other):
        return frozenset((one, other)) not in self.cut_links

    def is_frozen(self, daemon):
        return self.clock.monotonic() < daemon.frozen_until

    def send_heartbeat(self, daemon):
        versions = (daemon.version, daemon.follower.highest_known_version())
        for other in self.by_name.values():
            if other is not daemon and self.is_connected(daemon.name, other.name):
                other.inbox.append((daemon.name, *versions))

    def restart(self, name):
        self.by_name[name] = Daemon(self, name)

    def freeze(self, name, seconds):
        self.by_name[name].frozen_until = self.clock.monotonic() + seconds

    def heal(self):
        self.is_down = False
        self.delay_s = 0.05
        self.cut_platform.clear()
        self.cut_links.clear()
        for daemon in self.by_name.values():
            daemon.frozen_until = 0.0

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            for daemon in self.by_name.values():
                if self.is_frozen(daemon):
                    continue
                # A request may arrive before the daemon's tick.
                self.serve_request(daemon, now)
                daemon.step(now)
                self.serve_request(daemon, now)

    def serve_request(self, daemon, now):
        """Serve a request, and check that the version of the lists did not decrease."""
        if not daemon.serves(now):
            return
        served = self.served.get(daemon.name, 0)
        version = daemon.version
        assert version > 0, f"{daemon.name} serves without lists"
        if version < served:
            assert self.may_serve_older(daemon), (
                f"{daemon.name}: {version} after {served}"
            )
            return
        self.served[daemon.name] = version

    def may_serve_older(self, daemon):
        """Return whether no newer version was reported to a restarted daemon.

        It has not reached the platform since its start, and no peer has reported
        a higher version to it.
        """
        if daemon.reached_platform:
            return False
        known = [value[1] for value in daemon.versions_by_peer.values()]
        return max(known, default=0) <= daemon.version
