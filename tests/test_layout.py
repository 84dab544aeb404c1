import pytest

from tests.gateway_data import LAYERS
from tests.gateway_data import make_engine
from tests.gateway_data import make_fleet
from tests.gateway_data import make_model
from wagtailstair.core.layout import FIRST_LAYER_ENGINES
from wagtailstair.core.layout import layers_for
from wagtailstair.core.layout import plan_layers
from wagtailstair.core.layout import plan_repairs
from wagtailstair.core.layout import room_for


def apply(assignments):
    engines = []
    for assignment in assignments:
        replica = assignment.replica
        layers = (assignment.first, assignment.last)
        engines.append(
            make_engine(replica.name, replica.data_centre, replica.accelerator, layers)
        )
    return engines


def uncovered_layers(engines, centre):
    covered = set()
    for engine in engines:
        if engine.data_centre == centre and engine.layers and not engine.is_leaving:
            covered.update(range(*engine.layers))
    return set(range(LAYERS)) - covered


class TestPlan:
    def test_each_data_centre_holds_the_model(self):
        engines = apply(plan_layers(make_model(), make_fleet(), {}))
        assert len(engines) == len(make_fleet())
        for centre in "abc":
            assert uncovered_layers(engines, centre) == set()

    def test_ranges_fit_into_the_memory(self):
        model = make_model()
        for assignment in plan_layers(model, make_fleet(), {}):
            kind = model.accelerator_by_name[assignment.replica.accelerator]
            assert (
                assignment.last - assignment.first
            ) * model.layer_weights_mb <= kind.memory_mb
            assert 0 <= assignment.first < assignment.last <= LAYERS

    @pytest.mark.parametrize("room", [0.0, 1.0, 40_000.0, 1e9])
    def test_layers_stay_within_memory_for_any_room(self, room):
        model = make_model()
        assert 1 <= layers_for(model, "v100", room) <= 8
        assert layers_for(model, "unknown", room) == 0

    def test_room_shrinks_until_the_model_fits(self):
        model = make_model()
        few = room_for(model, ["a100", "a100"])
        many = room_for(model, ["a100"] * 6)
        assert few < many

    def test_an_engine_that_restarts_closes_its_gap(self):
        model = make_model()
        engines = apply(plan_layers(model, make_fleet(), {}))
        lost = engines[0]
        back = make_engine(lost.name, lost.data_centre, lost.accelerator)
        (assignment,) = plan_layers(model, [back, *engines[1:]], {})
        uncovered = uncovered_layers(
            [*engines[1:], *apply([assignment])], lost.data_centre
        )
        assert assignment.replica is back
        assert uncovered == set()

    def test_an_ordered_range_counts_as_held(self):
        model = make_model()
        first, second = make_engine("x"), make_engine("y")
        held = {first.identity: (0, 4)}
        (assignment,) = plan_layers(model, [first, second], held)
        assert assignment.replica is second
        assert assignment.first >= 4

    @pytest.mark.parametrize("centre", ["a", "b", "c"])
    def test_two_engines_take_first_layers(self, centre):
        engines = apply(plan_layers(make_model(), make_fleet(), {}))
        heads = [e for e in engines if e.data_centre == centre and e.layers[0] == 0]
        assert len(heads) >= FIRST_LAYER_ENGINES

    def test_a_large_data_centre_holds_the_model_twice(self):
        fleet = [make_engine(f"v{n}") for n in range(60)]
        fleet += [make_engine(f"a{n}", accelerator="a100") for n in range(4)]
        engines = apply(plan_layers(make_model(), fleet, {}))
        for engine in engines:
            others = [other for other in engines if other is not engine]
            assert uncovered_layers(others, "a") == set()

    def test_leaving_engines_get_no_layers(self):
        assert plan_layers(make_model(), [make_engine("x", is_leaving=True)], {}) == []


class TestRepair:
    def lose(self, engines, centre):
        """Return all engines but one that is the only holder of some layers."""
        for engine in engines:
            rest = [other for other in engines if other is not engine]
            is_small = engine.accelerator == "v100"
            if (
                is_small
                and engine.data_centre == centre
                and uncovered_layers(rest, centre)
            ):
                return rest
        raise AssertionError("no engine is the only holder of some layers")

    def test_a_move_closes_more_layers_than_it_uncovers(self):
        model = make_model()
        engines = self.lose(apply(plan_layers(model, make_fleet(), {})), "a")
        gap = uncovered_layers(engines, "a")
        moves = plan_repairs(model, engines, {})
        assert [move.replica.data_centre for move in moves] == ["a"]
        moved = apply(moves)[0]
        rest = [engine for engine in engines if engine.name != moved.name]
        assert len(uncovered_layers([*rest, moved], "a")) < len(gap)

    def test_no_move_while_a_load_is_in_progress(self):
        model = make_model()
        engines = self.lose(apply(plan_layers(model, make_fleet(), {})), "a")
        empty = make_engine("new", "a")
        assert plan_repairs(model, [*engines, empty], {}) == []
        ordered = {engines[0].identity: engines[0].layers}
        by_centre = {
            m.replica.data_centre for m in plan_repairs(model, engines, ordered)
        }
        assert engines[0].data_centre not in by_centre

    def test_no_move_without_a_gap(self):
        model = make_model()
        assert (
            plan_repairs(model, apply(plan_layers(model, make_fleet(), {})), {}) == []
        )
