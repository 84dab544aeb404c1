"""Quarantine of prompts under which engines crash.

Requests share parts of their prompts, and the same request may come again. Those that
are at an engine when it crashes are *candidates* for the cause, at whatever point of
their answers, unless answers that hold their parts have ended whole: a part that
crashes engines never gets that far. What candidates of several crashes have in common
forms a *group*.
A group that explains enough crashes is quarantined: no request that holds all of it
is sent to an engine.

Of several groups the one that explains most crashes is quarantined first, and of
those that explain as many the one of most weight. A group within another that explains
as many gives way to it: a request that shares only some of its parts is still sent, and
its whole answer takes these out of the group.

Hosts exchange their candidates, since the requests of one part come at any of them.
All hosts that know the same candidates and the same sound parts come to the same
verdict, in whatever order they learn of them.
"""

import collections
import dataclasses
import hashlib
import typing as t

BEGUN_WEIGHT = 6
"""Weight of a crash after the head of the request's answer and before an event."""

STREAMING_WEIGHT = 4
"""Weight of a crash after an event of the request's answer."""

WAITING_WEIGHT = 3
"""Weight of a crash before the head of the request's answer."""

QUARANTINE_WEIGHT = 12
"""Weight, over different engines, from which a group is quarantined."""

EVIDENCE_S = 600.0
"""Seconds for which a crash counts, and a group is quarantined after its last one."""

SOUND_S = 60.0
"""Seconds after the end of a whole answer for which its parts are sound."""

CRASHES_MAX = 32
CANDIDATES_MAX = 256
SOUND_MAX = 8192
GROUPS_MAX = 256
CRASH_KEYS_MAX = 8192
GROUP_KEYS_MAX = 65536
"""Most crashes, candidates of each, sound parts and groups that are considered, and
most parts of all candidates of a crash and of all groups: callers choose how many parts
their prompts have.

An engine takes 96 requests at once; if any of its candidates is dropped, that may be
the cause of the crash.
"""

MESSAGE_CANDIDATES = 64
MESSAGE_BYTES = 6144
KEY_BYTES = 48
"""Most candidates, and bytes of their parts, in a message: it fits into a datagram.
``KEY_BYTES`` are those of a part beside its texts."""

CRASH_MESSAGES_MAX = 12
"""Most messages about one crash: enough for ``CANDIDATES_MAX`` of four parts."""

SOUND_PER_ANSWER = 256
"""Shared parts of an answer that are remembered as sound: prompts of very many parts
would crowd out those of others."""

SOUND_PER_MESSAGE = 64
TRIALS_PER_MESSAGE = 64

FRESH_S = 20.0
"""Seconds after a crash for which hosts are told of all its candidates, and not only
of those that hold a quarantined group."""

MOMENT_S = 0.1
"""Seconds within which crashes count as one moment: engines that fail together do not
end at the same instant, and hosts notice it some time later."""

REQUEST_KEY_BYTES = 8
REQUEST_PREFIX = "request-"
"""Begin of the key of a whole request, which no id of a part has."""


class PartKey(t.NamedTuple):
    """A part of prompts or a whole request, and the service whose engines read it."""

    service: str
    part: str


def request_key(service: str, *values: bytes) -> PartKey:
    """Return the key of a whole request, the same each time that it comes.

    :param values: what tells the request from others, but not its attempts apart.
    """
    digest = hashlib.blake2b(digest_size=REQUEST_KEY_BYTES)
    for value in values:
        digest.update(b"%d:" % len(value))
        digest.update(value)
    return PartKey(service, REQUEST_PREFIX + digest.hexdigest())


Keys = frozenset[PartKey]


@dataclasses.dataclass(slots=True, frozen=True)
class CrashCandidate:
    """A request that may have crashed an engine, as hosts exchange it.

    ``engine``: key of the incarnation; ``age_s``: seconds since the crash; ``keys``:
    the request and its parts that weren't known to be sound.
    """

    engine: int
    age_s: float
    weight: int
    keys: Keys


