"""Policies that spread requests over engines: the dispatcher and alternatives."""

import collections
import dataclasses
import itertools
import random
import typing as t

from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Route
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import GrantOutcome
from wagtailstair.core.grants import HeldGrant
from wagtailstair.core.grants import Refusal
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.loads import EngineGroup
from wagtailstair.core.loads import EngineLoad
from wagtailstair.core.loads import LoadTable
from wagtailstair.core.loads import Need
from wagtailstair.core.loads import StageCost
from wagtailstair.core.loads import expected_delay
from wagtailstair.core.loads import prompt_work
from wagtailstair.core.pool import Pool
from wagtailstair.core.pool import PoolLimits
from wagtailstair.core.routing import shortest_route
from wagtailstair.core.wait_estimates import WaitEstimates

from .fleet import DATA_CENTRES
from .fleet import HOSTS
from .fleet import LAYERS
from .fleet import MODEL
from .fleet import EngineSpec
from .fleet import idle_state
from .model import RESEND_S
from .model import Model
from .model import Request
from .model import Stream

BREAK_DETECTION_S = 0.02
"""Time until an entry host notices a broken connection."""
EXCHANGE_INTERVAL_S = 0.5
ORDER_ONLY_SCALE_S = 1e-6
"""Scale of costs that only order engines and are not delays.

So small that the pool never expects a deadline to be missed because of them.
"""
EXCLUDED_ENGINE_COST_S = 2.0
HOST_DEAD_AFTER_S = 2.5


def route_request_of(request: Request) -> RouteRequest:
    """Return the route request that the entry host submits for a request."""
    prompt_tokens = request.prompt_tokens + int(request.delivered)
    remaining = max(1.0, request.expected_output_tokens - request.delivered)
    return RouteRequest(
        request=request.name,
        epoch=request.epoch,
        host=request.host,
        account=request.account,
        priority=request.priority,
        weight=request.weight,
        work=prompt_work(prompt_tokens) + remaining,
        prompt_tokens=prompt_tokens,
        max_tokens=int(4 * request.expected_output_tokens),
        deadline=request.deadline,
        entitled=request.entitled,
        avoid=request.avoid,
    )


class Policy:
    """Base of the policies: starts, retries and aborts streams."""

    def __init__(self, model: Model, specs: list[EngineSpec]) -> None:
        self.model = model
        self.specs = specs
        self.stream_by_request: dict[str, Stream] = {}
        model.on_stream_end = self._finish_request
        model.on_stream_broken = self._handle_break
        model.on_report = self.handle_report

    def arrive(self, request: Request) -> None:
        """Accept a request at its entry host."""
        raise NotImplementedError

    def handle_stream_end(self, request: Request, stream: Stream) -> None:
        """Update the policy's state when a stream of a request is over."""

    def handle_report(self, state: EngineState) -> None:
        """Apply an engine's report."""

    def handle_engine_loss(self, name: str) -> None:
        """Handle the removal of an engine from the host list."""

    def handle_host_loss(self, host: str) -> None:
        """Handle the death of an entry host."""

    def start_stream(self, request: Request, names: t.Iterable[str]) -> None:
        """Send a request along a route and abort it at its deadline."""
        source = request.host[0]
        stream = self.model.start_stream(request, names, source)
        self.stream_by_request[request.name] = stream
        self.model.call_at(request.deadline, self._abort_at_deadline, request, stream)

    def _abort_at_deadline(self, request: Request, stream: Stream) -> None:
        # Tokens of an aborted request do not count as throughput.
        if request.is_over or stream.is_over:
            return
        request.failure = "cut"
        del self.stream_by_request[request.name]
        self.model.cancel(stream)
        self.handle_stream_end(request, stream)

    def refuse(self, request: Request, reason: str) -> None:
        """Refuse a request, unless it is over."""
        if not request.is_over:
            request.failure = reason

    def _finish_request(self, request: Request, stream: Stream) -> None:
        self.stream_by_request.pop(request.name, None)
        self.handle_stream_end(request, stream)

    def _handle_break(self, request: Request, stream: Stream, engine: str) -> None:
        self.stream_by_request.pop(request.name, None)
        self.handle_stream_end(request, stream)
        request.epoch += 1
        request.avoid = request.avoid | {engine}
        self.model.call_at(self.model.now + BREAK_DETECTION_S, self._retry, request)

    def _retry(self, request: Request) -> None:
        if request.host in self.model.dead_hosts or request.is_over:
            return
        if request.output_tokens - request.delivered < 1:
            request.ended_at = self.model.now
            return
        self.arrive(request)

    def kill_host(self, host: str) -> None:
        """Stop an entry host and abort its running requests."""
        self.model.dead_hosts.add(host)
        for name, stream in list(self.stream_by_request.items()):
            if stream.request.host != host:
                continue
            stream.request.failure = "host_lost"
            del self.stream_by_request[name]
            self.model.cancel(stream)
        self.model.call_at(
            self.model.now + HOST_DEAD_AFTER_S, self.handle_host_loss, host
        )


