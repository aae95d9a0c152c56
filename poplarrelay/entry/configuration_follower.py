"""Following the configuration in the platform's store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from time import monotonic

from poplarrelay.entry.state import EntryState
from poplarrelay.exception import (
    HistoryTrimmed,
    PlatformRecordMalformed,
    PlatformUnavailable,
)
from poplarrelay.identifiers import Offset
from poplarrelay.platform.records import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    decode_configuration,
)
from poplarrelay.platform.store import KeyedRecord, Store, parse_page

__all__ = [
    "ConfigurationApplier",
    "ConfigurationFollower",
    "Dependency",
    "apply_configuration",
]

_LOG = logging.getLogger("poplarrelay.entry.following")

#: Pause after a failed read, in seconds, doubled up to the longest with each failure.
FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 0.6


class Dependency:
    """Tells the log once when the store is lost and once when it is back."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_at: float | None = None

    def lost_s(self, now: float) -> float:
        """Return for how long calls have failed, 0 if the last one did not."""
        return 0.0 if self._lost_at is None else now - self._lost_at

    def note_answer(self) -> None:
        """Note an answer."""
        now = monotonic()
        if self._lost_at is not None:
            _LOG.warning(
                "dependency regained",
                extra={
                    "dependency": self._name,
                    "after_s": round(now - self._lost_at, 2),
                },
            )
            self._lost_at = None

    def note_failure(self, error: PlatformUnavailable, sent_at: float) -> None:
        """Note a failed call, and when it was sent."""
        if self._lost_at is None:
            self._lost_at = sent_at
            _LOG.warning(
                "dependency lost", extra={"dependency": self._name, "why": str(error)}
            )


def apply_configuration(state: EntryState, content: bytes, source: str) -> bool:
    """Put a configuration in force if it is newer, and return whether it was.

    Notes
    -----
    Versions only rise within a process. A read that is behind, or a peer that is,
    must not bring back a route or a key that operators have taken away.
    """
    try:
        configuration = decode_configuration(content)
    except PlatformRecordMalformed as error:
        _LOG.error("configuration unreadable", extra={"why": str(error)})
        return False
    known = state.configuration
    if known is not None and configuration.version <= known.version:
        return False
    state.configuration = configuration
    state.configuration_record = content
    state.configuration_at = monotonic()
    state.me.configuration = configuration.version
    _LOG.info(
        "configuration in force",
        extra={
            "version": configuration.version,
            "before": None if known is None else known.version,
            "routes": len(configuration.routes),
            "teams": len(configuration.teams),
            "source": source,
        },
    )
    return True


class ConfigurationFollower:
    """Keeps up with the topic of the configuration.

    Parameters
    ----------
    store : Store
        The platform's store.
    dependency : Dependency
        Notes answers and failures.
    applier : ConfigurationApplier
        Takes the records read.
    wait_s : float
        How long a read waits for the next record.
    """

    def __init__(
        self,
        store: Store,
        dependency: Dependency,
        applier: ConfigurationApplier,
        wait_s: float,
        rng: Random,
    ) -> None:
        self._store = store
        self._dependency = dependency
        self._applier = applier
        self._wait_s = wait_s
        self._rng = rng
        self._next: Offset | None = None

    def resync(self) -> None:
        """Read the newest record of every key before going on."""
        self._next = None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        failures = 0
        while True:
            sent_at = monotonic()
            try:
                await self._read()
            except HistoryTrimmed:
                self._next = None
                continue
            except PlatformUnavailable as error:
                self._dependency.note_failure(error, sent_at)
                pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**failures)
                failures = min(failures + 1, 6)
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                continue
            failures = 0
            self._dependency.note_answer()

    async def _read(self) -> None:
        if self._next is None:
            records, self._next = await self._store.newest(CONFIGURATION_TOPIC)
            self._applier.take(records)
            return
        start = self._next
        page = await self._store.read(CONFIGURATION_TOPIC, 0, start, self._wait_s)
        if self._next != start:
            return
        self._next = page.next
        if page.end < start:
            # The store knows less than before: offsets mean nothing any more.
            self._next = None
        elif page.records:
            self._applier.take(parse_page(page, start))


class ConfigurationApplier:
    """Puts the configurations that a follower reads in force.

    Parameters
    ----------
    state : EntryState
        The tables.
    on_change : callable
        Called after a read.
    """

    def __init__(self, state: EntryState, on_change: Callable[[], None]) -> None:
        self._state = state
        self._on_change = on_change

    def take(self, records: list[KeyedRecord]) -> None:
        """Take records of the operators' topic."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value is not None:
                apply_configuration(self._state, record.value, "store")
        self._on_change()
