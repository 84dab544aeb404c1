"""One attempt of a request over the stages of its route."""

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
    from .decoding import DecodeBatch
    from .decoding import Fleet
    from .engine import Engine


def _deadline(deadline_ms: float | None) -> float | None:
    if deadline_ms is None:
        return None
    return time.monotonic() + deadline_ms / 1000


class Stream:
    """Decoding state and output of one attempt of a request."""

    __slots__ = (
        "attempt",
        "batch",
        "cached_tokens",
        "context",
        "deadline",
        "finished",
        "fleet",
        "hashes",
        "kv_tokens",
        "layer_bytes",
        "layers_wrong",
        "line_prefix",
        "line_suffix",
        "max_tokens",
        "position",
        "prefill_tokens",
        "priority",
        "prompt_tokens",
        "record",
        "request",
        "stages",
        "started",
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
        self.layers_wrong = self.layer_bytes != bytes(range(stages[0][0].layers))
        self.prefill_tokens = self.prompt_tokens + len(tokens)
        self.cached_tokens = 0
        self.deadline = _deadline(body.get("deadline_ms"))
        self.started = False
        self.batch: DecodeBatch | None = None
        self.transport: asyncio.WriteTransport | asyncio.Transport | None = None
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        identity = (
            f'"r":{json.dumps(self.request)},"a":{json.dumps(self.attempt)},'
            f'"e":{body["epoch"]}'
        )
        self.line_prefix = "{" + identity + ',"p":'
        spans = ",".join(f"[{first},{last}]" for first, last in ranges)
        self.line_suffix = f',"w":[{spans}]}}\n'
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

    def export_kv(self) -> Json:
        """Return the current KV state of this stream."""
        return {"request": self.request, "context": self.context, "p": self.position}

    def send(self, line: str) -> None:
        """Send one line as an HTTP chunk, with any injected faults."""
        assert self.transport is not None
        head = self.stages[0][0]
        switches = head.switches
        raw = line.encode()
        data = b"%x\r\n%b\r\n" % (len(raw), raw)
        if switches["duplicate_events"] and head.consume_switch("duplicate_events"):
            data += data
        if (
            switches["late_events"]
            and head.stale_lines
            and head.consume_switch("late_events")
        ):
            stale = head.stale_lines.popleft()
            data = b"%x\r\n%b\r\n" % (len(stale), stale) + data
        self.transport.write(data)

    def step(self) -> None:
        """Generate the next token and send it."""
        token = zlib.crc32(self.layer_bytes, self.context) % VOCABULARY
        line = (
            f'{self.line_prefix}{self.position},"t":{token},"x":"{text_of(token)}"'
            f"{self.line_suffix}"
        )
        self.send(line)
        self.position += 1
        record = self.record
        record["made"] += 1
        if record["made"] == 1:
            record["first_token_at"] = time.monotonic()
        record["violations"] += self.layers_wrong
        self.context = advance(self.context, token)
        if token < STOP_BELOW:
            self.send_end("stop")
            return
        if self.position >= self.max_tokens:
            self.send_end("length")
            return
        cut_after = self.stages[0][0].switches["cut_after"]
        if cut_after and record["made"] >= cut_after:
            self.stages[0][0].stale_lines.append(line.encode())
            self.abort("cut")

    def send_end(self, reason: str) -> None:
        """Send the end line with the usage and finish."""
        usage = f'{{"prompt":{self.prompt_tokens},"cached":{self.cached_tokens}}}'
        line = f'{self.line_prefix}{self.position},"end":"{reason}","usage":{usage}}}\n'
        self.send(line)
        self.stages[0][0].stale_lines.append(line.encode())
        self.finish(reason)

    def abort(self, reason: str) -> None:
        """Abort the connection without an end line and finish."""
        if self.record["end"] is None and self.transport is not None:
            self.transport.abort()
        self.finish(reason)

    def finish(self, reason: str) -> None:
        """Record why the stream ended and free its resources, once."""
        if self.record["end"] is not None:
            return
        self.record["end"] = reason
        self.record["ended_at"] = time.monotonic()
        if not self.finished.done():
            self.finished.set_result(None)
        self.fleet.release(self)
