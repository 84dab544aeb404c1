import json
import random
import socket

import pytest

from tests.engines import FakeRouteDispatcher
from tests.engines import end
from tests.engines import parse_request_body
from tests.engines import stream
from tests.engines import token
from tests.scripted import ScriptedServer
from tests.scripted import answer
from wagtailstair.clock import SystemClock
from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import RefusalReason
from wagtailstair.core.retry import RetryBudget
from wagtailstair.core.sessions import DEFAULT_MAX_EPOCHS
from wagtailstair.exceptions import CallerGoneError
from wagtailstair.exceptions import DeadlineExceededError
from wagtailstair.exceptions import NoUpstreamError
from wagtailstair.exceptions import Outcome
from wagtailstair.exceptions import OutcomeUnknownError
from wagtailstair.exceptions import QueueFullError
from wagtailstair.jobs import Job
from wagtailstair.relay import Relays
from wagtailstair.settings import RoutingSection
from wagtailstair.upstreams.loop import Loop

WAIT_S = 20
MAX_EPOCHS = DEFAULT_MAX_EPOCHS


class RecordingSink:
    def __init__(self):
        self.texts = []
        self.full = False

    def write_token(self, text):
        self.texts.append(text)

    def is_full(self):
        return self.full


@pytest.fixture
def loop():
    loop = Loop(SystemClock())
    loop.start()
    yield loop
    loop.stop()


def make_relays(loop, dispatch, *, retry_share=2.0, **routing):
    budget = RetryBudget(retry_share, reserve=0.0)
    relays = Relays(
        loop,
        dispatch,
        SystemClock(),
        RoutingSection(**routing),
        "host-1",
        "dc-1",
        budget,
        random.Random(1),
        on_attempt_failed=lambda engine: None,
    )
    relays.start()
    return relays


def make_job(request="r1", deadline_s=30.0):
    return Job(
        request=request,
        account="a",
        model="draft",
        adapter="",
        prompt="hello",
        max_tokens=3,
        priority=Priority.URGENT,
        weight=1.0,
        entitled=True,
        prompt_tokens=1,
        work=4.0,
        deadline=SystemClock().monotonic() + deadline_s,
        data_centres=("dc-1", "dc-2"),
    )


def start(loop, dispatch, *, deadline_s=30.0, **options):
    relays = make_relays(loop, dispatch, **options)
    job = make_job(deadline_s=deadline_s)
    sink = RecordingSink()
    return relays.start_relay(job, sink), sink


COMPLETE_ANSWER = [token(0, 1), token(1, 1), token(2, 1), end(3, 1)]


class TestCompleteAnswer:
    def test_tokens_arrive_in_order_then_the_end(self, loop):
        with ScriptedServer(stream(*COMPLETE_ANSWER)) as engine:
            dispatch = FakeRouteDispatcher(engine.address)
            relay, sink = start(loop, dispatch)
            finished = relay.future.result(WAIT_S)
        assert sink.texts == [" t0", " t1", " t2"]
        assert finished.text == " t0 t1 t2"
        assert (finished.reason, finished.output_tokens) == ("length", 3)
        assert [outcome.output_tokens for outcome in dispatch.outcomes] == [3]

    def test_unrelated_and_repeated_lines_are_dropped(self, loop):
        other_request = token(1, 1, r="r2")
        old_attempt = token(1, 1, a="r1.0")
        lines = [
            token(0, 1),
            other_request,
            old_attempt,
            token(0, 1),
            *COMPLETE_ANSWER[1:],
        ]
        with ScriptedServer(stream(*lines)) as engine:
            relay, sink = start(loop, FakeRouteDispatcher(engine.address))
            relay.future.result(WAIT_S)
        assert sink.texts == [" t0", " t1", " t2"]


