"""Tests of the stand-ins, on whose behaviour the process tests rely."""

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
def standins():
    with StandinProcess(CONFIG) as process:
        yield process


def call(address, method, path, body=None, headers=()):
    with contextlib.closing(http.client.HTTPConnection(address, timeout=10)) as conn:
        payload = body if body is None or isinstance(body, str) else json.dumps(body)
        conn.request(method, path, payload, dict(headers))
        response = conn.getresponse()
        return response.status, json.loads(response.read() or "null")


def read_remaining(response):
    """Return the remaining lines, and whether the connection was cut."""
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
    raise AssertionError("condition not met within 5 s")


class StreamClient:
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
def streams(standins, request):
    client = StreamClient(standins)
    # Give each test its own range of request names.
    client.number = zlib.crc32(request.node.name.encode()) * 100
    return client


class TestTable:
    def write(self, standins, conditions, writes):
        fields = ("table", "key", "version"), ("table", "key", "value")
        body = {
            "conditions": [dict(zip(fields[0], c, strict=True)) for c in conditions],
            "writes": [dict(zip(fields[1], w, strict=True)) for w in writes],
        }
        return call(standins.addresses["table"], "POST", "/v1/transact", body)

    def read(self, standins, *keys):
        body = {"keys": [["t", key] for key in keys]}
        _, reply = call(standins.addresses["table"], "POST", "/v1/read", body)
        return [(row["version"], row["value"]) for row in reply["rows"]]

    def test_failed_condition_prevents_all_writes(self, standins):
        self.write(standins, [], [("t", "a", 1)])
        status, reply = self.write(
            standins,
            [("t", "b", 0), ("t", "a", 7)],
            [("t", "a", 2), ("t", "b", 2)],
        )
        assert status == 409
        assert reply == {"conflicts": [{"table": "t", "key": "a", "version": 1}]}
        assert self.read(standins, "a", "b") == [(1, 1), (0, None)]

    def test_version_continues_after_delete(self, standins):
        self.write(standins, [], [("t", "d", 1)])
        assert self.write(standins, [], [("t", "d", None)]) == (200, {"versions": [0]})
        assert self.read(standins, "d") == [(0, None)]
        again = self.write(standins, [("t", "d", 0)], [("t", "d", 2)])
        assert again == (200, {"versions": [2]})

    def test_write_is_applied_on_lost_reply_but_not_on_lost_request(self, standins):
        standins.switch("table", lose_replies=1)
        with pytest.raises(http.client.RemoteDisconnected):
            self.write(standins, [], [("t", "kept", 1)])
        standins.switch("table", lose_requests=1)
        with pytest.raises(http.client.RemoteDisconnected):
            self.write(standins, [], [("t", "gone", 1)])
        assert self.read(standins, "kept", "gone") == [(1, 1), (0, None)]
        assert [e["lost"] for e in standins.records("table")["history"]].count(
            True
        ) == 1

    def test_rate_limited_write_is_not_applied(self, standins):
        standins.switch("table", writes_per_s=1.0)
        statuses = [
            self.write(standins, [], [("t", f"rate{n}", 1)])[0] for n in range(3)
        ]
        standins.switch("table", writes_per_s=300.0)
        assert statuses[1:] == [429, 429]
        assert self.read(standins, "rate1", "rate2") == [(0, None)] * 2

    def test_down_refuses_connections_and_keeps_rows(self, standins):
        self.write(standins, [], [("t", "lasting", 5)])
        standins.switch("table", down=True)
        with pytest.raises(ConnectionRefusedError):
            self.read(standins, "lasting")
        standins.switch("table", down=False)
        assert self.read(standins, "lasting") == [(1, 5)]

    def test_scan_continues_after_given_key(self, standins):
        self.write(standins, [], [("s", f"k{n}", n) for n in range(3)])
        body = {"table": "s", "after": "k0", "limit": 1}
        _, reply = call(standins.addresses["table"], "POST", "/v1/scan", body)
        assert [row["key"] for row in reply["rows"]] == ["k1"]


