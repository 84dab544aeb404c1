"""The command-line tool against real daemons."""

import json

import pytest
from click.testing import CliRunner

from tests.fleet import Fleet
from tests.fleet import wait_until
from wagtailstair.cli import main


@pytest.fixture
def run(tmp_path, monkeypatch):
    with Fleet(tmp_path, data_centres=("a", "b"), daemons_each=1) as fleet:
        addresses = fleet.standins.addresses
        monkeypatch.setenv("WAGTAILSTAIR_TABLE", f"http://{addresses['table']}")
        monkeypatch.setenv("WAGTAILSTAIR_HOSTS", f"http://{addresses['hosts']}")

        def run(*arguments):
            result = CliRunner().invoke(main, [*arguments, "--json"])
            assert result.exit_code == 0, result.output
            return json.loads(result.stdout)

        run.fleet = fleet
        yield run


class TestFleet:
    def test_versions_shows_an_edit_on_every_daemon(self, run):
        change = run("lists", "set-plan", "full", "--models=")["change"]

        def versions():
            hosts = run("versions")["hosts"]
            return {host["host"]: host["lists_version"] for host in hosts}

        expected = dict.fromkeys(run.fleet.daemons, change["version"])
        wait_until(lambda: versions() == expected, "the edit on every daemon")
        for daemon in run.fleet.daemons.values():
            assert daemon.complete("closed").error["code"] == "not_entitled"

    def test_a_new_key_is_accepted_until_it_is_removed(self, run):
        key = run("keys", "new", "maker")["key"]
        daemon = run.fleet["a0"]

        def status(version):
            wait_until(lambda: daemon.lists_version() >= version, "the lists")
            headers = {"Authorization": f"Bearer {key}"}
            return daemon.complete("hello", headers=headers).status

        assert status(2) == 200
        name = run("keys", "list", "maker")["keys"][-1]
        run("keys", "remove", "maker", name)
        assert status(3) == 401

    def test_peers_and_upstreams_are_listed(self, run):
        state_by_pair = {
            (row["host"], row["peer"]): row["state"] for row in run("peers")["peers"]
        }
        assert state_by_pair == {("a0", "b0"): "live", ("b0", "a0"): "live"}
        upstreams = run("upstreams")["upstreams"]
        assert len(upstreams) == 9
        assert all(row["states"] == {"live": 2} for row in upstreams)
