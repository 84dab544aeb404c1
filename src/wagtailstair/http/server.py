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
BACKLOG_IDLE_S = 0.25  # after this time without a connection, the backlog is empty
BACKLOG_TIMEOUT_S = 10.0  # maximum to empty the backlog while callers keep connecting
LISTEN_BACKLOG = 512
SPARE_THREADS = 32  # beyond the request limit, to answer probes and refusals


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = SOCKET_TIMEOUT_S

    def log(self, type: str, message: str, *args: t.Any) -> None:
        """Do nothing: the application logs its own events."""

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Do nothing: the application logs its own events."""


def _no_app(environ: t.Any, start_response: t.Any) -> t.NoReturn:
    raise AssertionError("the server was started before its app was set")


class Server(BaseWSGIServer):
    """A threaded WSGI server that can stop without dropping connections.

    Its ``app`` has to be set before :meth:`start`.

    :param open_requests: requests served at once; further ones wait in the backlog.
    """

    request_queue_size = LISTEN_BACKLOG
    multithread = True

    def __init__(self, address: str, port: int, open_requests: int) -> None:
        super().__init__(address, port, _no_app, handler=_Handler)
        workers = open_requests + SPARE_THREADS
        self._pool = concurrent.futures.ThreadPoolExecutor(workers, "request")
        self._free_workers = threading.BoundedSemaphore(workers)
        self._closing = threading.Event()
        self._closes_at = math.inf
        self._accepting = threading.Thread(target=self._accept_loop, name="accept")

    def start(self) -> None:
        """Start accepting connections."""
        self.socket.listen(LISTEN_BACKLOG)
        self.socket.setblocking(False)
        self._accepting.start()

    def close(self) -> None:
        """Accept the connections in the backlog, then close the listening socket."""
        # Callers that keep connecting must not delay the close without bound.
        if not stop_new_connections(self.socket):
            self._closes_at = time.monotonic() + BACKLOG_TIMEOUT_S
        self._closing.set()
        self._accepting.join()
        self.server_close()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait for the open requests to end; return whether all of them did."""
        done = threading.Event()

        def wait() -> None:
            self._pool.shutdown(wait=True)
            done.set()

        threading.Thread(target=wait, name="drain", daemon=True).start()
        return done.wait(timeout_s)

    def _accept_loop(self) -> None:
        while not self._closing.is_set():
            self._accept_one(ACCEPT_POLL_S)
        while self._accept_one(BACKLOG_IDLE_S):
            if time.monotonic() > self._closes_at:
                break

    def _accept_one(self, wait_s: float) -> bool:
        readable, _, _ = select.select([self.socket], [], [], wait_s)
        if not readable:
            return False
        self._free_workers.acquire()
        try:
            connection, address = self.socket.accept()
        except BlockingIOError:
            self._free_workers.release()
            return True
        except OSError:
            # For example out of file descriptors: wait for open requests to end.
            self._free_workers.release()
            self._closing.wait(ACCEPT_POLL_S)
            return True
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pool.submit(self._serve, connection, address)
        return True

    def _serve(self, connection: socket.socket, address: t.Any) -> None:
        try:
            self.finish_request(connection, address)
        except (OSError, ValueError):
            # The caller disconnected, or what it sent is not HTTP.
            pass
        finally:
            self.shutdown_request(connection)
            self._free_workers.release()
