"""Pools that this host dispatches on behalf of entry hosts."""

import dataclasses
import typing as t

from .engine import EngineState
from .grants import Grant
from .grants import GrantOutcome
from .grants import HeldGrant
from .grants import Refusal
from .grants import RouteRequest
from .messages import ERA_SHIFT
from .messages import EngineLost
from .messages import Finished
from .messages import Granted
from .messages import Held
from .messages import PoolKey
from .messages import Queued
from .messages import Refused
from .messages import Submit
from .messages import Withdraw
from .pool import PoolStats

MAX_REPLACED_INCARNATIONS = 4  # of each engine; late reports of them are ignored


class Pool(t.Protocol):
    """The interface of :class:`wagtailstair.core.pool.Pool` used here."""

    def submit(self, item: RouteRequest, now: float) -> None:
        """Queue a request."""

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """Remove a waiting request, or end its grant."""

    def adopt_grant(self, held_grant: HeldGrant, now: float) -> None:
        """Adopt a grant of another dispatcher."""

    def end_grant(self, outcome: GrantOutcome, now: float) -> None:
        """End a grant."""

    def observe(self, state: EngineState, now: float) -> None:
        """Apply a load report."""

    def mark_leaving(self, engine: str) -> None:
        """Give an engine no new work."""

    def remove(self, engine: str) -> None:
        """Remove an engine."""

    def cancel_host(self, host: str, now: float) -> None:
        """Cancel the requests and grants of an entry host."""

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Return the grants and refusals since the last call."""
        ...

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again."""
        ...

    def stats(self) -> PoolStats:
        """Return the pool's counts."""
        ...


PoolFactory = t.Callable[[PoolKey], Pool]


