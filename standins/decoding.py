"""Batched decoding: streams that share a route are stepped together."""

import asyncio
import time
import typing as t

from .base import Json
from .streams import Stream
from .tokens import Range

if t.TYPE_CHECKING:
    from .engine import Engine
    from .stores import Weights

STALL_POLL_S = 0.02
# Waiting streams considered for each priority, so that one that does not fit does
# not block the streams behind it.
MAX_START_CANDIDATES = 64
MAX_EXPORTS = 256


class StreamError(Exception):
    """An engine refuses a stream, of which nothing has run."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def _layer_share(engine: "Engine", span: Range) -> float:
    return (span[1] - span[0]) / max(1, engine.last - engine.first)


def _check_stage(engine: "Engine", body: Json) -> None:
    if engine.orders.loading:
        raise StreamError(503, "loading")
    if engine.switches["refuse"]:
        raise StreamError(503, "refused")
    if body.get("model", engine.model) != engine.model:
        raise StreamError(409, "another model")
    if body.get("adapter") and body["adapter"] not in engine.adapters:
        raise StreamError(409, "no such adapter")


def _can_start(stream: Stream) -> bool:
    for engine, _ in stream.stages:
        if not engine.has_free_slot() or not engine.cache.fits(stream.kv_tokens):
            return False
    return True


class DecodeBatch:
    """Streams with the same route, which are stepped together."""

    __slots__ = ("engines", "next_at", "scheduled", "shares", "streams")

    def __init__(self, stream: Stream) -> None:
        self.engines = [engine for engine, _ in stream.stages]
        self.shares = [_layer_share(engine, span) for engine, span in stream.stages]
        self.streams: dict[Stream, None] = {}
        self.next_at = 0.0
        self.scheduled = False

    def period_s(self) -> float:
        """Return the duration of one token through all stages and links."""
        period = 0.0
        for engine, share in zip(self.engines, self.shares, strict=True):
            period += engine.step_duration_s() * share
        for index, engine in enumerate(self.engines):
            following = self.engines[(index + 1) % len(self.engines)]
            period += engine.link_s(following)
        return period


class Fleet:
    """Schedules streams over the engines, which pass activations in memory."""

    __slots__ = (
        "_batch_by_route",
        "_heads_with_waiting",
        "_start_scheduled",
        "engine_by_address",
        "weights",
    )

    def __init__(self) -> None:
        self.engine_by_address: dict[str, Engine] = {}
        self.weights: Weights | None = None
        self._batch_by_route: dict[t.Hashable, DecodeBatch] = {}
        # First-stage engines with waiting streams, in the order of their first wait.
        self._heads_with_waiting: dict[Engine, None] = {}
        self._start_scheduled = False

    def new_stream(self, head: "Engine", body: Json) -> Stream:
        """Validate a request and create its stream.

        :raises StreamError: if the request can't run on this route.
        """
        stages: list[tuple[Engine, Range]] = []
        for entry in body["route"]:
            engine = self.engine_by_address.get(entry["address"])
            if engine is None or engine.switches["dead"]:
                raise StreamError(503, "stage not reachable")
            _check_stage(engine, body)
            # Run only those layers of the request that the engine holds.
            first = max(entry["first"], engine.first)
            last = max(first, min(entry["last"], engine.last))
            stages.append((engine, (first, last)))
        if not stages or stages[0][0] is not head:
            raise StreamError(409, "not the first stage")
        stream = Stream(self, stages, body)
        if any(stream.kv_tokens > engine.cache.capacity for engine, _ in stages):
            raise StreamError(409, "longer than the KV memory")
        return stream

    def enqueue(self, stream: Stream) -> None:
        """Queue a stream at its first stage."""
        if stream.record["end"] is not None:
            return
        head = stream.stages[0][0]
        head.waiting[stream.priority].append(stream)
        self._heads_with_waiting[head] = None
        if stream.deadline is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(stream.deadline, self._expire, stream)
        self._schedule_start()

    def release(self, stream: Stream) -> None:
        """Free the slots and KV memory of a stream."""
        if not stream.started:
            waiting = stream.stages[0][0].waiting[stream.priority]
            if stream in waiting:
                waiting.remove(stream)
            return
        for engine, _ in stream.stages:
            engine.running.discard(stream)
            engine.cache.release(stream.kv_tokens)
        if stream.batch is not None:
            stream.batch.streams.pop(stream, None)
        exports = stream.stages[0][0].exports
        exports[stream.request] = stream.export_kv()
        if len(exports) > MAX_EXPORTS:
            exports.popitem(last=False)
        self._schedule_start()

    def _expire(self, stream: Stream) -> None:
        if not stream.started:
            stream.abort("deadline")

    def _schedule_start(self) -> None:
        if self._start_scheduled or not self._heads_with_waiting:
            return
        self._start_scheduled = True
        asyncio.get_running_loop().call_soon(self._start_waiting_streams)

    def _start_waiting_streams(self) -> None:
        self._start_scheduled = False
        for head in list(self._heads_with_waiting):
            for waiting in head.waiting:
                for stream in list(waiting)[:MAX_START_CANDIDATES]:
                    if _can_start(stream):
                        waiting.remove(stream)
                        self._start(stream)
            if not head.waiting_count():
                del self._heads_with_waiting[head]

    def _start(self, stream: Stream) -> None:
        stream.started = True
        now = ready_at = time.monotonic()
        for engine, span in stream.stages:
            engine.running.add(stream)
            engine.cache.reserve(stream.kv_tokens)
            cached = engine.cache.lookup(stream.hashes)
            if engine.cache.has_import(stream.context):
                cached = stream.prefill_tokens
            engine.cache.store(stream.hashes)
            if engine is stream.stages[0][0]:
                stream.cached_tokens = min(cached, stream.prompt_tokens)
            uncached_tokens = max(0, stream.prefill_tokens - cached) * _layer_share(
                engine, span
            )
            prefill_s = (
                uncached_tokens / engine.prefill_tokens_per_s * engine.switches["slow"]
            )
            # The prefills of an engine run sequentially.
            ready_at = max(ready_at, engine.prefill_free_at) + prefill_s
            engine.prefill_free_at = ready_at
        for (engine, _), (following, _) in zip(
            stream.stages, stream.stages[1:], strict=False
        ):
            ready_at += engine.link_s(following)
        asyncio.get_running_loop().call_later(ready_at - now, self._join_batch, stream)

    def _join_batch(self, stream: Stream) -> None:
        if stream.record["end"] is not None:
            return
        if stream.position >= stream.max_tokens:
            stream.send_end("length")
            return
        key = tuple((engine.name, span) for engine, span in stream.stages)
        batch = self._batch_by_route.get(key)
        if batch is None:
            batch = self._batch_by_route[key] = DecodeBatch(stream)
        stream.batch = batch
        batch.streams[stream] = None
        if not batch.scheduled:
            self._schedule_step(key, batch, time.monotonic())

    def _schedule_step(self, key: t.Hashable, batch: DecodeBatch, start: float) -> None:
        batch.next_at = start + batch.period_s()
        batch.scheduled = True
        asyncio.get_running_loop().call_at(batch.next_at, self._step_batch, key, batch)

    def _step_batch(self, key: t.Hashable, batch: DecodeBatch) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if any(engine.switches["stall"] for engine in batch.engines):
            batch.next_at = now + STALL_POLL_S
            loop.call_at(batch.next_at, self._step_batch, key, batch)
            return
        for stream in list(batch.streams):
            stream.step()
        if batch.streams:
            # Steps keep a fixed period unless the process has fallen behind.
            late = now - batch.next_at > batch.period_s()
            self._schedule_step(key, batch, now if late else batch.next_at)
        else:
            batch.scheduled = False
            del self._batch_by_route[key]
