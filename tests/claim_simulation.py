"""Simulation of the claims of several daemons against fakes, with invariants."""

import dataclasses
import enum

from tests.fakes import CallFault
from tests.fakes import FakeObjects
from tests.fakes import FakeService
from tests.fakes import FakeTable
from tests.fakes import WriteFault
from wagtailstair.core.claim_rows import TABLE
from wagtailstair.core.claim_rows import decode_claim
from wagtailstair.core.claim_rows import find_expired
from wagtailstair.core.claim_rows import make_write
from wagtailstair.core.claim_steps import Answer
from wagtailstair.core.claim_steps import Answered
from wagtailstair.core.claim_steps import CallLost
from wagtailstair.core.claim_steps import Claimant
from wagtailstair.core.claim_steps import ClaimRow
from wagtailstair.core.claim_steps import Conflict
from wagtailstair.core.claim_steps import Deliver
from wagtailstair.core.claim_steps import Delivered
from wagtailstair.core.claim_steps import FailureReason
from wagtailstair.core.claim_steps import Fetch
from wagtailstair.core.claim_steps import Fetched
from wagtailstair.core.claim_steps import Finish
from wagtailstair.core.claim_steps import Insert
from wagtailstair.core.claim_steps import NotRun
from wagtailstair.core.claim_steps import Read
from wagtailstair.core.claim_steps import Release
from wagtailstair.core.claim_steps import ReplyLost
from wagtailstair.core.claim_steps import RowRead
from wagtailstair.core.claim_steps import Send
from wagtailstair.core.claim_steps import Settle
from wagtailstair.core.claim_steps import Store
from wagtailstair.core.claim_steps import Stored
from wagtailstair.core.claim_steps import Unavailable
from wagtailstair.core.claim_steps import Wait
from wagtailstair.core.claim_steps import WaitElapsed
from wagtailstair.core.claim_steps import Written
from wagtailstair.core.claims import Claim
from wagtailstair.core.claims import ClaimLimits
from wagtailstair.exceptions import Outcome
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.exceptions import UpstreamLostError
from wagtailstair.exceptions import UpstreamNotSentError
from wagtailstair.exceptions import UpstreamRefusedError

LIMITS = ClaimLimits(
    inserts=3,
    send_window_s=30.0,
    confirm_s=1.0,
    confirm_attempts=6,
    inline_body_bytes=8,
    retention_s=1000.0,
)
DEADLINE_S = 60.0
ARRIVAL_S = LIMITS.retention_s - LIMITS.send_window_s
"""Longest time from a call's send to its run: its claim is kept for that long."""


@dataclasses.dataclass
class Daemon:
    name: str
    incarnation: int = 1
    clock_offset: float = 0.0
    is_frozen: bool = False
    is_cut: bool = False


@dataclasses.dataclass
class Call:
    """A call, with its pending command and the event not yet delivered to it."""

    daemon: Daemon
    key: str
    digest: str
    claim: Claim
    command: object
    body: bytes = b""
    event: object = None
    result: object = None
    sent_at: float = 0.0

    @property
    def attempt(self):
        return self.claim.row.claimant.attempt

    @property
    def is_done(self):
        return isinstance(self.command, Finish)


@dataclasses.dataclass
class Run:
    key: str
    digest: str
    attempt: str
    at: float
    sent_at: float


class Fault(enum.Enum):
    """Faults of a step; their effect depends on the target of its command."""

    NONE = "none"
    AWAY = "away"
    REPLY_LOST = "reply_lost"
    REQUEST_LOST = "request_lost"
    DELAYED = "delayed"
    REFUSED = "refused"


_WRITE_FAULT = {
    Fault.AWAY: WriteFault.AWAY,
    Fault.REPLY_LOST: WriteFault.REPLY_LOST,
    Fault.REQUEST_LOST: WriteFault.REQUEST_LOST,
    Fault.DELAYED: WriteFault.DELAYED,
}
_CALL_FAULT = {
    Fault.AWAY: CallFault.NOT_SENT,
    Fault.REFUSED: CallFault.REFUSED,
    Fault.REPLY_LOST: CallFault.REPLY_LOST,
    Fault.REQUEST_LOST: CallFault.REQUEST_LOST,
    Fault.DELAYED: CallFault.REQUEST_LOST,
}


