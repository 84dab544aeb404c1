"""Tests of the gateway with callers, upstreams and the store on one event loop."""

import os
import signal
import subprocess
import sys

import pytest
from loguru import logger

from tests.gateway_data import make_config
from tests.gateway_deployment import SETTINGS
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from wagtailstair.core.pipelines import link_key
from wagtailstair.core.relay_rows import decode_relayed
from wagtailstair.core.request_trace import parse_line
from wagtailstair.core.store import StoreVersion
from wagtailstair.gateway import table_sync as table_sync_module

FEED_OVERDUE_S = table_sync_module.FEED_OVERDUE_S
EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 13))


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config())
    return deployment


@pytest.fixture
def desks(deployment):
    return [deployment.add_service("i-one"), deployment.add_service("i-two")]


@pytest.fixture
def engines(deployment):
    return [deployment.add_engine(f"i-e{n}") for n in range(4)]


@pytest.fixture
def host(deployment):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    return host


def wait_for_placement(deployment, engines):
    """Wait until every host has the layers of each engine."""

    def is_placed(host, engine):
        replica = host.replicas.by_name.get(engine.name)
        return replica is not None and replica.layers is not None

    deployment.run(
        lambda: all(is_placed(h, e) for h in deployment.hosts for e in engines)
    )


def runs(upstreams):
    return [attempt for upstream in upstreams for attempt in upstream.runs]


class TestLists:
    def test_not_ready_without_lists(self):
        deployment = Deployment()
        host = deployment.add_host()
        answered = deployment.send_and_wait(host, make_request("/lookup/1", "a1"))
        assert answered.status == 503
        assert not host.is_ready()

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [
            ("/nowhere/", "key-one", 404),
            ("/register/1", "key-nine", 401),
            ("/register/1", None, 401),
            ("/lookup/1", None, 200),
        ],
    )
    def test_status_by_route_and_key(self, deployment, desks, host, path, key, status):
        deployment.store.put("servers", "i-three", dict(desks[0].row, service="desk2"))
        deployment.run(lambda: "i-three" in host.replicas.by_name)
        assert (
            deployment.send_and_wait(host, make_request(path, "a1", key=key)).status
            == status
        )

    def test_new_lists_are_applied(self, deployment, desks, host):
        config = make_config(2)
        config["tenants"][0]["api_keys"] = ["key-two"]
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() == 2)
        assert (
            deployment.send_and_wait(host, make_request("/register/1", "a1")).status
            == 401
        )

    def test_older_and_unreadable_lists_are_ignored(self, deployment, host):
        deployment.store.put("op", "config", make_config(5))
        deployment.run(lambda: host.lists_version() == 5)
        deployment.store.put("op", "config", make_config(4))
        deployment.store.put("op", "config", {"version": "six"})
        deployment.store.put("op", "config", make_config(7))
        deployment.run(lambda: host.lists_version() == 7)


