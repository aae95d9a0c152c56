"""Maintain the membership of nodes by random probes and suspicion.

Notes
-----
In each round a node probes one peer, and probes it through other nodes if it does not
answer. So the cost per node does not depend on the number of nodes. A peer that does
not answer is suspected first. If it does not refute the suspicion in time, it is
declared dead. A node whose process is paused accepts connections but never answers.
Only the timeout of the answer distinguishes it from a slow node.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002.
"""

from __future__ import annotations

from collections.abc import Iterator

from poplarrelay.identifiers import EndpointId, NodeId
from poplarrelay.messages.effects import Decision, Effect, LogDecision, ProbePeer, Reply
from poplarrelay.messages.gossip import ProbeMessage
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.peers import ProbeAnswered, ProbeFailed, ProbeReceived
from poplarrelay.messages.platform import NoticeReceived, NoticeSource
from poplarrelay.systems.gossiping import (
    current_notices,
    gossip_rows,
    merge_row,
    own_row,
    raise_version,
)
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.world import CLAIMS, CONFIGURATION, NodePhase, World

__all__ = ["merge_gossip", "probe_peers", "update_readiness", "watch_suspects"]

#: Peers through which a peer is probed that does not answer directly.
INDIRECT_PROBES = 2
#: Statuses of nodes that are still probed.
_PROBED = (MemberStatus.ALIVE, MemberStatus.LEAVING, MemberStatus.SUSPECT)
#: Rounds of probes between two probes of a seed, which find nodes that were declared
#: dead but are running.
SEED_PROBE_ROUNDS = 10
#: Rounds of probes between two requests for a seed's complete member table. The table
#: supplies rows that gossip missed; its size grows with the number of nodes.
FULL_ROUNDS = 200


def _state_change(member: Member, why: str) -> LogDecision:
    fields = (
        ("node", member.node),
        ("incarnation", member.incarnation),
        ("status", member.status.value),
        ("ready", member.ready),
        ("why", why),
    )
    return LogDecision(Decision.MEMBER, fields)


def _merge_message(world: World, message: ProbeMessage, now: float) -> Iterator[Effect]:
    for row in (message.sender, *message.rows):
        before = world.members.get(NodeId(row.node))
        merged = merge_row(world, row, now)
        if merged is not None and (before is None or before.status != merged.status):
            yield _state_change(merged, "news")
    sender = world.members.get(NodeId(message.sender.node))
    if sender is not None and sender.incarnation == message.sender.incarnation:
        sender.last_seen_at = now
        world.peer_last_seen_at = now


def _notices(message: ProbeMessage) -> list[NoticeReceived]:
    return [
        NoticeReceived(
            notice.remaining_s,
            NoticeSource.PEER,
            endpoint=EndpointId(notice.endpoint),
        )
        for notice in message.notices
    ]


