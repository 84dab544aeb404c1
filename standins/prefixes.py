"""Prompt-prefix cache in the limited KV memory of an engine."""

import collections
import time
import zlib

from .base import Json

BLOCK_CHARS = 64
BLOCK_TOKENS = BLOCK_CHARS // 4
MAX_EVENTS = 8192
MAX_IMPORTS = 1024


def prefix_hashes(prompt: str) -> list[int]:
    """Return the hash of each prefix of complete blocks, the shortest first.

    The hash of a prefix is the crc32 of its UTF-8 bytes.
    """
    hashes: list[int] = []
    value = 0
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        value = zlib.crc32(prompt[end - BLOCK_CHARS : end].encode(), value)
        hashes.append(value)
    return hashes


class PrefixCache:
    """KV memory of an engine: stream reservations and cached prefix blocks."""

    __slots__ = (
        "_blocks",
        "_event_gap",
        "_event_lag_s",
        "_events",
        "_imports",
        "_reserved",
        "_seq",
        "capacity",
    )

    def __init__(self, capacity: int, *, event_lag_s: float, event_gap: int) -> None:
        self.capacity = capacity
        self._event_lag_s = event_lag_s
        self._event_gap = event_gap
        self._reserved = 0
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._imports: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, Json]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._seq = 0

    @property
    def used(self) -> int:
        """Number of tokens in use, cached blocks included."""
        return self._reserved + len(self._blocks) * BLOCK_TOKENS

    def fits(self, tokens: int) -> bool:
        """Return whether the tokens fit in addition to current reservations."""
        return self._reserved + tokens <= self.capacity

    def reserve(self, tokens: int) -> None:
        """Reserve memory for a stream, evicting the least recently used blocks."""
        self._reserved += tokens
        self._evict_blocks(0)

    def release(self, tokens: int) -> None:
        """Release the memory reserved for a stream."""
        self._reserved -= tokens

    def lookup(self, hashes: list[int]) -> int:
        """Return how many tokens of a prompt are cached."""
        cached = 0
        for value in hashes:
            if value not in self._blocks:
                break
            self._blocks.move_to_end(value)
            cached += BLOCK_TOKENS
        return cached

    def store(self, hashes: list[int]) -> None:
        """Cache the blocks of a prompt as far as memory allows."""
        for value in hashes:
            if value in self._blocks:
                self._blocks.move_to_end(value)
                continue
            if not self.fits(BLOCK_TOKENS):
                break
            self._evict_blocks(BLOCK_TOKENS)
            self._blocks[value] = None
            self._record_event("stored", value)

    def add_import(self, context: int) -> None:
        """Record imported KV, identified by its context."""
        self._imports[context] = None
        if len(self._imports) > MAX_IMPORTS:
            self._imports.popitem(last=False)

    def has_import(self, context: int) -> bool:
        """Return whether KV of this context has been imported."""
        return context in self._imports

    def clear(self) -> None:
        """Remove all blocks and imports; event numbers continue."""
        self._blocks.clear()
        self._imports.clear()

    def visible_seq(self) -> int:
        """Return the number of the last event older than the event lag."""
        visible = time.monotonic() - self._event_lag_s
        for at, event in reversed(self._events):
            if at <= visible:
                return int(event["seq"])
        return 0

    def events_after(self, after: int) -> Json:
        """Return the events after a number that are older than the event lag."""
        visible = time.monotonic() - self._event_lag_s
        events = [
            event
            for at, event in self._events
            if at <= visible and event["seq"] > after
        ]
        last = events[-1]["seq"] if events else after
        return {"events": events, "next": last}

    def _evict_blocks(self, tokens: int) -> None:
        while self._blocks and self.used + tokens > self.capacity:
            value, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", value)

    def _record_event(self, kind: str, value: int) -> None:
        self._seq += 1
        if self._event_gap and self._seq % self._event_gap == 0:
            return
        event = {"seq": self._seq, "kind": kind, "prefix": value}
        self._events.append((time.monotonic(), event))
