"""Base class of a caller's request, from its head to the final response."""

import enum
import typing as t

from ..core.directory import Grant
from ..core.directory import Service
from ..core.exchange_headers import HeaderNames
from ..core.pipelines import Pipelines
from ..core.replicas import Replica
from ..core.replicas import ReplicaSet
from ..core.resend_budget import ResendBudget
from ..core.upstream_balancer import UpstreamBalancer
from ..logs import log_event
from .caller import Caller
from .crash_reports import CrashReports
from .heads import find_header
from .loop import Loop
from .loop import Timer
from .requests import Header
from .requests import Request
from .upstream_pool import UpstreamConnection
from .upstream_pool import UpstreamPool
from .waiting_streams import WaitingStreams

MS_PER_S = 1000
SENDS_MAX = 8
"""Sends of one request to upstreams, including those refused before they ran."""

UNBEGUN_BUDGET_SHARE = 0.7
"""Share of the resend budget that requests without a response yet may use: callers
retry these themselves, but a response that has begun is lost without a resend."""

ANSWER_MARGIN_S = 0.02
"""Seconds before the deadline at which the final response is sent."""

RETRY_AFTER_S = 0.3
"""Longest Retry-After, in seconds, of a refused request."""

GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
UNAVAILABLE = 503
MISDIRECTED = 421

FAILURE_BYTES_MAX = 1 << 20
"""Bytes of the body of a response that is not a success; errors are far shorter."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise the caller that its request has not run."""


class AttemptOutcome(enum.Enum):
    """What the head of a response says about its attempt.

    ``NOT_RUN``: refused before it ran; ``FAILED``: may have run and failed;
    ``BROKEN``: no response yet, or a success without a signature.
    """

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"


class ResendRefusal(enum.Enum):
    """Why a request is not sent to another upstream.

    ``ATTEMPTS``: it has been sent as often as its route allows; ``TIME``: too little
    is left; ``BUDGET``: that of all hosts is used up.
    """

    ATTEMPTS = "attempts"
    TIME = "time"
    BUDGET = "budget"


def failure_excess(status: int) -> str:
    """Return why a response that is not a success is given up."""
    return f"body of status {status} over {FAILURE_BYTES_MAX} bytes"


class Context(t.Protocol):
    """Interface of the gateway that exchanges use."""

    loop: Loop
    pool: UpstreamPool
    replicas: ReplicaSet
    services: UpstreamBalancer
    resend_budget: ResendBudget
    crash_reports: CrashReports
    names: HeaderNames

    def closed_upstreams(self) -> frozenset[tuple[str, int]]:
        """Return the upstreams to which this host may send no request now."""
        ...

    def pause_s(self, service: Service) -> float:
        """Return when an upstream takes requests again if all have asked for a pause.

        :returns: seconds; 0 if an upstream is not in a pause, or there are none.
        """
        ...

    def count_upstream_request(self, replica: Replica) -> None:
        """Count a request that is sent to an upstream."""
        ...

    def may_repeat(self, service: str, share: float) -> bool:
        """Use a repeat at a service if the budget of all hosts allows it.

        :param share: part of the budget that this kind of repeat may use.
        """
        ...

    def record_resend_refusal(
        self, exchange: "Exchange", reason: ResendRefusal
    ) -> None:
        """Record a request that may not be sent again in the metrics and the log."""
        ...

    def observe_queued(self, rank: int, seconds: float) -> None:
        """Record how long a stream was queued before it started."""
        ...

    def local_host_count(self) -> int:
        """Return the number of live hosts in this data centre, with this one."""
        ...

    def pipelines(self, service: str) -> Pipelines:
        """Return the pipelines of a service."""
        ...

    def find_stalled_engine(self, first: Replica, service: str) -> None:
        """Ask the first engine of a path which engine its requests wait for."""
        ...

    def report_engine_failure(self, replica: Replica) -> None:
        """Tell the other hosts of an engine that takes no connections."""
        ...

    def waiting_streams(self) -> WaitingStreams:
        """Return the streams that wait for room on engines."""
        ...

    def count_path_change(self, outcome: str) -> None:
        """Count an order that moves a running request to a new path."""
        ...

    def count_successor(self, reason: str) -> None:
        """Count an attempt that was sent beside the current one."""
        ...

    def count_attempt_lost(self, *, has_begun: bool, has_events: bool) -> None:
        """Count a stream's attempt that ended without a complete response."""
        ...

    def record_request_end(self, exchange: "Exchange", outcome: str) -> None:
        """Record the end of a request in the metrics and the log."""
        ...


