"""Lists that reach every host over slow links."""

import random
import string

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.slow_link import SlowLink
from tests.slow_link import SlowServer

ROUTES = 1440
NAME_LENGTH = 150
"""Length of a route's name, which is random so that it can hardly be compressed."""

SLOW_BYTES_PER_S = 100_000
"""A link over which the large lists take longer than any of the gateway's time-outs
for an answer to begin."""

TRICKLE_BYTES_PER_S = 2_000
"""A link that carries heads and small tables, but the large lists only in minutes."""


def random_name(rng, length):
    return "".join(rng.choices(string.ascii_lowercase + string.digits, k=length))


def make_large_config(version):
    """Return lists with many routes, one of them ``/added/``."""
    rng = random.Random(version)
    config = make_config(version)
    added = {**config["routes"][1], "name": "added", "prefix": "/added/"}
    config["routes"].append(added)
    for _ in range(ROUTES):
        name = random_name(rng, NAME_LENGTH)
        host = f"{random_name(rng, 5)}.example"
        config["routes"].append({**added, "name": name, "host": host})
    return config


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config())
    deployment.add_service("i-one")
    return deployment


def add_hosts(deployment, count, uplink=None, store_by_name=None, uplink_by_name=None):
    """Return hosts of which the first two follow the store."""
    hosts = []
    for number in range(1, count + 1):
        name = f"entry-{number}"
        store = (store_by_name or {}).get(name)
        own_uplink = (uplink_by_name or {}).get(name, uplink)
        hosts.append(deployment.add_host(name, store, uplink=own_uplink))
    deployment.run(lambda: all(host.is_ready() for host in hosts))
    others = count - 1
    deployment.run(lambda: all(len(h.peers.live_hosts()) == others for h in hosts))
    deployment.run(
        lambda: all(h.table_sync.is_following == (h in hosts[:2]) for h in hosts)
    )
    return hosts


class TestSlowLinks:
    # Guards against relays that are given up by their age and begin again, so that
    # a table that takes longer than the time-out never arrives.
    def test_relay_that_takes_longer_than_its_time_out_completes(self, deployment):
        uplink = SlowLink(deployment.loop, SLOW_BYTES_PER_S)
        hosts = add_hosts(deployment, 3, uplink)
        for follower in hosts[2].table_sync._follower_by_table.values():
            follower.start = lambda: None
        deployment.store.put("op", "config", make_large_config(3))
        deployment.run(lambda: all(host.lists_version() == 3 for host in hosts))

    # Guards against a delegate that cancels its own read of the store at each
    # heartbeat of a peer that has read it already.
    def test_delegate_does_not_cancel_an_answer_that_is_arriving(self, deployment):
        link = SlowLink(deployment.loop, SLOW_BYTES_PER_S)
        store = SlowServer(link, deployment.store.address)
        hosts = add_hosts(deployment, 2, None, {"entry-2": store.address})
        # The peer announces the version, but its relays do not arrive.
        hosts[0].table_sync.encode_relay = lambda _target: None
        deployment.store.put("op", "config", make_large_config(3))
        deployment.run(lambda: hosts[0].lists_version() == 3)
        deployment.run(lambda: hosts[1].lists_version() == 3)

    # Guards against a host that asks a slow peer again and again, in step with its
    # heartbeats, while another peer could deliver at once.
    def test_a_slow_peer_does_not_hold_up_the_lists(self, deployment):
        uplink = SlowLink(deployment.loop, TRICKLE_BYTES_PER_S)
        hosts = add_hosts(deployment, 3, None, {}, {"entry-1": uplink})
        for follower in hosts[2].table_sync._follower_by_table.values():
            follower.start = lambda: None
        slow = hosts[0].peers.membership.host
        deployment.store.put("op", "config", make_large_config(3))
        deployment.run(lambda: hosts[0].lists_version() == 3)
        hosts[2].table_sync.on_newer_lists(slow, 3)
        deployment.run(lambda: hosts[2].lists_version() == 3)

    # Guards against a delegate that waits for a slow store although a peer has the
    # lists.
    def test_delegate_takes_the_lists_from_a_peer_if_the_store_is_slow(
        self, deployment
    ):
        link = SlowLink(deployment.loop, SLOW_BYTES_PER_S)
        store = SlowServer(link, deployment.store.address)
        hosts = add_hosts(deployment, 2, None, {"entry-2": store.address})
        before = link.sent
        deployment.store.put("op", "config", make_large_config(3))
        deployment.run(lambda: hosts[1].lists_version() == 3)
        value, _ = deployment.store.row_by_key["op", "config"]
        assert link.sent - before < len(value) / 2


class TestStaleLists:
    # Guards against proper requests that are denied under lists that the host knows
    # to be old.
    def test_request_is_not_denied_while_newer_lists_are_announced(self, deployment):
        hosts = add_hosts(deployment, 3)
        for host in hosts[:2]:
            host.table_sync.encode_relay = lambda _target: None
        config = make_large_config(3)
        config["tenants"].append({"name": "new", "api_keys": ["key-new"]})
        deployment.store.put("op", "config", config)
        stale = hosts[2].table_sync
        deployment.run(lambda: stale.announced_lists_version() == 3)
        for path, key in (("/added/1", "key-one"), ("/register/1", "key-new")):
            request = make_request(path, "r1", method="POST", key=key)
            answer = deployment.send_and_wait(hosts[2], request)
            assert answer.status == 503
            assert b"Retry-After" in answer.data
        known = make_request("/register/1", "r2", method="POST")
        assert deployment.send_and_wait(hosts[2], known).status == 200

    def test_request_is_denied_under_the_newest_lists(self, deployment):
        hosts = add_hosts(deployment, 3)
        deployment.store.put("op", "config", make_large_config(3))
        deployment.run(lambda: all(host.lists_version() == 3 for host in hosts))
        request = make_request("/unknown/1", "r1", method="POST")
        for host in hosts:
            assert deployment.send_and_wait(host, request).status == 404
