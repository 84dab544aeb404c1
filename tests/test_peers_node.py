import dataclasses
import time

import pytest

from tests.test_peers_codec import STATE
from wagtailstair.clock import SystemClock
from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.membership import Host
from wagtailstair.core.membership import HostState
from wagtailstair.core.membership import Membership
from wagtailstair.core.pool import Pool
from wagtailstair.core.quota import Allowed
from wagtailstair.core.quota import QuotaLimits
from wagtailstair.peers.node import Node
from wagtailstair.peers.transport import UdpTransport

PATIENCE_S = 20.0
LIMITS = QuotaLimits(1000.0, 10.0, 4)


def wait_until(condition):
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


class Running:
    """A node over UDP on loopback."""

    def __init__(self, name, centre, seeds):
        clock = SystemClock()
        self.version = 0
        self.heard = []
        self.transport = UdpTransport(name, 1, "127.0.0.1", 0, clock, b"k" * 32)
        address = f"127.0.0.1:{self.transport.port}"
        self.host = Host(name, centre, address, address, 1)
        self.membership = Membership(
            self.host,
            heartbeat_s=0.1,
            dead_after_s=1.0,
            now=clock.monotonic(),
            seeds=seeds,
        )
        self.node = Node(
            self.membership,
            self.transport,
            lambda key: Pool(key.model, key.data_centre),
            clock,
            lambda: self.version,
            self.heard.append,
        )
        self.node.start()
        self.node.set_state(HostState.LIVE)


@pytest.fixture
def running():
    nodes = []
    for name, centre in (("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b")):
        seeds = [node.host.peer_address for node in nodes]
        nodes.append(Running(name, centre, seeds))
    listed = [node.host for node in nodes]
    for node in nodes:
        node.node.apply_host_list(listed)
    wait_until(lambda: all(len(node.membership.live()) == 4 for node in nodes))
    yield nodes
    for node in nodes:
        node.node.stop()
        assert node.node.failures == 0
        assert node.transport.traffic.failed == 0


def make_want(host, number):
    return RouteRequest(
        request=f"{host}-{number}",
        epoch=1,
        host=host,
        account="one",
        priority=Priority.STANDARD,
        weight=1.0,
        work=1.0,
        prompt_tokens=8,
        max_tokens=8,
        deadline=time.monotonic() + PATIENCE_S,
    )


class TestNode:
    def test_grants_come_from_one_dispatcher_to_each_host(self, running):
        state = dataclasses.replace(
            STATE,
            first=0,
            last=32,
            slots=100,
            leaving=False,
            as_of=time.monotonic(),
        )
        poller = next(
            n for n in running[:3] if n.node.dispatcher.is_poller_of(state.name)
        )
        poller.node.dispatcher.observe(state)
        futures = []
        for number in range(5):
            for node in running[:3]:
                want = make_want(node.host.name, number)
                futures.append(node.node.dispatcher.submit("draft", "a", want))
        answers = [future.result(PATIENCE_S) for future in futures]
        assert all(isinstance(answer, Grant) for answer in answers)
        grants = [
            pool.stats().open_grants
            for node in running
            for pool in node.node.dispatcher.pools.by_key.values()
        ]
        assert sorted(grants)[-1] == 15
        assert sum(grants) == 15

    def test_models_are_known_in_other_data_centres(self, running):
        state = dataclasses.replace(STATE, as_of=time.monotonic())
        running[0].node.dispatcher.observe(state)
        far = running[3].node.dispatcher
        wait_until(lambda: far.data_centres_of("draft") == ["a"])

    def test_account_is_charged_over_hosts(self, running):
        verdicts = []
        for number in range(12):
            dispatcher = running[number % 4].node.dispatcher
            verdicts.append(dispatcher.charge("one", f"r{number}", 1.0, LIMITS))
        allowed = [isinstance(v.result(PATIENCE_S), Allowed) for v in verdicts]
        assert sum(allowed) == 4

    def test_version_of_the_lists_is_announced(self, running):
        running[0].version = 7
        running[0].node.announce()
        wait_until(lambda: all(7 in node.heard for node in running[1:3]))
        wait_until(lambda: running[3].membership.lists_version() == 7)
        versions = running[3].node.peer_versions()
        assert (versions.held, versions.known) == (7, 7)
        assert versions.holders == ("a1",)
        ranks = [node.node.lists_rank() for node in running[:3]]
        assert sorted(ranks) == [0, 1, 2]

    def test_leaving_host_is_no_longer_live_for_others(self, running):
        running[0].node.set_state(HostState.LEAVING)
        wait_until(lambda: "a1" not in running[1].membership.live("a"))
