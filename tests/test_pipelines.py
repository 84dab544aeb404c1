import random

import pytest

from tests.gateway_data import LAYERS
from tests.gateway_data import make_engine
from tests.gateway_data import make_fleet
from tests.gateway_data import make_model
from wagtailstair.core.engine_costs import Load
from wagtailstair.core.engine_costs import engine_key
from wagtailstair.core.layout import plan_layers
from wagtailstair.core.pipelines import Hop
from wagtailstair.core.pipelines import LoadSource
from wagtailstair.core.pipelines import Pipelines
from wagtailstair.core.pipelines import crossed_links
from wagtailstair.core.pipelines import unread_hops
from wagtailstair.gateway.engine_uses import apply_uses
from wagtailstair.gateway.engine_uses import centre_uses
from wagtailstair.gateway.engine_uses import own_uses


def place_all(model, engines):
    placed = []
    for assignment in plan_layers(model, engines, {}):
        layers = (assignment.first, assignment.last)
        replica = assignment.replica
        placed.append(
            make_engine(replica.name, replica.data_centre, replica.accelerator, layers)
        )
    return placed


def check(path, layers=LAYERS):
    position = 0
    seen = set()
    for hop in path:
        assert hop.first == position
        held = hop.replica.layers
        assert held[0] <= hop.first < hop.last <= held[1]
        assert hop.replica.name not in seen
        seen.add(hop.replica.name)
        position = hop.last
    assert position == layers


@pytest.fixture
def pipelines():
    return Pipelines("a", random.Random(1))


class TestChoose:
    def test_path_covers_every_layer_once_in_order(self, pipelines):
        model = make_model()
        engines = place_all(model, make_fleet())
        for _ in range(20):
            path = pipelines.choose(model, engines, 800, 200, 0.0)
            check(path)
            pipelines.reserve_tokens(path, 1000)

    @pytest.mark.parametrize("seed", range(30))
    def test_finds_a_path_if_and_only_if_random_ranges_cover_all_layers(self, seed):
        rng = random.Random(seed)
        model = make_model(layers=24)
        engines = []
        for index in range(14):
            first = rng.randrange(0, 20)
            last = rng.randrange(first + 1, 25)
            kind = rng.choice(["a100", "v100", "l4"])
            centre = rng.choice("abc")
            engines.append(make_engine(f"e{index}", centre, kind, (first, last)))
        covered = all(
            any(e.layers[0] <= layer < e.layers[1] for e in engines)
            for layer in range(24)
        )
        path = Pipelines("a", rng).choose(model, engines, 800, 200, 0.0)
        assert (path is not None) == covered
        if path is not None:
            check(path, 24)

    def test_stays_in_one_data_centre(self, pipelines):
        model = make_model()
        engines = place_all(model, make_fleet())
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        # The path may lie in another data centre: faster engines there outweigh
        # the cost of a remote start.
        assert len({hop.replica.data_centre for hop in path}) == 1

    def test_stays_in_own_data_centre_where_no_other_is_faster(self, pipelines):
        engines = []
        for centre in "bac":
            for first in range(0, 80, 20):
                layers = (first, first + 20)
                engines.append(make_engine(f"{centre}{first}", centre, "a100", layers))
        for _ in range(20):
            path = pipelines.choose(make_model(), engines, 800, 200, 0.0)
            check(path)
            assert {hop.replica.data_centre for hop in path} == {"a"}

    def test_no_path_without_an_engine_for_a_layer(self, pipelines):
        engines = [make_engine("x", layers=(0, 40)), make_engine("y", layers=(41, 80))]
        assert pipelines.choose(make_model(), engines, 800, 200, 0.0) is None

    def test_suspect_is_used_only_where_no_other_holds_its_layers(self, pipelines):
        model = make_model()
        first = make_engine("x", layers=(0, 80), accelerator="a100")
        second = make_engine("y", "b", "l4", (0, 80))
        pipelines.suspect(first, until=5.0)
        path = pipelines.choose(model, [first, second], 800, 200, 0.0)
        assert [hop.replica.name for hop in path] == ["y"]
        path = pipelines.choose(model, [first], 800, 200, 0.0)
        assert [hop.replica.name for hop in path] == ["x"]
        path = pipelines.choose(model, [first, second], 800, 200, 6.0)
        assert [hop.replica.name for hop in path] == ["x"]

    def test_full_kv_memory_diverts_requests(self, pipelines):
        model = make_model()
        first = make_engine("x", layers=(0, 5))
        second = make_engine("y", layers=(0, 5))
        rest = make_engine("z", accelerator="a100", layers=(5, 80))
        loads = {engine_key(first): Load(200, 0, 200_000 * 5)}
        pipelines.set_peer_loads(LoadSource("other"), loads)
        path = pipelines.choose(model, [first, second, rest], 800, 200, 0.0)
        assert path[0].replica.name == "y"

    def test_loads_of_a_dropped_peer_are_removed(self, pipelines):
        engine = make_engine("x", layers=(0, 5))
        pipelines.set_peer_loads(
            LoadSource("other"), {engine_key(engine): Load(200, 9, 1000.0, 500)}
        )
        assert pipelines.total(engine) == (200, 9, 1000.0, 500)
        pipelines.drop_peer_loads(LoadSource("other"))
        assert pipelines.total(engine) == (0, 0, 0.0, 0)

    def test_hops_of_one_engine_are_merged(self, pipelines):
        # The quick engine is cheaper for its own layers, but the path would return
        # to the slow engine, and an engine may occur only once.
        model = make_model(layers=10)
        slow = make_engine("slow", accelerator="l4", layers=(0, 10))
        quick = make_engine("quick", accelerator="a100", layers=(4, 6))
        path = pipelines.choose(model, [slow, quick], 100_000, 100_000, 0.0)
        check(path, 10)
        assert [hop.replica.name for hop in path] == ["slow"]


