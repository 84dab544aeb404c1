"""Measure one daemon that relays streams of checked tokens.

Run with ``python -m bench.relay``. Engines, daemon and reader are processes of
their own; each size reads the daemon's way and the engines' own in one run.
"""

import json
import os
import pathlib
import selectors
import socket
import tempfile
import time
import typing as t

import click

from tests.fleet import LAYERS
from tests.fleet import MODEL
from tests.fleet import Fleet
from tests.fleet import bearer

STEP_MS = 27.0
SLOTS = 1000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Stream:
    """One open stream with the instants at which its tokens came."""

    __slots__ = ("asked_at", "ended", "first_at", "gaps", "last_at", "sock", "tokens")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.asked_at = now
        self.first_at = 0.0
        self.last_at = 0.0
        self.gaps: list[float] = []
        self.tokens = 0
        self.ended = False


def _request(path: str, body: dict[str, t.Any], authorization: str) -> bytes:
    raw = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        f"Authorization: {authorization}\r\nContent-Length: {len(raw)}\r\n\r\n"
    )
    return head.encode() + raw


def _open(address: str, request: bytes) -> Stream:
    host, _, port = address.partition(":")
    now = time.monotonic()
    sock = socket.create_connection((host, int(port)))
    sock.sendall(request)
    sock.setblocking(False)
    return Stream(sock, now)


def _take(stream: Stream, data: bytes, marker: bytes, last: bytes) -> None:
    now = time.monotonic()
    count = data.count(marker)
    if count:
        if stream.first_at:
            stream.gaps.append(now - stream.last_at)
        else:
            stream.first_at = now
        stream.last_at = now
        stream.tokens += count
    if last in data:
        stream.ended = True


def read_streams(
    streams: list[Stream], marker: bytes, last: bytes, seconds: float
) -> None:
    """Read all streams to their ends, at most for some seconds."""
    selector = selectors.DefaultSelector()
    for stream in streams:
        selector.register(stream.sock, selectors.EVENT_READ, stream)
    ends_at = time.monotonic() + seconds
    while selector.get_map() and time.monotonic() < ends_at:
        for key, _ in selector.select(0.5):
            data = key.data.sock.recv(1 << 16)
            _take(key.data, data, marker, last)
            if not data or key.data.ended:
                selector.unregister(key.data.sock)
                key.data.sock.close()
    selector.close()


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _engines() -> list[dict[str, t.Any]]:
    half = LAYERS // 2
    engines = []
    for number, (first, last) in enumerate(((0, half), (half, LAYERS))):
        engines.append(
            {
                "name": f"engine{number}",
                "data_centre": "a",
                "model": MODEL,
                "version": "1",
                "role": "decode",
                "accelerator": "k1",
                "first": first,
                "last": last,
                "layers": LAYERS,
                "slots": SLOTS,
                "step_ms": STEP_MS / 2,
                "batch_slope": 0.0,
                "prefill_tokens_per_s": 1e6,
                "kv_tokens": 10_000_000,
                "links": {"a": 0.0},
                "fencing": "checked",
                "adapters": [],
            }
        )
    return engines


def _row(label: str, streams: list[Stream], seconds: float) -> dict[str, t.Any]:
    gaps = [gap for stream in streams for gap in stream.gaps]
    firsts = [stream.first_at - stream.asked_at for stream in streams]
    tokens = sum(stream.tokens for stream in streams)
    return {
        "way": label,
        "streams": len(streams),
        "whole": sum(stream.ended for stream in streams),
        "tokens_per_s": round(tokens / seconds),
        "gap_p50_ms": round(quantile(gaps, 0.5) * 1000, 1),
        "gap_p95_ms": round(quantile(gaps, 0.95) * 1000, 1),
        "first_p50_ms": round(quantile(firsts, 0.5) * 1000, 1),
    }


def _span(streams: list[Stream]) -> float:
    return max(s.last_at for s in streams) - min(s.first_at for s in streams)


