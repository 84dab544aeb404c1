"""What later proofs rely on in the stand-ins."""

import contextlib
import http.client
import json
import time
import zlib

import pytest

from standins import tokens
from standins.launch import LaunchError
from standins.launch import StandinProcess

LAYERS = 8
PROMPT = "a lantern of paper and wire, three metres tall"


def engine(name, **options):
    return {"name": name, "data_centre": "a", "layers": LAYERS, "step_ms": 2, **options}


CONFIG = {
    "table": {},
    "hosts": {
        "entries": [{"name": "e1", "data_centre": "a", "address": "127.0.0.1:9"}]
    },
    "objects": {},
    "weights": {"bytes_per_s": 1000.0},
    "engines": [
        engine("whole"),
        engine("front", last=4),
        engine("back", first=4),
        engine("single", slots=1, step_ms=20),
        engine("spare", first=4),
        engine("ignoring", fencing="ignored"),
        engine("small", kv_tokens=200, event_lag_s=0, event_gap=3),
        engine("loaded", layer_bytes=10.0, load_s=0.0),
    ],
    "services": [{"name": "desk", "service": "entries", "data_centre": "a"}],
}


@pytest.fixture(scope="module")
def running():
    with StandinProcess(CONFIG) as process:
        yield process


def call(address, method, path, body=None, headers=()):
    with contextlib.closing(http.client.HTTPConnection(address, timeout=10)) as conn:
        payload = body if body is None or isinstance(body, str) else json.dumps(body)
        conn.request(method, path, payload, dict(headers))
        response = conn.getresponse()
        return response.status, json.loads(response.read() or "null")


def rest(response):
    """Return the lines that are left, and whether the connection was cut."""
    try:
        raw, cut = response.read(), False
    except http.client.IncompleteRead as error:
        raw, cut = error.partial, True
    return [json.loads(line) for line in raw.splitlines()], cut


def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition did not come true in 5 s")


class Streams:
    def __init__(self, process):
        self.process = process
        self.number = 0

    def body(self, *route, **options):
        self.number += 1
        addresses = self.process.addresses
        stages = [
            {"address": addresses[name], "first": first, "last": last}
            for name, first, last in route
        ]
        return {
            "request": f"r{self.number}",
            "attempt": "r.1",
            "epoch": 1,
            "model": "draft",
            "adapter": "",
            "prompt": PROMPT,
            "tokens": [],
            "max_tokens": 12,
            "priority": 1,
            "deadline_ms": 60_000,
            "route": stages,
            **options,
        }

    @contextlib.contextmanager
    def open(self, body):
        conn = http.client.HTTPConnection(body["route"][0]["address"], timeout=10)
        with contextlib.closing(conn):
            conn.request("POST", "/v1/generate", json.dumps(body))
            response = conn.getresponse()
            assert response.status == 200, response.read()
            yield response

    def run(self, body):
        with self.open(body) as response:
            lines = [json.loads(line) for line in response]
        return lines[:-1], lines[-1]

    def record(self, name, body):
        attempts = self.process.records(name)["attempts"]
        return next(a for a in attempts if a["request"] == body["request"])


@pytest.fixture
def streams(running, request):
    made = Streams(running)
    # Requests of different tests must not share a name.
    made.number = zlib.crc32(request.node.name.encode()) * 100
    return made


