"""Where nodes find each other when the seeds of their settings are of no use."""

from __future__ import annotations

import asyncio
import logging

import orjson

from poplarrelay.entry.state import EntryState
from poplarrelay.exception import PlatformUnavailable
from poplarrelay.platform.store import KeyedRecord, Store, keyed_topic

__all__ = ["HostDirectory"]

_LOG = logging.getLogger("poplarrelay.entry.directory")

#: Topic with one record for each node: its host.
TOPIC = keyed_topic("entry-hosts")
#: Seconds between looks while nodes seem to be missing, and otherwise.
MISSING_S = 4.0
COMPLETE_S = 20.0


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
        self.hosts: tuple[str, ...] = ()

    async def run(self) -> None:
        """Write this node's host, and read the others' again and again."""
        while True:
            try:
                await self._refresh()
            except PlatformUnavailable as error:
                _LOG.debug("directory unreachable", extra={"why": str(error)})
                await asyncio.sleep(1.0)
                continue
            known = 1 + len(self._state.peers.seen)
            missing = known < len(self.hosts)
            await asyncio.sleep(MISSING_S if missing else COMPLETE_S)

    async def _refresh(self) -> None:
        me = self._state.me
        if not self._written:
            value = orjson.dumps({"host": me.host})
            await self._store.put(TOPIC, me.node, value)
            self._written = True
        records, _ = await self._store.newest(TOPIC)
        hosts = {_host(r) for r in records if r.key != me.node}
        self.hosts = tuple(sorted(host for host in hosts if host is not None))


def _host(record: KeyedRecord) -> str | None:
    """Return the host that a record names, None if it is none of a node's."""
    try:
        host = orjson.loads(record.value or b"")["host"]
    except (ValueError, LookupError, TypeError) as error:
        extra = {"key": record.key, "why": repr(error)}
        _LOG.warning("directory record unreadable", extra=extra)
        return None
    return host if isinstance(host, str) else None
