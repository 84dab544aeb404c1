"""The commands, run in this process against a table in memory."""

import json

import pytest
from click.testing import CliRunner

from tests.fake_table import FakeTable
from tests.table_server import serving_table
from tests.tiny_server import serving
from wagtailstair.cli import main
from wagtailstair.core import keys
from wagtailstair.core.lists import Lists
from wagtailstair.stores.lists import RetryPolicy
from wagtailstair.stores.lists import read_snapshot

TEXT = """
[plans.maker]
priorities = ["urgent"]
work_per_s = 10.0
max_concurrent = 2
[accounts.shop]
plan = "maker"
"""
NEW_PLAN = ["--priorities", "urgent,batch", "--work-per-s", "5", "--max-concurrent=1"]


class Shell:
    """Runs commands against a table whose content the test can read."""

    def __init__(self, table, url, path):
        self.table = table
        self.url = url
        self.path = path

    def __call__(self, *arguments, code=0):
        environment = {"WAGTAILSTAIR_TABLE": self.url, "LOGNAME": "ana"}
        result = CliRunner().invoke(main, arguments, env=environment)
        assert result.exit_code == code, (result.output, result.exception)
        return result

    def json(self, *arguments, **options):
        return json.loads(self(*arguments, "--json", **options).stdout)

    def file(self, text):
        path = self.path / "lists.toml"
        path.write_text(text)
        return str(path)

    def lists(self):
        return read_snapshot(self.table)


@pytest.fixture
def shell(tmp_path):
    table = FakeTable()
    with serving_table(table) as server:
        yield Shell(table, server.url, tmp_path)


@pytest.fixture
def filled(shell):
    shell("lists", "apply", shell.file(TEXT))
    return shell


class TestShow:
    def test_text_tables(self, filled):
        output = filled("lists", "show").stdout
        assert output.startswith("version 1\n")
        assert "maker  urgent" in output
        assert "shop     maker" in output

    def test_json(self, filled):
        shown = filled.json("lists", "show")
        assert shown["version"] == 1
        assert shown["accounts"]["shop"] == {"plan": "maker", "keys": []}
        assert shown["row_versions"] == {"accounts/shop": 1, "plans/maker": 1}

    def test_applying_the_printed_toml_changes_nothing(self, filled):
        text = filled("lists", "show", "--toml").stdout
        result = filled("lists", "apply", filled.file(text))
        assert "no difference" in result.stderr
        assert filled.lists().version == 1


class TestCheck:
    def test_valid(self, shell):
        assert "1 plans, 1 accounts" in shell("lists", "check", shell.file(TEXT)).stdout

    def test_an_error_names_the_file_and_the_field(self, shell):
        path = shell.file(TEXT.replace("10.0", "0"))
        result = shell("lists", "check", path, code=1)
        assert f"{path}: plans.maker.work_per_s" in result.stderr
        result = shell("lists", "check", path, "--json", code=1)
        error = json.loads(result.stderr)["error"]
        assert error["code"] == "lists_invalid"
        assert error["where"].endswith("plans.maker.work_per_s")


class TestApply:
    def test_edits_only_the_rows_that_differ(self, filled):
        text = "version = 1\n" + TEXT.replace("10.0", "20.0")
        path = filled.file(text)
        (line,) = filled("lists", "diff", path).stdout.splitlines()
        assert line == "~ plans/maker work_per_s: 10 -> 20"
        change = filled.json("lists", "apply", path)["change"]
        assert [row["key"] for row in change["rows"]] == ["maker"]
        assert filled.lists().plan_by_name["maker"].work_per_s == 20.0
        assert filled.lists().row_versions["accounts", "shop"] == 1

    def test_keeps_rows_that_a_later_edit_changed(self, filled):
        filled("lists", "set-plan", "judge", *NEW_PLAN)
        text = "version = 1\n" + TEXT.replace("10.0", "20.0")
        filled("lists", "apply", filled.file(text))
        assert set(filled.lists().plan_by_name) == {"judge", "maker"}

    def test_conflicts_with_a_later_edit_of_the_same_row(self, filled):
        filled("lists", "set-plan", "maker", "--weight=3", "--author=ben")
        path = filled.file("version = 1\n" + TEXT.replace("10.0", "20.0"))
        result = filled("lists", "apply", path, code=3)
        assert "plans/maker: changed by ben" in result.stderr
        assert "edit_conflict" in result.stderr
        filled("lists", "apply", path, "--overwrite")
        assert filled.lists().plan_by_name["maker"].weight == 1.0

    def test_requires_the_version_that_the_file_is_based_on(self, filled):
        path = filled.file(TEXT.replace("10.0", "20.0"))
        assert "--base" in filled("lists", "apply", path, code=1).stderr
        filled("lists", "apply", path, "--base=9", code=1)
        filled("lists", "apply", path, "--base=1")
        assert filled.lists().version == 2


