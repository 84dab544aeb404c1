"""Rate limit of log lines, by event."""

import dataclasses

BURST_S = 4.0
"""Lines of an event that may be written at once, in seconds of its rate."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    left_out: int = 0


class LogBudget:
    """Token buckets that limit the log lines of each event.

    :param lines_per_s: sustained rate of lines of one event.
    """

    __slots__ = ("_bucket_by_event", "_lines_per_s")

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._bucket_by_event: dict[str, _Bucket] = {}

    def take(self, event: str, now: float) -> int | None:
        """Return the number of lines left out since the last written one.

        ``None`` means that this line must be left out, too.
        """
        burst = self._lines_per_s * BURST_S
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
