import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tests import fuzz
from tests.fakes import WriteFault
from tests.lease_simulation import COPIES
from tests.lease_simulation import LIMITS
from tests.lease_simulation import ORDER_S
from tests.lease_simulation import LeaseSimulation

CANDIDATES = 3
candidates = st.integers(0, CANDIDATES - 1)
faults = st.one_of(st.just(WriteFault.NONE), st.sampled_from(list(WriteFault)))
pauses = st.sampled_from([0.5, 1.0, 2.5, LIMITS.renew_s + 0.5, 6.5])


def toggle_frozen(world, index):
    candidate = world.candidates[index]
    candidate.is_frozen = not candidate.is_frozen


def toggle_cut(world, index):
    candidate = world.candidates[index]
    candidate.is_cut = not candidate.is_cut


def restart(world, index):
    world.restart(index)


def release(world, index):
    world.release(index)


def apply_delayed_write(world, index):
    world.table.land(index)


DISTURBANCES = [toggle_frozen, toggle_cut, restart, release, apply_delayed_write]


class LeasesMachine(RuleBasedStateMachine):
    """Candidates under any order of steps, faults, freezes, restarts and waits."""

    @initialize()
    def start(self):
        self.world = LeaseSimulation(CANDIDATES)

    @rule(index=candidates, script=st.lists(faults, min_size=1, max_size=6))
    def step(self, index, script):
        for fault in script:
            self.world.step(index, fault)

    @rule(index=candidates)
    def tick(self, index):
        self.world.tick(index)

    @rule(pause=pauses)
    def advance(self, pause):
        self.world.advance(pause)

    @rule(pause=pauses)
    def advance_all(self, pause):
        self.world.advance(pause)
        for index in range(CANDIDATES):
            self.world.tick(index)

    @rule(index=candidates, pauses=st.lists(pauses, max_size=3))
    def sleep_before_the_reply(self, index, pauses):
        """Let time pass between a table access and the arrival of its reply."""
        for _ in range(4):
            if self.world.candidates[index].deliver_result is not None:
                break
            self.world.step(index)
        for pause in pauses:
            for other in range(CANDIDATES):
                if other != index:
                    self.world.tick(other)
            self.world.advance(pause)

    @rule(index=candidates, engine=st.integers(0, 1), is_slow=st.booleans())
    def send_order(self, index, engine, is_slow):
        self.world.send_order(index, engine, is_slow)

    @rule(index=st.integers(0, 3))
    def land(self, index):
        self.world.land(index)

    @rule(index=candidates, disturb=st.sampled_from(DISTURBANCES))
    def disturb(self, index, disturb):
        disturb(self.world, index)

    @invariant()
    def state_is_consistent(self):
        self.world.check()

    def teardown(self):
        if not hasattr(self, "world"):
            return
        for candidate in self.world.candidates:
            candidate.is_frozen = candidate.is_cut = False
        sent = self.world.orders_sent
        for _ in range(40):
            self.world.advance(1.0)
            for index in range(CANDIDATES):
                self.world.tick(index)
                self.world.send_order(index, 0, is_slow=False)
        assert self.world.orders_sent > sent, "nobody places any more"
        self.world.check()


LeasesMachine.TestCase.settings = fuzz.settings(examples=300, steps=50)
TestLeasesMachine = fuzz.seeded(LeasesMachine)


class LeaseReturnsMachine(LeasesMachine):
    """The same, with a table that comes back from older copies."""

    @rule()
    def take_copy(self):
        self.world.take_copy()

    @rule(index=st.integers(0, COPIES - 1))
    def return_table(self, index):
        self.world.return_table(index)

    @rule(index=candidates)
    def hear_of_the_era(self, index):
        """Let a candidate learn of the era in another way, as from a peer."""
        self.world.hear_of_the_era(index)

    @rule(index=candidates, copy=st.integers(0, COPIES - 1), fault=faults)
    def return_during_a_call(self, index, copy, fault):
        for _ in range(4):
            if self.world.candidates[index].deliver_result is not None:
                break
            self.world.step(index, fault)
        self.world.return_table(copy)
        self.world.hear_of_the_era(index)


LeaseReturnsMachine.TestCase.settings = LeasesMachine.TestCase.settings
TestLeaseReturnsMachine = fuzz.seeded(LeaseReturnsMachine)


class TestHandOver:
    def test_successor_sends_orders_within_a_lease_and_two_order_times(self):
        world = LeaseSimulation()
        world.tick(0)
        assert world.send_order(0, 0, is_slow=True)
        toggle_frozen(world, 0)
        world.tick(1)
        sent_after_s = 0.0
        while not world.send_order(1, 0, is_slow=False):
            world.advance(0.5)
            sent_after_s += 0.5
            world.tick(1)
        assert sent_after_s <= LIMITS.duration_s + 2 * ORDER_S
        toggle_frozen(world, 0)
        assert not world.send_order(0, 0, is_slow=False)

    def test_cut_holder_stops_before_its_successor_starts(self):
        world = LeaseSimulation()
        world.tick(0)
        world.tick(2)
        toggle_cut(world, 0)
        for _ in range(100):
            world.advance(0.25)
            for index in (0, 2):
                world.tick(index)
                world.send_order(index, 0, is_slow=index == 0)
            world.check()
        assert world.fences_by_engine[0][-1] == 2
