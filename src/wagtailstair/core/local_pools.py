"""Local pools that replace the dispatcher of a pool while it does not answer."""

import dataclasses
import typing as t

from .engine import EngineState
from .grants import Grant
from .grants import Refusal
from .messages import PoolKey
from .pools import Engines
from .pools import Pool
from .pools import PoolFactory
from .pools import is_in_pool
from .pools import observe_in

MAX_POOLS = 64


class LocalPools:
    """Pools that grant this host's share of each engine.

    ``host_count``: number of hosts among which the engines' slots and memory are
    divided.
    """

    def __init__(self, make_pool: PoolFactory, engines: Engines) -> None:
        self.by_key: dict[PoolKey, Pool] = {}
        self.host_count = 1
        self._make_pool = make_pool
        self._engines = engines

    def make(self, key: PoolKey, now: float) -> Pool:
        """Create a pool; if there are ``MAX_POOLS`` already, drop them all first."""
        if len(self.by_key) >= MAX_POOLS:
            self.by_key.clear()
        pool = self.by_key[key] = self._make_pool(key)
        for state in self._engines.of(key):
            observe_in(pool, self._scale(state), now)
        return pool

    def observe(self, state: EngineState, now: float) -> None:
        """Apply a load report."""
        for key, pool in self.by_key.items():
            if is_in_pool(state, key):
                observe_in(pool, self._scale(state), now)
                continue
            pool.remove(state.name)

    def remove(self, engine: str) -> None:
        """Remove an engine."""
        for pool in self.by_key.values():
            pool.remove(engine)

    def poll(self, now: float) -> t.Iterator[Grant | Refusal]:
        """Iterate over the grants and refusals since the last call."""
        for pool in self.by_key.values():
            yield from pool.poll(now)

    def next_wake(self, now: float) -> float | None:
        """Return when to poll again if no event occurs before."""
        times = [pool.next_wake(now) for pool in self.by_key.values()]
        return min((time for time in times if time is not None), default=None)

    def _scale(self, state: EngineState) -> EngineState:
        """Return the state of an engine with this host's share of slots and memory."""
        return dataclasses.replace(
            state,
            slots=max(1, state.slots // self.host_count),
            kv_tokens=max(1, state.kv_tokens // self.host_count),
            kv_used=state.kv_used // self.host_count,
            running=0,
            waiting=0,
        )
