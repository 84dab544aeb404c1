"""An open-loop load: requests sent at their times, whatever comes back."""

import dataclasses
import errno
import json
import random
import selectors
import socket
import time
import typing as t

from tests.fleet import MODEL
from tests.fleet import bearer

TOKEN_MARK = b'"text":" w'
ERROR_MARK = b'"error":'
DONE_MARK = b"[DONE]"
RECEIVE_BYTES = 1 << 16


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
    """One request of a plan; ``at`` in seconds from the start of the run."""

    at: float
    daemon: str
    account: str
    priority: str
    prompt: str
    max_tokens: int
    group: str


class Call:
    """One request on its way, and what came of it."""

    __slots__ = (
        "ask",
        "asked_at",
        "buffer",
        "first_at",
        "last_at",
        "longest_gap_s",
        "raw",
        "sock",
        "state",
        "tokens",
    )

    def __init__(self, ask: Ask) -> None:
        self.ask = ask
        self.sock: socket.socket | None = None
        self.raw = b""
        self.asked_at = 0.0
        self.first_at = 0.0
        self.last_at = 0.0
        self.longest_gap_s = 0.0
        self.tokens = 0
        self.state = "open"
        self.buffer = b""

    @property
    def first_s(self) -> float:
        """Return the time to the first token."""
        return self.first_at - self.asked_at

    @property
    def whole_s(self) -> float:
        """Return the time to the last token."""
        return self.last_at - self.asked_at


def poisson(
    rng: random.Random,
    rate: float,
    span: tuple[float, float],
    make: t.Callable[[float], Ask],
) -> list[Ask]:
    """Return requests at random times of a rate a second."""
    asks = []
    at = span[0] + rng.expovariate(rate)
    while at < span[1]:
        asks.append(make(at))
        at += rng.expovariate(rate)
    return asks


def _request(ask: Ask) -> bytes:
    body = json.dumps(
        {
            "model": MODEL,
            "prompt": ask.prompt,
            "max_tokens": ask.max_tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {bearer(ask.account)}\r\n"
        f"X-Priority: {ask.priority}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Run:
    """Sends a plan and reads the answers in one thread."""

    def __init__(self, address_by_daemon: dict[str, str]) -> None:
        self._address_by_daemon = address_by_daemon
        self._selector = selectors.DefaultSelector()

    def send(
        self,
        plan: list[Ask],
        seconds: float,
        events: t.Sequence[tuple[float, t.Callable[[], None]]] = (),
    ) -> list[Call]:
        """Send the requests and call the events at their times.

        :param seconds: from the start until what is still open is given up.
        """
        calls = [Call(ask) for ask in sorted(plan, key=lambda ask: ask.at)]
        due = sorted(events, key=lambda event: event[0])
        started_at = time.monotonic()
        sent = 0
        open_calls = 0
        while True:
            now = time.monotonic() - started_at
            if now >= seconds or (sent == len(calls) and not open_calls):
                break
            while due and due[0][0] <= now:
                due.pop(0)[1]()
            while sent < len(calls) and calls[sent].ask.at <= now:
                open_calls += self._open(calls[sent])
                sent += 1
            wait_s = 0.05
            if sent < len(calls):
                wait_s = min(wait_s, max(0.0, calls[sent].ask.at - now))
            for key, _ in self._selector.select(wait_s):
                open_calls -= self._receive(key.data)
        for key in list(self._selector.get_map().values()):
            self._close(key.data, "unfinished")
        return calls

    def _open(self, call: Call) -> int:
        host, _, port = self._address_by_daemon[call.ask.daemon].partition(":")
        call.asked_at = time.monotonic()
        sock = socket.socket()
        try:
            sock.connect((host, int(port)))
            sock.sendall(_request(call.ask))
        except OSError:
            sock.close()
            call.state = "refused"
            return 0
        sock.setblocking(False)
        call.sock = sock
        self._selector.register(sock, selectors.EVENT_READ, call)
        return 1

    def _receive(self, call: Call) -> int:
        assert call.sock is not None
        try:
            data = call.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                return 0
            data = b""
        if not data:
            self._close(call, call.state if call.state != "open" else "cut")
            return 1
        self._take(call, data)
        return 0

    def _take(self, call: Call, data: bytes) -> None:
        now = time.monotonic()
        count = data.count(TOKEN_MARK)
        if count:
            if call.first_at:
                call.longest_gap_s = max(call.longest_gap_s, now - call.last_at)
            else:
                call.first_at = now
            call.last_at = now
            call.tokens += count
        if DONE_MARK in data:
            call.state = "whole"
        elif ERROR_MARK in data:
            call.state = "error"
            call.raw = data

    def _close(self, call: Call, state: str) -> None:
        assert call.sock is not None
        self._selector.unregister(call.sock)
        call.sock.close()
        call.state = state
