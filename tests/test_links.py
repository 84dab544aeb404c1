"""Load on the links between data centres, as far as the choice of pipelines knows it.

A link carries one transfer at a time. Requests over its capacity once made every
request on it wait longer than callers do, so that it was busy with requests that
nobody waited for any more.
"""

import heapq
import random

import pytest

from tests.gateway_data import make_engine
from tests.gateway_data import make_model
from wagtailstair.core.pipelines import LoadSource
from wagtailstair.core.pipelines import Pipelines

PROMPT = 800
ANSWER = 200
TOKENS = PROMPT + ANSWER
GOAL_S = 0.5
PATIENCE_S = 2.0
STREAM_S = 1.0


@pytest.fixture
def engines():
    """The engines of two data centres, each of which lacks one half of the layers."""
    engines = []
    for first, centre in ((0, "a"), (20, "a"), (40, "b"), (60, "b")):
        for copy in ("x", "y"):
            layers = (first, first + 20)
            engines.append(make_engine(f"{copy}{first}", centre, "a100", layers))
    return engines


def transfer_s(model):
    return PROMPT * model.hidden_bytes / model.link_bytes_per_s


def fill_link(pipelines, model, engines):
    """Begin requests until there is no room; return their paths."""
    paths = []
    while True:
        path = pipelines.choose(model, engines, PROMPT, ANSWER, 0.0)
        if not pipelines.has_room(model, path, TOKENS, 0):
            return paths
        pipelines.reserve_tokens(path, TOKENS)
        pipelines.reserve_links(path, PROMPT)
        paths.append(path)


class TestRoom:
    def test_prompts_on_a_link_pass_it_within_the_goal(self, engines):
        pipelines, model = Pipelines("a", random.Random(1)), make_model()
        paths = fill_link(pipelines, model, engines)
        assert paths
        assert len(paths) * transfer_s(model) <= GOAL_S

    def test_room_returns_when_a_prompt_has_passed(self, engines):
        pipelines, model = Pipelines("a", random.Random(1)), make_model()
        paths = fill_link(pipelines, model, engines)
        pipelines.release_links(paths[0], PROMPT)
        assert pipelines.has_room(model, paths[0], TOKENS, 0)

    def test_an_idle_link_takes_a_request_of_any_size(self, engines):
        pipelines, model = Pipelines("a", random.Random(1)), make_model()
        path = pipelines.choose(model, engines, PROMPT, ANSWER, 0.0)
        assert pipelines.has_link_room(model, path, 1e9)

    def test_requests_of_other_hosts_count(self, engines):
        other, model = Pipelines("a", random.Random(2)), make_model()
        fill_link(other, model, engines)
        pipelines = Pipelines("a", random.Random(1))
        pipelines.set_peer_loads(LoadSource("entry-2"), other.own_loads())
        assert fill_link(pipelines, model, engines) == []

    def test_a_full_link_is_avoided_where_another_data_centre_has_the_layers(
        self, engines
    ):
        pipelines, model = Pipelines("a", random.Random(1)), make_model()
        with_third = [*engines, make_engine("c40", "c", "a100", (40, 60))]
        with_third.append(make_engine("c60", "c", "a100", (60, 80)))
        targets = set()
        for path in fill_link(pipelines, model, with_third):
            targets.add(path[-1].replica.data_centre)
        assert targets == {"b", "c"}


class TestOverload:
    def serve(self, model, engines, per_s, length_s):
        """Return the times of the first events that callers waited for."""
        pipelines = Pipelines("a", random.Random(1))
        steps: list = []
        served = []
        link_free_at = 0.0
        for number in range(int(per_s * length_s)):
            now = number / per_s
            while steps and steps[0][0] <= now:
                _, _, release, path, tokens = heapq.heappop(steps)
                release(path, tokens)
            path = pipelines.choose(model, engines, PROMPT, ANSWER, now)
            if not pipelines.has_room(model, path, TOKENS, 0):
                continue
            pipelines.reserve_tokens(path, TOKENS)
            pipelines.reserve_links(path, PROMPT)
            link_free_at = max(now, link_free_at) + transfer_s(model)
            passed_at = min(link_free_at, now + PATIENCE_S)
            ends_at = passed_at
            if link_free_at <= passed_at:
                served.append(link_free_at)
                ends_at += STREAM_S
            step = (passed_at, number, pipelines.release_links, path, PROMPT)
            heapq.heappush(steps, step)
            step = (ends_at, -number, pipelines.release_tokens, path, TOKENS)
            heapq.heappush(steps, step)
        return served

    # Twice the requests that a link can carry once left nearly none of them served,
    # for as long as the load lasted: each waited behind those whose callers had left.
    def test_an_overloaded_link_still_serves(self, engines):
        model = make_model()
        per_s = 2 / transfer_s(model)
        served = self.serve(model, engines, per_s, 30.0)
        late = [at for at in served if 15.0 <= at < 30.0]
        assert len(late) >= 0.5 * 15.0 / transfer_s(model)
