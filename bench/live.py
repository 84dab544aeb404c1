"""Run scenarios on real daemons with stand-ins for the engines and the platform.

Run with ``python -m bench.live [--scenario NAME] [--seed N]``. Six daemons in
three data centres serve an open-loop load with mixed accelerators, all over
loopback and with a limited duration. Each scenario prints one row; the table is
written to bench/out.
"""

import json
import pathlib
import random
import tempfile
import time
import typing as t

import click

from standins.engine import BATCH_GROWTH
from tests import fleet as fleets
from tests.fleet import LAYERS
from tests.fleet import MODEL
from tests.fleet import Fleet

from .load import LoadGenerator
from .load import PlannedRequest
from .load import SentRequest
from .load import poisson_arrivals
from .relay import cpu_seconds
from .relay import quantile
from .relay import resident_mb

OUTPUT_DIRECTORY = pathlib.Path(__file__).parent / "out"
DATA_CENTRES = ("a", "b", "c")
DAEMON_NAMES = tuple(
    f"{data_centre}{n}" for data_centre in DATA_CENTRES for n in range(2)
)
STEP_MS_BY_KIND = {"fast": 8.0, "middle": 12.0, "slow": 20.0}
SLOTS_PER_ENGINE = 8
TOKENS_PER_REQUEST = 24
SMALL_ACCOUNTS = ("maker", "judge", "fitter")
LARGE_ACCOUNTS = ("union", "office")

Row = dict[str, t.Any]


def _engine_settings() -> list[dict[str, t.Any]]:
    half = LAYERS // 2
    engines = []
    for data_centre in DATA_CENTRES:
        for kind, step_ms in STEP_MS_BY_KIND.items():
            for first, last in ((0, half), (half, LAYERS)):
                engines.append(
                    {
                        "name": f"engine-{data_centre}-{kind}-{first}",
                        "data_centre": data_centre,
                        "model": MODEL,
                        "version": "1",
                        "role": "decode",
                        "accelerator": kind,
                        "first": first,
                        "last": last,
                        "layers": LAYERS,
                        "slots": SLOTS_PER_ENGINE,
                        "step_ms": step_ms,
                        "prefill_tokens_per_s": 20_000.0,
                        "kv_tokens": 100_000,
                        "links": dict.fromkeys(DATA_CENTRES, 0.5),
                        "fencing": "checked",
                        "adapters": [],
                    }
                )
    return engines


def bound_tokens_per_s() -> float:
    """Return the highest token rate of the fleet's engines, at full batches.

    A step takes longer with each other stream in the batch, by up to half.
    """
    growth = 1 + BATCH_GROWTH * (SLOTS_PER_ENGINE - 1) / SLOTS_PER_ENGINE
    rate = 0.0
    for step_ms in STEP_MS_BY_KIND.values():
        rate += SLOTS_PER_ENGINE / (2 * step_ms * growth / 1000)
    return rate * len(DATA_CENTRES)


def _request_factory(
    rng: random.Random,
    account: str | t.Sequence[str],
    priority: str,
    group: str,
    daemons: t.Sequence[str] = DAEMON_NAMES,
) -> t.Callable[[float], PlannedRequest]:
    names = (account,) if isinstance(account, str) else account

    def make(at: float) -> PlannedRequest:
        return PlannedRequest(
            at=at,
            daemon=rng.choice(daemons),
            account=rng.choice(names),
            priority=priority,
            prompt=f"{group} {rng.random()}",
            max_tokens=TOKENS_PER_REQUEST,
            group=group,
        )

    return make


def _requests_per_s(share: float) -> float:
    return share * bound_tokens_per_s() / TOKENS_PER_REQUEST


def _requests_of_group(requests: list[SentRequest], group: str) -> list[SentRequest]:
    return [request for request in requests if request.planned.group == group]


def _completed(requests: list[SentRequest]) -> list[SentRequest]:
    return [request for request in requests if request.state == "whole"]


def _first_token_p95_ms(requests: list[SentRequest]) -> float:
    firsts = [request.first_token_s for request in _completed(requests)]
    return round(quantile(firsts, 0.95) * 1000, 1) if firsts else -1.0


def _tokens_per_s(
    requests: list[SentRequest], span: tuple[float, float], started_at: float
) -> float:
    # Counts all tokens of the answers that ended within the span.
    tokens = 0
    for request in _completed(requests):
        if span[0] <= request.last_token_at - started_at < span[1]:
            tokens += request.tokens
    return tokens / (span[1] - span[0])


