"""Crashes of engines, and the requests that may have caused them."""

import collections
import dataclasses
import enum
import typing as t

from ..core.engine_costs import engine_key
from ..core.quarantine import BEGUN_WEIGHT
from ..core.quarantine import STREAMING_WEIGHT
from ..core.quarantine import WAITING_WEIGHT
from ..core.quarantine import CrashSuspects
from ..core.quarantine import Group
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


class Stage(enum.IntEnum):
    """How far an answer has come; the value is the weight of a crash there."""

    WAITING = WAITING_WEIGHT
    BEGUN = BEGUN_WEIGHT
    STREAMING = STREAMING_WEIGHT


@dataclasses.dataclass(slots=True)
class _Loss:
    """Requests whose connections an engine has closed at once.

    ``requests``: the parts of each, and how far its answer had come.
    """

    replica: Replica
    requests: list[tuple[list[PartKey], Stage]] = dataclasses.field(
        default_factory=list
    )


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
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        on_crash: t.Callable[[], None],
        on_quarantined: t.Callable[[], None],
        send_to_all: t.Callable[[CrashSuspects], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._on_crash = on_crash
        self._on_quarantined = on_quarantined
        self._send_to_all = send_to_all
        self.quarantine = Quarantine()
        self._loss_by_identity: dict[tuple[str, int], _Loss] = {}
        self._departures: collections.deque[_Departure] = collections.deque(
            maxlen=DEPARTURES_MAX
        )
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
        if not unproven:
            return
        loss = self._loss_by_identity.get(replica.identity)
        if loss is None:
            loss = self._loss_by_identity[replica.identity] = _Loss(replica)
            self._check_engine(loss)
        loss.requests.append((unproven, stage))

    def report_departure(
        self, replica: Replica, keys: t.Iterable[PartKey], stage: Stage
    ) -> None:
        """Report a request that this host has cancelled before its answer ended."""
        now = self._loop.now
        unproven = self.quarantine.unproven(keys, now)
        if unproven:
            departure = _Departure(now, engine_key(replica), unproven, stage)
            self._departures.append(departure)

    def has_crashed(self, identities: t.Iterable[tuple[str, int]]) -> bool:
        """Return whether one of some engines is known to have crashed."""
        return any(identity in self._crashed for identity in identities)

    def record_answer(
        self, shared: t.Sequence[PartKey], own: t.Iterable[PartKey]
    ) -> None:
        """Record that an answer to a request has ended whole.

        :param shared: parts of its prompt that other requests may hold.
        :param own: what only this request holds, which need not be remembered unless
            it is a candidate for a crash.
        """
        keys = [*shared, *self.quarantine.candidates(own)]
        cleared = self.quarantine.record_sound(keys, self._loop.now)
        if cleared:
            self._log_cleared(cleared, "answered")
            self._send_to_all(CrashSuspects(sound=tuple(cleared)))

    def on_message(self, message: CrashSuspects) -> CrashSuspects | None:
        """Apply what another host knows; return a reply for it, if there is one."""
        quarantine, now = self.quarantine, self._loop.now
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
            self._departures.popleft()
        found = [each for each in self._departures if each.engine == engine]
        for departure in found:
            self._departures.remove(departure)
        if self.quarantine.heaviest_at(engine) >= BEGUN_WEIGHT:
            return []
        return [(each.keys, each.stage.value) for each in found]

    def _check_engine(self, loss: _Loss) -> None:
        replica = loss.replica

        def on_report(report: engine_wire.Report) -> None:
            if report.born != replica.incarnation:
                self._record_crash(loss)
                return
            del self._loss_by_identity[replica.identity]

        def on_unreadable() -> None:
            del self._loss_by_identity[replica.identity]

        fetch_engine_report(
            self._loop,
            self._pool,
            replica,
            on_report,
            lambda _reason: self._record_crash(loss),
            on_unreadable,
        )

    def _record_crash(self, loss: _Loss) -> None:
        """Record the requests that were at an engine as candidates for its crash."""
        identity = loss.replica.identity
        del self._loss_by_identity[identity]
        self._crashed[identity] = None
        if len(self._crashed) > CRASHES_MAX:
            self._crashed.popitem(last=False)
        now = self._loop.now
        before = list(self.quarantine.quarantined(now))
        candidates = [(keys, stage.value) for keys, stage in loss.requests]
        engine = engine_key(loss.replica)
        messages = self.quarantine.record_crash(engine, candidates, now)
        departed = self._take_departures(engine)
        messages += self.quarantine.record_crash(engine, departed, now)
        self._on_crash()
        count_by_stage = collections.Counter(stage for _, stage in loss.requests)
        log_event(
            "engine_crashed",
            level="WARNING",
            replica=loss.replica.name,
            begun=_format_requests(loss, Stage.BEGUN),
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
            keys = sorted(group.keys)
            log_event(
                "part_quarantined",
                level="WARNING",
                service=keys[0].service,
                part="+".join(key.part for key in keys),
                crashes=group.crashes,
            )
        self._on_quarantined()

    def _log_cleared(self, keys: list[PartKey], reason: str) -> None:
        for key in keys:
            log_event("part_cleared", service=key.service, part=key.part, reason=reason)


def _format_requests(loss: _Loss, stage: Stage) -> str:
    """Return the parts of the requests of a stage, for the log."""
    texts = []
    for keys, reached in loss.requests:
        if reached is stage:
            texts.append("+".join(key.part for key in keys))
    return ",".join(texts)
