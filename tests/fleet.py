"""A fleet of stand-in and daemon processes on loopback, for end-to-end tests."""

import contextlib
import dataclasses
import hashlib
import http.client
import json
import pathlib
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
import typing as t
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor

from standins import tokens
from standins.launch import StandinProcess
from standins.launch import environment
from standins.launch import to_toml

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
LAYERS = 8
MODEL = "draft"
POLL_S = 0.05
WAIT_TIMEOUT_S = 20.0

SECRET_BY_ACCOUNT = {"maker": "maker-secret", "judge": "judge-secret"}

FULL_PLAN = {
    "priorities": ["urgent", "standard", "batch"],
    "weight": 1.0,
    "work_per_s": 100_000.0,
    "burst_s": 10.0,
    "max_concurrent": 500,
    "models": [MODEL],
    "services": {"entries": {"repeatable": ["GET", "HEAD"]}},
}


def account_row(name: str, plan: str = "full") -> dict[str, t.Any]:
    """Return the stored row of an account, with its key."""
    salt = name.encode().ljust(16, b"-")
    secret = SECRET_BY_ACCOUNT[name].encode()
    digest = hashlib.blake2b(secret, salt=salt, digest_size=32).hexdigest()
    return {"plan": plan, "keys": [{"salt": salt.hex(), "digest": digest}]}


def bearer(account: str) -> str:
    """Return the bearer token of an account."""
    return f"{account}.{SECRET_BY_ACCOUNT[account]}"


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return distinct free ports; all are bound at once, so that none repeats."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket(socket.AF_INET, kind))
            for _ in range(count)
        ]
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]


def wait_until(
    condition: t.Callable[[], t.Any], description: str = "the condition"
) -> t.Any:
    """Poll until a condition returns a true value, and return the value."""
    ends_at = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < ends_at:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"{description}: not met within {WAIT_TIMEOUT_S:g} s")


@dataclasses.dataclass(slots=True)
class Answer:
    """The HTTP response as the caller received it.

    ``is_truncated``: the connection broke before the end of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_truncated: bool = False

    @property
    def json(self) -> t.Any:
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, t.Any]:
        return self.json["error"]

    def events(self) -> list[t.Any]:
        """Return the events of a stream, ``[DONE]`` included."""
        lines = [line for line in self.body.splitlines() if line.startswith(b"data: ")]
        datas = [line[len(b"data: ") :] for line in lines]
        return [d.decode() if d == b"[DONE]" else json.loads(d) for d in datas]

    def text(self) -> str:
        """Return the text of a complete completion stream.

        :raises AssertionError: if the stream was truncated or ended with an error.
        """
        events = self.events()
        assert self.status == 200, (self.status, self.body)
        assert not self.is_truncated
        assert events, "no events"
        assert events[-1] == "[DONE]", events[-1]
        choices = [c for event in events[:-1] for c in event["choices"]]
        return "".join(choice["text"] for choice in choices)


def long_prompt(length: int, seed: str = "") -> str:
    """Return a prompt whose expected answer reaches ``length`` tokens."""
    for number in range(10_000):
        prompt = f"lantern {seed} {number}"
        if len(tokens.expected_tokens(prompt, length, LAYERS)) == length:
            return prompt
    raise AssertionError("no prompt found")


@contextlib.contextmanager
def in_background(call: t.Callable[[], Answer]) -> t.Iterator[Future[Answer]]:
    """Run a call in a thread while the test goes on; yield its future."""
    with ThreadPoolExecutor(1) as pool:
        yield pool.submit(call)


def request(
    address: str,
    method: str,
    path: str,
    body: t.Any = None,
    headers: t.Mapping[str, str] | None = None,
    timeout: float = 60.0,
) -> Answer:
    """Send a request on a new connection, and read the response to its end."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    with contextlib.closing(connection):
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, dict(headers or {}))
        response = connection.getresponse()
        # Servers may write header names in different cases.
        received = {name.lower(): value for name, value in response.getheaders()}
        try:
            raw, is_truncated = response.read(), False
        except http.client.IncompleteRead as error:
            raw, is_truncated = error.partial, True
        except ConnectionError:
            raw, is_truncated = b"", True
        return Answer(response.status, received, raw, is_truncated)


