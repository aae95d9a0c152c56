"""Quarantine of prompt parts that crash the endpoints which begin to answer on them.

Notes
-----
A crash ends all requests in progress at the endpoint, so it does not show which of
their parts caused it. Prompts with sound parts get further elsewhere, and those with a
part that crashes each endpoint never do. A part is blocked when endpoints have crashed
under it several times in sequence without a prompt getting further. Nodes exchange the
crashes and the progress; merging them does not depend on the order of arrival.
"""

from __future__ import annotations

import hashlib
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf, isfinite
from typing import Any

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import RunKey
from poplarrelay.identifiers import EndpointRun, PartKey

__all__ = ["QuarantineTable", "SuspectPart", "UnconfirmedAnswers", "part_keys"]

_LOG = logging.getLogger("poplarrelay.entry.quarantine")

#: Crashes in sequence that block a part.
BLOCKING_CRASHES = 3
#: Seconds for which a crash counts.
CRASH_MEMORY_S = 600.0
#: Seconds from the latest counted crash until one prompt with a blocked part is tried;
#: it doubles with each further crash, up to the memory.
PROBE_INTERVAL_S = 15.0
#: Shared parts of a prompt that are considered.
MAX_PARTS = 64
#: Suspect parts of a service, and parts whose progress is kept.
MAX_SUSPECTS = 512
MAX_BEGUN = 4096
#: Answers without a length that are kept for a run, and runs with such answers.
MAX_UNCONFIRMED = 64
MAX_UNCONFIRMED_RUNS = 1024
#: Maximum number of crashes in one record.
MAX_RUNS = 32
#: Maximum number of records in one datagram.
MAX_RECORDS_SENT = 30
#: Number of datagrams in which a change is sent, because some datagrams are lost.
SENDS_PER_CHANGE = 3
#: Records with at least this number of counted crashes are sent in every round, for
#: nodes that start later.
ALWAYS_SENT_CRASHES = 2
#: Seconds by which a peer's time of sending must be later than the recorded one to
#: replace it. Times are sent as ages, and each hop adds its delay.
SENT_TOLERANCE_S = 0.2
#: Seconds between two scans for records that are too old.
FORGET_INTERVAL_S = 10.0
#: Size of a part's digest in bytes.
KEY_BYTES = 8


def part_keys(
    service: ServiceName, model: str, parts: Iterable[str]
) -> tuple[PartKey, ...]:
    """Return the keys of the shared parts of a prompt for a service and a model."""
    keys = []
    for part, _ in zip(parts, range(MAX_PARTS), strict=False):
        content = f"{service}|{model}|{part}".encode()
        digest = hashlib.blake2b(content, digest_size=KEY_BYTES).hexdigest()
        keys.append(PartKey(digest))
    return tuple(keys)


@dataclass(frozen=True, slots=True)
class PartCrash:
    """Crash of one run of an endpoint under a part.

    Attributes
    ----------
    at : float
        Monotonic time of the crash.
    sent_at : float
        Monotonic time at which the latest prompt with the part was sent to the run.
    """

    at: float
    sent_at: float


