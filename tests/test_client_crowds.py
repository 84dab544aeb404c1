"""Crowds of clients that exhaust a gateway's memory, descriptors or attention.

Rejecting such a client is allowed. The process survives within the memory and
descriptors that its settings state, and still serves ordinary callers.
"""

import dataclasses
import itertools
import resource

import pytest

from tests.client_crowds import DESCRIPTORS
from tests.client_crowds import MEMORY_MB
from tests.client_crowds import CrowdClient
from tests.client_crowds import LargeEngine
from tests.client_crowds import LargeService
from tests.client_crowds import LimitedHost
from tests.client_crowds import chunks
from tests.gateway_data import make_config
from tests.gateway_deployment import CallerConnection
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import Service
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream

CLIENTS = 100
STREAMS = 80
IDLE_CLIENTS = 400
"""More connections than the host's descriptors."""

BODY_BYTES = 1 << 20
HEADER_BYTES = 16384
MISSING_BYTES = 10
CHUNK_BYTES = 4096
SMALL_PIECE_BYTES = 16 << 10
PIPELINED = 2000

SEND_TIMEOUT_S = 4.0
"""Bound of the time in which a crowd sends; the gateway may read only part of it."""

SETTLE_S = 0.2
SLOW_S = 1.0
STREAM_S = 4.0
BYTE_PAUSE_S = 0.2
ORDINARY_S = 5.0
TRY_S = 1.0
TRY_PAUSE_S = 0.2
"""Seconds for all tries of an ordinary request, for each, and between two. The first is
longer than the 3 s after which the readiness listener rejects an unfinished head."""

