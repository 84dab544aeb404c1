"""The platform's list of hosts, which lags."""

import msgspec

from ..exceptions import PlatformError
from .http import Timeouts
from .http import request_json
from .http import unusable_reply

ENTRY = "entry"
ENGINE = "engine"
SERVICE = "service"
LIVE = "live"
LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True):
    """A host as the platform lists it.

    ``address``: ``ip:port``, of an entry host that of its HTTP port;
    ``peer_address``: an entry host's UDP port; ``service``: the name of a
    plain service.
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
        """Tell whether the host gets no new work."""
        return self.state == LEAVING


class _Hosts(msgspec.Struct):
    hosts: list[HostEntry]


def decode_hosts(raw: bytes) -> list[HostEntry]:
    """Decode the list.

    :raises PlatformError: if it is not one.
    """
    try:
        return msgspec.json.decode(raw, type=_Hosts).hosts
    except msgspec.MsgspecError as error:
        raise PlatformError(f"malformed host list: {error}") from error


def read_hosts(
    url: str,
    timeouts: Timeouts = Timeouts(),  # noqa: B008 - immutable
) -> list[HostEntry]:
    """Return all hosts of the list.

    :raises PlatformUnavailableError: if it can't be read.
    """
    place = url.rstrip("/") + "/v1/hosts"
    reply = request_json("GET", place, timeouts=timeouts)
    try:
        return msgspec.convert(reply.body, _Hosts).hosts
    except msgspec.ValidationError as error:
        raise unusable_reply("GET", place) from error
