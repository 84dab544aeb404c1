"""The duty of one host: orders to engines that hold no layers."""

import random
import typing as t

from ..core.directory import Directory
from ..core.directory import ModelSpec
from ..core.directory import Service
from ..core.layout import LayerAssignment
from ..core.layout import plan_layers
from ..core.layout import plan_repairs
from ..core.replicas import Replica
from ..core.replicas import ReplicaSet
from ..core.store import Call
from ..logs import log_event
from ..platform import engines as engine_wire
from .fetch import Answer
from .fetch import Fetch
from .lease import LeaseKeeper
from .loop import Loop
from .report import fetch_engine_report
from .transfer import ExchangeLoss
from .transfer import Upstream
from .transfer import UpstreamPool

KEY = "placement"

TICK_S = 0.25
SETTLE_S = 0.7
"""Seconds without a new engine before the first orders go out, so that the first
plan covers all of them."""

SPARE_S = 4.0
"""Seconds that a new engine is kept empty in a data centre without gaps: where an
engine is replaced, the new one comes before the old one tells that it leaves."""

REPAIR_AFTER_S = 1.0
"""Seconds that a gap lasts before an engine that holds layers is moved: one that
restarts or comes anew is empty and closes it without a loss elsewhere."""

ORDER_TIMEOUT_S = 1.0
ORDER_AGAIN_S = 6.0
"""Seconds after which an order without effect is given again; a load takes 2 s."""

REFUSED_AGAIN_S = 1.5
"""Seconds after which an engine that refused an order gets another."""


class Placer:
    """Holds the lease or waits for it; with it, places layers on engines."""

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        holder: str,
        replicas: ReplicaSet,
        directory: t.Callable[[], Directory | None],
        is_candidate: t.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._replicas = replicas
        self._directory = directory
        self._lease = LeaseKeeper(loop, pool, store, KEY, holder, is_candidate, rng)
        self._gap_since_by_centre: dict[str, float] = {}
        # Range and instant of orders that were accepted or may have been.
        self._ordered: dict[tuple[str, int], tuple[tuple[int, int], float]] = {}
        self._orders_by_identity: dict[tuple[str, int], int] = {}
        self._empty_since: dict[tuple[str, int], float] = {}
        self.orders = 0

    def start(self) -> None:
        """Begin to seek the lease."""
        self._lease.start()
        self._loop.call_later(TICK_S, self._tick)

    def release(self) -> None:
        """Give the lease up, so that another host need not wait for its end."""
        self._lease.release()

    def _fetch(
        self, upstream: Upstream, call: Call, then: t.Callable[[Answer], None]
    ) -> None:
        Fetch(self._loop, self._pool, upstream, call, ORDER_TIMEOUT_S, then)

    # Orders.

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now
        directory = self._directory()
        if directory is None or not self._lease.may_send_order(ORDER_TIMEOUT_S):
            return
        for service in directory.service_by_name.values():
            if service.model is not None:
                self._place(service, now)

    def _place(self, service: Service, now: float) -> None:
        assert service.model is not None
        replicas = self._replicas.usable(service.name)
        for replica in replicas:
            ordered = self._ordered.get(replica.identity)
            if ordered is not None and replica.layers == ordered[0]:
                del self._ordered[replica.identity]
        ranges = {}
        for identity, (held, at) in list(self._ordered.items()):
            if now - at < ORDER_AGAIN_S:
                ranges[identity] = held
                continue
            del self._ordered[identity]
        reserved = self._reserve(replicas)
        if self._is_settling(now, replicas):
            return
        for placing in plan_layers(service.model, replicas, ranges, reserved):
            self._order(placing)
        for placing in self._due_repairs(service.model, replicas, ranges, now):
            self._order(placing)

    def _is_settling(self, now: float, replicas: list[Replica]) -> bool:
        """Tell whether the first engines of a deployment are still arriving."""
        if any(replica.layers is not None for replica in replicas):
            return False
        newest = max(self._empty_since.values(), default=now)
        return now - newest < SETTLE_S

    def _due_repairs(
        self,
        model: ModelSpec,
        replicas: list[Replica],
        ranges: dict[tuple[str, int], tuple[int, int]],
        now: float,
    ) -> list[LayerAssignment]:
        """Return the moves whose gaps have lasted for a while."""
        moves = plan_repairs(model, replicas, ranges)
        centres = {move.replica.data_centre for move in moves}
        for centre in list(self._gap_since_by_centre):
            if centre not in centres:
                del self._gap_since_by_centre[centre]
        due = []
        for move in moves:
            centre = move.replica.data_centre
            since = self._gap_since_by_centre.setdefault(centre, now)
            if now - since >= REPAIR_AFTER_S:
                due.append(move)
        return due

    def _reserve(self, replicas: list[Replica]) -> set[tuple[str, int]]:
        """Return the empty engines that have come lately."""
        now = self._loop.now
        empty = {r.identity for r in replicas if r.layers is None}
        for identity in list(self._empty_since):
            if identity not in empty:
                del self._empty_since[identity]
        reserved = set()
        for identity in empty:
            if now - self._empty_since.setdefault(identity, now) < SPARE_S:
                reserved.add(identity)
        return reserved

    def _order(self, placing: LayerAssignment) -> None:
        replica = placing.replica
        now = self._loop.now
        identity = replica.identity
        held = (placing.first, placing.last)
        self._ordered[identity] = (held, now)
        self.orders += 1
        # An engine that holds layers had orders that this host may not know of.
        count = self._orders_by_identity.get(identity)
        if count is None and replica.layers is None:
            count = 0
        call = engine_wire.place_call(placing.first, placing.last, count)
        log_event(
            "order_sent",
            replica=replica.name,
            incarnation=replica.incarnation,
            first=placing.first,
            last=placing.last,
            fence=self._lease.fence,
        )

        def on_answer(answer: Answer) -> None:
            log_event(
                "order_answered",
                replica=replica.name,
                status=answer.status,
                reason=answer.reason,
            )
            if answer.status in (200, 202):
                if count is not None:
                    self._orders_by_identity[identity] = count + 1
            elif answer.status:
                # It is busy, or had orders that this host does not know of.
                refused_at = self._loop.now - ORDER_AGAIN_S + REFUSED_AGAIN_S
                self._ordered[identity] = (held, refused_at)
                self._ask_orders(replica)
            elif answer.loss is not ExchangeLoss.UNKNOWN:
                self._ordered.pop(identity, None)

        upstream = Upstream(replica.address, identity)
        self._fetch(upstream, call, on_answer)

    def _ask_orders(self, replica: Replica) -> None:
        """Ask an engine how many orders it has accepted."""
        identity = replica.identity

        def on_report(report: engine_wire.Report) -> None:
            log_event(
                "engine_orders",
                replica=replica.name,
                orders=report.orders,
                busy=report.is_busy,
                running=report.running,
            )
            if report.born == replica.incarnation:
                self._orders_by_identity[identity] = report.orders

        fetch_engine_report(self._loop, self._pool, replica, on_report)