class _HostView:
    """An entry host's estimate of the engines' loads."""

    def __init__(self, specs: list[EngineSpec]) -> None:
        self.table = LoadTable((0.0, 0.0, 0.0))
        for spec in specs:
            self.table.add(idle_state(spec), ())
        self.load_by_name = self.table.by_name
        self.sent_at_by_engine: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self.turn_by_stage: dict[tuple[str, int], int] = collections.defaultdict(int)

    def observe(self, state: EngineState) -> None:
        load = self.load_by_name[state.name]
        load.is_leaving = False
        sent = self.sent_at_by_engine[state.name]
        while sent and sent[0] < state.as_of:
            sent.popleft()
        load.other_requests = state.running + state.waiting + len(sent) - load.granted
        load.update_report(state)

    def record_start(self, name: str, need: Need, now: float) -> None:
        self.sent_at_by_engine[name].append(now)
        self.load_by_name[name].start(need, now)

    def record_end(self, name: str, need: Need) -> None:
        load = self.load_by_name[name]
        load.other_requests += 1
        load.end(need)


Chooser = t.Callable[[_HostView, Request, list[EngineLoad], Model], EngineLoad]


def _round_robin(
    view: _HostView, request: Request, loads: list[EngineLoad], model: Model
) -> EngineLoad:
    state = loads[0].state
    key = (state.data_centre if state.first else "", state.first)
    view.turn_by_stage[key] += 1
    return loads[view.turn_by_stage[key] % len(loads)]


def _least_outstanding(
    view: _HostView, request: Request, loads: list[EngineLoad], model: Model
) -> EngineLoad:
    return min(loads, key=lambda load: load.granted)


def _two_choices(
    view: _HostView, request: Request, loads: list[EngineLoad], model: Model
) -> EngineLoad:
    pair = [model.rng.choice(loads), model.rng.choice(loads)]
    return min(pair, key=lambda load: load.used / load.state.slots)


