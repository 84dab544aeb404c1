"""Edits of the lists reach all daemons in time, and no daemon reverts to old lists."""

import time

import pytest

from tests.fleet import FULL_PLAN
from tests.fleet import Fleet
from tests.fleet import wait_until

# Promised bound on the time until every daemon uses an edit.
PROPAGATION_BOUND_S = 5.0

CLOSED_PLAN = {**FULL_PLAN, "models": []}


@pytest.fixture
def fleet(tmp_path):
    with Fleet(
        tmp_path,
        data_centres=("a", "b", "c"),
        daemons_each=2,
        partitionable=("c",),
    ) as new_fleet:
        yield new_fleet


def seconds_until_used(fleet, names, version):
    """Wait until all of these daemons use a version; return the seconds it took."""
    started_at = time.monotonic()
    wait_until(
        lambda: all(fleet[name].lists_version() >= version for name in names),
        f"version {version} on {names}",
    )
    return time.monotonic() - started_at


class TestEdit:
    def test_edit_reaches_every_daemon(self, fleet):
        version = fleet.write_lists({"full": CLOSED_PLAN})
        assert seconds_until_used(fleet, fleet.daemons, version) < PROPAGATION_BOUND_S
        for daemon in fleet.daemons.values():
            answer = daemon.complete("closed")
            assert (answer.status, answer.error["code"]) == (403, "not_entitled")

    def test_edit_reaches_a_data_centre_without_connection_to_the_platform(self, fleet):
        fleet.partition("c")
        version = fleet.write_lists({"full": CLOSED_PLAN})
        assert seconds_until_used(fleet, ["c0", "c1"], version) < PROPAGATION_BOUND_S
        answer = fleet["c0"].complete("closed")
        assert (answer.status, answer.error["code"]) == (403, "not_entitled")


class TestNoReversion:
    def test_thawed_daemon_does_not_serve_with_old_lists(self, fleet):
        daemon = fleet["a0"]
        daemon.freeze()
        version = fleet.write_lists({"full": CLOSED_PLAN})
        others = [name for name in fleet.daemons if name != "a0"]
        seconds_until_used(fleet, others, version)
        # After the bound, no daemon may serve with the old lists.
        time.sleep(PROPAGATION_BOUND_S)
        daemon.thaw()
        answers = [daemon.complete("thawed") for _ in range(5)]
        assert [answer.status for answer in answers if answer.status == 200] == []
        assert seconds_until_used(fleet, ["a0"], version) < PROPAGATION_BOUND_S

    def test_restarted_daemon_without_platform_gets_the_newest_lists(self, fleet):
        version = fleet.write_lists({"full": CLOSED_PLAN})
        seconds_until_used(fleet, fleet.daemons, version)
        fleet.partition("c")
        fleet["c0"].kill()
        fleet["c0"].start()
        wait_until(lambda: fleet["c0"].lists_version() >= 0, "c0 answers")
        seen = {fleet["c0"].lists_version() for _ in range(20)}
        # No lists yet or the newest ones, but never an older version.
        assert seen <= {0, version}
        fleet["c0"].wait_ready()
        assert fleet["c0"].lists_version() == version

    def test_versions_never_decrease_over_edits_partitions_and_freezes(self, fleet):
        versions_by_name = {name: [] for name in fleet.daemons}

        def record_versions():
            for name, daemon in fleet.daemons.items():
                version = daemon.lists_version()
                if version > 0:
                    versions_by_name[name].append(version)

        for round_ in range(3):
            version = fleet.write_lists({"full": {**FULL_PLAN, "weight": 2.0 + round_}})
            record_versions()
            fleet.partition("c", ("both", "replies", "")[round_])
            fleet["b0"].freeze()
            time.sleep(0.5)
            fleet["b0"].thaw()
            record_versions()
        fleet.partition("c", "")
        seconds_until_used(fleet, fleet.daemons, version)
        record_versions()
        for versions in versions_by_name.values():
            assert versions == sorted(versions)
            assert versions[-1] == version
