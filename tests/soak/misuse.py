"""One misbehaving client of each kind that docs/design/overload.md lists, Part B."""

import dataclasses
import random
import typing as t

from tests.client_crowds import CrowdClient
from tests.client_crowds import chunks
from tests.soak.checker import CallerRequest
from tests.soak.checker import InvariantChecker
from tests.soak.checker import Key
from tests.soak.checker import Kind
from tests.soak.hosts import HostProcess
from wagtailstair.gateway.loop import Loop

BODY_BYTES = 1 << 20
"""The limit max_body_bytes of the soak's lists."""

MISSING_BYTES = 10
PIECE_BYTES = 16 << 10
STALLED = bytes(BODY_BYTES - MISSING_BYTES)
CHUNKED = chunks(STALLED, PIECE_BYTES)
OVERSIZED = bytes(2 * BODY_BYTES)
FIELDS = "ab: cd\r\n" * 1900
PIPELINED = 200

CONNECTIONS = 30
"""Connections of a client, more than the 28 that a host admits. With 10, hosts without
limits stayed under their stated memory; with 30, the check of memory fails for them."""

HOLD_S = (1.0, 3.0)
PAUSE_S = (0.2, 2.0)
"""Bounds of the time for which a client holds its connections, and of its pauses."""

PATHS = ("/register/", "/nothing/", "/readyz/")


class Plan(t.NamedTuple):
    """What a connection sends, and how.

    ``whole``: its complete requests, as attempt id and body; others must not run.
    """

    buffers: list[bytes]
    whole: list[tuple[str, bytes]] = []
    options: dict[str, t.Any] = {}


def make_plans(path: str, name: str, key: Key) -> dict[str, Plan]:
    """Return what a client sends on one of its connections, by the kind of client."""

    def head(framing: str | int, attempt: str = name) -> bytes:
        lines = f"POST {path}{attempt} HTTP/1.1\r\nHost: desk.example\r\n"
        lines += f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1000\r\n"
        lines += f"Authorization: Token {key.text}\r\n"
        if isinstance(framing, int):
            framing = f"Content-Length: {framing}"
        return f"{lines}{framing}\r\n\r\n".encode()

    body, empty = head(BODY_BYTES), head(0)
    whole = head(FIELDS + "Content-Length: 1") + b"b"
    stalled = head(FIELDS + f"Content-Length: {MISSING_BYTES}", name + "s")
    names = [f"{name}-{number}" for number in range(PIPELINED)]
    ahead = b"".join(head(0, item) for item in names)
    return {
        "body": Plan([body, STALLED]),
        "pieces": Plan([body, STALLED], options={"piece_bytes": PIECE_BYTES}),
        "chunks": Plan([head("Transfer-Encoding: chunked"), CHUNKED]),
        "oversized": Plan([head(len(OVERSIZED)), OVERSIZED]),
        "fields": Plan([whole, stalled], [(name, b"b")]),
        "pipelined": Plan([ahead], [(item, b"") for item in names], {"read_bytes": 0}),
        "slow_sender": Plan([body], options={"piece_bytes": 1, "pause_s": 0.2}),
        "slow_reader": Plan([empty], [(name, b"")], {"read_bytes": 1, "pause_s": 0.2}),
        "half_head": Plan([stalled[: len(stalled) // 2]]),
    }


CLIENT_KINDS = tuple(make_plans("", "", Key("", "", 0)))


@dataclasses.dataclass(slots=True)
class MisbehavingClient:
    """A client that opens connections to one host after another."""

    loop: Loop
    checker: InvariantChecker
    hosts: t.Sequence[HostProcess]
    key: Key
    kind: str
    rng: random.Random
    is_stopped: bool = False
    _opened: int = 0
    _connections: list[CrowdClient] = dataclasses.field(default_factory=list)

    def start(self) -> None:
        """Open connections to a running host; they are closed after a while."""
        if self.is_stopped:
            return
        host = self.rng.choice(self.hosts)
        path = self.rng.choice(PATHS)
        if host.is_running:
            for _ in range(CONNECTIONS):
                self._open(host, path)
        self.loop.call_later(self.rng.uniform(*HOLD_S), self._close)

    def _open(self, host: HostProcess, path: str) -> None:
        self._opened += 1
        name = f"{self.kind}-{self._opened}"
        plan = make_plans(path, name, self.key)[self.kind]
        is_internal = path == "/readyz/"
        address = host.readiness_address if is_internal else host.caller_address
        sender = (self.key, host.name, host.incarnation, self.loop.now, 1.0)
        for attempt, body in plan.whole:
            sent = ("POST", path + attempt, body, *sender, self.checker.version)
            request = CallerRequest(attempt, Kind.NON_IDEMPOTENT, *sent)
            self.checker.record_request(request)
        attempts = [attempt for attempt, _ in plan.whole]
        self._connections.append(
            CrowdClient(self.loop, address, plan.buffers, attempts, **plan.options)
        )

    def _close(self) -> None:
        """Close the connections, and report which requests the host rejected."""
        for connection in self._connections:
            connection.read_arrived()
            connection.close()
            for attempt in connection.rejected():
                self.checker.check_rejection(attempt, self.loop.now)
        self._connections = []
        self.loop.call_later(self.rng.uniform(*PAUSE_S), self.start)
