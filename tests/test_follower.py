import collections
import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests.follower_simulation import Daemon
from tests.follower_simulation import FollowerSimulation
from wagtailstair.clock import SystemClock
from wagtailstair.core.lists import Lists
from wagtailstair.core.lists import ListsHolder
from wagtailstair.core.lists_refresh import MAX_REFRESH_WAIT_S
from wagtailstair.core.lists_refresh import ListsRefresh
from wagtailstair.core.lists_refresh import PeerVersions
from wagtailstair.exceptions import PeerError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.follower import Follower

NAMES = ("a1", "a2", "a3", "b1", "b2")
PROPAGATION_LIMIT_S = 5.0
name = st.sampled_from(NAMES)


class ListsMachine(RuleBasedStateMachine):
    """Compares the versions of five daemons with the platform's, under faults."""

    def __init__(self):
        super().__init__()
        self.simulation = FollowerSimulation(NAMES)
        self.edits = 0
        self.simulation.run(3.0)

    @precondition(lambda self: not self.simulation.is_down)
    @rule()
    def edit(self):
        self.simulation.version += 1

    @rule(name=name)
    def cut_from_platform(self, name):
        self.simulation.cut_platform.add(name)

    @rule(name=name)
    def reach_platform(self, name):
        self.simulation.cut_platform.discard(name)

    @rule(one=name, other=name)
    def cut_link(self, one, other):
        if one != other:
            self.simulation.cut_links.add(frozenset((one, other)))

    @rule()
    def heal_links(self):
        self.simulation.cut_links.clear()

    @rule()
    def cut_data_centres(self):
        for one in NAMES:
            for other in NAMES:
                if one[0] != other[0]:
                    self.simulation.cut_links.add(frozenset((one, other)))

    @rule(is_down=st.booleans())
    def set_platform_down(self, is_down):
        self.simulation.is_down = is_down

    @rule(delay_s=st.sampled_from((0.05, 0.5, 1.8)))
    def set_platform_delay(self, delay_s):
        self.simulation.delay_s = delay_s

    @rule(name=name, seconds=st.sampled_from((0.5, 1.5, 4.0)))
    def freeze(self, name, seconds):
        self.simulation.freeze(name, seconds)

    @rule(name=name)
    def restart(self, name):
        self.simulation.restart(name)

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def run(self, seconds):
        self.simulation.run(seconds)

    @rule()
    def check_after_healing(self):
        """With all links up, every daemon has the newest lists within the limit."""
        self.simulation.heal()
        self.simulation.run(PROPAGATION_LIMIT_S)
        self._check_all()

    @rule(name=name)
    def check_with_one_daemon_cut_from_platform(self, name):
        """A daemon cut from the platform gets the newest lists from its peers."""
        self.simulation.heal()
        self.simulation.run(PROPAGATION_LIMIT_S)
        self.simulation.cut_platform.add(name)
        self.simulation.version += 1
        self.simulation.run(PROPAGATION_LIMIT_S)
        self._check_all()

    @rule()
    def check_with_one_data_centre_cut_from_platform(self):
        self.simulation.heal()
        self.simulation.run(PROPAGATION_LIMIT_S)
        self.simulation.cut_platform.update(name for name in NAMES if name[0] == "a")
        self.simulation.version += 1
        self.simulation.run(PROPAGATION_LIMIT_S)
        self._check_all()

    def _check_all(self):
        versions = {n: d.version for n, d in self.simulation.by_name.items()}
        assert set(versions.values()) == {self.simulation.version}, versions
        ready = {n: d.refresh.is_ready for n, d in self.simulation.by_name.items()}
        assert all(ready.values()), ready

    @invariant()
    def no_daemon_is_ahead_of_the_platform(self):
        for daemon in self.simulation.by_name.values():
            assert daemon.version <= self.simulation.version


TestLists = ListsMachine.TestCase
TestLists.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)


class TestStart:
    def test_not_ready_without_any_lists(self):
        simulation = FollowerSimulation(NAMES)
        simulation.is_down = True
        simulation.run(60.0)
        assert not any(d.refresh.is_ready for d in simulation.by_name.values())

    def test_not_ready_while_platform_and_peers_are_unreachable(self):
        simulation = FollowerSimulation(NAMES)
        simulation.run(3.0)
        simulation.restart("a1")
        simulation.cut_platform.add("a1")
        simulation.cut_links.update(frozenset(("a1", other)) for other in NAMES[1:])
        simulation.run(60.0)
        assert not simulation.by_name["a1"].refresh.is_ready

    def test_fetches_lists_from_peers_while_platform_is_unreachable(self):
        simulation = FollowerSimulation(NAMES)
        simulation.run(3.0)
        simulation.is_down = True
        simulation.restart("a1")
        simulation.run(5.0)
        assert simulation.by_name["a1"].refresh.is_ready
        assert simulation.by_name["a1"].version == 1

    def test_not_ready_while_peers_report_a_version_they_do_not_have(self):
        simulation = FollowerSimulation(NAMES)
        simulation.run(3.0)
        simulation.version = 2
        other_names = set(NAMES) - {"a1"}
        simulation.cut_platform = set(other_names)
        daemon = simulation.by_name["a1"]
        for other in other_names:
            simulation.by_name[other].follower._fetch = _refuse
        simulation.run(15.0)
        assert daemon.version == 2
        assert simulation.by_name["a2"].version == 1
        simulation.is_down = True
        simulation.restart("a1")
        simulation.run(30.0)
        assert not simulation.by_name["a1"].refresh.is_ready
        simulation.heal()
        simulation.run(5.0)
        assert simulation.by_name["a1"].version == 2


