"""The connections of all clients of a gateway, within its memory and descriptors."""

import typing as t

from ..core.admission.client_limits import ClientLimits
from ..core.admission.client_memory import ClientMemory
from ..core.admission.client_memory import ClientUse
from ..core.admission.client_memory import Group
from ..core.admission.client_memory import Stage
from ..logs import log_event
from .loop import Loop

REASON_CONNECTIONS = "connections"


class Client(t.Protocol):
    """A connection that can be ended when its host lacks memory or descriptors."""

    def evict(self) -> str:
        """End the connection, free what it holds, and return the reason."""
        ...

    def close(self) -> None:
        """Close at once, and cancel the request that is being served."""
        ...

    def close_unused(self) -> None:
        """Close at once; no request is being served or received."""
        ...

    def account(self) -> None:
        """Report what the connection holds now."""
        ...


class Clients:
    """Admits connections, and ends some when a bound is reached.

    :param on_given_up: called with the reason of each connection that is ended.
    """

    __slots__ = ("_has_scheduled", "_loop", "_on_given_up", "memory")

    def __init__(
        self,
        loop: Loop,
        memory: ClientMemory[Client],
        on_given_up: t.Callable[[str], None],
    ) -> None:
        self._loop = loop
        self.memory = memory
        self._on_given_up = on_given_up
        self._has_scheduled = False

    def limits(self) -> ClientLimits:
        """Return the limits in force."""
        return self.memory.limits

    def set_limits(self, limits: ClientLimits) -> None:
        """Change the limits; evict soon if that leaves clients over the bound."""
        self.memory.set_limits(limits)
        self._schedule_eviction()

    def make_place(self, group: Group) -> bool:
        """Return whether one more connection has a place, after closing another one."""
        if self.memory.has_place(group):
            return True
        now = self._loop.now
        use = self.memory.choose_place(group, now)
        if use is None:
            self.record(REASON_CONNECTIONS, 0, 0.0)
            return False
        self.record(REASON_CONNECTIONS, use.held_bytes, now - use.progress_at)
        if use.stage in (Stage.IDLE, Stage.CLOSING):
            use.owner.close_unused()
        else:
            use.owner.close()
        return True

    def open(self, owner: Client, group: Group) -> ClientUse[Client]:
        """Add a connection."""
        return self.memory.open(owner, group, self._loop.now)

    def update(
        self, use: ClientUse[Client], held_bytes: int, stage: Stage, moved_bytes: int
    ) -> None:
        """Set what a connection holds; evict soon if that is over the bound."""
        self.memory.update(use, held_bytes, stage, self._loop.now, moved_bytes)
        self._schedule_eviction()

    def count_buffered(self, change: int) -> None:
        """Count bytes that the gateway has buffered for itself; clients make room."""
        self.memory.buffered_bytes += change
        self._schedule_eviction()

    def _schedule_eviction(self) -> None:
        if self.memory.is_over and not self._has_scheduled:
            self._has_scheduled = True
            self._loop.call_later(0.0, self._on_scheduled)

    def evict(self) -> None:
        """Evict connections until what is left is within the bound."""
        if not self.memory.is_over:
            return
        # Requests may have been forwarded, or answers read, since the last report.
        for use in self.memory.uses():
            use.owner.account()
        now = self._loop.now
        for use in self.memory.choose_evictions(now):
            held_bytes, idle_s = use.held_bytes, now - use.progress_at
            self.record(use.owner.evict(), held_bytes, idle_s)

    def record(self, reason: str, held_bytes: int, idle_s: float) -> None:
        """Count and log a connection that is ended."""
        self._on_given_up(reason)
        log_event("client_given_up", reason=reason, bytes=held_bytes, idle=idle_s)

    def _on_scheduled(self) -> None:
        self._has_scheduled = False
        self.evict()
