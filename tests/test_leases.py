import pytest

from tests.fakes import FakeTable
from tests.fakes import WriteFault
from wagtailstair.clock import ManualClock
from wagtailstair.core.leases import Lease
from wagtailstair.core.leases import LeaseLimits
from wagtailstair.core.leases import LeaseRow
from wagtailstair.core.leases import LeaseWait
from wagtailstair.core.leases import decode_lease
from wagtailstair.core.store import NO_VERSION
from wagtailstair.core.store import StoreVersion
from wagtailstair.placement import LeaseManager

LIMITS = LeaseLimits(duration_s=10.0, renew_s=3.0, margin_s=1.0, retry_s=0.5)
ORDER_S = 2.0


class Deployment:
    def __init__(self):
        self.table = FakeTable()
        self.clock = ManualClock(100.0)

    def lease_manager(self, holder):
        return LeaseManager(self.table, self.clock, "placement", holder, LIMITS)

    def row(self):
        return decode_lease(self.table.row("leases", "placement").value)


@pytest.fixture
def deployment():
    return Deployment()


class TestAcquire:
    def test_first_holder_gets_fencing_number_one(self, deployment):
        lease_manager = deployment.lease_manager("a")
        lease_manager.tick()
        assert lease_manager.may_send_order(1, ORDER_S)
        assert deployment.row().holder == "a"

    @pytest.mark.parametrize("fault", [WriteFault.REPLY_LOST, WriteFault.REQUEST_LOST])
    def test_lost_write_is_resolved_by_reading_the_row(self, deployment, fault):
        deployment.table.faults.append(fault)
        lease_manager = deployment.lease_manager("a")
        lease_manager.tick()
        assert lease_manager.may_send_order(1, ORDER_S)

    def test_second_waits_a_full_lease_from_its_first_read(self, deployment):
        deployment.lease_manager("a").tick()
        deployment.clock.advance(9.0)
        second = deployment.lease_manager("b")
        second.tick()
        deployment.clock.advance(9.5)
        second.tick()
        assert deployment.row().holder == "a"
        deployment.clock.advance(0.6)
        second.tick()
        second.tick()
        assert (deployment.row().holder, deployment.row().fence) == ("b", 2)

    def test_successor_waits_until_the_last_order_has_ended(self, deployment):
        deployment.lease_manager("a").tick()
        second = deployment.lease_manager("b")
        second.tick()
        deployment.clock.advance(10.0)
        second.tick()
        assert second.fence == 2
        assert not second.may_send_order(2, ORDER_S)
        deployment.clock.advance(ORDER_S)
        assert second.may_send_order(2, ORDER_S)

    def test_released_lease_is_acquired_immediately(self, deployment):
        first = deployment.lease_manager("a")
        first.tick()
        first.release()
        second = deployment.lease_manager("b")
        second.tick()
        assert second.may_send_order(2, ORDER_S)
        assert not first.may_send_order(1, ORDER_S)

    def test_restarted_process_is_another_holder(self, deployment):
        deployment.lease_manager("a/1").tick()
        again = deployment.lease_manager("a/2")
        again.tick()
        assert not again.may_send_order(again.fence, ORDER_S)


class TestHold:
    def test_last_order_ends_before_the_lease_less_its_margin(self, deployment):
        lease_manager = deployment.lease_manager("a")
        lease_manager.tick()
        deployment.clock.advance(6.9)
        assert lease_manager.may_send_order(1, ORDER_S)
        deployment.clock.advance(0.2)
        assert not lease_manager.may_send_order(1, ORDER_S)

    def test_lease_starts_before_its_write_is_sent(self, deployment):
        lease = Lease("a", LIMITS)
        lease.next(100.0)
        lease.apply_read(NO_VERSION, None, 100.0)
        command = lease.next(100.0)
        lease.apply_write(StoreVersion(number=1), command.row, 105.0)
        assert lease.holds(108.9)
        assert not lease.holds(109.1)

    def test_delayed_renewal_starts_before_it_is_sent(self, deployment):
        lease_manager = deployment.lease_manager("a")
        lease_manager.tick()
        deployment.clock.advance(3.5)
        deployment.table.faults.extend([WriteFault.DELAYED, WriteFault.AWAY])
        lease_manager.tick()
        deployment.table.land()
        deployment.clock.advance(4.0)
        deployment.table.faults.append(WriteFault.AWAY)
        lease_manager.tick()
        assert deployment.row().beat == 2
        deployment.clock.advance(4.6)
        assert lease_manager.may_send_order(1, 0.0)
        deployment.clock.advance(0.5)
        assert not lease_manager.may_send_order(1, 0.0)

    def test_renews_before_expiry(self, deployment):
        lease_manager = deployment.lease_manager("a")
        for _ in range(20):
            deployment.clock.advance(lease_manager.tick())
            assert lease_manager.may_send_order(1, ORDER_S)
        assert deployment.row().fence == 1

    def test_expires_while_the_table_is_unavailable(self, deployment):
        lease_manager = deployment.lease_manager("a")
        lease_manager.tick()
        deployment.table.is_unavailable = True
        for _ in range(30):
            deployment.clock.advance(0.5)
            lease_manager.tick()
        assert not lease_manager.may_send_order(1, 0.0)


class TestRow:
    def test_rejects_a_value_that_is_not_a_lease(self):
        with pytest.raises(ValueError, match="not a lease"):
            decode_lease({"holder": "a"})

    def test_waits_while_another_holder_has_the_lease(self):
        lease = Lease("b", LIMITS)
        lease.apply_read(StoreVersion(number=4), LeaseRow("a", 7, 10.0, 1), 50.0)
        assert isinstance(lease.next(50.0), LeaseWait)
