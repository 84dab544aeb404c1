"""Gateway processes, their settings files and the signals sent to them."""

import pathlib
import re
import signal
import subprocess
import sys
import typing as t

from tests.gateway_deployment import SETTINGS
from tests.soak.ports import reserve_port
from tests.soak.proxy import Proxy
from wagtailstair.gateway.loop import Loop

STORE_LAPSE_S = 2.0
"""The setting store.lapse_s of the hosts."""

GRACE_S = 8
MAX_MEMORY_MB = 300
"""Documented limit of the memory of an entry host."""

NO_CAPACITY = re.compile(
    r"event=request_ended request=(\S+) .*"
    r'outcome="(?:no room|no room in time|queue full)"'
)
"""The end of a stream that was rejected for lack of capacity."""

LOG_LINE = re.compile(r"time=\S+ level=[A-Z]+ host=\S+ event=\w+")


class HostProcess:
    """One entry host: its settings, its ports and its current process."""

    max_memory_mb = MAX_MEMORY_MB

    def __init__(self, loop: Loop, name: str, centre: str, store: str, work: t.Any):
        self.name = name
        self.data_centre = centre
        self.store_proxy = Proxy(loop, store)
        self.caller_address = f"127.0.0.1:{reserve_port()}"
        self.readiness_address = f"127.0.0.1:{reserve_port()}"
        self.caller_proxy = Proxy(loop, self.caller_address)
        self._peer_port = reserve_port()
        self._work: pathlib.Path = work
        self._starts = 0
        self.skew_s = 0.0
        self.retries_slack = 200
        self.process: subprocess.Popen[bytes] | None = None
        self.is_paused = False
        # Exit codes that the soak caused, by a signal to the current process.
        self.expected_exits: set[int] = set()
        self.shutdown_at: float | None = None

    @property
    def incarnation(self) -> str:
        """Return an ID of the current process."""
        return f"{self.name}/{self._starts}"

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def settings_text(self) -> str:
        """Return the settings with the current values."""
        text = SETTINGS.format(
            name=self.name,
            centre=self.data_centre,
            callers=self.caller_address.rpartition(":")[2],
            readiness=self.readiness_address.rpartition(":")[2],
            peers=self._peer_port,
            store=self.store_proxy.address,
        )
        text = text.replace("lapse_s = 0.3", f"lapse_s = {STORE_LAPSE_S}")
        return text.replace("slack = 200", f"slack = {self.retries_slack}")

    def write_settings(self) -> None:
        """Write the settings file with the current values."""
        path = self._path("toml").with_suffix(".new")
        path.write_text(self.settings_text(), encoding="utf-8")
        path.replace(self._path("toml"))

    def start(self) -> None:
        """Start a process that appends its output to the log file."""
        self._starts += 1
        self.expected_exits = set()
        self.shutdown_at = None
        self.write_settings()
        command = [sys.executable, "-m", "tests.soak.program", str(self.skew_s)]
        with self._path("log").open("ab") as output:
            self.process = subprocess.Popen(
                [*command, str(self._path("toml"))],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int, exit_code: int | None = None) -> None:
        """Send a signal to the process; ``exit_code``: the exit that it may cause."""
        if self.process is None or not self.is_running:
            return
        if exit_code is not None:
            self.expected_exits.add(exit_code)
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL, -signal.SIGKILL)
        if self.process is not None:
            self.process.wait(timeout=10)

    def peak_memory_mb(self) -> float:
        """Return the peak memory of the process, 0 if it has exited."""
        if not self.is_running or self.process is None:
            return 0.0
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        found = re.search(r"VmHWM:\s+(\d+) kB", status.read_text(encoding="ascii"))
        return int(found.group(1)) / 1000 if found else 0.0

    def check_process(self) -> list[str]:
        """Return the violations in the process's exit and memory."""
        found = []
        if self.process is not None and not self.is_running:
            code = self.process.returncode
            if code not in self.expected_exits:
                found.append(
                    f"ended: {self.incarnation} unexpectedly exited with {code}"
                )
        if self.peak_memory_mb() > self.max_memory_mb:
            found.append(
                f"memory: {self.incarnation} had {self.peak_memory_mb():.0f} MB"
            )
        return found

    def check_log(self) -> list[str]:
        """Return the log lines that are malformed or report a failed handler."""
        found = []
        text = self._path("log").read_text(encoding="utf-8", errors="replace")
        # The last line may be truncated, since the process may have been killed.
        for line in text.split("\n")[:-1]:
            if "event=handler_failed" in line or not LOG_LINE.match(line):
                found.append(f"log: {line}")
        return found

    def no_capacity_attempts(self) -> set[str]:
        """Return the attempts that the log names as rejected for lack of capacity."""
        text = self._path("log").read_text(encoding="utf-8", errors="replace")
        return set(NO_CAPACITY.findall(text))

    def _path(self, suffix: str) -> pathlib.Path:
        return self._work / f"{self.name}.{suffix}"
