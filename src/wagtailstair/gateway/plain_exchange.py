"""Requests to plain services: one response, buffered until it is complete."""

from ..core.replicas import Replica
from . import heads
from .exchange import BAD_GATEWAY
from .exchange import FAILURE_BYTES_MAX
from .exchange import GATEWAY_TIMEOUT
from .exchange import NOT_RUN_STATUSES
from .exchange import AttemptOutcome
from .exchange import Exchange
from .exchange import failure_excess
from .loop import Timer
from .requests import Header
from .upstream_pool import ExchangeLoss
from .upstream_pool import Upstream
from .upstream_pool import UpstreamConnection

BUFFERED_BYTES_MAX = 4 << 20
"""Bytes of a response that are buffered; a longer one is streamed to the caller."""

PART_BYTES = 256 << 10
"""Bytes that are sent to the caller at a time, well below its send buffer."""

RESEND_DELAY_SHARE = 0.35
"""Share of the remaining time after which an idempotent attempt without a response
is cancelled and sent to another upstream."""

RESEND_REMAINING_MIN_S = 0.1
"""Remaining time below which such an attempt keeps its upstream: another one could
hardly answer in time."""


class PlainExchange(Exchange):
    """A request to a plain service."""

    __slots__ = (
        "_body",
        "_connection",
        "_has_whole_body",
        "_headers",
        "_is_streaming",
        "_outcome",
        "_reason",
        "_replica",
        "_resend_timer",
        "_sent_at",
        "_status",
    )

    def begin(self) -> None:
        """Send the request to the first upstream."""
        self._connection: UpstreamConnection | None = None
        self._replica: Replica | None = None
        self._resend_timer: Timer | None = None
        self._status = 0
        self._reset()
        self._send_attempt("no upstream")

    def on_caller_gone(self) -> None:
        """Cancel the request: its caller has disconnected."""
        if self.is_finished:
            return
        self._end_attempt("abandoned")
        self.close()
        self.context.record_request_end(self, "caller_gone")

    def on_expired(self) -> None:
        """End a request whose deadline has passed."""
        if self.is_finished:
            return
        self._end_attempt("failed")
        if self.sends == 0:
            self.refuse("expired_waiting")
            return
        self.may_have_run = True
        self.fail(GATEWAY_TIMEOUT, "expired")

    def on_shutdown(self) -> None:
        """Cancel the attempt, and answer the request unless its response has begun."""
        if not self.is_finished and not self.caller.has_begun:
            self._end_attempt("abandoned")
        super().on_shutdown()

    # Attempts.

    def _reset(self) -> None:
        self._body = bytearray()
        self._headers: list[Header] = []
        self._reason = b""
        self._outcome = AttemptOutcome.BROKEN
        self._is_streaming = False
        self._has_whole_body = False

    def close(self) -> None:
        """Release the timers of the request and the hook of its caller."""
        super().close()
        self.caller.on_drained(None)

    def _send_attempt(self, reason: str) -> None:
        context = self.context
        closed = context.closed_upstreams()
        replica = context.services.choose(
            self.service.name, self.tried | closed, context.loop.now
        )
        if replica is None:
            usable = context.replicas.usable(self.service.name)
            if context.pause_s(self.service):
                reason = "upstreams paused"
            elif any(replica.identity in closed for replica in usable):
                reason = "upstream limit"
            self.refuse(reason)
            return
        if self.sends == 0:
            context.resend_budget.count_request(self.service.name, context.loop.now)
        self._reset()
        self._replica = replica
        self.tried.add(replica.identity)
        self.sends += 1
        self.runs += 1
        remaining_s = min(self.expires_at, self.ends_at) - context.loop.now
        data = heads.join_request(
            heads.forwarded_head(self.request, context.names),
            heads.attempt_headers(context.names, self.grant, replica.name, remaining_s),
            self.request.body,
        )
        self._sent_at = context.loop.now
        context.services.record_start(replica)
        # A copy of the answer to an earlier attempt bears the same attempt id.
        new_connection = self.sends > 1 or not self.grant.route.may_repeat
        upstream = Upstream(replica.address, replica.identity)
        context.count_upstream_request(replica)
        self._connection = context.pool.send(
            upstream, data, self, new_connection=new_connection
        )
        if self._connection is None:
            self.on_lost(ExchangeLoss.NOT_SENT, "no connection")
            return
        if self.grant.route.may_repeat and self.runs < self.grant.route.attempts:
            self._schedule_resend()

    def _schedule_resend(self) -> None:
        self._resend_timer = self.context.loop.call_later(
            RESEND_DELAY_SHARE * self.remaining_s, self._on_resend_timer
        )

    def _end_attempt(self, verdict: str) -> None:
        """Close the current attempt and report its verdict to the balancer."""
        if self._resend_timer is not None:
            self._resend_timer.cancel()
            self._resend_timer = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()
        replica, self._replica = self._replica, None
        if replica is not None:
            now = self.context.loop.now
            self.context.services.record_end(replica, verdict, now - self._sent_at, now)

    def _on_resend_timer(self) -> None:
        if (
            self.is_finished
            or self._outcome is not AttemptOutcome.BROKEN
            or self._status
        ):
            return
        if not self._has_other_upstream():
            # The only upstream may still answer in time, or another one may start.
            if self.remaining_s > RESEND_REMAINING_MIN_S:
                self._schedule_resend()
            return
        if not self.may_send_again():
            return
        waited = self.context.loop.now - self._sent_at
        name = self._replica.name if self._replica is not None else ""
        self.log("attempt_silent", replica=name, waited=waited)
        self._end_attempt("failed")
        self.may_have_run = True
        self._send_attempt("silent")

    def _has_other_upstream(self) -> bool:
        """Return whether an upstream is left that the request was not sent to."""
        context = self.context
        unusable = self.tried | context.closed_upstreams()
        now = context.loop.now
        return context.services.choose(self.service.name, unusable, now) is not None

    # Callbacks of the upstream connection.

    def on_head(self, status: int, reason: bytes, headers: list[Header]) -> bool:
        """Store the head of a response; return whether it is this request's."""
        if not self.is_own_answer(status, headers, self._connection):
            self.log("answer_foreign", level="WARNING", status=status)
            return False
        self._status = status
        self._reason = reason
        self._headers = headers
        self._outcome = self.classify_answer(status, headers)
        return True

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or stream it to the caller."""
        self._body += data
        self.caller.hold(len(self._body))
        if self._is_streaming:
            self._send_body()
            return
        if self._outcome is not AttemptOutcome.SERVED:
            if len(self._body) > FAILURE_BYTES_MAX and self._connection is not None:
                self._connection.give_up(failure_excess(self._status))
            return
        if len(self._body) > BUFFERED_BYTES_MAX:
            self._is_streaming = True
            self.caller.begin(
                self._status, self._reason, heads.forwarded_headers(self._headers)
            )
            self.caller.on_drained(self._send_body)
            self._send_body()

    def _send_body(self) -> None:
        """Send what the caller takes; read from the upstream once that is all."""
        while self._body and not self.caller.pending_bytes and not self.is_finished:
            part = bytes(self._body[:PART_BYTES])
            del self._body[:PART_BYTES]
            self.caller.send(part)
        if self.is_finished:
            return
        self.caller.hold(len(self._body))
        if self._body:
            if self._connection is not None:
                self._connection.pause()
            return
        if self._connection is not None:
            self._connection.resume()
        if self._has_whole_body:
            self._deliver(self._status)

    def on_complete(self) -> None:
        """Deliver a complete response, or retry the request."""
        if self.is_finished:
            return
        connection, self._connection = self._connection, None
        status, outcome = self._status, self._outcome
        if self._is_streaming and self._body:
            # The rest follows as the caller takes it.
            self._has_whole_body = True
            if connection is not None:
                connection.resume()
            return
        self._status = 0
        if outcome is AttemptOutcome.NOT_RUN:
            self.runs -= 1
            self._retry_not_run("refused", "refused", status)
            return
        if outcome is AttemptOutcome.SERVED:
            self._deliver(status)
            return
        self.may_have_run = True
        repeatable = self.grant.route.may_repeat
        if repeatable and not self._is_streaming and self.may_send_again():
            self._end_attempt("failed")
            self.log("attempt_failed", status=status, fate=outcome.value)
            self._send_attempt("failed")
            return
        if outcome is AttemptOutcome.FAILED and status not in NOT_RUN_STATUSES:
            self._deliver(status)
            return
        self._end_attempt("failed")
        self.fail(BAD_GATEWAY, f"unusable answer {status}")

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Retry the request after a lost attempt, or end it."""
        if self.is_finished:
            return
        connection, self._connection = self._connection, None
        self._status = 0
        if loss is ExchangeLoss.NOT_SENT:
            self.runs -= 1
            self._retry_not_run("failed", reason, 0)
            return
        self.may_have_run = True
        if self._replica is not None:
            self.lost_on.append(self._replica.identity)
        self.log(
            "attempt_lost",
            replica=self._replica.name if self._replica is not None else "",
            reason=reason,
            loss=loss.value,
            received=connection.received if connection is not None else 0,
        )
        if (
            self.grant.route.may_repeat
            and not self._is_streaming
            and self.may_send_again()
        ):
            self._end_attempt("failed")
            self._send_attempt("lost")
            return
        self._end_attempt("failed")
        self.fail(BAD_GATEWAY, f"lost: {reason}")

    def _retry_not_run(self, verdict: str, reason: str, status: int) -> None:
        replica = self._replica
        self._end_attempt(verdict)
        self.log(
            "attempt_not_run",
            replica=replica.name if replica else "",
            status=status,
            reason=reason,
        )
        if self.may_send_again():
            self._send_attempt(reason)
            return
        self.refuse(reason)

    def _deliver(self, status: int) -> None:
        self._end_attempt("failed" if status >= 500 else "succeeded")
        self.close()
        if self._is_streaming:
            self.caller.end()
        else:
            headers = heads.forwarded_headers(self._headers)
            self.caller.answer(status, self._reason, headers, bytes(self._body))
        self.context.record_request_end(self, f"answered_{status}")
