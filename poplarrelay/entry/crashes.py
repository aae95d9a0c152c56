"""Requests that crash the endpoints that run them.

Notes
-----
A crash fails all requests in progress at the endpoint, so it does not identify the
request that caused it. A request is blocked when several runs of endpoints have crashed
during it since its last complete answer. Nodes exchange the crashes and the answers;
merging them does not depend on the order in which they arrive.
"""

from __future__ import annotations

import hashlib
import logging
from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import EndpointRun, RequestFingerprint, TeamId

__all__ = ["CrashRecord", "CrashTable", "endpoint_run"]

_LOG = logging.getLogger("poplarrelay.entry.crashes")

#: Runs of endpoints that must have crashed during a request to block it.
BLOCKING_CRASHES = 3
#: Seconds for which a crash counts.
CRASH_MEMORY_S = 600.0
#: Seconds after a complete answer to a request within which crashes during it do not
#: count. A frequent request is in progress at any endpoint that crashes.
ANSWER_MEMORY_S = 10.0
#: Requests per team for which crashes are kept, and for which answers are kept.
MAX_RECORDS = 512
MAX_ANSWERS = 512
#: Maximum number of crashes in one record; later ones replace earlier ones.
MAX_RUNS = 8
#: Maximum number of records in one datagram.
MAX_RECORDS_SENT = 40
#: Number of datagrams in which a change is sent, because some datagrams are lost.
SENDS_PER_CHANGE = 3
#: Records with at least this number of crashes are sent in every round, for nodes that
#: start later.
ALWAYS_SENT_CRASHES = 2
#: Seconds between two scans for records that are too old.
FORGET_INTERVAL_S = 10.0
#: Seconds by which a peer's answer must be later than the recorded one to replace it.
#: Times are sent as ages, so each hop adds its delay to them. Without a tolerance,
#: nodes would send the same answer to each other endlessly.
ANSWER_TOLERANCE_S = 1.0


def endpoint_run(row: Endpoint) -> EndpointRun:
    """Return a digest that identifies the run of an endpoint."""
    name = f"{row.endpoint}|{row.started_ms}"
    return EndpointRun(hashlib.blake2b(name.encode(), digest_size=4).hexdigest())


@dataclass(slots=True)
class CrashRecord:
    """Crashes during one request, and the last answer to it.

    Attributes
    ----------
    crashes : dict of EndpointRun to float
        Monotonic time of the crash, by run.
    answered_at : float
        Monotonic time of the last complete answer.
    sends_left : int
        Datagrams that still have to include the record.
    """

    fingerprint: RequestFingerprint
    team: TeamId
    crashes: dict[EndpointRun, float] = field(default_factory=dict)
    answered_at: float = -inf
    sends_left: int = 0

    def counted_crashes(
        self, now: float, excused: Container[EndpointRun] = ()
    ) -> list[float]:
        """Return the times of the crashes that count, the latest first."""
        since = max(now - CRASH_MEMORY_S, self.answered_at + ANSWER_MEMORY_S)
        counted = (
            at for run, at in self.crashes.items() if at > since and run not in excused
        )
        return sorted(counted, reverse=True)

    def blocked_s(
        self, now: float, excused: Container[EndpointRun] = ()
    ) -> float | None:
        """Return for how many seconds the request is blocked, None if it is not.

        Parameters
        ----------
        now : float
            Monotonic time.
        excused : container of EndpointRun
            Runs whose crashes do not count, since they have another cause.
        """
        times = self.counted_crashes(now, excused)
        if len(times) < BLOCKING_CRASHES:
            return None
        return times[BLOCKING_CRASHES - 1] + CRASH_MEMORY_S - now

    def encode(self, now: float) -> list[Any]:
        """Return the record as JSON values, with ages in place of times."""
        crashes = [[run, round(now - at, 2)] for run, at in self.crashes.items()]
        answered = self.answered_at > -inf
        answered_s = round(now - self.answered_at, 2) if answered else None
        return [self.fingerprint, self.team, crashes, answered_s]

    @classmethod
    def decode(cls, raw: list[Any], now: float) -> CrashRecord:
        """Return the record from its JSON values; raises `ValueError`."""
        fingerprint, team, crashes, answered_s = raw
        ages = {EndpointRun(str(run)): max(0.0, float(s)) for run, s in crashes}
        return cls(
            RequestFingerprint(str(fingerprint)),
            TeamId(str(team)),
            # Without this filter, nodes would send expired crashes to each other
            # endlessly.
            {run: now - s for run, s in ages.items() if s <= CRASH_MEMORY_S},
            -inf if answered_s is None else now - max(0.0, float(answered_s)),
        )

    def merge(self, other: CrashRecord) -> bool:
        """Merge another record into this one, and return whether that changes it."""
        runs = {run: at for run, at in other.crashes.items() if run not in self.crashes}
        if len(self.crashes) >= MAX_RUNS:
            earliest = min(self.crashes.values())
            runs = {run: at for run, at in runs.items() if at > earliest}
        self.crashes.update(runs)
        while len(self.crashes) > MAX_RUNS:
            del self.crashes[min(self.crashes, key=self.crashes.__getitem__)]
        later = other.answered_at > self.answered_at + ANSWER_TOLERANCE_S
        if later:
            self.answered_at = other.answered_at
        return bool(runs) or later

    def has_more_than(self, other: CrashRecord) -> bool:
        """Return whether this record has crashes or an answer that another lacks."""
        later = self.answered_at > other.answered_at + ANSWER_TOLERANCE_S
        full = len(other.crashes) >= MAX_RUNS
        return later or not (full or self.crashes.keys() <= other.crashes.keys())


