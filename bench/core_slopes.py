"""Measure the cost of the core by size: ``python -m bench.core_slopes``.

Times are processor time of this process, memory is what Python allocates. Each
row is the median of a few repetitions.
"""

import dataclasses
import gc
import statistics
import time
import tracemalloc
import typing as t

from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import GrantOutcome
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.pool import Pool
from wagtailstair.core.pool import PoolLimits
from wagtailstair.core.quota import Quota
from wagtailstair.core.quota import QuotaLimits

from .fleet import KINDS
from .fleet import LAYERS
from .fleet import EngineSpec
from .fleet import idle_state

ACCOUNT_COUNTS = (10, 100, 1_000, 10_000, 39_000)
ENGINE_COUNTS = (40, 230, 1_000)
BASE_ACCOUNTS = 1_000
BASE_ENGINES = 230
CYCLES_PER_RUN = 4_000
REPETITIONS = 3
LIMITS = QuotaLimits(work_per_s=1e6, burst_s=10.0, max_concurrent=100)


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """The cost of an operation or object at a size."""

    title: str
    size: int
    value: float
    unit: str


def _engine_states(count: int) -> list[EngineState]:
    states = []
    for number in range(count):
        kind = KINDS[number % len(KINDS)]
        part = (number // len(KINDS)) % kind.parts
        first = LAYERS * part // kind.parts
        last = LAYERS * (part + 1) // kind.parts
        spec = EngineSpec(f"e{number}", "a", kind, first, last)
        states.append(idle_state(spec))
    return states


def _route_request(number: int, accounts: int) -> RouteRequest:
    return RouteRequest(
        request=f"host/1/{number}",
        epoch=0,
        host="host/1",
        account=f"account{number % accounts}",
        priority=Priority(number % 3),
        weight=1.0,
        work=160.0,
        prompt_tokens=320,
        max_tokens=480,
        deadline=1e9,
    )


def _run_cycle(pool: Pool, number: int, accounts: int, running: list[str]) -> None:
    now = number / 1_000
    pool.submit(_route_request(number, accounts), now)
    if running:
        pool.end_grant(GrantOutcome(running.pop(0), 0, "host/1", 320, 120), now)
    for decision in pool.poll(now):
        if isinstance(decision, Grant):
            running.append(decision.request)


def _full_pool(engines: int, accounts: int) -> tuple[Pool, list[str]]:
    """Return a pool with full engines and waiting requests of every account.

    Also returns the names of the granted requests.
    """
    limits = PoolLimits(queue_length=10 * accounts + 10_000)
    pool = Pool("draft", "a", limits)
    for state in _engine_states(engines):
        pool.observe(state, 0.0)
    running: list[str] = []
    for number in range(engines * 16 + accounts):
        pool.submit(_route_request(number, accounts), 0.0)
    for decision in pool.poll(0.0):
        if isinstance(decision, Grant):
            running.append(decision.request)
    return pool, running


def _cycle_us(engines: int, accounts: int) -> float:
    pool, running = _full_pool(engines, accounts)
    start = engines * 16 + accounts
    gc.collect()
    started_at = time.process_time()
    for number in range(start, start + CYCLES_PER_RUN):
        _run_cycle(pool, number, accounts, running)
    return (time.process_time() - started_at) / CYCLES_PER_RUN * 1e6


def _observe_us(engines: int) -> float:
    pool = Pool("draft", "a")
    states = _engine_states(engines)
    for state in states:
        pool.observe(state, 0.0)
    reports = []
    for number in range(CYCLES_PER_RUN):
        state = states[number % engines]
        reports.append(dataclasses.replace(state, as_of=1.0 + number, running=4))
    started_at = time.process_time()
    for report in reports:
        pool.observe(report, report.as_of)
        pool.poll(report.as_of)
    return (time.process_time() - started_at) / CYCLES_PER_RUN * 1e6


def _allocated_bytes(make: t.Callable[[], t.Any]) -> float:
    gc.collect()
    tracemalloc.start()
    held_object = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held_object
    return float(size)


def _waiting_bytes(accounts: int) -> float:
    def make() -> Pool:
        pool = Pool("draft", "a", PoolLimits(queue_length=10 * accounts))
        for number in range(accounts):
            pool.submit(_route_request(number, accounts), 0.0)
        return pool

    return _allocated_bytes(make)


def _engine_bytes(engines: int) -> float:
    def make() -> Pool:
        pool = Pool("draft", "a")
        for state in _engine_states(engines):
            pool.observe(state, 0.0)
        return pool

    return _allocated_bytes(make)


def _charge(quota: Quota, accounts: int, number: int) -> None:
    account = f"account{number % accounts}"
    request = f"host/1/{number}"
    now = number / 10_000
    quota.charge(account, request, "host", 160.0, LIMITS, now)
    quota.settle(account, request, 150.0, now)


def _quota_us(accounts: int) -> float:
    quota = Quota()
    for number in range(accounts):
        _charge(quota, accounts, number)
    started_at = time.process_time()
    for number in range(accounts, accounts + CYCLES_PER_RUN):
        _charge(quota, accounts, number)
    return (time.process_time() - started_at) / CYCLES_PER_RUN * 1e6


def _quota_bytes(accounts: int) -> float:
    def make() -> Quota:
        quota = Quota()
        for number in range(accounts):
            account = f"account{number}"
            quota.charge(account, f"host/1/{number}", "host", 1.0, LIMITS, 0.0)
        return quota

    return _allocated_bytes(make)


def _measure_rows(
    title: str, unit: str, sizes: tuple[int, ...], measure: t.Callable[[int], float]
) -> list[Row]:
    rows = []
    for size in sizes:
        values = [measure(size) for _ in range(REPETITIONS)]
        rows.append(Row(title, size, statistics.median(values), unit))
    return rows


def slope(rows: list[Row]) -> float:
    """Return the least-squares slope of the values over the sizes."""
    sizes = [float(row.size) for row in rows]
    values = [row.value for row in rows]
    return statistics.linear_regression(sizes, values).slope


MEASURE_BY_TITLE: dict[str, tuple[str, tuple[int, ...], t.Callable[[int], float]]] = {
    "pool: submit, grant and end, by accounts (230 engines)": (
        "us",
        ACCOUNT_COUNTS,
        lambda size: _cycle_us(BASE_ENGINES, size),
    ),
    "pool: submit, grant and end, by engines (1,000 accounts)": (
        "us",
        ENGINE_COUNTS,
        lambda size: _cycle_us(size, BASE_ACCOUNTS),
    ),
    "pool: a load report, by engines": ("us", ENGINE_COUNTS, _observe_us),
    "pool: memory, by accounts with one waiting request": (
        "bytes",
        ACCOUNT_COUNTS,
        _waiting_bytes,
    ),
    "pool: memory, by engines": ("bytes", ENGINE_COUNTS, _engine_bytes),
    "quota: charge and settle, by accounts": ("us", ACCOUNT_COUNTS, _quota_us),
    "quota: memory, by accounts with one open request": (
        "bytes",
        ACCOUNT_COUNTS,
        _quota_bytes,
    ),
}


def main() -> None:
    """Print each cost by size, and its slope."""
    for title, (unit, sizes, measure) in MEASURE_BY_TITLE.items():
        rows = _measure_rows(title, unit, sizes, measure)
        print(title)
        for row in rows:
            print(f"    {row.size:>7,}  {row.value:>14,.1f} {row.unit}")
        print(f"    slope    {slope(rows):.4g} {unit} for each", flush=True)


if __name__ == "__main__":
    main()
