"""Reading the list of endpoints from the platform's store, when it is due."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from time import monotonic

from poplarrelay.entry.configuration_follower import Dependency
from poplarrelay.entry.endpoint_list import EndpointList
from poplarrelay.entry.list_freshness import ListFreshness
from poplarrelay.exception import HistoryTrimmed, PlatformUnavailable
from poplarrelay.identifiers import Offset
from poplarrelay.platform.records import ENDPOINTS_TOPIC
from poplarrelay.platform.store import ANSWER_TIMEOUT_S, Store, parse_page

__all__ = ["EndpointReader"]

_LOG = logging.getLogger("poplarrelay.entry.reading")

#: Seconds between looks at whether news has made a read due earlier, or later.
LOOK_S = 0.1
#: Age in seconds of a list up to which a node reads on from it. For older ones it reads
#: the newest record of each key: fewer than all that were written.
READ_ON_S = 4.0
#: Longest pause in seconds between reads that fail.
LONGEST_PAUSE_S = 0.6


class EndpointReader:
    """Reads what is new in the endpoints' topic, or the newest record of each.

    Parameters
    ----------
    store : Store
        The platform's store.
    dependency : Dependency
        Notes answers and failures.
    endpoints : EndpointList
        Takes the records.
    freshness : ListFreshness
        Tells when the next read is due, and is told of each.
    announce : callable
        Tells peers that a read begins.
    """

    def __init__(
        self,
        store: Store,
        dependency: Dependency,
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
        self._whole = True
        self._failures = 0

    def resync(self) -> None:
        """Read the newest record of every endpoint next."""
        self._whole = True
        self._freshness.behind = True

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            sent_at = monotonic()
            try:
                await self._read(sent_at)
            except HistoryTrimmed:
                self._whole = True
                continue
            except PlatformUnavailable as error:
                self._dependency.note_failure(error, sent_at)
                await asyncio.sleep(self._pause_s())
                self._failures += 1
                continue
            self._failures = 0
            self._dependency.note_answer()
            while (due_in_s := self._freshness.due_in_s(monotonic())) > 0:
                await asyncio.sleep(min(due_in_s, LOOK_S))
            # Not after a failure: nobody is to wait for a node that is cut off.
            self._announce(monotonic())

    def _answer_s(self) -> float:
        """Return how long to wait for an answer.

        Notes
        -----
        The first two reads must both end before the bound on leaving endpoints has
        passed. Longer failures are a store that is slow or away: waiting longer gets
        answers from a slow one.
        """
        first_s = self._freshness.times.answer_s
        return min(ANSWER_TIMEOUT_S, first_s * 2 ** min(6, max(0, self._failures - 1)))

    def _pause_s(self) -> float:
        first_s = self._freshness.times.pause_s
        pause_s = min(LONGEST_PAUSE_S, first_s * 4 ** min(6, self._failures))
        return pause_s * (0.5 + 0.5 * self._rng.random())

    async def _read(self, sent_at: float) -> None:
        if self._freshness.age_s(sent_at) > READ_ON_S:
            self._whole = True
        if self._whole:
            await self._read_whole(sent_at)
        else:
            await self._read_on(sent_at)

    async def _read_whole(self, sent_at: float) -> None:
        self._whole = False
        try:
            records, as_of = await self._store.newest(ENDPOINTS_TOPIC, self._answer_s())
        except BaseException:
            self._whole = True
            raise
        self._log(None, as_of, len(records))
        self._endpoints.apply_newest(records, as_of)
        self._freshness.note_read(sent_at, as_of)

    async def _read_on(self, sent_at: float) -> None:
        start = self._freshness.as_of
        page = await self._store.read(
            ENDPOINTS_TOPIC, 0, start, answer_s=self._answer_s()
        )
        if page.end < start:
            _LOG.error("store counts anew", extra={"start": start, "end": page.end})
            self._endpoints.resync()
            self._whole = True
            return
        self._log(start, page.next, len(page.records))
        if page.records:
            self._endpoints.apply_records(parse_page(page, start))
        if page.next >= page.end:
            self._freshness.note_read(sent_at, page.next)
        else:
            self._freshness.as_of = max(self._freshness.as_of, page.next)

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