class TestCalls:
    def test_response_is_forwarded_unchanged(self, deployment, desks, host):
        request = make_request("/register/7?x=1", "a1", method="POST", body=b"fee")
        answered = deployment.send_and_wait(host, request)
        assert (answered.status, answered.body) == (200, b"body of a1")
        assert b"X-Response-Signature: sig\r\n" in answered.data
        assert answered.data.startswith(b"HTTP/1.1 200 Fine\r\n")

    def test_upstream_receives_cleaned_headers(self, deployment, desks, host):
        headers = "X-Tenant: forged\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: 1"
        request = make_request(
            "/register/7?x=1", "a1", method="POST", body=b"fee", headers=headers
        )
        deployment.send_and_wait(host, request)
        (seen,) = [r for desk in desks for r in desk.seen]
        assert (seen.target, bytes(seen.body)) == (b"/register/7?x=1", b"fee")
        names = [name.lower() for name, _ in seen.headers]
        assert b"authorization" not in names
        assert b"x-hop" not in names
        assert names.count(b"x-tenant") == 1
        assert seen.header(b"x-tenant") == b"maker"
        assert seen.header(b"x-other") == b"kept"
        assert seen.header(b"x-target-replica") in (b"i-one", b"i-two")
        assert 0 < int(seen.header(b"x-deadline-ms")) <= 1200

    def test_refused_call_is_sent_to_another_upstream(self, deployment, desks, host):
        for desk in desks:
            desk.script = ["refuse"]
        desks[1].script = []
        for number in range(4):
            attempt = f"a{number}"
            request = make_request("/register/7", attempt, method="POST")
            assert deployment.send_and_wait(host, request).status == 200
        assert sorted(runs(desks)) == ["a0", "a1", "a2", "a3"]

    def test_call_refused_by_all_upstreams_is_refused(self, deployment, desks, host):
        for desk in desks:
            desk.script = ["refuse"] * 9
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 503
        assert b"Retry-After: " in answered.data
        assert runs(desks) == []

    def test_lost_non_idempotent_call_is_not_retried(self, deployment, desks, host):
        for desk in desks:
            desk.script = ["lose"]
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 502
        assert runs(desks) == ["a1"]

    @pytest.mark.parametrize("fault", ["lose", "error", "unsigned"])
    def test_idempotent_call_is_retried(self, deployment, desks, host, fault):
        config = make_config(2)
        config["routes"][2].update(service="desk", split=None)
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() == 2)
        for desk in desks:
            desk.script = [fault]
        first = deployment.send_and_wait(host, make_request("/lookup/7", "a1"))
        # Both upstreams fail once, and the route allows two attempts.
        assert first.status == (500 if fault == "error" else 502)
        assert runs(desks) == ["a1", "a1"]
        assert (
            deployment.send_and_wait(host, make_request("/lookup/7", "a2")).status
            == 200
        )

    @pytest.mark.parametrize("is_draining", [False, True])
    def test_slow_answer_of_the_only_upstream_is_delivered(
        self, deployment, desks, host, is_draining
    ):
        """Guards against giving up an upstream although no other one is left.

        The answer comes after the delay of a resend and within the route's timeout.
        """
        config = make_config(2)
        config["routes"][2].update(service="desk", split=None)
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() == 2)
        desks[1].write_row(state="draining")
        deployment.run(lambda: host.replicas.by_name["i-two"].is_leaving)
        answer_now = desks[0].answer

        def answer_late(pending):
            deployment.loop.call_later(0.8, lambda: answer_now(pending))

        desks[0].answer = answer_late
        answered = deployment.send(host, make_request("/lookup/7", "a1"))
        if is_draining:
            host.drain()
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.status == 200
        assert runs(desks) == ["a1"]

    def test_unsigned_success_is_a_failure(self, deployment, desks, host):
        for desk in desks:
            desk.script = ["unsigned"]
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 502

    def test_refusal_without_the_not_run_header_may_have_run(
        self, deployment, desks, host
    ):
        for desk in desks:
            desk.script = ["unflagged"]
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 502
        assert runs(desks) == ["a1"]

    def test_response_to_another_request_is_dropped(self, deployment, desks, host):
        for desk in desks:
            desk.script = ["foreign"]
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 504
        assert b"other" not in answered.data

    def test_call_without_response_ends_at_the_route_timeout(
        self, deployment, desks, host
    ):
        for desk in desks:
            desk.script = ["silent"]
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 504
        assert runs(desks) == ["a1"]

    def test_draining_upstream_gets_no_requests(self, deployment, desks, host):
        desks[0].write_row(state="draining")
        deployment.run(lambda: host.replicas.by_name["i-one"].is_leaving)
        for number in range(5):
            request = make_request("/register/7", f"a{number}", method="POST")
            assert deployment.send_and_wait(host, request).status == 200
        assert desks[0].runs == []

    def test_unreadable_row_is_ignored(self, deployment, desks, host):
        deployment.store.put("servers", "i-bad", {"service": "desk", "address": 7})
        deployment.store.put("servers", "i-odd", dict(desks[0].row, state="dancing"))
        desks[1].write_row(sequence=9)
        deployment.run(lambda: len(host.replicas.by_name) == 2)
        request = make_request("/register/7", "a1", method="POST")
        assert deployment.send_and_wait(host, request).status == 200

    def test_caller_disconnect_cancels_the_call(self, deployment, desks, host):
        for desk in desks:
            desk.script = ["silent"]
        answered = deployment.send(
            host, make_request("/register/7", "a1", method="POST")
        )
        deployment.run(lambda: runs(desks) == ["a1"])
        answered.connection.close()
        deployment.run(lambda: not any(desk.callers for desk in desks))


