"""The fault matrix: the status of every fault at every step of the protocol.

python -m tests.matrix [--cell STEP/FAULT] [--seed N] [--seeds N] [--processes]
"""

import argparse
import itertools
import pathlib
import subprocess
import sys

from tests.matrix_cells import core_cells
from tests.matrix_hosts import host_cells

ROOT = pathlib.Path(__file__).parent.parent
SEEDS = 20
PROCESS_TIMEOUT_S = 1500

REQUEST = ("accept", "authenticate", "admit", "wait", "claim-written", "claim-reply")
EXCHANGE = ("connect", "request-sent", "first-byte", "middle", "last-byte")
RESULT = ("result-settled", "answer")
LISTS = ("read", "commit", "reply", "announce", "apply")
LEASES = ("acquire", "renew", "order-sent", "order-reply", "hand-over")
SHUTDOWN = ("readiness-gone", "listener-closed", "last-request")
START = ("join", "first-lists", "ready")
STEPS = (*REQUEST, *EXCHANGE, *RESULT, *LISTS, *LEASES, *SHUTDOWN, *START)

UPSTREAM_FAULTS = (
    "stage-killed",
    "service-killed",
    "service-refuses",
    "cut-upstream",
    "answers-late-or-twice",
    "answers-repeated",
    "answers-out-of-order",
    "wrong-layers",
    "ends-early",
)
PLATFORM_FAULTS = (
    "cut-platform",
    "platform-away",
    "platform-slow",
    "reply-lost",
    "request-lost",
)
HOST_FAULTS = (
    "daemon-killed",
    "peer-killed",
    "frozen",
    "host-replaced",
    "cut-peer",
    "cut-one-way",
    "data-centre-cut",
    "link-slow",
)
PLATFORM_MESSAGE_FAULTS = ("platform-slow", "reply-lost", "request-lost")
OTHER_FAULTS = (
    "upstream-leaves",
    "same-key-elsewhere",
    "operators-race",
    "fencing-ignored",
)
# The fault "none" runs a step without a fault.
FAULTS = ("none", *HOST_FAULTS, *PLATFORM_FAULTS, *UPSTREAM_FAULTS, *OTHER_FAULTS)

_BEFORE_SENDING = REQUEST

# Steps, faults that can't happen at them, and the reason.
IMPOSSIBLE = (
    (_BEFORE_SENDING, UPSTREAM_FAULTS, "no request has been sent to an upstream yet"),
    (RESULT, UPSTREAM_FAULTS, "the upstream's answer is complete"),
    (
        (*LISTS, *START),
        (*UPSTREAM_FAULTS, "upstream-leaves"),
        "no upstream takes part",
    ),
    (
        tuple(step for step in STEPS if step not in LISTS),
        ("operators-race",),
        "no list is edited",
    ),
    (
        tuple(step for step in STEPS if step not in LEASES),
        ("fencing-ignored",),
        "no order is sent",
    ),
    (
        ("accept", "authenticate", "admit", "wait", *LISTS, *LEASES, *START),
        ("same-key-elsewhere",),
        "no claim is written or pending",
    ),
    (
        ("accept", "authenticate"),
        (*PLATFORM_MESSAGE_FAULTS, "cut-peer"),
        "decided by the lists in memory, without any message",
    ),
    (
        ("admit",),
        PLATFORM_MESSAGE_FAULTS,
        "decided by the lists in memory and a peer, without the platform",
    ),
    (
        ("first-byte", "middle"),
        PLATFORM_MESSAGE_FAULTS,
        "no message goes to the platform during a stream",
    ),
    (
        ("claim-reply",),
        ("platform-away", "platform-slow", "request-lost"),
        "the write has taken effect; an earlier fault is at claim-written",
    ),
    (
        ("claim-written", "claim-reply", "result-settled"),
        ("peer-killed", "cut-peer"),
        "the message goes to the table, not to a peer",
    ),
    (
        ("acquire",),
        ("link-slow", "fencing-ignored"),
        "no order is sent before the lease is acquired",
    ),
    (
        ("acquire", "renew"),
        UPSTREAM_FAULTS,
        "the message goes to the table, not to an engine",
    ),
    (
        ("order-sent", "order-reply", "hand-over"),
        ("service-killed", "service-refuses", "wrong-layers", "ends-early"),
        "orders go only to engines and get a single reply",
    ),
    (
        ("connect", "request-sent"),
        ("wrong-layers", "ends-early", "answers-repeated", "answers-out-of-order"),
        "no line has been received yet",
    ),
)

