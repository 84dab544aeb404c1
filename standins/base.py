"""Base class of the stand-ins: an HTTP server with fault switches and records."""

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
    """A switch does not exist or was given an invalid value."""


class TokenBucket:
    """A token bucket with one second of burst."""

    __slots__ = ("_level", "_updated_at", "rate")

    def __init__(self, rate: float) -> None:
        self.set_rate(rate)

    def set_rate(self, rate: float) -> None:
        """Change the rate and refill the bucket."""
        self.rate = rate
        self._level = rate
        self._updated_at = time.monotonic()

    def try_take(self, amount: float) -> float:
        """Take the amount and return 0, or return the seconds until it is available."""
        now = time.monotonic()
        self._level = min(self.rate, self._level + (now - self._updated_at) * self.rate)
        self._updated_at = now
        # An amount larger than the burst is accepted once the bucket is full.
        if self._level >= min(amount, self.rate):
            self._level -= amount
            return 0.0
        return (min(amount, self.rate) - self._level) / self.rate


def new_records() -> collections.deque[Json]:
    """Return an empty list of records that keeps the newest ``MAX_RECORDS``."""
    return collections.deque(maxlen=MAX_RECORDS)


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def not_run_response(status: int, message: str) -> web.Response:
    """Return an error response that marks the request as not run."""
    body = {"error": message, "not_run": True}
    return web.json_response(body, status=status, headers={"X-Not-Run": "true"})


def _shared_parts(request: web.Request) -> list[str]:
    """Return the ids of the parts of a prompt that requests may share."""
    entries = request.headers.get("X-Prompt-Prefix", "").split(",")[:-1]
    return [entry.partition(":")[0] for entry in entries]


class Standin:
    """An HTTP server on its own port, with fault switches."""

    # Whether to cancel a request handler when the client disconnects.
    handler_cancellation = False

    def __init__(self, name: str, config: Json) -> None:
        self.name = name
        self.port = int(config.get("port", 0))
        self.switches: Json = {
            "dead": False,
            "unavailable": False,
            "delay_s": 0.0,
            "reply_delay_s": 0.0,
            "rate_limit": 0.0,
            "says_leaving": False,
            "pause_s": 0.0,
            "deadly_part": "",
        }
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"{LOOPBACK}:{self.port}"

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        raise NotImplementedError

    def records(self) -> Json:
        """Return the requests and counts that the stand-in has recorded."""
        raise NotImplementedError

    def apply_switches(self, changes: Json) -> None:
        """Apply switches that have just changed."""

    def handle_crash(self) -> None:
        """Discard the state that a process loses in a crash."""

    def handle_restart(self) -> None:
        """Prepare to serve again under the same address."""

    def consume_switch(self, switch: str) -> bool:
        """Decrement a counted switch; return False if it is at zero."""
        if self.switches[switch] <= 0:
            return False
        self.switches[switch] -= 1
        return True

    async def switch(self, changes: Json) -> None:
        """Change switches.

        :raises SwitchError: if a switch does not exist.
        """
        unknown = changes.keys() - self.switches.keys()
        if unknown:
            raise SwitchError(f"{self.name} has no switch {sorted(unknown)}")
        was_dead = self.switches["dead"]
        self.switches.update(changes)
        self.apply_switches(changes)
        if self.switches["dead"] and not was_dead:
            await self._simulate_crash()
        if was_dead and not self.switches["dead"]:
            self.handle_restart()
            await self._listen()

    async def start(self) -> None:
        """Start to serve requests."""
        app = web.Application(
            middlewares=[self._inject_faults], client_max_size=MAX_BODY_BYTES
        )
        app.on_response_prepare.append(self._add_notices)
        app.add_routes([web.post("/_switch", self._handle_switch)])
        app.add_routes([web.get("/_records", self._handle_records)])
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
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _listen(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(
            self._runner, LOOPBACK, self.port, backlog=1024, reuse_address=True
        )
        await self._site.start()
        # Keep the port, so that a restarted stand-in has the same address.
        self.port = self._runner.addresses[0][1]

    async def _simulate_crash(self) -> None:
        assert self._runner is not None
        assert self._site is not None
        assert self._runner.server is not None
        await self._site.stop()
        self.handle_crash()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/_"):
            return await handler(request)
        if self.switches["unavailable"]:
            return not_run_response(503, "unavailable")
        deadly_part = self.switches["deadly_part"]
        if deadly_part and deadly_part in _shared_parts(request):
            await self.switch({"dead": True})
            return abort_connection(request)
        if self.switches["delay_s"]:
            await asyncio.sleep(self.switches["delay_s"])
        response = await handler(request)
        if self.switches["reply_delay_s"]:
            await asyncio.sleep(self.switches["reply_delay_s"])
        return response

    async def _add_notices(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Add what the stand-in says about itself to an answer."""
        if request.path.startswith("/_"):
            return
        if self.switches["rate_limit"]:
            response.headers["Server-Limit"] = str(self.switches["rate_limit"])
        if self.switches["says_leaving"]:
            response.headers["Server-Leaving"] = "1"
        if self.switches["pause_s"] and response.status == 503:
            response.headers["Retry-After"] = str(self.switches["pause_s"])

    async def _handle_switch(self, request: web.Request) -> web.Response:
        try:
            await self.switch(await request.json())
        except SwitchError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response({"switches": self.switches})

    async def _handle_records(self, _request: web.Request) -> web.Response:
        return web.json_response(self.records())
