import collections
import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests.follower_simulation import Daemon
from tests.follower_simulation import World
from wagtailstair.clock import SystemClock
from wagtailstair.core.lists import Lists as Snapshot
from wagtailstair.core.lists import ListsHolder
from wagtailstair.core.lists_refresh import REFRESH_S
from wagtailstair.core.lists_refresh import ListsRefresh
from wagtailstair.core.lists_refresh import PeerVersions
from wagtailstair.exceptions import PeerError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.follower import Follower

NAMES = ("a1", "a2", "a3", "b1", "b2")
IN_FORCE_S = 5.0
name = st.sampled_from(NAMES)


class Lists(RuleBasedStateMachine):
    """Five daemons in two data centres against the platform's version."""

    def __init__(self):
        super().__init__()
        self.world = World(NAMES)
        self.edits = 0
        self.world.run(3.0)

    @precondition(lambda self: not self.world.is_down)
    @rule()
    def edit(self):
        self.world.version += 1

    @rule(name=name)
    def cut_from_platform(self, name):
        self.world.cut_platform.add(name)

    @rule(name=name)
    def reach_platform(self, name):
        self.world.cut_platform.discard(name)

    @rule(one=name, other=name)
    def cut_link(self, one, other):
        if one != other:
            self.world.cut_links.add(frozenset((one, other)))

    @rule()
    def heal_links(self):
        self.world.cut_links.clear()

    @rule()
    def cut_data_centres(self):
        for one in NAMES:
            for other in NAMES:
                if one[0] != other[0]:
                    self.world.cut_links.add(frozenset((one, other)))

    @rule(is_down=st.booleans())
    def platform(self, is_down):
        self.world.is_down = is_down

    @rule(delay_s=st.sampled_from((0.05, 0.5, 1.8)))
    def slow(self, delay_s):
        self.world.delay_s = delay_s

    @rule(name=name, seconds=st.sampled_from((0.5, 1.5, 4.0)))
    def freeze(self, name, seconds):
        self.world.freeze(name, seconds)

    @rule(name=name)
    def restart(self, name):
        self.world.restart(name)

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def run(self, seconds):
        self.world.run(seconds)

    @rule()
    def settle(self):
        """All links are whole: the change is in force everywhere in time."""
        self.world.heal()
        self.world.run(IN_FORCE_S)
        self._check_all()

    @rule(name=name)
    def settle_without_platform(self, name):
        """One host is cut from the platform, but not from its peers."""
        self.world.heal()
        self.world.run(IN_FORCE_S)
        self.world.cut_platform.add(name)
        self.world.version += 1
        self.world.run(IN_FORCE_S)
        self._check_all()

    @rule()
    def settle_without_platform_in_a_data_centre(self):
        self.world.heal()
        self.world.run(IN_FORCE_S)
        self.world.cut_platform.update(name for name in NAMES if name[0] == "a")
        self.world.version += 1
        self.world.run(IN_FORCE_S)
        self._check_all()

    def _check_all(self):
        versions = {n: d.version for n, d in self.world.by_name.items()}
        assert set(versions.values()) == {self.world.version}, versions
        ready = {n: d.freshness.is_ready for n, d in self.world.by_name.items()}
        assert all(ready.values()), ready

    @invariant()
    def nobody_is_ahead_of_the_platform(self):
        for daemon in self.world.by_name.values():
            assert daemon.version <= self.world.version


TestLists = Lists.TestCase
TestLists.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)


class TestStart:
    def test_is_not_ready_without_lists_from_anyone(self):
        world = World(NAMES)
        world.is_down = True
        world.run(60.0)
        assert not any(d.freshness.is_ready for d in world.by_name.values())

    def test_not_ready_while_platform_and_peers_are_unreachable(self):
        world = World(NAMES)
        world.run(3.0)
        world.restart("a1")
        world.cut_platform.add("a1")
        world.cut_links.update(frozenset(("a1", other)) for other in NAMES[1:])
        world.run(60.0)
        assert not world.by_name["a1"].freshness.is_ready

    def test_takes_the_lists_from_peers_while_the_platform_is_away(self):
        world = World(NAMES)
        world.run(3.0)
        world.is_down = True
        world.restart("a1")
        world.run(5.0)
        assert world.by_name["a1"].freshness.is_ready
        assert world.by_name["a1"].version == 1

    def test_waits_for_a_version_that_peers_know_of_but_lack(self):
        world = World(NAMES)
        world.run(3.0)
        world.version = 2
        everyone_else = set(NAMES) - {"a1"}
        world.cut_platform = set(everyone_else)
        daemon = world.by_name["a1"]
        for other in everyone_else:
            world.by_name[other].follower._fetch = _refuse
        world.run(15.0)
        assert daemon.version == 2
        assert world.by_name["a2"].version == 1
        world.is_down = True
        world.restart("a1")
        world.run(30.0)
        assert not world.by_name["a1"].freshness.is_ready
        world.heal()
        world.run(5.0)
        assert world.by_name["a1"].version == 2


