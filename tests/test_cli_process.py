"""The command-line tool as a separate process, against the stand-in of the table."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from standins.launch import StandinProcess

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 30.0
POLL_S = 0.02
PROGRAM = "from wagtailstair.cli import main; main()"
PLAN = ["--priorities=urgent", "--work-per-s=5", "--max-concurrent=1"]
EDIT = ["lists", "set-plan", "maker", *PLAN, "--change-id=c1"]


class Shell:
    """Runs commands as processes."""

    def __init__(self, standins):
        self.standins = standins
        self.environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), str(ROOT)]),
            "WAGTAILSTAIR_TABLE": f"http://{standins.addresses['table']}",
        }

    def start(self, *arguments):
        return subprocess.Popen(
            [sys.executable, "-c", PROGRAM, *arguments],
            env=self.environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, *arguments):
        process = self.start(*arguments)
        output, errors = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, output, errors

    def transactions(self):
        """Return the transactions that the table committed."""
        return self.standins.records("table")["history"]

    def audit(self):
        """Return the change ids of the audit trail, oldest first."""
        code, output, _ = self.run("audit", "--json")
        assert code == 0
        return [change["change_id"] for change in json.loads(output)["changes"]]


@pytest.fixture
def shell():
    with StandinProcess({"table": {}}) as standins:
        yield Shell(standins)


class TestLostMessages:
    @pytest.mark.parametrize("switch", ["lose_replies", "lose_requests"])
    def test_an_edit_is_committed_once_in_one_run(self, shell, switch):
        shell.standins.switch("table", **{switch: 1})
        code, _, errors = shell.run(*EDIT)
        assert (code, "accepted: version 1" in errors) == (0, True)
        assert shell.audit() == ["c1"]

    def test_repeating_a_command_killed_after_its_write_changes_nothing(self, shell):
        shell.standins.switch("table", reply_delay_s=0.2)
        process = shell.start(*EDIT)
        ends_at = time.monotonic() + TIMEOUT_S
        while not shell.transactions() and time.monotonic() < ends_at:
            time.sleep(POLL_S)
        process.send_signal(signal.SIGKILL)
        process.communicate(timeout=TIMEOUT_S)
        shell.standins.switch("table", reply_delay_s=0.0)
        assert process.returncode == -signal.SIGKILL
        code, _, errors = shell.run(*EDIT)
        assert (code, "accepted before: version 1" in errors) == (0, True)
        assert shell.audit() == ["c1"]


class TestPlatformUnavailable:
    @pytest.mark.parametrize("down", ["503", True])
    def test_nothing_is_committed(self, shell, down):
        shell.standins.switch("table", down=down)
        code, _, errors = shell.run(*EDIT)
        assert (code, "platform_unavailable" in errors) == (5, True)
        shell.standins.switch("table", down=False)
        assert shell.transactions() == []


class TestConcurrentEdits:
    def test_one_of_several_edits_of_a_row_is_accepted(self, shell):
        assert shell.run("lists", "set-plan", "maker", *PLAN)[0] == 0
        edit = ["lists", "set-plan", "maker", "--row-version=1"]
        processes = [
            shell.start(*edit, f"--weight={number}", f"--author=op{number}")
            for number in (2, 3, 4)
        ]
        outputs = [process.communicate(timeout=TIMEOUT_S) for process in processes]
        codes = [process.returncode for process in processes]
        assert sorted(codes) == [0, 3, 3]
        winner = f"op{codes.index(0) + 2}"
        for code, (_, errors) in zip(codes, outputs, strict=True):
            assert code == 0 or f"changed by {winner} in change" in errors
        assert len(shell.audit()) == 2

    def test_edits_of_different_rows_are_all_accepted(self, shell):
        processes = [
            shell.start("lists", "set-plan", f"plan-{number}", *PLAN)
            for number in range(4)
        ]
        for process in processes:
            process.communicate(timeout=TIMEOUT_S)
        assert [process.returncode for process in processes] == [0] * 4
        assert len(shell.audit()) == 4
