"""What the log says about a request: why it waited, and why it was not sent again.

Without these fields an operator sees that a request failed, but not that the budget of
repeats or the requests queued before it are the reason.
"""

import re

import pytest
from loguru import logger

from tests.gateway_data import encode
from tests.gateway_data import make_config
from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from wagtailstair.core.engine_costs import Load
from wagtailstair.core.engine_costs import engine_key
from wagtailstair.core.pipelines import LoadSource

PEER = LoadSource("entry-9")


@pytest.fixture
def lines():
    """The lines of the log, without time and level."""
    written = []
    sink = logger.add(lambda text: written.append(str(text)), format="{message}")
    yield written
    logger.remove(sink)


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config_of_whole_engines()
    config["routes"][2].update(service="desk", split=None)
    deployment.store.put("op", "config", config)
    return deployment


@pytest.fixture
def desks(deployment):
    return [deployment.add_service(name) for name in ("i-one", "i-two", "i-three")]


@pytest.fixture
def engines(deployment):
    return [deployment.add_engine(f"i-e{n}") for n in range(2)]


@pytest.fixture
def host(deployment, desks, engines):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    wait_for_placement(deployment, engines)
    return host


def find(lines, event):
    """Return the fields of all lines of an event."""
    found = []
    for line in lines:
        fields = dict(re.findall(r'(\w+)=("[^"]*"|\S*)', line))
        if fields.get("event") == event:
            found.append(fields)
    return found


class TestResends:
    def test_spent_budget_is_named(self, deployment, desks, host, lines):
        host.resend_budget.change(0.0, 0.0, 10.0)
        for desk in desks:
            desk.script = ["lose"]
        answered = deployment.send_and_wait(host, make_request("/lookup/7", "a1"))
        assert answered.status == 502
        (refused,) = find(lines, "resend_refused")
        assert (refused["request"], refused["reason"]) == ("a1", "budget")
        assert (refused["used"], refused["own"], refused["sends"]) == ("0", "0", "1")

    def test_spent_attempts_are_named_once(self, deployment, desks, host, lines):
        for desk in desks:
            desk.script = ["lose"]
        answered = deployment.send_and_wait(host, make_request("/lookup/7", "a1"))
        assert answered.status == 502
        (refused,) = find(lines, "resend_refused")
        assert (refused["reason"], refused["sends"]) == ("attempts", "2")
        metrics = host.telemetry.render(host).decode()
        (line,) = re.findall(r"wagtailstair_resends_refused_total\{.*", metrics)
        assert 'reason="attempts"' in line
        assert line.endswith(" 1")


class TestQueue:
    @pytest.fixture
    def fill(self, host, engines):
        """Let another host hold all places of the engines."""
        loads = {}
        for engine in engines:
            replica = host.replicas.by_name[engine.name]
            loads[engine_key(replica)] = Load(96, 96, 0.0)
        pipelines = host.pipelines("engines")
        pipelines.set_peer_loads(PEER, loads)
        return pipelines

    def test_stream_that_waited(self, deployment, host, fill, lines):
        first = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: len(host.waiting_streams().queue) == 1)
        second = deployment.send(host, make_stream("a2"))
        deployment.run(lambda: len(host.waiting_streams().queue) == 2)
        fill.drop_peer_loads(PEER)
        deployment.run(lambda: first.is_complete and second.is_complete)
        assert first.body == second.body == EVENTS
        first_end, second_end = find(lines, "request_ended")
        assert first_end["account"] == second_end["account"] == "maker"
        # The account's rank goes before that of the route.
        assert first_end["rank"] == "1"
        assert (first_end["queued_for"], first_end["ahead"]) == ("no_room", "0")
        assert second_end["queued_for"] == "order"
        assert int(second_end["ahead"]) >= 300
        metrics = host.telemetry.render(host).decode()
        assert re.search(r'wagtailstair_queue_seconds_count\{.*rank="1".*\} 2', metrics)

    def test_stream_that_was_refused(self, deployment, host, fill, lines):
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert answered.status == 503
        (ended,) = find(lines, "request_ended")
        assert ended["outcome"] == '"no room"'
        assert {"queued", "ahead", "expected"} <= ended.keys()


class TestStalls:
    @pytest.mark.parametrize(
        ("aim_ms", "delay_s"), [(200, 0.08), (500, 0.2), (1000, 0.4), (5000, 0.4)]
    )
    def test_first_stall_check_leaves_time_for_another_path(
        self, deployment, engines, host, aim_ms, delay_s
    ):
        """Guards against stalls that are looked for when the goal has passed."""
        config = make_config_of_whole_engines(2)
        config["routes"][0]["aim_ms"] = aim_ms
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() == 2)
        for engine in engines:
            engine.script = ["silent"]
        asked = []
        find_stalled_engine = host.find_stalled_engine

        def record(first, service):
            asked.append(deployment.loop.now)
            find_stalled_engine(first, service)

        host.find_stalled_engine = record
        deployment.send(host, make_stream("a1"))
        deployment.run(lambda: any(engine.runs for engine in engines))
        (stream,) = host.streams()
        sent_at = stream._current.progress_at
        deployment.run(lambda: bool(asked))
        assert asked[0] - sent_at >= delay_s
        assert stream._first_stall_check_s == pytest.approx(delay_s)

    def test_stalled_second_engine_is_replaced_before_the_first_event(self):
        deployment = Deployment()
        config = make_config()
        config["routes"][0]["aim_ms"] = 2000
        deployment.store.put("op", "config", config)
        engine_by_name = {}
        halves = {"i-a": (0, 40), "i-b": (40, 80), "i-c": (40, 80)}
        for name, (first, last) in halves.items():
            engine = engine_by_name[name] = deployment.add_engine(name)
            engine.write_row(layers={"from": first, "target": last, "version": 1})
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, list(engine_by_name.values()))
        begins = engine_by_name["i-a"]
        begins.first_event_s = 30.0
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: bool(begins.runs))
        (stream,) = host.streams()
        stalled = stream.path[1].replica
        answer_other = begins.answer

        def answer(pending):
            if pending.request.path != "/report":
                answer_other(pending)
                return
            report = {"born": 1000, "sequence": 0, "busy": False, "running": 1}
            report |= {"queue_depth": 0, "kv_used": 1, "kv_total": 9, "pace": 1.0}
            report["stalled"] = [{"id": "a1", "address": stalled.address}]
            pending.caller.answer(200, b"", (), encode(report))

        begins.answer = answer
        deployment.run(lambda: len(begins.orders) > 0)
        (order,) = begins.orders
        assert order["op"] == "repath"
        assert stalled.address not in order["path"]
        assert b"id: " not in answered.data
