import itertools

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests import fuzz
from wagtailstair.core.engine import Stage
from wagtailstair.core.sessions import ACCEPTED
from wagtailstair.core.sessions import Session
from wagtailstair.exceptions import Outcome

LAYERS = 6
MAX_TOKENS = 6
BOUNDS = [(0, 6), (0, 3, 6), (0, 2, 4, 6)]
SOUND = [[list(pair) for pair in itertools.pairwise(b)] for b in BOUNDS]
BROKEN = [
    [],
    [[0, 3]],
    [[3, 6]],
    [[0, 3], [3, 6], [3, 6]],
    [[0, 3], [0, 3], [3, 6]],
    [[3, 6], [0, 3]],
    [[0, 4], [3, 6]],
]
indexes = st.integers(0, 7)


def make_route(bounds):
    pairs = itertools.pairwise(bounds)
    return tuple(Stage(f"e{a}", "127.0.0.1:1", a, b) for a, b in pairs)


def token_at(request, position):
    """Return the one right token, so that any other is seen in the answer."""
    return 1000 * int(request[1:]) + position


class Upstream:
    """One exchange on the engine's side; it may go on after it was given up."""

    def __init__(self, session, attempt):
        self.session = session
        self.attempt = attempt
        self.position = attempt.position
        self.was_reached = True
        self.has_run = False


class SessionsMachine(RuleBasedStateMachine):
    """Lines late, twice, skipped, of other attempts, with wrong trails."""

    @initialize()
    def start(self):
        self.sessions = [Session(f"r{n}", "p", MAX_TOKENS, LAYERS) for n in (1, 2)]
        self.upstreams = []
        self.delivered = {session.request: [] for session in self.sessions}

    def _deliver(self, upstream, position, trail, target):
        if not upstream.was_reached:
            return
        upstream.has_run = True
        attempt = upstream.attempt
        request = upstream.session.request
        token = token_at(request, position)
        expected = target.attempt
        verdict = target.accept_token(
            request, attempt.id, attempt.epoch, position, token, "", trail
        )
        if verdict is ACCEPTED:
            assert attempt.id == expected, "a line of an old attempt"
            assert trail in SOUND, "a token that not every layer made once"
            self.delivered[target.request].append(token)

    @rule(index=indexes, bounds=st.sampled_from(BOUNDS))
    def begin(self, index, bounds):
        session = self.sessions[index % 2]
        if not session.may_begin():
            return
        attempt = session.begin(make_route(bounds))
        assert list(attempt.tokens) == self.delivered[session.request]
        self.upstreams.append(Upstream(session, attempt))

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes, count=st.integers(1, 4))
    def send(self, index, count):
        upstream = self.upstreams[index % len(self.upstreams)]
        for _ in range(count):
            self._deliver(upstream, upstream.position, SOUND[1], upstream.session)
            upstream.position += 1

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes, position=st.integers(0, 7), trail=st.sampled_from(SOUND))
    def send_out_of_order(self, index, position, trail):
        upstream = self.upstreams[index % len(self.upstreams)]
        self._deliver(upstream, position, trail, upstream.session)

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes, trail=st.sampled_from(BROKEN))
    def send_with_wrong_trail(self, index, trail):
        upstream = self.upstreams[index % len(self.upstreams)]
        position = len(upstream.session.tokens)
        self._deliver(upstream, position, trail, upstream.session)

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes)
    def send_to_the_other_request(self, index):
        upstream = self.upstreams[index % len(self.upstreams)]
        other = self.sessions[upstream.session is self.sessions[0]]
        self._deliver(upstream, len(other.tokens), SOUND[0], other)

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes, count=st.integers(0, MAX_TOKENS))
    def end(self, index, count):
        upstream = self.upstreams[index % len(self.upstreams)]
        session, attempt = upstream.session, upstream.attempt
        if not upstream.was_reached:
            return
        upstream.has_run = True
        expected = session.attempt
        verdict = session.accept_end(
            session.request, attempt.id, attempt.epoch, count, "stop"
        )
        if verdict is ACCEPTED:
            assert attempt.id == expected, "the end of an old attempt"
            assert count == len(self.delivered[session.request]), "a cut answer"

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes, sent=st.booleans())
    def close_broken(self, index, sent):
        upstream = self.upstreams[index % len(self.upstreams)]
        if not sent and upstream.has_run:
            return
        upstream.was_reached = upstream.was_reached and sent
        upstream.session.close_broken(upstream.attempt.id, sent)

    @precondition(lambda self: self.upstreams)
    @rule(index=indexes)
    def refused(self, index):
        upstream = self.upstreams[index % len(self.upstreams)]
        if upstream.has_run:
            return
        upstream.was_reached = False
        upstream.session.close_refused(upstream.attempt.id)

    @rule(index=indexes)
    def close(self, index):
        session = self.sessions[index % 2]
        session.close()

    @invariant()
    def holds(self):
        for session in getattr(self, "sessions", []):
            expected = [
                token_at(session.request, position)
                for position in range(len(self.delivered[session.request]))
            ]
            assert self.delivered[session.request] == expected, "lost or doubled"
            if session.outcome() is Outcome.NOT_RUN:
                ran = [u for u in self.upstreams if u.session is session and u.has_run]
                assert not ran, "it said not_run, but it ran"


SessionsMachine.TestCase.settings = fuzz.settings(examples=200, steps=50)
TestSessionsMachine = fuzz.seeded(SessionsMachine)
