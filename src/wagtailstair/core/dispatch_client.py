"""The requests of this entry host that wait for a route or use one.

A request has one *ticket* at a time: its submission to the dispatcher of its
pool. The first grant wins, from whichever dispatcher it comes; any other is
withdrawn. When the dispatcher does not answer, a local pool with this host's
share of the slots decides.
"""

import dataclasses
import typing as t

from .engine import Route
from .grants import Grant
from .grants import GrantOutcome
from .grants import HeldGrant
from .grants import Refusal
from .grants import RefusalReason
from .grants import RouteRequest
from .local_pools import LocalPools
from .messages import ERA_SHIFT
from .messages import Finished
from .messages import Granted
from .messages import Held
from .messages import PoolKey
from .messages import Queued
from .messages import Refused
from .messages import Reliable
from .messages import Submit
from .messages import Withdraw
from .pools import Engines
from .pools import Pool
from .pools import PoolFactory

FIRST_REPEAT_S = 0.1  # doubled with each repetition that is not answered
LAST_REPEAT_S = 0.5
FIRST_CHECK_S = 0.5  # while a request waits, in case its grant is lost
LAST_CHECK_S = 2.0
PATIENCE_S = 0.75  # without any answer, before the local pool decides
ANSWER_GRACE_S = 1.0  # after a deadline, for the dispatcher's own refusal


@dataclasses.dataclass(slots=True)
class _Ticket:
    handle: int
    host: str
    send_at: float
    asked_at: float | None = None  # the first send without an answer since
    repeat_s: float = FIRST_REPEAT_S
    check_s: float = FIRST_CHECK_S
    queued: bool = False


@dataclasses.dataclass(slots=True)
class _Open:
    key: PoolKey
    want: RouteRequest
    ticket: _Ticket | None = None
    route: Route | None = None
    is_local: bool = False


