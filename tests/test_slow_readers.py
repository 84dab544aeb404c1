"""Answers that clients on slow links take longer to read than a connection lingers.

They were cut a second after the gateway had closed the connection for sending, at a
planned stop, after ``Connection: close`` and past the idle limit.
"""

import socket

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request

BODY = bytes(range(256)) * (12 << 10)
READ_BYTES = 4 << 10
"""Also the size of the receive buffer: with a small window the kernel of the sender
keeps little of an answer."""

READ_INTERVAL_S = 0.005
"""The body takes some seconds; a connection lingers for one."""


class SlowReader:
    """A client that reads a few bytes at a time, or none."""

    def __init__(self, loop, address, data, *, is_stuck=False):
        ip, _, port = address.rpartition(":")
        self.loop = loop
        self.data = b""
        self.is_closed = False
        self.is_stuck = is_stuck
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        self._sock.connect((ip, int(port)))
        self._sock.setblocking(False)
        self._sock.sendall(data)
        self._read()

    def _read(self):
        if self.is_closed:
            return
        self.loop.call_later(READ_INTERVAL_S, self._read)
        if self.is_stuck and self.data:
            return
        try:
            part = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            part = b""
        self.data += part
        self.is_closed = not part

    @property
    def body(self):
        return self.data.partition(b"\r\n\r\n")[2]


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_lists(idle_ms=15_000))
    return deployment


def make_lists(*, idle_ms, version=1):
    config = make_config(version)
    config["routes"][2].update(service="desk", split=None)
    config["limits"]["idle_timeout_ms"] = idle_ms
    return config


@pytest.fixture
def desk(deployment):
    desk = deployment.add_service("i-desk")

    def answer(pending):
        attempt = pending.request.header(b"x-attempt-id")
        signed = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        pending.caller.answer(200, b"Fine", signed, BODY)

    desk.answer = answer
    return desk


@pytest.fixture
def host(deployment, desk):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    return host


def send(deployment, host, attempt="a1", headers="", **options):
    request = make_request("/lookup/7", attempt, headers=headers)
    address = host.settings.host.callers
    return SlowReader(deployment.loop, address, request, **options)


class Exit:
    """Notes when a gateway ends its loop, without ending that of the test."""

    def __init__(self, host, monkeypatch):
        self.at = None
        self.loop = host.loop
        monkeypatch.setattr(host, "_exit", self.record)

    def record(self):
        self.at = self.loop.now


class TestWholeAnswers:
    def test_planned_stop(self, deployment, host, monkeypatch):
        ended = Exit(host, monkeypatch)
        caller = send(deployment, host)
        deployment.run(lambda: len(caller.data) > READ_BYTES)
        began_at = deployment.loop.now
        host.drain()
        deployment.run(lambda: caller.is_closed)
        assert caller.body == BODY
        deployment.run(lambda: ended.at is not None)
        assert ended.at - began_at < host.settings.shutdown.grace_s

    def test_connection_close(self, deployment, host):
        caller = send(deployment, host, headers="Connection: close")
        deployment.run(lambda: caller.is_closed)
        assert caller.body == BODY

    def test_idle_limit(self, deployment, host):
        deployment.store.put("op", "config", make_lists(idle_ms=1000, version=2))
        deployment.run(lambda: host.lists_version() == 2)
        caller = send(deployment, host)
        deployment.run(lambda: caller.is_closed)
        assert caller.body == BODY


class TestClientsThatStopReading:
    def test_planned_stop_ends_within_the_grace(self, deployment, host, monkeypatch):
        ended = Exit(host, monkeypatch)
        callers = [send(deployment, host, f"a{n}", is_stuck=True) for n in range(3)]
        deployment.run(lambda: all(caller.data for caller in callers))
        began_at = deployment.loop.now
        host.drain()
        deployment.run(lambda: ended.at is not None)
        assert ended.at - began_at < host.settings.shutdown.grace_s

    def test_connection_ends_after_the_idle_limit(self, deployment, host):
        deployment.store.put("op", "config", make_lists(idle_ms=1000, version=2))
        deployment.run(lambda: host.lists_version() == 2)
        caller = send(deployment, host, headers="Connection: close", is_stuck=True)
        deployment.run(lambda: bool(caller.data))
        assert host.clients.memory.connections == 1
        deployment.run(lambda: host.clients.memory.connections == 0)
        caller.is_stuck = False
        deployment.run(lambda: caller.is_closed)
        assert len(caller.body) < len(BODY)
