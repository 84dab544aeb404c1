"""The steps of the demonstration, each a function that checks what it shows."""

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

IN_FORCE_S = 5.0
OPERATOR_TIMEOUT_S = 30.0
EXIT_CONFLICT = 3


class StepError(Exception):
    """A command of the operator failed."""


def _check(held: bool, what: str) -> None:
    if not held:
        raise AssertionError(what)


def _complete_as_a_caller(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    prompt = "Describe a lantern of paper and wire."
    shown = []
    for name in ("north0", "south0", "coast0"):
        url = f"http://{fleet[name].address}/v1"
        with openai.OpenAI(base_url=url, api_key=bearer("maker")) as client:
            stream = client.completions.create(
                model=MODEL, prompt=prompt, max_tokens=24, stream=True
            )
            texts = [choice.text for chunk in stream for choice in chunk.choices]
        text = "".join(one or "" for one in texts)
        _check(
            text == tokens.expected_text(prompt, 24, LAYERS), f"{name}: wrong answer"
        )
        shown.append(f"{name}: {text[:40]} ... each layer ran once for each token")
    fleet.assert_layers_ran_once()
    return shown


def _book_once(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    first = fleet["north0"].call("entry-17", "figure 17")
    again = fleet["coast1"].call("entry-17", "figure 17")
    _check(first.status == 200, f"status {first.status}")
    _check(first.body == again.body, "the retry got another answer")
    _check(len(fleet.runs("entry-17")) == 1, "not one run")
    number = first.json["registration"]
    return [f"booked {number}; a retry at another host: {again.json['registration']}"]


def _lose_a_stage(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    length = 120
    prompt = long_prompt(length, "stage")

    def streaming() -> str | None:
        for attempt in fleet.attempts():
            if attempt["end"] is None and attempt["made"] >= 10:
                return str(attempt["route"][-1])
        return None

    with in_background(lambda: fleet["south0"].complete(prompt, length)) as call:
        stage = wait_until(streaming, "a stream in its middle")
        fleet.standins.switch(stage, dead=True)
        answer = call.result()
    fleet.standins.switch(stage, dead=False)
    right = answer.text() == tokens.expected_text(prompt, length, LAYERS)
    _check(right, "the answer is not whole")
    return [f"{stage} ended in mid-stream; the caller got all {length} tokens, once"]


def _operate(fleet: Fleet, *arguments: str, code: int = 0) -> str:
    # The command beside the interpreter, as an operator has it.
    command = [str(pathlib.Path(sys.executable).with_name("wagtailstair")), *arguments]
    environment = {
        **os.environ,
        "WAGTAILSTAIR_TABLE": f"http://{fleet.address_of('table')}",
        "WAGTAILSTAIR_HOSTS": f"http://{fleet.address_of('hosts')}",
    }
    done = subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=OPERATOR_TIMEOUT_S,
        check=False,
    )
    if done.returncode != code:
        raise StepError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
    return done.stdout


def _edit_the_lists(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    path = directory / "lists.toml"
    text = _operate(fleet, "lists", "show", "--toml")
    closed = text.replace(f'models = ["{MODEL}"]', "models = []")
    path.write_text(closed, encoding="utf-8")
    difference = _operate(fleet, "lists", "diff", str(path)).strip()
    began = time.monotonic()
    _operate(fleet, "lists", "apply", "--author", "ann", str(path))
    for daemon in fleet.daemons.values():
        wait_until(lambda asked=daemon: asked.complete("closed").status == 403)
    took_s = time.monotonic() - began
    _check(took_s < IN_FORCE_S, f"in force everywhere only after {took_s:.1f} s")
    # Made from the same version as ann's, so it must not undo hers.
    path.write_text(text.replace("weight = 1.0", "weight = 3.0"), encoding="utf-8")
    _operate(fleet, "lists", "apply", "--author", "bob", str(path), code=EXIT_CONFLICT)
    _operate(fleet, "lists", "set-plan", "full", "--models", MODEL, "--author", "bob")
    for daemon in fleet.daemons.values():
        wait_until(lambda asked=daemon: asked.complete("open").status == 200)
    audit = _operate(fleet, "audit").strip().splitlines()
    versions = _operate(fleet, "versions").strip().splitlines()
    return [
        f"ann: {difference}",
        f"in force on all {len(fleet.daemons)} daemons after {took_s:.1f} s",
        "bob, from an older file: a conflict, nothing written; then a row of his own",
        *audit,
        *versions,
    ]


def _end_a_daemon(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    daemon = fleet["north0"]
    stopped = threading.Event()

    def keep_asking(number: int) -> list[tuple[str, Answer]]:
        answers = []
        while not stopped.is_set():
            prompt = f"load {number} {len(answers)}"
            try:
                answers.append((prompt, daemon.complete(prompt, 30)))
            except ConnectionRefusedError:
                break
        return answers

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        calls = [pool.submit(keep_asking, number) for number in range(16)]
        time.sleep(1.0)
        daemon.terminate()
        code = daemon.wait()
        stopped.set()
        answers = [one for call in calls for one in call.result()]
    for prompt, answer in answers:
        right = answer.text() == tokens.expected_text(prompt, 30, LAYERS)
        _check(right, f"{prompt}: not whole")
    _check(code == 0, f"exit code {code}")
    _check(fleet["north1"].complete("after").status == 200, "no service after")
    return [f"{len(answers)} answers under load, all whole; the daemon's exit code: 0"]


def _lose_the_platform(fleet: Fleet, directory: pathlib.Path) -> list[str]:
    fleet.standins.switch("table", down=True)
    try:
        refused = fleet["south1"].call("entry-18")
        answer = fleet["south1"].complete("platform away")
    finally:
        fleet.standins.switch("table", down=False)
    _check(refused.headers.get("x-outcome") == "not_run", "not refused as not run")
    _check(not fleet.runs("entry-18"), "it ran")
    _check(bool(answer.text()), "no completion")
    wait_until(lambda: fleet["south1"].call("entry-18").status == 200, "recovery")
    _check(len(fleet.runs("entry-18")) == 1, "not one run")
    code = refused.error["code"]
    return [
        f"booking refused as not run ({code}); completions go on; booked afterwards"
    ]


STEPS: dict[str, Step] = {
    "completions through pipelines": _complete_as_a_caller,
    "a booking runs once": _book_once,
    "operators edit the lists": _edit_the_lists,
    "a stage is lost in mid-stream": _lose_a_stage,
    "a daemon ends gracefully under load": _end_a_daemon,
    "the platform is away": _lose_the_platform,
}
