"""Stand-ins of model engines: they take orders, report, and hold layers."""

import asyncio
import json
import time
import typing as t

import rig

LAYERS = 80
LAYER_MB = 1750.0
LOAD_S = 14.0
FIRST_LOADS = 0.1
"""Loads before the first request take a tenth of the time."""

RESTART_S = 2.0
EVENT_S = 0.05
MEGABYTES_BY_KIND = {"a100": 72_000.0, "v100": 14_400.0, "l4": 21_600.0}


def engine_service(name: str) -> dict[str, t.Any]:
    """Return a service of engines, with the figures of the pages' examples."""
    kinds = [
        {"name": "a100", "megabytes": 72000.0, "pace": 2.4, "read_factor": 3.2},
        {"name": "v100", "megabytes": 14400.0, "pace": 5.3, "read_factor": 7.9},
        {"name": "l4", "megabytes": 21600.0, "pace": 16.0, "read_factor": 8.2},
    ]
    engine = {
        "slots": 96,
        "kv_capacity_tokens": 50000,
        "kv_token_bytes": 1180000,
        "link_mbps": 400000.0,
        "stride": 4,
        "models": [{"name": "m", "pace": 1.0, "load_s": LOAD_S, "warm_s": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00918,
        "context_per_k": 0.0123,
        "read_per_s": 164000.0,
        "pairs_per_m": 0.199,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_per_s": 0.0,
        "loads_at_once": 6,
        "delays": [
            {"from": "a", "target": "b", "delay_ms": 0.5},
            {"from": "a", "target": "c", "delay_ms": 0.5},
            {"from": "b", "target": "c", "delay_ms": 0.5},
        ],
        "usual": {"prompt": 775, "answer": 216},
        "layers": LAYERS,
        "layer_mb": LAYER_MB,
        "activation_bytes": 59000,
        "pipe_mbps": 13000.0,
        "kinds": kinds,
    }
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 988,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def stream_route(name: str, service: str) -> dict[str, t.Any]:
    """Return a route of streams at the prefix ``/NAME/``."""
    return {
        **rig.plain_route(name, "streaming", service, 20000),
        "aim_ms": 500,
        "attempts": 2,
        "sticky": True,
        "can_resume": True,
        "gap_target_ms": 250,
    }


def _parts(request: rig.Request) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    text = request.headers.get("x-prompt-prefix", "")
    return [entry.partition(":")[0] for entry in text.split(",")]


async def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
    await writer.drain()


class Order(t.NamedTuple):
    """An order that an engine has got, and its answer."""

    at: float
    body: dict[str, t.Any]
    status: int


class Engine(rig.Replica):
    """A model engine.

    ``orders``: those that it has got; ``excess``: those over its memory;
    ``deadly_part``: the part of a prompt under which it crashes as it begins to
    write an answer; ``ended_at``: when it has; ``deadly_events``: events that it
    writes before; ``events``: events of a stream;
    ``first_event_s``: seconds to read a prompt; ``comment_every``: events after which
    a comment follows, 0 for no comments.
    """

    deadly_part = ""
    deadly_events = 0
    events = 20
    first_event_s = 0.0
    comment_every = 0

    def __init__(
        self, record: rig.Record, store: rig.Store, service: str, zone: str, kind: str
    ) -> None:
        super().__init__(record, store, service, zone, slots=96)
        self.kind = kind
        self.megabytes = MEGABYTES_BY_KIND[kind]
        self.orders: list[Order] = []
        self.excess: list[str] = []
        self.ended_at: list[float] = []
        self._sequence = 0
        self._is_busy = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.row.update(stage="unified", models=[], kind=kind, layers=None)

    async def answer(
        self, request: rig.Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer an order, a report or a request."""
        if request.path == "/report":
            return self.misdirected(request) or self._report()
        if request.path == "/order":
            return self.misdirected(request) or await self._order(request)
        return await super().answer(request, writer)

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run something beside the connection that asks for it."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def restart(self) -> None:
        """Crash, and be back after some seconds with nothing of before."""
        ip, _, port = self.address.rpartition(":")
        await self.crash()
        await asyncio.sleep(RESTART_S)
        self._sequence = 0
        self._is_busy = False
        self.row.update(layers=None, models=[], sequence=0)
        await self.start(ip, int(port))
        self.record.note(f"{self.name} is back")

    def _report(self) -> bytes:
        body = {
            "stage": "unified",
            "models": [],
            "born": self.row["born"],
            "busy": self._is_busy,
            "sequence": self._sequence,
            "queue_depth": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 100000,
            "handles": 0,
            "layers": self.row["layers"],
            "kind": self.kind,
        }
        data = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), *self.notices()]
        return rig.encode_answer(200, headers, data)

    async def _order(self, request: rig.Request) -> bytes | None:
        body = json.loads(request.body)
        status = self._status_of(body)
        self.orders.append(Order(time.monotonic(), body, status))
        self.record.note(
            f"{self.name} ({self.row['service']}, {self.kind}, "
            f"{self.megabytes:.0f} MB, {self.address}) is ordered {json.dumps(body)}"
            f" -> {status}"
        )
        if status != 202:
            return rig.encode_answer(status, [], b"{}")
        count = body["target"] - body["from"]
        self._sequence += 1
        needed_mb = count * LAYER_MB
        if needed_mb > self.megabytes:
            self.excess.append(
                f"{self.name} of {self.row['service']} ({self.kind}) is ordered to "
                f"hold {count} layers, {needed_mb:.0f} MB of {self.megabytes:.0f} MB"
            )
            await self.crash()
            return None
        self._is_busy = True
        self.spawn(self._load(body, count))
        return rig.encode_answer(202, [], b"{}")

    def _status_of(self, body: dict[str, t.Any]) -> int:
        if body.get("op") == "repath":
            return 404
        if body.get("op") != "place":
            return 400
        if "expect_rev" in body and body["expect_rev"] != self._sequence:
            return 409
        return 409 if self._is_busy else 202

    async def run_request(
        self, request: rig.Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer with a stream, if this engine begins the path and holds its part."""
        first = request.headers.get("x-hop-count", "").partition(",")[0]
        address, _, span = first.partition("=")
        begin, _, end = span.partition("-")
        layers = self.row["layers"] or {"from": 0, "target": 0}
        if address != self.address:
            return rig.encode_answer(400, [("X-Not-Executed", "1")], b"")
        if not layers["from"] <= int(begin) < int(end) <= layers["target"]:
            return rig.encode_answer(421, [("At-Server", self.address)], b"")
        head = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request.attempt}",
            f"X-Response-Signature: sig-{self.name}-{request.attempt}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *(f"{name}: {value}" for name, value in self.notices()),
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        await writer.drain()
        if self.deadly_part in _parts(request)[:-1]:
            self.record.note(f"{self.name} begins to write on {self.deadly_part}")
            self.ended_at.append(time.monotonic())
            await self._write_until_crash(request, writer)
            self.spawn(self.restart())
            return None
        done = int(request.headers.get("last-event-id") or 0)
        if done:
            self.record.note(f"{self.name} resumes {request.attempt} after {done}")
        await asyncio.sleep(self.first_event_s)
        for number in range(done + 1, self.events + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request.attempt} {number}\n\n".encode()
            await _write_chunk(writer, event)
            if self.comment_every and number % self.comment_every == 0:
                await _write_chunk(writer, b": keep-alive\n\n")
        writer.write(b"0\r\n\r\n")
        return None

    async def _write_until_crash(
        self, request: rig.Request, writer: asyncio.StreamWriter
    ) -> None:
        done = int(request.headers.get("last-event-id") or 0)
        for number in range(done + 1, done + 1 + self.deadly_events):
            event = f"id: {number}\ndata: {request.attempt} {number}\n\n".encode()
            await _write_chunk(writer, event)
            await asyncio.sleep(EVENT_S)

    async def _load(self, body: dict[str, t.Any], count: int) -> None:
        born = self.row["born"]
        await asyncio.sleep(LOAD_S * count / LAYERS * FIRST_LOADS)
        if self.is_alive and self.row["born"] == born:
            self._is_busy = False
            layers = {"from": body["from"], "target": body["target"], "version": 1}
            self.row.update(
                layers=layers,
                models=[{"name": "m", "version": 1, "adapters": []}],
                sequence=self._sequence,
            )
            await self.write_row()


async def ask_stream(
    address: str, route: str, attempt: str, parts: t.Sequence[str]
) -> int:
    """Send a client's request for a stream on a new channel; return its status.

    :param parts: ids of the parts of its prompt before its own.

    The status is 0 if the channel ends without an answer.
    """
    status, _ = await read_stream(address, route, attempt, parts)
    return status


async def read_stream(
    address: str, route: str, attempt: str, parts: t.Sequence[str]
) -> tuple[int, bytes]:
    """Send a request as :func:`ask_stream` does; return its status and body.

    The body is as sent, in chunks; it ends with an empty one if it is whole.
    """
    request = rig.encode_request("POST", f"/{route}/1", attempt, 20000, b"p" * 300)
    prefix = ",".join(f"{part}:40" for part in (*parts, attempt))
    lines = f"X-Model: m\r\nX-Token-Usage: 300,80\r\nX-Prompt-Prefix: {prefix}\r\n"
    first, _, rest = request.partition(b"\r\n")
    ip, _, port = address.rpartition(":")
    status, body = 0, b""
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
    try:
        writer.write(first + b"\r\n" + lines.encode() + rest)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20.0)
        status = int(head.split(b" ", 2)[1])
        if status == 200:
            body = await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 20.0)
    except asyncio.IncompleteReadError as error:
        return 0, error.partial
    except ConnectionError:
        return 0, b""
    finally:
        writer.close()
    return status, body


async def wait_placed(found: t.Sequence[Engine], timeout_s: float = 30.0) -> None:
    """Wait until engines hold layers."""
    until = time.monotonic() + timeout_s
    while any(engine.row["layers"] is None for engine in found):
        if time.monotonic() > until:
            raise rig.CaseError("the engines have got no layers")
        await asyncio.sleep(0.1)