@dataclasses.dataclass(slots=True, frozen=True)
class CrashSuspects:
    """Candidates that a host knows, and parts that it knows to be sound.

    ``trials``: digests of the groups of which the host has begun a trial.
    """

    candidates: tuple[CrashCandidate, ...] = ()
    sound: tuple[PartKey, ...] = ()
    trials: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class _Crash:
    """A crash: its time, and the weight of the candidates by their parts.

    ``size``: number of the parts of all candidates; ``dropped``: candidates for which
    there was no room.
    """

    crashed_at: float
    size: int = 0
    dropped: int = 0
    weight_by_keys: dict[Keys, int] = dataclasses.field(default_factory=dict)
    keys_by_request: dict[PartKey, Keys] = dataclasses.field(default_factory=dict)
    holders_by_key: collections.Counter[PartKey] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, keys: Keys, weight: int) -> bool:
        """Add a candidate, or further parts of one; return if it changes anything."""
        request = _find_request_key(keys)
        if request is not None and request in self.holders_by_key:
            known = self.keys_by_request[request]
            keys |= known
            if keys != known:
                weight = max(weight, self.remove(known))
        known_weight = self.weight_by_keys.get(keys, 0)
        if weight <= known_weight:
            return False
        self.weight_by_keys[keys] = weight
        if not known_weight:
            self.holders_by_key.update(keys)
            self.size += len(keys)
            if request is not None:
                self.keys_by_request[request] = keys
        while self._is_full():
            least = min(self.weight_by_keys, key=self._rank)
            self.remove(least)
            self.dropped += 1
        return keys in self.weight_by_keys

    def _is_full(self) -> bool:
        count = len(self.weight_by_keys)
        return count > CANDIDATES_MAX or (count > 1 and self.size > CRASH_KEYS_MAX)

    def remove(self, keys: Keys) -> int:
        """Remove a candidate; return its weight."""
        for key in keys:
            self.holders_by_key[key] -= 1
            if not self.holders_by_key[key]:
                del self.holders_by_key[key]
        self.size -= len(keys)
        request = _find_request_key(keys)
        if request is not None:
            del self.keys_by_request[request]
        return self.weight_by_keys.pop(keys)

    def _rank(self, keys: Keys) -> tuple[int, list[PartKey]]:
        return self.weight_by_keys[keys], sorted(keys)


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """Parts of which a request must hold all to be refused.

    ``crashes``: number of crashes that it explains; ``last_at``: time of the last;
    ``is_weak``: whether they were at one moment, as where engines fail together.
    """

    keys: Keys
    crashes: int
    last_at: float
    is_weak: bool


