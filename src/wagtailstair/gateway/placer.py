"""Placement of layers: the host that holds the lease sends orders to engines."""

import math
import random
import typing as t

from ..core.directory import Directory
from ..core.directory import Service
from ..core.layout import LayerAssignment
from ..core.layout import load_time_s
from ..core.layout import plan_layers
from ..core.layout import plan_repairs
from ..core.replicas import Replica
from ..core.replicas import ReplicaSet
from ..core.store import Call
from ..logs import error_location
from ..logs import log_event
from ..platform import engines as engine_wire
from .engine_report import fetch_engine_report
from .fetch import ENGINE_ANSWER_BYTES_MAX
from .fetch import Answer
from .fetch import Fetch
from .lease import LeaseManager
from .loop import Loop
from .store_eras import StoreEras
from .upstream_pool import ExchangeLoss
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

LEASE_KEY = "placement"

TICK_S = 0.25
FIRST_ORDERS_DELAY_S = 0.7
"""Seconds after the newest engine's registration before the first orders are sent, so
that the first plan covers all engines of a deployment."""

RESERVE_S = 4.0
"""Seconds that a new engine is kept empty in a data centre whose engines hold all
layers. When an engine is replaced, the new one starts before the old one announces
that it leaves."""

REPAIR_AFTER_S = 1.0
"""Seconds that layers lack an engine (a gap) before an engine that holds other layers
is moved to them. An engine that starts or restarts within that time is empty, and
closes the gap without opening another one."""

ORDER_TIMEOUT_S = 1.0
ORDER_RETRY_S = 6.0
"""Least seconds after which an order without effect is sent again."""

LOAD_MARGIN = 1.5
"""Factor on the expected time of a load before its order counts as without effect:
an engine that still loads would refuse another one."""

REFUSED_RETRY_S = 1.5
"""Seconds after which an engine that refused an order is sent another one."""

COUNT_INTERVAL_S = 0.5
"""Shortest interval in seconds between two requests for an engine's count of orders."""

FAILURE_LOG_INTERVAL_S = 60.0


class _Ordered(t.NamedTuple):
    """An order that was accepted or may have been.

    ``layers``: the range that the engine is to hold; ``retry_at``: time from which it
    counts as without effect.
    """

    layers: tuple[int, int]
    retry_at: float


