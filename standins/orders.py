"""Orders to an engine, with fencing numbers that it checks or ignores."""

import asyncio
import time
import typing as t

from .base import Json
from .base import new_records

if t.TYPE_CHECKING:
    from .engine import Engine

LAYER_BYTES = 1e6
LOAD_S = 0.2
DRAIN_POLL_S = 0.02


class Orders:
    """Receives and executes the orders of one engine."""

    __slots__ = ("_engine", "_layer_bytes", "_load_s", "_tasks", "fence", "records")

    def __init__(self, engine: "Engine", config: Json) -> None:
        self._engine = engine
        self._layer_bytes = float(config.get("layer_bytes", LAYER_BYTES))
        self._load_s = float(config.get("load_s", LOAD_S))
        self._tasks: set[asyncio.Task[None]] = set()
        self.fence = 0
        self.records = new_records()

    @property
    def loading(self) -> bool:
        """Whether an order is still being executed."""
        return bool(self._tasks)

    def accept(self, order: Json) -> bool:
        """Start an order; return False for a stale fencing number."""
        stale = order["fence"] < self.fence
        accepted = not (stale and self._engine.fencing == "checked")
        self.records.append({"at": time.monotonic(), "accepted": accepted, **order})
        if not accepted:
            return False
        self.fence = order["fence"]
        task = asyncio.get_running_loop().create_task(self._execute(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _execute(self, order: Json) -> None:
        engine = self._engine
        kind = order["kind"]
        if kind == "role":
            engine.role = order["role"]
            return
        adapter = order.get("adapter", "")
        if kind == "unload" and adapter:
            engine.adapters = [name for name in engine.adapters if name != adapter]
            return
        if kind == "load" and adapter and order["model"] == engine.model:
            await self._fetch_weights(self._layer_bytes)
            engine.adapters = sorted({*engine.adapters, adapter})
            return
        while engine.running:
            await asyncio.sleep(DRAIN_POLL_S)
        engine.cache.clear()
        if kind == "unload":
            engine.model, engine.adapters = "", []
            return
        await self._fetch_weights(self._layer_bytes * (order["last"] - order["first"]))
        engine.model, engine.version = order["model"], order["version"]
        engine.first, engine.last = order["first"], order["last"]
        engine.role = order.get("role") or engine.role
        engine.adapters = []

    async def _fetch_weights(self, size: float) -> None:
        weights = self._engine.fleet.weights
        while weights is not None:
            wait_s = weights.fetch(size)
            if wait_s <= 0:
                break
            await asyncio.sleep(wait_s)
        await asyncio.sleep(self._load_s)
