"""All stand-ins of one process, and the control port for their switches."""

from aiohttp import web

from .base import LOOPBACK
from .base import Json
from .base import Standin
from .base import SwitchError
from .decoding import Fleet
from .engine import Engine
from .hosts import Hosts
from .service import Service
from .stores import Objects
from .stores import Weights
from .table import Table

SINGLE_BY_SECTION = {
    "table": Table,
    "hosts": Hosts,
    "objects": Objects,
    "weights": Weights,
}


class World:
    """The stand-ins that a configuration names."""

    def __init__(self, config: Json) -> None:
        self.standin_by_name: dict[str, Standin] = {}
        self._fleet = Fleet()
        for section, kind in SINGLE_BY_SECTION.items():
            if section in config:
                self._add(kind(section, config[section]))
        for entry in config.get("engines", []):
            self._add(Engine(entry["name"], entry, self._fleet))
        for entry in config.get("services", []):
            self._add(Service(entry["name"], entry))
        weights = self.standin_by_name.get("weights")
        self._fleet.weights = weights if isinstance(weights, Weights) else None
        self._runner: web.AppRunner | None = None
        self.control = ""

    @property
    def addresses(self) -> dict[str, str]:
        """The address of each stand-in by name."""
        return {name: item.address for name, item in self.standin_by_name.items()}

    async def start(self) -> None:
        """Start every stand-in, and list engines and services as hosts."""
        for standin in self.standin_by_name.values():
            await standin.start()
        for standin in self.standin_by_name.values():
            if isinstance(standin, Engine):
                self._fleet.engine_by_address[standin.address] = standin
            self._list(standin)
        hosts = self.standin_by_name.get("hosts")
        if isinstance(hosts, Hosts):
            hosts.settle()
        app = web.Application()
        app.add_routes([web.post("/_switch/{name}", self._on_switch)])
        app.add_routes([web.get("/_records/{name}", self._on_records)])
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0).start()
        self.control = f"{LOOPBACK}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop every stand-in."""
        for standin in self.standin_by_name.values():
            await standin.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def _add(self, standin: Standin) -> None:
        if standin.name in self.standin_by_name:
            raise ValueError(f"two stand-ins are named {standin.name!r}")
        self.standin_by_name[standin.name] = standin

    def _list(self, standin: Standin) -> None:
        hosts = self.standin_by_name.get("hosts")
        if not isinstance(hosts, Hosts) or not isinstance(standin, Engine | Service):
            return
        entry = {
            "name": standin.name,
            "kind": "engine",
            "data_centre": standin.data_centre,
            "address": standin.address,
            "incarnation": standin.incarnation,
            "state": "live",
        }
        if isinstance(standin, Service):
            entry.update(kind="service", service=standin.service)
        hosts.put(entry)

    async def _on_switch(self, request: web.Request) -> web.Response:
        standin = self.standin_by_name.get(request.match_info["name"])
        if standin is None:
            return web.json_response({"error": "no such stand-in"}, status=404)
        was_dead = standin.switches["dead"]
        try:
            await standin.switch(await request.json())
        except (SwitchError, KeyError, TypeError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        if was_dead and not standin.switches["dead"]:
            self._list(standin)
        return web.json_response({"switches": standin.switches})

    async def _on_records(self, request: web.Request) -> web.Response:
        standin = self.standin_by_name.get(request.match_info["name"])
        if standin is None:
            return web.json_response({"error": "no such stand-in"}, status=404)
        return web.json_response(standin.records())
