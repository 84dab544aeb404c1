"""Decodes the rows in which upstreams register themselves."""

import ipaddress
import typing as t

import msgspec

from ..core.replicas import Replica
from ..exceptions import UpstreamError

TABLE = "servers"

PORT_MAX = (1 << 16) - 1
LAYERS_MAX = 4096
"""Largest number of a layer: several times those of the deepest models."""

_LEAVING_BY_STATE = {"ready": False, "draining": True}

_Layer = t.Annotated[int, msgspec.Meta(ge=0, le=LAYERS_MAX)]


class _Layers(msgspec.Struct):
    first: _Layer = msgspec.field(name="from")
    # The layer after the last one.
    target: _Layer


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: t.Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    state: str
    # Unix milliseconds of the upstream's start.
    born: t.Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
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
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UpstreamError(
            f"invalid upstream row: {error}", where=f"{TABLE}/{name}"
        ) from error
    except KeyError as error:
        raise UpstreamError(
            f"unknown upstream state {error}", where=f"{TABLE}/{name}"
        ) from error
    _check_address(server.address, f"{TABLE}/{name}")
    layers = server.layers
    if layers is not None and layers.first > layers.target:
        raise UpstreamError(
            f"layers from {layers.first} to {layers.target}", where=f"{TABLE}/{name}"
        )
    return Replica(
        name=name,
        service=server.service,
        address=server.address,
        data_centre=server.zone,
        slots=server.slots,
        is_leaving=leaving,
        incarnation=server.born,
        accelerator=server.kind,
        layers=_decode_layers(layers),
    )


def _decode_layers(layers: _Layers | None) -> tuple[int, int] | None:
    """Return the range of layers that an engine holds, ``None`` if it holds none."""
    if layers is None or layers.first == layers.target:
        return None
    return layers.first, layers.target


def _check_address(address: str, where: str) -> None:
    """Raise :exc:`UpstreamError` unless an address is an IP address with a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = len(port) <= len(str(PORT_MAX)) and 0 < int(port) <= PORT_MAX
    except ValueError:
        is_valid = False
    if not is_valid or not port.isascii() or not port.isdigit():
        raise UpstreamError(f"expected ip:port, got {address[:64]!r}", where=where)
