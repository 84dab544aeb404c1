"""Budget of requests that are sent again, divided among all hosts.

In any window, the number of repeats at a service may be a share of its
requests plus a fixed number. Each host counts its own requests for the share
and gets an equal part of the fixed number.

With tens of hosts such a part is a few repeats, and faults don't hit all hosts alike.
So a host that has used its part borrows from what the counts of the other hosts, which
are up to some seconds old, show to be unused.
"""

import collections
import dataclasses
import typing as t
import zlib

TIME_SLICE_S = 0.5
"""Length of the time slices in which requests and repeats are counted."""

SAFETY_FACTOR = 0.9
"""Usable share of the budget, as a change of the live hosts is noticed late."""

LOAN_LIMIT = 0.5
"""Share of the budget in use from which nothing is borrowed: the rest is kept for hosts
that have not used their own parts, and for repeats that aren't reported yet."""

LOAN_INTERVAL_S = 2.0
LOAN_SHARE = 0.5
"""Share of what is free that all hosts together may borrow in an interval. The counts
of other data centres are up to so old."""


class Counts(t.NamedTuple):
    """Requests and repeats at a service within the window, at so many hosts."""

    requests: int = 0
    repeats: int = 0
    hosts: int = 1


UNREPORTED = Counts(hosts=0)
"""Counts of peers that have reported nothing: nothing is borrowed from them."""


def counts_key(service: str) -> int:
    """Return the key of a service's counts in the loads that hosts report."""
    return zlib.crc32(f"resends {service}".encode())


@dataclasses.dataclass(slots=True)
class _Loan:
    """Repeats that a host may borrow, as of a time."""

    counted_at: float
    repeats: float = 1.0


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

    __slots__ = (
        "_loan_by_service",
        "_ratio",
        "_slack",
        "_slices_by_service",
        "_window_s",
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slices_by_service: dict[str, collections.deque[_TimeSlice]] = {}
        self._loan_by_service: dict[str, _Loan] = {}

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits; requests and repeats so far still count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, service: str, now: float) -> None:
        """Count the request of a caller."""
        self._current_slice(service, now).requests += 1

    def counts(self, service: str, now: float) -> Counts:
        """Return this host's requests and repeats within the window."""
        self._current_slice(service, now)
        requests = repeats = 0
        for counted in self._slices_by_service[service]:
            requests += counted.requests
            repeats += counted.repeats
        return Counts(requests, repeats)

    def own_part(self, service: str, hosts: int, now: float) -> float:
        """Return the repeats of the window that this host may use without a loan."""
        requests = self.counts(service, now).requests
        return SAFETY_FACTOR * (self._ratio * requests + self._slack / max(1, hosts))

    def take(
        self,
        service: str,
        hosts: int,
        now: float,
        share: float = 1.0,
        peers: Counts = UNREPORTED,
    ) -> bool:
        """Use a repeat if the budget allows it.

        :param hosts: number of hosts that share the budget.
        :param share: part of the budget that this kind of repeat may use.
        :param peers: what the other hosts have reported, together.
        """
        hosts = max(1, hosts)
        own = self.counts(service, now)
        if own.repeats + 1 > self.own_part(service, hosts, now) * share:
            free = self._free(own, peers, hosts) * share
            if not self._borrow(service, LOAN_SHARE * free / hosts, now):
                return False
        self._current_slice(service, now).repeats += 1
        return True

    def _free(self, own: Counts, peers: Counts, hosts: int) -> float:
        """Return how many repeats of the hosts that have reported may be borrowed."""
        requests = own.requests + peers.requests
        slack = self._slack * min(1.0, (1 + peers.hosts) / hosts)
        budget = SAFETY_FACTOR * (self._ratio * requests + slack)
        return LOAN_LIMIT * budget - own.repeats - peers.repeats

    def _borrow(self, service: str, most: float, now: float) -> bool:
        """Borrow a repeat, at most so many in each interval."""
        loan = self._loan_by_service.get(service)
        if loan is None:
            loan = self._loan_by_service[service] = _Loan(now)
        if most <= 0:
            return False
        earned = most * max(0.0, now - loan.counted_at) / LOAN_INTERVAL_S
        loan.repeats = min(loan.repeats + earned, max(1.0, most))
        loan.counted_at = now
        if loan.repeats < 1:
            return False
        loan.repeats -= 1
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
