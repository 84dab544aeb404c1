"""Trials of quarantined groups.

All requests that hold a quarantined group are refused, so that no answer could show
that the crashes had another cause. One of them is therefore sent now and then, as a
*trial*: its whole answer clears the group, and another crash makes the next trial
later.

A trial may end an engine, so that only one of a group is in progress over all hosts.
Hosts announce their trials, and may begin one in turn, in an order that all of them
know; a host has heard of the trials of those before it.
"""

import dataclasses
import hashlib
import typing as t

from .quarantine import EVIDENCE_S
from .quarantine import Group
from .quarantine import Keys

WEAK_TRIAL_S = 1.0
"""Seconds from the last crash to the first trial of a group of weak evidence: engines
that fail together rather have a cause in common than requests."""

TRIAL_S = 6.0
"""Seconds from the last crash to the first trial of any other group."""

TRIAL_GROWTH = 3.0
"""Factor of these times for each trial of the group before."""

CRASHES_ENOUGH = 4
"""Crashes beyond which each further one counts like a trial, unless all were at one
moment: hosts that have missed trials know of their crashes."""

HOST_TURN_S = 0.05
"""Seconds from the turn of a host to that of the next: an announcement takes less."""

TRIAL_TIMEOUT_S = 10.0
"""Seconds after its begin for which a trial that has not ended keeps others back."""

DIGEST_BYTES = 8


def digest(keys: Keys) -> int:
    """Return the number that stands for a group in messages."""
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for key in sorted(keys):
        for text in key:
            data = text.encode()
            found.update(b"%d:" % len(data))
            found.update(data)
    return int.from_bytes(found.digest(), "big")


@dataclasses.dataclass(slots=True)
class _History:
    """How many trials of a group there were, and until when the last blocks others."""

    trials: int = 0
    begun_at: float = 0.0
    blocked_until: float = 0.0


class Trials:
    """When the quarantined groups may be tried, as one host knows it."""

    __slots__ = ("_history_by_group",)

    def __init__(self) -> None:
        # By digest.
        self._history_by_group: dict[int, _History] = {}

    def opens_at(self, group: Group) -> float:
        """Return when the first host may begin a trial of a group."""
        history = self._history_by_group.get(digest(group.keys))
        failures = 0 if history is None else history.trials
        delay_s = WEAK_TRIAL_S
        if not group.is_weak:
            delay_s = TRIAL_S
            failures = max(failures, group.crashes - CRASHES_ENOUGH)
        opens_at = group.last_at + delay_s * TRIAL_GROWTH**failures
        return opens_at if history is None else max(opens_at, history.blocked_until)

    def is_in_progress(self, group: Group, now: float) -> bool:
        """Return whether the result of a trial of a group is awaited."""
        history = self._history_by_group.get(digest(group.keys))
        return history is not None and now < history.blocked_until

    def may_begin(
        self, groups: t.Iterable[Group], turn: t.Callable[[Group], int], now: float
    ) -> bool:
        """Return whether this host may begin a trial of some groups.

        :param turn: returns how many hosts have their turn with a group before.
        """
        for group in groups:
            opens_at = self.opens_at(group)
            if now < opens_at or now < opens_at + turn(group) * HOST_TURN_S:
                return False
        return True

    def record_begin(self, groups: t.Iterable[int], now: float) -> None:
        """Record that a host has begun a trial of some groups, by their digests."""
        for group, history in list(self._history_by_group.items()):
            if now - history.begun_at >= EVIDENCE_S:
                del self._history_by_group[group]
        for group in groups:
            history = self._history_by_group.setdefault(group, _History())
            history.trials += 1
            history.begun_at = now
            history.blocked_until = now + TRIAL_TIMEOUT_S

    def record_end(self, groups: t.Iterable[int]) -> None:
        """Record that a trial of this host has ended, whatever it showed."""
        for group in groups:
            history = self._history_by_group.get(group)
            if history is not None:
                history.blocked_until = 0.0
