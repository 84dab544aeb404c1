"""Calls to model engines: placement, new paths, reports."""

import typing as t

import msgspec

from ..core.store import Call
from ..exceptions import UpstreamError

ORDER_PATH = "/order"
REPORT_PATH = "/report"


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    target: int


class Stalled(msgspec.Struct):
    """A request that waits for an engine of its path that does not answer."""

    # The attempt's id.
    id: str
    address: str


class Report(msgspec.Struct):
    """What an engine says of itself, some hundred milliseconds ago.

    ``orders``: accepted since its start; ``slowness``: 1 is its usual speed.
    """

    born: int
    orders: int = msgspec.field(name="sequence")
    is_busy: bool = msgspec.field(name="busy")
    running: int
    waiting: int = msgspec.field(name="queue_depth")
    kv_used: float
    kv_total: float
    slowness: float = msgspec.field(name="pace", default=1.0)
    layers: _Layers | None = None
    stalled: list[Stalled] = []


_REPORT = msgspec.json.Decoder(Report)


def place_call(first: int, last: int, orders: int | None) -> Call:
    """Return the order to hold the layers from ``first`` up to ``last``.

    :param orders: the count of orders that the engine must have accepted, so
        that a late copy of the order has no effect.
    """
    body: dict[str, t.Any] = {
        "op": "place",
        "from": first,
        "target": last,
        "mode": "wait",
    }
    if orders is not None:
        body["expect_rev"] = orders
    return Call("POST", ORDER_PATH, msgspec.json.encode(body))


def repath_call(attempt: str, path: bytes) -> Call:
    """Return the order to move a running request to another path."""
    body = {"op": "repath", "id": attempt, "path": path.decode()}
    return Call("POST", ORDER_PATH, msgspec.json.encode(body))


def report_call() -> Call:
    """Return the call for an engine's report."""
    return Call("GET", REPORT_PATH)


def decode_report(body: bytes) -> Report:
    """Return an engine's report.

    :raises UpstreamError: if it can't be read.
    """
    try:
        return _REPORT.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UpstreamError(f"unreadable report: {error}") from error
