"""Calls to model engines: orders to hold layers or to change paths, and reports."""

import typing as t

import msgspec

from ..core.store import Call
from ..exceptions import UpstreamError
from .headers import HEADER_NAMES

ORDER_PATH = "/order"
REPORT_PATH = "/report"


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    target: int


class StalledRequest(msgspec.Struct):
    """A request that waits for an engine of its path that does not answer.

    ``id``: of the attempt; ``address``: of the engine that does not answer.
    """

    id: str
    address: str


class Report(msgspec.Struct):
    """An engine's report on its state, a few hundred milliseconds old.

    ``born``: Unix milliseconds of its start; ``orders``: number accepted since then;
    ``slowness``: time of a step relative to the usual one, 1 at the usual speed.
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
    stalled: list[StalledRequest] = []


class _Refusal(msgspec.Struct):
    """A refused order; ``address``: of the engine that is not there."""

    address: str = ""


_REPORT = msgspec.json.Decoder(Report)
_REFUSAL = msgspec.json.Decoder(_Refusal)


def place_call(engine: str, first: int, last: int, orders: int | None) -> Call:
    """Return the call that orders an engine to hold layers ``first`` to ``last``.

    The range excludes ``last``.

    :param engine: its name; another engine that has its address now refuses the order.
    :param orders: the number of orders that the engine must have accepted before,
        so that a delayed duplicate of the order has no effect.
    """
    body: dict[str, t.Any] = {
        "op": "place",
        "from": first,
        "target": last,
        "mode": "wait",
    }
    if orders is not None:
        body["expect_rev"] = orders
    return _order_call(engine, body)


def repath_call(engine: str, attempt: str, path: bytes) -> Call:
    """Return the call that orders an engine to move a running request to a path."""
    body = {"op": "repath", "id": attempt, "path": path.decode()}
    return _order_call(engine, body)


def _order_call(engine: str, body: dict[str, t.Any]) -> Call:
    headers = ((HEADER_NAMES.expected_replica, engine.encode()),)
    return Call("POST", ORDER_PATH, msgspec.json.encode(body), headers)


def report_call() -> Call:
    """Return the call that requests an engine's report."""
    return Call("GET", REPORT_PATH)


def decode_report(body: bytes) -> Report:
    """Decode an engine's report.

    :raises UpstreamError: if the body is not a valid report.
    """
    try:
        return _REPORT.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UpstreamError(f"invalid engine report: {error}") from error


def decode_refused_address(body: bytes) -> str:
    """Return the address of the engine that a refused path names, empty for none."""
    try:
        return _REFUSAL.decode(body).address
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return ""
