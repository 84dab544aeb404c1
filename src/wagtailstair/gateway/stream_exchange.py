"""Requests to model engines: a stream of events over a pipeline.

A resumable stream can have two attempts at once: when its first engine is draining
or no event arrives, a *successor* is sent that resumes after the last event. The
attempt that delivers the next event is kept.
"""

from ..core.events import DeliveredEvents
from ..core.events import ReplayFilter
from ..core.pipelines import Path
from ..core.pipelines import crossed_links
from ..core.pipelines import unread_hops
from ..core.quarantine import Group
from ..core.quarantine import Keys
from ..core.quarantine import PartKey
from ..core.quarantine import request_key
from ..core.replicas import Replica
from ..platform import engines as engine_wire
from ..platform import headers as wire_headers
from . import heads
from .attempt import Attempt
from .crash_reports import Stage
from .crash_reports import format_keys
from .exchange import BAD_GATEWAY
from .exchange import GATEWAY_TIMEOUT
from .exchange import AttemptOutcome
from .exchange import Exchange
from .fetch import ENGINE_ANSWER_BYTES_MAX
from .fetch import Answer
from .fetch import Fetch
from .loop import Timer
from .paths import PathFinder
from .requests import Header
from .upstream_pool import ExchangeLoss
from .upstream_pool import Upstream
from .waiting_streams import BACKLOG
from .waiting_streams import URGENT_ELSEWHERE

STALL_CHECK_S = 0.25
"""Seconds without an event after which the first engine is asked for a report:
longer than the usual time between events and than the age of a report."""

SUCCESSOR_DELAY_S = 1.2
"""Seconds without an event after which a successor is sent even if no report names
a stalled engine: callers time out after two seconds."""

FIRST_STALL_CHECK_S = 0.4
FIRST_STALL_CHECK_GOALS = 0.4
"""Longest time before the first event after which the first engine is asked for a
report, in seconds and as a share of the route's goal: longer than later ones, as the
prompt is processed first, and early enough for another path to meet the goal."""

STALL_RECHECK_S = 0.15
REPATH_TIMEOUT_S = 0.3

ROOM_WAIT_GOALS = 1.0
"""Longest wait for room, as a multiple of the route's response-time goal: a request
that waits longer misses the goal."""

RETRY_DELAY_S = 0.15
"""Seconds between retries of a response that has begun and has no pipeline."""

NO_EVENT_TIMEOUT_S = 1.6
"""Seconds without an event after which a response that has begun is no longer
retried: callers time out after two."""

SUSPECT_S = 3.0
"""Seconds for which all requests avoid a faulty engine."""

RANK_MAX = 9
CONFLICT = 409


