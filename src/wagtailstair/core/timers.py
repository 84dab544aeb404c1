"""Instants at which something is due for an epoch of a request."""

import heapq
import typing as t

SLACK = 64
"""Entries that are no longer needed, kept before the heap is cleaned."""

Epoch = tuple[str, int]


class Timers:
    """A heap of instants that leaves out what is over.

    :param is_live: whether an epoch still waits for its instant.
    """

    __slots__ = ("_heap", "_is_live", "_limit")

    def __init__(self, is_live: t.Callable[[str, int], bool]) -> None:
        self._heap: list[tuple[float, str, int]] = []
        self._is_live = is_live
        self._limit = SLACK

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, when: float, request: str, epoch: int) -> None:
        """Set an instant."""
        heapq.heappush(self._heap, (when, request, epoch))
        if len(self._heap) <= self._limit:
            return
        self._heap = [entry for entry in self._heap if self._is_live(*entry[1:])]
        heapq.heapify(self._heap)
        self._limit = SLACK + 2 * len(self._heap)

    def due(self, now: float) -> t.Iterator[Epoch]:
        """Take out what is due and still live, the earliest first."""
        while self._heap and self._heap[0][0] <= now:
            _, request, epoch = heapq.heappop(self._heap)
            if self._is_live(request, epoch):
                yield request, epoch

    def next(self) -> float | None:
        """Return the next instant; what it was set for may be over."""
        return self._heap[0][0] if self._heap else None
