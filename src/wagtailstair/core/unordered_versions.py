"""Versions of peers of earlier builds, which name no era of the store."""

PATIENCE_S = 1.0
"""Seconds for which such a peer may be ahead before it counts. Peers of this build
deliver changes in less."""

TIMEOUT_S = 5.0
"""Seconds after which such a peer is forgotten: several intervals of its heartbeats."""


class UnorderedVersions:
    """The highest number that such a peer has announced, above the one held."""

    __slots__ = ("_heard_at", "_number", "_since")

    def __init__(self) -> None:
        self._number = 0
        self._since: float | None = None
        self._heard_at = 0.0

    def record(self, number: int, now: float) -> None:
        """Record a number that is higher than that of the version held."""
        if self._since is None:
            self._since = now
            self._number = number
        self._number = max(self._number, number)
        self._heard_at = now

    def is_ahead(self, held: int, now: float) -> bool:
        """Return whether such a peer has been ahead of a number for too long."""
        if self._since is None:
            return False
        if held >= self._number or now - self._heard_at > TIMEOUT_S:
            self._since = None
            return False
        return now - self._since > PATIENCE_S
