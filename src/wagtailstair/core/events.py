"""Splits a byte stream into complete server-sent events and reads their ids."""

import re

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\n\r?\n")


class EventSplitter:
    """Passes complete events on and buffers the bytes of an incomplete one.

    ``last_id``: the id of the last complete event; ``count``: complete events.
    """

    __slots__ = ("_incomplete", "count", "last_id")

    def __init__(self, last_id: bytes = b"") -> None:
        self._incomplete = b""
        self.last_id = last_id
        self.count = 0

    @property
    def held(self) -> bytes:
        """Return the buffered bytes of an incomplete event."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Add data; return the bytes of all events that are complete now."""
        if self._incomplete:
            data = self._incomplete + data
        end = data.rfind(b"\n\n")
        width = 2
        if end < 0:
            end = data.rfind(b"\n\r\n")
            width = 3
        if end < 0:
            self._incomplete = bytes(data)
            return b""
        complete = data[: end + width]
        self._incomplete = bytes(data[end + width :])
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1]
        self.count += max(1, len(ids))
        return complete


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
