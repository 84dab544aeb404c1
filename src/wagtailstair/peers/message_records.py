"""Converts messages to and from the records of the schema, by type."""

import typing as t

from ..core.membership import Heartbeat
from ..core.membership import Host
from ..core.membership import HostState
from ..core.membership import View
from ..core.membership import ViewRequest
from ..core.messages import Ack
from ..core.messages import Charge
from ..core.messages import Charged
from ..core.messages import EngineFailed
from ..core.messages import EngineLoad
from ..core.messages import EngineLost
from ..core.messages import EngineReport
from ..core.messages import EngineUses
from ..core.messages import Finished
from ..core.messages import Granted
from ..core.messages import Held
from ..core.messages import Limit
from ..core.messages import Message
from ..core.messages import Numbered
from ..core.messages import QueueCounts
from ..core.messages import Queued
from ..core.messages import Refused
from ..core.messages import ReportRequest
from ..core.messages import Reset
from ..core.messages import Settle
from ..core.messages import Submit
from ..core.messages import Withdraw
from ..core.quarantine import CrashSuspects
from ..core.store import StoreVersion
from . import records
from .records import Fields
from .records import Record


def _write_heartbeat(message: Heartbeat) -> Fields:
    host = message.host
    return {
        "dataCentre": host.data_centre,
        "seq": message.seq,
        "state": int(message.state),
        "listsVersion": message.lists_version,
        # The excess is nearly always zero, which takes no byte when packed.
        "listsExcess": max(0, message.known_lists_version - message.lists_version),
        "view": message.view,
        "upstreamsVersion": message.upstreams_version.number,
        "storeEra": message.upstreams_version.era,
        "storeAway": message.is_store_unreachable,
        "models": list(host.models),
        **records.write_address(host.address, host.peer_address),
    }


def _write_submit(message: Submit) -> Fields:
    return {
        "handle": message.handle,
        "pool": records.write_pool(message.key),
        "want": records.write_route_request(message.route_request),
    }


def _write_granted(message: Granted) -> Fields:
    return {"handle": message.handle, "route": records.write_route(message.route)}


def _write_refused(message: Refused) -> Fields:
    return {
        "handle": message.handle,
        "reason": records.REFUSAL_REASONS.index(message.reason),
        "retryAfterS": message.retry_after_s,
    }


def _write_charge(message: Charge) -> Fields:
    return {
        "handle": message.handle,
        "account": message.account,
        "work": message.work,
        "workPerS": message.work_per_s,
        "burstS": message.burst_s,
        "maxConcurrent": message.max_concurrent,
        "adopt": message.adopt,
    }


def _write_charged(message: Charged) -> Fields:
    return {
        "handle": message.handle,
        "limit": int(message.limit),
        "retryAfterS": message.retry_after_s,
    }


def _write_lost(message: EngineLost | EngineFailed) -> Fields:
    return {"name": message.name, "incarnation": message.incarnation}


def _write_withdraw(message: Withdraw) -> Fields:
    return {"handle": message.handle, "pool": records.write_pool(message.key)}


def _write_finished(message: Finished) -> Fields:
    return {
        "handle": message.handle,
        "pool": records.write_pool(message.key),
        "promptTokens": message.prompt_tokens,
        "outputTokens": message.output_tokens,
        "failed": sorted(message.failed)[: records.NAMES_MAX],
    }


def _write_held(message: Held) -> Fields:
    return {
        "handle": message.handle,
        "pool": records.write_pool(message.key),
        "want": records.write_route_request(message.route_request),
        "route": records.write_route(message.route),
        "tokensDone": message.tokens_done,
    }


def _write_settle(message: Settle) -> Fields:
    return {"handle": message.handle, "work": message.work}


Writer = tuple[str, t.Callable[[t.Any], t.Any]]

BODY_WRITERS: dict[type, Writer] = {
    Withdraw: ("withdraw", _write_withdraw),
    Finished: ("finished", _write_finished),
    Held: ("held", _write_held),
    Reset: ("reset", lambda message: message.era),
    Charge: ("charge", _write_charge),
    Settle: ("settle", _write_settle),
}


def _write_numbered(message: Numbered) -> Fields:
    field, write = BODY_WRITERS[type(message.body)]
    return {"number": message.number, field: write(message.body)}


