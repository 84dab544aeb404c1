"""The scenarios: flows of requests, and faults with their times."""

import dataclasses
import math
import random
import typing as t

from wagtailstair.core.engine import Priority

from .fleet import HOSTS
from .fleet import EngineSpec
from .fleet import make_fleet
from .fleet import slot_bound
from .model import Model
from .model import Request
from .policies import Policy
from .policies import PoolPolicy

MEAN_OUTPUT_TOKENS = 120
MIN_OUTPUT_TOKENS = 8
MAX_OUTPUT_TOKENS = 480
MEDIAN_PROMPT_TOKENS = 300
PROMPT_SIGMA = 0.7
MAX_PROMPT_TOKENS = 2000
BOUND_SAMPLE_REQUESTS = 20_000
WARM_UP_S = 10.0
END_S = 45.0
FAULT_AT_S = 18.0
REJOIN_AT_S = 34.0
TIMEOUT_S_BY_PRIORITY = {
    Priority.URGENT: 15.0,
    Priority.STANDARD: 60.0,
    Priority.BATCH: 300.0,
}
SMALL_ACCOUNTS = tuple(f"small{number}" for number in range(7))
LARGE_ACCOUNTS = ("large0", "large1", "large2")
BACKGROUND_ACCOUNTS = tuple(f"other{number}" for number in range(60))


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """Requests of some accounts; ``load`` is a fraction of the fleet's bound."""

    priority: Priority
    accounts: tuple[str, ...]
    load: float
    hosts: tuple[str, ...] = HOSTS
    start: float = 0.0
    end: float = END_S


