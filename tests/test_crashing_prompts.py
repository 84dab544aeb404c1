"""Requests whose prompts have a part that crashes each engine that answers them.

Such a request comes at any host, with other parts beside that one. If it is sent on,
it ends one engine after another, with all streams that begin there.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement

DEADLY = "dead"


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config()
    # Each engine holds all layers, so that any may begin a path.
    config["services"][2]["engine"]["layer_mb"] = 100
    deployment.store.put("op", "config", config)
    return deployment


@pytest.fixture
def engines(deployment):
    engines = [deployment.add_engine(f"i-e{n}") for n in range(12)]
    for engine in engines:
        engine.deadly_part = DEADLY
        engine.restart_s = 60.0
    return engines


@pytest.fixture
def hosts(deployment, engines):
    hosts = [deployment.add_host(f"entry-{n}") for n in (1, 2, 3)]
    deployment.run(lambda: all(host.is_ready() for host in hosts))
    deployment.run(lambda: all(len(host.peers.live_hosts()) == 2 for host in hosts))
    wait_for_placement(deployment, engines)
    return hosts


def count_ends(engines):
    return sum(engine.ends for engine in engines)


def arrivals(engines):
    return [attempt for engine in engines for _, attempt in engine.arrivals]


def send_deadly(deployment, host, attempt, first="p1"):
    request = make_stream(attempt, (first, DEADLY))
    return deployment.send_and_wait(host, request)


class TestOneRequest:
    def test_request_that_ended_an_engine_is_not_sent_to_another(
        self, deployment, engines, hosts
    ):
        answered = send_deadly(deployment, hosts[0], "a1")
        assert answered.status == 502
        assert count_ends(engines) == 1

    def test_sound_request_is_sent_again_if_its_engine_ends(
        self, deployment, engines, hosts
    ):
        # Its parts are known to be sound, as an answer with them has begun.
        first = deployment.send_and_wait(hosts[0], make_stream("a1", ("p1",)))
        assert first.body == EVENTS
        for engine in engines:
            engine.first_event_s = 0.2
        answered = deployment.send(hosts[0], make_stream("a2", ("p1",)))
        deployment.run(lambda: "a2" in arrivals(engines))
        next(e for e in engines if "a2" in e.runs).crash()
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.body == EVENTS


class TestManyRequests:
    def crash_two(self, deployment, engines, hosts):
        """Let such requests at two hosts end an engine each."""
        for number, host in enumerate(hosts[:2]):
            send_deadly(deployment, host, f"d{number}", f"p{number}")
        deployment.run(lambda: count_ends(engines) >= 2)

    def test_later_requests_with_the_part_are_refused_by_all_hosts(
        self, deployment, engines, hosts
    ):
        self.crash_two(deployment, engines, hosts)
        deployment.run_for(0.5)
        before = len(arrivals(engines))
        for number, host in enumerate(hosts):
            answered = send_deadly(deployment, host, f"e{number}", f"q{number}")
            assert answered.status == 503
            assert b"Retry-After: " in answered.data
        assert len(arrivals(engines)) == before
        assert count_ends(engines) == 2

    def test_sound_requests_with_the_other_parts_are_served(
        self, deployment, engines, hosts
    ):
        self.crash_two(deployment, engines, hosts)
        for number, host in enumerate(hosts):
            for part in ("p0", "p1"):
                request = make_stream(f"s{number}{part}", (part,))
                assert deployment.send_and_wait(host, request).body == EVENTS

    def test_host_that_starts_later_refuses_the_part(self, deployment, engines, hosts):
        self.crash_two(deployment, engines, hosts)
        deployment.run_for(0.5)
        late = deployment.add_host("entry-4")
        deployment.run(lambda: late.is_ready() and late.peers.live_hosts())
        deployment.run_for(1.0)
        assert send_deadly(deployment, late, "d8").status == 503
        assert count_ends(engines) == 2

    def test_request_in_progress_with_the_part_is_cancelled(
        self, deployment, engines, hosts
    ):
        sent = []
        for engine in engines:
            engine.answer_after_s = 1.0
        for number, host in enumerate(hosts):
            request = make_stream(f"d{number}", (f"p{number}", DEADLY))
            sent.append(deployment.send(host, request))
            deployment.run_for(0.2)
        deployment.run(lambda: all(a.is_complete or a.is_closed for a in sent))
        # The third would have ended its engine 0.2 s after the second.
        assert count_ends(engines) == 2
        assert [answered.status for answered in sent] == [502] * 3
