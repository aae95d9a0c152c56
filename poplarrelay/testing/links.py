"""A link between two processes that a test can cut."""

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
#: Seconds for which a delayed link holds each part of what passes.
DELAY_S = 0.3
#: Makes a socket reset its connection when it is closed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """What passes a link.

    WHOLE
        Everything.
    CUT
        Nothing: connections are refused, open ones are closed.
    ONE_WAY
        Calls pass and answers do not, so that the caller sees a timeout although
        the call took effect.
    SILENT
        Nothing: connections open and stay open, and what they carry is lost.
    DELAYED
        Everything, late.
    """

    WHOLE = "whole"
    CUT = "cut"
    ONE_WAY = "one-way"
    SILENT = "silent"
    DELAYED = "delayed"


class Link:
    """Passes TCP connections on to a target.

    Parameters
    ----------
    host : str
        IP number to listen on.
    target : str
        ``host:port`` to pass on to.
    """

    def __init__(self, host: str, target: str) -> None:
        self._target = target
        self._listener = socket.create_server((host, 0))
        self._state = LinkState.WHOLE
        self._resets = 0
        self._stopping = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return ``host:port`` of the link."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def set(self, state: LinkState) -> None:
        """Change what passes, also on open connections."""
        self._state = state

    def reset(self) -> None:
        """Reset the connections that are open now."""
        self._resets += 1

    def stop(self) -> None:
        """Close the link."""
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
                target=self._pass_on, args=(connection,), daemon=True
            ).start()

    def _pass_on(self, caller: socket.socket) -> None:
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
                    for end in (caller, target):
                        end.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                        )
                    return
                for key, _ in selector.select(_POLL_S):
                    source = key.fileobj
                    assert isinstance(source, socket.socket)
                    content = source.recv(_READ_BYTES)
                    if not content:
                        return
                    if not self._loses(answer=source is target):
                        key.data.sendall(content)

    def _loses(self, answer: bool) -> bool:
        """Return whether what has just been read is lost, after holding it."""
        if self._state is LinkState.DELAYED:
            time.sleep(DELAY_S)
        if self._state is LinkState.SILENT:
            return True
        return answer and self._state is LinkState.ONE_WAY