class TestRows:
    def test_add_change_and_delete(self, filled):
        filled("lists", "set-plan", "judge", *NEW_PLAN, "--service=desk=GET,HEAD")
        filled("lists", "set-plan", "judge", "--models=a,b", "--service=till=")
        filled("lists", "set-plan", "judge", "--no-service=desk")
        plan = filled.lists().plan_by_name["judge"]
        assert (plan.models, plan.work_per_s) == (("a", "b"), 5.0)
        assert set(plan.service_by_name) == {"till"}
        filled("lists", "set-account", "shop", "--plan=judge")
        filled("lists", "delete", "plan", "maker")
        assert filled.lists().account_by_name["shop"].plan == "judge"
        assert set(filled.lists().plan_by_name) == {"judge"}

    def test_invalid_edits_are_refused(self, filled):
        filled("lists", "set-account", "shop", "--plan=none", code=1)
        filled("lists", "delete", "plan", "maker", code=1)
        filled("lists", "delete", "account", "none", code=1)
        filled("lists", "set-plan", "judge", code=1)
        filled("lists", "delete", "plan", code=2)
        assert filled.lists().version == 1

    def test_an_outdated_row_version_is_a_conflict(self, filled):
        filled("lists", "set-plan", "maker", "--weight=2", "--row-version=1")
        arguments = ["lists", "set-plan", "maker", "--weight=3", "--row-version=1"]
        filled(*arguments, code=3)
        assert filled.lists().plan_by_name["maker"].weight == 2.0

    def test_setting_the_present_value_makes_no_change(self, filled):
        result = filled("lists", "set-account", "shop", "--plan=maker")
        assert "no difference" in result.stderr
        assert filled.lists().version == 1


@pytest.fixture
def without_retry_pauses(monkeypatch):
    monkeypatch.setattr("wagtailstair.stores.table.BACKOFF_S", 0.0)
    retry = RetryPolicy(pause=lambda _: None)
    monkeypatch.setattr("wagtailstair.cli.editing.RETRY", retry)


def fail_from_first_write(first):
    """Return a ``before_call`` hook of ``FakeTable``.

    The first write has the fault ``first``; each call after it is unavailable.
    """
    failed_writes = []

    def before_call(kind):
        if failed_writes:
            return "unavailable"
        if kind != "transact":
            return None
        failed_writes.append(kind)
        return first

    return before_call


class TestRepeatedRun:
    @pytest.mark.parametrize("first", ["lose_reply", "lose_request", "delay"])
    def test_a_repeated_run_resolves_an_unknown_outcome(
        self, filled, first, without_retry_pauses
    ):
        filled.table.before_call = fail_from_first_write(first)
        arguments = ["lists", "set-plan", "maker", "--weight=7", "--change-id=c7"]
        result = filled(*arguments, code=4)
        assert "change id: c7" in result.stderr
        filled.table.before_call = lambda kind: None
        filled.table.deliver()
        filled(*arguments)
        filled("lists", "set-plan", "maker", "--weight=8")
        assert "accepted before: version 2" in filled(*arguments).stderr
        assert filled.lists().plan_by_name["maker"].weight == 8.0
        filled("lists", "set-plan", "maker", "--weight=9", "--change-id=c7", code=1)

    def test_an_edit_fails_if_the_platform_is_unavailable(
        self, filled, without_retry_pauses
    ):
        filled.table.before_call = lambda kind: "unavailable"
        filled("lists", "set-plan", "maker", "--weight=7", code=5)

    def test_a_repeated_apply_does_not_undo_a_later_edit(self, filled):
        path = filled.file("version = 1\n" + TEXT.replace("10.0", "20.0"))
        filled("lists", "apply", path, "--change-id=c2")
        filled("lists", "set-plan", "maker", "--weight=8")
        result = filled("lists", "apply", path, "--change-id=c2")
        assert "accepted before: version 2" in result.stderr


