"""Quarantine of prompt parts that crash the endpoints which begin to answer on them.

Notes
-----
A crash ends all requests in progress at the endpoint, so it does not show which of
their parts caused it. Prompts with sound parts get further elsewhere, and those with a
part that crashes each endpoint never do. A part is blocked when endpoints have crashed
under it several times in sequence without a prompt getting further. Nodes exchange the
crashes and the progress; merging them does not depend on the order of arrival.

Light traffic brings no progress between these crashes, so a part that is always used
together with the cause is blocked as well. Such parts are told apart by group testing:
a prompt is sent as a discriminating probe if other parts can explain all crashes under
its blocked parts. It either gets further, or shows that one of its own parts is a
cause.
"""

from __future__ import annotations

import hashlib
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import reduce
from math import inf, isfinite
from typing import Any

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import RunKey
from poplarrelay.identifiers import EndpointRun, PartKey

__all__ = [
    "QuarantineTable",
    "Restriction",
    "SuspectPart",
    "UnconfirmedAnswers",
    "part_keys",
]

_LOG = logging.getLogger("poplarrelay.entry.quarantine")

#: Crashes in sequence that block a part.
BLOCKING_CRASHES = 3
#: Seconds for which a crash counts.
CRASH_MEMORY_S = 600.0
#: Seconds from the latest counted crash until one prompt with a blocked part is tried;
#: it doubles with each further crash, up to the memory.
PROBE_INTERVAL_S = 15.0
#: Crashes under discriminating probes of a part after which only the probes that are
#: due by time remain.
MAX_FAILED_PROBES = 2
#: Seconds from the latest crash until a part that has begun answers before is probed
#: although no other part explains its crashes.
UNEXPLAINED_WAIT_S = 2.0
#: Seconds for which the blocked parts of a refused prompt are remembered, and sets of
#: blocked parts that are remembered.
REFUSED_MEMORY_S = 30.0
MAX_REFUSED_SETS = 64
#: Runs whose end is remembered.
MAX_ENDS = 1024
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
    probed : bool
        Whether one of these prompts was a discriminating probe.
    """

    at: float
    sent_at: float
    probed: bool = False

    def merge(self, other: PartCrash) -> PartCrash:
        """Return the crash that two nodes have seen of one run."""
        return PartCrash(
            self.at, max(self.sent_at, other.sent_at), self.probed or other.probed
        )

    def lacks(self, other: PartCrash) -> bool:
        """Return whether another node's view adds something to this one."""
        later = other.sent_at > self.sent_at + SENT_TOLERANCE_S
        return later or (other.probed and not self.probed)


@dataclass(frozen=True, slots=True)
class Restriction:
    """Blocked part of a prompt.

    Attributes
    ----------
    wait_s : float
        Seconds until the next probe that is due by time.
    discriminating : bool
        Whether the prompt can be sent at once as a discriminating probe.
    """

    key: PartKey
    wait_s: float
    discriminating: bool


