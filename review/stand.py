"""Stand-ins of the platform for the scripts of a review: store, servers and clients.

They speak what PROTOCOL.md says and behave soundly, unless a script tells them not to.
All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
ZONE = "zone-a"
LAYERS = 80

SETTINGS = """
[host]
name = "{name}"
data_centre = "{zone}"
address = "127.0.0.1"
callers = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
peer_ports = [{peer}, {peer}]
metrics_port = 0

[store]
address = "{store}"
reads_per_s = 2000.0
writes_per_s = 400.0

[retries]
ratio = 0.2
slack = 200
window_s = 10

[shutdown]
grace_s = 8
"""


def free_port() -> int:
    """Return a port that is free now, for TCP and for UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = int(tcp.getsockname()[1])
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """The file record.txt, in which each line has the seconds since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write a line, also to standard output."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


async def read_message(reader):
    """Return the first line, the headers by lower-case name and the body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", 0)):
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def encode(status, headers, body):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server on a loopback port, one request at a time on a channel."""

    def __init__(self):
        self.address = ""
        self._server = None

    async def listen(self, port=0):
        """Listen at a port, 0 for any free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.answer(message, reader, writer)
                if writer.is_closing():
                    break
        with contextlib.suppress(Exception):
            writer.close()

    async def answer(self, message, reader, writer):
        """Answer one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store, as far as rows go."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        """Write or remove (None) a row."""
        async with self.changed:
            self.version += 1
            self.rows[table, key] = (value, self.version)
            self.changed.notify_all()

    def _row(self, table, key):
        value, version = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def answer(self, message, _reader, writer):
        """Answer one call."""
        first, _, body = message
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, answer = 200, {}
        if path == "/rows-get":
            answer = {"rows": self._get(query), "truncated": False}
        elif path == "/rows-feed":
            answer = {"rows": await self._feed(query)}
        elif path == "/rows-tx" and method == "POST":
            status, answer = await self._transact(json.loads(body))
        else:
            status = 404
        answer |= {"ver": self.version, "now_ms": time.monotonic() * 1000}
        data = json.dumps(answer).encode()
        writer.write(encode(status, {"Content-Type": "application/json"}, data))
        await writer.drain()

    def _get(self, query):
        found = []
        for table, key in sorted(self.rows):
            inside = table == query["table"] and key >= query.get("from", "")
            if inside and self.rows[table, key][0] is not None:
                found.append(self._row(table, key))
        return found

    def _changes(self, table, after):
        found = []
        for (name, key), (_, version) in self.rows.items():
            if name == table and version > after:
                found.append((version, self._row(name, key)))
        return [row for _, row in sorted(found, key=lambda entry: entry[0])]

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = self._changes(table, after)
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return rows
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    async def _transact(self, call):
        current = []
        fits = True
        for entry in call.get("expect_rev", []):
            key = entry["table"], entry["key"]
            value, version = self.rows.get(key, (None, 0))
            version = 0 if value is None else version
            fits = fits and version == entry["ver"]
            if value is not None:
                current.append(self._row(*key))
        if not fits:
            return 412, {"rows": current}
        async with self.changed:
            self.version += 1
            for entry in call.get("writes", []):
                value = base64.b64decode(entry["value"])
                self.rows[entry["table"], entry["key"]] = (value, self.version)
            for entry in call.get("remove", []):
                self.rows[entry["table"], entry["key"]] = (None, self.version)
            self.changed.notify_all()
        return 200, {}


class Replica(Server):
    """A plain server of a service; counts the runs of each attempt id."""

    engine = False

    def __init__(self, name, service, work_s=0.02, slots=6):
        super().__init__()
        self.name, self.service = name, service
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = {}

    def row(self, state="ready"):
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": 1,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def register(self, store, state="ready"):
        """Write its entry to the store."""
        await store.put("servers", self.name, json.dumps(self.row(state)).encode())

    def signed(self, headers):
        """Return the headers that every answer of a run has."""
        attempt = headers.get("x-attempt-id", "")
        return {"X-Attempt-Id": attempt, "X-Response-Signature": f"sig-{attempt}"}

    async def answer(self, message, reader, writer):
        """Answer one request."""
        first, headers, _ = message
        target = headers.get("x-target-replica")
        if target is not None and target != self.name:
            writer.write(encode(421, {"X-Not-Executed": "1"}, b""))
            await writer.drain()
            return
        path = first.split(" ")[1]
        if path == "/healthz":
            writer.write(encode(200, {"X-Replica-Id": self.name}, b""))
            await writer.drain()
            return
        attempt = headers.get("x-attempt-id", "")
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        await self.run(message, reader, writer)

    async def run(self, message, _reader, writer):
        """Run a request."""
        _, headers, _ = message
        await asyncio.sleep(self.work_s)
        body = b"body of " + headers.get("x-attempt-id", "").encode()
        writer.write(encode(200, self.signed(headers), body))
        await writer.drain()


class Engine(Replica):
    """A model server; takes orders to hold layers and answers with events."""

    def __init__(self, name, service, kind="big", events=40, gap_s=0.05, slots=96):
        super().__init__(name, service, slots=slots)
        self.kind, self.events, self.gap_s = kind, events, gap_s
        self.layers = None
        self.store = None

    def row(self, state="ready"):
        """Return its entry in the store."""
        row = super().row(state)
        row["kind"] = self.kind
        row["models"] = [{"name": "m", "version": 1, "adapters": []}]
        if self.layers is not None:
            first, last = self.layers
            row["layers"] = {"from": first, "target": last, "version": 1}
        return row

    async def answer(self, message, reader, writer):
        """Answer one request."""
        first, headers, body = message
        path = first.split(" ")[1]
        if path == "/report":
            report = {
                "stage": "unified", "models": [], "busy": False, "running": 0,
                "sequence": self.sequence, "queue_depth": 0, "kv_used": 0,
                "kv_total": 1_000_000, "handles": 0, "pace": 1.0, "born": self.born,
                "stalled": [],
            }  # fmt: skip
            writer.write(encode(200, {}, json.dumps(report).encode()))
            await writer.drain()
            return
        if path == "/order":
            await self._take_order(headers, json.loads(body), writer)
            return
        await super().answer(message, reader, writer)

    async def _take_order(self, headers, order, writer):
        status = 404
        if headers.get("x-target-replica") != self.name:
            status = 421
        elif order["op"] == "place":
            status = 409
            if order.get("expect_rev", self.sequence) == self.sequence:
                self.sequence += 1
                self.layers = order["from"], order["target"]
                status = 202
        writer.write(encode(status, {}, b"{}"))
        await writer.drain()
        if status == 202 and self.store is not None:
            await self.register(self.store)

    async def run(self, message, reader, writer):
        """Run a request and send its events."""
        _, headers, _ = message
        head = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        head |= self.signed(headers)
        lines = ["HTTP/1.1 200 OK"] + [
            f"{name}: {value}" for name, value in head.items()
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        attempt = headers.get("x-attempt-id", "")
        for number in range(
            int(headers.get("last-event-id") or 0) + 1, self.events + 1
        ):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def stream_route(name="stream", service="writers", aim_ms=500, **more):
    """Return a route of streams that may be resumed."""
    route = {
        "name": name, "host": HOST, "prefix": f"/{name}/", "kind": "streaming",
        "timeout_ms": 20000, "aim_ms": aim_ms, "priority": 0, "service": service,
        "attempts": 2, "anonymous": False, "sticky": True, "can_resume": True,
        "gap_target_ms": 250,
    }  # fmt: skip
    return route | more


def plain_route(name, service="desk", kind="non_idempotent", **more):
    """Return a route to a plain service."""
    route = {
        "name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
        "timeout_ms": 2500, "aim_ms": 150, "priority": 0, "service": service,
        "attempts": 1 if kind == "non_idempotent" else 2, "anonymous": False,
        "sticky": False, "can_resume": False,
    }  # fmt: skip
    return route | more


def desired_state(routes, version=7, kind_mb=400_000.0):
    """Return a desired state with some routes and their services."""
    engine = {
        "slots": 96, "kv_capacity_tokens": 50000, "kv_token_bytes": 1180000,
        "link_mbps": 400000.0, "stride": 4,
        "models": [{"name": "m", "pace": 1.0, "load_s": 0.1, "warm_s": 1.0}],
        "step_ms": 1.02, "per_seq_ms": 0.00918, "context_per_k": 0.0123,
        "read_per_s": 164000.0, "pairs_per_m": 0.199, "chunk": 512,
        "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6, "delays": [],
        "usual": {"prompt": 775, "answer": 216}, "layers": LAYERS, "layer_mb": 1750.0,
        "activation_bytes": 59000, "pipe_mbps": 13000.0,
        "kinds": [
            {"name": "big", "megabytes": kind_mb, "pace": 1.0, "read_factor": 1.0}
        ],
    }  # fmt: skip
    services = []
    for name in sorted({route["service"] for route in routes}):
        service = {"name": name, "health_path": "/healthz", "max_conns": 1068}
        service |= {"protocol": "h1", "tls": False}
        if any(r["service"] == name and r["kind"] == "streaming" for r in routes):
            service["engine"] = engine
        services.append(service)
    limits = {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    }  # fmt: skip
    tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1}]
    state = {"version": version, "routes": routes, "services": services}
    return json.dumps(state | {"limits": limits, "tenants": tenants}).encode()


class Gateway:
    """One process of the gateway, started as the deploy file has it."""

    def __init__(self, store, name="edge-1", memory_mb=300, max_fds=4100):
        self.name = name
        self._choose_ports()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = pathlib.Path(self._folder.name) / "local.toml"
        self._log_path = pathlib.Path(self._folder.name) / "log"
        self._store = store
        self._memory_mb, self._max_fds = memory_mb, max_fds
        self.process = None

    def _choose_ports(self):
        self.front, self.ready, self._peer = free_port(), free_port(), free_port()

    def start(self):
        """Write the settings and start the process."""
        text = SETTINGS.format(
            name=self.name, zone=ZONE, front=self.front, ready=self.ready,
            peer=self._peer, store=self._store,
        )  # fmt: skip
        self._path.write_text(text, encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "WAGTAILSTAIR_NODE_FILE": str(self._path),
            "WAGTAILSTAIR_MEMORY_MB": str(self._memory_mb),
            "WAGTAILSTAIR_DESCRIPTORS": str(self._max_fds),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "wagtailstair_gateway.py"],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
            )  # fmt: skip

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self, name="VmRSS"):
        """Return the resident memory, 0 if the process has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except OSError:
            return 0.0
        found = re.search(rf"{name}:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0.0

    def log(self):
        """Return what the process has logged."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    async def wait_ready(self, timeout_s=15.0):
        """Wait until it says that it is ready; return whether it does."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            status, *_ = await call(self.ready, "GET", "/readyz", timeout_s=1.0)
            if status == 200:
                return True
            if self.process.poll() is not None:
                # Another program has taken a port meanwhile.
                self._choose_ports()
                self.start()
            await asyncio.sleep(0.1)
        print(f"{self.name} is not ready; its log ends with:\n{self.log()[-2000:]}")
        return False

    def stop(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def request_bytes(method, path, attempt, body=b"", deadline_ms=None, headers=()):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
    lines.append(f"Authorization: Token {KEY}")
    if deadline_ms is not None:
        lines.append(f"X-Deadline-Ms: {deadline_ms}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(port, method, path, attempt="", timeout_s=30.0, **more):
    """Return status, headers, body and whether the answer was complete; 0: none."""
    writer = None
    status, headers, body = 0, {}, b""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request_bytes(method, path, attempt, **more))
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head[:-4].decode("latin-1").split("\r\n")
            status = int(first.split(" ")[1])
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    part = await reader.readexactly(size + 2)
                    if not size:
                        return status, headers, body, True
                    body += part[:-2]
            length = int(headers.get("content-length", 0))
            body = await reader.readexactly(length)
            return status, headers, body, True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return status, headers, body, False
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.close()
