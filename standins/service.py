"""A plain HTTP service that records each run."""

import asyncio
import time

from aiohttp import web

from .base import Json
from .base import Standin
from .base import abort_connection
from .base import new_records
from .base import not_run_response


class Service(Standin):
    """Accepts any method and path; each run gets a unique registration number."""

    def __init__(self, name: str, config: Json) -> None:
        super().__init__(name, config)
        self.service = str(config.get("service", name))
        self.data_centre = str(config.get("data_centre", ""))
        self.incarnation = "1"
        self.switches.update(
            refuse=False,
            leaving=False,
            lose_reply=0,
            cut_reply=0,
            drop_before=0,
            run_s=0.0,
        )
        self._runs = new_records()
        self._run_count = 0
        self._refused = 0
        self._dropped = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        return [web.route("*", "/{path:.*}", self._handle_call)]

    def records(self) -> Json:
        """Return all runs and the counts of calls that did not run."""
        return {
            "runs": list(self._runs),
            "refused": self._refused,
            "dropped": self._dropped,
        }

    def handle_restart(self) -> None:
        """Start a new incarnation."""
        self.incarnation = str(int(self.incarnation) + 1)

    async def _handle_call(self, request: web.Request) -> web.StreamResponse:
        if self.switches["refuse"]:
            self._refused += 1
            response = not_run_response(503, "refused")
            if self.switches["leaving"]:
                response.headers["X-Leaving"] = "true"
            return response
        body = await request.text()
        if self.consume_switch("drop_before"):
            self._dropped += 1
            return abort_connection(request)
        run = self._record_run(request, body)
        # Consume the fault before sleeping, or a later call could consume it first.
        lose_reply, cut_reply = (
            self.consume_switch("lose_reply"),
            self.consume_switch("cut_reply"),
        )
        if self.switches["run_s"]:
            await asyncio.sleep(self.switches["run_s"])
        if lose_reply:
            return abort_connection(request)
        response = web.json_response(run)
        if cut_reply:
            return await _send_first_half(request, response)
        return response

    def _record_run(self, request: web.Request, body: str) -> Json:
        self._run_count += 1
        run = {
            "registration": f"{self.name}-{self._run_count:06d}",
            "service": self.service,
            "method": request.method,
            "path": request.path_qs,
            "body": body,
        }
        headers = request.headers
        self._runs.append(
            {
                **run,
                "at": time.monotonic(),
                "leaving": self.switches["leaving"],
                "account": headers.get("X-Account"),
                "idempotency_key": headers.get("Idempotency-Key"),
                "request_id": headers.get("X-Request-Id"),
                "attempt": headers.get("X-Attempt"),
            }
        )
        return run


async def _send_first_half(
    request: web.Request, complete_response: web.Response
) -> web.StreamResponse:
    body = bytes(complete_response.text or "", "utf-8")
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    # Give the first half time to be sent before the connection is aborted.
    await asyncio.sleep(0.05)
    abort_connection(request)
    return response
