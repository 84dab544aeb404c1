"""An event loop over epoll for sockets, timers and signals, run by one thread."""

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
"""Longest wait for events, in seconds; the value has no effect on behaviour."""

Handler = collections.abc.Callable[[int], None]


class Timer:
    """A callback that is due at a time, unless it is cancelled."""

    __slots__ = ("callback", "when")

    def __init__(self, when: float, callback: t.Callable[[], None] | None) -> None:
        self.when = when
        self.callback = callback

    def cancel(self) -> None:
        """Prevent the callback from being called."""
        self.callback = None


class Loop:
    """Calls handlers of sockets, timers and signals."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.now = clock.monotonic()
        self._epoll = select.epoll()
        self._handler_by_fd: dict[int, Handler] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        # Keeps timers that are due at the same time in the order of their creation.
        self._order = itertools.count()
        self._is_running = False
        self._callback_by_signal: dict[int, t.Callable[[], None]] = {}

    def add(self, fd: int, events: int, handler: Handler) -> None:
        """Register a handler for events of a descriptor."""
        self._handler_by_fd[fd] = handler
        self._epoll.register(fd, events)

    def change(self, fd: int, events: int) -> None:
        """Change the events for which a descriptor's handler is called."""
        self._epoll.modify(fd, events)

    def remove(self, fd: int) -> None:
        """Unregister a descriptor; to be called before it is closed."""
        if self._handler_by_fd.pop(fd, None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)

    def call_later(self, delay_s: float, callback: t.Callable[[], None]) -> Timer:
        """Schedule a callback after a delay."""
        return self.call_at(self.now + delay_s, callback)

    def call_at(self, when: float, callback: t.Callable[[], None]) -> Timer:
        """Schedule a callback at a time of the monotonic clock."""
        timer = Timer(when, callback)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def call_on_signal(self, number: int, callback: t.Callable[[], None]) -> None:
        """Register a callback for a signal; the loop calls it."""
        if not self._callback_by_signal:
            self._watch_signals()
        self._callback_by_signal[number] = callback
        signal.signal(number, lambda _number, _frame: None)

    def run(self) -> None:
        """Handle events until :meth:`stop` is called."""
        self._is_running = True
        while self._is_running:
            events = self._epoll.poll(self._poll_s())
            self.now = self.clock.monotonic()
            for fd, mask in events:
                handler = self._handler_by_fd.get(fd)
                if handler is not None:
                    self._call(handler, mask)
            self._run_timers()

    def read_clock(self) -> float:
        """Return the time now, not that at which the events in progress arrived.

        The process may have been paused meanwhile.
        """
        self.now = self.clock.monotonic()
        return self.now

    def stop(self) -> None:
        """Make :meth:`run` return after the events in progress."""
        self._is_running = False

    def _poll_s(self) -> float:
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_POLL_S
        return max(0.0, min(self._timers[0][0] - self.now, MAX_POLL_S))

    def _run_timers(self) -> None:
        """Run the timers that are due, but not those that these schedule.

        Sockets come first: a caller with many requests sent ahead would otherwise
        keep the loop from reading any.
        """
        first_new = next(self._order)
        while self._timers and self._timers[0][0] <= self.now:
            if self._timers[0][1] > first_new:
                return
            _, _, timer = heapq.heappop(self._timers)
            callback = timer.callback
            if callback is None:
                continue
            timer.callback = None
            self._call(callback)

    @staticmethod
    def _call(handler: t.Callable[..., None], *arguments: int) -> None:
        try:
            handler(*arguments)
        except Exception as error:  # a fault in one request must not stop the others
            log_event("handler_failed", level="ERROR", error=error_location(error))

    def _watch_signals(self) -> None:
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        self._signal_sockets = (reader, writer)

        def on_signals(_mask: int) -> None:
            for number in reader.recv(256):
                callback = self._callback_by_signal.get(number)
                if callback is not None:
                    callback()

        self.add(reader.fileno(), READABLE, on_signals)
