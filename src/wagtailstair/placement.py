"""Placement of models on the engines of one data centre, by one lease holder."""

import collections.abc
import concurrent.futures
import queue
import threading
import typing as t

from .clock import Clock
from .commits import TableClient
from .core.engine import EngineState
from .core.leases import Lease
from .core.leases import LeaseLimits
from .core.leases import LeaseRead
from .core.leases import LeaseRow
from .core.leases import LeaseWait
from .core.leases import LeaseWrite
from .core.leases import decode_lease
from .core.leases import encode_lease
from .core.placement import Order
from .core.placement import Placement
from .core.placement import PlacementLimits
from .core.rows import Condition
from .core.rows import Row
from .core.rows import Write
from .core.targets import Target
from .exceptions import PlatformConflictError
from .exceptions import PlatformError
from .exceptions import PlatformUnavailableError
from .exceptions import UpstreamError
from .exceptions import UpstreamLostError

TABLE = "leases"
ORDER_TIMEOUT_S = 2.0
MAX_LEASE_STEPS = 4
MAX_SENDERS = 8

Observe = collections.abc.Callable[[], collections.abc.Sequence[EngineState]]
Derive = collections.abc.Callable[
    [collections.abc.Sequence[EngineState]], collections.abc.Sequence[Target]
]