class TestConnections:
    def test_connection_is_kept_alive(self, deployment, desks, host):
        answered = deployment.send(
            host, make_request("/register/7", "a1", method="POST")
        )
        deployment.run(lambda: b"body of a1" in answered.data)
        again = make_request("/register/7", "a2", method="POST")
        answered.connection.write(again)
        deployment.run(lambda: b"body of a2" in answered.data)
        assert not answered.is_closed

    def test_pipelined_requests_are_answered_in_order(self, deployment, desks, host):
        data = b"".join(
            make_request("/register/7", f"a{n}", method="POST") for n in range(5)
        )
        answered = deployment.send(host, data)
        deployment.run(lambda: answered.data.count(b"body of") == 5)
        places = [answered.data.index(b"body of a%d" % n) for n in range(5)]
        assert places == sorted(places)

    def test_smuggled_request_is_rejected(self, deployment, desks, host):
        data = (
            b"POST /register/7 HTTP/1.1\r\nHost: desk.example\r\n"
            b"Authorization: Token key-one\r\nX-Attempt-Id: a1\r\n"
            b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + make_request("/register/8", "smuggled", method="POST")
        )
        answered = deployment.send(host, data)
        deployment.run(lambda: answered.is_closed)
        assert answered.status == 400
        assert runs(desks) == []

    def test_malformed_request_does_not_affect_other_connections(
        self, deployment, desks, host
    ):
        bad = deployment.send(host, b"NONSENSE\r\n\r\n")
        good = deployment.send(host, make_request("/register/7", "a1", method="POST"))
        deployment.run(lambda: bad.is_closed and good.is_complete)
        assert (bad.status, good.status) == (400, 200)


class TestStreams:
    def test_complete_stream(self, deployment, engines, host):
        wait_for_placement(deployment, engines)
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert (answered.status, answered.body) == (200, EVENTS)
        (seen,) = [r for e in engines for r in e.seen if r.path.startswith("/draft")]
        path = seen.header(b"x-hop-count").decode().split(",")
        layer = 0
        for part in path:
            address, _, held = part.partition("=")
            first, _, last = held.partition("-")
            assert int(first) == layer
            layer = int(last)
            assert address in [engine.address for engine in engines]
        assert layer == 80

    def test_end_of_a_stream_is_logged_with_its_events_and_path(
        self, deployment, engines, host
    ):
        wait_for_placement(deployment, engines)
        lines = []
        handler = logger.add(lines.append, format="{message}")
        deployment.send_and_wait(host, make_stream("a1"))
        logger.remove(handler)
        (ended,) = [line for line in lines if "event=request_ended" in line]
        entry = parse_line(f"time=2026-01-01T00:00:00.000+0000 host=a {ended}")
        assert entry is not None
        values = entry.value_by_key
        assert float(values["first"]) <= float(values["took"])
        counts = (values["events"], values["moves"], values["crossings"])
        assert counts == ("12", "0", "0")

    def test_each_engine_gets_one_placement_order(self, deployment, engines, host):
        wait_for_placement(deployment, engines)
        deployment.send_and_wait(host, make_stream("a1"))
        assert [len(engine.orders) for engine in engines] == [1, 1, 1, 1]

    def test_aborted_stream_resumes_on_another_pipeline(
        self, deployment, engines, host
    ):
        wait_for_placement(deployment, engines)
        spare = [deployment.add_engine(f"i-s{n}") for n in range(4)]
        wait_for_placement(deployment, spare)
        all_engines = engines + spare
        for engine in all_engines:
            engine.cut_after = 5
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: len(runs(all_engines)) == 1)
        for engine in all_engines:
            if not engine.runs:
                engine.cut_after = None
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.body == EVENTS
        assert answered.data.count(b"X-Response-Signature") == 1
        last_ids = [last_id for engine in all_engines for last_id in engine.last_ids]
        assert sorted(last_ids) == [b"", b"5"]

    def test_stalled_stream_resumes_on_another_pipeline(
        self, deployment, engines, host
    ):
        wait_for_placement(deployment, engines)
        spare = [deployment.add_engine(f"i-s{n}") for n in range(4)]
        wait_for_placement(deployment, spare)
        all_engines = engines + spare
        for engine in all_engines:
            engine.freeze_after = 5
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: len(runs(all_engines)) == 1)
        for engine in all_engines:
            if not engine.runs:
                engine.freeze_after = None
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.body == EVENTS

    # Guards against a successor that begins at the stalled engine again: no report
    # named it, and every other path used one engine of the first path as well.
    def test_successor_begins_at_another_engine(self, deployment):
        config = make_config()
        # Two engines hold the whole model.
        config["services"][2]["engine"]["layer_mb"] = 800.0
        deployment.store.put("op", "config", config)
        layers_by_name = {
            "i-a": (0, 40),
            "i-b": (38, 80),
            "i-c1": (0, 13),
            "i-c2": (13, 26),
            "i-c3": (26, 38),
            "i-d1": (40, 60),
            "i-d2": (60, 80),
        }
        engine_by_name = {}
        for name, (first, last) in layers_by_name.items():
            engine = engine_by_name[name] = deployment.add_engine(name)
            engine.write_row(layers={"from": first, "target": last, "version": 1})
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, list(engine_by_name.values()))
        engine_by_name["i-a"].freeze_after = 5
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: bool(host.streams()) and len(host.streams()[0].path) > 1)
        (stream,) = host.streams()
        assert [hop.replica.name for hop in stream.path] == ["i-a", "i-b"]
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.body == EVENTS
        last_ids_by_name = {n: e.last_ids for n, e in engine_by_name.items()}
        assert last_ids_by_name["i-a"] == [b""]
        assert last_ids_by_name["i-c1"] == [b"5"]

    def test_stream_moves_off_a_draining_engine(self, deployment, engines, host):
        wait_for_placement(deployment, engines)
        spare = [deployment.add_engine(f"i-s{n}") for n in range(4)]
        wait_for_placement(deployment, spare)
        all_engines = engines + spare
        for engine in all_engines:
            engine.events, engine.pause_s = 60, 0.02
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 5\n" in answered.data)
        (first,) = [engine for engine in all_engines if engine.runs]
        first.write_row(state="draining")
        deployment.run(lambda: len(runs(all_engines)) == 2)
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        ids = [
            int(line[4:]) for line in answered.body.split(b"\n") if line[:3] == b"id:"
        ]
        assert ids == list(range(1, 61))

    def test_stream_without_engines_is_refused_at_once(self, deployment, host):
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert answered.status == 503

    def test_caller_disconnect_cancels_the_stream(self, deployment, engines, host):
        wait_for_placement(deployment, engines)
        for engine in engines:
            engine.events = 10_000
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 3\n" in answered.data)
        answered.connection.close()
        pipelines = host.pipelines("engines")
        deployment.run(lambda: not host.streams())
        assert all(use.running == 0 for use in pipelines.use_by_identity.values())
        deployment.run(lambda: not any(len(e.callers) > 1 for e in engines))