WRITERS: dict[type, Writer] = {
    Heartbeat: ("heartbeat", _write_heartbeat),
    ViewRequest: ("viewRequest", lambda message: None),
    View: ("view", lambda message: [records.write_host(h) for h in message.hosts]),
    Submit: ("submit", _write_submit),
    Queued: ("queued", lambda message: message.handle),
    Granted: ("granted", _write_granted),
    Refused: ("refused", _write_refused),
    Charge: ("charge", _write_charge),
    Charged: ("charged", _write_charged),
    EngineReport: ("engineReport", records.write_report),
    EngineLoad: ("engineLoad", records.write_load),
    EngineUses: ("engineUses", records.write_uses),
    ReportRequest: ("reportRequest", lambda message: message.name),
    EngineLost: ("engineLost", _write_lost),
    EngineFailed: ("engineFailed", _write_lost),
    QueueCounts: ("queueCounts", records.write_queue_counts),
    CrashSuspects: ("crashSuspects", records.write_suspects),
    Numbered: ("numbered", _write_numbered),
    Ack: ("ack", lambda message: list(message.numbers)),
}


def _read_heartbeat(record: Record, datagram: Record) -> Heartbeat:
    address, peer_address = records.read_address(record)
    host = Host(
        datagram.sender,
        record.dataCentre,
        address,
        peer_address,
        datagram.incarnation,
        tuple(record.models),
    )
    state = HostState(record.state)
    version = record.listsVersion
    known = version + record.listsExcess
    return Heartbeat(
        host,
        record.seq,
        state,
        version,
        record.view,
        known,
        StoreVersion(record.storeEra, record.upstreamsVersion),
        record.storeAway,
    )


def _read_refused(record: Record) -> Refused:
    reason = records.REFUSAL_REASONS[record.reason]
    return Refused(record.handle, reason, record.retryAfterS)


def _read_charge(record: Record) -> Charge:
    return Charge(
        record.handle,
        record.account,
        record.work,
        record.workPerS,
        record.burstS,
        record.maxConcurrent,
        record.adopt,
    )


def _read_withdraw(record: Record) -> Withdraw:
    key = records.read_pool(record.pool)
    return Withdraw(record.handle, key if key.model else None)


def _read_finished(record: Record) -> Finished:
    return Finished(
        record.handle,
        records.read_pool(record.pool),
        record.promptTokens,
        record.outputTokens,
        frozenset(record.failed),
    )


def _read_held(record: Record) -> Held:
    return Held(
        record.handle,
        records.read_pool(record.pool),
        records.read_route_request(record.want),
        records.read_route(record.route),
        record.tokensDone,
    )


BODY_READERS: dict[str, t.Callable[[Record], t.Any]] = {
    "withdraw": _read_withdraw,
    "finished": _read_finished,
    "held": _read_held,
    "reset": Reset,
    "charge": _read_charge,
    "settle": lambda record: Settle(record.handle, record.work),
}


def _read_numbered(record: Record) -> Numbered:
    field = str(record.which)
    return Numbered(record.number, BODY_READERS[field](getattr(record, field)))


READERS: dict[str, t.Callable[[Record], t.Any]] = {
    "viewRequest": lambda record: ViewRequest(),
    "view": lambda record: View(tuple(records.read_host(host) for host in record)),
    "submit": lambda record: Submit(
        record.handle,
        records.read_pool(record.pool),
        records.read_route_request(record.want),
    ),
    "queued": Queued,
    "granted": lambda record: Granted(record.handle, records.read_route(record.route)),
    "refused": _read_refused,
    "charge": _read_charge,
    "charged": lambda record: Charged(
        record.handle, Limit(record.limit), record.retryAfterS
    ),
    "engineReport": records.read_report,
    "engineLoad": records.read_load,
    "engineUses": records.read_uses,
    "queueCounts": records.read_queue_counts,
    "reportRequest": ReportRequest,
    "crashSuspects": records.read_suspects,
    "engineLost": lambda record: EngineLost(record.name, record.incarnation),
    "engineFailed": lambda record: EngineFailed(record.name, record.incarnation),
    "numbered": _read_numbered,
    "ack": lambda record: Ack(tuple(record)),
}


def write_message(record: Record, message: Message) -> None:
    """Write a message into a record."""
    field, write = WRITERS[type(message)]
    records.set_field(record, field, write(message))


def read_message(record: Record, datagram: Record) -> Message:
    """Return the message in a record of a datagram."""
    field = str(record.which)
    if field == "heartbeat":
        return _read_heartbeat(record.heartbeat, datagram)
    message: Message = READERS[field](getattr(record, field))
    return message
