"""One attempt of a streamed request: its connection, pipeline and events."""

import typing as t

from ..core.events import EVENT_BYTES_MAX
from ..core.events import EventSplitter
from ..core.events import ReplayFilter
from ..core.pipelines import Path
from . import heads
from .exchange import FAILURE_BYTES_MAX
from .exchange import AttemptOutcome
from .exchange import failure_excess
from .requests import Header
from .upstream_pool import ExchangeLoss
from .upstream_pool import UpstreamConnection


class AttemptOwner(t.Protocol):
    """Callbacks of an attempt to the request that it belongs to."""

    def is_own_answer(
        self,
        status: int,
        headers: list[Header],
        connection: UpstreamConnection | None,
    ) -> bool:
        """Return whether a response belongs to the request."""
        ...

    def classify_attempt(
        self, attempt: "Attempt", status: int, headers: list[Header]
    ) -> AttemptOutcome:
        """Return what the head of an attempt's response says about it."""
        ...

    def on_attempt_events(self, attempt: "Attempt", events_data: bytes) -> None:
        """Handle complete events."""
        ...

    def on_attempt_complete(self, attempt: "Attempt") -> None:
        """Handle the end of a complete response."""
        ...

    def on_attempt_lost(
        self, attempt: "Attempt", loss: ExchangeLoss, reason: str
    ) -> None:
        """Handle an attempt that ended without a complete response."""
        ...


class Attempt:
    """One HTTP exchange with the first engine of a pipeline.

    ``tokens``: tokens counted against the KV memory of the path's engines;
    ``unread``: the pipeline whose engines have yet to read the prompt, empty when they
    have; ``unread_hops``: its hops whose engines have yet to read it;
    ``abandoned_engines``: engines that the stream was asked to move off;
    ``progress_at``, ``progress_id``: time and id of the newest event with an id;
    ``received``: bytes received on a connection that was lost;
    ``is_closed_by_upstream``: whether the engine has closed or reset that connection;
    ``is_crash_known``: whether a report of the engine has told that it has crashed;
    ``is_from_start``: whether it is sent for the whole answer, not the rest of one;
    ``replay_filter``: drops what the caller has got, ``None`` for a first attempt.
    """

    __slots__ = (
        "_failure_bytes",
        "abandoned_engines",
        "connection",
        "headers",
        "is_closed_by_upstream",
        "is_crash_known",
        "is_from_start",
        "outcome",
        "owner",
        "path",
        "progress_at",
        "progress_id",
        "reason",
        "received",
        "replay_filter",
        "splitter",
        "status",
        "tokens",
        "unread",
        "unread_hops",
    )

    def __init__(
        self, owner: AttemptOwner, path: Path, tokens: float, last_id: bytes, now: float
    ) -> None:
        self.owner = owner
        self.path = path
        self.unread: Path = ()
        self.unread_hops: Path = ()
        self.tokens = tokens
        self.splitter = EventSplitter(last_id)
        self.progress_at = now
        self.progress_id = last_id
        self.connection: UpstreamConnection | None = None
        self.status = 0
        self.reason = b""
        self.headers: list[Header] = []
        self.outcome = AttemptOutcome.BROKEN
        self.is_from_start = not last_id
        self.replay_filter: ReplayFilter | None = None
        self.received = 0
        self.is_closed_by_upstream = False
        self.is_crash_known = False
        self._failure_bytes = 0
        self.abandoned_engines: set[tuple[str, int]] = set()

    def uses_engine(self, identity: tuple[str, int]) -> bool:
        """Return whether the pipeline includes an engine."""
        return any(hop.replica.identity == identity for hop in self.path)

    def has_abandoned(self, path: Path) -> bool:
        """Return whether a path includes an engine that the stream is to leave."""
        return any(hop.replica.identity in self.abandoned_engines for hop in path)

    def ends_early(self) -> bool:
        """Return whether a response that has ended is a stream that was broken off."""
        if self.status >= 300 or not heads.is_event_stream(self.headers):
            return False
        if self.splitter.held.strip():
            return True
        return not self.splitter.count and heads.ends_with_connection(self.headers)

    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends a successful response."""
        return self.status < 300 and heads.ends_with_connection(self.headers)

    def cancel(self) -> None:
        """Close the connection, which stops the engine."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel()

    # Callbacks of the upstream connection.

    def on_head(self, status: int, reason: bytes, headers: list[Header]) -> bool:
        """Store the head of a response; return whether it is this request's."""
        if not self.owner.is_own_answer(status, headers, self.connection):
            return False
        self.status = status
        self.reason = reason
        self.headers = headers
        self.outcome = self.owner.classify_attempt(self, status, headers)
        return True

    def on_body(self, data: bytes) -> None:
        """Pass complete events to the owner."""
        if self.outcome is not AttemptOutcome.SERVED:
            self._drop_failure(data)
            return
        events_data = self.splitter.feed(data)
        if events_data:
            self.owner.on_attempt_events(self, events_data)
        if self.splitter.held_bytes > EVENT_BYTES_MAX and self.connection is not None:
            self.connection.give_up(f"event over {EVENT_BYTES_MAX} bytes")

    def _drop_failure(self, data: bytes) -> None:
        self._failure_bytes += len(data)
        if self._failure_bytes > FAILURE_BYTES_MAX and self.connection is not None:
            self.connection.give_up(failure_excess(self.status))

    def on_complete(self) -> None:
        """Report the end of a complete response to the owner."""
        self.connection = None
        self.owner.on_attempt_complete(self)

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Report a lost attempt to the owner."""
        if self.connection is not None:
            self.received = self.connection.received
            self.is_closed_by_upstream = self.connection.is_closed_by_upstream
        self.connection = None
        self.owner.on_attempt_lost(self, loss, reason)
