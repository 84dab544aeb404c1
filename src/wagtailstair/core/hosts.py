"""Entry hosts, the messages that describe them, and membership events."""

import dataclasses
import enum

from .store import NO_VERSION
from .store import StoreVersion


class HostState(enum.IntEnum):
    """The lifecycle states of a host."""

    JOINING = 0
    LIVE = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """A host's name, data centre and addresses.

    ``incarnation``: grows with each start under the same name; 0 if unknown.
    ``address``: ``ip:port`` for HTTP; ``peer_address``: ``ip:port`` for UDP;
    ``models``: the models that the engines of its data centre serve, announced
    to hosts of other data centres.
    """

    name: str
    data_centre: str
    address: str
    peer_address: str
    incarnation: int = 0
    models: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """The periodic message by which a host shows that it is live.

    ``view``: checksum of the sender's view; ``lists_version``: version of the
    lists that the sender holds; ``known_lists_version``: highest version that
    any host has announced to it; ``upstreams_version``: version of the newest
    change of upstreams that it has received; ``is_store_unreachable``: its last
    call to the store failed.
    """

    host: Host
    seq: int
    state: HostState
    lists_version: int
    view: int = 0
    known_lists_version: int = 0
    upstreams_version: StoreVersion = NO_VERSION
    is_store_unreachable: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ViewRequest:
    """A request for the receiver's view."""


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """The live remote hosts that send heartbeats to the sender."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PeerLive:
    """A host has become live."""

    host: Host


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDead:
    """No heartbeat has arrived from a host within its timeout."""

    host: Host


@dataclasses.dataclass(slots=True, frozen=True)
class PeerLeaving:
    """A host accepts no new work and is shutting down."""

    host: Host


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReplaced:
    """A host has restarted under its name; the state of the old one is lost."""

    host: Host
    old: Host


@dataclasses.dataclass(slots=True, frozen=True)
class SelfPaused:
    """A pause of this process for ``gap_s``; peers that seem silent may be live."""

    gap_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class NameClash:
    """Another process uses this host's name."""

    host: Host


Event = PeerLive | PeerDead | PeerLeaving | PeerReplaced | SelfPaused | NameClash
