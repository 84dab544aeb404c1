"""Measure one daemon that relays streams of checked tokens.

Run with ``python -m bench.relay``. Engines, daemon and reader run in separate
processes. Each size is measured with streams read directly from the engines and
with streams relayed by the daemon.
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


class TokenStream:
    """An open stream of tokens, with the times at which they arrived."""

    __slots__ = (
        "ended",
        "first_token_at",
        "gaps_s",
        "last_token_at",
        "sent_at",
        "sock",
        "tokens",
    )

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.sent_at = now
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.gaps_s: list[float] = []
        self.tokens = 0
        self.ended = False


def _request(path: str, body: dict[str, t.Any], authorization: str) -> bytes:
    raw = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        f"Authorization: {authorization}\r\nContent-Length: {len(raw)}\r\n\r\n"
    )
    return head.encode() + raw


def _open(address: str, request: bytes) -> TokenStream:
    host, _, port = address.partition(":")
    now = time.monotonic()
    sock = socket.create_connection((host, int(port)))
    sock.sendall(request)
    sock.setblocking(False)
    return TokenStream(sock, now)


def _record_data(
    stream: TokenStream, data: bytes, token_marker: bytes, end_marker: bytes
) -> None:
    now = time.monotonic()
    count = data.count(token_marker)
    if count:
        if stream.first_token_at:
            stream.gaps_s.append(now - stream.last_token_at)
        else:
            stream.first_token_at = now
        stream.last_token_at = now
        stream.tokens += count
    if end_marker in data:
        stream.ended = True


def read_streams(
    streams: list[TokenStream], token_marker: bytes, end_marker: bytes, seconds: float
) -> None:
    """Read all streams until they end or ``seconds`` have passed."""
    selector = selectors.DefaultSelector()
    for stream in streams:
        selector.register(stream.sock, selectors.EVENT_READ, stream)
    deadline = time.monotonic() + seconds
    while selector.get_map() and time.monotonic() < deadline:
        for key, _ in selector.select(0.5):
            data = key.data.sock.recv(1 << 16)
            _record_data(key.data, data, token_marker, end_marker)
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
    """Return the quantile of the values at a share between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _engine_settings() -> list[dict[str, t.Any]]:
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


def _table_row(
    label: str, streams: list[TokenStream], seconds: float
) -> dict[str, t.Any]:
    gaps_s = [gap for stream in streams for gap in stream.gaps_s]
    first_tokens_s = [stream.first_token_at - stream.sent_at for stream in streams]
    tokens = sum(stream.tokens for stream in streams)
    return {
        "way": label,
        "streams": len(streams),
        "whole": sum(stream.ended for stream in streams),
        "tokens_per_s": round(tokens / seconds),
        "gap_p50_ms": round(quantile(gaps_s, 0.5) * 1000, 1),
        "gap_p95_ms": round(quantile(gaps_s, 0.95) * 1000, 1),
        "first_p50_ms": round(quantile(first_tokens_s, 0.5) * 1000, 1),
    }


def _seconds_streaming(streams: list[TokenStream]) -> float:
    return max(s.last_token_at for s in streams) - min(
        s.first_token_at for s in streams
    )


def _open_direct(fleet: Fleet, count: int, tokens: int, name: str) -> list[TokenStream]:
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


def _measure_direct(fleet: Fleet, count: int, tokens: int) -> dict[str, t.Any]:
    streams = _open_direct(fleet, count, tokens, f"direct{count}")
    read_streams(streams, b'"t":', b'"end":', 60.0)
    return _table_row("direct", streams, _seconds_streaming(streams))


def _open_relayed(fleet: Fleet, count: int, tokens: int) -> list[TokenStream]:
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


def _measure_relayed(fleet: Fleet, count: int, tokens: int) -> dict[str, t.Any]:
    pid = fleet["a0"].process.pid
    streams = _open_relayed(fleet, count, tokens)
    before = cpu_seconds(pid)
    read_streams(streams, b'"text":" w', b"[DONE]", 60.0)
    used_s = cpu_seconds(pid) - before
    seconds = _seconds_streaming(streams)
    row = _table_row("daemon", streams, seconds)
    token_count = sum(stream.tokens for stream in streams)
    row["cores"] = round(used_s / seconds, 2)
    row["us_per_token"] = round(used_s / token_count * 1e6, 1)
    row["resident_mb"] = round(resident_mb(pid), 1)
    return row


def _measure_unloaded(fleet: Fleet, rounds: int) -> dict[str, t.Any]:
    # Direct and relayed requests alternate, so that other load on the machine
    # affects both alike.
    direct = []
    relayed = []
    for number in range(rounds):
        direct += _open_direct(fleet, 1, 2, f"unloaded{number}")
        read_streams(direct[-1:], b'"t":', b'"end":', 10.0)
        relayed += _open_relayed(fleet, 1, 2)
        read_streams(relayed[-1:], b'"text":" w', b"[DONE]", 10.0)
    first_tokens_s = []
    for streams in (direct, relayed):
        first_tokens_s.append([s.first_token_at - s.sent_at for s in streams])
    return {
        "way": "unloaded",
        "rounds": rounds,
        "direct_first_p50_ms": round(quantile(first_tokens_s[0], 0.5) * 1000, 2),
        "daemon_first_p50_ms": round(quantile(first_tokens_s[1], 0.5) * 1000, 2),
    }


def _print_row(row: dict[str, t.Any]) -> None:
    click.echo("  ".join(f"{name}={value}" for name, value in row.items()))


@click.command()
@click.option("--sizes", default="1,100,200,300,400", help="Streams at once.")
@click.option("--tokens", default=200, help="Tokens of each stream.")
@click.option("--rounds", default=40, help="Unloaded requests, one after another.")
def main(sizes: str, tokens: int, rounds: int) -> None:
    """Print a table of rates, gaps and costs; the sizes run one after another."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(
            pathlib.Path(directory), data_centres=("a",), engines=_engine_settings()
        )
        with fleet:
            _print_row(_measure_unloaded(fleet, rounds))
            for size in sizes.split(","):
                _print_row(_measure_direct(fleet, int(size), tokens))
                _print_row(_measure_relayed(fleet, int(size), tokens))


if __name__ == "__main__":
    main()
