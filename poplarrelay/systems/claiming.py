"""Claim plain idempotency keys on the log.

Notes
-----
The first claim in the log wins on every node. A node that reads another's claim
asks the process that holds it. That process says "released" only if it has sent no
attempt under the claim, and it never uses the claim again; a new claim then names
the released one as the one that it replaces.

"Not run" is a statement about the key, not only about this node: a caller who was
told "not run" books again under another key. So it is made only by the process that
holds the claim, or when the log is out of reach and every peer has said that it
knows nothing of the key. Requests under the key that came before the statement are
bound by it wherever they wait: a release tells its age, and older ones end as well.
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
    "follow_claims",
    "follow_questions",
    "resolve_caller_key",
]

#: Seconds between two questions about a key that runs elsewhere.
ASK_INTERVAL_S = 0.1
#: Seconds until a caller may come back when the log cannot be reached.
LOG_RETRY_S = 1.0
#: Share of a request's time left that its claim may take, so that the peers can
#: still be asked if the log does not answer.
CLAIM_SHARE = 0.6
#: Most peers that are asked about one key while the log is out of reach.
MAX_PEERS_ASKED = 16


def fold_claims(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Fold what was read of the claims stream."""
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
    """Go on after records that the log has trimmed.

    Notes
    -----
    The log must keep claims for at least the key memory (see the operators'
    page); then a trimmed claim is one whose key has been forgotten anyway.
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
    # The time of the append by the log's clock is not used: were that clock set
    # forward, claims would be forgotten early, and a key could run again.
    world.claims[key] = Claim.from_record(record.offset, claim, now)


def resolve_caller_key(
    world: World, request: Request, form: CallerKey, now: float
) -> Iterator[Effect]:
    """Start to settle who may run a plain key that has no live use here.

    Raises
    ------
    KeyReused
        If the key was claimed for other work.
    """
    key = TeamKey(request.team, form.key)
    claim = world.claims.get(key)
    if claim is None:
        if _too_old(world, form, now):
            yield from _expired(world, request, now)
        else:
            yield from claim_key(world, request, None, now)
        return
    if claim.fingerprint != request.work.fingerprint:
        raise KeyReused("the key came before with other work")
    if claim.incarnation != world.incarnation:
        yield from _ask(world, request, claim, now)
    elif key in world.key_executions:
        yield from claim_key(world, request, claim, now)
    else:
        yield from _expired(world, request, now)


def _expired(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.KEY_EXPIRED)
    yield from conclude(world, request, outcome, now)


def _too_old(world: World, form: CallerKey, now: float) -> bool:
    """Return whether claims as old as the key may have been forgotten.

    The log's clock decides, since a host's clock may be set back and would make
    an old key look new.
    """
    born = caller_key_time(form.key)
    if born is None or world.log_clock is None:
        return False
    return now + world.log_clock - born > world.settings.limits.key_memory_s


def claim_key(
    world: World, request: Request, claim: Claim | None, now: float
) -> Iterator[Effect]:
    """Send a claim to the log, unless the log is known to be out of reach.

    Parameters
    ----------
    claim : Claim or None
        The released claim to replace.
    """
    key = world.team_key(request)
    assert key is not None
    record = world.new_record_id()
    after = None if claim is None else claim.offset
    world.key_executions[key] = KeyExecution(
        KeyState.OPEN,
        request.id,
        request.work.fingerprint,
        changed_at=now,
        after=after,
        record=record,
    )
    if not world.streams[CLAIMS].available or world.handover is not None:
        yield from _verify(world, request, now)
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
        after=after,
    )
    yield AppendRecord(CLAIMS, value, request.claim_until)


def follow_claims(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Look whether claims on the way have won, lost or taken too long."""
    for request_id in sorted(world.claiming):
        request = world.requests.get(request_id)
        if request is None or request.state is not RequestState.CLAIMING:
            world.claiming.discard(request_id)
        else:
            yield from _follow_claim(world, request, now)


def _follow_claim(world: World, request: Request, now: float) -> Iterator[Effect]:
    key = world.team_key(request)
    assert key is not None
    execution = world.key_executions[key]
    claim = world.claims.get(key)
    if claim is not None and claim.record == execution.record:
        yield from _claim_won(world, request, execution, claim, now)
    elif claim is not None and claim.offset != execution.after:
        yield from _claim_lost(world, request, key, claim, now)
    elif now >= request.claim_until or not world.streams[CLAIMS].available:
        world.claiming.discard(request.id)
        yield from _verify(world, request, now)


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
        # An earlier record of this process came into force late, after its
        # request had been given up. That claim is not used; a new one follows.
        yield from claim_key(world, request, claim, now)
        return
    del world.key_executions[key]
    if claim.fingerprint != request.work.fingerprint:
        outcome = Unknown(UnknownReason.KEY_EXPIRED)
        yield from conclude(world, request, outcome, now)
        return
    yield from _ask(world, request, claim, now)


