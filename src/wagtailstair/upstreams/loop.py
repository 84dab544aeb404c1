"""One thread that runs transfers, timers and callers' sockets under epoll."""

import collections
import heapq
import itertools
import select
import socket
import threading
import typing as t

import pycurl

from ..clock import Clock
from ..logs import error_location
from ..logs import log_event

Callback = t.Callable[[], None]
FdHandler = t.Callable[[int], None]

MAX_POLL_S = 1.0

_EPOLL_BY_CURL = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


class Timer:
    """A callback that is due at an instant, unless cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callback) -> None:
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Do not run the callback."""
        self.callback = None


class Loop:
    """An event loop around a curl multi handle.

    Only :meth:`call`, :meth:`start` and :meth:`stop` may be used from other
    threads; all callbacks run in the loop's thread and must not block.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls: collections.deque[Callback] = collections.deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._epoll = select.epoll()
        self._handler_by_fd: dict[int, FdHandler] = {}
        self._curl_due: float | None = None
        self._finished_by_easy: dict[pycurl.Curl, t.Callable[[int, str], None]] = {}
        self._stopping = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.watch(self._wake_reader.fileno(), select.EPOLLIN, self._on_wake)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_curl_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_curl_timer)
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Start the loop's thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the loop's thread; open transfers are dropped."""
        self._stopping = True
        self._wake()
        self._thread.join(timeout_s)

    def call(self, callback: Callback) -> None:
        """Run a callback in the loop's thread soon."""
        self._calls.append(callback)
        if threading.current_thread() is not self._thread:
            self._wake()

    def call_later(self, delay_s: float, callback: Callback) -> Timer:
        """Run a callback after a delay; only from the loop's thread."""
        timer = Timer(callback)
        due = self._clock.monotonic() + delay_s
        heapq.heappush(self._timers, (due, next(self._sequence), timer))
        return timer

    def watch(self, fd: int, mask: int, handler: FdHandler) -> None:
        """Call the handler with the epoll mask when the descriptor is ready."""
        if fd in self._handler_by_fd:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._handler_by_fd[fd] = handler

    def unwatch(self, fd: int) -> None:
        """Forget a descriptor."""
        if self._handler_by_fd.pop(fd, None) is None:
            return
        try:
            self._epoll.unregister(fd)
        except (OSError, ValueError):
            return

    def add_easy(
        self, easy: pycurl.Curl, finished: t.Callable[[int, str], None]
    ) -> None:
        """Run an easy handle; ``finished`` gets curl's error number and text."""
        self._finished_by_easy[easy] = finished
        self._multi.add_handle(easy)

    def remove_easy(self, easy: pycurl.Curl) -> None:
        """Drop an easy handle and its connection; ``finished`` is not called."""
        if self._finished_by_easy.pop(easy, None) is not None:
            self._multi.remove_handle(easy)

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            return

    def _on_wake(self, mask: int) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            return

    def _on_curl_socket(self, event: int, fd: int, multi: object, data: object) -> None:
        if event == pycurl.POLL_REMOVE:
            self.unwatch(fd)
            return

        def on_ready(mask: int) -> None:
            action = 0
            if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
                action |= pycurl.CSELECT_IN
            if mask & select.EPOLLOUT:
                action |= pycurl.CSELECT_OUT
            self._multi.socket_action(fd, action)

        self.watch(fd, _EPOLL_BY_CURL[event], on_ready)

    def _on_curl_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._curl_due = None
            return
        self._curl_due = self._clock.monotonic() + timeout_ms / 1000

    def _run(self) -> None:
        while not self._stopping:
            for fd, mask in self._epoll.poll(self._poll_s()):
                handler = self._handler_by_fd.get(fd)
                if handler is not None:
                    self._guarded(handler, mask)
            self._run_timers()
            self._reap()
            self._run_calls()

    def _poll_s(self) -> float:
        if self._calls:
            return 0.0
        due = self._clock.monotonic() + MAX_POLL_S
        if self._timers:
            due = min(due, self._timers[0][0])
        if self._curl_due is not None:
            due = min(due, self._curl_due)
        return max(0.0, due - self._clock.monotonic())

    def _run_timers(self) -> None:
        now = self._clock.monotonic()
        if self._curl_due is not None and self._curl_due <= now:
            self._curl_due = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                self._guarded(timer.callback)

    def _run_calls(self) -> None:
        # Only what is there now: a callback that calls again must not starve I/O.
        for _ in range(len(self._calls)):
            self._guarded(self._calls.popleft())

    def _reap(self) -> None:
        while True:
            remaining, succeeded, failed = self._multi.info_read()
            for easy in succeeded:
                self._finish(easy, 0, "")
            for easy, number, message in failed:
                self._finish(easy, number, message)
            if not remaining:
                return

    def _finish(self, easy: pycurl.Curl, number: int, message: str) -> None:
        finished = self._finished_by_easy.pop(easy, None)
        if finished is None:
            return
        self._multi.remove_handle(easy)
        self._guarded(finished, number, message)

    def _guarded(self, callback: t.Callable[..., None], *args: t.Any) -> None:
        # One broken request must not end the thread that serves all of them.
        try:
            callback(*args)
        except Exception as error:
            log_event(
                "loop_callback_failed", level="ERROR", error=error_location(error)
            )
