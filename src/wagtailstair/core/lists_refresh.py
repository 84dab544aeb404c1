"""When a daemon reads the lists, from where, and when it may decide requests.

The host of first rank in a data centre reads the version of the lists from the
platform each interval, the second half as often, the others rarely. All hosts
learn of new versions from their peers and fetch them from a peer that has them.
"""

import dataclasses
import typing as t

INTERVAL_FACTORS_BY_RANK = (1.0, 2.0)  # for the hosts of first and second rank
LOW_RANK_INTERVAL_FACTOR = 8.0  # for all other hosts
INTERVAL_JITTER = 0.25  # largest share of an interval that is added or subtracted
MAX_BACKOFF_S = 3.0  # between reads of a platform that does not answer
LISTS_READ_DELAY_S = 0.5  # times the rank, before a host reads the lists itself
STARTUP_WAIT_S = 3.0  # for heartbeats of peers, while the platform is unreachable
PAUSE_DETECTION_S = 1.0  # time between two ticks that means the process was paused
MAX_REFRESH_WAIT_S = 1.0  # maximum wait for new lists after a pause of the process
FETCH_RETRY_S = 0.3  # mean time between fetches from peers


@dataclasses.dataclass(slots=True, frozen=True)
class PeerVersions:
    """Versions of the lists that the live peers have reported.

    ``live``: number of live peers; ``held``: highest version that one of them has;
    ``holders``: the peers that have it, nearest first; ``known``: highest version
    that one of them has learnt of.
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
    """Decides which reads of the lists one daemon starts.

    :param interval_s: seconds between two reads by the host of first rank.
    :param draw: returns a random number from ``[0, 1)``, for jitter.
    """

    def __init__(
        self, interval_s: float, now: float, draw: t.Callable[[], float]
    ) -> None:
        self.version = 0
        self.platform_version = 0
        self.is_ready = False
        self.platform_failures = 0
        self._interval_s = interval_s
        self._random = draw
        self._started_at = now
        self._ticked_at = now
        self._rank = 0
        self._peers = PeerVersions()
        self._has_platform_answered = False
        self._is_reading = False
        self._next_read_at = now
        self._platform_version_raised_at = now
        self._is_fetching = False
        self._next_fetch_at = now
        self._fetches = 0
        self._paused_at: float | None = None

    @property
    def known(self) -> int:
        """The highest version of the lists that this host has learnt of."""
        return max(self.version, self.platform_version, self._peers.known)

    # Events.

    def tick(self, now: float, rank: int, peers: PeerVersions) -> list[Action]:
        """Return the reads and fetches to start now.

        :param rank: rank of this host among the live hosts of its data centre.
        """
        self._detect_pause(now)
        self._ticked_at = now
        self._rank = rank
        self._peers = peers
        self._update_readiness(now)
        actions: list[Action] = []
        if not self._is_fetching and self._is_fetch_due(now):
            self._is_fetching = True
            self._fetches += 1
            peer = peers.holders[(self._fetches - 1) % len(peers.holders)]
            actions.append(FetchLists(now, peer))
        if self._is_reading:
            return actions
        if self._is_lists_read_due(now):
            self._is_reading = True
            actions.append(ReadLists(now))
        elif now >= self._next_read_at:
            self._is_reading = True
            actions.append(ReadVersion(now))
        return actions

    def record_version(
        self, action: ReadVersion | ReadLists, platform_version: int, now: float
    ) -> None:
        """Record the version of the lists that the platform returned."""
        self._is_reading = False
        self.platform_failures = 0
        self._has_platform_answered = True
        if platform_version > self.platform_version:
            self.platform_version = platform_version
            self._platform_version_raised_at = now
        self._next_read_at = now + self._next_interval_s()
        if self._started_after_pause(action) and self.version >= platform_version:
            self._paused_at = None
        self._update_readiness(now)

    def record_failure(self, action: Action, now: float) -> None:
        """Record that a read or a fetch failed, and schedule the next one."""
        if isinstance(action, FetchLists):
            self._is_fetching = False
            self._next_fetch_at = now + FETCH_RETRY_S * (0.5 + self._random())
            return
        self._is_reading = False
        self.platform_failures += 1
        backoff_s = self._interval_s * 2.0 ** min(self.platform_failures, 8)
        backoff_s = min(MAX_BACKOFF_S, backoff_s) * (0.5 + 0.5 * self._random())
        if not self._is_catching_up():
            backoff_s = max(backoff_s, self._next_interval_s())
        self._next_read_at = now + backoff_s
        if self._started_after_pause(action) and self.version >= self._peers.held:
            self._paused_at = None
        self._update_readiness(now)

    def record_fetch(self, action: FetchLists, now: float) -> None:
        """Record that a peer answered a fetch."""
        self._is_fetching = False
        if self.version < self._peers.held:
            self._next_fetch_at = now + FETCH_RETRY_S * (0.5 + self._random())
        elif (
            self._started_after_pause(action) and self.version >= self.platform_version
        ):
            self._paused_at = None
        self._update_readiness(now)

    def record_applied(self, version: int) -> None:
        """Record the version of the lists that this host now applies."""
        self.version = max(self.version, version)

    def is_fresh(self, now: float) -> bool:
        """Return whether the lists are fresh enough to decide about requests."""
        self._detect_pause(now)
        if self._paused_at is None:
            return True
        return now >= self._paused_at + MAX_REFRESH_WAIT_S

    # Internals.

    def _detect_pause(self, now: float) -> None:
        if now - self._ticked_at <= PAUSE_DETECTION_S:
            return
        self._ticked_at = now
        self._paused_at = now
        self._next_read_at = now
        self._next_fetch_at = now

    def _started_after_pause(self, action: Action) -> bool:
        return self._paused_at is None or action.started_at >= self._paused_at

    def _is_catching_up(self) -> bool:
        return not self.is_ready or self._paused_at is not None

    def _update_readiness(self, now: float) -> None:
        if self.is_ready or self.version == 0:
            return
        if self._has_platform_answered and self.version >= self.platform_version:
            self.is_ready = True
            return
        has_waited = now - self._started_at >= STARTUP_WAIT_S
        if has_waited and not self._has_platform_answered and self._peers.live > 0:
            self.is_ready = self.version >= self._peers.known

    def _is_fetch_due(self, now: float) -> bool:
        return self.version < self._peers.held and now >= self._next_fetch_at

    def _is_lists_read_due(self, now: float) -> bool:
        if (
            self.version >= self.platform_version
            or now < self._platform_version_raised_at
        ):
            return False
        if self.platform_failures and now < self._next_read_at:
            return False
        # A fetch from a peer that has the lists saves a read from the platform.
        delay_s = LISTS_READ_DELAY_S * self._rank
        if self._peers.held >= self.platform_version:
            delay_s += LISTS_READ_DELAY_S
        return now - self._platform_version_raised_at >= delay_s

    def _next_interval_s(self) -> float:
        factor = LOW_RANK_INTERVAL_FACTOR
        if self._rank < len(INTERVAL_FACTORS_BY_RANK):
            factor = INTERVAL_FACTORS_BY_RANK[self._rank]
        if self._is_catching_up():
            factor = 1.0
        jitter = 1.0 + INTERVAL_JITTER * (2.0 * self._random() - 1.0)
        return self._interval_s * factor * jitter