class StreamExchange(Exchange):
    """A request that model engines answer with a stream of events."""

    __slots__ = (
        "_common_head",
        "_crossings",
        "_current",
        "_delivered",
        "_finder",
        "_first_answered",
        "_progress_at",
        "_progress_timer",
        "_queued_at",
        "_queued_s",
        "_request_key",
        "_successor",
        "_tried",
        "events",
        "first_event_s",
        "moves",
        "queue_ahead",
        "queue_expected_s",
        "queue_key",
        "queue_reason",
    )

    def begin(self) -> None:
        """Send the request to its first pipeline, or queue it for room."""
        names = self.context.names
        usage = wire_headers.parse_token_usage(self.request.header(names.token_usage))
        hint = self.request.header(names.length_hint)
        self._finder = PathFinder(
            self.context, self.service, usage, hint, self.grant.rank
        )
        self._common_head = heads.forwarded_head(self.request, names)
        # What the caller has got, from all attempts.
        self._delivered = DeliveredEvents(self.request.header(names.last_event))
        self._request_key = self._make_request_key()
        # The quarantined groups of which this request is a trial.
        self._tried: tuple[Keys, ...] = ()
        self._current: Attempt | None = None
        self._successor: Attempt | None = None
        # The attempt whose response head was sent to the caller.
        self._first_answered: Attempt | None = None
        self._progress_timer: Timer | None = None
        self._progress_at = self.context.loop.now
        self._crossings = 0
        self.queue_key = ""
        self.queue_reason = ""
        self.queue_ahead = self.queue_expected_s = 0.0
        self._queued_at: float | None = None
        self._queued_s: float | None = None
        self.events = 0
        self.moves = 0
        self.first_event_s: float | None = None
        self._start("no pipeline")

    def _make_request_key(self) -> PartKey:
        names = self.context.names
        values = [self.request.target, self.request.header(names.token_usage)]
        # The parts name the contents of a prompt.
        prompt_parts = self.request.header_list(names.prompt_parts)
        values.append(prompt_parts or bytes(self.request.body))
        return request_key(self.service.name, *values)

    def _identify(self) -> tuple[list[PartKey], list[PartKey]]:
        """Return the shared parts of the prompt, and the keys of this request alone.

        They are read from the head each time, as many parts take much more memory.
        """
        service = self.service.name
        prompt_parts = self.request.header_list(self.context.names.prompt_parts)
        shared, own = wire_headers.parse_prompt_parts(prompt_parts)
        own_keys = [self._request_key]
        if own:
            own_keys.append(PartKey(service, own))
        return [PartKey(service, part) for part in shared], own_keys

    def on_caller_gone(self) -> None:
        """Cancel the request: its caller has disconnected."""
        if self.is_finished:
            return
        self.close()
        self.context.record_request_end(self, "caller_gone")

    def on_expired(self) -> None:
        """End a request whose deadline has passed."""
        if self.is_finished:
            return
        if self.sends == 0:
            self.refuse("expired_waiting")
            return
        self.may_have_run = True
        self.fail(GATEWAY_TIMEOUT, "expired")

    def close(self) -> None:
        """Cancel the attempts and the timers."""
        super().close()
        if self.queue_key:
            self.context.waiting_streams().discard(self.queue_key)
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None
        self._drop_attempts()
        if self._tried:
            self.context.crash_reports.end_trial(self._tried)

    # Attempts.

    def _start(self, reason: str) -> None:
        """Send the request on the best path, or queue it for room."""
        if self.is_quarantined() and not self._is_trial():
            self.refuse("quarantined")
            return
        if not self.caller.has_begun and self._is_pause_too_long():
            self.refuse("upstreams paused")
            return
        path = self._finder.choose()
        if path is None:
            self._retry_later_or_refuse(reason)
            return
        if self.sends == 0 and self._must_wait(path):
            self._wait_for_room()
            return
        if not self._finder.may_begin(path):
            self._retry_later_or_refuse("upstream limit")
            return
        self._send_first(path)

    def _must_wait(self, path: Path) -> bool:
        """Return whether a new request must be queued, and note the reason."""
        waiting = self.context.waiting_streams()
        rank, now = self.grant.rank, self.context.loop.now
        # A new request doesn't overtake those that wait.
        if waiting.queue.has_waiting(rank):
            self.queue_reason = "order"
            return True
        if not self._may_begin(path):
            # The backlog of prompts has been noted, if it is the reason.
            self.queue_reason = self.queue_reason or "no_room"
            return True
        if waiting.queue.holds_back_new(rank, self._finder.tokens, now):
            waiting.hold_back(self, URGENT_ELSEWHERE)
            return True
        return False

    def _send_first(self, path: Path) -> None:
        """Send the request on a path, as its only attempt."""
        if self.sends == 0:
            now = self.context.loop.now
            self.context.resend_budget.count_request(self.service.name, now)
            waiting = self.context.waiting_streams()
            rank, tokens = self.grant.rank, self._finder.tokens
            waiting.queue.record_start(now, tokens, rank, self.account_name)
            waiting.backlog_gate.record_start(now, rank, tokens)
            if self._queued_at is not None:
                self._queued_s = now - self._queued_at
                self.context.observe_queued(rank, self._queued_s)
        self._current = attempt = self._make_attempt(path)
        self._send_attempt(attempt)

    def _may_begin(self, path: Path) -> bool:
        """Return whether a path has room and no backlog that is too long."""
        if not self._finder.has_room(path):
            return False
        if self.service.urgent_rank is None:
            return True
        gate = self.context.waiting_streams().backlog_gate
        if gate.may_begin(
            self.grant.rank,
            self.service.urgent_rank,
            self.grant.route.goal_s,
            self._finder.backlog(path),
            self.context.local_host_count(),
            self.context.loop.now,
        ):
            return True
        self.context.waiting_streams().hold_back(self, BACKLOG)
        return False

    def start_queued(self) -> bool:
        """Send the queued request if it may begin; return whether it was sent."""
        path = self._finder.choose()
        if path is None or not self._may_begin(path):
            return False
        self._send_first(path)
        return True

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the request, which has not been sent."""
        self.refuse(reason)

    def is_quarantined(self) -> bool:
        """Return whether the request holds all keys of a group in quarantine."""
        return bool(self._quarantined_groups())

    def _is_trial(self) -> bool:
        """Return whether the request is a trial of the quarantined groups it holds.

        It becomes one if it may and there is a path. A trial runs once, and for a whole
        answer, as the rest of one proves nothing.
        """
        if self.runs or self._delivered.last_id:
            return False
        if self._tried:
            return True
        reports = self.context.crash_reports
        groups = reports.begin_trial(self._keys(), self._has_path)
        self._tried = tuple(group.keys for group in groups)
        for group in groups:
            self.log(
                "trial_begun",
                part=format_keys(sorted(group.keys)),
                crashes=group.crashes,
                weak=group.is_weak,
                age=self.context.loop.now - group.last_at,
            )
        return bool(groups)

    def _has_path(self) -> bool:
        return not self._is_pause_too_long() and self._finder.choose() is not None

    def end_quarantined(self) -> None:
        """End the request if its prompt is in quarantine and no event comes.

        A stream whose engine goes on may end whole, which clears its parts.
        """
        current = self._current
        has_events = current is not None and current.splitter.count > 0
        if self.is_finished or has_events:
            return
        if all(group.keys in self._tried for group in self._quarantined_groups()):
            return
        # An engine that has the request may have begun it.
        self.may_have_run |= self._current is not None or self._successor is not None
        self.refuse("quarantined")

    def _is_pause_too_long(self) -> bool:
        """Return whether no engine takes requests before the goal has passed."""
        pause_s = self.context.pause_s(self.service)
        goal_at = self.request.received_at + ROOM_WAIT_GOALS * self.grant.route.goal_s
        return pause_s > max(0.0, goal_at - self.context.loop.now)

    def _keys(self) -> list[PartKey]:
        """Return what the request may share with others that were at a crash."""
        shared, own = self._identify()
        return shared + own

    def _quarantined_groups(self) -> list[Group]:
        quarantine, now = self.context.crash_reports.quarantine, self.context.loop.now
        if not quarantine.quarantined(now):
            return []
        return quarantine.held_groups(self._keys(), now)

    def return_s(self) -> float:
        """Return after how many seconds the caller of a refused request may retry."""
        if self.is_quarantined():
            return self.context.crash_reports.return_s(self._keys())
        pause_s = self.context.pause_s(self.service)
        if pause_s:
            return pause_s
        queue = self.context.waiting_streams().queue
        return queue.return_s(self.context.loop.now, self.remaining_s)

    def _make_attempt(self, path: Path) -> Attempt:
        tokens = self._finder.tokens
        self.context.pipelines(self.service.name).reserve_tokens(path, tokens)
        self._crossings = len(crossed_links(path))
        self.sends += 1
        self.runs += 1
        now = self.context.loop.now
        last_id = self._delivered.last_id
        attempt = Attempt(self, path, tokens, last_id, now)
        if self.sends > 1:
            attempt.replay_filter = ReplayFilter(self._delivered, last_id)
        self._set_unread(attempt, path, path)
        return attempt

    def _set_unread(self, attempt: Attempt, path: Path, hops: Path) -> None:
        """Count the prompt on the links and engines that it has yet to pass.

        :param path: of the links, empty if it has passed them.
        :param hops: those of the path whose engines have yet to read it.
        """
        pipelines = self.context.pipelines(self.service.name)
        prompt = self._finder.prompt_tokens
        pipelines.release_links(attempt.unread, prompt)
        pipelines.release_prompt(attempt.unread_hops, prompt)
        attempt.unread, attempt.unread_hops = path, hops
        pipelines.reserve_links(path, prompt)
        pipelines.reserve_prompt(hops, prompt)

    def _send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt that is already stored: a failure may be reported at once."""
        context = self.context
        names = context.names
        first = attempt.path[0].replica
        headers = heads.attempt_headers(names, self.grant, first.name, self.remaining_s)
        path = _encode_path(attempt.path)
        headers.append((names.path, path))
        headers.append((names.rank, b"%d" % min(RANK_MAX, self.grant.rank)))
        if self._delivered.last_id:
            headers.append((names.last_event, self._delivered.last_id))
        data = heads.join_request(self._common_head, headers, self.request.body)
        self.log("attempt_sent", level="DEBUG", path=path.decode(), send=self.sends)
        upstream = Upstream(first.address, first.identity)
        context.count_upstream_request(first)
        # A copy of the answer to an earlier attempt bears the same attempt id.
        attempt.connection = context.pool.send(
            upstream, data, attempt, new_connection=self.sends > 1
        )
        if attempt.connection is None:
            self.on_attempt_lost(attempt, ExchangeLoss.NOT_SENT, "no connection")
            return
        self._schedule_stall_check(self._first_stall_check_s)

    def _wait_for_room(self) -> None:
        """Queue the request for room until its goal has passed."""
        self._queued_at = self.context.loop.now
        self.context.waiting_streams().add(
            self,
            self.account_name,
            self.grant.rank,
            self._finder.tokens,
            self.request.received_at + ROOM_WAIT_GOALS * self.grant.route.goal_s,
        )

    def _drop_attempt(self, attempt: Attempt | None) -> None:
        if attempt is None:
            return
        if attempt.connection is not None and attempt.path:
            first = attempt.path[0].replica
            reports = self.context.crash_reports
            reports.report_departure(first, self._keys(), _stage_of(attempt))
        attempt.cancel()
        self._set_unread(attempt, (), ())
        if attempt.path:
            pipelines = self.context.pipelines(self.service.name)
            pipelines.release_tokens(attempt.path, attempt.tokens)
            attempt.path = ()
        if attempt is self._current:
            self._current = None
        if attempt is self._successor:
            self._successor = None

    def _drop_attempts(self) -> None:
        self._drop_attempt(self._current)
        self._drop_attempt(self._successor)

    def _start_successor(self, reason: str) -> None:
        """Send a successor in parallel with the current attempt."""
        if self._successor is not None or not self.grant.route.may_repeat:
            return
        if self.is_quarantined():
            return
        path = self._finder.choose()
        current = self._current
        if path is None or (current is not None and current.has_abandoned(path)):
            return
        # On engines without room a second run would slow down every request.
        if not self._finder.has_room(path) or not self.may_send_again():
            return
        self.log(
            "successor_sent",
            reason=reason,
            events=self.events,
            replica=current.path[0].replica.name if current is not None else "",
            crossings=len(crossed_links(path)),
            before=self._crossings,
        )
        self.context.count_successor(reason)
        self.may_have_run = True
        self._successor = attempt = self._make_attempt(path)
        self._send_attempt(attempt)

    # Stalls.

    @property
    def _first_stall_check_s(self) -> float:
        goal_s = self.grant.route.goal_s
        if goal_s <= 0:
            return FIRST_STALL_CHECK_S
        return min(FIRST_STALL_CHECK_S, FIRST_STALL_CHECK_GOALS * goal_s)

    def _schedule_stall_check(self, delay_s: float) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
        self._progress_timer = self.context.loop.call_later(delay_s, self._check_stall)

    def _check_stall(self) -> None:
        self._progress_timer = None
        current = self._current
        if self.is_finished or current is None:
            return
        has_begun = current.splitter.count > 0
        stall_check_s = STALL_CHECK_S if has_begun else self._first_stall_check_s
        waited = self.context.loop.now - current.progress_at
        if waited < stall_check_s:
            self._schedule_stall_check(stall_check_s - waited + 0.001)
            return
        self.context.find_stalled_engine(current.path[0].replica, self.service.name)
        if waited >= SUCCESSOR_DELAY_S and self._successor is None:
            self._finder.avoid.update(hop.replica.identity for hop in current.path)
            # It reported no stalled engine: it is the likeliest one itself.
            self._finder.stalled_heads.add(current.path[0].replica.identity)
            self._start_successor("stalled")
        self._schedule_stall_check(STALL_RECHECK_S)

    def end_fields(self) -> dict[str, object]:
        """Return when the first event came, how many, and the moves of the request.

        Of a request that was queued, also for how many seconds, why, behind how many
        tokens, and for how many seconds it was expected to be.
        """
        fields: dict[str, object] = {
            "first": self.first_event_s,
            "events": self.events,
            "moves": self.moves,
            "crossings": self._crossings,
        }
        if self._queued_at is not None:
            queued_s = self._queued_s
            if queued_s is None:
                queued_s = self.context.loop.now - self._queued_at
            fields.update(
                queued=queued_s,
                queued_for=self.queue_reason,
                ahead=int(self.queue_ahead),
                expected=self.queue_expected_s,
            )
        return fields

    @property
    def path(self) -> Path:
        """Return the pipeline that runs the request, empty for none."""
        return () if self._current is None else self._current.path

    def uses_engine(self, identity: tuple[str, int]) -> bool:
        """Return whether the request's pipeline includes an engine."""
        return self._current is not None and self._current.uses_engine(identity)

    def is_stalled(self, now: float) -> bool:
        """Return whether no event has arrived for ``STALL_CHECK_S``."""
        return (
            self._current is not None
            and now - self._current.progress_at > STALL_CHECK_S
        )

    def move_off_engine(self, replica: Replica, reason: str) -> None:
        """Move the request off an engine, by a new path or a successor.

        The first engine holds the connection, so leaving it takes a successor.
        """
        current = self._current
        if self.is_finished or current is None or current.connection is None:
            return
        if replica.identity in current.abandoned_engines:
            return
        current.abandoned_engines.add(replica.identity)
        self._finder.avoid.add(replica.identity)
        self._leave(current, replica, reason)

    def _leave(self, attempt: Attempt, replica: Replica, reason: str) -> None:
        """Order a path without an engine, or send a successor where there is none."""
        path = None
        if attempt.path[0].replica.identity != replica.identity:
            path = self._finder.replace(attempt.path, replica)
        if path is None or not _may_move(attempt, path):
            self._start_successor(reason)
            return
        self.log(
            "path_changed",
            replica=replica.name,
            reason=reason,
            events=self.events,
            moved=_count_moved_layers(attempt.path, path),
            crossings=len(crossed_links(path)),
            before=len(crossed_links(attempt.path)),
        )
        self._request_repath(attempt, replica, path, reason)

    def _request_repath(
        self, attempt: Attempt, replica: Replica, path: Path, reason: str
    ) -> None:
        first = path[0].replica
        attempt_id = self.attempt_id.decode("latin-1")
        call = engine_wire.repath_call(first.name, attempt_id, _encode_path(path))

        def on_answer(answer: Answer) -> None:
            is_taken = answer.status in (200, 202)
            self.context.count_path_change(
                "taken" if is_taken else answer.reason or str(answer.status)
            )
            if attempt is not self._current or attempt.connection is None:
                return
            if not is_taken:
                address = engine_wire.decode_refused_address(answer.body)
                self.log(
                    "path_kept",
                    level="WARNING",
                    status=answer.status,
                    reason=answer.reason,
                    address=address,
                )
                if answer.status == CONFLICT:
                    self._abandon_refused(attempt, path, address)
                    self._leave(attempt, replica, reason)
                return
            self.moves += 1
            self._crossings = len(crossed_links(path))
            unread = unread_hops(attempt.path, attempt.unread_hops, path)
            self._set_unread(attempt, path, unread)
            pipelines = self.context.pipelines(self.service.name)
            pipelines.release_tokens(attempt.path, attempt.tokens)
            attempt.path = path
            pipelines.reserve_tokens(path, attempt.tokens)
            attempt.progress_at = self.context.loop.now

        Fetch(
            self.context.loop,
            self.context.pool,
            Upstream(first.address, first.identity),
            call,
            REPATH_TIMEOUT_S,
            on_answer,
            bytes_max=ENGINE_ANSWER_BYTES_MAX,
        )

    def _abandon_refused(self, attempt: Attempt, path: Path, address: str) -> None:
        """Avoid the engine for which a new path was refused, or all of its new ones.

        :param address: of the engine that is not there, empty if none was named.
        """
        named = [hop.replica for hop in path[1:] if hop.replica.address == address]
        refused = named
        if not named:
            refused = [hop.replica for hop in path if hop not in attempt.path]
        until = self.context.loop.now + SUSPECT_S
        for replica in refused:
            attempt.abandoned_engines.add(replica.identity)
            self._finder.avoid.add(replica.identity)
        for replica in named:
            self.context.pipelines(self.service.name).suspect(replica, until)

    # Callbacks of attempts.

    def classify_attempt(
        self, attempt: Attempt, status: int, headers: list[Header]
    ) -> AttemptOutcome:
        """Return what the head of an attempt's response says about it.

        Only a success may go on with a response that has begun, or replace an
        attempt that is running.
        """
        outcome = self.classify_answer(status, headers)
        goes_on = self._first_answered is not None or attempt is self._successor
        if outcome is AttemptOutcome.SERVED and status >= 300 and goes_on:
            return AttemptOutcome.FAILED
        return outcome

    def on_attempt_events(self, attempt: Attempt, events_data: bytes) -> None:
        """Forward complete events to the caller."""
        if self.is_finished:
            return
        if attempt.unread:
            self._set_unread(attempt, (), ())
        if attempt is self._successor:
            self._promote(attempt)
        if attempt.replay_filter is None:
            self._delivered.record(events_data, attempt.splitter.new_ids)
        else:
            events_data = attempt.replay_filter.feed(events_data)
        # Events without an id, such as comments, may keep a stalled stream open.
        last_id = attempt.splitter.last_id
        has_progress = last_id != attempt.progress_id or not last_id
        if has_progress:
            attempt.progress_at = self.context.loop.now
            attempt.progress_id = last_id
        if not events_data:
            return
        if has_progress:
            self._progress_at = attempt.progress_at
        self.events += 1
        if self._first_answered is None:
            self._first_answered = attempt
            self.first_event_s = attempt.progress_at - self.request.received_at
            headers = heads.forwarded_headers(attempt.headers)
            self.caller.begin(attempt.status, attempt.reason, headers)
        self.caller.send(events_data)

    def _promote(self, attempt: Attempt) -> None:
        """Replace the current attempt with its successor."""
        self._successor = None
        self._drop_attempt(self._current)
        self._current = attempt

    def on_attempt_complete(self, attempt: Attempt) -> None:
        """Handle the end of a complete response."""
        if self.is_finished:
            return
        if attempt.outcome is AttemptOutcome.SERVED and attempt.ends_early():
            self.on_attempt_lost(attempt, ExchangeLoss.UNKNOWN, "inside an event")
            return
        if attempt.outcome is AttemptOutcome.SERVED:
            if attempt.ends_with_connection():
                self._check_end(attempt)
                return
            self._deliver(attempt)
            return
        faulty = self._find_faulty(attempt)
        if attempt.outcome is AttemptOutcome.NOT_RUN:
            self.runs -= 1
            self.log(
                "attempt_not_run",
                status=attempt.status,
                replica=faulty.name if faulty else "",
                fill=self._finder.kv_fill(faulty),
            )
            self._handle_failure(attempt, faulty, "refused")
            return
        self.may_have_run = True
        self.log("attempt_failed", status=attempt.status, fate=attempt.outcome.value)
        self._handle_failure(
            attempt, attempt.path[0].replica, f"status {attempt.status}"
        )

    def _check_end(self, attempt: Attempt) -> None:
        """Deliver the end of a response unless its engine has crashed.

        The connections of a crashed process end like that of a whole response.
        """
        first = attempt.path[0].replica

        def on_told(has_crashed: bool) -> None:
            if self.is_finished or attempt not in (self._current, self._successor):
                return
            if not has_crashed:
                self._deliver(attempt)
                return
            attempt.is_closed_by_upstream = attempt.is_crash_known = True
            self.on_attempt_lost(attempt, ExchangeLoss.UNKNOWN, "engine crashed")

        reports = self.context.crash_reports
        reports.check_end(first, self._keys(), _stage_of(attempt), on_told)

    def on_attempt_lost(
        self, attempt: Attempt, loss: ExchangeLoss, reason: str
    ) -> None:
        """Handle an attempt that ended without a complete response."""
        if self.is_finished:
            return
        first = attempt.path[0].replica
        self.log(
            "attempt_lost",
            replica=first.name,
            reason=reason,
            loss=loss.value,
            events=self.events,
            begun=attempt.status != 0,
            received=attempt.received,
            parts=format_keys(self._identify()[0], ","),
        )
        self.context.count_attempt_lost(
            has_begun=attempt.status != 0, has_events=self.events > 0
        )
        if loss is ExchangeLoss.NOT_SENT:
            self.runs -= 1
            # A connection that is reset later may have lost a single answer.
            self.context.report_engine_failure(first)
        else:
            self.may_have_run = True
            self.lost_on.append(first.identity)
            if attempt.is_closed_by_upstream:
                stage = _stage_of(attempt)
                if not attempt.is_crash_known:
                    reports = self.context.crash_reports
                    reports.report_loss(first, self._keys(), stage)
                is_alone = self._current is None or self._successor is None
                if is_alone and self._may_have_crashed(stage):
                    self.fail(BAD_GATEWAY, reason)
                    return
        self._handle_failure(attempt, first, reason)

    def _may_have_crashed(self, stage: Stage) -> bool:
        """Return whether a lost request may have crashed its engine.

        Another engine that runs it could crash too. One that has been at a crash
        before is suspect, and so is one whose first answer had begun without an event
        unless the parts that it shares are known to be sound.
        """
        reports = self.context.crash_reports
        if reports.has_crashed(self.lost_on[:-1]):
            return True
        if stage is not Stage.BEGUN or self.events:
            return False
        shared, _ = self._identify()
        return bool(reports.quarantine.unproven(shared, self.context.loop.now))

    def _handle_failure(
        self, attempt: Attempt, faulty: Replica | None, reason: str
    ) -> None:
        self._avoid_faulty(attempt, faulty)
        was_successor = attempt is self._successor
        has_run = attempt.outcome is not AttemptOutcome.NOT_RUN and self.may_have_run
        self._drop_attempt(attempt)
        if was_successor and self._current is not None:
            return
        if self._successor is not None:
            self._current, self._successor = self._successor, None
            return
        if has_run and not self.grant.route.may_repeat:
            self.fail(BAD_GATEWAY, reason)
            return
        if self.caller.has_begun and self.sends > 2:
            self._retry_later_or_refuse(reason)
            return
        if self.may_send_again():
            self._start(reason)
            return
        self._retry_later_or_refuse(reason)

    def _avoid_faulty(self, attempt: Attempt, replica: Replica | None) -> None:
        """Avoid the faulty engine, or the whole path if the engine is not known."""
        if replica is None:
            self._finder.avoid.update(hop.replica.identity for hop in attempt.path)
            return
        until = self.context.loop.now + SUSPECT_S
        self.context.pipelines(self.service.name).suspect(replica, until)
        self._finder.avoid.add(replica.identity)

    def _find_faulty(self, attempt: Attempt) -> Replica | None:
        address = heads.find_header(attempt.headers, self.context.names.faulty_address)
        if address is None:
            return attempt.path[0].replica
        text = address.decode("latin-1")
        for hop in attempt.path:
            if hop.replica.address == text:
                return hop.replica
        return None

    def _retry_later_or_refuse(self, reason: str) -> None:
        """Retry a response that has begun while time is left, otherwise refuse."""
        loop = self.context.loop
        waited = loop.now - self._progress_at
        if (
            not self.caller.has_begun
            or waited > NO_EVENT_TIMEOUT_S
            or self.remaining_s < RETRY_DELAY_S
        ):
            self.refuse(reason)
            return
        if self._progress_timer is not None:
            self._progress_timer.cancel()
        self._progress_timer = loop.call_later(
            RETRY_DELAY_S, lambda: self._retry_send(reason)
        )

    def _retry_send(self, reason: str) -> None:
        self._progress_timer = None
        if self.is_finished:
            return
        if self.may_send_again():
            self._start(reason)
            return
        self._retry_later_or_refuse(reason)

    def _deliver(self, attempt: Attempt) -> None:
        # The rest of an answer that ended an engine proves nothing.
        if attempt.status < 300 and attempt.is_from_start:
            reports = self.context.crash_reports
            reports.record_answer(*self._identify(), self._tried)
        held = attempt.splitter.held
        if self._first_answered is None:
            headers: list[Header] = heads.forwarded_headers(attempt.headers)
            self.close()
            self.caller.answer(attempt.status, attempt.reason, headers, held)
        else:
            self.close()
            if held:
                self.caller.send(held)
            self.caller.end()
        self.context.record_request_end(self, "served")


def _stage_of(attempt: Attempt) -> Stage:
    """Return how far the answer of an attempt has come."""
    if attempt.splitter.count:
        return Stage.STREAMING
    return Stage.BEGUN if attempt.status else Stage.WAITING


def _may_move(attempt: Attempt, path: Path) -> bool:
    """Return whether a running request may move to a path.

    A move over a link sends all tokens so far through it, and all requests of a lost
    engine move at once; a successor reads them in its own data centre.
    """
    if len(crossed_links(path)) > len(crossed_links(attempt.path)):
        return False
    return not attempt.has_abandoned(path)


def _count_moved_layers(before: Path, after: Path) -> int:
    """Return how many layers another engine runs after a change of path."""
    kept = 0
    for hop in after:
        for earlier in before:
            if earlier.replica.identity == hop.replica.identity:
                shared = min(earlier.last, hop.last) - max(earlier.first, hop.first)
                kept += max(0, shared)
    return after[-1].last - after[0].first - kept


def _encode_path(path: Path) -> bytes:
    hops = [(hop.replica.address, hop.first, hop.last) for hop in path]
    return wire_headers.format_path(hops)
