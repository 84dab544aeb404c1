"""How many lines of each event may be written, and how many were left out."""

import dataclasses

BURST_FACTOR = 4.0
"""Lines of an event that may come at once, over those of a second."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    left_out: int = 0


class LogBudget:
    """A token bucket for each event.

    :param lines_per_s: lines of one event a second, in the long run.
    """

    __slots__ = ("_bucket_by_event", "_lines_per_s")

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._bucket_by_event: dict[str, _Bucket] = {}

    def take(self, event: str, now: float) -> int | None:
        """Return how many lines were left out before this one.

        ``None`` means that this one is left out, too.
        """
        burst = self._lines_per_s * BURST_FACTOR
        bucket = self._bucket_by_event.get(event)
        if bucket is None:
            bucket = self._bucket_by_event[event] = _Bucket(burst, now)
        span_s = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(burst, bucket.tokens + span_s * self._lines_per_s)
        bucket.filled_at = now
        if bucket.tokens < 1:
            bucket.left_out += 1
            return None
        bucket.tokens -= 1
        left_out, bucket.left_out = bucket.left_out, 0
        return left_out