class TestStore:
    @pytest.mark.parametrize("mode", ["busy", "silent"])
    def test_calls_are_served_while_the_store_is_unavailable(
        self, deployment, desks, host, mode
    ):
        deployment.store.mode = mode
        for caller in list(deployment.store.callers):
            caller.close()
        request = make_request("/register/7", "a1", method="POST")
        assert deployment.send_and_wait(host, request).status == 200

    def test_store_is_followed_again_after_an_outage(self, deployment, desks, host):
        deployment.store.mode = "busy"
        for caller in list(deployment.store.callers):
            caller.close()
        deployment.run(lambda: host.table_sync.is_store_unreachable)
        deployment.store.put("op", "config", make_config(9))
        deployment.store.mode = "ok"
        deployment.run(lambda: host.lists_version() == 9)

    def test_full_read_removes_missing_rows(self, deployment, desks, host):
        # The row was deleted while the history was lost, so the feed has no change.
        del deployment.store.row_by_key["servers", "i-one"]
        deployment.store.version += 1
        follower = host.table_sync._follower_by_table["servers"]
        follower._cancel()
        follower._read_all()
        deployment.run(lambda: "i-one" not in host.replicas.by_name)
        assert "i-two" in host.replicas.by_name

    def test_lists_are_read_from_a_peer_while_the_store_is_unavailable(
        self, deployment, desks, host
    ):
        other = deployment.add_host("entry-2")
        deployment.run(lambda: other.is_ready() and bool(other.peers.live_hosts()))
        deployment.run(lambda: bool(host.peers.live_hosts()))
        # Only this host loses its connections to the store.
        host.table_sync._lists.start = lambda: None
        for follower in host.table_sync._follower_by_table.values():
            follower._store = follower._store._replace(address="127.0.0.1:9")
        for caller in list(deployment.store.callers):
            caller.close()
        deployment.store.put("op", "config", make_config(3))
        desks[0].write_row(state="draining")
        deployment.run(lambda: host.lists_version() == 3)
        deployment.run(lambda: host.replicas.by_name["i-one"].is_leaving)


