"""Calls to plain services: choice of a replica, safe retries, one run a key."""

import concurrent.futures
import dataclasses
import random
import threading
import typing as t

from .claims import Claims
from .clock import Clock
from .core.claim_steps import Answer
from .core.claims import hash_request
from .core.ejection import Ejection
from .core.retry import RetryBudget
from .core.retry import retry_pause_s
from .core.upstreams import Upstream
from .core.upstreams import Upstreams
from .exceptions import DeadlineExceededError
from .exceptions import NoUpstreamError
from .exceptions import Outcome
from .exceptions import OutcomeUnknownError
from .exceptions import UpstreamLostError
from .exceptions import UpstreamNotSentError
from .exceptions import UpstreamRefusedError
from .logs import log_event
from .settings import Settings
from .upstreams.loop import Loop
from .upstreams.transfer import Sent
from .upstreams.transfer import TransferEnd
from .upstreams.transfer import TransferRequest
from .upstreams.transfer import exchange

NOT_RUN_HEADER = "X-Not-Run"
LEAVING_HEADER = "X-Leaving"
UNAVAILABLE = 503
MAX_ATTEMPTS = 4
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCall:
    """One call as asked for; ``deadline`` is a monotonic instant."""

    request: str
    account: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    idempotency_key: str = ""
    repeatable: bool = False
    may_send: t.Callable[[], bool] | None = None


