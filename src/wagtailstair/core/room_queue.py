"""Requests that wait for room on engines: who is next, how long, when to come back.

The order is that of :class:`.queueing.FairQueue`: by rank, each with its minimum
share, then accounts in turn by work. A request whose expected wait is longer than it
may wait is refused at once, and told when its turn would come.
"""

import collections
import random

from .engine import Priority
from .grants import RouteRequest
from .queueing import FairQueue

QUEUE_LENGTH = 256
"""Requests that may wait on a host: more than a small host starts in the longest
wait."""

MINIMUM_SHARES = (0.5, 0.25, 0.05)
"""Share of the started work that each rank keeps under a flood of another."""

RATE_WINDOW_S = 2.0
"""Seconds over which the rate of started work is measured."""

RATE_WINDOW_MIN_S = 0.5
"""Shortest such time, after the first start."""

RATE_STARTS_MIN = 8
"""Starts from which their rate is used: all hosts share the room, and from fewer
starts a host can't tell how fast room comes."""

RETURN_SHARE = 0.5
"""Share of the started requests that is left to callers who come back."""

RETURN_MIN_S = 0.3
"""Shortest time after which a refused caller is asked to come back, in seconds."""

RETURN_SPREAD_S = 0.3
"""Seconds over which callers are spread where no rate is known."""

RETURN_MAX_S = 4.0
"""Longest such time, in seconds: room that comes later helps few callers."""

RETURN_DEADLINE_SHARE = 0.25
"""Largest share of a request's remaining time that such a time may take."""


class RoomQueue:
    """The waiting requests of one host and the rate at which requests start."""

    __slots__ = ("_next_return_at", "_queue", "_rng", "_starts")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue = FairQueue(QUEUE_LENGTH, MINIMUM_SHARES)
        # Time and work of the requests that started lately.
        self._starts: collections.deque[tuple[float, float]] = collections.deque()
        # The first time that no refused caller was asked to come back at.
        self._next_return_at = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    def has_waiting(self, rank: int) -> bool:
        """Return whether a request of a rank, or a more urgent one, waits."""
        for priority in Priority:
            if priority <= rank and self._queue.count(priority):
                return True
        return False

    def push(self, item: RouteRequest) -> tuple[bool, str | None]:
        """Add a request; return whether it was added and which one it displaced."""
        is_added, displaced = self._queue.push(item)
        return is_added, None if displaced is None else displaced.request

    def discard(self, request: str) -> None:
        """Remove a request that no longer waits."""
        self._queue.discard(request)

    def take(self, request: str) -> None:
        """Remove a request that has started, and charge its account."""
        self._queue.take(request)

    def candidates(self) -> list[str]:
        """Return the next request of each rank, in the order to try them."""
        found = []
        for heads in self._queue.heads_by_class(1):
            for item in heads:
                found.append(item.request)
                break
        return found

    def record_start(self, now: float, work: float) -> None:
        """Record that a request was sent to engines."""
        self._starts.append((now, work))

    def wait_s(self, item: RouteRequest, now: float) -> float:
        """Return the expected wait of a new request, 0 if no rate is known."""
        self._drop_old_starts(now)
        if len(self._starts) < RATE_STARTS_MIN:
            return 0.0
        started = sum(work for _, work in self._starts)
        rate = started / max(RATE_WINDOW_MIN_S, now - self._starts[0][0])
        kept = MINIMUM_SHARES[item.priority] * rate
        return min(
            self._queue.work_ahead(item) / rate,
            self._queue.work_ahead_in_class(item) / kept,
        )

    def return_s(self, now: float, remaining_s: float) -> float:
        """Return after how many seconds a refused caller should come back.

        Callers are spread over the time in which as many requests start.
        """
        latest_s = min(RETURN_MAX_S, remaining_s * RETURN_DEADLINE_SHARE)
        self._drop_old_starts(now)
        if len(self._starts) < RATE_STARTS_MIN:
            delay_s = RETURN_MIN_S + RETURN_SPREAD_S * self._rng.random()
            return max(0.05, min(delay_s, latest_s))
        self._next_return_at = max(self._next_return_at, now + RETURN_MIN_S)
        delay_s = self._next_return_at - now
        if delay_s > latest_s:
            return max(0.05, self._rng.uniform(latest_s / 2, latest_s))
        self._next_return_at += RATE_WINDOW_S / (RETURN_SHARE * len(self._starts))
        return max(0.05, delay_s)

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > RATE_WINDOW_S:
            self._starts.popleft()


def make_item(
    request: str, account: str, rank: int, tokens: float, deadline: float
) -> RouteRequest:
    """Return a request as the queue takes it; the work is its number of tokens."""
    priority = Priority(max(0, min(rank, max(Priority))))
    return RouteRequest(
        request=request,
        epoch=0,
        host="",
        account=account,
        priority=priority,
        weight=1.0,
        work=max(1.0, tokens),
        prompt_tokens=0,
        max_tokens=0,
        deadline=deadline,
    )