class Forwarder:
    """A TCP proxy to one address, which can simulate a network partition.

    ``partition`` is ``""`` (forward all data), ``both`` (close all connections
    and accept no new ones) or ``replies`` (forward requests, discard replies).
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self.partition = ""
        self._closed = False
        self._peer_by_socket: dict[socket.socket, socket.socket] = {}
        self._clients: set[socket.socket] = set()
        self._listener = socket.create_server((LOOPBACK, 0), backlog=512)
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._closed = True
        self._thread.join()
        for sock in [*self._peer_by_socket, self._listener]:
            sock.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._closed:
            for key, _ in self._selector.select(POLL_S):
                if key.fileobj is self._listener:
                    self._accept()
                else:
                    self._forward_data(t.cast(socket.socket, key.fileobj))
            if self.partition == "both":
                for sock in list(self._peer_by_socket):
                    self._close_pair(sock)

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        if self.partition == "both":
            client.close()
            return
        try:
            server = socket.create_connection(self._target, timeout=5)
        except OSError:
            client.close()
            return
        self._clients.add(client)
        for sock, peer in ((client, server), (server, client)):
            self._peer_by_socket[sock] = peer
            self._selector.register(sock, selectors.EVENT_READ)

    def _forward_data(self, sock: socket.socket) -> None:
        peer = self._peer_by_socket.get(sock)
        if peer is None:
            return
        try:
            data = sock.recv(1 << 16)
            if data and not (self.partition == "replies" and sock not in self._clients):
                peer.sendall(data)
        except OSError:
            data = b""
        if not data:
            self._close_pair(sock)

    def _close_pair(self, sock: socket.socket) -> None:
        peer = self._peer_by_socket.get(sock)
        for end in (sock, peer):
            if end is None or self._peer_by_socket.pop(end, None) is None:
                continue
            self._clients.discard(end)
            self._selector.unregister(end)
            end.close()


class DaemonProcess:
    """A daemon process with its settings file and its log file."""

    def __init__(
        self, name: str, directory: pathlib.Path, settings: dict[str, t.Any]
    ) -> None:
        self.name = name
        self.data_centre: str = settings["host"]["data_centre"]
        self.address = f"{LOOPBACK}:{settings['host']['http_port']}"
        self.peer_address = f"{LOOPBACK}:{settings['host']['peer_port']}"
        self.settings = settings
        self._settings_file = directory / f"{name}.toml"
        self.log_file = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process(self) -> subprocess.Popen[bytes]:
        assert self._process is not None
        return self._process

    def start(self) -> None:
        self._settings_file.write_text(to_toml(self.settings), encoding="utf-8")
        with self.log_file.open("ab") as log:
            command = [sys.executable, "-m", "wagtailstair.daemon"]
            self._process = subprocess.Popen(
                [*command, "--settings", str(self._settings_file)],
                cwd=ROOT,
                env=environment(),
                stderr=log,
                stdout=log,
            )

    def is_ready(self) -> bool:
        assert self.process.poll() is None, self.log_file.read_text()[-4000:]
        with contextlib.suppress(OSError, http.client.HTTPException):
            return request(self.address, "GET", "/readyz", timeout=2).status == 200
        return False

    def wait_ready(self) -> None:
        wait_until(self.is_ready, f"{self.name} ready")

    def status(self) -> t.Any:
        return request(self.address, "GET", "/status", timeout=5).json

    def lists_version(self) -> int:
        """Return the version of the lists in use, -1 if the daemon does not respond."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self.status()["lists_version"]
        return -1

    def terminate(self) -> None:
        """Send SIGTERM, which starts a graceful shutdown."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait(10)

    def freeze(self) -> None:
        """Pause the process with SIGSTOP until ``thaw``."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def wait(self, timeout: float = 60.0) -> int:
        return self.process.wait(timeout)

    def stop(self) -> None:
        """Kill the process if it still runs, also if it is frozen."""
        if self._process is not None and self._process.poll() is None:
            self.thaw()
            self.kill()

    def complete(self, prompt: str, max_tokens: int = 20, **options: t.Any) -> Answer:
        """Request a streamed completion."""
        headers = {"Authorization": f"Bearer {bearer('maker')}"}
        headers.update(options.pop("headers", {}))
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        body.update({"stream": True, **options})
        return request(self.address, "POST", "/v1/completions", body, headers)

    def call(
        self,
        key: str | None,
        body: t.Any = "body",
        *,
        method: str = "POST",
        account: str = "maker",
        timeout_s: float = 20.0,
    ) -> Answer:
        """Call the ``entries`` service, with an idempotency key if there is one."""
        headers = {
            "Authorization": f"Bearer {bearer(account)}",
            "X-Timeout": f"{timeout_s:g}",
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        path = "/v1/services/entries/register?year=1"
        return request(self.address, method, path, body, headers, timeout_s + 10)


class Fleet:
    """The stand-ins and daemons of several data centres, as a context manager.

    :param engines: options of the engines; by default each data centre has two
        pipelines of two stages.
    :param partitionable: data centres that ``partition`` can separate from the
        platform.
    :param settings: settings by section, which override the defaults.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        *,
        data_centres: t.Sequence[str] = ("a", "b"),
        daemons_each: int = 1,
        engines: list[dict[str, t.Any]] | None = None,
        services: int = 1,
        partitionable: t.Sequence[str] = (),
        settings: dict[str, dict[str, t.Any]] | None = None,
    ) -> None:
        self._directory = directory
        self._overrides = settings or {}
        self._stack = contextlib.ExitStack()
        config = {
            "table": {},
            "hosts": {"lag_s": 0.0},
            "objects": {},
            "weights": {},
            "engines": default_engines(data_centres) if engines is None else engines,
            "services": [
                {"name": f"desk{n}", "service": "entries", "data_centre": "a"}
                for n in range(services)
            ],
        }
        self.standins = self._stack.enter_context(StandinProcess(config))
        self.forwarders: dict[str, list[Forwarder]] = {}
        for data_centre in partitionable:
            self.forwarders[data_centre] = [
                self._forward(self.standins.addresses[name])
                for name in ("table", "hosts", "objects")
            ]
        names = [
            (f"{data_centre}{n}", data_centre)
            for data_centre in data_centres
            for n in range(daemons_each)
        ]
        ports = free_ports(len(names))
        peer_ports = free_ports(len(names), socket.SOCK_DGRAM)
        self.daemons: dict[str, DaemonProcess] = {}
        for (name, data_centre), port, peer_port in zip(
            names, ports, peer_ports, strict=True
        ):
            seeds = [
                f"{LOOPBACK}:{other}" for other in peer_ports if other != peer_port
            ]
            daemon_settings = self._settings(name, data_centre, port, peer_port, seeds)
            self.daemons[name] = DaemonProcess(name, directory, daemon_settings)

    def __enter__(self) -> "Fleet":
        try:
            self.write_lists({"full": FULL_PLAN}, list(SECRET_BY_ACCOUNT))
            for daemon in self.daemons.values():
                self.list_host(daemon)
                daemon.start()
                self._stack.callback(daemon.stop)
            for daemon in self.daemons.values():
                daemon.wait_ready()
            wait_until(self._all_daemons_serve, "every daemon serves")
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def __getitem__(self, name: str) -> DaemonProcess:
        return self.daemons[name]

    def list_host(self, daemon: DaemonProcess, state: str = "live") -> None:
        """Add a daemon to the platform's host list, or replace its entry."""
        entry = {
            "name": daemon.name,
            "kind": "entry",
            "data_centre": daemon.data_centre,
            "address": daemon.address,
            "peer_address": daemon.peer_address,
            "state": state,
        }
        self.standins.switch("hosts", add=entry)

    def write_lists(
        self, plans: dict[str, t.Any], accounts: t.Sequence[str] = ()
    ) -> int:
        """Commit an edit of the lists in one transaction; return its version."""
        rows = [("plans", name, value) for name, value in plans.items()]
        rows += [("accounts", name, account_row(name)) for name in accounts]
        head = self.read("lists", "head")
        version = (head["value"] or {"version": 0})["version"] + 1
        change = f"change-{version}"
        changed = []
        for table, key, value in rows:
            before = self.read(table, key)["value"]
            changed.append(
                {"table": table, "key": key, "before": before, "value": value}
            )
        record = {
            "version": version,
            "change_id": change,
            "author": "test",
            "at": "2026-01-01T00:00:00Z",
            "digest": change,
            "rows": changed,
        }
        writes = [
            *rows,
            ("lists", "head", {"version": version}),
            ("audit", f"{version:012d}", record),
            ("changes", change, {"version": version}),
        ]
        body = {
            "conditions": [
                {"table": "lists", "key": "head", "version": head["version"]}
            ],
            "writes": [{"table": a, "key": b, "value": c} for a, b, c in writes],
        }
        answer = request(self.address_of("table"), "POST", "/v1/transact", body)
        assert answer.status == 200, answer.body
        return version

    def read(self, table: str, key: str) -> dict[str, t.Any]:
        """Return a row of the table service."""
        body = {"keys": [[table, key]]}
        return request(self.address_of("table"), "POST", "/v1/read", body).json["rows"][
            0
        ]

    def address_of(self, standin: str) -> str:
        return self.standins.addresses[standin]

    def partition(self, data_centre: str, direction: str = "both") -> None:
        """Separate a data centre from the platform; ``""`` reconnects it.

        :param direction: a value of ``Forwarder.partition``.
        """
        for forwarder in self.forwarders[data_centre]:
            forwarder.partition = direction

    def runs(self, key: str) -> list[dict[str, t.Any]]:
        """Return the runs of an idempotency key on all service replicas."""
        names = [name for name in self.standins.addresses if name.startswith("desk")]
        runs = [run for name in names for run in self.standins.records(name)["runs"]]
        return [run for run in runs if run["idempotency_key"] == key]

    def attempts(self) -> list[dict[str, t.Any]]:
        """Return the attempts on all engines, each with the engine's name."""
        names = [name for name in self.standins.addresses if name.startswith("engine")]
        return [
            {**attempt, "engine": name}
            for name in names
            for attempt in self.standins.records(name)["attempts"]
        ]

    def assert_layers_ran_once(self) -> None:
        """Check that each token on every engine passed each layer once, in order."""
        attempts = self.attempts()
        assert attempts
        assert [a for a in attempts if a["violations"]] == []

    def _all_daemons_serve(self) -> bool:
        return all(
            daemon.complete("warm up", 1).status == 200
            for daemon in self.daemons.values()
        )

    def _forward(self, target: str) -> Forwarder:
        forwarder = Forwarder(target)
        self._stack.callback(forwarder.close)
        return forwarder

    def _settings(
        self, name: str, data_centre: str, port: int, peer_port: int, seeds: list[str]
    ) -> dict[str, t.Any]:
        addresses = [self.address_of(name) for name in ("table", "hosts", "objects")]
        if data_centre in self.forwarders:
            addresses = [
                forwarder.address for forwarder in self.forwarders[data_centre]
            ]
        table, hosts, objects = (f"http://{address}" for address in addresses)
        settings: dict[str, dict[str, t.Any]] = {
            "host": {
                "name": name,
                "data_centre": data_centre,
                "address": LOOPBACK,
                "http_port": port,
                "peer_port": peer_port,
            },
            "platform": {
                "table": table,
                "hosts": hosts,
                "objects": objects,
                "weights": f"http://{self.address_of('weights')}",
            },
            "peers": {"seeds": seeds},
            "shutdown": {"balancer_lag_s": 0.5, "drain_s": 60.0},
        }
        for section, values in self._overrides.items():
            settings[section] = {**settings.get(section, {}), **values}
        return settings


def default_engines(data_centres: t.Sequence[str]) -> list[dict[str, t.Any]]:
    """Return the options of two pipelines of two stages in each data centre."""
    engines = []
    for data_centre in data_centres:
        for index in range(4):
            first = (index % 2) * 4
            engines.append(
                {
                    "name": f"engine-{data_centre}{index}",
                    "data_centre": data_centre,
                    "model": MODEL,
                    "layers": LAYERS,
                    "first": first,
                    "last": first + 4,
                    "slots": 32,
                    "step_ms": 5.0,
                    "links": dict.fromkeys(data_centres, 0.5),
                }
            )
    return engines
