"""Write the configuration again before the log trims it.

Notes
-----
The log keeps records for a limited time. The node that holds the duty writes all that
is in force as a snapshot that names the offset up to which it covers. A snapshot is
only a base for nodes that start or that have missed trimmed records, and every record
from the covered offset on is folded on top of it. So a snapshot that was written late,
by a writer that was paused, or while a change raced it, never undoes anything.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.messages.effects import AppendRecord, Decision, Effect, LogDecision
from poplarrelay.messages.inbox import Inbox
from poplarrelay.systems.configuring import take_snapshot
from poplarrelay.systems.leasing import remaining_term
from poplarrelay.tables.leases import Duty
from poplarrelay.tables.world import CONFIGURATION, World

__all__ = ["write_snapshots"]

#: Seconds that a snapshot may take to be appended.
SNAPSHOT_TIMEOUT_S = 5.0


def write_snapshots(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Write a snapshot in time, if this node holds the duty."""
    if remaining_term(world, Duty.SNAPSHOTS, now) < SNAPSHOT_TIMEOUT_S:
        return
    if now < world.next_snapshot_at:
        return
    position = world.streams[CONFIGURATION]
    if not position.caught_up or not position.available:
        return
    world.next_snapshot_at = now + world.settings.timing.snapshot_s
    snapshot = take_snapshot(world, world.new_record_id())
    yield LogDecision(
        Decision.CONFIGURATION,
        (("snapshot_covers", snapshot.covers), ("entries", len(snapshot.entries))),
    )
    yield AppendRecord(CONFIGURATION, snapshot, now + SNAPSHOT_TIMEOUT_S)
