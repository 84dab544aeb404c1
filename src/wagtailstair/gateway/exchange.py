"""A caller's request from its head to its final answer: what all kinds share."""

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
from .heads import find
from .loop import Loop
from .loop import Timer
from .requests import Header
from .requests import Request
from .upstream_pool import UpstreamPool

MS_PER_S = 1000
SENDS_MAX = 8
"""Sends of one request, those that were refused unread with them."""

UNBEGUN_SHARE = 0.7
"""Share of the budget of repeats for requests without an answer yet: callers send
these again themselves, but a begun answer is lost without it."""

ANSWER_MARGIN_S = 0.02
"""Seconds before the end at which the final answer is sent."""

RETRY_AFTER_S = 0.3
"""Seconds after which a caller that was refused may come back."""

GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502
UNAVAILABLE = 503
MISDIRECTED = 421
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""


class Fate(enum.Enum):
    """What an attempt's answer says of the attempt."""

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"


class Context(t.Protocol):
    """What exchanges need of the gateway."""

    loop: Loop
    pool: UpstreamPool
    replicas: ReplicaSet
    services: UpstreamBalancer
    resend_budget: ResendBudget
    names: HeaderNames

    def host_count(self) -> int:
        """Return how many hosts share the budgets."""
        ...

    def pipelines(self, service: str) -> Pipelines:
        """Return the engines of a service."""
        ...

    def find_stalled_engine(self, first: Replica, service: str) -> None:
        """Find out which engine the requests of a first engine wait for."""
        ...

    def queue_for_room(self, stream: "t.Any") -> None:
        """Try a stream again when engines have room."""
        ...

    def record_request_end(self, exchange: "Exchange", outcome: str) -> None:
        """Take note of a request's end."""
        ...


class Exchange:
    """What one request has come to.

    ``sends``: exchanges with upstreams begun; ``runs``: those that may have run.
    """

    __slots__ = (
        "attempt_id",
        "caller",
        "context",
        "ends_at",
        "expires_at",
        "grant",
        "is_over",
        "may_have_run",
        "request",
        "runs",
        "sends",
        "service",
        "timer",
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
        told = request.header(names.deadline_ms)
        if told.isdigit():
            deadline_s = int(told) / MS_PER_S
        self.expires_at = request.received_at + deadline_s
        self.ends_at = min(self.expires_at, request.received_at + grant.route.timeout_s)
        self.sends = 0
        self.runs = 0
        self.may_have_run = False
        self.is_over = False
        self.tried: set[tuple[str, int]] = set()
        delay_s = self.ends_at - ANSWER_MARGIN_S - context.loop.now
        self.timer: Timer = context.loop.call_later(delay_s, self.on_expired)

    @property
    def left_s(self) -> float:
        """Return the seconds until the request's end."""
        return self.ends_at - self.context.loop.now

    def on_expired(self) -> None:
        """End a request whose time is over."""
        raise NotImplementedError

    def may_send_again(self) -> bool:
        """Tell whether another send is allowed, and count it."""
        if self.sends >= SENDS_MAX or self.left_s < 2 * ANSWER_MARGIN_S:
            return False
        if self.runs >= self.grant.route.attempts:
            return False
        context = self.context
        share = 1.0 if self.caller.has_begun else UNBEGUN_SHARE
        return context.resend_budget.take(
            self.service.name, context.host_count(), context.loop.now, share
        )

    def judge(self, status: int, headers: list[Header]) -> Fate:
        """Tell what the head of an answer says."""
        names = self.context.names
        if status == MISDIRECTED or find(headers, names.not_run) is not None:
            return Fate.NOT_RUN
        if status >= 500 or status in PROMISES:
            return Fate.FAILED
        if status < 300 and find(headers, names.signature) is None:
            return Fate.BROKEN
        return Fate.SERVED

    def is_mine(self, status: int, headers: list[Header]) -> bool:
        """Tell whether an answer belongs to this request."""
        echoed = find(headers, self.context.names.attempt)
        if echoed is not None:
            return echoed == self.attempt_id
        return status >= 300

    def refuse(self, reason: str) -> None:
        """Answer that the request has not run, or may have."""
        if self.may_have_run:
            self.fail(BAD_GATEWAY, reason)
            return
        wait_s = min(RETRY_AFTER_S, max(0.05, self.left_s / 4))
        self.finish(UNAVAILABLE, reason, ((b"Retry-After", b"%.2f" % wait_s),))

    def fail(self, status: int, reason: str) -> None:
        """Answer with a failure that promises nothing, or cut a begun answer."""
        self.finish(status, reason, ())

    def finish(self, status: int, reason: str, headers: t.Iterable[Header]) -> None:
        """Send the final answer of this request's own."""
        if self.is_over:
            return
        self.close()
        if self.caller.has_begun:
            self.caller.abort_answer()
        else:
            self.caller.answer(status, b"", headers, b"")
        self.context.record_request_end(self, reason)

    def close(self) -> None:
        """Let go of what the request holds."""
        self.is_over = True
        self.timer.cancel()

    def log(self, event: str, *, level: str = "INFO", **fields: object) -> None:
        """Write one event about this request."""
        log_event(
            event,
            level=level,
            request=self.attempt_id.decode("latin-1"),
            route=self.grant.route.name,
            version=self.grant.version,
            **fields,
        )
