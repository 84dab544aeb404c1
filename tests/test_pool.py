import collections

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from policy_data import LAYERS
from policy_data import engine
from policy_data import make_route_request

from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import GrantOutcome
from wagtailstair.core.grants import HeldGrant
from wagtailstair.core.grants import Refusal
from wagtailstair.core.grants import RefusalReason
from wagtailstair.core.pool import GRANT_GRACE_S
from wagtailstair.core.pool import Pool
from wagtailstair.core.pool import PoolLimits

RANGES = ((0, 8), (0, 3), (3, 8), (0, 3), (3, 8))
NAMES = tuple(f"e{number}" for number in range(len(RANGES)))
HOSTS = ("h1", "h2")
REQUESTS = st.integers(0, 6).map("r{}".format)
SLOTS = 2


class PoolMachine(RuleBasedStateMachine):
    """Drives a pool and checks its decisions against the calls so far.

    ``waiting`` and ``running`` map a request to its item and, for running ones,
    its route. ``epochs`` holds the latest epoch of each request.
    """

    def __init__(self):
        super().__init__()
        self.pool = Pool("draft", "a", PoolLimits(queue_length=4))
        self.now = 0.0
        self.epochs = collections.Counter()
        self.waiting = {}
        self.running = {}
        self.state_by_name = {}
        self.leaving = set()
        self.repeatable = {}
        self.incarnations = collections.Counter()

    # Calls of the pool.

    @rule(index=st.integers(0, len(NAMES) - 1), new=st.booleans())
    def report(self, index, new):
        name = NAMES[index]
        first, last = RANGES[index]
        if new or name not in self.state_by_name:
            self.incarnations[name] += 1
            self.leaving.discard(name)
        state = engine(
            name,
            first,
            last,
            slots=SLOTS,
            incarnation=str(self.incarnations[name]),
            as_of=self.now,
        )
        self.state_by_name[name] = state
        self.pool.observe(state, self.now)

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        self.leaving.add(name)
        self.pool.mark_leaving(name)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        self.state_by_name.pop(name, None)
        self.pool.remove(name)

    @rule(
        request=REQUESTS,
        account=st.sampled_from("abc"),
        host=st.sampled_from(HOSTS),
        priority=st.sampled_from(Priority),
        work=st.integers(3, 60),
        timeout_s=st.floats(0.1, 30),
        avoid=st.sets(st.sampled_from(NAMES), max_size=2),
        entitled=st.booleans(),
    )
    def submit(
        self, request, account, host, priority, work, timeout_s, avoid, entitled
    ):
        self.epochs[request] += 1
        item = make_route_request(
            request,
            account,
            priority,
            epoch=self.epochs[request],
            host=host,
            work=float(work),
            deadline=self.now + timeout_s,
            avoid=frozenset(avoid),
            entitled=entitled,
        )
        self.running.pop(request, None)
        self.repeatable.pop(request, None)
        self.waiting[request] = item
        self.pool.submit(item, self.now)

    @precondition(lambda self: self.waiting or self.running)
    @rule(data=st.data(), age=st.integers(0, 1))
    def submit_again(self, data, age):
        request = data.draw(st.sampled_from(sorted({*self.waiting, *self.running})))
        item = self.waiting.get(request) or self.running[request][0]
        if age and item.epoch > 1:
            item = make_route_request(request, epoch=item.epoch - 1)
        self.pool.submit(item, self.now)

    @rule(request=REQUESTS, age=st.integers(0, 1))
    def cancel(self, request, age):
        epoch = self.epochs[request] - age
        self.pool.cancel(request, epoch, self.now)
        if not age:
            self.waiting.pop(request, None)
            self.running.pop(request, None)
            self.repeatable.pop(request, None)

    @rule(request=REQUESTS, age=st.integers(0, 1), failed=st.booleans())
    def finish(self, request, age, failed):
        epoch = self.epochs[request] - age
        names = set()
        if failed and request in self.running:
            names = {self.running[request][1][0].engine}
        self.pool.end_grant(
            GrantOutcome(request, epoch, "h1", 16, 9, frozenset(names)), self.now
        )
        if not age:
            self.waiting.pop(request, None)
            self.running.pop(request, None)
            self.repeatable.pop(request, None)

    @precondition(lambda self: self.running)
    @rule()
    def replace_dispatcher(self):
        self.pool = Pool("draft", "a", PoolLimits(queue_length=4))
        for item, route in list(self.running.values()):
            self.pool.adopt_grant(HeldGrant(item, route, 0), self.now)
            self.pool.adopt_grant(HeldGrant(item, route, 0), self.now)
        for state in self.state_by_name.values():
            self.pool.observe(state, self.now)
        for name in self.leaving:
            self.pool.mark_leaving(name)
        for item in self.waiting.values():
            self.pool.submit(item, self.now)
        self.repeatable = dict.fromkeys(self.running)

    @rule(host=st.sampled_from(HOSTS))
    def lose_host(self, host):
        self.pool.cancel_host(host, self.now)
        self.waiting = {r: w for r, w in self.waiting.items() if w.host != host}
        self.running = {r: k for r, k in self.running.items() if k[0].host != host}

    @rule(seconds=st.floats(0.01, 8))
    def wait(self, seconds):
        self.now += seconds

    # Checks of the pool's decisions.

    @invariant()
    def decide(self):
        decisions = self.pool.poll(self.now)
        # A poll drops the lapsed grants first: their slots may be granted by it.
        lapsed = set()
        for request, (item, _) in list(self.running.items()):
            if self.now >= item.deadline + GRANT_GRACE_S:
                del self.running[request]
                lapsed.add(request)
        for decision in decisions:
            request = decision.request
            assert request not in lapsed
            if isinstance(decision, Refusal):
                self.check_refusal(decision)
                self.waiting.pop(request, None)
                continue
            if request in self.running:
                item, route = self.running[request]
                assert (decision.epoch, decision.route) == (item.epoch, route)
                continue
            item = self.waiting.pop(request)
            assert decision.epoch == item.epoch
            assert self.now < item.deadline
            self.check_route(decision.route, item)
            self.running[request] = (item, decision.route)
        assert len(self.waiting) <= 4
        assert self.pool.stats().open_grants == len(self.running)

    def check_refusal(self, refusal):
        request = refusal.request
        assert request not in self.running
        assert refusal.epoch == self.epochs[request]
        assert 0 < refusal.retry_after_s <= 60

    def check_route(self, route, item):
        assert [s.first for s in route] == [0, *(s.last for s in route)][:-1]
        assert route[-1].last == LAYERS
        used = collections.Counter()
        for _, stages in self.running.values():
            used.update(stage.engine for stage in stages)
        for stage in route:
            state = self.state_by_name[stage.engine]
            assert (state.first, state.last) == (stage.first, stage.last)
            assert stage.engine not in self.leaving
            assert stage.engine not in item.avoid
            assert used[stage.engine] < state.slots

    def teardown(self):
        # No request is lost: each is answered by its deadline.
        for item in list(self.waiting.values()):
            wake = self.pool.next_wake(self.now)
            assert wake is not None
            assert wake <= max(self.now, item.deadline)
        self.now += 40
        self.decide()
        assert not self.waiting
        stats = self.pool.stats()
        assert stats.waiting == (0, 0, 0)
        assert stats.open_grants == 0


PoolMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestPoolMachine = PoolMachine.TestCase


# Guards against a model that counts a lapsed grant in the poll that drops it: it took
# the grant of the slot that had become free for one slot too many.
def test_poll_grants_the_slot_of_a_lapsed_grant():
    machine = PoolMachine()
    machine.report(0, new=False)
    machine.decide()
    steps = (("r1", 1.0, 1.0), ("r2", 1.0, 0.0), ("r0", 6.0, 5.0))
    for request, timeout_s, wait_s in steps:
        machine.submit(
            request,
            account="a",
            host="h1",
            priority=Priority.URGENT,
            work=3,
            timeout_s=timeout_s,
            avoid=(),
            entitled=True,
        )
        machine.decide()
        machine.wait(wait_s)
        machine.decide()
    assert machine.now == 1.0 + GRANT_GRACE_S
    assert sorted(machine.running) == ["r0", "r2"]


def pool_of(*states, **limits):
    pool = Pool("draft", "a", PoolLimits(**limits))
    for state in states:
        pool.observe(state, 0.0)
    return pool


def kinds(decisions):
    return [(type(d).__name__, d.request) for d in decisions]


class TestGrants:
    def test_batch_work_may_not_fill_the_slots_reserved_for_urgent_work(self):
        pool = pool_of(engine("e", slots=10), reserves=(0.0, 0.0, 0.2))
        for number in range(20):
            pool.submit(make_route_request(f"b{number}", priority=Priority.BATCH), 0.0)
        assert len(pool.poll(0.0)) == 8
        pool.submit(make_route_request("u", priority=Priority.URGENT), 0.0)
        assert kinds(pool.poll(0.0)) == [("Grant", "u")]

    def test_a_repeated_request_gets_the_same_grant_and_no_second_slot(self):
        pool = pool_of(engine("e"))
        item = make_route_request("r")
        pool.submit(item, 0.0)
        first = pool.poll(0.0)
        pool.submit(item, 0.1)
        assert pool.poll(0.1) == first
        assert pool.stats().open_grants == 1

    def test_a_repeated_request_after_its_end_gets_no_answer(self):
        pool = pool_of(engine("e"))
        item = make_route_request("r")
        pool.submit(item, 0.0)
        pool.poll(0.0)
        pool.end_grant(GrantOutcome("r", 0, "h1", 16, 9), 1.0)
        pool.submit(item, 1.1)
        assert pool.poll(1.1) == []

    def test_a_late_request_of_an_older_epoch_has_no_effect(self):
        pool = pool_of(engine("e"))
        pool.submit(make_route_request("r", epoch=1), 0.0)
        first = pool.poll(0.0)
        pool.submit(make_route_request("r", epoch=0), 0.1)
        pool.cancel("r", 0, 0.1)
        assert pool.poll(0.1) == []
        assert pool.stats().open_grants == 1
        pool.submit(make_route_request("r", epoch=1), 0.2)
        assert pool.poll(0.2) == first

    def test_a_repeated_request_gets_the_same_refusal(self):
        pool = pool_of(engine("e"))
        item = make_route_request("r", deadline=0.0)
        pool.submit(item, 1.0)
        first = pool.poll(1.0)
        pool.submit(item, 1.0)
        assert pool.poll(1.0) == first
        assert first[0].reason is RefusalReason.DEADLINE

    def test_the_kv_memory_limits_the_grants(self):
        pool = pool_of(engine("e", slots=9, kv_tokens=100))
        for number in range(9):
            pool.submit(make_route_request(f"r{number}"), 0.0)
        assert len(pool.poll(0.0)) == 2

    def test_a_failing_engine_is_ejected_and_probed(self):
        pool = pool_of(engine("bad"), engine("good", step_s=0.5))
        now = 0.0
        used = []
        for number in range(5):
            pool.submit(make_route_request(f"r{number}"), now)
            grant = pool.poll(now)[0]
            used.append(grant.route[0].engine)
            failed = frozenset({"bad"}) if used[-1] == "bad" else frozenset()
            pool.end_grant(GrantOutcome(f"r{number}", 0, "h1", 16, 0, failed), now)
        assert used == ["bad"] * 3 + ["good"] * 2
        pool.submit(make_route_request("probe"), 6.0)
        assert pool.poll(6.0)[0].route[0].engine == "bad"

    def test_an_engine_far_slower_than_its_kind_is_ejected(self):
        names = ("e", "f", "g")
        pool = pool_of(*(engine(name, slots=1) for name in names))
        for number in range(6):
            slow = engine("e", slots=1, step_s=0.05, as_of=float(number))
            pool.observe(slow, float(number))
        for name in names:
            pool.submit(make_route_request(name), 6.0)
        grants = pool.poll(6.0)
        assert sorted(g.route[0].engine for g in grants) == ["f", "g"]
        pool.observe(engine("e", slots=1, as_of=7.0), 7.0)
        assert [g.route[0].engine for g in pool.poll(7.0)] == ["e"]

    def test_requests_for_a_busy_adapter_do_not_block_others(self):
        pool = pool_of(engine("e", slots=1, adapters=("x",)), engine("f", slots=1))
        for number in range(10):
            pool.submit(
                make_route_request(f"x{number}", f"x{number}", adapter="x"), 0.0
            )
        pool.submit(make_route_request("plain"), 0.0)
        assert kinds(pool.poll(0.0)) == [("Grant", "x0"), ("Grant", "plain")]


