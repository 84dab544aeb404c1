"""Hosts that find out which prompts crash engines, without sockets.

The hosts' own ``CrashReports`` run on one virtual loop. Engines crash under requests
with a deadly part, or for another cause; hosts notice it at different times, and
messages between them are late, lost or out of order.
"""

import dataclasses
import itertools
import random
import typing as t

from tests.virtual_loop import VirtualLoop
from wagtailstair.core.quarantine import CrashSuspects
from wagtailstair.core.quarantine import Keys
from wagtailstair.core.quarantine import PartKey
from wagtailstair.gateway.crash_reports import CrashReports
from wagtailstair.gateway.crash_reports import Stage

SERVICE = "engines"
DEADLY = "dead"
CONTACT_S = 3.0
REPEAT_S = 1.0
REPEAT_PEERS = 2


class DeadPool:
    """Takes no connection: engines are asked for reports only after a crash."""

    def send(self, _upstream, _data, _observer, *, new_connection):
        return None


@dataclasses.dataclass(frozen=True)
class Engine:
    name: str
    incarnation: int

    @property
    def identity(self) -> tuple[str, int]:
        return self.name, self.incarnation

    @property
    def address(self) -> str:
        return "127.0.0.1:1"


class Host:
    """One host: its crash reports, and its requests that are at engines."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.name = name
        self.simulation = simulation
        self.reports = CrashReports(
            simulation.loop,
            DeadPool(),
            lambda: None,
            self._end_quarantined,
            lambda message: simulation.broadcast(self, message),
            name,
            lambda: [host.name for host in simulation.hosts],
            simulation.rng,
        )

    def _end_quarantined(self) -> None:
        for request in list(self.simulation.running):
            is_waiting = request.host is self and not request.events
            if is_waiting and not request.tried and request.is_quarantined():
                request.end("ended")


class Request:
    """One request, from its arrival at a host to its end."""

    def __init__(self, host: Host, kind: str, parts: tuple[str, ...]) -> None:
        self.host, self.kind = host, kind
        self.simulation = host.simulation
        number = next(self.simulation.numbers)
        self.shared = [PartKey(SERVICE, part) for part in parts]
        self.own = [PartKey(SERVICE, f"own{number}"), PartKey(SERVICE, f"r{number}")]
        self.engine: Engine | None = None
        self.stage = Stage.WAITING
        self.events = 0
        self.is_whole = True
        self.lost_on: list[tuple[str, int]] = []
        self.tried: tuple[Keys, ...] = ()
        self.arrived_at = self.simulation.loop.now
        self._send()

    @property
    def keys(self) -> list[PartKey]:
        return [*self.shared, *self.own]

    def is_quarantined(self) -> bool:
        quarantine = self.host.reports.quarantine
        return bool(quarantine.held_groups(self.keys, self.simulation.loop.now))

    def end(self, outcome: str) -> None:
        if self.engine is not None:
            reports = self.host.reports
            if outcome == "ended":
                reports.report_departure(self.engine, self.keys, self.stage)
            self.engine = None
            self.simulation.running.remove(self)
        self.host.reports.end_trial(self.tried)
        self.simulation.outcomes.append((self.arrived_at, self.kind, outcome))

    def _send(self) -> None:
        if self.is_quarantined():
            if self.lost_on:
                self.end("lost")
                return
            groups = self.host.reports.begin_trial(self.keys, lambda: True)
            self.tried = tuple(group.keys for group in groups)
            if not self.tried:
                self.end("refused")
                return
        simulation = self.simulation
        usable = [e for e in simulation.engines if e.identity not in self.lost_on]
        if not usable:
            self.end("no engine")
            return
        self.engine = simulation.rng.choice(usable)
        self.stage, attempt = Stage.WAITING, self.engine
        simulation.running.append(self)
        if self.kind == "deadly":
            simulation.arrivals.append(simulation.loop.now)
        delay_s = simulation.rng.uniform(*simulation.head_s)
        simulation.loop.call_later(delay_s, lambda: self._begin(attempt))

    def _begin(self, attempt: Engine) -> None:
        if self.engine is not attempt:
            return
        if self.kind == "deadly" and self.simulation.deadly_events < 0:
            self.simulation.crash_under(attempt)
            return
        self.stage = Stage.BEGUN
        self._emit(attempt, 0)

    def _emit(self, attempt: Engine, written: int) -> None:
        simulation = self.simulation
        if self.engine is not attempt:
            return
        if self.kind == "deadly" and written == simulation.deadly_events:
            simulation.crash_under(attempt)
            return
        if self.events == simulation.events:
            if self.is_whole:
                reports = self.host.reports
                reports.record_answer(self.shared, self.own, self.tried)
            self.end("served")
            return
        simulation.loop.call_later(0.05, lambda: self._write(attempt, written))

    def _write(self, attempt: Engine, written: int) -> None:
        if self.engine is attempt:
            self.stage = Stage.STREAMING
            self.events += 1
            self._emit(attempt, written + 1)

    def lose(self) -> None:
        """Report the crash of the engine, and go on at another one if that may be."""
        engine, stage = self.engine, self.stage
        if engine is None or engine in self.simulation.engines:
            return
        reports = self.host.reports
        if self.simulation.rng.random() < self.simulation.reset_share:
            stage = Stage.WAITING
        reports.report_loss(engine, self.keys, stage)
        self.lost_on.append(engine.identity)
        self.simulation.running.remove(self)
        self.engine = None
        self.is_whole = self.is_whole and not self.events
        now = self.simulation.loop.now
        is_unproven = bool(reports.quarantine.unproven(self.shared, now))
        if reports.has_crashed(self.lost_on[:-1]) or (
            stage is Stage.BEGUN and not self.events and is_unproven
        ):
            self.end("lost")
            return
        self._send()


class Simulation:
    """A deployment whose circumstances follow from a seed.

    ``outcomes``: time of arrival, kind and outcome of each request; ``arrivals``: times
    at which deadly requests reached engines; ``crashed_at``: times of crashes;
    ``deadly_at``: those of crashes under a deadly request.
    """

    events = 20

    def __init__(self, seed: int, hosts: int, engines: int) -> None:
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.loop.now = 1000.0
        self.numbers = itertools.count()
        self.deadly_events = self.rng.choice([-1, 0, 0, 1, 3])
        self.head_s = (0.02, self.rng.choice([0.05, 0.3]))
        self.notice_s = self.rng.choice([0.002, 0.03, 0.3])
        self.message_s = self.rng.choice([0.001, 0.05, 0.3])
        self.lost_share = self.rng.choice([0.0, 0.0, 0.2])
        # Heads that a reset takes from the receive buffer.
        self.reset_share = self.rng.choice([0.0, 0.0, 0.3])
        self.restart_s = self.rng.uniform(1.0, 4.5)
        self.engines = [Engine(f"e{number}", 1) for number in range(engines)]
        self.running: list[Request] = []
        self.outcomes: list[tuple[float, str, str]] = []
        self.arrivals: list[float] = []
        self.crashed_at: list[float] = []
        self.deadly_at: list[float] = []
        self.hosts = [Host(self, f"h{number}") for number in range(hosts)]
        self._repeat()

    def send(self, kind: str, *parts: str) -> Request:
        return Request(self.rng.choice(self.hosts), kind, parts)

    def every(
        self, interval_s: float, until: float, kind: str, *parts: str, first: float = 0
    ) -> None:
        """Send requests at about so many seconds from one to the next."""
        when = max(self.loop.now, first)
        while when < until:
            self.loop.call_at(when, lambda: self.send(kind, *parts))
            when += interval_s * self.rng.uniform(0.7, 1.3)

    def crash_under(self, engine: Engine) -> None:
        """Let an engine crash under a deadly request."""
        self.deadly_at.append(self.loop.now)
        self.crash([engine])

    def crash(self, engines: t.Iterable[Engine]) -> None:
        """Let engines crash, and come back as other incarnations."""
        for engine in engines:
            if engine not in self.engines:
                continue
            self.engines.remove(engine)
            self.crashed_at.append(self.loop.now)
            again = Engine(engine.name, engine.incarnation + 1)
            self.loop.call_later(
                self.restart_s, lambda again=again: self.engines.append(again)
            )
            for request in list(self.running):
                if request.engine == engine:
                    self.loop.call_later(
                        self.rng.uniform(0.0, self.notice_s), request.lose
                    )

    def broadcast(self, source: Host, message: CrashSuspects) -> None:
        for host in self.hosts:
            if host is not source:
                self._post(source, host, message)

    def _post(self, source: Host, target: Host, message: CrashSuspects) -> None:
        if self.rng.random() < self.lost_share:
            return

        def receive() -> None:
            reply = target.reports.on_message(message)
            if reply is not None:
                self._post(target, source, reply)

        self.loop.call_later(self.rng.uniform(0.0, self.message_s), receive)

    def _repeat(self) -> None:
        self.loop.call_later(REPEAT_S, self._repeat)
        for host in self.hosts:
            message = host.reports.message()
            others = [other for other in self.hosts if other is not host]
            if message is None:
                continue
            for other in self.rng.sample(others, min(REPEAT_PEERS, len(others))):
                self._post(host, other, message)

    def share(self, kind: str, since: float, until: float) -> float:
        """Return the share of requests that were served, of those sent in a time."""
        found = []
        for arrived_at, sent, outcome in self.outcomes:
            if sent == kind and since <= arrived_at < until:
                found.append(outcome == "served")
        return sum(found) / len(found) if found else 1.0

    def late_arrivals(self) -> int:
        """Return the deadly requests long after the fifth crash under one."""
        if len(self.deadly_at) < 5:
            return 0
        bound = self.deadly_at[4] + CONTACT_S
        return sum(at > bound for at in self.arrivals)
