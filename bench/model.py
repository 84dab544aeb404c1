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
from .fleet import LINK_S_BY_SAME_CENTRE
from .fleet import EngineSpec
from .fleet import idle_state

RESEND_S = 0.1
REPORT_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request and its outcome.

    ``output_tokens``: length of the answer, unknown to the entry host, which
    expects ``expected_output_tokens``; ``delivered``: output tokens so far;
    ``failure``: why the request was refused or aborted, empty if it wasn't.
    """

    name: str
    host: str
    account: str
    priority: Priority
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: float
    arrived_at: float
    deadline: float
    weight: float = 1.0
    entitled: bool = True
    epoch: int = 0
    delivered: float = 0.0
    first_token_at: float | None = None
    ended_at: float | None = None
    failure: str = ""
    last_token_at: float = 0.0
    longest_gap_s: float = 0.0
    avoid: frozenset[str] = frozenset()

    @property
    def is_over(self) -> bool:
        """Whether the request has ended, been refused or been aborted."""
        return self.ended_at is not None or bool(self.failure)


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One attempt of a request along a route.

    ``period_s``: seconds between tokens; ``updated_at``: instant up to which
    tokens are counted; ``version``: number of the last scheduled end, by which
    an outdated end event is recognised.
    """

    request: Request
    route: "list[Engine]"
    is_decoding: bool = False
    is_over: bool = False
    period_s: float = 0.0
    updated_at: float = 0.0
    version: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """The state of one simulated engine."""

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
        """Return the duration of a decoding step at the current load."""
        others = max(0, len(self.running) - 1)
        kind = self.spec.kind
        return kind.step_s * (1 + BATCH_GROWTH * others / kind.slots)


