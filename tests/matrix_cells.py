"""Cells of the fault matrix that need no process: a fault at a step of the core.

Each takes a seed, which chooses the host, the second fault, and the callers'
retries; it returns if the oracle holds and raises AssertionError if not.
"""

import functools
import itertools
import random

from tests.claim_simulation import LIMITS
from tests.claim_simulation import ClaimSimulation
from tests.claim_simulation import Fault
from tests.fakes import WriteFault
from tests.lease_simulation import LIMITS as LEASE
from tests.lease_simulation import LeaseSimulation
from wagtailstair.core.claim_steps import Deliver
from wagtailstair.core.claim_steps import Insert
from wagtailstair.core.claim_steps import Send
from wagtailstair.core.claim_steps import Settle
from wagtailstair.core.claim_steps import Store
from wagtailstair.core.engine import Stage
from wagtailstair.core.leases import LeaseRead
from wagtailstair.core.leases import LeaseWrite
from wagtailstair.core.sessions import ACCEPTED
from wagtailstair.core.sessions import Session
from wagtailstair.exceptions import Outcome

# Claims: the command at which the fault comes, and whether after its effect.
CLAIM_STEPS = {
    "claim-written": (Insert, False),
    "claim-reply": (Insert, True),
    "connect": (Send, False),
    "request-sent": (Send, False),
    "last-byte": (Send, True),
    "result-settled": (Settle, False),
    "answer": (Deliver, False),
}
MAX_STEPS = 40


def _reach(world, call, step):
    """Step a call to where the fault comes."""
    kind, is_after = CLAIM_STEPS[step]
    kinds = (Settle, Store) if kind is Settle else kind
    for _ in range(MAX_STEPS):
        is_there = isinstance(call.command, kinds)
        if is_there and (call.event is not None) is is_after:
            return
        world.step(call)
    raise AssertionError(f"the call never came to {step}")


def _kill(world, call, rng):
    world.kill(world.daemons.index(call.daemon))


def _freeze_past_retention(world, call, rng):
    call.daemon.is_frozen = True
    world.advance(rng.choice([5.0, LIMITS.send_window_s + 1.0]))
    world.finish(world.submit(1))
    world.advance(LIMITS.retention_s + 1.0)
    world.sweep()
    world.finish(world.submit(2))
    call.daemon.is_frozen = False


def _cut(world, call, rng):
    call.daemon.is_cut = True
    for _ in range(rng.randrange(8)):
        world.step(call)
    world.finish(world.submit(1))
    call.daemon.is_cut = False


def _step_with(fault):
    def cause(world, call, rng):
        world.step(call, fault)

    return cause


def _late_twice(world, call, rng):
    """Let the call's effect come late, after the callers' retries."""
    world.step(call, Fault.DELAYED)
    for host in (1, 2):
        world.finish(world.submit(host))
    world.land_call()
    while world.table.delayed:
        world.land(rng.randrange(4))


def _race(world, call, rng):
    """Let two more hosts take the same key, step by step."""
    calls = [call, world.submit(1), world.submit(2, digest=rng.choice("de"))]
    for _ in range(60):
        world.step(rng.choice(calls))


_PROCESS_FAULTS = {
    "daemon-killed": _kill,
    "host-replaced": _kill,
    "frozen": _freeze_past_retention,
    "cut-platform": _cut,
    "same-key-elsewhere": _race,
}
_WRITE_FAULTS = {
    "platform-away": _step_with(Fault.AWAY),
    "platform-slow": _late_twice,
    "reply-lost": _step_with(Fault.REPLY_LOST),
    "request-lost": _step_with(Fault.REQUEST_LOST),
}
CLAIM_FAULTS = {
    "claim-written": _PROCESS_FAULTS | _WRITE_FAULTS,
    "claim-reply": _PROCESS_FAULTS,
    "connect": _PROCESS_FAULTS
    | {
        "cut-upstream": _step_with(Fault.AWAY),
        "service-killed": _step_with(Fault.AWAY),
        "service-refuses": _step_with(Fault.REFUSED),
    },
    "request-sent": _PROCESS_FAULTS
    | {
        "cut-upstream": _step_with(Fault.REQUEST_LOST),
        "service-killed": _step_with(Fault.REPLY_LOST),
        "reply-lost": _step_with(Fault.REPLY_LOST),
        "request-lost": _step_with(Fault.REQUEST_LOST),
        "answers-late-or-twice": _late_twice,
    },
    "last-byte": _PROCESS_FAULTS,
    "result-settled": _PROCESS_FAULTS | _WRITE_FAULTS,
    "answer": _PROCESS_FAULTS,
}


