"""A planned stop under load must not cut requests that were just accepted.

They arrive between the signal and the moment at which the balancer and the callers
notice it, on kept connections and on new ones.
"""

import msgspec
import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import wait_for_placement

REQUESTS = 40
GRACE_S = 1.0


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config())
    return deployment


@pytest.fixture
def desk(deployment):
    deployment.add_service("i-desk2").write_row(service="desk2")
    return deployment.add_service("i-desk")


@pytest.fixture
def engines(deployment):
    return [deployment.add_engine(f"i-e{n}") for n in range(4)]


@pytest.fixture
def host(deployment, desk, engines):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    wait_for_placement(deployment, engines)
    return host


def lookup(number):
    return make_request(f"/lookup/{number}", f"b{number}")


def wait_for_all(deployment, sent):
    deployment.run(lambda: all(c.is_complete or c.is_closed for c in sent), 15)


class TestEndOfTheGrace:
    """Requests that were taken and are not answered when the process has to end."""

    @pytest.fixture(autouse=True)
    def short_grace(self, host):
        shutdown = msgspec.structs.replace(host.settings.shutdown, grace_s=GRACE_S)
        host.settings = msgspec.structs.replace(host.settings, shutdown=shutdown)

    @pytest.mark.parametrize(
        "request_data",
        [
            make_request("/register/7", "a1", method="POST"),
            lookup(1),
            make_stream("a2"),
        ],
        ids=["call", "idempotent call", "stream"],
    )
    def test_request_without_an_answer_gets_one(
        self, deployment, desk, engines, host, request_data
    ):
        for upstream in deployment.upstreams:
            upstream.script = ["silent"] * 9
        answered = deployment.send(host, request_data)
        deployment.run(lambda: any(upstream.runs for upstream in deployment.upstreams))
        host.drain()
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.status in (502, 504)
        assert answered.is_complete
        assert not answered.is_reset

    def test_stream_that_has_begun_does_not_look_complete(
        self, deployment, engines, host
    ):
        for engine in engines:
            engine.freeze_after = 3
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 3\n" in answered.data)
        host.drain()
        deployment.run(lambda: answered.is_closed)
        assert not answered.is_complete


class TestPlannedStop:
    def test_requests_written_before_the_signal_are_answered(
        self, deployment, desk, host
    ):
        sent = [deployment.send(host, lookup(n)) for n in range(REQUESTS)]
        host.drain()
        wait_for_all(deployment, sent)
        assert [c.status for c in sent if c.is_complete] == [200] * REQUESTS

    def test_new_connections_after_the_signal_are_answered(
        self, deployment, desk, host
    ):
        host.drain()
        sent = []
        for number in range(REQUESTS):
            deployment.loop.call_later(
                number * 0.05,
                lambda number=number: sent.append(
                    deployment.send(host, lookup(number))
                ),
            )
        deployment.run(lambda: len(sent) == REQUESTS, 5)
        wait_for_all(deployment, sent)
        assert [c.status for c in sent if c.is_complete] == [200] * REQUESTS

    def test_streams_accepted_just_before_the_last_moment_are_finished(
        self, deployment, engines, host
    ):
        for engine in engines:
            engine.events, engine.pause_s = 20, 0.1
        host.drain()
        sent = []
        for delay_s in (0.5, 1.5, 2.4):
            deployment.loop.call_later(
                delay_s,
                lambda delay_s=delay_s: sent.append(
                    deployment.send(host, make_stream(f"a{delay_s}"))
                ),
            )
        deployment.run(lambda: len(sent) == 3, 5)
        wait_for_all(deployment, sent)
        assert all(c.is_complete and b"id: 20\n" in c.data for c in sent)

    def test_request_after_that_is_refused_and_not_cut(self, deployment, engines, host):
        for engine in engines:
            engine.events, engine.pause_s = 60, 0.08
        open_stream = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 1\n" in open_stream.data)
        host.drain()
        late = []
        deployment.loop.call_later(
            3.0, lambda: late.append(deployment.send(host, lookup(1)))
        )
        deployment.run(lambda: bool(late), 5)
        wait_for_all(deployment, late)
        assert late[0].status == 503
        wait_for_all(deployment, [open_stream])
        assert open_stream.is_complete
