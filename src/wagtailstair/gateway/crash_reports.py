"""Crashes of engines, and the requests that may have caused them."""

import collections
import dataclasses
import enum
import random
import typing as t

from ..core import rendezvous
from ..core import trials
from ..core.engine_costs import engine_key
from ..core.quarantine import BEGUN_WEIGHT
from ..core.quarantine import CRASH_KEYS_MAX
from ..core.quarantine import SOUND_PER_ANSWER
from ..core.quarantine import SOUND_PER_MESSAGE
from ..core.quarantine import STREAMING_WEIGHT
from ..core.quarantine import WAITING_WEIGHT
from ..core.quarantine import CrashSuspects
from ..core.quarantine import Group
from ..core.quarantine import Keys
from ..core.quarantine import PartKey
from ..core.quarantine import Quarantine
from ..core.replicas import Replica
from ..logs import log_event
from ..platform import engines as engine_wire
from .engine_report import fetch_engine_report
from .loop import Loop
from .upstream_pool import UpstreamPool

CRASHES_MAX = 256
"""Crashed engines that are remembered."""

DEPARTURE_S = 1.0
DEPARTURES_MAX = 512
"""Seconds for which a cancelled request counts as one at its engine, and how many are
remembered: an engine that has begun a deadly request ends though it was cancelled."""


LOG_PARTS_MAX = 32
"""Parts of a request that are logged."""

RETURN_S = 1.0
RETURN_SPREAD_S = 2.0
"""Seconds after which refused callers return at the earliest once their request may be
tried, and over which they are spread: a trial takes as long as an answer."""


class Stage(enum.IntEnum):
    """How far an answer has come; the value is the weight of a crash there."""

    WAITING = WAITING_WEIGHT
    BEGUN = BEGUN_WEIGHT
    STREAMING = STREAMING_WEIGHT


