"""One run of the soak: a deployment, callers, faults drawn by seed, and a verdict."""

import dataclasses
import multiprocessing
import pathlib
import random
import typing as t
from concurrent import futures

from tests.client_crowds import LimitedHost
from tests.soak.callers import SoakCaller
from tests.soak.checker import MACHINE
from tests.soak.checker import DisturbanceLog
from tests.soak.checker import InvariantChecker
from tests.soak.faults import FAULTS
from tests.soak.faults import STATIC_KEYS
from tests.soak.faults import SoakDeployment
from tests.soak.faults import flood_streams
from tests.soak.faults import return_store
from tests.soak.faults import rotate_keys
from tests.soak.misuse import CLIENT_KINDS
from tests.soak.misuse import MisbehavingClient
from tests.soak.proxy import Proxy
from tests.soak.upstreams import SoakEngine
from tests.soak.upstreams import SoakService
from wagtailstair.clock import SystemClock
from wagtailstair.gateway.loop import Loop

DATA_CENTRES = ("a", "b", "c")
ENGINES_PER_CENTRE = 4
ENGINE_SLOTS = 4
"""Few, so that a flood fills the engines of its data centre."""

FLOOD_PAUSE_S = (3.0, 9.0)
"""Bounds of the time between the starts of two floods, which may overlap."""

RETURN_PAUSE_S = (0.5, 8.0)
"""Bounds of the time between two returns of the store, which may overlap."""

START_TIMEOUT_S = 30.0
"""Seconds for the first answer to each caller, as processes start on a busy machine."""

RECOVERY_S = 12.0
"""Documented seconds after which a quarter of all requests is served again."""

LAST_FLOOD_S = 4.0
"""Undisturbed seconds before a last flood, which is over before the recovery is: only
then is a host without faults for as long as the check of urgent streams requires."""

PROBE_S = 2.0
"""Seconds in which requests are counted after the recovery."""

MIN_SERVED_SHARE = 0.25
FAULT_PAUSE_S = (0.05, 1.5)
"""Bounds of the pause between two faults."""

TICK_S = 0.05
MAX_LAG_S = 0.4
"""Seconds that this process may be late before its observations are unreliable."""


@dataclasses.dataclass(slots=True)
class Options:
    """Settings of a run.

    ``has_returns``: whether the store comes back from older copies.
    """

    seed: int
    fault_s: float = 15.0
    hosts: int = 6
    callers: int = 12
    has_returns: bool = False


@dataclasses.dataclass(slots=True)
class Verdict:
    """Result of a run.

    ``faults``: the injected faults, in order; ``recovered``: the share of requests
    served after the recovery.
    """

    violations: list[str]
    counts: dict[str, int]
    faults: list[str]
    recovered: float


def start_isolated_pool(jobs: int) -> futures.ProcessPoolExecutor:
    """Return an executor that uses a new process for each run.

    A run leaves its sockets open; they are closed when the process exits.
    """
    context = multiprocessing.get_context("spawn")
    return futures.ProcessPoolExecutor(jobs, mp_context=context, max_tasks_per_child=1)


def run_soak(options: Options, work: pathlib.Path) -> Verdict:
    """Run the soak once."""
    return SoakRun(options, work).run()


