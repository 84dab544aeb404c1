"""Checks of the documented guarantees against observed requests, runs and answers.

This module does no I/O: the soak reports each observation with its time.
"""

import dataclasses
import enum
import typing as t

UNDISTURBED_S = 3.0
"""Seconds without a disturbance after which the documented time bounds apply."""

APPLY_S = 2.0
"""Documented seconds within which an accepted change takes effect."""

DRAIN_S = 2.0
"""Documented seconds after which a leaving upstream gets no more requests."""

VERSION_OVERLAP_S = 0.25
"""Seconds after a version first takes effect in which an older one may still apply."""

LOST_DEADLINE_SHARE = 0.7
"""Share of a request's deadline after which a cut connection is no violation."""

REFUSALS = frozenset({408, 421, 429, 503})
"""Status codes which state that the request did not run."""

DENIALS = frozenset({401, 403, 404})


class Kind(enum.Enum):
    """Whether a request may be retried, and whether its answer is a stream."""

    NON_IDEMPOTENT = "once"
    IDEMPOTENT = "repeatable"
    STREAM = "stream"


@dataclasses.dataclass(slots=True)
class Key:
    """An account's API key.

    ``added``, ``removed``: the versions of the lists that added and revoked it.
    """

    text: str
    account: str
    added: int
    removed: int | None = None


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request of a caller and its outcome.

    ``incarnation``: the host process to which the caller was connected.
    ``version``: the version of the lists when the request was sent.
    ``runs``: the upstreams that ran it.
    """

    attempt: str
    kind: Kind
    method: str
    target: str
    body: bytes
    key: Key
    host: str
    incarnation: str
    sent_at: float
    deadline_s: float
    version: int
    runs: list[str] = dataclasses.field(default_factory=list)
    status: int | None = None


class DisturbanceLog:
    """Records when each part of the deployment was last disturbed."""

    def __init__(self) -> None:
        self._ended_at: dict[str, float] = {}
        self._active: dict[str, int] = {}

    def begin(self, part: str) -> None:
        """Record the start of a disturbance."""
        self._active[part] = self._active.get(part, 0) + 1

    def end(self, part: str, now: float) -> None:
        """Record the end of a disturbance."""
        self._active[part] -= 1
        self._ended_at[part] = now

    def record(self, part: str, now: float) -> None:
        """Record a disturbance without duration."""
        self._ended_at[part] = max(now, self._ended_at.get(part, now))

    def is_undisturbed(self, parts: t.Iterable[str], now: float, span_s: float) -> bool:
        """Return whether none of the parts was disturbed in the last ``span_s``."""
        for part in parts:
            if self._active.get(part):
                return False
            if now - self._ended_at.get(part, float("-inf")) < span_s:
                return False
        return True


MACHINE = "machine"
"""The whole machine: disturbed when the soak's own process was late."""

STORE = "store"
UPSTREAMS = "upstreams"


