"""Routes across data centres, over real daemons."""

import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import Fleet
from tests.fleet import wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("routes")) as made:
        yield made


class TestRangeLost:
    def test_other_data_centre_serves(self, fleet):
        # Both engines of one layer range; the others of the data centre stay.
        for engine in ("engine-a0", "engine-a2"):
            fleet.standins.switch(engine, dead=True)

        def is_known():
            return fleet["a0"].complete("where", 1).status == 200

        wait_until(is_known, "the loss is known")
        answer = fleet["a0"].complete("elsewhere", 8)
        assert answer.text() == tokens.expected_text("elsewhere", 8, LAYERS)
        [attempt] = [a for a in fleet.attempts() if a["made"] == 8]
        assert attempt["engine"].startswith("engine-b")
        fleet.assert_layers_ran_once()

    def test_no_route_anywhere_is_refused_as_not_run(self, fleet):
        for engine in ("engine-a0", "engine-a2", "engine-b0", "engine-b2"):
            fleet.standins.switch(engine, dead=True)
        headers = {"X-Timeout": "15"}
        codes = set()
        for number in range(3):
            answer = fleet["a0"].complete(f"nowhere {number}", 4, headers=headers)
            codes.add((answer.error["code"], answer.error["outcome"]))
        # Not "overloaded" at the end of the deadline: that it can't be served is
        # known long before.
        assert codes == {("no_upstream", "not_run")}
        for engine in ("engine-a0", "engine-a2", "engine-b0", "engine-b2"):
            fleet.standins.switch(engine, dead=False)

        def is_back():
            return fleet["a0"].complete("back", 4).status == 200

        wait_until(is_back, "the routes are back")
