"""The order in which all hosts of a data centre start the streams that they queue.

Hosts report to each other what they have queued and started. A stream is held back
while a more urgent one is queued at a peer, unless its rank has got less than its
minimum share of the work that all hosts have started. Without recent reports of
peers, a host decides on its own counters alone.
"""

import collections
import dataclasses
import heapq
import typing as t

from ..engine import Priority
from ..messages import QueueCounts

COUNTS_TIMEOUT_S = 1.5
"""Seconds after which a peer's counters are dropped: six messages, and the longest
time for which a lost host holds back the others."""

NO_START_S = 1.5
"""Seconds after which a peer that queues streams of a rank and starts none of them no
longer holds back the others: its engines are paused or lost."""

RATE_WINDOW_S = 2.0
"""Seconds over which the started work is counted by rank."""

ACCOUNT_WINDOW_S = 10.0
"""Seconds over which the started work is counted by account."""

MESSAGE_INTERVAL_S = 0.25
"""Least seconds between two messages."""

ACTIVE_S = 2.0
"""Seconds for which counters are still sent after a stream has waited here or at a
peer; then no host holds back another."""

MESSAGE_ACCOUNTS = 32
"""Accounts with the most work that a message names, so that its size is bounded."""

ACCOUNT_NAME_BYTES = 128
"""Longest account name in a message, for the same reason."""

SEQUENCE_MASK = (1 << 32) - 1


class _Window:
    """Sums of work over the last seconds, by key."""

    __slots__ = ("_entries", "_seconds", "_sums", "count")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._entries: collections.deque[tuple[float, t.Hashable, int]] = (
            collections.deque()
        )
        self._sums: dict[t.Any, int] = {}
        self.count = 0

    def add(self, now: float, key: t.Hashable, work: int) -> None:
        """Add work; whole numbers, so that the sums stay exact."""
        self.expire(now)
        self._entries.append((now, key, work))
        self._sums[key] = self._sums.get(key, 0) + work
        self.count += 1

    def expire(self, now: float) -> None:
        """Remove what is older than the window."""
        while self._entries and now - self._entries[0][0] > self._seconds:
            _, key, work = self._entries.popleft()
            self.count -= 1
            self._sums[key] -= work
            if self._sums[key] <= 0:
                del self._sums[key]

    def get(self, key: t.Hashable) -> int:
        """Return the sum of a key."""
        return self._sums.get(key, 0)

    def largest(self, count: int) -> list[tuple[str, int]]:
        """Return the keys with the largest sums, largest first."""
        return heapq.nlargest(count, self._sums.items(), key=lambda item: item[1])


@dataclasses.dataclass(slots=True)
class _Peer:
    """The last counters of a peer.

    ``idle_since``: per rank, the time since which it has queued streams and started
    none, ``None`` if it has not.
    """

    counts: QueueCounts
    received_at: float
    work_by_account: dict[str, int]
    idle_since: list[float | None]


