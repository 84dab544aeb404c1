"""Crashes of engines, and the requests that may have caused them."""

import dataclasses
import typing as t

from ..core.engine_costs import engine_key
from ..core.quarantine import CrashSuspects
from ..core.quarantine import PartKey
from ..core.quarantine import Quarantine
from ..core.replicas import Replica
from ..logs import log_event
from ..platform import engines as engine_wire
from .engine_report import fetch_engine_report
from .loop import Loop
from .upstream_pool import UpstreamPool


@dataclasses.dataclass(slots=True)
class _Loss:
    """Requests without an event whose connections an engine has closed at once.

    ``begun``, ``waiting``: the parts of those whose answers had begun, and of the
    others.
    """

    replica: Replica
    begun: list[PartKey] = dataclasses.field(default_factory=list)
    waiting: list[PartKey] = dataclasses.field(default_factory=list)


class CrashReports:
    """Finds out which engines have crashed, and tells the other hosts of suspects.

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

    def report_loss(
        self, replica: Replica, keys: t.Iterable[PartKey], *, has_begun: bool
    ) -> None:
        """Report a request without an event whose connection an engine has closed.

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
        (loss.begun if has_begun else loss.waiting).extend(unproven)

    def record_answer(self, keys: t.Iterable[PartKey]) -> None:
        """Record that an answer to a request with some parts has begun."""
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
        before = set(quarantine.quarantined(now))
        changed, sound = quarantine.merge(message.suspects, now)
        if changed:
            self._apply(before)
        return CrashSuspects(sound=tuple(sound)) if sound else None

    def message(self) -> CrashSuspects | None:
        """Return what other hosts should know, ``None`` for nothing."""
        suspects = self.quarantine.report(self._loop.now)
        return CrashSuspects(suspects) if suspects else None

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
        """Record the suspects: requests that had begun, or else all of them."""
        del self._loss_by_identity[loss.replica.identity]
        now = self._loop.now
        before = set(self.quarantine.quarantined(now))
        engine = engine_key(loss.replica)
        changed = self.quarantine.record_crash(
            engine, loss.begun or loss.waiting, now, has_begun=bool(loss.begun)
        )
        self._on_crash()
        log_event(
            "engine_crashed",
            level="WARNING",
            replica=loss.replica.name,
            begun=",".join(key.part for key in loss.begun),
            waiting=len(loss.waiting),
        )
        if not changed:
            return
        message = self.message()
        if message is not None:
            self._send_to_all(message)
        self._apply(before)

    def _apply(self, before: set[PartKey]) -> None:
        """Log what is newly quarantined, and stop the requests that hold it."""
        added = set(self.quarantine.quarantined(self._loop.now)) - before
        if not added:
            return
        for key in sorted(added):
            log_event(
                "part_quarantined",
                level="WARNING",
                service=key.service,
                part=key.part,
            )
        self._on_quarantined()

    def _log_cleared(self, keys: list[PartKey], reason: str) -> None:
        for key in keys:
            log_event("part_cleared", service=key.service, part=key.part, reason=reason)
