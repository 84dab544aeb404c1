"""What callers asked and got and what upstreams ran, held against the promises.

Without I/O: the soak tells it what it sees, with the instant of each sight.
"""

import dataclasses
import enum
import typing as t

CONTACT_S = 3.0
"""Seconds without a disturbance after which a host is in touch, from the pages."""

APPLY_S = 2.0
"""Seconds within which an accepted change is in force, from the pages."""

DRAIN_S = 2.0
"""Seconds after which a leaving upstream gets nothing, from the pages."""

ROLLBACK_S = 0.25
"""Seconds after the effect of a version within which an older one may still act."""

CLIENT_SHARE = 0.7
"""Share of a request's time after which its end counts against no one."""

REFUSALS = frozenset({408, 421, 429, 503})
DENIALS = frozenset({401, 403, 404})


class Kind(enum.Enum):
    """What may be repeated."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    STREAM = "stream"


@dataclasses.dataclass(slots=True)
class Key:
    """An account's key and the span of versions that hold it."""

    text: str
    account: str
    added: int
    removed: int | None = None


@dataclasses.dataclass(slots=True)
class Asked:
    """A request of a caller and what became of it.

    ``process``: the host's process that the caller's connection led to.
    """

    attempt: str
    kind: Kind
    method: str
    target: str
    body: bytes
    key: Key
    host: str
    process: str
    sent_at: float
    deadline_s: float
    version: int
    runs: list[str] = dataclasses.field(default_factory=list)
    status: int | None = None


class Touch:
    """When each part of the deployment was disturbed last."""

    def __init__(self) -> None:
        self._last: dict[str, float] = {}
        self._active: dict[str, int] = {}

    def begin(self, part: str) -> None:
        """Note the start of a disturbance of a part."""
        self._active[part] = self._active.get(part, 0) + 1

    def end(self, part: str, now: float) -> None:
        """Note the end of a disturbance of a part."""
        self._active[part] -= 1
        self._last[part] = now

    def note(self, part: str, now: float) -> None:
        """Note a disturbance of an instant."""
        self._last[part] = max(now, self._last.get(part, now))

    def is_calm(self, parts: t.Iterable[str], now: float, span_s: float) -> bool:
        """Tell whether no part was disturbed in a span before an instant."""
        for part in parts:
            if self._active.get(part):
                return False
            if now - self._last.get(part, float("-inf")) < span_s:
                return False
        return True


MACHINE = "machine"
STORE = "store"
UPSTREAMS = "upstreams"