class Exchange:
    """State of one request.

    ``sends``: exchanges begun with upstreams; ``runs``: those that may have run;
    ``lost_on``: upstreams whose exchange was lost;
    ``expires_at``: the caller's deadline, or the end of the route's timeout if the
    caller set none; ``ends_at``: the earlier of the deadline and of that end;
    ``tried``: identities of the upstreams used so far; ``has_resend_refusal``: whether
    it has been recorded that it may not be sent again.
    """

    __slots__ = (
        "attempt_id",
        "caller",
        "context",
        "deadline_timer",
        "ends_at",
        "expires_at",
        "grant",
        "has_resend_refusal",
        "is_finished",
        "lost_on",
        "may_have_run",
        "request",
        "runs",
        "sends",
        "service",
        "tried",
    )

    def __init__(
        self,
        context: Context,
        caller: Caller,
        request: Request,
        grant: Grant,
        service: Service,
    ) -> None:
        self.context = context
        self.caller = caller
        self.request = request
        self.grant = grant
        self.service = service
        names = context.names
        self.attempt_id = request.header(names.attempt)
        deadline_s = grant.route.timeout_s
        deadline_ms = request.header(names.deadline_ms)
        if deadline_ms.isdigit():
            deadline_s = int(deadline_ms) / MS_PER_S
        self.expires_at = request.received_at + deadline_s
        self.ends_at = min(self.expires_at, request.received_at + grant.route.timeout_s)
        self.sends = 0
        self.runs = 0
        self.lost_on: list[tuple[str, int]] = []
        self.may_have_run = False
        self.is_finished = False
        self.has_resend_refusal = False
        self.tried: set[tuple[str, int]] = set()
        delay_s = self.ends_at - ANSWER_MARGIN_S - context.loop.now
        self.deadline_timer: Timer = context.loop.call_later(delay_s, self.on_expired)

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the request ends."""
        return self.ends_at - self.context.loop.now

    @property
    def is_forwarded(self) -> bool:
        """Return whether the request was sent to an upstream."""
        return self.sends > 0

    def on_expired(self) -> None:
        """End a request whose deadline has passed."""
        raise NotImplementedError

    def on_shutdown(self) -> None:
        """Answer a request that the end of the process would cut without an answer.

        A response that has begun is left to be cut.
        """
        if self.is_finished or self.caller.has_begun:
            return
        if self.sends == 0:
            self.refuse("shutting down")
            return
        self.fail(GATEWAY_TIMEOUT, "shutting down")

    def may_send_again(self) -> bool:
        """Take one resend from the budget; return whether it was allowed."""
        refusal = self._take_resend()
        if refusal is None:
            return True
        if not self.has_resend_refusal:
            self.has_resend_refusal = True
            self.context.record_resend_refusal(self, refusal)
        return False

    def _take_resend(self) -> ResendRefusal | None:
        """Take one resend from the budget; return why it was refused, if it was."""
        if self.sends >= SENDS_MAX:
            return ResendRefusal.ATTEMPTS
        if self.remaining_s < 2 * ANSWER_MARGIN_S:
            return ResendRefusal.TIME
        context = self.context
        # An upstream that has ended since then runs nothing any more.
        ended = sum(not context.replicas.is_serving(lost) for lost in self.lost_on)
        if self.runs - ended >= self.grant.route.attempts:
            return ResendRefusal.ATTEMPTS
        share = 1.0 if self.caller.has_begun else UNBEGUN_BUDGET_SHARE
        if not context.may_repeat(self.service.name, share):
            return ResendRefusal.BUDGET
        return None

    @property
    def account_name(self) -> str:
        """Return the name of the caller's account, empty for none."""
        account = self.grant.account
        return "" if account is None else account.name

    def classify_answer(self, status: int, headers: list[Header]) -> AttemptOutcome:
        """Return what the head of a response says about its attempt."""
        names = self.context.names
        if status == MISDIRECTED or find_header(headers, names.not_run) is not None:
            return AttemptOutcome.NOT_RUN
        if status >= 500 or status in NOT_RUN_STATUSES:
            return AttemptOutcome.FAILED
        if status < 300 and find_header(headers, names.signature) is None:
            return AttemptOutcome.BROKEN
        return AttemptOutcome.SERVED

    def is_own_answer(
        self,
        status: int,
        headers: list[Header],
        connection: UpstreamConnection | None,
    ) -> bool:
        """Return whether a response belongs to this request.

        Only failures may lack the attempt header. On a reused connection such a
        failure may be a copy of an earlier one, so the connection is given up.
        """
        echoed = find_header(headers, self.context.names.attempt)
        if echoed is not None:
            return echoed == self.attempt_id
        if status < 300:
            return False
        if connection is not None and connection.is_reused:
            connection.give_up(f"status {status} without an attempt id")
            return False
        return True

    def refuse(self, reason: str) -> None:
        """Respond 503 if the request has not run for certain, otherwise 502."""
        if self.may_have_run:
            self.fail(BAD_GATEWAY, reason)
            return
        headers = ((b"Retry-After", b"%.2f" % self.return_s()),)
        self.finish(UNAVAILABLE, reason, headers)

    def return_s(self) -> float:
        """Return after how many seconds the caller of a refused request may retry."""
        pause_s = self.context.pause_s(self.service)
        if pause_s:
            return pause_s
        return min(RETRY_AFTER_S, max(0.05, self.remaining_s / 4))

    def fail(self, status: int, reason: str) -> None:
        """Respond with a status that leaves open whether the request has run."""
        self.finish(status, reason, ())

    def finish(self, status: int, reason: str, headers: t.Iterable[Header]) -> None:
        """Send the gateway's own final response, or abort a response that has begun."""
        if self.is_finished:
            return
        self.close()
        if self.caller.has_begun:
            self.caller.abort_answer()
        else:
            self.caller.answer(status, b"", headers, b"")
        self.context.record_request_end(self, reason)

    def close(self) -> None:
        """Release the timers and attempts of the request."""
        self.is_finished = True
        self.deadline_timer.cancel()

    def end_fields(self) -> dict[str, object]:
        """Return what the log says about the request at its end, beside its outcome."""
        return {}

    def log(self, event: str, *, level: str = "INFO", **fields: object) -> None:
        """Log an event with the fields of this request."""
        log_event(
            event,
            level=level,
            request=self.attempt_id.decode("latin-1"),
            route=self.grant.route.name,
            version=self.grant.version,
            **fields,
        )
