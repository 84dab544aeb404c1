"""A faulty upstream writes an earlier answer once more on a kept connection.

The copy arrives where the answer to the next request is expected. It must not become
that request's answer: a copied refusal would promise that the request has not run.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import runs
from tests.test_gateway import wait_for_placement

REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def make_copy(attempt):
    """Return a refusal of an attempt, as it was written before."""
    return REFUSAL.replace(b"\r\n", b"\r\nX-Attempt-Id: " + attempt + b"\r\n", 1)


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config()
    # A stream that may not run twice.
    config["routes"][0]["can_resume"] = False
    # All lookups go to one service, so that they share a connection.
    del config["routes"][2]["split"]
    config["routes"][2]["service"] = "desk"
    deployment.store.put("op", "config", config)
    return deployment


@pytest.fixture
def engines(deployment):
    return [deployment.add_engine(f"i-e{n}") for n in range(2)]


@pytest.fixture
def host(deployment, engines):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    wait_for_placement(deployment, engines)
    return host


def head_of(engines):
    (head,) = [engine for engine in engines if engine.runs]
    return head


class TestCopiedRefusals:
    def test_refusal_without_an_id_is_no_promise_for_the_next_stream(
        self, deployment, engines, host
    ):
        deployment.send_and_wait(host, make_stream("a1"))
        head = head_of(engines)
        head.copies = [REFUSAL]
        answered = deployment.send_and_wait(host, make_stream("a2"))
        # The upstream has run it: no promise, and no second run.
        assert runs(engines).count("a2") == 1
        assert answered.is_closed or answered.status in (200, 502, 504)

    def test_refusal_of_an_earlier_request_is_skipped(self, deployment, engines, host):
        deployment.send_and_wait(host, make_stream("a1"))
        head = head_of(engines)
        head.copies = [make_copy(b"a1")]
        answered = deployment.send_and_wait(host, make_stream("a2"))
        assert answered.status == 200
        assert answered.body == EVENTS
        assert runs(engines).count("a2") == 1

    def test_second_attempt_does_not_take_the_refusal_of_the_first(
        self, deployment, engines, host
    ):
        # Both attempts bear the same id, so a copy on one connection can't be told.
        deployment.send_and_wait(host, make_stream("a1"))
        head = head_of(engines)
        head.script = ["refuse"]
        deployment.send_and_wait(host, make_stream("a2"))
        connections = [number for number, attempt in head.arrivals if attempt == "a2"]
        assert len(connections) == 2
        assert len(set(connections)) == 2


class TestCopiedAnswers:
    def test_next_caller_gets_its_own_answer(self, deployment, engines, host):
        desk = deployment.add_service("i-desk")
        deployment.run(lambda: "i-desk" in host.replicas.by_name)
        deployment.send_and_wait(host, make_request("/lookup/1", "b1"))
        copied = (
            b"HTTP/1.1 200 Fine\r\nX-Attempt-Id: b1\r\nX-Response-Signature: sig\r\n"
        )
        desk.copies = [copied + b"Content-Length: 10\r\n\r\nbody of b1"]
        answered = deployment.send_and_wait(host, make_request("/lookup/2", "b2"))
        assert answered.status == 200
        assert answered.body == b"body of b2"
