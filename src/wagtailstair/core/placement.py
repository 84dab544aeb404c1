"""Orders to engines, from targets and the state that the engines report."""

import collections.abc
import dataclasses
import enum

from .engine import EngineState
from .targets import Target


class OrderKind(enum.Enum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """One order to one engine; ``adapter`` set: only the adapter changes."""

    engine: str
    kind: OrderKind
    model: str
    version: str
    role: str = ""
    first: int = 0
    last: int = 0
    adapter: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementLimits:
    """Times in seconds and the weight store's rate in bytes a second.

    ``hold_s``: how long an engine that serves another target has to be missed
    before it is moved; ``dwell_s``: between two loads of one engine;
    ``order_s``: after which an order without effect is given up.
    """

    hold_s: float = 30.0
    dwell_s: float = 120.0
    order_s: float = 120.0
    weights_bytes_per_s: float = 1e9


def _holds(engine: EngineState, target: Target) -> bool:
    spec = target.spec
    return (
        engine.model == spec.model
        and engine.version == spec.version
        and engine.first == target.first
        and engine.last == target.last
    )


def _is_done(order: Order, engine: EngineState) -> bool:
    if order.kind is OrderKind.ROLE:
        return engine.role == order.role
    if order.adapter:
        return (order.adapter in engine.adapters) is (order.kind is OrderKind.LOAD)
    if order.kind is OrderKind.UNLOAD:
        return engine.model != order.model
    return (engine.model, engine.version, engine.first, engine.last) == (
        order.model,
        order.version,
        order.first,
        order.last,
    )


def is_covered_without(
    engine: EngineState, engines: collections.abc.Iterable[EngineState]
) -> bool:
    """Tell whether others hold every layer that an engine holds."""
    missing = set(range(engine.first, engine.last))
    for other in engines:
        if other.name == engine.name or other.leaving:
            continue
        if (other.model, other.version) != (engine.model, engine.version):
            continue
        missing.difference_update(range(other.first, other.last))
    return not missing


def is_served(
    model: str,
    version: str,
    layers: int,
    engines: collections.abc.Iterable[EngineState],
) -> bool:
    """Tell whether engines hold every layer of a model's version."""
    missing = set(range(layers))
    for engine in engines:
        if (engine.model, engine.version) != (model, version) or engine.leaving:
            continue
        missing.difference_update(range(engine.first, engine.last))
    return not missing


@dataclasses.dataclass(slots=True)
class _Pending:
    order: Order
    incarnation: str
    since: float


class Placement:
    """The orders under way and the memory that keeps engines from moving often."""

    __slots__ = (
        "_limits",
        "_loaded_at_by_engine",
        "_missing_since_by_target",
        "_next_load_at",
        "_pending_by_engine",
    )

    def __init__(self, limits: PlacementLimits) -> None:
        self._limits = limits
        self._pending_by_engine: dict[str, _Pending] = {}
        self._loaded_at_by_engine: dict[str, float] = {}
        self._missing_since_by_target: dict[tuple[str, str, int, int], float] = {}
        self._next_load_at = 0.0

    @property
    def pending(self) -> list[Order]:
        """Return the orders whose effect has not been seen."""
        return [pending.order for pending in self._pending_by_engine.values()]

    def decide(
        self,
        targets: collections.abc.Sequence[Target],
        engines: collections.abc.Sequence[EngineState],
        now: float,
    ) -> list[Order]:
        """Return the orders to send now, at most one to an engine.

        An order counts as under way until the engine's state shows it, until
        :meth:`failed`, or for ``order_s``.
        """
        self._forget(engines, now)
        idle = [e for e in engines if e.name not in self._pending_by_engine]
        idle = [e for e in idle if not e.leaving]
        orders = self._adjust(targets, idle, now)
        # The scarcest range first: a pipeline needs each of them once.
        for target in sorted(targets, key=lambda t: self._count(t, engines)):
            order = self._load(target, targets, engines, now)
            if order is not None:
                orders.append(order)
        return orders

    def record_refusal(self, order: Order) -> None:
        """Take in that an order was refused or not sent."""
        pending = self._pending_by_engine.get(order.engine)
        if pending is not None and pending.order == order:
            del self._pending_by_engine[order.engine]

    def _forget(
        self, engines: collections.abc.Sequence[EngineState], now: float
    ) -> None:
        engine_by_name = {engine.name: engine for engine in engines}
        for name, pending in list(self._pending_by_engine.items()):
            engine = engine_by_name.get(name)
            if engine is not None and engine.incarnation == pending.incarnation:
                is_late = now - pending.since >= self._limits.order_s
                if not is_late and not _is_done(pending.order, engine):
                    continue
            del self._pending_by_engine[name]
        for name in list(self._loaded_at_by_engine):
            if name not in engine_by_name:
                del self._loaded_at_by_engine[name]

    def _give(self, order: Order, engine: EngineState, now: float) -> Order:
        self._pending_by_engine[engine.name] = _Pending(order, engine.incarnation, now)
        return order

    def _adjust(
        self,
        targets: collections.abc.Sequence[Target],
        idle: collections.abc.Sequence[EngineState],
        now: float,
    ) -> list[Order]:
        orders: list[Order] = []
        for engine in idle:
            for target in targets:
                if not _holds(engine, target):
                    continue
                order = _adjustment(engine, target)
                if order is not None:
                    orders.append(self._give(order, engine, now))
                break
        return orders

    def _load(
        self,
        target: Target,
        targets: collections.abc.Sequence[Target],
        engines: collections.abc.Sequence[EngineState],
        now: float,
    ) -> Order | None:
        spec = target.spec
        key = (spec.model, spec.version, target.first, target.last)
        if self._count(target, engines) >= target.engines:
            self._missing_since_by_target.pop(key, None)
            return None
        since = self._missing_since_by_target.setdefault(key, now)
        if now < self._next_load_at:
            return None
        engine = self._choose(
            targets, engines, now, is_held=now - since < self._limits.hold_s
        )
        if engine is None:
            return None
        cost_bytes = spec.bytes_per_layer * (target.last - target.first)
        self._next_load_at = now + cost_bytes / self._limits.weights_bytes_per_s
        self._loaded_at_by_engine[engine.name] = now
        order = Order(
            engine.name,
            OrderKind.LOAD,
            spec.model,
            spec.version,
            spec.role,
            target.first,
            target.last,
        )
        return self._give(order, engine, now)

    def _count(
        self, target: Target, engines: collections.abc.Sequence[EngineState]
    ) -> int:
        spec = target.spec
        count = 0
        for engine in engines:
            if engine.leaving:
                continue
            pending = self._pending_by_engine.get(engine.name)
            if pending is None or not _is_whole_load(pending.order):
                count += _holds(engine, target)
                continue
            order = pending.order
            count += (order.model, order.version, order.first, order.last) == (
                spec.model,
                spec.version,
                target.first,
                target.last,
            )
        return count

    def _choose(
        self,
        targets: collections.abc.Sequence[Target],
        engines: collections.abc.Sequence[EngineState],
        now: float,
        *,
        is_held: bool,
    ) -> EngineState | None:
        candidates: list[EngineState] = []
        for engine in engines:
            if engine.leaving or engine.name in self._pending_by_engine:
                continue
            if not engine.model:
                candidates.append(engine)
                continue
            if is_held or not self._may_move(engine, targets, engines, now):
                continue
            candidates.append(engine)
        # Empty engines first, then those with the least work.
        return min(
            candidates,
            key=lambda e: (bool(e.model), e.running + e.waiting, e.name),
            default=None,
        )

    def _may_move(
        self,
        engine: EngineState,
        targets: collections.abc.Sequence[Target],
        engines: collections.abc.Sequence[EngineState],
        now: float,
    ) -> bool:
        loaded_at = self._loaded_at_by_engine.get(engine.name)
        if loaded_at is not None and now - loaded_at < self._limits.dwell_s:
            return False
        for target in targets:
            if _holds(engine, target):
                return self._count(target, engines) > target.engines and (
                    is_covered_without(engine, self._settled(engines))
                )
        return self._is_superseded(engine, targets, engines)

    def _is_superseded(
        self,
        engine: EngineState,
        targets: collections.abc.Sequence[Target],
        engines: collections.abc.Sequence[EngineState],
    ) -> bool:
        settled = self._settled(engines)
        if is_covered_without(engine, settled):
            return True
        spec_by_model = {target.spec.model: target.spec for target in targets}
        spec = spec_by_model.get(engine.model)
        if spec is None:
            # No account may use the model: nothing is lost.
            return True
        if spec.version == engine.version:
            return False
        return is_served(spec.model, spec.version, spec.layers, settled)

    def _settled(
        self, engines: collections.abc.Sequence[EngineState]
    ) -> list[EngineState]:
        """Return the engines that will go on holding what they report."""
        settled: list[EngineState] = []
        for engine in engines:
            pending = self._pending_by_engine.get(engine.name)
            if pending is None or not _is_whole_load(pending.order):
                settled.append(engine)
        return settled


def _is_whole_load(order: Order) -> bool:
    return order.kind is OrderKind.LOAD and not order.adapter


def _adjustment(engine: EngineState, target: Target) -> Order | None:
    spec = target.spec
    for adapter in spec.adapters:
        if adapter in engine.adapters:
            continue
        return Order(
            engine.name, OrderKind.LOAD, spec.model, spec.version, adapter=adapter
        )
    for adapter in engine.adapters:
        if adapter in spec.adapters:
            continue
        return Order(
            engine.name, OrderKind.UNLOAD, spec.model, spec.version, adapter=adapter
        )
    if spec.role and engine.role != spec.role:
        return Order(engine.name, OrderKind.ROLE, spec.model, spec.version, spec.role)
    return None
