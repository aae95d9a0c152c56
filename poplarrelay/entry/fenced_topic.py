"""Appends of a duty's holder to a topic, which a replaced holder cannot make."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from poplarrelay.platform.store import Producer, Store

__all__ = ["FencedTopic"]


class FencedTopic:
    """Topic to which only the holder of a duty appends.

    Parameters
    ----------
    store : Store
        The platform's store.
    topic : str
        Topic whose partition 0 is written.
    producer : str
        Name of the role, shared by all nodes that hold the duty one after another.

    Notes
    -----
    The store can execute an append, immediately or later, even if its response is
    lost. Until an append is answered, this node must repeat the same records with the
    same sequence number. If it sent other records instead, the store would keep the
    first ones and repeat its first response.
    """

    def __init__(self, store: Store, topic: str, producer: str) -> None:
        self._store = store
        self._topic = topic
        self._producer = producer
        self._token = -1
        self._sequence = 0
        self._pending: list[bytes] = []
        self._on_written: Callable[[], None] = lambda: None

    async def prepare(self, token: int) -> None:
        """Begin a term with a fencing token: refuse the appends of earlier holders.

        Notes
        -----
        The empty append raises the epoch above those of all earlier holders, so no
        other node can append during the term. A pending append of an earlier term of
        this node is dropped.
        """
        if self._token == token:
            return
        self._pending = []
        self._sequence = 0
        producer = Producer(self._producer, token, 0)
        await self._store.append(self._topic, 0, [], producer)
        self._sequence = 1
        self._token = token

    async def append(
        self, records: Sequence[bytes], on_written: Callable[[], None]
    ) -> None:
        """Append records after those of an unanswered append, if there are any.

        Parameters
        ----------
        records : sequence of bytes
            Records of this append.
        on_written : callable
            Called once the store has acknowledged the records.

        Raises
        ------
        AppendRefused
            If another node holds the duty.
        PlatformUnavailable
            If the store does not answer; the append is repeated first next time.
        """
        await self.flush()
        self._pending = list(records)
        self._on_written = on_written
        await self.flush()

    async def flush(self) -> None:
        """Repeat an unanswered append, if there is one."""
        if not self._pending:
            return
        producer = Producer(self._producer, self._token, self._sequence)
        await self._store.append(self._topic, 0, self._pending, producer)
        self._sequence += 1
        self._pending = []
        self._on_written()
