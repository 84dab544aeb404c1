"""Converts the core's types to and from the records of the schema.

Each type has a function that returns the fields of its record and one that reads
them. A deadline in a message is the time that remains, sent as milliseconds.
"""

import ipaddress
import typing as t

from ..core.admission.shared_order import MESSAGE_ACCOUNTS
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
from ..core.messages import QueueCounts
from ..core.quarantine import MESSAGE_CANDIDATES
from ..core.quarantine import SOUND_PER_MESSAGE
from ..core.quarantine import TRIALS_PER_MESSAGE
from ..core.quarantine import CrashCandidate
from ..core.quarantine import CrashSuspects
from ..core.quarantine import PartKey

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
"""Maximum engines of a message, so that a datagram stays under its size limit."""


def _clamp(value: float, limit: int = UINT32_MAX) -> int:
    return max(0, min(limit, int(value)))


def _milliseconds(seconds: float) -> int:
    return _clamp(seconds * MS_PER_S)


def set_field(record: Record, name: str, value: t.Any) -> None:
    """Set a field of a record: a scalar, the fields of a struct, or a list."""
    if isinstance(value, dict):
        set_fields(record.init(name), value)
        return
    if not isinstance(value, list):
        setattr(record, name, value)
        return
    items = record.init(name, len(value))
    for index, item in enumerate(value):
        if isinstance(item, dict):
            set_fields(items[index], item)
            continue
        items[index] = item


def set_fields(record: Record, fields: Fields) -> None:
    """Set the fields of a record.

    The library can set nested dicts itself, but takes ten times as long.
    """
    for name, value in fields.items():
        # An empty text or list reads the same as an unset field.
        if value == "" or value == []:
            continue
        set_field(record, name, value)


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


def write_route_request(request: RouteRequest) -> Fields:
    """Return the fields of a route request; the handle of the message identifies it."""
    # Only the longest prefixes are sent: they are the most specific.
    prefixes = [prefix & PREFIX_MASK for prefix in request.prefixes[-PREFIXES_MAX:]]
    return {
        "account": request.account,
        "priority": int(request.priority),
        "entitled": request.entitled,
        "weight": request.weight,
        "work": request.work,
        "promptTokens": request.prompt_tokens,
        "maxTokens": request.max_tokens,
        "remainingMs": _milliseconds(request.deadline),
        "adapter": request.adapter,
        "prefixes": prefixes,
        "avoid": sorted(request.avoid)[:NAMES_MAX],
    }


def read_route_request(record: Record) -> RouteRequest:
    """Return a route request without the host, request and epoch that identify it."""
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
        "slots": _clamp(state.slots, UINT16_MAX),
        "running": _clamp(state.running, UINT16_MAX),
        "waiting": _clamp(state.waiting, UINT16_MAX),
        "kvTokens": _clamp(state.kv_tokens),
        "kvUsed": _clamp(state.kv_used),
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
    """Return the fields of the frequently changing part of a load report."""
    return {
        "name": message.name,
        "incarnation": message.incarnation,
        "running": _clamp(message.running, UINT16_MAX),
        "waiting": _clamp(message.waiting, UINT16_MAX),
        "kvUsed": _clamp(message.kv_used),
        "stepS": message.step_s,
        "ageMs": _clamp(message.age_s * MS_PER_S, UINT16_MAX),
    }


def read_load(record: Record) -> EngineLoad:
    """Return the frequently changing part of a load report."""
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
    """Return the fields of the load that requests put on engines."""
    return {
        "source": message.source,
        "isCentre": message.is_centre,
        "keys": list(message.keys[:USES_MAX]),
        "running": [_clamp(n, UINT16_MAX) for n in message.running[:USES_MAX]],
        "heads": [_clamp(n, UINT16_MAX) for n in message.heads[:USES_MAX]],
        "held": [_clamp(held) for held in message.held[:USES_MAX]],
        "unread": [_clamp(n, UINT16_MAX) for n in message.unread[:USES_MAX]],
    }


def read_uses(record: Record) -> EngineUses:
    """Return the load that requests put on engines.

    :raises ValueError: if the columns differ in length.
    """
    keys, running = tuple(record.keys), tuple(record.running)
    heads, held = tuple(record.heads), tuple(record.held)
    # Hosts on older builds don't send this column.
    unread = tuple(record.unread) or (0,) * len(keys)
    columns = (running, heads, held, unread)
    if any(len(column) != len(keys) for column in columns):
        raise ValueError("expected columns of the same length")
    return EngineUses(record.source, record.isCentre, keys, *columns)


def write_queue_counts(message: QueueCounts) -> Fields:
    """Return the fields of what a host has queued and started."""
    accounts = []
    for account, work in message.accounts[:MESSAGE_ACCOUNTS]:
        accounts.append({"account": account, "work": _clamp(work)})
    return {
        "sequence": message.sequence,
        "waiting": [_clamp(count, UINT16_MAX) for count in message.waiting],
        "waitingWork": [_clamp(work) for work in message.waiting_work],
        "startedWork": [_clamp(work) for work in message.started_work],
        "starts": _clamp(message.starts),
        "accounts": accounts,
    }


def read_queue_counts(record: Record) -> QueueCounts:
    """Return what a host has queued and started.

    :raises ValueError: if a column has not one entry for each rank.
    """
    waiting, waiting_work = tuple(record.waiting), tuple(record.waitingWork)
    started_work = tuple(record.startedWork)
    for column in (waiting, waiting_work, started_work):
        if len(column) != len(Priority):
            raise ValueError("expected one entry for each rank")
    accounts = []
    for entry in record.accounts:
        accounts.append((entry.account, entry.work))
    return QueueCounts(
        record.sequence,
        waiting,
        waiting_work,
        started_work,
        record.starts,
        tuple(accounts[:MESSAGE_ACCOUNTS]),
    )


def write_suspects(message: CrashSuspects) -> Fields:
    """Return the fields of what a host knows of crashes."""
    place_by_key: dict[PartKey, int] = {}
    candidates = []
    for candidate in message.candidates[:MESSAGE_CANDIDATES]:
        places = []
        for key in sorted(candidate.keys):
            places.append(place_by_key.setdefault(key, len(place_by_key)))
        candidates.append(
            {
                "engine": candidate.engine,
                "ageMs": _milliseconds(candidate.age_s),
                "weight": candidate.weight,
                "parts": places,
            }
        )
    return {
        "parts": [_write_part(key) for key in place_by_key],
        "candidates": candidates,
        "sound": [_write_part(key) for key in message.sound[:SOUND_PER_MESSAGE]],
        "trials": list(message.trials[:TRIALS_PER_MESSAGE]),
    }


def read_suspects(record: Record) -> CrashSuspects:
    """Return what a host knows of crashes.

    :raises ValueError: if a candidate names a part that the message does not have.
    """
    keys = [PartKey(part.service, part.part) for part in record.parts]
    candidates = []
    for candidate in record.candidates:
        places = list(candidate.parts)
        if any(place >= len(keys) for place in places):
            raise ValueError("expected places of parts in the message")
        candidates.append(
            CrashCandidate(
                candidate.engine,
                candidate.ageMs / MS_PER_S,
                candidate.weight,
                frozenset(keys[place] for place in places),
            )
        )
    sound = tuple(PartKey(part.service, part.part) for part in record.sound)
    return CrashSuspects(tuple(candidates), sound, tuple(record.trials))


def _write_part(key: PartKey) -> Fields:
    return {"service": key.service, "part": key.part}


def read_report(record: Record) -> EngineReport:
    """Return a load report; the receiver derives its time from its age."""
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
