"""Acquires, renews and releases a lease in the store."""

import random
import typing as t

import msgspec

from ..core.leases import Lease
from ..core.leases import LeaseLimits
from ..core.leases import LeaseRead
from ..core.leases import LeaseRow
from ..core.leases import LeaseWait
from ..core.leases import LeaseWrite
from ..core.leases import decode_lease
from ..core.leases import encode_lease
from ..core.store import Call
from ..core.store import StoreVersion
from ..exceptions import PlatformError
from ..logs import log_event
from ..platform import store as wire
from .fetch import Answer
from .fetch import Fetch
from .loop import Loop
from .store_eras import StoreEras
from .upstream_pool import ExchangeLoss
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

TABLE = "leases"

LEASE = LeaseLimits(duration_s=4.0, renew_s=1.4, margin_s=0.5, retry_s=0.5)
"""A lost holder is replaced within 4 s; a lease survives two failed renewals."""

STORE_TIMEOUT_S = 1.0
START_SPREAD_S = 0.3
"""Seconds over which the first calls of hosts that start together are spread."""

MIN_WAIT_S = 0.05
OK = 200


class LeaseManager:
    """Acquires one lease and renews it while it is held.

    :param key: the lease's name.
    :param holder: identifies this host; differs at each start.
    :param is_candidate: returns whether this host should acquire the lease.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        store: Upstream,
        key: str,
        holder: str,
        is_candidate: t.Callable[[], bool],
        rng: random.Random,
        eras: StoreEras,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._store = store
        self._key = key
        self._rng = rng
        self._is_candidate = is_candidate
        self._lease = Lease(holder, LEASE)
        self._had_lease = False
        self._eras = eras
        eras.add_listener(self._on_return)
        # Seconds for which the machine had been suspended at the last renewal.
        self._suspended_s = loop.clock.suspended_s()

    @property
    def fence(self) -> int:
        """Return the fencing number of the lease as last read or written."""
        return self._lease.fence

    def start(self) -> None:
        """Start to acquire the lease."""
        self._loop.call_later(self._rng.uniform(0, START_SPREAD_S), self._step)

    def may_send_order(self, order_s: float) -> bool:
        """Return whether an order that takes up to ``order_s`` may be sent now.

        The lease runs on while the machine is suspended.
        """
        suspended_s = self._loop.clock.suspended_s() - self._suspended_s
        return self._lease.may_send_order(self._loop.now + suspended_s, order_s)

    def release(self) -> None:
        """Release the lease, if it is held."""
        write = self._lease.release(self._loop.now)
        if write is not None:
            self._write(write, lambda _answer: None)

    def _on_return(self) -> None:
        self._lease.apply_return(self._loop.now)

    def _step(self) -> None:
        now = self._loop.now
        is_held = self._lease.holds(now)
        if is_held != self._had_lease:
            self._had_lease = is_held
            event = "lease_gained" if is_held else "lease_lost"
            log_event(event, lease=self._key, fence=self._lease.fence)
        if not is_held and not self._is_candidate():
            self._loop.call_later(LEASE.retry_s, self._step)
            return
        command = self._lease.next(now)
        if isinstance(command, LeaseWait):
            self._loop.call_later(max(MIN_WAIT_S, command.delay_s), self._step)
        elif isinstance(command, LeaseRead):
            call = wire.read_call(TABLE)
            self._fetch(call, self._on_read)
        else:
            self._write(command, lambda answer: self._on_written(command, answer))

    def _write(
        self, command: LeaseWrite, on_answer: t.Callable[[Answer], None]
    ) -> None:
        value = msgspec.json.encode(encode_lease(command.row))
        call = wire.transact_call(
            [(TABLE, self._key, command.version.number)], [(TABLE, self._key, value)]
        )
        suspended_s = self._loop.clock.suspended_s()

        def on_written(answer: Answer) -> None:
            if answer.status == OK:
                self._suspended_s = suspended_s
            on_answer(answer)

        self._fetch(call, on_written)

    def _fetch(self, call: Call, on_answer: t.Callable[[Answer], None]) -> None:
        Fetch(self._loop, self._pool, self._store, call, STORE_TIMEOUT_S, on_answer)

    def _on_read(self, answer: Answer) -> None:
        now = self._loop.now
        try:
            rows = self._eras.decode(answer)
        except PlatformError as error:
            log_event("lease_unread", level="WARNING", reason=error)
            self._lease.delay_retry(now)
            self._step()
            return
        version, row = StoreVersion(rows.version.era), None
        for entry in rows.rows:
            if entry.key == self._key and entry.value is not None:
                version, row = entry.version, self._decode(entry.value)
        self._lease.apply_read(version, row, now)
        self._step()

    @staticmethod
    def _decode(value: bytes) -> LeaseRow | None:
        try:
            return decode_lease(msgspec.json.decode(value))
        except (ValueError, msgspec.MsgspecError, RecursionError) as error:
            log_event("lease_unreadable", level="WARNING", reason=error)
            return None

    def _on_written(self, command: LeaseWrite, answer: Answer) -> None:
        now = self._loop.now
        if answer.status == 0 and answer.loss is not ExchangeLoss.NOT_SENT:
            self._lease.mark_stale()
            self._loop.call_later(LEASE.retry_s / 2, self._step)
            return
        try:
            rows = self._eras.decode(answer)
        except PlatformError as error:
            log_event("lease_unwritten", level="WARNING", reason=error)
            self._lease.delay_retry(now)
            self._step()
            return
        if rows.is_conflict:
            self._lease.mark_stale()
        else:
            self._lease.apply_write(rows.version, command.row, now)
        self._step()
