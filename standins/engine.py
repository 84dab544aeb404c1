"""A model engine that holds a range of layers and decodes in batches."""

import collections
import os
import time

from aiohttp import web

from .base import Json
from .base import Standin
from .base import abort_connection
from .base import new_records
from .base import not_run_response
from .decoding import Fleet
from .decoding import StreamError
from .orders import Orders
from .prefixes import PrefixCache
from .streams import Stream

PRIORITIES = 3
MAX_TRACKED_REQUESTS = 4096
MAX_STALE_LINES = 64
# Relative increase of the step duration from a single stream to a full batch.
BATCH_GROWTH = 0.5
REPORT_LAG_S = 0.2
EVENT_LAG_S = 0.3
# One in EVENT_GAP cache events is omitted, as a lossy event stream would.
EVENT_GAP = 17


class Engine(Standin):
    """The state and the HTTP interface of one engine."""

    handler_cancellation = True

    def __init__(self, name: str, config: Json, fleet: Fleet) -> None:
        super().__init__(name, config)
        self.fleet = fleet
        self.data_centre = str(config.get("data_centre", ""))
        self.model = str(config.get("model", "draft"))
        self.version = str(config.get("version", "1"))
        self.adapters = list(config.get("adapters", []))
        self.role = str(config.get("role", "any"))
        self.accelerator = str(config.get("accelerator", "a"))
        self.layers = int(config.get("layers", 8))
        self.first = int(config.get("first", 0))
        self.last = int(config.get("last", self.layers))
        self.slots = int(config.get("slots", 16))
        self.step_s = float(config.get("step_ms", 10.0)) / 1000
        self.prefill_tokens_per_s = float(config.get("prefill_tokens_per_s", 20_000))
        self.links: dict[str, float] = dict(config.get("links", {}))
        self.fencing = str(config.get("fencing", "checked"))
        self.max_waiting = int(config.get("max_waiting", 256))
        self.cache = PrefixCache(
            int(config.get("kv_tokens", 100_000)),
            event_lag_s=float(config.get("event_lag_s", EVENT_LAG_S)),
            event_gap=int(config.get("event_gap", EVENT_GAP)),
        )
        self.orders = Orders(self, config)
        self.switches.update(
            refuse=False,
            leaving=False,
            slow=1.0,
            stall=False,
            duplicate_events=0,
            late_events=0,
            cut_after=0,
            link_ms=1.0,
            lose_order_replies=0,
            report_lag_s=float(config.get("report_lag_s", REPORT_LAG_S)),
        )
        self.attempts = new_records()
        # Streams that run on this engine, as the first or a later stage.
        self.running: set[Stream] = set()
        self.waiting: list[collections.deque[Stream]] = [
            collections.deque() for _ in range(PRIORITIES)
        ]
        self.prefill_free_at = 0.0
        self.stale_lines: collections.deque[bytes] = collections.deque(
            maxlen=MAX_STALE_LINES
        )
        self.exports: collections.OrderedDict[str, Json] = collections.OrderedDict()
        self._epoch_by_request: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.incarnation = os.urandom(4).hex()
        self._reported_state: Json = {}
        self._reported_at = 0.0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        return [
            web.get("/v1/state", self._handle_state),
            web.get("/v1/events", self._handle_events),
            web.post("/v1/generate", self._handle_generate),
            web.post("/v1/cancel", self._handle_cancel),
            web.post("/v1/kv/export", self._handle_export),
            web.post("/v1/kv/import", self._handle_import),
            web.post("/v1/orders", self._handle_order),
        ]

    def records(self) -> Json:
        """Return the attempts, the orders and the current state."""
        return {
            "attempts": list(self.attempts),
            "orders": list(self.orders.records),
            "running": len(self.running),
            "waiting": self.waiting_count(),
            "state": self.state(),
        }

    def waiting_count(self) -> int:
        """Return the number of streams that wait for a slot at this engine."""
        return sum(len(streams) for streams in self.waiting)

    def step_duration_s(self) -> float:
        """Return the duration of one step at the current batch size."""
        others = max(0, len(self.running) - 1)
        growth = 1 + BATCH_GROWTH * others / self.slots
        return float(self.step_s * growth * self.switches["slow"])

    def link_s(self, other: "Engine") -> float:
        """Return the latency of sending activations to another engine."""
        factor = max(self.switches["link_ms"], other.switches["link_ms"])
        return float(self.links.get(other.data_centre, 0.0) * factor / 1000)

    def state(self) -> Json:
        """Return the current state."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "model": self.model,
            "version": self.version,
            "adapters": self.adapters,
            "role": self.role,
            "first": self.first,
            "last": self.last,
            "layers": self.layers,
            "accelerator": self.accelerator,
            "slots": self.slots,
            "running": len(self.running),
            "waiting": self.waiting_count(),
            "kv_tokens": self.cache.capacity,
            "kv_used": self.cache.used,
            "step_ms": round(self.step_duration_s() * 1000, 3),
            "prefill_tokens_per_s": self.prefill_tokens_per_s / self.switches["slow"],
            "links": self.links,
            "leaving": self.switches["leaving"],
            "fencing": self.fencing,
            "order": self.orders.fence,
            "event_seq": self.cache.visible_seq(),
        }

    def handle_crash(self) -> None:
        """Abort all streams on this engine and discard its memory."""
        for stream in [*self.running, *self._all_waiting()]:
            stream.abort("stage dead")
        self.cache.clear()
        self._epoch_by_request.clear()
        self.exports.clear()

    def handle_restart(self) -> None:
        """Start a new incarnation."""
        self.incarnation = os.urandom(4).hex()
        self.prefill_free_at = 0.0

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self.running) < self.slots

    def _all_waiting(self) -> list[Stream]:
        return [stream for streams in self.waiting for stream in streams]

    async def _handle_state(self, _request: web.Request) -> web.Response:
        now = time.monotonic()
        if now - self._reported_at >= self.switches["report_lag_s"]:
            # Reports lag by one interval: this response still holds the previous state.
            report = self._reported_state or self.state()
            reported_at = self._reported_at if self._reported_state else now
            self._reported_state, self._reported_at = self.state(), now
        else:
            report, reported_at = self._reported_state, self._reported_at
        age_ms = round((now - reported_at) * 1000, 3)
        return web.json_response({**report, "as_of_ms": age_ms})

    async def _handle_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return web.json_response(self.cache.events_after(after))

    async def _handle_generate(self, request: web.Request) -> web.StreamResponse:
        if self.switches["refuse"]:
            return not_run_response(503, "refused")
        body = await request.json()
        try:
            stream = self._admit(body)
        except StreamError as error:
            return not_run_response(error.status, str(error))
        response = web.StreamResponse(headers={"Content-Type": "application/jsonl"})
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            assert request.transport is not None
            stream.transport = request.transport
            self.fleet.enqueue(stream)
            await stream.finished
            if not request.transport.is_closing():
                await response.write_eof()
        finally:
            # If the stream has not ended by now, the client has disconnected.
            stream.finish("disconnected")
        return response

    def _admit(self, body: Json) -> Stream:
        last_epoch = self._epoch_by_request.get(body["request"], -1)
        if body["epoch"] < last_epoch:
            raise StreamError(409, "old epoch")
        if self.waiting_count() >= self.max_waiting:
            raise StreamError(429, "queue full")
        stream = self.fleet.new_stream(self, body)
        self._epoch_by_request[body["request"]] = body["epoch"]
        if len(self._epoch_by_request) > MAX_TRACKED_REQUESTS:
            self._epoch_by_request.popitem(last=False)
        self.attempts.append(stream.record)
        return stream

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        for stream in [*self.running, *self._all_waiting()]:
            if (stream.request, stream.attempt) != (body["request"], body["attempt"]):
                continue
            stream.finish("cancelled")
        return web.json_response({})

    async def _handle_export(self, request: web.Request) -> web.Response:
        body = await request.json()
        for stream in self.running:
            if stream.request == body["request"]:
                return web.json_response(stream.export_kv())
        if body["request"] in self.exports:
            return web.json_response(self.exports[body["request"]])
        return web.json_response({"error": "no such request"}, status=404)

    async def _handle_import(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.cache.add_import(int(body["context"]))
        return web.json_response({})

    async def _handle_order(self, request: web.Request) -> web.Response:
        accepted = self.orders.accept(await request.json())
        if self.consume_switch("lose_order_replies"):
            return abort_connection(request)
        if not accepted:
            return web.json_response({"error": "old fence"}, status=412)
        return web.json_response({"state": self.state()})
