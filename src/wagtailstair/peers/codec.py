"""Encodes and decodes datagrams: messages in packed Cap'n Proto with a tag.

Layout: two magic bytes, one byte of protocol version, one of flags, the tag (16
bytes of BLAKE2b over everything else), the body. The tag is keyed with the
peers' shared secret if there is one. Without a secret it is only a checksum, but
it is always present and checked: pycapnp can crash on a malformed body, so no
such body may reach it.
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
UNPACKED_WORDS_MAX = 32 << 10  # words of 8 bytes
NESTING_MAX = 8
MESSAGES_MAX = 256


@dataclasses.dataclass(slots=True, frozen=True)
class Datagram:
    """Messages from one incarnation of a host to one of another.

    ``receiver``: the incarnation that they are meant for; 0: any.
    """

    sender: str
    incarnation: int
    receiver: int
    messages: tuple[Message, ...]


def compute_tag(key: bytes, head: bytes, body: bytes) -> bytes:
    """Return the tag for a head and a body under a key."""
    digest = hashlib.blake2b(head, digest_size=TAG_BYTES, key=key)
    digest.update(body)
    return digest.digest()


def encode(datagram: Datagram, key: bytes = b"") -> bytes:
    """Encode a datagram, with a tag under the key."""
    record = SCHEMA.Datagram.new_message()
    record.sender = datagram.sender
    record.incarnation = datagram.incarnation
    record.receiver = datagram.receiver
    entries = record.init("messages", len(datagram.messages))
    for index, message in enumerate(datagram.messages):
        write_message(entries[index], message)
    return add_frame(record.to_bytes_packed(), key)


def add_frame(body: bytes, key: bytes = b"") -> bytes:
    """Return a body with the head and the tag in front."""
    head = MAGIC + bytes((VERSION, FLAG_KEYED if key else 0))
    return head + compute_tag(key, head, body) + body


def remove_frame(data: bytes, key: bytes, limit: int) -> bytes:
    """Check head and tag and return the body behind them.

    :raises PeerError: if one is invalid or the data is longer than the limit.
    """
    if len(data) > limit:
        raise PeerError(f"{len(data)} bytes, expected at most {limit}")
    if len(data) < HEADER_BYTES or data[:2] != MAGIC:
        raise PeerError("expected the magic bytes of the peers protocol")
    if data[2] != VERSION:
        raise PeerError(f"protocol version {data[2]}, expected {VERSION}")
    head = data[:HEADER_BYTES]
    tag = data[HEADER_BYTES : HEADER_BYTES + TAG_BYTES]
    body = data[HEADER_BYTES + TAG_BYTES :]
    if not hmac.compare_digest(tag, compute_tag(key, head, body)):
        raise PeerError("the tag does not match: other key or corrupted data")
    return body


def decode(data: bytes, key: bytes = b"") -> Datagram:
    """Decode a datagram.

    :raises PeerError: if it is malformed, of another protocol or under another key.
    """
    body = remove_frame(data, key, DATAGRAM_BYTES_MAX)
    try:
        record = SCHEMA.Datagram.from_bytes_packed(
            body, traversal_limit_in_words=UNPACKED_WORDS_MAX, nesting_limit=NESTING_MAX
        )
        if len(record.messages) > MESSAGES_MAX:
            raise PeerError(
                f"{len(record.messages)} messages, more than a datagram may hold"
            )
        messages = tuple(read_message(entry, record) for entry in record.messages)
        return Datagram(record.sender, record.incarnation, record.receiver, messages)
    except (DecodeError, ValueError, LookupError, TypeError) as error:
        raise PeerError(f"malformed datagram: {type(error).__name__}") from error
