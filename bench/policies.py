"""Ways to spread requests over engines: the dispatcher and the alternatives."""

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

DETECT_S = 0.02
"""Until an entry host sees that a connection broke."""
EXCHANGE_S = 0.5
ORDER_ONLY_S = 1e-6
"""Scale of a cost that is no time, so that no deadline is missed by it."""
LEFT_OUT_S = 2.0
HOST_DEAD_AFTER_S = 2.5


def want_of(request: Request) -> RouteRequest:
    """Return what an entry host asks for."""
    prompt = request.prompt + int(request.done)
    left = max(1.0, request.expected - request.done)
    return RouteRequest(
        request=request.name,
        epoch=request.epoch,
        host=request.host,
        account=request.account,
        priority=request.priority,
        weight=request.weight,
        work=prompt_work(prompt) + left,
        prompt_tokens=prompt,
        max_tokens=int(4 * request.expected),
        deadline=request.deadline,
        entitled=request.entitled,
        avoid=request.avoid,
    )


class Policy:
    """What all ways have in common: launching, retrying, losing hosts."""

    def __init__(self, model: Model, specs: list[EngineSpec]) -> None:
        self.model = model
        self.specs = specs
        self.stream_by_request: dict[str, Stream] = {}
        model.on_end = self._on_end
        model.on_break = self._on_break
        model.on_report = self.on_report

    def arrive(self, request: Request) -> None:
        """Take in a request at its entry host."""
        raise NotImplementedError

    def ended(self, request: Request, stream: Stream) -> None:
        """Learn that a stream of a request is over."""

    def on_report(self, state: EngineState) -> None:
        """Take in an engine's report."""

    def engine_lost(self, name: str) -> None:
        """Learn that an engine is gone from the host list."""

    def host_lost(self, host: str) -> None:
        """Learn that an entry host is dead."""

    def launch(self, request: Request, names: t.Iterable[str]) -> None:
        """Send a request along a route."""
        source = request.host[0]
        stream = self.model.start(request, names, source)
        self.stream_by_request[request.name] = stream
        self.model.at(request.deadline, self._cut, request, stream)

    def _cut(self, request: Request, stream: Stream) -> None:
        # The caller's deadline passed; what has run was for nothing.
        if request.is_over or stream.is_over:
            return
        request.refused = "cut"
        del self.stream_by_request[request.name]
        self.model.cancel(stream)
        self.ended(request, stream)

    def refuse(self, request: Request, reason: str) -> None:
        """Tell the caller that the request was not run."""
        if not request.is_over:
            request.refused = reason

    def _on_end(self, request: Request, stream: Stream) -> None:
        self.stream_by_request.pop(request.name, None)
        self.ended(request, stream)

    def _on_break(self, request: Request, stream: Stream, engine: str) -> None:
        self.stream_by_request.pop(request.name, None)
        self.ended(request, stream)
        request.epoch += 1
        request.avoid = request.avoid | {engine}
        self.model.at(self.model.now + DETECT_S, self._again, request)

    def _again(self, request: Request) -> None:
        if request.host in self.model.dead_hosts or request.is_over:
            return
        if request.output - request.done < 1:
            request.ended = self.model.now
            return
        self.arrive(request)

    def kill_host(self, host: str) -> None:
        """End an entry host with its open requests."""
        self.model.dead_hosts.add(host)
        for name, stream in list(self.stream_by_request.items()):
            if stream.request.host != host:
                continue
            stream.request.refused = "host_lost"
            del self.stream_by_request[name]
            self.model.cancel(stream)
        self.model.at(self.model.now + HOST_DEAD_AFTER_S, self.host_lost, host)