class Quarantine:
    """The candidates, the sound parts and the quarantined groups of one host."""

    __slots__ = (
        "_crash_by_engine",
        "_groups",
        "_own_keys",
        "_sound_at_by_key",
        "dropped",
    )

    def __init__(self) -> None:
        # Candidates that were dropped as their crash had too many.
        self.dropped = 0
        self._crash_by_engine: dict[int, _Crash] = {}
        # In order of time, the oldest first.
        self._sound_at_by_key: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )
        # Parts of the candidates among this host's own requests.
        self._own_keys: set[PartKey] = set()
        # The quarantined groups, None if they are to be determined.
        self._groups: list[Group] | None = []

    def unproven(self, keys: t.Iterable[PartKey], now: float) -> list[PartKey]:
        """Return the parts with which no answer has ended whole lately."""
        return [key for key in keys if not self._is_sound(key, now)]

    def candidates(self, keys: t.Iterable[PartKey]) -> list[PartKey]:
        """Return the keys that candidates of crashes hold."""
        crashes = self._crash_by_engine.values()
        return [k for k in keys if any(k in crash.holders_by_key for crash in crashes)]

    def heaviest_at(self, engine: int) -> int:
        """Return the largest weight of a crash's candidates, 0 for none."""
        crash = self._crash_by_engine.get(engine)
        return 0 if crash is None else max(crash.weight_by_keys.values(), default=0)

    def remaining_s(self, keys: t.Iterable[PartKey], now: float) -> float:
        """Return for how long a request with some parts is refused, 0 if it is sent."""
        longest = 0.0
        for group in self.held_groups(keys, now):
            longest = max(longest, group.last_at + EVIDENCE_S - now)
        return longest

    def held_groups(self, keys: t.Iterable[PartKey], now: float) -> list[Group]:
        """Return the groups in quarantine that a request with some parts holds."""
        groups = self.quarantined(now)
        if not groups:
            return []
        held = frozenset(keys)
        return [group for group in groups if group.keys <= held]

    def has_other_suspects(
        self, keys: t.Iterable[PartKey], groups: t.Iterable[Group]
    ) -> bool:
        """Return whether a request holds more that was at several crashes than groups.

        Its answer would tell nothing about the groups if it ends an engine.
        """
        rest = _common_keys(self._crash_by_engine).intersection(keys)
        for group in groups:
            rest -= group.keys
        return bool(rest)

    def quarantined(self, now: float) -> list[Group]:
        """Return the groups in quarantine, those that explain most crashes first."""
        self._drop_old(now)
        if self._groups is None:
            self._groups = _find_groups(self._crash_by_engine)
        return self._groups

    def record_crash(
        self,
        engine: int,
        candidates: t.Iterable[tuple[t.Iterable[PartKey], int]],
        now: float,
        age_s: float = 0.0,
    ) -> list[CrashSuspects]:
        """Record the requests of this host that were at an engine when it crashed.

        :param engine: key of the engine's incarnation.
        :param candidates: the parts of each request, and the weight of the crash.
        :param age_s: seconds since the crash.
        :returns: messages to the other hosts with what is new.
        """
        added = []
        for keys, weight in candidates:
            unproven = frozenset(self.unproven(keys, now))
            self._own_keys |= unproven
            if self._add(engine, now - age_s, unproven, weight):
                added.append(CrashCandidate(engine, age_s, weight, unproven))
        added.sort(key=lambda candidate: -candidate.weight)
        common = _common_keys(self._crash_by_engine)
        batches = _split(added, common, most=CRASH_MESSAGES_MAX)
        return [CrashSuspects(batch) for batch in batches]

    def record_sound(self, keys: t.Iterable[PartKey], now: float) -> list[PartKey]:
        """Record that an answer with some parts has ended whole.

        :returns: the parts of candidates among this host's own requests, of which the
            other hosts are to learn.
        """
        cleared = []
        for key in keys:
            self._sound_at_by_key[key] = now
            self._sound_at_by_key.move_to_end(key)
            if self._clear(key) and key in self._own_keys:
                self._own_keys.discard(key)
                cleared.append(key)
        while len(self._sound_at_by_key) > SOUND_MAX:
            self._sound_at_by_key.popitem(last=False)
        return cleared

    def merge(
        self, candidates: t.Iterable[CrashCandidate], now: float
    ) -> tuple[bool, list[PartKey]]:
        """Apply the candidates of another host.

        :returns: whether anything is new, and the parts that this host knows to be
            sound.
        """
        is_new = False
        sound: set[PartKey] = set()
        for received in candidates:
            if received.age_s >= EVIDENCE_S:
                continue
            crashed_at = now - received.age_s
            innocent = {k for k in received.keys if self._is_sound(k, crashed_at)}
            sound |= innocent
            weight = min(received.weight, BEGUN_WEIGHT)
            is_new |= self._add(
                received.engine, crashed_at, received.keys - innocent, weight
            )
        return is_new, sorted(sound)

    def report(self, now: float) -> tuple[CrashCandidate, ...]:
        """Return the candidates to tell other hosts, as many as fit into a message.

        Those that hold a quarantined group come first, then those that have something
        in common with another crash, and of these the newest ones.
        """
        groups = [group.keys for group in self.quarantined(now)]
        common = _common_keys(self._crash_by_engine)
        found = []
        for engine, crash in self._crash_by_engine.items():
            age_s = now - crash.crashed_at
            for keys, weight in crash.weight_by_keys.items():
                is_weighty = any(group <= keys for group in groups)
                if not is_weighty and age_s >= FRESH_S:
                    continue
                is_alone = common.isdisjoint(keys)
                rank = (not is_weighty, is_alone, age_s, -weight, engine, sorted(keys))
                found.append((rank, CrashCandidate(engine, age_s, weight, keys)))
        found.sort(key=lambda entry: entry[0])
        first = common.union(*groups)
        batches = _split((candidate for _, candidate in found), first, most=1)
        return batches[0] if batches else ()

    def _is_sound(self, key: PartKey, when: float) -> bool:
        """Return whether a part is sound at some time, by what is known now."""
        sound_at = self._sound_at_by_key.get(key)
        return sound_at is not None and when - sound_at < SOUND_S

    def _add(self, engine: int, crashed_at: float, keys: Keys, weight: int) -> bool:
        if not keys:
            return False
        crash = self._crash_by_engine.get(engine)
        if crash is None:
            self._make_room()
            crash = self._crash_by_engine[engine] = _Crash(crashed_at)
        elif crashed_at < crash.crashed_at:
            crash.crashed_at = crashed_at
            self._groups = None
        dropped = crash.dropped
        is_new = crash.add(keys, weight)
        self.dropped += crash.dropped - dropped
        if is_new and self._is_common(engine, keys):
            self._groups = None
        return is_new

    def _is_common(self, engine: int, keys: Keys) -> bool:
        """Return whether a candidate has anything in common with another crash.

        Groups hold nothing else, so that others needn't be weighed again.
        """
        for other, crash in self._crash_by_engine.items():
            if other == engine:
                continue
            if any(key in crash.holders_by_key for key in keys):
                return True
        return False

    def _make_room(self) -> None:
        """Drop the oldest crash that no quarantined group explains if there are many.

        If there is no such crash, drop the oldest.
        """
        if len(self._crash_by_engine) < CRASHES_MAX:
            return
        if self._groups is None:
            self._groups = _find_groups(self._crash_by_engine)
        groups = [group.keys for group in self._groups]

        def rank(engine: int) -> tuple[bool, float]:
            crash = self._crash_by_engine[engine]
            is_explained = any(
                group <= keys for group in groups for keys in crash.weight_by_keys
            )
            return is_explained, crash.crashed_at

        del self._crash_by_engine[min(self._crash_by_engine, key=rank)]
        self._groups = None

    def _clear(self, key: PartKey) -> bool:
        """Take a part out of all candidates; return whether it was in any."""
        is_found = False
        for engine, crash in list(self._crash_by_engine.items()):
            if key not in crash.holders_by_key:
                continue
            holders = [keys for keys in crash.weight_by_keys if key in keys]
            for keys in holders:
                is_found = True
                weight = crash.remove(keys)
                if rest := keys - {key}:
                    crash.add(rest, weight)
            if not crash.weight_by_keys:
                del self._crash_by_engine[engine]
        if is_found:
            self._groups = None
        return is_found

    def _drop_old(self, now: float) -> None:
        for engine, crash in list(self._crash_by_engine.items()):
            if now - crash.crashed_at >= EVIDENCE_S:
                del self._crash_by_engine[engine]
                self._groups = None
        if not self._crash_by_engine:
            self._own_keys.clear()


