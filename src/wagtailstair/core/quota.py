"""Rate and concurrency limits of accounts, each decided by one host."""

import dataclasses

SWEEP_INTERVAL_S = 60.0
"""Time between removals of idle accounts; retry time under a rate of zero."""


@dataclasses.dataclass(slots=True, frozen=True)
class QuotaLimits:
    """The limits of an account's plan over all hosts.

    ``work_per_s``: rate in work units; ``burst_s``: burst, in seconds of the
    rate; ``max_concurrent``: open requests.
    """

    work_per_s: float
    burst_s: float
    max_concurrent: int


@dataclasses.dataclass(slots=True, frozen=True)
class Allowed:
    """Verdict on a request within the limits."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limited:
    """Verdict on a request over a limit.

    ``limit``: ``rate`` or ``concurrency``; ``retry_after_s``: time until a
    retry may be allowed.
    """

    limit: str
    retry_after_s: float


CONCURRENCY_RETRY_AFTER_S = 1.0
ALLOWED = Allowed()


@dataclasses.dataclass(slots=True)
class _Usage:
    level: float
    refilled_at: float
    limits: QuotaLimits
    host_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    charge_by_request: dict[str, float] = dataclasses.field(default_factory=dict)


def local_share(limits: QuotaLimits, hosts: int) -> QuotaLimits:
    """Return the limits of one host while an account's quota owner is unreachable.

    All hosts together then allow at most the plan's rate, and at most one
    request for each host above its concurrency. In a partition with ``k``
    sides, each side divides the plan among its own hosts only, so that all
    sides together allow ``k`` times the plan.
    """
    hosts = max(1, hosts)
    return QuotaLimits(
        work_per_s=limits.work_per_s / hosts,
        burst_s=limits.burst_s,
        max_concurrent=max(1, limits.max_concurrent // hosts),
    )


class Quota:
    """The usage of the accounts whose quota this host decides.

    A charge is idempotent by request: a repeated one gets the same verdict and
    costs nothing.
    """

    __slots__ = ("_next_sweep_at", "_requests_by_host", "_usage_by_account")

    def __init__(self) -> None:
        self._usage_by_account: dict[str, _Usage] = {}
        self._requests_by_host: dict[str, dict[str, str]] = {}
        self._next_sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._usage_by_account)

    def open_requests(self, account: str) -> int:
        """Return the number of open requests of an account."""
        usage = self._usage_by_account.get(account)
        return 0 if usage is None else len(usage.host_by_request)

    def _refill(self, account: str, limits: QuotaLimits, now: float) -> _Usage:
        usage = self._usage_by_account.get(account)
        burst = limits.work_per_s * limits.burst_s
        if usage is None:
            usage = _Usage(burst, now, limits)
            self._usage_by_account[account] = usage
            return usage
        span_s = max(0.0, now - usage.refilled_at)
        usage.level = min(burst, usage.level + span_s * limits.work_per_s)
        usage.refilled_at = max(usage.refilled_at, now)
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

        Work larger than the burst is allowed by a full bucket, whose level then
        falls below zero. Otherwise such a request would never be allowed.
        """
        self._drop_idle(now)
        usage = self._refill(account, limits, now)
        if request in usage.host_by_request:
            return ALLOWED
        if len(usage.host_by_request) >= limits.max_concurrent:
            return Limited("concurrency", CONCURRENCY_RETRY_AFTER_S)
        need = min(work, limits.work_per_s * limits.burst_s)
        if usage.level < need:
            if limits.work_per_s <= 0:
                return Limited("rate", SWEEP_INTERVAL_S)
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
        """Count an open request that an earlier owner or an entry host allowed."""
        usage = self._refill(account, limits, now)
        if request in usage.host_by_request:
            return
        usage.level -= work
        self._open(account, usage, request, host, work)

    def settle(
        self, account: str, request: str, actual_work: float, now: float
    ) -> None:
        """Close a request and correct its charge to its actual cost."""
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

    def close_host(self, host: str, now: float) -> None:
        """Close the requests of a dead entry host at their expected cost."""
        for request, account in list(self._requests_by_host.get(host, {}).items()):
            charge = self._usage_by_account[account].charge_by_request[request]
            self.settle(account, request, charge, now)

    def _drop_idle(self, now: float) -> None:
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        for account, usage in list(self._usage_by_account.items()):
            if usage.host_by_request:
                continue
            limits = usage.limits
            level = usage.level + (now - usage.refilled_at) * limits.work_per_s
            if level >= limits.work_per_s * limits.burst_s:
                del self._usage_by_account[account]
