"""Entry hosts, what they tell of themselves, and changes among them."""

import dataclasses
import enum


class HostState(enum.IntEnum):
    """The states of a host."""

    JOINING = 0
    LIVE = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """A host's name, place and addresses.

    ``incarnation``: grows with each start under the same name; 0 if not known.
    ``address``: ``ip:port`` of HTTP; ``peer_address``: ``ip:port`` of UDP;
    ``models``: what the engines of its data centre serve, as told to hosts of
    other data centres.
    """

    name: str
    data_centre: str
    address: str
    peer_address: str
    incarnation: int = 0
    models: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A sign of life.

    ``view``: the checksum of the sender's remote view; ``lists_version``: what
    the sender has; ``known_lists_version``: the highest version that it has heard of;
    ``upstreams_version``: of the newest change of upstreams that the sender knows;
    ``is_store_unreachable``: the sender's last call to the store failed.
    """

    host: Host
    seq: int
    state: HostState
    lists_version: int
    view: int = 0
    known_lists_version: int = 0
    upstreams_version: int = 0
    is_store_unreachable: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ViewRequest:
    """Ask a peer for its view."""


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """The remote hosts that the sender hears itself."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class PeerLive:
    """A host has become live."""

    host: Host


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDead:
    """A host has not been heard for its timeout."""

    host: Host


@dataclasses.dataclass(slots=True, frozen=True)
class PeerLeaving:
    """A host takes nothing new and will end."""

    host: Host


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReplaced:
    """A host has started again under its name; what the old one held is lost."""

    host: Host
    old: Host


@dataclasses.dataclass(slots=True, frozen=True)
class SelfPaused:
    """The own process stood still for ``gap_s``; others' silence proves nothing."""

    gap_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class NameClash:
    """Another process uses this host's name."""

    host: Host


Event = PeerLive | PeerDead | PeerLeaving | PeerReplaced | SelfPaused | NameClash
