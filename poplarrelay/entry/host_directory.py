"""Directory of node hosts in the platform's store, used in addition to the seeds."""

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

#: Topic with one record for each node, which holds the node's host.
TOPIC = keyed_topic("entry-hosts")
#: Seconds between reads while few of the listed nodes are known to be alive, for
#: example after a start or during a network partition.
INCOMPLETE_INTERVAL_S = 4.0
#: If fewer than this share of the listed nodes are alive, the list is read every
#: `INCOMPLETE_INTERVAL_S`. The share is below 1 because some listed nodes no longer
#: exist: if all had to be alive, all nodes would read the list every four seconds.
MIN_ALIVE_SHARE = 0.5
#: Seconds between reads otherwise: the larger of the first value and the second value
#: times the number of listed nodes. All nodes together then read at most four lists a
#: second.
COMPLETE_INTERVAL_S = 60.0
INTERVAL_PER_NODE_S = 0.25
#: Seconds over which the nodes spread their reads after a restore of the store.
CHECK_SPREAD_S = 2.0


class HostDirectory:
    """Hosts of all nodes, as recorded in the platform's store.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    store : Store
        The platform's store.

    Notes
    -----
    The seed hosts in the settings can be stale, down, or on the other side of a network
    partition. Nodes that know only seeds could form groups that never discover each
    other. To prevent this, each node writes one record when it starts and reads all
    records about every `COMPLETE_INTERVAL_S` seconds.
    """

    def __init__(self, state: EntryState, store: Store) -> None:
        self._state = state
        self._store = store
        self._host_published = False
        self._check = asyncio.Event()
        self.hosts: dict[NodeId, str] = {}

    def check_soon(self) -> None:
        """Read the records soon, since a restore can have lost this node's."""
        self._check.set()

    async def run(self) -> None:
        """Write this node's host, then read the hosts of other nodes periodically."""
        reads = 0
        while True:
            try:
                await self._refresh()
            except PlatformUnavailable as error:
                _LOG.debug("directory unreachable", extra={"why": str(error)})
                await asyncio.sleep(1.0)
                continue
            await self._wait(self._read_interval_s(reads))
            reads += 1

    async def _wait(self, interval_s: float) -> None:
        try:
            async with asyncio.timeout(interval_s):
                await self._check.wait()
        except TimeoutError:
            return
        self._check.clear()
        await asyncio.sleep(CHECK_SPREAD_S * self._state.rng.random())

    def _read_interval_s(self, reads: int) -> float:
        """Return the seconds until the next read.

        Notes
        -----
        The second read always follows soon. If all nodes start at the same time, the
        first read finds only the nodes that have already written their record.
        """
        alive_count = len(self._state.peers.alive(monotonic()))
        if reads == 0 or alive_count < MIN_ALIVE_SHARE * len(self.hosts):
            return INCOMPLETE_INTERVAL_S
        return max(COMPLETE_INTERVAL_S, INTERVAL_PER_NODE_S * len(self.hosts))

    async def _refresh(self) -> None:
        me = self._state.me
        if not self._host_published:
            value = orjson.dumps({"host": me.host})
            await self._store.put(TOPIC, me.node, value)
            self._host_published = True
        records, _ = await self._store.newest(TOPIC)
        if me.node not in {record.key for record in records}:
            self._host_published = False
            self._check.set()
        hosts = {NodeId(r.key): _decode_host(r) for r in records if r.key != me.node}
        self.hosts = {node: host for node, host in hosts.items() if host is not None}
        self._state.listed_nodes = self.hosts


def _decode_host(record: KeyedRecord) -> str | None:
    """Return the host in a record, None if the record is malformed."""
    try:
        host = orjson.loads(record.value or b"")["host"]
    except (ValueError, LookupError, TypeError) as error:
        extra = {"key": record.key, "why": repr(error)}
        _LOG.warning("directory record unreadable", extra=extra)
        return None
    return host if isinstance(host, str) else None
