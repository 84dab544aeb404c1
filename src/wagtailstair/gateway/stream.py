"""Requests to model engines: a stream of events over a pipeline."""

from ..core.events import EventSplitter
from ..core.pipelines import Hop
from ..core.pipelines import Path
from ..core.pipelines import kv_room
from ..core.replicas import Replica
from ..platform import engines as engine_wire
from ..platform import headers as wire_headers
from . import heads
from .exchange import BAD_GATEWAY
from .exchange import GATEWAY_TIMEOUT
from .exchange import Exchange
from .exchange import Fate
from .fetch import Answer
from .fetch import Fetch
from .loop import Timer
from .requests import Header
from .transfer import Loss
from .transfer import Upstream
from .transfer import Wire

QUIET_S = 0.25
"""Seconds without an event after which the first engine is asked for the cause:
longer than engines need for an event, and the age of their reports."""

ASK_AGAIN_S = 0.15

ORDER_TIMEOUT_S = 0.3

LEAVING = "leaving"
"""The reason to leave an engine that still serves what it has."""

STALL_S = 0.7
"""Seconds without an event after which a pipeline is taken to stand still."""

FIRST_EVENT_S = 0.8
"""Seconds for the first event, beside the reading of the prompt."""

SUSPECT_S = 3.0
"""Seconds that an engine at fault is avoided by all requests."""

WAIT_GOALS = 2.0
"""Response-time goals that a request may wait for room: callers of streams give
up after four."""

PAUSE_S = 0.15
"""Seconds before a begun answer that no pipeline takes is tried again."""

PATIENCE_S = 1.6
"""Seconds without an event after which a begun answer is given up: callers give
up after two."""


