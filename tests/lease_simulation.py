"""Simulation of candidates for one lease; the engines check no fencing numbers.

The table may come back from an older copy, as the platform's store does.
"""

import dataclasses

from tests.fakes import FakeTable
from tests.fakes import WriteFault
from wagtailstair.core.leases import Lease
from wagtailstair.core.leases import LeaseLimits
from wagtailstair.core.leases import LeaseRead
from wagtailstair.core.leases import LeaseWait
from wagtailstair.core.leases import LeaseWrite
from wagtailstair.core.leases import decode_lease
from wagtailstair.core.leases import encode_lease
from wagtailstair.core.rows import Condition
from wagtailstair.core.rows import Write
from wagtailstair.core.store import FIRST_ERA
from wagtailstair.core.store import StoreVersion
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.gateway.store_eras import StoreEras

ROLE = "placement/dc1"
LIMITS = LeaseLimits(duration_s=10.0, renew_s=3.0, margin_s=1.0, retry_s=0.5)
ORDER_S = 2.0
COPIES = 4
# Clock rates of the candidates; real clocks differ by a few percent at most.
RATES = (0.97, 1.0, 1.03)


@dataclasses.dataclass
class Candidate:
    name: str
    rate: float
    lease: Lease
    eras: StoreEras = dataclasses.field(default_factory=StoreEras)
    incarnation: int = 1
    is_frozen: bool = False
    is_cut: bool = False
    command: object = None
    deliver_result: object = None


@dataclasses.dataclass
class SentOrder:
    engine: int
    fence: int
    deadline: float


class LeaseSimulation:
    def __init__(self, candidates=3, engines=2):
        self.now = 100.0
        self.table = FakeTable()
        self.era = FIRST_ERA
        self.copies = [self.table.copy()]
        self.candidates = [
            self._make_candidate(f"h{n}", RATES[n % len(RATES)], 1)
            for n in range(candidates)
        ]
        self.fences_by_engine = {engine: [] for engine in range(engines)}
        self.holder_by_fence = {}
        self.orders_sent = 0
        self.pending_orders = []

    def _make_candidate(self, name, rate, incarnation):
        lease = Lease(f"{name}/{incarnation}", LIMITS)
        candidate = Candidate(name, rate, lease, incarnation=incarnation)
        candidate.eras.add_listener(lambda: lease.apply_return(self.clock(candidate)))
        return candidate

    def clock(self, candidate):
        return self.now * candidate.rate

    def step(self, index, fault=WriteFault.NONE):
        """Execute the pending command, or deliver its result to the candidate."""
        candidate = self.candidates[index]
        if candidate.is_frozen:
            return
        if candidate.deliver_result is not None:
            candidate.deliver_result, deliver = None, candidate.deliver_result
            deliver(self.clock(candidate))
            return
        if candidate.command is None:
            candidate.command = candidate.lease.next(self.clock(candidate))
            return
        command, candidate.command = candidate.command, None
        if isinstance(command, LeaseWait):
            return
        candidate.deliver_result = self._execute(candidate, command, fault)

    def tick(self, index):
        """Step a candidate until it waits, or for 12 steps."""
        candidate = self.candidates[index]
        for _ in range(12):
            if isinstance(candidate.command, LeaseWait):
                candidate.command = None
                return
            self.step(index)

    def _execute(self, candidate, command, fault):
        lease = candidate.lease
        if candidate.is_cut or fault is WriteFault.AWAY:
            return lease.delay_retry
        if isinstance(command, LeaseRead):
            (row,) = self.table.read([("leases", ROLE)])
            value = None if row.value is None else decode_lease(row.value)
            version = StoreVersion(self.era, row.version)
            return self._with_era(
                candidate, lambda now: lease.apply_read(version, value, now)
            )
        assert isinstance(command, LeaseWrite)
        self.table.faults.append(fault)
        try:
            (number,) = self.table.transact(
                [Condition("leases", ROLE, command.version.number)],
                [Write("leases", ROLE, encode_lease(command.row))],
            )
        except PlatformUnavailableError:
            return lease.delay_retry
        except PlatformUnknownError:
            return lambda now: lease.mark_stale()
        except PlatformConflictError:
            return self._with_era(candidate, lambda now: lease.mark_stale())
        version = StoreVersion(self.era, number)
        return self._with_era(
            candidate, lambda now: lease.apply_write(version, command.row, now)
        )

    def _with_era(self, candidate, deliver):
        """Return a function that delivers a reply which names the era of now."""
        era = self.era

        def deliver_with_era(now):
            if era < candidate.eras.current:
                candidate.lease.delay_retry(now)
                return
            candidate.eras.observe(era, "store")
            deliver(now)

        return deliver_with_era

    def take_copy(self):
        self.copies = [*self.copies, self.table.copy()][-COPIES:]

    def return_table(self, index):
        """Bring the table back from one of the latest copies."""
        self.table.restore(self.copies[index % len(self.copies)])
        self.era += 1

    def hear_of_the_era(self, index):
        candidate = self.candidates[index]
        if not candidate.is_frozen:
            candidate.eras.observe(self.era, "peer")

    def send_order(self, index, engine, is_slow):
        """Send an order if the lease allows it; a slow one takes effect later."""
        candidate = self.candidates[index]
        if candidate.is_frozen:
            return False
        if not candidate.lease.may_send_order(self.clock(candidate), ORDER_S):
            return False
        self.orders_sent += 1
        fence, holder = candidate.lease.fence, candidate.lease.holder
        first = self.holder_by_fence.setdefault(fence, holder)
        assert first == holder, f"{first} and {holder} share a fencing number"
        order = SentOrder(engine, candidate.lease.fence, self.now + ORDER_S)
        if is_slow:
            self.pending_orders.append(order)
        else:
            self._apply_order(order)
        return True

    def land(self, index):
        if self.pending_orders:
            self._apply_order(self.pending_orders.pop(index % len(self.pending_orders)))

    def advance(self, seconds):
        """Advance the time; an order takes effect at its timeout at the latest."""
        self.now += seconds
        for order in sorted(self.pending_orders, key=lambda order: order.deadline):
            if order.deadline <= self.now:
                self.pending_orders.remove(order)
                self._apply_order(order)

    def _apply_order(self, order):
        self.fences_by_engine[order.engine].append(order.fence)
        self.check()

    def restart(self, index):
        old = self.candidates[index]
        incarnation = old.incarnation + 1
        self.candidates[index] = self._make_candidate(old.name, old.rate, incarnation)

    def release(self, index):
        """Release the lease, as a daemon does on graceful shutdown."""
        candidate = self.candidates[index]
        if (
            candidate.is_frozen
            or self.pending_orders
            or candidate.deliver_result is not None
        ):
            return
        command = candidate.lease.release(self.clock(candidate))
        if command is None:
            return
        candidate.command = command

    # Invariants.

    def check(self):
        for engine, fences in self.fences_by_engine.items():
            assert fences == sorted(fences), f"engine {engine}: old order undid a new"
        holders = [
            candidate.name
            for candidate in self.candidates
            if candidate.lease.holds(self.clock(candidate))
        ]
        assert len(holders) <= 1, f"{holders} hold the lease at once"
