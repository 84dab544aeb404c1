"""Quota charges: the entry host that sends them and the owner that decides.

The *quota owner* of an account is a live host of the deployment, chosen by
rendezvous hashing. While it does not answer, the entry host decides locally
within its share of the plan.
"""

import collections
import dataclasses
import typing as t

from .messages import ERA_SHIFT
from .messages import Charge
from .messages import Charged
from .messages import Limit
from .messages import Reliable
from .messages import Settle
from .quota import Allowed
from .quota import Limited
from .quota import Quota
from .quota import QuotaLimits
from .quota import local_share

FIRST_REPEAT_S = 0.1
MAX_REPEAT_S = 0.5
ANSWER_TIMEOUT_S = 0.3  # then this host decides locally
MAX_SETTLED = 16_384  # kept, so that a late charge is not opened again

Verdict = Allowed | Limited


class OwnedQuotas:
    """The quotas that this host owns, or recently owned.

    An entry host is identified by ``host/incarnation/era``. Charges of an era
    below the sender's minimum are ignored.
    """

    def __init__(self) -> None:
        self.quota = Quota()
        self._account_by_request: dict[str, str] = {}
        self._requests_by_host: dict[str, set[str]] = {}
        self._min_era_by_sender: dict[str, int] = {}
        self._settled: collections.OrderedDict[str, None] = collections.OrderedDict()

    def charge(self, sender: str, message: Charge, now: float) -> Charged | None:
        """Decide on a charge; return None for a late copy of an ended one."""
        era = message.handle >> ERA_SHIFT
        request = f"{sender}/{message.handle}"
        if era < self._min_era_by_sender.get(sender, 0) or request in self._settled:
            return None
        host = f"{sender}/{era}"
        limits = QuotaLimits(
            message.work_per_s, message.burst_s, message.max_concurrent
        )
        decide = self.quota.adopt if message.adopt else self.quota.charge
        verdict = decide(message.account, request, host, message.work, limits, now)
        if isinstance(verdict, Limited):
            limit = Limit[verdict.limit.upper()]
            return Charged(message.handle, limit, verdict.retry_after_s)
        self._account_by_request[request] = message.account
        self._requests_by_host.setdefault(host, set()).add(request)
        return Charged(message.handle, Limit.NONE)

    def settle(self, sender: str, message: Settle, now: float) -> None:
        """Close a charge."""
        request = f"{sender}/{message.handle}"
        self._settled[request] = None
        while len(self._settled) > MAX_SETTLED:
            self._settled.popitem(last=False)
        account = self._account_by_request.pop(request, None)
        if account is None:
            return
        host = f"{sender}/{message.handle >> ERA_SHIFT}"
        self._requests_by_host[host].discard(request)
        if not self._requests_by_host[host]:
            del self._requests_by_host[host]
        self.quota.settle(account, request, message.work, now)

    def host_lost(self, sender: str, now: float) -> None:
        """Close all charges of a lost entry host."""
        prefix = f"{sender}/"
        for host in [
            host for host in self._requests_by_host if host.startswith(prefix)
        ]:
            self._close_host(host, now)

    def reset(self, sender: str, era: int, now: float) -> None:
        """Close the charges of an entry host's earlier eras."""
        if era <= self._min_era_by_sender.get(sender, 0):
            return
        self._min_era_by_sender[sender] = era
        for host in list(self._requests_by_host):
            name, _, old = host.rpartition("/")
            if name == sender and int(old) < era:
                self._close_host(host, now)

    def drop_host(self, sender: str) -> None:
        """Drop the minimum era of a replaced incarnation."""
        self._min_era_by_sender.pop(sender, None)

    def _close_host(self, host: str, now: float) -> None:
        for request in self._requests_by_host.pop(host):
            del self._account_by_request[request]
        self.quota.host_lost(host, now)


@dataclasses.dataclass(slots=True)
class _OpenCharge:
    account: str
    request: str
    work: float
    limits: QuotaLimits
    handle: int = 0
    host: str = ""
    charged_at: float = 0.0
    send_at: float = 0.0
    repeat_s: float = FIRST_REPEAT_S
    allowed: bool = False
    is_local: bool = False


