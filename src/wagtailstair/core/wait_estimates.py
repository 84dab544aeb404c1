"""Choice of the data centre whose pool an entry host asks first."""

import random
import typing as t

from .engine import Priority

ESTIMATE_DECAY_S = 5.0
"""Time in which a measured wait decays to zero."""
OWN_PREFERENCE_S = 0.02
"""Extra wait for which this host still prefers its own data centre."""
REFUSAL_WAIT_S = 2.0
"""Wait that a refusal counts as."""

Queue = tuple[str, Priority]


class WaitEstimates:
    """Estimates of the wait for a grant in each data centre.

    They are measured on this host's own requests, so that no messages are
    needed. An estimate without new measurements decays, so that the data
    centre is tried again.
    """

    __slots__ = (
        "_measured_at_by_queue",
        "_pending_by_queue",
        "_queue_by_request",
        "_wait_s",
    )

    def __init__(self) -> None:
        self._wait_s: dict[Queue, float] = {}
        self._measured_at_by_queue: dict[Queue, float] = {}
        self._pending_by_queue: dict[Queue, dict[str, float]] = {}
        self._queue_by_request: dict[str, Queue] = {}

    def record_submission(
        self, request: str, data_centre: str, priority: Priority, now: float
    ) -> None:
        """Record that a request waits in a data centre."""
        self.record_withdrawal(request)
        queue = (data_centre, priority)
        self._queue_by_request[request] = queue
        self._pending_by_queue.setdefault(queue, {})[request] = now

    def record_grant(self, request: str, now: float) -> None:
        """Record that a request was granted a route."""
        queue = self._queue_by_request.get(request)
        if queue is not None:
            wait_s = now - self._pending_by_queue[queue][request]
            self._update_estimate(queue, wait_s, now)
        self.record_withdrawal(request)

    def record_refusal(self, request: str, now: float) -> None:
        """Record that a request was refused a route."""
        queue = self._queue_by_request.get(request)
        if queue is not None:
            self._update_estimate(queue, REFUSAL_WAIT_S, now)
        self.record_withdrawal(request)

    def record_withdrawal(self, request: str) -> None:
        """Record that a request does not wait any more."""
        queue = self._queue_by_request.pop(request, None)
        if queue is not None:
            del self._pending_by_queue[queue][request]

    def _update_estimate(self, queue: Queue, wait_s: float, now: float) -> None:
        self._wait_s[queue] = (self._decayed_wait_s(queue, now) + wait_s) / 2
        self._measured_at_by_queue[queue] = now

    def _decayed_wait_s(self, queue: Queue, now: float) -> float:
        age_s = now - self._measured_at_by_queue.get(queue, now)
        weight = max(0.0, 1 - age_s / ESTIMATE_DECAY_S)
        return self._wait_s.get(queue, 0.0) * weight

    def wait_s(self, data_centre: str, priority: Priority, now: float) -> float:
        """Return the expected wait."""
        queue = (data_centre, priority)
        wait_s = self._decayed_wait_s(queue, now)
        pending = self._pending_by_queue.get(queue)
        if pending:
            wait_s = max(wait_s, now - next(iter(pending.values())))
        return wait_s

    def order(
        self,
        own_data_centre: str,
        data_centres: t.Iterable[str],
        priority: Priority,
        now: float,
        rng: random.Random,
    ) -> tuple[str, ...]:
        """Return the data centres to ask, the best first.

        The own data centre is compared with one other, chosen at random, so
        that hosts with the same estimates do not all ask the same one.
        """
        others = [name for name in data_centres if name != own_data_centre]
        rng.shuffle(others)
        if own_data_centre not in data_centres:
            return tuple(others)
        if not others:
            return (own_data_centre,)
        own_s = self.wait_s(own_data_centre, priority, now)
        if own_s > self.wait_s(others[0], priority, now) + OWN_PREFERENCE_S:
            return (others[0], own_data_centre, *others[1:])
        return (own_data_centre, *others)
