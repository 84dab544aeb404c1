"""Decodes the rows in which upstreams register themselves."""

import msgspec

from ..core.replicas import Replica
from ..exceptions import UpstreamError

TABLE = "servers"

_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    # The layer after the last one.
    target: int


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Unix milliseconds of the upstream's start.
    born: int
    kind: str = ""
    layers: _Layers | None = None


_DECODER = msgspec.json.Decoder(_Server)


def decode_replica(name: str, value: bytes) -> Replica:
    """Decode the upstream that a row registers.

    :raises UpstreamError: if the row is malformed or its state is unknown.
    """
    try:
        server = _DECODER.decode(value)
        leaving = _LEAVING_BY_STATE[server.state]
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UpstreamError(
            f"invalid upstream row: {error}", where=f"{TABLE}/{name}"
        ) from error
    except KeyError as error:
        raise UpstreamError(
            f"unknown upstream state {error}", where=f"{TABLE}/{name}"
        ) from error
    host, _, port = server.address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise UpstreamError(
            f"expected host:port as address, got {server.address!r}",
            where=f"{TABLE}/{name}",
        )
    layers = server.layers
    return Replica(
        name=name,
        service=server.service,
        address=server.address,
        data_centre=server.zone,
        slots=server.slots,
        is_leaving=leaving,
        incarnation=server.born,
        accelerator=server.kind,
        layers=(layers.first, layers.target) if layers is not None else None,
    )