class _Seen:
    """What one entry host believes of the engines."""

    def __init__(self, specs: list[EngineSpec]) -> None:
        self.table = LoadTable((0.0, 0.0, 0.0))
        for spec in specs:
            self.table.add(idle_state(spec), ())
        self.load_by_name = self.table.by_name
        self.sent: dict[str, collections.deque[float]] = collections.defaultdict(
            collections.deque
        )
        self.turn: dict[tuple[str, int], int] = collections.defaultdict(int)

    def observe(self, state: EngineState) -> None:
        load = self.load_by_name[state.name]
        load.is_leaving = False
        sent = self.sent[state.name]
        while sent and sent[0] < state.as_of:
            sent.popleft()
        load.other_requests = state.running + state.waiting + len(sent) - load.granted
        load.update_report(state)

    def note_sent(self, name: str, need: Need, now: float) -> None:
        self.sent[name].append(now)
        self.load_by_name[name].start(need, now)

    def note_ended(self, name: str, need: Need) -> None:
        load = self.load_by_name[name]
        load.other_requests += 1
        load.end(need)


Chooser = t.Callable[[_Seen, Request, list[EngineLoad], Model], EngineLoad]


def _round_robin(
    seen: _Seen, request: Request, loads: list[EngineLoad], model: Model
) -> EngineLoad:
    state = loads[0].state
    key = (state.data_centre if state.first else "", state.first)
    seen.turn[key] += 1
    return loads[seen.turn[key] % len(loads)]


def _least_outstanding(
    seen: _Seen, request: Request, loads: list[EngineLoad], model: Model
) -> EngineLoad:
    return min(loads, key=lambda load: load.granted)


def _two_choices(
    seen: _Seen, request: Request, loads: list[EngineLoad], model: Model
) -> EngineLoad:
    pair = [model.rng.choice(loads), model.rng.choice(loads)]
    return min(pair, key=lambda load: load.used / load.state.slots)


class DirectPolicy(Policy):
    """Each entry host chooses at once; requests queue at the engines."""

    def __init__(
        self, model: Model, specs: list[EngineSpec], choose: Chooser | None
    ) -> None:
        super().__init__(model, specs)
        self._choose = choose
        self.seen_by_host = {host: _Seen(specs) for host in HOSTS}

    def on_report(self, state: EngineState) -> None:
        """Take in an engine's report."""
        for seen in self.seen_by_host.values():
            seen.observe(state)

    def engine_lost(self, name: str) -> None:
        """Forget an engine."""
        for seen in self.seen_by_host.values():
            seen.load_by_name[name].is_leaving = True

    def may_use(self, load: EngineLoad, want: RouteRequest) -> bool:
        """Tell whether an engine is a candidate."""
        return not load.is_leaving and load.state.name not in want.avoid

    def route(self, request: Request) -> list[str] | None:
        """Choose a route as the entry host of a request sees it."""
        seen = self.seen_by_host[request.host]
        want = want_of(request)
        if self._choose is None:
            return self._least_delay(seen, want)
        names: list[str] = []
        first, data_centre = 0, ""
        while first < LAYERS:
            loads = []
            for load in seen.load_by_name.values():
                state = load.state
                if state.first != first or not self.may_use(load, want):
                    continue
                if data_centre and state.data_centre != data_centre:
                    continue
                loads.append(load)
            if not loads:
                return None
            chosen = self._choose(seen, request, loads, self.model).state
            names.append(chosen.name)
            first, data_centre = chosen.last, chosen.data_centre
        return names

    def _least_delay(self, seen: _Seen, want: RouteRequest) -> list[str] | None:
        need = Need.of(want)

        def pick(group: EngineGroup) -> tuple[float, EngineLoad] | None:
            costs = []
            for load in group.loads:
                if self.may_use(load, want):
                    cost = remaining_work_delay(load, need, self.model.now)
                    costs.append((cost, load.state.name, load))
            return None if not costs else min(costs)[::2]

        found = shortest_route(seen.table.groups, need.tokens, pick)
        return None if found is None else [stage.engine for stage in found[0]]

    def arrive(self, request: Request) -> None:
        """Choose a route and send the request."""
        names = self.route(request)
        if names is None:
            self.refuse(request, "no_route")
            return
        seen = self.seen_by_host[request.host]
        need = Need.of(want_of(request))
        for name in names:
            seen.note_sent(name, need, self.model.now)
        self.launch(request, names)

    def ended(self, request: Request, stream: Stream) -> None:
        """Count the end of a stream."""
        seen = self.seen_by_host[request.host]
        need = Need.of(want_of(request))
        for engine in stream.route:
            seen.note_ended(engine.spec.name, need)


