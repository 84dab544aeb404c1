"""One HTTP call of the gateway's own, answered to a function."""

import typing as t

from ..core.store import Call
from ..core.store import StoreRows
from ..exceptions import PlatformError
from ..platform.store import decode_rows
from .loop import Loop
from .loop import Timer
from .upstream_pool import ExchangeLoss
from .upstream_pool import Header
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool
from .upstream_pool import Wire

ANSWER_BYTES_MAX = 16 << 20


class Answer(t.NamedTuple):
    """A whole answer, or ``status`` 0 and why there is none."""

    status: int
    body: bytes
    loss: ExchangeLoss | None = None
    reason: str = ""


def decode_store_answer(answer: Answer) -> StoreRows:
    """Return the rows of an answer of the store.

    :raises PlatformError: if there is none that can be used.
    """
    if answer.status == 0:
        raise PlatformError(answer.reason)
    return decode_rows(answer.status, answer.body)


class Fetch:
    """A call and what has come of its answer."""

    __slots__ = ("_body", "_on_answer", "_status", "_timer", "_wire")

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        upstream: Upstream,
        call: Call,
        timeout_s: float,
        on_answer: t.Callable[[Answer], None],
    ) -> None:
        self._status = 0
        self._body = bytearray()
        self._on_answer: t.Callable[[Answer], None] | None = on_answer
        self._timer: Timer = loop.call_later(timeout_s, self._on_timeout)
        self._wire: Wire | None = None
        data = _encode(call, upstream.address)
        self._wire = pool.send(upstream, data, self, fresh=False)
        if self._wire is None:
            # Later, so that the caller has the object before its answer.
            loop.call_later(
                0.0, lambda: self.on_lost(ExchangeLoss.NOT_SENT, "no connection")
            )

    def cancel(self) -> None:
        """Give the call up; its answer goes nowhere."""
        self._on_answer = None
        self._timer.cancel()
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.cancel()

    def on_head(self, status: int, _reason: bytes, _headers: list[Header]) -> bool:
        """Take the head of the answer."""
        self._status = status
        return True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body += data
        if len(self._body) > ANSWER_BYTES_MAX:
            wire, self._wire = self._wire, None
            if wire is not None:
                wire.cancel()
            self.on_lost(ExchangeLoss.UNKNOWN, "answer too long")

    def on_complete(self) -> None:
        """Take the end of the answer."""
        self._wire = None
        self._end(Answer(self._status, bytes(self._body)))

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Take the loss of the answer."""
        self._wire = None
        self._end(Answer(0, b"", loss, reason))

    def _on_timeout(self) -> None:
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.cancel()
        self._end(Answer(0, b"", ExchangeLoss.UNKNOWN, "timeout"))

    def _end(self, answer: Answer) -> None:
        self._timer.cancel()
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(answer)


def _encode(call: Call, address: str) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1\r\nHost: {address}\r\n"]
    if call.body or call.method != "GET":
        lines.append("Content-Type: application/json\r\n")
        lines.append(f"Content-Length: {len(call.body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode() + call.body
