"""A discrete-event model of engines, links and entry hosts."""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Priority

from .fleet import BATCH_GROWTH
from .fleet import LINK_S
from .fleet import EngineSpec
from .fleet import idle_state

RESEND_S = 0.1
REPORT_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request and what became of it.

    ``prompt``, ``output``: tokens; ``expected``: output tokens that the entry
    host expects; ``done``: tokens delivered.
    """

    name: str
    host: str
    account: str
    priority: Priority
    prompt: int
    output: int
    expected: float
    arrived: float
    deadline: float
    weight: float = 1.0
    entitled: bool = True
    epoch: int = 0
    done: float = 0.0
    first_token: float | None = None
    ended: float | None = None
    refused: str = ""
    last_token: float = 0.0
    longest_gap: float = 0.0
    avoid: frozenset[str] = frozenset()

    @property
    def is_over(self) -> bool:
        """Whether the caller has had an end or a refusal."""
        return self.ended is not None or bool(self.refused)


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One attempt of a request along a route."""

    request: Request
    route: "list[Engine]"
    is_decoding: bool = False
    is_over: bool = False
    period_s: float = 0.0
    updated: float = 0.0
    version: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """The state of one engine."""

    spec: EngineSpec
    running: dict[Stream, None] = dataclasses.field(default_factory=dict)
    waiting: tuple[collections.deque[Stream], ...] = dataclasses.field(
        default_factory=lambda: tuple(collections.deque() for _ in Priority)
    )
    prefill_free_at: float = 0.0
    kv_used: int = 0
    is_alive: bool = True
    incarnation: int = 0

    def step_s(self) -> float:
        """Return the seconds of a step at the present load."""
        others = max(0, len(self.running) - 1)
        kind = self.spec.kind
        return kind.step_s * (1 + BATCH_GROWTH * others / kind.slots)


