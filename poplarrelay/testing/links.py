"""TCP proxy between two processes, with which tests simulate network faults."""

from __future__ import annotations

import contextlib
import selectors
import socket
import struct
import threading
import time
from enum import Enum

__all__ = ["Link", "LinkState"]

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
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the link listens on."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def set_state(self, state: LinkState) -> None:
        """Change the state; it also applies to open connections."""
        self._state = state

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
                connection, _ = self._listener.accept()
            except OSError:
                return
            if self._state is LinkState.CUT:
                connection.close()
                continue
            threading.Thread(
                target=self._forward, args=(connection,), daemon=True
            ).start()

    def _forward(self, caller: socket.socket) -> None:
        host, port = self._target.split(":")
        try:
            target = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            caller.close()
            return
        with contextlib.suppress(OSError), caller, target:
            self._copy(caller, target)

    def _copy(self, caller: socket.socket, target: socket.socket) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(caller, selectors.EVENT_READ, target)
            selector.register(target, selectors.EVENT_READ, caller)
            resets = self._resets
            while not self._stopping and self._state is not LinkState.CUT:
                if self._resets != resets:
                    for connection in (caller, target):
                        connection.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                        )
                    return
                for key, _ in selector.select(_POLL_S):
                    source = key.fileobj
                    assert isinstance(source, socket.socket)
                    content = source.recv(_READ_BYTES)
                    if not content:
                        return
                    if not self._delay_or_drop(response=source is target):
                        key.data.sendall(content)

    def _delay_or_drop(self, response: bool) -> bool:
        """Wait if the link is delayed, and return whether to drop the data read."""
        if self._state is LinkState.DELAYED:
            time.sleep(DELAY_S)
        if self._state is LinkState.SILENT:
            return True
        return response and self._state is LinkState.ONE_WAY
