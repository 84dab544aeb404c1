"""Ejection of slow or failing upstreams, with hysteresis and a limit per group."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class EjectionLimits:
    """When an upstream is ejected and for how long.

    ``consecutive_failures``: consecutive failures that eject; ``base_s``: length of the first
    ejection, doubled each time up to ``max_s``; ``share``: largest share of the
    group that may be ejected at a time; ``healthy_s``: time without a failure that
    resets the doubling; ``slow_ratio``, ``fast_ratio``: time relative to similar
    upstreams from which one counts as slow, and as fast again; ``slow_reports``:
    slow reports that eject.
    """

    consecutive_failures: int = 3
    base_s: float = 5.0
    max_s: float = 60.0
    share: float = 0.5
    healthy_s: float = 60.0
    slow_ratio: float = 4.0
    fast_ratio: float = 2.0
    slow_reports: int = 5


@dataclasses.dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    is_probing: bool = False
    probe_open: bool = False
    last_failure: float = 0.0
    slow_reports: int = 0
    is_slow: bool = False


class Ejection:
    """Tracks the health of the upstreams of one group and ejects bad ones."""

    __slots__ = ("_health_by_name", "_limits")

    def __init__(self, limits: EjectionLimits) -> None:
        self._limits = limits
        self._health_by_name: dict[str, _Health] = {}

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an upstream gets no requests now.

        After an ejection an upstream gets a single request as a probe; it is
        readmitted when the probe succeeds.
        """
        health = self._health_by_name.get(name)
        if health is None:
            return False
        if now < health.ejected_until or health.is_slow:
            return True
        return health.is_probing and health.probe_open

    def record_start(self, name: str) -> None:
        """Record that a request was sent to an upstream."""
        health = self._health_by_name.get(name)
        if health is not None and health.is_probing:
            health.probe_open = True

    def record_success(self, name: str, now: float) -> None:
        """Record a request that an upstream served."""
        health = self._health_by_name.get(name)
        if health is None or now < health.ejected_until:
            return
        health.failures = 0
        health.is_probing = False
        health.probe_open = False
        is_healthy = now - health.last_failure > self._limits.healthy_s
        if is_healthy and not health.slow_reports:
            del self._health_by_name[name]

    def record_inconclusive(self, name: str) -> None:
        """Record a request whose end says nothing about the upstream's health."""
        health = self._health_by_name.get(name)
        if health is not None:
            health.probe_open = False

    def record_failure(self, name: str, group_size: int, now: float) -> bool:
        """Record a failure; return whether it ejects the upstream."""
        health = self._health_by_name.setdefault(name, _Health())
        if now < health.ejected_until:
            return False
        if now - health.last_failure > self._limits.healthy_s:
            health.ejections = 0
        health.last_failure = now
        health.failures += 1
        if (
            not health.is_probing
            and health.failures < self._limits.consecutive_failures
        ):
            return False
        if not self._may_eject(group_size, now):
            health.probe_open = False
            return False
        span_s = self._limits.base_s * math.pow(2, min(health.ejections, 16))
        health.ejected_until = now + min(span_s, self._limits.max_s)
        health.ejections += 1
        health.failures = 0
        health.is_probing = True
        health.probe_open = False
        return True

    def record_slowness(
        self, name: str, ratio: float, group_size: int, now: float
    ) -> None:
        """Record an upstream's time relative to similar ones.

        A slow upstream gets no requests and thus no probe; it is readmitted when
        it reports that it is fast again.

        :param ratio: 2.0 means twice as slow as similar upstreams.
        """
        health = self._health_by_name.get(name)
        if ratio < self._limits.slow_ratio and health is None:
            return
        if health is None:
            health = self._health_by_name[name] = _Health()
        if ratio <= self._limits.fast_ratio:
            health.slow_reports = 0
            health.is_slow = False
            return
        if ratio < self._limits.slow_ratio:
            return
        health.slow_reports += 1
        is_due = health.slow_reports >= self._limits.slow_reports
        if is_due and not health.is_slow and self._may_eject(group_size, now):
            health.is_slow = True

    def _may_eject(self, group_size: int, now: float) -> bool:
        ejected = 0
        for health in self._health_by_name.values():
            if now < health.ejected_until or health.is_slow:
                ejected += 1
        return ejected + 1 <= group_size * self._limits.share

    def drop(self, name: str) -> None:
        """Drop the health of an upstream that is gone."""
        self._health_by_name.pop(name, None)

    def next_change(self, now: float) -> float | None:
        """Return when the next ejection ends, ``None`` without any."""
        ends = [
            h.ejected_until
            for h in self._health_by_name.values()
            if h.ejected_until > now
        ]
        return min(ends, default=None)
