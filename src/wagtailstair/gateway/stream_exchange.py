"""Requests to model engines: a stream of events over a pipeline.

A stream that may be resumed can have a second attempt beside the first: where
the first engine leaves or no event comes, a *successor* goes on after the last
event. Whichever brings the next event is kept.
"""

from ..core.events import events_after
from ..core.pipelines import Path
from ..core.replicas import Replica
from ..platform import engines as engine_wire
from ..platform import headers as wire_headers
from . import heads
from .attempt import Attempt
from .exchange import BAD_GATEWAY
from .exchange import GATEWAY_TIMEOUT
from .exchange import Exchange
from .exchange import Fate
from .fetch import Answer
from .fetch import Fetch
from .loop import Timer
from .paths import PathFinder
from .requests import Header
from .upstream_pool import ExchangeLoss
from .upstream_pool import Upstream

QUIET_S = 0.25
"""Seconds without an event after which the first engine is asked for the cause:
longer than engines need for an event, and the age of their reports."""

STALL_S = 1.2
"""Seconds without an event after which a successor is sent though no engine is
known to be at fault: callers give up after two seconds."""

FIRST_QUIET_S = 0.4
"""Seconds without a first event, for which a prompt is read, before the first
engine is asked for the cause."""

ASK_AGAIN_S = 0.15
ORDER_TIMEOUT_S = 0.3

WAIT_GOALS = 1.0
"""Response-time goals that a request may wait for room; later it would be late."""

PAUSE_S = 0.15
"""Seconds before a begun answer that no pipeline takes is tried again."""

PATIENCE_S = 1.6
"""Seconds without an event after which a begun answer is given up: callers give
up after two."""

SUSPECT_S = 3.0
"""Seconds that an engine at fault is avoided by all requests."""

RANK_MAX = 9


