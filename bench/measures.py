"""The measures of one simulated run."""

import itertools
import statistics
import typing as t

from wagtailstair.core.engine import Priority
from wagtailstair.core.pool import PoolLimits

from .model import Model
from .model import Request
from .scenarios import END_S
from .scenarios import FAULT_AT_S
from .scenarios import WARM_UP_S

MINIMUM_SHARES = PoolLimits().minimum_shares
MEAN_DURATION_S = 3.0
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
    """Return each account's max-min fair share of a total."""
    share_by_account: dict[str, float] = {}
    remaining = total
    accounts = sorted(demand_by_account, key=lambda name: demand_by_account[name])
    for index, account in enumerate(accounts):
        share = min(demand_by_account[account], remaining / (len(accounts) - index))
        share_by_account[account] = share
        remaining -= share
    return share_by_account


def _first_token_delays(requests: list[Request], now: float) -> list[float]:
    # A request without a token so far counts with its wait until now.
    delays = []
    for request in requests:
        if request.failure and request.first_token_at is None:
            continue
        end = now if request.first_token_at is None else request.first_token_at
        delays.append(end - request.arrived_at)
    return delays


def _seconds_per_token(requests: list[Request], now: float) -> list[float]:
    delays = []
    for request in requests:
        if request.failure:
            continue
        end = now if request.ended_at is None else request.ended_at
        delays.append((end - request.arrived_at) / request.output_tokens)
    return delays


def _tokens_served(
    model: Model, start: float, end: float
) -> dict[tuple[str, int], float]:
    served: dict[tuple[str, int], float] = {}
    for at, request, tokens in model.tokens:
        if start <= at < end and request.failure != "cut":
            key = (request.account, request.priority)
            served[key] = served.get(key, 0.0) + tokens
    return served


def _is_due_in_window(request: Request) -> bool:
    """Return whether a request that starts on arrival ends in the window."""
    return WARM_UP_S <= request.arrived_at + MEAN_DURATION_S < END_S


def measure(model: Model, requests: list[Request], bound: float) -> Measures:
    """Return the measures of a run: times in seconds, shares as fractions.

    The measure ``<priority>_kept`` is the ratio of served to guaranteed tokens.
    """
    served = _tokens_served(model, WARM_UP_S, END_S)
    total = sum(served.values())
    measures: Measures = {"throughput": total / (END_S - WARM_UP_S) / bound}
    observed = [
        request for request in requests if WARM_UP_S <= request.arrived_at < END_S - 10
    ]
    due = [request for request in requests if _is_due_in_window(request)]
    for priority in Priority:
        of_priority = [request for request in observed if request.priority is priority]
        name = priority.name.lower()
        tokens = sum(work for key, work in served.items() if key[1] == priority)
        offered = sum(r.output_tokens for r in due if r.priority is priority)
        guaranteed = min(offered, MINIMUM_SHARES[priority] * total)
        measures[f"{name}_share"] = tokens / total if total else 0.0
        measures[f"{name}_kept"] = tokens / guaranteed if guaranteed else float("nan")
        if not of_priority:
            continue
        measures[f"{name}_p50"] = percentile(
            _first_token_delays(of_priority, model.now), 0.5
        )
        measures[f"{name}_p95"] = percentile(
            _first_token_delays(of_priority, model.now), 0.95
        )
        measures[f"{name}_per_token"] = statistics.fmean(
            _seconds_per_token(of_priority, model.now) or [0.0]
        )
        refused = [r for r in of_priority if r.failure not in ("", "host_lost", "cut")]
        measures[f"{name}_refused"] = len(refused) / len(of_priority)
        measures[f"{name}_cut"] = sum(r.failure == "cut" for r in of_priority) / len(
            of_priority
        )
    small = [request for request in observed if request.account.startswith("small")]
    measures["small_p95"] = percentile(_first_token_delays(small, model.now), 0.95)
    measures["small_per_token"] = statistics.fmean(
        _seconds_per_token(small, model.now) or [0.0]
    )
    measures["jain"] = _fairness(served, requests)
    gaps = [request.longest_gap_s for request in requests]
    measures["longest_gap"] = max(gaps, default=0.0)
    measures["after_fault"] = (
        _tokens_per_s(model, FAULT_AT_S + 3, FAULT_AT_S + 10) / bound
    )
    measures["outage"] = _longest_outage(requests)
    measures["messages_per_request"] = model.messages / max(1, len(requests))
    return measures


def _tokens_per_s(model: Model, start: float, end: float) -> float:
    return sum(_tokens_served(model, start, end).values()) / (end - start)


def _longest_outage(requests: list[Request]) -> float:
    """Return the longest time after the fault without a first token."""
    firsts = sorted(r.first_token_at for r in requests if r.first_token_at is not None)
    longest = 0.0
    for previous, following in itertools.pairwise(firsts):
        if following >= FAULT_AT_S:
            longest = max(longest, following - previous)
    return longest


def _fairness(served: dict[tuple[str, int], float], requests: list[Request]) -> float:
    demand: dict[str, float] = {}
    served_by_account: dict[str, float] = {}
    for request in requests:
        if request.priority is not Priority.STANDARD:
            continue
        if WARM_UP_S <= request.arrived_at < END_S:
            demand[request.account] = (
                demand.get(request.account, 0) + request.output_tokens
            )
    for (account, priority), work in served.items():
        if priority == Priority.STANDARD:
            served_by_account[account] = work
    shares = fair_shares(demand, sum(served_by_account.values()))
    return jain(
        [
            served_by_account.get(name, 0.0) / max(share, 1.0)
            for name, share in shares.items()
        ]
    )
