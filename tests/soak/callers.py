"""Callers that reuse their connections, also while a host shuts down."""

import dataclasses
import random
import typing as t
import uuid

import httptools

from tests.soak.checker import REFUSALS
from tests.soak.checker import CallerRequest
from tests.soak.checker import InvariantChecker
from tests.soak.checker import Key
from tests.soak.checker import Kind
from tests.soak.hosts import HostProcess
from wagtailstair.gateway.connection import Connection
from wagtailstair.gateway.connection import connect
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.loop import Timer

PAUSE_S = (0.02, 0.12)
"""Bounds of the pause between two requests of a caller."""

KEEP_ALIVE_SHARE = 0.9
"""Share of requests that reuse the connection of the previous one."""

STREAM_STALL_S = 2.0
"""Documented seconds without an event after which callers abort a stream."""

KINDS = (Kind.NON_IDEMPOTENT, Kind.IDEMPOTENT, Kind.STREAM)
DEADLINE_S = {Kind.NON_IDEMPOTENT: 1.0, Kind.IDEMPOTENT: 1.0, Kind.STREAM: 8.0}


STREAM_PATHS = ("/draft/1", "/edit/1", "/batch/1")
"""Paths of streams, by rank."""

LEAST_URGENT = len(STREAM_PATHS) - 1
STATIC_KEY_SHARE = 0.5
"""Share of streams of the accounts whose keys aren't rotated."""