@dataclasses.dataclass(slots=True)
class _Check:
    """Requests whose connections an engine has closed, judged by its next report.

    ``lost_at``: when the first was closed; ``requests``: the parts of each, and how far
    its answer had come; ``keys``: number of parts of all of them; ``on_told``: called
    with whether the engine has crashed.
    """

    replica: Replica
    lost_at: float
    keys: int = 0
    requests: list[tuple[list[PartKey], Stage]] = dataclasses.field(
        default_factory=list
    )
    on_told: list[t.Callable[[bool], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class _Departure:
    """A request that was cancelled at an engine before its answer had ended."""

    cancelled_at: float
    engine: int
    keys: list[PartKey]
    stage: Stage


class CrashReports:
    """Finds out which engines have crashed, and tells the other hosts of candidates.

    :param on_crash: called for each crash.
    :param on_quarantined: called after parts have come into quarantine.
    :param send_to_all: sends a message to all other hosts.
    :param host: name of this host.
    :param live_names: returns the names of all live hosts, this one among them.
    :param rng: spreads the returns of callers.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        on_crash: t.Callable[[], None],
        on_quarantined: t.Callable[[], None],
        send_to_all: t.Callable[[CrashSuspects], None],
        host: str,
        live_names: t.Callable[[], t.Sequence[str]],
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._on_crash = on_crash
        self._on_quarantined = on_quarantined
        self._send_to_all = send_to_all
        self._host = host
        self._live_names = live_names
        self._rng = rng
        self.quarantine = Quarantine()
        self._trials = trials.Trials()
        self._check_by_identity: dict[tuple[str, int], _Check] = {}
        # Those that follow a check in progress, whose report may be an older one.
        self._next_check_by_identity: dict[tuple[str, int], _Check] = {}
        self._departures: collections.deque[_Departure] = collections.deque()
        # Parts of all of them.
        self._departed_keys = 0
        # Engines that have crashed, the oldest crash first.
        self._crashed: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def report_loss(
        self, replica: Replica, keys: t.Iterable[PartKey], stage: Stage
    ) -> None:
        """Report a request whose connection an engine has closed.

        The engine is asked for a report: if it answers as the same incarnation, it
        has closed a connection but not crashed.
        """
        unproven = self.quarantine.unproven(keys, self._loop.now)
        if unproven:
            self._add_request(self._find_check(replica), unproven, stage)

    def check_end(
        self,
        replica: Replica,
        keys: t.Iterable[PartKey],
        stage: Stage,
        on_told: t.Callable[[bool], None],
    ) -> None:
        """Find out whether an answer that ended with its connection is whole.

        The engine is asked for a report. If it has crashed, the request is one of those
        that were there.

        :param on_told: called with whether the engine has crashed.
        """
        check = self._find_check(replica)
        check.on_told.append(on_told)
        if unproven := self.quarantine.unproven(keys, self._loop.now):
            self._add_request(check, unproven, stage)

    def _find_check(self, replica: Replica) -> _Check:
        """Return a check of an engine whose report has not been asked for yet."""
        identity = replica.identity
        check = _Check(replica, self._loop.now)
        if identity in self._check_by_identity:
            return self._next_check_by_identity.setdefault(identity, check)
        self._check_by_identity[identity] = check
        self._check_engine(check)
        return check

    def _add_request(self, check: _Check, keys: list[PartKey], stage: Stage) -> None:
        check.keys += len(keys)
        if check.requests and check.keys > CRASH_KEYS_MAX:
            self.quarantine.dropped += 1
            return
        check.requests.append((keys, stage))

    def report_departure(
        self, replica: Replica, keys: t.Iterable[PartKey], stage: Stage
    ) -> None:
        """Report a request that this host has cancelled before its answer ended."""
        now = self._loop.now
        unproven = self.quarantine.unproven(keys, now)
        if not unproven:
            return
        self._departures.append(_Departure(now, engine_key(replica), unproven, stage))
        self._departed_keys += len(unproven)
        while self._departed_keys > CRASH_KEYS_MAX and len(self._departures) > 1:
            self._drop_departure()
        while len(self._departures) > DEPARTURES_MAX:
            self._drop_departure()

    def has_crashed(self, identities: t.Iterable[tuple[str, int]]) -> bool:
        """Return whether one of some engines is known to have crashed."""
        return any(identity in self._crashed for identity in identities)

    def begin_trial(
        self, keys: t.Sequence[PartKey], has_path: t.Callable[[], bool]
    ) -> list[Group]:
        """Begin a trial of the quarantined groups that a request holds, if it may.

        :param has_path: returns whether it could be sent; called if all else allows it.
        :returns: the groups, none if the request is to be refused.
        """
        now = self._loop.now
        groups = self.quarantine.held_groups(keys, now)
        if not self._trials.may_begin(groups, self._turn, now):
            return []
        if self.quarantine.has_other_suspects(keys, groups) or not has_path():
            return []
        digests = tuple(trials.digest(group.keys) for group in groups)
        self._trials.record_begin(digests, now)
        self._send_to_all(CrashSuspects(trials=digests))
        return groups

    def end_trial(self, groups: t.Iterable[Keys]) -> None:
        """Record that the request of a trial has ended, whatever it showed."""
        self._trials.record_end([trials.digest(keys) for keys in groups])

    def return_s(self, keys: t.Sequence[PartKey]) -> float:
        """Return after how many seconds the caller of a quarantined request may retry.

        The groups may have been tried by then; callers are spread, as one is enough.
        """
        now = self._loop.now
        waits = [0.0]
        for group in self.quarantine.held_groups(keys, now):
            if not self._trials.is_in_progress(group, now):
                waits.append(self._trials.opens_at(group) - now)
        return_s = max(waits) + RETURN_S + RETURN_SPREAD_S * self._rng.random()
        return min(return_s, self.quarantine.remaining_s(keys, now))

    def _turn(self, group: Group) -> int:
        """Return how many hosts may begin a trial of a group before this one."""
        names = rendezvous.ranked(str(trials.digest(group.keys)), self._live_names())
        return names.index(self._host) if self._host in names else len(names)

    def record_answer(
        self,
        shared: t.Sequence[PartKey],
        own: t.Iterable[PartKey],
        tried: t.Iterable[Keys] = (),
    ) -> None:
        """Record that an answer to a request has ended whole.

        :param shared: parts of its prompt that other requests may hold.
        :param own: what only this request holds. This, and the shared parts beyond
            ``SOUND_PER_ANSWER``, are not remembered unless they are candidates.
        :param tried: the groups of which it was a trial.
        """
        rest = [*shared[SOUND_PER_ANSWER:], *own]
        keys = [*shared[:SOUND_PER_ANSWER], *self.quarantine.candidates(rest)]
        cleared = self.quarantine.record_sound(keys, self._loop.now)
        for group in tried:
            cleared += sorted(group.difference(cleared))
        if cleared:
            self._log_cleared(cleared, "answered")
        for first in range(0, len(cleared), SOUND_PER_MESSAGE):
            sound = tuple(cleared[first : first + SOUND_PER_MESSAGE])
            self._send_to_all(CrashSuspects(sound=sound))

    def on_message(self, message: CrashSuspects) -> CrashSuspects | None:
        """Apply what another host knows; return a reply for it, if there is one."""
        quarantine, now = self.quarantine, self._loop.now
        self._trials.record_begin(message.trials, now)
        cleared = quarantine.record_sound(message.sound, now)
        if cleared:
            self._log_cleared(cleared, "sound at a peer")
            self._send_to_all(CrashSuspects(sound=tuple(cleared)))
        before = list(quarantine.quarantined(now))
        is_new, sound = quarantine.merge(message.candidates, now)
        for engine in {candidate.engine for candidate in message.candidates}:
            departed = self._take_departures(engine)
            for update in quarantine.record_crash(engine, departed, now):
                self._send_to_all(update)
                is_new = True
        if is_new:
            self._apply(before)
        return CrashSuspects(sound=tuple(sound)) if sound else None

    def message(self) -> CrashSuspects | None:
        """Return what other hosts should know, ``None`` for nothing."""
        candidates = self.quarantine.report(self._loop.now)
        return CrashSuspects(candidates) if candidates else None

    def _take_departures(self, engine: int) -> list[tuple[list[PartKey], int]]:
        """Remove and return the candidates that have lately left an engine.

        None count where the answer of a request had just begun, which is the better
        evidence.
        """
        latest = self._loop.now - DEPARTURE_S
        while self._departures and self._departures[0].cancelled_at < latest:
            self._drop_departure()
        found = [each for each in self._departures if each.engine == engine]
        for departure in found:
            self._departures.remove(departure)
            self._departed_keys -= len(departure.keys)
        if self.quarantine.heaviest_at(engine) >= BEGUN_WEIGHT:
            return []
        return [(each.keys, each.stage.value) for each in found]

    def _drop_departure(self) -> None:
        self._departed_keys -= len(self._departures.popleft().keys)

    def _check_engine(self, check: _Check) -> None:
        replica = check.replica

        def on_report(report: engine_wire.Report) -> None:
            self._end_check(check, has_crashed=report.born != replica.incarnation)

        fetch_engine_report(
            self._loop,
            self._pool,
            replica,
            on_report,
            lambda _reason: self._end_check(check, has_crashed=True),
            lambda: self._end_check(check, has_crashed=False),
        )

    def _end_check(self, check: _Check, *, has_crashed: bool) -> None:
        """Apply what an engine's report, or its absence, tells."""
        identity = check.replica.identity
        del self._check_by_identity[identity]
        later = self._next_check_by_identity.pop(identity, None)
        if later is not None and has_crashed:
            check.requests += later.requests
            check.on_told += later.on_told
        elif later is not None:
            self._check_by_identity[identity] = later
            self._check_engine(later)
        if has_crashed:
            self._record_crash(check)
        for on_told in check.on_told:
            on_told(has_crashed)

    def _record_crash(self, check: _Check) -> None:
        """Record the requests that were at an engine as candidates for its crash."""
        identity = check.replica.identity
        self._crashed[identity] = None
        if len(self._crashed) > CRASHES_MAX:
            self._crashed.popitem(last=False)
        now = self._loop.now
        before = list(self.quarantine.quarantined(now))
        candidates = [(keys, stage.value) for keys, stage in check.requests]
        engine = engine_key(check.replica)
        age_s = now - check.lost_at
        messages = self.quarantine.record_crash(engine, candidates, now, age_s)
        departed = self._take_departures(engine)
        messages += self.quarantine.record_crash(engine, departed, now, age_s)
        self._on_crash()
        count_by_stage = collections.Counter(stage for _, stage in check.requests)
        log_event(
            "engine_crashed",
            level="WARNING",
            replica=check.replica.name,
            begun=_format_requests(check, Stage.BEGUN),
            streaming=count_by_stage[Stage.STREAMING],
            waiting=count_by_stage[Stage.WAITING],
            dropped=self.quarantine.dropped,
        )
        for message in messages:
            self._send_to_all(message)
        self._apply(before)

    def _apply(self, before: list[Group]) -> None:
        """Log what is newly quarantined, and stop the requests that hold it."""
        known = {group.keys for group in before}
        added = []
        for group in self.quarantine.quarantined(self._loop.now):
            if group.keys not in known:
                added.append(group)
        if not added:
            return
        for group in added:
            log_event(
                "part_quarantined",
                level="WARNING",
                service=next(iter(group.keys)).service,
                part=format_keys(sorted(group.keys)),
                crashes=group.crashes,
                weak=group.is_weak,
            )
        self._on_quarantined()

    def _log_cleared(self, keys: list[PartKey], reason: str) -> None:
        for key in keys:
            log_event("part_cleared", service=key.service, part=key.part, reason=reason)


def format_keys(keys: t.Iterable[PartKey], separator: str = "+") -> str:
    """Return parts for the log, with the number of those that are left out."""
    parts = [key.part for key in keys]
    if len(parts) > LOG_PARTS_MAX:
        rest = len(parts) - LOG_PARTS_MAX
        parts[LOG_PARTS_MAX:] = [f"{rest} others"]
    return separator.join(parts)


def _format_requests(check: _Check, stage: Stage) -> str:
    """Return the parts of the requests of a stage, for the log."""
    texts = []
    for keys, reached in check.requests:
        if reached is stage:
            texts.append(format_keys(keys))
    return ",".join(texts)
