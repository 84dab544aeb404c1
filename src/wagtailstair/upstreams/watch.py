"""Watches the host list and the engines' load reports from the loop's thread."""

import random
import typing as t

from ..clock import Clock
from ..core.engine import EngineState
from ..core.upstreams import Upstream
from ..core.upstreams import UpstreamKind
from ..core.upstreams import Upstreams
from ..exceptions import PlatformError
from ..exceptions import UpstreamError
from ..logs import log_event
from ..settings import PlatformSection
from ..stores.hosts import ENGINE
from ..stores.hosts import ENTRY
from ..stores.hosts import SERVICE
from ..stores.hosts import HostEntry
from ..stores.hosts import decode_hosts
from .engine import decode_state
from .loop import Loop
from .transfer import Transfer
from .transfer import TransferEnd
from .transfer import TransferOutcome
from .transfer import TransferRequest

LOAD_REPORT_INTERVAL_S = 0.5
LOAD_REPORT_TIMEOUT_S = 1.0
SILENT_AFTER = 2  # reports in a row that did not come
OK = 200
NOT_MODIFIED = 304
KIND_BY_NAME = {ENGINE: UpstreamKind.ENGINE, SERVICE: UpstreamKind.SERVICE}


def jittered(interval_s: float, rng: random.Random) -> float:
    """Return an interval that differs from host to host and time to time."""
    return interval_s * rng.uniform(0.8, 1.2)


class HostListWatch:
    """Reads the host list again and again; an outage keeps the last one.

    :param on_entry_hosts: hears the entry hosts of each list.
    :param on_gone: hears the names of upstreams that are no longer listed.
    """

    def __init__(
        self,
        loop: Loop,
        clock: Clock,
        platform: PlatformSection,
        upstreams: Upstreams,
        on_entry_hosts: t.Callable[[list[HostEntry]], None],
        on_gone: t.Callable[[list[str]], None],
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._platform = platform
        self._upstreams = upstreams
        self._on_entry_hosts = on_entry_hosts
        self._on_gone = on_gone
        self._rng = rng
        self._failed = False
        self._etag = ""
        self.has_host_list = False

    def start(self) -> None:
        """Begin to watch."""
        self._loop.call(self._read)

    def _read(self) -> None:
        headers: tuple[tuple[str, str], ...] = ()
        if self._etag:
            headers = (("If-None-Match", self._etag),)
        request = TransferRequest(
            method="GET",
            url=f"{self._platform.hosts}/v1/hosts",
            headers=headers,
            connect_timeout_s=self._platform.connect_timeout_s,
            timeout_s=self._platform.timeout_s,
            repeatable=True,
        )
        Transfer(self._loop, request, self._on_end).start()

    def _on_end(self, end: TransferEnd) -> None:
        interval_s = jittered(self._platform.hosts_interval_s, self._rng)
        self._loop.call_later(interval_s, self._read)
        failed = end.sent is not TransferOutcome.ANSWERED
        failed = failed or end.status not in {OK, NOT_MODIFIED}
        if failed != self._failed:
            self._failed = failed
            log_event("host_list_failed" if failed else "host_list_back")
        if failed or end.status == NOT_MODIFIED:
            return
        try:
            self._take(decode_hosts(end.body))
        except PlatformError as error:
            log_event("host_list_malformed", level="WARNING", error=str(error))
            return
        self._etag = end.header("ETag")

    def _take(self, entries: list[HostEntry]) -> None:
        found: list[tuple[Upstream, bool]] = []
        entry_hosts: list[HostEntry] = []
        for entry in entries:
            if entry.kind == ENTRY:
                entry_hosts.append(entry)
                continue
            if entry.kind not in KIND_BY_NAME:
                # A kind that a later version of the platform knows.
                continue
            upstream = Upstream(
                name=entry.name,
                kind=KIND_BY_NAME[entry.kind],
                service=entry.service,
                data_centre=entry.data_centre,
                address=entry.address,
                incarnation=entry.incarnation,
            )
            found.append((upstream, entry.is_leaving))
        gone = self._upstreams.replace(found)
        self.has_host_list = True
        self._on_entry_hosts(entry_hosts)
        if gone:
            self._on_gone(gone)


class EngineWatch:
    """Reads the load reports of the engines that this host polls.

    :param engines: returns the engines to poll now.
    :param on_state: hears each report.
    :param on_silent: hears the name of an engine that gave none repeatedly.
    """

    def __init__(
        self,
        loop: Loop,
        clock: Clock,
        engines: t.Callable[[], list[Upstream]],
        on_state: t.Callable[[EngineState], None],
        on_silent: t.Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._engines = engines
        self._on_state = on_state
        self._on_silent = on_silent
        self._rng = rng
        self._pending: set[str] = set()
        self._failures_by_name: dict[str, int] = {}

    def start(self) -> None:
        """Begin to watch."""
        self._loop.call(self._read_all)

    def _read_all(self) -> None:
        interval_s = jittered(LOAD_REPORT_INTERVAL_S, self._rng)
        self._loop.call_later(interval_s, self._read_all)
        for engine in self._engines():
            if engine.name not in self._pending:
                self._read(engine)

    def _read(self, engine: Upstream) -> None:
        request = TransferRequest(
            method="GET",
            url=f"http://{engine.address}/v1/state",
            connect_timeout_s=LOAD_REPORT_TIMEOUT_S,
            timeout_s=LOAD_REPORT_TIMEOUT_S,
            repeatable=True,
        )
        self._pending.add(engine.name)
        Transfer(self._loop, request, lambda end: self._on_end(engine, end)).start()

    def _on_end(self, engine: Upstream, end: TransferEnd) -> None:
        self._pending.discard(engine.name)
        if end.sent is not TransferOutcome.ANSWERED or end.status != OK:
            self._note_failure(engine.name)
            return
        self._failures_by_name.pop(engine.name, None)
        try:
            state = decode_state(
                end.body,
                address=engine.address,
                data_centre=engine.data_centre,
                now=self._clock.monotonic(),
            )
        except UpstreamError as error:
            log_event(
                "load_report_malformed",
                level="WARNING",
                engine=engine.name,
                error=str(error),
            )
            return
        self._on_state(state)

    def _note_failure(self, name: str) -> None:
        # A pause of this process makes one round of reports time out at once.
        failures = self._failures_by_name.get(name, 0) + 1
        if failures < SILENT_AFTER:
            self._failures_by_name[name] = failures
            return
        self._failures_by_name.pop(name, None)
        self._on_silent(name)
