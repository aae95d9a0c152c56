"""Socket options for the entry node's connections."""

from __future__ import annotations

import socket

__all__ = ["enable_dead_peer_detection"]

#: Milliseconds after which unacknowledged bytes break a connection. Long enough
#: for one retransmission after loss, shorter than the callers' timeout of 2 s.
UNACKNOWLEDGED_MS = 1800
#: Seconds of silence before the first keep-alive probe, and between probes.
PROBE_S = 1
#: Number of unanswered probes after which the connection breaks.
PROBES = 2


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel break a connection whose peer has become unreachable.

    Notes
    -----
    A peer that is without power or partitioned sends no reset: writes succeed, and
    reads wait forever. Keep-alive probes detect this on an idle connection within
    three seconds. The timeout of unacknowledged bytes detects it on a busy connection
    within two seconds.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
