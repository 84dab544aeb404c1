"""Ejection of slow or failing upstreams, with hysteresis and a cap."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class EjectionLimits:
    """When an upstream is ejected and for how long.

    ``after``: failures in a row; ``base_s``: the first ejection, doubled each
    time up to ``max_s``; ``share``: of the group, ejected at once at most;
    ``healthy_s``: time without a failure after which the doubling starts anew.
    """

    after: int = 3
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
    until: float = 0.0
    is_probing: bool = False
    probe_open: bool = False
    last_failure: float = 0.0
    slow_reports: int = 0
    is_slow: bool = False


class Ejection:
    """Counts failures of the upstreams of one group."""

    __slots__ = ("_health_by_name", "_limits")

    def __init__(self, limits: EjectionLimits) -> None:
        self._limits = limits
        self._health_by_name: dict[str, _Health] = {}

    def is_ejected(self, name: str, now: float) -> bool:
        """Tell whether an upstream gets no new work now.

        After its time an upstream gets one request, the probe; it comes back
        when that succeeds.
        """
        health = self._health_by_name.get(name)
        if health is None:
            return False
        if now < health.until or health.is_slow:
            return True
        return health.is_probing and health.probe_open

    def record_start(self, name: str) -> None:
        """Note that an upstream got a request."""
        health = self._health_by_name.get(name)
        if health is not None and health.is_probing:
            health.probe_open = True

    def record_success(self, name: str, now: float) -> None:
        """Note a request that the upstream served."""
        health = self._health_by_name.get(name)
        if health is None or now < health.until:
            return
        health.failures = 0
        health.is_probing = False
        health.probe_open = False
        is_healthy = now - health.last_failure > self._limits.healthy_s
        if is_healthy and not health.slow_reports:
            del self._health_by_name[name]

    def record_inconclusive(self, name: str) -> None:
        """Note a request that ended without telling anything of the upstream."""
        health = self._health_by_name.get(name)
        if health is not None:
            health.probe_open = False

    def record_failure(self, name: str, group_size: int, now: float) -> bool:
        """Note a failure; return whether the upstream is ejected by it."""
        health = self._health_by_name.setdefault(name, _Health())
        if now < health.until:
            return False
        if now - health.last_failure > self._limits.healthy_s:
            health.ejections = 0
        health.last_failure = now
        health.failures += 1
        if not health.is_probing and health.failures < self._limits.after:
            return False
        if not self._may_eject(group_size, now):
            health.probe_open = False
            return False
        span = self._limits.base_s * math.pow(2, min(health.ejections, 16))
        health.until = now + min(span, self._limits.max_s)
        health.ejections += 1
        health.failures = 0
        health.is_probing = True
        health.probe_open = False
        return True

    def record_slowness(
        self, name: str, ratio: float, group_size: int, now: float
    ) -> None:
        """Note how many times as slow as its kind an upstream is.

        A slow upstream gets no work, so that it can't be probed; it comes
        back when it reports that it is fast again.
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
            if now < health.until or health.is_slow:
                ejected += 1
        return ejected + 1 <= group_size * self._limits.share

    def forget(self, name: str) -> None:
        """Drop what is known of an upstream that is gone."""
        self._health_by_name.pop(name, None)

    def next_change(self, now: float) -> float | None:
        """Return when the next ejection ends."""
        later = [h.until for h in self._health_by_name.values() if h.until > now]
        return min(later, default=None)
