"""A bounded fair queue: priorities with minimum shares, accounts by work."""

import typing as t

from .engine import Priority
from .fairness import FairClass
from .grants import RouteRequest

ClassKey = tuple[Priority, bool]


class FairQueue:
    """A bounded queue of wants.

    :param limit: items that may wait at once.
    :param minimum_shares: share of the granted work, and of the room, that
        each priority keeps in a flood of another; they add up to 1 or less.
    """

    __slots__ = (
        "_credit",
        "_limit",
        "_queue_by_class",
        "_room",
        "_shares",
        "_want_by_request",
    )

    def __init__(self, limit: int, minimum_shares: tuple[float, float, float]) -> None:
        self._limit = limit
        self._shares = minimum_shares
        self._room = [int(limit * share) for share in minimum_shares]
        self._credit = [0.0, 0.0, 0.0]
        self._want_by_request: dict[str, RouteRequest] = {}
        self._queue_by_class: dict[ClassKey, FairClass] = {}
        for priority in Priority:
            for entitled in (True, False):
                self._queue_by_class[priority, entitled] = FairClass()

    def __len__(self) -> int:
        return len(self._want_by_request)

    def __contains__(self, request: str) -> bool:
        return request in self._want_by_request

    def get(self, request: str) -> RouteRequest | None:
        """Return the waiting item of a request."""
        return self._want_by_request.get(request)

    def wants(self) -> t.Iterator[RouteRequest]:
        """Iterate over all waiting items, oldest first."""
        return iter(self._want_by_request.values())

    def count(self, priority: Priority) -> int:
        """Return how many items of a priority wait."""
        entitled = self._queue_by_class[priority, True].count
        return entitled + self._queue_by_class[priority, False].count

    def work(self, priority: Priority) -> float:
        """Return the work of a priority that waits."""
        entitled = self._queue_by_class[priority, True].work
        return entitled + self._queue_by_class[priority, False].work

    def flows(self) -> int:
        """Return how many accounts are remembered, over all classes."""
        return sum(queue.flows() for queue in self._queue_by_class.values())

    def _class_of(self, want: RouteRequest) -> FairClass:
        return self._queue_by_class[want.priority, want.entitled]

    def _has_room(self, priority: Priority) -> bool:
        if self.count(priority) < self._room[priority]:
            return True
        shared = 0
        for other in Priority:
            shared += max(0, self.count(other) - self._room[other])
        return shared < self._limit - sum(self._room)

    def _victim_for(self, want: RouteRequest) -> RouteRequest | None:
        for priority in reversed(Priority):
            if (
                priority > want.priority
                and self.count(priority) <= self._room[priority]
            ):
                continue
            for entitled in (False, True):
                queue = self._queue_by_class[priority, entitled]
                if not queue.count:
                    continue
                victim = queue.newest_of_longest()
                if (priority, not entitled) > (want.priority, not want.entitled):
                    return victim
                if (priority, entitled) != (want.priority, want.entitled):
                    return None
                more = queue.count_of(victim.account) > queue.count_of(want.account) + 1
                return victim if more else None
        return None

    def push(self, want: RouteRequest) -> tuple[bool, RouteRequest | None]:
        """Add an item; return whether it was taken and which it pushed out."""
        victim = None
        if not self._has_room(want.priority):
            victim = self._victim_for(want)
            if victim is None:
                return False, None
            self.discard(victim.request)
        self._want_by_request[want.request] = want
        self._class_of(want).push(want)
        return True, victim

    def discard(self, request: str) -> RouteRequest | None:
        """Remove an item that is not served."""
        want = self._want_by_request.pop(request, None)
        if want is not None:
            self._class_of(want).discard(want)
        return want

    def is_under_minimum(self, priority: Priority) -> bool:
        """Tell whether a waiting priority has had less than its share."""
        return self._credit[priority] > 0 and self.count(priority) > 0

    def _priorities(self) -> list[Priority]:
        under = [priority for priority in Priority if self.is_under_minimum(priority)]
        rest = [priority for priority in Priority if priority not in under]
        return under + rest

    def heads_by_class(self, count: int) -> t.Iterator[t.Iterator[RouteRequest]]:
        """Iterate over the classes to serve next, best first.

        Each gives its next items in order, of ``count`` accounts at most.
        """
        for priority in self._priorities():
            for entitled in (True, False):
                queue = self._queue_by_class[priority, entitled]
                if queue.count:
                    yield queue.heads(count)

    def first(self) -> RouteRequest | None:
        """Return what to serve next."""
        for heads in self.heads_by_class(1):
            for want in heads:
                return want
        return None

    def take(self, request: str) -> RouteRequest:
        """Remove an item that is served now and charge it."""
        want = self._want_by_request.pop(request)
        self._charge(want.priority, want.work)
        self._class_of(want).take(want)
        return want

    def _charge(self, served: Priority, work: float) -> None:
        for priority in Priority:
            if not self.count(priority):
                self._credit[priority] = min(0.0, self._credit[priority])
                continue
            self._credit[priority] += self._shares[priority] * work
        # What a priority had beyond its minimum is not held against it later.
        self._credit[served] = max(self._credit[served] - work, -abs(work))

    def settle(self, want: RouteRequest, actual_work: float) -> None:
        """Correct the charge of a served item to what it really cost."""
        more = actual_work - want.work
        if more:
            self._charge(want.priority, more)
        self._class_of(want).settle(want.account, more / want.weight)

    def work_ahead(self, want: RouteRequest) -> float:
        """Estimate the work that is served before a new item."""
        ahead = self._class_of(want).work_ahead(want)
        if not want.entitled:
            ahead += self._queue_by_class[want.priority, True].work
        for priority in Priority:
            if priority < want.priority:
                ahead += self.work(priority)
        return ahead