class _Answer:
    """An answer that is being received."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.is_complete = False
        self.retry_after_s: float | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after_s = float(value)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True

    @property
    def status(self) -> int:
        status: int = self.parser.get_status_code()
        return status


def encode_request(request: CallerRequest) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        "Host: desk.example",
        f"X-Attempt-Id: {request.attempt}",
        f"X-Deadline-Ms: {int(request.deadline_s * 1000)}",
        f"Authorization: Token {request.key.text}",
    ]
    if request.kind is Kind.STREAM:
        lines += ["X-Token-Usage: 300,80", "X-Model: m", "X-Prompt-Prefix: ab:300"]
    if request.method == "POST":
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body


class SoakCaller:
    """A caller that sends one request at a time.

    :param stream_rng: for draws about streams and returns, so that those of ``rng``
        stay the same for a seed.
    :param rank: if given, it sends only streams of this rank.
    """

    def __init__(
        self,
        loop: Loop,
        checker: InvariantChecker,
        hosts: t.Sequence[HostProcess],
        keys: t.Callable[[], list[Key]],
        rng: random.Random,
        stream_rng: random.Random,
        static_keys: t.Sequence[Key] = (),
        rank: int | None = None,
    ) -> None:
        self._stream_rng = stream_rng
        self._static_keys = static_keys
        self._rank = rank
        self._loop = loop
        self._checker = checker
        self._hosts = hosts
        self._keys = keys
        self._rng = rng
        self._connection: Connection | None = None
        self._host = hosts[0]
        self._incarnation = ""
        self._request: CallerRequest | None = None
        self._answer = _Answer()
        self._timer: Timer | None = None
        self.is_stopped = False
        # When the requests were sent: those served, and all.
        self.served_sent_at: list[float] = []
        self.all_sent_at: list[float] = []

    def start(self) -> None:
        """Send a request; each later one follows after a pause."""
        if self.is_stopped:
            self._close_connection()
            return
        if self._connection is not None and self._rng.random() > KEEP_ALIVE_SHARE:
            self._close_connection()
        if self._connection is None and not self._connect(self._hosts, self._rng):
            self._loop.call_later(self._rng.uniform(*PAUSE_S), self.start)
            return
        self._send_request()

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close_gracefully()
            self._connection = None

    def _connect(self, hosts: t.Sequence[HostProcess], rng: random.Random) -> bool:
        running = [host for host in hosts if host.is_running]
        if not running:
            return False
        self._host = rng.choice(running)
        self._incarnation = self._host.incarnation
        ip, _, port = self._host.caller_proxy.address.rpartition(":")
        self._connection = connect(
            self._loop, (ip, int(port)), self._on_data, self._on_lost, lambda: None
        )
        return True

    def _send_request(self) -> None:
        kind = self._rng.choice(KINDS)
        key = self._rng.choice(self._keys())
        rank = 0
        if self._rank is not None:
            kind, rank = Kind.STREAM, self._rank
        elif kind is Kind.STREAM:
            rank = self._stream_rng.randrange(len(STREAM_PATHS))
            if self._static_keys and self._stream_rng.random() < STATIC_KEY_SHARE:
                key = self._stream_rng.choice(self._static_keys)
        attempt = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        method, target, body = {
            Kind.NON_IDEMPOTENT: ("POST", f"/register/{attempt}?fee=1", b"fee" * 20),
            Kind.IDEMPOTENT: ("GET", f"/lookup/{attempt}", b""),
            Kind.STREAM: ("POST", STREAM_PATHS[rank], b"p" * 300),
        }[kind]
        sender = (key, self._host.name, self._incarnation, self._loop.now)
        sent = (method, target, body, *sender, DEADLINE_S[kind], self._checker.version)
        centre = self._host.data_centre
        self._send(CallerRequest(attempt, kind, *sent, centre, rank))

    def _send(self, request: CallerRequest) -> None:
        self._request = request
        self._answer = _Answer()
        self._checker.record_request(request)
        self.all_sent_at.append(self._loop.now)
        self._start_timer(request.deadline_s)
        assert self._connection is not None
        self._connection.write(encode_request(request))

    def _start_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _on_timeout(self) -> None:
        """Abort the connection, since the answer is late."""
        self._timer = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self._request = None
        self._schedule_next()

    def _on_data(self, data: bytes) -> None:
        if not data:
            self._on_lost(OSError("closed"))
            return
        request = self._request
        if request is None:
            self._checker.violations.append(
                f"mixed: bytes without a request from {self._host}"
            )
            return
        try:
            self._answer.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._checker.violations.append(f"mixed: {request.attempt} got {error}")
            self._on_lost(OSError("malformed"))
            return
        if request.kind is Kind.STREAM:
            self._start_timer(STREAM_STALL_S)
        if self._answer.is_complete:
            self._finish_request(request, self._answer)

    def _finish_request(self, request: CallerRequest, answer: _Answer) -> None:
        self._request = None
        text = answer.body.decode("latin-1")
        self._checker.check_answer(
            request.attempt, answer.status, text, self._loop.now, is_complete=True
        )
        if answer.status < 300:
            self.served_sent_at.append(request.sent_at)
        if not answer.parser.should_keep_alive() and self._connection is not None:
            self._close_connection()
        delay_s = answer.retry_after_s
        if answer.status in REFUSALS and delay_s is not None and not request.is_return:
            self._cancel_timer()
            self._loop.call_later(delay_s, lambda: self._return(request))
            return
        self._schedule_next()

    def _return(self, rejected: CallerRequest) -> None:
        """Repeat a rejected request at another host, on a new connection."""
        self._close_connection()
        others = [host for host in self._hosts if host is not self._host]
        if self.is_stopped or not self._connect(others, self._stream_rng):
            self._schedule_next()
            return
        attempt = uuid.UUID(int=self._stream_rng.getrandbits(128)).hex[:16]
        request = dataclasses.replace(
            rejected,
            attempt=attempt,
            host=self._host.name,
            incarnation=self._incarnation,
            sent_at=self._loop.now,
            version=self._checker.version,
            is_return=True,
            runs=[],
            status=None,
        )
        self._checker.count("returned")
        self._send(request)

    def _on_lost(self, _error: OSError) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        request, self._request = self._request, None
        if request is None:
            return
        now = self._loop.now
        if self._answer.body:
            text = self._answer.body.decode("latin-1")
            status = self._answer.status
            if request.kind is Kind.STREAM and status < 300:
                # The last event may be truncated.
                text = text.rpartition("\n\n")[0]
                self._checker.check_answer(
                    request.attempt, status, text, now, is_complete=False
                )
        in_shutdown = self._host.shutdown_at is not None
        self._checker.check_cut(request.attempt, now, in_shutdown=in_shutdown)
        self._schedule_next()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_next(self) -> None:
        self._cancel_timer()
        self._loop.call_later(self._rng.uniform(*PAUSE_S), self.start)
