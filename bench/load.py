"""Open-loop load: requests are sent at their times, whatever the answers."""

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

TOKEN_MARKER = b'"text":" w'
ERROR_MARKER = b'"error":'
DONE_MARKER = b"[DONE]"
RECEIVE_BYTES = 1 << 16


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedRequest:
    """One request of a plan; ``at`` is in seconds from the start of the run."""

    at: float
    daemon: str
    account: str
    priority: str
    prompt: str
    max_tokens: int
    group: str


class SentRequest:
    """A request that has been sent, with its outcome.

    ``state``: ``open``, ``whole``, ``error``, ``cut``, ``refused`` or
    ``unfinished``.
    """

    __slots__ = (
        "buffer",
        "error_data",
        "first_token_at",
        "last_token_at",
        "longest_gap_s",
        "planned",
        "sent_at",
        "sock",
        "state",
        "tokens",
    )

    def __init__(self, planned: PlannedRequest) -> None:
        self.planned = planned
        self.sock: socket.socket | None = None
        self.error_data = b""
        self.sent_at = 0.0
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.longest_gap_s = 0.0
        self.tokens = 0
        self.state = "open"
        self.buffer = b""

    @property
    def first_token_s(self) -> float:
        """Return the time from sending to the first token."""
        return self.first_token_at - self.sent_at

    @property
    def duration_s(self) -> float:
        """Return the time from sending to the last token."""
        return self.last_token_at - self.sent_at


def poisson_arrivals(
    rng: random.Random,
    requests_per_s: float,
    span: tuple[float, float],
    make_request: t.Callable[[float], PlannedRequest],
) -> list[PlannedRequest]:
    """Return requests of a Poisson process within a span of time."""
    requests = []
    at = span[0] + rng.expovariate(requests_per_s)
    while at < span[1]:
        requests.append(make_request(at))
        at += rng.expovariate(requests_per_s)
    return requests


def _request(planned: PlannedRequest) -> bytes:
    body = json.dumps(
        {
            "model": MODEL,
            "prompt": planned.prompt,
            "max_tokens": planned.max_tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {bearer(planned.account)}\r\n"
        f"X-Priority: {planned.priority}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class LoadGenerator:
    """Sends the requests of a plan and reads the answers, in one thread."""

    def __init__(self, address_by_daemon: dict[str, str]) -> None:
        self._address_by_daemon = address_by_daemon
        self._selector = selectors.DefaultSelector()

    def send(
        self,
        plan: list[PlannedRequest],
        seconds: float,
        events: t.Sequence[tuple[float, t.Callable[[], None]]] = (),
    ) -> list[SentRequest]:
        """Send the requests and call the events at their times.

        :param seconds: time after which open requests are closed as
            ``unfinished``.
        """
        requests = [
            SentRequest(planned)
            for planned in sorted(plan, key=lambda planned: planned.at)
        ]
        pending_events = sorted(events, key=lambda event: event[0])
        started_at = time.monotonic()
        sent_count = 0
        open_count = 0
        while True:
            now = time.monotonic() - started_at
            if now >= seconds or (sent_count == len(requests) and not open_count):
                break
            while pending_events and pending_events[0][0] <= now:
                pending_events.pop(0)[1]()
            while sent_count < len(requests) and requests[sent_count].planned.at <= now:
                open_count += self._open(requests[sent_count])
                sent_count += 1
            wait_s = 0.05
            if sent_count < len(requests):
                wait_s = min(wait_s, max(0.0, requests[sent_count].planned.at - now))
            for key, _ in self._selector.select(wait_s):
                open_count -= self._receive(key.data)
        for key in list(self._selector.get_map().values()):
            self._close(key.data, "unfinished")
        return requests

    def _open(self, request: SentRequest) -> int:
        host, _, port = self._address_by_daemon[request.planned.daemon].partition(":")
        request.sent_at = time.monotonic()
        sock = socket.socket()
        try:
            sock.connect((host, int(port)))
            sock.sendall(_request(request.planned))
        except OSError:
            sock.close()
            request.state = "refused"
            return 0
        sock.setblocking(False)
        request.sock = sock
        self._selector.register(sock, selectors.EVENT_READ, request)
        return 1

    def _receive(self, request: SentRequest) -> int:
        assert request.sock is not None
        try:
            data = request.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                return 0
            data = b""
        if not data:
            self._close(request, request.state if request.state != "open" else "cut")
            return 1
        self._record_data(request, data)
        return 0

    def _record_data(self, request: SentRequest, data: bytes) -> None:
        now = time.monotonic()
        count = data.count(TOKEN_MARKER)
        if count:
            if request.first_token_at:
                request.longest_gap_s = max(
                    request.longest_gap_s, now - request.last_token_at
                )
            else:
                request.first_token_at = now
            request.last_token_at = now
            request.tokens += count
        if DONE_MARKER in data:
            request.state = "whole"
        elif ERROR_MARKER in data:
            request.state = "error"
            request.error_data = data

    def _close(self, request: SentRequest, state: str) -> None:
        assert request.sock is not None
        self._selector.unregister(request.sock)
        request.sock.close()
        request.state = state
