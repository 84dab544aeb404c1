"""Cells of the fault matrix for waiting requests: faults of hosts and links.

Requests of four hosts wait for admission (`admit`) or for a route (`wait`) when
the fault occurs. The simulation checks at each step that every request ends once,
before its timeout and with its own answer. In the end no request, charge or
grant may be left.
"""

import functools
import itertools

from tests.dispatch_simulation import GRACE_S
from tests.dispatch_simulation import Simulation

REQUESTS = 60  # more than all engines have slots, so that some requests wait
TIMEOUT_S = 4.0
FAULT_S = 3.0
SETTLE_S = 60.0


def _pick_two_hosts(simulation):
    """Return two hosts at random."""
    return simulation.rng.sample(simulation.names, 2)


def _kill(simulation):
    victim, _ = _pick_two_hosts(simulation)
    simulation.kill(victim)
    return lambda: simulation.start(victim)


def _kill_owner(simulation):
    """Kill the host that owns the most pools."""
    names = simulation.names
    pools = {}
    for name in names:
        pools[name] = len(simulation.by_name[name].dispatcher.pools.by_key)
    victim = max(names, key=lambda name: (pools[name], name))
    simulation.kill(victim)
    return lambda: simulation.start(victim)


def _replace(simulation):
    victim, _ = _pick_two_hosts(simulation)
    simulation.kill(victim)
    simulation.start(victim)
    return lambda: None


def _freeze(simulation):
    victim, _ = _pick_two_hosts(simulation)
    simulation.freeze(victim, simulation.rng.choice([0.4, 2.0, FAULT_S]))
    return lambda: None


def _cut(simulation):
    one, other = _pick_two_hosts(simulation)
    simulation.network.blocked_links |= {(one, other), (other, one)}
    return simulation.network.heal


def _cut_one_way(simulation):
    simulation.network.blocked_links.add(tuple(_pick_two_hosts(simulation)))
    return simulation.network.heal


def _cut_half(simulation):
    half = _pick_two_hosts(simulation)
    for one, other in itertools.product(simulation.names, repeat=2):
        if (one in half) is not (other in half):
            simulation.network.blocked_links.add((one, other))
    return simulation.network.heal


def _slow(simulation):
    simulation.network.delay_s = 0.8
    return simulation.network.heal


FAULTS = {
    "daemon-killed": _kill,
    "peer-killed": _kill_owner,
    "host-replaced": _replace,
    "frozen": _freeze,
    "cut-peer": _cut,
    "cut-one-way": _cut_one_way,
    "data-centre-cut": _cut_half,
    "link-slow": _slow,
}
STEPS = {"admit": Simulation.charge, "wait": Simulation.submit}


def host_cell(step, fault, seed):
    """Inject a fault while requests wait at a step, and end it after a while."""
    simulation = Simulation(seed)
    for number in range(REQUESTS):
        STEPS[step](simulation, simulation.names[number % len(simulation.names)])
        if number % 10 == 0:
            simulation.run(0.05)
    end_fault = FAULTS[fault](simulation)
    simulation.run(FAULT_S)
    end_fault()
    simulation.run(TIMEOUT_S + 2 * GRACE_S)
    for _ in range(int(SETTLE_S)):
        if (
            not simulation.open
            and not simulation.charged
            and not simulation.find_leftovers()
        ):
            return
        simulation.run(1.0)
    assert not simulation.open, f"{len(simulation.open)} requests have not ended"
    assert not simulation.charged, f"{len(simulation.charged)} charges have not ended"
    assert not simulation.find_leftovers(), simulation.find_leftovers()


def host_cells():
    """Return the functions of this module's cells, by step and fault."""
    cells = {}
    for step, fault in itertools.product(STEPS, FAULTS):
        cells[step, fault] = [functools.partial(host_cell, step, fault)]
    return cells
