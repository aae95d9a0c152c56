"""Options of the sockets that the entry node opens and accepts."""

from __future__ import annotations

import socket

__all__ = ["guard_against_silence"]

#: Milliseconds after which unacknowledged bytes break a connection. Long enough
#: for one retransmission after loss, shorter than the callers' patience of 2 s.
UNACKNOWLEDGED_MS = 1800
#: Seconds of silence before the first keep-alive probe, and between probes.
PROBE_S = 1
#: Probes without a reply that break the connection.
PROBES = 2


def guard_against_silence(sock: socket.socket) -> None:
    """Let the kernel break a connection whose other side has vanished.

    Notes
    -----
    A peer without power, or behind a partition, sends no reset: writes succeed and
    reads wait for ever. Probes find an idle connection dead within three seconds,
    the timeout on unacknowledged bytes a busy one within two.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
