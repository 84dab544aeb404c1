"""The platform's host list, which lags behind the real state of the hosts."""

import msgspec

from ..exceptions import PlatformError
from .http import Timeouts
from .http import make_reply_error
from .http import request_json

ENTRY = "entry"
ENGINE = "engine"
SERVICE = "service"
LIVE = "live"
LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's host list.

    ``address``: ``ip:port``, with the HTTP port for an entry host;
    ``peer_address``: ``ip:port`` with the UDP port of an entry host;
    ``service``: the name of a plain service.
    """

    name: str
    kind: str
    data_centre: str
    address: str
    incarnation: str
    state: str
    peer_address: str = ""
    service: str = ""

    @property
    def is_leaving(self) -> bool:
        """Whether the host is shutting down and gets no new requests."""
        return self.state == LEAVING


class _Hosts(msgspec.Struct):
    hosts: list[HostEntry]


def decode_hosts(raw: bytes) -> list[HostEntry]:
    """Decode a host list.

    :raises PlatformError: if the data is malformed.
    """
    try:
        return msgspec.json.decode(raw, type=_Hosts).hosts
    except msgspec.MsgspecError as error:
        raise PlatformError(f"malformed host list: {error}") from error


def read_hosts(
    url: str,
    timeouts: Timeouts = Timeouts(),  # noqa: B008 - immutable
) -> list[HostEntry]:
    """Read the host list from the platform.

    :raises PlatformUnavailableError: if the list can't be read.
    """
    endpoint = url.rstrip("/") + "/v1/hosts"
    reply = request_json("GET", endpoint, timeouts=timeouts)
    try:
        return msgspec.convert(reply.body, _Hosts).hosts
    except msgspec.ValidationError as error:
        raise make_reply_error("GET", endpoint) from error
