import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests import fuzz
from tests.claim_simulation import ARRIVAL_S
from tests.claim_simulation import LIMITS
from tests.claim_simulation import ClaimSimulation
from tests.claim_simulation import Fault
from wagtailstair.core.claim_steps import Settle

HOSTS = 3
indexes = st.integers(0, 7)
hosts = st.integers(0, HOSTS - 1)
keys = st.sampled_from(["k", "k", "other"])
digests = st.sampled_from(["d", "d", "d", "e"])
bodies = st.sampled_from([b"", b"", b"longer than a row"])
faults = st.one_of(st.just(Fault.NONE), st.sampled_from(list(Fault)))


def kill(world, host):
    world.kill(host)


def toggle_frozen(world, host):
    daemon = world.daemons[host]
    daemon.is_frozen = not daemon.is_frozen


def toggle_cut(world, host):
    daemon = world.daemons[host]
    daemon.is_cut = not daemon.is_cut


def apply_delayed_write(world, host):
    world.land(host)


def land_call(world, host):
    world.land_call(host)


def wait(world, host):
    world.advance((1.0, 31.0, 61.0)[host])
    world.sweep()


def wait_past_retention(world, host):
    world.advance(LIMITS.retention_s + 1.0)
    world.sweep()


DISTURBANCES = [
    kill,
    toggle_frozen,
    toggle_cut,
    apply_delayed_write,
    land_call,
    wait,
    wait_past_retention,
]


class ClaimsMachine(RuleBasedStateMachine):
    """Claims under any order of steps, faults, kills, freezes, cuts and sweeps."""

    @initialize()
    def start(self):
        self.world = ClaimSimulation(HOSTS)

    @rule(host=hosts, key=keys, digest=digests, body=bodies)
    def submit(self, host, key, digest, body):
        self.world.submit(host, key, digest, body)

    @precondition(lambda self: self.world.calls)
    @rule(index=indexes, script=st.lists(faults, min_size=1, max_size=6))
    def step(self, index, script):
        """Make half a step per fault: execute a command, or deliver its event."""
        call = self.world.calls[index % len(self.world.calls)]
        for fault in script:
            self.world.step(call, fault)

    @precondition(lambda self: self.world.calls)
    @rule(index=indexes, count=st.integers(1, 8), last=faults)
    def pass_then_fail(self, index, count, last):
        call = self.world.calls[index % len(self.world.calls)]
        for _ in range(count):
            self.world.step(call)
        self.world.step(call, last)

    @rule(host=hosts, disturb=st.sampled_from(DISTURBANCES))
    def disturb(self, host, disturb):
        disturb(self.world, host)

    @invariant()
    def state_is_consistent(self):
        self.world.check()

    def teardown(self):
        if not hasattr(self, "world"):
            return
        for daemon in self.world.daemons:
            daemon.is_frozen = daemon.is_cut = False
        while self.world.table.delayed:
            self.world.land()
        for call in list(self.world.calls):
            self.world.finish(call)
        self.world.finish(self.world.submit(0))
        while self.world.late_runs:
            self.world.land_call()
        self.world.check()


ClaimsMachine.TestCase.settings = fuzz.settings(examples=300, steps=50)
TestClaimsMachine = fuzz.seeded(ClaimsMachine)


class TestDelayedCall:
    # Guards against a simulation that lets a call arrive after its claim is swept: the
    # key counts as new by then, and may run again.
    def test_arrives_before_its_claim_is_swept(self):
        machine = ClaimsMachine()
        machine.start()
        machine.submit(host=0, key="k", digest="d", body=b"")
        machine.pass_then_fail(index=0, count=1, last=Fault.NONE)
        machine.submit(host=0, key="k", digest="d", body=b"")
        machine.step(index=0, script=[Fault.DELAYED])
        machine.disturb(host=0, disturb=wait_past_retention)
        machine.teardown()
        runs = [(run.attempt, run.at) for run in machine.world.runs]
        late_at = LIMITS.retention_s - LIMITS.send_window_s
        assert runs == [("attempt-1", late_at), ("attempt-3", LIMITS.retention_s + 1)]

    @pytest.mark.parametrize("seconds", [0.0, 500.0, ARRIVAL_S])
    @pytest.mark.parametrize("is_late", [False, True])
    def test_another_run_within_the_retention_is_a_violation(self, seconds, is_late):
        world = ClaimSimulation()
        first, second = world.submit(0), world.submit(1)
        if is_late:
            world.late_runs.append(first)
        else:
            world._run(first)
        world.advance(seconds)
        second.sent_at = world.now
        world._run(second)
        while world.late_runs:
            world.land_call()
        with pytest.raises(AssertionError, match="ran twice"):
            world.check()


class TestResumedDaemon:
    def test_result_of_a_swept_claim_does_not_replace_a_newer_one(self):
        world = ClaimSimulation()
        old = world.submit(0)
        for _ in range(4):
            world.step(old)
        assert isinstance(old.command, Settle)
        wait_past_retention(world, 0)
        newer = world.submit(1)
        world.finish(newer)
        world.finish(old)
        retry = world.submit(2)
        world.finish(retry)
        assert retry.result == newer.result
        assert retry.result != old.result