class TestResume:
    @pytest.mark.parametrize(
        "broken",
        [
            stream(token(0, 1), is_complete=False),
            stream(token(0, 1)),
            stream(token(0, 1), token(2, 1)),
            stream(token(0, 1), token(1, 1, w=[[0, 4], [4, 7]])),
            stream(token(0, 1), token(1, 1, w=[[0, 5], [4, 8]])),
            stream(token(0, 1), end(3, 1)),
        ],
        ids=["cut", "no-end", "skipped", "layer-missing", "layer-twice", "wrong-end"],
    )
    def test_next_attempt_continues_after_last_delivered_token(self, loop, broken):
        rest = stream(token(1, 2), token(2, 2), end(3, 2))
        with ScriptedServer(broken) as first, ScriptedServer(rest) as second:
            dispatch = FakeRouteDispatcher(first.address, second.address)
            relay, sink = start(loop, dispatch)
            finished = relay.future.result(WAIT_S)
            request = parse_request_body(second.requests[0])
        assert sink.texts == [" t0", " t1", " t2"]
        assert finished.output_tokens == 3
        assert (request["tokens"], request["epoch"]) == ([100], 2)
        assert dispatch.route_requests[1][1].avoid == {"engine-1", "second-1"}

    def test_suspected_engines_are_tried_again_if_no_other_route_exists(self, loop):
        cut = stream(token(0, 1), is_complete=False)
        rest = stream(token(1, 2), token(2, 2), end(3, 2))
        no_route = RefusalReason.NO_ROUTE
        with ScriptedServer(cut) as first, ScriptedServer(rest) as second:
            dispatch = FakeRouteDispatcher(
                first.address, no_route, no_route, second.address
            )
            relay, _ = start(loop, dispatch)
            assert relay.future.result(WAIT_S).output_tokens == 3
        avoided = [route_request.avoid for _, route_request in dispatch.route_requests]
        failed = {"engine-1", "second-1"}
        assert avoided[1:] == [failed, failed, frozenset()]
        assert [route_request.work for _, route_request in dispatch.route_requests] == [
            4.0,
            3.0,
            3.0,
            3.0,
        ]

    def test_only_the_unreachable_engine_is_avoided(self, loop):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        rest = stream(token(0, 2), token(1, 2), token(2, 2), end(3, 2))
        with ScriptedServer(rest) as second:
            dispatch = FakeRouteDispatcher(address, second.address)
            relay, _ = start(loop, dispatch)
            relay.future.result(WAIT_S)
        assert dispatch.route_requests[1][1].avoid == {"engine-1"}
        assert dispatch.outcomes[0].failed == {"engine-1"}

    def test_stalled_stream_is_resumed_on_another_engine(self, loop):
        def hold(connection, request):
            body = json.dumps(token(0, 1)).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            connection.sendall(head + b"%x\r\n%b\r\n" % (len(body), body))
            connection.recv(1)

        rest = stream(token(1, 2), token(2, 2), end(3, 2))
        with ScriptedServer(hold) as first, ScriptedServer(rest) as second:
            dispatch = FakeRouteDispatcher(first.address, second.address)
            relay, sink = start(loop, dispatch, stall_timeout_s=0.3)
            relay.future.result(WAIT_S)
        assert sink.texts == [" t0", " t1", " t2"]


class TestDataCentreChoice:
    def test_refusal_moves_next_request_to_another_data_centre(self, loop):
        dispatch = FakeRouteDispatcher(
            RefusalReason.QUEUE_FULL, RefusalReason.QUEUE_FULL
        )
        relays = make_relays(loop, dispatch)
        for request in ("r1", "r2"):
            relay = relays.start_relay(make_job(request), RecordingSink())
            with pytest.raises(QueueFullError):
                relay.future.result(WAIT_S)
        assert [centre for centre, _ in dispatch.route_requests] == ["dc-1", "dc-2"]


