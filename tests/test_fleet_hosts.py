"""Loss, return and replacement of hosts, and outages of the platform."""

import concurrent.futures
import time

import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import Fleet
from tests.fleet import wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(
        tmp_path_factory.mktemp("fleet"),
        daemons_each=2,
        services=2,
        partitionable=("b",),
    ) as new_fleet:
        yield new_fleet


def assert_serves(daemon, prompt, length=10):
    answer = daemon.complete(prompt, length)
    assert answer.text() == tokens.expected_text(prompt, length, LAYERS)


class TestHostLost:
    def test_other_hosts_serve_and_a_new_host_joins_at_the_same_address(self, fleet):
        fleet["a0"].kill()
        others = [daemon for name, daemon in fleet.daemons.items() if name != "a0"]
        for number in range(3):
            for daemon in others:
                assert_serves(daemon, f"without a0 {daemon.name} {number}")
        fleet["a0"].start()
        fleet["a0"].wait_ready()
        assert_serves(fleet["a0"], "a0 again")
        wait_until(lambda: self.sees(fleet, "b0", "a0"), "b0 sees the new a0")
        fleet.assert_layers_ran_once()

    def sees(self, fleet, name, other):
        peers = fleet[name].status()["peers"]
        return other in str(peers)

    def test_the_other_data_centre_serves_while_all_hosts_of_one_are_frozen(
        self, fleet
    ):
        for name in ("a0", "a1"):
            fleet[name].freeze()
        try:
            for number in range(3):
                assert_serves(fleet["b0"], f"without a {number}")
                assert fleet["b1"].call(f"without-a-{number}").status == 200
        finally:
            for name in ("a0", "a1"):
                fleet[name].thaw()
        for name in ("a0", "a1"):
            wait_until(fleet[name].is_ready, f"{name} ready again")
            assert_serves(fleet[name], f"{name} thawed")


class TestServiceLeaving:
    # Bound on the time until a leaving replica gets no new calls.
    LEAVING_BOUND_S = 3.0

    def test_leaving_replica_gets_no_new_call(self, fleet):
        fleet.standins.switch("hosts", leaving="desk0")
        leaving_at = time.monotonic()
        number = 0
        while time.monotonic() < leaving_at + self.LEAVING_BOUND_S + 1.0:
            daemon = list(fleet.daemons.values())[number % len(fleet.daemons)]
            assert daemon.call(f"leaving{number}").status == 200
            number += 1
            time.sleep(0.05)
        runs = fleet.standins.records("desk0")["runs"]
        fleet.standins.switch("hosts", live="desk0")
        late = [run for run in runs if run["at"] > leaving_at + self.LEAVING_BOUND_S]
        assert late == []
        assert number > 20


class TestOutage:
    def test_recovery_does_not_overload_the_table(self, fleet):
        fleet.standins.switch("table", down=True)
        try:
            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                calls = [
                    pool.submit(daemon.call, f"outage-{daemon.name}-{number}")
                    for number in range(25)
                    for daemon in fleet.daemons.values()
                ]
                answers = [call.result() for call in calls]
            time.sleep(2.0)
        finally:
            fleet.standins.switch("table", down=False)
        for answer in answers:
            assert answer.headers["x-outcome"] == "not_run"
        assert not any(
            str(run["idempotency_key"]).startswith("outage")
            for name in ("desk0", "desk1")
            for run in fleet.standins.records(name)["runs"]
        )
        wait_until(lambda: fleet["a0"].call("after-outage").status == 200, "recovery")
        time.sleep(2.0)
        # The table refuses requests above its rate limits; none was refused.
        assert fleet.standins.records("table")["counts"].get("refused", 0) == 0

    def test_calls_run_at_most_once_while_platform_replies_are_lost(self, fleet):
        fleet.partition("b", "replies")
        try:
            answer = fleet["b0"].call("one-way", timeout_s=5)
            # The claim may have been written, but the call was not sent.
            assert answer.status >= 400
            runs = len(fleet.runs("one-way"))
            if answer.headers["x-outcome"] == "not_run":
                assert runs == 0
            assert_serves(fleet["b0"], "one way")
        finally:
            fleet.partition("b", "")

        def is_recovered():
            return fleet["b0"].call("mended").status == 200

        wait_until(is_recovered, "recovery")
        fleet["a0"].call("one-way", timeout_s=5)
        assert len(fleet.runs("one-way")) <= 1
        assert len(fleet.runs("mended")) == 1