class Placer:
    """Acquires the placement lease; while it is held, orders engines to load layers.

    :param directory: returns the lists in force, ``None`` if there are none.
    :param is_candidate: returns whether this host should acquire the lease.
    """

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
        eras: StoreEras,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._replicas = replicas
        self._directory = directory
        self._lease = LeaseManager(
            loop, pool, store, LEASE_KEY, holder, is_candidate, rng, eras
        )
        # By service and data centre.
        self._gap_since: dict[tuple[str, str], float] = {}
        self._ordered: dict[tuple[str, int], _Ordered] = {}
        # Number of orders that each engine has accepted since its start.
        self._orders_by_identity: dict[tuple[str, int], int] = {}
        self._count_asked_at: dict[tuple[str, int], float] = {}
        self._empty_since: dict[tuple[str, int], float] = {}
        self._failure_logged_at_by_service: dict[str, float] = {}
        self.orders = 0

    def start(self) -> None:
        """Start to acquire the lease."""
        self._lease.start()
        self._loop.call_later(TICK_S, self._tick)

    def release(self) -> None:
        """Release the lease, so that another host need not wait until it expires."""
        self._lease.release()

    def _fetch(
        self, upstream: Upstream, call: Call, on_answer: t.Callable[[Answer], None]
    ) -> None:
        Fetch(
            self._loop,
            self._pool,
            upstream,
            call,
            ORDER_TIMEOUT_S,
            on_answer,
            bytes_max=ENGINE_ANSWER_BYTES_MAX,
        )

    # Orders.

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now
        directory = self._directory()
        if directory is None or not self._lease.may_send_order(ORDER_TIMEOUT_S):
            return
        for service in directory.service_by_name.values():
            if service.model is None:
                continue
            try:
                self._place(service, now)
            except (
                Exception
            ) as error:  # a fault in one service must not stop the others
                self._log_failure(service, error)

    def _log_failure(self, service: Service, error: Exception) -> None:
        """Log that a service was not placed, once in a while."""
        now = self._loop.now
        logged_at = self._failure_logged_at_by_service.get(service.name, -math.inf)
        if now - logged_at < FAILURE_LOG_INTERVAL_S:
            return
        self._failure_logged_at_by_service[service.name] = now
        log_event(
            "placement_failed",
            level="ERROR",
            service=service.name,
            error=error_location(error),
        )

    def _place(self, service: Service, now: float) -> None:
        assert service.model is not None
        model = service.model
        replicas = self._replicas.usable(service.name)
        ranges = self._ranges_in_progress(now)
        reserved = self._reserve(replicas)
        if self._are_engines_registering(now, replicas):
            return
        plan = plan_layers(model, replicas, ranges, reserved)
        plan.extend(self._due_repairs(service, replicas, ranges, now))
        at_once = len(ranges) + len(plan)
        for assignment in plan:
            load_s = load_time_s(model, assignment, at_once)
            self._order(assignment, max(ORDER_RETRY_S, LOAD_MARGIN * load_s))

    def _ranges_in_progress(self, now: float) -> dict[tuple[str, int], tuple[int, int]]:
        """Return the ranges that are being loaded; forget the other orders."""
        by_name = self._replicas.by_name
        live = {replica.identity: replica for replica in by_name.values()}
        for by_identity in (self._orders_by_identity, self._count_asked_at):
            for identity in [known for known in by_identity if known not in live]:
                del by_identity[identity]
        ranges = {}
        for identity, ordered in list(self._ordered.items()):
            replica = live.get(identity)
            is_done = replica is None or replica.layers == ordered.layers
            if is_done or now >= ordered.retry_at:
                del self._ordered[identity]
                continue
            ranges[identity] = ordered.layers
        return ranges

    def _are_engines_registering(
        self, now: float, replicas: t.Sequence[Replica]
    ) -> bool:
        """Return whether the first engines of a deployment are still registering."""
        if any(replica.layers is not None for replica in replicas):
            return False
        empty_since = (self._empty_since[replica.identity] for replica in replicas)
        newest = max(empty_since, default=now)
        return now - newest < FIRST_ORDERS_DELAY_S

    def _due_repairs(
        self,
        service: Service,
        replicas: t.Sequence[Replica],
        ranges: dict[tuple[str, int], tuple[int, int]],
        now: float,
    ) -> list[LayerAssignment]:
        """Return the moves that close gaps older than ``REPAIR_AFTER_S``."""
        assert service.model is not None
        moves = plan_repairs(service.model, replicas, ranges)
        gaps = {(service.name, move.replica.data_centre) for move in moves}
        for gap in list(self._gap_since):
            if gap[0] == service.name and gap not in gaps:
                del self._gap_since[gap]
        due = []
        for move in moves:
            gap = (service.name, move.replica.data_centre)
            since = self._gap_since.setdefault(gap, now)
            if now - since >= REPAIR_AFTER_S:
                due.append(move)
        return due

    def _reserve(self, replicas: t.Sequence[Replica]) -> set[tuple[str, int]]:
        """Return the empty engines that registered within ``RESERVE_S``."""
        now = self._loop.now
        # Other services have engines as well.
        live = {r.identity: r for r in self._replicas.by_name.values()}
        for identity in list(self._empty_since):
            if identity not in live or live[identity].layers is not None:
                del self._empty_since[identity]
        reserved = set()
        for replica in replicas:
            if replica.layers is not None:
                continue
            since = self._empty_since.setdefault(replica.identity, now)
            if now - since < RESERVE_S:
                reserved.add(replica.identity)
        return reserved

    def _order(self, assignment: LayerAssignment, retry_s: float) -> None:
        """Send an order, unless the lease has run out since the plan was made."""
        replica = assignment.replica
        identity = replica.identity
        layers = (assignment.first, assignment.last)
        # An engine that holds layers has accepted orders, perhaps of another host;
        # only the count of an empty engine is certain to be 0.
        count = self._orders_by_identity.get(identity)
        if count is None and replica.layers is not None:
            self._fetch_order_count(replica)
            return
        count = count or 0
        now = self._loop.read_clock()
        if not self._lease.may_send_order(ORDER_TIMEOUT_S):
            log_event("order_unsent", level="WARNING", replica=replica.name)
            return
        self._ordered[identity] = _Ordered(layers, now + retry_s)
        self.orders += 1
        call = engine_wire.place_call(replica.name, *layers, count)
        log_event(
            "order_sent",
            replica=replica.name,
            incarnation=replica.incarnation,
            first=assignment.first,
            last=assignment.last,
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
                self._orders_by_identity[identity] = count + 1
            elif answer.status:
                # The engine is busy, or has accepted orders of another host.
                retry_at = self._loop.now + REFUSED_RETRY_S
                self._ordered[identity] = _Ordered(layers, retry_at)
                self._fetch_order_count(replica)
            elif answer.loss is not ExchangeLoss.UNKNOWN:
                self._ordered.pop(identity, None)

        upstream = Upstream(replica.address, identity)
        self._fetch(upstream, call, on_answer)

    def _fetch_order_count(self, replica: Replica) -> None:
        """Request the number of orders that an engine has accepted."""
        identity = replica.identity
        now = self._loop.now
        asked_at = self._count_asked_at.get(identity, float("-inf"))
        if now - asked_at < COUNT_INTERVAL_S:
            return
        self._count_asked_at[identity] = now

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
