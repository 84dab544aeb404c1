"""Deadly prompts while rows and addresses of the engines change with their crashes.

Evidence that is tied to a row or an address would be lost with it, and such requests
would end one engine after another for good.
"""

import itertools

import pytest

from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_data import make_engine_config
from tests.gateway_deployment import IP
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from wagtailstair.gateway.connection import listen

DEADLY = "dead"
ENDS_ALLOWED = 8
"""Documented crashes, five, and three more requests that may reach engines."""


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config_of_whole_engines())
    return deployment


@pytest.fixture
def engines(deployment):
    engines = [deployment.add_engine(f"i-e{n}") for n in range(8)]
    for engine in engines:
        engine.deadly_part = DEADLY
        engine.restart_s = 0.5
    return engines


@pytest.fixture
def hosts(deployment, engines):
    hosts = [deployment.add_host(f"entry-{n}") for n in (1, 2, 3)]
    deployment.run(lambda: all(host.is_ready() for host in hosts))
    deployment.run(lambda: all(len(host.peers.live_hosts()) == 2 for host in hosts))
    wait_for_placement(deployment, engines)
    return hosts


def remove_row(engine):
    engine.store.put("servers", engine.name, None)


def move(engine):
    """Let an engine come back at another address."""

    def listen_elsewhere():
        engine.socket = listen(engine.loop, (IP, 0), engine._on_accept)
        engine.port = engine.socket.getsockname()[1]
        engine.address = f"{IP}:{engine.port}"
        engine.row["address"] = engine.address

    engine.listen_again = listen_elsewhere


def count_ends(engines):
    return sum(engine.ends for engine in engines)


def play(deployment, engines, hosts):
    """Send deadly and sound requests; return the crashes after each turn."""
    turns = itertools.cycle(hosts)
    served, ends = 0, []
    for number in range(24):
        deadly = make_stream(f"d{number}", ("p1", DEADLY))
        deployment.send(next(turns), deadly)
        sound = []
        for turn in range(3):
            request = make_stream(f"s{number}x{turn}", ("p1",))
            sound.append(deployment.send(next(turns), request))
        deployment.run_for(0.25)
        if number >= 12:
            served += sum(answered.body == EVENTS for answered in sound)
        ends.append(count_ends(engines))
    return served, ends


class TestRows:
    @pytest.mark.parametrize("events", [-1, 0, 3])
    @pytest.mark.parametrize("is_moved", [False, True])
    @pytest.mark.parametrize("has_lapsed", [False, True])
    def test_deadly_requests_are_refused(
        self, deployment, engines, hosts, events, is_moved, has_lapsed
    ):
        for engine in engines:
            engine.deadly_events = events
            if is_moved:
                move(engine)
            if has_lapsed:
                end = engine.end

                def end_without_row(engine=engine, end=end):
                    remove_row(engine)
                    end()

                engine.end = end_without_row
        served, ends = play(deployment, engines, hosts)
        assert ends[-1] <= ENDS_ALLOWED
        assert ends[-1] == ends[11]
        assert served >= 0.9 * 36


class TestStoreAway:
    @pytest.mark.parametrize("mode", ["busy", "silent"])
    def test_deadly_requests_are_refused_without_the_store(
        self, deployment, engines, hosts, mode
    ):
        deployment.store.mode = mode
        served, ends = play(deployment, engines, hosts)
        assert ends[-1] <= ENDS_ALLOWED
        assert ends[-1] == ends[11]
        assert served >= 0.9 * 36


class TestTwoServices:
    """Two services of engines whose prompts have parts of the same names."""

    @pytest.fixture
    def deployment(self):
        deployment = Deployment()
        config = make_config_of_whole_engines()
        engine = dict(make_engine_config(), layer_mb=100)
        other = dict(config["services"][2], name="others", engine=engine)
        config["services"].append(other)
        route = dict(config["routes"][0], name="sum", prefix="/sum/", service="others")
        config["routes"].append(route)
        deployment.store.put("op", "config", config)
        return deployment

    def test_part_is_quarantined_for_its_service_alone(self, deployment, engines):
        others = [deployment.add_engine(f"i-o{n}") for n in range(4)]
        for other in others:
            other.write_row(service="others")
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, [*engines, *others])
        for number in range(3):
            request = make_stream(f"d{number}", ("p1", DEADLY))
            deployment.send_and_wait(host, request)
        ends = count_ends(engines)
        request = make_stream("d9", ("p1", DEADLY))
        assert deployment.send_and_wait(host, request).status == 503
        assert count_ends(engines) == ends
        other = make_stream("o1", ("p1", DEADLY)).replace(b"/draft/1", b"/sum/1")
        assert deployment.send_and_wait(host, other).body == EVENTS
