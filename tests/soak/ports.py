"""Ports of a soak's processes, each reserved until the soak exits."""

import pathlib
import socket

IP = "127.0.0.1"
FIRST_PORT = 12_000
EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")

_placeholders: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that is free for TCP and UDP, and reserve it.

    It lies below the ports of outgoing connections, and a bound socket keeps it from
    other soaks while the process that uses it is down.
    """
    end = int(EPHEMERAL_RANGE.read_text(encoding="ascii").split()[0])
    for port in range(FIRST_PORT, end):
        placeholder = _bind_placeholder(port)
        if placeholder is None:
            continue
        _placeholders.append(placeholder)
        return port
    raise OSError(f"no free port from {FIRST_PORT} to {end}")


def _bind_placeholder(port: int) -> socket.socket | None:
    placeholder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            placeholder.bind((IP, port))
            datagrams.bind((IP, port))
        except OSError:
            placeholder.close()
            return None
    # Set only now: another placeholder can't be bound, a listener with it can.
    placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return placeholder
