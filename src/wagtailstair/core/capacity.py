"""Estimate of a pool's rate of work, from engine reports and served requests."""

import typing as t

from .engine import EngineState
from .routing import fleet_bound

RATE_TIME_CONSTANT_S = 10.0
"""Time constant of the moving average of the measured rate."""

BOUND_INTERVAL_S = 1.0
"""Seconds between two computations of the bound from engine reports."""

MINIMUM_WORK_PER_S = 1.0


class Capacity:
    """Estimates the work a second that a pool serves under full load.

    The rate measured while requests waited takes precedence over the bound from
    the engines' reports, which leaves out the time to read prompts.
    """

    __slots__ = (
        "_bound",
        "_bound_updated_at",
        "_busy_s",
        "_busy_since",
        "_work",
        "estimate",
    )

    def __init__(self) -> None:
        self._busy_since: float | None = None
        self._busy_s = 0.0
        self._work = 0.0
        self._bound = 0.0
        self._bound_updated_at = -BOUND_INTERVAL_S
        self.estimate = 0.0

    def record_served(self, work: float, is_busy: bool, now: float) -> None:
        """Record the work of a request that ended.

        :param is_busy: whether other requests are waiting.
        """
        since = self._busy_since
        self._busy_since = now if is_busy else None
        if not is_busy or since is None:
            # The time since the previous end is busy only if requests waited at both.
            return
        span_s = min(RATE_TIME_CONSTANT_S, max(0.0, now - since))
        decay = 1 - span_s / RATE_TIME_CONSTANT_S
        self._busy_s = self._busy_s * decay + span_s
        self._work = self._work * decay + work

    def work_per_s(
        self, states: t.Callable[[], t.Iterable[EngineState]], now: float
    ) -> float:
        """Return the estimate; 0 without engine reports and measurements.

        :param states: returns the engines that may get new requests.
        """
        if now - self._bound_updated_at >= BOUND_INTERVAL_S:
            self._bound = fleet_bound(states())
            self._bound_updated_at = now
        # The weight of the measured rate grows with the busy time it covers.
        measured_weight = min(1.0, self._busy_s / RATE_TIME_CONSTANT_S)
        measured = self._work / self._busy_s if self._busy_s else 0.0
        if not self._bound:
            # No route exists now; the measured rate holds again once one returns.
            self.estimate = measured
            return measured
        estimate = measured_weight * measured + (1 - measured_weight) * self._bound
        self.estimate = max(estimate, MINIMUM_WORK_PER_S)
        return self.estimate
