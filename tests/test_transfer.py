import socket
import threading

import pytest

from tests.scripted import ScriptedServer
from tests.scripted import answer
from wagtailstair.clock import SystemClock
from wagtailstair.upstreams.loop import Loop
from wagtailstair.upstreams.transfer import Transfer
from wagtailstair.upstreams.transfer import TransferOutcome
from wagtailstair.upstreams.transfer import TransferRequest
from wagtailstair.upstreams.transfer import start_exchange

WAIT_S = 20


@pytest.fixture
def loop():
    loop = Loop(SystemClock())
    loop.start()
    yield loop
    loop.stop()


def respond_with(body):
    return lambda connection, request: connection.sendall(answer(200, body))


def close_connection(connection, request):
    connection.shutdown(socket.SHUT_RDWR)


def post(address, **options):
    return TransferRequest("POST", f"http://{address}/x", body=b"{}", **options)


class TestTransferEnd:
    def test_complete_response_is_returned(self, loop):
        with ScriptedServer(respond_with(b"hello")) as server:
            end = start_exchange(loop, post(server.address)).result(WAIT_S)
        assert (end.sent, end.status, end.body) == (
            TransferOutcome.ANSWERED,
            200,
            b"hello",
        )
        assert end.header("content-length") == "5"

    def test_request_on_a_refused_connection_is_not_sent(self, loop):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        end = start_exchange(loop, post(address)).result(WAIT_S)
        assert end.sent is TransferOutcome.NOT_SENT

    def test_connection_closed_before_the_response_is_lost(self, loop):
        with ScriptedServer(close_connection) as server:
            end = start_exchange(loop, post(server.address)).result(WAIT_S)
        assert end.sent is TransferOutcome.LOST

    # A request whose answer was not HTTP counted as not sent, and calls that must
    # not run twice were sent to another upstream.
    @pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"\r\n" * 500])
    def test_bytes_that_are_no_answer_are_lost(self, loop, data):
        def respond(connection, request):
            connection.sendall(data)

        with ScriptedServer(respond) as server:
            end = start_exchange(loop, post(server.address)).result(WAIT_S)
            assert len(server.requests) == 1
        assert end.sent is TransferOutcome.LOST

    def test_request_with_an_unknown_scheme_is_not_sent(self, loop):
        request = TransferRequest("POST", "scheme://127.0.0.1:9/x", body=b"{}")
        end = start_exchange(loop, request).result(WAIT_S)
        assert end.sent is TransferOutcome.NOT_SENT

    @pytest.mark.parametrize(
        ("begin", "part"),
        [
            (b"", b"X-Filler: " + b"f" * 1000 + b"\r\n"),
            (b"X-Filler: ", b"f" * 1000),
            (b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 200),
            (b"\r\n", b"f" * 1000),
        ],
    )
    def test_answer_without_end_is_lost(self, loop, begin, part):
        def respond(connection, request):
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + begin)
            for _ in range(16_000):
                connection.sendall(part)

        with ScriptedServer(respond) as server:
            request = post(server.address, max_response_bytes=100_000, timeout_s=15.0)
            end = start_exchange(loop, request).result(WAIT_S)
        assert end.sent is TransferOutcome.LOST
        assert "timed out" not in end.error
        assert len(end.body) + sum(len(n) + len(v) for n, v in end.headers) < 400_000

    def test_timeout_after_sending_is_lost(self, loop):
        release = threading.Event()
        with ScriptedServer(lambda c, r: release.wait(WAIT_S)) as server:
            request = post(server.address, timeout_s=0.2)
            end = start_exchange(loop, request).result(WAIT_S)
            release.set()
        assert end.sent is TransferOutcome.LOST

    def test_truncated_body_is_lost(self, loop):
        def truncate(connection, request):
            connection.sendall(answer(200, b"0123456789")[:-4])
            close_connection(connection, request)

        with ScriptedServer(truncate) as server:
            end = start_exchange(loop, post(server.address)).result(WAIT_S)
        assert end.sent is TransferOutcome.LOST

    def test_too_large_response_is_lost_and_truncated(self, loop):
        with ScriptedServer(respond_with(b"x" * 5000)) as server:
            request = post(server.address, max_response_bytes=1000)
            end = start_exchange(loop, request).result(WAIT_S)
        assert end.sent is TransferOutcome.LOST
        assert len(end.body) <= 1000


