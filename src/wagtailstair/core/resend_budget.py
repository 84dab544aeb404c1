"""How many requests may be sent again: a budget that all hosts share.

In any window the repeats at a service may be a share of its requests and a
fixed number more. Each host counts its own requests for the share, and takes
its part of the fixed number.
"""

import collections
import dataclasses

BUCKET_S = 0.5
"""Seconds that are counted together."""

CAUTION = 0.9
"""Share of the budget that is used: hosts come and go unseen for a while."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    index: int
    requests: int = 0
    repeats: int = 0


class ResendBudget:
    """The budget of repeats, per service.

    :param ratio: repeats over requests; ``slack``: repeats beside these;
        ``window_s``: the span in which both are counted.
    """

    __slots__ = ("_buckets_by_service", "_ratio", "_slack", "_window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._buckets_by_service: dict[str, collections.deque[_Bucket]] = {}

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the budget; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._bucket(service, now).requests += 1

    def take(self, service: str, hosts: int, now: float, share: float = 1.0) -> bool:
        """Use a repeat, if the budget has one.

        :param hosts: how many hosts share the budget.
        :param share: of the budget that this kind of repeat may use.
        """
        bucket = self._bucket(service, now)
        requests = repeats = 0
        for entry in self._buckets_by_service[service]:
            requests += entry.requests
            repeats += entry.repeats
        budget = CAUTION * (self._ratio * requests + self._slack / max(1, hosts))
        if repeats + 1 > budget * share:
            return False
        bucket.repeats += 1
        return True

    def _bucket(self, service: str, now: float) -> _Bucket:
        buckets = self._buckets_by_service.get(service)
        if buckets is None:
            buckets = self._buckets_by_service[service] = collections.deque()
        index = int(now / BUCKET_S)
        oldest = index - int(self._window_s / BUCKET_S) - 1
        while buckets and buckets[0].index < oldest:
            buckets.popleft()
        if not buckets or buckets[-1].index != index:
            buckets.append(_Bucket(index))
        return buckets[-1]