class TestDelegates:
    """Two hosts of a data centre follow the store; the others read from these."""

    @pytest.fixture
    def hosts(self, deployment, desks):
        hosts = [deployment.add_host(f"entry-{number}") for number in range(1, 5)]
        deployment.run(lambda: all(host.is_ready() for host in hosts))
        deployment.run(lambda: all(len(h.peers.live_hosts()) == 3 for h in hosts))
        deployment.run(lambda: following(hosts) == ["entry-1", "entry-2"])
        return hosts

    def test_changes_reach_all_hosts(self, deployment, desks, hosts):
        for host in hosts[2:]:
            # These hosts get no changes from the store itself.
            for follower in host.table_sync._follower_by_table.values():
                follower.start = lambda: None
        deployment.store.put("op", "config", make_config(3))
        desks[0].write_row(state="draining")
        for host in hosts:
            deployment.run(lambda host=host: host.lists_version() == 3)
            deployment.run(lambda host=host: host.replicas.by_name["i-one"].is_leaving)
        deployment.store.put("servers", "i-one", None)
        for host in hosts:
            deployment.run(lambda host=host: "i-one" not in host.replicas.by_name)

    def test_other_hosts_do_not_call_the_store(self, deployment, desks, hosts):
        calls = len(deployment.store.seen)
        for version in range(3, 6):
            deployment.store.put("op", "config", make_config(version))
            deployment.run(lambda v=version: all(h.lists_version() == v for h in hosts))
        # Only the two delegates follow the lists, with one feed each per version.
        feeds = [r for r in deployment.store.seen[calls:] if r.path == "/rows-feed"]
        assert len(feeds) <= 2 * 3

    def test_late_host_reads_from_peers(self, deployment, desks, hosts):
        calls = len(deployment.store.seen)
        late = deployment.add_host("entry-9")
        deployment.run(late.is_ready)
        assert not late.table_sync.is_following
        tables = [
            r.target for r in deployment.store.seen[calls:] if r.path == "/rows-get"
        ]
        assert not any(b"table=servers" in target for target in tables)

    def test_delegates_without_the_store_are_replaced(self, deployment, desks, hosts):
        for host in hosts[:2]:
            for follower in host.table_sync._follower_by_table.values():
                follower._store = follower._store._replace(address="127.0.0.1:9")
                follower.restart_feed("test")
        deployment.run(lambda: {"entry-3", "entry-4"} <= set(following(hosts)))
        deployment.store.put("op", "config", make_config(3))
        deployment.run(lambda: all(host.lists_version() == 3 for host in hosts))

    def test_silent_connection_to_the_store_is_detected(self, deployment, desks, hosts):
        # The store drops its pending feeds and keeps the connections open; only the
        # second delegate then sends new ones.
        for held, _, _ in deployment.store.waiting:
            held.is_caller_gone = True
        deployment.store.waiting = []
        for follower in hosts[1].table_sync._follower_by_table.values():
            follower.restart_feed("test")
        deployment.run(lambda: not hosts[1].table_sync.is_store_unreachable)
        deployment.store.put("op", "config", make_config(3))
        deployment.run(lambda: all(host.lists_version() == 3 for host in hosts))

    def test_newer_peer_does_not_mark_the_store_unavailable(self, deployment, hosts):
        host = hosts[0]
        follower = host.table_sync._follower_by_table["servers"]
        follower.restart_feed("test")
        assert not host.table_sync.is_store_unreachable
        # A deleted row is removed at once, as no call to the store has failed.
        deployment.store.put("servers", "i-two", None)
        version = deployment.store.version
        deployment.run(lambda: follower.copy.version.number == version)
        assert "i-two" not in host.replicas.by_name

    def test_host_without_the_store_relays_no_failure_time(self, deployment, hosts):
        table_sync = hosts[0].table_sync
        follower = table_sync._follower_by_table["servers"]
        follower.failed_at = deployment.loop.now
        decoded = decode_relayed(
            "servers", table_sync.encode_relay("/tables/servers?after=0")
        )
        assert decoded.trouble_s is not None
        follower.is_store_unreachable = True
        decoded = decode_relayed(
            "servers", table_sync.encode_relay("/tables/servers?after=0")
        )
        assert decoded.trouble_s is None
        assert decoded.is_all

    def test_peers_are_asked_only_for_overdue_changes(self, deployment, desks, hosts):
        host, peer = hosts[0], hosts[1].peers.membership.host
        table_sync = host.table_sync
        follower = table_sync._follower_by_table["servers"]
        for _ in range(3):
            # A peer announces a change shortly before the store's feed delivers it.
            table_sync.on_newer_upstreams(peer, newer_version(deployment.store))
            assert not table_sync.relays.pending_by_table
            desks[0].write_row(slots=desks[0].row["slots"] + 1)
            version = deployment.store.version
            deployment.run(lambda v=version: follower.copy.version.number == v)
            since = deployment.loop.now
            deployment.run(lambda s=since: deployment.loop.now - s > FEED_OVERDUE_S)
        # From here on no change arrives, so the second announcement finds it overdue.
        table_sync.on_newer_upstreams(peer, newer_version(deployment.store))
        since = deployment.loop.now
        deployment.run(lambda: deployment.loop.now - since > FEED_OVERDUE_S)
        table_sync.on_newer_upstreams(peer, newer_version(deployment.store))
        assert set(table_sync.relays.pending_by_table) == {"servers"}


