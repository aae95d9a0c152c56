"""Socket filters that drop packets, to simulate hosts that do not answer.

Notes
-----
The kernel applies the filter before TCP processes a packet, so nothing is acknowledged.
Timeouts, keep-alive probes and retransmissions then act as in a network partition. A
filter needs no privileges and concerns one socket; accepted sockets inherit the filter
of their listener. See ``SO_ATTACH_FILTER`` in socket(7).
"""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
from collections.abc import Collection

__all__ = ["accept_packets", "drop_packets"]

_SO_ATTACH_FILTER, _SO_DETACH_FILTER = 26, 27
#: Opcodes of the classic BPF machine: load a word, jump if equal, return.
_LOAD, _JUMP_EQUAL, _RETURN = 0x20, 0x15, 0x06
#: Offset of the source address, relative to the start of the IP header.
_SOURCE_ADDRESS = 0xFFF00000 + 12
_ACCEPT, _DROP = 0xFFFFFFFF, 0


def drop_packets(sock: socket.socket, sources: Collection[str] | None = None) -> None:
    """Drop the packets that a socket receives.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket over IPv4.
    sources : collection of str or None
        IP addresses whose packets are dropped; None for all.
    """
    program = [(_RETURN, 0, 0, _DROP)]
    if sources is not None:
        program = [(_LOAD, 0, 0, _SOURCE_ADDRESS)]
        for left, source in zip(range(len(sources), 0, -1), sources, strict=True):
            (address,) = struct.unpack("!I", socket.inet_aton(source))
            program.append((_JUMP_EQUAL, left, 0, address))
        program += [(_RETURN, 0, 0, _ACCEPT), (_RETURN, 0, 0, _DROP)]
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in program)
    buffer = ctypes.create_string_buffer(code)
    option = struct.pack("HL", len(program), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)


def accept_packets(sock: socket.socket) -> None:
    """Remove a socket's filter, if it has one."""
    with contextlib.suppress(FileNotFoundError):
        sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
