"""Steps of the demonstration; each checks its result and returns lines to print."""

import concurrent.futures
import os
import pathlib
import subprocess
import sys
import threading
import time
import typing as t

import openai

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import MODEL
from tests.fleet import Answer
from tests.fleet import Fleet
from tests.fleet import bearer
from tests.fleet import in_background
from tests.fleet import long_prompt
from tests.fleet import wait_until

Step = t.Callable[[Fleet, pathlib.Path], list[str]]

MAX_PROPAGATION_S = 5.0
CLI_TIMEOUT_S = 30.0
EXIT_CONFLICT = 3


class StepError(Exception):
    """An operator command exited with an unexpected code."""


def _fail_unless(condition: bool, message: str) -> None:
    if not condition:
        raise AssertionError(message)


def _stream_completions(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    prompt = "Describe a lantern of paper and wire."
    lines = []
    for name in ("north0", "south0", "coast0"):
        url = f"http://{fleet[name].address}/v1"
        with openai.OpenAI(base_url=url, api_key=bearer("maker")) as client:
            stream = client.completions.create(
                model=MODEL, prompt=prompt, max_tokens=24, stream=True
            )
            texts = [choice.text for chunk in stream for choice in chunk.choices]
        text = "".join(item or "" for item in texts)
        _fail_unless(
            text == tokens.expected_text(prompt, 24, LAYERS),
            f"{name}: the text differs from the expected answer",
        )
        lines.append(f"{name}: {text[:40]} ... each layer ran once for each token")
    fleet.assert_layers_ran_once()
    return lines


def _retry_booking(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    first = fleet["north0"].call("entry-17", "figure 17")
    retry = fleet["coast1"].call("entry-17", "figure 17")
    _fail_unless(first.status == 200, f"expected status 200, got {first.status}")
    _fail_unless(first.body == retry.body, "the retry returned a different body")
    _fail_unless(
        len(fleet.runs("entry-17")) == 1, "the service did not run exactly once"
    )
    number = first.json["registration"]
    return [f"booked {number}; a retry at another host: {retry.json['registration']}"]


def _kill_stage(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    length = 120
    prompt = long_prompt(length, "stage")

    def streaming() -> str | None:
        for attempt in fleet.attempts():
            if attempt["end"] is None and attempt["made"] >= 10:
                return str(attempt["route"][-1])
        return None

    with in_background(lambda: fleet["south0"].complete(prompt, length)) as call:
        stage = wait_until(streaming, "a stream with at least 10 tokens sent")
        fleet.standins.switch(stage, dead=True)
        answer = call.result()
    fleet.standins.switch(stage, dead=False)
    correct = answer.text() == tokens.expected_text(prompt, length, LAYERS)
    _fail_unless(correct, "the answer differs from the expected tokens")
    return [f"{stage} crashed in mid-stream; the caller got all {length} tokens once"]


def _run_cli(fleet: Fleet, *arguments: str, code: int = 0) -> str:
    # The installed command of the interpreter's environment, as operators run it.
    command = [str(pathlib.Path(sys.executable).with_name("wagtailstair")), *arguments]
    environment = {
        **os.environ,
        "WAGTAILSTAIR_TABLE": f"http://{fleet.address_of('table')}",
        "WAGTAILSTAIR_HOSTS": f"http://{fleet.address_of('hosts')}",
    }
    completed = subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=CLI_TIMEOUT_S,
        check=False,
    )
    if completed.returncode != code:
        raise StepError(f"{' '.join(arguments)}: {completed.stdout}{completed.stderr}")
    return completed.stdout


def _edit_lists(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    path = directory / "lists.toml"
    text = _run_cli(fleet, "lists", "show", "--toml")
    closed = text.replace(f'models = ["{MODEL}"]', "models = []")
    path.write_text(closed, encoding="utf-8")
    difference = _run_cli(fleet, "lists", "diff", str(path)).strip()
    started_at = time.monotonic()
    _run_cli(fleet, "lists", "apply", "--author", "ann", str(path))
    for daemon in fleet.daemons.values():
        wait_until(lambda target=daemon: target.complete("closed").status == 403)
    took_s = time.monotonic() - started_at
    _fail_unless(
        took_s < MAX_PROPAGATION_S,
        f"lists applied on all daemons only after {took_s:.1f} s",
    )
    # Based on the version that ann edited, so applying it must fail as a conflict.
    path.write_text(text.replace("weight = 1.0", "weight = 3.0"), encoding="utf-8")
    _run_cli(fleet, "lists", "apply", "--author", "bob", str(path), code=EXIT_CONFLICT)
    _run_cli(fleet, "lists", "set-plan", "full", "--models", MODEL, "--author", "bob")
    for daemon in fleet.daemons.values():
        wait_until(lambda target=daemon: target.complete("open").status == 200)
    audit = _run_cli(fleet, "audit").strip().splitlines()
    versions = _run_cli(fleet, "versions").strip().splitlines()
    return [
        f"ann: {difference}",
        f"applied on all {len(fleet.daemons)} daemons after {took_s:.1f} s",
        "bob, with an outdated file: edit conflict, nothing written; then one row set",
        *audit,
        *versions,
    ]


def _terminate_daemon(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    daemon = fleet["north0"]
    stopped = threading.Event()

    def send_requests(number: int) -> list[tuple[str, Answer]]:
        answers = []
        while not stopped.is_set():
            prompt = f"load {number} {len(answers)}"
            try:
                answers.append((prompt, daemon.complete(prompt, 30)))
            except ConnectionRefusedError:
                break
        return answers

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        calls = [pool.submit(send_requests, number) for number in range(16)]
        time.sleep(1.0)
        daemon.terminate()
        code = daemon.wait()
        stopped.set()
        answers = [item for call in calls for item in call.result()]
    for prompt, answer in answers:
        correct = answer.text() == tokens.expected_text(prompt, 30, LAYERS)
        _fail_unless(correct, f"{prompt}: the answer differs from the expected tokens")
    _fail_unless(code == 0, f"expected exit code 0, got {code}")
    _fail_unless(
        fleet["north1"].complete("after").status == 200,
        "the other daemon did not answer 200 after the shutdown",
    )
    return [f"{len(answers)} answers under load, all complete; daemon exit code 0"]


def _disable_platform(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    fleet.standins.switch("table", down=True)
    try:
        refused = fleet["south1"].call("entry-18")
        answer = fleet["south1"].complete("platform away")
    finally:
        fleet.standins.switch("table", down=False)
    _fail_unless(
        refused.headers.get("x-outcome") == "not_run",
        "expected X-Outcome not_run for the refused booking",
    )
    _fail_unless(not fleet.runs("entry-18"), "the refused booking was run")
    _fail_unless(
        bool(answer.text()), "empty completion while the platform is unavailable"
    )
    wait_until(lambda: fleet["south1"].call("entry-18").status == 200, "recovery")
    _fail_unless(
        len(fleet.runs("entry-18")) == 1, "the service did not run exactly once"
    )
    code = refused.error["code"]
    return [f"booking refused as not run ({code}); completions served; booked later"]


STEPS: dict[str, Step] = {
    "completions through pipelines": _stream_completions,
    "a booking runs once": _retry_booking,
    "operators edit the lists": _edit_lists,
    "a stage crashes during a stream": _kill_stage,
    "a daemon shuts down gracefully under load": _terminate_daemon,
    "the platform is unavailable": _disable_platform,
}
