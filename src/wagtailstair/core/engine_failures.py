"""Engines that take no connections of several hosts, so that all hosts avoid them.

Without it each host finds out for itself that an engine refuses or ignores its
connections, at the cost of a request each: with tens of hosts, of as many requests.
One report proves little: the host that sends it may be the one that is cut off.
"""

import typing as t

REPORTERS_MIN = 2
"""Hosts that have to report an engine before others avoid it."""

WINDOW_S = 1.0
"""Seconds within which their reports count together."""

REPEAT_S = 0.5
"""Shortest time in seconds between two reports of a host about one engine."""

ENGINES_MAX = 1024
"""Engines that are remembered, the latest reported ones."""

Identity = tuple[str, int]


class EngineFailures:
    """Counts the hosts that report an engine, and limits the reports of this one."""

    __slots__ = ("_reported_at_by_engine", "_sent_at_by_engine")

    def __init__(self) -> None:
        # The time of the last report of each host.
        self._reported_at_by_engine: dict[Identity, dict[str, float]] = {}
        self._sent_at_by_engine: dict[Identity, float] = {}

    def record(self, engine: Identity, host: str, now: float) -> bool:
        """Record a report; return whether enough hosts have reported the engine."""
        reported_at = self._reported_at_by_engine.pop(engine, {})
        self._reported_at_by_engine[engine] = reported_at
        reported_at[host] = now
        for name, at in list(reported_at.items()):
            if now - at > WINDOW_S:
                del reported_at[name]
        _drop_oldest(self._reported_at_by_engine)
        return len(reported_at) >= REPORTERS_MIN

    def take_report(self, engine: Identity, now: float) -> bool:
        """Return whether this host may tell the others of an engine now."""
        if now - self._sent_at_by_engine.get(engine, float("-inf")) < REPEAT_S:
            return False
        self._sent_at_by_engine.pop(engine, None)
        self._sent_at_by_engine[engine] = now
        _drop_oldest(self._sent_at_by_engine)
        return True


def _drop_oldest(entries: dict[Identity, t.Any]) -> None:
    while len(entries) > ENGINES_MAX:
        del entries[next(iter(entries))]
