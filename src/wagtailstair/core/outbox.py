"""Messages that are sent again until the receiver acknowledges them."""

import dataclasses
import heapq

from .messages import Numbered
from .messages import Reliable

FIRST_RETRY_S = 0.1
MAX_RETRY_INTERVAL_S = 2.0
MAX_OPEN_MESSAGES = 65_536  # to all hosts together; further ones are sent only once


@dataclasses.dataclass(slots=True)
class _Entry:
    host: str
    message: Numbered
    retry_interval_s: float


class Outbox:
    """Numbered messages to other hosts that have not been acknowledged."""

    def __init__(self) -> None:
        self._entry_by_number: dict[int, _Entry] = {}
        self._due: list[tuple[float, int]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._entry_by_number)

    def add(self, host: str, body: Reliable, now: float) -> Numbered:
        """Keep a message until it is acknowledged; return it numbered, to send now."""
        self._number += 1
        message = Numbered(self._number, body)
        if len(self._entry_by_number) < MAX_OPEN_MESSAGES:
            entry = _Entry(host, message, FIRST_RETRY_S)
            self._entry_by_number[self._number] = entry
            heapq.heappush(self._due, (now + FIRST_RETRY_S, self._number))
        return message

    def acknowledge(self, host: str, number: int) -> Reliable | None:
        """Drop a message that has arrived; return its body on the first call."""
        entry = self._entry_by_number.get(number)
        if entry is None or entry.host != host:
            return None
        del self._entry_by_number[number]
        return entry.message.body

    def drop(self, host: str) -> None:
        """Drop all messages to a host that is gone."""
        for number, entry in list(self._entry_by_number.items()):
            if entry.host == host:
                del self._entry_by_number[number]

    def take_due(self, now: float) -> list[tuple[str, Numbered]]:
        """Return the messages to send again now, and back off their next retry."""
        messages = []
        while self._due and self._due[0][0] <= now:
            _, number = heapq.heappop(self._due)
            entry = self._entry_by_number.get(number)
            if entry is None:
                continue
            messages.append((entry.host, entry.message))
            entry.retry_interval_s = min(
                MAX_RETRY_INTERVAL_S, entry.retry_interval_s * 2
            )
            heapq.heappush(self._due, (now + entry.retry_interval_s, number))
        return messages

    def next_wake(self) -> float | None:
        """Return when the next retry is due, ``None`` without any."""
        return self._due[0][0] if self._due else None
