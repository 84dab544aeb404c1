"""A lease with a fencing number, stored in one row of the platform's table.

Each observer determines expiry by its own monotonic clock. The holder measures
its lease from before it sent the write. A successor waits a full lease duration
from when it first read the current version of the row. The holder's lease
therefore ends first, however slow the table is.
"""

import dataclasses

from .rows import Value
from .store import FIRST_ERA
from .store import NO_VERSION
from .store import StoreVersion

FENCE_VERSION_BITS = 40
"""Bits of a fencing number that follow its era: more than versions of one era have."""

MAX_PENDING_BEATS = 16  # writes whose send times are kept


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRow:
    """The value of a lease's row.

    ``holder``: host and incarnation, empty if released; ``fence``: the fencing
    number, which grows with each change of holder; ``beat``: sequence number of
    the write among those of its holder.
    """

    holder: str
    fence: int
    duration_s: float
    beat: int


def encode_lease(row: LeaseRow) -> Value:
    """Return the JSON value of a lease's row."""
    return dataclasses.asdict(row)


def decode_lease(value: Value) -> LeaseRow:
    """Return the lease that a row's value describes.

    :raises ValueError: if the value is not valid.
    """
    try:
        return LeaseRow(
            str(value["holder"]),
            int(value["fence"]),
            float(value["duration_s"]),
            int(value["beat"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a lease: {error}") from error


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseLimits:
    """Durations of a lease, in seconds.

    ``renew_s``: age at which the holder renews its lease; ``margin_s``: time
    before expiry at which the holder stops using it, since clocks run at
    different rates; ``retry_s``: delay after a failed call to the table.
    """

    duration_s: float = 10.0
    renew_s: float = 3.0
    margin_s: float = 1.0
    retry_s: float = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRead:
    """Read the lease's row."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseWrite:
    """Write the lease's row on condition that it is at ``version``."""

    version: StoreVersion
    row: LeaseRow


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseWait:
    """Wait before the next command."""

    delay_s: float


LeaseCommand = LeaseRead | LeaseWrite | LeaseWait


class Lease:
    """The state of a lease, as seen by one candidate.

    :param holder: the candidate; unique to each start of its process.
    """

    __slots__ = (
        "_beat",
        "_has_read",
        "_held_until",
        "_highest_fence",
        "_is_stale",
        "_limits",
        "_row",
        "_seen_at",
        "_sent_at_by_beat",
        "_settled_at",
        "_version",
        "_wait_until",
        "acquired_at",
        "holder",
        "previous_holder",
    )

    def __init__(self, holder: str, limits: LeaseLimits) -> None:
        self.holder = holder
        self.acquired_at = 0.0
        self.previous_holder = ""
        self._limits = limits
        self._row: LeaseRow | None = None
        self._version = NO_VERSION
        self._seen_at = 0.0
        # Time until which a return of the table may be unknown to another holder,
        # whose row is lost.
        self._settled_at = float("-inf")
        self._has_read = False
        self._is_stale = True
        self._wait_until = 0.0
        self._held_until = float("-inf")
        self._highest_fence = 0
        self._beat = 0
        self._sent_at_by_beat: dict[int, float] = {}

    @property
    def fence(self) -> int:
        """Return the fencing number of the row as last seen."""
        return 0 if self._row is None else self._row.fence

    def holds(self, now: float, need_s: float = 0.0) -> bool:
        """Return whether the lease stays held for ``need_s`` seconds and the margin."""
        if self._row is None or self._row.holder != self.holder:
            return False
        return now + need_s + self._limits.margin_s < self._held_until

    def may_send_order(self, now: float, order_s: float) -> bool:
        """Return whether an order that takes ``order_s`` seconds may be sent now.

        The order must end within this lease, and every order of the previous
        holder must have ended. Engines then need not check fencing numbers.
        """
        if not self.holds(now, order_s):
            return False
        return not self.previous_holder or now >= self.acquired_at + order_s

    def next(self, now: float) -> LeaseCommand:
        """Return the next command."""
        if now < self._wait_until:
            return LeaseWait(self._wait_until - now)
        if self._is_stale:
            return LeaseRead()
        row = self._row
        if row is not None and row.holder not in ("", self.holder):
            free_at = self._seen_at + row.duration_s
            if now < free_at:
                self._is_stale = True
                delay_s = min(free_at - now, self._limits.renew_s)
                self._wait_until = now + delay_s
                return LeaseWait(delay_s)
            return self._acquire(now)
        if now < self._settled_at:
            self._is_stale = True
            return LeaseWait(self._settled_at - now)
        if row is None or not row.holder:
            return self._acquire(now)
        return self._renew(row, now)

    def release(self, now: float) -> LeaseWrite | None:
        """Release the lease; return the write that publishes this, if it is held.

        Must only be called when no order of this holder can still take effect.
        """
        row = self._row
        if row is None or not self.holds(now):
            return None
        self._held_until = float("-inf")
        self._is_stale = True
        self._beat += 1
        released = dataclasses.replace(row, holder="", beat=self._beat)
        return LeaseWrite(self._version, released)

    def apply_read(
        self, version: StoreVersion, row: LeaseRow | None, now: float
    ) -> None:
        """Apply the row as read; ``now`` is the time after the reply."""
        self._is_stale = False
        if not self._has_read and version.era > FIRST_ERA:
            # The return may have been just before this candidate started.
            self._settled_at = now + self._limits.duration_s
        self._has_read = True
        if version == self._version and row == self._row:
            return
        self._apply_row(version, row, now)

    def apply_write(self, version: StoreVersion, row: LeaseRow, now: float) -> None:
        """Apply a write that took effect."""
        self._is_stale = False
        self._apply_row(version, row, now)

    def apply_return(self, now: float) -> None:
        """Give the lease up, as the table has come back from an older copy.

        The row may name any earlier holder, and versions are given out again. A holder
        that has not seen the return yet holds its lease for at most its duration, so
        that none is acquired before.
        """
        self._row = None
        self._version = NO_VERSION
        self._is_stale = True
        self._held_until = float("-inf")
        self._sent_at_by_beat.clear()
        self._settled_at = now + self._limits.duration_s

    def mark_stale(self) -> None:
        """Mark the row as stale, after a conflict or a lost reply."""
        self._is_stale = True

    def delay_retry(self, now: float) -> None:
        """Mark the row as stale and retry later, as the table was unavailable."""
        self._is_stale = True
        self._wait_until = now + self._limits.retry_s

    def _renew(self, row: LeaseRow, now: float) -> LeaseCommand:
        renew_at = self._held_until - self._limits.duration_s + self._limits.renew_s
        if now < renew_at:
            return LeaseWait(renew_at - now)
        if row.fence < max(self._highest_fence, self._first_fence()):
            return self._acquire(now)
        return self._write(row.fence, now)

    def _acquire(self, now: float) -> LeaseWrite:
        fence = max(self.fence, self._highest_fence) + 1
        first_fence = self._first_fence()
        if first_fence:
            # Above those of this era, too, if a late write has replaced their row.
            fence = max(fence, first_fence + self._version.number + 1)
        return self._write(fence, now)

    def _first_fence(self) -> int:
        """Return a number above all fences given in earlier eras of the table.

        Holders whose rows the table has lost may have used fences that this candidate
        has not seen.
        """
        era = self._version.era
        return 0 if era <= FIRST_ERA else era << FENCE_VERSION_BITS

    def _write(self, fence: int, now: float) -> LeaseWrite:
        self._beat += 1
        self._sent_at_by_beat[self._beat] = now
        if len(self._sent_at_by_beat) > MAX_PENDING_BEATS:
            del self._sent_at_by_beat[min(self._sent_at_by_beat)]
        row = LeaseRow(self.holder, fence, self._limits.duration_s, self._beat)
        return LeaseWrite(self._version, row)

    def _apply_row(
        self, version: StoreVersion, row: LeaseRow | None, now: float
    ) -> None:
        previous = self._row
        self._version = version
        self._row = row
        self._seen_at = now
        self._highest_fence = max(self._highest_fence, self.fence)
        if row is None or row.holder != self.holder:
            self._held_until = float("-inf")
            return
        if previous is None or previous.holder != self.holder:
            self.acquired_at = now
            self.previous_holder = previous.holder if previous is not None else ""
        # The lease starts before its write was sent; a write whose send time is
        # unknown does not extend it.
        sent_at = self._sent_at_by_beat.get(row.beat)
        if sent_at is not None:
            self._held_until = sent_at + row.duration_s
