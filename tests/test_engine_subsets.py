"""A choice of pipeline must not become slower, or worse, as the fleet grows.

It searches subsets of engines that each hold the whole model. A layer that is missing
from a subset, or an engine in no subset, would refuse requests that there is room for.
"""

import random

import pytest

from tests.gateway_data import LAYERS
from tests.gateway_data import make_engine
from tests.gateway_data import make_model
from tests.test_pipelines import check
from wagtailstair.core.engine_costs import Demand
from wagtailstair.core.engine_costs import EngineUse
from wagtailstair.core.engine_costs import Load
from wagtailstair.core.engine_costs import engine_key
from wagtailstair.core.engine_costs import rate_engine
from wagtailstair.core.engine_subsets import SUBSET_ENGINES_MAX
from wagtailstair.core.engine_subsets import divide_engines
from wagtailstair.core.layout import plan_layers
from wagtailstair.core.path_search import Candidate
from wagtailstair.core.path_search import Entry
from wagtailstair.core.path_search import cheapest_path
from wagtailstair.core.pipelines import LoadSource
from wagtailstair.core.pipelines import Pipelines

KINDS = ("a100", "v100", "v100", "v100", "l4", "l4")
SIZES = {"a100": (15, 40), "v100": (5, 8), "l4": (6, 12)}


def make_random_fleet(count, centres, rng):
    engines = []
    for index in range(count):
        kind = rng.choice(KINDS)
        size = rng.randint(*SIZES[kind])
        first = rng.randrange(LAYERS - size + 1)
        centre = f"c{index % centres}"
        engines.append(make_engine(f"e{index}", centre, kind, (first, first + size)))
    return engines


def make_placed_fleet(count, centres, rng):
    model = make_model()
    empty = []
    for index in range(count):
        empty.append(make_engine(f"e{index}", f"c{index % centres}", rng.choice(KINDS)))
    engines = []
    for assignment in plan_layers(model, empty, {}):
        replica = assignment.replica
        layers = (assignment.first, assignment.last)
        engines.append(
            make_engine(replica.name, replica.data_centre, replica.accelerator, layers)
        )
    return engines


def rate_all(engines):
    model = make_model()
    rated = []
    for replica in engines:
        rated.append(rate_engine(model, replica, EngineUse(engine_key(replica))))
    return rated


def has_all_layers(engines):
    held = set()
    for engine in engines:
        held.update(range(*engine.layers))
    return held >= set(range(LAYERS))


class TestSubsets:
    @pytest.mark.parametrize("seed", range(10))
    def test_groups_are_small_complete_and_hold_every_engine(self, seed):
        rng = random.Random(seed)
        engines = make_random_fleet(900, 3, rng)
        subsets_by_centre = divide_engines(LAYERS, rate_all(engines), rng)
        for centre, subsets in subsets_by_centre.items():
            covered = set()
            for subset in subsets:
                members = [engine.replica for engine in subset.engines]
                assert {member.data_centre for member in members} == {centre}
                assert has_all_layers(members)
                assert len(members) <= 2 * SUBSET_ENGINES_MAX
                covered.update(member.name for member in members)
            own = {e.name for e in engines if e.data_centre == centre}
            assert covered == own

    def test_a_data_centre_without_a_layer_has_no_group(self):
        engines = [make_engine("x", "a", layers=(0, 40), accelerator="a100")]
        engines.append(make_engine("y", "a", layers=(41, 80), accelerator="a100"))
        engines.append(make_engine("z", "b", layers=(0, 80), accelerator="a100"))
        subsets = divide_engines(LAYERS, rate_all(engines), random.Random(1))
        assert list(subsets) == ["b"]

    def test_ranges_outside_the_model_are_cut_to_it(self):
        model = make_model()
        engines = (
            make_engine("x", layers=(-5, 100), accelerator="a100"),
            make_engine("y", layers=(90, 120), accelerator="a100"),
            make_engine("z", layers=(50, 10), accelerator="a100"),
        )
        path = Pipelines("a", random.Random(1)).choose(model, engines, 800, 200, 0.0)
        assert [(hop.first, hop.last) for hop in path] == [(0, LAYERS)]


