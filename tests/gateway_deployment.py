"""A small deployment on loopback: store, upstreams and hosts on one event loop."""

import base64
import functools
import itertools
import json
import os
import socket
import typing as t
import urllib.parse

from tests.gateway_data import encode
from tests.slow_link import SlowLink
from wagtailstair.clock import SystemClock
from wagtailstair.core.directory import CallerLimits
from wagtailstair.gateway.caller import Caller
from wagtailstair.gateway.connection import Connection
from wagtailstair.gateway.connection import connect
from wagtailstair.gateway.connection import listen
from wagtailstair.gateway.gateway import Gateway
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.requests import Request
from wagtailstair.gateway.settings import parse_settings

IP = "127.0.0.1"
RUN_TIMEOUT_S = 20.0


FIRST_PORT = 20_000
PORTS = 12_000
"""Ports of hosts in this process: below those of outgoing connections, which may take
a port between the check and its use, and above those of the soak's processes."""

_port_numbers = itertools.count(os.getpid() * 131)


def free_port() -> int:
    """Return a port that is free for TCP and UDP, another one each time."""
    for number in itertools.islice(_port_numbers, PORTS):
        port = FIRST_PORT + number % PORTS
        with (
            socket.socket() as sock,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                sock.bind((IP, port))
                datagrams.bind((IP, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port from {FIRST_PORT} on")


class PendingRequest:
    """A request whose answer is sent later, or never."""

    def __init__(self, caller: Caller, request: Request) -> None:
        self.caller = caller
        self.request = request
        self.is_caller_gone = False
        # The number of the event before which an engine ends.
        self.ends_before: int | None = None

    def on_caller_gone(self) -> None:
        self.is_caller_gone = True


class Server:
    """An HTTP server; subclasses answer the requests."""

    is_draining = False

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.callers: set[Caller] = set()
        self.seen: list[Request] = []
        self.socket = listen(loop, (IP, 0), self._on_accept)
        self.port = self.socket.getsockname()[1]
        self.address = f"{IP}:{self.port}"

    def _on_accept(self, sock: socket.socket) -> None:
        self.callers.add(Caller(self, sock))

    def caller_limits(self) -> CallerLimits:
        return CallerLimits(body_bytes=1 << 24)

    def on_caller_closed(self, caller: Caller) -> None:
        self.callers.discard(caller)

    def on_caller_finished(self, caller: Caller) -> None:
        pass

    def start(self, caller: Caller, request: Request) -> PendingRequest | None:
        self.seen.append(request)
        pending = PendingRequest(caller, request)
        self.answer(pending)
        return pending

    def answer(self, pending: PendingRequest) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        self.loop.remove(self.socket.fileno())
        self.socket.close()
        for caller in list(self.callers):
            caller.close()

    def end(self) -> None:
        """End like a process: the kernel closes its connections in order."""
        self.loop.remove(self.socket.fileno())
        self.socket.close()
        callers, self.callers = self.callers, set()
        for caller in callers:
            request, caller._active_request = caller._active_request, None
            if request is not None:
                request.on_caller_gone()
            caller._connection.close()
            caller._on_closed()

    def listen_again(self) -> None:
        self.socket = listen(self.loop, (IP, self.port), self._on_accept)


class Store(Server):
    """The platform's store.

    ``mode``: ``ok``; ``busy``: answers 503; ``silent``: does not answer; ``lost``:
    applies transactions without an answer.

    ``era``: named in all answers, ``None`` to leave it out.
    """

    def __init__(self, loop: Loop) -> None:
        super().__init__(loop)
        self.mode = "ok"
        self.era: int | None = 1
        self.version = 1
        self.row_by_key: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.waiting: list[tuple[PendingRequest, str, int]] = []

    def copy(self) -> tuple[int, dict[tuple[str, str], tuple[bytes | None, int]]]:
        """Return a copy of the whole store."""
        return self.version, dict(self.row_by_key)

    def come_back(self, copy: tuple[int, t.Any]) -> None:
        """Come back from a copy, and give versions out again."""
        self.version, rows = copy
        self.row_by_key = dict(rows)
        self.era = (self.era or 0) + 1

    def put(self, table: str, key: str, value: object | None) -> None:
        self.version += 1
        data = None if value is None else encode(value)
        self.row_by_key[table, key] = (data, self.version)
        waiting, self.waiting = self.waiting, []
        for pending, feed_table, after in waiting:
            self.feed(pending, feed_table, after)

    def answer(self, pending: PendingRequest) -> None:
        if self.mode == "silent":
            return
        if self.mode == "busy":
            pending.caller.answer(503, b"", (), b"")
            return
        parts = urllib.parse.urlsplit(pending.request.target.decode())
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/rows-get":
            self.reply(pending, 200, self.rows(query["table"], live=True))
        elif parts.path == "/rows-feed":
            self.feed(pending, query["table"], int(query["after"]))
        else:
            self.transact(pending, json.loads(pending.request.body))

    def feed(self, pending: PendingRequest, table: str, after: int) -> None:
        if after > self.version:
            self.reply(pending, 410, [])
            return
        rows = [row for row in self.rows(table) if row["ver"] > after]
        if not rows and "wait_ms=0" not in pending.request.target.decode():
            self.waiting.append((pending, table, after))
            return
        if not pending.is_caller_gone:
            self.reply(pending, 200, rows)

    def rows(self, table: str, *, live: bool = False) -> list[dict[str, t.Any]]:
        rows = []
        for (name, key), (value, version) in sorted(self.row_by_key.items()):
            if name != table or (live and value is None):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        return rows

    def transact(self, pending: PendingRequest, body: dict[str, t.Any]) -> None:
        for row in body["expect_rev"]:
            _, version = self.row_by_key.get((row["table"], row["key"]), (None, 0))
            if version != row["ver"]:
                self.reply(pending, 412, self.rows(row["table"]))
                return
        for row in body["writes"]:
            value = json.loads(base64.b64decode(row["value"]))
            self.put(row["table"], row["key"], value)
        if self.mode != "lost":
            self.reply(pending, 200, [])

    def reply(self, pending: PendingRequest, status: int, rows: list[t.Any]) -> None:
        body = {"rows": rows, "truncated": False, "ver": self.version, "now_ms": 1}
        headers: list[tuple[bytes, bytes]] = []
        if self.era is not None:
            headers.append((b"Store-Era", str(self.era).encode()))
        pending.caller.answer(status, b"", headers, encode(body))


class Service(Server):
    """A plain service; ``script``: how the next requests are answered, in order."""

    def __init__(self, loop: Loop, store: Store, name: str) -> None:
        super().__init__(loop)
        self.name = name
        self.store = store
        self.script: list[str] = []
        self.runs: list[str] = []
        # Requests a second that it names in its answers, as the header has it.
        self.limit = b""
        # Whether it says in its answers that it leaves; the row may not say so.
        self.is_leaving = False
        # Retry-After of its refusals.
        self.pause = b""
        # Times of arrival of requests, but not of orders and reports.
        self.arrived_at: list[float] = []
        # Bytes that a faulty upstream writes before its next answer.
        self.copies: list[bytes] = []
        # The connection and attempt of each request, in order of arrival.
        self.arrivals: list[tuple[int, str]] = []
        self.row: dict[str, t.Any] = {
            "service": "desk",
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1000,
        }

    def write_row(self, **changes: t.Any) -> None:
        """Write this upstream's row to the store, with some values changed."""
        self.row.update(changes)
        self.store.put("servers", self.name, self.row)

    def answer(self, pending: PendingRequest) -> None:
        attempt = pending.request.header(b"x-attempt-id")
        self.record_arrival(pending)
        step = self.script.pop(0) if self.script else "ok"
        signed = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        signed += self.notices()
        if step == "not found":
            pending.caller.answer(404, b"", signed, b"no such thing\n\nid: 99\n\n")
            return
        if step == "refuse":
            self.refuse(pending)
            return
        self.runs.append(attempt.decode())
        if step.startswith(("half head", "status")):
            self.write_head(pending, step, signed)
        elif step == "lose":
            pending.caller.abort_answer()
        elif step == "unsigned":
            pending.caller.answer(200, b"", signed[:1], b"body")
        elif step == "foreign":
            pending.caller.answer(200, b"", [(b"X-Attempt-Id", b"other")], b"other")
        elif step == "unflagged":
            pending.caller.answer(503, b"", signed, b"")
        elif step == "error":
            pending.caller.answer(500, b"", signed, b"error")
        elif step != "silent":
            pending.caller.answer(200, b"Fine", signed, b"body of " + attempt)

    def write_head(
        self, pending: PendingRequest, step: str, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Answer with a part of a head, or with a status as it is written."""
        connection = pending.caller._connection
        lines = [b": ".join(header) for header in headers]
        if step.startswith("status "):
            status = step.removeprefix("status ").encode()
            lines = [b"HTTP/1.1 %b X" % status, *lines, b"Content-Length: 3"]
            connection.write(b"\r\n".join([*lines, b"", b"odd"]))
            return
        # Ends in order after so many bytes of the head.
        lines = [b"HTTP/1.1 200 OK", *lines, b"Content-Length: 9", b"", b""]
        data = b"\r\n".join(lines)
        length = int(step.removeprefix("half head "))
        connection.write(data[: length or len(data) - 2])
        pending.caller._close_gracefully()

    def notices(self) -> list[tuple[bytes, bytes]]:
        """Return the headers in which it speaks about itself."""
        headers = []
        if self.limit:
            headers.append((b"Server-Limit", self.limit))
        if self.is_leaving:
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def refuse(self, pending: PendingRequest) -> None:
        """Refuse a request as not run."""
        attempt = pending.request.header(b"x-attempt-id")
        refused = [(b"X-Attempt-Id", attempt), (b"X-Not-Executed", b"1")]
        refused += self.notices()
        if self.pause:
            refused.append((b"Retry-After", self.pause))
        pending.caller.answer(503, b"", refused, b"")

    def record_arrival(self, pending: PendingRequest) -> None:
        """Record a request, and write the copies of earlier answers first."""
        attempt = pending.request.header(b"x-attempt-id").decode()
        self.arrivals.append((id(pending.caller), attempt))
        self.arrived_at.append(self.loop.now)
        while self.copies:
            pending.caller._connection.write(self.copies.pop(0))


class Engine(Service):
    """A model engine; the first engine of a path sends the events of the stream.

    ``deadly_part``: the part of a prompt under which it ends as it begins to answer;
    ``ends``: how often it has ended; ``restart_s``: seconds until it is back, empty;
    ``answer_after_s``: seconds before it begins to answer; ``first_event_s``: seconds
    from then to the first event.
    """

    events = 12
    pause_s = 0.01
    deadly_part = ""
    # What each request has under which the engine ends.
    deadly_body = b""
    # Events that are written under the deadly part before the engine ends; negative if
    # it ends before the head of the answer.
    deadly_events = 0
    # Whether it ends although the caller of the deadly request has left meanwhile.
    ends_after_cancel = False
    restart_s = 0.3
    answer_after_s = 0.0
    first_event_s = 0.0
    # Answers have neither a length nor chunks and end with the connection.
    is_unframed = False
    # A cut stream ends like a whole one, not with a reset.
    cuts_in_order = False

    def __init__(self, loop: Loop, store: Store, name: str, kind: str) -> None:
        super().__init__(loop, store, name)
        self.row.update(service="engines", kind=kind, layers=None, slots=96)
        self.orders: list[dict[str, t.Any]] = []
        self.ends = 0
        self.last_ids: list[bytes] = []
        self.cut_after: int | None = None
        self.freeze_after: int | None = None
        # What a frozen stream still sends from time to time.
        self.drip = b""
        # The address of an engine over which new paths of requests are refused.
        self.missing: str | None = None

    def answer(self, pending: PendingRequest) -> None:
        request = pending.request
        if request.path == "/order":
            named = request.header(b"x-target-replica").decode()
            if named and named != self.name:
                pending.caller.answer(421, b"", (), b"")
                return
            order = json.loads(request.body)
            self.orders.append(order)
            if self.missing is not None and self.missing in order.get("path", ""):
                pending.caller.answer(409, b"", (), encode({"address": self.missing}))
                return
            pending.caller.answer(202, b"", (), b"")
            if order["op"] == "place":
                layers = {"from": order["from"], "target": order["target"]}
                self.write_row(layers={**layers, "version": 1})
            return
        if request.path == "/report":
            pending.caller.answer(200, b"", (), b"{}")
            return
        if self.script:
            super().answer(pending)
            return
        attempt = request.header(b"x-attempt-id")
        self.record_arrival(pending)
        self.runs.append(attempt.decode())
        last = request.header(b"last-event-id")
        self.last_ids.append(last)
        self.loop.call_later(self.answer_after_s, lambda: self.begin(pending, last))

    def begin(self, pending: PendingRequest, last: bytes) -> None:
        """Begin the answer, or end under it."""
        request = pending.request
        attempt = request.header(b"x-attempt-id")
        parts = request.header_list(b"x-prompt-prefix").decode().split(",")[:-1]
        is_deadly = self.deadly_part in [part.partition(":")[0] for part in parts]
        is_deadly |= bool(self.deadly_body) and request.body == self.deadly_body
        if pending.is_caller_gone:
            if is_deadly and self.ends_after_cancel:
                self.crash()
            return
        if is_deadly and self.deadly_events < 0:
            self.crash()
            return
        headers = [
            (b"X-Attempt-Id", attempt),
            (b"X-Response-Signature", b"sig-" + self.name.encode()),
            (b"Content-Type", b"text/event-stream"),
            *self.notices(),
        ]
        if self.is_unframed:
            lines = [b"HTTP/1.1 200 OK", *(b": ".join(header) for header in headers)]
            pending.caller._connection.write(b"\r\n".join(lines) + b"\r\n\r\n")
        else:
            pending.caller.begin(200, b"OK", headers)
        first = int(last or 0) + 1
        if is_deadly:
            pending.ends_before = first + self.deadly_events
        if pending.ends_before == first:
            self.crash()
            return
        self.loop.call_later(self.first_event_s, lambda: self.emit(pending, first))

    def crash(self) -> None:
        """End, and start again at the same address without layers or memory."""
        self.ends += 1
        self.end()
        self.loop.call_later(self.restart_s, self.restart)

    def restart(self) -> None:
        self.listen_again()
        self.write_row(born=self.row["born"] + 1, layers=None)

    def write(self, pending: PendingRequest, data: bytes) -> None:
        if self.is_unframed:
            pending.caller._connection.write(data)
            return
        pending.caller.send(data)

    def end_stream(self, pending: PendingRequest, *, is_cut: bool) -> None:
        if is_cut and not self.cuts_in_order:
            pending.caller.abort_answer()
            return
        if self.is_unframed:
            pending.caller._close_gracefully()
            return
        pending.caller.end()

    def emit(self, pending: PendingRequest, number: int) -> None:
        if pending.is_caller_gone:
            return
        if pending.ends_before is not None and number >= pending.ends_before:
            self.crash()
            return
        if self.freeze_after is not None and number > self.freeze_after:
            if self.drip:
                self.write(pending, self.drip)
                self.loop.call_later(0.1, lambda: self.emit(pending, number))
            return
        if self.cut_after is not None and number > self.cut_after:
            self.write(pending, b"id: %d\nda" % number)
            self.end_stream(pending, is_cut=True)
            return
        if number > self.events:
            self.end_stream(pending, is_cut=False)
            return
        self.write(pending, b"id: %d\ndata: event %d\n\n" % (number, number))
        self.loop.call_later(self.pause_s, lambda: self.emit(pending, number + 1))


class CallerConnection:
    """A caller's connection: the bytes received, and whether it was closed."""

    def __init__(self, loop: Loop, address: str, data: bytes) -> None:
        self.data = b""
        self.is_closed = False
        self.is_reset = False
        ip, _, port = address.rpartition(":")
        self.connection: Connection = connect(
            loop, (ip, int(port)), self._on_data, self._on_lost, lambda: None
        )
        self.connection.write(data)

    def _on_data(self, data: bytes) -> None:
        if not data:
            self.is_closed = True
        self.data += data

    def _on_lost(self, _error: OSError) -> None:
        self.is_closed = self.is_reset = True

    @property
    def status(self) -> int:
        return int(self.data.split(b" ", 2)[1]) if self.data else 0

    @property
    def is_complete(self) -> bool:
        head, found, body = self.data.partition(b"\r\n\r\n")
        if not found:
            return False
        if b"Transfer-Encoding: chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        length = head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]
        return len(body) >= int(length or 0)

    @property
    def body(self) -> bytes:
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"Transfer-Encoding: chunked" not in head:
            return body
        out = b""
        while body:
            size, _, rest = body.partition(b"\r\n")
            length = int(size, 16)
            out += rest[:length]
            body = rest[length + 2 :]
        return out


SETTINGS = """
[host]
name = "{name}"
data_centre = "{centre}"
address = "127.0.0.1"
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
peer_ports = [{peers}, {peers}]

[store]
address = "{store}"
reads_per_s = 2000.0
writes_per_s = 400.0
lapse_s = 0.3
rewrite_s = 1.0

[retries]
ratio = 0.2
slack = 200
window_s = 10

[shutdown]
grace_s = 8
"""


class Deployment:
    """A store, upstreams and gateways, and the loop that runs them."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.loop = Loop(self.clock)
        self.store = Store(self.loop)
        self.upstreams: list[Service] = []
        self.hosts: list[Gateway] = []

    def add_service(self, name: str) -> Service:
        service = Service(self.loop, self.store, name)
        service.write_row()
        self.upstreams.append(service)
        return service

    def add_engine(self, name: str, kind: str = "a100", centre: str = "a") -> Engine:
        engine = Engine(self.loop, self.store, name, kind)
        engine.write_row(zone=centre)
        self.upstreams.append(engine)
        return engine

    def add_host(
        self,
        name: str = "entry-1",
        store: str | None = None,
        uplink: SlowLink | None = None,
        more_settings: str = "",
    ) -> Gateway:
        """Start a gateway; its answers to peers go over ``uplink`` if it is given.

        :param more_settings: sections to add to the usual ones.
        """
        text = SETTINGS.format(
            name=name,
            centre="a",
            callers=free_port(),
            readiness=free_port(),
            peers=free_port(),
            store=store or self.store.address,
        )
        gateway = Gateway(parse_settings(text + more_settings), self.clock, self.loop)
        if uplink is not None:
            accept = gateway._on_peer_connection
            gateway._on_peer_connection = functools.partial(uplink.wrap, accept)
        gateway.start_serving()
        self.hosts.append(gateway)
        return gateway

    def run(
        self, condition: t.Callable[[], bool], timeout_s: float = RUN_TIMEOUT_S
    ) -> None:
        """Run the loop until a condition holds; fail after a timeout."""
        deadline = self.clock.monotonic() + timeout_s

        def check() -> None:
            if condition() or self.clock.monotonic() > deadline:
                self.loop.stop()
            else:
                self.loop.call_later(0.005, check)

        self.loop.now = self.clock.monotonic()
        self.loop.call_later(0.0, check)
        self.loop.run()
        assert condition(), "the condition did not hold in time"

    def run_for(self, seconds: float) -> None:
        """Run the loop for some time."""
        until = self.clock.monotonic() + seconds
        self.run(lambda: self.clock.monotonic() >= until)

    def send(self, gateway: Gateway, data: bytes) -> CallerConnection:
        return CallerConnection(self.loop, gateway.settings.host.callers, data)

    def send_and_wait(self, gateway: Gateway, data: bytes) -> CallerConnection:
        """Send a request; return when it is answered or the connection is closed."""
        connection = self.send(gateway, data)
        self.run(lambda: connection.is_complete or connection.is_closed)
        return connection


def make_request(
    path: str,
    attempt: str,
    *,
    method: str = "GET",
    key: str | None = "key-one",
    body: bytes = b"",
    headers: str = "",
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example"]
    lines += [f"X-Attempt-Id: {attempt}", "X-Deadline-Ms: 5000"]
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if headers:
        lines.append(headers)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_stream(
    attempt: str,
    parts: tuple[str, ...] = (),
    *,
    own: str = "",
    body: bytes = b"p" * 300,
    **options: t.Any,
) -> bytes:
    """Return a request for a stream; the last part of its prompt is its own.

    :param own: id of the last part, by default one that no other request has; ``-``
        for a request without parts.
    """
    headers = f"X-Token-Usage: {len(body)},80\r\nX-Model: m"
    if own != "-":
        prefix = ",".join(f"{part}:100" for part in (*parts, own or f"e{attempt}"))
        headers += f"\r\nX-Prompt-Prefix: {prefix}"
    return make_request(
        "/draft/1", attempt, method="POST", body=body, headers=headers, **options
    )
