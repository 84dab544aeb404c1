"""Splits a byte stream into complete server-sent events and reads their ids."""

import re

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\n\r?\n")
_DELIMITERS = (b"\n\n", b"\n\r\n")

OVERLAP_BYTES = 2
"""Bytes of an incomplete event that may begin the end of it."""

EVENT_BYTES_MAX = 1 << 20
"""Bytes of an incomplete event after which its stream is given up: the send buffer of
a caller holds no more."""


class EventSplitter:
    """Passes complete events on and buffers the bytes of an incomplete one.

    ``last_id``: the id of the last complete event; ``count``: complete events.
    """

    __slots__ = ("_incomplete", "count", "last_id")

    def __init__(self, last_id: bytes = b"") -> None:
        self._incomplete = bytearray()
        self.last_id = last_id
        self.count = 0

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
        ids = _ID.findall(complete)
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


def event_number(event_id: bytes) -> int | None:
    """Return an event's id as a number, ``None`` if it is not a number."""
    return int(event_id) if event_id.isdigit() else None


def events_after(complete: bytes, last_id: bytes) -> bytes:
    """Return the events with a higher id than ``last_id``.

    Events without a numeric id are always returned, and so are all events if
    ``last_id`` is not a number.
    """
    last = event_number(last_id)
    if last is None:
        return complete
    later = []
    start = 0
    for match in _END.finditer(complete):
        event = complete[start : match.end()]
        start = match.end()
        found = _ID.search(event)
        number = event_number(found.group(1)) if found is not None else None
        if number is None or number > last:
            later.append(event)
    return b"".join(later)
