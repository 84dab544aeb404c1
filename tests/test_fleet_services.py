"""Non-idempotent service calls through daemon processes run at most once per key."""

import concurrent.futures
import time

import pytest

from tests.fleet import Fleet
from tests.fleet import in_background
from tests.fleet import wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet"), services=2) as new_fleet:
        yield new_fleet


@pytest.fixture(autouse=True)
def _reset_faults(fleet):
    yield
    for name in ("desk0", "desk1"):
        fleet.standins.switch(
            name, refuse=False, run_s=0.0, delay_s=0.0, lose_reply=0, dead=False
        )
    fleet.standins.switch("table", down=False, delay_s=0.0, lose_replies=0)


def switch_desks(fleet, **switches):
    for name in ("desk0", "desk1"):
        fleet.standins.switch(name, **switches)


def assert_unknown(answer):
    assert answer.status >= 400, answer.body
    assert answer.headers["x-outcome"] == "unknown"
    assert answer.error["outcome"] == "unknown"


def assert_not_run(answer):
    assert answer.status >= 400, answer.body
    assert answer.headers["x-outcome"] == "not_run"
    assert answer.error["outcome"] == "not_run"


class TestRetry:
    def test_retry_at_another_daemon_gets_the_same_answer(self, fleet):
        first = fleet["a0"].call("again")
        second = fleet["b0"].call("again")
        assert first.status == second.status == 200
        assert first.json == second.json
        assert [run["registration"] for run in fleet.runs("again")] == [
            first.json["registration"]
        ]

    def test_concurrent_calls_of_one_key_run_once(self, fleet):
        switch_desks(fleet, run_s=0.2)
        keys = [f"both{number}" for number in range(15)]
        with concurrent.futures.ThreadPoolExecutor(30) as pool:
            calls = [
                (key, pool.submit(fleet[name].call, key))
                for key in keys
                for name in ("a0", "b0")
            ]
            answers = [(key, call.result()) for key, call in calls]
        for key in keys:
            runs = fleet.runs(key)
            assert len(runs) == 1
            for answer in (answer for sent_key, answer in answers if sent_key == key):
                if answer.status == 200:
                    assert answer.json["registration"] == runs[0]["registration"]
                    continue
                assert_unknown(answer)
            assert fleet["a0"].call(key).json["registration"] == runs[0]["registration"]

    def test_reusing_a_key_with_another_body_is_an_error(self, fleet):
        fleet["a0"].call("reused", "one")
        answer = fleet["b0"].call("reused", "two")
        assert (answer.status, answer.error["code"]) == (422, "idempotency_key_reused")
        assert len(fleet.runs("reused")) == 1

    def test_call_without_a_key_is_not_run(self, fleet):
        before = len(fleet.runs(None))
        assert_not_run(fleet["a0"].call(None))
        assert len(fleet.runs(None)) == before
        assert fleet["a0"].call(None, method="GET").status == 200


class TestLostReply:
    def test_outcome_is_unknown_and_there_is_no_second_run(self, fleet):
        # Leave idle connections: HTTP client libraries may resend a request when a
        # reused connection breaks.
        for number in range(4):
            assert fleet["a0"].call(f"warm{number}").status == 200
        switch_desks(fleet, lose_reply=1)
        assert_unknown(fleet["a0"].call("lost"))
        switch_desks(fleet, lose_reply=0)
        assert_unknown(fleet["a0"].call("lost"))
        assert_unknown(fleet["b0"].call("lost"))
        assert len(fleet.runs("lost")) == 1

    @pytest.mark.parametrize("number", range(3))
    def test_lost_replies_of_the_table(self, fleet, number):
        key = f"claim{number}"
        fleet.standins.switch("table", lose_replies=1 + number)
        answer = fleet["a0"].call(key)
        fleet.standins.switch("table", lose_replies=0)
        runs = fleet.runs(key)
        if answer.status == 200:
            assert answer.json["registration"] == runs[0]["registration"]
        elif answer.headers["x-outcome"] == "not_run":
            assert runs == []
        again = fleet["b0"].call(key)
        assert len(fleet.runs(key)) <= 1
        if answer.status == 200:
            assert again.json == answer.json


class TestRefused:
    def test_refused_call_is_not_run_and_can_be_retried(self, fleet):
        switch_desks(fleet, refuse=True)
        assert_not_run(fleet["a0"].call("refused", timeout_s=3))
        assert fleet.runs("refused") == []
        switch_desks(fleet, refuse=False)
        assert fleet["b0"].call("refused").status == 200
        assert len(fleet.runs("refused")) == 1

    def test_call_to_a_dead_service_is_not_run(self, fleet):
        switch_desks(fleet, dead=True)
        assert_not_run(fleet["a0"].call("dead", timeout_s=3))
        switch_desks(fleet, dead=False)
        assert fleet.runs("dead") == []


class TestDaemonKilled:
    @pytest.mark.parametrize("switch", ["delay_s", "run_s"], ids=["before", "during"])
    def test_outcome_is_unknown_after_a_kill_between_claim_and_result(
        self, fleet, switch
    ):
        key = f"killed-{switch}"
        switch_desks(fleet, **{switch: 2.0})
        with in_background(lambda: fleet["a0"].call(key)) as call:
            if switch == "run_s":
                wait_until(lambda: fleet.runs(key), "the run began")
            else:
                wait_until(
                    lambda: self.claim_writes(fleet, key), "the claim is written"
                )
                # By then the call is sent, but the service has not started the run.
                time.sleep(0.5)
            fleet["a0"].kill()
            # The caller sees a broken connection.
            assert call.exception() is not None
        answers = [fleet["b0"].call(key, timeout_s=2) for _ in range(2)]
        for answer in answers:
            assert_unknown(answer)
        switch_desks(fleet, **{switch: 0.0})
        fleet["a0"].start()
        fleet["a0"].wait_ready()
        final = fleet["a0"].call(key, timeout_s=2)
        assert_unknown(final)
        assert final.error["code"] == "outcome_unknown"
        assert len(fleet.runs(key)) <= 1

    def claim_writes(self, fleet, key):
        return [
            write
            for entry in fleet.standins.records("table")["history"]
            for write in entry["writes"]
            if write["table"] == "claims" and write["key"].endswith(key)
        ]


class TestPlatformDown:
    @pytest.mark.parametrize("way", [True, "503"], ids=["refused", "503"])
    def test_calls_with_a_key_are_refused_at_once_and_completions_served(
        self, fleet, way
    ):
        fleet.standins.switch("table", down=way)
        key = f"down-{way}"
        answer = fleet["a0"].call(key)
        assert_not_run(answer)
        # Refused at once, not at the caller's deadline.
        assert answer.error["code"] != "deadline_exceeded"
        assert fleet["a0"].complete("platform away").text()
        assert fleet["a0"].call(None, method="GET").status == 200
        assert fleet.runs(key) == []
        fleet.standins.switch("table", down=False)

        def is_recovered():
            return fleet["a0"].call(key).status == 200

        wait_until(is_recovered, "recovery")
        assert len(fleet.runs(key)) == 1

    def test_slow_platform_causes_no_second_run(self, fleet):
        fleet.standins.switch("table", delay_s=1.0)
        answer = fleet["a0"].call("slow")
        fleet.standins.switch("table", delay_s=0.0)
        again = fleet["b0"].call("slow")
        runs = fleet.runs("slow")
        assert len(runs) <= 1
        if answer.status == 200:
            assert again.json == answer.json
