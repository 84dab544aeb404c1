"""Rows that hosts pass on to hosts that don't follow the store themselves."""

import msgspec

from ..exceptions import PeerError
from .store import StoreRow


class RelayedTable(msgspec.Struct):
    """Rows of a table as one host knows it; no value means a removed row.

    ``is_all``: all rows, else those changed after the version asked for;
    ``as_of``: all changes up to this version of the store are in;
    ``trouble_s``: seconds since a call to the store failed, if one did.
    """

    as_of: int
    is_all: bool
    rows: list[tuple[str, bytes | None, int]]
    trouble_s: float | None = None

    def store_rows(self, table: str) -> list[StoreRow]:
        """Return the rows as the store would tell of them."""
        return [StoreRow(table, *row) for row in self.rows]


_DECODER = msgspec.json.Decoder(RelayedTable)


def encode_relayed(
    rows: list[StoreRow], as_of: int, trouble_s: float | None, *, is_all: bool
) -> bytes:
    """Return the bytes that tell a peer of rows."""
    entries = [(row.key, row.value, row.version) for row in rows]
    return msgspec.json.encode(RelayedTable(as_of, is_all, entries, trouble_s))


def decode_relayed(table: str, body: bytes) -> RelayedTable:
    """Return what a peer tells of a table.

    :raises PeerError: if the bytes can't be read.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PeerError(f"unreadable table {table}: {error}") from error
