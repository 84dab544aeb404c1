"""What a pool can serve, by its engines' reports and by what it has served."""

import typing as t

from .engine import EngineState
from .routing import fleet_bound

RATE_TIME_CONSTANT_S = 10.0
BOUND_INTERVAL_S = 1.0
MINIMUM_WORK_PER_S = 1.0


class Capacity:
    """An estimate of the work a second that a pool serves when it is full.

    What was served while requests waited is trusted over the engines'
    reports, which don't tell how long prompts take.
    """

    __slots__ = ("_bound", "_bound_at", "_busy_s", "_busy_since", "_work", "estimate")

    def __init__(self) -> None:
        self._busy_since: float | None = None
        self._busy_s = 0.0
        self._work = 0.0
        self._bound = 0.0
        self._bound_at = -BOUND_INTERVAL_S
        self.estimate = 0.0

    def record_served(self, work: float, is_busy: bool, now: float) -> None:
        """Note a request that ended.

        :param is_busy: whether requests waited.
        """
        since = self._busy_since
        self._busy_since = now if is_busy else None
        if not is_busy or since is None:
            # No span to count: before this end nobody was seen to wait.
            return
        span_s = min(RATE_TIME_CONSTANT_S, max(0.0, now - since))
        kept = 1 - span_s / RATE_TIME_CONSTANT_S
        self._busy_s = self._busy_s * kept + span_s
        self._work = self._work * kept + work

    def work_per_s(
        self, states: t.Callable[[], t.Iterable[EngineState]], now: float
    ) -> float:
        """Return the estimate; 0 while nothing is known to go by.

        :param states: gives the engines that may get new work.
        """
        if now - self._bound_at >= BOUND_INTERVAL_S:
            self._bound = fleet_bound(states())
            self._bound_at = now
        # The measured rate counts as far as it covers a time constant.
        trust = min(1.0, self._busy_s / RATE_TIME_CONSTANT_S)
        measured = self._work / self._busy_s if self._busy_s else 0.0
        if not self._bound:
            # No route at present says nothing of the rate once there is one.
            self.estimate = measured
            return measured
        estimate = trust * measured + (1 - trust) * self._bound
        self.estimate = max(estimate, MINIMUM_WORK_PER_S)
        return self.estimate
