import os
import random

import pytest

from tests.dispatch_simulation import Simulation
from wagtailstair.core.grants import Grant
from wagtailstair.core.membership import HostState
from wagtailstair.core.quota import QuotaLimits
from wagtailstair.core.rendezvous import owner

SEEDS = int(os.environ.get("WAGTAILSTAIR_SEEDS", "60"))
SEEDS_PER_TEST = 10


def inject_fault(simulation, rng):
    """Inject one random fault into a simulation."""
    names = list(simulation.by_name)
    name = rng.choice(names)
    other = rng.choice([n for n in simulation.names if n != name])
    network = simulation.network
    kind = rng.randrange(8)
    if kind == 0:
        network.loss = rng.choice((0.0, 0.05, 0.3))
    elif kind == 1:
        network.duplication = rng.choice((0.0, 0.3))
    elif kind == 2:
        network.delay_s = rng.choice((0.002, 0.1, 1.0))
    elif kind == 3:
        simulation.freeze(name, rng.choice((0.5, 2.0, 4.0)))
    elif kind == 4 and len(names) > 2:
        simulation.kill(name)
    elif kind == 5:
        network.blocked_links.add((name, other))
    elif kind == 6:
        network.blocked_links.update(((name, other), (other, name)))
    else:
        network.blocked_links.clear()


def run_with_faults(seed):
    rng = random.Random(seed)
    simulation = Simulation(seed)
    simulation.network.with_codec = seed % 10 == 0

    def load():
        for name, host in simulation.by_name.items():
            if not simulation.is_frozen(host) and rng.random() < 0.3:
                simulation.submit(name, rng.choice((1.0, 4.0)))
                simulation.charge(name)

    for _ in range(8):
        inject_fault(simulation, rng)
        simulation.run(rng.uniform(0.2, 2.0), load)
        for name in simulation.names:
            if name not in simulation.by_name and rng.random() < 0.5:
                simulation.start(name)
    return simulation


def converge(simulation):
    simulation.network.heal()
    for name in simulation.names:
        if name not in simulation.by_name:
            simulation.start(name)
    simulation.run(20.0)
    return simulation


class TestFaults:
    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_each_request_ends_once_and_hosts_converge(self, first):
        granted = 0
        for seed in range(first, first + SEEDS_PER_TEST):
            simulation = converge(run_with_faults(seed))
            granted += simulation.granted
            leftovers = simulation.find_leftovers()
            assert not leftovers, f"seed {seed}: {leftovers}"
            views = {host.membership.live() for host in simulation.by_name.values()}
            assert views == {tuple(simulation.names)}, f"seed {seed}"
        assert granted > 50 * SEEDS_PER_TEST


class TestDispatcher:
    def make(self, seed=1):
        simulation = Simulation(seed)
        owner_name = owner("pool/draft/a", simulation.names)
        entry = next(name for name in simulation.names if name != owner_name)
        return simulation, owner_name, entry

    def submit_until(self, simulation, entry, seconds):
        def load():
            simulation.submit(entry)

        simulation.run(seconds, load)

    def test_owner_grants_all_requests_without_faults(self):
        simulation, _, entry = self.make()
        self.submit_until(simulation, entry, 2.0)
        simulation.run(6.0)
        hosts = simulation.by_name.values()
        assert simulation.granted > 20
        assert sum(host.dispatcher.dispatch_client.local_grants for host in hosts) == 0

    def test_local_pool_grants_while_the_dispatcher_is_frozen(self):
        simulation, owner_name, entry = self.make()
        simulation.freeze(owner_name, 2.0)
        before = simulation.granted
        self.submit_until(simulation, entry, 1.5)
        dispatch_client = simulation.by_name[entry].dispatcher.dispatch_client
        assert simulation.granted > before
        assert dispatch_client.local_grants > 0

    def test_successor_takes_over_from_leaving_dispatcher(self):
        simulation, owner_name, entry = self.make()
        self.submit_until(simulation, entry, 1.0)
        simulation.by_name[owner_name].membership.set_state(HostState.LEAVING)
        self.submit_until(simulation, entry, 1.0)
        successor = owner(
            "pool/draft/a", [n for n in simulation.names if n != owner_name]
        )
        pools = simulation.by_name[successor].dispatcher.pools
        stats = [pool.stats() for pool in pools.by_key.values()]
        assert sum(stat.open_grants for stat in stats) > 0
        simulation.run(10.0)
        assert simulation.find_leftovers() == []

    def test_account_limit_holds_across_hosts(self):
        simulation, _, _ = self.make()
        verdicts = []
        limits = QuotaLimits(work_per_s=0.001, burst_s=100_000.0, max_concurrent=10)
        for number in range(40):
            name = simulation.names[number % len(simulation.names)]
            dispatcher = simulation.by_name[name].dispatcher
            verdicts.append(dispatcher.charge("one", f"x{number}", 1.0, limits))
        simulation.run(1.0)
        names = [type(verdict.result()).__name__ for verdict in verdicts]
        assert names.count("Allowed") == 10

    def test_dispatcher_requests_full_reports_of_unknown_engines(self):
        simulation, owner_name, _ = self.make()
        engines = simulation.by_name[owner_name].dispatcher.exchange.engines
        removed = [name for name in engines.by_name if name.startswith("draft")]
        for name in removed:
            del engines.by_name[name]
        simulation.run(6.0)
        assert set(removed) <= set(engines.by_name)

    def test_repeated_submit_returns_the_same_future(self):
        simulation, _, entry = self.make()
        simulation.submit(entry)
        [[host, model, route_request, future, _]] = simulation.open.values()
        if not future.done():
            assert host.dispatcher.submit(model, "a", route_request) is future
        simulation.run(1.0)
        assert isinstance(future.result(), Grant)
