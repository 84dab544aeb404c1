"""Placement by real daemons: lost layers come back, and no old order does."""

import time

import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import Fleet
from tests.fleet import default_engines
from tests.fleet import wait_until

ROLE = "placement/a"
LOOK_S = 2.5


def engines():
    """Return four engines of the first half and two of the second.

    Half of the first ones ignore fencing numbers.
    """
    made = default_engines(["a"])
    made += [
        {**made[0], "name": "engine-a4", "fencing": "ignored"},
        {**made[0], "name": "engine-a6", "fencing": "ignored"},
    ]
    return made


@pytest.fixture
def fleet(tmp_path):
    settings = {"placement": {"lease_s": 3.0, "hold_s": 0.5, "order_timeout_s": 0.5}}
    with Fleet(
        tmp_path,
        data_centres=("a",),
        daemons_each=3,
        engines=engines(),
        settings=settings,
    ) as made:
        wait_until(lambda: holder_of(made), "a holder")
        # A host knows the ranges once it has looked, each second.
        time.sleep(LOOK_S)
        yield made


def holder_of(fleet):
    """Return the name of the daemon that the table says holds the lease."""
    value = fleet.read("leases", ROLE)["value"]
    return value["holder"].partition("/")[0] if value and value["holder"] else None


def orders(fleet):
    """Return all orders that engines took or refused, oldest first."""
    names = [name for name in fleet.standins.addresses if name.startswith("engine")]
    found = [
        {**order, "engine": name}
        for name in names
        for order in fleet.standins.records(name)["orders"]
    ]
    return sorted(found, key=lambda order: order["at"])


def lose_second_half(fleet):
    for name in fleet.standins.addresses:
        if not name.startswith("engine"):
            continue
        if fleet.standins.records(name)["state"]["first"] == 4:
            fleet.standins.switch(name, dead=True)
            fleet.standins.switch("hosts", remove=name)


def assert_served_again(fleet, daemons, prompt):
    def served():
        hurry = {"X-Timeout": "2"}
        answers = [daemon.complete(prompt, 5, headers=hurry) for daemon in daemons]
        return all(answer.status == 200 for answer in answers)

    wait_until(served, "every layer is held again")
    answer = daemons[0].complete(prompt, 5)
    assert answer.text() == tokens.expected_text(prompt, 5, LAYERS)


def assert_fences_only_grow(fleet):
    taken = [order for order in orders(fleet) if order["accepted"]]
    assert taken
    for name in {order["engine"] for order in taken}:
        fences = [order["fence"] for order in taken if order["engine"] == name]
        assert fences == sorted(fences), (name, fences)
    holders_by_fence = {}
    for order in orders(fleet):
        holders_by_fence.setdefault(order["fence"], set()).add(order["holder"])
    # A fencing number belongs to one holder.
    assert all(len(holders) == 1 for holders in holders_by_fence.values())


class TestLostLayers:
    def test_an_engine_is_moved_to_the_lost_layers(self, fleet):
        lose_second_half(fleet)
        assert_served_again(fleet, list(fleet.daemons.values()), "moved")
        assert_fences_only_grow(fleet)
        fleet.assert_layers_ran_once()


class TestHolderFrozen:
    def test_thawed_holder_gives_no_order_of_its_old_lease(self, fleet):
        first = wait_until(lambda: holder_of(fleet), "a holder")
        fleet[first].freeze()
        try:
            second = wait_until(
                lambda: holder_of(fleet) not in (None, first) and holder_of(fleet),
                "another holder",
            )
            others = [d for d in fleet.daemons.values() if d.name != first]
            lose_second_half(fleet)
            assert_served_again(fleet, others, "second holder")
            given = len(orders(fleet))
            assert given
        finally:
            fleet[first].thaw()
        wait_until(fleet[first].is_ready, "the first holder is ready")
        # Lost once more, with both awake.
        lose_second_half(fleet)
        assert_served_again(fleet, list(fleet.daemons.values()), "both awake")
        assert len(orders(fleet)) > given
        assert_fences_only_grow(fleet)
        after = orders(fleet)[given:]
        assert {order["holder"].partition("/")[0] for order in after} == {second}

    def test_killed_holder_is_replaced(self, fleet):
        first = wait_until(lambda: holder_of(fleet), "a holder")
        fleet[first].kill()
        lose_second_half(fleet)
        others = [d for d in fleet.daemons.values() if d.name != first]
        assert_served_again(fleet, others, "replaced")
        assert_fences_only_grow(fleet)
