"""The choice of the peers that are asked for a table, in virtual time."""

import dataclasses

import pytest

from tests.virtual_loop import Pool
from tests.virtual_loop import VirtualLoop
from wagtailstair.core.hosts import Host
from wagtailstair.gateway.relay_client import PEER_RETRY_S
from wagtailstair.gateway.relay_client import RELAY_TIMEOUT_S
from wagtailstair.gateway.relay_client import SECOND_RELAY_AFTER_S
from wagtailstair.gateway.relay_client import RelayClient

HEARTBEAT_S = 0.25


def make_host(number):
    address = f"127.0.0.{number}:9"
    return Host(f"entry-{number}", "a", address, address, 1)


class PeerPool:
    """One pool for each peer; only the peers in ``serving`` answer, at once."""

    def __init__(self, loop):
        self.loop = loop
        self.serving = set()
        self.calls = []
        self.connections = []

    def send(self, upstream, _data, observer, *, new_connection):
        self.calls.append((self.loop.now, upstream.address))
        connection = Pool()
        self.connections.append(connection)
        connection.observer = observer
        if upstream.address in self.serving:
            self.loop.call_later(0.01, lambda: self._answer(connection))
        return connection

    @staticmethod
    def _answer(connection):
        if not connection.is_cancelled:
            connection.observer.on_head(200, b"", [])
            connection.observer.on_complete()


@pytest.fixture
def loop():
    return VirtualLoop()


@pytest.fixture
def pool(loop):
    return PeerPool(loop)


@pytest.fixture
def ended():
    return []


@pytest.fixture
def client(loop, pool, ended):
    def on_answer(table, host, _answer):
        ended.append((table, host.name))

    return RelayClient(loop, pool, on_answer, lambda table, outcome, _s: None)


def announce(loop, client, hosts, length_s, table="op"):
    """Let each host announce a newer version, always in the same order."""
    end = loop.now + length_s
    while loop.now < end:
        for host in hosts:
            client.request(table, host, 1, 2, accepts_deflate=True)
        loop.run_until(loop.now + HEARTBEAT_S)


class TestPeers:
    # Guards against a host that asks the same silent peer at each of its heartbeats,
    # and never the one that could deliver.
    def test_second_peer_is_asked_while_the_first_is_silent(
        self, loop, client, pool, ended
    ):
        hosts = [make_host(1), make_host(2)]
        pool.serving = {hosts[1].address}
        announce(loop, client, hosts, RELAY_TIMEOUT_S)
        assert ended == [("op", "entry-2")]
        assert SECOND_RELAY_AFTER_S <= pool.calls[1][0] < RELAY_TIMEOUT_S
        assert pool.connections[0].is_cancelled

    def test_silent_peer_is_asked_again_after_a_while(self, loop, client, pool, ended):
        host = make_host(1)
        announce(loop, client, [host], RELAY_TIMEOUT_S + PEER_RETRY_S)
        pool.serving = {host.address}
        announce(loop, client, [host], HEARTBEAT_S)
        assert ended == [("op", "entry-1")]
        times = [at for at, _ in pool.calls]
        assert len(times) == 2
        assert times[1] - times[0] >= RELAY_TIMEOUT_S + PEER_RETRY_S

    def test_restarted_peer_is_asked_at_once(self, loop, client, pool, ended):
        host = make_host(1)
        announce(loop, client, [host], RELAY_TIMEOUT_S + HEARTBEAT_S)
        pool.serving = {host.address}
        restarted = dataclasses.replace(host, incarnation=2)
        announce(loop, client, [restarted], HEARTBEAT_S)
        assert ended == [("op", "entry-1")]

    def test_at_most_two_peers_are_asked_at_once(self, loop, client, pool):
        hosts = [make_host(number) for number in range(1, 9)]
        announce(loop, client, hosts, RELAY_TIMEOUT_S - HEARTBEAT_S)
        assert len(pool.calls) == 2

    def test_tables_are_requested_independently(self, loop, client, pool, ended):
        hosts = [make_host(1), make_host(2)]
        announce(loop, client, hosts[:1], HEARTBEAT_S)
        pool.serving = {hosts[1].address}
        announce(loop, client, hosts[1:], HEARTBEAT_S, "servers")
        assert ended == [("servers", "entry-2")]
        assert set(client.pending_by_table) == {"op"}