Fault = t.Callable[[Model, Policy], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Flows of requests, and faults by their times."""

    name: str
    flows: tuple[Flow, ...]
    faults: tuple[tuple[float, Fault], ...] = ()
    loss: float = 0.0
    report_lag_s: float = 0.2


URGENT, STANDARD, BATCH = Priority
ALL_ACCOUNTS = SMALL_ACCOUNTS + LARGE_ACCOUNTS
BASE_FLOWS = (Flow(URGENT, ALL_ACCOUNTS, 0.2), Flow(STANDARD, ALL_ACCOUNTS, 0.25))
MIXED_FLOWS = (
    Flow(URGENT, ALL_ACCOUNTS, 0.25),
    Flow(STANDARD, ALL_ACCOUNTS, 0.35),
    Flow(BATCH, ALL_ACCOUNTS, 0.6),
)
MODERATE_FLOWS = (
    Flow(URGENT, ALL_ACCOUNTS, 0.2),
    Flow(STANDARD, ALL_ACCOUNTS, 0.3),
    Flow(BATCH, ALL_ACCOUNTS, 0.2),
)
BUSY_FLOWS = (
    Flow(URGENT, ALL_ACCOUNTS, 0.2),
    Flow(STANDARD, ALL_ACCOUNTS, 0.3),
    Flow(BATCH, ALL_ACCOUNTS, 0.4),
)


def _kill_engine(name: str) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        model.kill(name)
        model.call_at(model.now + 1.0, policy.handle_engine_loss, name)

    return fault


def _revive_engine(name: str) -> Fault:
    return lambda model, policy: model.revive(name)


def _kill_host(host: str) -> Fault:
    return lambda model, policy: policy.kill_host(host)


def _revive_host(host: str) -> Fault:
    return lambda model, policy: model.dead_hosts.discard(host)


def _faults_in(
    data_centre: str, make_fault: t.Callable[[str], Fault], names: t.Iterable[str]
) -> list[Fault]:
    return [make_fault(name) for name in names if name[0] == data_centre]


def _in_data_centre(
    data_centre: str, host: t.Callable[[str], Fault], engine: t.Callable[[str], Fault]
) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        for each_fault in _faults_in(data_centre, host, HOSTS):
            each_fault(model, policy)
        for each_fault in _faults_in(data_centre, engine, list(model.engine_by_name)):
            each_fault(model, policy)

    return fault


def _slow_links(data_centre: str, factor: float) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        model.slow_links[data_centre] = factor

    return fault


def _stop_dispatcher(outage_s: float) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        if not isinstance(policy, PoolPolicy):
            return
        for node in list(policy.pool_by_node)[:1]:
            policy.stop_dispatcher(node, outage_s)

    return fault


def _with_large(hosts: tuple[str, ...], total_load: float) -> tuple[Flow, ...]:
    small = Flow(STANDARD, SMALL_ACCOUNTS, 0.14)
    return (small, Flow(STANDARD, LARGE_ACCOUNTS, total_load - 0.14, hosts))


def _without_large(total_load: float) -> tuple[Flow, ...]:
    return (
        Flow(STANDARD, SMALL_ACCOUNTS, 0.14),
        Flow(STANDARD, BACKGROUND_ACCOUNTS, total_load - 0.14),
    )


SCENARIOS = (
    Scenario("steady", MIXED_FLOWS),
    Scenario("moderate", MODERATE_FLOWS),
    Scenario("busy", BUSY_FLOWS),
    Scenario("unflooded", BASE_FLOWS),
    Scenario("flood_batch", (*BASE_FLOWS, Flow(BATCH, LARGE_ACCOUNTS[:1], 3.0))),
    Scenario(
        "flood_urgent",
        (
            Flow(URGENT, LARGE_ACCOUNTS[:1], 3.0),
            Flow(STANDARD, ALL_ACCOUNTS, 0.4),
            Flow(BATCH, ALL_ACCOUNTS, 0.3),
        ),
    ),
    Scenario(
        "flood_standard",
        (
            Flow(URGENT, ALL_ACCOUNTS, 0.2),
            Flow(STANDARD, LARGE_ACCOUNTS[:1], 3.0),
            Flow(BATCH, ALL_ACCOUNTS, 0.3),
        ),
    ),
    Scenario("alone_90", _without_large(0.9)),
    Scenario("large_all_90", _with_large(HOSTS, 0.9)),
    Scenario("large_one_90", _with_large(HOSTS[:1], 0.9)),
    Scenario("alone_200", _without_large(2.0)),
    Scenario("large_all_200", _with_large(HOSTS, 2.0)),
    Scenario("large_one_200", _with_large(HOSTS[:1], 2.0)),
    Scenario(
        "stage_lost",
        BUSY_FLOWS,
        ((FAULT_AT_S, _kill_engine("a-100")), (REJOIN_AT_S, _revive_engine("a-100"))),
    ),
    Scenario(
        "host_lost",
        BUSY_FLOWS,
        ((FAULT_AT_S, _kill_host("a2")), (REJOIN_AT_S, _revive_host("a2"))),
    ),
    Scenario(
        "data_centre_lost",
        MODERATE_FLOWS,
        (
            (FAULT_AT_S, _in_data_centre("c", _kill_host, _kill_engine)),
            (REJOIN_AT_S, _in_data_centre("c", _revive_host, _revive_engine)),
        ),
    ),
    Scenario(
        "link_slow",
        BUSY_FLOWS,
        ((FAULT_AT_S, _slow_links("c", 40.0)), (REJOIN_AT_S, _slow_links("c", 1.0))),
    ),
    Scenario("reports_lag_3s", BUSY_FLOWS, report_lag_s=3.0),
    Scenario("dispatcher_away_1s", BUSY_FLOWS, ((FAULT_AT_S, _stop_dispatcher(1.0)),)),
    Scenario("dispatcher_away_3s", BUSY_FLOWS, ((FAULT_AT_S, _stop_dispatcher(3.0)),)),
    Scenario("loss_1", BUSY_FLOWS, loss=0.01),
    Scenario("loss_5", BUSY_FLOWS, loss=0.05),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def _request(flow: Flow, number: int, at: float, rng: random.Random) -> Request:
    prompt_tokens = rng.lognormvariate(math.log(MEDIAN_PROMPT_TOKENS), PROMPT_SIGMA)
    output_tokens = rng.expovariate(1 / MEAN_OUTPUT_TOKENS)
    return Request(
        name=f"{flow.priority.name[0]}{flow.accounts[0]}-{number}",
        host=rng.choice(flow.hosts),
        account=rng.choice(flow.accounts),
        priority=flow.priority,
        prompt_tokens=int(min(max(prompt_tokens, 1), MAX_PROMPT_TOKENS)),
        output_tokens=int(
            min(max(output_tokens, MIN_OUTPUT_TOKENS), MAX_OUTPUT_TOKENS)
        ),
        expected_output_tokens=MEAN_OUTPUT_TOKENS,
        arrived_at=at,
        deadline=at + TIMEOUT_S_BY_PRIORITY[flow.priority],
    )


def make_requests(scenario: Scenario, bound: float, seed: int) -> list[Request]:
    """Return the requests of a scenario in order of arrival."""
    requests = []
    for index, flow in enumerate(scenario.flows):
        rng = random.Random(f"{seed}/{index}/{flow.priority}")
        requests_per_s = flow.load * bound / MEAN_OUTPUT_TOKENS
        at = flow.start + rng.expovariate(requests_per_s)
        number = 0
        while at < flow.end:
            requests.append(_request(flow, number, at, rng))
            number += 1
            at += rng.expovariate(requests_per_s)
    return sorted(requests, key=lambda request: request.arrived_at)


def fleet_bound(specs: list[EngineSpec]) -> float:
    """Return the fleet's highest rate for the mean request, in output tokens/s."""
    rng = random.Random(0)
    sample = [
        _request(BASE_FLOWS[0], 0, 0.0, rng) for _ in range(BOUND_SAMPLE_REQUESTS)
    ]
    prompt_tokens = (
        sum(request.prompt_tokens for request in sample) / BOUND_SAMPLE_REQUESTS
    )
    output_tokens = (
        sum(request.output_tokens for request in sample) / BOUND_SAMPLE_REQUESTS
    )
    return slot_bound(specs, prompt_tokens, output_tokens)


def run_scenario(
    scenario: Scenario,
    make_policy: t.Callable[[Model, list[EngineSpec]], Policy],
    seed: int,
) -> tuple[Model, list[Request], float]:
    """Run a scenario under a policy; return the model, its requests and the bound."""
    specs = make_fleet()
    bound = fleet_bound(specs)
    model = Model(specs, seed)
    model.loss = scenario.loss
    model.report_lag_s = scenario.report_lag_s
    policy = make_policy(model, specs)
    requests = make_requests(scenario, bound, seed)
    for request in requests:
        model.call_at(request.arrived_at, _arrive, model, policy, request)
    for when, fault in scenario.faults:
        model.call_at(when, fault, model, policy)
    model.send_reports()
    model.run(END_S)
    return model, requests, bound


def _arrive(model: Model, policy: Policy, request: Request) -> None:
    # The load balancer in front of the hosts sends nothing to a dead one.
    alive = [host for host in HOSTS if host not in model.dead_hosts]
    if request.host not in alive:
        request.host = model.rng.choice(alive)
    policy.arrive(request)
