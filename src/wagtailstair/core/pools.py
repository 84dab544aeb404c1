"""The pools that this host dispatches, towards the entry hosts that use them."""

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

INCARNATIONS_REMEMBERED = 4  # replaced incarnations of an engine that are refused


class Pool(t.Protocol):
    """What this module needs of :class:`wagtailstair.core.pool.Pool`."""

    def want(self, want: RouteRequest, now: float) -> None:
        """Take a request in."""

    def cancel(self, request: str, epoch: int, now: float) -> None:
        """Withdraw a request."""

    def hold(self, hold: HeldGrant, now: float) -> None:
        """Take over a grant."""

    def done(self, done: GrantOutcome, now: float) -> None:
        """End a grant."""

    def observe(self, state: EngineState, now: float) -> None:
        """Take in a load report."""

    def leaving(self, engine: str) -> None:
        """Give an engine no new work."""

    def remove(self, engine: str) -> None:
        """Forget an engine."""

    def host_lost(self, host: str, now: float) -> None:
        """Withdraw everything of an entry host."""

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Return what has been decided."""
        ...

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again."""
        ...

    def stats(self) -> PoolStats:
        """Return the pool's counts."""
        ...


PoolFactory = t.Callable[[PoolKey], Pool]


class Engines:
    """The last load report of each engine of the deployment, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, EngineState] = {}
        self._replaced: dict[str, list[str]] = {}

    def observe(self, state: EngineState) -> bool:
        """Take a report; return whether it is news."""
        known = self.by_name.get(state.name)
        replaced = self._replaced.setdefault(state.name, [])
        if state.incarnation in replaced:
            return False
        if known is not None and known.incarnation != state.incarnation:
            replaced.append(known.incarnation)
            del replaced[:-INCARNATIONS_REMEMBERED]
        elif known is not None and state.as_of < known.as_of:
            return False
        elif known is not None and known.leaving and not state.leaving:
            state = dataclasses.replace(state, leaving=True)
        self.by_name[state.name] = state
        return True

    def remove(self, message: EngineLost) -> bool:
        """Forget an engine; return whether it was known."""
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
    """Tell a pool of a load report."""
    pool.observe(state, now)
    if state.leaving:
        pool.leaving(state.name)


Answer = Granted | Refused | Queued


class Pools:
    """The pools whose dispatcher this host is, or lately was.

    In a pool, the request is named by the entry host, its incarnation and the
    handle; the host by the entry host, its incarnation and the era.
    """

    def __init__(self, make_pool: PoolFactory, engines: Engines) -> None:
        self.by_key: dict[PoolKey, Pool] = {}
        self._make_pool = make_pool
        self._engines = engines
        self._eras_by_sender: dict[str, set[int]] = {}
        self._floor_by_sender: dict[str, int] = {}
        self._asked: set[tuple[str, int]] = set()
        self._changed: set[PoolKey] = set()

    def submit(self, sender: str, message: Submit, now: float) -> None:
        """Take a submission; :meth:`poll` gives the answer."""
        if not self._admit(sender, message.handle):
            return
        want = self._name(sender, message.handle, message.want, now)
        self._pool(message.key, now).want(want, now)
        self._asked.add((sender, message.handle))

    def withdraw(self, sender: str, message: Withdraw, now: float) -> None:
        """Withdraw a submission or end its grant."""
        if not self._admit(sender, message.handle):
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
        if not self._admit(sender, message.handle):
            return
        done = GrantOutcome(
            f"{sender}/{message.handle}",
            0,
            self._host(sender, message.handle),
            message.prompt_tokens,
            message.output_tokens,
            message.failed,
        )
        self._pool(message.key, now).done(done, now)

    def adopt_grant(self, sender: str, message: Held, now: float) -> None:
        """Take over a grant that another dispatcher gave."""
        if not self._admit(sender, message.handle):
            return
        want = self._name(sender, message.handle, message.want, now)
        hold = HeldGrant(want, message.route, message.tokens_done)
        self._pool(message.key, now).hold(hold, now)

    def reset(self, sender: str, era: int, now: float) -> None:
        """Forget what an entry host told in earlier eras."""
        if era <= self._floor_by_sender.get(sender, 0):
            return
        self._floor_by_sender[sender] = era
        eras = self._eras_by_sender.get(sender, set())
        for old in [old for old in eras if old < era]:
            eras.discard(old)
            self._lose(f"{sender}/{old}", now)

    def host_lost(self, sender: str, now: float) -> None:
        """Forget all that an entry host holds and waits for.

        The floor stays, since late messages of earlier eras may still come.
        """
        for era in self._eras_by_sender.pop(sender, set()):
            self._lose(f"{sender}/{era}", now)

    def forget(self, sender: str) -> None:
        """Drop the floor of an incarnation that is replaced."""
        self._floor_by_sender.pop(sender, None)

    def observe(self, state: EngineState, now: float) -> None:
        """Take in a load report; an engine belongs to one pool at a time."""
        for key, pool in self.by_key.items():
            if is_in_pool(state, key):
                observe_in(pool, state, now)
                self._changed.add(key)
                continue
            pool.remove(state.name)

    def remove(self, engine: str) -> None:
        """Forget an engine that is gone."""
        for pool in self.by_key.values():
            pool.remove(engine)

    def mark_all_changed(self) -> None:
        """Make the next :meth:`poll` look at all pools, as time has passed."""
        self._changed.update(self.by_key)

    def poll(self, now: float) -> list[tuple[str, Answer]]:
        """Return the answers with the incarnations (``name/number``) they go to.

        Only pools that have changed are looked at.
        """
        answers: list[tuple[str, Answer]] = []
        while self._changed:
            for decided in self.by_key[self._changed.pop()].poll(now):
                sender, _, number = decided.request.rpartition("/")
                answers.append((sender, _answer(int(number), decided)))
                self._asked.discard((sender, int(number)))
        for sender, handle in self._asked:
            answers.append((sender, Queued(handle)))
        self._asked.clear()
        return answers

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again if no event comes before."""
        times = [pool.next_wake(now) for pool in self.by_key.values()]
        return min((time for time in times if time is not None), default=None)

    def _admit(self, sender: str, handle: int) -> bool:
        era = handle >> ERA_SHIFT
        if era < self._floor_by_sender.get(sender, 0):
            return False
        self._eras_by_sender.setdefault(sender, set()).add(era)
        return True

    def _host(self, sender: str, handle: int) -> str:
        return f"{sender}/{handle >> ERA_SHIFT}"

    def _name(
        self, sender: str, handle: int, want: RouteRequest, now: float
    ) -> RouteRequest:
        return dataclasses.replace(
            want,
            request=f"{sender}/{handle}",
            epoch=0,
            host=self._host(sender, handle),
            deadline=now + want.deadline,
        )

    def _pool(self, key: PoolKey, now: float) -> Pool:
        self._changed.add(key)
        pool = self.by_key.get(key)
        if pool is None:
            pool = self.by_key[key] = self._make_pool(key)
            for state in self._engines.of(key):
                observe_in(pool, state, now)
        return pool

    def _lose(self, host: str, now: float) -> None:
        for pool in self.by_key.values():
            pool.host_lost(host, now)
        self.mark_all_changed()


def _answer(handle: int, decided: Grant | Refusal) -> Answer:
    if isinstance(decided, Grant):
        return Granted(handle, decided.route)
    return Refused(handle, decided.reason, decided.retry_after_s)