class TestTable:
    def write(self, running, conditions, writes):
        named = ("table", "key", "version"), ("table", "key", "value")
        body = {
            "conditions": [dict(zip(named[0], c, strict=True)) for c in conditions],
            "writes": [dict(zip(named[1], w, strict=True)) for w in writes],
        }
        return call(running.addresses["table"], "POST", "/v1/transact", body)

    def read(self, running, *keys):
        body = {"keys": [["t", key] for key in keys]}
        _, reply = call(running.addresses["table"], "POST", "/v1/read", body)
        return [(row["version"], row["value"]) for row in reply["rows"]]

    def test_one_false_condition_stops_all_writes(self, running):
        self.write(running, [], [("t", "a", 1)])
        status, reply = self.write(
            running,
            [("t", "b", 0), ("t", "a", 7)],
            [("t", "a", 2), ("t", "b", 2)],
        )
        assert status == 409
        assert reply == {"conflicts": [{"table": "t", "key": "a", "version": 1}]}
        assert self.read(running, "a", "b") == [(1, 1), (0, None)]

    def test_version_goes_on_after_delete(self, running):
        self.write(running, [], [("t", "d", 1)])
        assert self.write(running, [], [("t", "d", None)]) == (200, {"versions": [0]})
        assert self.read(running, "d") == [(0, None)]
        again = self.write(running, [("t", "d", 0)], [("t", "d", 2)])
        assert again == (200, {"versions": [2]})

    def test_lost_reply_took_effect_and_lost_request_did_not(self, running):
        running.switch("table", lose_replies=1)
        with pytest.raises(http.client.RemoteDisconnected):
            self.write(running, [], [("t", "kept", 1)])
        running.switch("table", lose_requests=1)
        with pytest.raises(http.client.RemoteDisconnected):
            self.write(running, [], [("t", "gone", 1)])
        assert self.read(running, "kept", "gone") == [(1, 1), (0, None)]
        assert [e["lost"] for e in running.records("table")["history"]].count(True) == 1

    def test_write_above_the_rate_has_no_effect(self, running):
        running.switch("table", writes_per_s=1.0)
        statuses = [
            self.write(running, [], [("t", f"rate{n}", 1)])[0] for n in range(3)
        ]
        running.switch("table", writes_per_s=300.0)
        assert statuses[1:] == [429, 429]
        assert self.read(running, "rate1", "rate2") == [(0, None)] * 2

    def test_down_refuses_connections_and_keeps_rows(self, running):
        self.write(running, [], [("t", "lasting", 5)])
        running.switch("table", down=True)
        with pytest.raises(ConnectionRefusedError):
            self.read(running, "lasting")
        running.switch("table", down=False)
        assert self.read(running, "lasting") == [(1, 5)]

    def test_scan_goes_on_after_a_key(self, running):
        self.write(running, [], [("s", f"k{n}", n) for n in range(3)])
        body = {"table": "s", "after": "k0", "limit": 1}
        _, reply = call(running.addresses["table"], "POST", "/v1/scan", body)
        assert [row["key"] for row in reply["rows"]] == ["k1"]


class TestTokens:
    CONTEXT = tokens.context_of(PROMPT, [7, 8])

    def test_split_of_the_layers_makes_no_difference(self):
        whole = tokens.token_of(self.CONTEXT, [(0, 8)])
        assert tokens.token_of(self.CONTEXT, [(0, 3), (3, 8)]) == whole

    @pytest.mark.parametrize(
        "ranges",
        [
            [(0, 4), (3, 8)],
            [(0, 4), (4, 8), (7, 8)],
            [(0, 4), (5, 8)],
            [(4, 8), (0, 4)],
            [(0, 4)],
        ],
        ids=["overlap", "doubled", "gap", "order", "short"],
    )
    def test_wrong_layers_make_another_token(self, ranges):
        whole = tokens.token_of(self.CONTEXT, [(0, 8)])
        assert tokens.token_of(self.CONTEXT, ranges) != whole

    def test_token_depends_on_the_tokens_before(self):
        other = tokens.context_of(PROMPT, [8, 7])
        whole = [(0, 8)]
        assert tokens.token_of(other, whole) != tokens.token_of(self.CONTEXT, whole)


