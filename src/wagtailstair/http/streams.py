"""Writes completions to a caller's socket from the event loop.

The request's thread writes the response head and the first and last events; in
between, the loop's thread writes the tokens directly to the socket.
"""

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
    """Writes tokens to a caller's socket; buffers them until the head is sent."""

    def __init__(
        self, caller: CallerSocket, fields: completions.ResponseFields
    ) -> None:
        self.started = threading.Event()
        self.has_tokens = False
        self._caller = caller
        self._fields = fields
        self._attached = False
        self._buffered: list[bytes] = []

    def write_token(self, text: str) -> None:
        """Write or buffer the event for a token."""
        data = _chunk(completions.token_event(self._fields, text))
        if self._attached:
            self._caller.send(data)
            return
        self._buffered.append(data)
        self.has_tokens = True
        self.started.set()

    def is_full(self) -> bool:
        """Return whether the caller reads too slowly."""
        return self._caller.is_full()

    def attach(self) -> None:
        """Start writing to the socket, once the response head has been sent."""
        self._attached = True
        self._caller.send(b"".join(self._buffered))
        self._buffered.clear()


class DiscardingSink:
    """Discards tokens; the result of the relay holds the complete text."""

    def write_token(self, text: str) -> None:
        """Ignore a token."""

    def is_full(self) -> bool:
        """Return False: there is no buffer."""
        return False


def _watch_caller(relays: Relays, relay: Relay, caller: CallerSocket) -> None:
    caller.on_disconnect = relay.cancel
    caller.on_writable = relay.resume
    relays.loop.call(caller.open)


def _drain_and_unwatch(relays: Relays, caller: CallerSocket) -> bool:
    # Blocks until done, since the request's thread may close the descriptor next.
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
    return not caller.is_disconnected


def run_to_completion(
    relays: Relays, job: Job, sock: socket.socket
) -> CompletionResult:
    """Run a completion that is not streamed and return its result.

    :raises RequestError: if it fails.
    """
    caller = CallerSocket(relays.loop, sock, 1)
    relay = relays.start_relay(job, DiscardingSink())
    _watch_caller(relays, relay, caller)
    try:
        return relay.future.result()
    finally:
        _drain_and_unwatch(relays, caller)


class Stream:
    """One streamed completion."""

    def __init__(
        self,
        relays: Relays,
        job: Job,
        fields: completions.ResponseFields,
        sock: socket.socket,
        limit: int,
    ) -> None:
        self._relays = relays
        self._job = job
        self._fields = fields
        self._caller = CallerSocket(relays.loop, sock, limit)
        self._sink = StreamSink(self._caller, fields)
        self._relay = relays.start_relay(job, self._sink)
        self._relay.future.add_done_callback(lambda _: self._sink.started.set())
        _watch_caller(relays, self._relay, self._caller)

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
            _drain_and_unwatch(self._relays, self._caller)
            raise

    def events(
        self, on_end: t.Callable[[CompletionResult | RequestError], None]
    ) -> collections.abc.Iterator[bytes]:
        """Yield the first and last events; the loop writes the events in between."""
        end: CompletionResult | RequestError = CallerGoneError(
            "the caller disconnected before the end of the stream"
        )
        is_watched = True
        try:
            yield completions.first_event(self._fields)
            self._relays.loop.call(self._sink.attach)
            end = self._wait_for_end()
            is_watched = False
            if not _drain_and_unwatch(self._relays, self._caller):
                raise ConnectionAbortedError(
                    "the caller disconnected or did not read the stream in time"
                )
            yield self._last_events(end)
        finally:
            if is_watched:
                self._relays.loop.call(self._relay.cancel)
                _drain_and_unwatch(self._relays, self._caller)
            on_end(end)

    def _wait_for_end(self) -> CompletionResult | RequestError:
        try:
            return self._relay.future.result()
        except RequestError as error:
            return error

    def _last_events(self, end: CompletionResult | RequestError) -> bytes:
        if isinstance(end, CompletionResult):
            return completions.last_events(self._fields, end.reason)
        return completions.error_event(error_value(end, self._job.request))
