"""Tests of the gateway with upstreams that send bytes without end.

They guard against an upstream that answers with a head, an event or a body after a
failure that does not end: its bytes were kept or read until the deadline, and the
request was not sent to another upstream.
"""

import contextlib
import errno
import socket
import types
import unittest.mock

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import SETTINGS
from tests.gateway_deployment import CallerConnection
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import Engine
from tests.gateway_deployment import Service
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from wagtailstair.core.admission.client_limits import ClientLimits
from wagtailstair.core.admission.client_memory import ClientMemory
from wagtailstair.core.directory import CallerLimits
from wagtailstair.gateway import caller as caller_module
from wagtailstair.gateway import connection as connection_module
from wagtailstair.gateway import gateway as gateway_module

PART_BYTES = 32 << 10
SENT_BYTES_MAX = 16 << 20
LIMIT_BYTES = 1 << 20
SOCKET_BYTES = 512 << 10
"""Bytes that may be under way between two sockets when one of them is closed."""

EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 13))
ENDLESS = [
    "endless head",
    "endless error",
    "endless unsigned",
    "endless refusal",
    "endless foreign",
]


class Endless:
    """Answers that do not end; ``sent``: bytes of them.

    At ``SENT_BYTES_MAX`` the upstream falls silent and leaves the connection open.
    """

    def __init__(self, pause_s=0.0005, part_bytes=PART_BYTES):
        self.sent = 0
        self.pause_s = pause_s
        self.part_bytes = part_bytes

    def begin(self, pending, step, last_id=0):
        attempt = pending.request.header(b"x-attempt-id")
        own = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        if step == "endless head":
            pending.caller._connection.write(b"HTTP/1.1 200 OK\r\n")
            self.pour(pending, b"X-Filler: %b\r\n" % (b"f" * self.part_bytes))
            return
        if step == "endless error":
            pending.caller.begin(500, b"", own)
        elif step == "endless unsigned":
            pending.caller.begin(200, b"", own[:1])
        elif step == "endless refusal":
            pending.caller.begin(503, b"", [*own[:1], (b"X-Not-Executed", b"1")])
        elif step == "endless foreign":
            pending.caller.begin(200, b"", [(b"X-Attempt-Id", b"other")])
        else:
            pending.caller.begin(200, b"OK", own)
            pending.caller.send(b"id: %d\ndata: " % (last_id + 1))
        filler = b"f" * self.part_bytes
        self.pour(pending, b"%x\r\n%b\r\n" % (len(filler), filler))

    def pour(self, pending, part):
        if pending.is_caller_gone or self.sent >= SENT_BYTES_MAX:
            return
        connection = pending.caller._connection
        if not connection.pending_bytes:
            connection.write(part)
            self.sent += len(part)
        pending.caller._server.loop.call_later(
            self.pause_s, lambda: self.pour(pending, part)
        )


class EndlessService(Service):
    """A plain service some of whose answers do not end."""

    endless = Endless()

    def answer(self, pending):
        if self.script and self.script[0].startswith("endless"):
            self.runs.append(pending.request.header(b"x-attempt-id").decode())
            self.endless.begin(pending, self.script.pop(0))
            return
        super().answer(pending)


class EndlessEngine(Engine):
    """An engine some of whose streams do not end, before or after some events."""

    endless = Endless()
    after = 0

    def answer(self, pending):
        is_stream = pending.request.path.startswith("/draft")
        if is_stream and self.script and not self.after:
            self.runs.append(pending.request.header(b"x-attempt-id").decode())
            self.endless.begin(pending, self.script.pop(0))
            return
        script, self.script = self.script, []
        super().answer(pending)
        self.script = script

    def emit(self, pending, number):
        if self.script and self.after and number > self.after:
            self.script.pop(0)
            part = b"%x\r\n%b\r\n" % (PART_BYTES, b"f" * PART_BYTES)
            pending.caller.send(b"id: %d\ndata: " % number)
            self.endless.pour(pending, part)
            return
        super().emit(pending, number)


@pytest.fixture
def deployment():
    deployment = Deployment()
    config = make_config()
    config["routes"][2].update(service="desk", split=None)
    deployment.store.put("op", "config", config)
    return deployment


