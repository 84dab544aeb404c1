"""The gateway's event loop."""

import socket

from wagtailstair.clock import SystemClock
from wagtailstair.gateway.loop import READABLE
from wagtailstair.gateway.loop import Loop

TURNS = 100


class TestTimers:
    # Callers with many requests sent ahead kept all others from being read.
    def test_timers_that_schedule_others_do_not_keep_sockets_waiting(self):
        loop = Loop(SystemClock())
        ours, theirs = socket.socketpair()
        turns = []

        def reschedule():
            turns.append(0)
            if len(turns) < TURNS:
                loop.call_later(0.0, reschedule)
            else:
                loop.stop()

        def on_readable(_mask):
            loop.remove(ours.fileno())
            loop.stop()

        with ours, theirs:
            loop.add(ours.fileno(), READABLE, on_readable)
            theirs.send(b"x")
            loop.now = loop.clock.monotonic()
            loop.call_later(-1.0, reschedule)
            loop.call_later(-1.0, lambda: theirs.send(b"x"))
            loop.run()
        assert len(turns) <= 2