def remaining_work_delay(load: EngineLoad, need: Need, now: float) -> float:
    """Estimate a stage's delay by the work that is left on it over its speed.

    The requests that wait at a full engine each take one slot's time.
    """
    own_s = expected_delay(load, need, now)
    queued = max(0, load.used + 1 - load.state.slots)
    return own_s * (1 + queued / max(1, load.state.slots))


class FifoPolicy(DirectPolicy):
    """One first-come queue an entry host, sent on when engines have room."""

    def __init__(self, model: Model, specs: list[EngineSpec]) -> None:
        super().__init__(model, specs, _least_outstanding)
        self._queue_by_host: dict[str, collections.deque[Request]] = {
            host: collections.deque() for host in HOSTS
        }

    def may_use(self, load: EngineLoad, want: RouteRequest) -> bool:
        """Tell whether an engine is a candidate with room."""
        return super().may_use(load, want) and load.used < load.state.slots

    def arrive(self, request: Request) -> None:
        """Take in a request."""
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

    def on_report(self, state: EngineState) -> None:
        """Take in an engine's report."""
        super().on_report(state)
        hosts = list(HOSTS)
        self.model.rng.shuffle(hosts)
        for host in hosts:
            self._drain(host)

    def ended(self, request: Request, stream: Stream) -> None:
        """Count the end of a stream."""
        super().ended(request, stream)
        self._drain(request.host)


