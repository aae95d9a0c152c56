"""Acquire, renew and release duties by leases in the log.

Notes
-----
A lease is a log record, and the offset of the record is its fencing token. The holder
counts the term from before it sent the record, on its own monotonic clock. Another
node takes over only when a complete term and a margin have passed on its own clock
since it read the record. Clocks run at nearly the same speed, so the holder has stopped
before another node begins. The margin is longer than an order can take. So an order
that the holder sent at the last moment has arrived or timed out by then.

References
----------
C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
File Cache Consistency", SOSP 1989.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.identifiers import Incarnation, NodeId, Offset, RecordId
from poplarrelay.messages.effects import AppendRecord, Decision, Effect, LogDecision
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.records import LeaseRecord, Record
from poplarrelay.tables.leases import Duty, Lease, LeaseRequest
from poplarrelay.tables.world import CONFIGURATION, NodePhase, World

__all__ = ["fencing_token", "fold_lease", "keep_leases", "remaining_term"]

#: Longest random delay in seconds before a node requests a free duty, so that not all
#: nodes request it.
LEASE_REQUEST_JITTER_S = 1.0
#: Fraction of the term after which a lease is renewed.
RENEW_SHARE = 0.33


def fold_lease(world: World, record: Record, now: float) -> Iterator[Effect]:
    """Fold a lease record; it counts only if it replaces the lease in force."""
    value = record.value
    if not isinstance(value, LeaseRecord):
        return
    current = world.leases.get(value.duty)
    if value.after != (None if current is None else current.offset):
        return
    world.leases[value.duty] = Lease(
        offset=record.offset,
        record=RecordId(value.id),
        node=NodeId(value.node),
        incarnation=Incarnation(value.incarnation),
        term_s=value.term_s,
        read_at=now,
    )
    if current is None or current.incarnation != value.incarnation:
        yield LogDecision(
            Decision.LEASE,
            (
                ("duty", value.duty),
                ("holder", value.node),
                ("fencing", record.offset),
                ("term_s", value.term_s),
            ),
        )


def remaining_term(world: World, duty: Duty, now: float) -> float:
    """Return the seconds for which this node still holds a duty, 0 if it does not.

    Notes
    -----
    Only a lease record that was read back from the log counts. Until then, another
    node's record may be before it in the log.
    """
    lease = world.leases.get(duty.value)
    if lease is None or lease.incarnation != world.incarnation:
        return 0.0
    lease_request = world.lease_requests.get(lease.record)
    if lease_request is None:
        return 0.0
    return max(0.0, lease_request.counted_from + lease_request.term_s - now)


def fencing_token(world: World, duty: Duty) -> Offset | None:
    """Return the fencing token of the lease in force, None if there is none."""
    lease = world.leases.get(duty.value)
    return None if lease is None else lease.offset


def keep_leases(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Renew this node's leases, request free ones, and release them when leaving."""
    position = world.streams[CONFIGURATION]
    if not position.caught_up or not position.available:
        return
    for duty in Duty:
        if world.phase is NodePhase.DRAINING:
            yield from _release_lease(world, duty, now)
        elif world.me.ready:
            yield from _keep_lease(world, duty, now)
    _forget_lease_requests(world, now)


def _keep_lease(world: World, duty: Duty, now: float) -> Iterator[Effect]:
    term_s = world.settings.timing.lease_term_s
    remaining = remaining_term(world, duty, now)
    if remaining > 0.0:
        if remaining < (1.0 - RENEW_SHARE) * term_s and _may_request(world, duty, now):
            yield from _request_lease(world, duty, term_s, now)
        return
    if not _lease_expired(world, duty, now):
        world.lease_attempt_at.pop(duty.value, None)
        return
    due_at = world.lease_attempt_at.setdefault(
        duty.value, now + world.rng.random() * LEASE_REQUEST_JITTER_S
    )
    if now >= due_at and _may_request(world, duty, now):
        yield from _request_lease(world, duty, term_s, now)


def _lease_expired(world: World, duty: Duty, now: float) -> bool:
    """Return whether the term of the lease is certainly over for its holder."""
    lease = world.leases.get(duty.value)
    if lease is None or lease.term_s == 0.0:
        return True
    margin = world.settings.timing.lease_margin_s
    return now >= lease.read_at + lease.term_s + margin


def _may_request(world: World, duty: Duty, now: float) -> bool:
    """Return whether this node has no recent lease record for the duty in flight."""
    return now >= world.next_lease_request_at.get(duty.value, float("-inf"))


def _request_lease(
    world: World, duty: Duty, term_s: float, now: float
) -> Iterator[Effect]:
    record = world.new_record_id()
    current = world.leases.get(duty.value)
    world.lease_requests[record] = LeaseRequest(record, now, term_s)
    world.next_lease_request_at[duty.value] = now + RENEW_SHARE * term_s / 2
    value = LeaseRecord(
        id=record,
        duty=duty.value,
        node=world.node,
        incarnation=world.incarnation,
        after=None if current is None else current.offset,
        term_s=term_s,
    )
    until = now + RENEW_SHARE * world.settings.timing.lease_term_s
    yield AppendRecord(CONFIGURATION, value, until)


def _release_lease(world: World, duty: Duty, now: float) -> Iterator[Effect]:
    """Release a duty, so that another node need not wait for the end of its term."""
    if (
        remaining_term(world, duty, now) > 0.0
        and duty.value not in world.released_duties
    ):
        world.released_duties.add(duty.value)
        yield from _request_lease(world, duty, 0.0, now)


def _forget_lease_requests(world: World, now: float) -> None:
    limit = 4 * world.settings.timing.lease_term_s
    for record, lease_request in list(world.lease_requests.items()):
        if now - lease_request.counted_from > limit:
            del world.lease_requests[record]
