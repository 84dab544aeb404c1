"""Which data centre's pool an entry host asks first."""

import random
import typing as t

from .engine import Priority

ESTIMATE_DECAY_S = 5.0
"""Time constant in which a measured wait loses its weight."""
MARGIN_S = 0.02
"""Wait that the own data centre may have more than another."""
REFUSED_WAIT_S = 2.0
"""Wait that a refusal counts for."""

Queue = tuple[str, Priority]


class WaitEstimates:
    """The waits for a grant that this host has met in each data centre.

    They come from the host's own requests, so that no message is needed; what
    is not measured again is forgotten, and the data centre is tried anew.
    """

    __slots__ = ("_at_by_queue", "_pending_by_queue", "_queue_by_request", "_wait_s")

    def __init__(self) -> None:
        self._wait_s: dict[Queue, float] = {}
        self._at_by_queue: dict[Queue, float] = {}
        self._pending_by_queue: dict[Queue, dict[str, float]] = {}
        self._queue_by_request: dict[str, Queue] = {}

    def submitted(
        self, request: str, data_centre: str, priority: Priority, now: float
    ) -> None:
        """Note that a request waits in a data centre."""
        self.withdrawn(request)
        queue = (data_centre, priority)
        self._queue_by_request[request] = queue
        self._pending_by_queue.setdefault(queue, {})[request] = now

    def granted(self, request: str, now: float) -> None:
        """Note that a request got its route."""
        queue = self._queue_by_request.get(request)
        if queue is not None:
            wait_s = now - self._pending_by_queue[queue][request]
            self._learn(queue, wait_s, now)
        self.withdrawn(request)

    def refused(self, request: str, now: float) -> None:
        """Note that a request got no route."""
        queue = self._queue_by_request.get(request)
        if queue is not None:
            self._learn(queue, REFUSED_WAIT_S, now)
        self.withdrawn(request)

    def withdrawn(self, request: str) -> None:
        """Note that a request does not wait any more."""
        queue = self._queue_by_request.pop(request, None)
        if queue is not None:
            del self._pending_by_queue[queue][request]

    def _learn(self, queue: Queue, wait_s: float, now: float) -> None:
        self._wait_s[queue] = (self._remembered(queue, now) + wait_s) / 2
        self._at_by_queue[queue] = now

    def _remembered(self, queue: Queue, now: float) -> float:
        age_s = now - self._at_by_queue.get(queue, now)
        kept = max(0.0, 1 - age_s / ESTIMATE_DECAY_S)
        return self._wait_s.get(queue, 0.0) * kept

    def wait_s(self, data_centre: str, priority: Priority, now: float) -> float:
        """Return the wait to expect."""
        queue = (data_centre, priority)
        wait_s = self._remembered(queue, now)
        pending = self._pending_by_queue.get(queue)
        if pending:
            wait_s = max(wait_s, now - next(iter(pending.values())))
        return wait_s

    def order(
        self,
        home: str,
        data_centres: t.Iterable[str],
        priority: Priority,
        now: float,
        rng: random.Random,
    ) -> tuple[str, ...]:
        """Return the data centres to ask, the best first.

        Besides the own one, the first choice is of one other at random, so
        that hosts with the same news do not all go to the same place.
        """
        others = [name for name in data_centres if name != home]
        rng.shuffle(others)
        if home not in data_centres:
            return tuple(others)
        if not others:
            return (home,)
        own_s = self.wait_s(home, priority, now)
        if own_s > self.wait_s(others[0], priority, now) + MARGIN_S:
            return (others[0], home, *others[1:])
        return (home, *others)
