"""Socket options for the entry node's connections."""

from __future__ import annotations

import socket

__all__ = [
    "BUSY_SILENCE_MS",
    "IDLE_SILENCE_MS",
    "allow_silence",
    "enable_dead_peer_detection",
]

#: Milliseconds of silence after which a connection breaks. Long enough for one
#: retransmission after loss, shorter than the callers' timeout of 2 s.
IDLE_SILENCE_MS = 1800
#: The same for a connection to an endpoint with a request in progress. A sound endpoint
#: can be silent for two seconds, and a probe or a retransmission after that must still
#: find it.
BUSY_SILENCE_MS = 3500
#: Seconds of silence before the first keep-alive probe, and between probes.
PROBE_S = 1


def enable_dead_peer_detection(
    sock: socket.socket, silence_ms: int = IDLE_SILENCE_MS
) -> None:
    """Let the kernel break a connection whose peer has become unreachable.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    silence_ms : int
        Milliseconds of silence after which the connection breaks.

    Notes
    -----
    A peer that is without power or partitioned sends no reset: writes succeed, and
    reads wait forever. Once ``TCP_USER_TIMEOUT`` is set, Linux ignores the number of
    unanswered keep-alive probes. It breaks an idle connection at the first probe that
    is due after the timeout, and a connection with unacknowledged bytes at the first
    retransmission that is due then. See tcp(7).
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
    allow_silence(sock, silence_ms)


def allow_silence(sock: socket.socket, silence_ms: int) -> None:
    """Set the milliseconds of silence after which the kernel breaks a connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
