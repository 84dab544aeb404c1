"""Upstreams that say in their answers that they leave, while their rows don't.

The store may be away, or the row late: the answer is then the only word on it.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config()
    config["routes"][2].update(service="desk", split=None)
    deployment.store.put("op", "config", config)
    return deployment


@pytest.fixture
def desks(deployment):
    return [deployment.add_service("i-one"), deployment.add_service("i-two")]


@pytest.fixture
def host(deployment, desks):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    return host


def call_until_seen(deployment, host, desk):
    send_at_once(deployment, host)
    assert desk.arrivals


def send_at_once(deployment, host):
    """Send calls at the same time, so that all upstreams get some."""
    requests = [make_request("/lookup/1", f"u{number}") for number in range(12)]
    sent = [deployment.send(host, request) for request in requests]
    deployment.run(lambda: all(one.is_complete for one in sent))
    return [one.status for one in sent]


class TestPlainService:
    @pytest.mark.parametrize("step", ["ok", "refuse", "error", "not found"])
    def test_upstream_that_says_it_leaves_gets_no_more(
        self, deployment, desks, host, step
    ):
        leaving, other = desks
        deployment.store.mode = "silent"
        leaving.is_leaving = True
        leaving.script = [step] * 12
        call_until_seen(deployment, host, leaving)
        before = len(leaving.arrivals)
        assert send_at_once(deployment, host) == [200] * 12
        assert len(leaving.arrivals) == before
        assert other.runs

    def test_older_row_does_not_revive_it(self, deployment, desks, host):
        leaving = desks[0]
        leaving.is_leaving = True
        call_until_seen(deployment, host, leaving)
        before = len(leaving.arrivals)
        leaving.write_row(sequence=2)
        deployment.store.put("servers", leaving.name, None)
        deployment.run(lambda: leaving.name not in host.replicas.by_name)
        leaving.write_row(sequence=3)
        deployment.run(lambda: leaving.name in host.replicas.by_name)
        send_at_once(deployment, host)
        assert len(leaving.arrivals) == before

    def test_next_incarnation_serves_at_once(self, deployment, desks, host):
        leaving, other = desks
        leaving.is_leaving = True
        call_until_seen(deployment, host, leaving)
        leaving.is_leaving = False
        leaving.write_row(born=2000)
        other.write_row(state="draining")
        deployment.run(lambda: len(host.replicas.usable("desk")) == 1)
        answered = deployment.send_and_wait(host, make_request("/lookup/1", "b1"))
        assert answered.status == 200
        assert "b1" in leaving.runs

    @pytest.mark.parametrize("value", [b"", b"0", b"x"])
    def test_other_values_mean_nothing(self, deployment, desks, host, value):
        for desk in desks:
            desk.notices = lambda: [(b"Server-Leaving", value)]
        for number in range(4):
            request = make_request("/lookup/1", f"b{number}")
            assert deployment.send_and_wait(host, request).status == 200
        assert len(host.replicas.usable("desk")) == 2


class TestEngines:
    def test_engine_that_says_it_leaves_begins_no_more_streams(self, deployment):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(8)]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        heads = [engine for engine in engines if engine.row["layers"]["from"] == 0]
        assert len(heads) > 1
        deployment.store.mode = "silent"
        leaving = heads[0]
        leaving.is_leaving = True
        for number in range(50):
            answered = deployment.send_and_wait(host, make_stream(f"a{number}"))
            assert answered.body == EVENTS
            if leaving.runs:
                break
        before = len(leaving.arrivals)
        for number in range(20):
            answered = deployment.send_and_wait(host, make_stream(f"b{number}"))
            assert answered.body == EVENTS
        assert len(leaving.arrivals) == before
