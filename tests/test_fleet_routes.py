"""Routes to engines in other data centres, chosen by daemon processes."""

import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import Fleet
from tests.fleet import wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("routes")) as new_fleet:
        yield new_fleet


class TestLayerRangeLost:
    def test_engines_of_the_other_data_centre_serve(self, fleet):
        # Both engines of one layer range; the other engines of the data centre run on.
        for engine in ("engine-a0", "engine-a2"):
            fleet.standins.switch(engine, dead=True)

        def is_served():
            return fleet["a0"].complete("where", 1).status == 200

        wait_until(is_served, "the loss is known")
        answer = fleet["a0"].complete("elsewhere", 8)
        assert answer.text() == tokens.expected_text("elsewhere", 8, LAYERS)
        [attempt] = [a for a in fleet.attempts() if a["made"] == 8]
        assert attempt["engine"].startswith("engine-b")
        fleet.assert_layers_ran_once()

    def test_request_without_any_route_is_refused_as_not_run(self, fleet):
        for engine in ("engine-a0", "engine-a2", "engine-b0", "engine-b2"):
            fleet.standins.switch(engine, dead=True)
        headers = {"X-Timeout": "15"}
        codes = set()
        for number in range(3):
            answer = fleet["a0"].complete(f"nowhere {number}", 4, headers=headers)
            codes.add((answer.error["code"], answer.error["outcome"]))
        # Refused as soon as no route is left, and not with "overloaded" at the
        # deadline.
        assert codes == {("no_upstream", "not_run")}
        for engine in ("engine-a0", "engine-a2", "engine-b0", "engine-b2"):
            fleet.standins.switch(engine, dead=False)

        def is_recovered():
            return fleet["a0"].complete("back", 4).status == 200

        wait_until(is_recovered, "the routes are back")
