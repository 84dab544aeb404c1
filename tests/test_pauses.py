"""A process that was paused, or a machine that was suspended, acts on old permissions.

The lease for placement is checked when a plan begins. A pause between the check and
the order lets it run out: another host may have taken over by then, and both send
orders to the same engines.
"""

import random
import time

import pytest

from tests.gateway_data import make_engine
from tests.gateway_data import make_model
from tests.virtual_loop import VirtualLoop
from wagtailstair.clock import SystemClock
from wagtailstair.core.directory import CallerLimits
from wagtailstair.core.directory import Directory
from wagtailstair.core.directory import Service
from wagtailstair.core.replicas import ReplicaSet
from wagtailstair.gateway import engine_report as engine_report_module
from wagtailstair.gateway import lease as lease_module
from wagtailstair.gateway import placer as placer_module
from wagtailstair.gateway.fetch import Answer
from wagtailstair.gateway.lease import LeaseManager
from wagtailstair.gateway.placer import ORDER_TIMEOUT_S
from wagtailstair.gateway.placer import TICK_S
from wagtailstair.gateway.placer import Placer
from wagtailstair.gateway.store_eras import StoreEras
from wagtailstair.gateway.upstream_pool import Upstream


class Lease:
    """A lease that is held until a time."""

    fence = 1

    def __init__(self, loop, held_until):
        self._loop = loop
        self._held_until = held_until

    def may_send_order(self, order_s):
        return self._loop.now + order_s < self._held_until


@pytest.fixture
def loop():
    return VirtualLoop()


@pytest.fixture
def calls():
    return []


@pytest.fixture
def placer(loop, calls, monkeypatch):
    model = make_model(load_s=14.0, loads_at_once=6)
    services = [Service("draft", model)]
    directory = Directory(1, [], services, {}, CallerLimits(), needs_keys=False)
    replicas = ReplicaSet(2.0)
    store = Upstream("127.0.0.1:1", "store")
    placer = Placer(
        loop,
        None,
        store,
        "entry-1",
        replicas,
        lambda: directory,
        lambda: True,
        random.Random(1),
        StoreEras(),
    )
    placer._lease = Lease(loop, held_until=100.0)

    def fetch(_loop, _pool, upstream, call, _timeout_s, on_answer, **_bounds):
        calls.append((upstream.identity[0], call, on_answer))

    monkeypatch.setattr(placer_module, "Fetch", fetch)
    monkeypatch.setattr(engine_report_module, "Fetch", fetch)
    return placer


def orders(calls):
    return [name for name, call, _ in calls if call.method == "POST"]


class TestPausedHolder:
    def test_pause_while_planning_sends_no_order_of_a_lapsed_lease(
        self, loop, placer, calls, monkeypatch
    ):
        for index in range(4):
            placer._replicas.put(make_engine(f"e{index}", accelerator="a100"))
        plan = placer_module.plan_layers

        def pause_and_plan(*args, **kwargs):
            loop.pause(10.0)
            return plan(*args, **kwargs)

        monkeypatch.setattr(placer_module, "plan_layers", pause_and_plan)
        placer._lease = Lease(loop, held_until=TICK_S + 1.0 + ORDER_TIMEOUT_S + 1.0)
        loop.call_later(TICK_S, placer._tick)
        loop.run_until(TICK_S + 1.0)
        assert orders(calls) == []

    def test_orders_are_sent_while_the_lease_is_held(self, loop, placer, calls):
        for index in range(4):
            placer._replicas.put(make_engine(f"e{index}", accelerator="a100"))
        loop.call_later(TICK_S, placer._tick)
        loop.run_until(2.0)
        assert sorted(orders(calls)) == ["e0", "e1", "e2", "e3"]


class TestOrdersOfTwoHolders:
    def test_an_engine_that_holds_layers_gets_only_orders_that_name_its_count(
        self, loop, placer, calls
    ):
        # Its last order may be of an earlier holder, and still be on its way.
        for name, layers in (("e0", (0, 40)), ("e1", (40, 60)), ("e2", (40, 60))):
            placer._replicas.put(make_engine(name, accelerator="a100", layers=layers))
        loop.call_later(TICK_S, placer._tick)
        loop.run_until(1.6)
        assert orders(calls) == []
        name, call, on_answer = calls[-1]
        assert (name, call.method) == ("e1", "GET")
        report = (
            b'{"born":1,"sequence":7,"busy":false,"running":0,"queue_depth":0,'
            b'"kv_used":0,"kv_total":1}'
        )
        on_answer(Answer(200, report))
        loop.run_until(2.2)
        (order,) = [call for _, call, _ in calls if call.method == "POST"]
        assert b'"expect_rev":7' in order.body


class TestSuspendedMachine:
    """A lease runs on while a machine is suspended, its monotonic clock doesn't."""

    def test_lease_runs_out_while_the_machine_is_suspended(self, monkeypatch):
        loop = VirtualLoop()
        calls = []
        monkeypatch.setattr(
            lease_module,
            "Fetch",
            lambda _loop, _pool, _store, _call, _s, on_answer: calls.append(on_answer),
        )
        store = Upstream("127.0.0.1:1", "store")
        lease = LeaseManager(
            loop,
            None,
            store,
            "placement",
            "entry-1",
            lambda: True,
            random.Random(1),
            StoreEras(),
        )
        lease.start()
        loop.run_until(1.0)
        calls.pop()(Answer(200, b'{"rows":[],"truncated":false,"ver":1,"now_ms":1}'))
        calls.pop()(Answer(200, b'{"rows":[],"truncated":false,"ver":2,"now_ms":1}'))
        assert lease.may_send_order(ORDER_TIMEOUT_S)
        loop.clock.suspend(5.0)
        assert not lease.may_send_order(ORDER_TIMEOUT_S)

    def test_suspended_time_is_that_which_the_monotonic_clock_misses(self, monkeypatch):
        seconds = {time.CLOCK_BOOTTIME: 500.0}
        monkeypatch.setattr(time, "clock_gettime", seconds.__getitem__)
        monkeypatch.setattr(time, "monotonic", lambda: 20.0)
        assert SystemClock().suspended_s() == 480.0
