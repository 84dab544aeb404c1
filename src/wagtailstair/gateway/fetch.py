"""HTTP calls that the gateway itself makes, with a callback for the result."""

import typing as t

from ..core.store import Call
from .loop import Loop
from .loop import Timer
from .upstream_pool import ExchangeLoss
from .upstream_pool import Header
from .upstream_pool import Upstream
from .upstream_pool import UpstreamConnection
from .upstream_pool import UpstreamPool

ANSWER_BYTES_MAX = 16 << 20
"""Bytes of the body of an answer with rows of the store or of a peer."""

ENGINE_ANSWER_BYTES_MAX = 256 << 10
"""Bytes of the body of an engine's answer to a report or an order; a report of all
that an engine runs is far shorter. Many engines may be asked at once."""

TRANSFER_GRACE_S = 3.0
"""Seconds after the begin of a transfer from which its rate is judged."""

TRANSFER_BYTES_PER_S_MIN = 16_000
"""Least average rate of a transfer: a hundredth of a link of 10 Mbit/s, which many
transfers share. Bounds a sender that sends a few bytes at a time."""


class Answer(t.NamedTuple):
    """A complete response, or ``status`` 0 with the loss and its reason.

    ``received``: bytes of the body that arrived, also of a lost response;
    ``took_s``: seconds from the call to its end; ``headers``: those of the response.
    """

    status: int
    body: bytes
    loss: ExchangeLoss | None = None
    reason: str = ""
    received: int = 0
    took_s: float = 0.0
    headers: tuple[Header, ...] = ()


class Fetch:
    """A call in progress and the part of its response received so far.

    :param timeout_s: seconds within which the response must be complete, or begin if
        ``stall_s`` is given.
    :param stall_s: longest seconds between two parts of the response, which may then
        take as long as its size and the link demand.
    :param bytes_max: bytes of the body after which the call is given up.
    """

    __slots__ = (
        "_begun_at",
        "_body",
        "_buffered",
        "_bytes_max",
        "_connection",
        "_headers",
        "_loop",
        "_on_answer",
        "_pool",
        "_progress_at",
        "_stall_s",
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
        stall_s: float | None = None,
        bytes_max: int = ANSWER_BYTES_MAX,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._bytes_max = bytes_max
        # Bytes of the body that are counted as buffered.
        self._buffered = 0
        self._stall_s = stall_s
        # Time of the last part of the response, ``None`` before the first.
        self._progress_at: float | None = None
        self._begun_at = 0.0
        self._started_at = loop.now
        self._status = 0
        self._headers: tuple[Header, ...] = ()
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
    def has_begun(self) -> bool:
        """Return whether a part of the response has arrived."""
        return self._progress_at is not None

    @property
    def age_s(self) -> float:
        """Return the seconds since the call."""
        return self._loop.now - self._started_at

    def cancel(self) -> None:
        """Cancel the call; the callback is not called."""
        self._on_answer = None
        self._timer.cancel()
        self._count_buffered(0)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()

    def on_head(self, status: int, _reason: bytes, headers: list[Header]) -> bool:
        """Store the status and the headers of the response."""
        self._status = status
        self._headers = tuple(headers)
        self._record_progress()
        return True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body; give the call up if it is too long."""
        self._body += data
        if self._on_answer is not None:
            self._count_buffered(len(self._body))
        self._record_progress()
        if len(self._body) > self._bytes_max:
            connection, self._connection = self._connection, None
            if connection is not None:
                connection.cancel()
            self.on_lost(ExchangeLoss.UNKNOWN, "answer too long")

    def on_complete(self) -> None:
        """Report a complete response."""
        self._connection = None
        self._finish(Answer(self._status, bytes(self._body), headers=self._headers))

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Report that no complete response arrived."""
        self._connection = None
        self._finish(Answer(0, b"", loss, reason))

    def _record_progress(self) -> None:
        """Wait for the next part instead of the whole response, if that is wanted."""
        is_first = self._progress_at is None
        self._progress_at = self._loop.now
        if is_first and self._stall_s is not None and self._on_answer is not None:
            self._timer.cancel()
            self._begun_at = self._loop.now
            self._timer = self._loop.call_later(self._stall_s, self._check_progress)

    def _check_progress(self) -> None:
        assert self._progress_at is not None
        assert self._stall_s is not None
        now = self._loop.now
        stalls_at = self._progress_at + self._stall_s
        if now >= stalls_at:
            self._on_timeout()
            return
        transfer_s = now - self._begun_at
        is_slow = self.received < transfer_s * TRANSFER_BYTES_PER_S_MIN
        if is_slow and transfer_s >= TRANSFER_GRACE_S:
            self._on_timeout("too slow")
            return
        self._timer = self._loop.call_at(stalls_at, self._check_progress)

    def _on_timeout(self, reason: str = "timeout") -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()
        self._finish(Answer(0, b"", ExchangeLoss.UNKNOWN, reason))

    def _count_buffered(self, size: int) -> None:
        change, self._buffered = size - self._buffered, size
        if change:
            self._pool.on_buffered(change)

    def _finish(self, answer: Answer) -> None:
        self._timer.cancel()
        self._count_buffered(0)
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(answer._replace(received=self.received, took_s=self.age_s))


def _encode(call: Call, address: str) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1\r\nHost: {address}\r\n"]
    if call.body or call.method != "GET":
        lines.append("Content-Type: application/json\r\n")
        lines.append(f"Content-Length: {len(call.body)}\r\n")
    for name, value in call.headers:
        lines.append(f"{name.decode()}: {value.decode()}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode() + call.body