@dataclasses.dataclass(slots=True)
class PoolOptions:
    """How pools are laid out.

    ``nodes``: ``one`` dispatcher, one a ``data_centre``, or one an entry
    ``host``; ``spill``: a host asks the least loaded pool, as if it knew them;
    ``learn``: it asks the pool where it has waited least; ``resend_s``: time
    after which a lost message is sent again;
    ``exchange``: hosts tell each other their accounts' usage; ``shares``:
    each host has a share of each engine's slots.
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
    """Fair queues at one dispatcher, one a data centre or one an entry host."""

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
        self._wants: dict[str, tuple[str, RouteRequest]] = {}
        self._running: dict[str, tuple[str, RouteRequest, Route]] = {}
        self._timer_by_node: dict[str, float] = {}
        self._held: dict[str, list[tuple[t.Any, ...]]] = collections.defaultdict(list)
        self._own: dict[tuple[str, str], int] = collections.defaultdict(int)
        self._ended_at: dict[tuple[str, str], collections.deque[float]]
        self._ended_at = collections.defaultdict(collections.deque)
        self._usage: dict[tuple[str, RouteRequest], float] = {}
        self._pump_due = False
        self._waits_by_host = {host: WaitEstimates() for host in HOSTS}
        model.resend_s = options.resend_s
        self._demand_by_host: dict[str, float] = collections.defaultdict(float)
        if options.exchange or options.shares:
            model.at(EXCHANGE_S, self._exchange)
        for spec in specs:
            self.on_report(idle_state(spec))

    # Between hosts and dispatchers.

    def _node_of(self, request: Request) -> str:
        if self._options.nodes == "host":
            return request.host
        if self._options.nodes == "one":
            return next(iter(self.pool_by_node))
        home = request.host[0]
        if self._options.learn:
            waits, now = self._waits_by_host[request.host], self.model.now
            order = waits.order(
                home, DATA_CENTRES, request.priority, now, self.model.rng
            )
            return order[0]
        if not self._options.spill:
            return home
        return min(self.pool_by_node, key=lambda node: self._spill_cost(node, home))

    def _spill_cost(self, node: str, home: str) -> float:
        pool = self.pool_by_node[node]
        if pool is None:
            return float("inf")
        stats = pool.stats()
        waiting = sum(stats.waiting)
        return (waiting + 0.02 * stats.open_grants) + (0.0 if node == home else 2.0)

    def _tell(self, node: str, source: str, call: str, *args: t.Any) -> None:
        if self._options.nodes == "host":
            self._deliver(node, call, args)
            return
        self.model.send(source, node[0], self._deliver, node, call, args)

    def _deliver(self, node: str, call: str, args: tuple[t.Any, ...]) -> None:
        pool = self.pool_by_node.get(node)
        if pool is None:
            self._held[node].append((call, args))
            return
        getattr(pool, call)(*args, self.model.now)
        self.pump(node)

    def pump(self, node: str) -> None:
        """Send what a dispatcher decided, and set its timer."""
        pool = self.pool_by_node.get(node)
        if pool is None:
            return
        now = self.model.now
        for decision in pool.poll(now):
            if self._options.nodes == "host":
                self._decided(node, decision)
                continue
            self.model.send(node[0], decision.host[0], self._decided, node, decision)
        wake = pool.next_wake(now)
        if wake is None:
            return
        known = self._timer_by_node.get(node, 0.0)
        if now < known <= wake:
            return
        self._timer_by_node[node] = max(wake, now + 0.001)
        self.model.at(self._timer_by_node[node], self.pump, node)

    def _decided(self, node: str, decision: Grant | Refusal) -> None:
        request = self.request_by_name[decision.request]
        pending = self._wants.get(request.name)
        if pending is None or pending[1].epoch != decision.epoch:
            return
        del self._wants[request.name]
        waits = self._waits_by_host[request.host]
        if isinstance(decision, Refusal):
            waits.record_refusal(request.name, self.model.now)
            self.refuse(request, decision.reason.value)
            return
        waits.record_grant(request.name, self.model.now)
        if request.host in self.model.dead_hosts or request.is_over:
            return
        self._running[request.name] = (node, pending[1], decision.route)
        names = [stage.engine for stage in decision.route]
        for name in names:
            self._own[request.host, name] += 1
        self.launch(request, names)

    def arrive(self, request: Request) -> None:
        """Take in a request."""
        self.request_by_name[request.name] = request
        want = want_of(request)
        node = self._node_of(request)
        waits = self._waits_by_host[request.host]
        waits.record_submission(request.name, node, request.priority, self.model.now)
        self._wants[request.name] = (node, want)
        self._demand_by_host[request.host] += want.work
        self._tell(node, request.host[0], "submit", want)

    def ended(self, request: Request, stream: Stream) -> None:
        """Count the end of a stream."""
        running = self._running.pop(request.name, None)
        if running is None:
            return
        node, want, route = running
        failed = frozenset(
            engine.spec.name for engine in stream.route if not engine.is_alive
        )
        for stage in route:
            self._own[request.host, stage.engine] -= 1
            self._ended_at[request.host, stage.engine].append(self.model.now)
        output = int(request.done) - (want.prompt_tokens - request.prompt)
        done = GrantOutcome(
            request.name, want.epoch, request.host, want.prompt_tokens, output, failed
        )
        if self._options.exchange:
            key = (request.host, want)
            self._usage[key] = prompt_work(want.prompt_tokens) + output
        self._tell(node, request.host[0], "end_grant", done)

    # Engines.

    def on_report(self, state: EngineState) -> None:
        """Take in an engine's report."""
        for node, pool in self.pool_by_node.items():
            if pool is None:
                continue
            if self._options.nodes == "data_centre" and state.data_centre != node:
                continue
            seen = state
            if self._options.nodes == "host":
                seen = self._seen_by(node, state)
            pool.observe(seen, self.model.now)
        if not self._pump_due:
            # The reports of one instant are all taken before the next poll.
            self._pump_due = True
            self.model.at(self.model.now, self._pump_all)

    def _pump_all(self) -> None:
        self._pump_due = False
        for node in self.pool_by_node:
            self.pump(node)

    def _seen_by(self, host: str, state: EngineState) -> EngineState:
        own = self._own[host, state.name]
        if self._options.shares:
            slots = self._share_of(host, state)
            return dataclasses.replace(state, slots=slots, running=own, waiting=0)
        ended = self._ended_at[host, state.name]
        while ended and ended[0] < state.as_of:
            ended.popleft()
        other_requests = max(0, state.running + state.waiting - own - len(ended))
        slots = max(0, state.slots - other_requests)
        return dataclasses.replace(state, slots=slots, running=own, waiting=0)

    def _share_of(self, host: str, state: EngineState) -> int:
        alive = [name for name in HOSTS if name not in self.model.dead_hosts]
        total = sum(self._demand_by_host[name] for name in alive)
        if host not in alive:
            return 0
        # The cut points of all hosts add up to the engine's slots; the offset
        # by engine spreads what rounding favours.
        offset = hash_of(state.name)
        before = 0.0
        for name in alive:
            part = self._demand_by_host[name] / total if total else 1 / len(alive)
            after = before + part * state.slots
            if name == host:
                return int(after + offset) - int(before + offset)
            before = after
        return 0

    def _exchange(self) -> None:
        # The usage arrives half an interval late, on average.
        for (host, want), work in self._usage.items():
            for node, pool in self.pool_by_node.items():
                if node != host and pool is not None:
                    self.model.messages += 1
                    pool._queue.settle(dataclasses.replace(want, work=0.0), work)
        self._usage.clear()
        for host in self._demand_by_host:
            self._demand_by_host[host] *= 0.7
        self.model.at(self.model.now + EXCHANGE_S, self._exchange)

    def engine_lost(self, name: str) -> None:
        """Forget an engine."""
        for node, pool in self.pool_by_node.items():
            if pool is not None:
                pool.remove(name)
                self.pump(node)

    # Faults.

    def host_lost(self, host: str) -> None:
        """Forget a dead entry host."""
        for name, (_, want) in list(self._wants.items()):
            if want.host == host:
                self.refuse(self.request_by_name[name], "host_lost")
                del self._wants[name]
        for name, (_, want, _) in list(self._running.items()):
            if want.host == host:
                del self._running[name]
        for node, pool in self.pool_by_node.items():
            if pool is not None:
                pool.host_lost(host, self.model.now)
                self.pump(node)

    def kill_dispatcher(self, node: str, away_s: float) -> None:
        """End a dispatcher; its successor begins after a while, empty."""
        self.pool_by_node[node] = None
        self.model.at(self.model.now + away_s, self._take_over, node)

    def _take_over(self, node: str) -> None:
        options = self._options
        self.pool_by_node[node] = Pool(MODEL, node, options.limits, options.cost)
        for engine in self.model.engine_by_name.values():
            if engine.is_alive:
                self.pool_by_node[node].observe(
                    self.model.state(engine), self.model.now
                )
        for owner, want, route in list(self._running.values()):
            if owner == node:
                hold = HeldGrant(want, route, 0)
                self._tell(node, want.host[0], "adopt_grant", hold)
        held = self._held.pop(node, [])
        for call, args in held:
            if call == "end_grant":
                self._deliver(node, call, args)
        for owner, want in list(self._wants.values()):
            if owner == node:
                self._tell(node, want.host[0], "submit", want)


