"""Choice of the upstream of a plain service with the least expected delay."""

import dataclasses
import random
import typing as t

from .ejection import Ejection
from .ejection import EjectionLimits
from .replicas import Replica
from .replicas import ReplicaSet

LATENCY_SMOOTHING = 0.2
"""Weight of a new measurement in the moving average of the latency."""

INITIAL_LATENCY_S = 0.03
"""Assumed latency of an upstream that has not been measured."""

REMOTE_COST_FACTOR = 1.15
"""Factor for an upstream of another data centre, as traffic to it is priced."""

EJECTION_LIMITS = EjectionLimits(
    consecutive_failures=3, base_s=1.5, max_s=6.0, share=0.67, healthy_s=10.0
)


@dataclasses.dataclass(slots=True)
class _Load:
    running: int = 0
    latency_s: float = INITIAL_LATENCY_S


class UpstreamBalancer:
    """Load, latency and ejection of the upstreams of all plain services."""

    __slots__ = ("_data_centre", "_ejection", "_load_by_identity", "_replicas", "_rng")

    def __init__(
        self, replicas: ReplicaSet, data_centre: str, rng: random.Random
    ) -> None:
        self._replicas = replicas
        self._data_centre = data_centre
        self._rng = rng
        self._ejection = Ejection(EJECTION_LIMITS)
        self._load_by_identity: dict[tuple[str, int], _Load] = {}

    def choose(
        self, service: str, tried: t.Container[tuple[str, int]], now: float
    ) -> Replica | None:
        """Return the upstream to send to, or ``None`` if all have been tried."""
        best: Replica | None = None
        best_cost = float("inf")
        for replica in self._replicas.usable(service):
            if replica.identity in tried:
                continue
            load = self._load(replica)
            cost = load.latency_s * (1 + load.running / max(1, replica.slots))
            cost *= 1 + 0.1 * self._rng.random()
            if replica.data_centre != self._data_centre:
                cost *= REMOTE_COST_FACTOR
            if self._ejection.is_ejected(replica.name, now):
                cost += 1e3
            if cost < best_cost:
                best, best_cost = replica, cost
        return best

    def record_start(self, replica: Replica) -> None:
        """Record the start of a request."""
        self._load(replica).running += 1
        self._ejection.record_start(replica.name)

    def record_end(
        self, replica: Replica, verdict: str, latency_s: float, now: float
    ) -> None:
        """Record the end of a request.

        :param verdict: ``succeeded``, ``failed``, ``refused`` or ``abandoned``.
        """
        load = self._load(replica)
        load.running = max(0, load.running - 1)
        if verdict == "succeeded":
            load.latency_s += LATENCY_SMOOTHING * (latency_s - load.latency_s)
            self._ejection.record_success(replica.name, now)
        elif verdict == "failed":
            load.latency_s += LATENCY_SMOOTHING * max(0.0, latency_s - load.latency_s)
            group_size = len(self._replicas.usable(replica.service))
            self._ejection.record_failure(replica.name, group_size, now)
        else:
            self._ejection.record_inconclusive(replica.name)

    def drop_gone(self, live: t.Container[tuple[str, int]]) -> None:
        """Drop the upstreams that are not live any more."""
        for identity in list(self._load_by_identity):
            if identity not in live:
                del self._load_by_identity[identity]
                self._ejection.drop(identity[0])

    def _load(self, replica: Replica) -> _Load:
        load = self._load_by_identity.get(replica.identity)
        if load is None:
            load = self._load_by_identity[replica.identity] = _Load()
        return load