class TestChoice:
    def cost(self, model, path, cost_by_name):
        centre = path[0].replica.data_centre
        assert {hop.replica.data_centre for hop in path} == {centre}
        total = cost_by_name[path[0].replica.name].head_s
        for hop in path:
            cost = cost_by_name[hop.replica.name]
            total += cost.hop_s + cost.layer_s * (hop.last - hop.first)
        return total

    @pytest.mark.parametrize("seed", range(10))
    def test_is_as_cheap_as_a_search_of_the_whole_data_centre(self, seed, monkeypatch):
        monkeypatch.setattr("wagtailstair.core.engine_costs.COST_JITTER_SHARE", 0.0)
        rng = random.Random(seed)
        model = make_model()
        engines = tuple(make_placed_fleet(40, 1, rng))
        pipelines = Pipelines("c0", rng)
        loads = {}
        for engine in engines:
            held = rng.random() * 100_000
            loads[engine_key(engine)] = Load(rng.randrange(20), rng.randrange(5), held)
        pipelines.set_peer_loads(LoadSource("peer"), loads)
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        check(path)
        fleet = pipelines._fleet
        (subset,) = fleet.subsets_by_centre["c0"]
        costs = pipelines._costs(model, subset.engines, Demand(800, 200, 0.0))
        candidates, cost_by_name = [], {}
        for engine, cost in zip(subset.engines, costs, strict=True):
            candidates.append(Candidate(engine.replica, *cost))
            cost_by_name[engine.replica.name] = cost
        exact = cheapest_path(model, candidates, Entry(0, "c0"), 800, 200)
        assert self.cost(model, path, cost_by_name) == pytest.approx(
            self.cost(model, exact, cost_by_name)
        )

    def test_full_data_centre_is_left_for_any_with_room(self):
        model = make_model()
        rng = random.Random(3)
        engines = tuple(make_placed_fleet(200, 5, rng))
        pipelines = Pipelines("c0", rng)
        loads = {}
        for engine in engines:
            if engine.data_centre != "c4":
                loads[engine_key(engine)] = Load(90, 0, 1e9)
        pipelines.set_peer_loads(LoadSource("peer"), loads)
        for _ in range(20):
            path = pipelines.choose(model, engines, 800, 200, 0.0)
            assert {hop.replica.data_centre for hop in path} == {"c4"}

    def test_full_fleet_is_searched_for_joined_chains_only_now_and_then(
        self, monkeypatch
    ):
        # While all engines are full, each request that waits asks again: a search
        # of the whole fleet for each of them took most of a small host's processor.
        model = make_model()
        rng = random.Random(3)
        engines = tuple(make_placed_fleet(100, 5, rng))
        pipelines = Pipelines("c0", rng)
        full = {engine_key(engine): Load(90, 0, 1e9) for engine in engines}
        pipelines.set_peer_loads(LoadSource("peer"), full)
        searched = []

        def count_search(*args, **kwargs):
            searched.append(args)
            return cheapest_path(*args, **kwargs)

        monkeypatch.setattr("wagtailstair.core.pipelines.cheapest_path", count_search)
        for step in range(100):
            check(pipelines.choose(model, engines, 800, 200, step * 0.001))
        assert len(searched) == 1

    def test_choices_differ_while_hosts_know_the_same_old_loads(self):
        # 195 hosts that see the same loads for a second must not all choose one path.
        model = make_model()
        engines = tuple(make_placed_fleet(205, 5, random.Random(4)))
        heads = {}
        for index in range(195):
            pipelines = Pipelines(f"c{index % 5}", random.Random(index))
            path = pipelines.choose(model, engines, 800, 200, 0.0)
            heads[path[0].replica.name] = heads.get(path[0].replica.name, 0) + 1
        assert len(heads) >= 10
        assert max(heads.values()) <= 195 // 5
