"""The schema's records from and to the core's types.

Each message type has a function that fills the fields of its record, and one
that reads them. Deadlines travel as remaining milliseconds.
"""

import ipaddress
import typing as t

from ..core.engine import EngineState
from ..core.engine import Priority
from ..core.engine import Route
from ..core.engine import Stage
from ..core.grants import RefusalReason
from ..core.grants import RouteRequest
from ..core.membership import Host
from ..core.messages import EngineLoad
from ..core.messages import EngineReport
from ..core.messages import EngineUses
from ..core.messages import PoolKey

Record = t.Any  # a reader or a builder of pycapnp, which has no types
Fields = dict[str, t.Any]

REFUSAL_REASONS = tuple(RefusalReason)
MS_PER_S = 1000
UINT16_MAX = (1 << 16) - 1
UINT32_MAX = (1 << 32) - 1
PREFIX_MASK = (1 << 64) - 1
PREFIXES_MAX = 8
NAMES_MAX = 64
USES_MAX = 1024
"""Engines of one message: with them a datagram stays under its limit."""


def _bounded(value: float, limit: int = UINT32_MAX) -> int:
    return max(0, min(limit, int(value)))


def _milliseconds(seconds: float) -> int:
    return _bounded(seconds * MS_PER_S)


def put(record: Record, name: str, value: t.Any) -> None:
    """Set a field of a record: a scalar, the fields of a struct, or a list."""
    if isinstance(value, dict):
        fill(record.init(name), value)
        return
    if not isinstance(value, list):
        setattr(record, name, value)
        return
    items = record.init(name, len(value))
    for index, item in enumerate(value):
        if isinstance(item, dict):
            fill(items[index], item)
            continue
        items[index] = item


def fill(record: Record, fields: Fields) -> None:
    """Set the fields of a record.

    The library can do this from nested dicts, at ten times the cost.
    """
    for name, value in fields.items():
        # An empty text or list reads the same as one that is not set.
        if value == "" or value == []:
            continue
        put(record, name, value)


def write_address(address: str, peer_address: str) -> Fields:
    """Return the fields of a host's addresses; they share one IP address."""
    ip, _, http_port = address.rpartition(":")
    _, _, peer_port = peer_address.rpartition(":")
    packed = ipaddress.ip_address(ip.strip("[]")).packed
    return {"ip": packed, "httpPort": int(http_port), "peerPort": int(peer_port)}


def read_address(record: Record) -> tuple[str, str]:
    """Return the HTTP address and the peer address."""
    ip = ipaddress.ip_address(bytes(record.ip))
    host = f"[{ip}]" if ip.version == 6 else str(ip)
    return f"{host}:{record.httpPort}", f"{host}:{record.peerPort}"


def write_host(host: Host) -> Fields:
    """Return the fields of a host."""
    return {
        "name": host.name,
        "dataCentre": host.data_centre,
        "incarnation": host.incarnation,
        "models": list(host.models),
        **write_address(host.address, host.peer_address),
    }


def read_host(record: Record) -> Host:
    """Return a host."""
    address, peer_address = read_address(record)
    return Host(
        record.name,
        record.dataCentre,
        address,
        peer_address,
        record.incarnation,
        tuple(record.models),
    )


def write_pool(key: PoolKey | None) -> Fields:
    """Return the fields of a pool's key."""
    if key is None:
        return {}
    return {"model": key.model, "dataCentre": key.data_centre}


def read_pool(record: Record) -> PoolKey:
    """Return a pool's key."""
    return PoolKey(record.model, record.dataCentre)


def write_want(want: RouteRequest) -> Fields:
    """Return the fields of a want; its names travel as the message's handle."""
    # The longest prefixes tell the most.
    prefixes = [prefix & PREFIX_MASK for prefix in want.prefixes[-PREFIXES_MAX:]]
    return {
        "account": want.account,
        "priority": int(want.priority),
        "entitled": want.entitled,
        "weight": want.weight,
        "work": want.work,
        "promptTokens": want.prompt_tokens,
        "maxTokens": want.max_tokens,
        "remainingMs": _milliseconds(want.deadline),
        "adapter": want.adapter,
        "prefixes": prefixes,
        "avoid": sorted(want.avoid)[:NAMES_MAX],
    }


