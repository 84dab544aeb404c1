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


class HttpSide:
    """A daemon's HTTP side with a fake dispatcher and fake quotas behind it."""

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
            lists=self.current_lists,
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

    def current_lists(self):
        if self.lists is None:
            raise NotReadyError("no lists yet")
        return self.lists

    def send_request(self, method, path, body=None, **headers):
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
        payload = {"model": "draft", "prompt": "hello", "max_tokens": 3}
        payload.update(body or {})
        return self.send_request("POST", "/v1/completions", payload, **headers)

    def stop(self):
        self.server.close()
        assert self.server.wait_idle(WAIT_S)
        self.loop.stop()


@pytest.fixture
def http_side():
    http_side = HttpSide()
    yield http_side
    http_side.stop()


def engine_for(http_side, *extra):
    def script(connection, request):
        # An engine's lines carry the id of the request that was dispatched.
        request_id = http_side.dispatch.route_requests[-1][1].request
        ids = {"r": request_id, "a": f"{request_id}.1"}
        lines = [token(p, 1, **ids) for p in range(3)] + [{**end(3, 1), **ids}]
        stream(*lines)(connection, request)

    return ScriptedServer(script, *extra)


def error_of(answer):
    response, body = answer
    return response.status, json.loads(body)["error"]


class TestCompletions:
    def test_response_that_is_not_streamed(self, http_side):
        with engine_for(http_side) as engine:
            http_side.dispatch.addresses.append(engine.address)
            response, body = http_side.complete()
        answer = json.loads(body)
        assert response.status == 200
        assert answer["choices"][0]["text"] == " t0 t1 t2"
        assert answer["usage"]["completion_tokens"] == 3
        assert http_side.quota.settled == [3.125]

    def test_streamed_response(self, http_side):
        with engine_for(http_side) as engine:
            http_side.dispatch.addresses.append(engine.address)
            response, body = http_side.complete({"stream": True})
        events = [
            line[6:] for line in body.decode().split("\n") if line[:6] == "data: "
        ]
        texts = [json.loads(e)["choices"][0]["text"] for e in events[:-1]]
        assert response.status == 200
        assert "".join(texts) == " t0 t1 t2"
        assert events[-1] == "[DONE]"
        assert http_side.quota.settled == [3.125]
        assert http_side.context.open_requests.count == 0

    def test_interrupted_stream_ends_with_a_typed_error(self, http_side):
        def break_stream(connection, request):
            route_request = http_side.dispatch.route_requests[-1][1]
            ids = {"r": route_request.request, "a": f"{route_request.request}.1"}
            stream(token(0, 1, **ids), is_complete=False)(connection, request)

        with ScriptedServer(break_stream) as engine:
            http_side.dispatch.addresses += [engine.address, RefusalReason.QUEUE_FULL]
            _, body = http_side.complete({"stream": True})
        last = body.decode().strip().split("\n\n")[-1]
        error = json.loads(last.removeprefix("data: "))["error"]
        assert (error["code"], error["outcome"]) == ("overloaded", "unknown")

    def test_refused_stream_is_an_http_error(self, http_side):
        http_side.dispatch.addresses.append(RefusalReason.DEADLINE)
        answer = http_side.complete({"stream": True})
        assert answer[0].getheader("Retry-After") == "2"
        assert answer[0].getheader("X-Outcome") == "not_run"
        status, error = error_of(answer)
        assert (status, error["code"]) == (503, "overloaded")
        assert http_side.context.open_requests.count == 0

    def test_disconnect_cancels_the_route_request(self, http_side):
        connection = http.client.HTTPConnection(
            "127.0.0.1", http_side.server.server_port
        )
        body = json.dumps({"model": "draft", "prompt": "x", "stream": True})
        headers = {"Authorization": BEARER}
        connection.request("POST", "/v1/completions", body, headers)
        while not http_side.dispatch.route_requests:
            threading.Event().wait(0.005)
        connection.close()
        for _ in range(2000):
            if http_side.dispatch.cancelled:
                break
            threading.Event().wait(0.005)
        route_request = http_side.dispatch.route_requests[0][1]
        assert http_side.dispatch.cancelled == [(route_request.request, 1)]

    @pytest.mark.parametrize(
        ("requested", "granted"),
        [("urgent", 1), ("standard", 1), ("batch", 2), ("", 1)],
    )
    def test_priority_is_bounded_by_the_plan(self, http_side, requested, granted):
        http_side.dispatch.addresses.append(RefusalReason.DEADLINE)
        http_side.complete(X_Priority=requested)
        assert http_side.dispatch.route_requests[0][1].priority == granted


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
    def test_outcome_is_not_run_and_no_route_is_requested(
        self, http_side, body, headers, status, code
    ):
        got, error = error_of(http_side.complete(body, **headers))
        assert (got, error["code"], error["outcome"]) == (status, code, "not_run")
        assert http_side.dispatch.route_requests == []
        assert http_side.context.open_requests.count == 0

    def test_rate_limit_is_a_429_with_retry_after(self, http_side):
        http_side.quota.answer = Limited("rate", 3.2)
        answer = http_side.complete()
        assert answer[0].getheader("Retry-After") == "4"
        assert error_of(answer)[0] == 429

    def test_completion_without_lists_is_refused(self, http_side):
        http_side.lists = None
        status, error = error_of(http_side.complete())
        assert (status, error["code"]) == (503, "not_ready")

    def test_unknown_path(self, http_side):
        status, error = error_of(http_side.send_request("GET", "/nowhere"))
        assert (status, error["code"]) == (404, "not_found")

    def test_service_that_is_not_in_the_plan(self, http_side):
        status, error = error_of(http_side.send_request("GET", "/v1/services/other/x"))
        assert (status, error["code"]) == (404, "not_found")

    def test_encoded_slash_in_a_service_name(self, http_side):
        answer = http_side.send_request("GET", "/v1/services/entries%2Fx/y")
        assert error_of(answer)[1]["code"] == "invalid_request"

    def test_call_that_is_not_repeatable_needs_an_idempotency_key(self, http_side):
        status, error = error_of(
            http_side.send_request("POST", "/v1/services/entries/x", {})
        )
        assert (status, error["code"]) == (400, "invalid_request")

    def test_open_requests_are_bounded(self, http_side):
        for _ in range(4):
            http_side.context.open_requests.enter()
        status, error = error_of(http_side.complete())
        assert (status, error["code"]) == (503, "overloaded")


class TestOperators:
    def test_probes_metrics_and_status(self, http_side):
        assert http_side.send_request("GET", "/livez")[0].status == 200
        assert http_side.send_request("GET", "/readyz")[0].status == 200
        http_side.complete({"model": "other"})
        _, text = http_side.send_request("GET", "/metrics")
        assert b'wagtailstair_errors{code="not_entitled",host="host-1"} 1' in text
        status = json.loads(http_side.send_request("GET", "/status")[1])
        assert status == {"host": "host-1", "open_requests": 0}

    def test_not_ready_without_lists(self, http_side):
        http_side.lists = None
        assert http_side.send_request("GET", "/readyz")[0].status == 503
        assert http_side.send_request("GET", "/livez")[0].status == 200
