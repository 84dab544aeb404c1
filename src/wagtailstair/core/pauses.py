"""Upstreams that have asked for a pause, and how load returns to them after it."""

import dataclasses
import random

Identity = tuple[str, int]
"""Name and incarnation of an upstream."""

PAUSE_MAX_S = 3600.0
"""Longest pause that is kept, in seconds."""

STEP_S = 0.25
RETURN_SPREAD_S = 0.5
"""Seconds over which the hosts' returns are spread after a pause."""

RETURN_STEPS = 8
"""Steps after a pause; a host may send one request in the first of them, and twice as
many in each later one as before."""


@dataclasses.dataclass(slots=True)
class _Pause:
    """A pause that an upstream has asked for.

    ``until``: its end; ``return_at``: when this host may send again; ``sent``: requests
    since then, in step ``step``.
    """

    until: float
    return_at: float
    step: int = 0
    sent: int = 0

    def is_closed(self, now: float) -> bool:
        if now < self.return_at:
            return True
        return self._count(now) >= 1 << self.step

    def _count(self, now: float) -> int:
        step = int((now - self.return_at) / STEP_S)
        if step != self.step:
            self.step, self.sent = step, 0
        return self.sent

    def take(self, now: float) -> None:
        if now >= self.return_at:
            self._count(now)
            self.sent += 1

    def is_over(self, now: float) -> bool:
        return now >= self.return_at + RETURN_STEPS * STEP_S


class Pauses:
    """The pauses in force at one host."""

    __slots__ = ("_pause_by_identity", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_by_identity: dict[Identity, _Pause] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream has asked for a pause lately."""
        return not self._pause_by_identity

    def begin(self, identity: Identity, seconds: float, now: float) -> float:
        """Begin a pause, or extend the one in force; return its length in seconds."""
        seconds = min(seconds, PAUSE_MAX_S)
        pause = self._pause_by_identity.get(identity)
        until = now + seconds
        if pause is None or until > pause.until:
            return_at = until + RETURN_SPREAD_S * self._rng.random()
            self._pause_by_identity[identity] = _Pause(until, return_at)
        return seconds

    def take(self, identity: Identity, now: float) -> None:
        """Count a request that is sent to an upstream."""
        pause = self._pause_by_identity.get(identity)
        if pause is not None:
            pause.take(now)

    def closed(self, now: float) -> frozenset[Identity]:
        """Return the upstreams to which no request may be sent now."""
        if not self._pause_by_identity:
            return frozenset()
        found = []
        for identity, pause in list(self._pause_by_identity.items()):
            if pause.is_over(now):
                del self._pause_by_identity[identity]
                continue
            if pause.is_closed(now):
                found.append(identity)
        return frozenset(found)

    def remaining_s(self, identity: Identity, now: float) -> float:
        """Return the seconds to the end of an upstream's pause, 0 without one."""
        pause = self._pause_by_identity.get(identity)
        return 0.0 if pause is None else max(0.0, pause.until - now)

    def drop_gone(self, live: frozenset[Identity] | set[Identity]) -> None:
        """Drop the pauses of upstreams that are not live any more."""
        for identity in list(self._pause_by_identity):
            if identity not in live:
                del self._pause_by_identity[identity]