def _split(
    candidates: t.Iterable[CrashCandidate], first: Keys, most: int
) -> list[tuple[CrashCandidate, ...]]:
    """Split candidates into at most so many batches that fit into a message each.

    :param first: parts that come first of those of a candidate that needs several.
    """
    batches: list[tuple[CrashCandidate, ...]] = []
    batch: list[CrashCandidate] = []
    room = MESSAGE_BYTES
    for candidate in _pieces(candidates, first):
        need = sum(map(_bytes_of, candidate.keys))
        if need > room or len(batch) == MESSAGE_CANDIDATES:
            batches.append(tuple(batch))
            batch, room = [], MESSAGE_BYTES
            if len(batches) == most:
                return batches
        batch.append(candidate)
        room -= need
    if batch:
        batches.append(tuple(batch))
    return batches


def _pieces(
    candidates: t.Iterable[CrashCandidate], first: Keys
) -> t.Iterator[CrashCandidate]:
    """Iterate over candidates, those that need several messages in pieces.

    Each piece holds the key of the request, by which the receiver joins them.
    """
    for candidate in candidates:
        if sum(map(_bytes_of, candidate.keys)) <= MESSAGE_BYTES:
            yield candidate
            continue
        request = _find_request_key(candidate.keys)
        shared = frozenset() if request is None else frozenset({request})
        ranked = sorted(candidate.keys - shared, key=lambda k: (k not in first, k))
        room = MESSAGE_BYTES - sum(map(_bytes_of, shared))
        piece: list[PartKey] = []
        for key in ranked:
            need = _bytes_of(key)
            if need > room:
                yield dataclasses.replace(candidate, keys=shared.union(piece))
                piece = []
                room = MESSAGE_BYTES - sum(map(_bytes_of, shared))
            piece.append(key)
            room -= need
        yield dataclasses.replace(candidate, keys=shared.union(piece))


def _bytes_of(key: PartKey) -> int:
    """Return the bytes that a part takes in a message, at the most."""
    return KEY_BYTES + len(key.part) + len(key.service)


def _find_request_key(keys: Keys) -> PartKey | None:
    """Return the key of the whole request among those of a candidate."""
    for key in keys:
        if key.part.startswith(REQUEST_PREFIX):
            return key
    return None


WeightByKeys = dict[Keys, int]


