"""Desired state after the store has come back from a copy some seconds old."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig3

COPY_AGE_S = 9.0
AWAY_S = 1.0
WATCH_S = 8.0
KEPT_KEY = "key-kept"
TAKEN_KEY = "key-taken"
PATH = "/parts/1"


def make_state(version: int, service: str, keys: list[str]) -> dict[str, object]:
    """Return a desired state in which a service has the only route."""
    return rig3.make_config(
        version,
        [rig3.make_route("/parts/", service)],
        [rig3.make_service("old-desk"), rig3.make_service("new-desk")],
        {"guild": keys},
    )


class Deployment:
    """The parts of the deployment, and the runs of its replicas."""

    def __init__(self, work: pathlib.Path, record: rig3.Record) -> None:
        self.record = record
        self.store = rig3.Store()
        self.runs: dict[str, str] = {}
        self.gateways: list[rig3.Gateway] = []
        self.replicas: list[rig3.Replica] = []
        self._work = work

    def on_run(self, name: str, request: rig3.Message) -> None:
        """Record that a replica runs a request."""
        attempt = request.headers["x-attempt-id"]
        self.runs[attempt] = name
        self.record(f"replica {name} runs {attempt}")

    async def start(self) -> None:
        """Start everything, and wait until the gateways are ready."""
        await self.store.start(rig3.free_ip())
        self.write(make_state(10, "old-desk", [KEPT_KEY, TAKEN_KEY]))
        for zone in ("a", "b"):
            for service in ("old-desk", "new-desk"):
                replica = rig3.Replica(
                    self.store, f"i-{service}-{zone}", service, zone, self.on_run
                )
                await replica.start(rig3.free_ip())
                self.replicas.append(replica)
            gateway = rig3.Gateway(self.store, zone, 1, self._work)
            self.gateways.append(gateway)
            gateway.start()
        await rig3.wait_ready(self.gateways)

    def write(self, state: dict[str, object]) -> None:
        """Write a desired state, as the operator does."""
        version = self.store.put("op", "config", state)
        self.record(
            f"store confirms desired state {state['version']} as row version {version}"
        )

    def stop(self) -> None:
        """End the processes."""
        for gateway in self.gateways:
            gateway.stop()

    async def drill(self) -> None:
        """Let the store come back from a copy; its writers write again."""
        copy = self.store.copy()
        self.record(f"a copy of the store is made at version {copy[0]}")
        await asyncio.sleep(COPY_AGE_S - 1.0)
        second = make_state(20, "old-desk", [KEPT_KEY, TAKEN_KEY])
        self.write(second)
        await asyncio.sleep(1.0)
        self.record(f"the store goes away at version {self.store.version}")
        self.store.go_away()
        await asyncio.sleep(AWAY_S)
        self.store.come_back(copy)
        self.record(f"the store is back at version {copy[0]}, era {self.store.era}")
        self.write(second)
        for replica in self.replicas:
            replica.write_row()


async def play(work: pathlib.Path, record: rig3.Record, has_trouble: bool) -> list[str]:
    """Play the case; return the requests that were handled by an older version."""
    deployment = Deployment(work, record)
    try:
        await deployment.start()
        await asyncio.sleep(2.0)
        if has_trouble:
            await deployment.drill()
        else:
            deployment.write(make_state(20, "old-desk", [KEPT_KEY, TAKEN_KEY]))
        await asyncio.sleep(rig3.CONTACT_S + 0.2)
        deployment.write(make_state(30, "new-desk", [KEPT_KEY]))
        confirmed_at = time.monotonic()
        await asyncio.sleep(rig3.CONFIG_APPLY_S + 0.5)
        return await watch(deployment, confirmed_at)
    finally:
        deployment.stop()


async def watch(deployment: Deployment, confirmed_at: float) -> list[str]:
    """Send requests with both keys; return those that only older versions allow."""
    found = []
    until = time.monotonic() + WATCH_S
    number = 0
    while time.monotonic() < until:
        for gateway in deployment.gateways:
            for key in (KEPT_KEY, TAKEN_KEY):
                number += 1
                attempt = f"{key}-{number}"
                late_s = time.monotonic() - confirmed_at
                data = rig3.encode_request(PATH, attempt, key)
                await rig3.ask(gateway, deployment.record, attempt, data)
                name = deployment.runs.get(attempt, "")
                where = f"{attempt}, sent {late_s:.1f} s after the confirmation"
                if key == TAKEN_KEY and name:
                    found.append(f"{where}, has a key that was taken away, and ran")
                elif name.startswith("i-old"):
                    found.append(f"{where}, ran at {name}, of the old service")
        await asyncio.sleep(0.5)
    return found


if __name__ == "__main__":
    rig3.main(pathlib.Path(__file__).resolve().parent, play)
