"""TCP proxy between two processes, with which tests simulate network faults."""

from __future__ import annotations

import contextlib
import selectors
import socket
import struct
import threading
import time
from collections.abc import Iterable
from enum import Enum

from poplarrelay.testing.packet_filters import accept_packets, drop_packets

__all__ = ["Link", "LinkState", "PathFault"]

_READ_BYTES = 65_536
_POLL_S = 0.05
#: Seconds by which a delayed link holds back each chunk that it has read.
DELAY_S = 0.3
#: Value of SO_LINGER with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """How a link treats connections and their data.

    INTACT
        The link forwards all data.
    CUT
        The link closes new and open connections.
    ONE_WAY
        The link forwards requests and drops responses. The caller sees a timeout
        although its request took effect.
    SILENT
        The link accepts connections, keeps them open and drops all data.
    DELAYED
        The link forwards all data after a delay.
    """

    INTACT = "whole"
    CUT = "cut"
    ONE_WAY = "one-way"
    SILENT = "silent"
    DELAYED = "delayed"


class PathFault(Enum):
    """How the path from one host to a link's target is disturbed.

    NONE
        The path is intact.
    SILENT
        All packets are dropped: open connections hang, and new ones are not
        established. TCP sends the data again after the fault.
    NEW_SILENT
        New connections are not established; open ones work.
    ONE_WAY
        Requests on open connections arrive, and their responses are held back until
        the fault ends. New connections are not established.
    RESET
        Open connections are reset, and new ones as soon as they are established.
    """

    NONE = "none"
    SILENT = "silent"
    NEW_SILENT = "new silent"
    ONE_WAY = "one way"
    RESET = "reset"


#: Faults under which a host's new connections are not established.
_UNESTABLISHED = (PathFault.SILENT, PathFault.NEW_SILENT, PathFault.ONE_WAY)


class Link:
    """TCP proxy that forwards connections to a target.

    Parameters
    ----------
    host : str
        IP address to listen on.
    target : str
        ``host:port`` to connect to.
    """

    def __init__(self, host: str, target: str) -> None:
        self._target = target
        self._listener = socket.create_server((host, 0))
        self._state = LinkState.INTACT
        self._resets = 0
        self._stopping = False
        self._faults: dict[str, PathFault] = {}
        self._callers: dict[socket.socket, str] = {}
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the link listens on."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def set_state(self, state: LinkState) -> None:
        """Change the state; it also applies to open connections."""
        self._state = state

    def set_path(self, hosts: Iterable[str], fault: PathFault) -> None:
        """Disturb the paths of some hosts to the target, or end their disturbance."""
        with self._lock:
            for host in hosts:
                self._faults[host] = fault
            dropped = [h for h, f in self._faults.items() if f in _UNESTABLISHED]
            drop_packets(self._listener, dropped)
            for caller, host in self._callers.items():
                self._filter(caller, host)

    def _fault(self, host: str) -> PathFault:
        return self._faults.get(host, PathFault.NONE)

    def _filter(self, caller: socket.socket, host: str) -> None:
        if self._fault(host) is PathFault.SILENT:
            drop_packets(caller)
        else:
            accept_packets(caller)

    def reset(self) -> None:
        """Reset all connections that are open now."""
        self._resets += 1

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        self._stopping = True
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopping:
            try:
                connection, (host, _) = self._listener.accept()
            except OSError:
                return
            if self._state is LinkState.CUT:
                connection.close()
                continue
            if self._fault(host) is PathFault.RESET:
                _reset_on_close(connection)
                connection.close()
                continue
            with self._lock:
                self._callers[connection] = host
                self._filter(connection, host)
            threading.Thread(
                target=self._forward, args=(connection, host), daemon=True
            ).start()

    def _forward(self, caller: socket.socket, host: str) -> None:
        try:
            self._connect_and_copy(caller, host)
        finally:
            with self._lock:
                del self._callers[caller]
                caller.close()

    def _connect_and_copy(self, caller: socket.socket, source_host: str) -> None:
        host, port = self._target.split(":")
        try:
            target = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            return
        with contextlib.suppress(OSError), target:
            self._copy(caller, target, source_host)

    def _copy(
        self, caller: socket.socket, target: socket.socket, source_host: str
    ) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(caller, selectors.EVENT_READ, target)
            selector.register(target, selectors.EVENT_READ, caller)
            resets = self._resets
            while not self._stopping and self._state is not LinkState.CUT:
                fault = self._fault(source_host)
                if self._resets != resets or fault is PathFault.RESET:
                    for connection in (caller, target):
                        _reset_on_close(connection)
                    return
                for key, _ in selector.select(_POLL_S):
                    source = key.fileobj
                    assert isinstance(source, socket.socket)
                    response = source is target
                    if response and fault is PathFault.ONE_WAY:
                        # TCP loses no bytes in the middle of a stream.
                        time.sleep(_POLL_S)
                        continue
                    try:
                        content = source.recv(_READ_BYTES)
                    except ConnectionResetError:
                        # The end of a connection can be the end of an answer.
                        _reset_on_close(key.data)
                        raise
                    if not content:
                        return
                    if not self._delay_or_drop(response):
                        key.data.sendall(content)

    def _delay_or_drop(self, response: bool) -> bool:
        """Wait if the link is delayed, and return whether to drop the data read."""
        if self._state is LinkState.DELAYED:
            time.sleep(DELAY_S)
        if self._state is LinkState.SILENT:
            return True
        return response and self._state is LinkState.ONE_WAY


def _reset_on_close(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
