"""Fold configuration records and publish operators' changes.

Notes
-----
Nodes agree only through the order of records in the log. A change names the offset of
the change that it replaces. It comes into force only if that change is still in force
at the new record's offset. So if two operators publish at the same time, the first
record in the log wins on every node.
"""

from __future__ import annotations

from collections.abc import Iterator

from pydantic import ValidationError

from poplarrelay.configuration.resolve import resolve_deployment
from poplarrelay.configuration.schema import Deployment, Template
from poplarrelay.exception import (
    ConfigurationConflict,
    ConfigurationUnconfirmed,
    FieldError,
    InvalidConfiguration,
    LogUnavailable,
)
from poplarrelay.identifiers import Incarnation, NodeId, Offset, RecordId, TeamId
from poplarrelay.messages.effects import (
    AppendRecord,
    Decision,
    Effect,
    FetchConfiguration,
    LogDecision,
    Reply,
)
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import ConfigurationReceived, ConfigurationRequested
from poplarrelay.messages.platform import LogFailed, RecordsRead
from poplarrelay.messages.questions import ChangeRequested
from poplarrelay.messages.records import (
    ChangeRecord,
    Record,
    SnapshotEntry,
    SnapshotLease,
    SnapshotRecord,
)
from poplarrelay.settings import field_errors
from poplarrelay.systems.leasing import fold_lease
from poplarrelay.tables.configuration import (
    ChangeResult,
    ConfigurationTable,
    HistoryEntry,
    InForce,
)
from poplarrelay.tables.leases import Lease
from poplarrelay.tables.members import MemberStatus
from poplarrelay.tables.world import CONFIGURATION, PendingChange, World

__all__ = [
    "fold_change",
    "fold_configuration",
    "load_snapshot",
    "publish_changes",
    "rebuild",
    "share_configuration",
    "take_snapshot",
]

#: Seconds within which an operator's change must be read back from the log.
PUBLISH_TIMEOUT_S = 10.0
#: Seconds between two requests for a peer's configuration.
FETCH_INTERVAL_S = 0.5


def _parse(subject: str, body: dict[str, object]) -> Template | Deployment:
    kind, _, name = subject.partition("/")
    try:
        if kind == "template":
            template = Template.model_validate(body)
            body_name = template.name
            value: Template | Deployment = template
        else:
            deployment = Deployment.model_validate(body)
            body_name = deployment.team
            value = deployment
    except ValidationError as error:
        raise InvalidConfiguration(field_errors(error)) from None
    if body_name != name:
        raise InvalidConfiguration(
            (FieldError(subject, f"the body names {body_name!r}"),)
        )
    return value


def _template(table: ConfigurationTable, name: str) -> Template:
    entry = table.entries.get(f"template/{name}")
    if entry is None or not isinstance(entry.value, Template):
        fault = FieldError("template", f"no template {name!r} is in force")
        raise InvalidConfiguration((fault,))
    return entry.value


def _deployments_of(table: ConfigurationTable, template: str) -> list[Deployment]:
    return [
        entry.value
        for entry in table.entries.values()
        if isinstance(entry.value, Deployment) and entry.value.template == template
    ]


def _check_tokens(table: ConfigurationTable, deployment: Deployment) -> None:
    for digest in deployment.token_sha256:
        owner = table.team_of_token.get(digest)
        if owner is not None and owner != deployment.team:
            fault = FieldError("token_sha256", "a token belongs to another team")
            raise InvalidConfiguration((fault,))


def _check_change(
    table: ConfigurationTable, subject: str, body: dict[str, object] | None
) -> Template | Deployment | None:
    """Return the parsed value of a change, None if the change removes its subject.

    Raises
    ------
    InvalidConfiguration
        If the change, or a deployment that depends on it, would be invalid.
    """
    kind, _, name = subject.partition("/")
    if body is None:
        if kind == "template" and _deployments_of(table, name):
            fault = FieldError(subject, "deployments still name this template")
            raise InvalidConfiguration((fault,))
        return None
    value = _parse(subject, body)
    if isinstance(value, Template):
        for deployment in _deployments_of(table, value.name):
            resolve_deployment(value, deployment)
    else:
        resolve_deployment(_template(table, value.template), value)
        _check_tokens(table, value)
    return value


def rebuild(table: ConfigurationTable) -> None:
    """Recompute policies and teams of tokens from the entries in force."""
    table.policies = {}
    table.team_of_token = {}
    for entry in table.entries.values():
        deployment = entry.value
        if not isinstance(deployment, Deployment):
            continue
        policy = resolve_deployment(_template(table, deployment.template), deployment)
        table.policies[policy.team] = policy
        for digest in policy.token_sha256:
            table.team_of_token[digest] = TeamId(deployment.team)


