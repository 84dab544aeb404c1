"""A plain service that records each run."""

import asyncio
import time

from aiohttp import web

from .base import Json
from .base import Standin
from .base import drop
from .base import new_records
from .base import refusal


class Service(Standin):
    """Any method and path; each run gets a registration number of its own."""

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
        return [web.route("*", "/{path:.*}", self._on_call)]

    def records(self) -> Json:
        """Return each run and the counts of calls that did not run."""
        return {
            "runs": list(self._runs),
            "refused": self._refused,
            "dropped": self._dropped,
        }

    def revived(self) -> None:
        """Begin a new incarnation."""
        self.incarnation = str(int(self.incarnation) + 1)

    async def _on_call(self, request: web.Request) -> web.StreamResponse:
        if self.switches["refuse"]:
            self._refused += 1
            response = refusal(503, "refused")
            if self.switches["leaving"]:
                response.headers["X-Leaving"] = "true"
            return response
        body = await request.text()
        if self.take("drop_before"):
            self._dropped += 1
            return drop(request)
        answer = self._run(request, body)
        # Read before the wait: a call that came later must not take the fault.
        lost, cut = self.take("lose_reply"), self.take("cut_reply")
        if self.switches["run_s"]:
            await asyncio.sleep(self.switches["run_s"])
        if lost:
            return drop(request)
        response = web.json_response(answer)
        if cut:
            return await _cut(request, response)
        return response

    def _run(self, request: web.Request, body: str) -> Json:
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


async def _cut(request: web.Request, whole: web.Response) -> web.StreamResponse:
    body = bytes(whole.text or "", "utf-8")
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    # Let the first half leave before the connection is aborted.
    await asyncio.sleep(0.05)
    drop(request)
    return response
