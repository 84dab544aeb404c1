import concurrent.futures
import http.client
import json
import os
import random
import threading

import pytest

from tests.engines import FakeRouteDispatcher
from tests.engines import end
from tests.engines import stream
from tests.engines import token
from tests.scripted import ScriptedServer
from wagtailstair.clock import SystemClock
from wagtailstair.core.grants import RefusalReason
from wagtailstair.core.keys import new_key
from wagtailstair.core.lists import Account
from wagtailstair.core.lists import Lists
from wagtailstair.core.lists import parse_plan
from wagtailstair.core.quota import ALLOWED
from wagtailstair.core.quota import Limited
from wagtailstair.core.retry import RetryBudget
from wagtailstair.exceptions import NotReadyError
from wagtailstair.http.app import App
from wagtailstair.http.context import Context
from wagtailstair.http.context import OpenRequests
from wagtailstair.http.server import Server
from wagtailstair.metrics import Metrics
from wagtailstair.relay import Relays
from wagtailstair.settings import parse_settings
from wagtailstair.upstreams.loop import Loop

WAIT_S = 20
SETTINGS = """
[host]
name = "host-1"
data_centre = "dc-1"
address = "127.0.0.1"
http_port = 0
peer_port = 0
[platform]
table = "http://127.0.0.1:1"
hosts = "http://127.0.0.1:1"
[limits]
body_bytes = 2000
header_bytes = 2000
open_requests = 4
"""
PLAN = {
    "priorities": ["standard", "batch"],
    "work_per_s": 1000.0,
    "max_concurrent": 4,
    "models": ["draft"],
    "services": {"entries": {"repeatable": ["GET"]}},
}
KEY = new_key(os.urandom)
BEARER = f"Bearer maker.{KEY.secret}"


class FakeQuota:
    def __init__(self):
        self.answer = ALLOWED
        self.settled = []

    def charge(self, account, request, work, limits):
        future = concurrent.futures.Future()
        future.set_result(self.answer)
        return future

    def settle(self, account, request, work):
        self.settled.append(work)


class Front:
    """A daemon's HTTP side with everything behind it under control."""

    def __init__(self):
        settings = parse_settings(SETTINGS)
        clock = SystemClock()
        self.lists = Lists(
            1,
            {"maker": parse_plan("maker", PLAN)},
            {"maker": Account("maker", "maker", (KEY.key,))},
        )
        self.dispatch = FakeRouteDispatcher()
        self.quota = FakeQuota()
        self.loop = Loop(clock)
        metrics = Metrics("host-1")
        relays = Relays(
            self.loop,
            self.dispatch,
            clock,
            settings.routing,
            "host-1",
            "dc-1",
            RetryBudget(),
            random.Random(1),
            on_attempt_failed=lambda engine: None,
        )
        self.context = Context(
            settings=settings,
            clock=clock,
            metrics=metrics,
            open_requests=OpenRequests(settings.limits.open_requests, metrics),
            lists=self.current,
            is_ready=lambda: self.lists is not None,
            status=lambda: {"host": "host-1"},
            data_centres_of=lambda model: ("dc-1",),
            relays=relays,
            services=None,
            quota=self.quota,
            peer_lists=lambda request: None,
        )
        self.server = Server("127.0.0.1", 0, 4)
        self.server.app = App(self.context)
        self.loop.start()
        relays.start()
        self.server.start()

    def current(self):
        if self.lists is None:
            raise NotReadyError("no lists yet")
        return self.lists

    def ask(self, method, path, body=None, **headers):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.server.server_port, timeout=WAIT_S
        )
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        sent.setdefault("Authorization", BEARER)
        raw = None if body is None else json.dumps(body)
        connection.request(method, path, raw, sent)
        response = connection.getresponse()
        return response, response.read()

    def complete(self, body=None, **headers):
        whole = {"model": "draft", "prompt": "hello", "max_tokens": 3}
        whole.update(body or {})
        return self.ask("POST", "/v1/completions", whole, **headers)

    def stop(self):
        self.server.close()
        assert self.server.wait_idle(WAIT_S)
        self.loop.stop()


@pytest.fixture
def front():
    front = Front()
    yield front
    front.stop()


def engine_for(front, *extra):
    def script(connection, request):
        # The request's id is known from the want that the front sent.
        request_id = front.dispatch.route_requests[-1][1].request
        ids = {"r": request_id, "a": f"{request_id}.1"}
        lines = [token(p, 1, **ids) for p in range(3)] + [{**end(3, 1), **ids}]
        stream(*lines)(connection, request)

    return ScriptedServer(script, *extra)


def error_of(answer):
    response, body = answer
    return response.status, json.loads(body)["error"]