def newer_version(store):
    return StoreVersion(store.era, store.version + 1)


def following(hosts):
    return [h.settings.host.name for h in hosts if h.table_sync.is_following]


class TestShutdown:
    def test_drain_finishes_active_requests(self, deployment, engines, host):
        wait_for_placement(deployment, engines)
        for engine in engines:
            engine.events, engine.pause_s = 60, 0.02
        idle = deployment.send(host, make_request("/nowhere/", "a0"))
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 3\n" in answered.data and idle.is_complete)
        host.drain()
        assert not host.is_ready()
        deployment.run(lambda: idle.is_closed)
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.is_complete
        assert b"id: 60\n" in answered.data

    def test_late_request_is_refused(self, deployment, desks, host):
        host.drain()
        host._stop_accepting()
        answered = deployment.send_and_wait(
            host, make_request("/register/7", "a1", method="POST")
        )
        assert answered.status == 503
        assert b"Connection: close" in answered.data
        assert runs(desks) == []


class TestLinks:
    """Prompts that have yet to pass a link are in the load that hosts report."""

    LINK = link_key(("a", "b"))

    @pytest.fixture
    def halves(self, deployment, host):
        """The engines of two data centres, each of which lacks half of the layers."""
        engines = []
        for first, centre in ((0, "a"), (20, "a"), (40, "b"), (60, "b")):
            engine = deployment.add_engine(f"i-{centre}{first}", centre=centre)
            layers = {"from": first, "target": first + 20, "version": 1}
            engine.write_row(layers=layers)
            engines.append(engine)
        wait_for_placement(deployment, engines)
        return engines

    def test_prompt_counts_until_the_first_event(self, deployment, host, halves):
        for engine in halves:
            engine.pause_s, engine.events = 0.02, 100
            engine.script.append("silent")
        pipelines = host.pipelines("engines")
        deployment.send(host, make_stream("a1"))
        deployment.run(lambda: len(runs(halves)) == 1)
        assert pipelines.own_loads()[self.LINK].token_layers == 300.0
        answered = deployment.send(host, make_stream("a2"))
        for engine in halves:
            engine.script.clear()
        deployment.run(lambda: b"id: 1\n" in answered.data)
        assert pipelines.own_loads()[self.LINK].running == 1

    def test_prompt_of_a_caller_that_is_gone_no_longer_counts(
        self, deployment, host, halves
    ):
        for engine in halves:
            engine.script.append("silent")
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: len(runs(halves)) == 1)
        pipelines = host.pipelines("engines")
        assert self.LINK in pipelines.own_loads()
        answered.connection.close()
        deployment.run(lambda: not host.streams())
        assert self.LINK not in pipelines.own_loads()

    # Streams that all moved over one link at once made each other wait for longer
    # than their callers.
    def test_stream_is_sent_again_where_a_move_would_take_a_link(
        self, deployment, host, halves
    ):
        engines = [*halves, *self.add(deployment, "c", (0, 20, 40, 60))]
        engines += self.add(deployment, "a", (40, 60))
        for engine in engines:
            engine.pause_s, engine.events = 0.02, 100
        wait_for_placement(deployment, engines)
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 3\n" in answered.data)
        (stream,) = host.streams()
        assert [h.replica.data_centre for h in stream.path] == ["a", "a", "a", "a"]
        engines[-2].write_row(state="draining")
        deployment.run(lambda: len(runs(engines)) == 2)
        assert all(order["op"] != "repath" for e in engines for order in e.orders)
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        ids = [
            int(line[4:]) for line in answered.body.split(b"\n") if line[:3] == b"id:"
        ]
        assert ids == list(range(1, 101))

    def add(self, deployment, centre, firsts):
        engines = []
        for first in firsts:
            engine = deployment.add_engine(f"i-{centre}{first}", centre=centre)
            layers = {"from": first, "target": first + 20, "version": 1}
            engine.write_row(layers=layers)
            engines.append(engine)
        return engines


