"""Tests of the soak's checker, and a short run with real processes."""

import pathlib
import socket

import pytest

from tests.soak.checker import EVENTS
from tests.soak.checker import MACHINE
from tests.soak.checker import CallerRequest
from tests.soak.checker import DisturbanceLog
from tests.soak.checker import InvariantChecker
from tests.soak.checker import Key
from tests.soak.checker import Kind
from tests.soak.checker import ReceivedRequest
from tests.soak.checker import make_event
from tests.soak.hosts import NO_CAPACITY
from tests.soak.misuse import BODY_BYTES
from tests.soak.misuse import CLIENT_KINDS
from tests.soak.misuse import make_plans
from tests.soak.ports import EPHEMERAL_RANGE
from tests.soak.ports import IP
from tests.soak.ports import reserve_port
from tests.soak.run import Options
from tests.soak.run import run_soak
from tests.soak.run import start_isolated_pool
from wagtailstair.core.directory import CallerLimits
from wagtailstair.exceptions import RequestError
from wagtailstair.gateway.requests import RequestReader

CI_SEED = 1
CI_FAULT_S = 8.0
RETURNS_FAULT_S = 15.0
"""More, as the copies from which the store comes back are older then."""

SEED_LINES = (
    (pathlib.Path(__file__).parent / "soak" / "seeds.txt").read_text().splitlines()
)
REGRESSIONS = [
    int(line.split()[0]) for line in SEED_LINES if line and not line.startswith("#")
]


def make_request(kind=Kind.NON_IDEMPOTENT, *, key=None, sent_at=100.0, version=1):
    key = key or Key("key-1", "maker", 1)
    return CallerRequest(
        "a1", kind, "GET", "/x/1", b"", key, "h", "h/1", sent_at, 1.0, version
    )


def make_received(**changes):
    values = {
        "attempt": "a1",
        "method": "GET",
        "target": "/x/1",
        "body": b"",
        "account": "maker",
        "authorization": "",
    }
    values.update(changes)
    return ReceivedRequest(**values)


@pytest.fixture
def checker():
    checker = InvariantChecker(DisturbanceLog())
    checker.record_version(1, 0.0)
    return checker


def violation_kinds(checker):
    return [text.split()[0].rstrip(":") for text in checker.violations]


