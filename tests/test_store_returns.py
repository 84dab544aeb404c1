"""The store comes back from an older copy: its versions are given out again.

Guards against hosts that take a version of the store for a number that only grows:
they ignored all that was written after the return until the versions had caught up.
"""

import json

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from wagtailstair.core.relay_rows import decode_relayed
from wagtailstair.core.store import StoreVersion
from wagtailstair.gateway.fetch import Answer

LOST_VERSIONS = 430
"""Versions that the store gives out again."""

LAPSE_S = 0.3
REWRITE_S = 1.0


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config(10))
    for name in ("i-one", "i-two"):
        deployment.add_service(name)
    return deployment


@pytest.fixture
def hosts(deployment):
    """Return three hosts; the third one hears of changes from its peers only."""
    hosts = [deployment.add_host(f"entry-{number}") for number in range(1, 4)]
    deployment.run(lambda: all(host.is_ready() for host in hosts))
    deployment.run(lambda: all(len(h.peers.live_hosts()) == 2 for h in hosts))
    deployment.run(lambda: [h.table_sync.is_following for h in hosts][2] is False)
    for follower in hosts[2].table_sync._follower_by_table.values():
        follower.start = lambda: None
    return hosts


@pytest.fixture
def host(deployment):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    return host


def go_away(deployment):
    """Let the store lose its connections and refuse all calls."""
    deployment.store.mode = "busy"
    deployment.store.waiting = []
    for caller in list(deployment.store.callers):
        caller.close()
    deployment.run_for(0.1)


def come_back(deployment, copy, lists=None):
    """Let the store come back from a copy; its writers write again."""
    deployment.store.come_back(copy)
    deployment.store.mode = "ok"
    if lists is not None:
        deployment.store.put("op", "config", lists)
    for upstream in deployment.upstreams:
        upstream.write_row()


def lose_lists(deployment, lists):
    """Let the store come back from a copy that is older than the lists in force."""
    copy = deployment.store.copy()
    deployment.store.version += LOST_VERSIONS
    deployment.store.put("op", "config", lists)
    version, hosts = lists["version"], deployment.hosts
    deployment.run(lambda: all(host.lists_version() == version for host in hosts))
    go_away(deployment)
    come_back(deployment, copy)


def write_and_return(deployment, version=20):
    """Lose a version of the lists and many others, all written again."""
    store = deployment.store
    copy = store.copy()
    store.version += LOST_VERSIONS
    store.put("op", "config", make_config(version))
    for upstream in deployment.upstreams:
        upstream.write_row()
    hosts = deployment.hosts
    deployment.run(lambda: all(host.lists_version() == version for host in hosts))
    go_away(deployment)
    come_back(deployment, copy, make_config(version))


def make_moved_config(version):
    """Return lists in which a route has another service, and a key is gone."""
    config = make_config(version)
    config["routes"][1]["service"] = "desk2"
    config["tenants"] = config["tenants"][:1]
    return config


def status(deployment, host, key="key-one", attempt="r1"):
    request = make_request("/register/1", attempt, method="POST", key=key)
    return deployment.send_and_wait(host, request).status