class Services:
    """The plain services that this daemon routes to; safe from any thread."""

    def __init__(
        self,
        loop: Loop,
        clock: Clock,
        settings: Settings,
        upstreams: Upstreams,
        claims: Claims,
        ejection: Ejection,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._settings = settings
        self._upstreams = upstreams
        self._claims = claims
        self._ejection = ejection
        self._budget = budget
        self._rng = rng
        self._lock = threading.Lock()
        self._open_by_name: dict[str, int] = {}

    def call_repeatable(self, call: ServiceCall) -> Answer:
        """Run a call that may run more than once.

        :raises RequestError: if no attempt was answered.
        """
        self._budget.count_attempt(self._clock.monotonic())
        outcome = Outcome.NOT_RUN
        tried: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            try:
                return self._attempt(call, attempt, tried)
            except UpstreamLostError:
                outcome = Outcome.UNKNOWN
            except (UpstreamNotSentError, UpstreamRefusedError):
                pass
            if not self._pause(attempt, call.deadline):
                break
        raise self._gave_up(call, outcome)

    def call_once(self, call: ServiceCall) -> Answer:
        """Run a call at most once for its idempotency key, over all hosts.

        :raises RequestError: with the true outcome.
        """
        now = self._clock.monotonic()
        self._budget.count_attempt(now)
        # The claim is written later than now, so this window ends within its own.
        send_until = now + self._claims.send_window_s
        guarded = dataclasses.replace(
            call, may_send=lambda: self._clock.monotonic() < send_until
        )
        return self._claims.run(
            account=call.account,
            service=call.service,
            key=call.idempotency_key,
            request_hash=hash_request(call.method, call.target, call.body),
            deadline=call.deadline,
            send=lambda: self._send_claimed(guarded),
        )

    def _send_claimed(self, call: ServiceCall) -> Answer:
        # Another replica is tried only while nothing has reached any.
        tried: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            try:
                return self._attempt(call, attempt, tried)
            except (UpstreamNotSentError, UpstreamRefusedError):
                if attempt + 1 == MAX_ATTEMPTS:
                    raise
                if not self._pause(attempt, call.deadline):
                    raise
        raise AssertionError("the last attempt returns or raises")

    def _attempt(self, call: ServiceCall, attempt: int, tried: set[str]) -> Answer:
        replica = self._choose(call.service, tried)
        tried.add(replica.name)
        now = self._clock.monotonic()
        remaining_s = call.deadline - now
        if remaining_s <= 0:
            raise UpstreamNotSentError("the deadline passed", where=replica.name)
        with self._lock:
            self._ejection.record_start(replica.name)
        end = self._exchange(call, replica, attempt, remaining_s)
        self._judge(replica, end)
        headers = []
        for name, value in end.headers:
            if name.lower() not in HOP_HEADERS:
                headers.append((name, value))
        return Answer(end.status, tuple(headers), end.body)

    def _exchange(
        self, call: ServiceCall, replica: Upstream, attempt: int, remaining_s: float
    ) -> TransferEnd:
        headers = list(call.headers)
        headers.append(("X-Request-Id", call.request))
        headers.append(("X-Attempt", f"{call.request}.{attempt + 1}"))
        headers.append(("X-Account", call.account))
        if call.idempotency_key:
            headers.append(("Idempotency-Key", call.idempotency_key))
        request = TransferRequest(
            method=call.method,
            url=f"http://{replica.address}/{call.target}",
            headers=tuple(headers),
            body=call.body,
            connect_timeout_s=self._settings.routing.connect_timeout_s,
            timeout_s=remaining_s,
            max_response_bytes=self._settings.limits.response_bytes,
            repeatable=call.repeatable,
            may_send=call.may_send,
        )
        self._count(replica.name, 1)
        try:
            future = exchange(self._loop, request)
            # The transfer ends by itself; the margin guards against its loss.
            return future.result(remaining_s + 1.0)
        except concurrent.futures.TimeoutError:
            raise UpstreamLostError(
                "no end of the transfer", where=replica.name
            ) from None
        finally:
            self._count(replica.name, -1)

    def _judge(self, replica: Upstream, end: TransferEnd) -> None:
        refused = end.status == UNAVAILABLE and end.header(NOT_RUN_HEADER) == "true"
        failed = refused or end.sent is not Sent.ANSWERED
        self._note(replica, failed)
        if end.sent is Sent.NOT_SENT:
            raise UpstreamNotSentError(end.error, where=replica.name)
        if end.sent is Sent.LOST:
            raise UpstreamLostError(end.error, where=replica.name)
        if not refused:
            return
        if end.header(LEAVING_HEADER) == "true":
            self._upstreams.mark_leaving(replica.name, replica.incarnation)
        raise UpstreamRefusedError("refused, not run", where=replica.name)

    def _note(self, replica: Upstream, failed: bool) -> None:
        now = self._clock.monotonic()
        group = len(self._upstreams.replicas(replica.service))
        with self._lock:
            if failed:
                self._ejection.record_failure(replica.name, group, now)
                return
            self._ejection.record_success(replica.name, now)

    def _choose(self, service: str, tried: set[str]) -> Upstream:
        now = self._clock.monotonic()
        replicas = self._upstreams.replicas(service)
        if not replicas:
            raise UpstreamNotSentError("no live replica", where=service)
        with self._lock:
            return min(replicas, key=lambda replica: self._rank(replica, tried, now))

    def _rank(
        self, replica: Upstream, tried: set[str], now: float
    ) -> tuple[bool, bool, bool, int, float]:
        return (
            replica.name in tried,
            self._ejection.is_ejected(replica.name, now),
            replica.data_centre != self._settings.host.data_centre,
            self._open_by_name.get(replica.name, 0),
            self._rng.random(),
        )

    def _count(self, name: str, amount: int) -> None:
        with self._lock:
            left = self._open_by_name.get(name, 0) + amount
            self._open_by_name[name] = left
            if left == 0:
                del self._open_by_name[name]

    def _pause(self, attempt: int, deadline: float) -> bool:
        now = self._clock.monotonic()
        pause_s = retry_pause_s(attempt, now, deadline, self._budget, self._rng)
        if pause_s is None:
            return False
        threading.Event().wait(pause_s)
        return True

    def _gave_up(self, call: ServiceCall, outcome: Outcome) -> Exception:
        log_event(
            "service_call_failed",
            level="WARNING",
            request=call.request,
            service=call.service,
            outcome=outcome.value,
        )
        if self._clock.monotonic() >= call.deadline:
            return DeadlineExceededError("the deadline passed", outcome=outcome)
        if outcome is Outcome.UNKNOWN:
            return OutcomeUnknownError("the answer was lost")
        return NoUpstreamError("no replica took the call", retry_after_s=1.0)