_COMPLETIONS = "tests/test_fleet_completions.py::TestStageFailure::"
_SERVICES = "tests/test_fleet_services.py::"
_LISTS = "tests/test_fleet_lists.py::"
_SHUTDOWN = "tests/test_fleet_shutdown.py::"
_HOSTS = "tests/test_fleet_hosts.py::"
_KILLED = (
    _SERVICES
    + "TestDaemonKilled::test_outcome_is_unknown_after_a_kill_between_claim_and_result"
)
_STAGE = _COMPLETIONS + "test_answer_is_complete_after_a_stage_failure"
_STREAMS = _COMPLETIONS + "test_answer_is_complete_after_faulty_streams"
_TABLE_REPLY = _SERVICES + "TestLostReply::test_lost_replies_of_the_table"
_DOWN = (
    _SERVICES + "TestPlatformDown::"
    "test_calls_with_a_key_are_refused_at_once_and_completions_served"
)
_SLOW = _SERVICES + "TestPlatformDown::test_slow_platform_causes_no_second_run"
_CONCURRENT = _SERVICES + "TestRetry::test_concurrent_calls_of_one_key_run_once"
_HOST_LOST = (
    _HOSTS
    + "TestHostLost::test_other_hosts_serve_and_a_new_host_joins_at_the_same_address"
)
_DC_LOST = (
    _HOSTS + "TestHostLost::"
    "test_the_other_data_centre_serves_while_all_hosts_of_one_are_frozen"
)
_ONE_WAY = (
    _HOSTS + "TestOutage::test_calls_run_at_most_once_while_platform_replies_are_lost"
)
_STAMPEDE = _HOSTS + "TestOutage::test_recovery_does_not_overload_the_table"
_CUT_LISTS = (
    _LISTS
    + "TestEdit::test_edit_reaches_a_data_centre_without_connection_to_the_platform"
)
_THAWED = _LISTS + "TestNoReversion::test_thawed_daemon_does_not_serve_with_old_lists"
_RESTARTED = (
    _LISTS
    + "TestNoReversion::test_restarted_daemon_without_platform_gets_the_newest_lists"
)
_ONLY_GROW = (
    _LISTS
    + "TestNoReversion::test_versions_never_decrease_over_edits_partitions_and_freezes"
)
_EDITS = "tests/test_changes.py::"
_LOST_EDIT = _EDITS + "TestLostReplies::test_lost_reply_is_resolved_by_the_change_id"
_FOLLOWER = "tests/test_follower.py::"

