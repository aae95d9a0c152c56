"""Fold configuration records and publish operators' changes.

Notes
-----
The order of records in the log is the only agreement. A change names the offset of
the change that it replaces and counts only if that one is still in force at its own
offset, so of two racing operators the first in the log wins on every node alike.
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
from poplarrelay.messages.peers import ConfigurationAsked, ConfigurationReceived
from poplarrelay.messages.platform import LogFailed, RecordsRead
from poplarrelay.messages.questions import ChangeAsked
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

#: Seconds that an operator's change may take to be read back.
PUBLISH_TIMEOUT_S = 10.0
#: Seconds between two requests for a peer's configuration.
FETCH_INTERVAL_S = 0.5


def _parse(subject: str, body: dict[str, object]) -> Template | Deployment:
    kind, _, name = subject.partition("/")
    try:
        if kind == "template":
            template = Template.model_validate(body)
            own = template.name
            value: Template | Deployment = template
        else:
            deployment = Deployment.model_validate(body)
            own = deployment.team
            value = deployment
    except ValidationError as error:
        raise InvalidConfiguration(field_errors(error)) from None
    if own != name:
        raise InvalidConfiguration((FieldError(subject, f"the body names {own!r}"),))
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
    """Return the value of a change that may come into force.

    Raises
    ------
    InvalidConfiguration
        If the change, or a deployment that depends on it, would not be valid.
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
    """Work out policies and tokens from the entries in force."""
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
    """Fold one change; the same on every node.

    Parameters
    ----------
    table : ConfigurationTable
        Changed in place if the change comes into force.
    offset : Offset
        Where the change stands in the log.
    change : ChangeRecord
        The change.

    Notes
    -----
    A repetition of a record (after a lost answer) or an old record that is put
    back fails the comparison, since an offset once replaced never returns: a
    removal keeps its row.
    """
    current = table.entries.get(change.subject)
    winner = None if current is None else current.offset
    if change.after != winner:
        return ChangeResult(False, winner)
    try:
        value = _check_change(table, change.subject, change.body)
    except InvalidConfiguration as error:
        return ChangeResult(False, winner, str(error))
    table.entries[change.subject] = InForce(offset, value)
    rebuild(table)
    return ChangeResult(True, offset)


def take_snapshot(world: World, record: RecordId) -> SnapshotRecord:
    """Return all configuration and all leases that are in force."""
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
    """Return the table that a snapshot holds."""
    table = ConfigurationTable()
    for entry in snapshot.entries:
        value = None if entry.body is None else _parse(entry.subject, entry.body)
        table.entries[entry.subject] = InForce(Offset(entry.offset), value)
    rebuild(table)
    return table