class TestRetryBudget:
    def test_resume_of_broken_stream_needs_no_retry_budget(self, loop):
        # A dead engine may break more streams at once than a retry budget allows.
        cut = stream(token(0, 1), is_complete=False)
        rest = stream(token(1, 2), token(2, 2), end(3, 2))
        with ScriptedServer(cut) as first, ScriptedServer(rest) as second:
            dispatch = FakeRouteDispatcher(first.address, second.address)
            relay, _ = start(loop, dispatch, retry_share=0.0)
            assert relay.future.result(WAIT_S).output_tokens == 3

    def test_refusal_is_retried_within_the_retry_budget(self, loop):
        refuse = answer(503, b'{"error": "full", "not_run": true}')
        script = lambda connection, request: connection.sendall(refuse)  # noqa: E731
        rest = stream(token(0, 2), token(1, 2), token(2, 2), end(3, 2))
        with ScriptedServer(script) as first, ScriptedServer(rest) as second:
            dispatch = FakeRouteDispatcher(first.address, second.address)
            relay, _ = start(loop, dispatch)
            assert relay.future.result(WAIT_S).output_tokens == 3


class TestOutcome:
    def test_refusal_by_every_engine_has_outcome_not_run(self, loop):
        refuse = answer(503, b'{"error": "full", "not_run": true}')
        script = lambda connection, request: connection.sendall(refuse)  # noqa: E731
        with ScriptedServer(script) as engine:
            dispatch = FakeRouteDispatcher(engine.address)
            relay, _ = start(loop, dispatch, retry_share=0.0)
            with pytest.raises(NoUpstreamError) as caught:
                relay.future.result(WAIT_S)
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_error_without_not_run_field_has_outcome_unknown(self, loop):
        fail = answer(503, b"{}")
        script = lambda connection, request: connection.sendall(fail)  # noqa: E731
        with ScriptedServer(*[script] * MAX_EPOCHS) as engine:
            dispatch = FakeRouteDispatcher(*[engine.address] * MAX_EPOCHS)
            relay, _ = start(loop, dispatch)
            with pytest.raises(OutcomeUnknownError) as caught:
                relay.future.result(WAIT_S)
        assert caught.value.outcome is Outcome.UNKNOWN

    def test_unreachable_engine_has_outcome_not_run(self, loop):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        relay, _ = start(loop, FakeRouteDispatcher(*[address] * MAX_EPOCHS))
        with pytest.raises(NoUpstreamError) as caught:
            relay.future.result(WAIT_S)
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_deadline_while_waiting_withdraws_the_route_request(self, loop):
        dispatch = FakeRouteDispatcher()
        relay, _ = start(loop, dispatch, deadline_s=0.1)
        with pytest.raises(DeadlineExceededError) as caught:
            relay.future.result(WAIT_S)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert dispatch.cancelled == [("r1", 1)]

    def test_full_queue_error_has_retry_after(self, loop):
        relay, _ = start(loop, FakeRouteDispatcher(RefusalReason.QUEUE_FULL))
        with pytest.raises(QueueFullError) as caught:
            relay.future.result(WAIT_S)
        assert caught.value.retry_after_s == 2.0

    def test_no_route_moves_on_to_the_next_data_centre(self, loop):
        with ScriptedServer(stream(*COMPLETE_ANSWER)) as engine:
            dispatch = FakeRouteDispatcher(RefusalReason.NO_ROUTE, engine.address)
            relay, _ = start(loop, dispatch)
            relay.future.result(WAIT_S)
        assert [centre for centre, _ in dispatch.route_requests] == ["dc-1", "dc-2"]
        assert [outcome.epoch for outcome in dispatch.outcomes] == [2]

    def test_cancel_closes_the_stream_and_ends_the_grant(self, loop):
        def hold(connection, request):
            connection.recv(1)

        with ScriptedServer(hold) as engine:
            dispatch = FakeRouteDispatcher(engine.address)
            relay, _ = start(loop, dispatch)
            while not engine.requests:
                assert not relay.future.done()
            loop.call(relay.cancel)
            with pytest.raises(CallerGoneError) as caught:
                relay.future.result(WAIT_S)
        assert caught.value.outcome is Outcome.UNKNOWN
        assert len(dispatch.outcomes) == 1
