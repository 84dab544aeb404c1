"""The HTTP server: a bounded pool of threads around a listening socket."""

import concurrent.futures
import math
import select
import socket
import threading
import time
import typing as t

from werkzeug.serving import BaseWSGIServer
from werkzeug.serving import WSGIRequestHandler

from .listener import stop_new_connections

SOCKET_TIMEOUT_S = 30.0
ACCEPT_POLL_S = 0.1
BACKLOG_QUIET_S = 0.25
BACKLOG_LONGEST_S = 10.0
LISTEN_BACKLOG = 512
SPARE_THREADS = 32


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = SOCKET_TIMEOUT_S

    def log(self, type: str, message: str, *args: t.Any) -> None:
        """Write nothing: the app logs events of its own."""

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Write nothing: the app logs events of its own."""


def _no_app(environ: t.Any, start_response: t.Any) -> t.NoReturn:
    raise AssertionError("the server has no application yet")


class Server(BaseWSGIServer):
    """A WSGI server whose accept loop can be ended without cutting anyone.

    Its ``app`` is set before :meth:`start`.

    :param open_requests: requests served at once; more wait in the backlog.
    """

    request_queue_size = LISTEN_BACKLOG
    multithread = True

    def __init__(self, address: str, port: int, open_requests: int) -> None:
        super().__init__(address, port, _no_app, handler=_Handler)
        workers = open_requests + SPARE_THREADS
        self._pool = concurrent.futures.ThreadPoolExecutor(workers, "request")
        self._free = threading.BoundedSemaphore(workers)
        self._closing = threading.Event()
        self._closes_at = math.inf
        self._accepting = threading.Thread(target=self._accept_all, name="accept")

    def start(self) -> None:
        """Begin to accept connections."""
        self.socket.listen(LISTEN_BACKLOG)
        self.socket.setblocking(False)
        self._accepting.start()

    def close(self) -> None:
        """Take what waits in the backlog, then close the listening socket."""
        # Callers that go on connecting must not keep the backlog from ending.
        if not stop_new_connections(self.socket):
            self._closes_at = time.monotonic() + BACKLOG_LONGEST_S
        self._closing.set()
        self._accepting.join()
        self.server_close()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait for the open requests to end; say whether all did."""
        done = threading.Event()

        def wait() -> None:
            self._pool.shutdown(wait=True)
            done.set()

        threading.Thread(target=wait, name="drain", daemon=True).start()
        return done.wait(timeout_s)

    def _accept_all(self) -> None:
        while not self._closing.is_set():
            self._accept_one(ACCEPT_POLL_S)
        while self._accept_one(BACKLOG_QUIET_S):
            if time.monotonic() > self._closes_at:
                break

    def _accept_one(self, wait_s: float) -> bool:
        readable, _, _ = select.select([self.socket], [], [], wait_s)
        if not readable:
            return False
        self._free.acquire()
        try:
            connection, address = self.socket.accept()
        except BlockingIOError:
            self._free.release()
            return True
        except OSError:
            # Out of descriptors, for one: let open requests end first.
            self._free.release()
            self._closing.wait(ACCEPT_POLL_S)
            return True
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pool.submit(self._serve, connection, address)
        return True

    def _serve(self, connection: socket.socket, address: t.Any) -> None:
        try:
            self.finish_request(connection, address)
        except (OSError, ValueError):
            # The caller went away, or sent what is not HTTP.
            pass
        finally:
            self.shutdown_request(connection)
            self._free.release()
