"""Where nodes find each other when the seeds of their settings are of no use."""

from __future__ import annotations

import asyncio
import logging
from time import monotonic

import orjson

from poplarrelay.entry.state import EntryState
from poplarrelay.exception import PlatformUnavailable
from poplarrelay.identifiers import NodeId
from poplarrelay.platform.store import KeyedRecord, Store, keyed_topic

__all__ = ["HostDirectory"]

_LOG = logging.getLogger("poplarrelay.entry.directory")

#: Topic with one record for each node: its host.
TOPIC = keyed_topic("entry-hosts")
#: Seconds between looks while this node hears few of the others, as when it has just
#: started or is cut off.
MISSING_S = 4.0
#: Part of the listed nodes that counts as few. Some of them have been taken away for
#: good: with every one of them missed, all nodes read the list every four seconds.
FEW_SHARE = 0.5
#: Seconds between looks otherwise, and for each node besides, so that all nodes
#: together read at most four lists a second.
COMPLETE_S = 60.0
COMPLETE_EACH_S = 0.25


class HostDirectory:
    """The hosts that nodes have written to the platform's store.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    store : Store
        The platform's store.

    Notes
    -----
    Seeds may be stale, down, or on the other side of a cut: nodes that know only
    those could end in groups that never hear of each other. One record a start and
    one read in `COMPLETE_S` prevent that.
    """

    def __init__(self, state: EntryState, store: Store) -> None:
        self._state = state
        self._store = store
        self._written = False
        self.hosts: dict[NodeId, str] = {}

    async def run(self) -> None:
        """Write this node's host, and read the others' again and again."""
        looks = 0
        while True:
            try:
                await self._refresh()
            except PlatformUnavailable as error:
                _LOG.debug("directory unreachable", extra={"why": str(error)})
                await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(self._wait_s(looks))
            looks += 1

    def _wait_s(self, looks: int) -> float:
        """Return the time until the next look.

        Notes
        -----
        The second comes soon in any case: where all nodes start at once, the first
        finds those that were faster.
        """
        heard = len(self._state.peers.alive(monotonic()))
        if looks == 0 or heard < FEW_SHARE * len(self.hosts):
            return MISSING_S
        return max(COMPLETE_S, COMPLETE_EACH_S * len(self.hosts))

    async def _refresh(self) -> None:
        me = self._state.me
        if not self._written:
            value = orjson.dumps({"host": me.host})
            await self._store.put(TOPIC, me.node, value)
            self._written = True
        records, _ = await self._store.newest(TOPIC)
        hosts = {NodeId(r.key): _host(r) for r in records if r.key != me.node}
        self.hosts = {node: host for node, host in hosts.items() if host is not None}
        self._state.listed = self.hosts.keys()


def _host(record: KeyedRecord) -> str | None:
    """Return the host that a record names, None if it is none of a node's."""
    try:
        host = orjson.loads(record.value or b"")["host"]
    except (ValueError, LookupError, TypeError) as error:
        extra = {"key": record.key, "why": repr(error)}
        _LOG.warning("directory record unreadable", extra=extra)
        return None
    return host if isinstance(host, str) else None
