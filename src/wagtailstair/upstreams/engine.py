"""The model engines' protocol: requests, streamed lines and load reports."""

import typing as t

import msgspec

from ..core.engine import EngineState
from ..core.engine import Route
from ..exceptions import UpstreamError

MAX_LINE_BYTES = 64 << 10


class Line(msgspec.Struct):
    """One line of a stream: a token, or the end where ``end`` is set.

    ``r``: request; ``a``: attempt; ``e``: epoch; ``p``: position; ``t``: token
    id; ``x``: text; ``w``: trail of layer ranges.
    """

    r: str
    a: str
    e: int
    p: int
    t: int = -1
    x: str = ""
    w: tuple[tuple[int, int], ...] = ()
    end: str = ""


class _RouteStage(msgspec.Struct):
    address: str
    first: int
    last: int


class GenerateRequest(msgspec.Struct):
    """The body of ``POST /v1/generate``."""

    request: str
    attempt: str
    epoch: int
    model: str
    adapter: str
    prompt: str
    tokens: list[int]
    max_tokens: int
    priority: int
    deadline_ms: int
    route: list[_RouteStage]


class _State(msgspec.Struct):
    name: str
    incarnation: str
    model: str
    version: str
    role: str
    first: int
    last: int
    layers: int
    accelerator: str
    slots: int
    running: int
    waiting: int
    kv_tokens: int
    kv_used: int
    step_ms: float
    prefill_tokens_per_s: float
    leaving: bool
    fencing: str
    as_of_ms: float
    order: int = 0
    adapters: tuple[str, ...] = ()
    links: dict[str, float] = {}


class _Refusal(msgspec.Struct):
    not_run: bool = False


_LINE_DECODER = msgspec.json.Decoder(Line)
_STATE_DECODER = msgspec.json.Decoder(_State)


class LineBuffer:
    """Cuts the pieces of a stream into its lines."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that a piece completes.

        :raises UpstreamError: if a line is longer than any of the protocol.
        """
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_LINE_BYTES:
            raise UpstreamError("line too long")
        return [line for line in lines if line]


def decode_line(raw: bytes) -> Line:
    """Decode one line of a stream.

    :raises UpstreamError: if it is not a line of the protocol.
    """
    try:
        return _LINE_DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise UpstreamError(f"malformed line: {error}") from error


def says_not_run(raw: bytes) -> bool:
    """Tell whether an error's body says that the attempt did not run."""
    try:
        return msgspec.json.decode(raw, type=_Refusal).not_run
    except msgspec.MsgspecError:
        return False


def encode_generate(
    *,
    request: str,
    attempt: str,
    epoch: int,
    model: str,
    prompt: str,
    tokens: t.Sequence[int],
    max_tokens: int,
    priority: int,
    timeout_s: float,
    route: Route,
    adapter: str = "",
) -> bytes:
    """Encode the request for one attempt."""
    stages = [_RouteStage(stage.address, stage.first, stage.last) for stage in route]
    body = GenerateRequest(
        request=request,
        attempt=attempt,
        epoch=epoch,
        model=model,
        adapter=adapter,
        prompt=prompt,
        tokens=list(tokens),
        max_tokens=max_tokens,
        priority=priority,
        deadline_ms=int(timeout_s * 1000),
        route=stages,
    )
    return msgspec.json.encode(body)


def decode_state(
    raw: bytes, *, address: str, data_centre: str, now: float
) -> EngineState:
    """Decode a load report.

    :param now: the reader's monotonic clock, in seconds.
    :raises UpstreamError: if it is not a report of the protocol.
    """
    try:
        state = _STATE_DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise UpstreamError(f"malformed load report: {error}") from error
    links = tuple((name, ms / 1000) for name, ms in sorted(state.links.items()))
    return EngineState(
        name=state.name,
        incarnation=state.incarnation,
        address=address,
        data_centre=data_centre,
        model=state.model,
        version=state.version,
        role=state.role,
        accelerator=state.accelerator,
        first=state.first,
        last=state.last,
        layers=state.layers,
        slots=state.slots,
        running=state.running,
        waiting=state.waiting,
        kv_tokens=state.kv_tokens,
        kv_used=state.kv_used,
        step_s=state.step_ms / 1000,
        prefill_tokens_per_s=state.prefill_tokens_per_s,
        leaving=state.leaving,
        fencing_checked=state.fencing == "checked",
        order=state.order,
        as_of=now - state.as_of_ms / 1000,
        adapters=state.adapters,
        links_s=links,
    )
