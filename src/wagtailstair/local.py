"""Pools and quota of one daemon that stands alone."""

import concurrent.futures
import threading

from .clock import Clock
from .core.demand import Done
from .core.demand import Grant
from .core.demand import Refusal
from .core.demand import Want
from .core.engine import EngineState
from .core.pool import Pool
from .core.pool import PoolLimits
from .core.quota import Allowed
from .core.quota import Limited
from .core.quota import Quota
from .core.quota import QuotaLimits
from .upstreams.loop import Loop

POLL_INTERVAL_S = 0.05

Answer = Grant | Refusal
PoolKey = tuple[str, str]


class LocalDispatch:
    """Runs the pools in the loop's thread."""

    def __init__(self, loop: Loop, clock: Clock, limits: PoolLimits) -> None:
        self._loop = loop
        self._clock = clock
        self._limits = limits
        self._pool_by_key: dict[PoolKey, Pool] = {}
        self._future_by_epoch: dict[
            tuple[str, int], concurrent.futures.Future[Answer]
        ] = {}

    def start(self) -> None:
        """Begin to poll the pools."""
        self._loop.call(self._tick)

    def submit(
        self, model: str, data_centre: str, want: Want
    ) -> "concurrent.futures.Future[Answer]":
        """Ask for a route."""
        future: concurrent.futures.Future[Answer] = concurrent.futures.Future()

        def submit() -> None:
            self._future_by_epoch[want.request, want.epoch] = future
            pool = self._pool(model, data_centre)
            pool.want(want, self._clock.monotonic())
            self._poll(pool)

        self._loop.call(submit)
        return future

    def done(self, model: str, data_centre: str, done: Done) -> None:
        """Give a grant back."""

        def finish() -> None:
            pool = self._pool(model, data_centre)
            pool.done(done, self._clock.monotonic())
            self._poll(pool)

        self._loop.call(finish)

    def cancel(self, model: str, data_centre: str, request: str, epoch: int) -> None:
        """Take a want back."""

        def cancel() -> None:
            self._future_by_epoch.pop((request, epoch), None)
            pool = self._pool(model, data_centre)
            pool.cancel(request, epoch, self._clock.monotonic())

        self._loop.call(cancel)

    def observe(self, state: EngineState) -> None:
        """Take a load report; only from the loop's thread."""
        pool = self._pool(state.model, state.data_centre)
        pool.observe(state, self._clock.monotonic())
        self._poll(pool)

    def remove(self, engine: str) -> None:
        """Forget an engine; only from the loop's thread."""
        for pool in self._pool_by_key.values():
            pool.remove(engine)

    def data_centres_of(self, model: str) -> list[str]:
        """Return the data centres with a pool of a model."""
        found = []
        for name, data_centre in tuple(self._pool_by_key):
            if name == model:
                found.append(data_centre)
        return sorted(found)

    def _pool(self, model: str, data_centre: str) -> Pool:
        key = (model, data_centre)
        pool = self._pool_by_key.get(key)
        if pool is None:
            pool = Pool(model, data_centre, self._limits)
            self._pool_by_key[key] = pool
        return pool

    def _tick(self) -> None:
        for pool in self._pool_by_key.values():
            self._poll(pool)
        self._loop.call_later(POLL_INTERVAL_S, self._tick)

    def _poll(self, pool: Pool) -> None:
        for answer in pool.poll(self._clock.monotonic()):
            key = (answer.request, answer.epoch)
            future = self._future_by_epoch.pop(key, None)
            if future is not None:
                future.set_result(answer)


class LocalQuota:
    """Keeps the limits of accounts for this daemon alone."""

    def __init__(self, clock: Clock, host: str) -> None:
        self._clock = clock
        self._host = host
        self._quota = Quota()
        self._lock = threading.Lock()

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits
    ) -> "concurrent.futures.Future[Allowed | Limited]":
        """Open a request and charge its expected work."""
        future: concurrent.futures.Future[Allowed | Limited]
        future = concurrent.futures.Future()
        now = self._clock.monotonic()
        with self._lock:
            answer = self._quota.charge(account, request, self._host, work, limits, now)
        future.set_result(answer)
        return future

    def settle(self, account: str, request: str, work: float) -> None:
        """Close a request at what it really cost."""
        with self._lock:
            self._quota.settle(account, request, work, self._clock.monotonic())
