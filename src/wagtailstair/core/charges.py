"""Charges of accounts: the entry host that asks and the home that decides.

An account's home is a live host of the deployment, by rendezvous hashing. When
it does not answer, the entry host decides alone within its share of the plan.
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
LAST_REPEAT_S = 0.5
PATIENCE_S = 0.3  # without an answer, before this host decides alone
MEMORY_OF_SETTLED = 16_384  # so that a late charge is not opened again

Verdict = Allowed | Limited


class OwnedQuotas:
    """The accounts whose home this host is, or lately was."""

    def __init__(self) -> None:
        self.quota = Quota()
        self._account_by_request: dict[str, str] = {}
        self._requests_by_host: dict[str, set[str]] = {}
        self._floor_by_sender: dict[str, int] = {}
        self._settled: collections.OrderedDict[str, None] = collections.OrderedDict()

    def charge(self, sender: str, message: Charge, now: float) -> Charged | None:
        """Decide on a charge; None for a late one that is over."""
        era = message.handle >> ERA_SHIFT
        request = f"{sender}/{message.handle}"
        if era < self._floor_by_sender.get(sender, 0) or request in self._settled:
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
        while len(self._settled) > MEMORY_OF_SETTLED:
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
        """Close all charges of an entry host that is gone."""
        prefix = f"{sender}/"
        for host in [
            host for host in self._requests_by_host if host.startswith(prefix)
        ]:
            self._lose(host, now)

    def reset(self, sender: str, era: int, now: float) -> None:
        """Close the charges of an entry host's earlier eras."""
        if era <= self._floor_by_sender.get(sender, 0):
            return
        self._floor_by_sender[sender] = era
        for host in list(self._requests_by_host):
            name, _, old = host.rpartition("/")
            if name == sender and int(old) < era:
                self._lose(host, now)

    def forget(self, sender: str) -> None:
        """Drop the floor of an incarnation that is replaced."""
        self._floor_by_sender.pop(sender, None)

    def _lose(self, host: str, now: float) -> None:
        for request in self._requests_by_host.pop(host):
            del self._account_by_request[request]
        self.quota.host_lost(host, now)


@dataclasses.dataclass(slots=True)
class _Open:
    account: str
    request: str
    work: float
    limits: QuotaLimits
    handle: int = 0
    host: str = ""
    asked_at: float = 0.0
    send_at: float = 0.0
    repeat_s: float = FIRST_REPEAT_S
    allowed: bool = False
    is_local: bool = False


