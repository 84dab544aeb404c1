"""Relay of one completion: routes, attempts, and tokens to the caller."""

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
from .jobs import Dispatch
from .jobs import Finished
from .jobs import Job
from .jobs import Sink
from .logs import log_event
from .settings import RoutingSection
from .upstreams.engine import Line
from .upstreams.engine import LineBuffer
from .upstreams.engine import decode_line
from .upstreams.engine import decode_refusal
from .upstreams.engine import encode_generate
from .upstreams.loop import Loop
from .upstreams.transfer import Sent
from .upstreams.transfer import Transfer
from .upstreams.transfer import TransferEnd
from .upstreams.transfer import TransferRequest

SWEEP_INTERVAL_S = 0.25
REFUSAL_STATUSES = frozenset({409, 429, 503})


@dataclasses.dataclass(slots=True, frozen=True)
class _Open:
    """A grant in use, and the exchange that runs on it."""

    data_centre: str
    grant_epoch: int
    attempt: Attempt
    transfer: Transfer
    lines: LineBuffer


class Relays:
    """All relays of a daemon and what they share.

    :param budget: of the whole host, for attempts that engines refuse.
    :param on_failed: hears the name of an engine whose attempt failed.
    """

    def __init__(
        self,
        loop: Loop,
        dispatch: Dispatch,
        clock: Clock,
        routing: RoutingSection,
        host: str,
        data_centre: str,
        budget: RetryBudget,
        rng: random.Random,
        on_failed: t.Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.dispatch = dispatch
        self.clock = clock
        self.routing = routing
        self.host = host
        self.data_centre = data_centre
        self.waits = WaitEstimates()
        self._rng = rng
        self.budget = budget
        self.on_failed = on_failed
        self._open: set[Relay] = set()

    def start(self) -> None:
        """Begin to look for stalled streams and passed deadlines."""
        self.loop.call(self._sweep)

    def run(self, job: Job, sink: Sink) -> "Relay":
        """Begin a relay; its future ends with the answer or a RequestError."""
        relay = Relay(self, job, sink)
        self.loop.call(relay.start)
        return relay

    def order(self, job: Job) -> tuple[str, ...]:
        """Return the data centres to ask for a route, the best first."""
        if job.data_centres[:1] != (self.data_centre,):
            # The own data centre can't serve now, and stands last.
            return job.data_centres
        return self.waits.order(
            self.data_centre,
            job.data_centres,
            job.priority,
            self.clock.monotonic(),
            self._rng,
        )

    def add(self, relay: "Relay") -> None:
        """Watch a relay."""
        self._open.add(relay)

    def discard(self, relay: "Relay") -> None:
        """Stop watching a relay."""
        self._open.discard(relay)

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.clock.monotonic()
        for relay in tuple(self._open):
            # A call each, so that a fault in one relay does not keep the others
            # from being looked at.
            self.loop.call(functools.partial(relay.check, now))


class Relay:
    """One completion on its way; used in the loop's thread."""

    def __init__(self, shared: Relays, job: Job, sink: Sink) -> None:
        self.future: concurrent.futures.Future[Finished] = concurrent.futures.Future()
        self._shared = shared
        self._job = job
        self._sink = sink
        self._session: Session | None = None
        self._open: _Open | None = None
        self._asked: tuple[str, int] | None = None
        self._data_centres = job.data_centres
        self._centre_index = 0
        self._epoch = 0
        self._avoid: frozenset[str] = frozenset()
        self._paused = False
        self._last_line_at = 0.0
        self._awaiting_first = True
        self._ended = False

    def start(self) -> None:
        """Ask for the first route."""
        self._shared.add(self)
        self._shared.budget.count_attempt(self._shared.clock.monotonic())
        self._data_centres = self._shared.order(self._job)
        self._ask()

    def cancel(self) -> None:
        """End the work upstream; the caller is gone."""
        self._fail(CallerGoneError("the caller closed the connection"))

    def resume(self) -> None:
        """Go on after the sink was full."""
        if self._paused and self._open is not None:
            self._paused = False
            self._last_line_at = self._shared.clock.monotonic()
            self._open.transfer.resume()

    def check(self, now: float) -> None:
        """End what is past its deadline; break what has stalled."""
        if self._ended:
            return
        if now >= self._job.deadline:
            self._fail(DeadlineExceededError("the deadline passed"))
            return
        if self._open is None or self._paused:
            return
        limit = self._shared.routing.stall_timeout_s
        if self._awaiting_first:
            limit = self._shared.routing.first_token_timeout_s
        if now - self._last_line_at > limit:
            self._open.transfer.cancel()
            self._broken("stalled", sent=True)

    def _ask(self) -> None:
        job = self._job
        now = self._shared.clock.monotonic()
        if now >= job.deadline:
            self._fail(DeadlineExceededError("the deadline passed"))
            return
        if self._centre_index >= len(self._data_centres) and self._avoid:
            # One of the avoided engines may be sound, and the last for its layers.
            self._avoid = frozenset()
            self._centre_index = 0
        if self._centre_index >= len(self._data_centres):
            self._fail(NoUpstreamError("no route over live engines", retry_after_s=1.0))
            return
        delivered = len(self._session.tokens) if self._session else 0
        self._epoch += 1
        want = RouteRequest(
            request=job.request,
            epoch=self._epoch,
            host=self._shared.host,
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
            avoid=self._avoid,
        )
        data_centre = self._data_centres[self._centre_index]
        self._shared.waits.submitted(job.request, data_centre, job.priority, now)
        self._asked = (data_centre, self._epoch)
        future = self._shared.dispatch.submit(job.model, data_centre, want)
        asked = self._asked
        future.add_done_callback(
            lambda done: self._shared.loop.call(lambda: self._on_route(asked, done))
        )

    def _on_route(
        self,
        asked: tuple[str, int],
        future: "concurrent.futures.Future[Grant | Refusal]",
    ) -> None:
        if future.cancelled() or self._asked != asked:
            return
        self._asked = None
        answer = future.result()
        now = self._shared.clock.monotonic()
        if isinstance(answer, Refusal):
            self._shared.waits.refused(self._job.request, now)
            self._on_refusal(answer)
            return
        self._shared.waits.granted(self._job.request, now)
        self._begin(asked[0], answer)

    def _on_refusal(self, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.NO_ROUTE:
            self._centre_index += 1
            self._ask()
            return
        message = "the queue is full"
        if refusal.reason is RefusalReason.DEADLINE:
            message = "the deadline can't be met at the present load"
        self._fail(QueueFullError(message, retry_after_s=refusal.retry_after_s))

    def _begin(self, data_centre: str, grant: Grant) -> None:
        job = self._job
        if self._session is None:
            layers = grant.route[-1].last
            self._session = Session(job.request, job.prompt, job.max_tokens, layers)
        attempt = self._session.begin(grant.route)
        now = self._shared.clock.monotonic()
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
            connect_timeout_s=self._shared.routing.connect_timeout_s,
            timeout_s=remaining_s,
        )
        transfer = Transfer(
            self._shared.loop,
            request,
            lambda end: self._on_transfer_end(attempt, end),
            lambda data: self._on_data(attempt, data),
        )
        self._open = _Open(data_centre, grant.epoch, attempt, transfer, LineBuffer())
        self._paused = False
        self._awaiting_first = True
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

    def _on_data(self, attempt: Attempt, data: bytes) -> bool:
        if self._open is None or self._open.attempt is not attempt:
            return True
        if self._sink.is_full():
            self._paused = True
            return False
        self._last_line_at = self._shared.clock.monotonic()
        try:
            lines = self._open.lines.feed(data)
        except UpstreamError as error:
            self._violated(str(error))
            return True
        for raw in lines:
            if not self._on_line(raw):
                break
        return True

    def _on_line(self, raw: bytes) -> bool:
        # True while the attempt goes on.
        session = self._session
        assert session is not None
        try:
            line = decode_line(raw)
        except UpstreamError as error:
            self._violated(str(error))
            return False
        if line.end:
            return self._on_end_line(session, line)
        verdict = session.accept_token(
            line.r, line.a, line.e, line.p, line.t, line.x, line.w
        )
        if isinstance(verdict, Accepted):
            self._awaiting_first = False
            self._sink.token(line.x)
            return True
        if isinstance(verdict, Dropped):
            return True
        self._violated(verdict.reason.value)
        return False

    def _on_end_line(self, session: Session, line: Line) -> bool:
        verdict = session.accept_end(line.r, line.a, line.e, line.p, line.end)
        if isinstance(verdict, Dropped):
            return True
        if isinstance(verdict, Violation):
            self._violated(verdict.reason.value)
            return False
        opened = self._open
        assert opened is not None
        opened.transfer.cancel()
        self._release(frozenset())
        finished = Finished(
            line.end, session.text(), self._job.prompt_tokens, len(session.tokens)
        )
        self._finish()
        self.future.set_result(finished)
        return False

    def _on_transfer_end(self, attempt: Attempt, end: TransferEnd) -> None:
        if self._open is None or self._open.attempt is not attempt:
            return
        session = self._session
        assert session is not None
        if end.status in REFUSAL_STATUSES and decode_refusal(end.body):
            session.close_refused(attempt.id)
            # A refusal is a sign of overload, which retries must not feed. A
            # broken stream is resumed in any case: the pool paces it.
            allowed = self._shared.budget.take(self._shared.clock.monotonic())
            self._retry(attempt, "refused", allowed, attempt.route[:1])
            return
        self._broken(end.error or f"status {end.status}", end.sent is not Sent.NOT_SENT)

    def _violated(self, reason: str) -> None:
        # The session closed its epoch; the answer goes on from what is delivered.
        opened = self._open
        if opened is None:
            return
        opened.transfer.cancel()
        self._broken(reason, sent=True)

    def _broken(self, reason: str, sent: bool) -> None:
        opened = self._open
        assert opened is not None
        assert self._session is not None
        self._session.close_broken(opened.attempt.id, sent)
        # What was not sent tells of the first engine alone.
        route = opened.attempt.route
        self._retry(opened.attempt, reason, True, route if sent else route[:1])

    def _retry(
        self, attempt: Attempt, reason: str, allowed: bool, suspects: Route
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
        engines = frozenset(stage.engine for stage in suspects)
        self._release(engines)
        self._avoid = self._avoid | engines
        self._shared.on_failed(failed)
        if allowed and session.may_begin():
            self._centre_index = 0
            self._ask()
            return
        outcome = session.close()
        if outcome is Outcome.NOT_RUN:
            self._fail(NoUpstreamError("no engine took the request", retry_after_s=1.0))
            return
        self._fail(OutcomeUnknownError("the answer could not be completed"))

    def _release(self, failed: frozenset[str]) -> None:
        opened = self._open
        self._open = None
        if opened is None:
            return
        assert self._session is not None
        done = GrantOutcome(
            request=self._job.request,
            epoch=opened.grant_epoch,
            host=self._shared.host,
            prompt_tokens=self._job.prompt_tokens,
            output_tokens=len(self._session.tokens) - opened.attempt.position,
            failed=failed,
        )
        self._shared.dispatch.done(self._job.model, opened.data_centre, done)

    def _fail(self, error: RequestError) -> None:
        if self._ended:
            return
        asked = self._asked
        self._asked = None
        if asked is not None:
            self._shared.waits.withdrawn(self._job.request)
            self._shared.dispatch.cancel(
                self._job.model, asked[0], self._job.request, asked[1]
            )
        if self._open is not None:
            self._open.transfer.cancel()
        if self._session is not None:
            error.outcome = self._session.close()
        self._release(frozenset())
        self._finish()
        self.future.set_exception(error)

    def _finish(self) -> None:
        self._ended = True
        self._shared.discard(self)


def _route_text(route: Route) -> str:
    parts = [f"{stage.engine}[{stage.first}:{stage.last}]" for stage in route]
    return ",".join(parts)