class Charges:
    """The charges of this entry host's requests.

    :param find_quota_owner: returns the live host that owns an account's quota,
        or None.
    :param send_reliable: sends a message to a host until it is acknowledged.
    :param name: the name of this host.
    """

    def __init__(
        self,
        find_quota_owner: t.Callable[[str], str | None],
        send_reliable: t.Callable[[str, Reliable, float], None],
        name: str,
    ) -> None:
        self.suspects: set[str] = set()
        self.hosts = 1
        self.era_by_host: dict[str, int] = {}
        self.local_verdicts = 0
        self._name = name
        self._find_quota_owner = find_quota_owner
        self._send_reliable = send_reliable
        self._local = Quota()
        self._last_number = 0
        self._open_by_request: dict[str, _OpenCharge] = {}
        self._open_by_handle: dict[int, _OpenCharge] = {}
        self._waiting: dict[str, _OpenCharge] = {}
        self._results: list[tuple[str, Verdict]] = []
        self._sends: list[tuple[str, Charge]] = []

    def __len__(self) -> int:
        return len(self._open_by_request)

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits, now: float
    ) -> None:
        """Charge a request to the quota of its account."""
        if request in self._open_by_request:
            return
        entry = _OpenCharge(account, request, work, limits)
        self._open_by_request[request] = entry
        self._waiting[request] = entry
        self._charge_at_owner(entry, now)
        if not entry.host or entry.host in self.suspects:
            self._decide_locally(entry, now)

    def settle(self, request: str, work: float, now: float) -> None:
        """Close a request with its actual cost, or 0 if it did not run."""
        entry = self._open_by_request.pop(request, None)
        if entry is None:
            return
        self._waiting.pop(request, None)
        if entry.is_local:
            self._local.settle(entry.account, request, work, now)
        if entry.handle:
            self._settle_at_owner(entry, work, now)

    def receive_verdict(self, sender: str, message: Charged, now: float) -> None:
        """Accept a verdict of a quota owner."""
        self.suspects.discard(sender)
        entry = self._open_by_handle.get(message.handle)
        if entry is None or entry.host != sender:
            if message.limit is Limit.NONE:
                self._send_reliable(sender, Settle(message.handle, 0.0), now)
            return
        if entry.allowed:
            return
        if message.limit is Limit.NONE:
            self._allow(entry)
            return
        self._close(entry)
        limited = Limited(message.limit.name.lower(), message.retry_after_s)
        self._results.append((entry.request, limited))

    def reissue(self, host: str, now: float) -> None:
        """Charge again what a quota owner has lost."""
        for entry in list(self._open_by_request.values()):
            if entry.host == host:
                # It may have been charged after the owner lost its state.
                self._settle_at_owner(entry, 0.0, now)
                self._charge_at_owner(entry, now)

    def reassign(self, now: float) -> None:
        """Charge requests at their new owners after a change of the live hosts."""
        for entry in list(self._open_by_request.values()):
            owner = self._find_quota_owner(entry.account) or ""
            if owner == entry.host:
                continue
            if entry.handle:
                self._settle_at_owner(entry, entry.work, now)
            self._charge_at_owner(entry, now)

    def tick(self, now: float) -> None:
        """Repeat unanswered charges, and decide locally after the time-out."""
        for entry in list(self._waiting.values()):
            if now - entry.charged_at >= ANSWER_TIMEOUT_S or not entry.host:
                self.suspects.add(entry.host)
                self._decide_locally(entry, now)
                continue
            if now >= entry.send_at:
                self._send(entry, now)

    def next_wake(self) -> float | None:
        """Return when to call :meth:`tick` again."""
        wakes = [entry.send_at for entry in self._waiting.values()]
        return min(wakes, default=None)

    def take_results(self) -> list[tuple[str, Verdict]]:
        """Return the verdicts since the last call, each with its request."""
        results, self._results = self._results, []
        return results

    def take_sends(self) -> list[tuple[str, Charge]]:
        """Return the charges to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    def _charge_at_owner(self, entry: _OpenCharge, now: float) -> None:
        owner = self._find_quota_owner(entry.account)
        entry.host = owner or ""
        entry.handle = 0
        if owner is None:
            return
        self._last_number += 1
        entry.handle = self.era_by_host.get(owner, 0) << ERA_SHIFT | self._last_number
        entry.charged_at = now
        entry.repeat_s = FIRST_REPEAT_S
        self._open_by_handle[entry.handle] = entry
        if entry.allowed:
            self._send_reliable(owner, self._message(entry), now)
            return
        self._send(entry, now)

    def _message(self, entry: _OpenCharge) -> Charge:
        limits = entry.limits
        return Charge(
            entry.handle,
            entry.account,
            entry.work,
            limits.work_per_s,
            limits.burst_s,
            limits.max_concurrent,
            entry.allowed,
        )

    def _send(self, entry: _OpenCharge, now: float) -> None:
        entry.send_at = now + entry.repeat_s
        entry.repeat_s = min(MAX_REPEAT_S, entry.repeat_s * 2)
        self._sends.append((entry.host, self._message(entry)))

    def _settle_at_owner(self, entry: _OpenCharge, work: float, now: float) -> None:
        self._open_by_handle.pop(entry.handle, None)
        self._send_reliable(entry.host, Settle(entry.handle, work), now)
        entry.handle = 0
        entry.host = ""

    def _allow(self, entry: _OpenCharge) -> None:
        entry.allowed = True
        self._waiting.pop(entry.request, None)
        self._results.append((entry.request, Allowed()))

    def _close(self, entry: _OpenCharge) -> None:
        self._open_by_handle.pop(entry.handle, None)
        self._open_by_request.pop(entry.request, None)
        self._waiting.pop(entry.request, None)

    def _decide_locally(self, entry: _OpenCharge, now: float) -> None:
        self.local_verdicts += 1
        limits = local_share(entry.limits, self.hosts)
        verdict = self._local.charge(
            entry.account, entry.request, self._name, entry.work, limits, now
        )
        if isinstance(verdict, Limited):
            if entry.handle:
                self._settle_at_owner(entry, 0.0, now)
            self._close(entry)
            self._results.append((entry.request, verdict))
            return
        entry.is_local = True
        if entry.handle:
            self._settle_at_owner(entry, 0.0, now)
        self._allow(entry)
        self._charge_at_owner(entry, now)
