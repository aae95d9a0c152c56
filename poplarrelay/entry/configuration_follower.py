"""Reader that follows the configuration in the platform's store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from time import monotonic

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.store_contact import StoreContact
from poplarrelay.entry.store_era import ordered_offset
from poplarrelay.exception import (
    HistoryTrimmed,
    PlatformRecordMalformed,
    PlatformUnavailable,
    ReadInterrupted,
)
from poplarrelay.identifiers import Offset
from poplarrelay.platform.records import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    decode_configuration,
    decode_rollout_order,
    rollout_service,
)
from poplarrelay.platform.store import KeyedRecord, Store, parse_page

__all__ = [
    "ConfigurationApplier",
    "ConfigurationFollower",
    "DependencyLog",
    "apply_configuration",
]

_LOG = logging.getLogger("poplarrelay.entry.following")

#: Seconds between reads after a failure: the first pause, doubled with each further
#: failure up to the maximum.
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 0.6


class DependencyLog:
    """Logger of the start and the end of each outage of a dependency."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost_at: float | None = None

    def lost_s(self, now: float) -> float:
        """Return the seconds since calls began to fail, 0 if the last one succeeded."""
        return 0.0 if self._lost_at is None else now - self._lost_at

    def note_answer(self) -> None:
        """Record a successful call; it ends an outage."""
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
        """Record a failed call; an outage starts when its first call was sent."""
        if self._lost_at is None:
            self._lost_at = sent_at
            _LOG.warning(
                "dependency lost", extra={"dependency": self._name, "why": str(error)}
            )


def apply_configuration(state: EntryState, content: bytes, source: str) -> bool:
    """Apply a configuration if it is newer, and return whether it was applied.

    Notes
    -----
    The version never falls within a process. A stale read or a stale peer must not
    restore a route or a key that operators have removed.
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
    state.on_configuration()
    return True


class ConfigurationFollower:
    """Task that reads the configuration topic and passes new records on.

    Parameters
    ----------
    store : Store
        The platform's store.
    contact : StoreContact
        Interrupts reads that an outage has left without an answer.
    dependency : DependencyLog
        Records successful and failed reads.
    applier : ConfigurationApplier
        Receives the records.
    wait_s : float
        Seconds that a read waits in the store for the next record.
    """

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        dependency: DependencyLog,
        applier: ConfigurationApplier,
        wait_s: float,
        rng: Random,
    ) -> None:
        self._store = store
        self._contact = contact
        self._dependency = dependency
        self._applier = applier
        self._wait_s = wait_s
        self._rng = rng
        self._next: Offset | None = None

    def resync(self) -> None:
        """Make the next read fetch the newest record of every key."""
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
            except ReadInterrupted:
                failures = 0
                await asyncio.sleep(FIRST_PAUSE_S * self._rng.random())
                continue
            except PlatformUnavailable as error:
                self._dependency.note_failure(error, sent_at)
                pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**failures)
                failures = min(failures + 1, 6)
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                continue
            failures = 0
            self._dependency.note_answer()

    async def _read(self) -> None:
        if self._next is None:
            records, self._next = await self._store.newest(CONFIGURATION_TOPIC)
            self._applier.apply_records(records)
            return
        start = self._next
        page = await self._contact.wait_for(
            self._store.read(CONFIGURATION_TOPIC, 0, start, self._wait_s)
        )
        if self._next != start:
            return
        self._next = page.next
        if page.end < start:
            # The store has lost records, so earlier offsets are no longer valid.
            self._next = None
        elif page.records:
            self._applier.apply_records(parse_page(page, start))


class ConfigurationApplier:
    """Receiver of configurations and roll-out orders, which applies them to the state.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    on_change : callable
        Called after each batch of records.
    """

    def __init__(self, state: EntryState, on_change: Callable[[], None]) -> None:
        self._state = state
        self._on_change = on_change

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Apply the records of the configuration topic."""
        for record in records:
            if record.value is None:
                continue
            if record.key == CONFIGURATION_KEY:
                apply_configuration(self._state, record.value, "store")
            elif (service := rollout_service(record.key)) is not None:
                self._apply_order(service, record.value, record.offset)
        self._on_change()

    def _apply_order(
        self, service: ServiceName, content: bytes, offset: Offset
    ) -> None:
        try:
            position = ordered_offset(self._state.eras.latest, offset)
            order = decode_rollout_order(service, content, position)
        except PlatformRecordMalformed as error:
            _LOG.error("rollout order unreadable", extra={"why": str(error)})
            return
        self._state.rollouts.receive_order(order)
