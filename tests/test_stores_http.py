import socket
import threading

import pytest

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


def outcome(answer, method="POST", **options):
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
    def test_of_a_write(self, answer, error):
        assert outcome(answer, timeouts=SHORT) is error

    @pytest.mark.parametrize(
        "answer", [DROP_CONNECTION, (500, {}), (200, b"{"), (503, {})]
    )
    def test_a_lost_read_took_no_effect(self, answer):
        assert outcome(answer, safe=True) is PlatformUnavailableError
        assert outcome(answer, "GET") is PlatformUnavailableError

    def test_accepted_statuses_are_returned(self):
        answer = (429, {}, ("Retry-After", "1.5"))
        with serving(lambda *_: answer) as server:
            reply = request_json("POST", server.url, {}, accept=frozenset({429}))
        assert (reply.status, reply.retry_after_s) == (429, 1.5)


class TestConnections:
    def test_a_refused_connection_took_no_effect(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{free.getsockname()[1]}"
            with pytest.raises(PlatformUnavailableError):
                request_json("POST", url, {})

    def test_a_connection_that_never_opens_took_no_effect(self):
        with socket.socket() as full, socket.socket() as filler:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            filler.connect(full.getsockname())
            url = f"http://127.0.0.1:{full.getsockname()[1]}"
            with pytest.raises(PlatformUnavailableError):
                request_json("POST", url, {}, timeouts=SHORT)

    def test_a_timeout_after_sending_is_unknown(self):
        release = threading.Event()

        def wait(*_):
            release.wait(5)
            return 200, {}

        with serving(wait) as server:
            with pytest.raises(PlatformUnknownError):
                request_json("POST", server.url, {}, timeouts=SHORT)
            release.set()
            assert len(server.requests) == 1

    def test_reads_keep_their_connection(self):
        with serving(lambda *_: (200, {})) as server:
            for _ in range(3):
                request_json("POST", server.url, {}, safe=True)
            assert len(set(server.connections)) == 1

    @pytest.mark.parametrize("earlier", [0, 1, 3])
    def test_a_write_is_sent_once_whatever_was_sent_before(self, earlier):
        def answer(method, path, body):
            return DROP_CONNECTION if path == "/write" else (200, {})

        with serving(answer) as server:
            for _ in range(earlier):
                request_json("GET", server.url + "/read")
            with pytest.raises(PlatformUnknownError):
                request_json("POST", server.url + "/write", {})
            writes = [path for _, path, _ in server.requests if path == "/write"]
            assert len(writes) == 1

    def test_a_reply_that_is_too_large_is_not_taken(self, monkeypatch):
        monkeypatch.setattr(http, "MAX_REPLY_BYTES", 100)
        with serving(lambda *_: (200, b"x" * 101)) as server:
            with pytest.raises(PlatformUnknownError):
                http.request("POST", server.url, b"")
            with pytest.raises(PlatformUnavailableError):
                http.request("GET", server.url)
