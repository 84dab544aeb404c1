import dataclasses
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from policy_data import LAYERS
from policy_data import engine
from policy_data import make_route_request

from wagtailstair.core.loads import LoadTable
from wagtailstair.core.loads import Need
from wagtailstair.core.loads import StepFit
from wagtailstair.core.loads import expected_delay
from wagtailstair.core.routing import fleet_bound
from wagtailstair.core.routing import link_s
from wagtailstair.core.routing import shortest_route

NO_RESERVES = (0.0, 0.0, 0.0)
BOUNDARIES = (0, 3, 5, LAYERS)


@st.composite
def fleets(draw):
    states = []
    # All engines of a data centre have the same delay to the other one.
    far_s = draw(st.sampled_from([0.001, 0.02]))
    for number in range(draw(st.integers(1, 7))):
        first, last = sorted(
            draw(st.lists(st.sampled_from(BOUNDARIES), min_size=2, max_size=2))
        )
        if first == last:
            continue
        step_s = draw(st.integers(1, 20)) / 1000
        data_centre = draw(st.sampled_from("ab"))
        other = "b" if data_centre == "a" else "a"
        links = ((data_centre, 0.0001), (other, far_s))
        states.append(
            engine(
                f"e{number}",
                first,
                last,
                step_s=step_s,
                data_centre=data_centre,
                links_s=links,
            )
        )
    return states


def table_of(states):
    table = LoadTable(NO_RESERVES)
    for state in states:
        table.add(state, ())
    return table


def cheapest(table, need):
    def pick(group):
        loads = sorted(group.loads, key=lambda load: expected_delay(load, need, 0.0))
        return (expected_delay(loads[0], need, 0.0), loads[0]) if loads else None

    return shortest_route(table.groups, need.tokens, pick)


def brute_force(table, need):
    best = None
    for length in range(1, 4):
        for loads in itertools.permutations(table.by_name.values(), length):
            ends = [0, *(load.state.last for load in loads)]
            starts = [*(load.state.first for load in loads), LAYERS]
            if ends != starts:
                continue
            cost = sum(expected_delay(load, need, 0.0) for load in loads)
            for load, after in itertools.pairwise(loads):
                hop_s = link_s(load.state, after.state.data_centre)
                cost += hop_s * (need.tokens + 1)
            best = cost if best is None else min(best, cost)
    return best


class TestShortestRoute:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(fleets())
    def test_agrees_with_brute_force(self, states):
        table = table_of(states)
        need = Need.of(make_route_request("r"))
        found = cheapest(table, need)
        expected = brute_force(table, need)
        if expected is None:
            assert found is None
            return
        route, cost = found
        assert abs(cost - expected) < 1e-9
        ends = [0, *(stage.last for stage in route)]
        assert ends == [*(stage.first for stage in route), LAYERS]

    def test_grants_since_the_last_report_count(self):
        table = table_of([engine("fast"), engine("slow", step_s=0.011)])
        need = Need.of(make_route_request("r", prompt_tokens=400, work=60.0))
        first, _ = cheapest(table, need)
        table.start(first, need, 0.0)
        second, _ = cheapest(table, need)
        assert [first[0].engine, second[0].engine] == ["fast", "slow"]

    def test_a_fuller_engine_is_expected_to_step_slower(self):
        table = table_of([engine("e", slots=16)])
        for number, running in enumerate([1, 8, 4, 12, 2] * 3):
            state = engine("e", running=running, step_s=0.01 + 0.001 * running)
            table.observe(dataclasses.replace(state, slots=16, as_of=float(number)))
        load = table.by_name["e"]
        empty_s = load.next_step_s
        for _ in range(10):
            table.start(
                cheapest(table, Need.of(make_route_request("r")))[0],
                Need.of(make_route_request("r")),
                0.0,
            )
        assert abs(load.next_step_s - empty_s - 0.01) < 1e-4

    def test_prefers_an_engine_with_a_cached_prefix(self):
        table = table_of([engine("fast"), engine("cached", step_s=0.011)])
        table.by_name["cached"].store((1, 2, 3))
        long = make_route_request(
            "r", prompt_tokens=3_000, work=385.0, prefixes=(1, 2, 3, 4)
        )
        other = dataclasses.replace(long, prefixes=(7, 8))
        assert cheapest(table, Need.of(long))[0][0].engine == "cached"
        assert cheapest(table, Need.of(other))[0][0].engine == "fast"


class TestStepFit:
    def test_finds_the_slope_of_a_line(self):
        fit = StepFit()
        for running in [1, 5, 9, 3, 12, 7, 2, 10] * 3:
            fit.add(running, 0.01 + 0.0005 * running)
        assert abs(fit.slope_s() - 0.0005) < 1e-6

    def test_no_slope_from_a_single_load(self):
        fit = StepFit()
        for _ in range(20):
            fit.add(4, 0.02)
        assert fit.slope_s() == 0.0


class TestFleetBound:
    def test_is_the_minimum_cut(self):
        # A token takes 10 ms in each half: 2 slots for each 20 ms.
        halves = [engine("a", 0, 4), engine("b", 4, 8), engine("c", 4, 8)]
        assert abs(fleet_bound(halves) - 100.0) < 1e-6
        whole = engine("d", step_s=0.02)
        assert abs(fleet_bound([*halves, whole]) - 200.0) < 1e-6

    def test_counts_neither_leaving_engines_nor_gaps(self):
        states = [engine("a", 0, 3), engine("b", 4, 8)]
        assert fleet_bound(states) == 0.0
        assert fleet_bound([engine("a", leaving=True)]) == 0.0

    def test_kv_memory_bounds_the_slots(self):
        state = engine("a", kv_tokens=1_000)
        assert fleet_bound([state], kv_per_request=1_000) == fleet_bound([state]) / 2
