"""The outside systems of the soak: the platform's store, services and engines."""

import random
import typing as t

from tests.gateway_data import LAYERS
from tests.gateway_deployment import Engine
from tests.gateway_deployment import PendingRequest
from tests.gateway_deployment import Service
from tests.gateway_deployment import Store
from tests.soak.checker import EVENTS
from tests.soak.checker import Ledger
from tests.soak.checker import ReceivedRequest
from tests.soak.checker import make_event
from wagtailstair.gateway.loop import Loop
from wagtailstair.gateway.requests import Request

WORK_S = 0.01
EVENT_S = 0.03
FAULT_SHARE = 0.03


class SoakStore(Store):
    """The store, which can also forget its history."""

    def __init__(self, loop: Loop) -> None:
        super().__init__(loop)
        self.kept_from = 0

    def forget_history(self) -> None:
        """Refuse to tell of changes before now, and end the calls that wait."""
        self.kept_from = self.version + 1
        waiting, self.waiting = self.waiting, []
        for held, _, _ in waiting:
            self.reply(held, 410, [])

    def feed(self, held: PendingRequest, table: str, after: int) -> None:
        """Answer with the changes after a version, if they are kept."""
        if after < self.kept_from - 1:
            self.reply(held, 410, [])
            return
        super().feed(held, table, after)


def see(request: Request) -> ReceivedRequest:
    """Return what an upstream was asked."""

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


class _Soaked:
    """What the soak's upstreams share: a ledger, and an end that can come."""

    ledger: Ledger
    rng: random.Random
    is_down = False
    # Told the store that it leaves, and refuses from some time on.
    is_closed = False


class SoakService(_Soaked, Service):
    """A plain service that refuses and loses a few requests."""

    def answer(self, held: PendingRequest) -> None:
        """Run a request, refuse it, or lose its answer."""
        request = held.request
        if self.is_down:
            return
        is_other = request.header(b"x-target-replica") != self.name.encode()
        roll = self.rng.random()
        if is_other:
            held.caller.answer(421, b"", (), b"")
            return
        if self.is_closed or roll < FAULT_SHARE:
            held.caller.answer(503, b"", [(b"X-Not-Executed", b"1")], b"")
            return
        self.ledger.ran(self.name, see(request), self.loop.now)
        if roll < 2 * FAULT_SHARE:
            held.caller.abort_answer()
            return
        self.loop.call_later(WORK_S, lambda: self._end(held))

    def _end(self, held: PendingRequest) -> None:
        if held.is_caller_gone or self.is_down:
            return
        attempt = held.request.header(b"x-attempt-id")
        headers = [(b"X-Attempt-Id", attempt), (b"X-Response-Signature", b"sig")]
        held.caller.answer(200, b"", headers, b"body of " + attempt)


class SoakEngine(_Soaked, Engine):
    """An engine that checks the path of each request."""

    by_address: t.ClassVar[dict[str, "SoakEngine"]] = {}

    def answer(self, held: PendingRequest) -> None:
        """Take an order, or begin a stream."""
        request = held.request
        if self.is_down:
            return
        if request.path == "/report":
            self._report(held)
            return
        if request.path == "/order":
            super().answer(held)
            return
        if self.is_closed:
            self._refuse(held, 503, self)
            return
        path = request.header(b"x-hop-count").decode()
        attempt = request.header(b"x-attempt-id").decode()
        self.ledger.path(self.name, attempt, path, LAYERS)
        for address, first, last in _parts(path):
            engine = self.by_address.get(address)
            if engine is None or engine.is_down or engine.is_closed:
                self._refuse(held, 503, engine or self)
                return
            if not engine.holds(first, last):
                self._refuse(held, 421, engine)
                return
        self.ledger.ran(self.name, see(request), self.loop.now)
        last_id = int(request.header(b"last-event-id") or 0)
        headers = [
            (b"X-Attempt-Id", request.header(b"x-attempt-id")),
            (b"X-Response-Signature", b"sig"),
            (b"Content-Type", b"text/event-stream"),
        ]
        held.caller.begin(200, b"OK", headers)
        self._go_on(held, last_id + 1)

    def holds(self, first: int, last: int) -> bool:
        """Tell whether this engine holds some layers."""
        layers = self.row["layers"]
        if layers is None:
            return False
        return bool(layers["from"] <= first and last <= layers["target"])

    def _report(self, held: PendingRequest) -> None:
        body = (
            b'{"born":%d,"sequence":%d,"busy":false,"running":0,"queue_depth":0,'
            b'"kv_used":0,"kv_total":1}' % (self.row["born"], len(self.orders))
        )
        held.caller.answer(200, b"", (), body)

    @staticmethod
    def _refuse(held: PendingRequest, status: int, at: "SoakEngine") -> None:
        headers = [(b"X-Not-Executed", b"1"), (b"At-Server", at.address.encode())]
        held.caller.answer(status, b"", headers, b"")

    def _go_on(self, held: PendingRequest, number: int) -> None:
        if held.is_caller_gone or self.is_down:
            return
        if number > EVENTS:
            held.caller.end()
            return
        attempt = held.request.header(b"x-attempt-id").decode()
        event = make_event(attempt, number).encode()
        if self.rng.random() < FAULT_SHARE / EVENTS:
            held.caller.send(event[: len(event) // 2])
            held.caller.abort_answer()
            return
        held.caller.send(event)
        self.loop.call_later(EVENT_S, lambda: self._go_on(held, number + 1))


def _parts(path: str) -> t.Iterator[tuple[str, int, int]]:
    for part in path.split(","):
        address, _, span = part.partition("=")
        first, _, last = span.partition("-")
        yield address, int(first), int(last)