class Model:
    """The clock, the engines and the network."""

    def __init__(self, specs: list[EngineSpec], seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.engine_by_name = {spec.name: Engine(spec) for spec in specs}
        self.loss = 0.0
        self.resend_s = RESEND_S
        self.report_lag_s = 0.2
        self.slow_links: dict[str, float] = {}
        self.dead_hosts: set[str] = set()
        self.messages = 0
        self.tokens: list[tuple[float, Request, float]] = []
        self.on_end: t.Callable[[Request, Stream], None] = lambda r, s: None
        self.on_break: t.Callable[[Request, Stream, str], None] = lambda r, s, e: None
        self.on_report: t.Callable[[EngineState], None] = lambda state: None
        self._events: list[tuple[float, int, t.Callable[..., None], t.Any]] = []
        self._sequence = itertools.count()

    def at(self, when: float, call: t.Callable[..., None], *args: t.Any) -> None:
        """Call back at an instant."""
        when = max(when, self.now)
        heapq.heappush(self._events, (when, next(self._sequence), call, args))

    def run(self, until: float) -> None:
        """Work through the events up to an instant."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def link_s(self, one: str, other: str) -> float:
        """Return the seconds one way between two data centres."""
        factor = max(self.slow_links.get(one, 1.0), self.slow_links.get(other, 1.0))
        if one == other:
            return LINK_S[True]
        return LINK_S[False] * factor

    def send(
        self, source: str, target: str, call: t.Callable[..., None], *args: t.Any
    ) -> None:
        """Send a datagram that is resent until it has arrived.

        ``source`` and ``target`` are data centres. A lost acknowledgement
        makes the message arrive twice.
        """
        self.messages += 1
        delay_s = self.link_s(source, target)
        while self.loss and self.rng.random() < self.loss:
            delay_s += self.resend_s
            self.messages += 1
        self.at(self.now + delay_s, call, *args)
        if self.loss and self.rng.random() < self.loss:
            self.at(self.now + delay_s + self.resend_s, call, *args)
            self.messages += 1

    # Engines.

    def report(self) -> None:
        """Send each engine's report, which lags, and come back."""
        for engine in self.engine_by_name.values():
            if engine.is_alive:
                self.at(
                    self.now + self.report_lag_s, self.on_report, self.state(engine)
                )
        self.at(self.now + REPORT_INTERVAL_S, self.report)

    def state(self, engine: Engine) -> EngineState:
        """Return an engine's report as of now."""
        return dataclasses.replace(
            idle_state(engine.spec),
            incarnation=str(engine.incarnation),
            running=len(engine.running),
            waiting=sum(len(streams) for streams in engine.waiting),
            kv_used=engine.kv_used,
            step_s=engine.step_s(),
            as_of=self.now,
        )

    def start(self, request: Request, names: t.Iterable[str], source: str) -> Stream:
        """Send a request along a route."""
        route = [self.engine_by_name[name] for name in names]
        stream = Stream(request, route)
        delay_s = self.link_s(source, route[0].spec.data_centre)
        self.at(self.now + delay_s, self._enqueue, stream)
        return stream

    def _enqueue(self, stream: Stream) -> None:
        if stream.is_over:
            return
        for engine in stream.route:
            if not engine.is_alive:
                self._break(stream, engine.spec.name)
                return
        stream.route[0].waiting[stream.request.priority].append(stream)
        self._start_waiting(stream.route)

    def _fits(self, stream: Stream) -> bool:
        need = self._kv(stream)
        for engine in stream.route:
            kind = engine.spec.kind
            if len(engine.running) >= kind.slots:
                return False
            if engine.kv_used + need > kind.kv_tokens:
                return False
        return True

    @staticmethod
    def _kv(stream: Stream) -> int:
        return stream.request.prompt + int(4 * stream.request.expected)

    def _start_waiting(self, engines: t.Iterable[Engine]) -> None:
        for head in engines:
            for streams in head.waiting:
                for stream in list(itertools.islice(streams, 8)):
                    if self._fits(stream):
                        streams.remove(stream)
                        self._begin(stream)

    def _begin(self, stream: Stream) -> None:
        at = self.now
        request = stream.request
        todo = request.prompt + request.done
        for engine in stream.route:
            engine.running[stream] = None
            engine.kv_used += self._kv(stream)
            took_s = todo / engine.spec.kind.prefill_tokens_per_s
            at = max(at, engine.prefill_free_at) + took_s
            engine.prefill_free_at = at
        self._reschedule(stream.route)
        self.at(at, self._join, stream)

    def _period_s(self, route: list[Engine]) -> float:
        period_s = 0.0
        for index, engine in enumerate(route):
            following = route[(index + 1) % len(route)]
            period_s += engine.step_s()
            if following is not engine:
                source, target = engine.spec.data_centre, following.spec.data_centre
                period_s += self.link_s(source, target)
        return period_s

    def _join(self, stream: Stream) -> None:
        if stream.is_over:
            return
        stream.is_decoding = True
        stream.updated = self.now
        stream.period_s = self._period_s(stream.route)
        self.at(self.now + stream.period_s, self._first, stream)
        self._plan_end(stream)

    def _first(self, stream: Stream) -> None:
        request = stream.request
        if stream.is_over:
            return
        if request.first_token is None:
            request.first_token = self.now
        else:
            gap_s = self.now - request.last_token
            request.longest_gap = max(request.longest_gap, gap_s)

    def _plan_end(self, stream: Stream) -> None:
        stream.version += 1
        left = max(0.0, stream.request.output - stream.request.done)
        end = self.now + left * stream.period_s
        self.at(end, self._finish, stream, stream.version)

    def _advance(self, stream: Stream) -> None:
        tokens = (self.now - stream.updated) / stream.period_s
        request = stream.request
        tokens = min(tokens, request.output - request.done)
        request.done += tokens
        request.last_token = self.now
        stream.updated = self.now
        self.tokens.append((self.now, request, tokens))

    def _reschedule(self, engines: t.Iterable[Engine]) -> None:
        touched: dict[Stream, None] = {}
        for engine in engines:
            touched.update(engine.running)
        for stream in touched:
            if not stream.is_decoding:
                continue
            period_s = self._period_s(stream.route)
            if abs(period_s - stream.period_s) < 0.01 * stream.period_s:
                continue
            self._advance(stream)
            stream.period_s = period_s
            self._plan_end(stream)

    def _release(self, stream: Stream) -> None:
        stream.is_over = True
        for engine in stream.route:
            if engine.running.pop(stream, stream) is None:
                engine.kv_used -= self._kv(stream)
        for streams in stream.route[0].waiting:
            if stream in streams:
                streams.remove(stream)

    def _finish(self, stream: Stream, version: int) -> None:
        if stream.is_over or version != stream.version:
            return
        self._advance(stream)
        self._release(stream)
        request = stream.request
        request.ended = self.now
        self._reschedule(stream.route)
        self._start_waiting(self._heads(stream.route))
        self.on_end(request, stream)

    def _heads(self, route: list[Engine]) -> list[Engine]:
        # A slot that frees on a later stage may be what a head waits for.
        heads = dict.fromkeys(route[:1])
        if len(route) > 1:
            for engine in self.engine_by_name.values():
                if engine.spec.first == 0 and engine.spec.last == route[0].spec.last:
                    heads[engine] = None
        return list(heads)

    def cancel(self, stream: Stream) -> None:
        """End an attempt whose caller or host is gone."""
        if stream.is_over:
            return
        if stream.is_decoding:
            self._advance(stream)
        self._release(stream)
        self._reschedule(stream.route)
        self._start_waiting(self._heads(stream.route))

    def _break(self, stream: Stream, engine: str) -> None:
        if stream.is_over:
            return
        if stream.is_decoding:
            self._advance(stream)
        self._release(stream)
        self.on_break(stream.request, stream, engine)

    def kill(self, name: str) -> None:
        """End an engine and every stream that runs through it."""
        engine = self.engine_by_name[name]
        engine.is_alive = False
        streams = [*engine.running]
        for waiting in engine.waiting:
            streams += waiting
        for other in self.engine_by_name.values():
            for waiting in other.waiting:
                streams += [stream for stream in waiting if engine in stream.route]
        for stream in streams:
            self._break(stream, name)

    def revive(self, name: str) -> None:
        """Start an engine anew."""
        engine = self.engine_by_name[name]
        engine.is_alive = True
        engine.incarnation += 1
        engine.prefill_free_at = 0.0
