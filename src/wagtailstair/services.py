"""Calls to plain services: choice of a replica, retries, idempotency keys."""

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
from .upstreams.transfer import TransferEnd
from .upstreams.transfer import TransferOutcome
from .upstreams.transfer import TransferRequest
from .upstreams.transfer import start_exchange

NOT_RUN_HEADER = "X-Not-Run"
LEAVING_HEADER = "X-Leaving"
STATUS_UNAVAILABLE = 503
MAX_ATTEMPTS = 4
HOP_BY_HOP_HEADERS = frozenset(
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
    """One call of a caller.

    ``deadline``: time on the monotonic clock; ``repeatable``: whether the call may
    run more than once; ``may_send``: called just before the call is sent, and
    prevents that if it returns false.
    """

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
    """Calls the plain services that this daemon routes to; thread-safe."""

    def __init__(
        self,
        loop: Loop,
        clock: Clock,
        settings: Settings,
        upstreams: Upstreams,
        claims: Claims,
        ejection: Ejection,
        retry_budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._settings = settings
        self._upstreams = upstreams
        self._claims = claims
        self._ejection = ejection
        self._retry_budget = retry_budget
        self._rng = rng
        self._lock = threading.Lock()
        self._open_count_by_name: dict[str, int] = {}

    def call_repeatable(self, call: ServiceCall) -> Answer:
        """Run a call that may run more than once.

        :raises RequestError: if no attempt was answered.
        """
        self._retry_budget.count_attempt(self._clock.monotonic())
        outcome = Outcome.NOT_RUN
        tried_replicas: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            try:
                return self._attempt(call, attempt, tried_replicas)
            except UpstreamLostError:
                outcome = Outcome.UNKNOWN
            except (UpstreamNotSentError, UpstreamRefusedError):
                pass
            if not self._wait_before_retry(attempt, call.deadline):
                break
        raise self._make_error(call, outcome)

    def call_once(self, call: ServiceCall) -> Answer:
        """Run a call at most once for its idempotency key, across all hosts.

        :raises RequestError: if it was not answered; its ``outcome`` states whether the
            call may have run.
        """
        now = self._clock.monotonic()
        self._retry_budget.count_attempt(now)
        # The claim is written after this instant, so that this send window ends
        # before the claim's own window does.
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
        # Another replica is tried only while none has run the call.
        tried_replicas: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            try:
                return self._attempt(call, attempt, tried_replicas)
            except (UpstreamNotSentError, UpstreamRefusedError):
                if attempt + 1 == MAX_ATTEMPTS:
                    raise
                if not self._wait_before_retry(attempt, call.deadline):
                    raise
        raise AssertionError("unreachable: the last attempt returns or raises")

    def _attempt(
        self, call: ServiceCall, attempt: int, tried_replicas: set[str]
    ) -> Answer:
        replica = self._choose_replica(call.service, tried_replicas)
        tried_replicas.add(replica.name)
        now = self._clock.monotonic()
        remaining_s = call.deadline - now
        if remaining_s <= 0:
            raise UpstreamNotSentError(
                "the call's deadline passed before the attempt", where=replica.name
            )
        with self._lock:
            self._ejection.record_start(replica.name)
        end = self._exchange(call, replica, attempt, remaining_s)
        self._check_answered(replica, end)
        headers = []
        for name, value in end.headers:
            if name.lower() not in HOP_BY_HOP_HEADERS:
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
        self._change_open_count(replica.name, 1)
        try:
            future = start_exchange(self._loop, request)
            # The transfer has its own timeout; the margin of a second only limits
            # the wait if its end is never reported.
            return future.result(remaining_s + 1.0)
        except concurrent.futures.TimeoutError:
            raise UpstreamLostError(
                "the transfer did not end within its timeout", where=replica.name
            ) from None
        finally:
            self._change_open_count(replica.name, -1)

    def _check_answered(self, replica: Upstream, end: TransferEnd) -> None:
        refused = (
            end.status == STATUS_UNAVAILABLE and end.header(NOT_RUN_HEADER) == "true"
        )
        failed = refused or end.sent is not TransferOutcome.ANSWERED
        self._record_result(replica, failed)
        if end.sent is TransferOutcome.NOT_SENT:
            raise UpstreamNotSentError(end.error, where=replica.name)
        if end.sent is TransferOutcome.LOST:
            raise UpstreamLostError(end.error, where=replica.name)
        if not refused:
            return
        if end.header(LEAVING_HEADER) == "true":
            self._upstreams.mark_leaving(replica.name, replica.incarnation)
        raise UpstreamRefusedError(
            "the replica refused the call and did not run it", where=replica.name
        )

    def _record_result(self, replica: Upstream, failed: bool) -> None:
        now = self._clock.monotonic()
        group_size = len(self._upstreams.replicas(replica.service))
        with self._lock:
            if failed:
                self._ejection.record_failure(replica.name, group_size, now)
                return
            self._ejection.record_success(replica.name, now)

    def _choose_replica(self, service: str, tried_replicas: set[str]) -> Upstream:
        now = self._clock.monotonic()
        replicas = self._upstreams.replicas(service)
        if not replicas:
            raise UpstreamNotSentError("the service has no live replica", where=service)
        with self._lock:
            return min(
                replicas, key=lambda replica: self._rank(replica, tried_replicas, now)
            )

    def _rank(
        self, replica: Upstream, tried_replicas: set[str], now: float
    ) -> tuple[bool, bool, bool, int, float]:
        return (
            replica.name in tried_replicas,
            self._ejection.is_ejected(replica.name, now),
            replica.data_centre != self._settings.host.data_centre,
            self._open_count_by_name.get(replica.name, 0),
            self._rng.random(),
        )

    def _change_open_count(self, name: str, amount: int) -> None:
        with self._lock:
            open_count = self._open_count_by_name.get(name, 0) + amount
            self._open_count_by_name[name] = open_count
            if open_count == 0:
                del self._open_count_by_name[name]

    def _wait_before_retry(self, attempt: int, deadline: float) -> bool:
        now = self._clock.monotonic()
        pause_s = retry_pause_s(attempt, now, deadline, self._retry_budget, self._rng)
        if pause_s is None:
            return False
        threading.Event().wait(pause_s)
        return True

    def _make_error(self, call: ServiceCall, outcome: Outcome) -> Exception:
        log_event(
            "service_call_failed",
            level="WARNING",
            request=call.request,
            service=call.service,
            outcome=outcome.value,
        )
        if self._clock.monotonic() >= call.deadline:
            return DeadlineExceededError("the call's deadline passed", outcome=outcome)
        if outcome is Outcome.UNKNOWN:
            return OutcomeUnknownError("the call was sent but its answer was lost")
        return NoUpstreamError("no replica accepted the call", retry_after_s=1.0)
