"""When a failed attempt may be made again: budget, jitter, deadline."""

import random

DEFAULT_SHARE = 0.1
DEFAULT_RESERVE = 3.0
DEFAULT_TIME_CONSTANT_S = 10.0


class RetryBudget:
    """A bound on the retries of a whole host.

    Each first attempt earns ``share`` of a retry; what is earned is worth
    less with age, so that a quiet hour does not pay for a storm.

    :param share: retries over first attempts, at most.
    :param reserve: retries that are allowed without traffic.
    """

    __slots__ = ("_earned", "_earned_at", "_reserve", "_share", "_time_constant_s")

    def __init__(
        self,
        share: float = DEFAULT_SHARE,
        reserve: float = DEFAULT_RESERVE,
        time_constant_s: float = DEFAULT_TIME_CONSTANT_S,
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._time_constant_s = time_constant_s
        self._earned = reserve
        self._earned_at = 0.0

    def _age(self, now: float) -> None:
        span_s = max(0.0, now - self._earned_at)
        kept = max(0.0, 1 - span_s / self._time_constant_s)
        # Age pulls the balance to the reserve from either side.
        self._earned = self._reserve + (self._earned - self._reserve) * kept
        self._earned_at = max(self._earned_at, now)

    def count_attempt(self, now: float) -> None:
        """Note a first attempt."""
        self._age(now)
        self._earned += self._share

    def take(self, now: float) -> bool:
        """Use a retry, if the budget has one."""
        self._age(now)
        if self._earned < 1:
            return False
        self._earned -= 1
        return True


def backoff_s(
    attempt: int, rng: random.Random, *, base_s: float = 0.05, cap_s: float = 2.0
) -> float:
    """Return the pause before a retry, with full jitter.

    :param attempt: retries made before, from 0.
    """
    return rng.uniform(0, min(cap_s, base_s * 2 ** min(attempt, 32)))


def retry_pause_s(
    attempt: int,
    now: float,
    deadline: float,
    budget: RetryBudget,
    rng: random.Random,
    *,
    least_s: float = 0.0,
) -> float | None:
    """Return the pause before a retry, or ``None`` if there may be none.

    :param least_s: the time that a retried call takes at the least.
    """
    pause_s = backoff_s(attempt, rng)
    if now + pause_s + least_s >= deadline:
        return None
    if not budget.take(now):
        return None
    return pause_s
