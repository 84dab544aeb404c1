"""Placement by daemon processes: lost layers are replaced, outdated orders refused."""

import time

import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import Fleet
from tests.fleet import default_engines
from tests.fleet import wait_until

ROLE = "placement/a"
RANGES_READ_S = 2.5  # hosts read the layer ranges of the engines each second


def engines():
    """Return four engines with the first half of the layers and two with the second.

    Two engines of the first half ignore fencing numbers.
    """
    options = default_engines(["a"])
    options += [
        {**options[0], "name": "engine-a4", "fencing": "ignored"},
        {**options[0], "name": "engine-a6", "fencing": "ignored"},
    ]
    return options


@pytest.fixture
def fleet(tmp_path):
    settings = {"placement": {"lease_s": 3.0, "hold_s": 0.5, "order_timeout_s": 0.5}}
    with Fleet(
        tmp_path,
        data_centres=("a",),
        daemons_each=3,
        engines=engines(),
        settings=settings,
    ) as new_fleet:
        wait_until(lambda: holder_of(new_fleet), "a holder")
        # Let each host read the layer ranges before a test changes them.
        time.sleep(RANGES_READ_S)
        yield new_fleet


def holder_of(fleet):
    """Return the name of the daemon that holds the lease in the table, or ``None``."""
    value = fleet.read("leases", ROLE)["value"]
    return value["holder"].partition("/")[0] if value and value["holder"] else None


def orders(fleet):
    """Return all orders that engines accepted or refused, oldest first."""
    names = [name for name in fleet.standins.addresses if name.startswith("engine")]
    found = [
        {**order, "engine": name}
        for name in names
        for order in fleet.standins.records(name)["orders"]
    ]
    return sorted(found, key=lambda order: order["at"])


def lose_second_half(fleet):
    """End the engines with the second half of the layers, and unlist their hosts."""
    for name in fleet.standins.addresses:
        if not name.startswith("engine"):
            continue
        if fleet.standins.records(name)["state"]["first"] == 4:
            fleet.standins.switch(name, dead=True)
            fleet.standins.switch("hosts", remove=name)


def assert_served_again(fleet, daemons, prompt):
    def all_served():
        short_deadline = {"X-Timeout": "2"}
        answers = [
            daemon.complete(prompt, 5, headers=short_deadline) for daemon in daemons
        ]
        return all(answer.status == 200 for answer in answers)

    wait_until(all_served, "every layer is held again")
    answer = daemons[0].complete(prompt, 5)
    assert answer.text() == tokens.expected_text(prompt, 5, LAYERS)


def assert_fences_never_decrease(fleet):
    """Check the fencing numbers that each engine accepted."""
    accepted_orders = [order for order in orders(fleet) if order["accepted"]]
    assert accepted_orders
    for name in {order["engine"] for order in accepted_orders}:
        fences = [
            order["fence"] for order in accepted_orders if order["engine"] == name
        ]
        assert fences == sorted(fences), (name, fences)
    holders_by_fence = {}
    for order in orders(fleet):
        holders_by_fence.setdefault(order["fence"], set()).add(order["holder"])
    # Each fencing number is used by one holder only.
    assert all(len(holders) == 1 for holders in holders_by_fence.values())


class TestLostLayers:
    def test_an_engine_is_moved_to_the_lost_layers(self, fleet):
        lose_second_half(fleet)
        assert_served_again(fleet, list(fleet.daemons.values()), "moved")
        assert_fences_never_decrease(fleet)
        fleet.assert_layers_ran_once()


class TestHolderFrozen:
    def test_thawed_holder_sends_no_order_under_its_old_lease(self, fleet):
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
            order_count = len(orders(fleet))
            assert order_count
        finally:
            fleet[first].thaw()
        wait_until(fleet[first].is_ready, "the first holder is ready")
        # Lose the layers once more, while both daemons run.
        lose_second_half(fleet)
        assert_served_again(fleet, list(fleet.daemons.values()), "both awake")
        assert len(orders(fleet)) > order_count
        assert_fences_never_decrease(fleet)
        later_orders = orders(fleet)[order_count:]
        assert {order["holder"].partition("/")[0] for order in later_orders} == {second}

    def test_killed_holder_is_replaced(self, fleet):
        first = wait_until(lambda: holder_of(fleet), "a holder")
        fleet[first].kill()
        lose_second_half(fleet)
        others = [d for d in fleet.daemons.values() if d.name != first]
        assert_served_again(fleet, others, "replaced")
        assert_fences_never_decrease(fleet)
