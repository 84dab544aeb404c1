"""What all stand-ins share: a port, switches, records and ways to die."""

import asyncio
import collections
import time
import typing as t

from aiohttp import web

Json = dict[str, t.Any]
Handler = t.Callable[[web.Request], t.Awaitable[web.StreamResponse]]

LOOPBACK = "127.0.0.1"
KEEPALIVE_S = 3600.0
MAX_RECORDS = 200_000
MAX_BODY_BYTES = 64 << 20


class SwitchError(ValueError):
    """A switch does not exist or got a wrong value."""


class Bucket:
    """A token bucket with one second of burst."""

    __slots__ = ("_at", "_level", "rate")

    def __init__(self, rate: float) -> None:
        self.set_rate(rate)

    def set_rate(self, rate: float) -> None:
        """Begin anew with a full bucket."""
        self.rate = rate
        self._level = rate
        self._at = time.monotonic()

    def wait_s(self, amount: float) -> float:
        """Take the amount, or return the seconds until it would fit."""
        now = time.monotonic()
        self._level = min(self.rate, self._level + (now - self._at) * self.rate)
        self._at = now
        # An amount above the burst passes when the bucket is full.
        if self._level >= min(amount, self.rate):
            self._level -= amount
            return 0.0
        return (min(amount, self.rate) - self._level) / self.rate


def new_records() -> collections.deque[Json]:
    """Return an empty, bounded list of records."""
    return collections.deque(maxlen=MAX_RECORDS)


def drop(request: web.Request) -> web.Response:
    """Abort the connection without a reply."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def refusal(status: int, message: str) -> web.Response:
    """Return a refusal that says that nothing ran."""
    body = {"error": message, "not_run": True}
    return web.json_response(body, status=status, headers={"X-Not-Run": "true"})


class Standin:
    """One server on its own port, with fault switches."""

    # Cancel a handler when its caller goes away.
    handler_cancellation = False

    def __init__(self, name: str, config: Json) -> None:
        self.name = name
        self.port = int(config.get("port", 0))
        self.switches: Json = {
            "dead": False,
            "unavailable": False,
            "delay_s": 0.0,
            "reply_delay_s": 0.0,
        }
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        return f"{LOOPBACK}:{self.port}"

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        raise NotImplementedError

    def records(self) -> Json:
        """Return what the stand-in saw."""
        raise NotImplementedError

    def switched(self, changes: Json) -> None:
        """Act on switches that have just changed."""

    def died(self) -> None:
        """Drop what a killed process loses."""

    def revived(self) -> None:
        """Begin a new life under the same address."""

    def take(self, switch: str) -> bool:
        """Use up one of a counted switch."""
        if self.switches[switch] <= 0:
            return False
        self.switches[switch] -= 1
        return True

    async def switch(self, changes: Json) -> None:
        """Change switches.

        :raises SwitchError: for one that does not exist.
        """
        unknown = changes.keys() - self.switches.keys()
        if unknown:
            raise SwitchError(f"{self.name} has no switch {sorted(unknown)}")
        was_dead = self.switches["dead"]
        self.switches.update(changes)
        self.switched(changes)
        if self.switches["dead"] and not was_dead:
            await self._die()
        if was_dead and not self.switches["dead"]:
            self.revived()
            await self._listen()

    async def start(self) -> None:
        """Begin to serve."""
        app = web.Application(middlewares=[self._delay], client_max_size=MAX_BODY_BYTES)
        app.add_routes([web.post("/_switch", self._on_switch)])
        app.add_routes([web.get("/_records", self._on_records)])
        app.add_routes(self.routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            handler_cancellation=self.handler_cancellation,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Stop to serve."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _listen(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(
            self._runner, LOOPBACK, self.port, backlog=1024, reuse_address=True
        )
        await self._site.start()
        # The port is kept, so that a revived stand-in has its old address.
        self.port = self._runner.addresses[0][1]

    async def _die(self) -> None:
        assert self._runner is not None
        assert self._site is not None
        assert self._runner.server is not None
        await self._site.stop()
        self.died()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def _delay(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/_"):
            return await handler(request)
        if self.switches["unavailable"]:
            return refusal(503, "unavailable")
        if self.switches["delay_s"]:
            await asyncio.sleep(self.switches["delay_s"])
        response = await handler(request)
        if self.switches["reply_delay_s"]:
            await asyncio.sleep(self.switches["reply_delay_s"])
        return response

    async def _on_switch(self, request: web.Request) -> web.Response:
        try:
            await self.switch(await request.json())
        except SwitchError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response({"switches": self.switches})

    async def _on_records(self, _request: web.Request) -> web.Response:
        return web.json_response(self.records())
