"""Measure the policy against its alternatives: ``python -m bench.policy``."""

import argparse
import concurrent.futures
import math
import pathlib
import statistics
import typing as t

from .measures import Measures
from .measures import measure
from .policies import COST_BY_NAME
from .policies import POLICY_BY_NAME
from .scenarios import SCENARIO_BY_NAME
from .scenarios import play

OUT = pathlib.Path(__file__).parent / "out" / "policy.txt"
SEEDS = 5
JOBS = 4

# Faults of dispatchers and their messages change nothing for the others.
DISPATCHER_SCENARIOS = ("dispatcher_away_1s", "dispatcher_away_3s", "loss_1", "loss_5")
# It knows all queues at once, which no host can; for comparison on request.
NOT_BY_DEFAULT = ("dispatcher_dc_spill", *COST_BY_NAME)

Runs = dict[str, Measures]
Ratio = t.Callable[[Runs], float]
Key = tuple[str, str, int]


def _run(key: Key) -> tuple[Key, Measures]:
    scenario, policy, seed = key
    model, requests, bound = play(
        SCENARIO_BY_NAME[scenario], POLICY_BY_NAME[policy], seed
    )
    return key, measure(model, requests, bound)


def _of(scenario: str, name: str) -> Ratio:
    return lambda runs: runs[scenario].get(name, math.nan)


def _over(scenario: str, other: str, name: str) -> Ratio:
    return lambda runs: runs[scenario][name] / runs[other][name]


def _least_kept(runs: Runs) -> float:
    kept = [
        runs["flood_batch"]["urgent_kept"],
        runs["flood_batch"]["standard_kept"],
        runs["flood_urgent"]["standard_kept"],
        runs["flood_urgent"]["batch_kept"],
        runs["flood_standard"]["urgent_kept"],
        runs["flood_standard"]["batch_kept"],
    ]
    return min(kept)


# Title, what is wanted, scenarios, figure.
COLUMNS: dict[str, tuple[str, tuple[str, ...], Ratio]] = {
    "throughput/bound, steady": (">=0.95", ("steady",), _of("steady", "throughput")),
    "urgent p95 in batch flood/without": (
        "<=1.1",
        ("flood_batch", "unflooded"),
        _over("flood_batch", "unflooded", "urgent_p95"),
    ),
    "standard p95 in batch flood/without": (
        "",
        ("flood_batch", "unflooded"),
        _over("flood_batch", "unflooded", "standard_p95"),
    ),
    "least kept/minimum in floods": (
        ">=1.0",
        ("flood_batch", "flood_urgent", "flood_standard"),
        _least_kept,
    ),
    "small s/token, large by all/alone, 0.9": (
        "<=1.05",
        ("large_all_90", "alone_90"),
        _over("large_all_90", "alone_90", "small_per_token"),
    ),
    "small p95, large by all/alone, 0.9": (
        "<=1.05",
        ("large_all_90", "alone_90"),
        _over("large_all_90", "alone_90", "small_p95"),
    ),
    "small p95, large by one/alone, 0.9": (
        "<=1.05",
        ("large_one_90", "alone_90"),
        _over("large_one_90", "alone_90", "small_p95"),
    ),
    "small p95, large by all/alone, 2.0": (
        "<=1.05",
        ("large_all_200", "alone_200"),
        _over("large_all_200", "alone_200", "small_p95"),
    ),
    "small p95, large by one/alone, 2.0": (
        "<=1.05",
        ("large_one_200", "alone_200"),
        _over("large_one_200", "alone_200", "small_p95"),
    ),
    "Jain, large by all, 2.0": (
        ">=0.98",
        ("large_all_200",),
        _of("large_all_200", "jain"),
    ),
    "Jain, large by one, 2.0": (
        ">=0.98",
        ("large_one_200",),
        _of("large_one_200", "jain"),
    ),
    "throughput, large by one, 2.0": (
        ">=0.95",
        ("large_one_200",),
        _of("large_one_200", "throughput"),
    ),
    "throughput, flood of urgent": (
        ">=0.95",
        ("flood_urgent",),
        _of("flood_urgent", "throughput"),
    ),
    "urgent cut at its deadline, flood of urgent": (
        "",
        ("flood_urgent",),
        _of("flood_urgent", "urgent_cut"),
    ),
    "urgent s/token, moderate": (
        "",
        ("moderate",),
        _of("moderate", "urgent_per_token"),
    ),
    "urgent p95 s, moderate": ("", ("moderate",), _of("moderate", "urgent_p95")),
    "stage lost: longest gap s": (
        "<=2",
        ("stage_lost",),
        _of("stage_lost", "longest_gap"),
    ),
    "host lost: longest s without a start": (
        "<=3",
        ("host_lost",),
        _of("host_lost", "outage"),
    ),
    "data centre lost: longest s without a start": (
        "<=3",
        ("data_centre_lost",),
        _of("data_centre_lost", "outage"),
    ),
    "data centre lost: throughput after/bound": (
        "",
        ("data_centre_lost",),
        _of("data_centre_lost", "after_fault"),
    ),
    "link slow: urgent p95/busy": (
        "",
        ("link_slow", "busy"),
        _over("link_slow", "busy", "urgent_p95"),
    ),
    "reports lag 3 s: urgent p95/busy": (
        "",
        ("reports_lag_3s", "busy"),
        _over("reports_lag_3s", "busy", "urgent_p95"),
    ),
    "reports lag 3 s: throughput/busy": (
        "",
        ("reports_lag_3s", "busy"),
        _over("reports_lag_3s", "busy", "throughput"),
    ),
    "dispatcher away 1 s: longest s without a start": (
        "<=3",
        ("dispatcher_away_1s",),
        _of("dispatcher_away_1s", "outage"),
    ),
    "dispatcher away 3 s: throughput after/busy": (
        "",
        ("dispatcher_away_3s", "busy"),
        _over("dispatcher_away_3s", "busy", "after_fault"),
    ),
    "1 % lost: urgent p95/busy": (
        "",
        ("loss_1", "busy"),
        _over("loss_1", "busy", "urgent_p95"),
    ),
    "5 % lost: urgent p95/busy": (
        "",
        ("loss_5", "busy"),
        _over("loss_5", "busy", "urgent_p95"),
    ),
    "messages a request, busy": ("", ("busy",), _of("busy", "messages_per_request")),
}


