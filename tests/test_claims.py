import threading

import pytest

from tests.fakes import CallFault
from tests.fakes import FakeObjects
from tests.fakes import FakeService
from tests.fakes import FakeTable
from tests.fakes import WriteFault
from wagtailstair.claims import Claims
from wagtailstair.clock import SystemClock
from wagtailstair.commits import GroupWriter
from wagtailstair.core.claims import ClaimLimits
from wagtailstair.core.claims import hash_request
from wagtailstair.core.claims import make_claim_key
from wagtailstair.core.rows import Condition
from wagtailstair.core.rows import Write
from wagtailstair.exceptions import CallInProgressError
from wagtailstair.exceptions import KeyReusedError
from wagtailstair.exceptions import NotReadyError
from wagtailstair.exceptions import NoUpstreamError
from wagtailstair.exceptions import Outcome
from wagtailstair.exceptions import OutcomeUnknownError
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import QueueFullError

CLOCK = SystemClock()
LIMITS = ClaimLimits(confirm_s=0.05, backoff_s=0.005, max_backoff_s=0.02)
LONG_S = 60.0
SHORT_S = 0.05


class World:
    def __init__(self):
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.service = FakeService()
        self.daemons = []

    def daemon(self, host, **options):
        claims = Claims(self.table, self.objects, CLOCK, host, limits=LIMITS, **options)
        self.daemons.append(claims)
        return claims

    def run(self, claims, fault=CallFault.NONE, key="k", digest="h", wait_s=LONG_S):
        def send():
            return self.service.call(key, fault)

        deadline = CLOCK.monotonic() + wait_s
        return claims.run("acme", "desk", key, digest, deadline, send)

    def claim_rows(self):
        return [row.value for row in self.table.scan("claims")]


@pytest.fixture
def world():
    world = World()
    yield world
    world.table.is_unavailable = False
    world.objects.is_unavailable = False
    for claims in world.daemons:
        assert claims.close(5.0) == 0


class TestKeys:
    @pytest.mark.parametrize(
        ("left", "right"),
        [
            (("a/b", "c", "d"), ("a", "b/c", "d")),
            (("a", "b", "/"), ("a", "b/", "")),
            (("a%2Fb", "c", "d"), ("a/b", "c", "d")),
            (("", "a", "b"), ("a", "", "b")),
        ],
    )
    def test_triples_never_share_a_row(self, left, right):
        assert make_claim_key(*left) != make_claim_key(*right)

    def test_hash_tells_neighbouring_parts_apart(self):
        assert hash_request("POST", "/a", b"bc") != hash_request("POST", "/ab", b"c")


class TestReplay:
    def test_retry_on_another_host_gets_the_same_answer(self, world):
        first = world.run(world.daemon("h1"))
        again = world.run(world.daemon("h2"))
        assert again == first
        assert world.service.runs == ["k"]

    def test_large_answer_is_kept_in_the_object_store(self, world):
        body = b"x" * (LIMITS.inline_body_bytes + 1)

        def send():
            return world.service.call("k", body=body)

        deadline = CLOCK.monotonic() + LONG_S
        first = world.daemon("h1").run("acme", "desk", "k", "h", deadline, send)
        assert len(world.objects.body_by_name) == 1
        assert len(world.claim_rows()[0]["body"]) == 0
        assert world.run(world.daemon("h2")) == first

    def test_other_request_under_the_key_is_an_error(self, world):
        world.run(world.daemon("h1"))
        with pytest.raises(KeyReusedError) as caught:
            world.run(world.daemon("h1"), digest="other")
        assert caught.value.outcome is Outcome.NOT_RUN
        assert world.service.runs == ["k"]


class TestNotRun:
    @pytest.mark.parametrize("fault", [CallFault.NOT_SENT, CallFault.REFUSED])
    def test_releases_the_claim(self, world, fault):
        with pytest.raises(NoUpstreamError) as caught:
            world.run(world.daemon("h1"), fault)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert world.claim_rows() == []
        assert world.run(world.daemon("h2")).status == 201

    def test_keeps_the_error_of_the_sender(self, world):
        def send():
            raise QueueFullError("full")

        with pytest.raises(QueueFullError):
            world.daemon("h1").run("a", "s", "k", "h", CLOCK.monotonic() + 9, send)
        assert world.claim_rows() == []

    def test_refuses_while_the_table_is_away(self, world):
        world.table.is_unavailable = True
        with pytest.raises(NotReadyError) as caught:
            world.run(world.daemon("h1"))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert world.service.runs == []


