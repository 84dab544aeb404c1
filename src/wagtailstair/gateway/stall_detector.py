"""Detection of stalled engines from reports, so that streams move off them."""

import typing as t

from ..core.replicas import Replica
from ..logs import log_event
from ..platform import engines as engine_wire
from .engine_report import fetch_engine_report

if t.TYPE_CHECKING:
    from .gateway import Gateway

REPORT_INTERVAL_S = 0.15
"""Shortest interval in seconds between reports of an engine: each has a cost, and
lags behind the engine's state."""

SUSPECT_S = 3.0
"""Seconds for which a suspected engine is avoided; a dead one is no longer listed
by then."""


class StallDetector:
    """Finds the engines that stall the gateway's streams."""

    __slots__ = ("_gateway", "_requested_at_by_name")

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway
        self._requested_at_by_name: dict[str, float] = {}

    def find_stalled_engine(self, first: Replica, service: str) -> None:
        """Request a first engine's report, which names the engines that stall it."""
        loop = self._gateway.loop
        requested_at = self._requested_at_by_name.get(first.name, float("-inf"))
        if loop.now - requested_at < REPORT_INTERVAL_S:
            return
        self._requested_at_by_name[first.name] = loop.now
        if self._gateway.pauses.remaining_s(first.identity, loop.now):
            return

        fetch_engine_report(
            loop,
            self._gateway.pool,
            first,
            lambda report: self._handle_report(first, service, report),
            lambda reason: self._handle_no_report(first, service, reason),
        )

    def suspect(self, replica: Replica, service: str, reason: str) -> None:
        """Avoid an engine for a while and move stalled streams off it."""
        gateway = self._gateway
        now = gateway.loop.now
        pipelines = gateway.pipelines(service)
        is_newly_suspected = pipelines.use(replica).suspect_until <= now
        pipelines.suspect(replica, now + SUSPECT_S)
        users = []
        for stream in gateway.streams():
            if stream.uses_engine(replica.identity):
                users.append(stream)
        stalled = [stream for stream in users if stream.is_stalled(now)]
        if is_newly_suspected:
            gateway.telemetry.count_suspicion(reason)
            log_event(
                "engine_suspected",
                replica=replica.name,
                reason=reason,
                streams=len(users),
                stalled=len(stalled),
            )
        for stream in stalled:
            stream.move_off_engine(replica, reason)

    def _handle_no_report(self, first: Replica, service: str, reason: str) -> None:
        self._gateway.telemetry.count_report(reason)
        self.suspect(first, service, f"no report: {reason}")

    def _handle_report(
        self, first: Replica, service: str, report: engine_wire.Report
    ) -> None:
        self._gateway.telemetry.count_report("received")
        log_event(
            "engine_reported",
            level="DEBUG",
            replica=first.name,
            running=report.running,
            waiting=report.waiting,
            stalled=len(report.stalled),
            slowness=report.slowness,
            kv_used=report.kv_used,
            kv_total=report.kv_total,
            kv_held=self._gateway.pipelines(service).total(first).token_layers,
        )
        addresses = {stalled.address for stalled in report.stalled}
        if not addresses:
            return
        for replica in self._gateway.replicas.usable(service):
            if replica.address in addresses and replica is not first:
                self.suspect(replica, service, f"stalled at {first.name}")
                self._gateway.broadcast_engine_lost(replica)