def fold_change(
    table: ConfigurationTable, offset: Offset, change: ChangeRecord
) -> ChangeResult:
    """Fold one change; the result is the same on every node.

    Parameters
    ----------
    table : ConfigurationTable
        Modified in place if the change comes into force.
    offset : Offset
        Offset of the change in the log.
    change : ChangeRecord
        The change.

    Notes
    -----
    A record that is appended twice (after a lost answer) and an old record that is
    appended again fail the comparison. An offset that was replaced is never in force
    again, since a removal keeps the subject's entry.
    """
    current = table.entries.get(change.subject)
    current_offset = None if current is None else current.offset
    if change.after != current_offset:
        return ChangeResult(False, current_offset)
    try:
        value = _check_change(table, change.subject, change.body)
    except InvalidConfiguration as error:
        return ChangeResult(False, current_offset, str(error))
    table.entries[change.subject] = InForce(offset, value)
    rebuild(table)
    return ChangeResult(True, offset)


def take_snapshot(world: World, record: RecordId) -> SnapshotRecord:
    """Return a snapshot of the configuration and the leases in force."""
    entries = tuple(
        SnapshotEntry(
            subject=subject,
            offset=entry.offset,
            body=None if entry.value is None else entry.value.model_dump(mode="json"),
        )
        for subject, entry in sorted(world.configuration.entries.items())
    )
    covers = world.streams[CONFIGURATION].next
    leases = tuple(
        SnapshotLease(
            duty=duty,
            offset=lease.offset,
            record=lease.record,
            node=lease.node,
            incarnation=lease.incarnation,
            term_s=lease.term_s,
        )
        for duty, lease in sorted(world.leases.items())
    )
    return SnapshotRecord(id=record, covers=covers, entries=entries, leases=leases)


def load_snapshot(snapshot: SnapshotRecord) -> ConfigurationTable:
    """Return the configuration table stored in a snapshot."""
    table = ConfigurationTable()
    for entry in snapshot.entries:
        value = None if entry.body is None else _parse(entry.subject, entry.body)
        table.entries[entry.subject] = InForce(Offset(entry.offset), value)
    rebuild(table)
    return table


def _restore_snapshot(world: World, snapshot: SnapshotRecord, now: float) -> None:
    """Replace the folded configuration and leases by those of a snapshot.

    Each lease counts as read now. This can only make the node wait longer before it
    takes over a duty.
    """
    world.leases = {
        lease.duty: Lease(
            Offset(lease.offset),
            RecordId(lease.record),
            NodeId(lease.node),
            Incarnation(lease.incarnation),
            lease.term_s,
            now,
        )
        for lease in snapshot.leases
    }
    for pending in world.pending_changes.values():
        # The snapshot may already include the change. Resending it could then
        # overwrite a later change.
        pending.resendable = False
    history = world.configuration.history
    world.configuration = load_snapshot(snapshot)
    world.configuration.history = history
    position = world.streams[CONFIGURATION]
    position.next = Offset(snapshot.covers)
    position.caught_up = True


def _resolve_pending(
    world: World, record_id: str, result: ChangeResult, now: float
) -> Iterator[Effect]:
    """Reply to an operator with the result of a change, or resend the change.

    Notes
    -----
    An operator can publish a change without naming the offset that it replaces. Such a
    change loses if this node had not read an earlier change of the subject when it sent
    the record. This is not a conflict, since the operator named no offset. A record
    that has lost cannot come into force later, so the node resends the change under a
    new record id until the change's deadline.
    """
    pending = world.pending_changes.pop(RecordId(record_id), None)
    if pending is None:
        return
    if result.won:
        yield Reply(pending.call, result)
    elif result.problem:
        fault = FieldError(pending.subject, result.problem)
        yield Reply(pending.call, InvalidConfiguration((fault,)))
    elif pending.resendable and now < pending.until:
        yield from _send_change(world, pending)
    else:
        yield Reply(pending.call, ConfigurationConflict(pending.subject, result.winner))


def _fold_one(world: World, record: Record, now: float) -> Iterator[Effect]:
    position = world.streams[CONFIGURATION]
    if record.offset < position.next:
        return
    position.next = Offset(record.offset + 1)
    yield from fold_lease(world, record, now)
    change = record.value
    if not isinstance(change, ChangeRecord):
        return
    table = world.configuration
    result = fold_change(table, record.offset, change)
    table.history.append(HistoryEntry(record.offset, change.subject, result))
    yield LogDecision(
        Decision.CONFIGURATION,
        (
            ("subject", change.subject),
            ("offset", record.offset),
            ("in_force", result.won),
            ("winner", result.winner),
            ("problem", result.problem or None),
        ),
    )
    yield from _resolve_pending(world, change.id, result, now)


def _newest_usable_snapshot(
    records: list[Record], oldest: Offset
) -> SnapshotRecord | None:
    """Return the newest snapshot since which no record was trimmed, None if none."""
    for record in reversed(records):
        value = record.value
        if isinstance(value, SnapshotRecord) and value.covers >= oldest:
            return value
    return None


