"""Rows that a host relays to hosts that don't read from the store themselves.

Large values are sent deflated to hosts that ask for it.
"""

import typing as t
import urllib.parse
import zlib

import msgspec

from ..exceptions import PeerError
from .store import StoreRow
from .store import StoreVersion

RELAY_PATH = "/tables/"
AFTER = "after"
ENCODING = "encoding"
DEFLATE = "deflate"

DEFLATE_BYTES_MIN = 4096
"""Size from which a value is deflated; smaller ones fit into a few packets."""

DEFLATE_LEVEL = 1
"""The fastest level: lists repeat the same keys, which any level removes."""

VALUE_BYTES_MAX = 16 << 20
"""Largest inflated value, as large as an answer of the store may be."""


class RelayRequest(t.NamedTuple):
    """A request for the changes of a table.

    ``after``: the version from which on changes are wanted, ``None`` for all rows;
    ``accepts_deflate``: whether values may be deflated.
    """

    table: str
    after: int | None
    accepts_deflate: bool


class RelayedTable(msgspec.Struct):
    """Rows of one host's copy of a table; a row without value has been removed.

    ``is_all``: whether these are all rows, or only those changed after the
    requested version; ``as_of``: the store's version up to which all changes are
    included; ``trouble_s``: seconds since the last failed call to the store, if any;
    ``deflated``: keys of the rows whose value is deflated; ``era``: the store's era,
    to which ``as_of`` and the versions of the rows belong.
    """

    as_of: int
    is_all: bool
    rows: list[tuple[str, bytes | None, int]]
    trouble_s: float | None = None
    deflated: list[str] = []
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the store's version up to which all changes are included."""
        return StoreVersion(self.era, self.as_of)

    def store_rows(self, table: str) -> list[StoreRow]:
        """Return the rows in the store's format."""
        rows = []
        for key, value, number in self.rows:
            rows.append(StoreRow(table, key, value, StoreVersion(self.era, number)))
        return rows


class ValueDeflater:
    """Deflates each value once, for all hosts that request it."""

    __slots__ = ("_deflated_by_row",)

    def __init__(self) -> None:
        # By table and key: the row's value and the same deflated.
        self._deflated_by_row: dict[tuple[str, str], tuple[bytes, bytes]] = {}

    def deflate(self, row: StoreRow) -> bytes | None:
        """Return a row's value deflated, ``None`` if it is sent as it is."""
        name = row.table, row.key
        if row.value is None or len(row.value) < DEFLATE_BYTES_MIN:
            self._deflated_by_row.pop(name, None)
            return None
        known = self._deflated_by_row.get(name)
        if known is None or known[0] != row.value:
            known = row.value, zlib.compress(row.value, DEFLATE_LEVEL)
            self._deflated_by_row[name] = known
        return known[1]


_DECODER = msgspec.json.Decoder(RelayedTable)


def encode_request(table: str, after: int, *, accepts_deflate: bool) -> str:
    """Return the target of a request for changes after a version."""
    query: dict[str, object] = {AFTER: after}
    if accepts_deflate:
        # Hosts that don't know the encoding take the whole query for ``after``, which
        # is then no number, and answer with all rows as they are.
        query[ENCODING] = DEFLATE
    return f"{RELAY_PATH}{table}?{urllib.parse.urlencode(query)}"


def decode_request(target: str) -> RelayRequest:
    """Return the request that a target names."""
    path, _, query = target.partition("?")
    values = dict(urllib.parse.parse_qsl(query))
    after = values.get(AFTER, "")
    return RelayRequest(
        path.removeprefix(RELAY_PATH),
        int(after) if after.isdecimal() else None,
        values.get(ENCODING) == DEFLATE,
    )


def encode_relayed(
    rows: list[StoreRow],
    as_of: StoreVersion,
    trouble_s: float | None,
    *,
    is_all: bool,
    deflater: ValueDeflater | None = None,
) -> bytes:
    """Return the body that relays rows to a peer.

    :param deflater: deflates large values, if the peer accepts that.
    """
    entries = []
    deflated_keys = []
    for row in rows:
        value = row.value
        deflated = None if deflater is None else deflater.deflate(row)
        if deflated is not None:
            value = deflated
            deflated_keys.append(row.key)
        entries.append((row.key, value, row.version.number))
    table = RelayedTable(
        as_of.number, is_all, entries, trouble_s, deflated_keys, as_of.era
    )
    return msgspec.json.encode(table)


def decode_relayed(table: str, body: bytes) -> RelayedTable:
    """Return the rows of a table that a peer relayed.

    :raises PeerError: if the body can't be decoded.
    """
    try:
        relay = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise PeerError(f"unreadable table {table}: {error}") from error
    deflated = frozenset(relay.deflated)
    for index, (key, value, version) in enumerate(relay.rows):
        if key in deflated and value is not None:
            relay.rows[index] = (key, _inflate(table, value), version)
    return relay


def _inflate(table: str, value: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(value, VALUE_BYTES_MAX)
    except zlib.error as error:
        raise PeerError(f"unreadable table {table}: {error}") from error
    if not decompressor.eof:
        raise PeerError(f"unreadable table {table}: a value is cut or too long")
    return inflated