def _refuse(peer, lists):
    raise PeerError("no answer")


class TestPause:
    def test_request_after_a_freeze_waits_for_the_refresh(self):
        world = World(NAMES)
        world.run(3.0)
        world.freeze("a1", 30.0)
        world.run(10.0)
        world.version = 2
        world.run(21.0)
        assert world.by_name["a1"].version == 2
        assert world.served["a1"] == 2
        # No request was judged by version 1 once the host had thawed.
        daemon = Daemon(world, "a1")
        daemon.freshness.is_ready = True
        daemon.freshness.record_applied(1)
        now = world.clock.monotonic()
        assert daemon.freshness.is_fresh(now)
        assert not daemon.freshness.is_fresh(now + 30.0)

    def test_waits_for_about_a_second_at_most(self):
        world = World(NAMES)
        world.run(3.0)
        world.is_down = True
        world.delay_s = 100.0
        world.freeze("a1", 10.0)
        world.run(10.0)
        daemon = world.by_name["a1"]
        now = world.clock.monotonic()
        assert not daemon.freshness.is_fresh(now)
        assert daemon.freshness.is_fresh(now + REFRESH_S)

    def test_read_that_began_before_the_freeze_proves_nothing(self):
        world = World(NAMES)
        world.run(3.0)
        daemon = world.by_name["a1"]
        world.delay_s = 0.05
        while not daemon.calls:
            world.clock.advance(0.1)
            daemon.follower.tick()
        world.version = 2
        world.clock.advance(30.0)
        now = world.clock.monotonic()
        assert not daemon.freshness.is_fresh(now)
        for _, run, snapshot in daemon.calls:
            daemon.snapshot = snapshot
            run()
        daemon.calls.clear()
        assert not daemon.freshness.is_fresh(now)


class TestTable:
    NAMES = tuple(f"{centre}{number}" for centre in "abcd" for number in range(12))

    def windows(self, reads):
        return collections.Counter(int(at) for at in reads)

    def test_one_reader_a_data_centre_does_most_reads(self):
        world = World(self.NAMES)
        world.run(15.0)
        world.reads.clear()
        world.run(20.0)
        rate = len(world.reads) / 20.0
        assert rate < 4 * 3.0

    def test_recovery_of_the_table_causes_no_read_burst(self):
        world = World(self.NAMES)
        world.run(15.0)
        world.is_down = True
        world.reads.clear()
        world.run(60.0)
        assert max(self.windows(world.reads).values()) <= len(self.NAMES)
        world.is_down = False
        world.version += 1
        world.reads.clear()
        world.run(6.0)
        assert max(self.windows(world.reads).values()) <= 2 * len(self.NAMES)
        assert {d.version for d in world.by_name.values()} == {2}

    def test_start_of_all_at_once(self):
        world = World(self.NAMES)
        world.run(10.0)
        assert {d.version for d in world.by_name.values()} == {1}
        whole = sum(1 for d in world.by_name.values() if d.whole_reads)
        assert whole <= 4 * 3


class TestThreads:
    def test_follows_and_survives_errors(self):
        clock = SystemClock()
        holder = ListsHolder()
        answers = [RuntimeError("no"), PlatformUnavailableError("away"), 3]
        taken = threading.Event()

        def read_head():
            answer = answers.pop(0) if len(answers) > 1 else answers[0]
            if isinstance(answer, Exception):
                raise answer
            return answer

        follower = Follower(
            holder,
            clock,
            ListsRefresh(0.05, clock.monotonic(), lambda: 0.5),
            read_head=read_head,
            read_since=lambda lists: Snapshot(version=3),
            fetch=_refuse,
            find_peers=PeerVersions,
            find_rank=lambda: 0,
            on_lists_replaced=lambda old, new: taken.set(),
        )
        follower.start()
        assert taken.wait(20.0)
        assert follower.wait_until_fresh(clock.monotonic() + 20.0)
        end = clock.monotonic() + 20.0
        while not follower.is_ready:
            assert clock.monotonic() < end
        follower.stop()
        assert holder.current.version == 3
