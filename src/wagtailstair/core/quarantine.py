"""Quarantine of prompt parts under which engines crash.

Requests share parts of their prompts. When an engine crashes, the parts of the
requests that it had not yet sent an event for are *suspects*, unless an answer with
them has begun somewhere: a part that crashes engines never gets that far. A part that
was there at enough crashes is quarantined: no request with it is sent to an engine.

Hosts exchange their suspects, since the requests of one part come at any of them. All
hosts that know the same crashes and the same sound parts come to the same verdict, in
whatever order they learn of them.
"""

import collections
import dataclasses
import typing as t

BEGUN_WEIGHT = 2
"""Weight of a crash after the head of the request's answer and before an event."""

WAITING_WEIGHT = 1
"""Weight of a crash before the head of the request's answer."""

QUARANTINE_WEIGHT = 4
"""Weight, over different engines, from which a part is quarantined."""

EVIDENCE_S = 600.0
"""Seconds after its last crash for which a suspect is kept or quarantined."""

SOUND_S = 60.0
"""Seconds after the begin of an answer for which its parts are sound."""

SUSPECTS_MAX = 256
SOUND_MAX = 8192
ENGINES_MAX = 16
"""Most parts and, for each suspect, most crashes that are kept."""

PARTS_PER_MESSAGE = 16
"""Most suspects, and most sound parts, in a message: it fits into a datagram."""


class PartKey(t.NamedTuple):
    """A part of prompts, and the service whose engines read it."""

    service: str
    part: str


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectPart:
    """A suspect as hosts exchange it.

    ``engines``: keys of the incarnations that crashed; ``weights``: of each crash;
    ``age_s``: seconds since the last one.
    """

    key: PartKey
    engines: tuple[int, ...]
    weights: tuple[int, ...]
    age_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class CrashSuspects:
    """Suspects of a host, and parts that it knows to be sound."""

    suspects: tuple[SuspectPart, ...] = ()
    sound: tuple[PartKey, ...] = ()


@dataclasses.dataclass(slots=True)
class _Suspect:
    """What is known of a suspect.

    ``crashed_at``: time of the last crash; ``is_own``: whether a request of this host
    was at one of the crashes.
    """

    crashed_at: float
    weight_by_engine: dict[int, int] = dataclasses.field(default_factory=dict)
    is_own: bool = False

    @property
    def weight(self) -> int:
        return sum(self.weight_by_engine.values())

    @property
    def is_quarantined(self) -> bool:
        return self.weight >= QUARANTINE_WEIGHT

    def add(self, engine: int, weight: int) -> bool:
        """Add a crash; return whether it changes anything."""
        known = self.weight_by_engine.get(engine, 0)
        if weight <= known:
            return False
        if not known and len(self.weight_by_engine) >= ENGINES_MAX:
            return False
        self.weight_by_engine[engine] = weight
        return True


