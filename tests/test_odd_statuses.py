"""Answers whose status is none that HTTP has.

A status from 600 on was passed on to the caller as an answer, and one below 100 was
taken for an interim answer, so that the request waited until its deadline.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.scripted import ScriptedServer
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from wagtailstair.clock import SystemClock
from wagtailstair.upstreams.loop import Loop
from wagtailstair.upstreams.transfer import TransferOutcome
from wagtailstair.upstreams.transfer import TransferRequest
from wagtailstair.upstreams.transfer import start_exchange

STATUSES = ["000", "001", "099", "600", "999"]
AT_ONCE_S = 0.5
"""Longest time for a failure of all attempts; the deadlines are 1.2 s and 20 s."""


@pytest.fixture
def deployment():
    return Deployment()


def ask(deployment, host, request):
    """Send a request; return its answer and the seconds that it took."""
    asked_at = deployment.loop.now
    answered = deployment.send_and_wait(host, request)
    return answered, deployment.loop.now - asked_at


class TestServices:
    @pytest.fixture
    def services(self, deployment):
        config = make_config()
        config["routes"][2].update(service="desk", split=None)
        deployment.store.put("op", "config", config)
        return [deployment.add_service(f"i-d{number}") for number in range(2)]

    @pytest.fixture
    def host(self, deployment, services):
        host = deployment.add_host()
        deployment.run(host.is_ready)
        deployment.run(lambda: len(host.replicas.usable("desk")) == len(services))
        return host

    @pytest.mark.parametrize("status", [*STATUSES, "101"])
    def test_request_goes_to_another_upstream(self, deployment, services, host, status):
        for number in range(6):
            services[0].script = [f"status {status}"]
            request = make_request("/lookup/1", f"a{number}")
            answered, took_s = ask(deployment, host, request)
            assert answered.status == 200
            assert took_s < AT_ONCE_S

    @pytest.mark.parametrize("status", [*STATUSES, "101"])
    @pytest.mark.parametrize(("path", "runs"), [("/lookup/1", 2), ("/register/1", 1)])
    def test_status_of_all_upstreams_is_not_passed_on(
        self, deployment, services, host, status, path, runs
    ):
        for service in services:
            service.script = [f"status {status}"] * 9
        method = "GET" if runs > 1 else "POST"
        request = make_request(path, "a1", method=method)
        answered, took_s = ask(deployment, host, request)
        assert answered.status == 502
        assert b"odd" not in answered.data
        assert took_s < AT_ONCE_S
        assert sum(len(service.runs) for service in services) == runs


class TestEngines:
    @pytest.fixture
    def engines(self, deployment):
        deployment.store.put("op", "config", make_config_of_whole_engines())
        return [deployment.add_engine(f"i-e{number}") for number in range(4)]

    @pytest.fixture
    def host(self, deployment, engines):
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        return host

    @pytest.mark.parametrize("status", STATUSES)
    def test_stream_goes_to_another_engine(self, deployment, engines, host, status):
        for number in range(4):
            engines[0].script = [f"status {status}"]
            answered, took_s = ask(deployment, host, make_stream(f"a{number}"))
            assert answered.body == EVENTS
            assert took_s < AT_ONCE_S + 0.2

    @pytest.mark.parametrize("status", STATUSES)
    def test_status_of_all_engines_is_not_passed_on(
        self, deployment, engines, host, status
    ):
        for engine in engines:
            engine.script = [f"status {status}"] * 9
        answered, took_s = ask(deployment, host, make_stream("a1"))
        assert answered.status == 502
        assert took_s < AT_ONCE_S


class TestDaemon:
    @pytest.fixture
    def loop(self):
        loop = Loop(SystemClock())
        loop.start()
        yield loop
        loop.stop()

    @pytest.mark.parametrize("status", STATUSES)
    def test_answer_is_lost(self, loop, status):
        def respond(connection, _request):
            head = f"HTTP/1.1 {status} X\r\nContent-Length: 3\r\n\r\nodd"
            connection.sendall(head.encode())

        with ScriptedServer(respond) as server:
            request = TransferRequest("POST", f"http://{server.address}/x", body=b"{}")
            end = start_exchange(loop, request).result(20)
        assert end.sent is TransferOutcome.LOST
