import random
import threading

import pytest

from tests.scripted import ScriptedServer
from wagtailstair.clock import SystemClock
from wagtailstair.core.upstreams import Upstream
from wagtailstair.core.upstreams import UpstreamKind
from wagtailstair.upstreams.loop import Loop
from wagtailstair.upstreams.watch import EngineWatch

WAIT_S = 20


@pytest.fixture
def loop():
    loop = Loop(SystemClock())
    loop.start()
    yield loop
    loop.stop()


class TestSilentEngine:
    def test_one_report_that_fails_is_not_enough(self, loop):
        silent = threading.Event()
        asked = []

        def close(connection, request):
            asked.append(silent.is_set())

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
        assert len(asked) >= 2
        assert asked[:2] == [False, False]
