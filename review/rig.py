"""A small deployment for the scripts of the review, on loopback and the real clock.

The gateways are the project's own program, started with the command of the deploy
file. The store, the replicas and the clients are stand-ins that follow the users'
pages; they need nothing but the standard library.
"""

import asyncio
import base64
import collections.abc
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing as t
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent

HELD = 0
BROKEN = 1
NOT_RUN = 2

RUN_TIMEOUT_S = 110.0
HEARTBEAT_S = 1.2
"""The platform's `heartbeat_ms`; an entry lapses after three silent intervals."""

LAPSE_BEATS = 3
CONTACT_S = 3.0
"""The platform's `contact_ms`."""

GRACE_S = 8.0
METRICS_PORT = 9109
INTERNAL_PORTS = 16

Headers = list[tuple[str, str]]


class CaseError(Exception):
    """The case could not be run."""


def new_loopback_ip() -> str:
    """Return a loopback address that no other run is likely to use."""
    numbers = [random.randint(1, 250) for _ in range(3)]
    return "127." + ".".join(str(number) for number in numbers)


def free_port(ip: str) -> int:
    """Return a free TCP port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of what was sent, answered and run, with seconds from the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass(slots=True)
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query's parameters."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    @property
    def attempt(self) -> str:
        """Return the id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Request(method, target, headers, body)


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server of a stand-in; subclasses answer the requests."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int = 0) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20, reuse_address=True
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def die(self) -> None:
        """End like a killed process: no connection is left, the port is closed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the bytes of an answer, or ``None`` if it was written or is kept."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                data = await self.answer(request, writer)
                if data is not None:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows, transactions and feeds, as PROTOCOL.md has them."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.version = 1
        self._rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: object | None) -> int:
        """Write a row of the platform, or remove it; return its version."""
        data = None if value is None else json.dumps(value).encode()
        async with self._changed:
            self.version += 1
            self._rows[table, "", key] = (data, self.version)
            self._changed.notify_all()
        return self.version

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer a call of a gateway."""
        del writer
        query = request.query
        if request.path == "/rows-get":
            return self._reply(200, self._get(query))
        if request.path == "/rows-feed":
            return await self._feed(query)
        if request.path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        return encode_answer(404, [], b"")

    def _select(self, table: str, part: str | None) -> list[dict[str, t.Any]]:
        found = []
        for (name, row_part, key), (value, version) in sorted(self._rows.items()):
            if name != table or (part is not None and part != row_part):
                continue
            row: dict[str, t.Any] = {"table": name, "part": row_part, "key": key}
            row["ver"] = version
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            found.append(row)
        return found

    def _get(self, query: dict[str, str]) -> list[dict[str, t.Any]]:
        rows = []
        for row in self._select(query["table"], query.get("part", "")):
            is_before = row["key"] < query.get("from", "")
            is_after = "target" in query and row["key"] >= query["target"]
            if "deleted" not in row and not is_before and not is_after:
                rows.append(row)
        return rows

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        async with self._changed:
            while True:
                rows = [r for r in self._select(table, None) if r["ver"] > after]
                remaining_s = until - time.monotonic()
                if rows or remaining_s <= 0:
                    rows.sort(key=lambda row: row["ver"])
                    return self._reply(200, rows)
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    continue

    async def _transact(self, body: dict[str, t.Any]) -> bytes:
        entries = [*body.get("writes", []), *body.get("remove", [])]
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return self._reply(403, [])
        async with self._changed:
            for row in body.get("expect_rev", []):
                place = row["table"], row.get("part", ""), row["key"]
                value, version = self._rows.get(place, (None, 0))
                if (0 if value is None else version) != row["ver"]:
                    current = self._select(row["table"], row.get("part", ""))
                    rows = [r for r in current if r["key"] == row["key"]]
                    return self._reply(412, [r for r in rows if "value" in r])
            self.version += 1
            for row in entries:
                place = row["table"], row.get("part", ""), row["key"]
                text = row.get("value")
                value = None if text is None else base64.b64decode(text)
                self._rows[place] = (value, self.version)
            self._changed.notify_all()
        return self._reply(200, [])

    def _reply(self, status: int, rows: list[dict[str, t.Any]]) -> bytes:
        body = {
            "rows": rows,
            "truncated": False,
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }
        data = json.dumps(body).encode()
        return encode_answer(status, [("Content-Type", "application/json")], data)