def _refuse(peer, lists):
    raise PeerError("no answer")


class TestPause:
    def test_request_after_a_pause_waits_for_the_refresh(self):
        simulation = FollowerSimulation(NAMES)
        simulation.run(3.0)
        simulation.freeze("a1", 30.0)
        simulation.run(10.0)
        simulation.version = 2
        simulation.run(21.0)
        assert simulation.by_name["a1"].version == 2
        assert simulation.served["a1"] == 2
        # After the pause no request was served with version 1.
        daemon = Daemon(simulation, "a1")
        daemon.refresh.is_ready = True
        daemon.refresh.record_applied(1)
        now = simulation.clock.monotonic()
        assert daemon.refresh.is_fresh(now)
        assert not daemon.refresh.is_fresh(now + 30.0)

    def test_request_after_a_pause_waits_one_second_at_most(self):
        simulation = FollowerSimulation(NAMES)
        simulation.run(3.0)
        simulation.is_down = True
        simulation.delay_s = 100.0
        simulation.freeze("a1", 10.0)
        simulation.run(10.0)
        daemon = simulation.by_name["a1"]
        now = simulation.clock.monotonic()
        assert not daemon.refresh.is_fresh(now)
        assert daemon.refresh.is_fresh(now + MAX_REFRESH_WAIT_S)

    def test_read_started_before_the_pause_does_not_make_lists_fresh(self):
        simulation = FollowerSimulation(NAMES)
        simulation.run(3.0)
        daemon = simulation.by_name["a1"]
        simulation.delay_s = 0.05
        while not daemon.calls:
            simulation.clock.advance(0.1)
            daemon.follower.tick()
        simulation.version = 2
        simulation.clock.advance(30.0)
        now = simulation.clock.monotonic()
        assert not daemon.refresh.is_fresh(now)
        for _, run, snapshot in daemon.calls:
            daemon.snapshot = snapshot
            run()
        daemon.calls.clear()
        assert not daemon.refresh.is_fresh(now)


class TestTable:
    NAMES = tuple(f"{centre}{number}" for centre in "abcd" for number in range(12))

    def reads_per_second(self, reads):
        return collections.Counter(int(at) for at in reads)

    def test_one_host_per_data_centre_does_most_reads(self):
        simulation = FollowerSimulation(self.NAMES)
        simulation.run(15.0)
        simulation.reads.clear()
        simulation.run(20.0)
        rate = len(simulation.reads) / 20.0
        assert rate < 4 * 3.0

    def test_recovery_of_the_table_causes_no_read_burst(self):
        simulation = FollowerSimulation(self.NAMES)
        simulation.run(15.0)
        simulation.is_down = True
        simulation.reads.clear()
        simulation.run(60.0)
        assert max(self.reads_per_second(simulation.reads).values()) <= len(self.NAMES)
        simulation.is_down = False
        simulation.version += 1
        simulation.reads.clear()
        simulation.run(6.0)
        assert max(self.reads_per_second(simulation.reads).values()) <= 2 * len(
            self.NAMES
        )
        assert {d.version for d in simulation.by_name.values()} == {2}

    def test_simultaneous_start_reads_lists_few_times(self):
        simulation = FollowerSimulation(self.NAMES)
        simulation.run(10.0)
        assert {d.version for d in simulation.by_name.values()} == {1}
        readers = sum(1 for d in simulation.by_name.values() if d.lists_reads)
        assert readers <= 4 * 3


class TestThreads:
    def test_applies_lists_after_errors(self):
        clock = SystemClock()
        holder = ListsHolder()
        answers = [RuntimeError("failed"), PlatformUnavailableError("down"), 3]
        replaced = threading.Event()

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
            read_since=lambda lists: Lists(version=3),
            fetch=_refuse,
            find_peers=PeerVersions,
            find_rank=lambda: 0,
            on_lists_replaced=lambda old, new: replaced.set(),
        )
        follower.start()
        assert replaced.wait(20.0)
        assert follower.wait_until_fresh(clock.monotonic() + 20.0)
        end = clock.monotonic() + 20.0
        while not follower.is_ready:
            assert clock.monotonic() < end
        follower.stop()
        assert holder.current.version == 3