@pytest.fixture
def endless():
    return Endless()


def add(deployment, kind, endless, names, *options):
    """Add upstreams that share one script, so that whichever is first obeys it."""
    script = []
    added = []
    for name in names:
        upstream = kind(deployment.loop, deployment.store, name, *options)
        upstream.endless = endless
        upstream.script = script
        upstream.write_row(zone="a")
        deployment.upstreams.append(upstream)
        added.append(upstream)
    return added


@pytest.fixture
def desks(deployment, endless):
    return add(deployment, EndlessService, endless, ["i-one", "i-two"])


@pytest.fixture
def host(deployment, desks):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    deployment.run(lambda: len(host.replicas.by_name) == 2)
    return host


@pytest.fixture
def engines(deployment, endless, host):
    engines = []

    def have_layers():
        by_name = host.replicas.by_name
        found = [by_name.get(engine.name) for engine in engines]
        return all(r is not None and r.layers is not None for r in found)

    names = [f"i-e{n}" for n in range(8)]
    engines += add(deployment, EndlessEngine, endless, names, "a100")
    deployment.run(have_layers)
    return engines


def runs(upstreams):
    return [attempt for upstream in upstreams for attempt in upstream.runs]


def bytes_max(step):
    # A response to another request is discarded, not kept, and may be a long one.
    return SOCKET_BYTES + (4 if step == "endless foreign" else 1) * LIMIT_BYTES


class TestCalls:
    @pytest.mark.parametrize("step", ENDLESS)
    def test_endless_answer_fails_a_non_idempotent_call(
        self, deployment, desks, host, endless, step
    ):
        desks[0].script += [step]
        request = make_request("/register/7", "a1", method="POST")
        answered = deployment.send_and_wait(host, request)
        assert answered.status == 502
        assert runs(desks) == ["a1"]
        assert endless.sent <= bytes_max(step)
        deployment.run(lambda: not any(desk.callers for desk in desks))

    @pytest.mark.parametrize("step", ENDLESS)
    def test_idempotent_call_is_retried_after_an_endless_answer(
        self, deployment, desks, host, endless, step
    ):
        desks[0].script += [step]
        answered = deployment.send_and_wait(host, make_request("/lookup/7", "a1"))
        assert (answered.status, answered.body) == (200, b"body of a1")
        assert runs(desks) == ["a1", "a1"]
        assert endless.sent <= bytes_max(step)

    def test_other_calls_are_served_beside_an_endless_answer(
        self, deployment, desks, host, endless
    ):
        endless.pause_s, endless.part_bytes = 0.002, 1000
        desks[0].script += ["endless error"]
        slow = deployment.send(host, make_request("/register/7", "a0", method="POST"))
        deployment.run(lambda: runs(desks) == ["a0"])
        for number in range(1, 6):
            request = make_request("/register/7", f"a{number}", method="POST")
            assert deployment.send_and_wait(host, request).status == 200
        # It is too slow to pass a limit and ends at the route's timeout.
        deployment.run(lambda: slow.is_complete)
        assert slow.status == 504
        deployment.run(lambda: len(runs(desks)) == 6)

    def test_interim_responses_are_dropped(self, deployment, desks, host):
        def answer(pending):
            hint = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            pending.caller._connection.write(hint * 5)
            Service.answer(desks[0], pending)

        for desk in desks:
            desk.answer = answer
        request = make_request("/register/7", "a1", method="POST")
        answered = deployment.send_and_wait(host, request)
        assert (answered.status, answered.body) == (200, b"body of a1")
        assert b"103" not in answered.data

    # A body that was buffered up to its limit was sent at once, and what the kernel
    # did not take of it counted as unread: the caller was disconnected.
    @pytest.mark.parametrize("buffer_bytes", [None, 1 << 20, 1 << 16])
    @pytest.mark.parametrize("pause_s", [0.0, 0.1])
    @pytest.mark.parametrize("status", [200, 404])
    def test_long_body_is_forwarded_as_it_arrives(
        self, deployment, desks, host, monkeypatch, status, pause_s, buffer_bytes
    ):
        def set_options(sock, *, keepalive):
            connection_module.set_options(sock, keepalive=keepalive)
            if buffer_bytes is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)

        monkeypatch.setattr(caller_module, "set_options", set_options)
        config = make_config(2)
        config["routes"][1].update(timeout_ms=8000)
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() == 2)
        parts = [b"%04d" % n + b"f" * 59_996 for n in range(90)]

        def answer(pending):
            attempt = pending.request.header(b"x-attempt-id")
            own = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
            pending.caller.begin(status, b"", own)
            send(pending, 0)

        def send(pending, number):
            if number == len(parts):
                pending.caller.end()
                return
            if not pending.caller._connection.pending_bytes:
                pending.caller.send(parts[number])
                number += 1
            deployment.loop.call_later(0.0005, lambda: send(pending, number))

        for desk in desks:
            desk.answer = answer
        request = make_request("/register/7", "a1", method="POST")
        answered = deployment.send(host, request)
        deployment.run(lambda: len(answered.data) > 0)
        answered.connection.pause()
        deployment.loop.call_later(pause_s, answered.connection.resume)
        deployment.run(lambda: answered.is_complete or answered.is_closed)
        assert answered.status == status
        assert answered.body == b"".join(parts)

    def test_long_error_is_forwarded(self, deployment, desks, host):
        body = b"e" * (LIMIT_BYTES - 1)

        def answer(pending):
            attempt = pending.request.header(b"x-attempt-id")
            own = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
            pending.caller.answer(500, b"", own, body)

        for desk in desks:
            desk.answer = answer
        request = make_request("/register/7", "a1", method="POST")
        answered = deployment.send_and_wait(host, request)
        assert (answered.status, answered.body) == (500, body)