class TestHeads:
    """The number of requests that may begin at one engine is limited."""

    def engines(self):
        return [
            make_engine("x", layers=(0, 5)),
            make_engine("y", accelerator="l4", layers=(0, 5)),
            *(
                make_engine(f"z{first}", accelerator="a100", layers=(first, first + 25))
                for first in (5, 30, 55)
            ),
        ]

    def test_requests_begin_elsewhere_before_an_engine_is_full(self, pipelines):
        engines = self.engines()
        model = make_model()
        begun = {"x": 0, "y": 0}
        for _ in range(150):
            path = pipelines.choose(model, engines, 800, 200, 0.0)
            pipelines.reserve_tokens(path, 10)
            begun[path[0].replica.name] += 1
        assert max(begun.values()) <= 96

    def test_heads_of_peers_count(self, pipelines):
        engines = self.engines()
        loads = {engine_key(engines[0]): Load(96, 96, 0.0)}
        pipelines.set_peer_loads(LoadSource("other"), loads)
        path = pipelines.choose(make_model(), engines, 800, 200, 0.0)
        assert path[0].replica.name == "y"

    def test_no_room_where_all_head_engines_are_full(self, pipelines):
        model = make_model()
        engines = self.engines()
        loads = {engine_key(engine): Load(96, 96, 0.0) for engine in engines[:2]}
        pipelines.set_peer_loads(LoadSource("other"), loads)
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        assert not pipelines.has_room(model, path, 1000, 0)
        pipelines.drop_peer_loads(LoadSource("other"))
        assert pipelines.has_room(model, path, 1000, 0)

    def test_only_the_first_engine_counts_a_head(self, pipelines):
        model = make_model()
        engines = self.engines()
        pipelines.reserve_tokens(pipelines.choose(model, engines, 800, 200, 0.0), 10)
        assert pipelines.total(engines[2]).heads == 0


class TestReplace:
    # A new path once left engines that had read the request's tokens: each of the
    # others had to read them all again.
    @pytest.mark.parametrize("seed", range(20))
    def test_only_the_layers_of_a_lost_engine_move(self, seed):
        pipelines = Pipelines("a", random.Random(seed))
        model = make_model()
        engines = place_all(model, make_fleet())
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        lost = path[1 + seed % (len(path) - 1)]
        pipelines.suspect(lost.replica, 3.0)
        again = pipelines.replace(model, engines, 800, 200, 0.0, path, lost.replica)
        check(again)
        assert again[0] == path[0]
        assert lost.replica not in [hop.replica for hop in again]
        engine_by_layer = {}
        for hop in again:
            for layer in range(hop.first, hop.last):
                engine_by_layer[layer] = hop.replica
        for hop in path:
            for layer in range(hop.first, hop.last):
                if hop != lost:
                    assert engine_by_layer[layer] is hop.replica

    def test_all_unusable_engines_are_replaced(self, pipelines):
        model = make_model()
        engines = []
        for centre in ("a", "b"):
            for first in range(0, LAYERS, 20):
                layers = (first, first + 20)
                engines.append(make_engine(f"{centre}{first}", centre, "a100", layers))
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        assert [hop.replica.name for hop in path] == ["a0", "a20", "a40", "a60"]
        pipelines.suspect(engines[1], 3.0)
        pipelines.suspect(engines[3], 3.0)
        remaining = [engine for engine in engines if engine.name != "a40"]
        again = pipelines.replace(
            model, remaining, 800, 200, 0.0, path, path[1].replica
        )
        check(again)
        assert [hop.replica.name for hop in again] == ["a0", "b20", "b40", "b60"]

    def test_none_without_another_engine_for_the_layers(self, pipelines):
        model = make_model()
        engines = [
            make_engine("x", "a", "a100", (0, 40)),
            make_engine("y", "b", "a100", (40, 80)),
        ]
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        again = pipelines.replace(model, engines[:1], 800, 200, 0.0, path, engines[1])
        assert again is None


