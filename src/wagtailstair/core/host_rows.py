"""Rows of the store with which entry hosts discover each other."""

import msgspec

from ..exceptions import PlatformError
from .hosts import Host
from .store import StoreRow

TABLE = "hosts"


class _HostRow(msgspec.Struct):
    data_centre: str
    address: str
    peer_address: str
    incarnation: int


_DECODER = msgspec.json.Decoder(_HostRow)


def encode_host(host: Host) -> bytes:
    """Return the value of a host's row."""
    row = _HostRow(host.data_centre, host.address, host.peer_address, host.incarnation)
    return msgspec.json.encode(row)


def decode_host(row: StoreRow) -> Host:
    """Return the host that a row describes.

    :raises PlatformError: if the value of the row is not valid.
    """
    try:
        value = _DECODER.decode(row.value or b"")
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        where = f"{TABLE}/{row.key}"
        raise PlatformError(f"unreadable: {error}", where=where) from error
    return Host(
        row.key,
        value.data_centre,
        value.address,
        value.peer_address,
        value.incarnation,
    )
