"""Encodes the load on engines into messages to peers, and applies those received."""

import math
import typing as t

from ..core.engine_costs import Load
from ..core.messages import EngineUses
from ..core.pipelines import LoadSource
from ..core.pipelines import Pipelines

UNREAD_UNIT = 1000
"""Token-layers of unread prompts in one unit of a message: a column of 16 bits keeps
the largest message within a datagram."""


def own_uses(host: str, services: t.Iterable[Pipelines]) -> EngineUses:
    """Return the load that the requests of one host put on engines."""
    loads: dict[int, Load] = {}
    for pipelines in services:
        loads.update(pipelines.own_loads())
    return _encode(host, loads, is_centre=False)


def centre_uses(data_centre: str, services: t.Iterable[Pipelines]) -> EngineUses:
    """Return the load that the requests of a data centre put on engines."""
    loads: dict[int, Load] = {}
    for pipelines in services:
        loads.update(pipelines.data_centre_loads())
    return _encode(data_centre, loads, is_centre=True)


def apply_uses(message: EngineUses, services: t.Iterable[Pipelines]) -> None:
    """Replace the load that a host or a data centre has reported before."""
    columns = (message.running, message.heads, message.held, message.unread)
    loads = {}
    for key, running, heads, held, unread in zip(message.keys, *columns, strict=True):
        loads[key] = Load(running, heads, held, unread * UNREAD_UNIT)
    for pipelines in services:
        pipelines.set_peer_loads(LoadSource(message.source, message.is_centre), loads)


def _encode(source: str, loads: dict[int, Load], *, is_centre: bool) -> EngineUses:
    return EngineUses(
        source,
        is_centre,
        tuple(loads),
        tuple(load.running for load in loads.values()),
        tuple(load.heads for load in loads.values()),
        tuple(int(load.token_layers) for load in loads.values()),
        tuple(math.ceil(load.unread / UNREAD_UNIT) for load in loads.values()),
    )
