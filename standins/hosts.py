"""The host list, whose changes become visible after a delay."""

import collections
import copy
import json
import time
import typing as t
import zlib

from aiohttp import web

from .base import Json
from .base import Standin

MAX_SNAPSHOTS = 10_000


class Hosts(Standin):
    """Serves the live and leaving hosts as of ``lag_s`` seconds ago."""

    def __init__(self, name: str, config: Json) -> None:
        super().__init__(name, config)
        self.switches.update(
            lag_s=float(config.get("lag_s", 0.0)),
            add=None,
            remove=None,
            leaving=None,
            live=None,
        )
        self._entry_by_name: dict[str, Json] = {}
        self._snapshots: collections.deque[tuple[float, list[Json]]] = (
            collections.deque(maxlen=MAX_SNAPSHOTS)
        )
        self._reads = 0
        for entry in config.get("entries", []):
            self.put(entry)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        return [web.get("/v1/hosts", self._handle_hosts)]

    def records(self) -> Json:
        """Return the number of reads and the current list."""
        return {"reads": self._reads, "hosts": list(self._entry_by_name.values())}

    def put(self, entry: Json) -> None:
        """Add a host, or replace the one of the same name."""
        defaults = {"kind": "entry", "incarnation": "1", "state": "live"}
        self._entry_by_name[entry["name"]] = {**defaults, **entry}
        self._record_snapshot()

    def discard_history(self) -> None:
        """Make the current list the initial one, which is visible at once."""
        self._snapshots.clear()
        self._record_snapshot()

    def apply_switches(self, changes: Json) -> None:
        """Edit the list: ``add`` entries; ``remove``, ``leaving``, ``live`` names."""
        for entry in _as_list(changes.get("add")):
            self.put(entry)
        for name in _as_list(changes.get("remove")):
            self._entry_by_name.pop(name, None)
        for state in ("leaving", "live"):
            for name in _as_list(changes.get(state)):
                self._entry_by_name[name]["state"] = state
        self.switches.update(add=None, remove=None, leaving=None, live=None)
        self._record_snapshot()

    def _record_snapshot(self) -> None:
        hosts = copy.deepcopy(list(self._entry_by_name.values()))
        self._snapshots.append((time.monotonic(), hosts))

    def _visible_hosts(self) -> list[Json]:
        visible = time.monotonic() - self.switches["lag_s"]
        # The initial list is visible without delay.
        hosts = self._snapshots[0][1]
        for at, snapshot in self._snapshots:
            if at > visible:
                break
            hosts = snapshot
        return hosts

    async def _handle_hosts(self, request: web.Request) -> web.Response:
        self._reads += 1
        body = json.dumps({"hosts": self._visible_hosts()})
        etag = f'"{zlib.crc32(body.encode()):08x}"'
        headers = {"ETag": etag}
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers=headers)
        return web.Response(text=body, content_type="application/json", headers=headers)


def _as_list(value: t.Any) -> list[t.Any]:
    if value is None:
        return []
    return value if isinstance(value, list) else [value]
