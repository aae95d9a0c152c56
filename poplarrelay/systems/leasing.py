"""Take, renew and give up duties by leases on the log.

Notes
-----
A lease is a record; its offset is its fencing number. The holder counts the term from
before it sent the record, on its own monotonic clock. Others take over only when a
whole term and a margin have passed since they have read it, on theirs. As clocks run
at nearly the same speed, the holder has stopped before anyone else begins. The margin
is longer than an order can take, so that an order sent at the last moment has arrived
or timed out by then.

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

__all__ = ["fencing_number", "fold_lease", "keep_leases", "remaining_term"]

#: Longest random wait before a free duty is taken, so that not all nodes try.
TAKE_JITTER_S = 1.0
#: Share of the term after which it is renewed.
RENEW_SHARE = 0.33


def fold_lease(world: World, record: Record, now: float) -> Iterator[Effect]:
    """Fold a lease record; it counts only if it replaces the one in force."""
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
    Only a record that was read back counts: until then another one may have come
    before it.
    """
    lease = world.leases.get(duty.value)
    if lease is None or lease.incarnation != world.incarnation:
        return 0.0
    lease_request = world.lease_requests.get(lease.record)
    if lease_request is None:
        return 0.0
    return max(0.0, lease_request.counted_from + lease_request.term_s - now)


def fencing_number(world: World, duty: Duty) -> Offset | None:
    """Return the fencing number of the lease in force, None if there is none."""
    lease = world.leases.get(duty.value)
    return None if lease is None else lease.offset


def keep_leases(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Renew what this node holds, take what is free, give up when leaving."""
    position = world.streams[CONFIGURATION]
    if not position.caught_up or not position.available:
        return
    for duty in Duty:
        if world.phase is NodePhase.DRAINING:
            yield from _give_up(world, duty, now)
        elif world.me.ready:
            yield from _keep(world, duty, now)
    _forget_bids(world, now)


def _keep(world: World, duty: Duty, now: float) -> Iterator[Effect]:
    term_s = world.settings.timing.lease_term_s
    left = remaining_term(world, duty, now)
    if left > 0.0:
        if left < (1.0 - RENEW_SHARE) * term_s and _may_bid(world, duty, now):
            yield from _bid(world, duty, term_s, now)
        return
    if not _free(world, duty, now):
        world.take_at.pop(duty.value, None)
        return
    at = world.take_at.setdefault(duty.value, now + world.rng.random() * TAKE_JITTER_S)
    if now >= at and _may_bid(world, duty, now):
        yield from _bid(world, duty, term_s, now)


def _free(world: World, duty: Duty, now: float) -> bool:
    """Return whether the holder's term is over for certain."""
    lease = world.leases.get(duty.value)
    if lease is None or lease.term_s == 0.0:
        return True
    margin = world.settings.timing.lease_margin_s
    return now >= lease.read_at + lease.term_s + margin


def _may_bid(world: World, duty: Duty, now: float) -> bool:
    """Return whether no record of this node for the duty is on its way."""
    return now >= world.next_bid_at.get(duty.value, float("-inf"))


def _bid(world: World, duty: Duty, term_s: float, now: float) -> Iterator[Effect]:
    record = world.new_record_id()
    current = world.leases.get(duty.value)
    world.lease_requests[record] = LeaseRequest(record, now, term_s)
    world.next_bid_at[duty.value] = now + RENEW_SHARE * term_s / 2
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


def _give_up(world: World, duty: Duty, now: float) -> Iterator[Effect]:
    """Give a duty up, so that another node need not wait for its term to end."""
    if remaining_term(world, duty, now) > 0.0 and duty.value not in world.given_up:
        world.given_up.add(duty.value)
        yield from _bid(world, duty, 0.0, now)


def _forget_bids(world: World, now: float) -> None:
    limit = 4 * world.settings.timing.lease_term_s
    for record, lease_request in list(world.lease_requests.items()):
        if now - lease_request.counted_from > limit:
            del world.lease_requests[record]
