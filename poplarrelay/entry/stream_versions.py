"""Software versions that have begun streams, and versions that services have had."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.identifiers import RequestId, SoftwareVersion, StreamKey, TeamId

__all__ = [
    "StreamOrigin",
    "StreamVersionTable",
    "VersionHistory",
    "stream_key",
]

#: Seconds for which the origin of a stream and the versions of a service are kept.
#: No caller resumes a stream that began earlier.
STREAM_MEMORY_S = 60.0
#: Maximum number of streams in the table; the oldest are dropped, so that callers with
#: many streams cannot fill the memory.
MAX_STREAMS = 20_000
#: Size of a stream's digest in bytes.
KEY_BYTES = 10


def stream_key(team: TeamId, request: RequestId) -> StreamKey:
    """Return the key of the stream that a try of a team's caller began.

    Notes
    -----
    Callers choose the ids of their tries. With the team in the key, no caller can name
    another team's stream.
    """
    content = f"{len(team)}|{team}|{request}".encode()
    return StreamKey(hashlib.blake2b(content, digest_size=KEY_BYTES).hexdigest())


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version that sent the first event of a stream."""

    service: ServiceName
    version: SoftwareVersion


@dataclass(slots=True)
class StreamVersionTable:
    """Origins of streams that this node has begun or that peers have sent to it.

    Notes
    -----
    An origin is final. If two different ones are reported for one stream, its origin is
    unknown: a caller has used the id of a try twice.
    """

    _origins: OrderedDict[StreamKey, StreamOrigin | None] = field(
        default_factory=OrderedDict
    )
    _added_at: dict[StreamKey, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._origins)

    def add(self, key: StreamKey, origin: StreamOrigin, now: float) -> None:
        """Record the origin of a stream."""
        if key in self._origins:
            if self._origins[key] != origin:
                self._origins[key] = None
            return
        self._origins[key] = origin
        self._added_at[key] = now
        if len(self._origins) > MAX_STREAMS:
            self._drop_oldest()

    def find(self, key: StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is unknown."""
        return self._origins.get(key)

    def _drop_oldest(self) -> None:
        key, _ = self._origins.popitem(last=False)
        del self._added_at[key]

    def forget(self, now: float) -> None:
        """Drop the streams that began more than `STREAM_MEMORY_S` ago."""
        while self._origins:
            oldest = next(iter(self._origins))
            if now - self._added_at[oldest] <= STREAM_MEMORY_S:
                return
            self._drop_oldest()


@dataclass(slots=True)
class VersionHistory:
    """Versions that the endpoints of each service have recently had.

    Attributes
    ----------
    complete_since : float
        Monotonic time since which the history has no gap; infinite before the list of
        endpoints is known.

    Notes
    -----
    Versions that came and went while this node's list was too old are missing, so the
    history is complete only from the end of that time on.
    """

    complete_since: float = inf
    _listed_at: dict[ServiceName, dict[SoftwareVersion, float]] = field(
        default_factory=dict
    )

    def note(self, rows: Iterable[Endpoint], now: float) -> None:
        """Record the versions of the listed endpoints."""
        for row in rows:
            self._listed_at.setdefault(row.service, {})[row.version] = now

    def note_list_age(self, within_bound: bool, now: float) -> None:
        """Record whether this node's list of endpoints is recent enough to be complete.

        Parameters
        ----------
        within_bound : bool
            Whether the list is within its age bound.
        now : float
            Monotonic time.
        """
        if not within_bound:
            self.complete_since = inf
        elif self.complete_since == inf:
            self.complete_since = now

    def versions(self, service: ServiceName, now: float) -> set[SoftwareVersion]:
        """Return the versions listed for a service in the last `STREAM_MEMORY_S`."""
        listed_at = self._listed_at.get(service, {})
        return {v for v, at in listed_at.items() if now - at <= STREAM_MEMORY_S}

    def services(self, now: float) -> dict[ServiceName, set[SoftwareVersion]]:
        """Return the versions listed for each service in the last `STREAM_MEMORY_S`."""
        found = {service: self.versions(service, now) for service in self._listed_at}
        return {service: versions for service, versions in found.items() if versions}

    def close_gap(
        self, versions: Mapping[ServiceName, Iterable[SoftwareVersion]], now: float
    ) -> None:
        """Add all versions that can have begun a stream before the history's start.

        Parameters
        ----------
        versions : mapping of ServiceName to iterable of SoftwareVersion
            All versions that were listed in the last `STREAM_MEMORY_S`.
        now : float
            Monotonic time.
        """
        for service, found in versions.items():
            self._listed_at.setdefault(service, {}).update(dict.fromkeys(found, now))
        self.complete_since = min(self.complete_since, now - STREAM_MEMORY_S)

    def covered_s(self, now: float) -> float:
        """Return the seconds until now for which the history has no gap."""
        return max(0.0, min(STREAM_MEMORY_S, now - self.complete_since))

    def forget(self, now: float) -> None:
        """Drop the versions that were last listed more than `STREAM_MEMORY_S` ago."""
        for service in list(self._listed_at):
            recent = self.versions(service, now)
            kept = {v: at for v, at in self._listed_at[service].items() if v in recent}
            if kept:
                self._listed_at[service] = kept
            else:
                del self._listed_at[service]