class Quarantine:
    """The suspects and the sound parts that one host knows."""

    __slots__ = ("_sound_at_by_key", "_suspect_by_key")

    def __init__(self) -> None:
        self._suspect_by_key: dict[PartKey, _Suspect] = {}
        # In order of time, the oldest first.
        self._sound_at_by_key: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )

    def unproven(self, keys: t.Iterable[PartKey], now: float) -> list[PartKey]:
        """Return the parts with which no answer has begun lately."""
        return [key for key in keys if not self._is_sound(key, now)]

    def remaining_s(self, keys: t.Iterable[PartKey], now: float) -> float:
        """Return for how long one of some parts is quarantined, 0 if none is."""
        longest = 0.0
        for key in keys:
            suspect = self._suspect_by_key.get(key)
            if suspect is not None and suspect.is_quarantined:
                longest = max(longest, suspect.crashed_at + EVIDENCE_S - now)
        return longest

    def quarantined(self, now: float) -> list[PartKey]:
        """Return the parts in quarantine."""
        self._drop_old(now)
        found = []
        for key, suspect in self._suspect_by_key.items():
            if suspect.is_quarantined:
                found.append(key)
        return found

    def record_crash(
        self,
        engine: int,
        keys: t.Iterable[PartKey],
        now: float,
        *,
        has_begun: bool,
    ) -> list[PartKey]:
        """Record the parts of a request that was at an engine when it crashed.

        :param engine: key of the engine's incarnation.
        :param has_begun: whether the head of the request's answer had arrived.
        :returns: the parts about which something is new.
        """
        weight = BEGUN_WEIGHT if has_begun else WAITING_WEIGHT
        changed = []
        for key in self.unproven(keys, now):
            suspect = self._suspect(key, now)
            suspect.is_own = True
            if suspect.add(engine, weight):
                suspect.crashed_at = now
                changed.append(key)
        return changed

    def record_sound(self, keys: t.Iterable[PartKey], now: float) -> list[PartKey]:
        """Record that an answer with some parts has begun.

        :returns: the parts that were suspects of this host's own requests, of which
            the other hosts are to learn.
        """
        cleared = []
        for key in keys:
            self._sound_at_by_key[key] = now
            self._sound_at_by_key.move_to_end(key)
            suspect = self._suspect_by_key.pop(key, None)
            if suspect is not None and suspect.is_own:
                cleared.append(key)
        while len(self._sound_at_by_key) > SOUND_MAX:
            self._sound_at_by_key.popitem(last=False)
        return cleared

    def merge(
        self, suspects: t.Iterable[SuspectPart], now: float
    ) -> tuple[list[PartKey], list[PartKey]]:
        """Apply the suspects of another host.

        :returns: the parts about which something is new, and those that this host
            knows to be sound.
        """
        changed, sound = [], []
        for received in suspects:
            if received.age_s >= EVIDENCE_S:
                continue
            if self._is_sound(received.key, now):
                sound.append(received.key)
                continue
            crashed_at = now - received.age_s
            suspect = self._suspect(received.key, crashed_at)
            is_new = False
            for engine, weight in zip(received.engines, received.weights, strict=True):
                is_new |= suspect.add(engine, min(weight, BEGUN_WEIGHT))
            if is_new:
                suspect.crashed_at = max(suspect.crashed_at, crashed_at)
                changed.append(received.key)
        return changed, sound

    def report(self, now: float) -> tuple[SuspectPart, ...]:
        """Return the suspects to tell other hosts, those with most crashes first."""
        self._drop_old(now)
        found = []
        for key, suspect in self._suspect_by_key.items():
            engines = tuple(suspect.weight_by_engine)
            weights = tuple(suspect.weight_by_engine.values())
            found.append(SuspectPart(key, engines, weights, now - suspect.crashed_at))
        found.sort(key=lambda part: (-sum(part.weights), part.age_s))
        return tuple(found[:PARTS_PER_MESSAGE])

    def _is_sound(self, key: PartKey, now: float) -> bool:
        sound_at = self._sound_at_by_key.get(key)
        return sound_at is not None and now - sound_at < SOUND_S

    def _suspect(self, key: PartKey, crashed_at: float) -> _Suspect:
        """Return a suspect, created on first access in place of the least one."""
        suspect = self._suspect_by_key.get(key)
        if suspect is not None:
            return suspect
        if len(self._suspect_by_key) >= SUSPECTS_MAX:
            least = min(
                self._suspect_by_key,
                key=lambda known: (
                    self._suspect_by_key[known].weight,
                    self._suspect_by_key[known].crashed_at,
                ),
            )
            del self._suspect_by_key[least]
        suspect = self._suspect_by_key[key] = _Suspect(crashed_at)
        return suspect

    def _drop_old(self, now: float) -> None:
        for key, suspect in list(self._suspect_by_key.items()):
            if now - suspect.crashed_at >= EVIDENCE_S:
                del self._suspect_by_key[key]
