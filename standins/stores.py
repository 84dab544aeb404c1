"""The object store and the rate-limited weight store."""

import collections

from aiohttp import web

from .base import Json
from .base import Standin
from .base import TokenBucket

WEIGHT_BYTES_PER_S = 1e9


class Objects(Standin):
    """Stores bytes by name."""

    def __init__(self, name: str, config: Json) -> None:
        super().__init__(name, config)
        self._bytes_by_name: dict[str, bytes] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        return [
            web.put("/v1/objects/{name:.+}", self._handle_put),
            web.get("/v1/objects/{name:.+}", self._handle_get),
        ]

    def records(self) -> Json:
        """Return request counts and the stored names."""
        return {"counts": dict(self._counts), "names": sorted(self._bytes_by_name)}

    async def _handle_put(self, request: web.Request) -> web.Response:
        self._counts["puts"] += 1
        self._bytes_by_name[request.match_info["name"]] = await request.read()
        return web.Response()

    async def _handle_get(self, request: web.Request) -> web.Response:
        self._counts["gets"] += 1
        body = self._bytes_by_name.get(request.match_info["name"])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body, content_type="application/octet-stream")


class Weights(Standin):
    """Serves weights at a limited rate in bytes per second."""

    def __init__(self, name: str, config: Json) -> None:
        super().__init__(name, config)
        rate = float(config.get("bytes_per_s", WEIGHT_BYTES_PER_S))
        self.switches.update(bytes_per_s=rate)
        self._bucket = TokenBucket(rate)
        self._counts: collections.Counter[str] = collections.Counter()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        return [web.post("/v1/weights/fetch", self._handle_fetch)]

    def records(self) -> Json:
        """Return counts of fetches, bytes and refusals."""
        return {"counts": dict(self._counts)}

    def apply_switches(self, changes: Json) -> None:
        """Apply a new rate."""
        if "bytes_per_s" in changes:
            self._bucket.set_rate(self.switches["bytes_per_s"])

    def fetch(self, size: float) -> float:
        """Take bytes and return 0, or return the seconds to wait."""
        if self.switches["dead"] or self.switches["unavailable"]:
            return 1.0
        wait_s = self._bucket.try_take(size)
        self._counts["refused" if wait_s > 0 else "fetches"] += 1
        if wait_s <= 0:
            self._counts["bytes"] += int(size)
        return wait_s

    async def _handle_fetch(self, request: web.Request) -> web.Response:
        body = await request.json()
        wait_s = self.fetch(float(body["bytes"]))
        if wait_s > 0:
            headers = {"Retry-After": f"{wait_s:.3f}"}
            return web.json_response({"error": "rate"}, status=429, headers=headers)
        return web.json_response({})