class Engines:
    """The latest load report of each engine of the deployment, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, EngineState] = {}
        self._replaced: dict[str, list[str]] = {}

    def observe(self, state: EngineState) -> bool:
        """Apply a report; return False for an outdated one."""
        known = self.by_name.get(state.name)
        replaced = self._replaced.setdefault(state.name, [])
        if state.incarnation in replaced:
            return False
        if known is not None and known.incarnation != state.incarnation:
            replaced.append(known.incarnation)
            del replaced[:-MAX_REPLACED_INCARNATIONS]
        elif known is not None and state.as_of < known.as_of:
            return False
        elif known is not None and known.leaving and not state.leaving:
            state = dataclasses.replace(state, leaving=True)
        self.by_name[state.name] = state
        return True

    def remove(self, message: EngineLost) -> bool:
        """Remove an engine; return whether this incarnation was known."""
        known = self.by_name.get(message.name)
        if known is None or known.incarnation != message.incarnation:
            return False
        del self.by_name[message.name]
        return True

    def of(self, key: PoolKey) -> t.Iterator[EngineState]:
        """Iterate over the engines of a pool."""
        for state in self.by_name.values():
            if is_in_pool(state, key):
                yield state


def is_in_pool(state: EngineState, key: PoolKey) -> bool:
    """Return whether an engine belongs to a pool."""
    return state.model == key.model and state.data_centre == key.data_centre


def observe_in(pool: Pool, state: EngineState, now: float) -> None:
    """Pass a load report to a pool."""
    pool.observe(state, now)
    if state.leaving:
        pool.mark_leaving(state.name)


Answer = Granted | Refused | Queued


class Pools:
    """The pools whose dispatcher this host is, or recently was.

    In a pool, a request is identified by ``host/incarnation/handle`` and its
    entry host by ``host/incarnation/era``. Messages of an era below the
    sender's minimum are ignored.
    """

    def __init__(self, make_pool: PoolFactory, engines: Engines) -> None:
        self.by_key: dict[PoolKey, Pool] = {}
        self._make_pool = make_pool
        self._engines = engines
        self._eras_by_sender: dict[str, set[int]] = {}
        self._min_era_by_sender: dict[str, int] = {}
        self._unanswered: set[tuple[str, int]] = set()
        self._changed: set[PoolKey] = set()

    def submit(self, sender: str, message: Submit, now: float) -> None:
        """Queue a submission; :meth:`poll` returns the answer."""
        if not self._accept_era(sender, message.handle):
            return
        item = self._identify(sender, message.handle, message.route_request, now)
        self._pool(message.key, now).submit(item, now)
        self._unanswered.add((sender, message.handle))

    def withdraw(self, sender: str, message: Withdraw, now: float) -> None:
        """Withdraw a submission or end its grant; without a pool key, in every pool."""
        if not self._accept_era(sender, message.handle):
            return
        request = f"{sender}/{message.handle}"
        if message.key is not None:
            self._pool(message.key, now).cancel(request, 0, now)
            return
        for pool in self.by_key.values():
            pool.cancel(request, 0, now)
        self.mark_all_changed()

    def end_grant(self, sender: str, message: Finished, now: float) -> None:
        """End a grant."""
        if not self._accept_era(sender, message.handle):
            return
        outcome = GrantOutcome(
            f"{sender}/{message.handle}",
            0,
            self._entry_host(sender, message.handle),
            message.prompt_tokens,
            message.output_tokens,
            message.failed,
        )
        self._pool(message.key, now).end_grant(outcome, now)

    def adopt_grant(self, sender: str, message: Held, now: float) -> None:
        """Adopt a grant of another dispatcher."""
        if not self._accept_era(sender, message.handle):
            return
        item = self._identify(sender, message.handle, message.route_request, now)
        held_grant = HeldGrant(item, message.route, message.tokens_done)
        self._pool(message.key, now).adopt_grant(held_grant, now)

    def reset(self, sender: str, era: int, now: float) -> None:
        """Cancel the requests and grants of an entry host's earlier eras."""
        if era <= self._min_era_by_sender.get(sender, 0):
            return
        self._min_era_by_sender[sender] = era
        eras = self._eras_by_sender.get(sender, set())
        for old in [old for old in eras if old < era]:
            eras.discard(old)
            self._cancel_era(f"{sender}/{old}", now)

    def cancel_host(self, sender: str, now: float) -> None:
        """Cancel all requests and grants of an entry host.

        The minimum era stays, since late messages of earlier eras may arrive.
        """
        for era in self._eras_by_sender.pop(sender, set()):
            self._cancel_era(f"{sender}/{era}", now)

    def drop_min_era(self, sender: str) -> None:
        """Drop the minimum era of a replaced incarnation."""
        self._min_era_by_sender.pop(sender, None)

    def observe(self, state: EngineState, now: float) -> None:
        """Apply a load report; an engine belongs to one pool at a time."""
        for key, pool in self.by_key.items():
            if is_in_pool(state, key):
                observe_in(pool, state, now)
                self._changed.add(key)
                continue
            pool.remove(state.name)

    def remove(self, engine: str) -> None:
        """Remove an engine."""
        for pool in self.by_key.values():
            pool.remove(engine)

    def mark_all_changed(self) -> None:
        """Make the next :meth:`poll` examine all pools, as time has passed."""
        self._changed.update(self.by_key)

    def poll(self, now: float) -> list[tuple[str, Answer]]:
        """Return the answers, each with its receiver as ``host/incarnation``.

        Only pools that have changed since the last call are polled.
        """
        answers: list[tuple[str, Answer]] = []
        while self._changed:
            for decision in self.by_key[self._changed.pop()].poll(now):
                sender, _, number = decision.request.rpartition("/")
                answers.append((sender, _to_answer(int(number), decision)))
                self._unanswered.discard((sender, int(number)))
        for sender, handle in self._unanswered:
            answers.append((sender, Queued(handle)))
        self._unanswered.clear()
        return answers

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again if no event occurs before."""
        times = [pool.next_wake(now) for pool in self.by_key.values()]
        return min((time for time in times if time is not None), default=None)

    def _accept_era(self, sender: str, handle: int) -> bool:
        era = handle >> ERA_SHIFT
        if era < self._min_era_by_sender.get(sender, 0):
            return False
        self._eras_by_sender.setdefault(sender, set()).add(era)
        return True

    def _entry_host(self, sender: str, handle: int) -> str:
        return f"{sender}/{handle >> ERA_SHIFT}"

    def _identify(
        self, sender: str, handle: int, item: RouteRequest, now: float
    ) -> RouteRequest:
        return dataclasses.replace(
            item,
            request=f"{sender}/{handle}",
            epoch=0,
            host=self._entry_host(sender, handle),
            deadline=now + item.deadline,
        )

    def _pool(self, key: PoolKey, now: float) -> Pool:
        self._changed.add(key)
        pool = self.by_key.get(key)
        if pool is None:
            pool = self.by_key[key] = self._make_pool(key)
            for state in self._engines.of(key):
                observe_in(pool, state, now)
        return pool

    def _cancel_era(self, host: str, now: float) -> None:
        for pool in self.by_key.values():
            pool.cancel_host(host, now)
        self.mark_all_changed()


def _to_answer(handle: int, decision: Grant | Refusal) -> Answer:
    if isinstance(decision, Grant):
        return Granted(handle, decision.route)
    return Refused(handle, decision.reason, decision.retry_after_s)
