"""A route that was added later is refused after three of 18 model servers crash."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

import stand

FOLDER = pathlib.Path(__file__).resolve().parent

ENGINES = 18
CRASHED = 3
DOWN_S = 4.5
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
LATER_EACH_S = 0.5
FIRST_EACH_S = 0.5
MEASURED = 60
"""Requests on the route that was added later, sent in steady state."""

FIRST_PART, LATER_PART = "5c1e07a2", "e4402b7d"


class CrashingEngine(stand.Engine):
    """A model server whose process can crash and start again at its address."""

    def __init__(self, name):
        super().__init__(name, "writers", events=40, gap_s=0.05)
        self.writers = set()
        self.streams = set()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def run(self, message, reader, writer):
        """Run a stream and note that it is in progress."""
        attempt = message[1]["x-attempt-id"]
        self.streams.add(attempt)
        try:
            await super().run(message, reader, writer)
        finally:
            self.streams.discard(attempt)

    def crash(self):
        """End as a process does, with all its channels."""
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self, store):
        """Start as a new boot with the same id and address."""
        self.born, self.layers, self.sequence = int(time.time() * 1000), None, 0
        await self.listen(int(self.address.rpartition(":")[2]))
        await self.register(store)


def prompt(part, number):
    """Return the headers of a prompt that begins with a part."""
    return [
        ("X-Model", "m"),
        ("X-Token-Usage", "800,160"),
        ("X-Prompt-Prefix", f"{part}:40,{number + 4096:x}:760"),
    ]


class Clients:
    """Callers of streams; each request is one attempt with its own id."""

    def __init__(self, record, gateways):
        self.record, self.gateways = record, gateways
        self.count = 0
        self.outcomes = {}

    async def send(self, route, part, phase):
        """Send one request and count its outcome."""
        self.count += 1
        number = self.count
        gateway = random.choice(self.gateways)
        status, headers, body, is_whole = await stand.call(
            gateway.front, "POST", f"/{route}/x", f"{route}-{number}",
            timeout_s=8.0, body=b"prompt", deadline_ms=20000,
            headers=prompt(part, number),
        )  # fmt: skip
        is_served = status == 200 and is_whole and b"id: 40\n" in body
        self.outcomes.setdefault((phase, route), collections.Counter())[
            "served" if is_served else f"status {status}"
        ] += 1
        again = headers.get("retry-after", "-")
        self.record.write(
            f"{phase} {route}-{number} at {gateway.name}: status {status}, "
            f"whole {is_whole}, bytes {len(body)}, Retry-After {again}"
        )

    async def steady(self, route, part, phase, each_s, count):
        """Send requests at a steady pace and wait for their ends."""
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(self.send(route, part, phase)))
            await asyncio.sleep(each_s)
        await asyncio.gather(*tasks)


async def set_up(record, gateways, store, first):
    """Start the engines and the machines; return the engines, None if that fails."""
    await store.put("op", "config", stand.desired_state([first], version=7))
    engines = []
    for number in range(ENGINES):
        engine = CrashingEngine(f"e{number}")
        await engine.listen()
        engine.store = store
        await engine.register(store)
        engines.append(engine)
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            return None
    for _ in range(100):
        if all(engine.layers for engine in engines):
            return engines
        await asyncio.sleep(0.2)
    record.write("the engines got no layers")
    return None


async def begin_route(clients, engines):
    """Send the first requests of the new route until three engines serve them."""
    begun, busy = [], []
    while len(busy) < CRASHED and len(begun) < 10:
        request = clients.send("later", LATER_PART, "begin")
        begun.append(asyncio.create_task(request))
        await asyncio.sleep(0.1)
        busy = [e for e in engines if any(s.startswith("later") for s in e.streams)]
    await asyncio.sleep(0.3)
    return begun, busy


async def crash(record, store, engines):
    """Let some engines crash, and start them again."""
    for engine in engines:
        engine.crash()
    record.write(f"{len(engines)} of {ENGINES} engines crash")
    await asyncio.sleep(DOWN_S)
    for engine in engines:
        await engine.start_again(store)
    record.write("they are back")


async def play(record, gateways, store, is_troubled):
    """Play the case; return the exit code."""
    first = stand.stream_route("first")
    later = stand.stream_route("later")
    engines = await set_up(record, gateways, store, first)
    if engines is None:
        return 2
    clients = Clients(record, gateways)
    # The first route is in use all the time.
    usual = asyncio.create_task(
        clients.steady("first", FIRST_PART, "usual", FIRST_EACH_S, 1000)
    )
    try:
        await asyncio.sleep(6.0)
        if clients.outcomes.get(("usual", "first"), {}).get("served", 0) < 4:
            return 2
        await store.put("op", "config", stand.desired_state([first, later], version=12))
        record.write("desired state 12 adds the route 'later'")
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        begun, busy = await begin_route(clients, engines)
        record.write(f"the route 'later' is served by {[e.name for e in busy]}")
        if len(busy) != CRASHED:
            return 2
        if is_troubled:
            await crash(record, store, busy)
        await asyncio.gather(*begun)
        await asyncio.sleep(CONTACT_S + 1.0)
        clients.outcomes.clear()
        await clients.steady("later", LATER_PART, "steady", LATER_EACH_S, MEASURED)
    finally:
        usual.cancel()
    return judge(record, clients.outcomes)


def judge(record, outcomes):
    """Return 1 if the later route is served less than a quarter as often."""
    shares = {}
    for (_, route), counts in sorted(outcomes.items()):
        asked = sum(counts.values())
        shares[route] = counts["served"] / asked
        record.write(f"steady state, route '{route}': {asked} requests, {dict(counts)}")
    if shares.get("first", 0.0) < 0.5:
        record.write("the first route was not served: the case could not run")
        return 2
    if shares["later"] < shares["first"] / 4:
        record.write("CONFIG broken: the route added later is hardly served")
        return 1
    record.write("CONFIG held")
    return 0


async def main():
    """Play the case."""
    is_troubled = os.environ.get("TROUBLE") != "0"
    record = stand.Record(FOLDER)
    store = stand.Store()
    await store.listen()
    gateways = [stand.Gateway(store.address, f"edge-{n}") for n in (1, 2)]
    try:
        code = await play(record, gateways, store, is_troubled)
        for gateway in gateways:
            for line in gateway.log().splitlines():
                if "event=part_quarantined" in line or "event=engine_crashed" in line:
                    record.write("log of " + line.partition(" host=")[2])
        return code
    finally:
        for gateway in gateways:
            gateway.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