class DirectPolicy(Policy):
    """Each entry host chooses a route on arrival; requests queue at the engines."""

    def __init__(
        self, model: Model, specs: list[EngineSpec], choose: Chooser | None
    ) -> None:
        super().__init__(model, specs)
        self._choose = choose
        self.view_by_host = {host: _HostView(specs) for host in HOSTS}

    def handle_report(self, state: EngineState) -> None:
        """Apply an engine's report."""
        for view in self.view_by_host.values():
            view.observe(state)

    def handle_engine_loss(self, name: str) -> None:
        """Exclude an engine from the candidates of all hosts."""
        for view in self.view_by_host.values():
            view.load_by_name[name].is_leaving = True

    def may_use(self, load: EngineLoad, route_request: RouteRequest) -> bool:
        """Return whether an engine is a candidate."""
        return not load.is_leaving and load.state.name not in route_request.avoid

    def route(self, request: Request) -> list[str] | None:
        """Choose a route by the estimates of the request's entry host."""
        view = self.view_by_host[request.host]
        route_request = route_request_of(request)
        if self._choose is None:
            return self._least_delay(view, route_request)
        names: list[str] = []
        first, data_centre = 0, ""
        while first < LAYERS:
            loads = []
            for load in view.load_by_name.values():
                state = load.state
                if state.first != first or not self.may_use(load, route_request):
                    continue
                if data_centre and state.data_centre != data_centre:
                    continue
                loads.append(load)
            if not loads:
                return None
            chosen = self._choose(view, request, loads, self.model).state
            names.append(chosen.name)
            first, data_centre = chosen.last, chosen.data_centre
        return names

    def _least_delay(
        self, view: _HostView, route_request: RouteRequest
    ) -> list[str] | None:
        need = Need.of(route_request)

        def pick(group: EngineGroup) -> tuple[float, EngineLoad] | None:
            costs = []
            for load in group.loads:
                if self.may_use(load, route_request):
                    cost = remaining_work_delay(load, need, self.model.now)
                    costs.append((cost, load.state.name, load))
            return None if not costs else min(costs)[::2]

        found = shortest_route(view.table.groups, need.tokens, pick)
        return None if found is None else [stage.engine for stage in found[0]]

    def arrive(self, request: Request) -> None:
        """Choose a route and send the request."""
        names = self.route(request)
        if names is None:
            self.refuse(request, "no_route")
            return
        view = self.view_by_host[request.host]
        need = Need.of(route_request_of(request))
        for name in names:
            view.record_start(name, need, self.model.now)
        self.start_stream(request, names)

    def handle_stream_end(self, request: Request, stream: Stream) -> None:
        """Record the end of a stream."""
        view = self.view_by_host[request.host]
        need = Need.of(route_request_of(request))
        for engine in stream.route:
            view.record_end(engine.spec.name, need)


def remaining_work_delay(load: EngineLoad, need: Need, now: float) -> float:
    """Estimate a stage's delay by its remaining work over its speed.

    Each request that waits at a full engine occupies a slot for as long as the
    new one.
    """
    own_s = expected_delay(load, need, now)
    queued = max(0, load.used + 1 - load.state.slots)
    return own_s * (1 + queued / max(1, load.state.slots))


class FifoPolicy(DirectPolicy):
    """A first-come queue on each entry host, drained when engines have free slots."""

    def __init__(self, model: Model, specs: list[EngineSpec]) -> None:
        super().__init__(model, specs, _least_outstanding)
        self._queue_by_host: dict[str, collections.deque[Request]] = {
            host: collections.deque() for host in HOSTS
        }

    def may_use(self, load: EngineLoad, route_request: RouteRequest) -> bool:
        """Return whether an engine is a candidate with a free slot."""
        return super().may_use(load, route_request) and load.used < load.state.slots

    def arrive(self, request: Request) -> None:
        """Queue a request and drain the queue."""
        queue = self._queue_by_host[request.host]
        if len(queue) >= 4096:
            self.refuse(request, "queue_full")
            return
        queue.append(request)
        self._drain(request.host)

    def _drain(self, host: str) -> None:
        queue = self._queue_by_host[host]
        while queue:
            if self.model.now >= queue[0].deadline:
                self.refuse(queue.popleft(), "deadline")
                continue
            if self.route(queue[0]) is None:
                return
            super().arrive(queue.popleft())

    def handle_report(self, state: EngineState) -> None:
        """Apply an engine's report."""
        super().handle_report(state)
        hosts = list(HOSTS)
        self.model.rng.shuffle(hosts)
        for host in hosts:
            self._drain(host)

    def handle_stream_end(self, request: Request, stream: Stream) -> None:
        """Record the end of a stream."""
        super().handle_stream_end(request, stream)
        self._drain(request.host)


