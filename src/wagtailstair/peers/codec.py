"""Datagrams: several messages in packed Cap'n Proto under a tag.

Layout: two bytes of magic, one of protocol version, one of flags, the tag (16
bytes of BLAKE2b over all the rest), the body. The tag is keyed with the
peers' secret if there is one. Without one it is a mere checksum, but never
left out: pycapnp can crash on a malformed body, so none may reach it.
"""

import dataclasses
import hashlib
import hmac
import typing as t

from ..core.membership import Heartbeat
from ..core.membership import Host
from ..core.membership import HostState
from ..core.membership import View
from ..core.membership import ViewRequest
from ..core.messages import Ack
from ..core.messages import Charge
from ..core.messages import Charged
from ..core.messages import EngineLoad
from ..core.messages import EngineLost
from ..core.messages import EngineReport
from ..core.messages import Finished
from ..core.messages import Granted
from ..core.messages import Held
from ..core.messages import Limit
from ..core.messages import Message
from ..core.messages import Numbered
from ..core.messages import Queued
from ..core.messages import Refused
from ..core.messages import ReportRequest
from ..core.messages import Reset
from ..core.messages import Settle
from ..core.messages import Submit
from ..core.messages import Withdraw
from ..exceptions import PeerError
from . import records
from .records import Fields
from .records import Record
from .schema import SCHEMA
from .schema import DecodeError

MAGIC = b"wg"
VERSION = 1
FLAG_KEYED = 1
HEADER_BYTES = 4
TAG_BYTES = 16
DATAGRAM_BYTES = 1400  # several messages share a datagram up to this size
DATAGRAM_BYTES_MAX = 16 << 10
WORDS_MAX = 32 << 10  # of 8 bytes, of a message that has been unpacked
NESTING_MAX = 8
MESSAGES_MAX = 256


@dataclasses.dataclass(slots=True, frozen=True)
class Datagram:
    """Messages of one incarnation of a host to one of another (0: to any)."""

    sender: str
    incarnation: int
    receiver: int
    messages: tuple[Message, ...]


def _write_heartbeat(message: Heartbeat) -> Fields:
    host = message.host
    return {
        "dataCentre": host.data_centre,
        "seq": message.seq,
        "state": int(message.state),
        "listsVersion": message.lists_version,
        # The excess is nearly always zero, which costs no byte.
        "listsExcess": max(0, message.lists_known - message.lists_version),
        "view": message.view,
        "models": list(host.models),
        **records.write_address(host.address, host.peer_address),
    }


def _write_submit(message: Submit) -> Fields:
    return {
        "handle": message.handle,
        "pool": records.write_pool(message.key),
        "want": records.write_want(message.want),
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


def _write_lost(message: EngineLost) -> Fields:
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
        "want": records.write_want(message.want),
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
    ReportRequest: ("reportRequest", lambda message: message.name),
    EngineLost: ("engineLost", _write_lost),
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
    return Heartbeat(host, record.seq, state, version, record.view, known)


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
        records.read_want(record.want),
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
        record.handle, records.read_pool(record.pool), records.read_want(record.want)
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
    "reportRequest": ReportRequest,
    "engineLost": lambda record: EngineLost(record.name, record.incarnation),
    "numbered": _read_numbered,
    "ack": lambda record: Ack(tuple(record)),
}


def _read_message(record: Record, datagram: Record) -> Message:
    field = str(record.which)
    if field == "heartbeat":
        return _read_heartbeat(record.heartbeat, datagram)
    message: Message = READERS[field](getattr(record, field))
    return message


def tag_of(key: bytes, head: bytes, body: bytes) -> bytes:
    """Return the tag of a head and a body under a key."""
    digest = hashlib.blake2b(head, digest_size=TAG_BYTES, key=key)
    digest.update(body)
    return digest.digest()


def encode(datagram: Datagram, key: bytes = b"") -> bytes:
    """Return the bytes of a datagram, tagged with the key."""
    record = SCHEMA.Datagram.new_message()
    record.sender = datagram.sender
    record.incarnation = datagram.incarnation
    record.receiver = datagram.receiver
    entries = record.init("messages", len(datagram.messages))
    for index, message in enumerate(datagram.messages):
        field, write = WRITERS[type(message)]
        records.put(entries[index], field, write(message))
    return seal(record.to_bytes_packed(), key)


def seal(body: bytes, key: bytes = b"") -> bytes:
    """Return a body under a head and a tag."""
    head = MAGIC + bytes((VERSION, FLAG_KEYED if key else 0))
    return head + tag_of(key, head, body) + body


def open_sealed(data: bytes, key: bytes, limit: int) -> bytes:
    """Return the body under a head and a tag that are as expected.

    :raises PeerError: if they are not, or the data is longer than the limit.
    """
    if len(data) > limit:
        raise PeerError(f"{len(data)} bytes, expected at most {limit}")
    if len(data) < HEADER_BYTES or data[:2] != MAGIC:
        raise PeerError("not of this protocol")
    if data[2] != VERSION:
        raise PeerError(f"protocol version {data[2]}, expected {VERSION}")
    head = data[:HEADER_BYTES]
    tag = data[HEADER_BYTES : HEADER_BYTES + TAG_BYTES]
    body = data[HEADER_BYTES + TAG_BYTES :]
    if not hmac.compare_digest(tag, tag_of(key, head, body)):
        raise PeerError("the tag does not match")
    return body


def decode(data: bytes, key: bytes = b"") -> Datagram:
    """Return the datagram in some bytes.

    :raises PeerError: if they are malformed, foreign or not signed by the key.
    """
    body = open_sealed(data, key, DATAGRAM_BYTES_MAX)
    try:
        record = SCHEMA.Datagram.from_bytes_packed(
            body, traversal_limit_in_words=WORDS_MAX, nesting_limit=NESTING_MAX
        )
        if len(record.messages) > MESSAGES_MAX:
            raise PeerError(f"{len(record.messages)} messages in a datagram")
        messages = tuple(_read_message(entry, record) for entry in record.messages)
        return Datagram(record.sender, record.incarnation, record.receiver, messages)
    except (DecodeError, ValueError, LookupError, TypeError) as error:
        raise PeerError(f"malformed datagram: {type(error).__name__}") from error