def _spread(values: list[float]) -> str:
    middle = statistics.median(values)
    return f"{middle:.3f} [{min(values):.3f} {max(values):.3f}]"


def _table(
    found: dict[Key, Measures], policies: list[str], seeds: list[int]
) -> t.Iterator[str]:
    names = {key[:2] for key in found}
    for title, (target, needed, ratio) in COLUMNS.items():
        rows = []
        for policy in policies:
            if not names.issuperset((name, policy) for name in needed):
                continue
            values = []
            for seed in seeds:
                runs = {name: found[name, policy, seed] for name in needed}
                values.append(ratio(runs))
            rows.append(f"    {policy:<22}{_spread(values)}")
        if rows:
            yield f"{title}  {target}".rstrip()
            yield from rows


def _needed(titles: list[str]) -> list[str]:
    names: dict[str, None] = {}
    for title, (_, needed, _) in COLUMNS.items():
        if not titles or any(part in title for part in titles):
            names.update(dict.fromkeys(needed))
    return list(names)


def main() -> None:
    """Run scenarios under policies over seeds, print the table and keep it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--policy", action="append", choices=sorted(POLICY_BY_NAME))
    parser.add_argument("--title", action="append", default=[], help="part of a row")
    parser.add_argument("--out", type=pathlib.Path, default=OUT)
    options = parser.parse_args()
    policies = options.policy
    if not policies:
        policies = [name for name in POLICY_BY_NAME if name not in NOT_BY_DEFAULT]
    seeds = list(range(1, options.seeds + 1))
    keys = []
    for policy in policies:
        for scenario in _needed(options.title):
            if scenario in DISPATCHER_SCENARIOS and "dispatcher" not in policy:
                continue
            keys += [(scenario, policy, seed) for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as executor:
        found = dict(executor.map(_run, keys))
    lines = [f"median [least most] over seeds 1 to {len(seeds)}; virtual time", ""]
    lines += _table(found, policies, seeds)
    text = "\n".join(lines) + "\n"
    options.out.parent.mkdir(exist_ok=True)
    options.out.write_text(text, encoding="utf-8")
    print(text, end="")


if __name__ == "__main__":
    main()
