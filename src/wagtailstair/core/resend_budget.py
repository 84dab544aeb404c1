"""Budget of requests that are sent again, divided among all hosts.

In any window, the number of repeats at a service may be a share of its
requests plus a fixed number. Each host counts its own requests for the share
and gets an equal part of the fixed number.
"""

import collections
import dataclasses

TIME_SLICE_S = 0.5
"""Length of the time slices in which requests and repeats are counted."""

SAFETY_FACTOR = 0.9
"""Usable share of the budget, as a change of the live hosts is noticed late."""


@dataclasses.dataclass(slots=True)
class _TimeSlice:
    index: int
    requests: int = 0
    repeats: int = 0


class ResendBudget:
    """The budget of repeats at each service.

    :param ratio: repeats allowed per request.
    :param slack: repeats allowed in addition, by all hosts together.
    :param window_s: time in which both are counted.
    """

    __slots__ = ("_ratio", "_slack", "_slices_by_service", "_window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slices_by_service: dict[str, collections.deque[_TimeSlice]] = {}

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits; requests and repeats so far still count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Count the request of a caller."""
        self._current_slice(service, now).requests += 1

    def take(self, service: str, hosts: int, now: float, share: float = 1.0) -> bool:
        """Use a repeat if the budget allows it.

        :param hosts: number of hosts that share the budget.
        :param share: part of the budget that this kind of repeat may use.
        """
        current = self._current_slice(service, now)
        requests = repeats = 0
        for counted in self._slices_by_service[service]:
            requests += counted.requests
            repeats += counted.repeats
        budget = SAFETY_FACTOR * (self._ratio * requests + self._slack / max(1, hosts))
        if repeats + 1 > budget * share:
            return False
        current.repeats += 1
        return True

    def _current_slice(self, service: str, now: float) -> _TimeSlice:
        slices = self._slices_by_service.get(service)
        if slices is None:
            slices = self._slices_by_service[service] = collections.deque()
        index = int(now / TIME_SLICE_S)
        oldest = index - int(self._window_s / TIME_SLICE_S) - 1
        while slices and slices[0].index < oldest:
            slices.popleft()
        if not slices or slices[-1].index != index:
            slices.append(_TimeSlice(index))
        return slices[-1]