@dataclass(slots=True)
class SuspectPart:
    """Crashes under one part, and the last progress of a prompt with it.

    Attributes
    ----------
    crashes : dict of EndpointRun to PartCrash
        Crashes by run.
    begun_at : float
        Monotonic time at which a prompt with the part last got beyond the point where
        endpoints crash, also before the first crash; minus infinity if none is known.
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
        return [self.crashes[run].at for run in self.sequence_runs(now)]

    def sequence_runs(self, now: float) -> list[EndpointRun]:
        """Return the runs that crashed in sequence since the last progress."""
        counted = [run for run in self.crashes if self.counts(run, now)]
        runs: list[EndpointRun] = []
        for run in sorted(counted, key=lambda run: self.crashes[run].at):
            crash = self.crashes[run]
            if not runs or crash.sent_at > self.crashes[runs[-1]].at:
                runs.append(run)
        return runs

    def counts(self, run: EndpointRun, now: float) -> bool:
        """Return whether a run crashed under the part since the last progress."""
        crash = self.crashes.get(run)
        since = max(self.begun_at, now - CRASH_MEMORY_S)
        return crash is not None and crash.at > since

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
            elif known.lacks(crash):
                self.crashes[run] = known.merge(crash)
                changed = True
        if self.is_cleared_by(other.begun_at) or self.begun_at == -inf < other.begun_at:
            changed = True
        self.begun_at = max(self.begun_at, other.begun_at)
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
        if other.is_cleared_by(self.begun_at) or other.begun_at == -inf < self.begun_at:
            return True
        if any(
            run in other.crashes and other.crashes[run].lacks(crash)
            for run, crash in self.crashes.items()
        ):
            return True
        full = len(other.crashes) >= MAX_RUNS
        return not full and bool(self.crashes.keys() - other.crashes.keys())

    def encode(self, now: float) -> list[Any]:
        """Return the record as JSON values, with ages in place of times."""
        crashes = [
            [
                run,
                round(now - crash.at, 4),
                round(now - crash.sent_at, 4),
                *((1,) if crash.probed else ()),
            ]
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
            EndpointRun(str(run)): PartCrash(
                now - _age(at), now - _age(sent), probed=bool(probed)
            )
            for run, at, sent, *probed in crashes
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
    noted, refused, survived : int
        Crashes under parts that this node has observed, prompts that it has refused,
        and closed connections that were no crashes, as the endpoint has outlived them.
    probes, discriminating_probes : int
        Prompts that this node has sent as probes that were due by time, and as
        discriminating ones.

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
    survived: int = 0
    probes: int = 0
    discriminating_probes: int = 0
    _records: dict[ServiceName, dict[PartKey, SuspectPart]] = field(
        default_factory=dict
    )
    _begun: dict[ServiceName, OrderedDict[PartKey, float]] = field(default_factory=dict)
    _probed_at: dict[PartKey, float] = field(default_factory=dict)
    _ends: OrderedDict[EndpointRun, float] = field(default_factory=OrderedDict)
    _refused_sets: OrderedDict[frozenset[PartKey], float] = field(
        default_factory=OrderedDict
    )
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

    def _blocked(
        self, service: ServiceName, keys: Iterable[PartKey], now: float
    ) -> list[SuspectPart]:
        """Return the records of the blocked parts of a prompt."""
        found = (self._find(service, key) for key in keys)
        return [
            record
            for record in found
            if record is not None and record.blocked_s(now) is not None
        ]

    def find_restriction(
        self, service: ServiceName, keys: Sequence[PartKey], now: float
    ) -> Restriction | None:
        """Return how the blocked parts of a prompt restrict it, None without any.

        The part with the longest wait counts.
        """
        blocked = self._blocked(service, keys, now)
        if not blocked:
            return None
        waits = [(record.blocked_s(now) or 0.0, record.key) for record in blocked]
        wait_s, key = max(waits)
        discriminating = all(
            self._is_explained_otherwise(record, keys, now) for record in blocked
        )
        return Restriction(
            key, wait_s if wait_s > 0 else PROBE_INTERVAL_S, discriminating
        )

    def _other_suspects(
        self, record: SuspectPart, run: EndpointRun, now: float
    ) -> list[SuspectPart]:
        """Return the other parts that can explain the crash of a run under a part."""
        return [
            each
            for each in self._records[record.service].values()
            if each is not record and each.counts(run, now)
        ]

    def count_failed_probes(self, record: SuspectPart, now: float) -> int:
        """Return the crashes under a part that only a discriminating probe explains."""
        return sum(
            crash.probed
            and record.counts(run, now)
            and all(
                each.crashes[run].probed
                for each in self._other_suspects(record, run, now)
            )
            for run, crash in record.crashes.items()
        )

    def _is_explained_otherwise(
        self, record: SuspectPart, keys: Sequence[PartKey], now: float
    ) -> bool:
        """Return whether a prompt can show that a part is not the cause of its crashes.

        Notes
        -----
        Each crash needs a further suspect that the prompt lacks. A part that has begun
        answers before may also have been in progress at endpoints that crashed for
        unknown reasons. One that never did is given the benefit of the doubt only if a
        single other part explains all its crashes.
        """
        if self.count_failed_probes(record, now) >= MAX_FAILED_PROBES:
            return False
        others = [
            {each.key for each in self._other_suspects(record, run, now)}
            for run in record.sequence_runs(now)
        ]
        if record.begun_at > -inf:
            settled = now - record.sequence(now)[-1] > UNEXPLAINED_WAIT_S
            return all(found - set(keys) or (settled and not found) for found in others)
        return bool(reduce(set.intersection, others) - set(keys))

    def explained_runs(
        self, service: ServiceName, keys: Sequence[PartKey], now: float
    ) -> set[EndpointRun]:
        """Return the runs whose crashes a blocked part explains that a prompt lacks."""
        return {
            run
            for record in self._records.get(service, {}).values()
            if record.key not in keys and record.blocked_s(now) is not None
            for run in record.crashes
            if record.counts(run, now)
        }

    def note_refusal(
        self, service: ServiceName, keys: Iterable[PartKey], now: float
    ) -> None:
        """Note that a prompt was refused for its blocked parts."""
        self.refused += 1
        refused = frozenset(each.key for each in self._blocked(service, keys, now))
        self._refused_sets[refused] = now
        self._refused_sets.move_to_end(refused)
        if len(self._refused_sets) > MAX_REFUSED_SETS:
            self._refused_sets.popitem(last=False)

    def note_discriminating_probe(self, service: ServiceName, key: PartKey) -> None:
        """Note that a prompt is sent as a discriminating probe of a part."""
        self.discriminating_probes += 1
        extra = {"part": key, "service": service, "discriminating": True}
        _LOG.info("part probed", extra=extra)

    def take_probe(
        self, service: ServiceName, keys: Iterable[PartKey], now: float
    ) -> bool:
        """Return whether a prompt with blocked parts may be sent as a probe.

        Notes
        -----
        A prompt with further blocked parts can be no probe of a part that also comes
        without them: its crash would show nothing about the part.
        """
        blocked = self._blocked(service, keys, now)
        found = {record.key for record in blocked}
        for record in blocked:
            due = (record.blocked_s(now) or 0.0) <= 0
            recent = now - self._probed_at.get(record.key, -inf) < PROBE_INTERVAL_S
            if not due or recent or not self.may_probe(record.key):
                return False
        if any(
            refused < found and now - at <= REFUSED_MEMORY_S
            for refused, at in self._refused_sets.items()
            if refused
        ):
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
        probed: bool = False,
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
        probed : bool
            Whether the prompt was a discriminating probe.
        """
        self.noted += 1
        if sent_at > self._ended_at(service, run):
            # A prompt that was sent to a run which had ended did not end it.
            return
        self._ends[run] = min(now, self._ends.get(run, inf))
        self._ends.move_to_end(run)
        if len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)
        for key in keys:
            crashes = {run: PartCrash(now, sent_at, probed)}
            self._merge(SuspectPart(key, service, crashes), now, "this node")

    def _ended_at(self, service: ServiceName, run: EndpointRun) -> float:
        """Return the time at which a run was first seen to end, infinite if never."""
        records = self._records.get(service, {}).values()
        times = [each.crashes[run].at for each in records if run in each.crashes]
        return min([*times, self._ends.get(run, inf)])

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
