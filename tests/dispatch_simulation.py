"""Simulation of hosts with dispatchers over an unreliable network.

The network loses, delays, duplicates and reorders datagrams.
"""

import heapq
import random

from wagtailstair.clock import ManualClock
from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import GrantOutcome
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.membership import Heartbeat
from wagtailstair.core.membership import Host
from wagtailstair.core.membership import HostState
from wagtailstair.core.membership import Membership
from wagtailstair.core.pool import Pool
from wagtailstair.core.quota import QuotaLimits
from wagtailstair.dispatch import Dispatcher
from wagtailstair.peers.codec import Datagram
from wagtailstair.peers.codec import decode
from wagtailstair.peers.codec import encode

STEP_S = 0.05
REPORT_STEPS = 10  # engines are polled twice a second
MODELS = ("draft", "quote")
ENGINES = 6
# Time for a result after a request's deadline, a charge's start or a freeze's end.
GRACE_S = 1.5
LIMITS = QuotaLimits(work_per_s=1e6, burst_s=10.0, max_concurrent=100_000)


class SimTransport:
    """The transport of one host in the simulation."""

    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.pending = {}

    def send(self, address, incarnation, message):
        self.pending.setdefault((address, incarnation), []).append(message)

    def flush(self):
        pending, self.pending = self.pending, {}
        for (address, receiver), messages in pending.items():
            datagram = Datagram(
                self.host.name, self.host.incarnation, receiver, tuple(messages)
            )
            self.network.send(self.host.name, address, datagram)


class Network:
    """Delivers datagrams late, twice, out of order, or not at all."""

    def __init__(self, rng, clock):
        self.rng = rng
        self.clock = clock
        self.queue = []
        self.count = 0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.002
        self.blocked_links = set()
        self.with_codec = False

    def send(self, source, address, datagram):
        target = f"h{address.partition(':')[0].rpartition('.')[2]}"
        if (source, target) in self.blocked_links or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        if self.with_codec:
            datagram = decode(encode(datagram))
        for _ in range(copies):
            self.count += 1
            due = self.clock.monotonic() + self.rng.uniform(0.0, self.delay_s)
            heapq.heappush(self.queue, (due, self.count, target, datagram))

    def due(self):
        now = self.clock.monotonic()
        while self.queue and self.queue[0][0] <= now:
            _, _, target, datagram = heapq.heappop(self.queue)
            yield target, datagram

    def heal(self):
        self.loss = self.duplication = 0.0
        self.delay_s = 0.002
        self.blocked_links.clear()


class SimHost:
    """One daemon's membership and dispatcher."""

    def __init__(self, simulation, name, data_centre, incarnation):
        self.simulation = simulation
        clock = simulation.clock
        self.host = make_host(name, data_centre, incarnation)
        self.membership = Membership(
            self.host, heartbeat_s=0.5, dead_after_s=2.5, now=clock.monotonic()
        )
        self.membership.set_state(HostState.LIVE)
        self.transport = SimTransport(simulation.network, self.host)
        self.dispatcher = Dispatcher(self.membership, self.transport, make_pool, clock)
        self.frozen_until = 0.0
        self.received_while_frozen = []
        self.result_counts = {}
        dispatch_client = self.dispatcher.dispatch_client
        take = dispatch_client.take_results

        def take_and_count():
            results = take()
            for result in results:
                request_id = (result.request, result.epoch)
                self.result_counts[request_id] = (
                    self.result_counts.get(request_id, 0) + 1
                )
            return results

        dispatch_client.take_results = take_and_count

    def receive(self, datagram):
        if datagram.receiver not in (0, self.host.incarnation):
            return
        now = self.simulation.clock.monotonic()
        messages = []
        for message in datagram.messages:
            if isinstance(message, Heartbeat):
                events = self.membership.receive_heartbeat(message, now)
                self.dispatcher.apply_member_events(events)
            else:
                messages.append(message)
        if messages:
            self.dispatcher.receive(datagram.sender, datagram.incarnation, messages)

    def step(self):
        now = self.simulation.clock.monotonic()
        self.dispatcher.apply_member_events(self.membership.tick(now))
        local, remote = self.membership.due_addresses(now)
        if local or remote:
            message = self.membership.next_heartbeat(0, 0)
            for address in local + remote:
                self.transport.send(address, 0, message)
            self.transport.flush()
        self.dispatcher.tick()


