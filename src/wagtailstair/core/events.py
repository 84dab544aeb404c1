"""Splits a byte stream into complete server-sent events and reads their ids."""

import collections
import re
import typing as t

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_DATA = re.compile(rb"(?:^|\n)data[:\r\n]")
_END = re.compile(rb"\n\r?\n")
_DELIMITERS = (b"\n\n", b"\n\r\n")

OVERLAP_BYTES = 2
"""Bytes of an incomplete event that may begin the end of it."""

EVENT_BYTES_MAX = 1 << 20
"""Bytes of an incomplete event after which its stream is given up: the send buffer of
a caller holds no more."""


OTHER_IDS_MAX = 512
"""Ids that aren't numbers which are remembered: more than the events between two
attempts of a stream."""


class EventSplitter:
    """Passes complete events on and buffers the bytes of an incomplete one.

    ``last_id``: the id of the last complete event; ``count``: complete events;
    ``new_ids``: the ids in the events that the last call of :meth:`feed` returned.
    """

    __slots__ = ("_incomplete", "count", "last_id", "new_ids")

    def __init__(self, last_id: bytes = b"") -> None:
        self._incomplete = bytearray()
        self.last_id = last_id
        self.count = 0
        self.new_ids: list[bytes] = []

    @property
    def held(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return bytes(self._incomplete)

    @property
    def held_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add data; return the bytes of all events that are complete now."""
        # The end of an event may begin in the buffer; the rest of it has none.
        overlap = bytes(self._incomplete[-OVERLAP_BYTES:])
        end = _find_last_end(overlap + data) - len(overlap)
        if end <= 0:
            self._incomplete += data
            return b""
        complete = data[:end]
        if self._incomplete:
            complete = bytes(self._incomplete) + complete
            self._incomplete.clear()
        if end < len(data):
            self._incomplete += data[end:]
        self.new_ids = ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1]
        self.count += max(1, len(ids))
        return complete


def _find_last_end(data: bytes) -> int:
    """Return the position after the last end of an event, 0 if there is none."""
    last = 0
    for delimiter in _DELIMITERS:
        start = data.rfind(delimiter)
        if start >= 0:
            last = max(last, start + len(delimiter))
    return last


def _event_number(event_id: bytes) -> int | None:
    """Return an event's id as a number, ``None`` if it is not a number."""
    return int(event_id) if event_id.isdigit() else None


def _blocks(complete: bytes) -> t.Iterator[tuple[bytes, bytes, bool]]:
    """Iterate over events, comments and other blocks, each with its end.

    :returns: the block, its id, empty for none, and whether it has data.
    """
    start = 0
    for match in _END.finditer(complete):
        block = complete[start : match.end()]
        start = match.end()
        found = _ID.findall(block)
        yield block, found[-1] if found else b"", _DATA.search(block) is not None


def _after_last_id(complete: bytes) -> bytes:
    """Return the blocks after the last one that has an id."""
    tail = complete[max(0, complete.rfind(b"\nid:")) :]
    if sum(tail.count(delimiter) for delimiter in _DELIMITERS) < 2:
        return b""
    found = _END.search(tail)
    return b"" if found is None else tail[found.end() :]


class DeliveredEvents:
    """What a caller has got of a stream, from all attempts together.

    ``last_id``: id of the last event with one; ``unnumbered``: events without an id
    that it has got since then.
    """

    __slots__ = ("_last_number", "_other_ids", "last_id", "unnumbered")

    def __init__(self, last_id: bytes = b"") -> None:
        self.last_id = last_id
        self.unnumbered = 0
        self._last_number = -1
        # Ids that aren't numbers have no order.
        self._other_ids: collections.deque[bytes] = collections.deque(
            maxlen=OTHER_IDS_MAX
        )
        self._record_id(last_id)

    def record(self, complete: bytes, ids: t.Sequence[bytes]) -> None:
        """Record events that are passed on to the caller.

        Large events are not searched once more if the last one has an id.

        :param ids: the ids in these events, in order.
        """
        for event_id in ids:
            self._record_id(event_id)
        if ids and ids[-1]:
            self.last_id = ids[-1]
            self.unnumbered = 0
            complete = _after_last_id(complete)
        for _, event_id, has_data in _blocks(complete):
            if event_id:
                self.last_id = event_id
                self.unnumbered = 0
            elif has_data:
                self.unnumbered += 1

    def includes(self, event_id: bytes) -> bool:
        """Return whether the caller has got the event with an id."""
        number = _event_number(event_id)
        if number is not None:
            return number <= self._last_number
        return event_id in self._other_ids

    def _record_id(self, event_id: bytes) -> None:
        number = _event_number(event_id)
        if number is not None:
            self._last_number = max(self._last_number, number)
        elif event_id:
            self._other_ids.append(event_id)


class ReplayFilter:
    """Drops what a caller has got from the events of a later attempt.

    :param start_id: id of the event after which the attempt begins.
    """

    __slots__ = ("_delivered", "_position", "_unnumbered")

    def __init__(self, delivered: DeliveredEvents, start_id: bytes) -> None:
        self._delivered = delivered
        self._position = start_id
        self._unnumbered = 0

    def feed(self, complete: bytes) -> bytes:
        """Return the events that the caller has not got; they count as delivered."""
        later = []
        for block, event_id, has_data in _blocks(complete):
            if self._is_old(event_id, has_data=has_data):
                continue
            self._delivered.record(block, (event_id,) if event_id else ())
            later.append(block)
        return b"".join(later)

    def _is_old(self, event_id: bytes, *, has_data: bool) -> bool:
        delivered = self._delivered
        if event_id:
            self._position, self._unnumbered = event_id, 0
            return delivered.includes(event_id)
        if self._position != delivered.last_id:
            # Between two events that the caller has got.
            return True
        if not has_data:
            return False
        self._unnumbered += 1
        return self._unnumbered <= delivered.unnumbered