class SharedOrder:
    """The counters of this host and those that its peers have sent lately.

    :param shares: share of the started work that each rank keeps.
    """

    __slots__ = (
        "_accounts",
        "_is_enabled",
        "_last_waiting_at",
        "_newest",
        "_peer_by_name",
        "_ranks",
        "_sent_at",
        "_sequence",
        "_shares",
    )

    def __init__(
        self, shares: tuple[float, float, float], *, is_enabled: bool = True
    ) -> None:
        self._shares = shares
        self._is_enabled = is_enabled
        self._peer_by_name: dict[str, _Peer] = {}
        self._ranks = _Window(RATE_WINDOW_S)
        # What the peers can't have counted yet.
        self._newest = _Window(MESSAGE_INTERVAL_S)
        self._accounts = _Window(ACCOUNT_WINDOW_S)
        self._last_waiting_at = float("-inf")
        self._sent_at = float("-inf")
        self._sequence = 0

    def set_enabled(self, *, is_enabled: bool) -> None:
        """Start or stop to exchange counters with peers."""
        self._is_enabled = is_enabled
        if not is_enabled:
            self._peer_by_name.clear()

    # Counters.

    def record_start(self, now: float, rank: int, account: str, work: float) -> None:
        """Count a stream of this host that has started."""
        tokens = max(1, int(work))
        self._ranks.add(now, rank, tokens)
        self._newest.add(now, rank, tokens)
        self._accounts.add(now, account, tokens)

    def record_waiting(self, now: float) -> None:
        """Note that a stream is queued at this host or at a peer."""
        self._last_waiting_at = now

    def receive(self, source: str, counts: QueueCounts, now: float) -> None:
        """Replace the counters of a peer, unless they are older than the known ones."""
        if not self._is_enabled:
            return
        self._expire(now)
        known = self._peer_by_name.get(source)
        idle_since: list[float | None] = [None] * len(Priority)
        if known is not None:
            ahead = (counts.sequence - known.counts.sequence) & SEQUENCE_MASK
            if not 0 < ahead <= SEQUENCE_MASK // 2:
                return
            idle_since = known.idle_since
        for rank in Priority:
            if not counts.waiting[rank] or counts.started_work[rank]:
                idle_since[rank] = None
            elif idle_since[rank] is None:
                idle_since[rank] = now
        work_by_account = dict(counts.accounts)
        self._peer_by_name[source] = _Peer(counts, now, work_by_account, idle_since)
        if any(counts.waiting):
            self.record_waiting(now)

    def drop(self, source: str) -> None:
        """Remove the counters of a peer that is gone."""
        self._peer_by_name.pop(source, None)

    def message(
        self, now: float, waiting: tuple[int, ...], waiting_work: tuple[float, ...]
    ) -> QueueCounts | None:
        """Return the counters to send to the peers, ``None`` for none now.

        :param waiting: per rank, the number of streams queued at this host.
        :param waiting_work: per rank, their tokens.
        """
        if any(waiting):
            self.record_waiting(now)
        is_active = now - self._last_waiting_at <= ACTIVE_S
        if not self._is_enabled or not is_active:
            return None
        if now - self._sent_at < MESSAGE_INTERVAL_S:
            return None
        self._sent_at = now
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        self._ranks.expire(now)
        self._accounts.expire(now)
        accounts = []
        for name, work in self._accounts.largest(MESSAGE_ACCOUNTS):
            if name and len(name.encode()) <= ACCOUNT_NAME_BYTES:
                accounts.append((name, work))
        return QueueCounts(
            self._sequence,
            waiting,
            tuple(int(work) for work in waiting_work),
            tuple(self._ranks.get(rank) for rank in Priority),
            self._ranks.count,
            tuple(accounts),
        )

    # Decisions.

    def is_held_back(self, rank: int, queued_work: float, now: float) -> bool:
        """Return whether a stream has to wait for more urgent ones of peers.

        :param queued_work: tokens of its rank that are queued here, with its own.
        """
        self._expire(now)
        if not self._has_urgent(rank, now):
            return False
        return not self._is_under_minimum(rank, queued_work, now)

    def charge_factor(self, account: str, now: float) -> float:
        """Return how much more work an account has started than here alone.

        It is at most the number of hosts that have started work for it, so that an
        account that has just come to this host isn't shut out.
        """
        self._expire(now)
        elsewhere, hosts = 0, 1
        for peer in self._peer_by_name.values():
            work = peer.work_by_account.get(account, 0)
            elsewhere += work
            hosts += work > 0
        if not account or not elsewhere:
            return 1.0
        self._accounts.expire(now)
        here = max(1, self._accounts.get(account))
        return min(float(hosts), (here + elsewhere) / here)

    def peers_started(self, now: float) -> tuple[int, int]:
        """Return the streams and the tokens that peers started in the last seconds."""
        self._expire(now)
        starts, work = 0, 0
        for peer in self._peer_by_name.values():
            starts += peer.counts.starts
            work += sum(peer.counts.started_work)
        return starts, work

    def share(self, queued_work: float, now: float) -> float:
        """Return this host's share of the queued work, 1 if nothing is queued.

        :param queued_work: tokens queued at this host, of all ranks.
        """
        self._expire(now)
        total = queued_work
        for peer in self._peer_by_name.values():
            total += sum(peer.counts.waiting_work)
        return queued_work / total if total else 1.0

    def _expire(self, now: float) -> None:
        for name, peer in list(self._peer_by_name.items()):
            if now - peer.received_at > COUNTS_TIMEOUT_S:
                del self._peer_by_name[name]

    def _has_urgent(self, rank: int, now: float) -> bool:
        for peer in self._peer_by_name.values():
            for other in range(rank):
                if not peer.counts.waiting[other]:
                    continue
                idle_since = peer.idle_since[other]
                if idle_since is None or now - idle_since < NO_START_S:
                    return True
        return False

    def _is_under_minimum(self, rank: int, queued_work: float, now: float) -> bool:
        """Return whether this host may start work of a rank below its minimum.

        Hosts see the same shortage until their next messages, so each takes the part
        of it that matches its queued work, but one stream at least.
        """
        self._ranks.expire(now)
        self._newest.expire(now)
        total = sum(self._ranks.get(other) for other in Priority)
        started, queued = self._ranks.get(rank), queued_work
        for peer in self._peer_by_name.values():
            total += sum(peer.counts.started_work)
            started += peer.counts.started_work[rank]
            queued += peer.counts.waiting_work[rank]
        shortage = self._shares[rank] * total - started
        # A rank at its share may ask for its next stream: finding room takes time.
        if total <= 0 or shortage < 0:
            return False
        newest = self._newest.get(rank)
        return newest <= 0 or newest < (shortage + newest) * queued_work / queued
