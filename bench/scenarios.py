"""The scenarios: who sends what, and what fails when."""

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

MEAN_OUTPUT = 120
SHORTEST_OUTPUT = 8
LONGEST_OUTPUT = 480
MEDIAN_PROMPT = 300
PROMPT_SIGMA = 0.7
LONGEST_PROMPT = 2000
SAMPLE = 20_000
WARM_S = 10.0
END_S = 45.0
FAULT_S = 18.0
REJOIN_S = 34.0
TIMEOUT_S = {Priority.URGENT: 15.0, Priority.STANDARD: 60.0, Priority.BATCH: 300.0}
SMALL = tuple(f"small{number}" for number in range(7))
LARGE = ("large0", "large1", "large2")
MANY = tuple(f"other{number}" for number in range(60))


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """Requests of some accounts: ``load`` is a part of the fleet's bound."""

    priority: Priority
    accounts: tuple[str, ...]
    load: float
    hosts: tuple[str, ...] = HOSTS
    start: float = 0.0
    end: float = END_S


Fault = t.Callable[[Model, Policy], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Flows and faults."""

    name: str
    flows: tuple[Flow, ...]
    faults: tuple[tuple[float, Fault], ...] = ()
    loss: float = 0.0
    report_lag_s: float = 0.2


URGENT, STANDARD, BATCH = Priority
ALL = SMALL + LARGE
BASE = (Flow(URGENT, ALL, 0.2), Flow(STANDARD, ALL, 0.25))
MIXED = (Flow(URGENT, ALL, 0.25), Flow(STANDARD, ALL, 0.35), Flow(BATCH, ALL, 0.6))
MODERATE = (Flow(URGENT, ALL, 0.2), Flow(STANDARD, ALL, 0.3), Flow(BATCH, ALL, 0.2))
BUSY = (Flow(URGENT, ALL, 0.2), Flow(STANDARD, ALL, 0.3), Flow(BATCH, ALL, 0.4))


def _kill_engine(name: str) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        model.kill(name)
        model.at(model.now + 1.0, policy.engine_lost, name)

    return fault


def _revive_engine(name: str) -> Fault:
    return lambda model, policy: model.revive(name)


def _kill_host(host: str) -> Fault:
    return lambda model, policy: policy.kill_host(host)


def _revive_host(host: str) -> Fault:
    return lambda model, policy: model.dead_hosts.discard(host)


def _each(
    data_centre: str, make: t.Callable[[str], Fault], names: t.Iterable[str]
) -> list[Fault]:
    return [make(name) for name in names if name[0] == data_centre]


def _data_centre(
    data_centre: str, host: t.Callable[[str], Fault], engine: t.Callable[[str], Fault]
) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        for act in _each(data_centre, host, HOSTS):
            act(model, policy)
        for act in _each(data_centre, engine, list(model.engine_by_name)):
            act(model, policy)

    return fault


def _slow_links(data_centre: str, factor: float) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        model.slow_links[data_centre] = factor

    return fault


def _dispatcher_away(away_s: float) -> Fault:
    def fault(model: Model, policy: Policy) -> None:
        if not isinstance(policy, PoolPolicy):
            return
        for node in list(policy.pool_by_node)[:1]:
            policy.kill_dispatcher(node, away_s)

    return fault


def _large(hosts: tuple[str, ...], total: float) -> tuple[Flow, ...]:
    small = Flow(STANDARD, SMALL, 0.14)
    return (small, Flow(STANDARD, LARGE, total - 0.14, hosts))


def _alone(total: float) -> tuple[Flow, ...]:
    return (Flow(STANDARD, SMALL, 0.14), Flow(STANDARD, MANY, total - 0.14))


SCENARIOS = (
    Scenario("steady", MIXED),
    Scenario("moderate", MODERATE),
    Scenario("busy", BUSY),
    Scenario("unflooded", BASE),
    Scenario("flood_batch", (*BASE, Flow(BATCH, LARGE[:1], 3.0))),
    Scenario(
        "flood_urgent",
        (Flow(URGENT, LARGE[:1], 3.0), Flow(STANDARD, ALL, 0.4), Flow(BATCH, ALL, 0.3)),
    ),
    Scenario(
        "flood_standard",
        (Flow(URGENT, ALL, 0.2), Flow(STANDARD, LARGE[:1], 3.0), Flow(BATCH, ALL, 0.3)),
    ),
    Scenario("alone_90", _alone(0.9)),
    Scenario("large_all_90", _large(HOSTS, 0.9)),
    Scenario("large_one_90", _large(HOSTS[:1], 0.9)),
    Scenario("alone_200", _alone(2.0)),
    Scenario("large_all_200", _large(HOSTS, 2.0)),
    Scenario("large_one_200", _large(HOSTS[:1], 2.0)),
    Scenario(
        "stage_lost",
        BUSY,
        ((FAULT_S, _kill_engine("a-100")), (REJOIN_S, _revive_engine("a-100"))),
    ),
    Scenario(
        "host_lost",
        BUSY,
        ((FAULT_S, _kill_host("a2")), (REJOIN_S, _revive_host("a2"))),
    ),
    Scenario(
        "data_centre_lost",
        MODERATE,
        (
            (FAULT_S, _data_centre("c", _kill_host, _kill_engine)),
            (REJOIN_S, _data_centre("c", _revive_host, _revive_engine)),
        ),
    ),
    Scenario(
        "link_slow",
        BUSY,
        ((FAULT_S, _slow_links("c", 40.0)), (REJOIN_S, _slow_links("c", 1.0))),
    ),
    Scenario("reports_lag_3s", BUSY, report_lag_s=3.0),
    Scenario("dispatcher_away_1s", BUSY, ((FAULT_S, _dispatcher_away(1.0)),)),
    Scenario("dispatcher_away_3s", BUSY, ((FAULT_S, _dispatcher_away(3.0)),)),
    Scenario("loss_1", BUSY, loss=0.01),
    Scenario("loss_5", BUSY, loss=0.05),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def _request(flow: Flow, number: int, at: float, rng: random.Random) -> Request:
    prompt = rng.lognormvariate(math.log(MEDIAN_PROMPT), PROMPT_SIGMA)
    output = rng.expovariate(1 / MEAN_OUTPUT)
    return Request(
        name=f"{flow.priority.name[0]}{flow.accounts[0]}-{number}",
        host=rng.choice(flow.hosts),
        account=rng.choice(flow.accounts),
        priority=flow.priority,
        prompt=int(min(max(prompt, 1), LONGEST_PROMPT)),
        output=int(min(max(output, SHORTEST_OUTPUT), LONGEST_OUTPUT)),
        expected=MEAN_OUTPUT,
        arrived=at,
        deadline=at + TIMEOUT_S[flow.priority],
    )


def make_requests(scenario: Scenario, bound: float, seed: int) -> list[Request]:
    """Return the requests of a scenario in order of arrival."""
    requests = []
    for index, flow in enumerate(scenario.flows):
        rng = random.Random(f"{seed}/{index}/{flow.priority}")
        rate = flow.load * bound / MEAN_OUTPUT
        at = flow.start + rng.expovariate(rate)
        number = 0
        while at < flow.end:
            requests.append(_request(flow, number, at, rng))
            number += 1
            at += rng.expovariate(rate)
    return sorted(requests, key=lambda request: request.arrived)


def bound_of(specs: list[EngineSpec]) -> float:
    """Return the fleet's bound for the mean request, in output tokens/s."""
    rng = random.Random(0)
    sample = [_request(BASE[0], 0, 0.0, rng) for _ in range(SAMPLE)]
    prompt = sum(request.prompt for request in sample) / SAMPLE
    output = sum(request.output for request in sample) / SAMPLE
    return slot_bound(specs, prompt, output)


def play(
    scenario: Scenario, make: t.Callable[[Model, list[EngineSpec]], Policy], seed: int
) -> tuple[Model, list[Request], float]:
    """Run a scenario under a policy; return what happened and the bound."""
    specs = make_fleet()
    bound = bound_of(specs)
    model = Model(specs, seed)
    model.loss = scenario.loss
    model.report_lag_s = scenario.report_lag_s
    policy = make(model, specs)
    requests = make_requests(scenario, bound, seed)
    for request in requests:
        model.at(request.arrived, _enter, model, policy, request)
    for when, fault in scenario.faults:
        model.at(when, fault, model, policy)
    model.report()
    model.run(END_S)
    return model, requests, bound


def _enter(model: Model, policy: Policy, request: Request) -> None:
    # The balancer sends nothing to a dead host.
    alive = [host for host in HOSTS if host not in model.dead_hosts]
    if request.host not in alive:
        request.host = model.rng.choice(alive)
    policy.arrive(request)
