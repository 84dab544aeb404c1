import random
import threading

import pytest

from tests.scripted import ScriptedServer
from tests.scripted import answer
from wagtailstair.clock import SystemClock
from wagtailstair.core.upstreams import Upstream
from wagtailstair.core.upstreams import UpstreamKind
from wagtailstair.core.upstreams import Upstreams
from wagtailstair.settings import PlatformSection
from wagtailstair.upstreams.loop import Loop
from wagtailstair.upstreams.watch import EngineWatch
from wagtailstair.upstreams.watch import HostListWatch

WAIT_S = 20


@pytest.fixture
def loop():
    loop = Loop(SystemClock())
    loop.start()
    yield loop
    loop.stop()


class TestHostList:
    BODY = (
        b'{"hosts": [{"name": "s1", "kind": "service", "service": "desk",'
        b' "data_centre": "a", "address": "ip:1", "incarnation": "1",'
        b' "state": "live"}, {"name": "x", "kind": "of later", "data_centre": "a",'
        b' "address": "ip:2", "incarnation": "1", "state": "live"}]}'
    )

    def test_list_is_kept_while_the_server_answers_not_modified(self, loop):
        sent_etag = threading.Event()

        def full_list(connection, request):
            connection.sendall(answer(200, self.BODY, 'ETag: "v1"'))

        def unchanged(connection, request):
            connection.sendall(answer(304))
            if b'If-None-Match: "v1"' in request:
                sent_etag.set()

        upstreams = Upstreams()
        with ScriptedServer(full_list, *[unchanged] * 8) as server:
            platform = PlatformSection(
                table="", hosts=f"http://{server.address}", hosts_interval_s=0.02
            )
            HostListWatch(
                loop,
                SystemClock(),
                platform,
                upstreams,
                lambda entry_hosts: None,
                lambda removed: None,
                random.Random(1),
            ).start()
            assert sent_etag.wait(WAIT_S)
        assert [replica.name for replica in upstreams.replicas("desk")] == ["s1"]


class TestSilentEngine:
    def test_one_failed_report_does_not_make_an_engine_silent(self, loop):
        silent = threading.Event()
        reads = []

        def close(connection, request):
            reads.append(silent.is_set())

        with ScriptedServer(*[close] * 8) as server:
            engine = Upstream("e", UpstreamKind.ENGINE, "", "a", server.address, "1")
            EngineWatch(
                loop,
                SystemClock(),
                lambda: [engine],
                lambda state: None,
                lambda name: silent.set(),
                random.Random(1),
            ).start()
            assert silent.wait(WAIT_S)
        assert len(reads) >= 2
        assert reads[:2] == [False, False]
