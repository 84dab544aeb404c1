"""Accounting of the memory and connections that a host holds for its clients."""

import collections
import dataclasses
import enum
import typing as t

from .client_limits import DEFAULT_LIMITS
from .client_limits import ClientLimits

BYTES_PER_MB = 1 << 20

BASE_BYTES = 60 * BYTES_PER_MB
"""Bytes of a gateway that serves no client, with lists and tables of a large platform;
38 MB were measured with small ones."""

BOUND_BYTES_MIN = 12 * BYTES_PER_MB
"""Lowest bound: one request with the largest body has room, also while it is sent."""

RELIEF_SHARE = 0.9
"""Share of the bound down to which connections are evicted, so that the choice, which
looks at all of them, is not repeated with each read."""

EVICTED_BYTES_MIN = 16 << 10
"""Bytes below which evicting a connection is of no use: ordinary requests hold less."""

BUFFERED_SHARE = 0.5
"""Largest share of the bound that answers to the gateway's own calls take from clients:
a long list must not end all of these."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that a host reserves for files."""

INTERNAL_SHARE = 0.125
"""Share of the clients' connections for balancers, peers and operators: neither these
nor callers can take the connections of the other group."""

CONNECTION_BYTES = 4096
"""Bytes of the objects of a connection without any request."""

PROGRESS_BYTES = 16 << 10
"""Bytes that count as progress; single bytes would hide a stalled client."""

AGE_OFFSET_S = 0.1
"""Seconds added to the time without progress, so that among connections that all have
just made some, the one with the most bytes comes first."""


class Group(enum.Enum):
    """The listeners that share a bound on connections."""

    CALLERS = "callers"
    INTERNAL = "internal"


