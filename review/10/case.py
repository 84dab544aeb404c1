"""A part of a prompt crashes servers again and again and is never kept from them.

The deadly part is the 36th of each prompt that holds it. With VARIANT=unframed it is
the second of three, and the streams have neither a length nor chunks.
"""

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
DOWN_S = 3.0
CONTACT_S = 3.0
SOUND_EACH_S = 0.25
DEADLY_EACH_S = 1.0
WARM_S = 8.0
TROUBLE_S = 30.0
EVENTS = 30
FIRST_PART, DEADLY_PART = "5c1e07a2", "dead0bad"
IS_UNFRAMED = os.environ.get("VARIANT") == "unframed"
OTHER_PARTS = 0 if IS_UNFRAMED else 34
"""Parts between the first and the deadly one, which all prompts have."""


class FragileEngine(stand.Engine):
    """A model server that crashes when it begins to write on the deadly part."""

    def __init__(self, name, record):
        super().__init__(name, "writers", events=EVENTS)
        self.record = record
        self.writers = set()
        self.is_down = False
        # Of all engines: times of crashes, and of arrivals of the deadly part.
        self.crashes, self.arrivals = [], []

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def run(self, message, reader, writer):
        """Run a stream; crash after the first event of a deadly one."""
        headers = message[1]
        attempt = headers["x-attempt-id"]
        is_deadly = f"{DEADLY_PART}:" in headers.get("x-prompt-prefix", "")
        if is_deadly:
            self.arrivals.append(time.monotonic())
            self.record.write(f"{attempt} reaches {self.name}")
        head = {"Content-Type": "text/event-stream"} | self.signed(headers)
        if not IS_UNFRAMED:
            head["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK"] + [f"{key}: {value}" for key, value in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, EVENTS + 1):
            await asyncio.sleep(self.gap_s)
            self.send(writer, f"id: {number}\ndata: piece of {attempt}\n\n".encode())
            await writer.drain()
            if is_deadly:
                await asyncio.sleep(self.gap_s / 2)
                self.crash(attempt)
                return
        if IS_UNFRAMED:
            writer.close()
        else:
            self.send(writer, b"")

    def send(self, writer, data):
        """Send a part of a body, as a chunk unless it is unframed."""
        writer.write(data if IS_UNFRAMED else b"%x\r\n%b\r\n" % (len(data), data))

    def crash(self, attempt):
        """End as a killed process does: the system closes all its channels."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(time.monotonic())
        self.record.write(f"{self.name} crashes on {attempt}")
        self._server.close()
        for writer in list(self.writers):
            writer.close()
        asyncio.get_running_loop().create_task(self._start_again())

    async def _start_again(self):
        await self.store.put("servers", self.name, None)
        await asyncio.sleep(DOWN_S)
        self.born, self.layers, self.sequence = int(time.time() * 1000), None, 0
        await self.listen(int(self.address.rpartition(":")[2]))
        self.is_down = False
        await self.register(self.store)


class Clients:
    """Callers of streams; no two requests are alike."""

    def __init__(self, record, gateways):
        self.record, self.gateways = record, gateways
        self.count = 0
        self.outcomes = collections.Counter()

    async def send(self, kind):
        """Send one request and count its outcome."""
        self.count += 1
        attempt = f"{kind}-{self.count}"
        parts = f"{FIRST_PART}:40,"
        parts += "".join(f"{0xD0C000 + n:x}:10," for n in range(OTHER_PARTS))
        if kind == "deadly":
            parts += f"{DEADLY_PART}:60,"
        parts += f"{self.count + 4096:x}:700"
        gateway = random.choice(self.gateways)
        headers = [
            ("X-Model", "m"), ("X-Token-Usage", "800,160"), ("X-Prompt-Prefix", parts)
        ]  # fmt: skip
        status, _, body, is_whole = await stand.call(
            gateway.front, "POST", "/stream/x", attempt,
            timeout_s=8.0, body=b"prompt", deadline_ms=20000, headers=headers,
        )  # fmt: skip
        events = body.count(b"\n\n")
        outcome = "failed"
        if status == 200:
            outcome = f"{'whole' if is_whole else 'cut'}"
            if is_whole and events < EVENTS:
                outcome = "ends as whole too early"
        self.outcomes[kind, outcome] += 1
        self.record.write(
            f"{attempt} at {gateway.name}: status {status}, {outcome}, {events} events"
        )

    async def steady(self, kind, each_s, seconds):
        """Send requests at a steady pace and wait for their ends."""
        tasks = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            tasks.append(asyncio.create_task(self.send(kind)))
            await asyncio.sleep(each_s)
        await asyncio.gather(*tasks)


async def set_up(record, gateways, store):
    """Start the engines and the machines; return the engines, None if that fails."""
    state = stand.desired_state([stand.stream_route()])
    await store.put("op", "config", state)
    engines = []
    for number in range(ENGINES):
        engine = FragileEngine(f"e{number}", record)
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
    return None


async def play(record, gateways, store, is_troubled):
    """Play the case; return the exit code."""
    engines = await set_up(record, gateways, store)
    if engines is None:
        return 2
    clients = Clients(record, gateways)
    await clients.steady("sound", SOUND_EACH_S, WARM_S)
    if clients.outcomes["sound", "whole"] < 20:
        return 2
    clients.outcomes.clear()
    both = [clients.steady("sound", SOUND_EACH_S, TROUBLE_S)]
    if is_troubled:
        both.append(clients.steady("deadly", DEADLY_EACH_S, TROUBLE_S))
    await asyncio.gather(*both)
    crashes = sorted(at for engine in engines for at in engine.crashes)
    arrivals = sorted(at for engine in engines for at in engine.arrivals)
    late = []
    if len(crashes) >= 5:
        late = [at for at in arrivals if at > crashes[4] + CONTACT_S]
    record.write(f"outcomes: {dict(clients.outcomes)}")
    record.write(f"{len(crashes)} crashes, {len(arrivals)} arrivals of the deadly part")
    record.write(f"{len(late)} arrivals later than contact_ms after the fifth crash")
    if len(late) > 3:
        record.write("BUDGET broken")
        return 1
    if not is_troubled and clients.outcomes["sound", "whole"] < 100:
        return 2
    record.write("BUDGET held")
    return 0


async def main():
    """Play the case."""
    record = stand.Record(FOLDER)
    store = stand.Store()
    await store.listen()
    gateways = [stand.Gateway(store.address, f"edge-{n}") for n in (1, 2)]
    try:
        code = await play(record, gateways, store, os.environ.get("TROUBLE") != "0")
        for gateway in gateways:
            for line in gateway.log().splitlines():
                if "event=part_" in line or "event=engine_crashed" in line:
                    record.write("log of " + line.partition(" host=")[2])
        return code
    finally:
        for gateway in gateways:
            gateway.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
