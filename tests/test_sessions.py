import itertools

import pytest

from wagtailstair.core.engine import Stage
from wagtailstair.core.sessions import ACCEPTED
from wagtailstair.core.sessions import Dropped
from wagtailstair.core.sessions import DropReason
from wagtailstair.core.sessions import Session
from wagtailstair.core.sessions import Violation
from wagtailstair.core.sessions import ViolationReason
from wagtailstair.core.sessions import covers
from wagtailstair.exceptions import Outcome

LAYERS = 12
TRAIL = [[0, 5], [5, 12]]


def make_route(*bounds):
    pairs = itertools.pairwise(bounds)
    return tuple(Stage(f"e{a}", "127.0.0.1:1", a, b) for a, b in pairs)


ROUTE = make_route(0, 5, 12)


@pytest.fixture
def session():
    return Session("r1", "hello", 4, LAYERS)


def send(session, attempt, position, token=30, trail=TRAIL, request="r1"):
    return session.accept_token(
        request, attempt.id, attempt.epoch, position, token, " w", trail
    )


class TestCovers:
    @pytest.mark.parametrize(
        "ranges",
        [
            [],
            [(0, 5)],
            [(0, 5), (6, 12)],
            [(0, 6), (5, 12)],
            [(5, 12), (0, 5)],
            [(0, 12), (0, 12)],
            [(0, 5), (5, 5), (5, 12)],
            [(0, 5), (5, 13)],
        ],
    )
    def test_refuses(self, ranges):
        assert not covers(ranges, LAYERS)

    def test_accepts_any_split(self):
        assert covers([(0, 1), (1, 11), (11, 12)], LAYERS)


class TestLine:
    def test_delivers_in_order(self, session):
        attempt = session.begin(ROUTE)
        assert send(session, attempt, 0, 31) is ACCEPTED
        assert send(session, attempt, 1, 32) is ACCEPTED
        assert session.tokens == [31, 32]
        assert session.text() == " w w"

    def test_drops_a_repeated_position(self, session):
        attempt = session.begin(ROUTE)
        send(session, attempt, 0, 31)
        assert send(session, attempt, 0, 99) == Dropped(DropReason.REPEATED)
        assert session.tokens == [31]
        assert session.attempt == attempt.id

    def test_drops_another_request(self, session):
        attempt = session.begin(ROUTE)
        verdict = send(session, attempt, 0, request="r2")
        assert verdict == Dropped(DropReason.REQUEST)
        assert session.tokens == []
        assert session.dropped[DropReason.REQUEST] == 1

    def test_drops_a_closed_attempt(self, session):
        old = session.begin(ROUTE)
        session.close_broken(old.id, sent=True)
        session.begin(ROUTE)
        assert send(session, old, 0) == Dropped(DropReason.ATTEMPT)
        assert session.tokens == []

    @pytest.mark.parametrize(
        "trail", [[[0, 5]], [[0, 5], [5, 12], [5, 12]], [[5, 12], [0, 5]], []]
    )
    def test_wrong_trail_closes_the_epoch(self, session, trail):
        attempt = session.begin(ROUTE)
        verdict = send(session, attempt, 0, trail=trail)
        assert verdict == Violation(ViolationReason.TRAIL)
        assert session.tokens == []
        assert session.may_begin()
        assert isinstance(send(session, attempt, 0), Dropped)

    def test_skipped_position_closes_the_epoch(self, session):
        attempt = session.begin(ROUTE)
        verdict = send(session, attempt, 1)
        assert verdict == Violation(ViolationReason.SKIPPED)
        assert session.attempt is None

    def test_no_token_beyond_the_maximum(self, session):
        attempt = session.begin(ROUTE)
        for position in range(4):
            send(session, attempt, position)
        verdict = send(session, attempt, 4)
        assert verdict == Violation(ViolationReason.TOO_LONG)
        assert len(session.tokens) == 4


class TestEnd:
    def test_matching_position_finishes(self, session):
        attempt = session.begin(ROUTE)
        send(session, attempt, 0)
        verdict = session.accept_end("r1", attempt.id, attempt.epoch, 1, "stop")
        assert verdict is ACCEPTED
        assert session.finish_reason == "stop"
        assert not session.may_begin()

    @pytest.mark.parametrize("position", [0, 2])
    def test_other_position_is_a_violation(self, session, position):
        attempt = session.begin(ROUTE)
        send(session, attempt, 0)
        verdict = session.accept_end("r1", attempt.id, attempt.epoch, position, "stop")
        assert verdict == Violation(ViolationReason.END_POSITION)
        assert session.finish_reason is None
        assert session.may_begin()

    def test_drops_the_end_of_an_old_attempt(self, session):
        old = session.begin(ROUTE)
        session.close_broken(old.id, sent=True)
        session.begin(ROUTE)
        assert isinstance(
            session.accept_end("r1", old.id, old.epoch, 0, "stop"), Dropped
        )
        assert session.finish_reason is None


class TestResume:
    def test_next_epoch_starts_at_the_delivered_tokens(self, session):
        first = session.begin(ROUTE)
        send(session, first, 0, 31)
        assert session.close_broken(first.id, sent=True)
        second = session.begin(make_route(0, 12))
        assert (second.epoch, second.position, second.tokens) == (2, 1, (31,))
        assert second.id != first.id

    def test_old_attempt_does_not_close_the_new(self, session):
        first = session.begin(ROUTE)
        session.close_broken(first.id, sent=True)
        second = session.begin(ROUTE)
        assert not session.close_broken(first.id, sent=True)
        assert session.attempt == second.id

    def test_ends_after_the_last_epoch(self):
        session = Session("r1", "hello", 4, LAYERS, max_epochs=1)
        attempt = session.begin(ROUTE)
        assert not session.close_broken(attempt.id, sent=True)
        with pytest.raises(ValueError, match="out of epochs"):
            session.begin(ROUTE)

    def test_refuses_a_route_with_a_gap(self, session):
        with pytest.raises(ValueError, match="cover"):
            session.begin(make_route(0, 5))


class TestOutcome:
    def test_not_run_before_any_attempt(self, session):
        assert session.close() is Outcome.NOT_RUN

    def test_not_run_after_refusals(self, session):
        session.close_broken(session.begin(ROUTE).id, sent=False)
        session.close_refused(session.begin(ROUTE).id)
        assert session.close() is Outcome.NOT_RUN

    def test_unknown_after_one_sent(self, session):
        session.close_broken(session.begin(ROUTE).id, sent=True)
        session.close_refused(session.begin(ROUTE).id)
        assert session.close() is Outcome.UNKNOWN

    def test_unknown_while_open(self, session):
        attempt = session.begin(ROUTE)
        assert session.outcome() is Outcome.UNKNOWN
        assert session.close() is Outcome.UNKNOWN
        assert isinstance(send(session, attempt, 0), Dropped)

    def test_unknown_after_a_refusal_that_contradicts_a_token(self, session):
        attempt = session.begin(ROUTE)
        send(session, attempt, 0)
        session.close_refused(attempt.id)
        assert session.close() is Outcome.UNKNOWN

    def test_unknown_after_a_violation(self, session):
        send(session, session.begin(ROUTE), 3)
        assert session.close() is Outcome.UNKNOWN
