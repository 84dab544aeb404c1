"""Server-sent events: whole ones split from a stream of bytes, and their ids."""

import re

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\n\r?\n")


class EventSplitter:
    """Holds back the bytes after the last whole event.

    ``last_id``: the id of the last whole event; ``count``: whole events.
    """

    __slots__ = ("_tail", "count", "last_id")

    def __init__(self, last_id: bytes = b"") -> None:
        self._tail = b""
        self.last_id = last_id
        self.count = 0

    @property
    def held(self) -> bytes:
        """Return the bytes of an event that is not whole."""
        return self._tail

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now."""
        if self._tail:
            data = self._tail + data
        end = data.rfind(b"\n\n")
        width = 2
        if end < 0:
            end = data.rfind(b"\n\r\n")
            width = 3
        if end < 0:
            self._tail = bytes(data)
            return b""
        whole = data[: end + width]
        self._tail = bytes(data[end + width :])
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        self.count += max(1, len(ids))
        return whole


def number_of(event_id: bytes) -> int | None:
    """Return the number of an event's id, ``None`` if it is not a number."""
    return int(event_id) if event_id.isdigit() else None


def events_after(whole: bytes, last_id: bytes) -> bytes:
    """Return the events of some whole ones that come after an id.

    Where ids are no numbers all events are returned.
    """
    last = number_of(last_id)
    if last is None:
        return whole
    kept = []
    start = 0
    for match in _END.finditer(whole):
        event = whole[start : match.end()]
        start = match.end()
        found = _ID.search(event)
        number = number_of(found.group(1)) if found is not None else None
        if number is None or number > last:
            kept.append(event)
    return b"".join(kept)
