"""Orders to engines over HTTP, for the holder of the placement lease."""

import collections.abc
import concurrent.futures

import msgspec

from ..clock import Clock
from ..core.engine import EngineState
from ..core.placement import Order
from ..core.upstreams import Upstreams
from ..exceptions import UpstreamError
from ..exceptions import UpstreamLostError
from ..exceptions import UpstreamNotSentError
from ..exceptions import UpstreamRefusedError
from ..logs import log_event
from .engine import decode_state
from .loop import Loop
from .transfer import TransferEnd
from .transfer import TransferOutcome
from .transfer import TransferRequest
from .transfer import start_exchange

STATE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
WAIT_MARGIN_S = 1.0
OK = 200


class EngineOrders:
    """Sends orders to the engines of the host list, and reads their states."""

    def __init__(self, loop: Loop, clock: Clock, upstreams: Upstreams) -> None:
        self._loop = loop
        self._clock = clock
        self._upstreams = upstreams

    def read_state(self, engine: str) -> EngineState:
        """Ask an engine for its state.

        :raises UpstreamError: if it gives none.
        """
        upstream = self._upstreams.get(engine)
        if upstream is None:
            raise UpstreamNotSentError("not listed", where=engine)
        request = TransferRequest(
            method="GET",
            url=f"http://{upstream.address}/v1/state",
            connect_timeout_s=CONNECT_TIMEOUT_S,
            timeout_s=STATE_TIMEOUT_S,
            repeatable=True,
        )
        end = self._exchange(request, engine)
        if end.sent is not TransferOutcome.ANSWERED or end.status != OK:
            raise UpstreamError(f"no state: {end.error or end.status}", where=engine)
        return decode_state(
            end.body,
            address=upstream.address,
            data_centre=upstream.data_centre,
            now=self._clock.monotonic(),
        )

    def send_order(
        self,
        order: Order,
        fence: int,
        holder: str,
        timeout_s: float,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order, if ``may_send`` holds when the connection stands.

        :raises UpstreamError: if it was not sent, was refused, or its reply
            was lost.
        """
        upstream = self._upstreams.get(order.engine)
        if upstream is None:
            raise UpstreamNotSentError("not listed", where=order.engine)
        body = {
            "fence": fence,
            "holder": holder,
            "kind": order.kind.value,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "role": order.role,
            "first": order.first,
            "last": order.last,
        }
        request = TransferRequest(
            method="POST",
            url=f"http://{upstream.address}/v1/orders",
            headers=(("Content-Type", "application/json"),),
            body=msgspec.json.encode(body),
            connect_timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
            timeout_s=timeout_s,
            may_send=may_send,
        )
        end = self._exchange(request, order.engine)
        log_event(
            "order_sent",
            engine=order.engine,
            kind=order.kind.value,
            model=order.model,
            fence=fence,
            sent=end.sent.value,
            status=end.status,
        )
        _judge(end, order.engine)

    def _exchange(self, request: TransferRequest, engine: str) -> TransferEnd:
        future = start_exchange(self._loop, request)
        try:
            return future.result(request.timeout_s + WAIT_MARGIN_S)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise UpstreamLostError("no end of the exchange", where=engine) from None


def _judge(end: TransferEnd, engine: str) -> None:
    if end.sent is TransferOutcome.NOT_SENT:
        raise UpstreamNotSentError(end.error, where=engine)
    if end.sent is TransferOutcome.LOST:
        raise UpstreamLostError(end.error, where=engine)
    if end.status != OK:
        raise UpstreamRefusedError(f"status {end.status}", where=engine)
