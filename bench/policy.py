"""Compare the dispatcher with alternative policies: ``python -m bench.policy``."""

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
from .scenarios import run_scenario

OUTPUT_PATH = pathlib.Path(__file__).parent / "out" / "policy.txt"
DEFAULT_SEED_COUNT = 5
DEFAULT_JOBS = 4

# Policies without a dispatcher are not affected by faults of dispatchers or by
# the loss of their messages.
DISPATCHER_SCENARIOS = ("dispatcher_away_1s", "dispatcher_away_3s", "loss_1", "loss_5")
# Run only when named by --policy. ``dispatcher_dc_spill`` reads the queues of
# all pools without delay, which no real host can.
NOT_BY_DEFAULT = ("dispatcher_dc_spill", *COST_BY_NAME)

Runs = dict[str, Measures]
Figure = t.Callable[[Runs], float]
Key = tuple[str, str, int]


def _run_one(key: Key) -> tuple[Key, Measures]:
    scenario, policy, seed = key
    model, requests, bound = run_scenario(
        SCENARIO_BY_NAME[scenario], POLICY_BY_NAME[policy], seed
    )
    return key, measure(model, requests, bound)


def _measure_of(scenario: str, name: str) -> Figure:
    return lambda runs: runs[scenario].get(name, math.nan)


def _quotient_of(scenario: str, other: str, name: str) -> Figure:
    return lambda runs: runs[scenario][name] / runs[other][name]


def _lowest_kept(runs: Runs) -> float:
    """Return the lowest ratio of served to guaranteed tokens of the floods."""
    shares = [
        runs["flood_batch"]["urgent_kept"],
        runs["flood_batch"]["standard_kept"],
        runs["flood_urgent"]["standard_kept"],
        runs["flood_urgent"]["batch_kept"],
        runs["flood_standard"]["urgent_kept"],
        runs["flood_standard"]["batch_kept"],
    ]
    return min(shares)


# By title: the target, the scenarios that the figure needs, and the figure.
COLUMNS: dict[str, tuple[str, tuple[str, ...], Figure]] = {
    "throughput/bound, steady": (
        ">=0.95",
        ("steady",),
        _measure_of("steady", "throughput"),
    ),
    "urgent p95 in batch flood/without": (
        "<=1.1",
        ("flood_batch", "unflooded"),
        _quotient_of("flood_batch", "unflooded", "urgent_p95"),
    ),
    "standard p95 in batch flood/without": (
        "",
        ("flood_batch", "unflooded"),
        _quotient_of("flood_batch", "unflooded", "standard_p95"),
    ),
    "least kept/minimum in floods": (
        ">=1.0",
        ("flood_batch", "flood_urgent", "flood_standard"),
        _lowest_kept,
    ),
    "small s/token, large by all/alone, 0.9": (
        "<=1.05",
        ("large_all_90", "alone_90"),
        _quotient_of("large_all_90", "alone_90", "small_per_token"),
    ),
    "small p95, large by all/alone, 0.9": (
        "<=1.05",
        ("large_all_90", "alone_90"),
        _quotient_of("large_all_90", "alone_90", "small_p95"),
    ),
    "small p95, large by one/alone, 0.9": (
        "<=1.05",
        ("large_one_90", "alone_90"),
        _quotient_of("large_one_90", "alone_90", "small_p95"),
    ),
    "small p95, large by all/alone, 2.0": (
        "<=1.05",
        ("large_all_200", "alone_200"),
        _quotient_of("large_all_200", "alone_200", "small_p95"),
    ),
    "small p95, large by one/alone, 2.0": (
        "<=1.05",
        ("large_one_200", "alone_200"),
        _quotient_of("large_one_200", "alone_200", "small_p95"),
    ),
    "Jain, large by all, 2.0": (
        ">=0.98",
        ("large_all_200",),
        _measure_of("large_all_200", "jain"),
    ),
    "Jain, large by one, 2.0": (
        ">=0.98",
        ("large_one_200",),
        _measure_of("large_one_200", "jain"),
    ),
    "throughput, large by one, 2.0": (
        ">=0.95",
        ("large_one_200",),
        _measure_of("large_one_200", "throughput"),
    ),
    "throughput, flood of urgent": (
        ">=0.95",
        ("flood_urgent",),
        _measure_of("flood_urgent", "throughput"),
    ),
    "urgent cut at its deadline, flood of urgent": (
        "",
        ("flood_urgent",),
        _measure_of("flood_urgent", "urgent_cut"),
    ),
    "urgent s/token, moderate": (
        "",
        ("moderate",),
        _measure_of("moderate", "urgent_per_token"),
    ),
    "urgent p95 s, moderate": (
        "",
        ("moderate",),
        _measure_of("moderate", "urgent_p95"),
    ),
    "stage lost: longest gap s": (
        "<=2",
        ("stage_lost",),
        _measure_of("stage_lost", "longest_gap"),
    ),
    "host lost: longest s without a start": (
        "<=3",
        ("host_lost",),
        _measure_of("host_lost", "outage"),
    ),
    "data centre lost: longest s without a start": (
        "<=3",
        ("data_centre_lost",),
        _measure_of("data_centre_lost", "outage"),
    ),
    "data centre lost: throughput after/bound": (
        "",
        ("data_centre_lost",),
        _measure_of("data_centre_lost", "after_fault"),
    ),
    "link slow: urgent p95/busy": (
        "",
        ("link_slow", "busy"),
        _quotient_of("link_slow", "busy", "urgent_p95"),
    ),
    "reports lag 3 s: urgent p95/busy": (
        "",
        ("reports_lag_3s", "busy"),
        _quotient_of("reports_lag_3s", "busy", "urgent_p95"),
    ),
    "reports lag 3 s: throughput/busy": (
        "",
        ("reports_lag_3s", "busy"),
        _quotient_of("reports_lag_3s", "busy", "throughput"),
    ),
    "dispatcher away 1 s: longest s without a start": (
        "<=3",
        ("dispatcher_away_1s",),
        _measure_of("dispatcher_away_1s", "outage"),
    ),
    "dispatcher away 3 s: throughput after/busy": (
        "",
        ("dispatcher_away_3s", "busy"),
        _quotient_of("dispatcher_away_3s", "busy", "after_fault"),
    ),
    "1 % lost: urgent p95/busy": (
        "",
        ("loss_1", "busy"),
        _quotient_of("loss_1", "busy", "urgent_p95"),
    ),
    "5 % lost: urgent p95/busy": (
        "",
        ("loss_5", "busy"),
        _quotient_of("loss_5", "busy", "urgent_p95"),
    ),
    "messages a request, busy": (
        "",
        ("busy",),
        _measure_of("busy", "messages_per_request"),
    ),
}