class TestInvariantChecker:
    def test_correct_answer_is_no_violation(self, checker):
        checker.record_request(make_request())
        checker.record_run("i-1", make_received(), 100.1)
        checker.check_answer("a1", 200, "body of a1", 100.2, is_complete=True)
        assert checker.violations == []

    @pytest.mark.parametrize(
        "changes",
        [{"body": b"other"}, {"account": "judge"}, {"authorization": "Token k"}],
    )
    def test_changed_request_is_a_violation(self, checker, changes):
        checker.record_request(make_request())
        checker.record_run("i-1", make_received(**changes), 100.1)
        assert violation_kinds(checker) == ["unasked"]

    def test_run_without_a_request_is_a_violation(self, checker):
        checker.record_run("i-1", make_received(attempt="a2"), 100.1)
        assert violation_kinds(checker) == ["unasked"]

    def test_second_run_of_a_non_idempotent_request_is_a_violation(self, checker):
        checker.record_request(make_request())
        checker.record_run("i-1", make_received(), 100.1)
        checker.record_run("i-2", make_received(), 100.2)
        assert violation_kinds(checker) == ["twice"]

    @pytest.mark.parametrize("runs_first", [True, False])
    def test_run_of_a_refused_request_is_a_violation(self, checker, runs_first):
        checker.record_request(make_request())
        if runs_first:
            checker.record_run("i-1", make_received(), 100.1)
        checker.check_answer("a1", 503, "", 100.2, is_complete=True)
        if not runs_first:
            checker.record_run("i-1", make_received(), 100.3)
        assert violation_kinds(checker) == ["refused"]

    def test_answer_to_another_request_is_a_violation(self, checker):
        checker.record_request(make_request())
        checker.record_run("i-1", make_received(), 100.1)
        checker.check_answer("a1", 200, "body of a2", 100.2, is_complete=True)
        assert violation_kinds(checker) == ["mixed"]

    @pytest.mark.parametrize(
        ("numbers", "is_complete", "expected"),
        [
            (range(1, EVENTS + 1), True, []),
            (range(1, EVENTS), True, ["order"]),
            (range(1, EVENTS), False, []),
            ([1, 2, 4], False, ["order"]),
            ([1, 2, 2], False, ["order"]),
        ],
    )
    def test_stream_events_are_complete_and_in_order(
        self, checker, numbers, is_complete, expected
    ):
        checker.record_request(make_request(Kind.STREAM))
        checker.record_run("i-1", make_received(), 100.1)
        text = "".join(make_event("a1", number) for number in numbers)
        checker.check_answer("a1", 200, text, 100.2, is_complete=is_complete)
        assert violation_kinds(checker) == expected

    @pytest.mark.parametrize(("at", "expected"), [(101.9, []), (102.1, ["drain"])])
    def test_leaving_upstream_gets_no_requests_after_the_drain(
        self, checker, at, expected
    ):
        checker.record_leaving("i-1", 100.0)
        checker.record_request(make_request())
        checker.record_run("i-1", make_received(), at)
        assert violation_kinds(checker) == expected

    def test_drain_bound_does_not_apply_to_a_disturbed_host(self, checker):
        checker.record_leaving("i-1", 100.0)
        checker.record_request(make_request())
        checker.disturbances.record("h", 101.0)
        checker.record_run("i-1", make_received(), 103.9)
        assert checker.violations == []

    @pytest.mark.parametrize("version", [2, 5])
    @pytest.mark.parametrize(("sent_at", "expected"), [(11.9, []), (12.1, ["config"])])
    def test_revoked_key_is_rejected_within_the_bound(
        self, checker, sent_at, expected, version
    ):
        key = Key("key-1", "maker", 1, removed=2)
        checker.record_version(version, 10.0)
        checker.record_request(make_request(key=key, sent_at=sent_at))
        checker.record_run("i-1", make_received(), sent_at)
        checker.check_answer("a1", 200, "body of a1", sent_at, is_complete=True)
        assert violation_kinds(checker) == expected

    def test_return_to_an_older_version_is_a_violation(self, checker):
        new, old = Key("key-2", "maker", 2), Key("key-1", "maker", 1, removed=2)
        checker.record_version(2, 99.9)
        for attempt, key, at in (("a1", new, 100.0), ("a2", old, 100.5)):
            request = make_request(key=key, sent_at=at)
            request.attempt = attempt
            checker.record_request(request)
            checker.record_run("i-1", make_received(attempt=attempt), at)
            checker.check_answer(
                attempt, 200, f"body of {attempt}", at, is_complete=True
            )
        assert violation_kinds(checker) == ["reverted"]

    def test_denial_of_a_valid_key_is_a_violation(self, checker):
        checker.record_request(make_request())
        checker.check_answer("a1", 401, "", 100.1, is_complete=True)
        assert violation_kinds(checker) == ["denied"]

    @pytest.mark.parametrize("in_shutdown", [True, False])
    def test_connection_cut_by_a_shutdown_is_a_violation(self, checker, in_shutdown):
        checker.record_request(make_request())
        checker.record_run("i-1", make_received(), 100.1)
        checker.check_cut("a1", 100.2, in_shutdown=in_shutdown)
        assert violation_kinds(checker) == (["lost"] if in_shutdown else [])

    @pytest.mark.parametrize(
        ("path", "expected"),
        [
            ("x=0-40,y=40-80", []),
            ("x=0-40,y=41-80", ["layers"]),
            ("x=0-40,y=39-80", ["layers"]),
            ("y=40-80,x=0-40", ["layers"]),
            ("x=0-40", ["layers"]),
        ],
    )
    def test_path_runs_each_layer_once_in_order(self, checker, path, expected):
        checker.check_path("i-1", "a1", path, 80)
        assert violation_kinds(checker) == expected


def make_streams(rejected_at, *, started_at=(), less_urgent_at=(), centres="aa"):
    """Return streams as attempt, rank, time, and whether they start, and centre."""
    urgent, less_urgent = centres
    streams = [(0, at, False, urgent) for at in rejected_at]
    streams += [(0, at, True, urgent) for at in started_at]
    streams += [(1, at, True, less_urgent) for at in less_urgent_at]
    return sorted(streams, key=lambda stream: stream[1])


def play_streams(checker, streams, disturbed=()):
    """Show streams to the checker; return the attempts that were rejected.

    ``disturbed``: pairs of a part and the time of its disturbance.
    """
    rejected = set()
    pending = sorted(disturbed, key=lambda item: item[1])
    for number, (rank, at, is_start, centre) in enumerate(streams):
        while pending and pending[0][1] <= at:
            checker.disturbances.record(*pending.pop(0))
        request = make_request(Kind.STREAM, sent_at=at)
        request.attempt = attempt = f"s{number}"
        request.rank, request.centre = rank, centre
        request.host = "h" if rank == 0 else "h2"
        checker.record_request(request)
        if is_start:
            checker.record_run("i-1", make_received(attempt=attempt), at)
            continue
        checker.check_answer(attempt, 503, "", at, is_complete=True)
        rejected.add(attempt)
    return rejected


REJECTED_AT = (100.0, 101.0, 102.0, 103.1)


