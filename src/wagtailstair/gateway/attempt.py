"""One run of a stream: its connection, its pipeline, its events so far."""

import typing as t

from ..core.events import EventSplitter
from ..core.pipelines import Path
from .exchange import Fate
from .requests import Header
from .upstream_pool import ExchangeLoss
from .upstream_pool import Wire


class AttemptOwner(t.Protocol):
    """What an attempt tells the stream that it belongs to."""

    def is_mine(self, status: int, headers: list[Header]) -> bool:
        """Tell whether an answer belongs to the request."""
        ...

    def judge(self, status: int, headers: list[Header]) -> Fate:
        """Tell what the head of an answer says."""
        ...

    def on_events(self, attempt: "Attempt", whole: bytes) -> None:
        """Take whole events."""
        ...

    def on_ended(self, attempt: "Attempt") -> None:
        """Take the end of a whole answer."""
        ...

    def on_broken(self, attempt: "Attempt", loss: ExchangeLoss, reason: str) -> None:
        """Take the loss of the attempt."""
        ...


class Attempt:
    """One exchange with the first engine of a pipeline.

    ``tokens``: KV memory that is counted on the path's engines; ``left``:
    engines that the path was changed for, or should have been.
    """

    __slots__ = (
        "fate",
        "headers",
        "is_promoted",
        "left",
        "owner",
        "path",
        "progress_at",
        "reason",
        "splitter",
        "status",
        "tokens",
        "wire",
    )

    def __init__(
        self, owner: AttemptOwner, path: Path, tokens: float, last_id: bytes, now: float
    ) -> None:
        self.owner = owner
        self.path = path
        self.tokens = tokens
        self.splitter = EventSplitter(last_id)
        self.progress_at = now
        self.wire: Wire | None = None
        self.status = 0
        self.reason = b""
        self.headers: list[Header] = []
        self.fate = Fate.BROKEN
        self.is_promoted = False
        self.left: set[tuple[str, int]] = set()

    def uses(self, identity: tuple[str, int]) -> bool:
        """Tell whether an engine is on the path."""
        return any(hop.replica.identity == identity for hop in self.path)

    def cancel(self) -> None:
        """Close the connection; the engine stops."""
        wire, self.wire = self.wire, None
        if wire is not None:
            wire.cancel()

    # The upstream's answer.

    def on_head(self, status: int, reason: bytes, headers: list[Header]) -> bool:
        """Take the head of an answer."""
        if not self.owner.is_mine(status, headers):
            return False
        self.status = status
        self.reason = reason
        self.headers = headers
        self.fate = self.owner.judge(status, headers)
        return True

    def on_body(self, data: bytes) -> None:
        """Hand whole events on."""
        if self.fate is not Fate.SERVED:
            return
        whole = self.splitter.feed(data)
        if whole:
            self.owner.on_events(self, whole)

    def on_complete(self) -> None:
        """Hand the end of a whole answer on."""
        self.wire = None
        self.owner.on_ended(self)

    def on_lost(self, loss: ExchangeLoss, reason: str) -> None:
        """Hand the loss of the attempt on."""
        self.wire = None
        self.owner.on_broken(self, loss, reason)
