"""Hand-over of a caller's socket between the request's thread and the loop."""

import collections.abc
import concurrent.futures
import socket
import threading
import typing as t

from ..exceptions import CallerGoneError
from ..exceptions import RequestError
from ..jobs import CompletionResult
from ..jobs import Job
from ..relay import Relay
from ..relay import Relays
from ..upstreams.caller import CallerSocket
from . import completions
from .responses import error_value

DRAIN_TIMEOUT_S = 10.0


def _chunk(data: bytes) -> bytes:
    # HTTP/1.1 chunked framing: the loop writes to the socket itself.
    return b"%x\r\n%b\r\n" % (len(data), data)


class StreamSink:
    """Tokens to a caller's socket; kept until the response head is out."""

    def __init__(self, caller: CallerSocket, shape: completions.Shape) -> None:
        self.started = threading.Event()
        self.has_tokens = False
        self._caller = caller
        self._shape = shape
        self._attached = False
        self._early: list[bytes] = []

    def write_token(self, text: str) -> None:
        """Write the event of a token."""
        data = _chunk(completions.token_event(self._shape, text))
        if self._attached:
            self._caller.send(data)
            return
        self._early.append(data)
        self.has_tokens = True
        self.started.set()

    def is_full(self) -> bool:
        """Tell whether the caller reads too slowly."""
        return self._caller.is_full()

    def attach(self) -> None:
        """Begin to write: the response head has been sent."""
        self._attached = True
        self._caller.send(b"".join(self._early))
        self._early.clear()


class WholeSink:
    """Takes no tokens: the finished relay carries the text."""

    def write_token(self, text: str) -> None:
        """Ignore a token."""

    def is_full(self) -> bool:
        """Tell that there is always room."""
        return False


def _watch(relays: Relays, relay: Relay, caller: CallerSocket) -> None:
    caller.on_gone = relay.cancel
    caller.on_room = relay.resume
    relays.loop.call(caller.open)


def _unwatch(relays: Relays, caller: CallerSocket) -> bool:
    # Waits, since the descriptor may be closed by the thread right after.
    drained: concurrent.futures.Future[None] = concurrent.futures.Future()

    def close() -> None:
        caller.close()
        drained.set_result(None)

    relays.loop.call(lambda: caller.drain(close))
    try:
        drained.result(DRAIN_TIMEOUT_S)
    except concurrent.futures.TimeoutError:
        relays.loop.call(caller.close)
        return False
    return not caller.gone


def run_whole(relays: Relays, job: Job, sock: socket.socket) -> CompletionResult:
    """Run a completion to its end.

    :raises RequestError: if it has no whole answer.
    """
    caller = CallerSocket(relays.loop, sock, 1)
    relay = relays.start_relay(job, WholeSink())
    _watch(relays, relay, caller)
    try:
        return relay.future.result()
    finally:
        _unwatch(relays, caller)


class Stream:
    """One streamed completion, from its first token on."""

    def __init__(
        self,
        relays: Relays,
        job: Job,
        shape: completions.Shape,
        sock: socket.socket,
        limit: int,
    ) -> None:
        self._relays = relays
        self._job = job
        self._shape = shape
        self._caller = CallerSocket(relays.loop, sock, limit)
        self._sink = StreamSink(self._caller, shape)
        self._relay = relays.start_relay(job, self._sink)
        self._relay.future.add_done_callback(lambda _: self._sink.started.set())
        _watch(relays, self._relay, self._caller)

    def wait_for_start(self) -> None:
        """Wait for the first token.

        :raises RequestError: if the request ends without one.
        """
        self._sink.started.wait()
        if self._sink.has_tokens or not self._relay.future.done():
            return
        try:
            self._relay.future.result()
        except RequestError:
            _unwatch(self._relays, self._caller)
            raise

    def events(
        self, on_end: t.Callable[[CompletionResult | RequestError], None]
    ) -> collections.abc.Iterator[bytes]:
        """Yield the first and last events; the loop writes those between."""
        end: CompletionResult | RequestError = CallerGoneError(
            "the caller closed early"
        )
        is_watched = True
        try:
            yield completions.first_event(self._shape)
            self._relays.loop.call(self._sink.attach)
            end = self._wait()
            is_watched = False
            if not _unwatch(self._relays, self._caller):
                raise ConnectionAbortedError("the caller does not read")
            yield self._last(end)
        finally:
            if is_watched:
                self._relays.loop.call(self._relay.cancel)
                _unwatch(self._relays, self._caller)
            on_end(end)

    def _wait(self) -> CompletionResult | RequestError:
        try:
            return self._relay.future.result()
        except RequestError as error:
            return error

    def _last(self, end: CompletionResult | RequestError) -> bytes:
        if isinstance(end, CompletionResult):
            return completions.last_events(self._shape, end.reason)
        return completions.error_event(error_value(end, self._job.request))
