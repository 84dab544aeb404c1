"""A desired state that raises the largest body, and clients that keep channels."""

import asyncio
import pathlib
import sys
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig

CHANNELS = 5
"""Kept channels of clients to each of the three machines."""

BODY_BYTES_BEFORE = 65_536
BODY_BYTES_AFTER = 4_194_304
LARGE_BYTES = 200_000
SMALL_BYTES = 600
APPLY_S = 2.0
"""The platform's `config_apply_ms`."""

DEADLINE_MS = 5_000
DENIED_MAX = 5
DENIED_SHARE = 1 / 500


class Client:
    """A client with a kept channel."""

    def __init__(self, record: rig.Record, gateway: rig.Gateway) -> None:
        self._record = record
        self._gateway = gateway

    async def connect(self) -> None:
        """Open a channel."""
        ip, _, port = self._gateway.front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))

    async def ask(self, size: int, why: str) -> int:
        """Send a booking of a size; return the status of its answer."""
        attempt = uuid.uuid4().hex[:16]
        data = rig.encode_request("POST", "/book/1", attempt, DEADLINE_MS, b"x" * size)
        self._writer.write(data)
        try:
            answer = await asyncio.wait_for(self._read(), DEADLINE_MS / 1000)
        except (asyncio.IncompleteReadError, ConnectionError):
            answer = 0
        self._record.note(
            f"{why}: {attempt} with {size} bytes at {self._gateway.name} gets {answer}"
        )
        return answer

    async def _read(self) -> int:
        head = await self._reader.readuntil(b"\r\n\r\n")
        for line in head.decode("latin-1").split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                await self._reader.readexactly(int(value))
        return int(head.split(b" ", 2)[1])

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()


async def case(deployment: rig.Deployment, is_troubled: bool) -> list[str]:
    """Raise the limit, and send larger bodies on channels that were open before."""
    record = deployment.record
    config = {
        "version": 3,
        "routes": [rig.plain_route("book", "non_idempotent", "desk", DEADLINE_MS)],
        "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 48}],
        "limits": rig.limits(max_body_bytes=BODY_BYTES_BEFORE),
        "tenants": rig.TENANTS,
    }
    await deployment.start(config, ("a", "b", "c"))
    for zone in ("a", "b", "c"):
        desk = rig.Replica(record, deployment.store, "desk", zone, slots=6)
        await desk.start(deployment.ip)
    await deployment.wait_ready()
    clients = []
    for gateway in deployment.gateways:
        for _ in range(CHANNELS):
            client = Client(record, gateway)
            await client.connect()
            clients.append(client)
    answers = [await client.ask(SMALL_BYTES, "before") for client in clients]
    if is_troubled:
        limits = rig.limits(max_body_bytes=BODY_BYTES_AFTER)
        await deployment.put_config({**config, "version": 7, "limits": limits})
    await asyncio.sleep(2 * APPLY_S)
    size = LARGE_BYTES if is_troubled else BODY_BYTES_BEFORE
    fresh = []
    for gateway in deployment.gateways:
        client = Client(record, gateway)
        await client.connect()
        fresh.append(await client.ask(size, "new channel"))
        client.close()
    kept = [await client.ask(size, "kept channel") for client in clients]
    if set(fresh) != {200}:
        raise rig.CaseError(f"the new limit isn't in force: {fresh}")
    answers += fresh + kept
    denied = [status for status in answers if 300 <= status < 500]
    denied = [status for status in denied if status not in (408, 421, 429)]
    record.note(f"{len(denied)} of {len(answers)} requests are denied: {denied}")
    if len(denied) <= DENIED_MAX + DENIED_SHARE * len(answers):
        return []
    return [f"DENIED: {len(denied)} of {len(answers)} proper requests get {denied}"]


if __name__ == "__main__":
    sys.exit(rig.play(pathlib.Path(__file__).resolve().parent, case))