class TestKeys:
    def test_a_new_key_authenticates_the_account(self, filled):
        bearer = filled("keys", "new", "shop").stdout.strip()
        assert keys.verify(filled.lists(), bearer).name == "shop"
        assert bearer.partition(".")[2] not in str(filled.table.value_by_key)

    def test_list_and_remove(self, filled):
        first = filled.json("keys", "new", "shop")["key"]
        second = filled.json("keys", "new", "shop")["key"]
        names = filled.json("keys", "list", "shop")["keys"]
        filled("keys", "remove", "shop", names[0])
        assert keys.verify(filled.lists(), first) is None
        assert keys.verify(filled.lists(), second).name == "shop"
        filled("keys", "remove", "shop", names[0], code=1)

    def test_the_number_of_keys_is_limited(self, filled):
        for _ in range(4):
            filled("keys", "new", "shop")
        assert "4 keys" in filled("keys", "new", "shop", code=1).stderr
        filled("keys", "new", "none", code=1)

    def test_a_repeated_run_does_not_print_a_second_key(self, filled):
        first = filled("keys", "new", "shop", "--change-id=k").stdout.strip()
        again = filled("keys", "new", "shop", "--change-id=k")
        assert again.stdout == ""
        assert keys.verify(filled.lists(), first).name == "shop"
        assert len(filled.lists().account_by_name["shop"].keys) == 1

    def test_a_delayed_first_run_takes_effect_during_the_second(
        self, filled, without_retry_pauses
    ):
        filled.table.before_call = fail_from_first_write("delay")
        first = filled("keys", "new", "shop", "--change-id=k", code=4).stdout.strip()
        filled.table.before_call = lambda kind: (
            filled.table.deliver() if kind == "transact" else None
        )
        assert filled("keys", "new", "shop", "--change-id=k").stdout == ""
        assert keys.verify(filled.lists(), first).name == "shop"


class TestAudit:
    def test_shows_authors_and_changed_fields(self, filled):
        filled("lists", "set-plan", "judge", *NEW_PLAN, "--author=ben")
        filled("lists", "set-account", "shop", "--plan=judge", "--change-id=c3")
        output = filled("audit").stdout
        assert "ben" in output
        assert "~ accounts/shop plan: maker -> judge" in output
        shown = filled.json("audit", "--since", "1", "--account", "shop")
        assert [change["change_id"] for change in shown["changes"]] == ["c3"]
        assert shown["changes"][0]["author"] == "ana"
        assert len(filled.json("audit", "--plan", "judge")["changes"]) == 1


class TestSettings:
    def test_an_invalid_or_missing_file_fails(self, shell):
        path = shell.path / "daemon.toml"
        path.write_text("[host]\nname = 1\n")
        result = shell("settings", "check", str(path), code=1)
        assert str(path) in result.stderr
        shell("settings", "check", str(shell.path / "none"), code=1)