def read_want(record: Record) -> RouteRequest:
    """Return a want without names."""
    return RouteRequest(
        request="",
        epoch=0,
        host="",
        account=record.account,
        priority=Priority(record.priority),
        weight=record.weight,
        work=record.work,
        prompt_tokens=record.promptTokens,
        max_tokens=record.maxTokens,
        deadline=record.remainingMs / MS_PER_S,
        entitled=record.entitled,
        adapter=record.adapter,
        prefixes=tuple(record.prefixes),
        avoid=frozenset(record.avoid),
    )


def write_route(route: Route) -> list[Fields]:
    """Return the fields of a route."""
    return [
        {
            "engine": stage.engine,
            "address": stage.address,
            "first": stage.first,
            "last": stage.last,
        }
        for stage in route
    ]


def read_route(record: Record) -> Route:
    """Return a route."""
    return tuple(
        Stage(stage.engine, stage.address, stage.first, stage.last) for stage in record
    )


def write_report(message: EngineReport) -> Fields:
    """Return the fields of a load report."""
    state = message.state
    links = [{"dataCentre": name, "seconds": s} for name, s in state.links_s]
    return {
        "name": state.name,
        "incarnation": state.incarnation,
        "address": state.address,
        "dataCentre": state.data_centre,
        "model": state.model,
        "version": state.version,
        "role": state.role,
        "accelerator": state.accelerator,
        "first": state.first,
        "last": state.last,
        "layers": state.layers,
        "slots": _bounded(state.slots, UINT16_MAX),
        "running": _bounded(state.running, UINT16_MAX),
        "waiting": _bounded(state.waiting, UINT16_MAX),
        "kvTokens": _bounded(state.kv_tokens),
        "kvUsed": _bounded(state.kv_used),
        "stepS": state.step_s,
        "prefillTokensPerS": state.prefill_tokens_per_s,
        "leaving": state.leaving,
        "fencingChecked": state.fencing_checked,
        "order": max(0, state.order),
        "adapters": list(state.adapters),
        "links": links,
        "ageMs": _milliseconds(message.age_s),
    }


def write_load(message: EngineLoad) -> Fields:
    """Return the fields of what changes often of a load report."""
    return {
        "name": message.name,
        "incarnation": message.incarnation,
        "running": _bounded(message.running, UINT16_MAX),
        "waiting": _bounded(message.waiting, UINT16_MAX),
        "kvUsed": _bounded(message.kv_used),
        "stepS": message.step_s,
        "ageMs": _bounded(message.age_s * MS_PER_S, UINT16_MAX),
    }


def read_load(record: Record) -> EngineLoad:
    """Return what changes often of a load report."""
    return EngineLoad(
        record.name,
        record.incarnation,
        record.running,
        record.waiting,
        record.kvUsed,
        record.stepS,
        record.ageMs / MS_PER_S,
    )


def write_uses(message: EngineUses) -> Fields:
    """Return the fields of what requests hold on engines."""
    return {
        "source": message.source,
        "isCentre": message.is_centre,
        "keys": list(message.keys[:USES_MAX]),
        "running": [_bounded(n, UINT16_MAX) for n in message.running[:USES_MAX]],
        "heads": [_bounded(n, UINT16_MAX) for n in message.heads[:USES_MAX]],
        "held": [_bounded(held) for held in message.held[:USES_MAX]],
    }


def read_uses(record: Record) -> EngineUses:
    """Return what requests hold on engines.

    :raises ValueError: if the columns differ in length.
    """
    keys, running = tuple(record.keys), tuple(record.running)
    heads, held = tuple(record.heads), tuple(record.held)
    if not len(keys) == len(running) == len(heads) == len(held):
        raise ValueError("columns of different lengths")
    return EngineUses(record.source, record.isCentre, keys, running, heads, held)


def read_report(record: Record) -> EngineReport:
    """Return a load report; the receiver sets its instant from its age."""
    state = EngineState(
        name=record.name,
        incarnation=record.incarnation,
        address=record.address,
        data_centre=record.dataCentre,
        model=record.model,
        version=record.version,
        role=record.role,
        accelerator=record.accelerator,
        first=record.first,
        last=record.last,
        layers=record.layers,
        slots=record.slots,
        running=record.running,
        waiting=record.waiting,
        kv_tokens=record.kvTokens,
        kv_used=record.kvUsed,
        step_s=record.stepS,
        prefill_tokens_per_s=record.prefillTokensPerS,
        leaving=record.leaving,
        fencing_checked=record.fencingChecked,
        order=record.order,
        as_of=0.0,
        adapters=tuple(record.adapters),
        links_s=tuple((link.dataCentre, link.seconds) for link in record.links),
    )
    return EngineReport(state, record.ageMs / MS_PER_S)
