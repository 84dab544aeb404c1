"""Edits of the lists over real daemons: in force everywhere, and never back."""

import time

import pytest

from tests.fleet import FULL_PLAN
from tests.fleet import Fleet
from tests.fleet import wait_until

STATED_S = 5.0

CLOSED_PLAN = {**FULL_PLAN, "models": []}


@pytest.fixture
def fleet(tmp_path):
    with Fleet(
        tmp_path,
        data_centres=("a", "b", "c"),
        daemons_each=2,
        cuttable=("c",),
    ) as made:
        yield made


def in_force_after(fleet, names, version):
    """Return the seconds until all of these daemons serve by a version."""
    began = time.monotonic()
    wait_until(
        lambda: all(fleet[name].lists_version() >= version for name in names),
        f"version {version} on {names}",
    )
    return time.monotonic() - began


class TestEdit:
    def test_edit_is_in_force_everywhere(self, fleet):
        version = fleet.write_lists({"full": CLOSED_PLAN})
        # The bound is what the product promises, not the speed of a test.
        assert in_force_after(fleet, fleet.daemons, version) < STATED_S
        for daemon in fleet.daemons.values():
            answer = daemon.complete("closed")
            assert (answer.status, answer.error["code"]) == (403, "not_entitled")

    def test_edit_reaches_a_data_centre_cut_from_the_platform(self, fleet):
        fleet.cut("c")
        version = fleet.write_lists({"full": CLOSED_PLAN})
        assert in_force_after(fleet, ["c0", "c1"], version) < STATED_S
        answer = fleet["c0"].complete("closed")
        assert (answer.status, answer.error["code"]) == (403, "not_entitled")


class TestNeverBack:
    def test_thawed_daemon_does_not_serve_by_old_lists(self, fleet):
        daemon = fleet["a0"]
        daemon.freeze()
        version = fleet.write_lists({"full": CLOSED_PLAN})
        others = [name for name in fleet.daemons if name != "a0"]
        in_force_after(fleet, others, version)
        # Past the stated time, nobody may serve by the old lists.
        time.sleep(STATED_S)
        daemon.thaw()
        answers = [daemon.complete("thawed") for _ in range(5)]
        assert [answer.status for answer in answers if answer.status == 200] == []
        assert in_force_after(fleet, ["a0"], version) < STATED_S

    def test_restarted_daemon_cut_from_the_platform_has_the_newest(self, fleet):
        version = fleet.write_lists({"full": CLOSED_PLAN})
        in_force_after(fleet, fleet.daemons, version)
        fleet.cut("c")
        fleet["c0"].kill()
        fleet["c0"].start()
        wait_until(lambda: fleet["c0"].lists_version() >= 0, "c0 answers")
        seen = {fleet["c0"].lists_version() for _ in range(20)}
        # Nothing yet, or the newest: never an older version.
        assert seen <= {0, version}
        fleet["c0"].wait_ready()
        assert fleet["c0"].lists_version() == version

    def test_versions_only_grow_over_edits_cuts_and_freezes(self, fleet):
        seen = {name: [] for name in fleet.daemons}

        def look():
            for name, daemon in fleet.daemons.items():
                version = daemon.lists_version()
                if version > 0:
                    seen[name].append(version)

        for round_ in range(3):
            version = fleet.write_lists({"full": {**FULL_PLAN, "weight": 2.0 + round_}})
            look()
            fleet.cut("c", ("both", "replies", "")[round_])
            fleet["b0"].freeze()
            time.sleep(0.5)
            fleet["b0"].thaw()
            look()
        fleet.cut("c", "")
        in_force_after(fleet, fleet.daemons, version)
        look()
        for versions in seen.values():
            assert versions == sorted(versions)
            assert versions[-1] == version
