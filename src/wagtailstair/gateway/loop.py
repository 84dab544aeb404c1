"""An event loop over epoll: sockets, timers, signals. One thread runs all of it."""

import collections.abc
import contextlib
import heapq
import itertools
import select
import signal
import socket
import typing as t

from ..clock import Clock
from ..logs import error_location
from ..logs import log_event

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
FAILED = select.EPOLLERR | select.EPOLLHUP

MAX_POLL_S = 5.0
"""Longest wait for events, in seconds; nothing depends on it."""

Handler = collections.abc.Callable[[int], None]


class Timer:
    """A call that is due at an instant, unless it is cancelled."""

    __slots__ = ("call", "when")

    def __init__(self, when: float, call: t.Callable[[], None] | None) -> None:
        self.when = when
        self.call = call

    def cancel(self) -> None:
        """Make the call not happen."""
        self.call = None


class Loop:
    """Sockets by descriptor and timers by instant."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.now = clock.monotonic()
        self._epoll = select.epoll()
        self._handler_by_fd: dict[int, Handler] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._is_running = False
        self._on_signal: dict[int, t.Callable[[], None]] = {}

    def add(self, fd: int, events: int, handler: Handler) -> None:
        """Call a handler on events of a descriptor."""
        self._handler_by_fd[fd] = handler
        self._epoll.register(fd, events)

    def change(self, fd: int, events: int) -> None:
        """Change the events of a descriptor that are waited for."""
        self._epoll.modify(fd, events)

    def remove(self, fd: int) -> None:
        """Forget a descriptor, before it is closed."""
        if self._handler_by_fd.pop(fd, None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)

    def call_later(self, delay_s: float, call: t.Callable[[], None]) -> Timer:
        """Call a function after some seconds."""
        return self.call_at(self.now + delay_s, call)

    def call_at(self, when: float, call: t.Callable[[], None]) -> Timer:
        """Call a function at an instant of the monotonic clock."""
        timer = Timer(when, call)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def call_on_signal(self, number: int, call: t.Callable[[], None]) -> None:
        """Call a function, from the loop, after a signal."""
        if not self._on_signal:
            self._watch_signals()
        self._on_signal[number] = call
        signal.signal(number, lambda _number, _frame: None)

    def run(self) -> None:
        """Serve events until :meth:`stop`."""
        self._is_running = True
        while self._is_running:
            events = self._epoll.poll(self._poll_s())
            self.now = self.clock.monotonic()
            for fd, mask in events:
                handler = self._handler_by_fd.get(fd)
                if handler is not None:
                    self._guard(handler, mask)
            self._run_timers()

    def stop(self) -> None:
        """End :meth:`run` after the present round."""
        self._is_running = False

    def _poll_s(self) -> float:
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_POLL_S
        return max(0.0, min(self._timers[0][0] - self.now, MAX_POLL_S))

    def _run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            _, _, timer = heapq.heappop(self._timers)
            call = timer.call
            if call is None:
                continue
            timer.call = None
            self._guard(call)

    @staticmethod
    def _guard(handler: t.Callable[..., None], *arguments: int) -> None:
        try:
            handler(*arguments)
        except Exception as error:  # one request's fault must not end the rest
            log_event("handler_failed", level="ERROR", error=error_location(error))

    def _watch_signals(self) -> None:
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        self._signal_sockets = (reader, writer)

        def on_signals(_mask: int) -> None:
            for number in reader.recv(256):
                call = self._on_signal.get(number)
                if call is not None:
                    call()

        self.add(reader.fileno(), READABLE, on_signals)
