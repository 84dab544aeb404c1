"""One run of the soak: a deployment, callers, faults by seed, and the verdict."""

import dataclasses
import multiprocessing
import pathlib
import random
import typing as t
from concurrent import futures

from tests.soak.callers import SoakCaller
from tests.soak.checker import MACHINE
from tests.soak.checker import Ledger
from tests.soak.checker import Touch
from tests.soak.faults import FAULTS
from tests.soak.faults import Stage
from tests.soak.hosts import HostProcess
from tests.soak.proxy import Proxy
from tests.soak.upstreams import SoakEngine
from tests.soak.upstreams import SoakService
from wagtailstair.clock import SystemClock
from wagtailstair.gateway.loop import Loop

CENTRES = ("a", "b", "c")
ENGINES_PER_CENTRE = 4
START_S = 30.0
"""Seconds for a first answer of each kind, processes started on a busy machine."""

RECOVER_S = 12.0
"""Seconds after which a quarter of all requests is served again, from the pages."""

PROBE_S = 2.0
SERVED_SHARE = 0.25
FAULT_PAUSE_S = (0.05, 1.5)
TICK_S = 0.05
LAG_S = 0.4
"""Seconds that this process may be late before its own sights prove nothing."""


@dataclasses.dataclass(slots=True)
class Options:
    """What a run is made of."""

    seed: int
    fault_s: float = 15.0
    hosts: int = 6
    callers: int = 12


@dataclasses.dataclass(slots=True)
class Verdict:
    """What a run came to; ``story``: its faults, in order."""

    broken: list[str]
    counts: dict[str, int]
    story: list[str]
    recovered: float


def start_apart(jobs: int) -> futures.ProcessPoolExecutor:
    """Return an executor that plays each run in a process of its own.

    A run leaves its sockets open, which end with the process.
    """
    context = multiprocessing.get_context("spawn")
    return futures.ProcessPoolExecutor(jobs, mp_context=context, max_tasks_per_child=1)


def play(options: Options, work: pathlib.Path) -> Verdict:
    """Play one run."""
    return Run(options, work).play()


class Run:
    """A deployment under faults, until its verdict."""

    def __init__(self, options: Options, work: pathlib.Path) -> None:
        self._options = options
        self._loop = Loop(SystemClock())
        self._rng = random.Random(options.seed)
        self._ledger = Ledger(Touch())
        self._stage = Stage(self._loop, self._ledger, self._rng)
        self._callers: list[SoakCaller] = []
        self._ticked_at = self._loop.now
        self._build(work)

    def play(self) -> Verdict:
        """Play the run and return its verdict."""
        try:
            for host in self._stage.hosts:
                host.start()
            self._tick()
            for caller in self._callers:
                caller.start()
            self._wait(START_S, self._all_serve)
            self._disturb(self._loop.now + self._options.fault_s)
            self._wait(self._options.fault_s)
            self._stage.is_over = True
            recovered = self._recover()
        finally:
            for caller in self._callers:
                caller.is_stopped = True
            for host in self._stage.hosts:
                host.stop()
        for host in self._stage.hosts:
            self._ledger.broken.extend(host.log_faults())
        ledger = self._ledger
        return Verdict(ledger.broken, ledger.counts, self._stage.log, recovered)

    def _build(self, work: pathlib.Path) -> None:
        stage = self._stage
        for key in stage.keys:
            key.added = 1
        stage.write_lists()
        for centre in CENTRES:
            self._add_upstream(SoakService, f"i-desk-{centre}", centre)
            for number in range(ENGINES_PER_CENTRE):
                self._add_upstream(SoakEngine, f"i-e{number}-{centre}", centre)
        for number in range(self._options.hosts):
            centre = CENTRES[number % len(CENTRES)]
            name = f"entry-{number}"
            stage.hosts.append(
                HostProcess(self._loop, name, centre, stage.store.address, work)
            )
        for number in range(self._options.callers):
            centre = CENTRES[number % len(CENTRES)]
            near = [host for host in stage.hosts if host.data_centre == centre]
            self._callers.append(
                SoakCaller(
                    self._loop,
                    self._ledger,
                    near or stage.hosts,
                    stage.live_keys,
                    random.Random(self._rng.random()),
                )
            )

    def _add_upstream(
        self, make: type[SoakService] | type[SoakEngine], name: str, centre: str
    ) -> None:
        stage = self._stage
        if make is SoakEngine:
            engine = SoakEngine(self._loop, stage.store, name, "a100")
            proxy = Proxy(self._loop, engine.address)
            SoakEngine.by_address[proxy.address] = engine
            stage.engines.append(engine)
            upstream: t.Any = engine
        else:
            upstream = SoakService(self._loop, stage.store, name)
            proxy = Proxy(self._loop, upstream.address)
            stage.services.append(upstream)
        upstream.address = proxy.address
        upstream.row["address"] = proxy.address
        upstream.ledger = self._ledger
        upstream.rng = random.Random(self._rng.random())
        upstream.write_row(zone=centre)

    # Time.

    def _tick(self) -> None:
        """Look at the processes, and whether this one was late."""
        now = self._loop.now
        if now - self._ticked_at > LAG_S:
            self._ledger.touch.note(MACHINE, now)
        self._ticked_at = now
        for host in self._stage.hosts:
            for fault in host.faults():
                self._ledger.broken.append(fault)
                host.expected_exits.update(range(-64, 256))
                if not host.is_running:
                    host.start()
        self._loop.call_later(TICK_S, self._tick)

    def _disturb(self, until: float) -> None:
        if self._loop.now >= until:
            return
        fault = self._rng.choice(FAULTS)
        self._stage.log.append(f"{self._loop.now:.2f} {fault.__name__}")
        fault(self._stage)
        delay_s = self._rng.uniform(*FAULT_PAUSE_S)
        self._loop.call_later(delay_s, lambda: self._disturb(until))

    def _wait(self, span_s: float, until: t.Callable[[], bool] = lambda: False) -> bool:
        """Run the loop for a while, or until something holds."""
        deadline = self._loop.clock.monotonic() + span_s

        def look() -> None:
            if until() or self._loop.clock.monotonic() > deadline:
                self._loop.stop()
            else:
                self._loop.call_later(TICK_S, look)

        self._loop.now = self._loop.clock.monotonic()
        self._loop.call_later(0.0, look)
        self._loop.run()
        return until()

    def _all_serve(self) -> bool:
        return all(caller.served_at for caller in self._callers)

    # The end.

    def _recover(self) -> float:
        """Let all faults end; return the share of requests served after a while."""
        calm_s = 0.0
        while calm_s < RECOVER_S:
            self._wait(TICK_S * 4)
            calm_s += TICK_S * 4
            if not self._is_whole():
                calm_s = 0.0
        since = self._loop.now
        self._wait(PROBE_S)
        until = self._loop.now
        self._wait(PROBE_S)
        asked = served = 0
        for caller in self._callers:
            asked += sum(since <= at < until for at in caller.asked_at)
            served += sum(since <= at < until for at in caller.served_at)
        share = served / max(1, asked)
        if share < SERVED_SHARE:
            text = f"recover: {served} of {asked} served {RECOVER_S} s after the faults"
            self._ledger.broken.append(text)
        return share

    def _is_whole(self) -> bool:
        stage = self._stage
        for host in stage.hosts:
            if not host.is_running or host.is_paused or host.drained_at is not None:
                return False
        upstreams = [*stage.services, *stage.engines]
        return not any(upstream.is_down or upstream.is_closed for upstream in upstreams)
