"""Distribution of load reports: which peers get which report."""

import dataclasses
import typing as t
import zlib

from .engine import EngineState
from .messages import EngineLoad
from .pools import Engines

REFRESH_S = 30.0  # full report to all peers, changed or not
REPEAT_S = 5.0  # load to the dispatcher, changed or not
LOAD_INTERVAL_S = 1.0  # minimum time between changed loads to the dispatcher
STALE_S = 100.0  # then an engine without a report is removed
MIN_STEP_CHANGE = 0.1  # relative change of the step time that is reported
MIN_KV_CHANGE = 0.05  # reported change of the KV memory in use, over its size


@dataclasses.dataclass(slots=True)
class _SentReport:
    state: EngineState
    dispatcher: str | None
    sent_at: float
    refresh_at: float
    peers: t.Sequence[str]


def _static_fields(state: EngineState) -> tuple[t.Any, ...]:
    """Return the fields that change rarely and that every host needs."""
    return (
        state.incarnation,
        state.address,
        state.model,
        state.version,
        state.role,
        state.first,
        state.last,
        state.slots,
        state.leaving,
        state.adapters,
    )


def _load_changed(state: EngineState, sent: EngineState) -> bool:
    """Return whether the load has changed enough for a new report."""
    if (state.running, state.waiting) != (sent.running, sent.waiting):
        return True
    if abs(state.kv_used - sent.kv_used) > MIN_KV_CHANGE * max(1, state.kv_tokens):
        return True
    return abs(state.step_s - sent.step_s) > MIN_STEP_CHANGE * sent.step_s


def load_of(state: EngineState, now: float) -> EngineLoad:
    """Return the fields of a load report that change often."""
    return EngineLoad(
        state.name,
        zlib.crc32(state.incarnation.encode()),
        state.running,
        state.waiting,
        state.kv_used,
        state.step_s,
        max(0.0, now - state.as_of),
    )


def with_load(state: EngineState, load: EngineLoad, now: float) -> EngineState | None:
    """Return a report with a newer load; None if that is of another incarnation."""
    if zlib.crc32(state.incarnation.encode()) != load.incarnation:
        return None
    return dataclasses.replace(
        state,
        running=load.running,
        waiting=load.waiting,
        kv_used=load.kv_used,
        step_s=load.step_s,
        as_of=now - load.age_s,
    )


class ReportDistribution:
    """The load reports that this host has sent to its peers."""

    def __init__(self) -> None:
        self._sent_by_engine: dict[str, _SentReport] = {}
        self._stale_checked_at = 0.0

    def select_peers(
        self,
        state: EngineState,
        dispatcher: str | None,
        peers: t.Sequence[str],
        now: float,
    ) -> tuple[t.Sequence[str], t.Sequence[str]]:
        """Return the receivers of a report, and record it as sent.

        The first group gets the full report, the second only the load.
        """
        sent = self._sent_by_engine.get(state.name)
        if sent is None or _static_fields(sent.state) != _static_fields(state):
            refresh_at = now + REFRESH_S * _refresh_phase(state.name)
            self._record_sent(state, dispatcher, peers, now, refresh_at)
            return peers, ()
        if now >= sent.refresh_at:
            self._record_sent(state, dispatcher, peers, now, now + REFRESH_S)
            return peers, ()
        receivers = [peer for peer in peers if peer not in sent.peers]
        if dispatcher != sent.dispatcher and dispatcher in peers:
            receivers.append(t.cast(str, dispatcher))
        if receivers:
            self._record_sent(state, dispatcher, peers, now, sent.refresh_at)
            return list(dict.fromkeys(receivers)), ()
        wait_s = LOAD_INTERVAL_S if _load_changed(state, sent.state) else REPEAT_S
        if now - sent.sent_at < wait_s:
            return (), ()
        self._record_sent(state, dispatcher, peers, now, sent.refresh_at)
        return (), [peer for peer in peers if peer == dispatcher]

    def _record_sent(
        self,
        state: EngineState,
        dispatcher: str | None,
        peers: t.Sequence[str],
        now: float,
        refresh_at: float,
    ) -> None:
        self._sent_by_engine[state.name] = _SentReport(
            state, dispatcher, now, refresh_at, peers
        )

    def refresh_all(self) -> None:
        """Make the next report of each engine go to all peers, for a new peer."""
        for sent in self._sent_by_engine.values():
            sent.refresh_at = float("-inf")

    def stale(self, engines: Engines, now: float) -> list[EngineState]:
        """Return the engines without a report for ``STALE_S``."""
        if now - self._stale_checked_at < 1.0:
            return []
        self._stale_checked_at = now
        states = list(engines.by_name.values())
        return [state for state in states if now - state.as_of > STALE_S]


def _refresh_phase(name: str) -> float:
    """Return a fraction that spreads the refreshes of engines over time."""
    return zlib.crc32(name.encode()) / 2**32
