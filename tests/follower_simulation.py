"""Daemons that follow the lists, with a platform and links that can be cut."""

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

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.centre = name[0]
        self.holder = ListsHolder()
        self.started_at = world.clock.monotonic()
        self.frozen_until = 0.0
        self.beat_at = 0.0
        self.heard = {}
        self.calls = []
        self.mail = []
        self.reached_platform = False
        self.snapshot = 0
        self.whole_reads = 0
        rng = random.Random(f"{world.seed} {name} {self.started_at}")
        self.rng = rng
        self.freshness = ListsRefresh(INTERVAL_S, self.started_at, rng.random)
        self.follower = Follower(
            self.holder,
            world.clock,
            self.freshness,
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
        now = self.world.clock.monotonic()
        self.world.reads.append(now)
        due = now + self.rng.uniform(0.0, self.world.delay_s)
        # The platform answers as of now; the answer may come much later.
        self.calls.append((due, run, self.world.version))

    def read(self):
        if self.world.is_down or self.name in self.world.cut_platform:
            raise PlatformUnavailableError("cut")
        self.reached_platform = True
        return Lists(version=self.snapshot)

    def read_since(self, lists):
        self.whole_reads += 1
        return self.read()

    def fetch(self, peer, lists):
        other = self.world.by_name.get(peer)
        if other is None or not self.world.reaches(self.name, peer):
            raise PeerError("cut")
        if self.world.is_frozen(other):
            raise PeerError("no answer")
        return other.holder.current

    def live(self):
        now = self.world.clock.monotonic()
        return {n: v for n, v in self.heard.items() if now - v[2] <= DEAD_AFTER_S}

    def peers(self):
        live = self.live()
        held = max((value[0] for value in live.values()), default=0)
        known = max((value[1] for value in self.heard.values()), default=0)
        holders = sorted(n for n, value in live.items() if value[0] >= held)
        return PeerVersions(len(live), held, known, tuple(holders) if held else ())

    def rank(self):
        names = {name for name in self.live() if name[0] == self.centre} | {self.name}
        return ranked(f"lists/{self.centre}", names).index(self.name)

    def on_lists_replaced(self, old, new):
        assert new.version > old.version
        self.beat_at = 0.0

    def step(self, now):
        mail, self.mail = self.mail, []
        for name, held, known in mail:
            self.heard[name] = (held, known, now)
        self.follower.tick()
        due = [call for call in self.calls if call[0] <= now]
        self.calls = [call for call in self.calls if call[0] > now]
        for _, run, snapshot in due:
            self.snapshot = snapshot
            run()
        if now - self.beat_at >= HEARTBEAT_S:
            self.beat_at = now
            self.world.beat(self)

    def serves(self, now):
        """Return whether a request would be judged now, without waiting."""
        return self.freshness.is_ready and self.freshness.is_fresh(now)


class World:
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

    def reaches(self, one, other):
        return frozenset((one, other)) not in self.cut_links

    def is_frozen(self, daemon):
        return self.clock.monotonic() < daemon.frozen_until

    def beat(self, daemon):
        versions = (daemon.version, daemon.follower.highest_known_version())
        for other in self.by_name.values():
            if other is not daemon and self.reaches(daemon.name, other.name):
                other.mail.append((daemon.name, *versions))

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
                # A request may come before anything else runs.
                self.judge(daemon, now)
                daemon.step(now)
                self.judge(daemon, now)

    def judge(self, daemon, now):
        """Serve a request, and check that its version is not an older one."""
        if not daemon.serves(now):
            return
        served = self.served.get(daemon.name, 0)
        version = daemon.version
        assert version > 0, f"{daemon.name} serves without lists"
        if version < served:
            assert self.is_excused(daemon), f"{daemon.name}: {version} after {served}"
            return
        self.served[daemon.name] = version

    def is_excused(self, daemon):
        """Return whether nobody could have told a restarted daemon.

        It has not reached the platform since, and no peer that it has heard
        knows of a higher version.
        """
        if daemon.reached_platform:
            return False
        known = [value[1] for value in daemon.heard.values()]
        return max(known, default=0) <= daemon.version
