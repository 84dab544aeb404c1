"""What is measured in one run."""

import itertools
import statistics
import typing as t

from wagtailstair.core.engine import Priority
from wagtailstair.core.pool import PoolLimits

from .model import Model
from .model import Request
from .scenarios import END_S
from .scenarios import FAULT_S
from .scenarios import WARM_S

MINIMUM_SHARES = PoolLimits().minimum_shares
MEAN_LIFE_S = 3.0
Measures = dict[str, float]


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, infinite for no values."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def jain(values: t.Collection[float]) -> float:
    """Return Jain's index of fairness: 1 for equal values."""
    squares = sum(value * value for value in values)
    if not squares:
        return 0.0
    return sum(values) ** 2 / (len(values) * squares)


def fair_shares(demand_by_account: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair part of a total for each account."""
    share_by_account: dict[str, float] = {}
    left = total
    accounts = sorted(demand_by_account, key=lambda name: demand_by_account[name])
    for index, account in enumerate(accounts):
        share = min(demand_by_account[account], left / (len(accounts) - index))
        share_by_account[account] = share
        left -= share
    return share_by_account


def _first_token(requests: list[Request], now: float) -> list[float]:
    # A request still without a token counts with the time it has waited.
    delays = []
    for request in requests:
        if request.refused and request.first_token is None:
            continue
        until = now if request.first_token is None else request.first_token
        delays.append(until - request.arrived)
    return delays


def _whole(requests: list[Request], now: float) -> list[float]:
    delays = []
    for request in requests:
        if request.refused:
            continue
        until = now if request.ended is None else request.ended
        delays.append((until - request.arrived) / request.output)
    return delays


def _served(model: Model, start: float, end: float) -> dict[tuple[str, int], float]:
    served: dict[tuple[str, int], float] = {}
    for at, request, tokens in model.tokens:
        if start <= at < end and request.refused != "cut":
            key = (request.account, request.priority)
            served[key] = served.get(key, 0.0) + tokens
    return served


def _counts(request: Request) -> bool:
    """Tell whether a request that is served at once is served in the window."""
    return WARM_S <= request.arrived + MEAN_LIFE_S < END_S


def measure(model: Model, requests: list[Request], bound: float) -> Measures:
    """Return the figures of a run; times in seconds, shares as parts."""
    served = _served(model, WARM_S, END_S)
    total = sum(served.values())
    found: Measures = {"throughput": total / (END_S - WARM_S) / bound}
    seen = [request for request in requests if WARM_S <= request.arrived < END_S - 10]
    counted = [request for request in requests if _counts(request)]
    for priority in Priority:
        mine = [request for request in seen if request.priority is priority]
        name = priority.name.lower()
        part = sum(work for key, work in served.items() if key[1] == priority)
        offered = sum(r.output for r in counted if r.priority is priority)
        promised = min(offered, MINIMUM_SHARES[priority] * total)
        found[f"{name}_share"] = part / total if total else 0.0
        found[f"{name}_kept"] = part / promised if promised else float("nan")
        if not mine:
            continue
        found[f"{name}_p50"] = percentile(_first_token(mine, model.now), 0.5)
        found[f"{name}_p95"] = percentile(_first_token(mine, model.now), 0.95)
        found[f"{name}_per_token"] = statistics.fmean(_whole(mine, model.now) or [0.0])
        refused = [r for r in mine if r.refused not in ("", "host_lost", "cut")]
        found[f"{name}_refused"] = len(refused) / len(mine)
        found[f"{name}_cut"] = sum(r.refused == "cut" for r in mine) / len(mine)
    small = [request for request in seen if request.account.startswith("small")]
    found["small_p95"] = percentile(_first_token(small, model.now), 0.95)
    found["small_per_token"] = statistics.fmean(_whole(small, model.now) or [0.0])
    found["jain"] = _fairness(served, requests)
    gaps = [request.longest_gap for request in requests]
    found["longest_gap"] = max(gaps, default=0.0)
    found["after_fault"] = _rate(model, FAULT_S + 3, FAULT_S + 10) / bound
    found["outage"] = _outage(requests)
    found["messages_per_request"] = model.messages / max(1, len(requests))
    return found


def _rate(model: Model, start: float, end: float) -> float:
    return sum(_served(model, start, end).values()) / (end - start)


def _outage(requests: list[Request]) -> float:
    """Return the longest time after the fault in which no request began."""
    firsts = sorted(r.first_token for r in requests if r.first_token is not None)
    longest = 0.0
    for one, other in itertools.pairwise(firsts):
        if other >= FAULT_S:
            longest = max(longest, other - one)
    return longest


def _fairness(served: dict[tuple[str, int], float], requests: list[Request]) -> float:
    demand: dict[str, float] = {}
    got: dict[str, float] = {}
    for request in requests:
        if request.priority is not Priority.STANDARD:
            continue
        if WARM_S <= request.arrived < END_S:
            demand[request.account] = demand.get(request.account, 0) + request.output
    for (account, priority), work in served.items():
        if priority == Priority.STANDARD:
            got[account] = work
    shares = fair_shares(demand, sum(got.values()))
    return jain(
        [got.get(name, 0.0) / max(share, 1.0) for name, share in shares.items()]
    )