class Replica(Server):
    """A replica of a service: registers itself and runs requests.

    ``runs``: the attempts that it ran, in order.
    """

    def __init__(
        self, record: Record, store: Store, service: str, zone: str, slots: int
    ) -> None:
        super().__init__(record)
        self.store = store
        self.name = f"i-{uuid.uuid4().hex[:8]}"
        self.runs: list[str] = []
        self.is_alive = False
        self.row: dict[str, t.Any] = {
            "service": service,
            "address": "",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
        }

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen, and register in the store."""
        await self.listen(ip, port)
        self.row["address"] = self.address
        self.row["born"] = int(time.time() * 1000)
        self.is_alive = True
        await self.write_row()

    async def write_row(self) -> None:
        """Write the row as it now is."""
        await self.store.put("servers", self.name, self.row)

    async def crash(self) -> None:
        """End without notice; the entry goes after three silent intervals."""
        self.is_alive = False
        await self.die()
        self.record.note(f"replica {self.name} at {self.address} has crashed")

    async def lapse(self) -> None:
        """Let the platform remove the entry after three silent intervals."""
        await asyncio.sleep(LAPSE_BEATS * HEARTBEAT_S)
        await self.store.put("servers", self.name, None)
        self.record.note(f"the platform has removed the entry of {self.name}")

    def misdirected(self, request: Request) -> bytes | None:
        """Return an answer to a request that is meant for another replica."""
        expected = request.headers.get("x-target-replica")
        if expected is None or expected == self.name:
            return None
        self.record.note(f"{self.name} answers 421: it is not {expected}")
        return encode_answer(421, [("X-Replica-Id", self.name)], b"")

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Answer a request."""
        refusal = self.misdirected(request)
        if refusal is not None:
            return refusal
        if request.path == "/healthz":
            return encode_answer(200, [("X-Replica-Id", self.name)], b"")
        if not request.attempt:
            return encode_answer(400, [("X-Not-Executed", "1")], b"")
        self.runs.append(request.attempt)
        self.record.note(f"{self.name} runs {request.attempt} {request.target}")
        return await self.run_request(request, writer)

    async def run_request(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Run a request; return its answer."""
        del writer
        return self.signed(request, b"body of " + request.attempt.encode())

    def notices(self) -> Headers:
        """Return the headers in which a replica says that it leaves."""
        return [("Server-Leaving", "1")] if self.row["state"] == "draining" else []

    def signed(self, request: Request, body: bytes, status: int = 200) -> bytes:
        """Return a signed answer."""
        headers = [
            ("X-Attempt-Id", request.attempt),
            ("X-Response-Signature", f"sig-{self.name}-{request.attempt}"),
            ("Content-Type", "application/octet-stream"),
            *self.notices(),
        ]
        return encode_answer(status, headers, body)


class Gateway:
    """One machine with the project's gateway."""

    def __init__(self, record: Record, name: str, zone: str, work: pathlib.Path):
        self.record = record
        self.name = name
        self.ip = new_loopback_ip()
        with socket.socket() as sock:
            sock.bind((self.ip, METRICS_PORT))
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        first = random.randint(20000, 30000)
        self._fields: dict[str, t.Any] = {
            "node": name,
            "zone": zone,
            "bind_ip": self.ip,
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [first, first + INTERNAL_PORTS - 1],
            "bounds": {
                "grace_s": int(GRACE_S),
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 200,
            },
        }
        self._path = work / f"{name}.toml"
        self._log_path = work / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, store: str) -> None:
        """Write the settings as the platform does, and start the program."""
        self._fields["platform"] = {
            "address": store,
            "reads_per_s": 2000,
            "writes_per_s": 400,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text("utf-8")
        self._path.write_text(render(template, self._fields), "utf-8")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["WAGTAILSTAIR_NODE_FILE"] = str(self._path)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"gateway {self.name} starts, front {self.front}")

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.note(f"{signal.Signals(number).name} to gateway {self.name}")

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        try:
            answer = await asyncio.wait_for(get(self.ready, "/readyz"), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer == 200

    def log_lines(self, pattern: str) -> list[str]:
        """Return the lines of the log that match a pattern."""
        text = self._log_path.read_text("utf-8", errors="replace")
        return [line for line in text.split("\n") if re.search(pattern, line)]

    async def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def render(template: str, fields: dict[str, t.Any]) -> str:
    """Fill in a template of settings: ``{{a.b|json}}`` and ``{{a.b}}``."""

    def value(match: re.Match[str]) -> str:
        found: t.Any = fields
        for name in match.group(1).split("."):
            found = found[name]
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


async def get(address: str, path: str) -> int:
    """Return the status of a GET on a new connection."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()
    return int(head.split(b" ", 2)[1])


class Deployment:
    """A store, replicas and gateways, and a temporary folder for the settings."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.ip = new_loopback_ip()
        self.store = Store(record)
        self.gateways: list[Gateway] = []
        self._work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, config: dict[str, t.Any], zones: t.Sequence[str]) -> None:
        """Start the store with a desired state, and a gateway in each zone named."""
        await self.store.listen(self.ip)
        await self.put_config(config)
        for number, zone in enumerate(zones, 1):
            name = f"edge-{zone}-{number}"
            self.gateways.append(Gateway(self.record, name, zone, self._work))
        for gateway in self.gateways:
            await gateway.start(self.store.address)

    async def put_config(self, config: dict[str, t.Any]) -> None:
        """Write a desired state; the store's answer is its confirmation."""
        await self.store.put("op", "config", config)
        self.record.note(f"the store confirms desired state {config['version']}")

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all gateways are ready, and then for `contact_ms` more."""
        until = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise CaseError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.note("all gateways are ready")
        await asyncio.sleep(CONTACT_S + 1.0)

    def spawn(self, work: collections.abc.Coroutine[t.Any, t.Any, None]) -> None:
        """Run something beside the case."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def end(self) -> None:
        """End all that was started, and remove the temporary folder."""
        for task in list(self._tasks):
            task.cancel()
        for gateway in self.gateways:
            await gateway.end()
        shutil.rmtree(self._work, ignore_errors=True)