def make_host(name, data_centre, incarnation=0):
    ip = f"10.0.0.{name[1:]}"
    return Host(name, data_centre, f"{ip}:80", f"{ip}:81", incarnation)


def make_pool(key):
    return Pool(key.model, key.data_centre)


class Simulation:
    """The hosts and engines of one data centre, with requests that start and end."""

    def __init__(self, seed, hosts=4):
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.network = Network(self.rng, self.clock)
        self.names = [f"h{number}" for number in range(hosts)]
        self.by_name = {}
        self.incarnation = 0
        self.steps = 0
        self.requests = 0
        self.open = {}
        self.charged = {}
        self.granted = 0
        self.refused = 0
        self.lost = 0
        for name in self.names:
            self.start(name)
        self.run(2.0)

    def start(self, name):
        self.incarnation += 1
        host = SimHost(self, name, "a", self.incarnation)
        listed = [make_host(other, "a") for other in self.names]
        host.membership.apply_host_list(listed, self.clock.monotonic())
        self.by_name[name] = host
        return host

    def kill(self, name):
        """Remove a host; its open requests and charges are lost."""
        for key in [key for key in self.open if key[0] == name]:
            del self.open[key]
            self.lost += 1
        for key in [key for key in self.charged if key[0] == name]:
            del self.charged[key]
        del self.by_name[name]

    def freeze(self, name, seconds):
        self.by_name[name].frozen_until = self.clock.monotonic() + seconds

    def is_frozen(self, host):
        return self.clock.monotonic() < host.frozen_until

    def run(self, seconds, on_step=None):
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            self.steps += 1
            for target, datagram in self.network.due():
                host = self.by_name.get(target)
                if host is None:
                    continue
                if self.is_frozen(host):
                    host.received_while_frozen.append(datagram)
                    continue
                host.receive(datagram)
            for host in list(self.by_name.values()):
                if self.is_frozen(host):
                    continue
                received_while_frozen, host.received_while_frozen = (
                    host.received_while_frozen,
                    [],
                )
                for datagram in received_while_frozen:
                    host.receive(datagram)
                if self.steps % REPORT_STEPS == 0:
                    self.report(host)
                host.step()
            if on_step is not None:
                on_step()
            self.check()

    def report(self, host):
        for model in MODELS:
            for number in range(ENGINES):
                name = f"{model}-{number}"
                if host.dispatcher.is_poller_of(name):
                    host.dispatcher.observe(self.engine(model, number))

    def engine(self, model, number):
        return EngineState(
            name=f"{model}-{number}",
            incarnation="1",
            address=f"{model}-{number}:90",
            data_centre="a",
            model=model,
            version="1",
            role="both",
            accelerator="x",
            first=0,
            last=8,
            layers=8,
            slots=3,
            running=0,
            waiting=0,
            kv_tokens=1 << 20,
            kv_used=0,
            step_s=0.02,
            prefill_tokens_per_s=1000.0,
            leaving=False,
            fencing_checked=True,
            order=0,
            as_of=self.clock.monotonic(),
            adapters=(f"adapter-{number}",),
        )

    def submit(self, name, timeout_s=4.0):
        host = self.by_name[name]
        self.requests += 1
        request = f"r{self.requests}"
        model = self.rng.choice(MODELS)
        adapter = f"adapter-{self.rng.randrange(ENGINES)}"
        deadline = self.clock.monotonic() + timeout_s
        route_request = RouteRequest(
            request=request,
            epoch=self.rng.randrange(3),
            host=name,
            account=f"account-{self.rng.randrange(3)}",
            priority=self.rng.choice(tuple(Priority)),
            weight=1.0,
            work=20.0,
            prompt_tokens=16,
            max_tokens=16,
            deadline=deadline,
            adapter=adapter,
        )
        future = host.dispatcher.submit(model, "a", route_request)
        self.open[name, request] = [host, model, route_request, future, None]

    def charge(self, name):
        host = self.by_name[name]
        self.requests += 1
        request = f"r{self.requests}"
        account = f"account-{self.rng.randrange(5)}"
        future = host.dispatcher.charge(account, request, 10.0, LIMITS)
        started = self.clock.monotonic()
        self.charged[name, request] = [host, account, future, started, None]

    def check(self):
        """Check the results that each host has received, and end finished requests."""
        now = self.clock.monotonic()
        for key, entry in list(self.open.items()):
            self._check_request(key, entry, now)
        for key, entry in list(self.charged.items()):
            self._check_charge(key, entry, now)
        for host in self.by_name.values():
            duplicates = [
                name for name, count in host.result_counts.items() if count > 1
            ]
            assert not duplicates, f"answered twice: {duplicates}"

    def _check_request(self, key, entry, now):
        host, model, route_request, future, end = entry
        if self.is_frozen(host):
            return
        if end is not None:
            if now >= end:
                self._finish(key, host, model, route_request)
            return
        if not future.done():
            limit = max(route_request.deadline, host.frozen_until) + GRACE_S
            assert now <= limit, f"{key} has no end"
            return
        answer = future.result()
        assert (answer.request, answer.epoch) == (
            route_request.request,
            route_request.epoch,
        )
        if not isinstance(answer, Grant):
            self.refused += 1
            del self.open[key]
            return
        number = route_request.adapter.rpartition("-")[2]
        engines = [stage.engine for stage in answer.route]
        assert engines == [f"{model}-{number}"], "another request's grant"
        self.granted += 1
        entry[4] = now + self.rng.uniform(0.0, 1.5)

    def _finish(self, key, host, model, route_request):
        del self.open[key]
        if self.rng.random() < 0.2:
            host.dispatcher.cancel(
                model, "a", route_request.request, route_request.epoch
            )
            return
        outcome = GrantOutcome(
            route_request.request, route_request.epoch, host.host.name, 16, 9
        )
        host.dispatcher.done(model, "a", outcome)

    def _check_charge(self, key, entry, now):
        host, account, future, started, end = entry
        if self.is_frozen(host):
            return
        if end is not None:
            if now >= end:
                del self.charged[key]
                host.dispatcher.settle(account, key[1], 12.0)
            return
        if not future.done():
            limit = max(started, host.frozen_until) + GRACE_S
            assert now <= limit, f"charge {key} has no end"
            return
        entry[4] = now + self.rng.uniform(0.0, 1.5)

    def find_leftovers(self):
        """Return the state left in the hosts; empty when all have converged."""
        leftovers = []
        for name, host in self.by_name.items():
            dispatcher = host.dispatcher
            for key, pool in dispatcher.pools.by_key.items():
                stats = pool.stats()
                if stats.open_grants or sum(stats.waiting):
                    leftovers.append(
                        f"{name}: {key}: {stats.open_grants}, {stats.waiting}"
                    )
            for key, pool in dispatcher.dispatch_client.local_pools.by_key.items():
                stats = pool.stats()
                if stats.open_grants or sum(stats.waiting):
                    leftovers.append(f"{name}: local {key}: {stats.open_grants}")
            sizes = {
                "requests": len(dispatcher.dispatch_client),
                "handles": len(dispatcher.dispatch_client._open_by_handle),
                "charges": len(dispatcher.charges),
                "charge handles": len(dispatcher.charges._open_by_handle),
                "outbox": len(dispatcher.exchange.outbox),
                "owned charges": len(
                    dispatcher.exchange.owned_quotas._account_by_request
                ),
            }
            leftovers += [
                f"{name}: {kind} {size}" for kind, size in sizes.items() if size
            ]
        return leftovers
