"""All stand-ins of one process, with a control server for their switches."""

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

CLASS_BY_SECTION = {
    "table": Table,
    "hosts": Hosts,
    "objects": Objects,
    "weights": Weights,
}


class StandinSet:
    """The stand-ins listed in a configuration."""

    def __init__(self, config: Json) -> None:
        self.standin_by_name: dict[str, Standin] = {}
        self._fleet = Fleet()
        for section, standin_class in CLASS_BY_SECTION.items():
            if section in config:
                self._add(standin_class(section, config[section]))
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
        """Addresses of the stand-ins by name."""
        return {name: standin.address for name, standin in self.standin_by_name.items()}

    async def start(self) -> None:
        """Start all stand-ins and register engines and services in the host list."""
        for standin in self.standin_by_name.values():
            await standin.start()
        for standin in self.standin_by_name.values():
            if isinstance(standin, Engine):
                self._fleet.engine_by_address[standin.address] = standin
            self._register_host(standin)
        hosts = self.standin_by_name.get("hosts")
        if isinstance(hosts, Hosts):
            hosts.discard_history()
        app = web.Application()
        app.add_routes([web.post("/_switch/{name}", self._handle_switch)])
        app.add_routes([web.get("/_records/{name}", self._handle_records)])
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
            raise ValueError(f"duplicate stand-in name: {standin.name!r}")
        self.standin_by_name[standin.name] = standin

    def _register_host(self, standin: Standin) -> None:
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

    async def _handle_switch(self, request: web.Request) -> web.Response:
        standin = self.standin_by_name.get(request.match_info["name"])
        if standin is None:
            return web.json_response({"error": "no such stand-in"}, status=404)
        was_dead = standin.switches["dead"]
        try:
            await standin.switch(await request.json())
        except (SwitchError, KeyError, TypeError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        if was_dead and not standin.switches["dead"]:
            self._register_host(standin)
        return web.json_response({"switches": standin.switches})

    async def _handle_records(self, request: web.Request) -> web.Response:
        standin = self.standin_by_name.get(request.match_info["name"])
        if standin is None:
            return web.json_response({"error": "no such stand-in"}, status=404)
        return web.json_response(standin.records())
