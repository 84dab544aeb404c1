"""A bounded queue with minimum shares of priorities and fair shares of accounts."""

import typing as t

from .engine import Priority
from .fairness import FairClass
from .grants import RouteRequest

ClassKey = tuple[Priority, bool]


class FairQueue:
    """A bounded queue of the requests that wait for a route.

    :param limit: items that may wait at once.
    :param minimum_shares: share of the served work and of the places in the
        queue that each priority keeps under a flood of another; the shares
        add up to 1 or less.
    """

    __slots__ = (
        "_credit",
        "_item_by_request",
        "_limit",
        "_queue_by_class",
        "_reserved",
        "_shares",
    )

    def __init__(self, limit: int, minimum_shares: tuple[float, float, float]) -> None:
        self._limit = limit
        self._shares = minimum_shares
        self._reserved = [int(limit * share) for share in minimum_shares]
        self._credit = [0.0, 0.0, 0.0]
        self._item_by_request: dict[str, RouteRequest] = {}
        self._queue_by_class: dict[ClassKey, FairClass] = {}
        for priority in Priority:
            for entitled in (True, False):
                self._queue_by_class[priority, entitled] = FairClass()

    def __len__(self) -> int:
        return len(self._item_by_request)

    def __contains__(self, request: str) -> bool:
        return request in self._item_by_request

    def get(self, request: str) -> RouteRequest | None:
        """Return the waiting item of a request."""
        return self._item_by_request.get(request)

    def items(self) -> t.Iterator[RouteRequest]:
        """Iterate over all waiting items, oldest first."""
        return iter(self._item_by_request.values())

    def count(self, priority: Priority) -> int:
        """Return the number of waiting items of a priority."""
        entitled = self._queue_by_class[priority, True].count
        return entitled + self._queue_by_class[priority, False].count

    def work(self, priority: Priority) -> float:
        """Return the work of the waiting items of a priority."""
        entitled = self._queue_by_class[priority, True].work
        return entitled + self._queue_by_class[priority, False].work

    def flows(self) -> int:
        """Return the number of accounts with a flow, over all classes."""
        return sum(queue.flows() for queue in self._queue_by_class.values())

    def _class_of(self, item: RouteRequest) -> FairClass:
        return self._queue_by_class[item.priority, item.entitled]

    def _has_place(self, priority: Priority) -> bool:
        if self.count(priority) < self._reserved[priority]:
            return True
        shared = 0
        for other in Priority:
            shared += max(0, self.count(other) - self._reserved[other])
        return shared < self._limit - sum(self._reserved)

    def _find_victim(self, item: RouteRequest) -> RouteRequest | None:
        for priority in reversed(Priority):
            if (
                priority > item.priority
                and self.count(priority) <= self._reserved[priority]
            ):
                continue
            for entitled in (False, True):
                queue = self._queue_by_class[priority, entitled]
                if not queue.count:
                    continue
                victim = queue.newest_of_longest()
                if (priority, not entitled) > (item.priority, not item.entitled):
                    return victim
                if (priority, entitled) != (item.priority, item.entitled):
                    return None
                has_more = (
                    queue.count_of(victim.account) > queue.count_of(item.account) + 1
                )
                return victim if has_more else None
        return None

    def push(self, item: RouteRequest) -> tuple[bool, RouteRequest | None]:
        """Add an item; return whether it was added and which item it displaced."""
        victim = None
        if not self._has_place(item.priority):
            victim = self._find_victim(item)
            if victim is None:
                return False, None
            self.discard(victim.request)
        self._item_by_request[item.request] = item
        self._class_of(item).push(item)
        return True, victim

    def discard(self, request: str) -> RouteRequest | None:
        """Remove an item without serving it."""
        item = self._item_by_request.pop(request, None)
        if item is not None:
            self._class_of(item).discard(item)
        return item

    def is_under_minimum(self, priority: Priority) -> bool:
        """Return whether a waiting priority has received less than its share."""
        return self._credit[priority] > 0 and self.count(priority) > 0

    def _priorities(self) -> list[Priority]:
        under = [priority for priority in Priority if self.is_under_minimum(priority)]
        rest = [priority for priority in Priority if priority not in under]
        return under + rest

    def heads_by_class(self, count: int) -> t.Iterator[t.Iterator[RouteRequest]]:
        """Iterate over the classes in the order to serve them.

        Each yields the next items of at most ``count`` accounts, in order.
        """
        for priority in self._priorities():
            for entitled in (True, False):
                queue = self._queue_by_class[priority, entitled]
                if queue.count:
                    yield queue.heads(count)

    def first(self) -> RouteRequest | None:
        """Return the item to serve next."""
        for heads in self.heads_by_class(1):
            for item in heads:
                return item
        return None

    def take(self, request: str, factor: float = 1.0) -> RouteRequest:
        """Remove an item to serve it, and charge it.

        :param factor: by which the work that its account is charged is multiplied.
        """
        item = self._item_by_request.pop(request)
        self._charge(item.priority, item.work)
        self._class_of(item).take(item, factor)
        return item

    def _charge(self, served: Priority, work: float) -> None:
        for priority in Priority:
            if not self.count(priority):
                self._credit[priority] = min(0.0, self._credit[priority])
                continue
            self._credit[priority] += self._shares[priority] * work
        # Bounded below, so that service beyond the minimum does not count against
        # the priority later.
        self._credit[served] = max(self._credit[served] - work, -abs(work))

    def correct_charge(self, item: RouteRequest, actual_work: float) -> None:
        """Correct the charge of a served item to its actual cost."""
        excess = actual_work - item.work
        if excess:
            self._charge(item.priority, excess)
        self._class_of(item).correct_start_tag(item.account, excess / item.weight)

    def work_ahead_in_class(self, item: RouteRequest) -> float:
        """Estimate the work of its class that would be served before a new item."""
        return self._class_of(item).work_ahead(item)

    def work_ahead(self, item: RouteRequest) -> float:
        """Estimate the work that would be served before a new item."""
        ahead = self.work_ahead_in_class(item)
        if not item.entitled:
            ahead += self._queue_by_class[item.priority, True].work
        for priority in Priority:
            if priority < item.priority:
                ahead += self.work(priority)
        return ahead
