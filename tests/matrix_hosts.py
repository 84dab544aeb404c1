"""Cells of the fault matrix for requests that wait: faults of hosts and links.

The requests of four hosts wait for leave (`admit`) or for a route (`wait`) when
the fault comes. The simulation checks at each step that every request ends in
its time, once, with its own answer; in the end nothing may be left over.
"""

import functools
import itertools

from tests.dispatch_simulation import GRACE_S
from tests.dispatch_simulation import Simulation

REQUESTS = 60  # more than the slots of all engines, so that some wait
TIMEOUT_S = 4.0
FAULT_S = 3.0
SETTLE_S = 60.0


def _victims(simulation):
    """Return two hosts, the first of which has requests that wait."""
    return simulation.rng.sample(simulation.names, 2)


def _kill(simulation):
    victim, _ = _victims(simulation)
    simulation.kill(victim)
    return lambda: simulation.start(victim)


def _kill_owner(simulation):
    """Kill the host that decides on most of what waits."""
    names = simulation.names
    pools = {}
    for name in names:
        pools[name] = len(simulation.by_name[name].dispatcher.pools.by_key)
    victim = max(names, key=lambda name: (pools[name], name))
    simulation.kill(victim)
    return lambda: simulation.start(victim)


def _replace(simulation):
    victim, _ = _victims(simulation)
    simulation.kill(victim)
    simulation.start(victim)
    return lambda: None


def _freeze(simulation):
    victim, _ = _victims(simulation)
    simulation.freeze(victim, simulation.rng.choice([0.4, 2.0, FAULT_S]))
    return lambda: None


def _cut(simulation):
    one, other = _victims(simulation)
    simulation.network.blocked_links |= {(one, other), (other, one)}
    return simulation.network.heal


def _cut_one_way(simulation):
    simulation.network.blocked_links.add(tuple(_victims(simulation)))
    return simulation.network.heal


def _cut_half(simulation):
    half = _victims(simulation)
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
    """Let a fault come while requests wait at a step, and end it again."""
    simulation = Simulation(seed)
    for number in range(REQUESTS):
        STEPS[step](simulation, simulation.names[number % len(simulation.names)])
        if number % 10 == 0:
            simulation.run(0.05)
    mend = FAULTS[fault](simulation)
    simulation.run(FAULT_S)
    mend()
    simulation.run(TIMEOUT_S + 2 * GRACE_S)
    for _ in range(int(SETTLE_S)):
        if (
            not simulation.open
            and not simulation.charged
            and not simulation.find_leftovers()
        ):
            return
        simulation.run(1.0)
    assert not simulation.open, f"{len(simulation.open)} requests without an end"
    assert not simulation.charged, f"{len(simulation.charged)} charges without an end"
    assert not simulation.find_leftovers(), simulation.find_leftovers()


def host_cells():
    """Return the functions of all cells here by step and fault."""
    cells = {}
    for step, fault in itertools.product(STEPS, FAULTS):
        cells[step, fault] = [functools.partial(host_cell, step, fault)]
    return cells