class TestInDoubt:
    @pytest.mark.parametrize("fault", [CallFault.REQUEST_LOST, CallFault.REPLY_LOST])
    def test_lost_call_is_never_sent_again(self, world, fault):
        with pytest.raises(OutcomeUnknownError):
            world.run(world.daemon("h1"), fault)
        runs = list(world.service.runs)
        with pytest.raises(OutcomeUnknownError):
            world.run(world.daemon("h2"))
        assert world.service.runs == runs

    def test_unexpected_error_of_the_sender_is_in_doubt(self, world):
        def send():
            raise RuntimeError("bug")

        with pytest.raises(OutcomeUnknownError):
            world.daemon("h1").run("a", "s", "k", "h", CLOCK.monotonic() + 9, send)

    def test_dead_claimant_ends_the_wait(self, world):
        dead = world.daemon("h1", incarnation="i1")
        waiter = world.daemon("h2", is_dead=lambda host, i: (host, i) == ("h1", "i1"))

        def send():
            with pytest.raises(OutcomeUnknownError):
                world.run(waiter)
            return world.service.call("k")

        dead.run("acme", "desk", "k", "h", CLOCK.monotonic() + LONG_S, send)
        assert world.service.runs == ["k"]

    def test_wait_ends_at_the_deadline(self, world):
        def send():
            with pytest.raises(CallInProgressError):
                world.run(world.daemon("h2"), wait_s=SHORT_S)
            return world.service.call("k")

        claims = world.daemon("h1")
        claims.run("acme", "desk", "k", "h", CLOCK.monotonic() + LONG_S, send)
        assert world.service.runs == ["k"]


class TestLostWrites:
    @pytest.mark.parametrize(
        "fault", [WriteFault.REPLY_LOST, WriteFault.REQUEST_LOST, WriteFault.DELAYED]
    )
    def test_claim_is_settled_by_reading_it_back(self, world, fault):
        world.table.faults.append(fault)
        assert world.run(world.daemon("h1")).status == 201
        assert world.service.runs == ["k"]

    @pytest.mark.parametrize("fault", list(WriteFault))
    def test_result_is_settled(self, world, fault):
        world.table.faults.extend([WriteFault.NONE, fault])
        first = world.run(world.daemon("h1"))
        assert world.run(world.daemon("h2")) == first
        assert world.service.runs == ["k"]

    @pytest.mark.parametrize("fault", list(WriteFault))
    def test_release_is_settled(self, world, fault):
        world.table.faults.extend([WriteFault.NONE, fault])
        claims = world.daemon("h1")
        with pytest.raises(NoUpstreamError):
            world.run(claims, CallFault.REFUSED)
        assert world.run(world.daemon("h2")).status == 201

    def test_answer_does_not_wait_for_a_long_outage(self, world):
        claims = world.daemon("h1")

        def send():
            world.table.is_unavailable = True
            return world.service.call("k")

        deadline = CLOCK.monotonic() + LONG_S
        first = claims.run("acme", "desk", "k", "h", deadline, send)
        assert claims.unsettled == 1
        world.table.is_unavailable = False
        assert claims.close(10.0) == 0
        assert world.run(world.daemon("h2")) == first


class TestSweep:
    def test_deletes_only_rows_past_their_retention(self, world):
        claims = world.daemon("h1")
        world.run(claims, key="old")
        world.run(claims, key="new")
        rows = {row.key: row for row in world.table.scan("claims")}
        rows["acme/desk/old"].value["claimed_at"] -= LIMITS.retention_s + 1
        assert claims.sweep(list(rows.values())) == 1
        assert [row.key for row in world.table.scan("claims")] == ["acme/desk/new"]

    def test_keeps_a_row_that_was_written_anew(self, world):
        claims = world.daemon("h1")
        world.run(claims)
        (seen,) = world.table.scan("claims")
        seen.value["claimed_at"] -= LIMITS.retention_s + 1
        world.table.transact([], [Write("claims", seen.key, seen.value)])
        assert claims.sweep([seen]) == 0


class TestGroupCommit:
    @pytest.fixture
    def writer(self, world):
        writer = GroupWriter(world.table, CLOCK)
        yield writer
        writer.close()

    def submit_held(self, world, writer, keys):
        """Queue writes behind one that is held, so that they share a batch."""
        held = threading.Event()
        free = threading.Event()
        transact = world.table.transact

        def slow(conditions, writes):
            held.set()
            free.wait()
            world.table.transact = transact
            return transact(conditions, writes)

        world.table.transact = slow
        first = writer.submit(Condition("t", "first", 0), Write("t", "first", {}))
        held.wait()
        futures = [
            writer.submit(Condition("t", key, 0), Write("t", key, {"n": n}))
            for n, key in enumerate(keys)
        ]
        free.set()
        first.result()
        return futures

    def test_shares_a_transaction(self, world, writer):
        futures = self.submit_held(world, writer, ["a", "b", "c"])
        assert [future.result() for future in futures] == [1, 1, 1]
        assert len(world.table.transactions) == 2

    def test_one_conflict_does_not_fail_the_others(self, world, writer):
        world.table.transact([], [Write("t", "b", {})])
        futures = self.submit_held(world, writer, ["a", "b", "c"])
        assert futures[0].result() == 1
        with pytest.raises(PlatformConflictError):
            futures[1].result()
        assert futures[2].result() == 1

    def test_two_writes_of_a_row_never_share_a_transaction(self, world, writer):
        futures = self.submit_held(world, writer, ["a", "a"])
        assert futures[0].result() == 1
        with pytest.raises(PlatformConflictError):
            futures[1].result()
        assert world.table.row("t", "a").value == {"n": 0}