class TestEngine:
    PIPELINE = (("front", 0, 4), ("back", 4, 8))

    def test_pipeline_makes_the_whole_answer(self, streams):
        body = streams.body(*self.PIPELINE)
        made, end = streams.run(body)
        assert [line["t"] for line in made] == tokens.expected_tokens(
            PROMPT, 12, LAYERS
        )
        assert [line["p"] for line in made] == list(range(len(made)))
        assert all(line["w"] == [[0, 4], [4, 8]] for line in made)
        assert (end["p"], end["end"]) == (len(made), "length")
        assert streams.record("front", body)["violations"] == 0

    def test_resumed_stream_makes_the_rest(self, streams):
        whole = tokens.expected_tokens(PROMPT, 12, LAYERS)
        made, _ = streams.run(streams.body(("whole", 0, 8), tokens=whole[:5]))
        assert [(line["p"], line["t"]) for line in made] == list(enumerate(whole))[5:]

    @pytest.mark.parametrize(
        "route",
        [
            [("front", 0, 4), ("back", 5, 8)],
            [("front", 0, 4), ("whole", 3, 8)],
            [("back", 4, 8), ("front", 0, 4)],
            [("front", 0, 8)],
            [("back", 0, 8)],
        ],
        ids=["gap", "overlap", "order", "above-held", "below-held"],
    )
    def test_wrong_route_shows_in_token_trail_and_record(self, streams, route):
        body = streams.body(*route, max_tokens=1)
        made, _ = streams.run(body)
        assert made[0]["t"] != tokens.expected_tokens(PROMPT, 1, LAYERS)[0]
        assert made[0]["w"] != [[0, 4], [4, 8]]
        assert streams.record(route[0][0], body)["violations"] == 1

    def test_dead_stage_breaks_the_stream_without_an_end(self, running, streams):
        body = streams.body(("front", 0, 4), ("spare", 4, 8), max_tokens=4000)
        with streams.open(body) as response:
            response.readline()
            running.switch("spare", dead=True)
            lines, cut = rest(response)
        assert cut
        assert not any("end" in line for line in lines)
        assert streams.record("front", body)["end"] == "stage dead"
        status, reply = call(
            running.addresses["front"],
            "POST",
            "/v1/generate",
            {**body, "attempt": "r.2"},
        )
        assert (status, reply["not_run"]) == (503, True)
        running.switch("spare", dead=False)
        assert streams.run({**body, "attempt": "r.3", "max_tokens": 1})[1]["p"] == 1

    @pytest.mark.parametrize("way", ["cancel", "disconnect"])
    def test_cancelled_stream_frees_its_slot(self, running, streams, way):
        body = streams.body(("single", 0, 8), max_tokens=3000)
        following = streams.body(("single", 0, 8), max_tokens=1)
        with streams.open(body) as response:
            response.readline()
            if way == "cancel":
                call(running.addresses["single"], "POST", "/v1/cancel", body)
                assert not any(b'"end"' in line for line in response)
        assert streams.run(following)[1]["p"] == 1
        ends = {"cancel": "cancelled", "disconnect": "disconnected"}
        assert streams.record("single", body)["end"] == ends[way]
        assert running.records("single")["running"] == 0

    def test_urgent_goes_first_when_a_slot_frees(self, running, streams):
        bodies = [
            streams.body(("single", 0, 8), max_tokens=1, priority=priority)
            for priority in (2, 1, 0)
        ]
        with contextlib.ExitStack() as stack:
            holder = streams.body(("single", 0, 8), max_tokens=3000)
            stack.enter_context(streams.open(holder)).readline()
            responses = [stack.enter_context(streams.open(body)) for body in bodies]
            wait_until(lambda: running.records("single")["waiting"] == 3)
            call(running.addresses["single"], "POST", "/v1/cancel", holder)
            for response in responses:
                response.read()
        started = [streams.record("single", b)["first_token_at"] for b in bodies]
        assert started == sorted(started, reverse=True)

    def test_old_epoch_is_refused(self, running, streams):
        body = streams.body(("whole", 0, 8), epoch=2, max_tokens=1)
        streams.run(body)
        old = {**body, "attempt": "r.2", "epoch": 1}
        status, reply = call(running.addresses["whole"], "POST", "/v1/generate", old)
        assert (status, reply["not_run"]) == (409, True)

    def test_prefix_cache_is_limited_and_tells_events_with_gaps(self, running, streams):
        prompts = [letter * 320 for letter in "xyz"]
        cached = []
        for prompt in (*prompts, prompts[2], prompts[0]):
            body = streams.body(("small", 0, 8), prompt=prompt, max_tokens=1)
            cached.append(streams.run(body)[1]["usage"]["cached"])
        assert cached == [0, 0, 0, 80, 0]
        _, reply = call(running.addresses["small"], "GET", "/v1/events?after=0")
        kinds = {event["kind"] for event in reply["events"]}
        assert kinds == {"stored", "evicted"}
        assert all(event["seq"] % 3 for event in reply["events"])

    def test_exported_kv_spares_the_prefill(self, running, streams):
        body = streams.body(("whole", 0, 8), prompt="kv" * 40, max_tokens=3)
        made, _ = streams.run(body)
        address = running.addresses
        _, kv = call(address["whole"], "POST", "/v1/kv/export", body)
        call(address["single"], "POST", "/v1/kv/import", kv)
        resumed = {
            **body,
            "attempt": "r.2",
            "tokens": [line["t"] for line in made],
            "max_tokens": 4,
            "route": [{"address": address["single"], "first": 0, "last": 8}],
        }
        assert streams.run(resumed)[1]["usage"] == {"prompt": 20, "cached": 20}

    def test_cut_duplicate_and_late_lines(self, running, streams):
        body = streams.body(("loaded", 0, 8))
        running.switch("loaded", cut_after=2)
        with streams.open(body) as response:
            lines, cut = rest(response)
        assert (len(lines), cut) == (2, True)
        running.switch("loaded", cut_after=0, late_events=1, duplicate_events=1)
        made, _ = streams.run({**body, "attempt": "r.2"})
        assert [(line["a"], line["p"]) for line in made[:4]] == [
            ("r.1", 1),
            ("r.2", 0),
            ("r.2", 0),
            ("r.2", 1),
        ]

    def test_unknown_switch_is_an_error(self, running):
        with pytest.raises(LaunchError, match="no switch"):
            running.switch("whole", dea=True)


