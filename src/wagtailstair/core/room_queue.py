"""Requests that wait for room on engines: who is next, how long, when to come back.

The order is that of :class:`.queueing.FairQueue`: by rank, each with its minimum
share, then accounts in turn by work. A request whose expected wait is longer than it
may wait is refused at once, and told when its turn would come.
"""

import collections
import random

from .admission.shared_order import SharedOrder
from .engine import Priority
from .grants import RouteRequest
from .messages import QueueCounts
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

    __slots__ = ("_next_return_at", "_queue", "_rng", "_starts", "shared")

    def __init__(self, rng: random.Random, *, is_shared: bool = True) -> None:
        self._rng = rng
        self.shared = SharedOrder(MINIMUM_SHARES, is_enabled=is_shared)
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

    def take(self, request: str, now: float) -> None:
        """Remove a request that has started, and charge its account.

        The charge includes the work that other hosts have started for the account.
        """
        item = self._queue.get(request)
        if item is not None:
            factor = self.shared.charge_factor(item.account, now)
            self._queue.take(request, factor)

    def count(self, rank: int) -> int:
        """Return the number of waiting requests of a rank."""
        return self._queue.count(Priority(rank))

    def is_held_back(self, request: str, now: float) -> bool:
        """Return whether a waiting request must let those of other hosts go first."""
        item = self._queue.get(request)
        if item is None:
            return False
        return self.shared.is_held_back(
            item.priority, self._queue.work(item.priority), now
        )

    def holds_back_new(self, rank: int, tokens: float, now: float) -> bool:
        """Return whether a new request must let those of other hosts go first."""
        priority = _priority(rank)
        queued = self._queue.work(priority) + max(1.0, tokens)
        return self.shared.is_held_back(priority, queued, now)

    def message(self, now: float) -> QueueCounts | None:
        """Return the counters to send to the other hosts, ``None`` for none now."""
        counts = tuple(self._queue.count(priority) for priority in Priority)
        works = tuple(self._queue.work(priority) for priority in Priority)
        return self.shared.message(now, counts, works)

    def candidates(self) -> list[str]:
        """Return the next request of each rank, in the order to try them."""
        found = []
        for heads in self._queue.heads_by_class(1):
            for item in heads:
                found.append(item.request)
                break
        return found

    def record_start(
        self, now: float, work: float, rank: int = 0, account: str = ""
    ) -> None:
        """Record that a request was sent to engines."""
        self._starts.append((now, work))
        self.shared.record_start(now, _priority(rank), account, work)

    def work_ahead(self, item: RouteRequest) -> float:
        """Return the tokens of the requests that are to start before a new one."""
        return self._queue.work_ahead(item)

    def wait_s(self, item: RouteRequest, now: float) -> float:
        """Return the expected wait of a new request, 0 if no rate is known."""
        self._drop_old_starts(now)
        rate = self._rate(item.work, now)
        if not rate:
            return 0.0
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
        starts = self._expected_starts(now)
        if starts < RATE_STARTS_MIN:
            delay_s = RETURN_MIN_S + RETURN_SPREAD_S * self._rng.random()
            return max(0.05, min(delay_s, latest_s))
        self._next_return_at = max(self._next_return_at, now + RETURN_MIN_S)
        delay_s = self._next_return_at - now
        if delay_s > latest_s:
            return max(0.05, self._rng.uniform(latest_s / 2, latest_s))
        self._next_return_at += RATE_WINDOW_S / (RETURN_SHARE * starts)
        return max(0.05, delay_s)

    def _rate(self, work: float, now: float) -> float:
        """Return the tokens that start here in a second, 0 if that is not known.

        It is this host's share of what all hosts start, but at least what this host
        has started: counters of peers must not refuse what could be served.

        :param work: tokens of the new request.
        """
        rate = 0.0
        started = sum(work for _, work in self._starts)
        if len(self._starts) >= RATE_STARTS_MIN:
            rate = started / max(RATE_WINDOW_MIN_S, now - self._starts[0][0])
        peer_starts, peer_work = self.shared.peers_started(now)
        if not peer_starts or peer_starts + len(self._starts) < RATE_STARTS_MIN:
            return rate
        share = self.shared.share(self._queued_work() + work, now)
        return max(rate, share * (started + peer_work) / RATE_WINDOW_S)

    def _expected_starts(self, now: float) -> float:
        """Return the number of starts to expect here in the time of the window."""
        peer_starts, _ = self.shared.peers_started(now)
        if not peer_starts:
            return len(self._starts)
        share = self.shared.share(self._queued_work(), now)
        return max(len(self._starts), share * (len(self._starts) + peer_starts))

    def _queued_work(self) -> float:
        return sum(self._queue.work(priority) for priority in Priority)

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > RATE_WINDOW_S:
            self._starts.popleft()


def make_item(
    request: str, account: str, rank: int, tokens: float, deadline: float
) -> RouteRequest:
    """Return a request as the queue takes it; the work is its number of tokens."""
    priority = _priority(rank)
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


def _priority(rank: int) -> Priority:
    """Return the priority of a rank, the nearest one for a rank outside."""
    return Priority(max(0, min(rank, max(Priority))))