class SoakRun:
    """A deployment under faults, from its start to the verdict."""

    def __init__(self, options: Options, work: pathlib.Path) -> None:
        self._options = options
        self._loop = Loop(SystemClock())
        self._rng = random.Random(options.seed)
        self._checker = InvariantChecker(DisturbanceLog())
        self._deployment = SoakDeployment(self._loop, self._checker, self._rng)
        # A generator of its own, so that a seed's faults stay the same.
        self._load_rng = random.Random(f"load {options.seed}")
        self._return_rng = random.Random(f"returns {options.seed}")
        self._callers: list[SoakCaller] = []
        self._misbehaving: list[MisbehavingClient] = []
        self._checked_at = self._loop.now
        self._build(work)

    def run(self) -> Verdict:
        """Run the deployment and return the verdict."""
        try:
            for host in self._deployment.hosts:
                host.start()
            self._check_processes()
            for caller in self._callers:
                caller.start()
            self._wait(START_TIMEOUT_S, self._all_callers_served)
            until = self._loop.now + self._options.fault_s
            for client in self._misbehaving:
                client.start()
            self._inject_fault(until)
            self._inject_flood(until)
            if self._options.has_returns:
                self._deployment.store.keep_copies(until)
                self._inject_return(until)
            self._wait(self._options.fault_s)
            self._deployment.faults_ended = True
            recovered = self._measure_recovery()
        finally:
            for caller in self._callers:
                caller.is_stopped = True
            for client in self._misbehaving:
                client.is_stopped = True
            for host in self._deployment.hosts:
                host.stop()
        for host in self._deployment.hosts:
            self._checker.violations.extend(host.check_log())
        checker = self._checker
        found = [host.no_capacity_attempts() for host in self._deployment.hosts]
        checker.check_urgent_streams(set().union(*found))
        return Verdict(
            checker.violations, checker.counts, self._deployment.fault_log, recovered
        )

    def _build(self, work: pathlib.Path) -> None:
        deployment = self._deployment
        for key in deployment.keys:
            key.added = 1
        deployment.write_lists()
        for centre in DATA_CENTRES:
            self._add_upstream(SoakService, f"i-desk-{centre}", centre)
            for number in range(ENGINES_PER_CENTRE):
                self._add_upstream(SoakEngine, f"i-e{number}-{centre}", centre)
        for number in range(self._options.hosts):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            name = f"entry-{number}"
            deployment.hosts.append(
                LimitedHost(self._loop, name, centre, deployment.store.address, work)
            )
        for number in range(self._options.callers):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            local = [host for host in deployment.hosts if host.data_centre == centre]
            rng = random.Random(self._rng.random())
            stream_rng = random.Random(self._load_rng.random())
            entry = (local or deployment.hosts, deployment.caller_keys)
            more = (*entry, rng, stream_rng, STATIC_KEYS)
            self._callers.append(SoakCaller(self._loop, self._checker, *more))
        for kind in CLIENT_KINDS:
            rng = random.Random(self._load_rng.random())
            options = (deployment.hosts, STATIC_KEYS[-1], kind, rng)
            client = MisbehavingClient(self._loop, self._checker, *options)
            self._misbehaving.append(client)

    def _add_upstream(
        self,
        upstream_class: type[SoakService] | type[SoakEngine],
        name: str,
        centre: str,
    ) -> None:
        deployment = self._deployment
        if upstream_class is SoakEngine:
            engine = SoakEngine(self._loop, deployment.store, name, "a100")
            proxy = Proxy(self._loop, engine.address)
            SoakEngine.engine_by_address[proxy.address] = engine
            deployment.engines.append(engine)
            upstream: t.Any = engine
        else:
            upstream = SoakService(self._loop, deployment.store, name)
            proxy = Proxy(self._loop, upstream.address)
            deployment.services.append(upstream)
        upstream.address = proxy.address
        upstream.row["address"] = proxy.address
        upstream.checker = self._checker
        upstream.rng = random.Random(self._rng.random())
        if upstream_class is SoakEngine:
            upstream.row["slots"] = ENGINE_SLOTS
        upstream.write_row(zone=centre)

    # Timers.

    def _check_processes(self) -> None:
        """Check and restart the host processes; record whether this one was late."""
        now = self._loop.now
        if now - self._checked_at > MAX_LAG_S:
            self._checker.disturbances.record(MACHINE, now)
        self._checked_at = now
        for host in self._deployment.hosts:
            for violation in host.check_process():
                self._checker.violations.append(violation)
                # Any exit code counts as expected now: it was reported.
                host.expected_exits.update(range(-64, 256))
                if not host.is_running:
                    host.start()
        self._loop.call_later(TICK_S, self._check_processes)

    def _inject_fault(self, until: float) -> None:
        if self._loop.now >= until:
            return
        fault = self._rng.choice(FAULTS)
        self._deployment.fault_log.append(f"{self._loop.now:.2f} {fault.__name__}")
        fault(self._deployment)
        delay_s = self._rng.uniform(*FAULT_PAUSE_S)
        self._loop.call_later(delay_s, lambda: self._inject_fault(until))

    def _inject_flood(self, until: float) -> None:
        if self._loop.now < until:
            flood_streams(self._deployment, self._load_rng)
            delay_s = self._load_rng.uniform(*FLOOD_PAUSE_S)
            self._loop.call_later(delay_s, lambda: self._inject_flood(until))

    def _inject_return(self, until: float) -> None:
        if self._loop.now < until:
            return_store(self._deployment, self._return_rng)
            delay_s = self._return_rng.uniform(*RETURN_PAUSE_S)
            self._loop.call_later(delay_s, lambda: self._inject_return(until))

    def _wait(
        self, duration_s: float, until: t.Callable[[], bool] = lambda: False
    ) -> bool:
        """Run the loop for a duration, or until a condition holds."""
        deadline = self._loop.clock.monotonic() + duration_s

        def check() -> None:
            if until() or self._loop.clock.monotonic() > deadline:
                self._loop.stop()
            else:
                self._loop.call_later(TICK_S, check)

        self._loop.now = self._loop.clock.monotonic()
        self._loop.call_later(0.0, check)
        self._loop.run()
        return until()

    def _all_callers_served(self) -> bool:
        return all(caller.served_sent_at for caller in self._callers)

    # Recovery after the faults.

    def _measure_recovery(self) -> float:
        """Wait for the recovery; return the share of requests served afterwards."""
        stable_s = 0.0
        has_flooded = False
        while stable_s < RECOVERY_S:
            self._wait(TICK_S * 4)
            stable_s += TICK_S * 4
            if not self._is_recovered():
                stable_s = 0.0
            if stable_s > LAST_FLOOD_S and not has_flooded:
                flood_streams(self._deployment, self._load_rng)
                has_flooded = True
                if self._options.has_returns:
                    # Hosts that ignore what is written after a return deny its key.
                    rotate_keys(self._deployment)
        since = self._loop.now
        self._wait(PROBE_S)
        until = self._loop.now
        self._wait(PROBE_S)
        sent = served = 0
        for caller in self._callers:
            sent += sum(since <= at < until for at in caller.all_sent_at)
            served += sum(since <= at < until for at in caller.served_sent_at)
        share = served / max(1, sent)
        if share < MIN_SERVED_SHARE:
            text = f"recover: {served} of {sent} served {RECOVERY_S} s after the faults"
            self._checker.violations.append(text)
        return share

    def _is_recovered(self) -> bool:
        deployment = self._deployment
        for host in deployment.hosts:
            if not host.is_running or host.is_paused or host.shutdown_at is not None:
                return False
        upstreams = [*deployment.services, *deployment.engines]
        return not any(upstream.is_down or upstream.has_left for upstream in upstreams)
