"""Placement of models on the engines of one data centre by its lease holder."""

import collections.abc
import concurrent.futures
import queue
import threading
import typing as t

from .clock import Clock
from .commits import TableService
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
from .core.store import StoreVersion
from .core.targets import Target
from .exceptions import PlatformConflictError
from .exceptions import PlatformError
from .exceptions import PlatformUnavailableError
from .exceptions import UpstreamError
from .exceptions import UpstreamLostError

TABLE = "leases"
ORDER_TIMEOUT_S = 2.0
MAX_LEASE_COMMANDS = 4  # in one tick
MAX_SENDERS = 8  # threads that send orders and read engine states

Observe = collections.abc.Callable[[], collections.abc.Sequence[EngineState]]
Derive = collections.abc.Callable[
    [collections.abc.Sequence[EngineState]], collections.abc.Sequence[Target]
]


class EngineClient(t.Protocol):
    """The interface of the engines that placement uses."""

    def read_state(self, engine: str) -> EngineState:
        """Return an engine's state; raise :exc:`UpstreamError` if it can't be read."""
        ...

    def send_order(
        self,
        order: Order,
        fence: int,
        holder: str,
        timeout_s: float,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order, if ``may_send`` returns true once connected.

        :raises UpstreamError: if the order was not sent, was refused, or its
            reply was lost.
        """
        ...


class LeaseManager:
    """Acquires, renews and releases a lease in a row of the table.

    :param role: key of the lease's row.
    :param holder: host and incarnation of this process.
    """

    def __init__(
        self,
        table: TableService,
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
        """Return the latest known fencing number."""
        with self._lock:
            return self._lease.fence

    def may_send_order(self, fence: int, order_s: float) -> bool:
        """Return whether an order with fencing number ``fence`` may be sent now."""
        with self._lock:
            if self._lease.fence != fence:
                return False
            return self._lease.may_send_order(self._clock.monotonic(), order_s)

    def tick(self) -> float:
        """Read or write the lease if due; return the seconds until the next call."""
        for _ in range(MAX_LEASE_COMMANDS):
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
        """Release the lease if it is held."""
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
            version = StoreVersion(number=row.version)
            self._lease.apply_read(version, value, self._clock.monotonic())

    def _write(self, command: LeaseWrite) -> None:
        conditions = [Condition(TABLE, self._role, command.version.number)]
        writes = [Write(TABLE, self._role, encode_lease(command.row))]
        try:
            (number,) = self._table.transact(conditions, writes)
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
                version = StoreVersion(number=number)
                self._lease.apply_write(version, command.row, self._clock.monotonic())


def _decode_row(row: Row) -> LeaseRow | None:
    if row.value is None:
        return None
    return decode_lease(row.value)


class Placer:
    """Sends orders to the engines of a data centre while this host holds the lease.

    :param observe: returns the engines' states as reported to this daemon.
    :param derive: returns the targets for those engines.
    :param order_timeout_s: time after which an order either has taken effect or
        never will.
    """

    def __init__(
        self,
        lease_manager: LeaseManager,
        engines: EngineClient,
        clock: Clock,
        observe: Observe,
        derive: Derive,
        limits: PlacementLimits | None = None,
        order_timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        self._lease_manager = lease_manager
        self._engines = engines
        self._clock = clock
        self._observe = observe
        self._derive = derive
        self._limits = limits or PlacementLimits()
        self._order_timeout_s = order_timeout_s
        self._placement = Placement(self._limits)
        self._fence = 0
        self._state_by_engine: dict[str, EngineState] = {}
        self._refused_orders: queue.SimpleQueue[Order] = queue.SimpleQueue()
        self._open_sends: set[concurrent.futures.Future[None]] = set()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_SENDERS, thread_name_prefix="placement"
        )
        self._is_closing = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that renews the lease and sends orders."""
        self._thread = threading.Thread(
            target=self._run, name="placement-lease", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop, and release the lease unless an order is still pending."""
        self._is_closing.set()
        if self._thread is not None:
            self._thread.join()
        _, unanswered = concurrent.futures.wait(
            list(self._open_sends), self._order_timeout_s
        )
        self._executor.shutdown(wait=False, cancel_futures=True)
        if not unanswered and not self._placement.pending:
            self._lease_manager.release()

    def tick(self) -> float:
        """Acquire or renew the lease, and send the orders that are due.

        :returns: seconds until the next call.
        """
        delay_s = self._lease_manager.tick()
        fence = self._lease_manager.fence
        if not self._lease_manager.may_send_order(fence, self._order_timeout_s):
            # Hosts without the lease derive targets too. Deriving records the
            # layer ranges of the models, so that the next holder of the lease
            # includes a range whose last engine failed with the current holder.
            self._derive(self._observe())
            return delay_s
        if fence != self._fence:
            # State from an earlier lease predates the orders of other holders.
            self._fence = fence
            self._placement = Placement(self._limits)
            self._state_by_engine = {}
        while not self._refused_orders.empty():
            self._placement.record_refusal(self._refused_orders.get())
        engines = self._merge_states(self._observe())
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

    def _merge_states(
        self, observed: collections.abc.Sequence[EngineState]
    ) -> list[EngineState]:
        """Return the latest states of the engines read at least once in this lease."""
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
            return self._lease_manager.may_send_order(fence, timeout_s)

        try:
            if not may_send():
                raise UpstreamError(
                    "the lease ends before the order timeout", where=order.engine
                )
            self._engines.send_order(
                order, fence, self._lease_manager.holder, timeout_s, may_send
            )
        except UpstreamLostError:
            # The order may still take effect; the engine's next state shows it.
            return
        except UpstreamError:
            self._refused_orders.put(order)