def _adopt(world: World, snapshot: SnapshotRecord, now: float) -> None:
    """Start from a snapshot.

    A lease counts as read only now, which can only make this node wait longer
    before it takes a duty over.
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


def _settle(
    world: World, record_id: str, verdict: ChangeResult, now: float
) -> Iterator[Effect]:
    """Reply to an operator with the verdict on a change, or resend the change.

    Notes
    -----
    A change without `after` loses if this node had not read an earlier change of the
    subject when it sent the record. The operator gave no offset, so this is not a
    conflict. A record that has lost cannot come into force later, so the change is
    resent under a new record id until its deadline.
    """
    pending = world.pending_changes.pop(RecordId(record_id), None)
    if pending is None:
        return
    if verdict.won:
        yield Reply(pending.call, verdict)
    elif verdict.problem:
        fault = FieldError(pending.subject, verdict.problem)
        yield Reply(pending.call, InvalidConfiguration((fault,)))
    elif pending.resendable and now < pending.until:
        yield from _send_change(world, pending)
    else:
        yield Reply(
            pending.call, ConfigurationConflict(pending.subject, verdict.winner)
        )


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
    verdict = fold_change(table, record.offset, change)
    table.history.append(HistoryEntry(record.offset, change.subject, verdict))
    yield LogDecision(
        Decision.CONFIGURATION,
        (
            ("subject", change.subject),
            ("offset", record.offset),
            ("in_force", verdict.won),
            ("winner", verdict.winner),
            ("problem", verdict.problem or None),
        ),
    )
    yield from _settle(world, change.id, verdict, now)


def _base_of(records: list[Record], oldest: Offset) -> SnapshotRecord | None:
    """Return the newest snapshot after which no record is missing."""
    for record in reversed(records):
        value = record.value
        if isinstance(value, SnapshotRecord) and value.covers >= oldest:
            return value
    return None


def _fold_batch(world: World, batch: RecordsRead, now: float) -> Iterator[Effect]:
    position = world.streams[CONFIGURATION]
    if batch.oldest > position.next or world.collecting:
        yield from _collect(world, batch, now)
        return
    for record in batch.records:
        yield from _fold_one(world, record, now)
    if position.next >= batch.next:
        position.caught_up = True


def _collect(world: World, batch: RecordsRead, now: float) -> Iterator[Effect]:
    """Read up to the end of a trimmed stream, then start from a snapshot.

    Notes
    -----
    Without the trimmed records the state is not known: folding what is left would
    give a node a configuration that nobody published. So nothing is folded, and
    the node is not ready, until a snapshot closes the gap.
    """
    position = world.streams[CONFIGURATION]
    position.caught_up = False
    known = {record.offset for record in world.collecting}
    world.collecting.extend(r for r in batch.records if r.offset not in known)
    if not world.collecting or world.collecting[-1].offset + 1 < batch.next:
        return
    base = _base_of(world.collecting, batch.oldest)
    if base is None or base.covers < position.next:
        return
    records, world.collecting = world.collecting, []
    _adopt(world, base, now)
    for record in records:
        yield from _fold_one(world, record, now)


def fold_configuration(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Fold what was read of the configuration stream."""
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
            world.collecting = []
            _adopt(world, message.snapshot, now)
            yield LogDecision(
                Decision.CONFIGURATION,
                (("from_peer", True), ("offset", covers)),
            )


def publish_changes(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Check operators' changes, send them to the log, and tell the verdict."""
    for asked in inbox.of(ChangeAsked):
        yield from _publish(world, asked, now)
    for record, pending in list(world.pending_changes.items()):
        if now >= pending.until:
            del world.pending_changes[record]
            yield Reply(pending.call, ConfigurationUnconfirmed(pending.subject))


def _publish(world: World, asked: ChangeAsked, now: float) -> Iterator[Effect]:
    position = world.streams[CONFIGURATION]
    if not position.caught_up or not position.available:
        yield Reply(asked.call, LogUnavailable("the log cannot be reached"))
        return
    current = world.configuration.entries.get(asked.subject)
    winner = None if current is None else current.offset
    if asked.checked and asked.after != winner:
        yield Reply(asked.call, ConfigurationConflict(asked.subject, winner))
        return
    until = now + PUBLISH_TIMEOUT_S
    pending = PendingChange(
        asked.call, asked.subject, until, asked.body, not asked.checked
    )
    yield from _send_change(world, pending)


def _send_change(world: World, pending: PendingChange) -> Iterator[Effect]:
    """Check a change and append it after the one in force on this node."""
    subject, body = pending.subject, pending.body
    try:
        _check_change(world.configuration, subject, body)
    except InvalidConfiguration as error:
        yield Reply(pending.call, error)
        return
    current = world.configuration.entries.get(subject)
    winner = None if current is None else current.offset
    record = world.new_record_id()
    change = ChangeRecord(id=record, subject=subject, after=winner, body=body)
    world.pending_changes[record] = pending
    yield AppendRecord(CONFIGURATION, change, pending.until)


def share_configuration(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Give peers the configuration in force, and take theirs when they are ahead.

    Notes
    -----
    A change that was accepted just before the log went away must still reach
    every node, and a node that starts during an outage has only its peers.
    """
    for asked in inbox.of(ConfigurationAsked):
        caught_up = world.streams[CONFIGURATION].caught_up
        snapshot = take_snapshot(world, world.new_record_id()) if caught_up else None
        yield Reply(asked.call, snapshot)
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
