"""Rate and concurrency of accounts, held by one home host for each account."""

import dataclasses

IDLE_S = 60.0
"""Time after which a full bucket without open requests is forgotten."""


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaLimits:
    """What a plan allows an account over all hosts.

    ``work_per_s``: the rate in work units, with ``burst_s`` seconds of it at
    once; ``max_concurrent``: open requests.
    """

    work_per_s: float
    burst_s: float
    max_concurrent: int


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """The request is within the limits."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limited:
    """The request is over a limit.

    ``limit``: ``rate`` or ``concurrency``; ``retry_after_s``: when there may
    be room again.
    """

    limit: str
    retry_after_s: float


CONCURRENCY_RETRY_AFTER_S = 1.0
ALLOWED = Allowed()


@dataclasses.dataclass(slots=True)
class _Usage:
    level: float
    at: float
    limits: QuotaLimits
    host_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    charge_by_request: dict[str, float] = dataclasses.field(default_factory=dict)


def local_share(limits: QuotaLimits, hosts: int) -> QuotaLimits:
    """Return what one host allows while an account's home can't be reached.

    All hosts together then allow at most the plan's rate, and at most one
    request for each host above its concurrency. Hosts that count fewer hosts
    than there are, on ``k`` sides of a partition, allow ``k`` times the plan.
    """
    hosts = max(1, hosts)
    return QuotaLimits(
        work_per_s=limits.work_per_s / hosts,
        burst_s=limits.burst_s,
        max_concurrent=max(1, limits.max_concurrent // hosts),
    )


class Quota:
    """The usage of the accounts whose home this host is.

    A charge is idempotent by request: a repeated one gets the same answer and
    costs nothing.
    """

    __slots__ = ("_requests_by_host", "_sweep_at", "_usage_by_account")

    def __init__(self) -> None:
        self._usage_by_account: dict[str, _Usage] = {}
        self._requests_by_host: dict[str, dict[str, str]] = {}
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._usage_by_account)

    def open_requests(self, account: str) -> int:
        """Return how many requests of an account are open."""
        usage = self._usage_by_account.get(account)
        return 0 if usage is None else len(usage.host_by_request)

    def _refill(self, account: str, limits: QuotaLimits, now: float) -> _Usage:
        usage = self._usage_by_account.get(account)
        burst = limits.work_per_s * limits.burst_s
        if usage is None:
            usage = _Usage(burst, now, limits)
            self._usage_by_account[account] = usage
            return usage
        span_s = max(0.0, now - usage.at)
        usage.level = min(burst, usage.level + span_s * limits.work_per_s)
        usage.at = max(usage.at, now)
        usage.limits = limits
        return usage

    def charge(
        self,
        account: str,
        request: str,
        host: str,
        work: float,
        limits: QuotaLimits,
        now: float,
    ) -> Allowed | Limited:
        """Open a request and charge its expected work.

        Work that is larger than the burst passes on a full bucket, which then
        goes below zero, so that no request is refused for ever.
        """
        self._sweep(now)
        usage = self._refill(account, limits, now)
        if request in usage.host_by_request:
            return ALLOWED
        if len(usage.host_by_request) >= limits.max_concurrent:
            return Limited("concurrency", CONCURRENCY_RETRY_AFTER_S)
        need = min(work, limits.work_per_s * limits.burst_s)
        if usage.level < need:
            if limits.work_per_s <= 0:
                return Limited("rate", IDLE_S)
            return Limited("rate", (need - usage.level) / limits.work_per_s)
        usage.level -= work
        self._open(account, usage, request, host, work)
        return ALLOWED

    def _open(
        self, account: str, usage: _Usage, request: str, host: str, work: float
    ) -> None:
        usage.host_by_request[request] = host
        usage.charge_by_request[request] = work
        self._requests_by_host.setdefault(host, {})[request] = account

    def adopt(
        self,
        account: str,
        request: str,
        host: str,
        work: float,
        limits: QuotaLimits,
        now: float,
    ) -> None:
        """Count an open request that an earlier home, or a host alone, allowed."""
        usage = self._refill(account, limits, now)
        if request in usage.host_by_request:
            return
        usage.level -= work
        self._open(account, usage, request, host, work)

    def settle(
        self, account: str, request: str, actual_work: float, now: float
    ) -> None:
        """Close a request and correct its charge to what it really cost."""
        usage = self._usage_by_account.get(account)
        if usage is None or request not in usage.host_by_request:
            return
        self._refill(account, usage.limits, now)
        host = usage.host_by_request.pop(request)
        usage.level += usage.charge_by_request.pop(request) - actual_work
        requests = self._requests_by_host[host]
        del requests[request]
        if not requests:
            del self._requests_by_host[host]

    def host_lost(self, host: str, now: float) -> None:
        """Close the requests of a dead host at their expected cost."""
        for request, account in list(self._requests_by_host.get(host, {}).items()):
            charge = self._usage_by_account[account].charge_by_request[request]
            self.settle(account, request, charge, now)

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + IDLE_S
        for account, usage in list(self._usage_by_account.items()):
            if usage.host_by_request:
                continue
            limits = usage.limits
            level = usage.level + (now - usage.at) * limits.work_per_s
            if level >= limits.work_per_s * limits.burst_s:
                del self._usage_by_account[account]