def _count_lost(requests: list[SentRequest]) -> int:
    # Requests that still wait when a flood's run ends are not lost.
    return sum(request.state in ("cut", "refused") for request in requests)


class Bench:
    """A running fleet, with the random generator and the load generator."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.load = LoadGenerator({name: fleet[name].address for name in DAEMON_NAMES})

    def send(
        self,
        plan: list[PlannedRequest],
        seconds: float,
        events: t.Sequence[tuple[float, t.Callable[[], None]]] = (),
    ) -> tuple[list[SentRequest], float]:
        """Send a plan; return its requests and the instant of the start."""
        started_at = time.monotonic()
        return self.load.send(plan, seconds, events), started_at


def control_idle(bench: Bench) -> Row:
    """Measure the processor time and memory of idle daemons."""
    seconds = 8.0
    pids = [bench.fleet[name].process.pid for name in DAEMON_NAMES]
    before = [cpu_seconds(pid) for pid in pids]
    time.sleep(seconds)
    used = [cpu_seconds(pid) - b for pid, b in zip(pids, before, strict=True)]
    return {
        "core_share_max": round(max(used) / seconds, 4),
        "resident_mb_max": round(max(resident_mb(pid) for pid in pids), 1),
    }


def steady(bench: Bench) -> Row:
    """Offer 1.3 times the bound, equal by priority; measure the throughput."""
    span = (0.0, 14.0)
    rate = _requests_per_s(1.3) / 3
    plan: list[PlannedRequest] = []
    for priority in ("urgent", "standard", "batch"):
        make = _request_factory(bench.rng, SMALL_ACCOUNTS, priority, priority)
        plan += poisson_arrivals(bench.rng, rate, span, make)
    requests, started_at = bench.send(plan, 22.0)
    served = _tokens_per_s(requests, (4.0, 14.0), started_at)
    return {
        "over_bound": round(served / bound_tokens_per_s(), 3),
        "tokens_per_s": round(served),
        "lost": _count_lost(requests),
    }


def _urgent_baseline_p95_ms(bench: Bench) -> float:
    make = _request_factory(bench.rng, "maker", "urgent", "alone")
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.1), (0.0, 8.0), make)
    requests, _ = bench.send(plan, 12.0)
    return _first_token_p95_ms(requests)


def flood_batch(bench: Bench) -> Row:
    """Flood with batch requests; measure the urgent requests' first tokens."""
    baseline = _urgent_baseline_p95_ms(bench)
    urgent = _request_factory(bench.rng, "maker", "urgent", "urgent")
    batch = _request_factory(bench.rng, "union", "batch", "batch")
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.1), (3.0, 13.0), urgent)
    plan += poisson_arrivals(bench.rng, _requests_per_s(3.0), (0.0, 13.0), batch)
    requests, _ = bench.send(plan, 18.0)
    flooded = _first_token_p95_ms(_requests_of_group(requests, "urgent"))
    answered = _completed(_requests_of_group(requests, "urgent"))
    return {
        "urgent_p95_over_alone": round(flooded / baseline, 2),
        "urgent_p95_ms": flooded,
        "alone_p95_ms": baseline,
        "urgent_whole": round(
            len(answered) / len(_requests_of_group(requests, "urgent")), 3
        ),
        "lost": _count_lost(requests),
    }


def flood_urgent(bench: Bench) -> Row:
    """Flood with urgent requests; measure the other priorities' throughput."""
    span = (0.0, 14.0)
    plan = poisson_arrivals(
        bench.rng,
        _requests_per_s(2.0),
        span,
        _request_factory(bench.rng, "union", "urgent", "u"),
    )
    for group, priority in (("s", "standard"), ("b", "batch")):
        make = _request_factory(bench.rng, "maker", priority, group)
        plan += poisson_arrivals(bench.rng, _requests_per_s(0.5), span, make)
    requests, started_at = bench.send(plan, 20.0)
    kept = {}
    for group, share in (("s", 0.2), ("b", 0.05)):
        served = _tokens_per_s(
            _requests_of_group(requests, group), (4.0, 14.0), started_at
        )
        kept[group] = served / (share * bound_tokens_per_s())
    return {
        "standard_over_minimum": round(kept["s"], 2),
        "batch_over_minimum": round(kept["b"], 2),
        "lost": _count_lost(requests),
    }