def limits(**changes: int) -> dict[str, int]:
    """Return the limits of a desired state, as the pages' examples have them."""
    values = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {**values, **changes}


def plain_route(
    name: str, kind: str, service: str, timeout_ms: int
) -> dict[str, t.Any]:
    """Return a route to a plain service at the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "aim_ms": 200,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "anonymous": False,
    }


def encode_request(
    method: str, target: str, attempt: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    """Return the bytes of a client's request on a kept channel."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: desk.example",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Authorization: Token key-one",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


TENANTS = [{"name": "maker", "api_keys": ["key-one"], "priority": 1}]


def play(
    folder: pathlib.Path,
    case: t.Callable[[Deployment, bool], collections.abc.Awaitable[list[str]]],
) -> int:
    """Play a case; return the exit code.

    :param case: gets the deployment and whether the disruption is to be made;
        returns what broke the rule.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> list[str]:
        # The gateways are ended too if the script is told to stop.
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, is_troubled), RUN_TIMEOUT_S)
        finally:
            await deployment.end()

    record = Record(folder / "record.txt")
    record.note(f"disruption: {'yes' if is_troubled else 'no'}")
    try:
        breaks = asyncio.run(run())
    except (CaseError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.note(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        return NOT_RUN
    finally_text = f"broken {len(breaks)} times" if breaks else "held"
    for text in breaks:
        record.note(f"BROKEN: {text}")
    record.note(f"result: {finally_text}")
    record.close()
    print(finally_text)
    return BROKEN if breaks else HELD
