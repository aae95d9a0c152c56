"""Answer callers who ask for the addresses of nodes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from poplarrelay.exception import AuthenticationFailed
from poplarrelay.identifiers import DomainId
from poplarrelay.messages.effects import Effect, Reply
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.questions import AddressesRequested
from poplarrelay.systems.admitting import team_of
from poplarrelay.systems.keys import ticket_prefix
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.world import World

__all__ = ["Address", "Addresses", "answer_addresses", "choose_addresses"]

#: Largest number of addresses in one answer.
MAX_ADDRESSES = 4


@dataclass(frozen=True, slots=True)
class Address:
    """A node that accepts work.

    Attributes
    ----------
    ticket : str
        Prefix of the tickets that the node owns; see `poplarrelay.systems.keys`.
    """

    node: str
    address: str
    failure_domain: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Addresses:
    """Answer to a caller who asks for addresses.

    Attributes
    ----------
    ttl_s : float
        Seconds for which the caller can reuse the answer.
    """

    addresses: tuple[Address, ...]
    ttl_s: float


def _candidates(world: World) -> list[Member]:
    members = [
        member
        for member in world.members.values()
        if member.status is MemberStatus.ALIVE and member.ready
    ]
    if world.accepts_work:
        members.append(world.me)
    return members


def choose_addresses(world: World, now: float) -> Addresses:
    """Return nodes that accept work, from as many failure domains as possible.

    Notes
    -----
    Nodes that are suspected or leaving are omitted immediately. The order is random,
    so that callers who use the first address spread evenly.
    """
    world.me.epoch = world.epoch(now)
    members = _candidates(world)
    world.rng.shuffle(members)
    by_domain: dict[DomainId, list[Member]] = {}
    for member in members:
        by_domain.setdefault(member.domain, []).append(member)
    chosen: list[Member] = []
    while by_domain and len(chosen) < MAX_ADDRESSES:
        for domain in list(by_domain):
            chosen.append(by_domain[domain].pop())
            if not by_domain[domain]:
                del by_domain[domain]
    addresses = tuple(
        Address(
            node=member.node,
            address=member.callers,
            failure_domain=member.domain,
            ticket=ticket_prefix(member.node, member.incarnation, member.epoch),
        )
        for member in chosen[:MAX_ADDRESSES]
    )
    return Addresses(addresses, world.settings.timing.address_ttl_s)


def answer_addresses(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Reply to callers who ask for addresses."""
    for requested in inbox.of(AddressesRequested):
        try:
            team_of(world, requested.token_sha256)
        except AuthenticationFailed as error:
            yield Reply(requested.call, error)
            continue
        yield Reply(requested.call, choose_addresses(world, now))
