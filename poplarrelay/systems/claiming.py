"""Claim caller keys on the log.

Notes
-----
The first claim in the log wins on every node. A node that reads the claim of another
process sends that process a query. That process replies "released" only if it has sent
no attempt under the claim, and it never uses the claim again. A new claim then names
the released claim as the one that it replaces.

The outcome "not run" is a statement about the key, not only about this node: a caller
that gets it can repeat the work under another key. Only the process that holds the
claim returns "not run", or, when the log is unreachable, a node to which every peer has
replied that it does not have the key. Requests with the key that arrived before "not
run" was returned must not run on any node. The reply "released" therefore contains the
age of the release, and requests that are older than the release end as well.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.exception import KeyReused
from poplarrelay.messages.effects import (
    AppendRecord,
    Decision,
    Effect,
    LogDecision,
    QueryAllPeers,
    QueryKey,
)
from poplarrelay.messages.encoding import decode_outcome
from poplarrelay.messages.gossip import KeyQuery, KeyReply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import AllPeersAnswered, KeyAnswered
from poplarrelay.messages.platform import LogFailed, RecordsRead
from poplarrelay.messages.records import ClaimRecord, Record
from poplarrelay.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from poplarrelay.systems.concluding import conclude
from poplarrelay.systems.key_ownership import key_reply, owner_of
from poplarrelay.systems.keys import CallerKey, caller_key_time
from poplarrelay.systems.limits import enqueue
from poplarrelay.tables.claims import Claim, KeyExecution, KeyState, TeamKey
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestState
from poplarrelay.tables.world import CLAIMS, World

__all__ = [
    "fold_claims",
    "check_claims",
    "follow_key_queries",
    "resolve_caller_key",
]

#: Seconds between two queries about a key that is running at another node.
QUERY_INTERVAL_S = 0.1
#: Seconds after which a caller can retry when the log is unreachable.
LOG_RETRY_S = 1.0
#: Share of a request's remaining time after which its claim times out. The rest is
#: left to query the peers if the log does not answer.
CLAIM_SHARE = 0.6
#: Most peers that are queried about one key while the log is unreachable.
MAX_QUERIED_PEERS = 16


def fold_claims(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Fold the records read from the claims stream."""
    position = world.streams[CLAIMS]
    for failure in inbox.of(LogFailed):
        if failure.stream == CLAIMS:
            position.failed_at = now
    for batch in inbox.of(RecordsRead):
        if batch.stream != CLAIMS:
            continue
        position.read_at = now
        if batch.log_time is not None:
            world.log_clock = batch.log_time - now
        if batch.oldest > position.next:
            yield from _skip_trimmed(world, batch)
        for record in batch.records:
            if record.offset >= position.next:
                position.next = type(position.next)(record.offset + 1)
                _fold_claim(world, record, now)
        if position.next >= batch.next:
            position.caught_up = True


def _skip_trimmed(world: World, batch: RecordsRead) -> Iterator[Effect]:
    """Continue after records that the log has trimmed.

    Notes
    -----
    The log must keep claims for at least `key_memory_s` (see the operators' page).
    Nodes have then already forgotten the key of every trimmed claim.
    """
    position = world.streams[CLAIMS]
    yield LogDecision(
        Decision.CLAIM,
        (("trimmed_from", position.next), ("trimmed_to", batch.oldest)),
    )
    position.next = batch.oldest


def _fold_claim(world: World, record: Record, now: float) -> None:
    claim = record.value
    if not isinstance(claim, ClaimRecord):
        return
    key = TeamKey.of(claim.team, claim.key)
    current = world.claims.get(key)
    if claim.after != (None if current is None else current.offset):
        return
    # The append time by the log's clock is not used. If that clock was set forward,
    # nodes would forget claims too early, and a key could run twice.
    world.claims[key] = Claim.from_record(record.offset, claim, now)


def resolve_caller_key(
    world: World, request: Request, caller_key: CallerKey, now: float
) -> Iterator[Effect]:
    """Find out which node can run a caller key that this process does not run.

    Raises
    ------
    KeyReused
        If the key is claimed for other work.
    """
    key = TeamKey(request.team, caller_key.key)
    claim = world.claims.get(key)
    if claim is None:
        if _may_be_forgotten(world, caller_key, now):
            yield from _end_expired(world, request, now)
        else:
            yield from claim_key(world, request, None, now)
        return
    if claim.fingerprint != request.work.fingerprint:
        raise KeyReused("the key came before with other work")
    if claim.incarnation != world.incarnation:
        yield from _query_holder(world, request, claim, now)
    elif key in world.key_executions:
        yield from claim_key(world, request, claim, now)
    else:
        yield from _end_expired(world, request, now)