def _find_groups(crash_by_engine: dict[int, _Crash]) -> list[Group]:
    """Return the groups that explain enough crashes, by a greedy cover of these."""
    common = _common_keys(crash_by_engine)
    held_by_engine: dict[int, WeightByKeys] = {}
    for engine, crash in crash_by_engine.items():
        held = held_by_engine[engine] = {}
        for keys, weight in crash.weight_by_keys.items():
            if rest := keys & common:
                held[rest] = max(weight, held.get(rest, 0))
    held_by_key = _index(held_by_engine)
    weights_by_group: dict[Keys, dict[int, int]] = {}
    for group in _common_groups(held_by_engine):
        rarest = min(group, key=lambda key: len(held_by_key[key]))
        weights: dict[int, int] = {}
        for engine, keys, weight in held_by_key[rarest]:
            if weight > weights.get(engine, 0) and group <= keys:
                weights[engine] = weight
        weights_by_group[group] = weights
    found = []
    left = set(crash_by_engine)
    while left:
        best = _best_group(weights_by_group, left)
        if best is None:
            break
        engines = weights_by_group[best]
        crashes = []
        for engine, weight in engines.items():
            crashes.append((crash_by_engine[engine].crashed_at, weight))
        last_at, _ = max(crashes)
        found.append(Group(best, len(crashes), last_at, _is_weak(crashes)))
        left -= set(engines)
    return found


def _is_weak(crashes: t.Collection[tuple[float, int]]) -> bool:
    """Return whether crashes, by time and weight, were at one moment.

    Those between the head of an answer and its first event count all the same: of many
    requests few are there at any time.
    """
    times = [crashed_at for crashed_at, _ in crashes]
    begun = sum(weight >= BEGUN_WEIGHT for _, weight in crashes)
    return max(times) - min(times) < MOMENT_S and begun < 2


def _best_group(
    weights_by_group: dict[Keys, dict[int, int]], left: set[int]
) -> Keys | None:
    """Return the group that explains most of some crashes, ``None`` for none.

    Of those that explain the same number, the one of most weight is chosen. A group
    that is part of another one which explains as many is passed over, even while the
    weight of that one is too low: requests with the rest of it weren't there without
    it.
    """
    ranked = []
    groups_by_crashes = collections.defaultdict(list)
    for keys, weights in weights_by_group.items():
        explained = [weight for engine, weight in weights.items() if engine in left]
        groups_by_crashes[len(explained)].append(keys)
        weight = sum(explained)
        if weight >= QUARANTINE_WEIGHT:
            rank = (-len(explained), -weight, -len(keys), sorted(keys))
            ranked.append((rank, keys))
    ranked.sort(key=lambda entry: entry[0])
    for (crashes, *_), keys in ranked:
        if not any(keys < larger for larger in groups_by_crashes[-crashes]):
            return keys
    return None


def _common_keys(crash_by_engine: dict[int, _Crash]) -> Keys:
    """Return the keys that candidates of several crashes hold."""
    crashes_by_key: collections.Counter[PartKey] = collections.Counter()
    for crash in crash_by_engine.values():
        crashes_by_key.update(crash.holders_by_key.keys())
    return frozenset(key for key, crashes in crashes_by_key.items() if crashes > 1)


def _common_groups(held_by_engine: dict[int, WeightByKeys]) -> set[Keys]:
    """Return the sets of keys that candidates of several crashes have in common.

    What is at most crashes comes first, as the number of groups is bounded.
    """
    crashes_by_keys: collections.Counter[Keys] = collections.Counter()
    for held in held_by_engine.values():
        crashes_by_keys.update(held.keys())
    ranked = sorted(crashes_by_keys, key=lambda k: (-crashes_by_keys[k], sorted(k)))
    groups: set[Keys] = set()
    size = 0
    for keys in ranked:
        if len(groups) >= GROUPS_MAX or size >= GROUP_KEYS_MAX:
            break
        found = {keys & group for group in groups} | {keys}
        size += sum(map(len, found - groups))
        groups |= found
    groups.discard(frozenset())
    return groups


def _index(
    held_by_engine: dict[int, WeightByKeys],
) -> dict[PartKey, list[tuple[int, Keys, int]]]:
    """Return the engine, the keys and the weight of the candidates that hold a key."""
    held_by_key = collections.defaultdict(list)
    for engine, held in held_by_engine.items():
        for keys, weight in held.items():
            for key in keys:
                held_by_key[key].append((engine, keys, weight))
    return held_by_key
