"""The streams of this host that wait for room on engines."""

import itertools
import random
import typing as t

from ..core.admission.prompt_backlog import PromptBacklogGate
from ..core.room_queue import RoomQueue
from ..core.room_queue import make_item
from .loop import Loop

BACKLOG = "backlog"
"""Why a stream is held back that would delay more urgent prompts on its path."""

URGENT_ELSEWHERE = "urgent_elsewhere"
"""Why a stream is held back that lets more urgent ones of other hosts go first."""

CHECK_INTERVAL_S = 0.04
"""Seconds between two checks for room: about the interval between two events."""


class WaitingStream(t.Protocol):
    """A stream that can wait for room."""

    queue_key: str
    queue_reason: str
    queue_ahead: float
    queue_expected_s: float

    def start_queued(self) -> bool:
        """Send the stream if engines have room; return whether it waits no more."""
        ...

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the stream, which has not been sent."""
        ...


class WaitingStreams:
    """Waits for room on behalf of streams; only the next of each rank asks for it."""

    __slots__ = (
        "_deadline_by_key",
        "_is_scheduled",
        "_keys",
        "_loop",
        "_on_held_back",
        "_stream_by_key",
        "backlog_gate",
        "queue",
    )

    def __init__(
        self,
        loop: Loop,
        rng: random.Random,
        on_held_back: t.Callable[[str], None] = lambda reason: None,
        *,
        is_shared: bool = True,
    ) -> None:
        self._loop = loop
        self._on_held_back = on_held_back
        self.queue = RoomQueue(rng, is_shared=is_shared)
        self.backlog_gate = PromptBacklogGate()
        self._stream_by_key: dict[str, WaitingStream] = {}
        self._deadline_by_key: dict[str, float] = {}
        self._keys = itertools.count(1)
        self._is_scheduled = False

    def add(
        self,
        stream: WaitingStream,
        account: str,
        rank: int,
        tokens: float,
        deadline: float,
    ) -> None:
        """Let a stream wait until a time, or refuse it if that would not be enough."""
        now = self._loop.now
        item = make_item(str(next(self._keys)), account, rank, tokens, deadline)
        wait_s = self.queue.wait_s(item, now)
        stream.queue_ahead = self.queue.work_ahead(item)
        stream.queue_expected_s = wait_s
        if now + wait_s > deadline:
            stream.refuse_waiting("no room in time")
            return
        is_added, displaced = self.queue.push(item)
        if not is_added:
            stream.refuse_waiting("queue full")
            return
        # It may start before the next message to the other hosts.
        self.queue.shared.record_waiting(now)
        stream.queue_key = item.request
        self._stream_by_key[item.request] = stream
        self._deadline_by_key[item.request] = deadline
        if displaced is not None:
            self._forget(displaced).refuse_waiting("queue full")
        self._schedule()

    def hold_back(self, stream: WaitingStream, reason: str) -> None:
        """Note why a stream is held back although engines may have room; count it."""
        if stream.queue_reason != reason:
            stream.queue_reason = reason
            self._on_held_back(reason)

    def discard(self, key: str) -> None:
        """Remove a stream that has ended."""
        if key in self._stream_by_key:
            self.queue.discard(key)
            self._forget(key)

    def _forget(self, key: str) -> WaitingStream:
        del self._deadline_by_key[key]
        stream = self._stream_by_key.pop(key)
        stream.queue_key = ""
        return stream

    def _schedule(self) -> None:
        if not self._is_scheduled and self._stream_by_key:
            self._is_scheduled = True
            self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._is_scheduled = False
        self._start_next()
        now = self._loop.now
        for key, deadline in list(self._deadline_by_key.items()):
            if now >= deadline and key in self._stream_by_key:
                self.queue.discard(key)
                self._forget(key).refuse_waiting("no room")
        self._schedule()

    def _start_next(self) -> None:
        """Start streams in their order until the next of no rank finds room."""
        blocked: set[str] = set()
        while True:
            keys = [key for key in self.queue.candidates() if key not in blocked]
            if not keys:
                return
            key = keys[0]
            stream = self._stream_by_key[key]
            if self.queue.is_held_back(key, self._loop.now):
                self.hold_back(stream, URGENT_ELSEWHERE)
                blocked.add(key)
                continue
            if not stream.start_queued():
                blocked.add(key)
                continue
            if key in self._stream_by_key:
                self.queue.take(key, self._loop.now)
                self._forget(key)