class TestTokens:
    CONTEXT = tokens.context_of(PROMPT, [7, 8])

    def test_token_does_not_depend_on_layer_split(self):
        expected = tokens.token_of(self.CONTEXT, [(0, 8)])
        assert tokens.token_of(self.CONTEXT, [(0, 3), (3, 8)]) == expected

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
    def test_wrong_layers_change_the_token(self, ranges):
        expected = tokens.token_of(self.CONTEXT, [(0, 8)])
        assert tokens.token_of(self.CONTEXT, ranges) != expected

    def test_token_depends_on_previous_tokens(self):
        other = tokens.context_of(PROMPT, [8, 7])
        layers = [(0, 8)]
        assert tokens.token_of(other, layers) != tokens.token_of(self.CONTEXT, layers)


class TestEngine:
    PIPELINE = (("front", 0, 4), ("back", 4, 8))

    def test_pipeline_generates_complete_answer(self, streams):
        body = streams.body(*self.PIPELINE)
        token_lines, end = streams.run(body)
        assert [line["t"] for line in token_lines] == tokens.expected_tokens(
            PROMPT, 12, LAYERS
        )
        assert [line["p"] for line in token_lines] == list(range(len(token_lines)))
        assert all(line["w"] == [[0, 4], [4, 8]] for line in token_lines)
        assert (end["p"], end["end"]) == (len(token_lines), "length")
        assert streams.record("front", body)["violations"] == 0

    def test_resumed_stream_generates_remaining_tokens(self, streams):
        expected = tokens.expected_tokens(PROMPT, 12, LAYERS)
        token_lines, _ = streams.run(streams.body(("whole", 0, 8), tokens=expected[:5]))
        assert [(line["p"], line["t"]) for line in token_lines] == list(
            enumerate(expected)
        )[5:]

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
    def test_wrong_route_changes_token_and_is_recorded(self, streams, route):
        body = streams.body(*route, max_tokens=1)
        token_lines, _ = streams.run(body)
        assert token_lines[0]["t"] != tokens.expected_tokens(PROMPT, 1, LAYERS)[0]
        assert token_lines[0]["w"] != [[0, 4], [4, 8]]
        assert streams.record(route[0][0], body)["violations"] == 1

    def test_crashed_stage_aborts_stream_without_end_line(self, standins, streams):
        body = streams.body(("front", 0, 4), ("spare", 4, 8), max_tokens=4000)
        with streams.open(body) as response:
            response.readline()
            standins.switch("spare", dead=True)
            lines, cut = read_remaining(response)
        assert cut
        assert not any("end" in line for line in lines)
        assert streams.record("front", body)["end"] == "stage dead"
        status, reply = call(
            standins.addresses["front"],
            "POST",
            "/v1/generate",
            {**body, "attempt": "r.2"},
        )
        assert (status, reply["not_run"]) == (503, True)
        standins.switch("spare", dead=False)
        assert streams.run({**body, "attempt": "r.3", "max_tokens": 1})[1]["p"] == 1

    @pytest.mark.parametrize("way", ["cancel", "disconnect"])
    def test_cancelled_stream_frees_its_slot(self, standins, streams, way):
        body = streams.body(("single", 0, 8), max_tokens=3000)
        following = streams.body(("single", 0, 8), max_tokens=1)
        with streams.open(body) as response:
            response.readline()
            if way == "cancel":
                call(standins.addresses["single"], "POST", "/v1/cancel", body)
                assert not any(b'"end"' in line for line in response)
        assert streams.run(following)[1]["p"] == 1
        ends = {"cancel": "cancelled", "disconnect": "disconnected"}
        assert streams.record("single", body)["end"] == ends[way]
        assert standins.records("single")["running"] == 0

    def test_highest_priority_starts_first_when_slot_frees(self, standins, streams):
        bodies = [
            streams.body(("single", 0, 8), max_tokens=1, priority=priority)
            for priority in (2, 1, 0)
        ]
        with contextlib.ExitStack() as stack:
            holder = streams.body(("single", 0, 8), max_tokens=3000)
            stack.enter_context(streams.open(holder)).readline()
            responses = [stack.enter_context(streams.open(body)) for body in bodies]
            wait_until(lambda: standins.records("single")["waiting"] == 3)
            call(standins.addresses["single"], "POST", "/v1/cancel", holder)
            for response in responses:
                response.read()
        started = [streams.record("single", b)["first_token_at"] for b in bodies]
        assert started == sorted(started, reverse=True)

    def test_old_epoch_is_refused(self, standins, streams):
        body = streams.body(("whole", 0, 8), epoch=2, max_tokens=1)
        streams.run(body)
        old = {**body, "attempt": "r.2", "epoch": 1}
        status, reply = call(standins.addresses["whole"], "POST", "/v1/generate", old)
        assert (status, reply["not_run"]) == (409, True)

    def test_prefix_cache_evicts_blocks_and_omits_some_events(self, standins, streams):
        prompts = [letter * 320 for letter in "xyz"]
        cached = []
        for prompt in (*prompts, prompts[2], prompts[0]):
            body = streams.body(("small", 0, 8), prompt=prompt, max_tokens=1)
            cached.append(streams.run(body)[1]["usage"]["cached"])
        assert cached == [0, 0, 0, 80, 0]
        _, reply = call(standins.addresses["small"], "GET", "/v1/events?after=0")
        kinds = {event["kind"] for event in reply["events"]}
        assert kinds == {"stored", "evicted"}
        assert all(event["seq"] % 3 for event in reply["events"])

    def test_imported_kv_skips_prefill(self, standins, streams):
        body = streams.body(("whole", 0, 8), prompt="kv" * 40, max_tokens=3)
        token_lines, _ = streams.run(body)
        address = standins.addresses
        _, kv = call(address["whole"], "POST", "/v1/kv/export", body)
        call(address["single"], "POST", "/v1/kv/import", kv)
        resumed = {
            **body,
            "attempt": "r.2",
            "tokens": [line["t"] for line in token_lines],
            "max_tokens": 4,
            "route": [{"address": address["single"], "first": 0, "last": 8}],
        }
        assert streams.run(resumed)[1]["usage"] == {"prompt": 20, "cached": 20}

    def test_cut_duplicate_and_late_lines(self, standins, streams):
        body = streams.body(("loaded", 0, 8))
        standins.switch("loaded", cut_after=2)
        with streams.open(body) as response:
            lines, cut = read_remaining(response)
        assert (len(lines), cut) == (2, True)
        standins.switch("loaded", cut_after=0, late_events=1, duplicate_events=1)
        token_lines, _ = streams.run({**body, "attempt": "r.2"})
        assert [(line["a"], line["p"]) for line in token_lines[:4]] == [
            ("r.1", 1),
            ("r.2", 0),
            ("r.2", 0),
            ("r.2", 1),
        ]

    def test_unknown_switch_is_an_error(self, standins):
        with pytest.raises(LaunchError, match="no switch"):
            standins.switch("whole", dea=True)


