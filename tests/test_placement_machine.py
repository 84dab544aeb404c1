import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests import fuzz
from tests.fakes import FakeEngine
from tests.fakes import FakeFleet
from wagtailstair.core.placement import Placement
from wagtailstair.core.placement import PlacementLimits
from wagtailstair.core.placement import is_served
from wagtailstair.core.targets import ModelSpec
from wagtailstair.core.targets import divide_engines
from wagtailstair.core.targets import make_targets

LAYERS = 4
HALVES = ((0, 2), (2, 4))
WHOLE = ((0, 4),)
LIMITS = PlacementLimits(
    hold_s=5.0, dwell_s=10.0, order_s=60.0, weights_bytes_per_s=1.0
)
MODELS = ("draft", "quote")
indexes = st.integers(0, 7)


class PlacementMachine(RuleBasedStateMachine):
    """Changes demand, versions, layer ranges, engines and the lease holder.

    No order may take the last engine of a range, no engine may have two orders at
    a time, and engines must stop moving once nothing changes.
    """

    @initialize(count=st.integers(4, 8), splits=st.sampled_from((HALVES, WHOLE)))
    def start(self, count, splits):
        self.now = 0.0
        self.fleet = FakeFleet(*(FakeEngine(f"e{n}", layers=4) for n in range(count)))
        self.spec_by_model = {
            model: ModelSpec(model, "1", LAYERS, splits) for model in MODELS
        }
        self.demand_by_model = dict.fromkeys(MODELS, 1.0)
        self.pipelines = {}
        self.new_holder()
        for _ in range(2 * count):
            self.decide(6.0, obey=True)

    @rule()
    def new_holder(self):
        """Another host takes over after all earlier orders have ended."""
        self.open_orders = []
        self.sent_at_by_engine = {}
        self.placement = Placement(LIMITS)

    @rule(model=st.sampled_from(MODELS), demand=st.sampled_from((0.0, 1.0, 9.0)))
    def change_demand(self, model, demand):
        self.demand_by_model[model] = demand

    @rule(
        model=st.sampled_from(MODELS),
        version=st.sampled_from("12"),
        ranges=st.sampled_from((HALVES, WHOLE)),
    )
    def edit_model(self, model, version, ranges):
        self.spec_by_model[model] = ModelSpec(model, version, LAYERS, ranges)

    @precondition(lambda self: len(self.fleet.engine_by_name) > 3)
    @rule(index=indexes)
    def lose_engine(self, index):
        names = list(self.fleet.engine_by_name)
        lost = names[index % len(names)]
        del self.fleet.engine_by_name[lost]
        self.open_orders = [o for o in self.open_orders if o.engine != lost]

    @rule(index=indexes)
    def restart_engine(self, index):
        engines = list(self.fleet.engine_by_name.values())
        engine = engines[index % len(engines)]
        engine.model, engine.version = "", ""
        engine.incarnation += "+"
        self.open_orders = [o for o in self.open_orders if o.engine != engine.name]

    @rule(index=indexes)
    def carry_out(self, index):
        if not self.open_orders:
            return
        order = self.open_orders.pop(index % len(self.open_orders))
        self.fleet.engine_by_name[order.engine].execute_order(order, 1)

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 11.0)), obey=st.booleans())
    def decide(self, seconds, obey):
        self.now += seconds
        # Engines carry out no order that has timed out.
        self.open_orders = [
            order
            for order in self.open_orders
            if self.now - self.sent_at_by_engine[order.engine] < LIMITS.order_s
        ]
        specs = list(self.spec_by_model.values())
        states = self.fleet.states(self.now)
        self.pipelines = divide_engines(
            specs, self.demand_by_model, len(states), self.pipelines
        )
        targets = make_targets(specs, self.pipelines)
        before = self.served()
        busy = {order.engine for order in self.open_orders}
        for order in self.placement.decide(targets, states, self.now):
            assert order.engine not in busy, "two orders to an engine at a time"
            busy.add(order.engine)
            self.open_orders.append(order)
            self.sent_at_by_engine[order.engine] = self.now
        assert before <= self.served(), "the last engine of a range was taken"
        if obey:
            while self.open_orders:
                self.carry_out(0)

    @rule(count=st.integers(2, 6), obey=st.booleans())
    def decide_often(self, count, obey):
        for _ in range(count):
            self.decide(11.0, obey)

    def served(self):
        """Return the models that stay complete, whatever the open orders change."""
        busy = {order.engine for order in self.open_orders}
        states = [s for s in self.fleet.states() if s.name not in busy]
        return {
            model
            for model in MODELS
            for version in "12"
            if is_served(model, version, LAYERS, states)
        }

    @invariant()
    def orders_are_known(self):
        if hasattr(self, "placement"):
            assert len(self.placement.pending) >= len(self.open_orders)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        for _ in range(60):
            self.decide(6.0, obey=True)
        orders = sum(len(e.orders) for e in self.fleet.engine_by_name.values())
        for _ in range(20):
            self.decide(6.0, obey=True)
        after = sum(len(e.orders) for e in self.fleet.engine_by_name.values())
        assert orders == after, "engines move although nothing changes"


PlacementMachine.TestCase.settings = fuzz.settings(examples=150, steps=40)
TestPlacementMachine = fuzz.seeded(PlacementMachine)