@dataclass(slots=True)
class SuspectPart:
    """Crashes under one part, and the last progress of a prompt with it.

    Attributes
    ----------
    crashes : dict of EndpointRun to PartCrash
        Crashes by run.
    begun_at : float
        Monotonic time at which a prompt with the part last got beyond the point where
        endpoints crash.
    sends_left : int
        Datagrams that still have to include the record.
    """

    key: PartKey
    service: ServiceName
    crashes: dict[EndpointRun, PartCrash] = field(default_factory=dict)
    begun_at: float = -inf
    sends_left: int = 0

    def sequence(self, now: float) -> list[float]:
        """Return the times of the crashes in sequence since the last progress.

        Notes
        -----
        A crash continues the sequence if its prompt was sent after the crash before.
        Endpoints that fall together count once, whatever ran at them.
        """
        since = max(self.begun_at, now - CRASH_MEMORY_S)
        times: list[float] = []
        for crash in sorted(self.crashes.values(), key=lambda each: each.at):
            if crash.at > since and (not times or crash.sent_at > times[-1]):
                times.append(crash.at)
        return times

    def blocked_s(self, now: float) -> float | None:
        """Return the seconds until the next probe, None if the part is not blocked.

        The value is negative when a probe is due.
        """
        times = self.sequence(now)
        if len(times) < BLOCKING_CRASHES:
            return None
        doublings = len(times) - BLOCKING_CRASHES
        wait_s = min(PROBE_INTERVAL_S * 2**doublings, CRASH_MEMORY_S)
        return times[-1] + wait_s - now

    def merge(self, other: SuspectPart, now: float) -> bool:
        """Merge another record into this one, and return whether that changes it."""
        changed = False
        for run, crash in other.crashes.items():
            known = self.crashes.get(run)
            if known is None:
                self.crashes[run] = crash
                changed = True
            elif crash.sent_at > known.sent_at + SENT_TOLERANCE_S:
                self.crashes[run] = PartCrash(known.at, crash.sent_at)
                changed = True
        if self.is_cleared_by(other.begun_at):
            self.begun_at = other.begun_at
            changed = True
        while len(self.crashes) > MAX_RUNS:
            self._drop_crash(now)
        return changed

    def _drop_crash(self, now: float) -> None:
        """Drop the earliest crash that the sequence does not need."""
        needed = set(self.sequence(now)[:MAX_RUNS])
        runs = sorted(self.crashes, key=lambda run: self.crashes[run].at)
        surplus = [run for run in runs if self.crashes[run].at not in needed]
        del self.crashes[(surplus or runs)[0]]

    def is_cleared_by(self, begun_at: float) -> bool:
        """Return whether progress at a time excuses a crash that counts now."""
        return any(self.begun_at < c.at < begun_at for c in self.crashes.values())

    def has_more_than(self, other: SuspectPart) -> bool:
        """Return whether this record has crashes or progress that another lacks."""
        if other.is_cleared_by(self.begun_at):
            return True
        full = len(other.crashes) >= MAX_RUNS
        return not full and bool(self.crashes.keys() - other.crashes.keys())

    def encode(self, now: float) -> list[Any]:
        """Return the record as JSON values, with ages in place of times."""
        crashes = [
            [run, round(now - crash.at, 4), round(now - crash.sent_at, 4)]
            for run, crash in self.crashes.items()
        ]
        begun_s = None if self.begun_at == -inf else round(now - self.begun_at, 4)
        return [self.key, self.service, crashes, begun_s]

    @classmethod
    def decode(cls, raw: list[Any], now: float) -> SuspectPart:
        """Return the record from its JSON values.

        Raises
        ------
        ValueError or TypeError
            If a value is malformed.
        """
        key, service, crashes, begun_s = raw
        if len(crashes) > MAX_RUNS:
            raise ValueError(f"{len(crashes)} crashes in one record")
        decoded = {
            EndpointRun(str(run)): PartCrash(now - _age(at), now - _age(sent))
            for run, at, sent in crashes
        }
        recent = {r: c for r, c in decoded.items() if now - c.at <= CRASH_MEMORY_S}
        begun_at = -inf if begun_s is None else now - _age(begun_s)
        return cls(PartKey(str(key)), ServiceName(str(service)), recent, begun_at)


def _age(value: Any) -> float:
    age_s = float(value)
    if not isfinite(age_s):
        raise ValueError(f"invalid age: {value!r}")
    return max(0.0, age_s)


