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


class Deployment:
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
def deployment():
    deployment = Deployment()
    yield deployment
    deployment.table.is_unavailable = False
    deployment.objects.is_unavailable = False
    for claims in deployment.daemons:
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
    def test_different_triples_have_different_row_keys(self, left, right):
        assert make_claim_key(*left) != make_claim_key(*right)

    def test_hash_depends_on_the_split_into_parts(self):
        assert hash_request("POST", "/a", b"bc") != hash_request("POST", "/ab", b"c")


class TestReplay:
    def test_retry_on_another_host_gets_the_same_answer(self, deployment):
        first = deployment.run(deployment.daemon("h1"))
        again = deployment.run(deployment.daemon("h2"))
        assert again == first
        assert deployment.service.runs == ["k"]

    def test_large_answer_is_stored_in_the_object_store(self, deployment):
        body = b"x" * (LIMITS.inline_body_bytes + 1)

        def send():
            return deployment.service.call("k", body=body)

        deadline = CLOCK.monotonic() + LONG_S
        first = deployment.daemon("h1").run("acme", "desk", "k", "h", deadline, send)
        assert len(deployment.objects.body_by_name) == 1
        assert len(deployment.claim_rows()[0]["body"]) == 0
        assert deployment.run(deployment.daemon("h2")) == first

    def test_different_request_with_the_same_key_is_rejected(self, deployment):
        deployment.run(deployment.daemon("h1"))
        with pytest.raises(KeyReusedError) as caught:
            deployment.run(deployment.daemon("h1"), digest="other")
        assert caught.value.outcome is Outcome.NOT_RUN
        assert deployment.service.runs == ["k"]


class TestNotRun:
    @pytest.mark.parametrize("fault", [CallFault.NOT_SENT, CallFault.REFUSED])
    def test_releases_the_claim(self, deployment, fault):
        with pytest.raises(NoUpstreamError) as caught:
            deployment.run(deployment.daemon("h1"), fault)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert deployment.claim_rows() == []
        assert deployment.run(deployment.daemon("h2")).status == 201

    def test_raises_the_error_of_the_sender(self, deployment):
        def send():
            raise QueueFullError("full")

        with pytest.raises(QueueFullError):
            deployment.daemon("h1").run("a", "s", "k", "h", CLOCK.monotonic() + 9, send)
        assert deployment.claim_rows() == []

    def test_rejects_calls_while_the_table_is_unavailable(self, deployment):
        deployment.table.is_unavailable = True
        with pytest.raises(NotReadyError) as caught:
            deployment.run(deployment.daemon("h1"))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert deployment.service.runs == []


class TestOutcomeUnknown:
    @pytest.mark.parametrize("fault", [CallFault.REQUEST_LOST, CallFault.REPLY_LOST])
    def test_lost_call_is_never_sent_again(self, deployment, fault):
        with pytest.raises(OutcomeUnknownError):
            deployment.run(deployment.daemon("h1"), fault)
        runs = list(deployment.service.runs)
        with pytest.raises(OutcomeUnknownError):
            deployment.run(deployment.daemon("h2"))
        assert deployment.service.runs == runs

    def test_unexpected_error_of_the_sender_has_an_unknown_outcome(self, deployment):
        def send():
            raise RuntimeError("bug")

        with pytest.raises(OutcomeUnknownError):
            deployment.daemon("h1").run("a", "s", "k", "h", CLOCK.monotonic() + 9, send)

    def test_wait_ends_if_the_claimant_is_dead(self, deployment):
        dead = deployment.daemon("h1", incarnation="i1")
        waiter = deployment.daemon(
            "h2", is_dead=lambda host, i: (host, i) == ("h1", "i1")
        )

        def send():
            with pytest.raises(OutcomeUnknownError):
                deployment.run(waiter)
            return deployment.service.call("k")

        dead.run("acme", "desk", "k", "h", CLOCK.monotonic() + LONG_S, send)
        assert deployment.service.runs == ["k"]

    def test_wait_ends_at_the_deadline(self, deployment):
        def send():
            with pytest.raises(CallInProgressError):
                deployment.run(deployment.daemon("h2"), wait_s=SHORT_S)
            return deployment.service.call("k")

        claims = deployment.daemon("h1")
        claims.run("acme", "desk", "k", "h", CLOCK.monotonic() + LONG_S, send)
        assert deployment.service.runs == ["k"]


