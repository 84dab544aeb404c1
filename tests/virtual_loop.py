"""Timers and connections in virtual time, for parts that take a loop."""

import heapq
import itertools

from wagtailstair.clock import ManualClock
from wagtailstair.gateway.loop import Timer


class VirtualLoop:
    """Timers in virtual time."""

    def __init__(self):
        self.now = 0.0
        self.clock = ManualClock()
        self._paused_s = 0.0
        self._timers = []
        self._order = itertools.count()

    def call_at(self, when, callback):
        timer = Timer(when, callback)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def call_later(self, delay_s, callback):
        return self.call_at(self.now + delay_s, callback)

    def pause(self, seconds):
        """Let time pass that the running callback doesn't notice."""
        self._paused_s += seconds

    def read_clock(self):
        self.now += self._paused_s
        self._paused_s = 0.0
        return self.now

    def run_until(self, end):
        while self._timers and self._timers[0][0] <= end:
            self.now, _, timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                timer.callback()
        self.now = end


class Pool:
    """Hands out one connection, and keeps its observer."""

    def __init__(self):
        self.observer = None
        self.is_cancelled = False
        # Bytes that calls have buffered, as they report them.
        self.buffered = 0

    def on_buffered(self, change):
        self.buffered += change

    def send(self, _upstream, _data, observer, *, new_connection):
        self.observer = observer
        return self

    def cancel(self):
        self.is_cancelled = True