class TestUrgentStreams:
    """Fails if less urgent streams may take the capacity that urgent ones lack."""

    @pytest.mark.parametrize(
        ("streams", "expected"),
        [
            (make_streams(REJECTED_AT, less_urgent_at=[101.5]), ["urgency"]),
            (make_streams(REJECTED_AT[:3], less_urgent_at=[101.5]), []),
            (make_streams(REJECTED_AT, less_urgent_at=[99.0, 104.0]), []),
            (make_streams(REJECTED_AT), []),
            (
                make_streams(REJECTED_AT, started_at=[102.5], less_urgent_at=[101.5]),
                [],
            ),
            (make_streams(REJECTED_AT, less_urgent_at=[101.5], centres="ab"), []),
        ],
        ids=["long", "short", "none_meanwhile", "none", "break", "other_centre"],
    )
    def test_rejected_while_less_urgent_ones_start(self, checker, streams, expected):
        rejected = play_streams(checker, streams)
        checker.check_urgent_streams(rejected)
        assert violation_kinds(checker) == expected

    @pytest.mark.parametrize(
        ("part", "at", "expected"),
        [
            (MACHINE, 98.0, []),
            (MACHINE, 102.0, []),
            (MACHINE, 96.9, ["urgency"]),
            ("h", 102.0, []),
            ("h2", 99.0, []),
            ("h3", 102.0, ["urgency"]),
        ],
    )
    def test_disturbed_parts_are_excused(self, checker, part, at, expected):
        streams = make_streams(REJECTED_AT, less_urgent_at=[101.5])
        rejected = play_streams(checker, streams, [(part, at)])
        checker.check_urgent_streams(rejected)
        assert violation_kinds(checker) == expected

    def test_other_rejections_do_not_count(self, checker):
        play_streams(checker, make_streams(REJECTED_AT, less_urgent_at=[101.5]))
        checker.check_urgent_streams(set())
        assert checker.violations == []

    @pytest.mark.parametrize(
        ("outcome", "expected"),
        [
            ('"no room in time"', {"a1"}),
            ('"no room"', {"a1"}),
            ('"queue full"', {"a1"}),
            ('"no pipeline"', set()),
            ("served", set()),
        ],
    )
    def test_outcome_in_the_log_names_the_lack_of_capacity(self, outcome, expected):
        line = f"host=h event=request_ended request=a1 route=draft outcome={outcome} x"
        assert set(NO_CAPACITY.findall(line)) == expected


def read_attempts(data):
    """Return the attempts of the complete requests in some bytes, as hosts see them."""
    reader = RequestReader(CallerLimits(body_bytes=BODY_BYTES), lambda: None)
    found = []
    try:
        reader.feed(data, 0.0)
        while reader.complete_requests:
            found.append(reader.take_request().header(b"x-attempt-id"))
            reader.resume()
    except RequestError:
        pass
    return found


class TestMisbehavingClients:
    """Fails if a rejected or incomplete request of such a client may run unnoticed."""

    @pytest.mark.parametrize(
        ("has_run", "expected"), [(True, ["refused"]), (False, [])]
    )
    def test_rejected_request_must_not_have_run(self, checker, has_run, expected):
        checker.record_request(make_request())
        if has_run:
            checker.record_run("i-1", make_received(), 100.1)
        checker.check_rejection("a1", 100.2)
        assert violation_kinds(checker) == expected

    def test_run_after_the_rejection_is_a_violation(self, checker):
        checker.record_request(make_request())
        checker.check_rejection("a1", 100.2)
        checker.record_run("i-1", make_received(), 100.3)
        assert violation_kinds(checker) == ["refused"]

    @pytest.mark.parametrize("kind", CLIENT_KINDS)
    def test_only_whole_requests_are_named(self, kind):
        key = Key("key-1", "maker", 1)
        plan = make_plans("/register/", "a1", key)[kind]
        found = read_attempts(b"".join(plan.buffers))
        assert found == [attempt.encode() for attempt, _ in plan.whole]


def listen(port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((IP, port))
    sock.listen()
    return sock


# Guards against a process that can't bind its port: the soak closed the port that it
# had found, and another socket got it before the process started or was restarted.
class TestPorts:
    def test_outgoing_connections_take_no_reserved_port(self):
        first = int(EPHEMERAL_RANGE.read_text().split()[0])
        assert reserve_port() < first

    def test_another_process_reserves_another_port(self):
        own = {reserve_port() for _ in range(5)}
        with start_isolated_pool(1) as pool:
            other = pool.submit(reserve_port).result()
        assert len(own) == 5
        assert other not in own

    def test_process_can_be_restarted_on_its_port(self):
        port = reserve_port()
        for _ in range(3):
            with listen(port), socket.create_connection((IP, port)):
                pass
            with socket.socket() as thief, pytest.raises(OSError, match="in use"):
                thief.bind((IP, port))

    def test_connection_to_a_stopped_process_is_refused(self):
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((IP, reserve_port()))


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", [CI_SEED, *REGRESSIONS])
def test_short_run(tmp_path, seed):
    with start_isolated_pool(1) as pool:
        verdict = pool.submit(run_soak, Options(seed, CI_FAULT_S), tmp_path).result()
    assert verdict.violations == []
    # A soak without returns and rejected streams would verify nothing about them.
    assert verdict.counts["returned"] > 0


@pytest.mark.timeout(120)
def test_short_run_with_returns_of_the_store(tmp_path):
    options = Options(CI_SEED, RETURNS_FAULT_S, has_returns=True)
    with start_isolated_pool(1) as pool:
        verdict = pool.submit(run_soak, options, tmp_path).result()
    assert verdict.violations == []
    assert sum("return_store" in fault for fault in verdict.faults) > 1
