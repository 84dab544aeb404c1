"""Rows that a host passes on to one that can't reach the store."""

import msgspec

from ..exceptions import PeerError
from .store import StoreRow


class RelayedTable(msgspec.Struct):
    """All rows of a table at a version; values as the store holds them."""

    version: int
    rows: list[tuple[str, bytes, int]]


_DECODER = msgspec.json.Decoder(RelayedTable)


def encode_table(version: int, rows: list[StoreRow]) -> bytes:
    """Return the bytes of a table."""
    entries = [(row.key, row.value or b"", row.version) for row in rows]
    return msgspec.json.encode(RelayedTable(version, entries))


def decode_table(table: str, body: bytes) -> tuple[int, tuple[StoreRow, ...]]:
    """Return the version and the rows of a table.

    :raises PeerError: if the bytes can't be read.
    """
    try:
        relayed = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PeerError(f"unreadable table {table}: {error}") from error
    rows = tuple(StoreRow(table, *entry) for entry in relayed.rows)
    return relayed.version, rows
