"""Requests under which engines crash after the first event of their answers."""

import asyncio
import pathlib
import sys
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import engines
import rig

ENGINES = 12
"""Engines, each with a quarter of the model: every layer is held three times."""

DEADLY = "dead0001"
SHARED = "5c1e07a2"
"""The first part of the deadly requests; sound ones have it too."""

OTHER = "91bd3f06"
ASK_S = 40.0
"""Seconds for which one deadly and two sound requests come each second."""

CRASHES = 5
REACH_MAX = 3
"""Deadly requests that may reach replicas `contact_ms` after the fifth crash."""


class Traffic:
    """The client's requests, sent to all machines in turn."""

    def __init__(self, deployment: rig.Deployment) -> None:
        self._deployment = deployment
        self._sent = 0
        self.statuses_by_kind: dict[str, list[int]] = {}

    async def ask(self, kind: str, *parts: str) -> None:
        """Send a request on a new channel, and record the status of its answer."""
        self._sent += 1
        gateways = self._deployment.gateways
        gateway = gateways[self._sent % len(gateways)]
        attempt = uuid.uuid4().hex[:16]
        status = await engines.ask_stream(gateway.front, "assist", attempt, parts)
        self._deployment.record.note(
            f"{kind} {attempt} at {gateway.name} gets {status}"
        )
        self.statuses_by_kind.setdefault(kind, []).append(status)


async def case(deployment: rig.Deployment, is_troubled: bool) -> list[str]:
    """Send deadly requests, and count those that reach engines after five crashes."""
    record = deployment.record
    config = {
        "version": 3,
        "routes": [engines.stream_route("assist", "assist")],
        "services": [engines.engine_service("assist")],
        "limits": rig.limits(),
        "tenants": rig.TENANTS,
    }
    await deployment.start(config, ("a", "b", "c"))
    found = []
    for _ in range(ENGINES):
        engine = engines.Engine(record, deployment.store, "assist", "a", "a100")
        engine.deadly_part = DEADLY
        engine.deadly_events = 1
        await engine.start(deployment.ip)
        found.append(engine)
    await deployment.wait_ready()
    await engines.wait_placed(found)
    traffic = Traffic(deployment)
    tasks = []
    until = time.monotonic() + ASK_S
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(traffic.ask("sound", SHARED)))
        tasks.append(asyncio.create_task(traffic.ask("other", OTHER)))
        if is_troubled:
            tasks.append(asyncio.create_task(traffic.ask("deadly", SHARED, DEADLY)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*tasks)
    for kind, statuses in sorted(traffic.statuses_by_kind.items()):
        record.note(f"{kind}: {statuses.count(200)} of {len(statuses)} are served")
    reached = sorted(at for engine in found for at in engine.ended_at)
    record.note(f"{len(reached)} deadly requests have reached engines")
    if len(reached) < CRASHES:
        if is_troubled:
            raise rig.CaseError("the deadly requests have crashed no five engines")
        return []
    counted_from = reached[CRASHES - 1] + rig.CONTACT_S
    late = [at for at in reached if at > counted_from]
    if len(late) <= REACH_MAX:
        return []
    return [
        f"BUDGET: {len(late)} requests with the deadly part reach engines later than "
        f"`contact_ms` after the fifth crash"
    ]


if __name__ == "__main__":
    sys.exit(rig.play(pathlib.Path(__file__).resolve().parent, case))