class Charges:
    """The charged requests of this entry host.

    :param find_home: the live host that is an account's home, or None.
    :param tell: sends a numbered message to a host.
    """

    def __init__(
        self,
        find_home: t.Callable[[str], str | None],
        tell: t.Callable[[str, Reliable, float], None],
        name: str,
    ) -> None:
        self.suspects: set[str] = set()
        self.hosts = 1
        self.era_by_host: dict[str, int] = {}
        self.local_verdicts = 0
        self._name = name
        self._find_quota_owner = find_home
        self._tell = tell
        self._local = Quota()
        self._number = 0
        self._open_by_request: dict[str, _Open] = {}
        self._open_by_handle: dict[int, _Open] = {}
        self._waiting: dict[str, _Open] = {}
        self._results: list[tuple[str, Verdict]] = []
        self._sends: list[tuple[str, Charge]] = []

    def __len__(self) -> int:
        return len(self._open_by_request)

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits, now: float
    ) -> None:
        """Ask for leave to run a request."""
        if request in self._open_by_request:
            return
        known = _Open(account, request, work, limits)
        self._open_by_request[request] = known
        self._waiting[request] = known
        self._ask(known, now)
        if not known.host or known.host in self.suspects:
            self._decide_here(known, now)

    def settle(self, request: str, work: float, now: float) -> None:
        """Close a request with what it really cost, or 0 if it did not run."""
        known = self._open_by_request.pop(request, None)
        if known is None:
            return
        self._waiting.pop(request, None)
        if known.is_local:
            self._local.settle(known.account, request, work, now)
        if known.handle:
            self._tear(known, work, now)

    def charged(self, sender: str, message: Charged, now: float) -> None:
        """Take a verdict."""
        self.suspects.discard(sender)
        known = self._open_by_handle.get(message.handle)
        if known is None or known.host != sender:
            if message.limit is Limit.NONE:
                self._tell(sender, Settle(message.handle, 0.0), now)
            return
        if known.allowed:
            return
        if message.limit is Limit.NONE:
            self._allow(known)
            return
        self._close(known)
        limited = Limited(message.limit.name.lower(), message.retry_after_s)
        self._results.append((known.request, limited))

    def reissue(self, host: str, now: float) -> None:
        """Charge anew what a home has forgotten."""
        for known in list(self._open_by_request.values()):
            if known.host == host:
                # It may have been charged since the home forgot.
                self._tear(known, 0.0, now)
                self._ask(known, now)

    def reassign(self, now: float) -> None:
        """Follow the homes after a change of the live hosts."""
        for known in list(self._open_by_request.values()):
            home = self._find_quota_owner(known.account) or ""
            if home == known.host:
                continue
            if known.handle:
                self._tear(known, known.work, now)
            self._ask(known, now)

    def tick(self, now: float) -> None:
        """Repeat what is not answered, and decide here what waits too long."""
        for known in list(self._waiting.values()):
            if now - known.asked_at >= PATIENCE_S or not known.host:
                self.suspects.add(known.host)
                self._decide_here(known, now)
                continue
            if now >= known.send_at:
                self._send(known, now)

    def next_wake(self) -> float | None:
        """Return when to call :meth:`tick` again."""
        wakes = [known.send_at for known in self._waiting.values()]
        return min(wakes, default=None)

    def take_results(self) -> list[tuple[str, Verdict]]:
        """Return the requests that have been decided since the last call."""
        results, self._results = self._results, []
        return results

    def take_sends(self) -> list[tuple[str, Charge]]:
        """Return the charges to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    def _ask(self, known: _Open, now: float) -> None:
        home = self._find_quota_owner(known.account)
        known.host = home or ""
        known.handle = 0
        if home is None:
            return
        self._number += 1
        known.handle = self.era_by_host.get(home, 0) << ERA_SHIFT | self._number
        known.asked_at = now
        known.repeat_s = FIRST_REPEAT_S
        self._open_by_handle[known.handle] = known
        if known.allowed:
            self._tell(home, self._message(known), now)
            return
        self._send(known, now)

    def _message(self, known: _Open) -> Charge:
        limits = known.limits
        return Charge(
            known.handle,
            known.account,
            known.work,
            limits.work_per_s,
            limits.burst_s,
            limits.max_concurrent,
            known.allowed,
        )

    def _send(self, known: _Open, now: float) -> None:
        known.send_at = now + known.repeat_s
        known.repeat_s = min(LAST_REPEAT_S, known.repeat_s * 2)
        self._sends.append((known.host, self._message(known)))

    def _tear(self, known: _Open, work: float, now: float) -> None:
        self._open_by_handle.pop(known.handle, None)
        self._tell(known.host, Settle(known.handle, work), now)
        known.handle = 0
        known.host = ""

    def _allow(self, known: _Open) -> None:
        known.allowed = True
        self._waiting.pop(known.request, None)
        self._results.append((known.request, Allowed()))

    def _close(self, known: _Open) -> None:
        self._open_by_handle.pop(known.handle, None)
        self._open_by_request.pop(known.request, None)
        self._waiting.pop(known.request, None)

    def _decide_here(self, known: _Open, now: float) -> None:
        self.local_verdicts += 1
        limits = local_share(known.limits, self.hosts)
        verdict = self._local.charge(
            known.account, known.request, self._name, known.work, limits, now
        )
        if isinstance(verdict, Limited):
            if known.handle:
                self._tear(known, 0.0, now)
            self._close(known)
            self._results.append((known.request, verdict))
            return
        known.is_local = True
        if known.handle:
            self._tear(known, 0.0, now)
        self._allow(known)
        self._ask(known, now)