@dataclass(slots=True)
class UnconfirmedAnswers:
    """Answers without a length, which a crash can have cut off.

    Notes
    -----
    Such an answer ends with its connection. It was whole if the same run answers a
    request that was sent later.
    """

    _answers: OrderedDict[RunKey, list[tuple[float, tuple[PartKey, ...]]]] = field(
        default_factory=OrderedDict
    )

    def add(self, run: RunKey, keys: tuple[PartKey, ...], now: float) -> None:
        """Note an answer to a prompt with some parts."""
        answers = self._answers.setdefault(run, [])
        answers.append((now, keys))
        del answers[:-MAX_UNCONFIRMED]
        if len(self._answers) > MAX_UNCONFIRMED_RUNS:
            self._answers.popitem(last=False)

    def confirm(
        self, run: RunKey, sent_at: float
    ) -> list[tuple[float, tuple[PartKey, ...]]]:
        """Return the answers that a run's answer to a later request confirms.

        Parameters
        ----------
        run : RunKey
            Run of the endpoint.
        sent_at : float
            Monotonic time at which the later request was sent.

        Returns
        -------
        list of tuple of float and tuple of PartKey
            Time of each answer, and the parts of its prompt.
        """
        answers = self._answers.get(run)
        if not answers:
            return []
        confirmed = [each for each in answers if each[0] < sent_at]
        self._answers[run] = [each for each in answers if each[0] >= sent_at]
        return confirmed


