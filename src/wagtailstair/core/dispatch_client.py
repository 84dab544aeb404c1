"""Client of the dispatchers: submits this entry host's requests for a route.

A request has one submission at a time. The first grant is used, whichever
dispatcher it comes from; any other is withdrawn. While the dispatcher does not
answer, a local pool with this host's share of the slots decides.
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

FIRST_REPEAT_S = 0.1  # doubled with each unanswered repetition
MAX_REPEAT_S = 0.5
FIRST_CHECK_S = 0.5  # first repetition of a queued request: its grant may be lost
MAX_CHECK_S = 2.0
ANSWER_TIMEOUT_S = 0.75  # then the dispatcher is suspected and a local pool decides
REFUSAL_GRACE_S = 1.0  # after a deadline, for the dispatcher's refusal to arrive


@dataclasses.dataclass(slots=True)
class _Submission:
    handle: int
    host: str
    send_at: float
    unanswered_since: float | None = None
    repeat_s: float = FIRST_REPEAT_S
    check_s: float = FIRST_CHECK_S
    is_queued: bool = False


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    key: PoolKey
    route_request: RouteRequest
    submission: _Submission | None = None
    route: Route | None = None
    is_local: bool = False


class DispatchClient:
    """Submits the requests of an entry host and tracks them until they end.

    :param find_dispatcher: returns the live host that dispatches a pool, or None.
    :param make_pool: creates the local pools.
    :param send_reliable: sends a message to a host until it is acknowledged.
    """

    def __init__(
        self,
        find_dispatcher: t.Callable[[PoolKey], str | None],
        make_pool: PoolFactory,
        engines: Engines,
        send_reliable: t.Callable[[str, Reliable, float], None],
    ) -> None:
        self.suspects: set[str] = set()
        self.local_pools = LocalPools(make_pool, engines)
        self.era_by_host: dict[str, int] = {}
        self.repeats = 0
        self.local_grants = 0
        self._find_dispatcher = find_dispatcher
        self._send_reliable = send_reliable
        self._last_number = 0
        self._open_by_id: dict[tuple[str, int], _OpenRequest] = {}
        self._open_by_handle: dict[int, _OpenRequest] = {}
        self._waiting: dict[tuple[str, int], _OpenRequest] = {}
        self._results: list[Grant | Refusal] = []
        self._sends: list[tuple[str, Submit]] = []

    def __len__(self) -> int:
        return len(self._open_by_id)

    # Calls of the entry host.

    def submit(self, key: PoolKey, item: RouteRequest, now: float) -> None:
        """Submit a request to the dispatcher of its pool."""
        name = (item.request, item.epoch)
        if name in self._open_by_id:
            return
        entry = _OpenRequest(key, item)
        self._open_by_id[name] = entry
        self._waiting[name] = entry
        self._submit_to_dispatcher(entry, now)
        if entry.submission is None or entry.submission.host in self.suspects:
            self._submit_locally(entry, now)

    def end_grant(self, outcome: GrantOutcome, now: float) -> None:
        """End a grant."""
        entry = self._open_by_id.pop((outcome.request, outcome.epoch), None)
        if entry is None:
            return
        self._waiting.pop((outcome.request, outcome.epoch), None)
        if entry.is_local:
            self._local_pool(entry.key, now).end_grant(outcome, now)
        submission = self._detach(entry)
        if submission is None:
            return
        message = Finished(
            submission.handle,
            entry.key,
            outcome.prompt_tokens,
            outcome.output_tokens,
            outcome.failed,
        )
        self._send_reliable(submission.host, message, now)

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """Withdraw a waiting request or an unused grant."""
        entry = self._open_by_id.pop((request, epoch), None)
        if entry is None:
            return
        self._waiting.pop((request, epoch), None)
        if entry.is_local:
            self._local_pool(entry.key, now).cancel(request, epoch, now)
        self._withdraw(entry, now)

    # Answers of dispatchers.

    def receive_grant(self, sender: str, message: Granted, now: float) -> None:
        """Accept a grant; ignore or withdraw a late or repeated one."""
        entry = self._find_open(sender, message.handle)
        if entry is None:
            self._send_reliable(sender, Withdraw(message.handle), now)
            return
        if entry.route is not None:
            return
        self._cancel_local(entry, now)
        self._deliver_grant(entry, message.route)

    def receive_refusal(self, sender: str, message: Refused, now: float) -> None:
        """Accept a refusal."""
        entry = self._find_open(sender, message.handle)
        if entry is None or entry.route is not None:
            return
        self._cancel_local(entry, now)
        self._detach(entry)
        self._deliver_refusal(entry, message.reason, message.retry_after_s)

    def receive_queued(self, sender: str, message: Queued, now: float) -> None:
        """Record that a dispatcher has queued a submission."""
        entry = self._find_open(sender, message.handle)
        if entry is None or entry.submission is None:
            self._send_reliable(sender, Withdraw(message.handle), now)
            return
        submission = entry.submission
        submission.is_queued = True
        submission.unanswered_since = None
        submission.repeat_s = FIRST_REPEAT_S
        submission.send_at = now + submission.check_s
        submission.check_s = min(MAX_CHECK_S, submission.check_s * 2)

    # Changes of the dispatchers.

    def mark_responsive(self, host: str) -> None:
        """Stop suspecting a host that has answered."""
        self.suspects.discard(host)

    def reissue(self, host: str, now: float) -> None:
        """Submit again all requests at a host that has lost its state."""
        for entry in list(self._open_by_id.values()):
            if entry.submission is not None and entry.submission.host == host:
                # The host may have received this submission after it lost its state.
                self._withdraw(entry, now)
                self._submit_to_dispatcher(entry, now)

    def reassign(self, now: float) -> None:
        """Submit requests to their new dispatchers after a change of live hosts."""
        dispatcher_by_key: dict[PoolKey, str | None] = {}
        for entry in list(self._open_by_id.values()):
            if entry.key not in dispatcher_by_key:
                dispatcher_by_key[entry.key] = self._find_dispatcher(entry.key)
            host = None if entry.submission is None else entry.submission.host
            if dispatcher_by_key[entry.key] == host:
                continue
            self._withdraw(entry, now)
            self._submit_to_dispatcher(entry, now)

    # Time.

    def tick(self, now: float) -> None:
        """Repeat unanswered submissions, and use local pools after the time-out."""
        for name, entry in list(self._waiting.items()):
            if now > entry.route_request.deadline + REFUSAL_GRACE_S:
                self.cancel(*name, now)
                self._results.append(_refusal(entry, RefusalReason.DEADLINE, 0.0))
                continue
            submission = entry.submission
            if submission is None:
                self._submit_locally(entry, now)
                continue
            since = submission.unanswered_since
            if since is not None and now - since >= ANSWER_TIMEOUT_S:
                self.suspects.add(submission.host)
            if submission.host in self.suspects:
                self._submit_locally(entry, now)
            if now >= submission.send_at:
                self._send(entry, submission, now)
                self.repeats += 1
        for decision in self.local_pools.poll(now):
            self._apply_local_decision(decision, now)

    def next_wake(self, now: float) -> float | None:
        """Return when to call :meth:`tick` again."""
        wake = self.local_pools.next_wake(now)
        wakes = [] if wake is None else [wake]
        for entry in self._waiting.values():
            if entry.submission is not None:
                wakes.append(entry.submission.send_at)
        return min(wakes, default=None)

    def take_results(self) -> list[Grant | Refusal]:
        """Return the grants and refusals since the last call."""
        results, self._results = self._results, []
        return results

    def take_sends(self) -> list[tuple[str, Submit]]:
        """Return the submissions to send since the last call."""
        sends, self._sends = self._sends, []
        return sends

    # Submissions.

    def _find_open(self, sender: str, handle: int) -> _OpenRequest | None:
        entry = self._open_by_handle.get(handle)
        if entry is None or entry.submission is None or entry.submission.host != sender:
            return None
        return entry

    def _submit_to_dispatcher(self, entry: _OpenRequest, now: float) -> None:
        host = self._find_dispatcher(entry.key)
        if host is None:
            return
        self._last_number += 1
        handle = self.era_by_host.get(host, 0) << ERA_SHIFT | self._last_number
        submission = _Submission(handle, host, now)
        entry.submission = submission
        self._open_by_handle[handle] = entry
        if entry.route is None:
            self._send(entry, submission, now)
            return
        item = self._with_relative_deadline(entry.route_request, now)
        self._send_reliable(host, Held(handle, entry.key, item, entry.route, 0), now)

    def _send(self, entry: _OpenRequest, submission: _Submission, now: float) -> None:
        if submission.unanswered_since is None:
            submission.unanswered_since = now
        submission.send_at = now + submission.repeat_s
        submission.repeat_s = min(MAX_REPEAT_S, submission.repeat_s * 2)
        item = self._with_relative_deadline(entry.route_request, now)
        self._sends.append(
            (submission.host, Submit(submission.handle, entry.key, item))
        )

    def _with_relative_deadline(self, item: RouteRequest, now: float) -> RouteRequest:
        """Return a request whose deadline is relative, in seconds from now."""
        remaining_s = max(0.0, item.deadline - now)
        return dataclasses.replace(item, deadline=remaining_s)

    def _detach(self, entry: _OpenRequest) -> _Submission | None:
        submission, entry.submission = entry.submission, None
        if submission is not None:
            del self._open_by_handle[submission.handle]
        return submission

    def _withdraw(self, entry: _OpenRequest, now: float) -> None:
        submission = self._detach(entry)
        if submission is not None:
            self._send_reliable(
                submission.host, Withdraw(submission.handle, entry.key), now
            )

    def _deliver_grant(self, entry: _OpenRequest, route: Route) -> None:
        item = entry.route_request
        entry.route = route
        self._waiting.pop((item.request, item.epoch), None)
        self._results.append(Grant(item.request, item.epoch, item.host, route))

    def _deliver_refusal(
        self, entry: _OpenRequest, reason: RefusalReason, retry_after_s: float
    ) -> None:
        name = (entry.route_request.request, entry.route_request.epoch)
        del self._open_by_id[name]
        self._waiting.pop(name, None)
        self._results.append(_refusal(entry, reason, retry_after_s))

    # The local pools.

    def _local_pool(self, key: PoolKey, now: float) -> Pool:
        pool = self.local_pools.by_key.get(key)
        if pool is None:
            pool = self.local_pools.make(key, now)
            self._add_held_grants(key, pool, now)
        return pool

    def _add_held_grants(self, key: PoolKey, pool: Pool, now: float) -> None:
        for entry in self._open_by_id.values():
            if entry.key == key and entry.route is not None:
                pool.adopt_grant(HeldGrant(entry.route_request, entry.route, 0), now)
                entry.is_local = True

    def _submit_locally(self, entry: _OpenRequest, now: float) -> None:
        if entry.is_local:
            return
        entry.is_local = True
        pool = self._local_pool(entry.key, now)
        pool.submit(entry.route_request, now)

    def _cancel_local(self, entry: _OpenRequest, now: float) -> None:
        if entry.is_local:
            item = entry.route_request
            self._local_pool(entry.key, now).cancel(item.request, item.epoch, now)
        entry.is_local = False

    def _apply_local_decision(self, decision: Grant | Refusal, now: float) -> None:
        entry = self._open_by_id.get((decision.request, decision.epoch))
        if entry is None or entry.route is not None:
            return
        if isinstance(decision, Grant):
            self._withdraw(entry, now)
            self.local_grants += 1
            self._deliver_grant(entry, decision.route)
            self._submit_to_dispatcher(entry, now)
            return
        submission = entry.submission
        if (
            submission is not None
            and submission.is_queued
            and submission.host not in self.suspects
        ):
            # The dispatcher answers and has queued the request, so it decides.
            entry.is_local = False
            return
        self._withdraw(entry, now)
        self._deliver_refusal(entry, decision.reason, decision.retry_after_s)


def _refusal(
    entry: _OpenRequest, reason: RefusalReason, retry_after_s: float
) -> Refusal:
    item = entry.route_request
    return Refusal(item.request, item.epoch, item.host, reason, retry_after_s)