def hash_of(name: str) -> float:
    """Return a fraction in [0, 1) that is a function of a name."""
    return sum(ord(letter) * 37 for letter in name) % 101 / 101


def least_used(load: EngineLoad, need: Need, now: float) -> float:
    """Cost a stage by its share of slots in use."""
    return (load.used + 1) / max(1, load.state.slots) * ORDER_ONLY_S


def fewest_granted(load: EngineLoad, need: Need, now: float) -> float:
    """Cost a stage by its open requests."""
    return (load.used + 1) * ORDER_ONLY_S


def own_step(load: EngineLoad, need: Need, now: float) -> float:
    """Cost a stage by its reported speed, without what was granted since."""
    return need.tokens * load.state.step_s + need.prompt_tokens * load.read_s


def without_backlog(load: EngineLoad, need: Need, now: float) -> float:
    """Cost a stage as the pool does, but for the prompts that wait there."""
    return need.tokens * load.next_step_s + need.prompt_tokens * load.read_s


def _random_cost() -> StageCost:
    rng = random.Random(1)
    return lambda load, need, now: rng.random() * ORDER_ONLY_S


def _two_choice_cost() -> StageCost:
    # Of a random pair of the free engines of a lane, about, the better one:
    # each engine takes part with two in the number of its lane.
    rng = random.Random(1)

    def cost(load: EngineLoad, need: Need, now: float) -> float:
        free = len(load.group.free) if load.group is not None else 1
        left_out = 0.0 if rng.random() * free < 2 else LEFT_OUT_S
        return left_out + expected_delay(load, need, now)

    return cost


