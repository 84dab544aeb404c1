"""Upstreams that name in their answers how many requests a second they take.

The number is that of all hosts together. A host that ignores it, or takes it for its
own, sends an upstream in need more than it asked for.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import wait_for_placement

LIMIT_PER_S = 5
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests in a window, as the users' rule has it."""

INTERVAL_S = 0.03


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config()
    # Each engine holds all layers, so that any may begin a path.
    config["services"][2]["engine"]["layer_mb"] = 100
    deployment.store.put("op", "config", config)
    return deployment


def add_hosts(deployment):
    hosts = [deployment.add_host(f"entry-{n}") for n in (1, 2, 3)]
    deployment.run(lambda: all(host.is_ready() for host in hosts))
    deployment.run(lambda: all(len(host.peers.live_hosts()) == 2 for host in hosts))
    return hosts


def send_steadily(deployment, hosts, make):
    """Send requests to all hosts in turn over a window; return the connections."""
    sent = []
    until = deployment.clock.monotonic() + WINDOW_S
    while deployment.clock.monotonic() < until:
        number = len(sent)
        sent.append(deployment.send(hosts[number % 3], make(f"a{number}")))
        deployment.run_for(INTERVAL_S)
    deployment.run(lambda: all(one.is_complete or one.is_closed for one in sent))
    return sent


class TestLimitOfAnEngine:
    def test_limited_engine_gets_no_more_than_it_takes(self, deployment):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(6)]
        hosts = add_hosts(deployment)
        wait_for_placement(deployment, engines)
        limited, *others = [e for e in engines if e.row["layers"]["from"] == 0]
        assert others
        limited.limit = b"%d.0" % LIMIT_PER_S
        for engine in engines:
            engine.events = 2
        sent = send_steadily(deployment, hosts, make_stream)
        assert len(limited.arrived_at) <= ALLOWED
        # The other engines have room for the rest.
        assert all(one.status == 200 for one in sent)

    def test_requests_beyond_all_limits_are_refused(self, deployment):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(2)]
        hosts = add_hosts(deployment)
        wait_for_placement(deployment, engines)
        for engine in engines:
            engine.limit = b"%d" % LIMIT_PER_S
            engine.events = 2
        sent = send_steadily(deployment, hosts, make_stream)
        for engine in engines:
            assert len(engine.arrived_at) <= ALLOWED
        refused = [one for one in sent if one.status == 503]
        assert refused
        assert all(b"Retry-After: " in one.data for one in refused)
        assert len([one for one in sent if one.status == 200]) > 2 * LIMIT_PER_S

    def test_report_without_the_limit_does_not_end_it(self, deployment):
        engine = deployment.add_engine("i-e0")
        hosts = add_hosts(deployment)
        wait_for_placement(deployment, [engine])
        engine.limit, engine.events = b"0.5", 2
        deployment.send_and_wait(hosts[0], make_stream("a1"))
        replica = hosts[0].replicas.by_name["i-e0"]
        hosts[0].find_stalled_engine(replica, "engines")
        deployment.run(lambda: any(r.path == "/report" for r in engine.seen))
        deployment.run_for(0.1)
        assert hosts[0].rate_limits.limit(replica.identity) == 0.5

    def test_limit_that_is_named_no_more_is_over(self, deployment):
        engine = deployment.add_engine("i-e0")
        hosts = add_hosts(deployment)
        wait_for_placement(deployment, [engine])
        engine.limit, engine.events = b"0.5", 2
        for number, host in enumerate(hosts):
            deployment.send_and_wait(host, make_stream(f"a{number}"))
        engine.limit = b""
        # The host's next request shows that the limit is over.
        deployment.run(
            lambda: deployment.send_and_wait(hosts[0], make_stream("b1")).status == 200
        )
        for number in range(5):
            answered = deployment.send_and_wait(hosts[0], make_stream(f"c{number}"))
            assert answered.status == 200


class TestLimitOfAPlainService:
    def test_limited_upstream_gets_no_more_than_it_takes(self, deployment):
        desks = [deployment.add_service(f"i-{n}") for n in range(2)]
        hosts = add_hosts(deployment)
        for desk in desks:
            desk.limit = b"%d" % LIMIT_PER_S
        sent = send_steadily(
            deployment,
            hosts,
            lambda attempt: make_request("/register/7", attempt, method="POST"),
        )
        for desk in desks:
            assert len(desk.arrived_at) <= ALLOWED
        refused = [one for one in sent if one.status == 503]
        assert refused
        assert all(b"Retry-After: " in one.data for one in refused)


class TestValues:
    @pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"x", b"1,2"])
    def test_malformed_limit_is_no_limit(self, deployment, value):
        engine = deployment.add_engine("i-e0")
        hosts = add_hosts(deployment)
        wait_for_placement(deployment, [engine])
        engine.limit, engine.events = value, 2
        for number in range(5):
            answered = deployment.send_and_wait(hosts[0], make_stream(f"a{number}"))
            assert answered.status == 200
