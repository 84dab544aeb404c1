import socket
import threading

import pytest

from tests.scripted import ScriptedServer
from tests.tiny_server import DROP_CONNECTION
from tests.tiny_server import serving
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.stores import http
from wagtailstair.stores.http import Timeouts
from wagtailstair.stores.http import request_json

SHORT = Timeouts(total_s=0.3, connect_s=0.2)


def error_type_of(answer, method="POST", **options):
    with serving(lambda *_: answer) as server:
        with pytest.raises(PlatformError) as caught:
            request_json(method, server.url, {}, **options)
        assert caught.value.where == server.url
        return type(caught.value)


class TestStatuses:
    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            ((409, {}), PlatformConflictError),
            ((429, {}), PlatformUnavailableError),
            ((503, {}), PlatformUnavailableError),
            ((500, {}), PlatformUnknownError),
            ((502, {}), PlatformUnknownError),
            ((400, {}), PlatformError),
            ((200, b"{"), PlatformUnknownError),
            ((200, b"{}", ("Content-Length", "9")), PlatformUnknownError),
            (DROP_CONNECTION, PlatformUnknownError),
        ],
    )
    def test_error_of_a_failed_write(self, answer, error):
        assert error_type_of(answer, timeouts=SHORT) is error

    @pytest.mark.parametrize(
        "answer", [DROP_CONNECTION, (500, {}), (200, b"{"), (503, {})]
    )
    def test_failed_read_has_no_effect(self, answer):
        assert error_type_of(answer, safe=True) is PlatformUnavailableError
        assert error_type_of(answer, "GET") is PlatformUnavailableError

    def test_accepted_statuses_are_returned(self):
        answer = (429, {}, ("Retry-After", "1.5"))
        with serving(lambda *_: answer) as server:
            reply = request_json("POST", server.url, {}, accept=frozenset({429}))
        assert (reply.status, reply.retry_after_s) == (429, 1.5)


class TestConnections:
    # A write whose reply was not HTTP counted as not sent, so that it was repeated.
    @pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"\r\n" * 500])
    def test_outcome_is_unknown_after_bytes_that_are_no_reply(self, data):
        def respond(connection, request):
            connection.sendall(data)

        with ScriptedServer(respond, respond) as server:
            url = f"http://{server.address}"
            with pytest.raises(PlatformUnknownError):
                request_json("POST", url, {})
            with pytest.raises(PlatformUnavailableError):
                request_json("GET", url)
            assert len(server.requests) == 2

    def test_refused_connection_has_no_effect(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{free.getsockname()[1]}"
            with pytest.raises(PlatformUnavailableError):
                request_json("POST", url, {})

    def test_unknown_scheme_has_no_effect(self):
        with pytest.raises(PlatformUnavailableError):
            request_json("POST", "scheme://127.0.0.1:9", {})

    def test_connection_timeout_has_no_effect(self):
        with socket.socket() as full, socket.socket() as filler:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            filler.connect(full.getsockname())
            url = f"http://127.0.0.1:{full.getsockname()[1]}"
            with pytest.raises(PlatformUnavailableError):
                request_json("POST", url, {}, timeouts=SHORT)

    def test_outcome_is_unknown_after_timeout_of_a_sent_write(self):
        release = threading.Event()

        def wait(*_):
            release.wait(5)
            return 200, {}

        with serving(wait) as server:
            with pytest.raises(PlatformUnknownError):
                request_json("POST", server.url, {}, timeouts=SHORT)
            release.set()
            assert len(server.requests) == 1

    def test_reads_reuse_their_connection(self):
        with serving(lambda *_: (200, {})) as server:
            for _ in range(3):
                request_json("POST", server.url, {}, safe=True)
            assert len(set(server.connections)) == 1

    @pytest.mark.parametrize("earlier", [0, 1, 3])
    def test_write_is_sent_once_after_any_number_of_reads(self, earlier):
        def answer(method, path, body):
            return DROP_CONNECTION if path == "/write" else (200, {})

        with serving(answer) as server:
            for _ in range(earlier):
                request_json("GET", server.url + "/read")
            with pytest.raises(PlatformUnknownError):
                request_json("POST", server.url + "/write", {})
            writes = [path for _, path, _ in server.requests if path == "/write"]
            assert len(writes) == 1

    def test_reply_above_the_size_limit_is_an_error(self, monkeypatch):
        monkeypatch.setattr(http, "MAX_REPLY_BYTES", 100)
        with serving(lambda *_: (200, b"x" * 101)) as server:
            with pytest.raises(PlatformUnknownError):
                http.request("POST", server.url, b"")
            with pytest.raises(PlatformUnavailableError):
                http.request("GET", server.url)
