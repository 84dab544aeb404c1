"""An engine that is lost for good, and whose address another service's engine gets."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import engines
import rig

REUSE_AFTER_S = 2.0
"""The platform's `reuse_after_s`."""

BEATS_BEFORE = 1
ENDS_AFTER_S = 0.3
"""Seconds from the last heartbeat of the lost engine to its end."""

ENGINES = 6
"""Engines of assist before one is added: the lost one is a share of 1 / 7."""

WATCH_S = 8.0


async def case(deployment: rig.Deployment, is_troubled: bool) -> list[str]:
    """Add an engine, lose it, and give its address to an engine of another service."""
    record, store = deployment.record, deployment.store
    # The desired state with quotes follows once all replicas of quotes run.
    config = {
        "version": 3,
        "routes": [engines.stream_route("assist", "assist")],
        "services": [engines.engine_service("assist")],
        "limits": rig.limits(),
        "tenants": rig.TENANTS,
    }
    await deployment.start(config, ("a", "b", "c"))
    found: list[engines.Engine] = []
    for _ in range(ENGINES):
        engine = engines.Engine(record, store, "assist", "a", "a100")
        await engine.start(deployment.ip)
        found.append(engine)
    await deployment.wait_ready()
    await engines.wait_placed(found)
    record.note("all engines hold layers; an empty one is added to assist")
    added = engines.Engine(record, store, "assist", "a", "a100")
    await added.start(deployment.ip)
    found.append(added)
    if is_troubled:
        await asyncio.sleep(BEATS_BEFORE * rig.HEARTBEAT_S)
        deployment.spawn(added.lapse())
        await asyncio.sleep(ENDS_AFTER_S)
        port = int(added.address.rpartition(":")[2])
        await added.crash()
        await asyncio.sleep(REUSE_AFTER_S + 0.1)
        heir = engines.Engine(record, store, "quotes", "a", "v100")
        await heir.start(deployment.ip, port)
        record.note(f"{heir.name} of quotes starts at {heir.address}, a v100")
        found.append(heir)
    await asyncio.sleep(WATCH_S)
    breaks = []
    for engine in found:
        for text in engine.excess:
            breaks.append(f"LIMIT: {text}")
    return breaks


if __name__ == "__main__":
    sys.exit(rig.play(pathlib.Path(__file__).resolve().parent, case))