class TestLostWrites:
    @pytest.mark.parametrize(
        "fault", [WriteFault.REPLY_LOST, WriteFault.REQUEST_LOST, WriteFault.DELAYED]
    )
    def test_lost_insert_is_resolved_by_reading_the_row(self, deployment, fault):
        deployment.table.faults.append(fault)
        assert deployment.run(deployment.daemon("h1")).status == 201
        assert deployment.service.runs == ["k"]

    @pytest.mark.parametrize("fault", list(WriteFault))
    def test_result_is_written_despite_a_fault(self, deployment, fault):
        deployment.table.faults.extend([WriteFault.NONE, fault])
        first = deployment.run(deployment.daemon("h1"))
        assert deployment.run(deployment.daemon("h2")) == first
        assert deployment.service.runs == ["k"]

    @pytest.mark.parametrize("fault", list(WriteFault))
    def test_claim_is_released_despite_a_fault(self, deployment, fault):
        deployment.table.faults.extend([WriteFault.NONE, fault])
        claims = deployment.daemon("h1")
        with pytest.raises(NoUpstreamError):
            deployment.run(claims, CallFault.REFUSED)
        assert deployment.run(deployment.daemon("h2")).status == 201

    def test_answer_is_delivered_during_a_long_outage(self, deployment):
        claims = deployment.daemon("h1")

        def send():
            deployment.table.is_unavailable = True
            return deployment.service.call("k")

        deadline = CLOCK.monotonic() + LONG_S
        first = claims.run("acme", "desk", "k", "h", deadline, send)
        assert claims.unsettled == 1
        deployment.table.is_unavailable = False
        assert claims.close(10.0) == 0
        assert deployment.run(deployment.daemon("h2")) == first


class TestSweep:
    def test_deletes_only_rows_past_their_retention(self, deployment):
        claims = deployment.daemon("h1")
        deployment.run(claims, key="old")
        deployment.run(claims, key="new")
        rows = {row.key: row for row in deployment.table.scan("claims")}
        rows["acme/desk/old"].value["claimed_at"] -= LIMITS.retention_s + 1
        assert claims.sweep(list(rows.values())) == 1
        assert [row.key for row in deployment.table.scan("claims")] == ["acme/desk/new"]

    def test_keeps_a_row_that_was_rewritten_since_the_scan(self, deployment):
        claims = deployment.daemon("h1")
        deployment.run(claims)
        (seen,) = deployment.table.scan("claims")
        seen.value["claimed_at"] -= LIMITS.retention_s + 1
        deployment.table.transact([], [Write("claims", seen.key, seen.value)])
        assert claims.sweep([seen]) == 0


class TestGroupCommit:
    @pytest.fixture
    def writer(self, deployment):
        writer = GroupWriter(deployment.table, CLOCK)
        yield writer
        writer.close()

    def submit_behind_blocked_write(self, deployment, writer, keys):
        """Queue writes behind a blocked one, so that they share a batch."""
        blocked = threading.Event()
        unblock = threading.Event()
        transact = deployment.table.transact

        def slow(conditions, writes):
            blocked.set()
            unblock.wait()
            deployment.table.transact = transact
            return transact(conditions, writes)

        deployment.table.transact = slow
        first = writer.submit(Condition("t", "first", 0), Write("t", "first", {}))
        blocked.wait()
        futures = [
            writer.submit(Condition("t", key, 0), Write("t", key, {"n": n}))
            for n, key in enumerate(keys)
        ]
        unblock.set()
        first.result()
        return futures

    def test_shares_a_transaction(self, deployment, writer):
        futures = self.submit_behind_blocked_write(deployment, writer, ["a", "b", "c"])
        assert [future.result() for future in futures] == [1, 1, 1]
        assert len(deployment.table.transactions) == 2

    def test_one_conflict_does_not_fail_the_others(self, deployment, writer):
        deployment.table.transact([], [Write("t", "b", {})])
        futures = self.submit_behind_blocked_write(deployment, writer, ["a", "b", "c"])
        assert futures[0].result() == 1
        with pytest.raises(PlatformConflictError):
            futures[1].result()
        assert futures[2].result() == 1

    def test_two_writes_of_a_row_never_share_a_transaction(self, deployment, writer):
        futures = self.submit_behind_blocked_write(deployment, writer, ["a", "a"])
        assert futures[0].result() == 1
        with pytest.raises(PlatformConflictError):
            futures[1].result()
        assert deployment.table.row("t", "a").value == {"n": 0}