class InvariantChecker:
    """Checks observations against the guarantees and collects violations."""

    def __init__(self, disturbances: DisturbanceLog) -> None:
        self.disturbances = disturbances
        self.violations: list[str] = []
        self._requests: dict[str, CallerRequest] = {}
        self.version = 0
        self._accepted_at: dict[int, float] = {}
        self._leaving_at: dict[str, float] = {}
        self._minimum_by_incarnation: dict[str, tuple[int, float]] = {}
        self.counts: dict[str, int] = {}

    def record_version(self, version: int, now: float) -> None:
        """Record that the store acknowledged new lists."""
        self.version = version
        self._accepted_at[version] = now

    def record_leaving(self, upstream: str, now: float) -> None:
        """Record that the store acknowledged the leaving of an upstream."""
        self._leaving_at.setdefault(upstream, now)

    def record_request(self, request: CallerRequest) -> None:
        """Record a request that is about to be sent."""
        self._requests[request.attempt] = request

    def _report(self, kind: str, text: str, now: float) -> None:
        self.violations.append(f"{kind} at {now:.2f}: {text}")

    def _is_undisturbed(self, request: CallerRequest, now: float) -> bool:
        parts = (MACHINE, STORE, request.host)
        return self.disturbances.is_undisturbed(parts, now, UNDISTURBED_S)

    # Observations of upstreams.

    def record_run(
        self,
        upstream: str,
        received: "ReceivedRequest",
        now: float,
        *,
        is_first: bool = True,
    ) -> None:
        """Record that an upstream starts a request, and check that it may."""
        request = self._requests.get(received.attempt)
        if request is None:
            self._report("unasked", f"{upstream} ran {received.attempt}", now)
            return
        expected = (
            request.method,
            request.target,
            request.body,
            request.key.account,
            "",
        )
        actual = (
            received.method,
            received.target,
            received.body,
            received.account,
            received.authorization,
        )
        if expected != actual:
            self._report("unasked", f"{upstream} ran {actual}, not {expected}", now)
        if is_first:
            request.runs.append(upstream)
        if request.kind is Kind.NON_IDEMPOTENT and len(request.runs) > 1:
            self._report("twice", f"{request.attempt} ran on {request.runs}", now)
        if request.status in REFUSALS:
            self._report(
                "refused", f"{request.attempt} ran after {request.status}", now
            )
        leaving_at = self._leaving_at.get(upstream, now)
        if now - leaving_at > DRAIN_S and self._is_undisturbed(request, now):
            late_s = now - leaving_at
            text = f"{upstream} got {request.attempt} {late_s:.2f} s after leaving"
            self._report("drain", text, now)

    def check_path(self, upstream: str, attempt: str, text: str, layers: int) -> None:
        """Check that a request's path runs each layer once and in order."""
        next_layer = 0
        for part in text.split(","):
            first, _, last = part.partition("=")[2].partition("-")
            if int(first) != next_layer or int(last) <= next_layer:
                break
            next_layer = int(last)
        if next_layer != layers:
            self.violations.append(
                f"layers: {attempt} at {upstream} has the path {text}"
            )

    # Observations of callers.

    def check_answer(
        self, attempt: str, status: int, text: str, now: float, *, is_complete: bool
    ) -> None:
        """Check an answer; ``text`` is its body."""
        request = self._requests[attempt]
        request.status = status
        self.counts[str(status)] = self.counts.get(str(status), 0) + 1
        if status in REFUSALS and request.runs:
            self._report("refused", f"{attempt} got {status} after {request.runs}", now)
        if status in DENIALS:
            self._check_denial(request, now)
        if 200 <= status < 300:
            self._check_success(request, text, now, is_complete=is_complete)

    def check_cut(self, attempt: str, now: float, *, in_shutdown: bool) -> None:
        """Check a connection that ended before the answer was complete."""
        request = self._requests[attempt]
        self.counts["cut"] = self.counts.get("cut", 0) + 1
        if not in_shutdown or not request.runs:
            return
        if now - request.sent_at > LOST_DEADLINE_SHARE * request.deadline_s:
            return
        parts = (MACHINE, STORE, UPSTREAMS, request.host)
        span_s = now - request.sent_at + UNDISTURBED_S
        if self.disturbances.is_undisturbed(parts, now, span_s):
            self._report("lost", f"{attempt} was cut by the shutdown", now)

    def _check_success(
        self, request: CallerRequest, text: str, now: float, *, is_complete: bool
    ) -> None:
        if not request.runs:
            self._report("mixed", f"{request.attempt} was answered but not run", now)
        if request.kind is not Kind.STREAM and text != f"body of {request.attempt}":
            self._report("mixed", f"{request.attempt} got {text!r}", now)
        if request.kind is Kind.STREAM:
            self._check_events(request, text, now, is_complete=is_complete)
        self._check_version(request, now)

    def _check_events(
        self, request: CallerRequest, text: str, now: float, *, is_complete: bool
    ) -> None:
        events = [event for event in text.split("\n\n") if event]
        for number, event in enumerate(events, 1):
            if event != make_event(request.attempt, number).rstrip("\n"):
                self._report(
                    "order", f"{request.attempt} event {number}: {event!r}", now
                )
                return
        if is_complete and len(events) != EVENTS:
            self._report(
                "order", f"{request.attempt} ended after event {len(events)}", now
            )

    def _check_denial(self, request: CallerRequest, now: float) -> None:
        """Check that a version which may apply denies the request."""
        key = request.key
        minimum = self._minimum_version(request)
        is_revoked = key.removed is not None and key.removed <= self.version
        if not is_revoked and key.added <= minimum:
            self._report("reverted", f"{request.attempt} by {key.text} was denied", now)
        if not is_revoked and self._must_be_in_force(key.added, request):
            self._report("denied", f"{request.attempt} with valid {key.text}", now)

    def _check_version(self, request: CallerRequest, now: float) -> None:
        """Check that no outdated version allowed a request.

        Raises the minimum version of the process to the one that added the key.
        """
        key = request.key
        if key.removed is not None:
            if key.removed <= self._minimum_version(request):
                self._report(
                    "reverted", f"{request.attempt} by {key.text} was served", now
                )
            if self._must_be_in_force(key.removed, request):
                self._report(
                    "config", f"{request.attempt} with revoked {key.text}", now
                )
        minimum, _ = self._minimum_by_incarnation.get(request.incarnation, (0, now))
        if key.added > minimum:
            self._minimum_by_incarnation[request.incarnation] = (key.added, now)

    def _minimum_version(self, request: CallerRequest) -> int:
        """Return the oldest version that a process may apply to a request."""
        minimum, at = self._minimum_by_incarnation.get(
            request.incarnation, (0, request.sent_at)
        )
        return minimum if request.sent_at > at + VERSION_OVERLAP_S else 0

    def _must_be_in_force(self, version: int, request: CallerRequest) -> bool:
        """Return whether a version must have applied when a request was sent."""
        accepted_at = self._accepted_at.get(version)
        if accepted_at is None or request.sent_at <= accepted_at + APPLY_S:
            return False
        return self._is_undisturbed(request, request.sent_at)


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request as an upstream received it."""

    attempt: str
    method: str
    target: str
    body: bytes
    account: str
    authorization: str


EVENTS = 24
"""Number of events of a complete stream."""


def make_event(attempt: str, number: int) -> str:
    """Return an event that contains the ID of its request."""
    return f"id: {number}\ndata: {attempt} {number}\n\n"
