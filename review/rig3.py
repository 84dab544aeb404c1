"""A small deployment on loopback: real gateways among small stand-ins.

Each gateway is a process of its own, started with the command and the variables of
``deploy/system.toml``. The store, the operator, plain replicas and the clients run in
the process of the script; a replica that a script kills is a process of its own
(``replica3.py``).
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import re
import resource
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
HEARTBEAT_S = 1.2
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_slack": 196,
    "budget_window_s": 10,
    "grace_s": 8,
}
MEMORY_MB = 300
MAX_FDS = 4200
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

Headers = list[tuple[str, str]]


class Message(t.NamedTuple):
    """An HTTP message: its first line, its headers in lower case, and its body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message, ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with a length, ``None`` at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head.headers.get("content-length", "0"))
    try:
        return head._replace(body=await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(status: int, body: bytes = b"", headers: Headers | None = None):
    """Return an answer with a length."""
    fields = [*(headers or []), ("Content-Length", str(len(body)))]
    return encode_head(status, fields) + body


class Record:
    """What was sent, answered and run, in order of time, as ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        elapsed = time.monotonic() - self._began_at
        self._file.write(f"{elapsed:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: rows with versions, a feed, transactions and an era.

    ``page_rows``: most rows of an answer to a read.
    """

    page_rows = 500

    def __init__(self) -> None:
        self.address = ""
        self.era = 1
        self.is_away = False
        self._version = 0
        # By table and key: the value, ``None`` if removed, and the version.
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self._version

    def put(self, table: str, key: str, value: object | None) -> int:
        """Write or remove a row; return its version."""
        data = None if value is None else json.dumps(value).encode()
        return self._put(table, key, data)

    def copy(self) -> tuple[int, dict[tuple[str, str], tuple[bytes | None, int]]]:
        """Return a copy of the whole store."""
        return self._version, dict(self._rows)

    def go_away(self) -> None:
        """Reset all connections, and each new one until the store is back."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy: t.Any) -> None:
        """Be there again, from a copy that is some seconds old."""
        self._version, rows = copy
        self._rows = dict(rows)
        self.era += 1
        self.is_away = False
        self._notify()

    def _put(self, table: str, key: str, data: bytes | None) -> int:
        self._version += 1
        self._rows[table, key] = (data, self._version)
        self._notify()
        return self._version

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                status, rows = await self._answer(request)
                is_read = request.target.startswith("/rows-get")
                most = self.page_rows if is_read else len(rows)
                body = {
                    "rows": rows[:most],
                    "truncated": len(rows) > most,
                    "ver": self._version,
                    "now_ms": int(time.monotonic() * 1000),
                }
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", str(self.era)),
                ]
                writer.write(encode_answer(status, json.dumps(body).encode(), headers))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer has left, or the case ends
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, list[t.Any]]:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if parts.path == "/rows-get":
            return 200, self._live(query)
        if parts.path == "/rows-feed":
            return await self._feed(query)
        return self._transact(json.loads(request.body))

    def _live(self, query: dict[str, str]) -> list[t.Any]:
        rows = []
        for row in self._after(query["table"], 0):
            if "deleted" not in row and row["key"] >= query.get("from", ""):
                rows.append(row)
        return sorted(rows, key=lambda row: row["key"])

    def _after(self, table: str, version: int) -> list[dict[str, t.Any]]:
        rows = []
        for (name, key), (data, ver) in self._rows.items():
            if name != table or ver <= version:
                continue
            row: dict[str, t.Any] = {"table": name, "part": "", "key": key, "ver": ver}
            if data is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(data).decode()
            rows.append(row)
        return sorted(rows, key=lambda row: row["ver"])

    async def _feed(self, query: dict[str, str]) -> tuple[int, list[t.Any]]:
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self._version:
                return 410, []  # a version that the store doesn't have
            rows = self._after(query["table"], after)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, body: t.Any) -> tuple[int, list[t.Any]]:
        expected = body.get("expect_rev", [])
        for row in expected:
            data, ver = self._rows.get((row["table"], row["key"]), (None, 0))
            if row["ver"] != (0 if data is None else ver):
                names = {(each["table"], each["key"]) for each in expected}
                rows = [row for name, _ in names for row in self._after(name, 0)]
                return 412, [r for r in rows if (r["table"], r["key"]) in names]
        for row in body.get("writes", []):
            self._put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", []):
            self._put(row["table"], row["key"], None)
        return 200, []


class Replica:
    """A sound plain replica: it answers, and reports itself to the store.

    ``work_s``: seconds that it works on a request.

    :param on_run: called with the replica's name and the request that it runs.
    """

    work_s = 0.01

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        on_run: t.Callable[[str, Message], None],
    ) -> None:
        self.name = name
        self.address = ""
        self.has_left = False
        self._store = store
        self._on_run = on_run
        self._server: asyncio.Server | None = None
        self._row: dict[str, t.Any] = {
            "service": service,
            "address": "",
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": int(time.time() * 1000),
        }
        self._heartbeat: asyncio.Task[None] | None = None

    @property
    def born(self) -> int:
        """Return the Unix milliseconds of its start."""
        return int(self._row["born"])

    async def start(self, ip: str) -> None:
        """Listen on a free port, and report to the store from now on."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = self._row["address"] = f"{ip}:{port}"
        self.write_row()
        self._heartbeat = asyncio.create_task(self._report())

    def write_row(self, **changes: t.Any) -> int:
        """Write the replica's row; return its version."""
        self._row.update(changes)
        self._row["sequence"] += 1
        return self._store.put("servers", self.name, self._row)

    async def _report(self) -> None:
        while not self.has_left:
            await asyncio.sleep(HEARTBEAT_S)
            if not self._store.is_away and not self.has_left:
                self.write_row()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_request(reader):
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer has left, or the case ends
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        headers = [("X-Attempt-Id", attempt)]
        if request.headers.get("x-target-replica", self.name) != self.name:
            writer.write(encode_answer(421, b"", headers))
            return
        self._on_run(self.name, request)
        await asyncio.sleep(self.work_s)
        headers.append(("X-Response-Signature", f"sig-{attempt}"))
        body = f"{self.name} answers {attempt}".encode()
        writer.write(encode_answer(200, body, headers))


LAYERS = 80
ENGINE_MB = 72_000.0


def make_engine_service(name: str) -> dict[str, t.Any]:
    """Return a service of model engines, each of which has memory for all layers."""
    engine = {
        "slots": 96,
        "kv_token_bytes": 1180000,
        "link_mbps": 400000.0,
        "stride": 4,
        "models": [{"name": "m", "pace": 1.0, "load_s": 1.0, "warm_s": 0.1}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00918,
        "read_per_s": 164000.0,
        "loads_at_once": 6,
        "delays": [{"from": "a", "target": "b", "delay_ms": 0.5}],
        "usual": {"prompt": 775, "answer": 216},
        "layers": LAYERS,
        "layer_mb": 100.0,
        "activation_bytes": 59000,
        "pipe_mbps": 13000.0,
        "kinds": [
            {"name": "a100", "megabytes": ENGINE_MB, "pace": 2.4, "read_factor": 3.2}
        ],
    }
    return make_service(name, engine=engine)


class Engine(Replica):
    """A sound engine that holds all layers once it is ordered to.

    ``read_s``: seconds from the begin of a request to its first event; ``events``,
    ``event_s``: number of events, and seconds between two.
    """

    read_s = 0.1
    events = 20
    event_s = 0.05

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        on_run: t.Callable[[str, Message], None],
        slots: int,
    ) -> None:
        super().__init__(store, name, service, zone, on_run)
        self._row.update(kind="a100", layers=None, models=[], slots=slots)
        self._orders = 0
        self.running = 0

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-target-replica", self.name) != self.name:
            writer.write(encode_answer(421, b"", [("X-Attempt-Id", attempt)]))
        elif request.target == "/report":
            writer.write(encode_answer(200, json.dumps(self._report_state()).encode()))
        elif request.target == "/order":
            writer.write(encode_answer(self._take_order(json.loads(request.body))))
        else:
            await self._stream(request, attempt, writer)

    def _report_state(self) -> dict[str, t.Any]:
        return {
            "stage": "unified",
            "models": self._row["models"],
            "layers": self._row["layers"],
            "born": self._row["born"],
            "busy": False,
            "sequence": self._orders,
            "queue_depth": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
            "pace": 1.0,
            "stalled": [],
        }

    def _take_order(self, order: dict[str, t.Any]) -> int:
        if order["op"] != "place":
            return 404
        if order.get("expect_rev", self._orders) != self._orders:
            return 409
        self._orders += 1
        layers = {"from": order["from"], "target": order["target"], "version": 1}
        models = [{"name": "m", "version": 1, "adapters": []}]
        self.write_row(layers=layers, models=models)
        return 202

    async def _stream(
        self, request: Message, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        headers = [("X-Attempt-Id", attempt)]
        if self._row["layers"] is None or self.running >= self._row["slots"]:
            status = 421 if self._row["layers"] is None else 503
            refused = [*headers, ("X-Not-Executed", "1"), ("At-Server", self.address)]
            writer.write(encode_answer(status, b"", refused))
            return
        headers += [
            ("X-Response-Signature", f"sig-{attempt}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        self._on_run(self.name, request)
        self.running += 1
        try:
            await asyncio.sleep(self.read_s)
            writer.write(encode_head(200, headers))
            first = int(request.headers.get("last-event-id") or "0") + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: event {number} of {attempt}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def render(template: str, fields: dict[str, t.Any]) -> str:
    """Fill in the placeholders of a settings template, as the platform does."""

    def value_of(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        value: t.Any = fields
        for part in path.split("."):
            value = value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


_machine_numbers = itertools.count(1)


def free_ip() -> str:
    """Return a loopback address of a machine, another one each time."""
    number = next(_machine_numbers)
    return f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{number}"


def limit_descriptors() -> None:
    """Give this process as many descriptors as a machine of the deployment has."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most != resource.RLIM_INFINITY:
        most = min(most, MAX_FDS)
    else:
        most = MAX_FDS
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class Gateway:
    """A machine with a gateway, started as the deploy file says."""

    def __init__(self, store: Store, zone: str, number: int, work: pathlib.Path):
        self.name = f"edge-{zone}-{number}"
        self.ip = free_ip()
        self.front = (self.ip, 8227)
        self.ready = (self.ip, 8220)
        self.process: subprocess.Popen[bytes] | None = None
        self._work = work
        self._fields: dict[str, t.Any] = {
            "node": self.name,
            "zone": zone,
            "bind_ip": self.ip,
            "listen": {"front": f"{self.ip}:8227", "ready": f"{self.ip}:8220"},
            "internal_ports": [7340, 7355],
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
            "bounds": BOUNDS,
            "platform": {
                "address": store.address,
                "reads_per_s": 2000,
                "writes_per_s": 400,
            },
        }

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        settings = self._work / f"{self.name}.settings"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(render(template, self._fields))
        env = {"PATH": os.environ["PATH"], "HOME": str(self._work)}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["WAGTAILSTAIR_NODE_FILE"] = str(settings)
        for name, text in role["env"].items():
            env[name] = render(text, self._fields)
        with (self._work / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )

    async def is_ready(self) -> bool:
        """Return whether it answers the platform's question with 200."""
        try:
            answer = await asyncio.wait_for(
                exchange(self.ready, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"), 1.0
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of its log that hold all of some words."""
        text = (self._work / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if all(w in line for w in words)]


class Answer(t.NamedTuple):
    """What a client got; ``is_whole``: whether the answer is complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


MALFORMED = b"<no chunk>"
"""Stands in a body where bytes came that are no chunk."""


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer, as far as it comes."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"", is_whole=False)
    body, is_whole = b"", False
    try:
        if "content-length" in head.headers:
            body = await reader.readexactly(int(head.headers["content-length"]))
            is_whole = True
        elif head.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:size]
            await reader.readuntil(b"\r\n")
            is_whole = True
        else:
            body = await reader.read()
            is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    except ValueError:
        body += MALFORMED
    return Answer(head.status, head.headers, body, is_whole)


async def exchange(address: tuple[str, int], data: bytes) -> Answer:
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.close()


def encode_request(
    path: str,
    attempt: str,
    key: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1000,
    headers: Headers | None = None,
) -> bytes:
    """Return a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}"]
    lines.append(f"Authorization: Token {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    for name, value in headers or []:
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def ask(
    gateway: Gateway, record: Record, attempt: str, data: bytes, timeout_s: float = 3.0
) -> Answer:
    """Send a request to a gateway and record the answer."""
    record(f"client sends {attempt} to {gateway.name}")
    try:
        answer = await asyncio.wait_for(exchange(gateway.front, data), timeout_s)
    except (OSError, TimeoutError) as error:
        record(f"client gets no answer to {attempt}: {type(error).__name__}")
        return Answer(0, {}, b"", is_whole=False)
    text = f"{answer.status}, {len(answer.body)} bytes, whole: {answer.is_whole}"
    record(f"client gets {text} to {attempt}")
    return answer


def make_route(prefix: str, service: str, **changes: t.Any) -> dict[str, t.Any]:
    """Return a route of the desired state."""
    route = {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 1000,
        "aim_ms": 100,
        "priority": 2,
        "service": service,
        "attempts": 2,
    }
    return {**route, **changes}


def make_config(
    version: int, routes: list[t.Any], services: list[t.Any], keys: dict[str, list[str]]
) -> dict[str, t.Any]:
    """Return a desired state.

    :param keys: the keys of each tenant.
    """
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": name, "api_keys": each} for name, each in keys.items()],
    }


def make_service(name: str, **changes: t.Any) -> dict[str, t.Any]:
    """Return a service of the desired state."""
    return {"name": name, "health_path": "/healthz", "max_conns": 110, **changes}


async def wait_ready(gateways: t.Iterable[Gateway], timeout_s: float = 20.0) -> None:
    """Wait until gateways are ready.

    :raises TimeoutError: if one of them is not.
    """
    until = time.monotonic() + timeout_s
    for gateway in gateways:
        while not await gateway.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{gateway.name} is not ready")
            await asyncio.sleep(0.1)


Play = t.Callable[[pathlib.Path, Record, bool], t.Awaitable[list[str]]]


def main(folder: pathlib.Path, play: Play, limit_s: float = 110.0) -> t.NoReturn:
    """Play a case; exit with what it showed.

    :param play: plays it in a work folder, with or without the disruption; returns
        what broke the rule.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"disruption: {has_trouble}")
    try:
        with tempfile.TemporaryDirectory() as work:
            found = asyncio.run(
                asyncio.wait_for(play(pathlib.Path(work), record, has_trouble), limit_s)
            )
    except Exception as error:  # neither held nor broken
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    for line in found:
        record(f"broken: {line}")
        print(line)
    record(f"breaks: {len(found)}")
    sys.exit(BROKEN if found else HELD)
