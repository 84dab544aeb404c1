"""Retries of failed attempts: budget, backoff with jitter, deadline."""

import random

DEFAULT_SHARE = 0.1
DEFAULT_RESERVE = 3.0
DEFAULT_TIME_CONSTANT_S = 10.0


class RetryBudget:
    """A limit on the retries of one host.

    Each first attempt earns ``share`` of a retry. The balance decays to the
    reserve, so that earlier traffic does not pay for a later retry storm.

    :param share: retries allowed per first attempt.
    :param reserve: retries that are allowed without traffic.
    :param time_constant_s: time in which the balance decays.
    """

    __slots__ = ("_balance", "_decayed_at", "_reserve", "_share", "_time_constant_s")

    def __init__(
        self,
        share: float = DEFAULT_SHARE,
        reserve: float = DEFAULT_RESERVE,
        time_constant_s: float = DEFAULT_TIME_CONSTANT_S,
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._time_constant_s = time_constant_s
        self._balance = reserve
        self._decayed_at = 0.0

    def _decay(self, now: float) -> None:
        span_s = max(0.0, now - self._decayed_at)
        weight = max(0.0, 1 - span_s / self._time_constant_s)
        # The balance decays to the reserve from above and from below.
        self._balance = self._reserve + (self._balance - self._reserve) * weight
        self._decayed_at = max(self._decayed_at, now)

    def count_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._decay(now)
        self._balance += self._share

    def take(self, now: float) -> bool:
        """Use a retry if the budget allows it."""
        self._decay(now)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def backoff_s(
    attempt: int, rng: random.Random, *, base_s: float = 0.05, cap_s: float = 2.0
) -> float:
    """Return the pause before a retry: exponential backoff with full jitter.

    :param attempt: number of retries so far.
    """
    return rng.uniform(0, min(cap_s, base_s * 2 ** min(attempt, 32)))


def retry_pause_s(
    attempt: int,
    now: float,
    deadline: float,
    budget: RetryBudget,
    rng: random.Random,
    *,
    min_call_s: float = 0.0,
) -> float | None:
    """Return the pause before a retry, or ``None`` if no retry is allowed.

    :param min_call_s: shortest time that the retried call takes.
    """
    pause_s = backoff_s(attempt, rng)
    if now + pause_s + min_call_s >= deadline:
        return None
    if not budget.take(now):
        return None
    return pause_s
