"""The retry budget of a host, shared by all of its threads."""

import threading

from .core.retry import RetryBudget


class SharedRetryBudget(RetryBudget):
    """A thread-safe retry budget."""

    __slots__ = ("_lock",)

    def __init__(self, share: float) -> None:
        super().__init__(share)
        self._lock = threading.Lock()

    def count_attempt(self, now: float) -> None:
        """Count a first attempt."""
        with self._lock:
            super().count_attempt(now)

    def take(self, now: float) -> bool:
        """Use a retry if the budget allows it."""
        with self._lock:
            return super().take(now)
