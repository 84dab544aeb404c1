"""Run stand-ins in a separate process, for tests, demo and benchmarks."""

import http.client
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import typing as t

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
CONTROL_TIMEOUT_S = 20.0

ROOT = pathlib.Path(__file__).resolve().parent.parent


def environment() -> dict[str, str]:
    """Return environment variables that make processes import this source tree.

    Otherwise they would import the installed package, which may be another tree.
    """
    return {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}


class LaunchError(Exception):
    """The stand-ins did not start or refused a switch."""


def _toml(value: t.Any) -> str:
    if isinstance(value, dict):
        return (
            "{" + ", ".join(f"{_key(k)} = {_toml(v)}" for k, v in value.items()) + "}"
        )
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return json.dumps(value)
    return repr(value)


def _key(key: str) -> str:
    return json.dumps(key)


def to_toml(config: dict[str, t.Any]) -> str:
    """Format a dictionary as TOML, with one line for each top-level key."""
    return "".join(f"{_key(key)} = {_toml(value)}\n" for key, value in config.items())


class StandinProcess:
    """A running ``python -m standins`` process."""

    def __init__(self, config: dict[str, t.Any]) -> None:
        self._directory = tempfile.TemporaryDirectory()
        path = pathlib.Path(self._directory.name) / "standins.toml"
        path.write_text(to_toml(config), encoding="utf-8")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins", "--config", str(path)],
            cwd=ROOT,
            env=environment(),
            stdout=subprocess.PIPE,
            text=True,
        )
        ready = self._read_ready()
        self.addresses: dict[str, str] = ready["addresses"]
        self._control: str = ready["control"]

    def __enter__(self) -> "StandinProcess":
        return self

    def __exit__(self, *_: object) -> None:
        self.terminate()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def switch(self, name: str, **switches: t.Any) -> dict[str, t.Any]:
        """Set fault switches of one stand-in; return all of them.

        :raises LaunchError: if the stand-in or a switch does not exist.
        """
        reply = self._call("POST", f"/_switch/{name}", switches)
        return t.cast(dict[str, t.Any], reply["switches"])

    def records(self, name: str) -> dict[str, t.Any]:
        """Return the records of one stand-in."""
        return self._call("GET", f"/_records/{name}", None)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._process.kill()
        self._close()

    def terminate(self) -> None:
        """Stop the process with SIGTERM, or with SIGKILL after a timeout."""
        if self._process.poll() is None:
            self.thaw()
            self._process.terminate()
            try:
                self._process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
        self._close()

    def _read_ready(self) -> dict[str, t.Any]:
        assert self._process.stdout is not None
        readable, _, _ = select.select([self._process.stdout], [], [], START_TIMEOUT_S)
        line = self._process.stdout.readline() if readable else ""
        if not line:
            self.kill()
            raise LaunchError("stand-ins exited or timed out before reporting ready")
        return t.cast(dict[str, t.Any], json.loads(line))

    def _close(self) -> None:
        self._process.wait(STOP_TIMEOUT_S)
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._directory.cleanup()

    def _call(self, method: str, path: str, body: t.Any) -> dict[str, t.Any]:
        connection = http.client.HTTPConnection(
            self._control, timeout=CONTROL_TIMEOUT_S
        )
        try:
            payload = None if body is None else json.dumps(body)
            connection.request(method, path, payload)
            response = connection.getresponse()
            reply = json.loads(response.read())
            if response.status != 200:
                raise LaunchError(f"{path}: {reply['error']}")
            return t.cast(dict[str, t.Any], reply)
        finally:
            connection.close()