def _format_spread(values: list[float]) -> str:
    median = statistics.median(values)
    return f"{median:.3f} [{min(values):.3f} {max(values):.3f}]"


def _table_lines(
    measures_by_key: dict[Key, Measures], policies: list[str], seeds: list[int]
) -> t.Iterator[str]:
    available = {key[:2] for key in measures_by_key}
    for title, (target, scenarios, figure) in COLUMNS.items():
        rows = []
        for policy in policies:
            if not available.issuperset((name, policy) for name in scenarios):
                continue
            values = []
            for seed in seeds:
                runs = {name: measures_by_key[name, policy, seed] for name in scenarios}
                values.append(figure(runs))
            rows.append(f"    {policy:<22}{_format_spread(values)}")
        if rows:
            yield f"{title}  {target}".rstrip()
            yield from rows


def _scenarios_of(titles: list[str]) -> list[str]:
    needed: dict[str, None] = {}
    for title, (_, scenarios, _) in COLUMNS.items():
        if not titles or any(part in title for part in titles):
            needed.update(dict.fromkeys(scenarios))
    return list(needed)


def main() -> None:
    """Run the scenarios for each policy and seed; print and write the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEED_COUNT)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--policy", action="append", choices=sorted(POLICY_BY_NAME))
    parser.add_argument("--title", action="append", default=[], help="part of a row")
    parser.add_argument("--out", type=pathlib.Path, default=OUTPUT_PATH)
    options = parser.parse_args()
    policies = options.policy
    if not policies:
        policies = [name for name in POLICY_BY_NAME if name not in NOT_BY_DEFAULT]
    seeds = list(range(1, options.seeds + 1))
    keys = []
    for policy in policies:
        for scenario in _scenarios_of(options.title):
            if scenario in DISPATCHER_SCENARIOS and "dispatcher" not in policy:
                continue
            keys += [(scenario, policy, seed) for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as executor:
        measures_by_key = dict(executor.map(_run_one, keys))
    lines = [f"median [least most] over seeds 1 to {len(seeds)}; virtual time", ""]
    lines += _table_lines(measures_by_key, policies, seeds)
    text = "\n".join(lines) + "\n"
    options.out.parent.mkdir(exist_ok=True)
    options.out.write_text(text, encoding="utf-8")
    print(text, end="")


if __name__ == "__main__":
    main()
