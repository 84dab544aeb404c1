"""Decoding in batches: streams that share a route take their steps together."""

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
MAX_SKIPPED = 64
MAX_EXPORTS = 256


class StreamError(Exception):
    """An engine refuses a stream; nothing ran."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def _held_share(engine: "Engine", span: Range) -> float:
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
        if not engine.can_start() or not engine.cache.fits(stream.kv_tokens):
            return False
    return True


class Group:
    """Streams of one route, which step together."""

    __slots__ = ("engines", "next_at", "scheduled", "shares", "streams")

    def __init__(self, stream: Stream) -> None:
        self.engines = [engine for engine, _ in stream.stages]
        self.shares = [_held_share(engine, span) for engine, span in stream.stages]
        self.streams: dict[Stream, None] = {}
        self.next_at = 0.0
        self.scheduled = False

    def period_s(self) -> float:
        """Return the seconds of one token through all stages and links."""
        period = 0.0
        for engine, share in zip(self.engines, self.shares, strict=True):
            period += engine.step_duration_s() * share
        for index, engine in enumerate(self.engines):
            following = self.engines[(index + 1) % len(self.engines)]
            period += engine.link_s(following)
        return period


class Fleet:
    """The engines of one process, which pass activations in memory."""

    __slots__ = (
        "_group_by_route",
        "_poked",
        "_waiting",
        "engine_by_address",
        "weights",
    )

    def __init__(self) -> None:
        self.engine_by_address: dict[str, Engine] = {}
        self.weights: Weights | None = None
        self._group_by_route: dict[t.Hashable, Group] = {}
        # Heads with waiting streams, in the order in which they began to wait.
        self._waiting: dict[Engine, None] = {}
        self._poked = False

    def new_stream(self, head: "Engine", body: Json) -> Stream:
        """Check a request and make its stream.

        :raises StreamError: if the request can't run here.
        """
        stages: list[tuple[Engine, Range]] = []
        for entry in body["route"]:
            engine = self.engine_by_address.get(entry["address"])
            if engine is None or engine.switches["dead"]:
                raise StreamError(503, "stage not reachable")
            _check_stage(engine, body)
            # Only the layers that an engine holds can run there.
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
        """Let a stream wait for its turn at its first stage."""
        if stream.record["end"] is not None:
            return
        head = stream.stages[0][0]
        head.waiting[stream.priority].append(stream)
        self._waiting[head] = None
        if stream.deadline is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(stream.deadline, self._expire, stream)
        self._poke()

    def release(self, stream: Stream) -> None:
        """Free a stream's slots and memory."""
        if not stream.started:
            waiting = stream.stages[0][0].waiting[stream.priority]
            if stream in waiting:
                waiting.remove(stream)
            return
        for engine, _ in stream.stages:
            engine.running.discard(stream)
            engine.cache.release(stream.kv_tokens)
        if stream.group is not None:
            stream.group.streams.pop(stream, None)
        exports = stream.stages[0][0].exports
        exports[stream.request] = stream.exported()
        if len(exports) > MAX_EXPORTS:
            exports.popitem(last=False)
        self._poke()

    def _expire(self, stream: Stream) -> None:
        if not stream.started:
            stream.break_off("deadline")

    def _poke(self) -> None:
        if self._poked or not self._waiting:
            return
        self._poked = True
        asyncio.get_running_loop().call_soon(self._start_waiting)

    def _start_waiting(self) -> None:
        self._poked = False
        for head in list(self._waiting):
            for waiting in head.waiting:
                for stream in list(waiting)[:MAX_SKIPPED]:
                    if _can_start(stream):
                        waiting.remove(stream)
                        self._start(stream)
            if not head.waiting_count():
                del self._waiting[head]

    def _start(self, stream: Stream) -> None:
        stream.started = True
        now = at = time.monotonic()
        for engine, span in stream.stages:
            engine.running.add(stream)
            engine.cache.reserve(stream.kv_tokens)
            cached = engine.cache.lookup(stream.hashes)
            if engine.cache.holds(stream.context):
                cached = stream.to_prefill
            engine.cache.store(stream.hashes)
            if engine is stream.stages[0][0]:
                stream.cached = min(cached, stream.prompt_tokens)
            todo = max(0, stream.to_prefill - cached) * _held_share(engine, span)
            took = todo / engine.prefill_tokens_per_s * engine.switches["slow"]
            # Prefills of one engine run one after another.
            at = max(at, engine.prefill_free_at) + took
            engine.prefill_free_at = at
        for (engine, _), (following, _) in zip(
            stream.stages, stream.stages[1:], strict=False
        ):
            at += engine.link_s(following)
        asyncio.get_running_loop().call_later(at - now, self._join, stream)

    def _join(self, stream: Stream) -> None:
        if stream.record["end"] is not None:
            return
        if stream.position >= stream.max_tokens:
            stream.end("length")
            return
        key = tuple((engine.name, span) for engine, span in stream.stages)
        group = self._group_by_route.get(key)
        if group is None:
            group = self._group_by_route[key] = Group(stream)
        stream.group = group
        group.streams[stream] = None
        if not group.scheduled:
            self._schedule(key, group, time.monotonic())

    def _schedule(self, key: t.Hashable, group: Group, start: float) -> None:
        group.next_at = start + group.period_s()
        group.scheduled = True
        asyncio.get_running_loop().call_at(group.next_at, self._step, key, group)

    def _step(self, key: t.Hashable, group: Group) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if any(engine.switches["stall"] for engine in group.engines):
            group.next_at = now + STALL_POLL_S
            loop.call_at(group.next_at, self._step, key, group)
            return
        for stream in list(group.streams):
            stream.step()
        if group.streams:
            # Steps follow a fixed beat unless the process itself is late.
            late = now - group.next_at > group.period_s()
            self._schedule(key, group, now if late else group.next_at)
        else:
            group.scheduled = False
            del self._group_by_route[key]
