"""The soak's verdicts, and a short run of real processes."""

import pathlib

import pytest

from tests.soak.checker import EVENTS
from tests.soak.checker import Asked
from tests.soak.checker import Key
from tests.soak.checker import Kind
from tests.soak.checker import Ledger
from tests.soak.checker import ReceivedRequest
from tests.soak.checker import Touch
from tests.soak.checker import make_event
from tests.soak.run import Options
from tests.soak.run import play
from tests.soak.run import start_apart

CI_SEED = 1
CI_FAULT_S = 8.0
LINES = (pathlib.Path(__file__).parent / "soak" / "seeds.txt").read_text().splitlines()
REGRESSIONS = [
    int(line.split()[0]) for line in LINES if line and not line.startswith("#")
]


def make_asked(kind=Kind.ONCE, *, key=None, sent_at=100.0, version=1):
    key = key or Key("key-1", "maker", 1)
    return Asked("a1", kind, "GET", "/x/1", b"", key, "h", "h/1", sent_at, 1.0, version)


def make_seen(**changes):
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
def ledger():
    ledger = Ledger(Touch())
    ledger.accept_version(1, 0.0)
    return ledger


def promises(ledger):
    return [text.split()[0].rstrip(":") for text in ledger.broken]


class TestLedger:
    def test_a_plain_answer_breaks_nothing(self, ledger):
        ledger.ask(make_asked())
        ledger.ran("i-1", make_seen(), 100.1)
        ledger.answer("a1", 200, "body of a1", 100.2, is_whole=True)
        assert ledger.broken == []

    @pytest.mark.parametrize(
        "changes",
        [{"body": b"other"}, {"account": "judge"}, {"authorization": "Token k"}],
    )
    def test_a_changed_request(self, ledger, changes):
        ledger.ask(make_asked())
        ledger.ran("i-1", make_seen(**changes), 100.1)
        assert promises(ledger) == ["unasked"]

    def test_nobody_asked(self, ledger):
        ledger.ran("i-1", make_seen(attempt="a2"), 100.1)
        assert promises(ledger) == ["unasked"]

    def test_twice(self, ledger):
        ledger.ask(make_asked())
        ledger.ran("i-1", make_seen(), 100.1)
        ledger.ran("i-2", make_seen(), 100.2)
        assert promises(ledger) == ["twice"]

    @pytest.mark.parametrize("runs_first", [True, False])
    def test_refused_and_ran(self, ledger, runs_first):
        ledger.ask(make_asked())
        if runs_first:
            ledger.ran("i-1", make_seen(), 100.1)
        ledger.answer("a1", 503, "", 100.2, is_whole=True)
        if not runs_first:
            ledger.ran("i-1", make_seen(), 100.3)
        assert promises(ledger) == ["refused"]

    def test_another_answer(self, ledger):
        ledger.ask(make_asked())
        ledger.ran("i-1", make_seen(), 100.1)
        ledger.answer("a1", 200, "body of a2", 100.2, is_whole=True)
        assert promises(ledger) == ["mixed"]

    @pytest.mark.parametrize(
        ("numbers", "is_whole", "broken"),
        [
            (range(1, EVENTS + 1), True, []),
            (range(1, EVENTS), True, ["order"]),
            (range(1, EVENTS), False, []),
            ([1, 2, 4], False, ["order"]),
            ([1, 2, 2], False, ["order"]),
        ],
    )
    def test_events(self, ledger, numbers, is_whole, broken):
        ledger.ask(make_asked(Kind.STREAM))
        ledger.ran("i-1", make_seen(), 100.1)
        text = "".join(make_event("a1", number) for number in numbers)
        ledger.answer("a1", 200, text, 100.2, is_whole=is_whole)
        assert promises(ledger) == broken

    @pytest.mark.parametrize(("at", "broken"), [(101.9, []), (102.1, ["drain"])])
    def test_a_leaving_upstream(self, ledger, at, broken):
        ledger.leave("i-1", 100.0)
        ledger.ask(make_asked())
        ledger.ran("i-1", make_seen(), at)
        assert promises(ledger) == broken

    def test_a_host_that_was_disturbed_has_time(self, ledger):
        ledger.leave("i-1", 100.0)
        ledger.ask(make_asked())
        ledger.touch.note("h", 101.0)
        ledger.ran("i-1", make_seen(), 103.9)
        assert ledger.broken == []

    @pytest.mark.parametrize(("sent_at", "broken"), [(11.9, []), (12.1, ["config"])])
    def test_a_revoked_key(self, ledger, sent_at, broken):
        key = Key("key-1", "maker", 1, removed=2)
        ledger.accept_version(2, 10.0)
        ledger.ask(make_asked(key=key, sent_at=sent_at))
        ledger.ran("i-1", make_seen(), sent_at)
        ledger.answer("a1", 200, "body of a1", sent_at, is_whole=True)
        assert promises(ledger) == broken

    def test_an_older_version_comes_back(self, ledger):
        new, old = Key("key-2", "maker", 2), Key("key-1", "maker", 1, removed=2)
        ledger.accept_version(2, 99.9)
        for attempt, key, at in (("a1", new, 100.0), ("a2", old, 100.5)):
            asked = make_asked(key=key, sent_at=at)
            asked.attempt = attempt
            ledger.ask(asked)
            ledger.ran("i-1", make_seen(attempt=attempt), at)
            ledger.answer(attempt, 200, f"body of {attempt}", at, is_whole=True)
        assert promises(ledger) == ["reverted"]

    def test_denied_a_key_that_is_in_force(self, ledger):
        ledger.ask(make_asked())
        ledger.answer("a1", 401, "", 100.1, is_whole=True)
        assert promises(ledger) == ["denied"]

    @pytest.mark.parametrize("in_shutdown", [True, False])
    def test_cut_by_a_shutdown(self, ledger, in_shutdown):
        ledger.ask(make_asked())
        ledger.ran("i-1", make_seen(), 100.1)
        ledger.cut("a1", 100.2, in_shutdown=in_shutdown)
        assert promises(ledger) == (["lost"] if in_shutdown else [])

    @pytest.mark.parametrize(
        ("path", "broken"),
        [
            ("x=0-40,y=40-80", []),
            ("x=0-40,y=41-80", ["layers"]),
            ("x=0-40,y=39-80", ["layers"]),
            ("y=40-80,x=0-40", ["layers"]),
            ("x=0-40", ["layers"]),
        ],
    )
    def test_paths(self, ledger, path, broken):
        ledger.path("i-1", "a1", path, 80)
        assert promises(ledger) == broken


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", [CI_SEED, *REGRESSIONS])
def test_short_run(tmp_path, seed):
    with start_apart(1) as pool:
        verdict = pool.submit(play, Options(seed, CI_FAULT_S), tmp_path).result()
    assert verdict.broken == []