class TestLists:
    # Guards against lists that are never taken as the version of their row is lower
    # than that of the row that was lost.
    def test_lists_written_after_a_return_are_taken_by_all_hosts(
        self, deployment, hosts
    ):
        write_and_return(deployment)
        deployment.run_for(0.5)
        deployment.store.put("op", "config", make_moved_config(30))
        deployment.run(lambda: all(host.lists_version() == 30 for host in hosts), 3.0)
        taken = make_config()["tenants"][-1]["api_keys"][0]
        for host in hosts:
            assert status(deployment, host, taken) == 401

    # Guards against hosts that go back to the lists of the copy.
    def test_lists_in_force_stay_until_the_operator_writes_newer_ones(
        self, deployment, hosts
    ):
        lose_lists(deployment, make_moved_config(20))
        deployment.run_for(0.8)
        assert [host.lists_version() for host in hosts] == [20] * 3

    # Guards against a host that starts beside others after a return and serves by the
    # lists of the copy, until the operator has written the newer ones again.
    def test_host_that_starts_after_a_return_gets_the_lists_in_force(
        self, deployment, hosts
    ):
        lose_lists(deployment, make_moved_config(20))
        deployment.run_for(0.3)
        late = deployment.add_host("entry-0")
        deployment.run(lambda: late.lists_version() == 20)
        deployment.store.put("op", "config", make_config(30))
        deployment.run(lambda: late.lists_version() == 30)

    def test_second_return_before_peers_have_heard_of_the_first(
        self, deployment, hosts
    ):
        copy = deployment.store.copy()
        write_and_return(deployment)
        deployment.store.version += LOST_VERSIONS
        come_back(deployment, copy, make_config(20))
        deployment.store.put("op", "config", make_config(30))
        deployment.run(lambda: all(host.lists_version() == 30 for host in hosts), 3.0)
        assert {host.store_eras.current for host in hosts} == {3}

    def test_second_return_from_a_copy_made_after_the_first(self, deployment, hosts):
        write_and_return(deployment)
        deployment.run_for(0.5)
        write_and_return(deployment, 30)
        deployment.store.put("op", "config", make_config(40))
        deployment.run(lambda: all(host.lists_version() == 40 for host in hosts), 3.0)

    def test_host_that_is_cut_from_all_over_the_return(self, deployment, hosts):
        cut = hosts[1]
        followers = cut.table_sync._follower_by_table.values()
        store = deployment.store
        handle, cut.peers._on_message = cut.peers._on_message, lambda *_: None
        for follower in followers:
            follower._store = follower._store._replace(address="127.0.0.1:9")
            follower.restart_feed("test")
        copy = store.copy()
        store.version += LOST_VERSIONS
        store.put("op", "config", make_config(20))
        go_away(deployment)
        come_back(deployment, copy, make_config(20))
        deployment.run_for(0.3)
        for follower in followers:
            follower._store = follower._store._replace(address=store.address)
        cut.peers._on_message = handle
        store.put("op", "config", make_config(30))
        deployment.run(lambda: cut.lists_version() == 30, 4.0)

    # Guards against a host that waits for the store's answer to a call of before the
    # return, as one that was frozen over it does.
    def test_call_held_over_the_return_ends_when_a_peer_knows_of_it(
        self, deployment, hosts
    ):
        store = deployment.store
        copy = store.copy()
        store.version += LOST_VERSIONS
        store.put("op", "config", make_config(20))
        deployment.run(lambda: all(host.lists_version() == 20 for host in hosts))
        deployment.run_for(0.3)
        # No connection is lost, and the calls that wait are not answered.
        store.waiting = []
        store.come_back(copy)
        store.put("op", "config", make_config(30))
        hosts[0].table_sync._lists.restart_feed("test")
        deployment.run(lambda: all(host.lists_version() == 30 for host in hosts), 3.0)
        assert {host.store_eras.current for host in hosts} == {2}

    def test_held_call_that_ends_with_an_answer_of_the_new_era(self, deployment, host):
        store = deployment.store
        copy = store.copy()
        store.put("op", "config", make_config(20))
        deployment.run(lambda: host.lists_version() == 20)
        deployment.run(lambda: len(store.waiting) == 2)
        store.come_back(copy)
        store.put("op", "config", make_config(20))
        # Has the number of the lost row, so that the held call ends with it.
        store.put("op", "config", make_config(30))
        deployment.run(lambda: host.lists_version() == 30)
        assert host.store_eras.current == 2