class TestOrders:
    def order(self, standins, name, fence, **options):
        body = {"fence": fence, "holder": "h", "kind": "role", "role": "x", **options}
        return call(standins.addresses[name], "POST", "/v1/orders", body)[0]

    @pytest.mark.parametrize(
        ("name", "status", "order"), [("whole", 412, 5), ("ignoring", 200, 4)]
    )
    def test_stale_fence_is_refused_if_fencing_is_checked(
        self, standins, name, status, order
    ):
        assert self.order(standins, name, 5) == 200
        assert self.order(standins, name, 4) == status
        records = standins.records(name)
        assert records["state"]["order"] == order
        assert [o["accepted"] for o in records["orders"]] == [True, status == 200]

    def test_load_fetches_from_weight_store(self, standins):
        options = {"kind": "load", "model": "m2", "version": "3", "adapter": ""}
        span = {"first": 2, "last": 6}
        assert self.order(standins, "loaded", 1, **options, **span) == 200
        wait_until(lambda: standins.records("loaded")["state"]["model"] == "m2")
        state = standins.records("loaded")["state"]
        assert (state["first"], state["last"], state["version"]) == (2, 6, "3")
        assert standins.records("weights")["counts"]["bytes"] == 40

    def test_weight_store_refuses_above_its_rate(self, standins):
        body = {"model": "m", "version": "1", "bytes": 900}
        address = standins.addresses["weights"]
        statuses = [
            call(address, "POST", "/v1/weights/fetch", body)[0] for _ in range(2)
        ]
        assert statuses[-1] == 429