# Node ids of the pytest tests that cover a cell, by step and fault.
TESTS = {
    ("accept", "none"): ("tests/test_fleet_completions.py::TestOpenAIClient",),
    ("middle", "none"): ("tests/test_fleet_completions.py::TestConcurrentRequests",),
    ("answer", "none"): (_SERVICES + "TestRetry",),
    ("readiness-gone", "none"): (
        _SHUTDOWN + "TestUnderLoad::test_requests_are_served_after_readiness_ended",
    ),
    ("listener-closed", "none"): (_SHUTDOWN + "TestBacklog",),
    ("last-request", "none"): (
        _SHUTDOWN + "TestUnderLoad::test_streams_and_calls_are_completed",
    ),
    ("accept", "host-replaced"): (_HOST_LOST,),
    ("accept", "daemon-killed"): (_HOST_LOST,),
    ("accept", "data-centre-cut"): (_DC_LOST,),
    ("claim-written", "daemon-killed"): (_KILLED,),
    ("claim-written", "platform-away"): (_DOWN,),
    ("claim-written", "platform-slow"): (_SLOW,),
    ("claim-written", "cut-one-way"): (_ONE_WAY,),
    ("claim-written", "same-key-elsewhere"): (_CONCURRENT,),
    ("claim-reply", "reply-lost"): (_TABLE_REPLY,),
    ("result-settled", "reply-lost"): (_TABLE_REPLY,),
    ("connect", "service-killed"): (
        _SERVICES + "TestRefused::test_call_to_a_dead_service_is_not_run",
    ),
    ("connect", "stage-killed"): (_STAGE,),
    ("request-sent", "service-refuses"): (
        _SERVICES + "TestRefused::test_refused_call_is_not_run_and_can_be_retried",
    ),
    ("request-sent", "daemon-killed"): (_KILLED,),
    ("request-sent", "reply-lost"): (
        _SERVICES + "TestLostReply::test_outcome_is_unknown_and_there_is_no_second_run",
    ),
    ("middle", "stage-killed"): (_STAGE,),
    ("middle", "frozen"): (_STAGE,),
    ("middle", "answers-repeated"): (_STREAMS,),
    ("middle", "answers-out-of-order"): (_STREAMS,),
    ("middle", "ends-early"): (_STREAMS,),
    ("read", "cut-platform"): (_CUT_LISTS,),
    ("read", "frozen"): (_FOLLOWER + "TestPause",),
    ("read", "platform-away"): (
        _STAMPEDE,
        _FOLLOWER + "TestTable::test_recovery_of_the_table_causes_no_read_burst",
    ),
    ("commit", "operators-race"): (
        _EDITS + "TestCommit::test_second_edit_of_a_row_conflicts_with_the_first",
        _EDITS + "TestCommit::test_edits_of_different_rows_both_succeed",
        "tests/test_changes_machine.py",
    ),
    ("commit", "platform-away"): (
        _EDITS + "TestLostReplies::test_unavailable_when_no_attempt_got_through",
    ),
    ("commit", "request-lost"): (_LOST_EDIT,),
    ("reply", "reply-lost"): (_LOST_EDIT,),
    ("reply", "platform-slow"): (
        _EDITS + "TestLostReplies::test_late_attempt_of_the_same_change_is_no_conflict",
    ),
    ("announce", "cut-platform"): (_CUT_LISTS,),
    ("announce", "cut-peer"): (_ONLY_GROW,),
    ("apply", "frozen"): (_THAWED,),
    ("apply", "daemon-killed"): (_RESTARTED,),
    ("apply", "cut-platform"): (_ONLY_GROW,),
    ("join", "host-replaced"): (_HOST_LOST,),
    ("join", "daemon-killed"): (
        "tests/test_membership.py::TestNetwork::test_host_killed_is_dead_everywhere",
    ),
    ("join", "data-centre-cut"): (
        "tests/test_membership.py::TestNetwork::test_data_centre_cut_off_and_back",
    ),
    ("first-lists", "cut-platform"): (_RESTARTED,),
    ("first-lists", "platform-away"): (_FOLLOWER + "TestStart",),
    ("first-lists", "cut-peer"): (
        _FOLLOWER
        + "TestStart::test_not_ready_while_platform_and_peers_are_unreachable",
    ),
}
_CELL_GROUPS = (
    # State machine tests and tests of several cells: node ids, steps, faults.
    (
        (_FOLLOWER.rstrip(":"),),
        ("read", "announce", "apply", "first-lists"),
        (
            "daemon-killed",
            "frozen",
            "cut-peer",
            "data-centre-cut",
            "cut-platform",
            "platform-away",
            "platform-slow",
        ),
    ),
    (
        ("tests/test_changes_machine.py",),
        ("commit", "reply"),
        ("none", "platform-away", "reply-lost", "request-lost", "operators-race"),
    ),
    (
        ("tests/test_dispatch.py::TestFaults",),
        ("wait",),
        ("daemon-killed", "peer-killed", "frozen", "cut-peer", "cut-one-way"),
    ),
    ((_DOWN,), ("accept", "first-byte", "middle"), ("platform-away",)),
    (
        ("tests/test_fleet_completions.py::TestLeaving",),
        ("wait", "connect"),
        ("upstream-leaves",),
    ),
)
for _nodes, _steps, _faults in _CELL_GROUPS:
    for _cell in itertools.product(_steps, _faults):
        TESTS[_cell] = (*TESTS.get(_cell, ()), *_nodes)

# The values are the texts of the printed table.
PASSED = "held"
FAILED = "fell short"
IMPOSSIBLE_STATUS = "cannot happen"
NOT_RUN = "not run"
MARK_BY_STATUS = {PASSED: "ok", FAILED: "XX", IMPOSSIBLE_STATUS: "-", NOT_RUN: "."}


def reason_impossible(step, fault):
    """Return why a fault can't happen at a step, or an empty string."""
    for steps, faults, reason in IMPOSSIBLE:
        if step in steps and fault in faults:
            return reason
    return ""


def run_cell(functions, seeds):
    """Return the status of a cell, with the failing seed and message if it failed."""
    for seed in seeds:
        for function in functions:
            try:
                function(seed)
            except AssertionError as error:
                lines = str(error).splitlines() or [""]
                return FAILED, f"seed {seed}: {lines[0]}"
    return PASSED, ""


