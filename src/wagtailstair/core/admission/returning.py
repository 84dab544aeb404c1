"""Callers that were refused for want of room and come back as they were told.

A caller's second refusal is mostly its last, so that its request goes ahead of the new
ones of its account and may wait longer. It comes back with a new attempt id, mostly at another host, and is
known by a digest of what stays the same. One that comes too early is a new one:
repeating at once gains nothing.
"""

import collections
import typing as t

RETURN_WINDOW_S = 6.0
"""Seconds for which a caller counts as returning, from the time that it was told: the
longest Retry-After for want of room is 4 s, and slow links take some more."""

EARLY_S = 0.02
"""Seconds that a caller may come too early: a Retry-After has two decimals, and a
message to another host takes some milliseconds."""

ENTRIES_MAX = 4096
"""Refused requests that are remembered; the oldest go first."""

MESSAGE_ENTRIES = 64
"""Most refused requests in a message, so that its size is bounded."""

UNSENT_S = 1.0
"""Seconds after a refusal from which the other hosts are no longer told of it."""


class RefusedRequest(t.NamedTuple):
    """A refused request: its digest, and in how many ms its caller may return."""

    digest: int
    delay_ms: int


class _Refusal(t.NamedTuple):
    digest: int
    refused_at: float
    return_at: float


class ReturningRequests:
    """The refused requests that this host knows of."""

    __slots__ = ("_is_enabled", "_return_at_by_digest", "_unsent")

    def __init__(self, *, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        # In order of the refusals, the oldest first.
        self._return_at_by_digest: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._unsent: collections.deque[_Refusal] = collections.deque(
            maxlen=ENTRIES_MAX
        )

    def __len__(self) -> int:
        return len(self._return_at_by_digest)

    def set_enabled(self, *, is_enabled: bool) -> None:
        """Start or stop to remember refused requests."""
        self._is_enabled = is_enabled
        if not is_enabled:
            self._return_at_by_digest.clear()
            self._unsent.clear()

    def record_refusal(self, digest: int, delay_s: float, now: float) -> None:
        """Record that this host has refused a request, and when it may return."""
        if not self._is_enabled:
            return
        self._add(digest, now + delay_s)
        self._unsent.append(_Refusal(digest, now, now + delay_s))

    def receive(self, refused: t.Iterable[RefusedRequest], now: float) -> None:
        """Record the requests that another host has refused."""
        if not self._is_enabled:
            return
        for digest, delay_ms in refused:
            self._add(digest, now + delay_ms / 1000)

    def take(self, digest: int, now: float) -> bool:
        """Return whether a request is returning; then the next one with it is new."""
        return_at = self._return_at_by_digest.get(digest)
        if return_at is None or now < return_at - EARLY_S:
            return False
        del self._return_at_by_digest[digest]
        return now <= return_at + RETURN_WINDOW_S

    def has_unsent(self, now: float) -> bool:
        """Return whether other hosts have to be told of refused requests."""
        while self._unsent and now - self._unsent[0].refused_at > UNSENT_S:
            self._unsent.popleft()
        return bool(self._unsent)

    def take_unsent(self, now: float) -> tuple[RefusedRequest, ...]:
        """Return the refused requests to tell other hosts of, the oldest first."""
        found: list[RefusedRequest] = []
        while len(found) < MESSAGE_ENTRIES and self.has_unsent(now):
            refusal = self._unsent.popleft()
            delay_ms = max(0, round((refusal.return_at - now) * 1000))
            found.append(RefusedRequest(refusal.digest, delay_ms))
        return tuple(found)

    def _add(self, digest: int, return_at: float) -> None:
        self._return_at_by_digest[digest] = return_at
        self._return_at_by_digest.move_to_end(digest)
        while len(self._return_at_by_digest) > ENTRIES_MAX:
            self._return_at_by_digest.popitem(last=False)
