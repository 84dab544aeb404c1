"""A listening socket that lets no new connection begin."""

import ctypes
import socket
import struct

# Linux's number, which Python does not name.
SO_ATTACH_FILTER = 26

# Classic BPF over the TCP header: drop a SYN without ACK, take all else.
_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x06
_FLAGS_OFFSET = 13
_SYN = 0x02
_ACK = 0x10
_WHOLE_PACKET = 0xFFFFFFFF
_DROP_SYN = (
    (_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
    (_AND, 0, 0, _SYN | _ACK),
    (_JUMP_IF_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _WHOLE_PACKET),
)


def stop_new_connections(listener: socket.socket) -> bool:
    """Drop requests to connect, and keep connections that have begun.

    A caller that is dropped tries again within a second or so, and finds the
    port closed by then. Without this, a connection that is made between the
    last accept and the close would be reset.

    :returns: whether the system can do it.
    """
    code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