@dataclasses.dataclass(slots=True)
class PoolOptions:
    """Options of the policies with pools.

    ``nodes``: where pools run: on ``one`` node, on one node in each
    ``data_centre``, or on each entry ``host``; ``spill``: a host submits to the
    least loaded pool, read without delay; ``learn``: a host submits to the pool
    with the shortest estimated wait; ``resend_s``: time after which a lost
    message is sent again; ``exchange``: hosts send each other the usage of their
    accounts; ``shares``: each host has a share of each engine's slots.
    """

    nodes: str = "one"
    spill: bool = False
    learn: bool = False
    resend_s: float = RESEND_S
    exchange: bool = False
    shares: bool = False
    limits: PoolLimits = dataclasses.field(default_factory=PoolLimits)
    cost: StageCost = expected_delay


class PoolPolicy(Policy):
    """Fair queues at one dispatcher, in each data centre or on each entry host."""

    def __init__(
        self, model: Model, specs: list[EngineSpec], options: PoolOptions
    ) -> None:
        super().__init__(model, specs)
        self._options = options
        nodes = {"one": ("a1",), "data_centre": DATA_CENTRES, "host": HOSTS}
        self.pool_by_node: dict[str, Pool | None] = {}
        for node in nodes[options.nodes]:
            self.pool_by_node[node] = Pool(MODEL, node, options.limits, options.cost)
        self.request_by_name: dict[str, Request] = {}
        self._pending_by_request: dict[str, tuple[str, RouteRequest]] = {}
        self._running_by_request: dict[str, tuple[str, RouteRequest, Route]] = {}
        self._timer_by_node: dict[str, float] = {}
        self._undelivered_by_node: dict[str, list[tuple[t.Any, ...]]] = (
            collections.defaultdict(list)
        )
        self._running_by_host_engine: dict[tuple[str, str], int] = (
            collections.defaultdict(int)
        )
        self._ended_at_by_host_engine: dict[tuple[str, str], collections.deque[float]]
        self._ended_at_by_host_engine = collections.defaultdict(collections.deque)
        self._usage_by_request: dict[tuple[str, RouteRequest], float] = {}
        self._sends_due = False
        self._waits_by_host = {host: WaitEstimates() for host in HOSTS}
        model.resend_s = options.resend_s
        self._demand_by_host: dict[str, float] = collections.defaultdict(float)
        if options.exchange or options.shares:
            model.call_at(EXCHANGE_INTERVAL_S, self._exchange_usage)
        for spec in specs:
            self.handle_report(idle_state(spec))

    # Between hosts and dispatchers.

    def _node_of(self, request: Request) -> str:
        if self._options.nodes == "host":
            return request.host
        if self._options.nodes == "one":
            return next(iter(self.pool_by_node))
        own_centre = request.host[0]
        if self._options.learn:
            waits, now = self._waits_by_host[request.host], self.model.now
            order = waits.order(
                own_centre, DATA_CENTRES, request.priority, now, self.model.rng
            )
            return order[0]
        if not self._options.spill:
            return own_centre
        return min(
            self.pool_by_node, key=lambda node: self._spill_cost(node, own_centre)
        )

    def _spill_cost(self, node: str, own_centre: str) -> float:
        pool = self.pool_by_node[node]
        if pool is None:
            return float("inf")
        stats = pool.stats()
        waiting = sum(stats.waiting)
        return (waiting + 0.02 * stats.open_grants) + (
            0.0 if node == own_centre else 2.0
        )

    def _send_to_pool(self, node: str, source: str, call: str, *args: t.Any) -> None:
        """Call a method of a node's pool by name, after the delay of the link."""
        if self._options.nodes == "host":
            self._call_pool(node, call, args)
            return
        self.model.send(source, node[0], self._call_pool, node, call, args)

    def _call_pool(self, node: str, call: str, args: tuple[t.Any, ...]) -> None:
        pool = self.pool_by_node.get(node)
        if pool is None:
            self._undelivered_by_node[node].append((call, args))
            return
        getattr(pool, call)(*args, self.model.now)
        self.send_decisions(node)

    def send_decisions(self, node: str) -> None:
        """Send a dispatcher's decisions to the entry hosts and set its timer."""
        pool = self.pool_by_node.get(node)
        if pool is None:
            return
        now = self.model.now
        for decision in pool.poll(now):
            if self._options.nodes == "host":
                self._receive_decision(node, decision)
                continue
            self.model.send(
                node[0], decision.host[0], self._receive_decision, node, decision
            )
        wake_at = pool.next_wake(now)
        if wake_at is None:
            return
        scheduled_at = self._timer_by_node.get(node, 0.0)
        if now < scheduled_at <= wake_at:
            return
        self._timer_by_node[node] = max(wake_at, now + 0.001)
        self.model.call_at(self._timer_by_node[node], self.send_decisions, node)

    def _receive_decision(self, node: str, decision: Grant | Refusal) -> None:
        request = self.request_by_name[decision.request]
        pending = self._pending_by_request.get(request.name)
        if pending is None or pending[1].epoch != decision.epoch:
            return
        del self._pending_by_request[request.name]
        waits = self._waits_by_host[request.host]
        if isinstance(decision, Refusal):
            waits.record_refusal(request.name, self.model.now)
            self.refuse(request, decision.reason.value)
            return
        waits.record_grant(request.name, self.model.now)
        if request.host in self.model.dead_hosts or request.is_over:
            return
        self._running_by_request[request.name] = (node, pending[1], decision.route)
        names = [stage.engine for stage in decision.route]
        for name in names:
            self._running_by_host_engine[request.host, name] += 1
        self.start_stream(request, names)

    def arrive(self, request: Request) -> None:
        """Submit a request to its pool."""
        self.request_by_name[request.name] = request
        route_request = route_request_of(request)
        node = self._node_of(request)
        waits = self._waits_by_host[request.host]
        waits.record_submission(request.name, node, request.priority, self.model.now)
        self._pending_by_request[request.name] = (node, route_request)
        self._demand_by_host[request.host] += route_request.work
        self._send_to_pool(node, request.host[0], "submit", route_request)

    def handle_stream_end(self, request: Request, stream: Stream) -> None:
        """Record the end of a stream."""
        running = self._running_by_request.pop(request.name, None)
        if running is None:
            return
        node, route_request, route = running
        failed = frozenset(
            engine.spec.name for engine in stream.route if not engine.is_alive
        )
        for stage in route:
            self._running_by_host_engine[request.host, stage.engine] -= 1
            self._ended_at_by_host_engine[request.host, stage.engine].append(
                self.model.now
            )
        output_tokens = int(request.delivered) - (
            route_request.prompt_tokens - request.prompt_tokens
        )
        outcome = GrantOutcome(
            request.name,
            route_request.epoch,
            request.host,
            route_request.prompt_tokens,
            output_tokens,
            failed,
        )
        if self._options.exchange:
            key = (request.host, route_request)
            self._usage_by_request[key] = (
                prompt_work(route_request.prompt_tokens) + output_tokens
            )
        self._send_to_pool(node, request.host[0], "end_grant", outcome)

    # Engines.

    def handle_report(self, state: EngineState) -> None:
        """Apply an engine's report."""
        for node, pool in self.pool_by_node.items():
            if pool is None:
                continue
            if self._options.nodes == "data_centre" and state.data_centre != node:
                continue
            report = state
            if self._options.nodes == "host":
                report = self._report_for_host(node, state)
            pool.observe(report, self.model.now)
        if not self._sends_due:
            # All reports of an instant are applied before the pools are polled.
            self._sends_due = True
            self.model.call_at(self.model.now, self._send_all_decisions)

    def _send_all_decisions(self) -> None:
        self._sends_due = False
        for node in self.pool_by_node:
            self.send_decisions(node)

    def _report_for_host(self, host: str, state: EngineState) -> EngineState:
        running = self._running_by_host_engine[host, state.name]
        if self._options.shares:
            slots = self._slots_of_host(host, state)
            return dataclasses.replace(state, slots=slots, running=running, waiting=0)
        ended_at = self._ended_at_by_host_engine[host, state.name]
        while ended_at and ended_at[0] < state.as_of:
            ended_at.popleft()
        other_requests = max(0, state.running + state.waiting - running - len(ended_at))
        slots = max(0, state.slots - other_requests)
        return dataclasses.replace(state, slots=slots, running=running, waiting=0)

    def _slots_of_host(self, host: str, state: EngineState) -> int:
        alive = [name for name in HOSTS if name not in self.model.dead_hosts]
        total = sum(self._demand_by_host[name] for name in alive)
        if host not in alive:
            return 0
        # The shares of all hosts add up to the engine's slots. The offset
        # differs by engine, so that rounding does not favour the same hosts
        # on each.
        offset = name_fraction(state.name)
        before = 0.0
        for name in alive:
            part = self._demand_by_host[name] / total if total else 1 / len(alive)
            after = before + part * state.slots
            if name == host:
                return int(after + offset) - int(before + offset)
            before = after
        return 0

    def _exchange_usage(self) -> None:
        # The usage arrives half an interval late, on average.
        for (host, route_request), work in self._usage_by_request.items():
            for node, pool in self.pool_by_node.items():
                if node != host and pool is not None:
                    self.model.messages += 1
                    pool._queue.settle(
                        dataclasses.replace(route_request, work=0.0), work
                    )
        self._usage_by_request.clear()
        for host in self._demand_by_host:
            self._demand_by_host[host] *= 0.7
        self.model.call_at(self.model.now + EXCHANGE_INTERVAL_S, self._exchange_usage)

    def handle_engine_loss(self, name: str) -> None:
        """Remove an engine from all pools."""
        for node, pool in self.pool_by_node.items():
            if pool is not None:
                pool.remove(name)
                self.send_decisions(node)

    # Faults.

    def handle_host_loss(self, host: str) -> None:
        """Drop the requests of a dead entry host, also in the pools."""
        for name, (_, route_request) in list(self._pending_by_request.items()):
            if route_request.host == host:
                self.refuse(self.request_by_name[name], "host_lost")
                del self._pending_by_request[name]
        for name, (_, route_request, _) in list(self._running_by_request.items()):
            if route_request.host == host:
                del self._running_by_request[name]
        for node, pool in self.pool_by_node.items():
            if pool is not None:
                pool.cancel_host(host, self.model.now)
                self.send_decisions(node)

    def stop_dispatcher(self, node: str, outage_s: float) -> None:
        """Stop a dispatcher; an empty successor starts after the outage."""
        self.pool_by_node[node] = None
        self.model.call_at(self.model.now + outage_s, self._start_successor, node)

    def _start_successor(self, node: str) -> None:
        options = self._options
        self.pool_by_node[node] = Pool(MODEL, node, options.limits, options.cost)
        for engine in self.model.engine_by_name.values():
            if engine.is_alive:
                self.pool_by_node[node].observe(
                    self.model.report_of(engine), self.model.now
                )
        for owner, route_request, route in list(self._running_by_request.values()):
            if owner == node:
                hold = HeldGrant(route_request, route, 0)
                self._send_to_pool(node, route_request.host[0], "adopt_grant", hold)
        undelivered = self._undelivered_by_node.pop(node, [])
        for call, args in undelivered:
            # Pending requests are submitted again below.
            if call == "end_grant":
                self._call_pool(node, call, args)
        for owner, route_request in list(self._pending_by_request.values()):
            if owner == node:
                self._send_to_pool(node, route_request.host[0], "submit", route_request)