class StreamExchange(Exchange):
    """A request that engines answer with events."""

    __slots__ = (
        "_answer_tokens",
        "_common",
        "_fate",
        "_first_headers",
        "_first_reason",
        "_headers",
        "_left",
        "_path",
        "_progress_at",
        "_prompt_tokens",
        "_reason",
        "_sent_at",
        "_splitter",
        "_stall",
        "_status",
        "_taken",
        "_wire",
        "avoid",
        "events",
    )

    def begin(self) -> None:
        """Send the request down its first pipeline."""
        names = self.context.names
        usage = self.request.header(names.token_usage)
        self._prompt_tokens, most = wire_headers.read_tokens(usage)
        model = self.service.model
        usual = model.usual_answer if model is not None else 0.0
        hint = self.request.header(names.length_hint)
        self._answer_tokens = float(hint) if hint.isdigit() else usual
        if most:
            self._answer_tokens = min(self._answer_tokens, most)
        self._common = heads.passed_on(self.request, names)
        self._splitter = EventSplitter(self.request.header(names.last_event))
        self._wire: Wire | None = None
        self._path: Path = ()
        self._taken = 0.0
        self._stall: Timer | None = None
        self._first_headers: list[Header] | None = None
        self._status = 0
        self._progress_at = self.context.loop.now
        self.events = 0
        self.avoid: set[tuple[str, int]] = set()
        # Engines of the present attempt that were left, or asked to be.
        self._left: set[tuple[str, int]] = set()
        self._attempt("no pipeline")

    def on_caller_gone(self) -> None:
        """Stop the pipeline: nobody waits for the answer."""
        if self.is_over:
            return
        self._leave()
        self.close()
        self.context.finished(self, "caller_gone")

    def on_expired(self) -> None:
        """End a request whose time is over."""
        if self.is_over:
            return
        self._leave()
        if self.sends == 0:
            self.refuse("expired_waiting")
            return
        self.may_have_run = True
        self.fail(GATEWAY_TIMEOUT, "expired")

    # Attempts.

    def _attempt(self, reason: str) -> None:
        context = self.context
        pipelines = context.pipelines(self.service.name)
        now = context.loop.now
        path = self._choose(None)
        if path is None:
            self._give_up(reason)
            return
        tokens = self._prompt_tokens + self._answer_tokens
        model = self.service.model
        assert model is not None
        if self._may_wait() and not pipelines.has_room(model, path, tokens):
            context.wait(self)
            return
        if self.sends == 0:
            context.allowance.requested(self.service.name, now)
        self._path = path
        self._left = set()
        self._taken = tokens
        pipelines.take(path, self._taken)
        self.sends += 1
        self.runs += 1
        self._status = 0
        first = path[0].replica
        headers = heads.attempt_headers(
            context.names, self.grant, first.name, self.left_s
        )
        hops = [(hop.replica.address, hop.first, hop.last) for hop in path]
        headers.append((context.names.path, wire_headers.write_path(hops)))
        headers.append((context.names.rank, b"%d" % min(9, self.grant.rank)))
        if self._splitter.last_id:
            headers.append((context.names.last_event, self._splitter.last_id))
        data = heads.join_head(self._common, headers, bytes(self.request.body))
        self.log(
            "pipeline_chosen",
            level="DEBUG",
            path=wire_headers.write_path(hops).decode(),
            prompt=self._prompt_tokens,
            answer=self._answer_tokens,
            send=self.sends,
        )
        self._splitter = EventSplitter(self._splitter.last_id)
        upstream = Upstream(first.address, first.identity)
        self._sent_at = now
        self._wire = context.pool.send(upstream, data, self, fresh=False)
        if self._wire is None:
            self.on_lost(Loss.NOT_SENT, "no connection")
            return
        self._watch(FIRST_EVENT_S / 2)

    def _may_wait(self) -> bool:
        """Tell whether a request that has not begun may wait for room."""
        if self.caller.has_begun or self.sends:
            return False
        waited = self.context.loop.now - self.request.received_at
        return waited < WAIT_GOALS * self.grant.route.goal_s

    def try_again(self) -> None:
        """Look for room once more."""
        if not self.is_over:
            self._attempt("no room")

    def _choose(self, head: Hop | None) -> Path | None:
        model = self.service.model
        assert model is not None
        context = self.context
        return context.pipelines(self.service.name).choose(
            model,
            context.replicas.usable(self.service.name),
            self._prompt_tokens,
            self._answer_tokens,
            context.loop.now,
            self.avoid,
            head,
        )

    def _watch(self, delay_s: float) -> None:
        if self._stall is not None:
            self._stall.cancel()
        self._stall = self.context.loop.call_later(delay_s, self._on_stall_timer)

    def _on_stall_timer(self) -> None:
        self._stall = None
        if self.is_over:
            return
        limit = STALL_S if self._splitter.count else FIRST_EVENT_S
        quiet = QUIET_S if self._splitter.count else FIRST_EVENT_S / 2
        waited = self.context.loop.now - max(self._progress_at, self._sent_at)
        if waited >= limit:
            self._on_stalled(waited)
            return
        if waited >= quiet:
            self._on_quiet(waited)
            self._watch(min(ASK_AGAIN_S, limit - waited) + 0.001)
            return
        self._watch(quiet - waited + 0.001)

    def _on_stalled(self, waited: float) -> None:
        self.log("stream_stalled", waited=waited, events=self.events)
        if not self.grant.route.may_repeat or not self.may_send_again():
            return
        self.may_have_run = True
        self._blame(self._path[0].replica if len(self._path) == 1 else None)
        self._leave()
        self._attempt("stalled")

    def _on_quiet(self, waited: float) -> None:
        """Ask the first engine which one the request waits for."""
        if not self._path:
            return
        self.log("stream_quiet", level="DEBUG", waited=waited, events=self.events)
        self.context.investigate(self._path[0].replica, self.service.name)

    def uses(self, identity: tuple[str, int]) -> bool:
        """Tell whether an engine is on the request's path."""
        return any(hop.replica.identity == identity for hop in self._path)

    def waits(self, now: float) -> bool:
        """Tell whether the request has had no event for a while."""
        return now - max(self._progress_at, self._sent_at) > QUIET_S

    def leave_engine(self, replica: Replica, reason: str) -> None:
        """Go on without an engine, on a new path from the same first one."""
        if self.is_over or self._wire is None or not self._path:
            return
        if replica.identity in self._left:
            return
        self._left.add(replica.identity)
        head = self._path[0]
        if head.replica.identity == replica.identity:
            if reason == LEAVING:
                return
            if self.grant.route.may_repeat and self.may_send_again():
                self.may_have_run = True
                self._blame(replica)
                self._leave()
                self._attempt(reason)
            return
        self.avoid.add(replica.identity)
        path = self._choose(head)
        if path is None or any(hop.replica is replica for hop in path):
            return
        self.log("path_changed", replica=replica.name, reason=reason)
        self._order_path(path)

    def _order_path(self, path: Path) -> None:
        head = path[0].replica
        wire = self._wire
        hops = [(hop.replica.address, hop.first, hop.last) for hop in path]
        call = engine_wire.repath_call(
            self.attempt_id.decode("latin-1"), wire_headers.write_path(hops)
        )

        def on_answer(answer: Answer) -> None:
            if self.is_over or self._wire is not wire:
                return
            if answer.status not in (200, 202):
                self.log("path_kept", level="WARNING", status=answer.status)
                return
            pipelines = self.context.pipelines(self.service.name)
            pipelines.give_back(self._path, self._taken)
            self._path = path
            pipelines.take(path, self._taken)
            self._sent_at = self.context.loop.now
            self._watch(STALL_S)

        Fetch(
            self.context.loop,
            self.context.pool,
            Upstream(head.address, head.identity),
            call,
            ORDER_TIMEOUT_S,
            on_answer,
        )

    def _blame(self, replica: Replica | None) -> None:
        """Avoid the engine at fault, or all of the path where it is not known."""
        if replica is not None:
            until = self.context.loop.now + SUSPECT_S
            self.context.pipelines(self.service.name).suspect(replica, until)
            self.avoid.add(replica.identity)
            return
        for hop in self._path:
            self.avoid.add(hop.replica.identity)

    def _leave(self) -> None:
        """Let go of the present attempt."""
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.cancel()
        if self._path:
            self.context.pipelines(self.service.name).give_back(self._path, self._taken)
            self._path = ()

    # The upstream's answer.

    def on_head(self, status: int, reason: bytes, headers: list[Header]) -> bool:
        """Take the head of an answer."""
        if not self.is_mine(status, headers):
            self.log("answer_foreign", level="WARNING", status=status)
            return False
        self._status = status
        self._reason = reason
        self._headers = headers
        self._fate = self.judge(status, headers)
        if self._fate is Fate.SERVED and self._first_headers is None:
            self._first_headers = headers
            self._first_reason = reason
        return True

    def on_body(self, data: bytes) -> None:
        """Pass whole events on."""
        if self._fate is not Fate.SERVED or self.is_over:
            return
        whole = self._splitter.feed(data)
        if not whole:
            return
        self._progress_at = self.context.loop.now
        self.events = self.events + 1
        if not self.caller.has_begun:
            assert self._first_headers is not None
            self.caller.begin(
                self._status, self._first_reason, heads.answered(self._first_headers)
            )
        self.caller.send(whole)

    def on_complete(self) -> None:
        """Take the end of a whole answer."""
        if self.is_over:
            return
        self._wire = None
        if self._fate is Fate.SERVED:
            self._deliver()
            return
        faulty = self._faulty()
        if self._fate is Fate.NOT_RUN:
            self.runs -= 1
            self.log(
                "attempt_not_run",
                status=self._status,
                replica=faulty.name if faulty else "",
                fill=self._fill(faulty),
            )
            self._again(faulty, "refused")
            return
        self.may_have_run = True
        if not self.grant.route.may_repeat:
            self._end_failed()
            return
        self._again(self._path[0].replica, f"status {self._status}")

    def on_lost(self, loss: Loss, reason: str) -> None:
        """Take the loss of an attempt."""
        if self.is_over:
            return
        self._wire = None
        first = self._path[0].replica if self._path else None
        self.log("attempt_lost", reason=reason, loss=loss.value, events=self.events)
        if loss is Loss.NOT_SENT:
            self.runs -= 1
            self._again(first, reason)
            return
        self.may_have_run = True
        if not self.grant.route.may_repeat:
            self._leave()
            self.fail(BAD_GATEWAY, f"lost: {reason}")
            return
        self._again(first, reason)

    def _fill(self, replica: Replica | None) -> float:
        """Return how full an engine's memory is thought to be."""
        model = self.service.model
        if replica is None or model is None:
            return 0.0
        _, held = self.context.pipelines(self.service.name).total(replica)
        return held / max(1.0, kv_room(model, replica))

    def _faulty(self) -> Replica | None:
        address = heads.find(self._headers, self.context.names.faulty_address)
        if address is None:
            return self._path[0].replica if self._path else None
        text = address.decode("latin-1")
        for hop in self._path:
            if hop.replica.address == text:
                return hop.replica
        return None

    def _again(self, faulty: Replica | None, reason: str) -> None:
        self._blame(faulty)
        self._leave()
        if self.sends > 2 and self.caller.has_begun:
            self._give_up(reason)
            return
        if self.may_send_again():
            self._attempt(reason)
            return
        self._give_up(reason)

    def _give_up(self, reason: str) -> None:
        """End the request, unless part of its answer is out and time is left."""
        loop = self.context.loop
        waited = loop.now - self._progress_at
        if not self.caller.has_begun or waited > PATIENCE_S or self.left_s < PAUSE_S:
            self.refuse(reason)
            return
        self._stall = loop.call_later(PAUSE_S, lambda: self._resume(reason))

    def _resume(self, reason: str) -> None:
        self._stall = None
        if self.is_over:
            return
        if self.may_send_again():
            self._attempt(reason)
            return
        self._give_up(reason)

    def _end_failed(self) -> None:
        self._leave()
        self.fail(BAD_GATEWAY, f"status {self._status}")

    def _deliver(self) -> None:
        self._leave()
        self.close()
        if not self.caller.has_begun:
            headers = heads.answered(self._first_headers or [])
            held = self._splitter.held
            self.caller.answer(self._status, self._first_reason, headers, held)
        else:
            if self._splitter.held:
                self.caller.send(self._splitter.held)
            self.caller.end()
        self.context.finished(self, "served")