def merge_gossip(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Merge the rows and notices of peers, answer probes, and suspect silent peers."""
    for probe in inbox.of(ProbeReceived):
        yield from _merge_message(world, probe.probe, now)
        inbox.add_all(_notices(probe.probe))
        answer = ProbeMessage(
            sender=own_row(world, now),
            rows=gossip_rows(world, probe.probe.full),
            notices=current_notices(world, now),
        )
        yield Reply(probe.call, answer)
    for answered in inbox.of(ProbeAnswered):
        yield from _merge_message(world, answered.answer, now)
        inbox.add_all(_notices(answered.answer))
    for failed in inbox.of(ProbeFailed):
        yield from _suspect(world, failed.node, now)


def _suspect(world: World, node: NodeId | None, now: float) -> Iterator[Effect]:
    member = None if node is None else world.members.get(node)
    if member is None or member.status not in (
        MemberStatus.ALIVE,
        MemberStatus.LEAVING,
    ):
        return
    member.status = MemberStatus.SUSPECT
    member.changed_at = now
    member.times_sent = 0
    yield _state_change(member, "no answer")


def watch_suspects(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Declare suspects dead after a timeout, and remove nodes dead or left for long."""
    timing = world.settings.timing
    for member in list(world.members.values()):
        elapsed = now - member.changed_at
        if member.status is MemberStatus.SUSPECT and elapsed >= timing.suspicion_s:
            member.status = MemberStatus.DEAD
            member.changed_at = now
            member.times_sent = 0
            yield _state_change(member, "suspicion not refuted")
        elif member.status in (
            MemberStatus.DEAD,
            MemberStatus.LEFT,
        ) and elapsed >= max(timing.forget_dead_s, _ticket_retention_s(world)):
            del world.members[member.node]


def _ticket_retention_s(world: World) -> float:
    """Return the seconds for which the successor of a node that left is remembered."""
    limits, timing = world.settings.limits, world.settings.timing
    return (limits.ticket_epochs + 2) * timing.ticket_epoch_s


def probe_peers(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Probe the next peer of the ring, and a seed if one is due."""
    if now < world.next_probe_at:
        return
    timing = world.settings.timing
    world.next_probe_at = now + timing.probe_s * (0.8 + 0.4 * world.rng.random())
    world.probe_round += 1
    target = _next_target(world)
    probed = [m for m in world.members.values() if m.status in _PROBED]
    if target is not None:
        relays = [
            m.peers
            for m in probed
            if m.node != target.node and m.status is MemberStatus.ALIVE
        ]
        chosen = world.rng.sample(relays, min(INDIRECT_PROBES, len(relays)))
        message = _probe_message(world, full=False, now=now)
        yield ProbePeer(target.node, target.peers, message, tuple(chosen))
    if world.settings.seeds and _seed_due(world, probed):
        seed = world.rng.choice(world.settings.seeds)
        if seed != world.me.peers:
            full = not probed or world.probe_round % FULL_ROUNDS == 0
            yield ProbePeer(None, seed, _probe_message(world, full=full, now=now))


def _seed_due(world: World, probed: list[Member]) -> bool:
    """Return whether a seed is to be probed.

    After a partition, two groups of nodes can have declared each other dead. They find
    each other again through the seeds.
    """
    return not probed or world.probe_round % SEED_PROBE_ROUNDS == 0


def _probe_message(world: World, full: bool, now: float) -> ProbeMessage:
    return ProbeMessage(
        sender=own_row(world, now),
        rows=gossip_rows(world, False),
        notices=current_notices(world, now),
        full=full,
    )


def _next_target(world: World) -> Member | None:
    """Return the next peer of a shuffled ring, in which each peer occurs once."""
    for _ in range(len(world.probe_ring) + 1):
        if not world.probe_ring:
            world.probe_ring = [
                m.node for m in world.members.values() if m.status in _PROBED
            ]
            world.rng.shuffle(world.probe_ring)
            if not world.probe_ring:
                return None
        member = world.members.get(world.probe_ring.pop())
        if member is not None and member.status in _PROBED:
            return member
    return None


def update_readiness(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Decide whether this node accepts work.

    Notes
    -----
    A node that has not folded the configuration to its end does not know the teams. A
    node that reaches neither the log nor any peer cannot determine whether its
    configuration is current or whether other nodes still run. So it stops accepting
    work after a few seconds.
    """
    position = world.streams[CONFIGURATION]
    last_contact_at = max(
        position.read_at, world.streams[CLAIMS].read_at, world.peer_last_seen_at
    )
    isolated = now - last_contact_at > _isolation_limit_s(world)
    if world.phase is NodePhase.STARTING and position.caught_up:
        world.phase = NodePhase.SERVING
    serving = world.phase is NodePhase.SERVING
    ready = serving and position.caught_up and not isolated
    if ready != world.me.ready:
        world.me.ready = ready
        raise_version(world)
        yield _state_change(world.me, "isolated" if isolated else "readiness changed")


def _isolation_limit_s(world: World) -> float:
    """Return the seconds for which a node serves without any contact.

    The log is read with a long poll, so without faults an answer can take
    ``log_wait_s``.
    """
    timing = world.settings.timing
    return timing.isolation_s + timing.log_wait_s