class TestUse:
    def test_released_tokens_are_subtracted(self, pipelines):
        engine = make_engine("x", layers=(0, 80))
        path = pipelines.choose(make_model(), [engine], 800, 200, 0.0)
        pipelines.reserve_tokens(path, 1000)
        assert pipelines.total(engine) == (1, 1, 80_000.0, 0)
        pipelines.release_tokens(path, 1000)
        assert pipelines.total(engine) == (0, 0, 0.0, 0)

    def test_a_new_incarnation_is_another_engine(self, pipelines):
        pipelines.suspect(make_engine("x", layers=(0, 80)), 100.0)
        again = make_engine("x", layers=(0, 80), incarnation=2)
        assert pipelines.use(again).suspect_until == 0.0


class TestBacklog:
    """Prompts that engines have yet to read delay those that are sent after them."""

    def engines(self):
        return [
            make_engine("x", accelerator="a100", layers=(0, 80)),
            make_engine("y", accelerator="v100", layers=(0, 80)),
        ]

    # Requests once went to the fastest engine, behind all prompts of a burst.
    def test_a_backlog_diverts_requests(self, pipelines):
        model, (quick, slow) = make_model(), self.engines()
        loads = {engine_key(quick): Load(1, 0, 0.0, 0)}
        pipelines.set_peer_loads(LoadSource("entry-2"), loads)
        path = pipelines.choose(model, [quick, slow], 800, 200, 0.0)
        assert path[0].replica is quick
        # Two seconds for this engine, which reads 51,250 tokens a second.
        loads = {engine_key(quick): Load(1, 0, 0.0, 102_500 * 80)}
        pipelines.set_peer_loads(LoadSource("entry-2"), loads)
        assert pipelines.backlog(model, path) == pytest.approx((2.0, 0.0))
        path = pipelines.choose(model, [quick, slow], 800, 200, 0.0)
        assert path[0].replica is slow

    def test_the_longest_backlog_of_a_path_counts(self, pipelines):
        model, (engine, _) = make_model(), self.engines()
        other = make_engine("z", accelerator="a100", layers=(0, 40))
        pipelines.reserve_prompt((Hop(engine, 40, 80),), 1000)
        path = (Hop(other, 0, 40), Hop(engine, 40, 80))
        expected_s = 1000 * 40 * 3.2 / 164_000 / 80
        assert pipelines.backlog(model, path) == pytest.approx((expected_s, expected_s))

    # Hosts and data centres that are gone would hold streams back for ever.
    def test_reports_carry_unread_prompts_and_take_them_along(self, pipelines):
        model, (engine, _) = make_model(), self.engines()
        path = pipelines.choose(model, [engine], 800, 200, 0.0)
        pipelines.reserve_tokens(path, 1000)
        pipelines.reserve_prompt(path, 800)
        other = Pipelines("a", random.Random(2))
        apply_uses(own_uses("entry-1", [pipelines]), [other])
        assert other.total(engine).unread == 800 * 80
        assert centre_uses("a", [other]).unread == (64,)
        third = {engine_key(engine): Load(1, 0, 0.0, 500)}
        other.set_peer_loads(LoadSource("entry-3"), third)
        other.drop_peer_loads(LoadSource("entry-1"))
        assert other.total(engine).unread == 500
        other.drop_peer_loads(LoadSource("entry-3"))
        assert other.total(engine).unread == 0

    def test_only_engines_that_have_not_read_the_prompt_count_after_a_move(self):
        x, y, z = (make_engine(name, layers=(0, 80)) for name in "xyz")
        path = (Hop(x, 0, 40), Hop(y, 40, 80))
        moved = (Hop(x, 0, 40), Hop(z, 40, 80))
        assert unread_hops(path, (), moved) == moved[1:]
        assert unread_hops(path, path, moved) == moved
        assert unread_hops(moved, moved[1:], (Hop(x, 0, 80),)) == (Hop(x, 0, 80),)


class TestDataCentres:
    def place(self, without):
        model = make_model()
        engines = place_all(model, make_fleet())
        kept = []
        for engine in engines:
            if (
                engine.data_centre == "a"
                and engine.layers[0] <= without < engine.layers[1]
            ):
                continue
            kept.append(engine)
        return model, kept

    def test_a_gap_in_own_data_centre_moves_the_whole_path(self, pipelines):
        model, engines = self.place(without=40)
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        check(path)
        assert len({hop.replica.data_centre for hop in path}) == 1
        assert path[0].replica.data_centre != "a"

    def test_path_crosses_where_no_data_centre_holds_all_layers(self, pipelines):
        model = make_model()
        engines = [
            make_engine("x", "a", "a100", (0, 40)),
            make_engine("y", "b", "a100", (40, 80)),
        ]
        path = pipelines.choose(model, engines, 800, 200, 0.0)
        check(path)
        assert [hop.replica.name for hop in path] == ["x", "y"]
        assert crossed_links(path) == [("a", "b")]