def _end_expired(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.KEY_EXPIRED)
    yield from conclude(world, request, outcome, now)


def _may_be_forgotten(world: World, caller_key: CallerKey, now: float) -> bool:
    """Return whether nodes may have forgotten claims as old as the key.

    The age is measured by the log's clock. A host's clock can be set back, and then an
    old key would look new.
    """
    created_at = caller_key_time(caller_key.key)
    if created_at is None or world.log_clock is None:
        return False
    return now + world.log_clock - created_at > world.settings.limits.key_memory_s


def claim_key(
    world: World, request: Request, claim: Claim | None, now: float
) -> Iterator[Effect]:
    """Send a claim to the log, or query all peers if the log is unavailable.

    Parameters
    ----------
    claim : Claim or None
        The released claim to replace, None if there is none.
    """
    key = world.team_key(request)
    assert key is not None
    record = world.new_record_id()
    replaced = None if claim is None else claim.offset
    world.key_executions[key] = KeyExecution(
        KeyState.OPEN,
        request.id,
        request.work.fingerprint,
        changed_at=now,
        replaced_claim=replaced,
        record=record,
    )
    if not world.streams[CLAIMS].available or world.handover is not None:
        yield from _query_all_peers(world, request, now)
        return
    request.state = RequestState.CLAIMING
    timeout = world.settings.timing.claim_wait_s
    time_left = CLAIM_SHARE * (request.deadline - now)
    request.claim_until = now + min(timeout, time_left)
    world.claiming.add(request.id)
    value = ClaimRecord(
        id=record,
        team=request.team,
        key=key.key,
        node=world.node,
        incarnation=world.incarnation,
        fingerprint=request.work.fingerprint,
        after=replaced,
    )
    yield AppendRecord(CLAIMS, value, request.claim_until)