class Stage(enum.Enum):
    """What a connection is doing.

    ``RECEIVING``: a request arrives, or waits here; ``FORWARDED``: a request was sent
    to an upstream; ``ANSWERED``: an answer has not been read, and there is no request;
    ``CLOSING``: no more requests are accepted.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    FORWARDED = "forwarded"
    ANSWERED = "answered"
    CLOSING = "closing"


Owner = t.TypeVar("Owner")


@dataclasses.dataclass(slots=True, eq=False)
class ClientUse(t.Generic[Owner]):
    """What one connection holds.

    ``progress_at``: when bytes last moved, or a stage; ``is_ahead``: whether it has
    sent further requests without waiting for an answer; ``account``: that of its last
    request, empty before the first one and for callers without an account.
    """

    owner: Owner
    group: Group
    progress_at: float
    stage: Stage = Stage.IDLE
    held_bytes: int = CONNECTION_BYTES
    moved_bytes: int = 0
    is_ahead: bool = False
    account: str = ""

    def score(self, now: float) -> float:
        """Return how much is gained by evicting it, in byte-seconds."""
        return self.held_bytes * (now - self.progress_at + AGE_OFFSET_S)


class ClientMemory(t.Generic[Owner]):
    """The uses of all connections of clients, and which of them are to end.

    ``buffered_bytes``: what the gateway has buffered of answers to its own calls.

    :param memory_mb: memory of the host; 0 for no bound.
    :param descriptors: descriptors of the host; 0 for no bound.
    :param limits: may be changed later by :meth:`set_limits`.
    """

    __slots__ = (
        "_descriptors",
        "_idle_by_group",
        "_memory_mb",
        "_uses_by_group",
        "bound_by_group",
        "bound_bytes",
        "buffered_bytes",
        "limits",
        "total_bytes",
    )

    def __init__(
        self, memory_mb: int, descriptors: int, limits: ClientLimits = DEFAULT_LIMITS
    ) -> None:
        self._memory_mb = memory_mb
        self._descriptors = descriptors
        self.bound_bytes = 0
        self.bound_by_group: dict[Group, int] = {}
        self.set_limits(limits)
        self.total_bytes = 0
        self.buffered_bytes = 0
        # Dictionaries without values keep the order in which connections became idle.
        self._uses_by_group: dict[Group, dict[ClientUse[Owner], None]] = {}
        self._idle_by_group: dict[Group, dict[ClientUse[Owner], None]] = {}
        for group in Group:
            self._uses_by_group[group] = {}
            self._idle_by_group[group] = {}

    def set_limits(self, limits: ClientLimits) -> None:
        """Change the limits and the bounds that follow from them."""
        self.limits = limits
        if self._memory_mb:
            spare_bytes = self._memory_mb * BYTES_PER_MB - BASE_BYTES
            share_bytes = int(spare_bytes * limits.memory_share)
            self.bound_bytes = max(BOUND_BYTES_MIN, share_bytes)
        if self._descriptors:
            usable = max(0, self._descriptors - RESERVED_DESCRIPTORS)
            connections = int(usable * limits.descriptor_share)
            internal = max(1, int(connections * INTERNAL_SHARE))
            self.bound_by_group[Group.INTERNAL] = internal
            self.bound_by_group[Group.CALLERS] = max(1, connections - internal)

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return sum(len(uses) for uses in self._uses_by_group.values())

    @property
    def is_over(self) -> bool:
        """Return whether clients hold more bytes than the bound leaves them."""
        return 0 < self.bound_bytes < self.total_bytes + self._buffered_share

    @property
    def _buffered_share(self) -> float:
        """Return the buffered bytes that clients make room for."""
        return min(self.buffered_bytes, BUFFERED_SHARE * self.bound_bytes)

    def uses(self) -> list[ClientUse[Owner]]:
        """Return the uses of all connections."""
        return [use for uses in self._uses_by_group.values() for use in uses]

    def has_place(self, group: Group) -> bool:
        """Return whether one more connection is within the bound."""
        bound = self.bound_by_group.get(group)
        return bound is None or len(self._uses_by_group[group]) < bound

    def longest_idle(self, group: Group) -> ClientUse[Owner] | None:
        """Return the connection that has been idle longest, if one is idle."""
        return next(iter(self._idle_by_group[group]), None)

    def choose_place(self, group: Group, now: float) -> ClientUse[Owner] | None:
        """Return the connection that gives up its place to a new one, if one does.

        That which has been idle longest goes first, then a request that has not been
        forwarded and is stalled, then a connection with requests sent ahead.
        """
        idle = self.longest_idle(group)
        if idle is not None:
            return idle
        stalled, ahead = [], []
        for use in self._uses_by_group[group]:
            is_stalled = now - use.progress_at >= self.limits.stall_s
            if use.stage is not Stage.FORWARDED and is_stalled:
                stalled.append(use)
            elif use.is_ahead:
                ahead.append(use)
        for candidates in (stalled, ahead):
            if candidates:
                return max(candidates, key=lambda use: use.score(now))
        return None

    def open(self, owner: Owner, group: Group, now: float) -> ClientUse[Owner]:
        """Add a connection, which is idle."""
        use = ClientUse(owner, group, now)
        self._uses_by_group[group][use] = None
        self._idle_by_group[group][use] = None
        self.total_bytes += use.held_bytes
        return use

    def close(self, use: ClientUse[Owner]) -> None:
        """Remove a connection."""
        if self._uses_by_group[use.group].pop(use, self) is self:
            return
        self._idle_by_group[use.group].pop(use, None)
        self.total_bytes -= use.held_bytes

    def update(
        self,
        use: ClientUse[Owner],
        held_bytes: int,
        stage: Stage,
        now: float,
        moved_bytes: int = 0,
    ) -> None:
        """Set what an open connection holds beside its own objects.

        :param moved_bytes: bytes received or taken by the client since the last call.
        """
        held_bytes += CONNECTION_BYTES
        self.total_bytes += held_bytes - use.held_bytes
        use.held_bytes = held_bytes
        use.moved_bytes += moved_bytes
        if use.moved_bytes >= PROGRESS_BYTES:
            use.moved_bytes = 0
            use.progress_at = now
        if stage is not use.stage:
            self._change_stage(use, stage, now)

    def choose_evictions(self, now: float) -> list[ClientUse[Owner]]:
        """Return the connections to end, in order, none while within the bound.

        Those whose request was sent to an upstream come last. Accounts that hold more
        than their share of the bound come first, until they are within it; otherwise
        those that hold the most and have made the least progress.
        """
        if not self.is_over:
            return []
        candidates = []
        for use in self.uses():
            if use.held_bytes >= EVICTED_BYTES_MIN:
                candidates.append(use)
        candidates.sort(key=lambda use: (use.stage is Stage.FORWARDED, -use.score(now)))
        held_by_account: collections.Counter[str] = collections.Counter()
        for use in candidates:
            held_by_account[use.account] += use.held_bytes
        share_bytes = self.bound_bytes / max(1, len(held_by_account))
        over, rest = [], []
        for use in candidates:
            is_over = held_by_account[use.account] > share_bytes
            if is_over and use.stage is not Stage.FORWARDED:
                held_by_account[use.account] -= use.held_bytes
                over.append(use)
                continue
            rest.append(use)
        excess = self.total_bytes + self._buffered_share
        excess -= self.bound_bytes * RELIEF_SHARE
        chosen: list[ClientUse[Owner]] = []
        for use in (*over, *rest):
            if excess <= 0:
                break
            excess -= use.held_bytes
            chosen.append(use)
        return chosen

    def _change_stage(self, use: ClientUse[Owner], stage: Stage, now: float) -> None:
        use.progress_at = now
        use.moved_bytes = 0
        idle = self._idle_by_group[use.group]
        if use.stage in (Stage.IDLE, Stage.CLOSING):
            idle.pop(use, None)
        if stage in (Stage.IDLE, Stage.CLOSING):
            idle[use] = None
        use.stage = stage
