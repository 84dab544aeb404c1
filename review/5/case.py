"""An entry of another writer, with a number too large, among those of the replicas."""

import asyncio
import pathlib
import sys
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import engines
import rig

ENGINES = 8
"""Engines of the added service; four hold the whole model once."""

ODD_LAYERS = {"from": 0, "target": 4000, "version": 1}
"""Of a model of 80 layers."""

SETTLE_S = 20.0
"""Seconds from the change to the first request that counts: ten times
`config_apply_ms`, and enough to load a whole model, which takes 14 s."""

REQUESTS = 30
"""Requests on each route; the rule asks for 20 or more."""

DEADLINE_MS = 5_000


async def write_odd_entry(deployment: rig.Deployment) -> None:
    """Write an entry as another writer may, which names no replica to use."""
    entry = {
        "service": "assist",
        "address": f"{deployment.ip}:{rig.free_port(deployment.ip)}",
        "zone": "a",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "stage": "unified",
        "models": [],
        "kind": "a100",
        "born": 1_790_000_000_000,
        "layers": ODD_LAYERS,
    }
    await deployment.store.put("servers", "i-odd", entry)
    deployment.record.note(f"another writer leaves an entry with layers {ODD_LAYERS}")


async def book(address: str, attempt: str) -> int:
    """Send a request to the plain service; return the status of its answer."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(rig.encode_request("POST", "/book/1", attempt, DEADLINE_MS, b"x"))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_MS / 1000)
    finally:
        writer.close()
    return int(head.split(b" ", 2)[1])


async def count_served(deployment: rig.Deployment, route: str) -> int:
    """Send requests on a route to all machines in turn; return how many are served."""
    served = 0
    for number in range(REQUESTS):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        attempt = uuid.uuid4().hex[:16]
        if route == "book":
            status = await book(gateway.front, attempt)
        else:
            status = await engines.ask_stream(gateway.front, route, attempt, ("ab",))
        deployment.record.note(f"{attempt} on {route} at {gateway.name} gets {status}")
        served += status == 200
    deployment.record.note(f"{route}: {served} of {REQUESTS} served")
    return served


async def case(deployment: rig.Deployment, is_troubled: bool) -> list[str]:
    """Add a service and its route beside the odd entry, and compare both routes."""
    record, store = deployment.record, deployment.store
    config = {
        "version": 3,
        "routes": [rig.plain_route("book", "non_idempotent", "desk", DEADLINE_MS)],
        "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 48}],
        "limits": rig.limits(),
        "tenants": rig.TENANTS,
    }
    await deployment.start(config, ("a", "b", "c"))
    for zone in ("a", "b", "c"):
        desk = rig.Replica(record, store, "desk", zone, slots=6)
        await desk.start(deployment.ip)
    await deployment.wait_ready()
    if is_troubled:
        await write_odd_entry(deployment)
    for _ in range(ENGINES):
        engine = engines.Engine(record, store, "assist", "a", "a100")
        await engine.start(deployment.ip)
    changed = {
        **config,
        "version": 7,
        "routes": [*config["routes"], engines.stream_route("assist", "assist")],
        "services": [*config["services"], engines.engine_service("assist")],
    }
    await deployment.put_config(changed)
    await asyncio.sleep(SETTLE_S)
    first = await count_served(deployment, "book")
    added = await count_served(deployment, "assist")
    if first < REQUESTS / 2:
        raise rig.CaseError("the first route isn't served")
    if added * 4 >= first:
        return []
    return [
        f"CONFIG: {added} of {REQUESTS} requests on the route that was added later "
        f"are served, {first} of {REQUESTS} on the first route"
    ]


if __name__ == "__main__":
    sys.exit(rig.play(pathlib.Path(__file__).resolve().parent, case))