class EngineClient(t.Protocol):
    """What is needed of the client of the engines."""

    def read_state(self, engine: str) -> EngineState:
        """Ask an engine for its state; raise :exc:`UpstreamError`."""
        ...

    def send_order(
        self,
        order: Order,
        fence: int,
        holder: str,
        timeout_s: float,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order, if ``may_send`` holds when it is connected.

        :raises UpstreamError: if it was not sent, was refused, or its reply
            was lost.
        """
        ...


class LeaseManager:
    """The table side of a lease.

    :param holder: host and incarnation of this process.
    """

    def __init__(
        self,
        table: TableClient,
        clock: Clock,
        role: str,
        holder: str,
        limits: LeaseLimits | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._role = role
        self._lock = threading.Lock()
        self._lease = Lease(holder, limits or LeaseLimits())
        self.holder = holder

    @property
    def fence(self) -> int:
        """Return the fencing number as last seen."""
        with self._lock:
            return self._lease.fence

    def may_send_order(self, fence: int, order_s: float) -> bool:
        """Tell whether an order under ``fence`` may be sent now."""
        with self._lock:
            if self._lease.fence != fence:
                return False
            return self._lease.may_send_order(self._clock.monotonic(), order_s)

    def tick(self) -> float:
        """Do what the lease needs; return the seconds until the next time."""
        for _ in range(MAX_LEASE_STEPS):
            with self._lock:
                command = self._lease.next(self._clock.monotonic())
            if isinstance(command, LeaseWait):
                return command.delay_s
            if isinstance(command, LeaseRead):
                self._read()
                continue
            self._write(command)
        return 0.0

    def release(self) -> None:
        """Give the lease up, if it is held."""
        with self._lock:
            command = self._lease.release(self._clock.monotonic())
        if command is not None:
            self._write(command)

    def _read(self) -> None:
        try:
            (row,) = self._table.read([(TABLE, self._role)])
            value = _decode_row(row)
        except (PlatformError, ValueError):
            with self._lock:
                self._lease.delay_retry(self._clock.monotonic())
            return
        with self._lock:
            self._lease.apply_read(row.version, value, self._clock.monotonic())

    def _write(self, command: LeaseWrite) -> None:
        conditions = [Condition(TABLE, self._role, command.version)]
        writes = [Write(TABLE, self._role, encode_lease(command.row))]
        try:
            (version,) = self._table.transact(conditions, writes)
        except PlatformConflictError:
            with self._lock:
                self._lease.mark_stale()
        except PlatformUnavailableError:
            with self._lock:
                self._lease.delay_retry(self._clock.monotonic())
        except PlatformError:
            with self._lock:
                self._lease.mark_stale()
        else:
            with self._lock:
                self._lease.apply_write(version, command.row, self._clock.monotonic())


def _decode_row(row: Row) -> LeaseRow | None:
    if row.value is None:
        return None
    return decode_lease(row.value)


class Placer:
    """Sends orders to the engines of a data centre while it holds the lease.

    :param observe: returns the engines' states as reported to this daemon.
    :param derive: returns the targets for those engines.
    :param order_timeout_s: after which an order has taken effect or never will.
    """

    def __init__(
        self,
        keeper: LeaseManager,
        engines: EngineClient,
        clock: Clock,
        observe: Observe,
        derive: Derive,
        limits: PlacementLimits | None = None,
        order_timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        self._keeper = keeper
        self._engines = engines
        self._clock = clock
        self._observe = observe
        self._derive = derive
        self._limits = limits or PlacementLimits()
        self._order_timeout_s = order_timeout_s
        self._placement = Placement(self._limits)
        self._fence = 0
        self._state_by_engine: dict[str, EngineState] = {}
        self._unsent: queue.SimpleQueue[Order] = queue.SimpleQueue()
        self._open_sends: set[concurrent.futures.Future[None]] = set()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_SENDERS, thread_name_prefix="placement"
        )
        self._is_closing = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that keeps the lease and sends orders."""
        self._thread = threading.Thread(
            target=self._run, name="placement-lease", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop; give the lease up if every order has been answered."""
        self._is_closing.set()
        if self._thread is not None:
            self._thread.join()
        _, unanswered = concurrent.futures.wait(
            list(self._open_sends), self._order_timeout_s
        )
        self._executor.shutdown(wait=False, cancel_futures=True)
        if not unanswered and not self._placement.pending:
            self._keeper.release()

    def tick(self) -> float:
        """Keep the lease and send the orders that are due.

        :returns: seconds until the next call.
        """
        delay_s = self._keeper.tick()
        fence = self._keeper.fence
        if not self._keeper.may_send_order(fence, self._order_timeout_s):
            # The shapes of models are learnt by every host, so that the next
            # holder knows a range whose last engine died with this one.
            self._derive(self._observe())
            return delay_s
        if fence != self._fence:
            # Memory of an earlier lease is older than the other holders' orders.
            self._fence = fence
            self._placement = Placement(self._limits)
            self._state_by_engine = {}
        while not self._unsent.empty():
            self._placement.record_refusal(self._unsent.get())
        engines = self._read_back(self._observe())
        targets = self._derive(engines)
        for order in self._placement.decide(targets, engines, self._clock.monotonic()):
            future = self._executor.submit(self._send, order, fence)
            self._open_sends.add(future)
            future.add_done_callback(self._open_sends.discard)
        return delay_s

    def _run(self) -> None:
        while not self._is_closing.is_set():
            delay_s = self.tick()
            self._is_closing.wait(min(max(delay_s, 0.05), 1.0))

    def _read_back(
        self, observed: collections.abc.Sequence[EngineState]
    ) -> list[EngineState]:
        """Return newer states; engines not read under this lease are left out."""
        unread = [e.name for e in observed if e.name not in self._state_by_engine]
        for state in self._executor.map(self._read_state, unread):
            if state is not None:
                self._state_by_engine[state.name] = state
        engines: list[EngineState] = []
        for reported in observed:
            read = self._state_by_engine.get(reported.name)
            if read is None:
                continue
            engines.append(max(read, reported, key=lambda state: state.as_of))
        return engines

    def _read_state(self, engine: str) -> EngineState | None:
        try:
            return self._engines.read_state(engine)
        except UpstreamError:
            return None

    def _send(self, order: Order, fence: int) -> None:
        timeout_s = self._order_timeout_s

        def may_send() -> bool:
            return self._keeper.may_send_order(fence, timeout_s)

        try:
            if not may_send():
                raise UpstreamError("the lease ends too soon", where=order.engine)
            self._engines.send_order(
                order, fence, self._keeper.holder, timeout_s, may_send
            )
        except UpstreamLostError:
            # It may still take effect: the engine's state will tell.
            return
        except UpstreamError:
            self._unsent.put(order)
