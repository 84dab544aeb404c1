"""HTTP calls that the gateway itself makes, with a callback for the result."""

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
from .upstream_pool import UpstreamConnection
from .upstream_pool import UpstreamPool

ANSWER_BYTES_MAX = 16 << 20


class Answer(t.NamedTuple):
    """A complete response, or ``status`` 0 with the loss and its reason.

    ``received``: bytes of the body that arrived, also of a lost response;
    ``took_s``: seconds from the call to its end.
    """

    status: int
    body: bytes
    loss: ExchangeLoss | None = None
    reason: str = ""
    received: int = 0
    took_s: float = 0.0


def decode_store_answer(answer: Answer) -> StoreRows:
    """Return the rows of a response of the store.

    :raises PlatformError: if there is no response or it is not valid.
    """
    if answer.status == 0:
        raise PlatformError(answer.reason)
    return decode_rows(answer.status, answer.body)


class Fetch:
    """A call in progress and the part of its response received so far."""

    __slots__ = (
        "_body",
        "_connection",
        "_loop",
        "_on_answer",
        "_started_at",
        "_status",
        "_timer",
    )

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        upstream: Upstream,
        call: Call,
        timeout_s: float,
        on_answer: t.Callable[[Answer], None],
    ) -> None:
        self._loop = loop
        self._started_at = loop.now
        self._status = 0
        self._body = bytearray()
        self._on_answer: t.Callable[[Answer], None] | None = on_answer
        self._timer: Timer = loop.call_later(timeout_s, self._on_timeout)
        self._connection: UpstreamConnection | None = None
        data = _encode(call, upstream.address)
        self._connection = pool.send(upstream, data, self, new_connection=False)
        if self._connection is None:
            # Deferred, so that the caller has the object before its callback runs.
            loop.call_later(
                0.0, lambda: self.on_lost(ExchangeLoss.NOT_SENT, "no connection")
            )

    @property
    def received(self) -> int:
        """Return the bytes of the body that have arrived."""
        return len(self._body)

    @property
    def age_s(self) -> float:
        """Return the seconds since the call."""
        return self._loop.now - self._started_at

    def cancel(self) -> None:
        """Cancel the call; the callback is not called."""
        self._on_answer = None
        self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()

    def on_head(self, status: int, _reason: bytes, _headers: list[Header]) -> bool:
        """Store the status of the response."""
        self._status = status
        return True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body; cancel the call if it is too long."""
        self._body += data
        if len(self._body) > ANSWER_BYTES_MAX:
            connection, self._connection = self._connection, None
            if connection is not None:
                connection.cancel()
            self.on_lost(ExchangeLoss.UNKNOWN, "answer too long")

    def on_complete(self) -> None:
        """Report a complete response."""
        self._connection = None
        self._finish(Answer(self._status, bytes(self._body)))

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Report that no complete response arrived."""
        self._connection = None
        self._finish(Answer(0, b"", loss, reason))

    def _on_timeout(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()
        self._finish(Answer(0, b"", ExchangeLoss.UNKNOWN, "timeout"))

    def _finish(self, answer: Answer) -> None:
        self._timer.cancel()
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(answer._replace(received=self.received, took_s=self.age_s))


def _encode(call: Call, address: str) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1\r\nHost: {address}\r\n"]
    if call.body or call.method != "GET":
        lines.append("Content-Type: application/json\r\n")
        lines.append(f"Content-Length: {len(call.body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode() + call.body