class TestUpstreams:
    # Guards against upstreams that are ignored as they start after the return.
    def test_upstream_that_starts_again_after_a_return_is_used(self, deployment, hosts):
        write_and_return(deployment)
        deployment.run_for(0.5)
        for old in deployment.upstreams:
            deployment.store.put("servers", old.name, None)
            old.stop()
        deployment.upstreams = []
        new = deployment.add_service("i-new")
        is_known = ["i-new"].__eq__
        deployment.run(
            lambda: all(is_known(sorted(h.replicas.by_name)) for h in hosts), 3.0
        )
        for number, host in enumerate(hosts):
            assert status(deployment, host, attempt=f"r{number}") == 200
        assert len(new.runs) == 3

    # Guards against requests to an upstream that a host has acknowledged to leave.
    def test_upstream_that_left_in_the_lost_time_stays_out(self, deployment, hosts):
        leaving, gone = deployment.upstreams
        copy = deployment.store.copy()
        deployment.store.version += LOST_VERSIONS
        leaving.write_row(state="draining")
        deployment.store.put("servers", gone.name, None)
        for host in hosts:
            deployment.run(lambda h=host: h.replicas.usable("desk") == ())
        deployment.upstreams = []
        go_away(deployment)
        come_back(deployment, copy)
        for host in hosts:
            deployment.run(lambda h=host: h.store_eras.current == 2)
            deployment.run(lambda h=host: h.table_sync._upstreams.copy.as_of.era == 2)
        until = deployment.loop.now + REWRITE_S / 2
        while deployment.loop.now < until:
            assert [host.replicas.usable("desk") for host in hosts] == [()] * 3
            deployment.run_for(0.02)
        # The one that is leaving writes its row again, the other one's expires.
        leaving.write_row()
        deployment.store.put("servers", gone.name, None)
        deployment.run_for(REWRITE_S)
        assert [host.replicas.usable("desk") for host in hosts] == [()] * 3

    def test_upstream_that_is_back_is_used_as_soon_as_its_row_is_written(
        self, deployment, host
    ):
        one, two = deployment.upstreams
        copy = deployment.store.copy()
        deployment.store.put("servers", one.name, None)
        deployment.store.put("servers", two.name, None)
        deployment.run(lambda: host.replicas.usable("desk") == ())
        deployment.upstreams = []
        go_away(deployment)
        come_back(deployment, copy)
        deployment.run(lambda: host.table_sync._upstreams.copy.as_of.era == 2)
        one.write_row(slots=7)
        deployment.run(lambda: len(host.replicas.usable("desk")) == 1, REWRITE_S / 2)
        # The row of the other one is still there when it would have expired.
        deployment.run(lambda: len(host.replicas.usable("desk")) == 2, 2 * REWRITE_S)

    def test_upstream_that_is_missing_in_the_copy_stays_usable_for_a_time(
        self, deployment, host
    ):
        copy = deployment.store.copy()
        late = deployment.add_service("i-late")
        lost = deployment.add_service("i-lost")
        deployment.run(lambda: len(host.replicas.usable("desk")) == 4)
        go_away(deployment)
        deployment.store.come_back(copy)
        deployment.store.mode = "ok"
        deployment.run(lambda: host.store_eras.current == 2)
        deployment.run_for(LAPSE_S / 3)
        assert len(host.replicas.usable("desk")) == 4
        late.write_row()
        deployment.run(lambda: "i-lost" not in host.replicas.by_name)
        deployment.run_for(2 * LAPSE_S)
        assert "i-late" in host.replicas.by_name
        assert lost.name not in host.replicas.by_name

    def test_host_that_just_started_after_a_return(self, deployment):
        copy = deployment.store.copy()
        deployment.store.version += LOST_VERSIONS
        deployment.store.come_back(copy)
        host = deployment.add_host()
        deployment.run(host.is_ready)
        assert status(deployment, host) == 200
        assert host.store_eras.current == 2


class TestCalls:
    # Guards against reads of the whole table without a pause.
    def test_each_delegate_reads_a_table_once(self, deployment, hosts):
        before = len(deployment.store.seen)
        write_and_return(deployment)
        deployment.run(lambda: all(h.store_eras.current == 2 for h in hosts))
        deployment.run_for(2.0)
        calls = deployment.store.seen[before:]
        targets = [r.target.decode() for r in calls if r.path == "/rows-get"]
        for table in ("op", "servers"):
            reads = [target for target in targets if f"table={table}&" in target]
            assert len(reads) == 2

    # Guards against a store that has lost its history for good, or whose answers don't
    # name their era.
    def test_history_that_is_always_gone_is_read_with_pauses(self, deployment, host):
        store = deployment.store
        store.feed = lambda pending, *_: store.reply(pending, 410, [])
        for caller in list(store.callers):
            caller.close()
        deployment.run_for(0.5)
        before = len(store.seen)
        deployment.run_for(2.0)
        calls = [r for r in store.seen[before:] if r.path.startswith("/rows-")]
        # Two tables, a read and a feed each in at least half of the longest pause.
        assert len(calls) <= 2 * 2 * (2.0 / 0.5 + 1)

    # Guards against hosts that later ones don't find, as their rows were lost.
    def test_hosts_write_their_rows_again(self, deployment, hosts):
        copy = deployment.store.copy()
        del copy[1]["hosts", "entry-3"]
        go_away(deployment)
        come_back(deployment, copy)
        rows = deployment.store.row_by_key
        deployment.run(lambda: ("hosts", "entry-3") in rows, 8.0)