class TestOrders:
    def order(self, running, name, fence, **options):
        body = {"fence": fence, "holder": "h", "kind": "role", "role": "x", **options}
        return call(running.addresses[name], "POST", "/v1/orders", body)[0]

    @pytest.mark.parametrize(
        ("name", "status", "order"), [("whole", 412, 5), ("ignoring", 200, 4)]
    )
    def test_old_fence(self, running, name, status, order):
        assert self.order(running, name, 5) == 200
        assert self.order(running, name, 4) == status
        records = running.records(name)
        assert records["state"]["order"] == order
        assert [o["accepted"] for o in records["orders"]] == [True, status == 200]

    def test_load_waits_for_the_weight_store(self, running):
        options = {"kind": "load", "model": "m2", "version": "3", "adapter": ""}
        span = {"first": 2, "last": 6}
        assert self.order(running, "loaded", 1, **options, **span) == 200
        wait_until(lambda: running.records("loaded")["state"]["model"] == "m2")
        state = running.records("loaded")["state"]
        assert (state["first"], state["last"], state["version"]) == (2, 6, "3")
        assert running.records("weights")["counts"]["bytes"] == 40

    def test_weight_store_refuses_above_its_rate(self, running):
        body = {"model": "m", "version": "1", "bytes": 900}
        address = running.addresses["weights"]
        statuses = [
            call(address, "POST", "/v1/weights/fetch", body)[0] for _ in range(2)
        ]
        assert statuses[-1] == 429


class TestHosts:
    def names(self, running, state="live"):
        _, reply = call(running.addresses["hosts"], "GET", "/v1/hosts")
        return {host["name"] for host in reply["hosts"] if host["state"] == state}

    def test_list_holds_entries_engines_and_services(self, running):
        assert {"e1", "whole", "desk"} <= self.names(running)

    def test_change_shows_after_the_lag(self, running):
        running.switch("hosts", lag_s=3600.0)
        running.switch("hosts", leaving="desk", remove="e1")
        assert {"e1", "desk"} <= self.names(running)
        running.switch("hosts", lag_s=0.0)
        assert "e1" not in self.names(running)
        assert self.names(running, "leaving") == {"desk"}


class TestService:
    def post(self, running, key):
        headers = {"Idempotency-Key": key, "X-Request-Id": "q", "X-Attempt": "1"}
        address = running.addresses["desk"]
        return call(address, "POST", "/book?x=1", "body", headers)

    def runs(self, running, key):
        runs = running.records("desk")["runs"]
        return [run for run in runs if run["idempotency_key"] == key]

    def test_doubled_run_shows(self, running):
        first, second = self.post(running, "k1")[1], self.post(running, "k1")[1]
        assert first["registration"] != second["registration"]
        runs = self.runs(running, "k1")
        assert [run["registration"] for run in runs] == [
            first["registration"],
            second["registration"],
        ]
        assert (runs[0]["path"], runs[0]["body"]) == ("/book?x=1", "body")

    @pytest.mark.parametrize(
        ("switch", "runs"), [("lose_reply", 1), ("drop_before", 0)]
    )
    def test_dropped_connection(self, running, switch, runs):
        running.switch("desk", **{switch: 1})
        with pytest.raises(http.client.RemoteDisconnected):
            self.post(running, switch)
        assert len(self.runs(running, switch)) == runs

    def test_refused_call_did_not_run(self, running):
        running.switch("desk", refuse=True)
        status, reply = self.post(running, "refused")
        running.switch("desk", refuse=False)
        assert (status, reply["not_run"]) == (503, True)
        assert self.runs(running, "refused") == []


class TestObjects:
    def test_bytes_come_back(self, running):
        address = running.addresses["objects"]
        assert call(address, "GET", "/v1/objects/a/b")[0] == 404
        call(address, "PUT", "/v1/objects/a/b", {"x": 1})
        assert call(address, "GET", "/v1/objects/a/b") == (200, {"x": 1})
