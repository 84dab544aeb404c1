"""Datagrams: several messages in packed Cap'n Proto under a tag.

Layout: two bytes of magic, one of protocol version, one of flags, the tag (16
bytes of BLAKE2b over all the rest), the body. The tag is keyed with the
peers' secret if there is one. Without one it is a mere checksum, but never
left out: pycapnp can crash on a malformed body, so none may reach it.
"""

import dataclasses
import hashlib
import hmac

from ..core.messages import Message
from ..exceptions import PeerError
from .message_records import read_message
from .message_records import write_message
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
        write_message(entries[index], message)
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
        messages = tuple(read_message(entry, record) for entry in record.messages)
        return Datagram(record.sender, record.incarnation, record.receiver, messages)
    except (DecodeError, ValueError, LookupError, TypeError) as error:
        raise PeerError(f"malformed datagram: {type(error).__name__}") from error
