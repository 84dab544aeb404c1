"""The state of a peer host, as seen by this host."""

import dataclasses
import typing as t
import zlib

from .hosts import Host
from .hosts import HostState


@dataclasses.dataclass(slots=True)
class Peer:
    """The state of another host.

    ``has_sent_heartbeat``: a heartbeat has arrived directly from it;
    ``silent_since``: time of the last one, or of the addition of the host, moved
    forward by pauses of this process; ``is_listed``: the host list names it;
    ``view``: checksum of its view, from its last heartbeat; ``view_hosts``: its
    view as last received.
    """

    host: Host
    state: HostState = HostState.JOINING
    seq: int = 0
    lists_version: int = 0
    known_lists_version: int = 0
    is_store_unreachable: bool = False
    silent_since: float = 0.0
    has_sent_heartbeat: bool = False
    is_listed: bool = False
    view: int = 0
    view_requested_at: float = float("-inf")
    view_hosts: tuple[Host, ...] = ()


def view_checksum(hosts: t.Iterable[Host]) -> int:
    """Return the checksum of a view; 0 for an empty one."""
    checksum = 0
    for host in sorted(hosts, key=lambda host: host.name):
        text = "\0".join((host.name, str(host.incarnation), *host.models, ""))
        checksum = zlib.crc32(text.encode(), checksum)
    return checksum
