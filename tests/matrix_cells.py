"""Cells of the fault matrix that run in one process, on simulations of the core.

The seed of a cell determines the host, the second fault and the callers' retries.
A cell raises AssertionError if an invariant is violated.
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

# Claims: the command at which the fault occurs, and whether after its effect.
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


def _advance_to(simulation, call, step):
    """Advance a call to the step at which the fault occurs."""
    kind, is_after = CLAIM_STEPS[step]
    kinds = (Settle, Store) if kind is Settle else kind
    for _ in range(MAX_STEPS):
        is_at_command = isinstance(call.command, kinds)
        if is_at_command and (call.event is not None) is is_after:
            return
        simulation.step(call)
    raise AssertionError(f"the call did not reach {step}")


def _kill(simulation, call, rng):
    simulation.kill(simulation.daemons.index(call.daemon))


def _freeze_past_retention(simulation, call, rng):
    call.daemon.is_frozen = True
    simulation.advance(rng.choice([5.0, LIMITS.send_window_s + 1.0]))
    simulation.finish(simulation.submit(1))
    simulation.advance(LIMITS.retention_s + 1.0)
    simulation.sweep()
    simulation.finish(simulation.submit(2))
    call.daemon.is_frozen = False


def _cut(simulation, call, rng):
    call.daemon.is_cut = True
    for _ in range(rng.randrange(8)):
        simulation.step(call)
    simulation.finish(simulation.submit(1))
    call.daemon.is_cut = False


def _inject(fault):
    def inject(simulation, call, rng):
        simulation.step(call, fault)

    return inject


def _delay_effect(simulation, call, rng):
    """Delay the call's effect until after the callers' retries."""
    simulation.step(call, Fault.DELAYED)
    for host in (1, 2):
        simulation.finish(simulation.submit(host))
    simulation.land_call()
    while simulation.table.delayed:
        simulation.land(rng.randrange(4))


def _run_same_key(simulation, call, rng):
    """Run calls of two more hosts with the same key, in random order of steps."""
    calls = [call, simulation.submit(1), simulation.submit(2, digest=rng.choice("de"))]
    for _ in range(60):
        simulation.step(rng.choice(calls))


_PROCESS_FAULTS = {
    "daemon-killed": _kill,
    "host-replaced": _kill,
    "frozen": _freeze_past_retention,
    "cut-platform": _cut,
    "same-key-elsewhere": _run_same_key,
}
_WRITE_FAULTS = {
    "platform-away": _inject(Fault.AWAY),
    "platform-slow": _delay_effect,
    "reply-lost": _inject(Fault.REPLY_LOST),
    "request-lost": _inject(Fault.REQUEST_LOST),
}
CLAIM_FAULTS = {
    "claim-written": _PROCESS_FAULTS | _WRITE_FAULTS,
    "claim-reply": _PROCESS_FAULTS,
    "connect": _PROCESS_FAULTS
    | {
        "cut-upstream": _inject(Fault.AWAY),
        "service-killed": _inject(Fault.AWAY),
        "service-refuses": _inject(Fault.REFUSED),
    },
    "request-sent": _PROCESS_FAULTS
    | {
        "cut-upstream": _inject(Fault.REQUEST_LOST),
        "service-killed": _inject(Fault.REPLY_LOST),
        "reply-lost": _inject(Fault.REPLY_LOST),
        "request-lost": _inject(Fault.REQUEST_LOST),
        "answers-late-or-twice": _delay_effect,
    },
    "last-byte": _PROCESS_FAULTS,
    "result-settled": _PROCESS_FAULTS | _WRITE_FAULTS,
    "answer": _PROCESS_FAULTS,
}


def claim_cell(step, fault, seed):
    """Inject a fault, and then random ones, into a call with an idempotency key."""
    rng = random.Random(f"{step}/{fault}/{seed}")
    simulation = ClaimSimulation()
    call = simulation.submit(0, body=rng.choice([b"", b"longer than a row"]))
    _advance_to(simulation, call, step)
    CLAIM_FAULTS[step][fault](simulation, call, rng)
    retries = [simulation.submit(rng.randrange(3)) for _ in range(rng.randrange(1, 4))]
    for retry in retries:
        simulation.finish(
            retry, [rng.choice(list(Fault)) for _ in range(rng.randrange(4))]
        )
    for unfinished in list(simulation.calls):
        simulation.finish(unfinished)
    while simulation.table.delayed:
        simulation.land()
    while simulation.late_runs:
        simulation.land_call()
    simulation.finish(simulation.submit(rng.randrange(3)))
    simulation.check()


# Sessions.

LAYERS = 6
TOKENS = 8
BOUNDS = ((0, 3, 6), (0, 6), (0, 2, 4, 6))
WRONG_TRAILS = ([[0, 3]], [[3, 6], [0, 3]], [[0, 3], [0, 3], [3, 6]], [])
SESSION_STEPS = {"first-byte": 0, "middle": TOKENS // 2, "last-byte": TOKENS}


class _Completion:
    """One completion as its caller sees it, with the checks of each token."""

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

    def receive_line(self, attempt, position, trail=None, request="r1"):
        if trail is None:
            trail = [[stage.first, stage.last] for stage in attempt.route]
        is_complete = [layer for a, b in trail for layer in range(a, b)] == list(
            range(LAYERS)
        )
        # Attempts sample different tokens, so a token identifies its attempt.
        token = 100 * attempt.epoch + position
        verdict = self.session.accept_token(
            request, attempt.id, attempt.epoch, position, token, "", trail
        )
        if verdict is not ACCEPTED:
            return
        assert attempt is self.attempts[-1], "accepted a line of an old attempt"
        assert request == "r1", "accepted a line of another request"
        assert is_complete, (
            "accepted a token for which a layer did not run exactly once"
        )
        assert position == len(self.delivered), "a token was lost or duplicated"
        self.delivered.append(token)

    def receive_end(self, attempt):
        verdict = self.session.accept_end(
            "r1", attempt.id, attempt.epoch, TOKENS, "length"
        )
        if verdict is ACCEPTED:
            assert attempt is self.attempts[-1], "accepted the end of an old attempt"
            assert len(self.delivered) == TOKENS, (
                "accepted the end of an incomplete answer"
            )


def _break_stream(completion, attempt, position, rng):
    completion.session.close_broken(attempt.id, sent=True)


def _repeat(completion, attempt, position, rng):
    for _ in range(3):
        completion.receive_line(attempt, rng.randrange(position + 1))
        completion.receive_line(attempt, rng.randrange(TOKENS), request="r2")


def _interleave_old_attempt(completion, attempt, position, rng):
    """Interleave late tokens of the old attempt with those of the next one."""
    completion.session.close_broken(attempt.id, sent=True)
    newer = completion.begin(rng)
    for line in range(position, TOKENS):
        completion.receive_line(attempt, line)
        if rng.random() < 0.5 and len(completion.delivered) < TOKENS:
            completion.receive_line(newer, len(completion.delivered))
    completion.receive_end(attempt)


def _swap_order(completion, attempt, position, rng):
    completion.receive_line(attempt, position + 1)
    completion.receive_line(attempt, position)


def _wrong_layers(completion, attempt, position, rng):
    completion.receive_line(attempt, position, trail=rng.choice(WRONG_TRAILS))


def _end_early(completion, attempt, position, rng):
    completion.session.accept_end("r1", attempt.id, attempt.epoch, position + 1, "stop")
    completion.session.accept_end("r1", attempt.id, attempt.epoch, position - 1, "stop")


SESSION_FAULTS = {
    "stage-killed": _break_stream,
    "frozen": _interleave_old_attempt,
    "cut-upstream": _break_stream,
    "answers-late-or-twice": _interleave_old_attempt,
    "answers-repeated": _repeat,
    "answers-out-of-order": _swap_order,
    "wrong-layers": _wrong_layers,
    "ends-early": _end_early,
}


def session_cell(step, fault, seed):
    """Inject a fault into a stream, and a second one into a later attempt."""
    rng = random.Random(f"{step}/{fault}/{seed}")
    completion = _Completion()
    attempt = completion.begin(rng)
    for position in range(SESSION_STEPS[step]):
        completion.receive_line(attempt, position)
    SESSION_FAULTS[fault](completion, attempt, SESSION_STEPS[step], rng)
    if rng.random() < 0.25:
        outcome = completion.session.close()
        assert outcome is Outcome.UNKNOWN, (
            "expected outcome unknown for a started stream"
        )
        return
    second = rng.choice(list(SESSION_FAULTS.values()))
    for _ in range(completion.session.max_epochs):
        if completion.session.finish_reason is not None:
            break
        if completion.session.may_begin():
            completion.begin(rng)
        attempt = completion.attempts[-1]
        for _ in range(rng.randrange(TOKENS - len(completion.delivered) + 1)):
            completion.receive_line(attempt, len(completion.delivered))
        if second is not None and len(completion.delivered) < TOKENS:
            second(completion, attempt, len(completion.delivered), rng)
            second = None
            continue
        while completion.session.attempt == attempt.id:
            if len(completion.delivered) == TOKENS:
                completion.receive_end(attempt)
                break
            completion.receive_line(attempt, len(completion.delivered))
    assert completion.session.finish_reason == "length", "the answer is incomplete"
    assert len(completion.delivered) == TOKENS


# Leases.


def _step_until(simulation, command_types):
    candidate = simulation.candidates[0]
    for _ in range(200):
        if candidate.deliver_result is None and isinstance(
            candidate.command, command_types
        ):
            return
        simulation.step(0)
        if candidate.command is None and candidate.deliver_result is None:
            simulation.advance(0.25)
    raise AssertionError("the candidate did not reach the expected command")


def _reach_acquire(simulation, rng):
    _step_until(simulation, LeaseWrite)


def _reach_renew(simulation, rng):
    simulation.tick(0)
    simulation.tick(1)
    simulation.advance(LEASE.renew_s + 0.5)
    _step_until(simulation, LeaseWrite)


def _reach_order(simulation, rng):
    simulation.tick(0)
    simulation.tick(1)
    simulation.advance(rng.choice([0.0, 2.0, 6.5]))


def _reach_reply(simulation, rng):
    _reach_order(simulation, rng)
    simulation.send_order(0, 0, is_slow=True)


def _reach_hand_over(simulation, rng):
    _reach_reply(simulation, rng)
    simulation.candidates[0].is_cut = True
    simulation.advance(LEASE.duration_s - 2.5)
    simulation.tick(1)
    simulation.candidates[0].is_cut = False


LEASE_STEPS = {
    "acquire": _reach_acquire,
    "renew": _reach_renew,
    "order-sent": _reach_order,
    "order-reply": _reach_reply,
    "hand-over": _reach_hand_over,
}


def _restart_candidate(simulation, rng):
    simulation.restart(0)


def _freeze_candidate(simulation, rng):
    if rng.random() < 0.5:
        simulation.step(0)
    simulation.candidates[0].is_frozen = True
    for _ in range(rng.randrange(4, 60)):
        simulation.advance(0.5)
        for index in (1, 2):
            simulation.tick(index)
            simulation.send_order(index, 0, is_slow=rng.random() < 0.5)
    simulation.candidates[0].is_frozen = False
    simulation.send_order(0, 0, is_slow=False)


def _cut_candidate(simulation, rng):
    simulation.candidates[0].is_cut = True


def _inject_lease_fault(fault):
    def inject(simulation, rng):
        command = simulation.candidates[0].command
        if not isinstance(command, LeaseRead | LeaseWrite):
            simulation.advance(LEASE.renew_s + 0.5)
            _step_until(simulation, (LeaseRead, LeaseWrite))
        simulation.step(0, fault)
        simulation.step(0)

    return inject


def _slow_orders(simulation, rng):
    for _ in range(3):
        simulation.send_order(0, 0, is_slow=True)
        simulation.advance(rng.choice([0.25, 1.0]))


LEASE_FAULTS = {
    "daemon-killed": _restart_candidate,
    "host-replaced": _restart_candidate,
    "frozen": _freeze_candidate,
    "cut-platform": _cut_candidate,
    "platform-away": _inject_lease_fault(WriteFault.AWAY),
    "platform-slow": _inject_lease_fault(WriteFault.DELAYED),
    "reply-lost": _inject_lease_fault(WriteFault.REPLY_LOST),
    "request-lost": _inject_lease_fault(WriteFault.REQUEST_LOST),
    "link-slow": _slow_orders,
    "fencing-ignored": _slow_orders,
}


def lease_cell(step, fault, seed):
    """Inject a fault into a lease; the simulated engines ignore fencing."""
    rng = random.Random(f"{step}/{fault}/{seed}")
    simulation = LeaseSimulation()
    LEASE_STEPS[step](simulation, rng)
    LEASE_FAULTS[fault](simulation, rng)
    for _ in range(120):
        simulation.advance(0.5)
        for index in rng.sample(range(3), rng.randrange(4)):
            simulation.tick(index)
        simulation.send_order(rng.randrange(3), 0, is_slow=rng.random() < 0.5)
        if rng.random() < 0.1:
            simulation.table.land(0)
        simulation.check()
    assert simulation.orders_sent, "no candidate sent an order"


_ORDER_FAULTS = {"link-slow", "fencing-ignored"}


def core_cells():
    """Return the functions of this module's cells, by step and fault."""
    cells = {}

    def add(function, step, fault):
        cell = functools.partial(function, step, fault)
        cells.setdefault((step, fault), []).append(cell)

    for step, faults in CLAIM_FAULTS.items():
        for fault in faults:
            add(claim_cell, step, fault)
    # At claim-written, reply-lost loses the reply after the write took effect.
    cell = functools.partial(claim_cell, "claim-written", "reply-lost")
    cells["claim-reply", "reply-lost"] = [cell]
    for step, fault in itertools.product(SESSION_STEPS, SESSION_FAULTS):
        add(session_cell, step, fault)
    for step, fault in itertools.product(LEASE_STEPS, LEASE_FAULTS):
        if step == "acquire" and fault in _ORDER_FAULTS:
            continue
        add(lease_cell, step, fault)
    return cells