class TestTarget:
    def test_path_is_sent_without_normalization(self, loop):
        with ScriptedServer(respond_with(b"")) as server:
            url = f"http://{server.address}/a/../b/./c%2Fd?x=1"
            start_exchange(loop, TransferRequest("GET", url)).result(WAIT_S)
            assert server.requests[0].startswith(b"GET /a/../b/./c%2Fd?x=1 ")


class TestHeaders:
    def test_headers_are_neither_added_nor_dropped(self, loop):
        with ScriptedServer(respond_with(b"")) as server:
            request = post(server.address, headers=(("X-Empty", ""), ("X-A", "1")))
            start_exchange(loop, request).result(WAIT_S)
            head = server.requests[0].partition(b"\r\n\r\n")[0]
        names = [line.partition(b":")[0] for line in head.split(b"\r\n")[1:]]
        assert sorted(names) == [b"Content-Length", b"Host", b"X-A", b"X-Empty"]


class TestMaySend:
    def test_request_is_not_sent_if_may_send_returns_false(self, loop):
        with ScriptedServer(respond_with(b"a")) as server:
            request = post(server.address, may_send=lambda: False)
            end = start_exchange(loop, request).result(WAIT_S)
            assert server.requests == []
        assert end.sent is TransferOutcome.NOT_SENT

    def test_may_send_is_called_after_connecting(self, loop):
        accepted = threading.Event()
        with ScriptedServer(respond_with(b"a")) as server:
            request = post(
                server.address, may_send=lambda: accepted.set() or not server.requests
            )
            end = start_exchange(loop, request).result(WAIT_S)
        assert accepted.is_set()
        assert end.sent is TransferOutcome.ANSWERED


class TestNoSilentResend:
    def test_request_on_a_lost_kept_connection_is_not_resent(self, loop):
        # libcurl resends a request by itself if a kept connection is closed
        # before the first byte of a response; the request might then run twice.
        with ScriptedServer(
            respond_with(b"a"), close_connection, respond_with(b"b")
        ) as server:
            first = start_exchange(loop, post(server.address)).result(WAIT_S)
            second = start_exchange(loop, post(server.address)).result(WAIT_S)
            count = len(server.requests)
        assert first.sent is TransferOutcome.ANSWERED
        assert second.sent is TransferOutcome.LOST
        assert count == 2


class TestStreaming:
    def test_paused_data_is_delivered_after_resume(self, loop):
        pieces = []
        ended = threading.Event()
        paused = threading.Event()
        is_full = True

        def on_data(data):
            if is_full:
                paused.set()
                return False
            pieces.append(data)
            return True

        with ScriptedServer(respond_with(b"abc")) as server:
            transfer = Transfer(
                loop, post(server.address), lambda end: ended.set(), on_data
            )
            loop.call(transfer.start)
            assert paused.wait(WAIT_S)
            is_full = False
            loop.call(transfer.resume)
            assert ended.wait(WAIT_S)
        assert b"".join(pieces) == b"abc"

    def test_cancel_closes_the_connection(self, loop):
        closed = threading.Event()
        opened = threading.Event()

        def wait_for_close(connection, request):
            opened.set()
            if connection.recv(1) == b"":
                closed.set()

        with ScriptedServer(wait_for_close) as server:
            future = start_exchange(loop, post(server.address))
            assert opened.wait(WAIT_S)
            assert future.cancel()
            assert closed.wait(WAIT_S)


class TestLoop:
    def test_failing_callback_does_not_end_the_thread(self, loop):
        ran = threading.Event()

        def fail():
            raise ZeroDivisionError

        loop.call(fail)
        loop.call(lambda: loop.call_later(0.01, ran.set))
        assert ran.wait(WAIT_S)

    def test_cancelled_timer_does_not_run(self, loop):
        ran = []
        done = threading.Event()

        def start():
            loop.call_later(0.01, lambda: ran.append(1)).cancel()
            loop.call_later(0.02, done.set)

        loop.call(start)
        assert done.wait(WAIT_S)
        assert ran == []
