"""Callers that keep their connections until the host's process is gone."""

import random
import typing as t
import uuid

import httptools

from tests.soak.checker import Asked
from tests.soak.checker import Key
from tests.soak.checker import Kind
from tests.soak.checker import Ledger
from tests.soak.hosts import HostProcess
from wagtailstair.gateway.connection import Connection
from wagtailstair.gateway.connection import connect
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.loop import Timer

PAUSE_S = (0.02, 0.12)
KEEP_SHARE = 0.9
"""Share of requests that go out on the connection of the one before."""

STREAM_GAP_S = 2.0
"""Seconds without an event after which callers give up a stream, from the pages."""

KINDS = (Kind.ONCE, Kind.REPEATABLE, Kind.STREAM)
DEADLINE_S = {Kind.ONCE: 1.0, Kind.REPEATABLE: 1.0, Kind.STREAM: 8.0}


class _Answer:
    """An answer as it comes in."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.is_whole = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_whole = True

    @property
    def status(self) -> int:
        status: int = self.parser.get_status_code()
        return status


def encode(asked: Asked) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{asked.method} {asked.target} HTTP/1.1",
        "Host: desk.example",
        f"X-Attempt-Id: {asked.attempt}",
        f"X-Deadline-Ms: {int(asked.deadline_s * 1000)}",
        f"Authorization: Token {asked.key.text}",
    ]
    if asked.kind is Kind.STREAM:
        lines += ["X-Token-Usage: 300,80", "X-Model: m", "X-Prompt-Prefix: ab:300"]
    if asked.method == "POST":
        lines.append(f"Content-Length: {len(asked.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + asked.body


class SoakCaller:
    """One caller, which asks one thing after the other."""

    def __init__(
        self,
        loop: Loop,
        ledger: Ledger,
        hosts: t.Sequence[HostProcess],
        keys: t.Callable[[], list[Key]],
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._ledger = ledger
        self._hosts = hosts
        self._keys = keys
        self._rng = rng
        self._connection: Connection | None = None
        self._host = hosts[0]
        self._process = ""
        self._asked: Asked | None = None
        self._answer = _Answer()
        self._timer: Timer | None = None
        self.is_stopped = False
        self.served_at: list[float] = []
        self.asked_at: list[float] = []

    def start(self) -> None:
        """Ask something, then pause, and so on."""
        if self.is_stopped:
            return
        if self._connection is not None and self._rng.random() > KEEP_SHARE:
            self._connection.close_gracefully()
            self._connection = None
        if self._connection is None and not self._connect():
            self._loop.call_later(self._rng.uniform(*PAUSE_S), self.start)
            return
        self._ask()

    def _connect(self) -> bool:
        ready = [host for host in self._hosts if host.is_running]
        if not ready:
            return False
        self._host = self._rng.choice(ready)
        self._process = self._host.incarnation
        ip, _, port = self._host.front.address.rpartition(":")
        self._connection = connect(
            self._loop, (ip, int(port)), self._on_data, self._on_lost, lambda: None
        )
        return True

    def _ask(self) -> None:
        kind = self._rng.choice(KINDS)
        attempt = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        method, target, body = {
            Kind.ONCE: ("POST", f"/register/{attempt}?fee=1", b"fee" * 20),
            Kind.REPEATABLE: ("GET", f"/lookup/{attempt}", b""),
            Kind.STREAM: ("POST", "/draft/1", b"p" * 300),
        }[kind]
        self._asked = asked = Asked(
            attempt,
            kind,
            method,
            target,
            body,
            self._rng.choice(self._keys()),
            self._host.name,
            self._process,
            self._loop.now,
            DEADLINE_S[kind],
            self._ledger.version,
        )
        self._answer = _Answer()
        self._ledger.ask(asked)
        self.asked_at.append(self._loop.now)
        self._watch(asked.deadline_s)
        assert self._connection is not None
        self._connection.write(encode(asked))

    def _watch(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _on_timeout(self) -> None:
        """Leave: the answer is late."""
        self._timer = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self._asked = None
        self._next()

    def _on_data(self, data: bytes) -> None:
        if not data:
            self._on_lost(OSError("closed"))
            return
        asked = self._asked
        if asked is None:
            self._ledger.broken.append(f"mixed: bytes for nobody from {self._host}")
            return
        try:
            self._answer.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._ledger.broken.append(f"mixed: {asked.attempt} got {error}")
            self._on_lost(OSError("malformed"))
            return
        if asked.kind is Kind.STREAM:
            self._watch(STREAM_GAP_S)
        if self._answer.is_whole:
            self._end(asked, self._answer)

    def _end(self, asked: Asked, answer: _Answer) -> None:
        self._asked = None
        text = answer.body.decode("latin-1")
        self._ledger.answer(
            asked.attempt, answer.status, text, self._loop.now, is_whole=True
        )
        if answer.status < 300:
            self.served_at.append(asked.sent_at)
        if not answer.parser.should_keep_alive() and self._connection is not None:
            self._connection.close_gracefully()
            self._connection = None
        self._next()

    def _on_lost(self, _error: OSError) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        asked, self._asked = self._asked, None
        if asked is None:
            return
        now = self._loop.now
        if self._answer.body:
            text = self._answer.body.decode("latin-1")
            status = self._answer.status
            if asked.kind is Kind.STREAM and status < 300:
                # Whole events only: the last one may be cut.
                text = text.rpartition("\n\n")[0]
                self._ledger.answer(asked.attempt, status, text, now, is_whole=False)
        in_shutdown = self._host.drained_at is not None
        self._ledger.cut(asked.attempt, now, in_shutdown=in_shutdown)
        self._next()

    def _next(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._loop.call_later(self._rng.uniform(*PAUSE_S), self.start)
