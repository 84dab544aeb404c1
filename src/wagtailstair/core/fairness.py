"""Start-time fair queueing among the accounts of one class of requests."""

import collections
import dataclasses
import heapq
import itertools
import typing as t

from .grants import RouteRequest

MAX_IDLE_ACCOUNTS = 4_096
"""Accounts without waiting items whose start tag is kept, so that they do not get
more than their share when they return."""


@dataclasses.dataclass(slots=True)
class _Flow:
    """The waiting items of one account in one class.

    ``start``: the start tag of the next item, in work per weight; ``entry``:
    the sequence number of the account's heap entry, -1 without one.
    """

    account: str
    start: float
    entry: int = -1
    work: float = 0.0
    by_request: collections.OrderedDict[str, RouteRequest] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class LongestAccount:
    """Finds the account with the most items in constant time."""

    __slots__ = ("_accounts_by_count", "_count_by_account", "_most")

    def __init__(self) -> None:
        self._count_by_account: dict[str, int] = {}
        self._accounts_by_count: dict[int, dict[str, None]] = {}
        self._most = 0

    def count(self, account: str) -> int:
        """Return the number of items of an account."""
        return self._count_by_account.get(account, 0)

    def add(self, account: str, change: int) -> None:
        """Change the number of items of an account."""
        old = self.count(account)
        new = old + change
        if old:
            bucket = self._accounts_by_count[old]
            del bucket[account]
            if not bucket:
                del self._accounts_by_count[old]
        if new:
            self._count_by_account[account] = new
            self._accounts_by_count.setdefault(new, {})[account] = None
        else:
            del self._count_by_account[account]
        self._most = max(self._most, new)
        while self._most and self._most not in self._accounts_by_count:
            self._most -= 1

    def longest(self) -> str:
        """Return the account with the most items."""
        return next(iter(self._accounts_by_count[self._most]))


class FairClass:
    """Start-time fair queueing among the accounts of one class."""

    __slots__ = (
        "_flow_by_account",
        "_heap",
        "_idle",
        "_longest",
        "_sequence",
        "_virtual_time",
        "count",
        "work",
    )

    def __init__(self) -> None:
        self._flow_by_account: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._idle: list[tuple[float, str]] = []
        self._longest = LongestAccount()
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self.count = 0
        self.work = 0.0

    def _schedule(self, flow: _Flow) -> None:
        flow.start = max(flow.start, self._virtual_time)
        flow.entry = next(self._sequence)
        heapq.heappush(self._heap, (flow.start, flow.entry, flow.account))
        if len(self._heap) > 64 + 2 * len(self._flow_by_account):
            self._heap = [entry for entry in self._heap if self._is_current(entry)]
            heapq.heapify(self._heap)

    def _is_current(self, entry: tuple[float, int, str]) -> bool:
        flow = self._flow_by_account.get(entry[2])
        return flow is not None and flow.entry == entry[1]

    def _deactivate(self, flow: _Flow) -> None:
        flow.entry = -1
        if not self.count:
            # The busy period has ended, so no account is ahead of another.
            self._flow_by_account.clear()
            self._heap.clear()
            self._idle.clear()
            return
        if flow.start <= self._virtual_time:
            del self._flow_by_account[flow.account]
            return
        self._add_idle(flow)

    def _add_idle(self, flow: _Flow) -> None:
        heapq.heappush(self._idle, (flow.start, flow.account))
        while len(self._idle) > MAX_IDLE_ACCOUNTS:
            start, account = heapq.heappop(self._idle)
            idle = self._flow_by_account.get(account)
            if idle is None or idle.by_request or idle.start != start:
                continue
            del self._flow_by_account[account]

    def _drop_idle(self) -> None:
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, account = heapq.heappop(self._idle)
            flow = self._flow_by_account.get(account)
            if flow is None or flow.by_request:
                continue
            if flow.start <= self._virtual_time:
                del self._flow_by_account[account]
                continue
            heapq.heappush(self._idle, (flow.start, account))

    def push(self, item: RouteRequest) -> None:
        """Add an item."""
        flow = self._flow_by_account.get(item.account)
        if flow is None:
            flow = _Flow(item.account, self._virtual_time)
            self._flow_by_account[item.account] = flow
        flow.by_request[item.request] = item
        flow.work += item.work
        self.count += 1
        self.work += item.work
        self._longest.add(item.account, 1)
        if flow.entry < 0:
            self._schedule(flow)

    def discard(self, item: RouteRequest) -> None:
        """Remove an item without serving it."""
        flow = self._flow_by_account[item.account]
        del flow.by_request[item.request]
        flow.work -= item.work
        self.count -= 1
        self.work -= item.work
        self._longest.add(item.account, -1)
        if not flow.by_request:
            self._deactivate(flow)

    def take(self, item: RouteRequest, factor: float = 1.0) -> None:
        """Remove an item to serve it, and charge its account.

        :param factor: by which the work that is charged is multiplied.
        """
        flow = self._flow_by_account[item.account]
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += factor * item.work / item.weight
        flow.entry = -1
        self.discard(item)
        if flow.by_request:
            self._schedule(flow)
        self._drop_idle()

    def correct_start_tag(self, account: str, change: float) -> None:
        """Add ``change``, in work per weight, to the start tag of an account."""
        if not self.count:
            return
        flow = self._flow_by_account.get(account)
        if flow is None:
            if change <= 0:
                return
            flow = _Flow(account, self._virtual_time)
            self._flow_by_account[account] = flow
        flow.start = max(self._virtual_time, flow.start + change)
        if flow.by_request:
            self._schedule(flow)
            return
        self._add_idle(flow)

    def heads(self, count: int) -> t.Iterator[RouteRequest]:
        """Iterate over the next item of each of the first ``count`` accounts.

        The current item may be passed to :meth:`take`, but the iteration must
        end then.
        """
        entries: list[tuple[float, int, str]] = []
        try:
            while self._heap and len(entries) < count:
                entry = heapq.heappop(self._heap)
                if not self._is_current(entry):
                    continue
                entries.append(entry)
                flow = self._flow_by_account[entry[2]]
                yield next(iter(flow.by_request.values()))
        finally:
            for entry in entries:
                if self._is_current(entry):
                    heapq.heappush(self._heap, entry)

    def count_of(self, account: str) -> int:
        """Return the number of waiting items of an account."""
        return self._longest.count(account)

    def newest_of_longest(self) -> RouteRequest:
        """Return the newest item of the account with the most waiting items."""
        flow = self._flow_by_account[self._longest.longest()]
        return next(reversed(flow.by_request.values()))

    def work_ahead(self, item: RouteRequest) -> float:
        """Estimate the work of this class that would be served before a new item."""
        flow = self._flow_by_account.get(item.account)
        own = 0.0
        if flow is not None:
            own = flow.work + max(0.0, flow.start - self._virtual_time) * item.weight
        accounts = max(1, len(self._flow_by_account))
        return min(self.work, own * accounts + item.work * (accounts - 1))

    def flows(self) -> int:
        """Return the number of accounts with a flow."""
        return len(self._flow_by_account)
