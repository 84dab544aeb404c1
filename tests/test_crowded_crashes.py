"""Deadly prompts at engines that many other streams are at when they end.

Each crash has more candidates than streams of one host, and none of them stands out
by its weight. If the deadly request is dropped from the evidence, such requests are
sent on for good.
"""

import random
import time

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import CallerConnection
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.soak.hosts import HostProcess
from wagtailstair.core.quarantine import STREAMING_WEIGHT
from wagtailstair.core.quarantine import PartKey
from wagtailstair.core.quarantine import Quarantine

DEADLY = "dead"
CONTACT_S = 3.0
"""Documented seconds after the fifth crash from which requests are judged."""

CRASHES_ALLOWED = 5
LATE_ALLOWED = 3
"""Documented number of requests with the part that may reach engines later."""


def make_keys(*parts):
    return [PartKey("engines", part) for part in parts]


class TestEvidence:
    """Without a network: what hosts know after crashes of crowded engines."""

    @pytest.mark.parametrize("hosts", [1, 6])
    @pytest.mark.parametrize("streams", [2, 16, 90])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_deadly_part_is_found_among_many_streams(self, hosts, streams, seed):
        """Crash engines of so many streams over all hosts, one of them deadly."""
        rng = random.Random(seed)
        quarantines = [Quarantine() for _ in range(hosts)]
        for quarantine in quarantines:
            quarantine.record_sound(make_keys("p1"), 0.0)
        crashes = 0
        deadly = make_keys("p1", DEADLY, "own", "request")
        while not all(q.remaining_s(deadly, 2.0 * crashes) for q in quarantines):
            now = 2.0 * crashes
            requests_by_host = [[] for _ in range(hosts)]
            deadly = make_keys("p1", DEADLY, f"own{crashes}", f"request{crashes}")
            requests_by_host[crashes % hosts].append((deadly, STREAMING_WEIGHT))
            for _ in range(streams):
                own = f"{rng.randrange(1 << 32):08x}"
                keys = make_keys("p1", f"s{own}", own, f"request-{own}")
                rng.choice(requests_by_host).append((keys, STREAMING_WEIGHT))
            messages = []
            for quarantine, requests in zip(quarantines, requests_by_host, strict=True):
                rng.shuffle(requests)
                messages += quarantine.record_crash(crashes, requests, now)
            for quarantine in quarantines:
                for message in messages:
                    quarantine.merge(message.candidates, now)
            crashes += 1
            assert crashes <= CRASHES_ALLOWED


class TestProcesses:
    """Real gateways; their engines end after some events of a deadly request."""

    @pytest.fixture
    def deployment(self):
        deployment = Deployment()
        config = make_config()
        # Each engine holds all layers, so that any may begin a path.
        config["services"][2]["engine"]["layer_mb"] = 100
        deployment.store.put("op", "config", config)
        return deployment

    @pytest.fixture
    def hosts(self, deployment, tmp_path):
        address = deployment.store.address
        hosts = []
        for number in range(3):
            host = HostProcess(
                deployment.loop, f"entry-{number}", "a", address, tmp_path
            )
            host.start()
            hosts.append(host)
        yield hosts
        for host in hosts:
            host.stop()

    def test_deadly_requests_stop_after_the_documented_crashes(self, deployment, hosts):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        for engine in engines:
            engine.deadly_part = DEADLY
            engine.deadly_events = 3
            engine.restart_s = 1.0
            engine.events = 100
            engine.pause_s = 0.03
        self.wait_until_served(deployment, hosts)
        ended_at, deadly_at = [], {}
        for number in range(60):
            for turn in range(24):
                # A part of their own, which no answer has proven yet.
                name = f"s{number}x{turn}"
                host = hosts[turn % len(hosts)]
                send(deployment, host, make_stream(name, ("p1", f"q{name}")))
            if number >= 6 and number % 3 == 0:
                host = hosts[number // 3 % len(hosts)]
                send(deployment, host, make_stream(f"d{number}", ("p1", DEADLY)))
            deployment.run_for(0.4)
            now = time.monotonic()
            ended_at += [now] * (sum(e.ends for e in engines) - len(ended_at))
            for engine in engines:
                for _, attempt in engine.arrivals:
                    if attempt.startswith("d"):
                        deadly_at.setdefault(attempt, now)
        assert ended_at
        assert all(host.is_running for host in hosts)
        if len(ended_at) < CRASHES_ALLOWED:
            return
        bound = ended_at[CRASHES_ALLOWED - 1] + CONTACT_S
        assert sum(at > bound for at in deadly_at.values()) <= LATE_ALLOWED

    def wait_until_served(self, deployment, hosts):
        """Wait until each host has served a stream over the placed engines."""
        for host in hosts:
            for attempt in range(100):
                request = make_stream(f"w{host.name}{attempt}", ("p1",))
                caller = send(deployment, host, request)
                deployment.run(lambda c=caller: c.is_complete or c.is_closed)
                if caller.status == 200:
                    break
                deployment.run_for(0.2)
            assert caller.status == 200


def send(deployment, host, data):
    return CallerConnection(deployment.loop, host.caller_address, data)