class TestPeers:
    # Guards against a peer with an old copy that looks newer as its number is higher.
    def test_peer_of_the_old_era_is_not_asked_and_changes_nothing(
        self, deployment, hosts
    ):
        store = deployment.store
        old = hosts[2].table_sync
        copy = store.copy()
        store.version += LOST_VERSIONS
        for upstream in deployment.upstreams:
            upstream.write_row()
        version = store.version
        deployment.run(lambda: old.upstreams_version().number == version)
        relayed = old.encode_relay("/tables/servers?after=0")
        announced = old.upstreams_version()
        go_away(deployment)
        come_back(deployment, copy)
        new = hosts[0].table_sync
        deployment.run(lambda: new.upstreams_version().era == 2)
        deployment.run_for(0.3)
        held = new.upstreams_version()
        assert held.number < announced.number
        peer = hosts[2].peers.membership.host
        new.on_versions(peer, 0, announced)
        assert not new.relays.pending_by_table
        relay = decode_relayed("servers", relayed)
        assert new._merge(new._upstreams, relay) == []
        assert new.upstreams_version() == held

    # Guards against a host that hears only from peers of an earlier build, whose
    # versions have no era.
    def test_host_follows_the_store_beside_delegates_of_an_earlier_build(
        self, deployment, hosts
    ):
        host = hosts[2]
        for follower in host.table_sync._follower_by_table.values():
            del follower.start
        for delegate in hosts[:2]:
            events = delegate.peers._events
            number = events.table_sync.upstreams_version
            events.upstreams_version = lambda n=number: type(n())(0, n().number)
            # Bodies of an earlier build have no era.
            encode = delegate.table_sync.encode_relay
            delegate.table_sync.encode_relay = lambda target, e=encode: without_era(
                e(target)
            )
        deployment.upstreams[0].write_row(state="draining")
        deployment.run(lambda: host.replicas.by_name["i-one"].is_leaving, timeout_s=4.0)
        deployment.store.put("op", "config", make_config(11))
        deployment.run(lambda: host.lists_version() == 11)


def without_era(body):
    """Return the relayed rows as a host of an earlier build sends them."""
    table = json.loads(body)
    del table["era"]
    return json.dumps(table).encode()


class TestOddEras:
    @pytest.mark.parametrize("era", ["x", "-1", "", "0", "9" * 40, "1000001"])
    def test_odd_era_loses_nothing(self, deployment, host, era):
        deployment.store.era = era
        deployment.store.put("op", "config", make_config(20))
        deployment.run(lambda: host.lists_version() == 20)
        deployment.store.era = 1
        deployment.store.put("op", "config", make_config(21))
        deployment.run(lambda: host.lists_version() == 21)
        assert host.store_eras.returns == 0
        assert host.store_eras.odd > 0

    # Guards against a host that ignores the store as its first answer had an odd era.
    def test_odd_era_of_the_first_answer_is_given_up(self, deployment):
        store, reply = deployment.store, deployment.store.reply

        def reply_and_mend(*args):
            reply(*args)
            store.era = 1

        store.era = 1000001
        store.reply = reply_and_mend
        host = deployment.add_host()
        deployment.run(host.is_ready)
        assert host.store_eras.odd == 1
        deployment.store.put("op", "config", make_config(20))
        deployment.run(lambda: host.lists_version() == 20)
        assert host.store_eras.current == 1

    # Guards against one such host that makes all others ignore the store.
    def test_odd_era_of_a_peer_is_not_taken(self, deployment, hosts):
        sync = hosts[2].table_sync
        held = sync.upstreams_version()
        odd = StoreVersion(1000001, held.number)
        peer = hosts[0].peers.membership.host
        sync.on_versions(peer, 0, odd)
        assert not sync.relays.pending_by_table
        body = json.loads(sync.encode_relay("/tables/servers?after=0"))
        answer = Answer(200, json.dumps({**body, "era": odd.era}).encode())
        sync._apply_relay("servers", peer, answer)
        assert sync.upstreams_version() == held
        deployment.upstreams[0].write_row(state="draining")
        deployment.run(lambda: sync.replicas.by_name["i-one"].is_leaving)

    def test_answer_without_an_era_is_of_the_one_before(self, deployment, host):
        deployment.store.era = None
        deployment.store.put("op", "config", make_config(20))
        deployment.run(lambda: host.lists_version() == 20)
        assert host.store_eras.current == 1

    def test_answer_of_an_earlier_era_is_not_used(self, deployment, host):
        write_and_return(deployment)
        deployment.run(lambda: host.store_eras.current == 2)
        deployment.run_for(0.5)
        deployment.store.era = 1
        deployment.store.put("op", "config", make_config(30))
        deployment.run(lambda: host.store_eras.odd > 0)
        deployment.run_for(0.3)
        assert host.lists_version() == 20
        deployment.store.era = 2
        deployment.run(lambda: host.lists_version() == 30)
