"""What one host knows of another one."""

import dataclasses
import typing as t
import zlib

from .hosts import Host
from .hosts import HostState


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of one other host.

    ``has_sent_heartbeat``: heartbeats came from it directly; ``listed``: the host list or
    the settings name it.
    """

    host: Host
    state: HostState = HostState.JOINING
    seq: int = 0
    lists_version: int = 0
    known_lists_version: int = 0
    is_store_unreachable: bool = False
    heard_at: float = 0.0
    has_sent_heartbeat: bool = False
    listed: bool = False
    view: int = 0
    view_asked_at: float = float("-inf")
    view_hosts: tuple[Host, ...] = ()


def view_checksum(hosts: t.Iterable[Host]) -> int:
    """Return the checksum of a view; 0 for an empty one."""
    checksum = 0
    for host in sorted(hosts, key=lambda host: host.name):
        text = "\0".join((host.name, str(host.incarnation), *host.models, ""))
        checksum = zlib.crc32(text.encode(), checksum)
    return checksum