class TestEditInParts:
    @pytest.fixture
    def large_edit(self, shell, without_retry_pauses, monkeypatch):
        monkeypatch.setattr("wagtailstair.cli.editing.MAX_EDIT_ROWS", 3)
        shell("lists", "set-plan", "old", *NEW_PLAN)
        shell("lists", "set-account", "a6", "--plan=old")
        text = "version = 2\n" + TEXT
        for number in range(7):
            text += f"[accounts.a{number}]\nplan = 'maker'\n"
        shell.arguments = ["lists", "apply", shell.file(text), "--change-id=big"]
        return shell

    def check(self, shell):
        ids = [change["change_id"] for change in shell.json("audit")["changes"][2:]]
        assert ids == ["big.1", "big.2", "big.3", "big"]
        assert set(shell.lists().plan_by_name) == {"maker"}
        assert len(shell.lists().account_by_name) == 8

    def test_a_large_edit_is_committed_in_parts(self, large_edit):
        large_edit(*large_edit.arguments)
        self.check(large_edit)
        assert "accepted before: version 6" in large_edit(*large_edit.arguments).stderr
        self.check(large_edit)

    @pytest.mark.parametrize("fault", ["lose_reply", "delay", "lose_request"])
    @pytest.mark.parametrize("write", range(4))
    def test_a_repeated_run_completes_the_parts(self, large_edit, fault, write):
        before_call = fail_from_first_write(fault)
        writes = []

        def fail_from_write(kind):
            if kind == "transact":
                writes.append(kind)
            return before_call(kind) if len(writes) > write else None

        large_edit.table.before_call = fail_from_write
        large_edit(*large_edit.arguments, code=4)
        large_edit.table.before_call = lambda kind: None
        large_edit.table.deliver()
        large_edit(*large_edit.arguments)
        self.check(large_edit)


def status(host, version, peers, state="live"):
    return {
        "host": host,
        "data_centre": "north",
        "ready": True,
        "lists_version": version,
        "peers": peers,
        "upstreams": [
            {"name": "g1", "kind": "engine", "data_centre": "north", "state": state}
        ],
        "open_requests": 3,
        "added_later": 1,
    }


class TestFleet:
    @pytest.fixture
    def fleet(self, filled, monkeypatch):
        peers = [{"host": "e2", "state": "live", "lists_version": 1}]
        statuses = {"e1": status("e1", 1, peers), "e2": status("e2", 0, [], "ejected")}
        with (
            serving(lambda *_: (200, statuses["e1"])) as first,
            serving(lambda *_: (200, statuses["e2"])) as second,
        ):
            addresses = {"e1": first.url, "e2": second.url}
            hosts = [
                {
                    "name": name,
                    "kind": "entry",
                    "data_centre": "north",
                    "address": url.removeprefix("http://"),
                    "incarnation": "1",
                    "state": "live",
                }
                for name, url in addresses.items()
            ]
            hosts.append({**hosts[0], "name": "g1", "kind": "engine"})
            with serving(lambda *_: (200, {"hosts": hosts})) as server:
                monkeypatch.setenv("WAGTAILSTAIR_HOSTS", server.url)
                filled.statuses = statuses
                yield filled

    def test_hosts(self, fleet):
        names = [host["name"] for host in fleet.json("hosts")["hosts"]]
        assert names == ["g1", "e1", "e2"]
        assert "engine" in fleet("hosts").stdout

    def test_versions(self, fleet):
        rows = fleet.json("versions")["hosts"]
        assert [(row["host"], row["behind"]) for row in rows] == [("e1", 0), ("e2", 1)]
        assert fleet("versions").stdout.startswith("version 1\n")

    def test_peers(self, fleet):
        (peer,) = fleet.json("peers")["peers"]
        assert peer == {"host": "e1", "peer": "e2", "state": "live", "lists_version": 1}

    def test_upstreams(self, fleet):
        (upstream,) = fleet.json("upstreams")["upstreams"]
        assert upstream["states"] == {"ejected": 1, "live": 1}
        assert "ejected 1, live 1" in fleet("upstreams").stdout

    def test_a_daemon_without_a_valid_status_is_reported(self, fleet):
        fleet.statuses["e2"] = {"host": "e2"}
        result = fleet("versions", code=1)
        assert "no status from e2" in result.stderr
        assert "unreachable" in result.stdout


class TestUsage:
    def test_usage_errors(self, shell):
        shell("lists", "nothing", code=2)
        result = CliRunner().invoke(main, ["lists", "show"], env={})
        assert result.exit_code == 2
        assert "WAGTAILSTAIR_TABLE" in result.output

    def test_an_empty_table_gives_empty_lists(self, shell):
        assert shell.json("lists", "show")["version"] == Lists().version
