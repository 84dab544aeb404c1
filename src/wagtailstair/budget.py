"""The retry budget of a whole host, for all of its threads."""

import threading

from .core.retry import RetryBudget


class SharedRetryBudget(RetryBudget):
    """A retry budget that any thread may use."""

    __slots__ = ("_lock",)

    def __init__(self, share: float) -> None:
        super().__init__(share)
        self._lock = threading.Lock()

    def count_attempt(self, now: float) -> None:
        """Note a first attempt."""
        with self._lock:
            super().count_attempt(now)

    def take(self, now: float) -> bool:
        """Use a retry, if the budget has one."""
        with self._lock:
            return super().take(now)