class TestHosts:
    def names(self, standins, state="live"):
        _, reply = call(standins.addresses["hosts"], "GET", "/v1/hosts")
        return {host["name"] for host in reply["hosts"] if host["state"] == state}

    def test_list_holds_entries_engines_and_services(self, standins):
        assert {"e1", "whole", "desk"} <= self.names(standins)

    def test_change_is_visible_after_lag(self, standins):
        standins.switch("hosts", lag_s=3600.0)
        standins.switch("hosts", leaving="desk", remove="e1")
        assert {"e1", "desk"} <= self.names(standins)
        standins.switch("hosts", lag_s=0.0)
        assert "e1" not in self.names(standins)
        assert self.names(standins, "leaving") == {"desk"}


class TestService:
    def post(self, standins, key):
        headers = {"Idempotency-Key": key, "X-Request-Id": "q", "X-Attempt": "1"}
        address = standins.addresses["desk"]
        return call(address, "POST", "/book?x=1", "body", headers)

    def runs(self, standins, key):
        runs = standins.records("desk")["runs"]
        return [run for run in runs if run["idempotency_key"] == key]

    def test_repeated_call_is_recorded_as_two_runs(self, standins):
        first, second = self.post(standins, "k1")[1], self.post(standins, "k1")[1]
        assert first["registration"] != second["registration"]
        runs = self.runs(standins, "k1")
        assert [run["registration"] for run in runs] == [
            first["registration"],
            second["registration"],
        ]
        assert (runs[0]["path"], runs[0]["body"]) == ("/book?x=1", "body")

    @pytest.mark.parametrize(
        ("switch", "runs"), [("lose_reply", 1), ("drop_before", 0)]
    )
    def test_run_count_after_dropped_connection(self, standins, switch, runs):
        standins.switch("desk", **{switch: 1})
        with pytest.raises(http.client.RemoteDisconnected):
            self.post(standins, switch)
        assert len(self.runs(standins, switch)) == runs

    def test_refused_call_did_not_run(self, standins):
        standins.switch("desk", refuse=True)
        status, reply = self.post(standins, "refused")
        standins.switch("desk", refuse=False)
        assert (status, reply["not_run"]) == (503, True)
        assert self.runs(standins, "refused") == []


class TestObjects:
    def test_object_is_returned_as_stored(self, standins):
        address = standins.addresses["objects"]
        assert call(address, "GET", "/v1/objects/a/b")[0] == 404
        call(address, "PUT", "/v1/objects/a/b", {"x": 1})
        assert call(address, "GET", "/v1/objects/a/b") == (200, {"x": 1})


class TestDeadlyPart:
    @pytest.fixture
    def address(self, standins):
        yield standins.addresses["desk"]
        standins.switch("desk", dead=False, deadly_part="")

    def test_part_that_is_not_the_last_ends_the_standin(self, standins, address):
        standins.switch("desk", deadly_part="dead")
        for parts in ("ab:1,dead:2", "ab:1"):
            headers = {"X-Prompt-Prefix": parts}
            assert call(address, "GET", "/x", headers=headers)[0] == 200
        with pytest.raises((http.client.HTTPException, OSError)):
            call(address, "GET", "/x", headers={"X-Prompt-Prefix": "dead:1,ab:2"})
        with pytest.raises(OSError, match="refused"):
            call(address, "GET", "/x")


class TestNotices:
    @pytest.fixture
    def address(self, standins):
        yield standins.addresses["desk"]
        changes = {"rate_limit": 0.0, "says_leaving": False, "pause_s": 0.0}
        standins.switch("desk", refuse=False, **changes)

    def headers(self, address):
        with contextlib.closing(
            http.client.HTTPConnection(address, timeout=10)
        ) as conn:
            conn.request("GET", "/x")
            return conn.getresponse().headers

    def test_answers_name_a_limit(self, standins, address):
        assert "Server-Limit" not in self.headers(address)
        standins.switch("desk", rate_limit=7.5)
        assert self.headers(address)["Server-Limit"] == "7.5"

    def test_answers_name_the_leaving(self, standins, address):
        assert "Server-Leaving" not in self.headers(address)
        standins.switch("desk", says_leaving=True)
        assert self.headers(address)["Server-Leaving"] == "1"

    def test_only_refusals_ask_for_a_pause(self, standins, address):
        standins.switch("desk", pause_s=1.5)
        assert "Retry-After" not in self.headers(address)
        standins.switch("desk", refuse=True)
        assert self.headers(address)["Retry-After"] == "1.5"
