"""Fakes of the soak: the platform's store, services and engines."""

import collections
import random
import typing as t

from tests.gateway_data import LAYERS
from tests.gateway_deployment import Engine
from tests.gateway_deployment import PendingRequest
from tests.gateway_deployment import Service
from tests.gateway_deployment import Store
from tests.soak.checker import EVENTS
from tests.soak.checker import InvariantChecker
from tests.soak.checker import ReceivedRequest
from tests.soak.checker import make_event
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.requests import Request

SERVICE_TIME_S = 0.01
EVENT_INTERVAL_S = 0.03
FAULT_SHARE = 0.03
"""Probability of each fault per request, or per complete stream."""

PAUSE_S = 0.2
"""Seconds for which an upstream that refuses a request wants no others."""


COPY_INTERVAL_S = 1.0
MAX_COPIES = 30
OTHER_WRITES_PER_S = 200
"""Versions that writes to other tables take; a return to a copy takes them back."""


class SoakStore(Store):
    """A store that can drop its history of changes, or come back from a copy."""

    def __init__(self, loop: Loop) -> None:
        super().__init__(loop)
        self.first_kept_version = 0
        # The latest copies, one each ``COPY_INTERVAL_S``, the oldest first.
        self.copies: collections.deque[t.Any] = collections.deque(maxlen=MAX_COPIES)

    def keep_copies(self, until: float) -> None:
        """Make copies until a time, between writes to other tables.

        Without these writes afterwards, versions don't catch up with those that a
        return has taken back.
        """
        if self.loop.now >= until:
            return
        self.copies.append(self.copy())
        self.version += int(OTHER_WRITES_PER_S * COPY_INTERVAL_S)
        self.loop.call_later(COPY_INTERVAL_S, lambda: self.keep_copies(until))

    def come_back(self, copy: tuple[int, t.Any]) -> None:
        """Come back from a copy, and give versions out again."""
        super().come_back(copy)
        self.first_kept_version = min(self.first_kept_version, self.version)

    def drop_history(self) -> None:
        """Drop the changes up to now, and answer the waiting calls with 410."""
        self.first_kept_version = self.version + 1
        waiting, self.waiting = self.waiting, []
        for pending, _, _ in waiting:
            self.reply(pending, 410, [])

    def feed(self, pending: PendingRequest, table: str, after: int) -> None:
        """Answer with the changes after a version, or 410 if they were dropped."""
        if after < self.first_kept_version - 1:
            self.reply(pending, 410, [])
            return
        super().feed(pending, table, after)


def make_received_request(request: Request) -> ReceivedRequest:
    """Return a request as the checker compares it."""

    def text(name: bytes) -> str:
        return request.header(name).decode()

    return ReceivedRequest(
        text(b"x-attempt-id"),
        request.method.decode(),
        request.target.decode(),
        bytes(request.body),
        text(b"x-tenant"),
        text(b"authorization"),
    )


