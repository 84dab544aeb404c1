"""Which streams may begin while engines still have prompts to read.

An engine reads prompts one after the other. A less urgent stream that begins behind
a long backlog delays the first events of the urgent ones that follow it.
"""

import collections
import typing as t

from ..room_queue import MINIMUM_SHARES

BACKLOG_SHARES = (0.4, 0.2)
"""Shares of a stream's goal that the backlog may take, for streams one rank below the
most urgent one and for all others: the rest of an urgent goal is left for prompts
that other hosts send before they learn of this one."""

SHARE_WINDOW_S = 10.0
"""Seconds over which the shares of the ranks are measured: at a few starts a second,
the smallest share is one or two starts."""


PACING_S = 1.0
"""Seconds after a backlog that was too long in which a host takes at most its part of
the next one: hosts learn of each other's prompts a quarter of a second late, and all
would send their queued streams at once when the backlog is gone."""


class Backlog(t.NamedTuple):
    """The seconds to read the longest backlog on a path.

    ``total_s``: of the prompts of all hosts, as far as known; ``own_s``: of this
    host's.
    """

    total_s: float
    own_s: float


class PromptBacklogGate:
    """Holds back less urgent streams, down to their minimum share of started work."""

    __slots__ = ("_long_at", "_starts", "_work_by_rank")

    def __init__(self) -> None:
        # Last time at which a stream met a backlog that was too long.
        self._long_at = float("-inf")
        # Time, rank and work of the streams that began within the window.
        self._starts: collections.deque[tuple[float, int, float]] = collections.deque()
        self._work_by_rank = [0.0] * len(MINIMUM_SHARES)

    def record_start(self, now: float, rank: int, work: float) -> None:
        """Record that a stream has begun; its work is its number of tokens."""
        rank = _limit_rank(rank)
        self._starts.append((now, rank, work))
        self._work_by_rank[rank] += work
        self._drop_old_starts(now)

    def may_begin(
        self,
        rank: int,
        urgent_rank: int | None,
        goal_s: float,
        backlog: Backlog,
        hosts: int,
        now: float,
    ) -> bool:
        """Return whether a stream may begin behind a backlog.

        :param urgent_rank: the most urgent rank of the service, ``None`` if it has
            one rank only.
        :param goal_s: target in seconds for the first event, 0 for none.
        :param hosts: number of hosts that share the engines, with this one.
        """
        if urgent_rank is None or rank <= urgent_rank or goal_s <= 0:
            return True
        step = min(rank - urgent_rank, len(BACKLOG_SHARES))
        limit_s = BACKLOG_SHARES[step - 1] * goal_s
        if backlog.total_s >= limit_s:
            self._long_at = now
        elif now - self._long_at > PACING_S or backlog.own_s * hosts < limit_s:
            return True
        return self._is_under_minimum(_limit_rank(rank), now)

    def _is_under_minimum(self, rank: int, now: float) -> bool:
        self._drop_old_starts(now)
        started = sum(self._work_by_rank)
        return self._work_by_rank[rank] <= MINIMUM_SHARES[rank] * started

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > SHARE_WINDOW_S:
            _, rank, work = self._starts.popleft()
            self._work_by_rank[rank] -= work
        if not self._starts:
            # Sums of floating-point numbers don't return to exactly zero.
            self._work_by_rank = [0.0] * len(MINIMUM_SHARES)


def _limit_rank(rank: int) -> int:
    return max(0, min(rank, len(MINIMUM_SHARES) - 1))