class TestPlacementChanges:
    def test_streams_move_off_an_engine_that_drops_its_layers(self, deployment):
        # Each half of the layers is on three engines, whatever the timing: where a
        # path leaves its first engine early, a successor is sent and no order.
        all_engines = {}
        for first, last in ((0, 40), (40, 80)):
            for number in range(3):
                engine = deployment.add_engine(f"i-{first}-{number}")
                layers = {"from": first, "target": last, "version": 1}
                engine.write_row(layers=layers)
                engine.events, engine.pause_s = 100, 0.02
                all_engines[engine.name] = engine
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, list(all_engines.values()))
        deployment.send(host, make_stream("a1"))
        deployment.run(lambda: bool(host.streams()) and len(host.streams()[0].path) > 1)
        (stream,) = host.streams()
        moved = all_engines[stream.path[1].replica.name]
        moved.write_row(layers=None)
        deployment.run(lambda: not stream.uses_engine((moved.name, 1000)))
        orders = [
            o for e in all_engines.values() for o in e.orders if o["op"] == "repath"
        ]
        assert [order["id"] for order in orders] == ["a1"]
        assert stream.path[-1].last == 80

    # One lost engine once moved a stream to other engines in almost all layers, which
    # read its tokens again and stalled the streams that they already ran.
    def test_stream_that_leaves_an_engine_stays_on_its_other_engines(
        self, deployment, host
    ):
        engine_by_name = self.add_copies(deployment, ("x", "y"))
        stream = self.begin(deployment, host)
        before = [hop.replica.name for hop in stream.path]
        engine_by_name[before[2]].write_row(state="draining")
        deployment.run(lambda: not stream.uses_engine((before[2], 1000)))
        other = "i-y40" if before[2] == "i-x40" else "i-x40"
        after = [hop.replica.name for hop in stream.path]
        assert after == [before[0], before[1], other, before[3]]

    # A new path was once ordered only a single time: where its engine was lost too,
    # the stream waited for the engine that it was to leave.
    def test_refused_path_is_followed_by_another(self, deployment, host):
        engine_by_name = self.add_copies(deployment, ("x", "y", "z"))
        stream = self.begin(deployment, host)
        before = [hop.replica.name for hop in stream.path]
        ordered = engine_by_name[before[0]]
        others = {"i-x40", "i-y40", "i-z40"} - {before[2]}
        ordered.missing = engine_by_name[min(others)].address
        pipelines = host.pipelines("engines")
        # The engine that is missing is preferred.
        for name in others - {min(others)}:
            use = pipelines.use(host.replicas.by_name[name])
            use.slowness = 9.0
        engine_by_name[before[2]].write_row(state="draining")
        deployment.run(lambda: not stream.uses_engine((before[2], 1000)))
        repaths = [order for order in ordered.orders if order["op"] == "repath"]
        assert len(repaths) == 2
        assert stream.path[2].replica.name == max(others)

    def add_copies(self, deployment, copies):
        """Add engines that hold the layers several times in one data centre."""
        engine_by_name = {}
        for copy in copies:
            for first in (0, 20, 40, 60):
                engine = deployment.add_engine(f"i-{copy}{first}")
                engine.events, engine.pause_s = 200, 0.02
                layers = {"from": first, "target": first + 20, "version": 1}
                engine.write_row(layers=layers)
                engine_by_name[engine.name] = engine
        wait_for_placement(deployment, engine_by_name.values())
        return engine_by_name

    def begin(self, deployment, host):
        deployment.send(host, make_stream("a1"))
        deployment.run(lambda: bool(host.streams()) and len(host.streams()[0].path) > 1)
        (stream,) = host.streams()
        return stream

    # Guards against a stream that stays on an engine without its layers because no
    # new path goes on from the last layer of its first engine.
    def test_stream_is_sent_again_where_no_path_goes_on(self, deployment):
        config = make_config()
        # Every kind of engine can hold 60 layers.
        config["services"][2]["engine"]["layer_mb"] = 100.0
        deployment.store.put("op", "config", config)
        kind_and_layers_by_name = {
            "i-first": ("v100", 0, 60),
            "i-fast": ("a100", 40, 80),
            "i-slow": ("v100", 60, 80),
        }
        engine_by_name = {}
        for name, (kind, first, last) in kind_and_layers_by_name.items():
            engine = engine_by_name[name] = deployment.add_engine(name, kind)
            engine.write_row(layers={"from": first, "target": last, "version": 1})
            engine.events, engine.pause_s = 100, 0.02
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, list(engine_by_name.values()))
        caller = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: bool(host.streams()) and len(host.streams()[0].path) > 1)
        (stream,) = host.streams()
        path = [(hop.replica.name, hop.first, hop.last) for hop in stream.path]
        assert path == [("i-first", 0, 40), ("i-fast", 40, 80)]
        engine_by_name["i-fast"].write_row(layers=None)
        deployment.run(lambda: not stream.uses_engine(("i-fast", 1000)))
        path = [(hop.replica.name, hop.first, hop.last) for hop in stream.path]
        assert path == [("i-first", 0, 60), ("i-slow", 60, 80)]
        deployment.run(lambda: caller.is_complete)
        assert caller.body.count(b"id: ") == 100

    def test_uncovered_layers_are_placed_while_engines_keep_joining(
        self, deployment, engines, host
    ):
        wait_for_placement(deployment, engines)
        engines[0].write_row(state="draining")
        new = []

        def add():
            if not any(engine.orders for engine in new):
                new.append(deployment.add_engine(f"i-n{len(new)}"))
                deployment.loop.call_later(0.2, add)

        add()
        deployment.run(lambda: any(engine.orders for engine in new))


