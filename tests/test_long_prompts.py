"""Prompts of many parts, one of which crashes engines.

If only the first parts of a prompt are looked at, or sent to other hosts, a deadly part
behind them is never found, and such requests end one engine after another.
"""

import pytest

from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_crashing_prompts import DEADLY
from tests.test_crashing_prompts import count_ends
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from wagtailstair.core.quarantine import BEGUN_WEIGHT
from wagtailstair.core.quarantine import CRASH_KEYS_MAX
from wagtailstair.core.quarantine import MESSAGE_BYTES
from wagtailstair.core.quarantine import CrashSuspects
from wagtailstair.core.quarantine import PartKey
from wagtailstair.core.quarantine import Quarantine
from wagtailstair.core.quarantine import request_key
from wagtailstair.peers.codec import DATAGRAM_BYTES_MAX
from wagtailstair.peers.codec import Datagram
from wagtailstair.peers.codec import encode

ENDS_ALLOWED = 8
"""Documented crashes, five, and three more requests that may reach engines."""


def make_parts(count):
    return [f"{0xD0C000 + number:x}" for number in range(count)]


def make_keys(parts, number):
    keys = [PartKey("engines", part) for part in (*parts, f"a{number}")]
    return [*keys, request_key("engines", b"%d" % number)]


class TestGateways:
    @pytest.fixture
    def deployment(self):
        deployment = Deployment()
        deployment.store.put("op", "config", make_config_of_whole_engines())
        return deployment

    @pytest.fixture
    def engines(self, deployment):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(12)]
        for engine in engines:
            engine.deadly_part = DEADLY
            engine.deadly_events = 1
        return engines

    @pytest.fixture
    def hosts(self, deployment, engines):
        hosts = [deployment.add_host(f"entry-{n}") for n in (1, 2)]
        deployment.run(lambda: all(host.is_ready() for host in hosts))
        deployment.run(lambda: all(h.peers.live_hosts() for h in hosts))
        wait_for_placement(deployment, engines)
        return hosts

    @pytest.mark.parametrize("lines", [1, 2])
    def test_deadly_part_behind_many_is_refused(
        self, deployment, engines, hosts, lines
    ):
        parts = make_parts(36)
        for number in range(16):
            host = hosts[number % 2]
            sound = deployment.send(host, make_stream(f"s{number}", parts))
            request = make_stream(f"d{number}", (*parts, DEADLY))
            if lines == 2:
                # The list may stand in several lines.
                name = b"\r\nX-Prompt-Prefix: "
                request = request.replace(b"," + DEADLY.encode(), name + b"dead")
            answered = deployment.send_and_wait(host, request)
            deployment.run(lambda s=sound: s.is_complete or s.is_closed)
            # Engines that are back get their layers meanwhile.
            deployment.run_for(0.25)
        assert answered.status == 503
        assert count_ends(engines) <= ENDS_ALLOWED
        assert sound.body == EVENTS


class TestExchange:
    @pytest.mark.parametrize("count", [40, 120, 600])
    def test_deadly_part_is_found_over_hosts(self, count):
        # Candidates that need several messages are joined by their receivers.
        quarantines = [Quarantine() for _ in range(3)]
        for number, source in enumerate(quarantines[:2]):
            parts = [*make_parts(count), "dead"]
            requests = [(make_keys(parts, number), BEGUN_WEIGHT)]
            messages = source.record_crash(number, requests, 1.0 * number)
            for message in reversed(messages):
                datagram = Datagram("entry-1", 1_700_000_000_000, 1, (message,))
                assert len(encode(datagram)) <= DATAGRAM_BYTES_MAX
                for quarantine in quarantines:
                    quarantine.merge(message.candidates, 1.0 * number)
        deadly = make_keys([*make_parts(count), "dead"], 9)
        sound = make_keys(make_parts(count), 8)
        for quarantine in quarantines:
            assert quarantine.remaining_s(deadly, 2.0)
            assert not quarantine.remaining_s(sound, 2.0)

    def test_host_that_missed_all_messages_learns_the_deadly_part(self):
        ours, theirs = Quarantine(), Quarantine()
        for number in range(2):
            parts = [*make_parts(300), f"{number}x", "dead"]
            requests = [(make_keys(parts, number), BEGUN_WEIGHT)]
            theirs.record_crash(number, requests, 0.0)
        theirs.record_sound(make_keys(make_parts(300), 5), 1.0)
        report = theirs.report(2.0)
        assert sum(len(c.keys) for c in report) * 48 <= MESSAGE_BYTES
        ours.merge(report, 2.0)
        assert ours.remaining_s(make_keys([*make_parts(300), "dead"], 9), 2.0)

    def test_parts_of_a_crash_are_bounded(self):
        quarantine = Quarantine()
        for number in range(40):
            parts = [f"{number}x{part}" for part in range(999)]
            requests = [(make_keys(parts, number), BEGUN_WEIGHT)]
            messages = quarantine.record_crash(1, requests, 0.0)
            assert all(isinstance(message, CrashSuspects) for message in messages)
        assert quarantine.dropped >= 40 - CRASH_KEYS_MAX // 999 - 1
        crash = quarantine._crash_by_engine[1]
        assert sum(map(len, crash.weight_by_keys)) == crash.size <= CRASH_KEYS_MAX