class Ledger:
    """All requests, and the broken promises found so far."""

    def __init__(self, touch: Touch) -> None:
        self.touch = touch
        self.broken: list[str] = []
        self.asked: dict[str, Asked] = {}
        self.version = 0
        self._accepted_at: dict[int, float] = {}
        self._leaving_at: dict[str, float] = {}
        self._floor_by_process: dict[str, tuple[int, float]] = {}
        self.counts: dict[str, int] = {}

    def accept_version(self, version: int, now: float) -> None:
        """Take in that the store has acknowledged new lists."""
        self.version = version
        self._accepted_at[version] = now

    def leave(self, upstream: str, now: float) -> None:
        """Take in that the store has acknowledged an upstream's leaving."""
        self._leaving_at.setdefault(upstream, now)

    def ask(self, asked: Asked) -> None:
        """Take in a request before it is sent."""
        self.asked[asked.attempt] = asked

    def _break(self, promise: str, text: str, now: float) -> None:
        self.broken.append(f"{promise} at {now:.2f}: {text}")

    def _in_touch(self, asked: Asked, now: float) -> bool:
        parts = (MACHINE, STORE, asked.host)
        return self.touch.is_calm(parts, now, CONTACT_S)

    # What upstreams see.

    def ran(
        self,
        upstream: str,
        seen: "ReceivedRequest",
        now: float,
        *,
        is_first: bool = True,
    ) -> None:
        """Take in that an upstream begins to work on a request."""
        asked = self.asked.get(seen.attempt)
        if asked is None:
            self._break("unasked", f"{upstream} ran {seen.attempt}", now)
            return
        wanted = (asked.method, asked.target, asked.body, asked.key.account, "")
        got = (seen.method, seen.target, seen.body, seen.account, seen.authorization)
        if wanted != got:
            self._break("unasked", f"{upstream} ran {got}, not {wanted}", now)
        if is_first:
            asked.runs.append(upstream)
        if asked.kind is Kind.ONCE and len(asked.runs) > 1:
            self._break("twice", f"{asked.attempt} on {asked.runs}", now)
        if asked.status in REFUSALS:
            self._break("refused", f"{asked.attempt} ran after {asked.status}", now)
        left_at = self._leaving_at.get(upstream, now)
        if now - left_at > DRAIN_S and self._in_touch(asked, now):
            late_s = now - left_at
            text = f"{upstream} got {asked.attempt} {late_s:.2f} s after leaving"
            self._break("drain", text, now)

    def path(self, upstream: str, attempt: str, text: str, layers: int) -> None:
        """Take in the path of a request: each layer once, in order."""
        reached = 0
        for part in text.split(","):
            first, _, last = part.partition("=")[2].partition("-")
            if int(first) != reached or int(last) <= reached:
                break
            reached = int(last)
        if reached != layers:
            self.broken.append(f"layers: {attempt} at {upstream} by {text}")

    # What callers see.

    def answer(
        self, attempt: str, status: int, text: str, now: float, *, is_whole: bool
    ) -> None:
        """Take in the end of an answer; ``text`` is its body."""
        asked = self.asked[attempt]
        asked.status = status
        self.counts[str(status)] = self.counts.get(str(status), 0) + 1
        if status in REFUSALS and asked.runs:
            self._break("refused", f"{attempt} got {status} after {asked.runs}", now)
        if status in DENIALS:
            self._check_denial(asked, now)
        if 200 <= status < 300:
            self._check_success(asked, text, now, is_whole=is_whole)

    def cut(self, attempt: str, now: float, *, in_shutdown: bool) -> None:
        """Take in that a connection ended without a whole answer."""
        asked = self.asked[attempt]
        self.counts["cut"] = self.counts.get("cut", 0) + 1
        if not in_shutdown or not asked.runs:
            return
        if now - asked.sent_at > CLIENT_SHARE * asked.deadline_s:
            return
        parts = (MACHINE, STORE, UPSTREAMS, asked.host)
        span_s = now - asked.sent_at + CONTACT_S
        if self.touch.is_calm(parts, now, span_s):
            self._break("lost", f"{attempt} was cut by the shutdown", now)

    def _check_success(
        self, asked: Asked, text: str, now: float, *, is_whole: bool
    ) -> None:
        if not asked.runs:
            self._break("mixed", f"{asked.attempt} was answered and never ran", now)
        if asked.kind is not Kind.STREAM and text != f"body of {asked.attempt}":
            self._break("mixed", f"{asked.attempt} got {text!r}", now)
        if asked.kind is Kind.STREAM:
            self._check_events(asked, text, now, is_whole=is_whole)
        self._check_version(asked, now)

    def _check_events(
        self, asked: Asked, text: str, now: float, *, is_whole: bool
    ) -> None:
        events = [event for event in text.split("\n\n") if event]
        for number, event in enumerate(events, 1):
            if event != make_event(asked.attempt, number).rstrip("\n"):
                self._break("order", f"{asked.attempt} event {number}: {event!r}", now)
                return
        if is_whole and len(events) != EVENTS:
            self._break("order", f"{asked.attempt} ended at {len(events)}", now)

    def _check_denial(self, asked: Asked, now: float) -> None:
        """Check that some version in force may have denied a request."""
        key = asked.key
        floor = self._floor(asked)
        revoked = key.removed is not None and key.removed <= self.version
        if not revoked and key.added <= floor:
            self._break("reverted", f"{asked.attempt} denied {key.text}", now)
        if not revoked and self._in_force(key.added, asked):
            self._break("denied", f"{asked.attempt} with {key.text}", now)

    def _check_version(self, asked: Asked, now: float) -> None:
        """Check that no older version allowed a request; note the one that did."""
        key = asked.key
        if key.removed is not None:
            if key.removed <= self._floor(asked):
                self._break("reverted", f"{asked.attempt} served {key.text}", now)
            if self._in_force(key.removed, asked):
                self._break("config", f"{asked.attempt} with {key.text}", now)
        floor, _ = self._floor_by_process.get(asked.process, (0, now))
        if key.added > floor:
            self._floor_by_process[asked.process] = (key.added, now)

    def _floor(self, asked: Asked) -> int:
        """Return the version that a process had reached before a request."""
        floor, at = self._floor_by_process.get(asked.process, (0, asked.sent_at))
        return floor if asked.sent_at > at + ROLLBACK_S else 0

    def _in_force(self, version: int, asked: Asked) -> bool:
        """Tell whether a version must have been in force when a request came."""
        accepted_at = self._accepted_at.get(version)
        if accepted_at is None or asked.sent_at <= accepted_at + APPLY_S:
            return False
        return self._in_touch(asked, asked.sent_at)


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request as an upstream saw it."""

    attempt: str
    method: str
    target: str
    body: bytes
    account: str
    authorization: str


EVENTS = 24
"""Events of a stream."""


def make_event(attempt: str, number: int) -> str:
    """Return an event of a stream, which names its request."""
    return f"id: {number}\ndata: {attempt} {number}\n\n"