class _SoakUpstream:
    """State of the soak's upstreams: the checker and the injected faults."""

    checker: InvariantChecker
    rng: random.Random
    is_down = False
    # Drained and removed from the store; refuses all requests.
    has_left = False
    row: dict[str, t.Any]

    def refusal(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal."""
        headers = [(b"X-Not-Executed", b"1"), (b"Retry-After", b"%.1f" % PAUSE_S)]
        return headers + self.notices()

    def notices(self) -> list[tuple[bytes, bytes]]:
        """Return the headers in which it speaks about itself."""
        is_leaving = self.has_left or self.row["state"] == "draining"
        return [(b"Server-Leaving", b"1")] if is_leaving else []


class SoakService(_SoakUpstream, Service):
    """A service that refuses some requests and loses some answers."""

    def answer(self, pending: PendingRequest) -> None:
        """Run a request, refuse it, or lose its answer."""
        request = pending.request
        if self.is_down:
            return
        is_misdirected = request.header(b"x-target-replica") != self.name.encode()
        roll = self.rng.random()
        if is_misdirected:
            pending.caller.answer(421, b"", (), b"")
            return
        if self.has_left or roll < FAULT_SHARE:
            pending.caller.answer(503, b"", self.refusal(), b"")
            return
        self.checker.record_run(
            self.name, make_received_request(request), self.loop.now
        )
        if roll < 2 * FAULT_SHARE:
            pending.caller.abort_answer()
            return
        self.loop.call_later(SERVICE_TIME_S, lambda: self._send_answer(pending))

    def _send_answer(self, pending: PendingRequest) -> None:
        if pending.is_caller_gone or self.is_down:
            return
        attempt = pending.request.header(b"x-attempt-id")
        headers = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        headers += self.notices()
        pending.caller.answer(200, b"", headers, b"body of " + attempt)


class SoakEngine(_SoakUpstream, Engine):
    """An engine that checks the path of each request."""

    engine_by_address: t.ClassVar[dict[str, "SoakEngine"]] = {}

    def answer(self, pending: PendingRequest) -> None:
        """Answer a report or an order, or start a stream."""
        request = pending.request
        if self.is_down:
            return
        if request.path == "/report":
            self._report(pending)
            return
        if request.path == "/order":
            super().answer(pending)
            return
        if self.has_left:
            self._refuse(pending, 503, self)
            return
        path = request.header(b"x-hop-count").decode()
        attempt = request.header(b"x-attempt-id").decode()
        self.checker.check_path(self.name, attempt, path, LAYERS)
        for address, first, last in _parse_path(path):
            engine = self.engine_by_address.get(address)
            if engine is None or engine.is_down or engine.has_left:
                self._refuse(pending, 503, engine or self)
                return
            if not engine.holds(first, last):
                self._refuse(pending, 421, engine)
                return
        self.checker.record_run(
            self.name, make_received_request(request), self.loop.now
        )
        last_event_id = int(request.header(b"last-event-id") or 0)
        headers = [
            (b"X-Attempt-Id", request.header(b"x-attempt-id")),
            (b"X-Response-Signature", b"sig"),
            (b"Content-Type", b"text/event-stream"),
            *self.notices(),
        ]
        pending.caller.begin(200, b"OK", headers)
        self._send_events(pending, last_event_id + 1)

    def holds(self, first: int, last: int) -> bool:
        """Return whether this engine holds a range of layers."""
        layers = self.row["layers"]
        if layers is None:
            return False
        return bool(layers["from"] <= first and last <= layers["target"])

    def _report(self, pending: PendingRequest) -> None:
        body = (
            b'{"born":%d,"sequence":%d,"busy":false,"running":0,"queue_depth":0,'
            b'"kv_used":0,"kv_total":1}' % (self.row["born"], len(self.orders))
        )
        pending.caller.answer(200, b"", (), body)

    @staticmethod
    def _refuse(pending: PendingRequest, status: int, engine: "SoakEngine") -> None:
        headers = [(b"X-Not-Executed", b"1"), (b"At-Server", engine.address.encode())]
        pending.caller.answer(status, b"", headers, b"")

    def _send_events(self, pending: PendingRequest, number: int) -> None:
        if pending.is_caller_gone or self.is_down:
            return
        if number > EVENTS:
            pending.caller.end()
            return
        attempt = pending.request.header(b"x-attempt-id").decode()
        event = make_event(attempt, number).encode()
        if self.rng.random() < FAULT_SHARE / EVENTS:
            pending.caller.send(event[: len(event) // 2])
            pending.caller.abort_answer()
            return
        pending.caller.send(event)
        self.loop.call_later(
            EVENT_INTERVAL_S, lambda: self._send_events(pending, number + 1)
        )


def _parse_path(path: str) -> t.Iterator[tuple[str, int, int]]:
    for part in path.split(","):
        address, _, span = part.partition("=")
        first, _, last = span.partition("-")
        yield address, int(first), int(last)
