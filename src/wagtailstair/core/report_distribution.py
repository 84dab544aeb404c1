"""Which load reports are worth sending to which peers."""

import dataclasses
import typing as t
import zlib

from .engine import EngineState
from .messages import EngineLoad
from .pools import Engines

REFRESH_S = 30.0  # to all peers, changed or not
REPEAT_S = 5.0  # to the dispatcher, changed or not
LOAD_INTERVAL_S = 1.0  # to the dispatcher, at most so often
STALE_S = 100.0  # without any report, an engine is forgotten
STEP_CHANGE = 0.1  # relative change of the step time that matters
KV_CHANGE = 0.05  # change of the KV memory in use that matters, of its size


@dataclasses.dataclass(slots=True)
class _Sent:
    state: EngineState
    dispatcher: str | None
    at: float
    refresh_at: float
    peers: t.Sequence[str]


def _shape(state: EngineState) -> tuple[t.Any, ...]:
    """Return what changes seldom and matters to every host."""
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
    """Return whether the load differs enough to matter to the dispatcher."""
    if (state.running, state.waiting) != (sent.running, sent.waiting):
        return True
    if abs(state.kv_used - sent.kv_used) > KV_CHANGE * max(1, state.kv_tokens):
        return True
    return abs(state.step_s - sent.step_s) > STEP_CHANGE * sent.step_s


def load_of(state: EngineState, now: float) -> EngineLoad:
    """Return what changes often of a load report."""
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
    """Return a report with a newer load; None if it is of another incarnation."""
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
    """What the peers have been told of the engines that this host polls."""

    def __init__(self) -> None:
        self._sent_by_engine: dict[str, _Sent] = {}
        self._stale_checked_at = 0.0

    def select_peers(
        self,
        state: EngineState,
        dispatcher: str | None,
        peers: t.Sequence[str],
        now: float,
    ) -> tuple[t.Sequence[str], t.Sequence[str]]:
        """Return the peers to tell of a report, and note that they were told.

        The first need the whole report, the second what changes often.
        """
        sent = self._sent_by_engine.get(state.name)
        if sent is None or _shape(sent.state) != _shape(state):
            refresh_at = now + REFRESH_S * _phase(state.name)
            self._note(state, dispatcher, peers, now, refresh_at)
            return peers, ()
        if now >= sent.refresh_at:
            self._note(state, dispatcher, peers, now, now + REFRESH_S)
            return peers, ()
        new = [peer for peer in peers if peer not in sent.peers]
        if dispatcher != sent.dispatcher and dispatcher in peers:
            new.append(t.cast(str, dispatcher))
        if new:
            self._note(state, dispatcher, peers, now, sent.refresh_at)
            return list(dict.fromkeys(new)), ()
        wait_s = LOAD_INTERVAL_S if _load_changed(state, sent.state) else REPEAT_S
        if now - sent.at < wait_s:
            return (), ()
        self._note(state, dispatcher, peers, now, sent.refresh_at)
        return (), [peer for peer in peers if peer == dispatcher]

    def _note(
        self,
        state: EngineState,
        dispatcher: str | None,
        peers: t.Sequence[str],
        now: float,
        refresh_at: float,
    ) -> None:
        self._sent_by_engine[state.name] = _Sent(
            state, dispatcher, now, refresh_at, peers
        )

    def refresh_all(self) -> None:
        """Make the next report of each engine go to all peers, as one is new."""
        for sent in self._sent_by_engine.values():
            sent.refresh_at = float("-inf")

    def stale(self, engines: Engines, now: float) -> list[EngineState]:
        """Return the engines of which no report has come for too long."""
        if now - self._stale_checked_at < 1.0:
            return []
        self._stale_checked_at = now
        states = list(engines.by_name.values())
        return [state for state in states if now - state.as_of > STALE_S]


def _phase(name: str) -> float:
    """Return a fraction that spreads the refreshes of engines over time."""
    return zlib.crc32(name.encode()) / 2**32
