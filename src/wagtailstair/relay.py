"""Relays of completions: request a route, run attempts, pass tokens to the caller."""

import concurrent.futures
import dataclasses
import functools
import random
import typing as t

from .clock import Clock
from .core.engine import Route
from .core.grants import Grant
from .core.grants import GrantOutcome
from .core.grants import Refusal
from .core.grants import RefusalReason
from .core.grants import RouteRequest
from .core.retry import RetryBudget
from .core.sessions import Accepted
from .core.sessions import Attempt
from .core.sessions import Dropped
from .core.sessions import Session
from .core.sessions import Violation
from .core.wait_estimates import WaitEstimates
from .exceptions import CallerGoneError
from .exceptions import DeadlineExceededError
from .exceptions import NoUpstreamError
from .exceptions import Outcome
from .exceptions import OutcomeUnknownError
from .exceptions import QueueFullError
from .exceptions import RequestError
from .exceptions import UpstreamError
from .jobs import CompletionResult
from .jobs import Job
from .jobs import RouteDispatcher
from .jobs import TokenSink
from .logs import log_event
from .settings import RoutingSection
from .upstreams.engine import Line
from .upstreams.engine import LineBuffer
from .upstreams.engine import decode_line
from .upstreams.engine import encode_generate
from .upstreams.engine import says_not_run
from .upstreams.loop import Loop
from .upstreams.transfer import Transfer
from .upstreams.transfer import TransferEnd
from .upstreams.transfer import TransferOutcome
from .upstreams.transfer import TransferRequest

TIMEOUT_CHECK_INTERVAL_S = 0.25
REFUSAL_STATUSES = frozenset({409, 429, 503})


@dataclasses.dataclass(slots=True, frozen=True)
class _OpenAttempt:
    """A grant in use, with the attempt and the transfer that run on it."""

    data_centre: str
    grant_epoch: int
    attempt: Attempt
    transfer: Transfer
    lines: LineBuffer