def check_claims(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Check whether claims in flight have won, have lost or have timed out."""
    for request_id in sorted(world.claiming):
        request = world.requests.get(request_id)
        if request is None or request.state is not RequestState.CLAIMING:
            world.claiming.discard(request_id)
        else:
            yield from _check_claim(world, request, now)


def _check_claim(world: World, request: Request, now: float) -> Iterator[Effect]:
    key = world.team_key(request)
    assert key is not None
    execution = world.key_executions[key]
    claim = world.claims.get(key)
    if claim is not None and claim.record == execution.record:
        yield from _claim_won(world, request, execution, claim, now)
    elif claim is not None and claim.offset != execution.replaced_claim:
        yield from _claim_lost(world, request, key, claim, now)
    elif now >= request.claim_until or not world.streams[CLAIMS].available:
        world.claiming.discard(request.id)
        yield from _query_all_peers(world, request, now)


def _claim_won(
    world: World, request: Request, execution: KeyExecution, claim: Claim, now: float
) -> Iterator[Effect]:
    world.claiming.discard(request.id)
    execution.claim = claim.offset
    yield LogDecision(
        Decision.CLAIM,
        (("request", request.id), ("won", True), ("offset", claim.offset)),
    )
    yield from enqueue(world, request, now)


def _claim_lost(
    world: World, request: Request, key: TeamKey, claim: Claim, now: float
) -> Iterator[Effect]:
    world.claiming.discard(request.id)
    yield LogDecision(
        Decision.CLAIM,
        (("request", request.id), ("won", False), ("winner", claim.node)),
    )
    if claim.incarnation == world.incarnation:
        # An earlier claim of this process came into force after its request had
        # ended. That claim is not used; a new claim replaces it.
        yield from claim_key(world, request, claim, now)
        return
    del world.key_executions[key]
    if claim.fingerprint != request.work.fingerprint:
        outcome = Unknown(UnknownReason.KEY_EXPIRED)
        yield from conclude(world, request, outcome, now)
        return
    yield from _query_holder(world, request, claim, now)


def _key_query(request: Request, incarnation: str, claim: int | None) -> KeyQuery:
    assert request.key is not None
    return KeyQuery(
        team=request.team,
        key=request.key,
        fingerprint=request.work.fingerprint,
        incarnation=incarnation,
        claim=claim,
    )


def _query_holder(
    world: World, request: Request, claim: Claim, now: float
) -> Iterator[Effect]:
    """Query the process that answers for a claim, which can be this process."""
    request.state = RequestState.ASKING
    query = _key_query(request, claim.incarnation, claim.offset)
    if claim.incarnation in world.inherited_incarnations:
        yield from _handle_reply(world, request, key_reply(world, query, now), now)
        return
    owner = owner_of(world, claim.node, claim.incarnation)
    if owner is None:
        yield from _end_unreachable(world, request, now)
    else:
        yield QueryKey(request.id, owner.peers, query)


def _end_unreachable(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.OWNER_UNREACHABLE, LOG_RETRY_S)
    yield from conclude(world, request, outcome, now)


def _query_all_peers(world: World, request: Request, now: float) -> Iterator[Effect]:
    """Query all peers about a key that cannot be claimed.

    Notes
    -----
    Without the log this node cannot tell whether another node has run the key. If one
    peer does not reply, that peer may have run it, and the outcome is "unknown". A
    process that has not read the claims to their end since its start has no state of
    its predecessor's keys either. In that state a peer does not reply "absent", and
    this node does not return "not run".
    """
    peers = [m for m in world.members.values() if not _has_successor(m)]
    request.state = RequestState.VERIFYING
    alone = not peers and bool(world.settings.seeds)
    if alone or len(peers) > MAX_QUERIED_PEERS or not world.streams[CLAIMS].caught_up:
        yield from _end_unknown(world, request, now)
        return
    if not peers:
        yield from _end_not_run(world, request, now)
        return
    addresses = tuple(member.peers for member in peers)
    yield QueryAllPeers(request.id, addresses, _key_query(request, "", None))


def _has_successor(member: Member) -> bool:
    """Return whether a node has left and its successor has its keys."""
    return member.status is MemberStatus.LEFT and member.successor is not None


def _end_not_run(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = NotRun(NotRunReason.LOG_UNAVAILABLE, LOG_RETRY_S)
    yield from conclude(world, request, outcome, now)


def _end_unknown(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.LOG_UNAVAILABLE, LOG_RETRY_S)
    yield from conclude(world, request, outcome, now)


def follow_key_queries(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Handle replies about keys, and repeat queries about keys that still run."""
    for peers_answered in inbox.of(AllPeersAnswered):
        request = world.requests.get(peers_answered.request)
        if request is not None and request.state is RequestState.VERIFYING:
            end = _end_not_run if peers_answered.absent else _end_unknown
            yield from end(world, request, now)
    for answered in inbox.of(KeyAnswered):
        request = world.requests.get(answered.request)
        if request is not None and request.state is RequestState.ASKING:
            yield from _handle_reply(world, request, answered.reply, now)
    for request_id, at in list(world.next_query_at.items()):
        if now >= at:
            del world.next_query_at[request_id]
            request = world.requests.get(request_id)
            if request is not None and request.state is RequestState.ASKING:
                yield from _repeat_query(world, request, now)


def _repeat_query(world: World, request: Request, now: float) -> Iterator[Effect]:
    key = world.team_key(request)
    claim = None if key is None else world.claims.get(key)
    if claim is None:
        yield from _end_unreachable(world, request, now)
    else:
        yield from _query_holder(world, request, claim, now)


def _handle_reply(
    world: World, request: Request, reply: KeyReply | None, now: float
) -> Iterator[Effect]:
    key = world.team_key(request)
    if reply is None or key is None or reply.state in ("broken", "absent"):
        yield from _end_unreachable(world, request, now)
    elif reply.state == "finished" and reply.outcome is not None:
        yield from conclude(world, request, decode_outcome(reply.outcome), now)
    elif reply.state == "released":
        yield from _handle_release(world, request, key, reply, now)
    elif reply.state == "mismatch":
        outcome = Unknown(UnknownReason.KEY_EXPIRED)
        yield from conclude(world, request, outcome, now)
    else:
        world.next_query_at[request.id] = now + QUERY_INTERVAL_S


def _handle_release(
    world: World, request: Request, key: TeamKey, reply: KeyReply, now: float
) -> Iterator[Effect]:
    if now - request.arrived >= reply.released_ago_s:
        # Another caller got "not run" for the key after this request had arrived.
        # Running the request now would make that outcome false.
        outcome = NotRun(NotRunReason.REFUSED, QUERY_INTERVAL_S)
        yield from conclude(world, request, outcome, now)
        return
    yield from claim_key(world, request, world.claims.get(key), now)