class TestStreams:
    @pytest.mark.parametrize(
        "step", ["endless event", "endless head", "endless error", "endless refusal"]
    )
    def test_stream_is_sent_again_after_an_endless_answer(
        self, deployment, host, engines, endless, step
    ):
        engines[0].script += [step]
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert (answered.status, answered.body) == (200, EVENTS)
        assert len(runs(engines)) == 2
        assert endless.sent <= bytes_max(step)

    def test_stream_resumes_after_an_endless_event(
        self, deployment, host, engines, endless
    ):
        for engine in engines:
            engine.after = 5
        engines[0].script += ["endless event"]
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert answered.body == EVENTS
        assert answered.data.count(b"X-Response-Signature") == 1
        last_ids = [last_id for engine in engines for last_id in engine.last_ids]
        assert sorted(last_ids) == [b"", b"5"]
        assert endless.sent <= bytes_max("endless event")

    def test_long_event_is_forwarded(self, deployment, host, engines):
        event = b"id: 1\ndata: " + b"f" * (LIMIT_BYTES // 2) + b"\n\n"

        def emit(pending, number):
            pending.caller.send(event)
            pending.caller.end()

        for engine in engines:
            engine.emit = emit
        answered = deployment.send_and_wait(host, make_stream("a1"))
        assert (answered.status, answered.body) == (200, event)


def bound(host, memory_mb=0, descriptors=0):
    """Bound a host that has no connections yet; 1 MB gives the lowest bound."""
    host.clients.memory = ClientMemory(memory_mb, descriptors)
    return host.clients.memory


def make_post(path, body_bytes, headers=b""):
    head = make_request(path, "a0", method="POST").partition(b"\r\n\r\n")[0]
    head = b"\r\n".join(
        line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")
    )
    return b"%b\r\n%bContent-Length: %d\r\n\r\n" % (head, headers, body_bytes)


def fill(deployment, address, path, count, body_bytes, missing):
    """Open connections that send all of a legal body but some bytes."""
    data = make_post(path, body_bytes) + b"b" * (body_bytes - missing)
    return [CallerConnection(deployment.loop, address, data) for _ in range(count)]


def reload(host, path, section):
    """Start with the usual settings, and reload them with a section added."""
    own = host.settings.host
    text = SETTINGS.format(
        name=own.name,
        centre=own.data_centre,
        callers=own.callers.rpartition(":")[2],
        readiness=own.readiness.rpartition(":")[2],
        peers=own.peer_ports[0],
        store=host.settings.store.address,
    )
    path.write_text(text)
    host.follow_settings(path)
    path.write_text(text + section)
    host.reload()


class TestClientMemory:
    """Guards against crowds of clients that exhaust a host's memory or descriptors."""

    BODY_BYTES = 4 << 20

    def make_config(self, version):
        config = make_config(version)
        config["routes"][2].update(service="desk", split=None)
        config["limits"]["max_body_bytes"] = self.BODY_BYTES
        return config

    @pytest.fixture
    def host(self, deployment, desks):
        deployment.store.put("op", "config", self.make_config(1))
        host = deployment.add_host()
        bound(host, memory_mb=1)
        deployment.run(host.is_ready)
        return host

    def test_stalled_bodies_are_refused_and_others_served(
        self, deployment, desks, host
    ):
        memory = host.clients.memory
        crowd = fill(
            deployment, host.settings.host.callers, "/lookup/7", 8, self.BODY_BYTES, 10
        )
        deployment.run(lambda: sum(caller.is_complete for caller in crowd) >= 5)
        assert memory.total_bytes <= memory.bound_bytes
        for caller in crowd:
            if caller.data:
                assert caller.status == 503
                assert b"Retry-After: " in caller.data
                assert b"Connection: close" in caller.data
        assert not desks[0].runs
        request = make_request("/lookup/7", "a1")
        assert deployment.send_and_wait(host, request).status == 200

    def test_one_request_with_the_largest_body_is_served(self, deployment, desks, host):
        data = make_post("/lookup/7", self.BODY_BYTES) + b"b" * self.BODY_BYTES
        assert deployment.send_and_wait(host, data).status == 200

    @pytest.mark.parametrize(
        ("listener", "path", "status"),
        [("callers", "/nowhere/", 404), ("readiness", "/readyz", 200)],
    )
    def test_bodies_without_use_are_not_kept(
        self, deployment, host, listener, path, status
    ):
        address = getattr(host.settings.host, listener)
        crowd = fill(deployment, address, path, 8, 1 << 20, 10)
        deployment.run_for(0.3)
        assert host.clients.memory.connections >= len(crowd)
        assert host.clients.memory.total_bytes < 1 << 20
        assert not any(caller.data for caller in crowd)
        for caller in crowd:
            caller.connection.write(b"b" * 10)
        deployment.run(lambda: all(caller.is_complete for caller in crowd))
        assert {caller.status for caller in crowd} == {status}

    # Its body is gone, and the upstream would have got an empty one.
    def test_request_that_became_allowed_while_it_arrived_is_refused(
        self, deployment, desks, host
    ):
        (caller,) = fill(
            deployment, host.settings.host.callers, "/nowhere/", 1, 1000, 10
        )
        deployment.run_for(0.1)
        config = self.make_config(2)
        config["routes"].append({**config["routes"][2], "prefix": "/nowhere/"})
        version = host.lists_version()
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() > version)
        caller.connection.write(b"b" * 10)
        deployment.run(lambda: caller.is_complete)
        assert caller.status == 503
        assert b"Retry-After: " in caller.data

    # Requests that newer lists allow were refused on connections from before.
    def test_kept_connection_takes_the_limits_in_force(self, deployment, host):
        body = b"b" * (100 << 10)
        request = make_request("/register/7", "a1", method="POST", body=body)
        self.change_body_limit(deployment, host, len(body) - 1)
        refused = deployment.send(host, request)
        kept = deployment.send(host, make_request("/register/7", "a2", method="POST"))
        deployment.run(lambda: refused.is_complete and kept.is_complete)
        assert (refused.status, kept.status) == (413, 200)
        self.change_body_limit(deployment, host, len(body))
        kept.data = b""
        kept.connection.write(request)
        deployment.run(lambda: kept.is_complete or kept.is_closed)
        assert kept.status == 200

    def change_body_limit(self, deployment, host, size):
        version = host.lists_version()
        config = self.make_config(version + 1)
        config["limits"]["max_body_bytes"] = size
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() > version)

    # Each byte restarted the timeout, so that a head could take hours.
    def test_head_has_to_arrive_in_time_in_total(self, deployment, host, monkeypatch):
        limits = CallerLimits(header_s=0.3)
        monkeypatch.setattr(host, "caller_limits", lambda: limits)
        caller = deployment.send(host, b"GET / HTTP/1.1\r\nX: ")
        for _ in range(7):
            deployment.run_for(0.1)
            caller.connection.write(b"x")
        deployment.run(lambda: caller.is_complete, timeout_s=0.1)
        assert caller.status == 408

    # All pipelined requests ran, and their answers were kept for the one caller.
    def test_answers_that_are_not_read_hold_up_further_requests(
        self, deployment, desks, host, monkeypatch
    ):
        memory = bound(host)
        serve_large(desks, monkeypatch)
        data = b"".join(make_request("/lookup/7", f"a{n}") for n in range(30))
        with send_only(host, data):
            deployment.run_for(0.7)
        # The kernel takes the first ones.
        assert 0 < sum(len(desk.seen) for desk in desks) < 10
        assert len(LARGE) // 2 < memory.total_bytes < 2 * len(LARGE)

    def test_connections_whose_answers_are_not_read_are_reset(
        self, deployment, desks, host, monkeypatch
    ):
        memory = host.clients.memory
        serve_large(desks, monkeypatch)
        data = b"".join(make_request("/lookup/7", f"a{n}") for n in range(5))
        with contextlib.ExitStack() as crowd:
            for _ in range(12):
                crowd.enter_context(send_only(host, data))
                deployment.run_for(0.1)
                assert memory.total_bytes <= memory.bound_bytes
        assert b'reason="unread"' in host.telemetry.render(host)

    def test_idle_connection_makes_place_and_busy_ones_do_not(
        self, deployment, desks, host
    ):
        # Of 8 connections, 1 is for the internal listeners.
        bound(host, descriptors=216)
        idle = deployment.send(host, make_request("/lookup/7", "a0"))
        deployment.run(lambda: idle.is_complete)
        busy = [deployment.send(host, b"GET / HTTP/1.1\r\n") for _ in range(7)]
        deployment.run(lambda: idle.is_closed)
        assert not any(caller.is_closed for caller in busy)
        late = deployment.send(host, make_request("/lookup/7", "a1"))
        deployment.run(lambda: late.is_closed)
        assert not late.data
        page = host.telemetry.render(host)
        assert b'clients_given_up_total{host="entry-1",reason="connections"} 2' in page
        assert b'wagtailstair_clients{host="entry-1"} 7' in page

    # A lower share bounded only what came after the reload.
    def test_lower_share_of_the_memory_ends_connections(
        self, deployment, desks, host, tmp_path, monkeypatch
    ):
        memory = bound(host, memory_mb=152)
        address = host.settings.host.callers
        crowd = fill(deployment, address, "/lookup/7", 8, 2 << 20, 10)
        deployment.run(lambda: memory.total_bytes > 16 << 20)
        assert not any(caller.data for caller in crowd)
        # The gateway's own calls make it look for what to end as well.
        monkeypatch.setattr(host.pool, "on_buffered", lambda _change: None)
        section = "[clients]\nmemory_share = 0.01\n"
        reload(host, tmp_path / "host.toml", section)
        deployment.run(lambda: any(caller.is_complete for caller in crowd), 1.0)
        assert memory.total_bytes <= memory.bound_bytes == 12 << 20
        assert {caller.status for caller in crowd if caller.data} == {503}

    # Accepting failed at once again and again, and nothing else was served.
    @pytest.mark.parametrize("pause_s", [ClientLimits().accept_pause_s, 0.5])
    def test_accepting_pauses_without_descriptors(self, monkeypatch, pause_s):
        listener = FullListener()
        monkeypatch.setattr(connection_module.socket, "socket", lambda *_: listener)
        calls = []
        loop = types.SimpleNamespace(
            add=lambda _fd, _events, handler: calls.append(handler),
            change=lambda _fd, events: calls.append(events),
            call_later=lambda delay_s, callback: calls.extend([callback, delay_s]),
        )
        connection_module.listen(
            loop,
            ("127.0.0.1", 1),
            lambda _sock: None,
            lambda: ClientLimits(accept_pause_s=pause_s),
        )
        calls[0](connection_module.READABLE)
        assert calls[1] == 0
        assert calls[3] == pause_s
        calls[2]()
        assert calls[4] == connection_module.READABLE