class Model:
    """The simulated clock, engines and network."""

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
        self.on_stream_end: t.Callable[[Request, Stream], None] = lambda r, s: None
        self.on_stream_broken: t.Callable[[Request, Stream, str], None] = (
            lambda r, s, e: None
        )
        self.on_report: t.Callable[[EngineState], None] = lambda state: None
        self._events: list[tuple[float, int, t.Callable[..., None], t.Any]] = []
        self._sequence = itertools.count()

    def call_at(self, when: float, call: t.Callable[..., None], *args: t.Any) -> None:
        """Schedule a call at an instant of the simulated clock."""
        when = max(when, self.now)
        heapq.heappush(self._events, (when, next(self._sequence), call, args))

    def run(self, until: float) -> None:
        """Process the scheduled events up to an instant."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def link_s(self, source: str, target: str) -> float:
        """Return the one-way delay between two data centres."""
        factor = max(self.slow_links.get(source, 1.0), self.slow_links.get(target, 1.0))
        if source == target:
            return LINK_S_BY_SAME_CENTRE[True]
        return LINK_S_BY_SAME_CENTRE[False] * factor

    def send(
        self, source: str, target: str, call: t.Callable[..., None], *args: t.Any
    ) -> None:
        """Send a datagram and resend it until it arrives.

        ``source`` and ``target`` are data centres. If the acknowledgement is
        lost, the message arrives twice.
        """
        self.messages += 1
        delay_s = self.link_s(source, target)
        while self.loss and self.rng.random() < self.loss:
            delay_s += self.resend_s
            self.messages += 1
        self.call_at(self.now + delay_s, call, *args)
        if self.loss and self.rng.random() < self.loss:
            self.call_at(self.now + delay_s + self.resend_s, call, *args)
            self.messages += 1

    # Engines.

    def send_reports(self) -> None:
        """Send each engine's report, delayed by the lag, and schedule the next."""
        for engine in self.engine_by_name.values():
            if engine.is_alive:
                self.call_at(
                    self.now + self.report_lag_s, self.on_report, self.report_of(engine)
                )
        self.call_at(self.now + REPORT_INTERVAL_S, self.send_reports)

    def report_of(self, engine: Engine) -> EngineState:
        """Return an engine's report of its current state."""
        return dataclasses.replace(
            idle_state(engine.spec),
            incarnation=str(engine.incarnation),
            running=len(engine.running),
            waiting=sum(len(streams) for streams in engine.waiting),
            kv_used=engine.kv_used,
            step_s=engine.step_s(),
            as_of=self.now,
        )

    def start_stream(
        self, request: Request, names: t.Iterable[str], source: str
    ) -> Stream:
        """Start an attempt of a request along a route."""
        route = [self.engine_by_name[name] for name in names]
        stream = Stream(request, route)
        delay_s = self.link_s(source, route[0].spec.data_centre)
        self.call_at(self.now + delay_s, self._enqueue, stream)
        return stream

    def _enqueue(self, stream: Stream) -> None:
        if stream.is_over:
            return
        for engine in stream.route:
            if not engine.is_alive:
                self._break_stream(stream, engine.spec.name)
                return
        stream.route[0].waiting[stream.request.priority].append(stream)
        self._start_waiting(stream.route)

    def _fits(self, stream: Stream) -> bool:
        needed_tokens = self._kv_tokens(stream)
        for engine in stream.route:
            kind = engine.spec.kind
            if len(engine.running) >= kind.slots:
                return False
            if engine.kv_used + needed_tokens > kind.kv_tokens:
                return False
        return True

    @staticmethod
    def _kv_tokens(stream: Stream) -> int:
        return stream.request.prompt_tokens + int(
            4 * stream.request.expected_output_tokens
        )

    def _start_waiting(self, engines: t.Iterable[Engine]) -> None:
        for head in engines:
            for streams in head.waiting:
                for stream in list(itertools.islice(streams, 8)):
                    if self._fits(stream):
                        streams.remove(stream)
                        self._start_prefill(stream)

    def _start_prefill(self, stream: Stream) -> None:
        ready_at = self.now
        request = stream.request
        tokens_to_prefill = request.prompt_tokens + request.delivered
        for engine in stream.route:
            engine.running[stream] = None
            engine.kv_used += self._kv_tokens(stream)
            prefill_s = tokens_to_prefill / engine.spec.kind.prefill_tokens_per_s
            ready_at = max(ready_at, engine.prefill_free_at) + prefill_s
            engine.prefill_free_at = ready_at
        self._reschedule(stream.route)
        self.call_at(ready_at, self._start_decoding, stream)

    def _period_s(self, route: list[Engine]) -> float:
        period_s = 0.0
        for index, engine in enumerate(route):
            following = route[(index + 1) % len(route)]
            period_s += engine.step_s()
            if following is not engine:
                source, target = engine.spec.data_centre, following.spec.data_centre
                period_s += self.link_s(source, target)
        return period_s

    def _start_decoding(self, stream: Stream) -> None:
        if stream.is_over:
            return
        stream.is_decoding = True
        stream.updated_at = self.now
        stream.period_s = self._period_s(stream.route)
        self.call_at(self.now + stream.period_s, self._record_first_token, stream)
        self._schedule_end(stream)

    def _record_first_token(self, stream: Stream) -> None:
        request = stream.request
        if stream.is_over:
            return
        if request.first_token_at is None:
            request.first_token_at = self.now
        else:
            gap_s = self.now - request.last_token_at
            request.longest_gap_s = max(request.longest_gap_s, gap_s)

    def _schedule_end(self, stream: Stream) -> None:
        stream.version += 1
        remaining = max(0.0, stream.request.output_tokens - stream.request.delivered)
        end = self.now + remaining * stream.period_s
        self.call_at(end, self._finish, stream, stream.version)

    def _add_tokens(self, stream: Stream) -> None:
        tokens = (self.now - stream.updated_at) / stream.period_s
        request = stream.request
        tokens = min(tokens, request.output_tokens - request.delivered)
        request.delivered += tokens
        request.last_token_at = self.now
        stream.updated_at = self.now
        self.tokens.append((self.now, request, tokens))

    def _reschedule(self, engines: t.Iterable[Engine]) -> None:
        affected: dict[Stream, None] = {}
        for engine in engines:
            affected.update(engine.running)
        for stream in affected:
            if not stream.is_decoding:
                continue
            period_s = self._period_s(stream.route)
            if abs(period_s - stream.period_s) < 0.01 * stream.period_s:
                continue
            self._add_tokens(stream)
            stream.period_s = period_s
            self._schedule_end(stream)

    def _release_stream(self, stream: Stream) -> None:
        stream.is_over = True
        for engine in stream.route:
            # The values of ``running`` are None, so any other result means
            # that the stream was not running on this engine.
            if engine.running.pop(stream, stream) is None:
                engine.kv_used -= self._kv_tokens(stream)
        for streams in stream.route[0].waiting:
            if stream in streams:
                streams.remove(stream)

    def _finish(self, stream: Stream, version: int) -> None:
        if stream.is_over or version != stream.version:
            return
        self._add_tokens(stream)
        self._release_stream(stream)
        request = stream.request
        request.ended_at = self.now
        self._reschedule(stream.route)
        self._start_waiting(self._heads_to_retry(stream.route))
        self.on_stream_end(request, stream)

    def _heads_to_retry(self, route: list[Engine]) -> list[Engine]:
        # A request that waits at another first stage may need the slot that
        # has become free on a later stage.
        heads = dict.fromkeys(route[:1])
        if len(route) > 1:
            for engine in self.engine_by_name.values():
                if engine.spec.first == 0 and engine.spec.last == route[0].spec.last:
                    heads[engine] = None
        return list(heads)

    def cancel(self, stream: Stream) -> None:
        """Cancel an attempt whose caller or entry host is gone."""
        if stream.is_over:
            return
        if stream.is_decoding:
            self._add_tokens(stream)
        self._release_stream(stream)
        self._reschedule(stream.route)
        self._start_waiting(self._heads_to_retry(stream.route))

    def _break_stream(self, stream: Stream, engine: str) -> None:
        if stream.is_over:
            return
        if stream.is_decoding:
            self._add_tokens(stream)
        self._release_stream(stream)
        self.on_stream_broken(stream.request, stream, engine)

    def kill(self, name: str) -> None:
        """Stop an engine and break every stream whose route includes it."""
        engine = self.engine_by_name[name]
        engine.is_alive = False
        streams = [*engine.running]
        for waiting in engine.waiting:
            streams += waiting
        for other in self.engine_by_name.values():
            for waiting in other.waiting:
                streams += [stream for stream in waiting if engine in stream.route]
        for stream in streams:
            self._break_stream(stream, name)

    def revive(self, name: str) -> None:
        """Restart an engine as a new incarnation."""
        engine = self.engine_by_name[name]
        engine.is_alive = True
        engine.incarnation += 1
        engine.prefill_free_at = 0.0
