import concurrent.futures
import itertools

import pytest

from tests.fakes import FakeEngine
from tests.fakes import FakeFleet
from tests.fakes import FakeTable
from wagtailstair.clock import ManualClock
from wagtailstair.core.leases import LeaseLimits
from wagtailstair.core.placement import OrderKind
from wagtailstair.core.placement import Placement
from wagtailstair.core.placement import PlacementLimits
from wagtailstair.core.targets import ModelSpec
from wagtailstair.core.targets import divide_engines
from wagtailstair.core.targets import make_targets
from wagtailstair.placement import LeaseManager
from wagtailstair.placement import Placer

HALVES = ((0, 6), (6, 12))
DRAFT = ModelSpec("draft", "1", 12, HALVES, bytes_per_layer=10)
QUOTE = ModelSpec("quote", "1", 12, HALVES, bytes_per_layer=10)
LIMITS = PlacementLimits(
    hold_s=30.0, dwell_s=60.0, order_s=100.0, weights_bytes_per_s=6.0
)


def make_fleet(*models):
    engines = [
        FakeEngine(f"e{n}", model, *HALVES[n % 2] if model else (0, 0))
        for n, model in enumerate(models)
    ]
    return FakeFleet(*engines)


class Run:
    """Runs a placement against a fleet that carries out orders at once."""

    def __init__(self, fleet, specs):
        self.fleet = fleet
        self.specs = specs
        self.placement = Placement(LIMITS)
        self.now = 0.0
        self.orders = []

    def decide(self, pipelines, after_s=0.0, obey=True):
        self.now += after_s
        targets = make_targets(self.specs, pipelines)
        orders = self.placement.decide(targets, self.fleet.states(), self.now)
        self.orders.extend((self.now, order) for order in orders)
        if obey:
            for order in orders:
                self.fleet.engine_by_name[order.engine].execute_order(order, 1)
        return orders


class TestDivision:
    def test_each_model_gets_a_pipeline_first(self):
        demand = {"draft": 1000.0}
        assert divide_engines([DRAFT, QUOTE], demand, 8, {}) == {
            "draft": 3,
            "quote": 1,
        }

    def test_last_model_gets_none_when_engines_are_short(self):
        division = divide_engines([DRAFT, QUOTE], {}, 2, {})
        assert division == {"draft": 1, "quote": 0}

    def test_small_change_of_demand_moves_nothing(self):
        present = {"draft": 1, "quote": 2}
        demand = {"draft": 110.0, "quote": 100.0}
        assert divide_engines([DRAFT, QUOTE], demand, 6, present) == present

    def test_large_change_of_demand_moves_engines(self):
        present = {"draft": 2, "quote": 2}
        demand = {"draft": 300.0, "quote": 50.0}
        division = divide_engines([DRAFT, QUOTE], demand, 8, present)
        assert division == {"draft": 3, "quote": 1}


class TestLoads:
    def test_fills_empty_engines_at_the_rate_of_the_weight_store(self):
        run = Run(make_fleet("", "", "", ""), [DRAFT])
        for _ in range(50):
            run.decide({"draft": 2}, after_s=1.0)
        times = [at for at, _ in run.orders]
        assert len(times) == 4
        # 6 layers of 10 bytes at 6 bytes a second: one load every 10 s.
        assert all(b - a >= 10.0 for a, b in itertools.pairwise(times))

    def test_one_order_to_an_engine_at_a_time(self):
        run = Run(make_fleet(""), [DRAFT])
        assert len(run.decide({"draft": 1}, obey=False)) == 1
        assert run.decide({"draft": 1}, after_s=50.0, obey=False) == []

    def test_failed_order_is_sent_again(self):
        run = Run(make_fleet(""), [DRAFT])
        (order,) = run.decide({"draft": 1}, obey=False)
        run.placement.record_refusal(order)
        assert run.decide({"draft": 1}, after_s=20.0, obey=False) == [order]

    def test_brief_shortage_moves_no_engine(self):
        run = Run(make_fleet(*["draft"] * 4, *["quote"] * 2), [DRAFT, QUOTE])
        run.decide({"draft": 1, "quote": 2})
        run.decide({"draft": 1, "quote": 2}, after_s=29.0)
        run.decide({"draft": 2, "quote": 1}, after_s=5.0)
        run.decide({"draft": 1, "quote": 2}, after_s=5.0)
        assert run.orders == []

    def test_lasting_shortage_moves_surplus_engines(self):
        run = Run(make_fleet(*["draft"] * 4, *["quote"] * 2), [DRAFT, QUOTE])
        for _ in range(12):
            run.decide({"draft": 1, "quote": 2}, after_s=10.0)
        assert sorted(order.model for _, order in run.orders) == ["quote", "quote"]

    def test_engine_just_loaded_is_not_moved_back(self):
        run = Run(make_fleet(*["draft"] * 4, *["quote"] * 2), [DRAFT, QUOTE])
        for number in range(40):
            draft = 1 if number % 8 < 4 else 2
            run.decide({"draft": draft, "quote": 3 - draft}, after_s=12.0)
        times_by_engine = {}
        for at, order in run.orders:
            times_by_engine.setdefault(order.engine, []).append(at)
        assert any(len(times) > 1 for times in times_by_engine.values())
        for times in times_by_engine.values():
            for before, after in itertools.pairwise(times):
                assert after - before >= LIMITS.dwell_s

    def test_never_moves_the_last_engine_of_a_range(self):
        fleet = make_fleet("draft", "draft", "draft", "quote", "quote")
        fleet.engine_by_name["e3"].first, fleet.engine_by_name["e3"].last = 6, 12
        fleet.engine_by_name["e4"].first, fleet.engine_by_name["e4"].last = 0, 6
        run = Run(fleet, [DRAFT, QUOTE])
        for _ in range(40):
            run.decide({"draft": 0, "quote": 3}, after_s=20.0)
        # Only e0 or e2 may move, because they hold the same half.
        assert len(run.orders) == 1
        assert run.orders[0][1].engine in ("e0", "e2")

    def test_leaving_engine_gets_no_order(self):
        fleet = make_fleet("")
        fleet.engine_by_name["e0"].leaving = True
        assert Run(fleet, [DRAFT]).decide({"draft": 1}) == []

    def test_new_version_is_loaded_while_the_old_one_serves(self):
        newer = ModelSpec("draft", "2", 12, HALVES, bytes_per_layer=10)
        fleet = make_fleet("draft", "draft", "", "")
        run = Run(fleet, [newer])
        for _ in range(40):
            run.decide({"draft": 2}, after_s=10.0)
            states = fleet.states()
            for version in ("1", "2"):
                held = {(s.first, s.last) for s in states if s.version == version}
                if held == set(HALVES):
                    break
            else:
                pytest.fail("no version covers every layer")
        assert {state.version for state in fleet.states()} == {"2"}

    def test_new_version_without_a_spare_engine_waits(self):
        newer = ModelSpec("draft", "2", 12, HALVES, bytes_per_layer=10)
        run = Run(make_fleet("draft", "draft"), [newer])
        for _ in range(20):
            run.decide({"draft": 1}, after_s=10.0)
        assert run.orders == []

    def test_new_ranges_without_a_spare_engine_wait(self):
        fleet = make_fleet("draft", "draft")
        fleet.engine_by_name["e0"].last = fleet.engine_by_name["e1"].first = 4
        run = Run(fleet, [DRAFT])
        for _ in range(20):
            run.decide({"draft": 1}, after_s=10.0)
        assert run.orders == []