def _in_turn_cost() -> StageCost:
    last_by_engine: dict[str, float] = {}
    turns = itertools.count()

    def cost(load: EngineLoad, need: Need, now: float) -> float:
        # The engine whose use began least recently is next.
        name = load.state.name
        if load.granted != last_by_engine.get(f"{name}/granted"):
            last_by_engine[f"{name}/granted"] = load.granted
            last_by_engine[name] = float(next(turns))
        return last_by_engine[name] * ORDER_ONLY_S

    return cost


PolicyMaker = t.Callable[[Model, list[EngineSpec]], Policy]


def pools(**options: t.Any) -> PolicyMaker:
    """Return a maker of a policy with pools."""
    return lambda model, specs: PoolPolicy(model, specs, PoolOptions(**options))


def direct(choose: Chooser | None) -> PolicyMaker:
    """Return a maker of a policy that chooses at once."""
    return lambda model, specs: DirectPolicy(model, specs, choose)


POLICY_BY_NAME: dict[str, PolicyMaker] = {
    "round_robin": direct(_round_robin),
    "least_outstanding": direct(_least_outstanding),
    "two_choices": direct(_two_choices),
    "remaining_work": direct(None),
    "fifo_per_host": FifoPolicy,
    "local_fair": pools(nodes="host"),
    "local_fair_exchange": pools(nodes="host", exchange=True),
    "slot_shares": pools(nodes="host", shares=True),
    "dispatcher_dc": pools(nodes="data_centre"),
    "dispatcher_dc_spill": pools(nodes="data_centre", spill=True),
    "dispatcher_dc_learn": pools(nodes="data_centre", learn=True),
    "dispatcher": pools(nodes="one"),
}
# Ways for the dispatcher to choose an engine; ``dispatcher`` is to compare.
COST_BY_NAME: dict[str, t.Callable[[], StageCost]] = {
    "route_without_backlog": lambda: without_backlog,
    "route_reported_speed": lambda: own_step,
    "route_least_used": lambda: least_used,
    "route_least_outstanding": lambda: fewest_granted,
    "route_two_choices": _two_choice_cost,
    "route_in_turn": _in_turn_cost,
    "route_random": _random_cost,
}


def _with_cost(make_cost: t.Callable[[], StageCost]) -> PolicyMaker:
    return lambda model, specs: PoolPolicy(model, specs, PoolOptions(cost=make_cost()))


for _name, _make_cost in COST_BY_NAME.items():
    POLICY_BY_NAME[_name] = _with_cost(_make_cost)
