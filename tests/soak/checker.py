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

URGENT_REJECTED_S = 3.0
"""Seconds for which all urgent streams of a data centre may be rejected for lack of
capacity while less urgent ones start there."""

REFUSALS = frozenset({408, 421, 429, 503})
"""Status codes which state that the request did not run."""

SERVICE_UNAVAILABLE = 503
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
    ``centre``, ``rank``: the data centre of its host, and a stream's priority.
    ``is_return``: whether it returns after a rejection.
    ``runs``: the upstreams that ran it; ``began_at``: when the first one began.
    ``undisturbed_s``: seconds without a disturbance when it began or was rejected.
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
    centre: str = ""
    rank: int = 0
    is_return: bool = False
    runs: list[str] = dataclasses.field(default_factory=list)
    status: int | None = None
    began_at: float | None = None
    rejected_at: float | None = None
    undisturbed_s: float = 0.0


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
        return self.undisturbed_s(parts, now) >= span_s

    def undisturbed_s(self, parts: t.Iterable[str], now: float) -> float:
        """Return for how long none of the parts was disturbed; negative if one is."""
        seconds = float("inf")
        for part in parts:
            if self._active.get(part):
                return -1.0
            seconds = min(seconds, now - self._ended_at.get(part, float("-inf")))
        return seconds


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

    def count(self, name: str) -> None:
        """Count an observation for the summary of the run."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def _report(self, kind: str, text: str, now: float) -> None:
        self.violations.append(f"{kind} at {now:.2f}: {text}")

    def _is_undisturbed(self, request: CallerRequest, now: float) -> bool:
        return self._undisturbed_s(request, now) >= UNDISTURBED_S

    def _undisturbed_s(self, request: CallerRequest, now: float) -> float:
        parts = (MACHINE, STORE, request.host)
        return self.disturbances.undisturbed_s(parts, now)

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
            if not request.runs:
                request.began_at = now
                request.undisturbed_s = self._undisturbed_s(request, now)
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
        self.count(str(status))
        if status in REFUSALS:
            request.rejected_at = now
            if not request.runs:
                request.undisturbed_s = self._undisturbed_s(request, now)
            self._check_not_run(request, now)
        if status in DENIALS:
            self._check_denial(request, now)
        if 200 <= status < 300:
            self._check_success(request, text, now, is_complete=is_complete)

    def check_rejection(self, attempt: str, now: float) -> None:
        """Check that the rejected request of a misbehaving client has not run."""
        request = self._requests[attempt]
        request.status = SERVICE_UNAVAILABLE
        self.count("misuse_rejected")
        self._check_not_run(request, now)

    def _check_not_run(self, request: CallerRequest, now: float) -> None:
        if request.runs:
            text = f"{request.attempt} got {request.status} after {request.runs}"
            self._report("refused", text, now)

    def check_urgent_streams(self, no_capacity: t.Collection[str]) -> None:
        """Check that less urgent streams didn't start while urgent ones were rejected.

        :param no_capacity: attempts that the hosts rejected for lack of capacity.
        """
        streams_by_centre: dict[str, list[tuple[float, CallerRequest]]] = {}
        for request in self._requests.values():
            if request.kind is not Kind.STREAM:
                continue
            at = request.began_at
            if at is None and request.attempt in no_capacity:
                at = request.rejected_at
                self.count("no_capacity")
            if at is not None:
                streams = streams_by_centre.setdefault(request.centre, [])
                streams.append((at, request))
        for centre, streams in streams_by_centre.items():
            self._check_centre(centre, sorted(streams, key=lambda item: item[0]))

    def _check_centre(
        self, centre: str, streams: list[tuple[float, CallerRequest]]
    ) -> None:
        rejected_since: float | None = None
        less_urgent_at = float("-inf")
        for now, request in streams:
            if request.rank > 0:
                # A disturbed host may not know that urgent streams are queued.
                if request.runs and request.undisturbed_s >= UNDISTURBED_S:
                    less_urgent_at = now
                continue
            if request.runs:
                rejected_since = None
                continue
            if rejected_since is None:
                rejected_since = now
            span_s = now - rejected_since
            if span_s <= URGENT_REJECTED_S or less_urgent_at <= rejected_since:
                continue
            if request.undisturbed_s >= span_s + UNDISTURBED_S:
                text = f"all urgent streams of {centre} rejected for {span_s:.2f} s"
                self._report("urgency", text, now)
            rejected_since = now

    def check_cut(self, attempt: str, now: float, *, in_shutdown: bool) -> None:
        """Check a connection that ended before the answer was complete."""
        request = self._requests[attempt]
        self.count("cut")
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
        # Lists are written under a version that may be some above the one needed.
        later = [at for found, at in self._accepted_at.items() if found >= version]
        if not later or request.sent_at <= min(later) + APPLY_S:
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
