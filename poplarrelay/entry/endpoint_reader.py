"""Periodic reads of the endpoint list from the platform's store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from time import monotonic

from poplarrelay.entry.configuration_follower import DependencyLog
from poplarrelay.entry.endpoint_list import EndpointList
from poplarrelay.entry.list_freshness import ListFreshness
from poplarrelay.exception import HistoryTrimmed, PlatformUnavailable
from poplarrelay.identifiers import Offset
from poplarrelay.platform.records import ENDPOINTS_TOPIC
from poplarrelay.platform.store import ANSWER_TIMEOUT_S, Store, parse_page

__all__ = ["EndpointReader"]

_LOG = logging.getLogger("poplarrelay.entry.reading")

#: Seconds between checks whether messages of peers have changed the time of the next
#: read.
POLL_INTERVAL_S = 0.1
#: Age of the list in seconds up to which a node reads only later records. For an older
#: list, the newest records of all keys are fewer than all later ones.
MAX_INCREMENTAL_AGE_S = 4.0
#: Longest pause in seconds after a failed read.
MAX_PAUSE_S = 0.6


class EndpointReader:
    """Reader of the endpoints' topic: of later records, or of each key's newest record.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    dependency : DependencyLog
        Recorder of replies and failures.
    endpoints : EndpointList
        List to which the records are applied.
    freshness : ListFreshness
        Schedule of the reads; each complete read updates it.
    announce : callable
        Notifies peers that a read begins.
    """

    def __init__(
        self,
        store: Store,
        dependency: DependencyLog,
        endpoints: EndpointList,
        freshness: ListFreshness,
        announce: Callable[[float], None],
        rng: Random,
    ) -> None:
        self._store = store
        self._dependency = dependency
        self._endpoints = endpoints
        self._freshness = freshness
        self._announce = announce
        self._rng = rng
        self._full_read_due = True
        self._failures = 0

    def resync(self) -> None:
        """Make the next read a full one, of the newest record of every endpoint."""
        self._full_read_due = True
        self._freshness.behind = True

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            sent_at = monotonic()
            try:
                await self._read(sent_at)
            except HistoryTrimmed:
                self._full_read_due = True
                continue
            except PlatformUnavailable as error:
                self._dependency.note_failure(error, sent_at)
                await asyncio.sleep(self._pause_s())
                self._failures += 1
                continue
            self._failures = 0
            self._dependency.note_answer()
            while (due_in_s := self._freshness.due_in_s(monotonic())) > 0:
                await asyncio.sleep(min(due_in_s, POLL_INTERVAL_S))
            # Not after a failure: peers must not wait for a node that is partitioned.
            self._announce(monotonic())

    def _answer_timeout_s(self) -> float:
        """Return the timeout of the next read, in seconds.

        Notes
        -----
        The first two reads must both end within the bound on leaving endpoints. If more
        reads fail, the store is slow or unavailable; a longer timeout gets replies from
        a slow store.
        """
        first_s = self._freshness.times.read_timeout_s
        return min(ANSWER_TIMEOUT_S, first_s * 2 ** min(6, max(0, self._failures - 1)))

    def _pause_s(self) -> float:
        first_s = self._freshness.times.pause_s
        pause_s = min(MAX_PAUSE_S, first_s * 4 ** min(6, self._failures))
        return pause_s * (0.5 + 0.5 * self._rng.random())

    async def _read(self, sent_at: float) -> None:
        if self._freshness.age_s(sent_at) > MAX_INCREMENTAL_AGE_S:
            self._full_read_due = True
        if self._full_read_due:
            await self._read_newest(sent_at)
        else:
            await self._read_incremental(sent_at)

    async def _read_newest(self, sent_at: float) -> None:
        self._full_read_due = False
        try:
            records, as_of = await self._store.newest(
                ENDPOINTS_TOPIC, self._answer_timeout_s()
            )
        except BaseException:
            self._full_read_due = True
            raise
        self._log(None, as_of, len(records))
        self._endpoints.apply_newest(records, as_of)
        self._freshness.note_read(sent_at, as_of)

    async def _read_incremental(self, sent_at: float) -> None:
        start = self._freshness.known_offset
        page = await self._store.read(
            ENDPOINTS_TOPIC, 0, start, answer_s=self._answer_timeout_s()
        )
        if page.end < start:
            _LOG.error("store counts anew", extra={"start": start, "end": page.end})
            self._endpoints.resync()
            self._full_read_due = True
            return
        self._log(start, page.next, len(page.records))
        if page.records:
            self._endpoints.apply_records(parse_page(page, start))
        if page.next >= page.end:
            self._freshness.note_read(sent_at, page.next)
        else:
            self._freshness.known_offset = max(self._freshness.known_offset, page.next)

    def _log(self, start: Offset | None, end: Offset, records: int) -> None:
        _LOG.info(
            "endpoints read",
            extra={
                "start": "newest of each" if start is None else start,
                "next": end,
                "records": records,
                "list_age_s": round(self._freshness.reported_age_s(monotonic()), 2),
            },
        )
