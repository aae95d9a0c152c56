"""Orders and progress of roll-outs, as the store holds them and nodes exchange them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import orjson

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.store_era import same_era
from poplarrelay.identifiers import Offset, SoftwareVersion

__all__ = [
    "RolloutOrder",
    "RolloutPhase",
    "RolloutProgress",
    "RolloutState",
    "decode_progress",
    "encode_progress",
    "encode_progress_record",
    "merge_progress",
]


class RolloutState(Enum):
    """State of a roll-out that operators see."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutPhase(Enum):
    """Phase of a roll-out; a later phase replaces an earlier one.

    CANARY
        The target version gets a small share of the requests, at few endpoints.
    MOVING
        The share of the target version rises to one.
    REVERTED
        The target version gets no requests.
    COMPLETED
        The other versions get no requests, and their endpoints are stopped.
    """

    CANARY = 0
    MOVING = 1
    REVERTED = 2
    COMPLETED = 3

    @property
    def is_final(self) -> bool:
        """Return whether no other phase follows."""
        return self in (RolloutPhase.REVERTED, RolloutPhase.COMPLETED)

    @property
    def state(self) -> RolloutState:
        """Return the state that operators see in this phase."""
        if not self.is_final:
            return RolloutState.IN_PROGRESS
        return RolloutState[self.name]


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move a service's traffic to a version within a time.

    Attributes
    ----------
    offset : Offset
        Position of the order in the store, ordered over its eras. Of two orders for one
        service, the later one is in force.
    """

    service: ServiceName
    target: SoftwareVersion
    duration_s: float
    offset: Offset

    def repeats(self, other: RolloutOrder) -> bool:
        """Return whether this is the same order, in another era of the store.

        Notes
        -----
        After a restore of the store, operators write their newest order again. That
        must not begin a roll-out again that has ended.
        """
        content = self.service, self.target, self.duration_s
        same = content == (other.service, other.target, other.duration_s)
        return same and not same_era(self.offset, other.offset)


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Progress of a roll-out.

    Attributes
    ----------
    ordered_at : float
        Time of day at which the first node read the order, in seconds.
    phase : RolloutPhase
        Phase of the roll-out.
    since : float
        Time of day at which the phase began.
    why : str
        Reason for the phase, for the log.
    barred : frozenset of SoftwareVersion
        Versions other than the target that get no requests: targets of replaced orders
        that were never proven, and versions that a completed roll-out has replaced.
    token : int
        Fencing token of the coordinator that wrote the progress last, 0 if none did.
    coordinator : str
        Host of that coordinator, to which nodes send their evidence.
    """

    order: RolloutOrder
    ordered_at: float
    since: float
    phase: RolloutPhase = RolloutPhase.CANARY
    why: str = ""
    barred: frozenset[SoftwareVersion] = frozenset()
    token: int = 0
    coordinator: str = ""

    @property
    def deadline(self) -> float:
        """Return the time of day by which the roll-out must have ended."""
        return self.ordered_at + self.order.duration_s

    def advance(self, phase: RolloutPhase, why: str, now: float) -> RolloutProgress:
        """Return the progress in another phase, from a time of day on."""
        return replace(self, phase=phase, why=why, since=now)

    def bar(self, versions: Iterable[SoftwareVersion]) -> RolloutProgress:
        """Return the progress with further versions barred."""
        return replace(self, barred=self.barred | frozenset(versions))

    def by(self, token: int, coordinator: str) -> RolloutProgress:
        """Return the progress as written by a coordinator."""
        return replace(self, token=token, coordinator=coordinator)


def merge_progress(known: RolloutProgress, other: RolloutProgress) -> RolloutProgress:
    """Return what two reports on the roll-outs of one service say together.

    Notes
    -----
    The result does not depend on the order of arrival. Within one order, the later
    phase applies. `COMPLETED` comes after `REVERTED`: once the endpoints of the other
    versions are stopped, their traffic cannot return.
    """
    latest = max(known, other, key=lambda each: each.order.offset)
    if known.order.offset != other.order.offset and not known.order.repeats(
        other.order
    ):
        return latest
    later = max(known, other, key=lambda each: (each.phase.value, -each.since))
    latest_writer = max(known, other, key=lambda each: (each.token, each.coordinator))
    return replace(
        later,
        order=latest.order,
        ordered_at=min(known.ordered_at, other.ordered_at),
        barred=known.barred | other.barred,
        token=latest_writer.token,
        coordinator=latest_writer.coordinator,
    )


def encode_progress(progress: RolloutProgress) -> list[Any]:
    """Return a progress as a list for JSON."""
    order = progress.order
    return [
        order.service,
        order.target,
        order.duration_s,
        order.offset,
        progress.ordered_at,
        progress.since,
        progress.phase.name,
        progress.why,
        sorted(progress.barred),
        progress.token,
        progress.coordinator,
    ]


def encode_progress_record(progress: RolloutProgress) -> bytes:
    """Return a progress as a record of the store."""
    return orjson.dumps(encode_progress(progress))


def decode_progress(raw: list[Any] | bytes) -> RolloutProgress:
    """Return the progress from its JSON list; raise `ValueError` if invalid."""
    value = orjson.loads(raw) if isinstance(raw, bytes) else raw
    try:
        service, target, duration_s, offset, ordered_at, since, *rest = value
        phase, why, barred, token, coordinator = rest
        return RolloutProgress(
            RolloutOrder(
                ServiceName(str(service)),
                SoftwareVersion(str(target)),
                float(duration_s),
                Offset(int(offset)),
            ),
            float(ordered_at),
            float(since),
            RolloutPhase[phase],
            str(why),
            frozenset(SoftwareVersion(str(version)) for version in barred),
            int(token),
            str(coordinator),
        )
    except (LookupError, TypeError) as error:
        raise ValueError(f"progress of a roll-out: {error!r}") from error