class DispatchClient:
    """All open requests of an entry host.

    :param find_owner: the live host that dispatches a pool, or None.
    :param make_pool: makes the local pools.
    :param tell: sends a numbered message to a host.
    """

    def __init__(
        self,
        find_owner: t.Callable[[PoolKey], str | None],
        make_pool: PoolFactory,
        engines: Engines,
        tell: t.Callable[[str, Reliable, float], None],
    ) -> None:
        self.suspects: set[str] = set()
        self.local_pools = LocalPools(make_pool, engines)
        self.era_by_host: dict[str, int] = {}
        self.repeats = 0
        self.local_grants = 0
        self._find_owner = find_owner
        self._tell = tell
        self._number = 0
        self._open_by_id: dict[tuple[str, int], _Open] = {}
        self._open_by_handle: dict[int, _Open] = {}
        self._waiting: dict[tuple[str, int], _Open] = {}
        self._results: list[Grant | Refusal] = []
        self._sends: list[tuple[str, Submit]] = []

    def __len__(self) -> int:
        return len(self._open_by_id)

    # The entry host's own calls.

    def submit(self, key: PoolKey, want: RouteRequest, now: float) -> None:
        """Ask for a route."""
        name = (want.request, want.epoch)
        if name in self._open_by_id:
            return
        known = _Open(key, want)
        self._open_by_id[name] = known
        self._waiting[name] = known
        self._ask(known, now)
        if known.ticket is None or known.ticket.host in self.suspects:
            self._decide_here(known, now)

    def done(self, done: GrantOutcome, now: float) -> None:
        """End a grant."""
        known = self._open_by_id.pop((done.request, done.epoch), None)
        if known is None:
            return
        self._waiting.pop((done.request, done.epoch), None)
        if known.is_local:
            self._local(known.key, now).done(done, now)
        ticket = self._tear(known)
        if ticket is None:
            return
        message = Finished(
            ticket.handle,
            known.key,
            done.prompt_tokens,
            done.output_tokens,
            done.failed,
        )
        self._tell(ticket.host, message, now)

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """End a request that waits, or a grant that is not used."""
        known = self._open_by_id.pop((request, epoch), None)
        if known is None:
            return
        self._waiting.pop((request, epoch), None)
        if known.is_local:
            self._local(known.key, now).cancel(request, epoch, now)
        self._withdraw(known, now)

    # Answers.

    def receive_grant(self, sender: str, message: Granted, now: float) -> None:
        """Take a grant; one that comes late or twice is not delivered."""
        known = self._find(sender, message.handle)
        if known is None:
            self._tell(sender, Withdraw(message.handle), now)
            return
        if known.route is not None:
            return
        self._leave_local(known, now)
        self._resolve(known, message.route)

    def receive_refusal(self, sender: str, message: Refused, now: float) -> None:
        """Take a refusal."""
        known = self._find(sender, message.handle)
        if known is None or known.route is not None:
            return
        self._leave_local(known, now)
        self._tear(known)
        self._fail(known, message.reason, message.retry_after_s)

    def receive_queued(self, sender: str, message: Queued, now: float) -> None:
        """Learn that a submission waits."""
        known = self._find(sender, message.handle)
        if known is None or known.ticket is None:
            self._tell(sender, Withdraw(message.handle), now)
            return
        ticket = known.ticket
        ticket.queued = True
        ticket.asked_at = None
        ticket.repeat_s = FIRST_REPEAT_S
        ticket.send_at = now + ticket.check_s
        ticket.check_s = min(LAST_CHECK_S, ticket.check_s * 2)

    # Changes around.

    def mark_responsive(self, host: str) -> None:
        """Learn that a host answers."""
        self.suspects.discard(host)

    def reissue(self, host: str, now: float) -> None:
        """Submit anew what a host has forgotten."""
        for known in list(self._open_by_id.values()):
            if known.ticket is not None and known.ticket.host == host:
                # It may have been taken in since the dispatcher forgot.
                self._withdraw(known, now)
                self._ask(known, now)

    def reassign(self, now: float) -> None:
        """Follow the dispatchers after a change of the live hosts."""
        owner_by_key: dict[PoolKey, str | None] = {}
        for known in list(self._open_by_id.values()):
            if known.key not in owner_by_key:
                owner_by_key[known.key] = self._find_owner(known.key)
            host = None if known.ticket is None else known.ticket.host
            if owner_by_key[known.key] == host:
                continue
            self._withdraw(known, now)
            self._ask(known, now)

    # Time.

    def tick(self, now: float) -> None:
        """Repeat what is not answered, and decide here what waits too long."""
        for name, known in list(self._waiting.items()):
            if now > known.want.deadline + ANSWER_GRACE_S:
                self.cancel(*name, now)
                self._results.append(_refusal(known, RefusalReason.DEADLINE, 0.0))
                continue
            ticket = known.ticket
            if ticket is None:
                self._decide_here(known, now)
                continue
            asked_at = ticket.asked_at
            if asked_at is not None and now - asked_at >= PATIENCE_S:
                self.suspects.add(ticket.host)
            if ticket.host in self.suspects:
                self._decide_here(known, now)
            if now >= ticket.send_at:
                self._send(known, ticket, now)
                self.repeats += 1
        for decided in self.local_pools.poll(now):
            self._decided(decided, now)

    def next_wake(self, now: float) -> float | None:
        """Return when to call :meth:`tick` again."""
        wake = self.local_pools.next_wake(now)
        wakes = [] if wake is None else [wake]
        for known in self._waiting.values():
            if known.ticket is not None:
                wakes.append(known.ticket.send_at)
        return min(wakes, default=None)

    def take_results(self) -> list[Grant | Refusal]:
        """Return the requests that have been decided since the last call."""
        results, self._results = self._results, []
        return results

    def take_sends(self) -> list[tuple[str, Submit]]:
        """Return the submissions to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    # Inside.

    def _find(self, sender: str, handle: int) -> _Open | None:
        known = self._open_by_handle.get(handle)
        if known is None or known.ticket is None or known.ticket.host != sender:
            return None
        return known

    def _ask(self, known: _Open, now: float) -> None:
        host = self._find_owner(known.key)
        if host is None:
            return
        self._number += 1
        handle = self.era_by_host.get(host, 0) << ERA_SHIFT | self._number
        ticket = _Ticket(handle, host, now)
        known.ticket = ticket
        self._open_by_handle[handle] = known
        if known.route is None:
            self._send(known, ticket, now)
            return
        want = self._on_wire(known.want, now)
        self._tell(host, Held(handle, known.key, want, known.route, 0), now)

    def _send(self, known: _Open, ticket: _Ticket, now: float) -> None:
        if ticket.asked_at is None:
            ticket.asked_at = now
        ticket.send_at = now + ticket.repeat_s
        ticket.repeat_s = min(LAST_REPEAT_S, ticket.repeat_s * 2)
        want = self._on_wire(known.want, now)
        self._sends.append((ticket.host, Submit(ticket.handle, known.key, want)))

    def _on_wire(self, want: RouteRequest, now: float) -> RouteRequest:
        """Return a want whose deadline is in seconds from now."""
        remaining_s = max(0.0, want.deadline - now)
        return dataclasses.replace(want, deadline=remaining_s)

    def _tear(self, known: _Open) -> _Ticket | None:
        ticket, known.ticket = known.ticket, None
        if ticket is not None:
            del self._open_by_handle[ticket.handle]
        return ticket

    def _withdraw(self, known: _Open, now: float) -> None:
        ticket = self._tear(known)
        if ticket is not None:
            self._tell(ticket.host, Withdraw(ticket.handle, known.key), now)

    def _resolve(self, known: _Open, route: Route) -> None:
        want = known.want
        known.route = route
        self._waiting.pop((want.request, want.epoch), None)
        self._results.append(Grant(want.request, want.epoch, want.host, route))

    def _fail(self, known: _Open, reason: RefusalReason, retry_s: float) -> None:
        name = (known.want.request, known.want.epoch)
        del self._open_by_id[name]
        self._waiting.pop(name, None)
        self._results.append(_refusal(known, reason, retry_s))

    # The local pools.

    def _local(self, key: PoolKey, now: float) -> Pool:
        pool = self.local_pools.by_key.get(key)
        if pool is None:
            pool = self.local_pools.make(key, now)
            self._hold_open(key, pool, now)
        return pool

    def _hold_open(self, key: PoolKey, pool: Pool, now: float) -> None:
        for known in self._open_by_id.values():
            if known.key == key and known.route is not None:
                pool.hold(HeldGrant(known.want, known.route, 0), now)
                known.is_local = True

    def _decide_here(self, known: _Open, now: float) -> None:
        if known.is_local:
            return
        known.is_local = True
        pool = self._local(known.key, now)
        pool.want(known.want, now)

    def _leave_local(self, known: _Open, now: float) -> None:
        if known.is_local:
            want = known.want
            self._local(known.key, now).cancel(want.request, want.epoch, now)
        known.is_local = False

    def _decided(self, decided: Grant | Refusal, now: float) -> None:
        known = self._open_by_id.get((decided.request, decided.epoch))
        if known is None or known.route is not None:
            return
        if isinstance(decided, Grant):
            self._withdraw(known, now)
            self.local_grants += 1
            self._resolve(known, decided.route)
            self._ask(known, now)
            return
        ticket = known.ticket
        if ticket is not None and ticket.queued and ticket.host not in self.suspects:
            known.is_local = False
            return
        self._withdraw(known, now)
        self._fail(known, decided.reason, decided.retry_after_s)


def _refusal(known: _Open, reason: RefusalReason, retry_after_s: float) -> Refusal:
    want = known.want
    return Refusal(want.request, want.epoch, want.host, reason, retry_after_s)
