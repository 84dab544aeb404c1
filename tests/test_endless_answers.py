"""Answers without end to the gateway's own calls.

A faulty upstream, store or host sends bytes in a head, in a body or in place of an
answer until the caller closes. What the gateway keeps of them is bounded for each call,
so that many at once do not take its memory, and it goes on serving.
"""

import gc
import tracemalloc

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import Engine
from tests.gateway_deployment import Store
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from wagtailstair.gateway.fetch import ANSWER_BYTES_MAX
from wagtailstair.gateway.fetch import ENGINE_ANSWER_BYTES_MAX

PART_BYTES = 64 << 10
SENT_BYTES_MAX = 64 << 20
SOCKET_BYTES = 512 << 10
"""Bytes that may be under way between two sockets when one of them is closed."""

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"f" * PART_BYTES
LINES = b"X-Filler: %b\r\n" % (b"f" * 1000)
CHUNK = b"%x\r\n%b\r\n" % (PART_BYTES, FILLER)

# How an answer begins, and what follows again and again.
PLACES = {
    "no answer": (b"", FILLER),
    "blank lines": (b"", b"\r\n" * 500),
    "interim heads": (b"", b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" * 50),
    "head": (HEAD, LINES),
    "one header": (HEAD + b"X-Filler: ", FILLER),
    "body without a length": (HEAD + b"\r\n", FILLER),
    "body with a huge length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", FILLER),
    "after a body": (HEAD + b"Content-Length: 2\r\n\r\n{}", FILLER),
    "chunks": (CHUNKED, CHUNK),
    "size of a chunk": (CHUNKED, b"0" * PART_BYTES),
    "extension of a chunk": (CHUNKED + b"5;", FILLER),
    "trailers": (CHUNKED + b"0\r\n", LINES),
    "failure": (b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
}

pytestmark = pytest.mark.parametrize(
    ("begin", "part"), PLACES.values(), ids=PLACES.keys()
)


class Pouring:
    """Bytes that a stand-in sends in place of answers; ``sent_by_call``: of each."""

    def __init__(self, loop, begin, part):
        self.loop = loop
        self.begin = begin
        self.part = part
        self.sent_by_call = []

    def answer(self, pending):
        pending.caller._connection.write(self.begin)
        self.sent_by_call.append(0)
        self.pour(pending, len(self.sent_by_call) - 1)

    def pour(self, pending, call):
        connection = pending.caller._connection
        if not connection.is_open or self.sent_by_call[call] >= SENT_BYTES_MAX:
            return
        if not connection.pending_bytes:
            connection.write(self.part)
            self.sent_by_call[call] += len(self.part)
        self.loop.call_later(0.0005, lambda: self.pour(pending, call))


class PouringEngine(Engine):
    """An engine that pours bytes in answer to some calls.

    ``paths``: of these calls.
    """

    pouring: Pouring
    paths: tuple[str, ...] = ()

    def answer(self, pending):
        if pending.request.path in self.paths:
            self.pouring.answer(pending)
            return
        super().answer(pending)


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config())
    return deployment


@pytest.fixture
def pouring(deployment, begin, part):
    return Pouring(deployment.loop, begin, part)


def add_engines(deployment, pouring, name, count, *paths):
    engines = []
    for number in range(count):
        engine = PouringEngine(
            deployment.loop, deployment.store, f"{name}{number}", "a100"
        )
        engine.pouring = pouring
        engine.paths = paths
        engine.write_row(zone="a")
        engines.append(engine)
    return engines


class TestEngines:
    def test_answers_to_orders_are_given_up(self, deployment, pouring):
        faulty = add_engines(deployment, pouring, "i-x", 6, "/order", "/report")
        sound = add_engines(deployment, pouring, "i-e", 8)
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, sound)
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert answered.body == EVENTS
        assert len(pouring.sent_by_call) >= len(faulty)
        assert min(pouring.sent_by_call) >= len(pouring.part)
        assert max(pouring.sent_by_call) <= ENGINE_ANSWER_BYTES_MAX + SOCKET_BYTES

    def test_answers_to_reports_are_given_up(self, deployment, pouring):
        engines = add_engines(deployment, pouring, "i-e", 4)
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        for engine in engines:
            engine.paths = ("/report",)
            # Long enough for the host to ask which engine stalls.
            engine.first_event_s = 0.7
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert answered.body == EVENTS
        assert pouring.sent_by_call
        assert max(pouring.sent_by_call) <= ENGINE_ANSWER_BYTES_MAX + SOCKET_BYTES


class TestStore:
    def test_answers_are_given_up(self, deployment, pouring, monkeypatch):
        desk = deployment.add_service("i-desk")
        config = make_config()
        config["routes"][2].update(service="desk", split=None)
        deployment.store.put("op", "config", config)
        host = deployment.add_host()
        deployment.run(host.is_ready)
        deployment.run(lambda: "i-desk" in host.replicas.by_name)
        monkeypatch.setattr(Store, "answer", lambda _store, p: pouring.answer(p))
        # The calls that wait are answered, and the next ones are not.
        deployment.store.put("op", "config", {**config, "version": 900})
        deployment.run(lambda: pouring.sent_by_call)
        gc.collect()
        tracemalloc.start()
        try:
            deployment.run_for(1.0)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert max(pouring.sent_by_call) <= ANSWER_BYTES_MAX + SOCKET_BYTES
        # The bodies of two followers, a lease and a registration, and copies of them.
        assert peak <= 5 * ANSWER_BYTES_MAX
        request = make_request("/lookup/1", "a1")
        assert deployment.send_and_wait(host, request).status == 200
        assert len(desk.runs) == 1