class Relays:
    """All open relays of a daemon and the objects that they share.

    :param retry_budget: the host's budget for retries after an engine's refusal.
    :param on_attempt_failed: called with the name of an engine whose attempt failed.
    """

    def __init__(
        self,
        loop: Loop,
        dispatch: RouteDispatcher,
        clock: Clock,
        routing: RoutingSection,
        host: str,
        data_centre: str,
        retry_budget: RetryBudget,
        rng: random.Random,
        on_attempt_failed: t.Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.dispatch = dispatch
        self.clock = clock
        self.routing = routing
        self.host = host
        self.data_centre = data_centre
        self.waits = WaitEstimates()
        self._rng = rng
        self.retry_budget = retry_budget
        self.on_attempt_failed = on_attempt_failed
        self._open_relays: set[Relay] = set()

    def start(self) -> None:
        """Start the periodic check for stalled streams and passed deadlines."""
        self.loop.call(self._check_timeouts)

    def start_relay(self, job: Job, sink: TokenSink) -> "Relay":
        """Start a relay; its future gets the answer or a RequestError."""
        relay = Relay(self, job, sink)
        self.loop.call(relay.start)
        return relay

    def order_data_centres(self, job: Job) -> tuple[str, ...]:
        """Return the data centres to request a route from, the best first."""
        if job.data_centres[:1] != (self.data_centre,):
            # This host's data centre can't serve the model now and comes last.
            return job.data_centres
        return self.waits.order(
            self.data_centre,
            job.data_centres,
            job.priority,
            self.clock.monotonic(),
            self._rng,
        )

    def add(self, relay: "Relay") -> None:
        """Add a relay to the timeout checks."""
        self._open_relays.add(relay)

    def discard(self, relay: "Relay") -> None:
        """Remove a relay from the timeout checks."""
        self._open_relays.discard(relay)

    def _check_timeouts(self) -> None:
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        now = self.clock.monotonic()
        for relay in tuple(self._open_relays):
            # One call for each relay, so that an error in one does not skip the
            # check of the others.
            self.loop.call(functools.partial(relay.check_timeouts, now))


class Relay:
    """One open completion; its methods run in the loop's thread."""

    def __init__(self, relays: Relays, job: Job, sink: TokenSink) -> None:
        self.future: concurrent.futures.Future[CompletionResult] = (
            concurrent.futures.Future()
        )
        self._relays = relays
        self._job = job
        self._sink = sink
        self._session: Session | None = None
        self._open_attempt: _OpenAttempt | None = None
        self._pending_route: tuple[str, int] | None = None
        self._data_centres = job.data_centres
        self._data_centre_index = 0
        self._epoch = 0
        self._avoided_engines: frozenset[str] = frozenset()
        self._paused = False
        self._last_line_at = 0.0
        self._awaiting_first_token = True
        self._ended = False

    def start(self) -> None:
        """Request the first route."""
        self._relays.add(self)
        self._relays.retry_budget.count_attempt(self._relays.clock.monotonic())
        self._data_centres = self._relays.order_data_centres(self._job)
        self._request_route()

    def cancel(self) -> None:
        """Cancel the completion because the caller disconnected."""
        self._fail(CallerGoneError("the caller closed the connection"))

    def resume(self) -> None:
        """Resume a transfer that was paused because the sink was full."""
        if self._paused and self._open_attempt is not None:
            self._paused = False
            self._last_line_at = self._relays.clock.monotonic()
            self._open_attempt.transfer.resume()

    def check_timeouts(self, now: float) -> None:
        """End the relay at its deadline; retry an attempt that has stalled."""
        if self._ended:
            return
        if now >= self._job.deadline:
            self._fail(DeadlineExceededError("the request's deadline passed"))
            return
        if self._open_attempt is None or self._paused:
            return
        limit_s = self._relays.routing.stall_timeout_s
        if self._awaiting_first_token:
            limit_s = self._relays.routing.first_token_timeout_s
        if now - self._last_line_at > limit_s:
            self._open_attempt.transfer.cancel()
            self._handle_broken_stream("stalled", sent=True)

    def _request_route(self) -> None:
        job = self._job
        now = self._relays.clock.monotonic()
        if now >= job.deadline:
            self._fail(DeadlineExceededError("the request's deadline passed"))
            return
        if self._data_centre_index >= len(self._data_centres) and self._avoided_engines:
            # Without the avoided engines no route is left. Try them again: one may
            # be healthy and the only one that serves some layers.
            self._avoided_engines = frozenset()
            self._data_centre_index = 0
        if self._data_centre_index >= len(self._data_centres):
            self._fail(
                NoUpstreamError(
                    "no data centre has a route over live engines", retry_after_s=1.0
                )
            )
            return
        delivered = len(self._session.tokens) if self._session else 0
        self._epoch += 1
        route_request = RouteRequest(
            request=job.request,
            epoch=self._epoch,
            host=self._relays.host,
            account=job.account,
            priority=job.priority,
            weight=job.weight,
            work=max(1.0, job.work - delivered),
            prompt_tokens=job.prompt_tokens + delivered,
            max_tokens=job.max_tokens - delivered,
            deadline=job.deadline,
            entitled=job.entitled,
            adapter=job.adapter,
            prefixes=job.prefixes,
            avoid=self._avoided_engines,
        )
        data_centre = self._data_centres[self._data_centre_index]
        self._relays.waits.record_submission(
            job.request, data_centre, job.priority, now
        )
        self._pending_route = (data_centre, self._epoch)
        future = self._relays.dispatch.submit(job.model, data_centre, route_request)
        pending_route = self._pending_route
        future.add_done_callback(
            lambda done: self._relays.loop.call(
                lambda: self._handle_route_answer(pending_route, done)
            )
        )

    def _handle_route_answer(
        self,
        pending_route: tuple[str, int],
        future: "concurrent.futures.Future[Grant | Refusal]",
    ) -> None:
        if future.cancelled() or self._pending_route != pending_route:
            return
        self._pending_route = None
        answer = future.result()
        now = self._relays.clock.monotonic()
        if isinstance(answer, Refusal):
            self._relays.waits.record_refusal(self._job.request, now)
            self._handle_refusal(answer)
            return
        self._relays.waits.record_grant(self._job.request, now)
        self._start_attempt(pending_route[0], answer)

    def _handle_refusal(self, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.NO_ROUTE:
            self._data_centre_index += 1
            self._request_route()
            return
        message = "the queue is full"
        if refusal.reason is RefusalReason.DEADLINE:
            message = "the deadline can't be met at the present load"
        self._fail(QueueFullError(message, retry_after_s=refusal.retry_after_s))

    def _start_attempt(self, data_centre: str, grant: Grant) -> None:
        job = self._job
        if self._session is None:
            layers = grant.route[-1].last
            self._session = Session(job.request, job.prompt, job.max_tokens, layers)
        attempt = self._session.begin(grant.route)
        now = self._relays.clock.monotonic()
        remaining_s = max(0.001, job.deadline - now)
        body = encode_generate(
            request=job.request,
            attempt=attempt.id,
            epoch=attempt.epoch,
            model=job.model,
            adapter=job.adapter,
            prompt=job.prompt,
            tokens=attempt.tokens,
            max_tokens=job.max_tokens,
            priority=job.priority,
            timeout_s=remaining_s,
            route=grant.route,
        )
        request = TransferRequest(
            method="POST",
            url=f"http://{grant.route[0].address}/v1/generate",
            headers=(("Content-Type", "application/json"),),
            body=body,
            connect_timeout_s=self._relays.routing.connect_timeout_s,
            timeout_s=remaining_s,
        )
        transfer = Transfer(
            self._relays.loop,
            request,
            lambda end: self._handle_transfer_end(attempt, end),
            lambda data: self._handle_data(attempt, data),
        )
        self._open_attempt = _OpenAttempt(
            data_centre, grant.epoch, attempt, transfer, LineBuffer()
        )
        self._paused = False
        self._awaiting_first_token = True
        self._last_line_at = now
        log_event(
            "attempt_started",
            level="DEBUG",
            request=job.request,
            attempt=attempt.id,
            position=attempt.position,
            route=_route_text(grant.route),
        )
        transfer.start()

    def _handle_data(self, attempt: Attempt, data: bytes) -> bool:
        if self._open_attempt is None or self._open_attempt.attempt is not attempt:
            return True
        if self._sink.is_full():
            self._paused = True
            return False
        self._last_line_at = self._relays.clock.monotonic()
        try:
            lines = self._open_attempt.lines.feed(data)
        except UpstreamError as error:
            self._handle_violation(str(error))
            return True
        for raw in lines:
            if not self._handle_line(raw):
                break
        return True

    def _handle_line(self, raw: bytes) -> bool:
        # Returns whether the attempt continues.
        session = self._session
        assert session is not None
        try:
            line = decode_line(raw)
        except UpstreamError as error:
            self._handle_violation(str(error))
            return False
        if line.end:
            return self._handle_end_line(session, line)
        verdict = session.accept_token(
            line.r, line.a, line.e, line.p, line.t, line.x, line.w
        )
        if isinstance(verdict, Accepted):
            self._awaiting_first_token = False
            self._sink.write_token(line.x)
            return True
        if isinstance(verdict, Dropped):
            return True
        self._handle_violation(verdict.reason.value)
        return False

    def _handle_end_line(self, session: Session, line: Line) -> bool:
        verdict = session.accept_end(line.r, line.a, line.e, line.p, line.end)
        if isinstance(verdict, Dropped):
            return True
        if isinstance(verdict, Violation):
            self._handle_violation(verdict.reason.value)
            return False
        open_attempt = self._open_attempt
        assert open_attempt is not None
        open_attempt.transfer.cancel()
        self._release_grant(frozenset())
        finished = CompletionResult(
            line.end, session.text(), self._job.prompt_tokens, len(session.tokens)
        )
        self._mark_ended()
        self.future.set_result(finished)
        return False

    def _handle_transfer_end(self, attempt: Attempt, end: TransferEnd) -> None:
        if self._open_attempt is None or self._open_attempt.attempt is not attempt:
            return
        session = self._session
        assert session is not None
        if end.status in REFUSAL_STATUSES and says_not_run(end.body):
            session.close_refused(attempt.id)
            # A refusal indicates overload, which unlimited retries would make
            # worse. A broken stream needs no budget: the pool limits the rate of
            # its new attempts.
            allowed = self._relays.retry_budget.take(self._relays.clock.monotonic())
            self._retry(attempt, "refused", allowed, attempt.route[:1])
            return
        self._handle_broken_stream(
            end.error or f"status {end.status}",
            end.sent is not TransferOutcome.NOT_SENT,
        )

    def _handle_violation(self, reason: str) -> None:
        # The session has closed the epoch. The next attempt continues after the
        # last delivered token.
        open_attempt = self._open_attempt
        if open_attempt is None:
            return
        open_attempt.transfer.cancel()
        self._handle_broken_stream(reason, sent=True)

    def _handle_broken_stream(self, reason: str, sent: bool) -> None:
        open_attempt = self._open_attempt
        assert open_attempt is not None
        assert self._session is not None
        self._session.close_broken(open_attempt.attempt.id, sent)
        # If nothing was sent, only the first engine of the route is suspected.
        route = open_attempt.attempt.route
        self._retry(open_attempt.attempt, reason, True, route if sent else route[:1])

    def _retry(
        self, attempt: Attempt, reason: str, allowed: bool, suspect_stages: Route
    ) -> None:
        session = self._session
        assert session is not None
        failed = attempt.route[0].engine
        log_event(
            "attempt_failed",
            level="WARNING",
            request=self._job.request,
            attempt=attempt.id,
            engine=failed,
            position=len(session.tokens),
            reason=reason,
        )
        engines = frozenset(stage.engine for stage in suspect_stages)
        self._release_grant(engines)
        self._avoided_engines = self._avoided_engines | engines
        self._relays.on_attempt_failed(failed)
        if allowed and session.may_begin():
            self._data_centre_index = 0
            self._request_route()
            return
        outcome = session.close()
        if outcome is Outcome.NOT_RUN:
            self._fail(
                NoUpstreamError("no engine accepted the request", retry_after_s=1.0)
            )
            return
        self._fail(OutcomeUnknownError("the answer could not be completed"))

    def _release_grant(self, failed: frozenset[str]) -> None:
        open_attempt = self._open_attempt
        self._open_attempt = None
        if open_attempt is None:
            return
        assert self._session is not None
        outcome = GrantOutcome(
            request=self._job.request,
            epoch=open_attempt.grant_epoch,
            host=self._relays.host,
            prompt_tokens=self._job.prompt_tokens,
            output_tokens=len(self._session.tokens) - open_attempt.attempt.position,
            failed=failed,
        )
        self._relays.dispatch.done(self._job.model, open_attempt.data_centre, outcome)

    def _fail(self, error: RequestError) -> None:
        if self._ended:
            return
        pending_route = self._pending_route
        self._pending_route = None
        if pending_route is not None:
            self._relays.waits.record_withdrawal(self._job.request)
            self._relays.dispatch.cancel(
                self._job.model, pending_route[0], self._job.request, pending_route[1]
            )
        if self._open_attempt is not None:
            self._open_attempt.transfer.cancel()
        if self._session is not None:
            error.outcome = self._session.close()
        self._release_grant(frozenset())
        self._mark_ended()
        self.future.set_exception(error)

    def _mark_ended(self) -> None:
        self._ended = True
        self._relays.discard(self)


def _route_text(route: Route) -> str:
    parts = [f"{stage.engine}[{stage.first}:{stage.last}]" for stage in route]
    return ",".join(parts)
