"""A TCP server for tests that answers each request with the next script."""

import socket
import threading
import typing as t

Script = t.Callable[[socket.socket, bytes], None]

TIMEOUT_S = 10.0


def read_request(connection: socket.socket) -> bytes:
    """Read one HTTP request with its body, or less if the connection ends early."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        chunk = connection.recv(65536)
        if not chunk:
            break
        body += chunk
    return head + b"\r\n\r\n" + body


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a complete HTTP response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class ScriptedServer:
    """Answers the n-th request with the n-th script and records all requests."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self.requests: list[bytes] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._connections: list[socket.socket] = []
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> "ScriptedServer":
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()
        for connection in self._connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            connection.settimeout(TIMEOUT_S)
            while True:
                request = read_request(connection)
                if not request:
                    return
                with self._lock:
                    self.requests.append(request)
                    if not self._scripts:
                        return
                    script = self._scripts.pop(0)
                script(connection, request)
        except OSError:
            return
        finally:
            connection.close()
