"""Deadlines of request epochs, as a heap."""

import heapq
import typing as t

MAX_OUTDATED = 64
"""Outdated entries that are kept before the heap is cleaned."""

Epoch = tuple[str, int]


class Timers:
    """A heap of deadlines that skips those of ended epochs.

    :param is_live: returns whether the deadline of an epoch still matters.
    """

    __slots__ = ("_heap", "_is_live", "_limit")

    def __init__(self, is_live: t.Callable[[str, int], bool]) -> None:
        self._heap: list[tuple[float, str, int]] = []
        self._is_live = is_live
        self._limit = MAX_OUTDATED

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, when: float, request: str, epoch: int) -> None:
        """Add a deadline."""
        heapq.heappush(self._heap, (when, request, epoch))
        if len(self._heap) <= self._limit:
            return
        self._heap = [entry for entry in self._heap if self._is_live(*entry[1:])]
        heapq.heapify(self._heap)
        self._limit = MAX_OUTDATED + 2 * len(self._heap)

    def due(self, now: float) -> t.Iterator[Epoch]:
        """Pop the due epochs that are still live, the earliest first."""
        while self._heap and self._heap[0][0] <= now:
            _, request, epoch = heapq.heappop(self._heap)
            if self._is_live(request, epoch):
                yield request, epoch

    def next(self) -> float | None:
        """Return the earliest deadline, whose epoch may have ended."""
        return self._heap[0][0] if self._heap else None