class TestReload:
    """Guards against limits that a reload reports as taken and does not apply."""

    def parsed_ahead(self, deployment, host):
        """Return how many requests of a new connection are parsed, but not started."""
        before = set(host._callers)
        data = make_request("/lookup/7", "a0")
        deployment.send(host, data * 200)
        deployment.run(lambda: set(host._callers) - before)
        (caller,) = set(host._callers) - before
        deployment.run(lambda: caller.active_request is not None)
        return len(caller._reader.complete_requests)

    def test_requests_parsed_ahead_of_new_connections(
        self, deployment, desks, host, tmp_path, monkeypatch
    ):
        for desk in desks:
            monkeypatch.setattr(desk, "answer", lambda _pending: None)
        # One less than the limit, as the next part may hold two.
        assert self.parsed_ahead(deployment, host) == 7
        path = tmp_path / "host.toml"
        reload(host, path, "[clients]\npipelined_max = 4\n")
        assert self.parsed_ahead(deployment, host) == 3
        reload(host, path, "[clients]\npipelined_max = 3\n")
        assert self.parsed_ahead(deployment, host) == 3
        reload(host, path, "[clients]\n")
        assert self.parsed_ahead(deployment, host) == 7

    # Each connection used the limit of the default.
    def test_unread_answers_with_which_none_is_started(
        self, deployment, desks, host, tmp_path, monkeypatch
    ):
        part = b"l" * (200 << 10)
        serve_large(desks, monkeypatch, part)
        data = b"".join(make_request("/lookup/7", f"a{n}") for n in range(60))

        def unread_bytes():
            with send_only(host, data):
                deployment.run_for(0.7)
                (caller,) = host._callers
                pending_bytes = caller.pending_bytes
            deployment.run(lambda: not host._callers)
            return pending_bytes

        # One answer is started while less than the limit is unread.
        assert 64 << 10 < unread_bytes() < (64 << 10) + 2 * len(part)
        section = "[clients]\nunread_kb = 1024\n"
        reload(host, tmp_path / "host.toml", section)
        assert 1024 << 10 < unread_bytes() < (1024 << 10) + 2 * len(part)

    # The listeners kept the limits of the start.
    def test_places_stalls_and_pauses_change_at_once(
        self, deployment, tmp_path, monkeypatch
    ):
        listeners = []

        def listen(*arguments):
            listeners.append(arguments)
            return connection_module.listen(*arguments)

        monkeypatch.setattr(gateway_module, "listen", listen)
        host = deployment.add_host()
        memory = bound(host, descriptors=1000)
        section = (
            "[clients]\ndescriptor_share = 0.25\nstall_s = 3\naccept_pause_s = 0.5\n"
        )
        reload(host, tmp_path / "host.toml", section)
        assert sum(memory.bound_by_group.values()) == 200
        limits = host.clients.limits()
        assert (limits.stall_s, limits.accept_pause_s) == (3.0, 0.5)
        assert len(listeners) == 3
        for _, _, _, read_limits in listeners:
            assert read_limits() == limits

    # A host that starts with the section used the defaults until a reload.
    def test_start_applies_the_section(self, deployment):
        host = deployment.add_host(
            "entry-2", more_settings="[clients]\npipelined_max = 4\n"
        )
        assert host.clients.limits().pipelined_max == 4


class FullListener(unittest.mock.MagicMock):
    """A listening socket of a process that has no descriptor left."""

    def accept(self):
        raise OSError(errno.EMFILE, "too many open files")

    def fileno(self):
        return 7


LARGE = b"l" * (3 << 20)


def send_only(host, data):
    """Send requests on a new connection from which nothing is read."""
    ip, _, port = host.settings.host.callers.rpartition(":")
    sock = socket.create_connection((ip, int(port)))
    sock.sendall(data)
    return sock


def serve_large(desks, monkeypatch, body=LARGE):
    """Let services answer with bodies that the gateway passes on in one piece."""

    def answer(pending):
        attempt = pending.request.header(b"x-attempt-id")
        signed = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        pending.caller.answer(200, b"", signed, body)

    for desk in desks:
        monkeypatch.setattr(desk, "answer", answer)