BODY = bytes(BODY_BYTES)
STALLED = BODY[:-MISSING_BYTES]
CHUNKED = chunks(STALLED, CHUNK_BYTES)
OVERSIZED = bytes(8 * BODY_BYTES)
FIELDS = "\r\n".join(["ab: cd"] * ((HEADER_BYTES - 600) // len("ab: cd\r\n")))
PARTS = "X-Prompt-Prefix: " + ",".join(["a1:1"] * ((HEADER_BYTES - 600) // 5))


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A kind of path, and whether a request there may reach an upstream."""

    path: str
    key: str | None = "key-one"
    is_readiness: bool = False
    has_route: bool = False


TARGET_BY_NAME = {
    "route": Target("/register/1", has_route=True),
    "no_route": Target("/nothing/1"),
    "wrong_key": Target("/register/1", "wrong"),
    "no_key": Target("/register/1", None),
    "readiness": Target("/readyz", is_readiness=True),
}


@pytest.fixture(params=TARGET_BY_NAME)
def target(request):
    return TARGET_BY_NAME[request.param]


def make_head(target, attempt, length=None, fields=""):
    """Return the head of a request with a body of a length, by default chunked."""
    framing = "Transfer-Encoding: chunked"
    if length is not None:
        framing = f"Content-Length: {length}"
    headers = f"{framing}\r\n{fields}" if fields else framing
    return make_request(target.path, attempt, key=target.key, headers=headers).replace(
        b"GET", b"POST", 1
    )


class Scene:
    """A gateway process with its upstreams, and the clients of the test."""

    def __init__(self, work):
        self.deployment = Deployment()
        self.loop = self.deployment.loop
        config = make_config()
        config["limits"].update(max_body_bytes=BODY_BYTES, header_timeout_ms=1000)
        # Ordinary requests have a service of their own, whose slots no crowd takes.
        config["routes"][2].update(service="desk2", split=None)
        config["services"][2]["engine"]["layer_mb"] = 100
        self.deployment.store.put("op", "config", config)
        store = self.deployment.store
        self.desk = LargeService(self.loop, store, "i-desk")
        self.desk.write_row(slots=CLIENTS)
        desk2 = Service(self.loop, store, "i-desk2")
        desk2.write_row(service="desk2")
        self.upstreams = [self.desk]
        self.host = LimitedHost(self.loop, "entry-1", "a", store.address, work)
        self.clients = []
        self.unfinished = set()

    def start(self):
        self.host.start()
        self.serve_ordinary("ordinary-first")

    def add(self, target, buffers, attempts=(), *, unfinished=(), **options):
        """Add a client; ``unfinished``: attempts that never reach an upstream."""
        address = self.host.caller_address
        if target.is_readiness:
            address = self.host.readiness_address
        if not target.has_route:
            unfinished = (*attempts, *unfinished)
        self.unfinished.update(unfinished)
        names = (*attempts, *unfinished) if target.has_route else unfinished
        self.clients.append(CrowdClient(self.loop, address, buffers, names, **options))

    def send(self):
        """Run until each client has sent all, or for a bounded time."""
        deadline = self.loop.clock.monotonic() + SEND_TIMEOUT_S

        def is_over():
            is_late = self.loop.clock.monotonic() > deadline
            return is_late or all(client.has_sent for client in self.clients)

        self.deployment.run(is_over)
        self.deployment.run_for(SETTLE_S)

    def serve_ordinary(self, attempt):
        """Check that an ordinary request on a new connection is answered."""
        deadline = self.loop.clock.monotonic() + ORDINARY_S
        for number in itertools.count():
            assert self.loop.clock.monotonic() < deadline, "no ordinary answer"
            name = f"{attempt}-{number}"
            caller = self.call(make_request("/lookup/7", name))
            if caller.status == 200:
                assert caller.body == b"body of " + name.encode()
                return
            self.deployment.run_for(TRY_PAUSE_S)

    def call(self, request):
        """Send a request, wait a while for its answer, and close the connection."""
        caller = CallerConnection(self.loop, self.host.caller_address, request)
        until = self.loop.clock.monotonic() + TRY_S

        def is_over():
            is_late = self.loop.clock.monotonic() > until
            return is_late or caller.is_complete or caller.is_closed

        self.deployment.run(is_over)
        caller.connection.close()
        return caller

    def check(self):
        """Check the process, its bounds, ordinary service and the upstreams."""
        descriptors = self.host.descriptors() if self.host.is_running else 0
        memory_mb = self.host.peak_memory_mb()
        print(f"peak {memory_mb:.0f} MB, {descriptors} descriptors")
        print(f"{sum(len(u.arrivals) for u in self.upstreams)} requests at upstreams")
        assert self.host.is_running
        self.serve_ordinary("ordinary-after")
        assert self.host.is_running
        descriptors = max(descriptors, self.host.descriptors())
        memory_mb = self.host.peak_memory_mb()
        print(f"peak {memory_mb:.0f} MB, {descriptors} descriptors at the end")
        rejected = set(self.unfinished)
        for client in self.clients:
            rejected |= client.rejected()
        arrived = set()
        for upstream in self.upstreams:
            arrived |= {attempt for _, attempt in upstream.arrivals}
        assert not rejected & arrived
        assert descriptors <= DESCRIPTORS
        assert memory_mb <= MEMORY_MB
        assert not self.host.check_log()

    def add_engines(self):
        """Add engines and wait until a stream is served over them."""
        for number in range(2):
            engine = LargeEngine(
                self.loop, self.deployment.store, f"i-e{number}", "a100"
            )
            engine.write_row()
            self.upstreams.append(engine)
        for number in range(50):
            if self.call(make_stream(f"placed-{number}")).status == 200:
                return
            self.deployment.run_for(TRY_PAUSE_S)
        raise AssertionError("no engine served a stream")

    def stop(self):
        for client in self.clients:
            client.close()
        self.host.stop()


@pytest.fixture
def scene(tmp_path):
    scene = Scene(tmp_path)
    try:
        scene.start()
        yield scene
    finally:
        scene.stop()


class TestBodies:
    """Fails if bodies are held without a bound over all clients."""

    @pytest.mark.parametrize("piece_bytes", [0, SMALL_PIECE_BYTES])
    def test_bodies_that_stop_short(self, scene, target, piece_bytes):
        for number in range(CLIENTS):
            name = f"c{number}"
            buffers = (make_head(target, name, BODY_BYTES), STALLED)
            scene.add(target, buffers, unfinished=(name,), piece_bytes=piece_bytes)
        scene.send()
        scene.check()

    def test_chunks_that_stop_short(self, scene, target):
        for number in range(CLIENTS):
            name = f"c{number}"
            scene.add(target, (make_head(target, name), CHUNKED), unfinished=(name,))
        scene.send()
        scene.check()

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    def test_bodies_over_the_limit(self, scene, target, framing):
        """Held by max_body_bytes: RequestReader rejects the length or the total."""
        is_chunked = framing == "chunks"
        body = CHUNKED * 8 if is_chunked else OVERSIZED
        length = None if is_chunked else len(OVERSIZED)
        for number in range(CLIENTS):
            name = f"c{number}"
            buffers = (make_head(target, name, length), body)
            scene.add(target, buffers, unfinished=(name,))
        scene.send()
        scene.check()


class TestHeads:
    """Fails if what heads hold has no bound over all clients."""

    @pytest.mark.parametrize("fields", [FIELDS, PARTS], ids=["fields", "parts"])
    def test_many_short_elements(self, scene, target, fields):
        """Each client sends a whole request, and one whose body stops short.

        Held by max_header_bytes, except for fields of requests with a route.
        """
        for number in range(CLIENTS):
            whole, stalled = f"c{number}", f"s{number}"
            buffers = (
                make_head(target, whole, 1, fields) + b"b",
                make_head(target, stalled, MISSING_BYTES, fields),
            )
            scene.add(target, buffers, (whole,), unfinished=(stalled,))
        scene.send()
        scene.check()

    def test_many_parts_of_streams(self, scene):
        """Held by max_header_bytes."""
        scene.add_engines()
        stream = Target("/draft/1", has_route=True)
        usage = "X-Token-Usage: 300,80\r\nX-Model: m\r\n"
        for number in range(STREAMS):
            name = f"c{number}"
            buffers = (make_head(stream, name, 1, usage + PARTS) + b"b",)
            scene.add(stream, buffers, (name,))
        scene.send()
        scene.check()

    def test_heads_that_stop_half_way(self, scene, target):
        """Held by header_timeout_ms and max_header_bytes."""
        for number in range(CLIENTS):
            name = f"c{number}"
            head = make_head(target, name, 1, FIELDS)
            scene.add(target, (head[: len(head) // 2],), unfinished=(name,))
        scene.send()
        scene.check()


class TestPipelining:
    """Fails if requests sent ahead are parsed and held without a bound."""

    def test_requests_without_reading(self, scene, target):
        for number in range(CLIENTS):
            names, data = [], []
            for turn in range(PIPELINED):
                names.append(f"c{number}-{turn}")
                data.append(make_request(target.path, names[-1], key=target.key))
            scene.add(target, (b"".join(data),), names, read_bytes=0)
        scene.send()
        scene.check()


class TestSlowClients:
    """Fails if clients that make little progress hold memory or block others."""

    @pytest.mark.parametrize("part", ["head", "body"])
    def test_single_bytes_sent(self, scene, target, part):
        """Held by the small size of what has arrived of each request."""
        for number in range(CLIENTS):
            name = f"c{number}"
            head = make_head(target, name, BODY_BYTES)
            buffers = (head, *[b"b"] * MISSING_BYTES)
            options = {}
            if part == "head":
                options["piece_bytes"] = 1
            scene.add(
                target, buffers, unfinished=(name,), pause_s=BYTE_PAUSE_S, **options
            )
        scene.deployment.run_for(SLOW_S)
        scene.check()

    @pytest.mark.parametrize("read_bytes", [0, 1])
    def test_answers_that_are_not_read(self, scene, target, read_bytes):
        """Held by the small size of the answers where there is no route."""
        scene.desk.is_large = True
        for number in range(CLIENTS):
            name = f"c{number}"
            request = make_request(target.path, name, key=target.key)
            scene.add(
                target,
                (request,),
                (name,),
                read_bytes=read_bytes,
                pause_s=BYTE_PAUSE_S,
            )
        scene.deployment.run_for(SLOW_S)
        scene.check()

    @pytest.mark.parametrize("read_bytes", [0, 1])
    def test_streams_that_are_not_read(self, scene, read_bytes):
        """BUFFER_BYTES_MAX bounds each caller, but not all of them together."""
        scene.add_engines()
        for number in range(STREAMS):
            name = f"c{number}"
            scene.add(
                Target("/draft/1", has_route=True),
                (make_stream(name),),
                (name,),
                read_bytes=read_bytes,
                pause_s=BYTE_PAUSE_S,
            )
        scene.deployment.run_for(STREAM_S)
        scene.check()


@pytest.mark.parametrize("listener", ["route", "readiness"])
class TestDescriptors:
    """Fails if connections that do nothing keep ordinary callers out."""

    def test_more_idle_connections_than_descriptors(self, scene, listener):
        self.limit_descriptors(scene)
        for _ in range(IDLE_CLIENTS):
            scene.add(TARGET_BY_NAME[listener], ())
        scene.deployment.run_for(SETTLE_S)
        scene.check()

    def test_more_slow_heads_than_descriptors(self, scene, listener):
        self.limit_descriptors(scene)
        target = TARGET_BY_NAME[listener]
        for number in range(IDLE_CLIENTS):
            name = f"c{number}"
            head = make_head(target, name, 1)
            scene.add(
                target,
                (head,),
                unfinished=(name,),
                piece_bytes=1,
                pause_s=BYTE_PAUSE_S,
            )
        scene.deployment.run_for(SETTLE_S)
        scene.check()

    @staticmethod
    def limit_descriptors(scene):
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(scene.host.process.pid, resource.RLIMIT_NOFILE, limits)