class StreamExchange(Exchange):
    """A request that engines answer with events."""

    __slots__ = (
        "_common",
        "_current",
        "_finder",
        "_first",
        "_last_id",
        "_progress_at",
        "_successor",
        "_watch_timer",
        "events",
        "first_event_s",
    )

    def begin(self) -> None:
        """Send the request down its first pipeline."""
        names = self.context.names
        usage = wire_headers.parse_token_usage(self.request.header(names.token_usage))
        hint = self.request.header(names.length_hint)
        self._finder = PathFinder(
            self.context, self.service, usage, hint, self.grant.rank
        )
        self._common = heads.passed_on(self.request, names)
        self._last_id = self.request.header(names.last_event)
        self._current: Attempt | None = None
        self._successor: Attempt | None = None
        # The first attempt that was answered: its head is the caller's.
        self._first: Attempt | None = None
        self._watch_timer: Timer | None = None
        self._progress_at = self.context.loop.now
        self.events = 0
        self.first_event_s: float | None = None
        self._start("no pipeline")

    def on_caller_gone(self) -> None:
        """Stop the pipeline: nobody waits for the answer."""
        if self.is_over:
            return
        self.close()
        self.context.record_request_end(self, "caller_gone")

    def on_expired(self) -> None:
        """End a request whose time is over."""
        if self.is_over:
            return
        if self.sends == 0:
            self.refuse("expired_waiting")
            return
        self.may_have_run = True
        self.fail(GATEWAY_TIMEOUT, "expired")

    def close(self) -> None:
        """Let go of the attempts and the timers."""
        super().close()
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
        self._drop_attempts()

    # Attempts.

    def _start(self, reason: str) -> None:
        """Send the request, or wait until it can be sent."""
        path = self._finder.choose()
        if path is None:
            self._give_up(reason)
            return
        if self.sends == 0 and not self._finder.has_room(path):
            self._wait_for_room()
            return
        if self.sends == 0:
            now = self.context.loop.now
            self.context.resend_budget.count_request(self.service.name, now)
        self._current = attempt = self._make(path)
        self._send(attempt)

    def try_again(self) -> None:
        """Look for room once more."""
        if not self.is_over:
            self._start("no room")

    def _make(self, path: Path) -> Attempt:
        tokens = self._finder.tokens
        self.context.pipelines(self.service.name).reserve_tokens(path, tokens)
        self.sends += 1
        self.runs += 1
        now = self.context.loop.now
        return Attempt(self, path, tokens, self._last_id, now)

    def _send(self, attempt: Attempt) -> None:
        """Send an attempt that is in its place already: it may fail at once."""
        context = self.context
        names = context.names
        first = attempt.path[0].replica
        headers = heads.attempt_headers(names, self.grant, first.name, self.left_s)
        path = _write(attempt.path)
        headers.append((names.path, path))
        headers.append((names.rank, b"%d" % min(RANK_MAX, self.grant.rank)))
        if self._last_id:
            headers.append((names.last_event, self._last_id))
        data = heads.join_head(self._common, headers, bytes(self.request.body))
        self.log("attempt_sent", level="DEBUG", path=path.decode(), send=self.sends)
        upstream = Upstream(first.address, first.identity)
        attempt.wire = context.pool.send(upstream, data, attempt, fresh=False)
        if attempt.wire is None:
            self.on_broken(attempt, ExchangeLoss.NOT_SENT, "no connection")
            return
        self._watch(FIRST_QUIET_S)

    def _wait_for_room(self) -> None:
        """Wait for engines with room, for a while."""
        waited = self.context.loop.now - self.request.received_at
        if waited < WAIT_GOALS * self.grant.route.goal_s:
            self.context.queue_for_room(self)
            return
        self.refuse("no room")

    def _drop(self, attempt: Attempt | None) -> None:
        if attempt is None:
            return
        attempt.cancel()
        if attempt.path:
            pipelines = self.context.pipelines(self.service.name)
            pipelines.release_tokens(attempt.path, attempt.tokens)
            attempt.path = ()
        if attempt is self._current:
            self._current = None
        if attempt is self._successor:
            self._successor = None

    def _drop_attempts(self) -> None:
        self._drop(self._current)
        self._drop(self._successor)

    def _succeed(self, reason: str) -> None:
        """Send a successor beside the present attempt."""
        if self._successor is not None or not self.grant.route.may_repeat:
            return
        path = self._finder.choose()
        # On full engines a second run would only slow all of them down.
        if path is None or not self._finder.has_room(path) or not self.may_send_again():
            return
        self.log("successor_sent", reason=reason, events=self.events)
        self.may_have_run = True
        self._successor = attempt = self._make(path)
        self._send(attempt)

    # Stalls.

    def _watch(self, delay_s: float) -> None:
        if self._watch_timer is not None:
            self._watch_timer.cancel()
        self._watch_timer = self.context.loop.call_later(delay_s, self._on_watch)

    def _on_watch(self) -> None:
        self._watch_timer = None
        current = self._current
        if self.is_over or current is None:
            return
        has_begun = current.splitter.count > 0
        quiet_s = QUIET_S if has_begun else FIRST_QUIET_S
        waited = self.context.loop.now - current.progress_at
        if waited < quiet_s:
            self._watch(quiet_s - waited + 0.001)
            return
        self.context.find_stalled_engine(current.path[0].replica, self.service.name)
        if waited >= STALL_S and self._successor is None:
            self._finder.avoid.update(hop.replica.identity for hop in current.path)
            self._succeed("stalled")
        self._watch(ASK_AGAIN_S)

    @property
    def path(self) -> Path:
        """Return the pipeline that the request runs on, empty for none."""
        return () if self._current is None else self._current.path

    def uses(self, identity: tuple[str, int]) -> bool:
        """Tell whether an engine is on the request's path."""
        return self._current is not None and self._current.uses(identity)

    def waits(self, now: float) -> bool:
        """Tell whether the request has had no event for a while."""
        return self._current is not None and now - self._current.progress_at > QUIET_S

    def move_off_engine(self, replica: Replica, reason: str) -> None:
        """Go on without an engine: on a new path, or with a successor."""
        current = self._current
        if self.is_over or current is None or current.wire is None:
            return
        if replica.identity in current.left:
            return
        current.left.add(replica.identity)
        self._finder.avoid.add(replica.identity)
        head = current.path[0]
        if head.replica.identity == replica.identity:
            self._succeed(reason)
            return
        path = self._finder.choose(head)
        if path is None or any(hop.replica is replica for hop in path):
            return
        self.log("path_changed", replica=replica.name, reason=reason)
        self._order_path(current, path)

    def _order_path(self, attempt: Attempt, path: Path) -> None:
        head = path[0].replica
        attempt_id = self.attempt_id.decode("latin-1")
        call = engine_wire.repath_call(attempt_id, _write(path))

        def on_answer(answer: Answer) -> None:
            if attempt is not self._current or attempt.wire is None:
                return
            if answer.status not in (200, 202):
                self.log("path_kept", level="WARNING", status=answer.status)
                return
            pipelines = self.context.pipelines(self.service.name)
            pipelines.release_tokens(attempt.path, attempt.tokens)
            attempt.path = path
            pipelines.reserve_tokens(path, attempt.tokens)
            attempt.progress_at = self.context.loop.now

        Fetch(
            self.context.loop,
            self.context.pool,
            Upstream(head.address, head.identity),
            call,
            ORDER_TIMEOUT_S,
            on_answer,
        )

    # What attempts tell.

    def on_events(self, attempt: Attempt, whole: bytes) -> None:
        """Pass whole events on."""
        if self.is_over:
            return
        if attempt is self._successor:
            self._promote(attempt)
        if attempt.is_promoted:
            whole = events_after(whole, self._last_id)
        attempt.progress_at = self.context.loop.now
        if not whole:
            return
        self._progress_at = attempt.progress_at
        self._last_id = attempt.splitter.last_id
        self.events += 1
        if self._first is None:
            self._first = attempt
            self.first_event_s = attempt.progress_at - self.request.received_at
            headers = heads.answered(attempt.headers)
            self.caller.begin(attempt.status, attempt.reason, headers)
        self.caller.send(whole)

    def _promote(self, attempt: Attempt) -> None:
        """Keep the successor, and let the attempt before it go."""
        self._successor = None
        self._drop(self._current)
        self._current = attempt
        attempt.is_promoted = True

    def on_ended(self, attempt: Attempt) -> None:
        """Take the end of a whole answer."""
        if self.is_over:
            return
        if attempt.fate is Fate.SERVED:
            self._deliver(attempt)
            return
        faulty = self._faulty(attempt)
        if attempt.fate is Fate.NOT_RUN:
            self.runs -= 1
            self.log(
                "attempt_not_run",
                status=attempt.status,
                replica=faulty.name if faulty else "",
                fill=self._finder.fill(faulty),
            )
            self._again(attempt, faulty, "refused")
            return
        self.may_have_run = True
        self.log("attempt_failed", status=attempt.status, fate=attempt.fate.value)
        self._again(attempt, attempt.path[0].replica, f"status {attempt.status}")

    def on_broken(self, attempt: Attempt, loss: ExchangeLoss, reason: str) -> None:
        """Take the loss of an attempt."""
        if self.is_over:
            return
        first = attempt.path[0].replica
        self.log(
            "attempt_lost",
            replica=first.name,
            reason=reason,
            loss=loss.value,
            events=self.events,
        )
        if loss is ExchangeLoss.NOT_SENT:
            self.runs -= 1
        else:
            self.may_have_run = True
        self._again(attempt, first, reason)

    def _again(self, attempt: Attempt, faulty: Replica | None, reason: str) -> None:
        self._blame(attempt, faulty)
        was_successor = attempt is self._successor
        has_run = attempt.fate is not Fate.NOT_RUN and self.may_have_run
        self._drop(attempt)
        if was_successor and self._current is not None:
            return
        if self._successor is not None:
            self._current, self._successor = self._successor, None
            self._current.is_promoted = True
            return
        if has_run and not self.grant.route.may_repeat:
            self.fail(BAD_GATEWAY, reason)
            return
        if self.caller.has_begun and self.sends > 2:
            self._give_up(reason)
            return
        if self.may_send_again():
            self._start(reason)
            return
        self._give_up(reason)

    def _blame(self, attempt: Attempt, replica: Replica | None) -> None:
        """Avoid the engine at fault, or all of the path where it is not known."""
        if replica is None:
            self._finder.avoid.update(hop.replica.identity for hop in attempt.path)
            return
        until = self.context.loop.now + SUSPECT_S
        self.context.pipelines(self.service.name).suspect(replica, until)
        self._finder.avoid.add(replica.identity)

    def _faulty(self, attempt: Attempt) -> Replica | None:
        address = heads.find(attempt.headers, self.context.names.faulty_address)
        if address is None:
            return attempt.path[0].replica
        text = address.decode("latin-1")
        for hop in attempt.path:
            if hop.replica.address == text:
                return hop.replica
        return None

    def _give_up(self, reason: str) -> None:
        """End the request, unless part of its answer is out and time is left."""
        loop = self.context.loop
        waited = loop.now - self._progress_at
        if not self.caller.has_begun or waited > PATIENCE_S or self.left_s < PAUSE_S:
            self.refuse(reason)
            return
        if self._watch_timer is not None:
            self._watch_timer.cancel()
        self._watch_timer = loop.call_later(PAUSE_S, lambda: self._resume(reason))

    def _resume(self, reason: str) -> None:
        self._watch_timer = None
        if self.is_over:
            return
        if self.may_send_again():
            self._start(reason)
            return
        self._give_up(reason)

    def _deliver(self, attempt: Attempt) -> None:
        held = attempt.splitter.held
        if self._first is None:
            headers: list[Header] = heads.answered(attempt.headers)
            self.close()
            self.caller.answer(attempt.status, attempt.reason, headers, held)
        else:
            self.close()
            if held:
                self.caller.send(held)
            self.caller.end()
        self.context.record_request_end(self, "served")


def _write(path: Path) -> bytes:
    hops = [(hop.replica.address, hop.first, hop.last) for hop in path]
    return wire_headers.format_path(hops)