@dataclass(slots=True)
class QuarantineTable:
    """Suspect parts that this node has observed or received from peers.

    Attributes
    ----------
    may_probe : callable
        Returns whether this node is the one that probes a part.
    urgent : bool
        Whether a change must be sent to peers before the next round.
    noted, refused, probes : int
        Crashes under parts that this node has observed, prompts that it has refused,
        and prompts that it has let pass as probes.

    Notes
    -----
    Records are kept by service, not by team: prompts with one part come with any key.
    A team that crashes endpoints under another team's part cannot block it, since the
    other team's prompts go on elsewhere and clear it.
    """

    may_probe: Callable[[PartKey], bool] = lambda key: True
    urgent: bool = False
    noted: int = 0
    refused: int = 0
    probes: int = 0
    _records: dict[ServiceName, dict[PartKey, SuspectPart]] = field(
        default_factory=dict
    )
    _begun: dict[ServiceName, OrderedDict[PartKey, float]] = field(default_factory=dict)
    _probed_at: dict[PartKey, float] = field(default_factory=dict)
    _next_forget_at: float = -inf

    @property
    def records(self) -> list[SuspectPart]:
        """Return all records."""
        return [each for known in self._records.values() for each in known.values()]

    def _find(self, service: ServiceName, key: PartKey) -> SuspectPart | None:
        return self._records.get(service, {}).get(key)

    def includes(self, service: ServiceName, keys: Iterable[PartKey]) -> bool:
        """Return whether a part is suspect."""
        return any(self._find(service, key) is not None for key in keys)

    def find_blocked(
        self, service: ServiceName, keys: Iterable[PartKey], now: float
    ) -> tuple[PartKey, float] | None:
        """Return a blocked part and the seconds until its probe, None without one.

        The part with the longest wait counts.
        """
        waits = [
            (wait_s, record.key)
            for record in (self._find(service, key) for key in keys)
            if record is not None and (wait_s := record.blocked_s(now)) is not None
        ]
        if not waits:
            return None
        wait_s, key = max(waits)
        return key, wait_s if wait_s > 0 else PROBE_INTERVAL_S

    def take_probe(
        self, service: ServiceName, keys: Iterable[PartKey], now: float
    ) -> bool:
        """Return whether a prompt with blocked parts may be sent as a probe."""
        blocked = [
            record
            for record in (self._find(service, key) for key in keys)
            if record is not None and record.blocked_s(now) is not None
        ]
        for record in blocked:
            due = (record.blocked_s(now) or 0.0) <= 0
            recent = now - self._probed_at.get(record.key, -inf) < PROBE_INTERVAL_S
            if not due or recent or not self.may_probe(record.key):
                return False
        for record in blocked:
            self._probed_at[record.key] = now
            _LOG.info("part probed", extra={"part": record.key})
        self.probes += bool(blocked)
        return bool(blocked)

    def note_crash(
        self,
        service: ServiceName,
        keys: Iterable[PartKey],
        run: EndpointRun,
        sent_at: float,
        now: float,
    ) -> None:
        """Note that a run crashed while a prompt with some parts had not got further.

        Parameters
        ----------
        service : ServiceName
            Service of the endpoint.
        keys : iterable of PartKey
            Shared parts of the prompt.
        run : EndpointRun
            Run that crashed.
        sent_at, now : float
            Monotonic times at which the prompt was sent and the crash was seen.
        """
        self.noted += 1
        for key in keys:
            crashes = {run: PartCrash(now, sent_at)}
            self._merge(SuspectPart(key, service, crashes), now, "this node")

    def note_begun(
        self, service: ServiceName, keys: Iterable[PartKey], now: float
    ) -> None:
        """Note that a prompt got beyond the point where endpoints crash."""
        begun = self._begun.setdefault(service, OrderedDict())
        for key in keys:
            begun[key] = max(now, begun.get(key, -inf))
            begun.move_to_end(key)
            if self._find(service, key) is not None:
                self._merge(SuspectPart(key, service), now, "this node")
        while len(begun) > MAX_BEGUN:
            begun.popitem(last=False)

    def _merge(self, received: SuspectPart, now: float, source: str) -> None:
        service, key = received.service, received.key
        record = self._find(service, key)
        if record is None:
            if not received.crashes:
                return
            record = self._add(service, key, now)
        was_blocked = record.blocked_s(now) is not None
        begun = self._begun.get(service)
        begun_at = -inf if begun is None else begun.get(key, -inf)
        changed = record.merge(received, now)
        changed |= record.merge(SuspectPart(key, service, begun_at=begun_at), now)
        if changed or record.has_more_than(received):
            record.sends_left = SENDS_PER_CHANGE
            self.urgent = self.urgent or changed
        blocked = record.blocked_s(now) is not None
        if blocked == was_blocked:
            return
        _LOG.warning(
            "part blocked" if blocked else "part unblocked",
            extra={
                "part": key,
                "service": service,
                "crashes": len(record.sequence(now)),
                "source": source,
            },
        )

    def _add(self, service: ServiceName, key: PartKey, now: float) -> SuspectPart:
        known = self._records.setdefault(service, {})
        if len(known) >= MAX_SUSPECTS:
            ranked = sorted(
                known.values(),
                key=lambda each: (
                    len(each.sequence(now)),
                    max((c.at for c in each.crashes.values()), default=-inf),
                ),
            )
            for evicted in ranked[: MAX_SUSPECTS // 4]:
                del known[evicted.key]
        known[key] = SuspectPart(key, service)
        return known[key]

    # exchange with peers

    def receive(self, records: Iterable[list[Any]], host: str, now: float) -> None:
        """Merge the records of a peer.

        Raises
        ------
        ValueError or TypeError
            If a record is malformed.
        """
        for received in [SuspectPart.decode(raw, now) for raw in records]:
            self._merge(received, now, f"peer {host}")

    def outgoing(self, now: float) -> list[list[Any]]:
        """Return the records for the next datagram to peers."""
        self.urgent = False
        due = self._due(now)
        for record in due:
            record.sends_left = max(0, record.sends_left - 1)
        return [record.encode(now) for record in due]

    def _due(self, now: float) -> Sequence[SuspectPart]:
        """Return changed records, then those sent in every round, by crashes."""
        counted = [(len(each.sequence(now)), each) for each in self.records]
        due = [
            (each.sends_left > 0, count, each)
            for count, each in counted
            if each.sends_left > 0 or count >= ALWAYS_SENT_CRASHES
        ]
        due.sort(key=lambda entry: entry[:2], reverse=True)
        return [each for *_, each in due[:MAX_RECORDS_SENT]]

    def forget(self, now: float) -> None:
        """Drop what is too old to count, and the records that progress has cleared."""
        if now < self._next_forget_at:
            return
        self._next_forget_at = now + FORGET_INTERVAL_S
        for service, known in list(self._records.items()):
            for record in list(known.values()):
                if not record.sequence(now) and record.sends_left == 0:
                    del known[record.key]
            if not known:
                del self._records[service]
        for service, begun in list(self._begun.items()):
            while begun and now - next(iter(begun.values())) > CRASH_MEMORY_S:
                begun.popitem(last=False)
            if not begun:
                del self._begun[service]
        oldest = now - CRASH_MEMORY_S
        self._probed_at = {k: at for k, at in self._probed_at.items() if at > oldest}