class TestSuccessor:
    def test_counts_grants_reported_before_their_engines(self):
        pool = pool_of(engine("e", slots=2))
        pool.submit(make_route_request("r1"), 0.0)
        route = pool.poll(0.0)[0].route
        successor = Pool("draft", "a", PoolLimits(reserves=(0.0, 0.0, 0.0)))
        successor.adopt_grant(HeldGrant(make_route_request("r1"), route, 3), 1.0)
        successor.observe(engine("e", slots=2, running=1), 1.0)
        for name in ("r2", "r3"):
            successor.submit(make_route_request(name), 1.0)
        assert kinds(successor.poll(1.0)) == [("Grant", "r2")]
        successor.end_grant(GrantOutcome("r1", 0, "h1", 16, 9), 2.0)
        assert kinds(successor.poll(2.0)) == [("Grant", "r3")]

    def test_counts_running_requests_that_no_host_reports(self):
        pool = pool_of(engine("e", slots=2, running=2), reserves=(0.0, 0.0, 0.0))
        item = make_route_request("r")
        pool.submit(item, 0.0)
        assert pool.poll(0.0) == []
        pool.observe(engine("e", slots=2, running=1, as_of=0.5), 0.5)
        assert kinds(pool.poll(0.5)) == [("Grant", "r")]