class TestSettings:
    def write(self, path, host, slack):
        own = host.settings.host
        text = SETTINGS.format(
            name=own.name,
            centre=own.data_centre,
            callers=own.callers.rpartition(":")[2],
            readiness=own.readiness.rpartition(":")[2],
            peers=own.peer_ports[0],
            store=host.settings.store.address,
        )
        path.write_text(text.replace("slack = 200", slack))

    def test_change_is_applied_without_a_signal(self, deployment, host, tmp_path):
        path = tmp_path / "host.toml"
        self.write(path, host, "slack = 200")
        host.follow_settings(path)
        self.write(path, host, "slack = 50")
        deployment.run(lambda: host.settings.retries.slack == 50)

    def test_invalid_settings_are_ignored(self, deployment, host, tmp_path):
        path = tmp_path / "host.toml"
        self.write(path, host, "slack = 200")
        host.follow_settings(path)
        self.write(path, host, "slack = -1")
        host.reload()
        assert host.settings.retries.slack == 200
        assert host.is_ready()


class TestStart:
    """Signals may arrive before the program is imported."""

    SCRIPT = """
import signal, sys
import wagtailstair.gateway.daemon as daemon
slow = [n for n in sys.modules if n.split(".")[0] in ("capnp", "loguru", "httptools")]
print(slow)
"""

    def test_entry_point_imports_no_slow_modules(self):
        command = [sys.executable, "-c", self.SCRIPT]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        assert done.stdout.strip() == "[]"

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    def test_signal_during_the_imports_is_handled(self, tmp_path, number):
        # A stub of a slow import on the path sends the signal when it is imported.
        stub = f"import os\nos.kill(os.getpid(), {int(number)})\n"
        (tmp_path / "loguru.py").write_text(stub + "raise SystemExit(3)\n")
        code = "from wagtailstair.gateway.daemon import main; main(['none'])"
        command = [sys.executable, "-c", code]
        path = os.pathsep.join([str(tmp_path), *sys.path])
        environment = {**os.environ, "PYTHONPATH": path}
        done = subprocess.run(command, env=environment, check=False)
        assert done.returncode == (3 if number == signal.SIGHUP else 0)


class TestEnd:
    """Signals may arrive while the interpreter ends, after the program has returned."""

    SCRIPT = """
import os, signal, sys, types
from wagtailstair.gateway.daemon import main

class Late:
    # Called when the modules are cleared, after the signal handlers.
    def __del__(self, kill=os.kill, pid=os.getpid(), number=int(sys.argv[1])):
        kill(pid, number)

def run(argv, clock):
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, lambda number, frame: None)
    return 0

program = types.ModuleType("program")
program.run = run
sys.modules["wagtailstair.gateway.program"] = program
late = Late()
sys.exit(main(["none"]))
"""

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    def test_signal_while_the_interpreter_ends_is_ignored(self, number):
        command = [sys.executable, "-c", self.SCRIPT, str(int(number))]
        done = subprocess.run(command, check=False)
        assert done.returncode == 0