class ClaimSimulation:
    def __init__(self, hosts=3):
        self.now = 0.0
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.service = FakeService()
        # The monotonic clocks of hosts are unrelated.
        self.daemons = [Daemon(f"h{n}", clock_offset=1000.0 * n) for n in range(hosts)]
        self.calls = []
        self.ended = []
        self.runs = []
        self.answer_by_attempt = {}
        self.late_runs = []
        self._attempts = 0

    # Actions of callers, hosts and the platform.

    def submit(self, host, key="k", digest="d", body=b""):
        daemon = self.daemons[host]
        self._attempts += 1
        claimant = Claimant(
            daemon.name, str(daemon.incarnation), f"attempt-{self._attempts}"
        )
        row = ClaimRow(digest, claimant, self.now)
        clock = self.now + daemon.clock_offset
        claim = Claim(row, clock + DEADLINE_S, LIMITS)
        call = Call(daemon, key, digest, claim, None, body)
        self._set_command(call, claim.start(clock))
        self.calls.append(call)
        return call

    def step(self, call, fault=Fault.NONE):
        """Execute the pending command, or deliver its event to the claim."""
        if call.daemon.is_frozen or call.is_done:
            return
        if call.event is None:
            call.event = self._execute(call, fault)
            return
        event, call.event = call.event, None
        clock = self.now + call.daemon.clock_offset
        self._set_command(call, call.claim.step(event, clock))

    def finish(self, call, faults=()):
        """Step a call to its end, with the next fault for each command."""
        faults = list(faults)
        for _ in range(200):
            if call.is_done:
                return
            fault = Fault.NONE
            if call.event is None and not isinstance(call.command, Deliver | Wait):
                fault = faults.pop(0) if faults else Fault.NONE
            self.step(call, fault)
        raise AssertionError("the call did not end within 200 steps")

    def kill(self, host):
        """Kill a daemon and start another process under its name."""
        daemon = self.daemons[host]
        self.ended += [call for call in self.calls if call.daemon is daemon]
        self.calls = [call for call in self.calls if call.daemon is not daemon]
        self.daemons[host] = Daemon(
            daemon.name, daemon.incarnation + 1, daemon.clock_offset
        )

    def advance(self, seconds):
        """Advance the time; a delayed call runs ``ARRIVAL_S`` later at the latest."""
        ends_at = self.now + seconds
        for call in sorted(self.late_runs, key=lambda call: call.sent_at):
            if call.sent_at + ARRIVAL_S <= ends_at:
                self.late_runs.remove(call)
                self.now = call.sent_at + ARRIVAL_S
                self._run(call)
        self.now = ends_at

    def land(self, index=0):
        """Let a delayed write take effect."""
        self.table.land(index)

    def land_call(self, index=0):
        if self.late_runs:
            self._run(self.late_runs.pop(index % len(self.late_runs)))

    def sweep(self):
        """Delete the rows past their retention, as a daemon's sweep does."""
        rows = self.table.scan(TABLE)
        for condition, write in find_expired(rows, self.now, LIMITS.retention_s):
            self.table.transact([condition], [write])

    # Execution of commands.

    def _set_command(self, call, command):
        call.command = command
        if isinstance(command, Deliver):
            call.result = command.result
            self._check_replay(call)
            self.check()

    def _execute(self, call, fault):
        command = call.command
        if isinstance(command, Insert | Settle | Release):
            return self._write(call, fault)
        if isinstance(command, Wait):
            self.advance(command.delay_s)
            return WaitElapsed()
        if isinstance(command, Deliver):
            return Delivered()
        if isinstance(command, Send):
            return self._send(call, fault)
        if fault is not Fault.NONE or call.daemon.is_cut:
            return Unavailable()
        if isinstance(command, Read):
            return self._read(call)
        if isinstance(command, Store):
            self.objects.put(command.name, command.body)
            return Stored()
        assert isinstance(command, Fetch)
        return Fetched(self.objects.get(command.name))

    def _write(self, call, fault):
        if call.daemon.is_cut:
            return Unavailable()
        condition, write = make_write(call.key, call.command)
        if fault in _WRITE_FAULT:
            self.table.faults.append(_WRITE_FAULT[fault])
        try:
            (version,) = self.table.transact([condition], [write])
        except PlatformConflictError:
            return Conflict()
        except PlatformUnavailableError:
            return Unavailable()
        except PlatformUnknownError:
            return ReplyLost()
        return Written(version)

    def _read(self, call):
        (row,) = self.table.read([(TABLE, call.key)])
        if row.value is None:
            return RowRead(row.version, None)
        claim = decode_claim(row.value)
        return RowRead(row.version, claim, self._is_dead(claim.claimant))

    def _is_dead(self, claimant):
        for daemon in self.daemons:
            if daemon.name == claimant.host:
                return str(daemon.incarnation) != claimant.incarnation
        return True

    def _send(self, call, fault):
        if self.now + call.daemon.clock_offset >= call.command.not_after:
            return NotRun()
        call.sent_at = self.now
        if fault is Fault.DELAYED:
            self.late_runs.append(call)
        try:
            self.service.call(call.key, _CALL_FAULT.get(fault, CallFault.NONE))
        except (UpstreamNotSentError, UpstreamRefusedError):
            return NotRun()
        except UpstreamLostError:
            if fault is Fault.REPLY_LOST:
                self._record(call)
            return CallLost()
        return Answered(self._record(call))

    def _run(self, call):
        self.service.call(call.key)
        self._record(call)

    def _record(self, call):
        run = Run(call.key, call.digest, call.attempt, self.now, call.sent_at)
        self.runs.append(run)
        answer = Answer(201, (("X-Attempt", call.attempt),), call.body)
        self.answer_by_attempt[call.attempt] = answer
        return answer

    # Invariants: results of callers against runs of the service.

    def check(self):
        self._check_runs()
        for call in [*self.calls, *self.ended]:
            if call.result is not None:
                self._check_result(call)

    def _check_replay(self, call):
        """Check that a retry gets the answer of the last run under its key."""
        if not isinstance(call.result, Answer):
            return
        ((_, attempt),) = call.result.headers
        runs = [run.attempt for run in self.runs if run.key == call.key]
        assert attempt in (call.attempt, runs[-1]), "an older run's answer"

    def _check_runs(self):
        """Check that a key runs again only after its last claim's retention.

        Claims are compared by their sends, as a delayed call may run much later.
        """
        last_by_key = {}
        for run in self.runs:
            last = last_by_key.get(run.key)
            assert last is None or run.sent_at - last.sent_at > ARRIVAL_S, (
                f"{run} ran twice"
            )
            last_by_key[run.key] = run

    def _check_result(self, call):
        result = call.result
        if isinstance(result, Answer):
            runs = {run.attempt: run for run in self.runs if run.key == call.key}
            (attempt,) = (text for name, text in result.headers if name == "X-Attempt")
            assert attempt in runs, "an answer without a run"
            assert runs[attempt].digest == call.digest, "another request's answer"
            assert result == self.answer_by_attempt[attempt], "a changed answer"
            return
        if result.reason is FailureReason.KEY_REUSED:
            digests = {
                c.digest for c in [*self.calls, *self.ended] if c.key == call.key
            }
            assert len(digests) > 1, "the key has one request only"
        if result.outcome is Outcome.NOT_RUN:
            ran = [run for run in self.runs if run.attempt == call.attempt]
            late = [late for late in self.late_runs if late.attempt == call.attempt]
            assert not ran, "it said not_run, but it ran"
            assert not late, "it said not_run, but it will run"
