"""The state of one completion over several attempts.

Each attempt starts a new epoch and has its own id. Only lines of the open attempt
count. A token is delivered exactly once, at the next position, and only if its
trail, the layer ranges that it passed, covers every layer once and in order.
"""

import collections.abc
import dataclasses
import enum

from ..exceptions import Outcome
from .engine import Route

DEFAULT_MAX_EPOCHS = 8

Trail = collections.abc.Iterable[tuple[int, int] | list[int]]


class DropReason(enum.Enum):
    """Why a line was ignored."""

    REQUEST = "request"
    ATTEMPT = "attempt"
    EPOCH = "epoch"
    REPEATED = "repeated"


class ViolationReason(enum.Enum):
    """How a line breaks the protocol of an engine."""

    SKIPPED = "skipped"
    TRAIL = "trail"
    TOO_LONG = "too_long"
    END_POSITION = "end_position"


class AttemptEnd(enum.Enum):
    """How an attempt ended, as far as the entry host can tell."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


NOT_RUN_ENDS = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.REFUSED})


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The line is the next one of the answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class Dropped:
    """The line is not part of the open attempt, or is a repetition."""

    reason: DropReason


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """The line breaks the protocol; its attempt is closed, nothing is delivered."""

    reason: ViolationReason


Verdict = Accepted | Dropped | Violation

# Shared instances, because every token gets a verdict.
ACCEPTED = Accepted()
DROPPED_BY_REASON = {reason: Dropped(reason) for reason in DropReason}
VIOLATION_BY_REASON = {reason: Violation(reason) for reason in ViolationReason}


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One request to the engines of a route.

    ``position``: position of the first token that it should produce; ``tokens``:
    ids of the tokens delivered before.
    """

    id: str
    epoch: int
    position: int
    tokens: tuple[int, ...]
    route: Route


def covers(ranges: Trail, layers: int) -> bool:
    """Return whether layer ranges cover ``[0, layers)`` once and in order."""
    position = 0
    for first, last in ranges:
        if first != position or last <= first:
            return False
        position = last
    return position == layers


