"""A desired state that adds a service of model engines, and a route to it."""

import asyncio
import pathlib
import sys
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import engines
import rig

ENGINES = 6
"""Engines of each service; four hold the whole model once."""

APPLY_S = 2.0
"""The platform's `config_apply_ms`."""

SETTLE_S = 20.0
"""Seconds from the change to the first request that counts: ten times the bound, and
enough to load a whole model, which takes 14 s."""

REQUESTS = 30
"""Requests on each route; the rule asks for 20 or more."""


async def count_served(deployment: rig.Deployment, route: str) -> int:
    """Send requests on a route to all machines in turn; return how many are served."""
    served = 0
    for number in range(REQUESTS):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        attempt = uuid.uuid4().hex[:16]
        status = await engines.ask_stream(gateway.front, route, attempt, ("ab",))
        deployment.record.note(f"{attempt} on {route} at {gateway.name} gets {status}")
        served += status == 200
        await asyncio.sleep(0.1)
    return served


async def case(deployment: rig.Deployment, is_troubled: bool) -> list[str]:
    """Add a service and its route, and compare how often both routes are served."""
    record, store = deployment.record, deployment.store
    config = {
        "version": 3,
        "routes": [engines.stream_route("assist", "assist")],
        "services": [engines.engine_service("assist")],
        "limits": rig.limits(),
        "tenants": rig.TENANTS,
    }
    await deployment.start(config, ("a", "b", "c"))
    first = []
    for _ in range(ENGINES):
        engine = engines.Engine(record, store, "assist", "a", "a100")
        await engine.start(deployment.ip)
        first.append(engine)
    await deployment.wait_ready()
    await engines.wait_placed(first)
    record.note("all engines of assist hold layers")
    if is_troubled:
        for _ in range(ENGINES):
            engine = engines.Engine(record, store, "quotes", "a", "a100")
            await engine.start(deployment.ip)
        names = ("assist", "quotes")
        changed = {
            **config,
            "version": 7,
            "routes": [engines.stream_route(name, name) for name in names],
            "services": [engines.engine_service(name) for name in names],
        }
        await deployment.put_config(changed)
    await asyncio.sleep(SETTLE_S)
    served = await count_served(deployment, "assist")
    record.note(f"assist: {served} of {REQUESTS} served")
    if served < REQUESTS / 2:
        raise rig.CaseError("the first route isn't served")
    if not is_troubled:
        return []
    added = await count_served(deployment, "quotes")
    record.note(f"quotes: {added} of {REQUESTS} served")
    if added * 4 >= served:
        return []
    return [
        f"CONFIG: {added} of {REQUESTS} requests on the route that was added later "
        f"are served, {served} of {REQUESTS} on the first route"
    ]


if __name__ == "__main__":
    sys.exit(rig.play(pathlib.Path(__file__).resolve().parent, case))
