"""Upstreams that stop in the middle of an answer's head and close in order.

What has arrived of the head may look like that of a success without a body.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement

# Within the status line, after it, within a header, and all but the empty line; 0
# stands for that.
STEPS = [f"half head {length}" for length in (5, 17, 30, 45, 0)]


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config()
    config["routes"][2].update(service="desk", split=None)
    deployment.store.put("op", "config", config)
    return deployment


@pytest.mark.parametrize("step", STEPS)
class TestHalfHead:
    def test_call_that_may_not_be_repeated_fails(self, deployment, step):
        desk = deployment.add_service("i-one")
        host = deployment.add_host()
        deployment.run(host.is_ready)
        desk.script = [step]
        request = make_request("/register/7", "a1", method="POST")
        assert deployment.send_and_wait(host, request).status == 502
        assert desk.runs == ["a1"]

    def test_idempotent_call_is_sent_again(self, deployment, step):
        desks = [deployment.add_service("i-one"), deployment.add_service("i-two")]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        for desk in desks:
            desk.script = [step]
        assert (
            deployment.send_and_wait(host, make_request("/lookup/7", "a1")).status
            == 502
        )
        answered = deployment.send_and_wait(host, make_request("/lookup/7", "a2"))
        assert (answered.status, answered.body) == (200, b"body of a2")

    def test_stream_goes_on_at_another_engine(self, deployment, step):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(8)]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        # The first attempt alone ends in its head.
        script = [step]
        for engine in engines:
            engine.script = script
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert (answered.status, answered.body) == (200, EVENTS)
        assert not script
