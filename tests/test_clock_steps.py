"""The time of day jumps by seconds, forward or backward, and back again.

Only starts are told apart by it: a host that starts again while its clock is back has
a lower number than before, and must count as live all the same. Deadlines, leases and
heartbeats run on the monotonic clock.
"""

import datetime

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from tests.test_membership import make_heartbeat
from tests.test_membership import make_host
from tests.test_membership import make_membership
from tests.test_membership import tick_until
from wagtailstair.clock import SystemClock
from wagtailstair.core.membership import HostState
from wagtailstair.core.membership import PeerLive
from wagtailstair.core.membership import PeerReplaced
from wagtailstair.gateway.loop import Loop

STEP_S = 8.0


class SteppedClock(SystemClock):
    """A system clock whose time of day is moved by ``step_s``."""

    __slots__ = ("step_s",)

    def __init__(self):
        self.step_s = 0.0

    def utcnow(self):
        return super().utcnow() + datetime.timedelta(seconds=self.step_s)


@pytest.fixture
def clock():
    return SteppedClock()


@pytest.fixture
def deployment(clock):
    deployment = Deployment()
    deployment.clock = clock
    deployment.loop.clock = clock
    deployment.store.put("op", "config", make_config())
    return deployment


class TestRequests:
    @pytest.mark.parametrize("step_s", [STEP_S, -STEP_S])
    def test_streams_and_the_lease_go_on(self, deployment, clock, step_s):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        for engine in engines:
            engine.pause_s = 0.1
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 3\n" in answered.data)
        clock.step_s = step_s
        deployment.run(lambda: b"id: 6\n" in answered.data)
        clock.step_s = 0.0
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.body == EVENTS
        assert host._placer._lease.may_send_order(0.5)

    def test_timers_are_not_moved(self, clock):
        loop = Loop(clock)
        called = []
        loop.call_later(0.05, lambda: called.append(loop.now))
        loop.call_later(0.1, loop.stop)
        clock.step_s = STEP_S
        started_at = loop.now
        loop.run()
        assert 0.05 <= called[0] - started_at < STEP_S


class TestStarts:
    def test_host_that_starts_with_its_clock_back_is_live_again(self):
        membership = make_membership()
        membership.receive_heartbeat(make_heartbeat(make_host("b", incarnation=9)), 0.0)
        back = make_host("b", incarnation=4)
        events, now, seq = [], 0.0, 0
        while now < 6.0 and not any(isinstance(e, PeerReplaced) for e in events):
            now += 0.5
            seq += 1
            events += tick_until(membership, now - 0.5, now)
            events += membership.receive_heartbeat(make_heartbeat(back, seq), now)
        assert any(isinstance(event, PeerReplaced) for event in events)
        events += membership.receive_heartbeat(make_heartbeat(back, seq + 1), now)
        assert membership.by_name["b"].state is HostState.LIVE
        assert any(isinstance(event, PeerLive) for event in events)
