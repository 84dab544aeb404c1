import pytest

from tests.fakes import FakeTable
from tests.fakes import WriteFault
from wagtailstair.clock import ManualClock
from wagtailstair.core.leases import Lease
from wagtailstair.core.leases import LeaseLimits
from wagtailstair.core.leases import LeaseRow
from wagtailstair.core.leases import LeaseWait
from wagtailstair.core.leases import decode_lease
from wagtailstair.placement import LeaseKeeper

LIMITS = LeaseLimits(duration_s=10.0, renew_s=3.0, margin_s=1.0, retry_s=0.5)
ORDER_S = 2.0


class World:
    def __init__(self):
        self.table = FakeTable()
        self.clock = ManualClock(100.0)

    def keeper(self, holder):
        return LeaseKeeper(self.table, self.clock, "placement", holder, LIMITS)

    def row(self):
        return decode_lease(self.table.row("leases", "placement").value)


@pytest.fixture
def world():
    return World()


class TestAcquire:
    def test_first_holder_gets_fencing_number_one(self, world):
        keeper = world.keeper("a")
        keeper.tick()
        assert keeper.may_order(1, ORDER_S)
        assert world.row().holder == "a"

    @pytest.mark.parametrize("fault", [WriteFault.REPLY_LOST, WriteFault.REQUEST_LOST])
    def test_lost_write_is_resolved_by_reading_the_row(self, world, fault):
        world.table.faults.append(fault)
        keeper = world.keeper("a")
        keeper.tick()
        assert keeper.may_order(1, ORDER_S)

    def test_second_waits_a_full_lease_from_its_first_read(self, world):
        world.keeper("a").tick()
        world.clock.advance(9.0)
        second = world.keeper("b")
        second.tick()
        world.clock.advance(9.5)
        second.tick()
        assert world.row().holder == "a"
        world.clock.advance(0.6)
        second.tick()
        second.tick()
        assert (world.row().holder, world.row().fence) == ("b", 2)

    def test_successor_waits_until_the_last_order_has_ended(self, world):
        world.keeper("a").tick()
        second = world.keeper("b")
        second.tick()
        world.clock.advance(10.0)
        second.tick()
        assert second.fence == 2
        assert not second.may_order(2, ORDER_S)
        world.clock.advance(ORDER_S)
        assert second.may_order(2, ORDER_S)

    def test_released_lease_is_acquired_immediately(self, world):
        first = world.keeper("a")
        first.tick()
        first.release()
        second = world.keeper("b")
        second.tick()
        assert second.may_order(2, ORDER_S)
        assert not first.may_order(1, ORDER_S)

    def test_restarted_process_is_another_holder(self, world):
        world.keeper("a/1").tick()
        again = world.keeper("a/2")
        again.tick()
        assert not again.may_order(again.fence, ORDER_S)


class TestHold:
    def test_last_order_ends_before_the_lease_less_its_margin(self, world):
        keeper = world.keeper("a")
        keeper.tick()
        world.clock.advance(6.9)
        assert keeper.may_order(1, ORDER_S)
        world.clock.advance(0.2)
        assert not keeper.may_order(1, ORDER_S)

    def test_lease_starts_before_its_write_is_sent(self, world):
        lease = Lease("a", LIMITS)
        lease.next(100.0)
        lease.on_read(0, None, 100.0)
        command = lease.next(100.0)
        lease.on_written(1, command.row, 105.0)
        assert lease.holds(108.9)
        assert not lease.holds(109.1)

    def test_delayed_renewal_starts_before_it_is_sent(self, world):
        keeper = world.keeper("a")
        keeper.tick()
        world.clock.advance(3.5)
        world.table.faults.extend([WriteFault.DELAYED, WriteFault.AWAY])
        keeper.tick()
        world.table.land()
        world.clock.advance(4.0)
        world.table.faults.append(WriteFault.AWAY)
        keeper.tick()
        assert world.row().beat == 2
        world.clock.advance(4.6)
        assert keeper.may_order(1, 0.0)
        world.clock.advance(0.5)
        assert not keeper.may_order(1, 0.0)

    def test_renews_before_expiry(self, world):
        keeper = world.keeper("a")
        for _ in range(20):
            world.clock.advance(keeper.tick())
            assert keeper.may_order(1, ORDER_S)
        assert world.row().fence == 1

    def test_expires_while_the_table_is_unavailable(self, world):
        keeper = world.keeper("a")
        keeper.tick()
        world.table.is_away = True
        for _ in range(30):
            world.clock.advance(0.5)
            keeper.tick()
        assert not keeper.may_order(1, 0.0)


class TestRow:
    def test_rejects_a_value_that_is_not_a_lease(self):
        with pytest.raises(ValueError, match="not a lease"):
            decode_lease({"holder": "a"})

    def test_waits_while_another_holder_has_the_lease(self):
        lease = Lease("b", LIMITS)
        lease.on_read(4, LeaseRow("a", 7, 10.0, 1), 50.0)
        assert isinstance(lease.next(50.0), LeaseWait)