def _jain(values: list[float]) -> float:
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


def _small_p50_s(requests: list[SentRequest]) -> float:
    of_small = [
        request.duration_s
        for request in _completed(requests)
        if request.planned.account in SMALL_ACCOUNTS
    ]
    return quantile(of_small, 0.5)


def _large_requests(
    bench: Bench, share: float, span: tuple[float, float]
) -> list[PlannedRequest]:
    # Each large account sends to one host of its own.
    plan: list[PlannedRequest] = []
    for account, daemon in zip(LARGE_ACCOUNTS, ("a0", "b1"), strict=True):
        make = _request_factory(bench.rng, account, "standard", account, (daemon,))
        plan += poisson_arrivals(bench.rng, _requests_per_s(share / 2), span, make)
    return plan


def large_beside_small(bench: Bench) -> Row:
    """Measure three small accounts with two large ones, at 0.9 and 2.3 of the bound.

    The baseline ("alone") is a load of 0.9 that is all from small accounts.
    """
    span = (0.0, 14.0)
    small: list[PlannedRequest] = []
    for account in SMALL_ACCOUNTS:
        make = _request_factory(bench.rng, account, "standard", account)
        small += poisson_arrivals(bench.rng, _requests_per_s(0.1), span, make)
    others = _request_factory(bench.rng, SMALL_ACCOUNTS, "standard", "others")
    same_work = poisson_arrivals(bench.rng, _requests_per_s(0.6), span, others)
    baseline, _ = bench.send(small + same_work, 20.0)
    mixed, _ = bench.send(small + _large_requests(bench, 0.6, span), 20.0)
    flooded, started_at = bench.send(small + _large_requests(bench, 2.0, span), 22.0)
    of_small = [
        request for request in flooded if request.planned.account in SMALL_ACCOUNTS
    ]
    rates = []
    for account in LARGE_ACCOUNTS:
        group = [request for request in flooded if request.planned.account == account]
        rates.append(_tokens_per_s(group, (4.0, 14.0), started_at))
    ratio = _small_p50_s(mixed) / _small_p50_s(baseline)
    return {
        "small_p50_over_alone": round(ratio, 2),
        "flooded_small_p50_over_alone": round(
            _small_p50_s(flooded) / _small_p50_s(baseline), 2
        ),
        "flooded_small_whole": round(len(_completed(of_small)) / len(of_small), 3),
        "flooded_jain_of_large": round(_jain(rates), 3),
        "lost": _count_lost(flooded),
    }


def one_entrance(bench: Bench) -> Row:
    """Send all requests to one data centre; measure the fleet's throughput."""
    make = _request_factory(bench.rng, SMALL_ACCOUNTS, "standard", "all", ("a0", "a1"))
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.9), (0.0, 14.0), make)
    requests, started_at = bench.send(plan, 22.0)
    served = _tokens_per_s(requests, (4.0, 14.0), started_at)
    return {
        "over_bound": round(served / bound_tokens_per_s(), 3),
        "first_p95_ms": _first_token_p95_ms(requests),
        "lost": _count_lost(requests),
    }


def stage_lost(bench: Bench) -> Row:
    """Kill an engine under load; measure the gaps and the lost requests."""
    span = (0.0, 8.0)
    make = _request_factory(bench.rng, SMALL_ACCOUNTS, "standard", "all")
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.5), span, make)
    victim = "engine-a-fast-0"

    def kill() -> None:
        bench.fleet.standins.switch(victim, dead=True)

    requests, _ = bench.send(plan, 14.0, ((4.0, kill),))
    bench.fleet.standins.switch(victim, dead=False)
    violating = [a for a in bench.fleet.attempts() if a["violations"]]
    return {
        "longest_gap_s": round(max(request.longest_gap_s for request in requests), 2),
        "whole": round(len(_completed(requests)) / len(requests), 3),
        "lost": _count_lost(requests),
        "violations": len(violating),
    }