class TestRefusals:
    def test_a_request_that_no_engines_can_run_is_refused_after_a_timeout(self):
        pool = pool_of(engine("e", 0, 4))
        pool.submit(make_route_request("r"), 0.0)
        assert pool.poll(0.0) == []
        wake = pool.next_wake(0.0)
        assert wake <= 3.0
        decisions = pool.poll(wake)
        assert [d.reason for d in decisions] == [RefusalReason.NO_ROUTE]

    def test_a_missing_range_that_returns_in_time_refuses_nothing(self):
        pool = pool_of(engine("e", 0, 4))
        pool.submit(make_route_request("r"), 0.0)
        pool.poll(0.0)
        pool.observe(engine("f", 4, 8), 1.0)
        assert kinds(pool.poll(1.0)) == [("Grant", "r")]

    def test_a_request_that_can_not_meet_its_deadline_is_refused_at_once(self):
        pool = pool_of(engine("e", slots=1))
        for number in range(50):
            pool.submit(make_route_request(f"r{number}"), 0.0)
        pool.poll(0.0)
        # 49 requests of 10 work units wait, at 100 tokens per second.
        pool.submit(make_route_request("late", deadline=2.0), 0.0)
        pool.submit(make_route_request("ok", deadline=50.0), 0.0)
        assert kinds(pool.poll(0.0)) == [("Refusal", "late")]

    def test_a_displaced_request_is_refused(self):
        pool = pool_of(queue_length=4, minimum_shares=(0.0, 0.0, 0.0))
        for number in range(4):
            pool.submit(make_route_request(f"b{number}", "flood", Priority.BATCH), 0.0)
        pool.submit(make_route_request("u", priority=Priority.URGENT), 0.0)
        decisions = pool.poll(0.0)
        assert kinds(decisions) == [("Refusal", "b3")]
        assert decisions[0].reason is RefusalReason.QUEUE_FULL

    def test_urgent_work_is_not_refused_under_a_flood_of_batch_work(self):
        pool = pool_of(engine("e", slots=2), queue_length=40)
        for number in range(100):
            pool.submit(make_route_request(f"b{number}", "flood", Priority.BATCH), 0.0)
        pool.poll(0.0)
        pool.submit(
            make_route_request("u", priority=Priority.URGENT, deadline=2.0), 0.0
        )
        assert kinds(pool.poll(0.0)) in ([], [("Grant", "u")])


class TestMemory:
    def test_memory_is_bounded_over_many_requests(self):
        pool = pool_of(engine("e", slots=4), queue_length=50)
        now = 0.0
        for number in range(40_000):
            now += 0.001
            name = f"r{number}"
            pool.submit(
                make_route_request(name, f"account{number % 500}", deadline=now + 500),
                now,
            )
            for decision in pool.poll(now):
                if isinstance(decision, Grant):
                    pool.end_grant(GrantOutcome(decision.request, 0, "h1", 16, 9), now)
        assert len(pool._ended) <= 16_384
        assert len(pool._deadlines) + len(pool._expiries) < 500