def run_tests(nodes):
    """Run tests in one pytest process; return the failed and the missing ones."""
    present = sorted({n for n in nodes if (ROOT / n.split("::")[0]).exists()})
    missing = dict.fromkeys(set(nodes) - set(present), "the test file does not exist")
    if not present:
        return {}, missing
    command = [sys.executable, "-m", "pytest", "-rA", "--no-header", "--tb=no"]
    done = subprocess.run(
        [*command, *present],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PROCESS_TIMEOUT_S,
    )
    failed, passed = {}, set()
    for line in done.stdout.splitlines():
        result, _, rest = line.partition(" ")
        if result in ("FAILED", "ERROR", "XFAIL"):
            failed[rest.split(" - ")[0]] = line
        if result in ("PASSED", "XPASS"):
            passed.add(rest)
    for node in present:
        if not any(name.startswith(node) for name in passed | set(failed)):
            missing[node] = "not found by pytest"
    return failed, missing


def evaluate_cells(cells, seeds, with_tests):
    """Return the status and a remark of each cell, by step and fault."""
    nodes = [n for cell in cells for n in TESTS.get(cell, ())] if with_tests else []
    failed, missing = run_tests(nodes)
    by_cell = {}
    functions_by_cell = core_cells() | host_cells()
    for cell in cells:
        functions = functions_by_cell.get(cell, ())
        tests = TESTS.get(cell, ()) if with_tests else ()
        status, remark = run_cell(functions, seeds) if functions else (NOT_RUN, "")
        for node in tests:
            if node in missing:
                remark = remark or f"{node}: {missing[node]}"
                continue
            failed_tests = [name for name in failed if name.startswith(node)]
            if failed_tests:
                status, remark = FAILED, f"test {failed_tests[0]}"
            elif status == NOT_RUN:
                status = PASSED
        if not functions and cell not in TESTS and reason_impossible(*cell):
            status, remark = IMPOSSIBLE_STATUS, reason_impossible(*cell)
        by_cell[cell] = (status, remark)
    return by_cell


def print_matrix(by_cell):
    """Print the table of steps and faults, the legend and the failed cells."""
    width = max(len(step) for step in STEPS)
    numbers = " ".join(f"{n:>2}" for n in range(1, len(FAULTS) + 1))
    print(f"{'':{width}} {numbers}")
    for step in STEPS:
        marks = [MARK_BY_STATUS[by_cell[step, fault][0]] for fault in FAULTS]
        print(f"{step:{width}} " + " ".join(f"{mark:>2}" for mark in marks))
    print()
    for number, fault in enumerate(FAULTS, 1):
        print(f"{number:>2} {fault}")
    print("\nok held, XX fell short, - cannot happen, . not run\n")
    for status in (PASSED, FAILED, IMPOSSIBLE_STATUS, NOT_RUN):
        count = sum(s == status for s, _ in by_cell.values())
        print(f"{status}: {count}")
    for (step, fault), (status, remark) in by_cell.items():
        if status == FAILED or (status == NOT_RUN and remark):
            print(f"{step}/{fault}: {status}, {remark}")
    print("\ncannot happen, since:")
    for steps, faults, reason in IMPOSSIBLE:
        print(f"  {', '.join(steps)} / {', '.join(faults)}: {reason}")


def main():
    """Run the matrix, or one cell of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cell", help="STEP/FAULT")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument("--seeds", type=int, default=SEEDS, help="seeds of a cell")
    parser.add_argument(
        "--processes", action="store_true", help="run the cells' pytest tests too"
    )
    options = parser.parse_args()
    seeds = range(options.seeds) if options.seed is None else [options.seed]
    if options.cell:
        cell = tuple(options.cell.split("/"))
        if cell[0] not in STEPS or cell[-1] not in FAULTS:
            parser.error(f"unknown cell {options.cell}")
        status, remark = evaluate_cells([cell], seeds, with_tests=True)[cell]
        print(f"{options.cell}: {status} {remark}")
        return 1 if status == FAILED else 0
    cells = [(step, fault) for step in STEPS for fault in FAULTS]
    by_cell = evaluate_cells(cells, seeds, options.processes)
    print_matrix(by_cell)
    return 1 if any(s == FAILED for s, _ in by_cell.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
