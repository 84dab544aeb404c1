"""Blocks new TCP connections on a listening socket with a packet filter."""

import ctypes
import socket
import struct

# From Linux's asm/socket.h; the socket module has no constant for it.
SO_ATTACH_FILTER = 26

# Classic BPF over the TCP header: drop a SYN without ACK, accept all else.
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
    """Drop new connection requests; connections already begun are not affected.

    The caller's kernel retransmits a dropped SYN after about a second and finds
    the port closed by then. Without this filter, a connection that is established
    between the last accept and the close would be reset.

    :returns: whether the system supports it.
    """
    code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
