"""Write snapshots of the configuration before the log trims its records.

Notes
-----
The log keeps records for a limited time. The node that holds the snapshots duty writes
the configuration and leases in force as a snapshot, with the offset up to which it
covers the log. Nodes start from a snapshot only if they start or have missed trimmed
records, and they fold every record from the covered offset on. So a snapshot never
reverts a change, even if its writer was paused or a change was appended at the same
time.
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

#: Seconds within which a snapshot must be appended.
SNAPSHOT_TIMEOUT_S = 5.0


def write_snapshots(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Write a snapshot when one is due, if this node holds the snapshots duty."""
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
