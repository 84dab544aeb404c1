"""Rows that a host relays to hosts that don't read from the store themselves."""

import msgspec

from ..exceptions import PeerError
from .store import StoreRow


class RelayedTable(msgspec.Struct):
    """Rows of one host's copy of a table; a row without value has been removed.

    ``is_all``: whether these are all rows, or only those changed after the
    requested version; ``as_of``: the store's version up to which all changes are
    included; ``trouble_s``: seconds since the last failed call to the store, if any.
    """

    as_of: int
    is_all: bool
    rows: list[tuple[str, bytes | None, int]]
    trouble_s: float | None = None

    def store_rows(self, table: str) -> list[StoreRow]:
        """Return the rows in the store's format."""
        return [StoreRow(table, *row) for row in self.rows]


_DECODER = msgspec.json.Decoder(RelayedTable)


def encode_relayed(
    rows: list[StoreRow], as_of: int, trouble_s: float | None, *, is_all: bool
) -> bytes:
    """Return the body that relays rows to a peer."""
    entries = [(row.key, row.value, row.version) for row in rows]
    return msgspec.json.encode(RelayedTable(as_of, is_all, entries, trouble_s))


def decode_relayed(table: str, body: bytes) -> RelayedTable:
    """Return the rows of a table that a peer relayed.

    :raises PeerError: if the body can't be decoded.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PeerError(f"unreadable table {table}: {error}") from error