def name_fraction(name: str) -> float:
    """Return a fraction in [0, 1) that depends only on the name."""
    return sum(ord(letter) * 37 for letter in name) % 101 / 101


def least_used(load: EngineLoad, need: Need, now: float) -> float:
    """Return a stage's cost by its share of slots in use."""
    return (load.used + 1) / max(1, load.state.slots) * ORDER_ONLY_SCALE_S


def fewest_open(load: EngineLoad, need: Need, now: float) -> float:
    """Return a stage's cost by its number of open requests."""
    return (load.used + 1) * ORDER_ONLY_SCALE_S


def reported_speed(load: EngineLoad, need: Need, now: float) -> float:
    """Return a stage's cost by its reported speed, ignoring later grants."""
    return need.tokens * load.state.step_s + need.prompt_tokens * load.read_s


def without_backlog(load: EngineLoad, need: Need, now: float) -> float:
    """Return a stage's cost as the pool does, ignoring its queued prompts."""
    return need.tokens * load.next_step_s + need.prompt_tokens * load.read_s


def _random_cost() -> StageCost:
    rng = random.Random(1)
    return lambda load, need, now: rng.random() * ORDER_ONLY_SCALE_S


def _two_choice_cost() -> StageCost:
    # Approximates the better of two random free engines of a group: each of
    # them is a candidate with probability 2 / (free engines of the group).
    rng = random.Random(1)

    def cost(load: EngineLoad, need: Need, now: float) -> float:
        free = len(load.group.free) if load.group is not None else 1
        penalty_s = 0.0 if rng.random() * free < 2 else EXCLUDED_ENGINE_COST_S
        return penalty_s + expected_delay(load, need, now)

    return cost