def claim_cell(step, fault, seed):
    """Put a fault, and then a second one, into a call with a key."""
    rng = random.Random(f"{step}/{fault}/{seed}")
    world = ClaimSimulation()
    call = world.submit(0, body=rng.choice([b"", b"longer than a row"]))
    _reach(world, call, step)
    CLAIM_FAULTS[step][fault](world, call, rng)
    retries = [world.submit(rng.randrange(3)) for _ in range(rng.randrange(1, 4))]
    for retry in retries:
        world.finish(retry, [rng.choice(list(Fault)) for _ in range(rng.randrange(4))])
    for left in list(world.calls):
        world.finish(left)
    while world.table.delayed:
        world.land()
    while world.late_runs:
        world.land_call()
    world.finish(world.submit(rng.randrange(3)))
    world.check()


# Sessions.

LAYERS = 6
TOKENS = 8
BOUNDS = ((0, 3, 6), (0, 6), (0, 2, 4, 6))
WRONG_TRAILS = ([[0, 3]], [[3, 6], [0, 3]], [[0, 3], [0, 3], [3, 6]], [])
SESSION_STEPS = {"first-byte": 0, "middle": TOKENS // 2, "last-byte": TOKENS}


class _Answer:
    """A caller's view of one completion, with its oracle."""

    def __init__(self):
        self.session = Session("r1", "prompt", TOKENS, LAYERS)
        self.delivered = []
        self.attempts = []

    def begin(self, rng):
        pairs = list(itertools.pairwise(rng.choice(BOUNDS)))
        route = tuple(Stage(f"e{a}", "127.0.0.1:1", a, b) for a, b in pairs)
        attempt = self.session.begin(route)
        assert list(attempt.tokens) == self.delivered
        self.attempts.append(attempt)
        return attempt

    def line(self, attempt, position, trail=None, request="r1"):
        if trail is None:
            trail = [[stage.first, stage.last] for stage in attempt.route]
        is_whole = [layer for a, b in trail for layer in range(a, b)] == list(
            range(LAYERS)
        )
        # An old attempt may have gone on differently, as sampling does.
        token = 100 * attempt.epoch + position
        verdict = self.session.accept_token(
            request, attempt.id, attempt.epoch, position, token, "", trail
        )
        if verdict is not ACCEPTED:
            return
        assert attempt is self.attempts[-1], "a line of an old attempt"
        assert request == "r1", "a line of another request"
        assert is_whole, "a token that not every layer made once"
        assert position == len(self.delivered), "lost or doubled"
        self.delivered.append(token)

    def end(self, attempt):
        verdict = self.session.accept_end(
            "r1", attempt.id, attempt.epoch, TOKENS, "length"
        )
        if verdict is ACCEPTED:
            assert attempt is self.attempts[-1], "the end of an old attempt"
            assert len(self.delivered) == TOKENS, "a cut answer"


def _lose(answer, attempt, position, rng):
    answer.session.close_broken(attempt.id, sent=True)


def _repeat(answer, attempt, position, rng):
    for _ in range(3):
        answer.line(attempt, rng.randrange(position + 1))
        answer.line(attempt, rng.randrange(TOKENS), request="r2")


def _go_on_late(answer, attempt, position, rng):
    """Let the old attempt's lines come in the midst of the next one's."""
    answer.session.close_broken(attempt.id, sent=True)
    newer = answer.begin(rng)
    for line in range(position, TOKENS):
        answer.line(attempt, line)
        if rng.random() < 0.5 and len(answer.delivered) < TOKENS:
            answer.line(newer, len(answer.delivered))
    answer.end(attempt)


def _skip(answer, attempt, position, rng):
    answer.line(attempt, position + 1)
    answer.line(attempt, position)


def _wrong_layers(answer, attempt, position, rng):
    answer.line(attempt, position, trail=rng.choice(WRONG_TRAILS))


def _end_early(answer, attempt, position, rng):
    answer.session.accept_end("r1", attempt.id, attempt.epoch, position + 1, "stop")
    answer.session.accept_end("r1", attempt.id, attempt.epoch, position - 1, "stop")


SESSION_FAULTS = {
    "stage-killed": _lose,
    "frozen": _go_on_late,
    "cut-upstream": _lose,
    "answers-late-or-twice": _go_on_late,
    "answers-repeated": _repeat,
    "answers-out-of-order": _skip,
    "wrong-layers": _wrong_layers,
    "ends-early": _end_early,
}


def session_cell(step, fault, seed):
    """Put a fault into a stream, and a second one into what follows."""
    rng = random.Random(f"{step}/{fault}/{seed}")
    answer = _Answer()
    attempt = answer.begin(rng)
    for position in range(SESSION_STEPS[step]):
        answer.line(attempt, position)
    SESSION_FAULTS[fault](answer, attempt, SESSION_STEPS[step], rng)
    if rng.random() < 0.25:
        outcome = answer.session.close()
        assert outcome is Outcome.UNKNOWN, "it said not_run, but it ran"
        return
    second = rng.choice(list(SESSION_FAULTS.values()))
    for _ in range(answer.session.max_epochs):
        if answer.session.finish_reason is not None:
            break
        if answer.session.may_begin():
            answer.begin(rng)
        attempt = answer.attempts[-1]
        for _ in range(rng.randrange(TOKENS - len(answer.delivered) + 1)):
            answer.line(attempt, len(answer.delivered))
        if second is not None and len(answer.delivered) < TOKENS:
            second(answer, attempt, len(answer.delivered), rng)
            second = None
            continue
        while answer.session.attempt == attempt.id:
            if len(answer.delivered) == TOKENS:
                answer.end(attempt)
                break
            answer.line(attempt, len(answer.delivered))
    assert answer.session.finish_reason == "length", "the answer didn't become whole"
    assert len(answer.delivered) == TOKENS


# Leases.


def _until(world, wanted):
    candidate = world.candidates[0]
    for _ in range(200):
        if candidate.deliver_result is None and isinstance(candidate.command, wanted):
            return
        world.step(0)
        if candidate.command is None and candidate.deliver_result is None:
            world.advance(0.25)
    raise AssertionError("the candidate never came to the step")


def _reach_acquire(world, rng):
    _until(world, LeaseWrite)


def _reach_renew(world, rng):
    world.tick(0)
    world.tick(1)
    world.advance(LEASE.renew_s + 0.5)
    _until(world, LeaseWrite)


def _reach_order(world, rng):
    world.tick(0)
    world.tick(1)
    world.advance(rng.choice([0.0, 2.0, 6.5]))


def _reach_reply(world, rng):
    _reach_order(world, rng)
    world.send_order(0, 0, is_slow=True)


def _reach_hand_over(world, rng):
    _reach_reply(world, rng)
    world.candidates[0].is_cut = True
    world.advance(LEASE.duration_s - 2.5)
    world.tick(1)
    world.candidates[0].is_cut = False


LEASE_STEPS = {
    "acquire": _reach_acquire,
    "renew": _reach_renew,
    "order-sent": _reach_order,
    "order-reply": _reach_reply,
    "hand-over": _reach_hand_over,
}


def _restart_candidate(world, rng):
    world.restart(0)


def _freeze_candidate(world, rng):
    if rng.random() < 0.5:
        world.step(0)
    world.candidates[0].is_frozen = True
    for _ in range(rng.randrange(4, 60)):
        world.advance(0.5)
        for index in (1, 2):
            world.tick(index)
            world.send_order(index, 0, is_slow=rng.random() < 0.5)
    world.candidates[0].is_frozen = False
    world.send_order(0, 0, is_slow=False)


def _cut_candidate(world, rng):
    world.candidates[0].is_cut = True


def _fail_write(fault):
    def cause(world, rng):
        command = world.candidates[0].command
        if not isinstance(command, LeaseRead | LeaseWrite):
            world.advance(LEASE.renew_s + 0.5)
            _until(world, (LeaseRead, LeaseWrite))
        world.step(0, fault)
        world.step(0)

    return cause


def _slow_orders(world, rng):
    for _ in range(3):
        world.send_order(0, 0, is_slow=True)
        world.advance(rng.choice([0.25, 1.0]))


LEASE_FAULTS = {
    "daemon-killed": _restart_candidate,
    "host-replaced": _restart_candidate,
    "frozen": _freeze_candidate,
    "cut-platform": _cut_candidate,
    "platform-away": _fail_write(WriteFault.AWAY),
    "platform-slow": _fail_write(WriteFault.DELAYED),
    "reply-lost": _fail_write(WriteFault.REPLY_LOST),
    "request-lost": _fail_write(WriteFault.REQUEST_LOST),
    "link-slow": _slow_orders,
    "fencing-ignored": _slow_orders,
}


def lease_cell(step, fault, seed):
    """Put a fault into a lease; the engines of this world ignore fencing."""
    rng = random.Random(f"{step}/{fault}/{seed}")
    world = LeaseSimulation()
    LEASE_STEPS[step](world, rng)
    LEASE_FAULTS[fault](world, rng)
    for _ in range(120):
        world.advance(0.5)
        for index in rng.sample(range(3), rng.randrange(4)):
            world.tick(index)
        world.send_order(rng.randrange(3), 0, is_slow=rng.random() < 0.5)
        if rng.random() < 0.1:
            world.table.land(0)
        world.check()
    assert world.orders_sent, "nobody places any more"


_IDLE_FAULTS = {"link-slow", "fencing-ignored"}


def core_cells():
    """Return the functions of all cells here by step and fault."""
    cells = {}

    def add(function, step, fault):
        cell = functools.partial(function, step, fault)
        cells.setdefault((step, fault), []).append(cell)

    for step, faults in CLAIM_FAULTS.items():
        for fault in faults:
            add(claim_cell, step, fault)
    # The reply of the claim's write is lost after its effect.
    cell = functools.partial(claim_cell, "claim-written", "reply-lost")
    cells["claim-reply", "reply-lost"] = [cell]
    for step, fault in itertools.product(SESSION_STEPS, SESSION_FAULTS):
        add(session_cell, step, fault)
    for step, fault in itertools.product(LEASE_STEPS, LEASE_FAULTS):
        if step == "acquire" and fault in _IDLE_FAULTS:
            continue
        add(lease_cell, step, fault)
    return cells