class TestAdjustments:
    def test_adapters_and_role_follow_the_target(self):
        spec = ModelSpec("draft", "1", 12, ((0, 12),), ("tone",), "decode")
        fleet = FakeFleet(FakeEngine("e0", "draft", 0, 12))
        fleet.engine_by_name["e0"].adapters = ("old",)
        run = Run(fleet, [spec])
        for _ in range(4):
            run.decide({"draft": 1}, after_s=1.0)
        kinds = [(order.kind, order.adapter) for _, order in run.orders]
        assert kinds == [
            (OrderKind.LOAD, "tone"),
            (OrderKind.UNLOAD, "old"),
            (OrderKind.ROLE, ""),
        ]
        assert fleet.engine_by_name["e0"].adapters == ("tone",)


class TestPlacer:
    @pytest.fixture
    def table(self):
        return FakeTable()

    @pytest.fixture
    def clock(self):
        return ManualClock(1000.0)

    def make(self, table, clock, fleet, holder):
        lease_manager = LeaseManager(
            table, clock, "placement/dc1", holder, LeaseLimits()
        )
        return Placer(
            lease_manager,
            fleet,
            clock,
            lambda: fleet.states(clock.monotonic()),
            lambda engines: make_targets([DRAFT], {"draft": 1}),
            LIMITS,
        )

    def wait_for_orders(self, placer):
        concurrent.futures.wait(list(placer._open_sends))

    def test_only_the_lease_holder_sends_orders(self, table, clock):
        fleet = make_fleet("", "")
        first = self.make(table, clock, fleet, "h1")
        second = self.make(table, clock, fleet, "h2")
        for _ in range(15):
            first.tick()
            second.tick()
            self.wait_for_orders(first)
            clock.advance(1.0)
        states = fleet.states()
        assert {(s.model, s.first, s.last) for s in states} == {
            ("draft", 0, 6),
            ("draft", 6, 12),
        }
        holders = {h for e in fleet.engine_by_name.values() for _, h, _ in e.orders}
        assert holders == {"h1"}
        first.close()
        second.close()

    def test_unreachable_engine_gets_no_order_before_its_state_is_read(
        self, table, clock
    ):
        fleet = make_fleet("")
        fleet.unreachable.add("e0")
        placer = self.make(table, clock, fleet, "h1")
        placer.tick()
        assert placer._placement.pending == []
        fleet.unreachable.clear()
        placer.tick()
        self.wait_for_orders(placer)
        assert fleet.engine_by_name["e0"].model == "draft"
        placer.close()

    def test_refused_order_is_sent_again(self, table, clock):
        fleet = make_fleet("")
        placer = self.make(table, clock, fleet, "h1")
        fleet.engine_by_name["e0"].fence = 5
        placer.tick()
        self.wait_for_orders(placer)
        assert fleet.engine_by_name["e0"].orders == []
        fleet.engine_by_name["e0"].fence = 0
        for _ in range(3):
            clock.advance(20.0)
            placer.tick()
            self.wait_for_orders(placer)
        assert fleet.engine_by_name["e0"].model == "draft"
        placer.close()