class Session:
    """The state of one completion on its entry host.

    :param request: an id that is unique among all hosts.
    :param prompt: the prompt, kept for the next attempt.
    :param max_tokens: maximum tokens of the whole answer.
    :param layers: number of layers of the model.
    :param max_epochs: maximum number of attempts.
    """

    __slots__ = (
        "_attempt",
        "_attempt_ends",
        "_epoch",
        "_start_position",
        "dropped",
        "finish_reason",
        "layers",
        "max_epochs",
        "max_tokens",
        "prompt",
        "request",
        "texts",
        "tokens",
        "violations",
    )

    def __init__(
        self,
        request: str,
        prompt: str,
        max_tokens: int,
        layers: int,
        max_epochs: int = DEFAULT_MAX_EPOCHS,
    ) -> None:
        self.request = request
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.layers = layers
        self.max_epochs = max_epochs
        self.tokens: list[int] = []
        self.texts: list[str] = []
        self.finish_reason: str | None = None
        self.dropped: dict[DropReason, int] = dict.fromkeys(DropReason, 0)
        self.violations: dict[ViolationReason, int] = dict.fromkeys(ViolationReason, 0)
        self._epoch = 0
        self._start_position = 0
        self._attempt: str | None = None
        self._attempt_ends: list[AttemptEnd] = []

    @property
    def epoch(self) -> int:
        """Return the number of the latest epoch; 0 before the first."""
        return self._epoch

    @property
    def attempt(self) -> str | None:
        """Return the id of the open attempt, ``None`` without one."""
        return self._attempt

    def begin(self, route: Route) -> Attempt:
        """Open a new attempt that continues after the tokens delivered so far.

        :raises ValueError: if the route doesn't cover every layer once, or if
            :meth:`may_begin` is false.
        """
        if not covers([(stage.first, stage.last) for stage in route], self.layers):
            raise ValueError("the route doesn't cover every layer once")
        if not self.may_begin():
            raise ValueError("the session is open, finished or out of epochs")
        self._epoch += 1
        self._attempt = f"{self.request}.{self._epoch}"
        self._start_position = len(self.tokens)
        return Attempt(
            self._attempt, self._epoch, self._start_position, tuple(self.tokens), route
        )

    def may_begin(self) -> bool:
        """Return whether a new attempt may be opened."""
        if self._attempt is not None or self.finish_reason is not None:
            return False
        return self._epoch < self.max_epochs

    def accept_token(
        self,
        request: str,
        attempt: str,
        epoch: int,
        position: int,
        token: int,
        text: str,
        trail: Trail,
    ) -> Verdict:
        """Check a token line; deliver its token if it is the next one."""
        # The checks are inlined because this runs for each token of each stream.
        if attempt != self._attempt or epoch != self._epoch or request != self.request:
            return self._drop_unrelated(request, attempt)
        tokens = self.tokens
        expected = len(tokens)
        if position != expected:
            if position < expected:
                return self._drop(DropReason.REPEATED)
            return self._violate(ViolationReason.SKIPPED)
        if position >= self.max_tokens:
            return self._violate(ViolationReason.TOO_LONG)
        layer = 0
        for first, last in trail:
            if first != layer or last <= first:
                return self._violate(ViolationReason.TRAIL)
            layer = last
        if layer != self.layers:
            return self._violate(ViolationReason.TRAIL)
        tokens.append(token)
        self.texts.append(text)
        return ACCEPTED

    def accept_end(
        self, request: str, attempt: str, epoch: int, position: int, reason: str
    ) -> Verdict:
        """Check an end line; the answer is complete if its position matches.

        :param position: tokens of the whole answer, as the engine counted them.
        """
        if attempt != self._attempt or epoch != self._epoch or request != self.request:
            return self._drop_unrelated(request, attempt)
        if position != len(self.tokens):
            return self._violate(ViolationReason.END_POSITION)
        self._close_attempt(AttemptEnd.ANSWERED)
        self.finish_reason = reason
        return ACCEPTED

    def close_broken(self, attempt: str, sent: bool) -> bool:
        """Close an attempt whose stream ended without an end line.

        :param sent: whether any byte of the request may have reached the engine.
        :returns: whether a new attempt may be opened.
        """
        end = AttemptEnd.UNKNOWN if sent else AttemptEnd.NOT_SENT
        return self._close_failed(attempt, end)

    def close_refused(self, attempt: str) -> bool:
        """Close an attempt that the engine refused without running it.

        :returns: whether a new attempt may be opened.
        """
        return self._close_failed(attempt, AttemptEnd.REFUSED)

    def close(self) -> Outcome:
        """Close the session and return its outcome."""
        if self._attempt is not None:
            self._close_attempt(AttemptEnd.UNKNOWN)
        self.max_epochs = self._epoch
        return self.outcome()

    def outcome(self) -> Outcome:
        """Return whether any attempt so far may have run."""
        if self._attempt is not None:
            return Outcome.UNKNOWN
        for end in self._attempt_ends:
            if end not in NOT_RUN_ENDS:
                return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def text(self) -> str:
        """Return the text delivered so far."""
        return "".join(self.texts)

    def _close_failed(self, attempt: str, end: AttemptEnd) -> bool:
        if attempt != self._attempt:
            return False
        if len(self.tokens) > self._start_position:
            # An attempt that delivered a token has run, even if refused later.
            end = AttemptEnd.UNKNOWN
        self._close_attempt(end)
        return self.may_begin()

    def _drop(self, reason: DropReason) -> Dropped:
        self.dropped[reason] += 1
        return DROPPED_BY_REASON[reason]

    def _drop_unrelated(self, request: str, attempt: str) -> Dropped:
        if request != self.request:
            return self._drop(DropReason.REQUEST)
        if attempt != self._attempt:
            return self._drop(DropReason.ATTEMPT)
        return self._drop(DropReason.EPOCH)

    def _violate(self, reason: ViolationReason) -> Violation:
        self.violations[reason] += 1
        self._close_attempt(AttemptEnd.UNKNOWN)
        return VIOLATION_BY_REASON[reason]

    def _close_attempt(self, end: AttemptEnd) -> None:
        self._attempt = None
        self._attempt_ends.append(end)
