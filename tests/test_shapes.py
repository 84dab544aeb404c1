import dataclasses

from wagtailstair.core.engine import EngineState
from wagtailstair.core.lists import Lists
from wagtailstair.core.lists import parse_plan
from wagtailstair.core.shapes import ModelShapes
from wagtailstair.core.shapes import has_route
from wagtailstair.core.shapes import planned_models

ENGINE = EngineState(
    name="e",
    incarnation="1",
    address="127.0.0.1:1",
    data_centre="a",
    model="draft",
    version="1",
    role="",
    accelerator="k",
    first=0,
    last=4,
    layers=8,
    slots=8,
    running=0,
    waiting=0,
    kv_tokens=1000,
    kv_used=0,
    step_s=0.01,
    prefill_tokens_per_s=1000.0,
    leaving=False,
    fencing_checked=True,
    order=0,
    as_of=0.0,
)


def engine(name, first, last, model="draft", **changes):
    return dataclasses.replace(
        ENGINE, name=name, first=first, last=last, model=model, **changes
    )


def lists(*models):
    row = {"priorities": ["batch"], "work_per_s": 1.0, "max_concurrent": 1}
    return Lists(1, {"p": parse_plan("p", {**row, "models": list(models)})})


def engines_by_range(targets):
    return {(t.spec.model, t.first, t.last): t.engines for t in targets}


HALVES = [engine("e1", 0, 4), engine("e2", 4, 8)]


class TestTargets:
    def test_only_planned_models_get_engines(self):
        other = [engine("o1", 0, 8, "old"), engine("o2", 0, 8, "old")]
        targets = ModelShapes().derive(lists("draft"), [*HALVES, *other])
        assert engines_by_range(targets) == {("draft", 0, 4): 2, ("draft", 4, 8): 2}

    def test_range_whose_last_engine_died_keeps_its_target(self):
        shapes = ModelShapes()
        shapes.derive(lists("draft"), HALVES)
        spare = engine("e3", 0, 4)
        targets = shapes.derive(lists("draft"), [HALVES[0], spare])
        assert engines_by_range(targets) == {("draft", 0, 4): 1, ("draft", 4, 8): 1}

    def test_leaving_engines_do_not_count(self):
        third = [engine("e3", 0, 4, leaving=True), engine("e4", 4, 8, leaving=True)]
        targets = ModelShapes().derive(lists("draft"), [*HALVES, *third])
        assert engines_by_range(targets) == {("draft", 0, 4): 1, ("draft", 4, 8): 1}

    def test_demand_shifts_engines_between_models(self):
        busy = [engine(f"b{n}", 0, 8, "busy", running=8) for n in range(2)]
        calm = [engine(f"c{n}", 0, 8, "calm") for n in range(4)]
        targets = ModelShapes().derive(lists("busy", "calm"), [*busy, *calm])
        assert engines_by_range(targets) == {("busy", 0, 8): 5, ("calm", 0, 8): 1}

    def test_no_targets_from_ranges_with_a_gap(self):
        assert ModelShapes().derive(lists("draft"), [HALVES[0]]) == []

    def test_planned_models_are_those_of_all_plans(self):
        assert planned_models(lists("a", "b")) == {"a", "b"}


class TestRoute:
    def test_chain_through_all_layers_is_a_route(self):
        assert has_route("draft", HALVES)

    def test_missing_range_is_no_route(self):
        assert not has_route("draft", HALVES[1:])

    def test_overlapping_ranges_are_no_route(self):
        assert not has_route("draft", [engine("e1", 0, 5), engine("e2", 4, 8)])

    def test_leaving_engine_is_not_part_of_a_route(self):
        leaving = engine("e2", 4, 8, leaving=True)
        assert not has_route("draft", [HALVES[0], leaving])

    def test_engines_of_another_model_are_no_route(self):
        assert not has_route("other", HALVES)
