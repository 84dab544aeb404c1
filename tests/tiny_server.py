"""An HTTP server on loopback for tests of clients."""

import contextlib
import http.server
import json
import threading

DROP_CONNECTION = object()  # closes the connection without a response


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Send each reply in one segment, so that none waits for a delayed ACK.
    wbufsize = -1

    def _serve(self):
        size = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(size)
        self.server.requests.append((self.command, self.path, body))
        self.server.connections.append(self.client_address[1])
        answer = self.server.answer(self.command, self.path, body)
        if answer is DROP_CONNECTION:
            self.close_connection = True
            return
        status, reply, *headers = answer
        if not isinstance(reply, bytes):
            reply = json.dumps(reply).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        if not any(name == "Content-Length" for name, _ in headers):
            self.send_header("Content-Length", str(len(reply)))
        self.end_headers()
        self.wfile.write(reply)

    do_GET = do_POST = do_PUT = _serve  # noqa: N815 - names of the library

    def log_message(self, *_):
        pass


@contextlib.contextmanager
def serving(answer):
    """Run a server whose responses come from ``answer(method, path, body)``.

    It returns ``(status, body, *headers)``, or ``DROP_CONNECTION`` to close the
    connection without a response.
    """
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.daemon_threads = True
    server.answer = answer
    server.requests = []
    server.connections = []
    server.url = f"http://127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        server.server_close()
        thread.join(5)