def _key_query(request: Request, incarnation: str, claim: int | None) -> KeyQuery:
    assert request.key is not None
    return KeyQuery(
        team=request.team,
        key=request.key,
        fingerprint=request.work.fingerprint,
        incarnation=incarnation,
        claim=claim,
    )


def _ask(world: World, request: Request, claim: Claim, now: float) -> Iterator[Effect]:
    """Ask the process that answers for a claim, which may be this one."""
    request.state = RequestState.ASKING
    query = _key_query(request, claim.incarnation, claim.offset)
    if claim.incarnation in world.inherited_incarnations:
        yield from _take_answer(world, request, key_reply(world, query, now), now)
        return
    owner = owner_of(world, claim.node, claim.incarnation)
    if owner is None:
        yield from _unreachable(world, request, now)
    else:
        yield QueryKey(request.id, owner.peers, query)


def _unreachable(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.HOME_UNREACHABLE, LOG_RETRY_S)
    yield from conclude(world, request, outcome, now)


def _verify(world: World, request: Request, now: float) -> Iterator[Effect]:
    """Ask all peers about a key that cannot be claimed.

    Notes
    -----
    Without the log this node cannot know whether another has run the key. If one
    peer does not answer, that peer may have run it, and the answer is "unknown".
    A process that has not read the claims to their end since its start cannot
    vouch for its own predecessor either, so neither this node nor a peer in that
    state says that it knows nothing of a key.
    """
    peers = [m for m in world.members.values() if not _vouched_for(m)]
    request.state = RequestState.VERIFYING
    alone = not peers and bool(world.settings.seeds)
    if alone or len(peers) > MAX_PEERS_ASKED or not world.streams[CLAIMS].caught_up:
        yield from _end_unverified(world, request, now)
        return
    if not peers:
        yield from _end_verified(world, request, now)
        return
    addresses = tuple(member.peers for member in peers)
    yield QueryAllPeers(request.id, addresses, _key_query(request, "", None))


def _vouched_for(member: Member) -> bool:
    """Return whether a node that left has a successor that knows its keys."""
    return member.status is MemberStatus.LEFT and member.successor is not None


def _end_verified(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = NotRun(NotRunReason.LOG_UNAVAILABLE, LOG_RETRY_S)
    yield from conclude(world, request, outcome, now)


def _end_unverified(world: World, request: Request, now: float) -> Iterator[Effect]:
    outcome = Unknown(UnknownReason.LOG_UNAVAILABLE, LOG_RETRY_S)
    yield from conclude(world, request, outcome, now)


def follow_questions(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Take the answers of peers, and ask again about keys that still run."""
    for verified in inbox.of(AllPeersAnswered):
        request = world.requests.get(verified.request)
        if request is not None and request.state is RequestState.VERIFYING:
            end = _end_verified if verified.absent else _end_unverified
            yield from end(world, request, now)
    for answered in inbox.of(KeyAnswered):
        request = world.requests.get(answered.request)
        if request is not None and request.state is RequestState.ASKING:
            yield from _take_answer(world, request, answered.reply, now)
    for request_id, at in list(world.ask_again.items()):
        if now >= at:
            del world.ask_again[request_id]
            request = world.requests.get(request_id)
            if request is not None and request.state is RequestState.ASKING:
                yield from _ask_again(world, request, now)


def _ask_again(world: World, request: Request, now: float) -> Iterator[Effect]:
    key = world.team_key(request)
    claim = None if key is None else world.claims.get(key)
    if claim is None:
        yield from _unreachable(world, request, now)
    else:
        yield from _ask(world, request, claim, now)


def _take_answer(
    world: World, request: Request, reply: KeyReply | None, now: float
) -> Iterator[Effect]:
    key = world.team_key(request)
    if reply is None or key is None or reply.state in ("broken", "absent"):
        yield from _unreachable(world, request, now)
    elif reply.state == "finished" and reply.outcome is not None:
        yield from conclude(world, request, decode_outcome(reply.outcome), now)
    elif reply.state == "released":
        yield from _take_release(world, request, key, reply, now)
    elif reply.state == "mismatch":
        outcome = Unknown(UnknownReason.KEY_EXPIRED)
        yield from conclude(world, request, outcome, now)
    else:
        world.ask_again[request.id] = now + ASK_INTERVAL_S


def _take_release(
    world: World, request: Request, key: TeamKey, reply: KeyReply, now: float
) -> Iterator[Effect]:
    if now - request.arrived >= reply.released_ago_s:
        # Somebody was told "not run" after this request had come. Running it now
        # would make that a lie.
        outcome = NotRun(NotRunReason.REFUSED, ASK_INTERVAL_S)
        yield from conclude(world, request, outcome, now)
        return
    yield from claim_key(world, request, world.claims.get(key), now)
