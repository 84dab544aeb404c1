"""Requests to plain services: one answer, held until it is whole."""

from ..core.replicas import Replica
from . import heads
from .exchange import BAD_GATEWAY
from .exchange import GATEWAY_TIMEOUT
from .exchange import PROMISES
from .exchange import Exchange
from .exchange import Fate
from .loop import Timer
from .requests import Header
from .upstream_pool import ExchangeLoss
from .upstream_pool import Upstream
from .upstream_pool import Wire

HOLD_BYTES = 4 << 20
"""Bytes of an answer that are held; a longer one is passed on as it comes."""

HEDGE_SHARE = 0.35
"""Share of the time left after which a silent idempotent attempt is replaced."""


class PlainExchange(Exchange):
    """A request to a plain service."""

    __slots__ = (
        "_body",
        "_fate",
        "_headers",
        "_reason",
        "_replica",
        "_sent_at",
        "_stall",
        "_status",
        "_streams",
        "_wire",
    )

    def begin(self) -> None:
        """Send the request to the first upstream."""
        self._wire: Wire | None = None
        self._replica: Replica | None = None
        self._stall: Timer | None = None
        self._status = 0
        self._reset()
        self._attempt("no upstream")

    def on_caller_gone(self) -> None:
        """Stop the upstream: nobody waits for the answer."""
        if self.is_over:
            return
        self._leave("abandoned")
        self.close()
        self.context.record_request_end(self, "caller_gone")

    def on_expired(self) -> None:
        """End a request whose time is over."""
        if self.is_over:
            return
        self._leave("failed")
        if self.sends == 0:
            self.refuse("expired_waiting")
            return
        self.may_have_run = True
        self.fail(GATEWAY_TIMEOUT, "expired")

    # Attempts.

    def _reset(self) -> None:
        self._body = bytearray()
        self._headers: list[Header] = []
        self._reason = b""
        self._fate = Fate.BROKEN
        self._streams = False

    def _attempt(self, reason: str) -> None:
        context = self.context
        replica = context.services.choose(
            self.service.name, self.tried, context.loop.now
        )
        if replica is None:
            self.refuse(reason)
            return
        if self.sends == 0:
            context.resend_budget.count_request(self.service.name, context.loop.now)
        self._reset()
        self._replica = replica
        self.tried.add(replica.identity)
        self.sends += 1
        self.runs += 1
        left_s = min(self.expires_at, self.ends_at) - context.loop.now
        data = heads.join_head(
            heads.passed_on(self.request, context.names),
            heads.attempt_headers(context.names, self.grant, replica.name, left_s),
            bytes(self.request.body),
        )
        self._sent_at = context.loop.now
        context.services.record_start(replica)
        fresh = not self.grant.route.may_repeat
        upstream = Upstream(replica.address, replica.identity)
        self._wire = context.pool.send(upstream, data, self, fresh=fresh)
        if self._wire is None:
            self.on_lost(ExchangeLoss.NOT_SENT, "no connection")
            return
        if self.grant.route.may_repeat and self.runs < self.grant.route.attempts:
            self._stall = context.loop.call_later(
                HEDGE_SHARE * self.left_s, self._on_silent
            )

    def _leave(self, verdict: str) -> None:
        """Let go of the present attempt."""
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.cancel()
        replica, self._replica = self._replica, None
        if replica is not None:
            now = self.context.loop.now
            self.context.services.record_end(replica, verdict, now - self._sent_at, now)

    def _on_silent(self) -> None:
        if self.is_over or self._fate is not Fate.BROKEN or self._status:
            return
        if not self.may_send_again():
            return
        waited = self.context.loop.now - self._sent_at
        name = self._replica.name if self._replica is not None else ""
        self.log("attempt_silent", replica=name, waited=waited)
        self._leave("failed")
        self.may_have_run = True
        self._attempt("silent")

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
        return True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._streams:
            self.caller.send(data)
            return
        self._body += data
        if len(self._body) > HOLD_BYTES and self._fate is Fate.SERVED:
            self._streams = True
            self.caller.begin(self._status, self._reason, heads.answered(self._headers))
            self.caller.send(bytes(self._body))
            self._body = bytearray()

    def on_complete(self) -> None:
        """Take the end of a whole answer."""
        if self.is_over:
            return
        self._wire = None
        status, fate = self._status, self._fate
        self._status = 0
        if fate is Fate.NOT_RUN:
            self.runs -= 1
            self._again("refused", "refused", status)
            return
        if fate is Fate.SERVED:
            self._deliver(status)
            return
        self.may_have_run = True
        repeatable = self.grant.route.may_repeat
        if repeatable and not self._streams and self.may_send_again():
            self._leave("failed")
            self.log("attempt_failed", status=status, fate=fate.value)
            self._attempt("failed")
            return
        if fate is Fate.FAILED and status not in PROMISES:
            self._deliver(status)
            return
        self._leave("failed")
        self.fail(BAD_GATEWAY, f"unusable answer {status}")

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Take the loss of an attempt."""
        if self.is_over:
            return
        self._wire = None
        self._status = 0
        if loss is ExchangeLoss.NOT_SENT:
            self.runs -= 1
            self._again("failed", reason, 0)
            return
        self.may_have_run = True
        if self.grant.route.may_repeat and not self._streams and self.may_send_again():
            self._leave("failed")
            self.log("attempt_lost", reason=reason)
            self._attempt("lost")
            return
        self._leave("failed")
        self.fail(BAD_GATEWAY, f"lost: {reason}")

    def _again(self, verdict: str, reason: str, status: int) -> None:
        replica = self._replica
        self._leave(verdict)
        self.log(
            "attempt_not_run",
            replica=replica.name if replica else "",
            status=status,
            reason=reason,
        )
        if self.may_send_again():
            self._attempt(reason)
            return
        self.refuse(reason)

    def _deliver(self, status: int) -> None:
        self._leave("failed" if status >= 500 else "succeeded")
        self.close()
        if self._streams:
            self.caller.end()
        else:
            headers = heads.answered(self._headers)
            self.caller.answer(status, self._reason, headers, bytes(self._body))
        self.context.record_request_end(self, f"answered_{status}")