def _in_turn_cost() -> StageCost:
    last_by_engine: dict[str, float] = {}
    turns = itertools.count()

    def cost(load: EngineLoad, need: Need, now: float) -> float:
        # The engine with the least recent change of its grants is next.
        name = load.state.name
        if load.granted != last_by_engine.get(f"{name}/granted"):
            last_by_engine[f"{name}/granted"] = load.granted
            last_by_engine[name] = float(next(turns))
        return last_by_engine[name] * ORDER_ONLY_SCALE_S

    return cost


PolicyFactory = t.Callable[[Model, list[EngineSpec]], Policy]


def pool_policy(**options: t.Any) -> PolicyFactory:
    """Return a factory of a policy with pools."""
    return lambda model, specs: PoolPolicy(model, specs, PoolOptions(**options))


def direct_policy(choose: Chooser | None) -> PolicyFactory:
    """Return a factory of a policy that chooses a route on arrival."""
    return lambda model, specs: DirectPolicy(model, specs, choose)


POLICY_BY_NAME: dict[str, PolicyFactory] = {
    "round_robin": direct_policy(_round_robin),
    "least_outstanding": direct_policy(_least_outstanding),
    "two_choices": direct_policy(_two_choices),
    "remaining_work": direct_policy(None),
    "fifo_per_host": FifoPolicy,
    "local_fair": pool_policy(nodes="host"),
    "local_fair_exchange": pool_policy(nodes="host", exchange=True),
    "slot_shares": pool_policy(nodes="host", shares=True),
    "dispatcher_dc": pool_policy(nodes="data_centre"),
    "dispatcher_dc_spill": pool_policy(nodes="data_centre", spill=True),
    "dispatcher_dc_learn": pool_policy(nodes="data_centre", learn=True),
    "dispatcher": pool_policy(nodes="one"),
}
# Costs by which the dispatcher chooses an engine, to compare with the policy
# ``dispatcher``.
COST_BY_NAME: dict[str, t.Callable[[], StageCost]] = {
    "route_without_backlog": lambda: without_backlog,
    "route_reported_speed": lambda: reported_speed,
    "route_least_used": lambda: least_used,
    "route_least_outstanding": lambda: fewest_open,
    "route_two_choices": _two_choice_cost,
    "route_in_turn": _in_turn_cost,
    "route_random": _random_cost,
}


def _with_cost(make_cost: t.Callable[[], StageCost]) -> PolicyFactory:
    return lambda model, specs: PoolPolicy(model, specs, PoolOptions(cost=make_cost()))


for _name, _make_cost in COST_BY_NAME.items():
    POLICY_BY_NAME[_name] = _with_cost(_make_cost)
