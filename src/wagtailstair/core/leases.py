"""A lease with a fencing number, kept in one row of the platform's table.

Expiry is judged on each observer's own monotonic clock. A holder counts its
lease from before it sent the write; a successor waits a full lease from when it
first saw the present version of the row. So the holder's lease always ends
first, whatever the delays of the table.
"""

import dataclasses

from .rows import Value

MAX_BEATS_KEPT = 16


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRow:
    """The value of a lease's row.

    ``holder``: host and incarnation, empty if released; ``fence``: the fencing
    number, which grows with each change of holder; ``beat``: number of the
    write among those of its holder.
    """

    holder: str
    fence: int
    duration_s: float
    beat: int


def encode_lease(row: LeaseRow) -> Value:
    """Return the JSON value of a lease's row."""
    return dataclasses.asdict(row)


def decode_lease(value: Value) -> LeaseRow:
    """Return the lease of a row's value.

    :raises ValueError: if the value isn't that of a lease.
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
    """Times of a lease in seconds.

    ``margin_s``: held back at the end of a lease, for clocks that run at
    different rates; ``renew_s``: after which a holder renews.
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

    version: int
    row: LeaseRow


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseWait:
    """Do nothing for a while."""

    delay_s: float


LeaseCommand = LeaseRead | LeaseWrite | LeaseWait


class Lease:
    """One candidate's view of a lease.

    :param holder: names the candidate; differs at each start of its process.
    """

    __slots__ = (
        "_beat",
        "_held_until",
        "_is_stale",
        "_limits",
        "_pause_until",
        "_row",
        "_seen_at",
        "_sent_at_by_beat",
        "_version",
        "acquired_at",
        "holder",
        "succeeds",
    )

    def __init__(self, holder: str, limits: LeaseLimits) -> None:
        self.holder = holder
        self.acquired_at = 0.0
        self.succeeds = ""
        self._limits = limits
        self._row: LeaseRow | None = None
        self._version = 0
        self._seen_at = 0.0
        self._is_stale = True
        self._pause_until = 0.0
        self._held_until = float("-inf")
        self._beat = 0
        self._sent_at_by_beat: dict[int, float] = {}

    @property
    def fence(self) -> int:
        """Return the fencing number of the row as last seen."""
        return 0 if self._row is None else self._row.fence

    def holds(self, now: float, need_s: float = 0.0) -> bool:
        """Tell whether the lease is held for ``need_s`` seconds and a margin."""
        if self._row is None or self._row.holder != self.holder:
            return False
        return now + need_s + self._limits.margin_s < self._held_until

    def may_send_order(self, now: float, order_s: float) -> bool:
        """Tell whether an order may be sent whose effect takes ``order_s``.

        It ends inside this lease, and the last order of the holder before has
        ended too, so engines need not check fencing numbers.
        """
        if not self.holds(now, order_s):
            return False
        return not self.succeeds or now >= self.acquired_at + order_s

    def next(self, now: float) -> LeaseCommand:
        """Return what to do now."""
        if now < self._pause_until:
            return LeaseWait(self._pause_until - now)
        if self._is_stale:
            return LeaseRead()
        row = self._row
        if row is not None and row.holder == self.holder:
            return self._renew(row, now)
        if row is None or not row.holder:
            return self._acquire(now)
        expires = self._seen_at + row.duration_s
        if now < expires:
            self._is_stale = True
            delay_s = min(expires - now, self._limits.renew_s)
            self._pause_until = now + delay_s
            return LeaseWait(delay_s)
        return self._acquire(now)

    def release(self, now: float) -> LeaseWrite | None:
        """Give the lease up; return the write that tells the others, if held.

        Only for a holder none of whose orders can still take effect.
        """
        row = self._row
        if row is None or not self.holds(now):
            return None
        self._held_until = float("-inf")
        self._is_stale = True
        self._beat += 1
        released = dataclasses.replace(row, holder="", beat=self._beat)
        return LeaseWrite(self._version, released)

    def apply_read(self, version: int, row: LeaseRow | None, now: float) -> None:
        """Take in the row as read; ``now`` is after the reply."""
        self._is_stale = False
        if version == self._version and row == self._row:
            return
        self._take(version, row, now)

    def apply_write(self, version: int, row: LeaseRow, now: float) -> None:
        """Take in that a write took effect."""
        self._is_stale = False
        self._take(version, row, now)

    def mark_stale(self) -> None:
        """Take in a conflict or a lost reply: the row has to be read."""
        self._is_stale = True

    def delay_retry(self, now: float) -> None:
        """Take in that the table could not be reached."""
        self._is_stale = True
        self._pause_until = now + self._limits.retry_s

    def _renew(self, row: LeaseRow, now: float) -> LeaseCommand:
        renew_at = self._held_until - self._limits.duration_s + self._limits.renew_s
        if now < renew_at:
            return LeaseWait(renew_at - now)
        return self._write(row.fence, now)

    def _acquire(self, now: float) -> LeaseWrite:
        return self._write(self.fence + 1, now)

    def _write(self, fence: int, now: float) -> LeaseWrite:
        self._beat += 1
        self._sent_at_by_beat[self._beat] = now
        if len(self._sent_at_by_beat) > MAX_BEATS_KEPT:
            del self._sent_at_by_beat[min(self._sent_at_by_beat)]
        row = LeaseRow(self.holder, fence, self._limits.duration_s, self._beat)
        return LeaseWrite(self._version, row)

    def _take(self, version: int, row: LeaseRow | None, now: float) -> None:
        previous = self._row
        self._version = version
        self._row = row
        self._seen_at = now
        if row is None or row.holder != self.holder:
            self._held_until = float("-inf")
            return
        if previous is None or previous.holder != self.holder:
            self.acquired_at = now
            self.succeeds = previous.holder if previous is not None else ""
        # Counted from before the write was sent; an unknown write gives nothing.
        sent_at = self._sent_at_by_beat.get(row.beat)
        if sent_at is not None:
            self._held_until = sent_at + row.duration_s