def daemon_lost(bench: Bench) -> Row:
    """Kill a daemon under load; measure how long the others fail or answer late."""
    span = (0.0, 10.0)
    others = tuple(name for name in DAEMON_NAMES if name != "a0")
    make = _request_factory(bench.rng, SMALL_ACCOUNTS, "standard", "others", others)
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.5), span, make)
    requests, started_at = bench.send(plan, 16.0, ((4.0, bench.fleet["a0"].kill),))
    slow_until_s = 0.0
    for request in requests:
        sent_after_s = request.sent_at - started_at
        late = request.state != "whole" or request.first_token_s > 0.5
        if sent_after_s >= 4.0 and late:
            slow_until_s = max(slow_until_s, sent_after_s - 4.0)
    bench.fleet["a0"].start()
    bench.fleet["a0"].wait_ready()
    return {
        "served_by_the_rest_after_s": round(slow_until_s, 2),
        "whole": round(len(_completed(requests)) / len(requests), 3),
        "lost": _count_lost(requests),
    }


def platform_away(bench: Bench) -> Row:
    """Stop and restart the platform's table under load."""
    make = _request_factory(bench.rng, SMALL_ACCOUNTS, "standard", "all")
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.5), (0.0, 10.0), make)
    events = (
        (3.0, lambda: bench.fleet.standins.switch("table", down=True)),
        (7.0, lambda: bench.fleet.standins.switch("table", down=False)),
    )
    requests, _ = bench.send(plan, 16.0, events)
    return {
        "whole": round(len(_completed(requests)) / len(requests), 3),
        "lost": _count_lost(requests),
    }


def edit_under_load(bench: Bench) -> Row:
    """Edit the lists under load; measure when all daemons have applied the edit."""
    make = _request_factory(bench.rng, SMALL_ACCOUNTS, "standard", "all")
    plan = poisson_arrivals(bench.rng, _requests_per_s(0.5), (0.0, 8.0), make)
    edited_at: list[float] = []
    applied_after_s: dict[str, float] = {}
    version = 0

    def edit() -> None:
        nonlocal version
        version = bench.fleet.write_lists({"spare": fleets.FULL_PLAN})
        edited_at.append(time.monotonic())

    def check_versions() -> None:
        for name in DAEMON_NAMES:
            if not edited_at or name in applied_after_s:
                continue
            if bench.fleet[name].lists_version() >= version:
                applied_after_s[name] = time.monotonic() - edited_at[0]

    checks = [(3.05 + 0.1 * n, check_versions) for n in range(50)]
    requests, _ = bench.send(plan, 14.0, ((3.0, edit), *checks))
    return {
        "in_force_everywhere_s": round(max(applied_after_s.values(), default=-1.0), 2),
        "daemons": len(applied_after_s),
        "whole": round(len(_completed(requests)) / len(requests), 3),
    }


SCENARIO_BY_NAME: dict[str, t.Callable[[Bench], Row]] = {
    "control_idle": control_idle,
    "steady": steady,
    "flood_batch": flood_batch,
    "flood_urgent": flood_urgent,
    "large_beside_small": large_beside_small,
    "one_entrance": one_entrance,
    "stage_lost": stage_lost,
    "daemon_lost": daemon_lost,
    "platform_away": platform_away,
    "edit_under_load": edit_under_load,
}


def run_scenarios(names: t.Sequence[str], seed: int) -> list[Row]:
    """Run scenarios on one fleet, one after another; return their rows."""
    for account in (*SMALL_ACCOUNTS, *LARGE_ACCOUNTS):
        fleets.SECRET_BY_ACCOUNT.setdefault(account, f"{account}-secret")
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(
            pathlib.Path(directory),
            data_centres=DATA_CENTRES,
            daemons_each=2,
            engines=_engine_settings(),
        )
        with fleet:
            bench = Bench(fleet, seed)
            for name in names:
                row = {"scenario": name, "seed": seed}
                row.update(SCENARIO_BY_NAME[name](bench))
                click.echo("  ".join(f"{key}={value}" for key, value in row.items()))
                rows.append(row)
    return rows


@click.command()
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice(sorted(SCENARIO_BY_NAME)),
    help="Run only these scenarios; by default all.",
)
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
def main(names: tuple[str, ...], seeds: tuple[int, ...]) -> None:
    """Print a row for each scenario and seed, and write the table."""
    rows = []
    for seed in seeds:
        rows += run_scenarios(names or tuple(SCENARIO_BY_NAME), seed)
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    path = OUTPUT_DIRECTORY / "live.json"
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    click.echo(f"table written to {path}")


if __name__ == "__main__":
    main()
