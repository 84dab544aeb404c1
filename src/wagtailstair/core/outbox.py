"""Messages that are repeated until the receiver acknowledges them."""

import dataclasses
import heapq

from .messages import Numbered
from .messages import Reliable

FIRST_REPEAT_S = 0.1
LAST_REPEAT_S = 2.0
WINDOW = 65_536  # numbered messages that may be open towards all hosts


@dataclasses.dataclass(slots=True)
class _Entry:
    host: str
    message: Numbered
    wait_s: float


class Outbox:
    """Numbered messages to other hosts that have not been acknowledged."""

    def __init__(self) -> None:
        self._entry_by_number: dict[int, _Entry] = {}
        self._due: list[tuple[float, int]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._entry_by_number)

    def add(self, host: str, body: Reliable, now: float) -> Numbered:
        """Keep a message for repetition; return it numbered, to be sent now."""
        self._number += 1
        message = Numbered(self._number, body)
        if len(self._entry_by_number) < WINDOW:
            entry = _Entry(host, message, FIRST_REPEAT_S)
            self._entry_by_number[self._number] = entry
            heapq.heappush(self._due, (now + FIRST_REPEAT_S, self._number))
        return message

    def acknowledge(self, host: str, number: int) -> Reliable | None:
        """Drop a message that has arrived; return its body the first time."""
        entry = self._entry_by_number.get(number)
        if entry is None or entry.host != host:
            return None
        del self._entry_by_number[number]
        return entry.message.body

    def drop(self, host: str) -> None:
        """Drop everything for a host that is gone."""
        for number, entry in list(self._entry_by_number.items()):
            if entry.host == host:
                del self._entry_by_number[number]

    def repeat(self, now: float) -> list[tuple[str, Numbered]]:
        """Return what is to be sent again now."""
        messages = []
        while self._due and self._due[0][0] <= now:
            _, number = heapq.heappop(self._due)
            entry = self._entry_by_number.get(number)
            if entry is None:
                continue
            messages.append((entry.host, entry.message))
            entry.wait_s = min(LAST_REPEAT_S, entry.wait_s * 2)
            heapq.heappush(self._due, (now + entry.wait_s, number))
        return messages

    def next_wake(self) -> float | None:
        """Return when the next message is due for repetition."""
        return self._due[0][0] if self._due else None
