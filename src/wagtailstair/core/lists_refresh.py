"""When a daemon reads the lists, from where, and when it may judge by them.

One host of a data centre reads the version from the platform each interval;
the second in rank does so half as often, the others seldom. All hear of
versions from their peers and fetch what they lack from a peer that has it.
"""

import dataclasses
import typing as t

RANK_FACTORS = (1.0, 2.0)  # of the interval, for the first hosts in rank
LOW_RANK_FACTOR = 8.0
JITTER = 0.25  # of an interval, either way
BACKOFF_S_MAX = 3.0  # between reads of a platform that does not answer
SOURCE_LAG_S = 0.5  # for each rank, before a host reads whole lists itself
START_WAIT_S = 3.0  # for peers to be heard, while the platform is away
PAUSE_S = 1.0  # between two ticks: the process did not run
REFRESH_S = 1.0  # at most, after a pause, before requests are judged again
FETCH_RETRY_S = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class PeerVersions:
    """What the peers have told.

    ``held``: the highest version that a live peer has, and ``holders`` the
    peers that have it, nearest first; ``known``: the highest that any live
    peer knows of; ``live``: the number of peers heard.
    """

    live: int = 0
    held: int = 0
    known: int = 0
    holders: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ReadVersion:
    """Read the version of the lists from the platform."""

    started_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReadLists:
    """Read the lists from the platform."""

    started_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class FetchLists:
    """Fetch the lists from a peer."""

    started_at: float
    peer: str


Action = ReadVersion | ReadLists | FetchLists


class ListsRefresh:
    """Decides on the reads of one daemon.

    :param interval_s: seconds between reads by the first host in rank.
    :param draw: draws from ``[0, 1)``, for jitter.
    """

    def __init__(
        self, interval_s: float, now: float, draw: t.Callable[[], float]
    ) -> None:
        self.version = 0
        self.head = 0
        self.is_ready = False
        self.platform_failures = 0
        self._interval_s = interval_s
        self._draw = draw
        self._started_at = now
        self._ticked_at = now
        self._rank = 0
        self._peers = PeerVersions()
        self._answered = False
        self._reading = False
        self._read_at = now
        self._head_at = now
        self._fetching = False
        self._fetch_at = now
        self._fetches = 0
        self._paused_at: float | None = None

    @property
    def known(self) -> int:
        """The highest version that this host has heard of."""
        return max(self.version, self.head, self._peers.known)

    # What happened.

    def tick(self, now: float, rank: int, peers: PeerVersions) -> list[Action]:
        """Return what to begin now.

        :param rank: of this host among the live ones of its data centre.
        """
        self._notice_pause(now)
        self._ticked_at = now
        self._rank = rank
        self._peers = peers
        self._update(now)
        actions: list[Action] = []
        if not self._fetching and self._wants_fetch(now):
            self._fetching = True
            self._fetches += 1
            peer = peers.holders[(self._fetches - 1) % len(peers.holders)]
            actions.append(FetchLists(now, peer))
        if self._reading:
            return actions
        if self._wants_lists(now):
            self._reading = True
            actions.append(ReadLists(now))
        elif now >= self._read_at:
            self._reading = True
            actions.append(ReadVersion(now))
        return actions

    def record_version(
        self, action: ReadVersion | ReadLists, head: int, now: float
    ) -> None:
        """Learn that the platform told a version of the lists."""
        self._reading = False
        self.platform_failures = 0
        self._answered = True
        if head > self.head:
            self.head = head
            self._head_at = now
        self._read_at = now + self._pause_s()
        if self._is_since_pause(action) and self.version >= head:
            self._paused_at = None
        self._update(now)

    def record_failure(self, action: Action, now: float) -> None:
        """Learn that a read or a fetch gave nothing."""
        if isinstance(action, FetchLists):
            self._fetching = False
            self._fetch_at = now + FETCH_RETRY_S * (0.5 + self._draw())
            return
        self._reading = False
        self.platform_failures += 1
        backoff_s = self._interval_s * 2.0 ** min(self.platform_failures, 8)
        backoff_s = min(BACKOFF_S_MAX, backoff_s) * (0.5 + 0.5 * self._draw())
        if not self._is_hungry():
            backoff_s = max(backoff_s, self._pause_s())
        self._read_at = now + backoff_s
        if self._is_since_pause(action) and self.version >= self._peers.held:
            self._paused_at = None
        self._update(now)

    def record_fetch(self, action: FetchLists, now: float) -> None:
        """Learn that a peer has answered."""
        self._fetching = False
        if self.version < self._peers.held:
            self._fetch_at = now + FETCH_RETRY_S * (0.5 + self._draw())
        elif self._is_since_pause(action) and self.version >= self.head:
            self._paused_at = None
        self._update(now)

    def record_applied(self, version: int) -> None:
        """Learn that lists of a higher version are in force here."""
        self.version = max(self.version, version)

    def is_fresh(self, now: float) -> bool:
        """Return whether requests may be judged now."""
        self._notice_pause(now)
        if self._paused_at is None:
            return True
        return now >= self._paused_at + REFRESH_S

    # Inside.

    def _notice_pause(self, now: float) -> None:
        if now - self._ticked_at <= PAUSE_S:
            return
        self._ticked_at = now
        self._paused_at = now
        self._read_at = now
        self._fetch_at = now

    def _is_since_pause(self, action: Action) -> bool:
        return self._paused_at is None or action.started_at >= self._paused_at

    def _is_hungry(self) -> bool:
        return not self.is_ready or self._paused_at is not None

    def _update(self, now: float) -> None:
        if self.is_ready or self.version == 0:
            return
        if self._answered and self.version >= self.head:
            self.is_ready = True
            return
        waited = now - self._started_at >= START_WAIT_S
        if waited and not self._answered and self._peers.live > 0:
            self.is_ready = self.version >= self._peers.known

    def _wants_fetch(self, now: float) -> bool:
        return self.version < self._peers.held and now >= self._fetch_at

    def _wants_lists(self, now: float) -> bool:
        if self.version >= self.head or now < self._head_at:
            return False
        if self.platform_failures and now < self._read_at:
            return False
        # A peer that has them spares the table a read of whole lists.
        lag_s = SOURCE_LAG_S * self._rank
        if self._peers.held >= self.head:
            lag_s += SOURCE_LAG_S
        return now - self._head_at >= lag_s

    def _pause_s(self) -> float:
        factor = LOW_RANK_FACTOR
        if self._rank < len(RANK_FACTORS):
            factor = RANK_FACTORS[self._rank]
        if self._is_hungry():
            factor = 1.0
        jitter = 1.0 + JITTER * (2.0 * self._draw() - 1.0)
        return self._interval_s * factor * jitter