@dataclass(slots=True)
class CrashTable:
    """Crashes during requests that this node has observed or received from peers.

    Attributes
    ----------
    urgent : bool
        Whether a change must be sent to peers before the next round.
    noted : int
        Crashes that this node has observed itself.
    refused : int
        Requests that this node has refused as blocked.

    Notes
    -----
    Records and answers are bounded by team, so that one team's requests cannot evict
    another's.
    """

    urgent: bool = False
    noted: int = 0
    refused: int = 0
    _next_forget_at: float = -inf
    _records: dict[TeamId, dict[RequestFingerprint, CrashRecord]] = field(
        default_factory=dict
    )
    _answers: dict[TeamId, OrderedDict[RequestFingerprint, float]] = field(
        default_factory=dict
    )

    @property
    def records(self) -> list[CrashRecord]:
        """Return all records."""
        return [
            each
            for team_records in self._records.values()
            for each in team_records.values()
        ]

    def record(
        self, team: TeamId, fingerprint: RequestFingerprint
    ) -> CrashRecord | None:
        """Return the record of a request, None if there is none."""
        return self._records.get(team, {}).get(fingerprint)

    def blocked_s(
        self,
        team: TeamId,
        fingerprint: RequestFingerprint,
        now: float,
        excused: Container[EndpointRun] = (),
    ) -> float | None:
        """Return for how many seconds a request is blocked, None if it is not."""
        found = self.record(team, fingerprint)
        return None if found is None else found.blocked_s(now, excused)

    def note_crash(
        self,
        team: TeamId,
        fingerprint: RequestFingerprint,
        run: EndpointRun,
        now: float,
    ) -> int:
        """Note that a run crashed during a request; return the crashes that count."""
        self.noted += 1
        observed = CrashRecord(fingerprint, team, {run: now})
        self._merge(observed, now, "this node")
        found = self.record(team, fingerprint)
        return 0 if found is None else len(found.counted_crashes(now))

    def note_answer(
        self, team: TeamId, fingerprint: RequestFingerprint, now: float
    ) -> None:
        """Note a complete answer to a request."""
        answers = self._answers.setdefault(team, OrderedDict())
        answers[fingerprint] = now
        answers.move_to_end(fingerprint)
        if len(answers) > MAX_ANSWERS:
            answers.popitem(last=False)
        if self.record(team, fingerprint) is not None:
            answered = CrashRecord(fingerprint, team, answered_at=now)
            self._merge(answered, now, "this node")

    def receive(self, records: Iterable[list[Any]], host: str, now: float) -> None:
        """Merge the records of a peer; raises `ValueError` if they are malformed."""
        for received in [CrashRecord.decode(raw, now) for raw in records]:
            self._merge(received, now, host)

    def _merge(self, received: CrashRecord, now: float, source: str) -> None:
        record = self.record(received.team, received.fingerprint)
        if record is None:
            if not received.crashes:
                return
            record = self._add(received.team, received.fingerprint, now)
        was_blocked = record.blocked_s(now) is not None
        changed = record.merge(received)
        changed = (
            record.merge(self._noted_answer(received.team, received.fingerprint))
            or changed
        )
        if changed or record.has_more_than(received):
            record.sends_left = SENDS_PER_CHANGE
            self.urgent = self.urgent or changed
        blocked_s = record.blocked_s(now)
        if was_blocked != (blocked_s is not None):
            _LOG.warning(
                "request unblocked" if blocked_s is None else "request blocked",
                extra={
                    "fingerprint": record.fingerprint,
                    "team": record.team,
                    "crashes": len(record.counted_crashes(now)),
                    "for_s": None if blocked_s is None else round(blocked_s, 1),
                    "source": source,
                },
            )

    def _noted_answer(
        self, team: TeamId, fingerprint: RequestFingerprint
    ) -> CrashRecord:
        """Return a record of the last complete answer that this node has noted."""
        answers = self._answers.get(team)
        answered_at = -inf if answers is None else answers.get(fingerprint, -inf)
        return CrashRecord(fingerprint, team, answered_at=answered_at)

    def _add(
        self, team: TeamId, fingerprint: RequestFingerprint, now: float
    ) -> CrashRecord:
        team_records = self._records.setdefault(team, {})
        if len(team_records) >= MAX_RECORDS:
            ranked = sorted(
                team_records.values(),
                key=lambda each: (
                    len(each.counted_crashes(now)),
                    max(each.crashes.values()),
                ),
            )
            for evicted in ranked[: MAX_RECORDS // 4]:
                del team_records[evicted.fingerprint]
        team_records[fingerprint] = CrashRecord(fingerprint, team)
        return team_records[fingerprint]

    def outgoing(self, now: float) -> list[list[Any]]:
        """Return the records for the next datagram to peers."""
        self.urgent = False
        due = self._due(now)
        for record in due:
            record.sends_left = max(0, record.sends_left - 1)
        return [record.encode(now) for record in due]

    def _due(self, now: float) -> Sequence[CrashRecord]:
        """Return changed records, then those sent in every round, by crashes."""
        ranked = [
            (len(each.counted_crashes(now)), each)
            for each in self.records
            if each.sends_left > 0 or len(each.crashes) >= ALWAYS_SENT_CRASHES
        ]
        due = [
            (each.sends_left > 0, count, max(each.crashes.values()), each)
            for count, each in ranked
            if each.sends_left > 0 or count >= ALWAYS_SENT_CRASHES
        ]
        due.sort(key=lambda entry: entry[:3], reverse=True)
        return [each for *_, each in due[:MAX_RECORDS_SENT]]

    def forget(self, now: float) -> None:
        """Drop crashes and answers that are too old to count."""
        if now < self._next_forget_at:
            return
        self._next_forget_at = now + FORGET_INTERVAL_S
        for team, team_records in list(self._records.items()):
            for record in list(team_records.values()):
                expired = [
                    r for r, at in record.crashes.items() if now - at > CRASH_MEMORY_S
                ]
                for run in expired:
                    del record.crashes[run]
                if not record.crashes:
                    del team_records[record.fingerprint]
            if not team_records:
                del self._records[team]
        for team, answers in list(self._answers.items()):
            while answers and now - next(iter(answers.values())) > ANSWER_MEMORY_S:
                answers.popitem(last=False)
            if not answers:
                del self._answers[team]