class TestCompletions:
    def test_whole(self, front):
        with engine_for(front) as engine:
            front.dispatch.addresses.append(engine.address)
            response, body = front.complete()
        answer = json.loads(body)
        assert response.status == 200
        assert answer["choices"][0]["text"] == " t0 t1 t2"
        assert answer["usage"]["completion_tokens"] == 3
        assert front.quota.settled == [3.125]

    def test_streamed(self, front):
        with engine_for(front) as engine:
            front.dispatch.addresses.append(engine.address)
            response, body = front.complete({"stream": True})
        events = [
            line[6:] for line in body.decode().split("\n") if line[:6] == "data: "
        ]
        texts = [json.loads(e)["choices"][0]["text"] for e in events[:-1]]
        assert response.status == 200
        assert "".join(texts) == " t0 t1 t2"
        assert events[-1] == "[DONE]"
        assert front.quota.settled == [3.125]
        assert front.context.open_requests.count == 0

    def test_broken_stream_ends_with_a_typed_error(self, front):
        def cut(connection, request):
            want = front.dispatch.route_requests[-1][1]
            ids = {"r": want.request, "a": f"{want.request}.1"}
            stream(token(0, 1, **ids), is_complete=False)(connection, request)

        with ScriptedServer(cut) as engine:
            front.dispatch.addresses += [engine.address, RefusalReason.QUEUE_FULL]
            _, body = front.complete({"stream": True})
        last = body.decode().strip().split("\n\n")[-1]
        error = json.loads(last.removeprefix("data: "))["error"]
        assert (error["code"], error["outcome"]) == ("overloaded", "unknown")

    def test_refused_stream_is_an_http_error(self, front):
        front.dispatch.addresses.append(RefusalReason.DEADLINE)
        answer = front.complete({"stream": True})
        assert answer[0].getheader("Retry-After") == "2"
        assert answer[0].getheader("X-Outcome") == "not_run"
        status, error = error_of(answer)
        assert (status, error["code"]) == (503, "overloaded")
        assert front.context.open_requests.count == 0

    def test_caller_who_leaves_takes_the_want_back(self, front):
        connection = http.client.HTTPConnection("127.0.0.1", front.server.server_port)
        body = json.dumps({"model": "draft", "prompt": "x", "stream": True})
        headers = {"Authorization": BEARER}
        connection.request("POST", "/v1/completions", body, headers)
        while not front.dispatch.route_requests:
            threading.Event().wait(0.005)
        connection.close()
        for _ in range(2000):
            if front.dispatch.cancelled:
                break
            threading.Event().wait(0.005)
        want = front.dispatch.route_requests[0][1]
        assert front.dispatch.cancelled == [(want.request, 1)]

    @pytest.mark.parametrize(
        ("asked", "granted"), [("urgent", 1), ("standard", 1), ("batch", 2), ("", 1)]
    )
    def test_priority_is_bounded_by_the_plan(self, front, asked, granted):
        front.dispatch.addresses.append(RefusalReason.DEADLINE)
        front.complete(X_Priority=asked)
        assert front.dispatch.route_requests[0][1].priority == granted


class TestRefusals:
    @pytest.mark.parametrize(
        ("body", "headers", "status", "code"),
        [
            ({}, {"Authorization": "Bearer maker.wrong"}, 401, "not_authenticated"),
            ({}, {"Authorization": "Bearer nobody.x"}, 401, "not_authenticated"),
            ({}, {"Authorization": ""}, 401, "not_authenticated"),
            ({"model": "other"}, {}, 403, "not_entitled"),
            ({"max_tokens": 0}, {}, 400, "invalid_request"),
            ({"max_tokens": "many"}, {}, 400, "invalid_request"),
            ({"prompt": None}, {}, 400, "invalid_request"),
            ({"prompt": "x" * 3000}, {}, 413, "request_too_large"),
            ({}, {"X_Long": "x" * 3000}, 413, "request_too_large"),
            ({}, {"X_Timeout": "soon"}, 400, "invalid_request"),
            ({}, {"X_Timeout": "-1"}, 400, "invalid_request"),
            ({}, {"X_Timeout": "nan"}, 400, "invalid_request"),
            ({}, {"X_Priority": "high"}, 400, "invalid_request"),
        ],
    )
    def test_says_not_run_and_asks_no_pool(self, front, body, headers, status, code):
        got, error = error_of(front.complete(body, **headers))
        assert (got, error["code"], error["outcome"]) == (status, code, "not_run")
        assert front.dispatch.route_requests == []
        assert front.context.open_requests.count == 0

    def test_over_a_limit(self, front):
        front.quota.answer = Limited("rate", 3.2)
        answer = front.complete()
        assert answer[0].getheader("Retry-After") == "4"
        assert error_of(answer)[0] == 429

    def test_without_lists(self, front):
        front.lists = None
        status, error = error_of(front.complete())
        assert (status, error["code"]) == (503, "not_ready")

    def test_unknown_path(self, front):
        status, error = error_of(front.ask("GET", "/nowhere"))
        assert (status, error["code"]) == (404, "not_found")

    def test_service_outside_the_plan(self, front):
        status, error = error_of(front.ask("GET", "/v1/services/other/x"))
        assert (status, error["code"]) == (404, "not_found")

    def test_quoted_slash_in_the_name_of_a_service(self, front):
        answer = front.ask("GET", "/v1/services/entries%2Fx/y")
        assert error_of(answer)[1]["code"] == "invalid_request"

    def test_call_that_may_not_be_repeated_needs_a_key(self, front):
        status, error = error_of(front.ask("POST", "/v1/services/entries/x", {}))
        assert (status, error["code"]) == (400, "invalid_request")

    def test_open_requests_are_bounded(self, front):
        for _ in range(4):
            front.context.open_requests.enter()
        status, error = error_of(front.complete())
        assert (status, error["code"]) == (503, "overloaded")


class TestOperators:
    def test_probes_metrics_and_status(self, front):
        assert front.ask("GET", "/livez")[0].status == 200
        assert front.ask("GET", "/readyz")[0].status == 200
        front.complete({"model": "other"})
        _, text = front.ask("GET", "/metrics")
        assert b'wagtailstair_errors{code="not_entitled",host="host-1"} 1' in text
        status = json.loads(front.ask("GET", "/status")[1])
        assert status == {"host": "host-1", "open_requests": 0}

    def test_not_ready_without_lists(self, front):
        front.lists = None
        assert front.ask("GET", "/readyz")[0].status == 503
        assert front.ask("GET", "/livez")[0].status == 200
