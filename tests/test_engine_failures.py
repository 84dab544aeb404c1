"""Engines that take no connections: the hosts tell each other.

Guards against each of many hosts losing requests to such an engine before it avoids it.
"""

import itertools

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import wait_for_placement
from wagtailstair.core import engine_failures as engine_failures_module
from wagtailstair.core.engine_failures import REPEAT_S
from wagtailstair.core.engine_failures import WINDOW_S
from wagtailstair.core.engine_failures import EngineFailures

ENGINE = ("i-e1", 1000)


class TestDecision:
    def test_one_host_is_no_proof(self):
        # The host that reports may itself be cut off.
        failures = EngineFailures()
        for step in range(10):
            assert not failures.record(ENGINE, "entry-1", step * 0.1)

    def test_two_hosts_are(self):
        failures = EngineFailures()
        assert not failures.record(ENGINE, "entry-1", 0.0)
        assert failures.record(ENGINE, "entry-2", 0.5)
        assert not failures.record(("i-e1", 1001), "entry-2", 0.5)

    def test_old_reports_do_not_count(self):
        failures = EngineFailures()
        failures.record(ENGINE, "entry-1", 0.0)
        assert not failures.record(ENGINE, "entry-2", WINDOW_S + 0.1)

    def test_own_reports_are_limited(self):
        failures = EngineFailures()
        assert failures.take_report(ENGINE, 0.0)
        assert not failures.take_report(ENGINE, REPEAT_S / 2)
        assert failures.take_report(ENGINE, REPEAT_S)

    def test_engines_are_bounded(self, monkeypatch):
        monkeypatch.setattr(engine_failures_module, "ENGINES_MAX", 3)
        failures = EngineFailures()
        for number in range(5):
            failures.record((f"i-{number}", 1), "entry-1", 0.0)
            failures.take_report((f"i-{number}", 1), 0.0)
        assert not failures.record(("i-0", 1), "entry-2", 0.0)
        assert failures.record(("i-4", 1), "entry-2", 0.0)


numbers = itertools.count()


def start(deployment):
    """Start engines that each hold all layers they can, and six hosts."""
    engines = [deployment.add_engine(f"i-e{n}") for n in range(8)]
    hosts = [deployment.add_host(f"entry-{n}") for n in range(6)]
    deployment.run(lambda: all(host.is_ready() for host in hosts))
    deployment.run(lambda: all(len(host.peers.live_hosts()) == 5 for host in hosts))
    wait_for_placement(deployment, engines)
    for engine in engines:
        engine.events = 1
    return engines, hosts


def lost_at(host, engine):
    """Return whether a host has found out for itself that an engine is down."""
    replica = host.replicas.by_name[engine.name]
    reported_at = host._engine_failures._reported_at_by_engine
    return host.settings.host.name in reported_at.get(replica.identity, {})


class TestHosts:
    @pytest.fixture
    def deployment(self):
        deployment = Deployment()
        config = make_config()
        # Each engine holds all layers, so that any may begin a path.
        config["services"][2]["engine"]["layer_mb"] = 100
        deployment.store.put("op", "config", config)
        return deployment

    def test_hosts_avoid_an_engine_that_two_others_can_not_reach(self, deployment):
        engines, hosts = start(deployment)
        faulty = engines[0]
        faulty.stop()
        for host in hosts[:2]:
            while not lost_at(host, faulty):
                request = make_stream(f"w{next(numbers)}", ("p1",))
                deployment.send_and_wait(host, request)
        deployment.run_for(0.1)
        for host in hosts[2:]:
            for _ in range(8):
                request = make_stream(f"s{next(numbers)}", ("p1",))
                assert deployment.send_and_wait(host, request).status == 200
            assert not lost_at(host, faulty)

    def test_hosts_do_not_avoid_an_engine_that_loses_answers(self, deployment):
        # Each engine may lose some: if all were avoided, no choice would be left.
        engines, hosts = start(deployment)
        faulty = engines[0]
        faulty.script = ["lose"] * 1000
        while len(faulty.runs) < 4:
            for host in hosts[:2]:
                request = make_stream(f"w{next(numbers)}", ("p1",))
                deployment.send_and_wait(host, request)
        deployment.run_for(0.1)
        replica = hosts[2].replicas.by_name[faulty.name]
        use = hosts[2].pipelines("engines").use(replica)
        assert use.suspect_until <= deployment.loop.now
