"""Bytes of the requests' bodies that a process with threads holds."""

from __future__ import annotations

from threading import Lock

from poplarrelay.exception import MemoryFull

__all__ = ["BODIES", "BodyBudget"]

#: Most bytes of bodies that are held at the same time.
MAX_HELD_BYTES = 32_000_000


class BodyBudget:
    """Counts the bytes of bodies of all requests in progress.

    Parameters
    ----------
    max_bytes : int
        Largest number of bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held = 0
        self._lock = Lock()

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held."""
        return self._held

    def hold(self, size: int) -> None:
        """Count some more bytes.

        Raises
        ------
        MemoryFull
            If they exceed the largest number; nothing is counted then.
        """
        with self._lock:
            if self._held + size > self._max_bytes:
                raise MemoryFull("bodies of other requests fill the memory")
            self._held += size

    def free(self, size: int) -> None:
        """Free bytes that were counted."""
        with self._lock:
            self._held -= size


#: Budget of the process.
BODIES = BodyBudget(MAX_HELD_BYTES)
