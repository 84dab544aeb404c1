"""Engines that requests wait for: found by reports, avoided, left by streams."""

import typing as t

from ..core.replicas import Replica
from ..logs import log_event
from ..platform import engines as engine_wire
from .engine_report import fetch_engine_report

if t.TYPE_CHECKING:
    from .gateway import Gateway

REPORT_INTERVAL_S = 0.15
"""Seconds between two reports of the same engine: each is priced, and old."""

SUSPECT_S = 3.0
"""Seconds that an engine is avoided; one that is dead is off the list by then."""


class StallDetector:
    """Investigates stalls of the gateway's streams."""

    __slots__ = ("_asked_at_by_name", "_gateway")

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway
        self._asked_at_by_name: dict[str, float] = {}

    def find_stalled_engine(self, first: Replica, service: str) -> None:
        """Ask a first engine which engines its requests wait for."""
        loop = self._gateway.loop
        asked_at = self._asked_at_by_name.get(first.name, float("-inf"))
        if loop.now - asked_at < REPORT_INTERVAL_S:
            return
        self._asked_at_by_name[first.name] = loop.now

        fetch_engine_report(
            loop,
            self._gateway.pool,
            first,
            lambda report: self._take(first, service, report),
            lambda reason: self.suspect(first, service, f"no report: {reason}"),
        )

    def suspect(self, replica: Replica, service: str, reason: str) -> None:
        """Avoid an engine, and take the streams off it that wait."""
        gateway = self._gateway
        now = gateway.loop.now
        pipelines = gateway.pipelines(service)
        is_new = pipelines.use(replica).suspect_until <= now
        pipelines.suspect(replica, now + SUSPECT_S)
        if is_new:
            log_event("engine_suspected", replica=replica.name, reason=reason)
        for stream in gateway.streams():
            if stream.uses(replica.identity) and stream.waits(now):
                stream.move_off_engine(replica, reason)

    def _take(self, first: Replica, service: str, report: engine_wire.Report) -> None:
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