def _open_direct(fleet: Fleet, count: int, tokens: int, name: str) -> list[Stream]:
    half = LAYERS // 2
    route = [
        {"address": fleet.address_of("engine0"), "first": 0, "last": half},
        {"address": fleet.address_of("engine1"), "first": half, "last": LAYERS},
    ]
    streams = []
    for number in range(count):
        body = {
            "request": f"{name}-{number}",
            "attempt": "1",
            "epoch": 1,
            "model": MODEL,
            "adapter": "",
            "prompt": f"prompt {number}",
            "tokens": [],
            "max_tokens": tokens,
            "priority": 0,
            "deadline_ms": 60_000,
            "route": route,
        }
        streams.append(_open(route[0]["address"], _request("/v1/generate", body, "")))
    return streams


def _direct(fleet: Fleet, count: int, tokens: int) -> dict[str, t.Any]:
    streams = _open_direct(fleet, count, tokens, f"direct{count}")
    read_streams(streams, b'"t":', b'"end":', 60.0)
    return _row("direct", streams, _span(streams))


def _open_relayed(fleet: Fleet, count: int, tokens: int) -> list[Stream]:
    daemon = fleet["a0"]
    streams = []
    for number in range(count):
        body = {
            "model": MODEL,
            "prompt": f"prompt {number}",
            "max_tokens": tokens,
            "stream": True,
        }
        request = _request("/v1/completions", body, f"Bearer {bearer('maker')}")
        streams.append(_open(daemon.address, request))
    return streams


def _relayed(fleet: Fleet, count: int, tokens: int) -> dict[str, t.Any]:
    pid = fleet["a0"].process.pid
    streams = _open_relayed(fleet, count, tokens)
    before = cpu_seconds(pid)
    read_streams(streams, b'"text":" w', b"[DONE]", 60.0)
    used = cpu_seconds(pid) - before
    seconds = _span(streams)
    row = _row("daemon", streams, seconds)
    done = sum(stream.tokens for stream in streams)
    row["cores"] = round(used / seconds, 2)
    row["us_per_token"] = round(used / done * 1e6, 1)
    row["resident_mb"] = round(resident_mb(pid), 1)
    return row


def _unloaded(fleet: Fleet, rounds: int) -> dict[str, t.Any]:
    # Both ways in turn, so that noise of the machine meets both.
    direct = []
    relayed = []
    for number in range(rounds):
        direct += _open_direct(fleet, 1, 2, f"unloaded{number}")
        read_streams(direct[-1:], b'"t":', b'"end":', 10.0)
        relayed += _open_relayed(fleet, 1, 2)
        read_streams(relayed[-1:], b'"text":" w', b"[DONE]", 10.0)
    firsts = []
    for streams in (direct, relayed):
        firsts.append([s.first_at - s.asked_at for s in streams])
    return {
        "way": "unloaded",
        "rounds": rounds,
        "direct_first_p50_ms": round(quantile(firsts[0], 0.5) * 1000, 2),
        "daemon_first_p50_ms": round(quantile(firsts[1], 0.5) * 1000, 2),
    }


def _print_row(row: dict[str, t.Any]) -> None:
    click.echo("  ".join(f"{name}={value}" for name, value in row.items()))


@click.command()
@click.option("--sizes", default="1,100,200,300,400", help="Streams at once.")
@click.option("--tokens", default=200, help="Tokens of each stream.")
@click.option("--rounds", default=40, help="Unloaded requests, one after another.")
def main(sizes: str, tokens: int, rounds: int) -> None:
    """Print a table of rates, gaps and costs; sizes are run one by one."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(pathlib.Path(directory), data_centres=("a",), engines=_engines())
        with fleet:
            _print_row(_unloaded(fleet, rounds))
            for size in sizes.split(","):
                _print_row(_direct(fleet, int(size), tokens))
                _print_row(_relayed(fleet, int(size), tokens))


if __name__ == "__main__":
    main()
