"""One attempt of a request, as it runs through the stages of its route."""

import asyncio
import json
import time
import typing as t
import zlib

from .base import Json
from .prefixes import prefix_hashes
from .tokens import STOP_BELOW
from .tokens import VOCABULARY
from .tokens import Range
from .tokens import advance
from .tokens import context_of
from .tokens import prompt_tokens
from .tokens import text_of

if t.TYPE_CHECKING:
    from .decoding import Fleet
    from .decoding import Group
    from .engine import Engine


def _deadline(deadline_ms: float | None) -> float | None:
    if deadline_ms is None:
        return None
    return time.monotonic() + deadline_ms / 1000


class Stream:
    """One attempt of a request along a route."""

    __slots__ = (
        "attempt",
        "cached",
        "context",
        "deadline",
        "finished",
        "fleet",
        "group",
        "hashes",
        "kv_tokens",
        "layer_bytes",
        "max_tokens",
        "position",
        "prefix",
        "priority",
        "prompt_tokens",
        "record",
        "request",
        "stages",
        "started",
        "suffix",
        "to_prefill",
        "trail_wrong",
        "transport",
    )

    def __init__(
        self, fleet: "Fleet", stages: "list[tuple[Engine, Range]]", body: Json
    ) -> None:
        tokens = body.get("tokens") or []
        ranges = [span for _, span in stages if span[0] < span[1]]
        self.fleet = fleet
        self.stages = stages
        self.request: str = body["request"]
        self.attempt: t.Any = body["attempt"]
        self.priority: int = min(max(int(body.get("priority", 1)), 0), 2)
        self.max_tokens: int = body["max_tokens"]
        self.prompt_tokens = prompt_tokens(body["prompt"])
        self.hashes = prefix_hashes(body["prompt"])
        self.kv_tokens = self.prompt_tokens + max(self.max_tokens, len(tokens))
        self.position = len(tokens)
        self.context = context_of(body["prompt"], tokens)
        self.layer_bytes = b"".join(bytes(range(*span)) for span in ranges)
        self.trail_wrong = self.layer_bytes != bytes(range(stages[0][0].layers))
        self.to_prefill = self.prompt_tokens + len(tokens)
        self.cached = 0
        self.deadline = _deadline(body.get("deadline_ms"))
        self.started = False
        self.group: Group | None = None
        self.transport: asyncio.WriteTransport | asyncio.Transport | None = None
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        names = (
            f'"r":{json.dumps(self.request)},"a":{json.dumps(self.attempt)},'
            f'"e":{body["epoch"]}'
        )
        self.prefix = "{" + names + ',"p":'
        spans = ",".join(f"[{first},{last}]" for first, last in ranges)
        self.suffix = f',"w":[{spans}]}}\n'
        self.record = {
            "request": self.request,
            "attempt": self.attempt,
            "epoch": body["epoch"],
            "model": body.get("model", ""),
            "priority": self.priority,
            "start": self.position,
            "made": 0,
            "violations": 0,
            "end": None,
            "at": time.monotonic(),
            "ended_at": None,
            "first_token_at": None,
            "leaving": stages[0][0].switches["leaving"],
            "route": [engine.name for engine, _ in stages],
        }

    def exported(self) -> Json:
        """Return the KV of this stream as it is now."""
        return {"request": self.request, "context": self.context, "p": self.position}

    def send(self, line: str) -> None:
        """Send one line as a chunk."""
        assert self.transport is not None
        head = self.stages[0][0]
        switches = head.switches
        raw = line.encode()
        data = b"%x\r\n%b\r\n" % (len(raw), raw)
        if switches["duplicate_events"] and head.take("duplicate_events"):
            data += data
        if switches["late_events"] and head.old_lines and head.take("late_events"):
            old = head.old_lines.popleft()
            data = b"%x\r\n%b\r\n" % (len(old), old) + data
        self.transport.write(data)

    def step(self) -> None:
        """Make the next token and send it."""
        token = zlib.crc32(self.layer_bytes, self.context) % VOCABULARY
        line = (
            f'{self.prefix}{self.position},"t":{token},"x":"{text_of(token)}"'
            f"{self.suffix}"
        )
        self.send(line)
        self.position += 1
        record = self.record
        record["made"] += 1
        if record["made"] == 1:
            record["first_token_at"] = time.monotonic()
        record["violations"] += self.trail_wrong
        self.context = advance(self.context, token)
        if token < STOP_BELOW:
            self.end("stop")
            return
        if self.position >= self.max_tokens:
            self.end("length")
            return
        cut_after = self.stages[0][0].switches["cut_after"]
        if cut_after and record["made"] >= cut_after:
            self.stages[0][0].old_lines.append(line.encode())
            self.break_off("cut")

    def end(self, reason: str) -> None:
        """Send the explicit end."""
        usage = f'{{"prompt":{self.prompt_tokens},"cached":{self.cached}}}'
        line = f'{self.prefix}{self.position},"end":"{reason}","usage":{usage}}}\n'
        self.send(line)
        self.stages[0][0].old_lines.append(line.encode())
        self.finish(reason)

    def break_off(self, reason: str) -> None:
        """Abort the connection, without an end."""
        if self.record["end"] is None and self.transport is not None:
            self.transport.abort()
        self.finish(reason)

    def finish(self, reason: str) -> None:
        """Free what the stream holds; only the first end counts."""
        if self.record["end"] is not None:
            return
        self.record["end"] = reason
        self.record["ended_at"] = time.monotonic()
        if not self.finished.done():
            self.finished.set_result(None)
        self.fleet.release(self)
