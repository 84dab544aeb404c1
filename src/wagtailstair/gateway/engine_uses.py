"""What requests hold on engines, as hosts tell each other of it."""

import typing as t

from ..core.messages import EngineUses
from ..core.pipelines import Load
from ..core.pipelines import LoadSource
from ..core.pipelines import Pipelines


def own_uses(host: str, services: t.Iterable[Pipelines]) -> EngineUses:
    """Return what the requests of one host hold."""
    loads: dict[int, Load] = {}
    for pipelines in services:
        loads.update(pipelines.own_loads())
    return _encode(host, loads, is_centre=False)


def centre_uses(data_centre: str, services: t.Iterable[Pipelines]) -> EngineUses:
    """Return what the requests of all hosts of a data centre hold."""
    loads: dict[int, Load] = {}
    for pipelines in services:
        loads.update(pipelines.data_centre_loads())
    return _encode(data_centre, loads, is_centre=True)


def take_uses(uses: EngineUses, services: t.Iterable[Pipelines]) -> None:
    """Take what a host or a data centre tells, in place of what it told before."""
    columns = (uses.running, uses.heads, uses.held)
    loads = {}
    for key, *load in zip(uses.keys, *columns, strict=True):
        loads[key] = Load(*load)
    for pipelines in services:
        pipelines.set_peer_loads(LoadSource(uses.source, uses.is_centre), loads)


def _encode(source: str, loads: dict[int, Load], *, is_centre: bool) -> EngineUses:
    return EngineUses(
        source,
        is_centre,
        tuple(loads),
        tuple(load.running for load in loads.values()),
        tuple(load.heads for load in loads.values()),
        tuple(int(load.token_layers) for load in loads.values()),
    )