def _fold_batch(world: World, batch: RecordsRead, now: float) -> Iterator[Effect]:
    position = world.streams[CONFIGURATION]
    if batch.oldest > position.next or world.unfolded_records:
        yield from _collect(world, batch, now)
        return
    for record in batch.records:
        yield from _fold_one(world, record, now)
    if position.next >= batch.next:
        position.caught_up = True


def _collect(world: World, batch: RecordsRead, now: float) -> Iterator[Effect]:
    """Collect records up to the end of a trimmed stream, then start from a snapshot.

    Notes
    -----
    The state is unknown without the trimmed records. Folding only the remaining records
    would produce a configuration that no operator published. So the node folds nothing
    and is not ready until a snapshot replaces the trimmed records.
    """
    position = world.streams[CONFIGURATION]
    position.caught_up = False
    known = {record.offset for record in world.unfolded_records}
    world.unfolded_records.extend(r for r in batch.records if r.offset not in known)
    if not world.unfolded_records or world.unfolded_records[-1].offset + 1 < batch.next:
        return
    base = _newest_usable_snapshot(world.unfolded_records, batch.oldest)
    if base is None or base.covers < position.next:
        return
    records, world.unfolded_records = world.unfolded_records, []
    _restore_snapshot(world, base, now)
    for record in records:
        yield from _fold_one(world, record, now)


def fold_configuration(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Fold records of the configuration stream and snapshots from peers."""
    position = world.streams[CONFIGURATION]
    for failure in inbox.of(LogFailed):
        if failure.stream == CONFIGURATION:
            position.failed_at = now
    for batch in inbox.of(RecordsRead):
        if batch.stream == CONFIGURATION:
            position.read_at = now
            yield from _fold_batch(world, batch, now)
    for message in inbox.of(ConfigurationReceived):
        covers = message.snapshot.covers
        if covers > position.next or (
            not position.caught_up and covers == position.next
        ):
            world.unfolded_records = []
            _restore_snapshot(world, message.snapshot, now)
            yield LogDecision(
                Decision.CONFIGURATION,
                (("from_peer", True), ("offset", covers)),
            )


def publish_changes(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Check operators' changes, append them to the log, and report timeouts."""
    for requested in inbox.of(ChangeRequested):
        yield from _publish(world, requested, now)
    for record, pending in list(world.pending_changes.items()):
        if now >= pending.until:
            del world.pending_changes[record]
            yield Reply(pending.call, ConfigurationUnconfirmed(pending.subject))


def _publish(world: World, requested: ChangeRequested, now: float) -> Iterator[Effect]:
    position = world.streams[CONFIGURATION]
    if not position.caught_up or not position.available:
        yield Reply(requested.call, LogUnavailable("the log cannot be reached"))
        return
    current = world.configuration.entries.get(requested.subject)
    current_offset = None if current is None else current.offset
    if requested.check_after and requested.after != current_offset:
        yield Reply(
            requested.call, ConfigurationConflict(requested.subject, current_offset)
        )
        return
    until = now + PUBLISH_TIMEOUT_S
    pending = PendingChange(
        requested.call,
        requested.subject,
        until,
        requested.body,
        not requested.check_after,
    )
    yield from _send_change(world, pending)


def _send_change(world: World, pending: PendingChange) -> Iterator[Effect]:
    """Append a valid change that replaces the one in force on this node."""
    subject, body = pending.subject, pending.body
    try:
        _check_change(world.configuration, subject, body)
    except InvalidConfiguration as error:
        yield Reply(pending.call, error)
        return
    current = world.configuration.entries.get(subject)
    current_offset = None if current is None else current.offset
    record = world.new_record_id()
    change = ChangeRecord(id=record, subject=subject, after=current_offset, body=body)
    world.pending_changes[record] = pending
    yield AppendRecord(CONFIGURATION, change, pending.until)


def share_configuration(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Send the configuration in force to peers, and fetch theirs if it is newer.

    Notes
    -----
    A change that was accepted just before an outage of the log must still reach every
    node. A node that starts during the outage can get the configuration only from its
    peers.
    """
    for requested in inbox.of(ConfigurationRequested):
        caught_up = world.streams[CONFIGURATION].caught_up
        snapshot = take_snapshot(world, world.new_record_id()) if caught_up else None
        yield Reply(requested.call, snapshot)
    position = world.streams[CONFIGURATION]
    if now < world.next_fetch_at or (position.available and position.caught_up):
        return
    ahead = [
        member.peers
        for member in world.members.values()
        if member.status is MemberStatus.ALIVE
        and (member.configuration_next > position.next or not position.caught_up)
        and member.ready
    ]
    if ahead:
        world.next_fetch_at = now + FETCH_INTERVAL_S
        yield FetchConfiguration(world.rng.choice(ahead))
