import pytest

from tests.fakes import FakeTable
from tests.fakes import WriteFault
from wagtailstair.clock import ManualClock
from wagtailstair.core.leases import Lease
from wagtailstair.core.leases import LeaseLimits
from wagtailstair.core.leases import LeaseRow
from wagtailstair.core.leases import LeaseWait
from wagtailstair.core.leases import decode_lease
from wagtailstair.placement import LeaseManager

LIMITS = LeaseLimits(duration_s=10.0, renew_s=3.0, margin_s=1.0, retry_s=0.5)
ORDER_S = 2.0


class World:
    def __init__(self):
        self.table = FakeTable()
        self.clock = ManualClock(100.0)

    def lease_manager(self, holder):
        return LeaseManager(self.table, self.clock, "placement", holder, LIMITS)

    def row(self):
        return decode_lease(self.table.row("leases", "placement").value)


@pytest.fixture
def world():
    return World()


class TestAcquire:
    def test_first_holder_gets_number_one(self, world):
        lease_manager = world.lease_manager("a")
        lease_manager.tick()
        assert lease_manager.may_send_order(1, ORDER_S)
        assert world.row().holder == "a"

    @pytest.mark.parametrize("fault", [WriteFault.REPLY_LOST, WriteFault.REQUEST_LOST])
    def test_lost_reply_is_read_back(self, world, fault):
        world.table.faults.append(fault)
        lease_manager = world.lease_manager("a")
        lease_manager.tick()
        assert lease_manager.may_send_order(1, ORDER_S)

    def test_second_waits_a_full_lease_from_its_first_sight(self, world):
        world.lease_manager("a").tick()
        world.clock.advance(9.0)
        second = world.lease_manager("b")
        second.tick()
        world.clock.advance(9.5)
        second.tick()
        assert world.row().holder == "a"
        world.clock.advance(0.6)
        second.tick()
        second.tick()
        assert (world.row().holder, world.row().fence) == ("b", 2)

    def test_successor_lets_the_last_order_end_first(self, world):
        world.lease_manager("a").tick()
        second = world.lease_manager("b")
        second.tick()
        world.clock.advance(10.0)
        second.tick()
        assert second.fence == 2
        assert not second.may_send_order(2, ORDER_S)
        world.clock.advance(ORDER_S)
        assert second.may_send_order(2, ORDER_S)

    def test_released_lease_is_taken_at_once(self, world):
        first = world.lease_manager("a")
        first.tick()
        first.release()
        second = world.lease_manager("b")
        second.tick()
        assert second.may_send_order(2, ORDER_S)
        assert not first.may_send_order(1, ORDER_S)

    def test_restarted_process_is_another_holder(self, world):
        world.lease_manager("a/1").tick()
        again = world.lease_manager("a/2")
        again.tick()
        assert not again.may_send_order(again.fence, ORDER_S)


class TestHold:
    def test_ends_a_margin_and_an_order_before_the_lease(self, world):
        lease_manager = world.lease_manager("a")
        lease_manager.tick()
        world.clock.advance(6.9)
        assert lease_manager.may_send_order(1, ORDER_S)
        world.clock.advance(0.2)
        assert not lease_manager.may_send_order(1, ORDER_S)

    def test_counts_from_before_the_write_was_sent(self, world):
        lease = Lease("a", LIMITS)
        lease.next(100.0)
        lease.apply_read(0, None, 100.0)
        command = lease.next(100.0)
        lease.apply_write(1, command.row, 105.0)
        assert lease.holds(108.9)
        assert not lease.holds(109.1)

    def test_late_landing_renewal_counts_from_when_it_was_sent(self, world):
        lease_manager = world.lease_manager("a")
        lease_manager.tick()
        world.clock.advance(3.5)
        world.table.faults.extend([WriteFault.DELAYED, WriteFault.AWAY])
        lease_manager.tick()
        world.table.land()
        world.clock.advance(4.0)
        world.table.faults.append(WriteFault.AWAY)
        lease_manager.tick()
        assert world.row().beat == 2
        world.clock.advance(4.6)
        assert lease_manager.may_send_order(1, 0.0)
        world.clock.advance(0.5)
        assert not lease_manager.may_send_order(1, 0.0)

    def test_renews_before_it_ends(self, world):
        lease_manager = world.lease_manager("a")
        for _ in range(20):
            world.clock.advance(lease_manager.tick())
            assert lease_manager.may_send_order(1, ORDER_S)
        assert world.row().fence == 1

    def test_stops_while_the_table_is_away(self, world):
        lease_manager = world.lease_manager("a")
        lease_manager.tick()
        world.table.is_unavailable = True
        for _ in range(30):
            world.clock.advance(0.5)
            lease_manager.tick()
        assert not lease_manager.may_send_order(1, 0.0)


class TestRow:
    def test_refuses_what_is_not_a_lease(self):
        with pytest.raises(ValueError, match="not a lease"):
            decode_lease({"holder": "a"})

    def test_other_holder_is_waited_for(self):
        lease = Lease("b", LIMITS)
        lease.apply_read(4, LeaseRow("a", 7, 10.0, 1), 50.0)
        assert isinstance(lease.next(50.0), LeaseWait)
