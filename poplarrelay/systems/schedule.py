"""The order in which the systems run in a tick."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from poplarrelay.messages.effects import Effect
from poplarrelay.messages.inbox import Inbox
from poplarrelay.systems.admitting import admit_requests, drop_callers
from poplarrelay.systems.attempting import follow_attempts
from poplarrelay.systems.capacity import steer_capacity
from poplarrelay.systems.claiming import fold_claims, follow_claims, follow_questions
from poplarrelay.systems.configuring import (
    fold_configuration,
    publish_changes,
    share_configuration,
)
from poplarrelay.systems.copying import send_copies
from poplarrelay.systems.discovering import answer_addresses
from poplarrelay.systems.dispatching import dispatch_queue
from poplarrelay.systems.draining import drain, take_handovers
from poplarrelay.systems.expiring import expire_requests, forget_old_rows
from poplarrelay.systems.homes import answer_key_questions
from poplarrelay.systems.leasing import keep_leases
from poplarrelay.systems.leaving import leave_endpoints
from poplarrelay.systems.lookups import answer_lookups
from poplarrelay.systems.membership import (
    judge_self,
    probe_peers,
    take_news,
    watch_suspects,
)
from poplarrelay.systems.placing import give_orders
from poplarrelay.systems.reporting import answer_status
from poplarrelay.systems.snapshotting import write_snapshots
from poplarrelay.systems.takeover import (
    answer_inquiries,
    hold_copies,
    take_over_copies,
)
from poplarrelay.systems.ticketing import follow_forwards
from poplarrelay.systems.watching import hear_notices, poll_endpoints, watch_hosts
from poplarrelay.tables.world import World

__all__ = ["SYSTEMS", "System", "run_tick"]

System = Callable[[World, Inbox, float], Iterator[Effect]]

#: What is learned comes before what is decided by it: records, news and notices
#: first, then results of attempts, then arrivals, then dispatch.
SYSTEMS: tuple[System, ...] = (
    fold_configuration,
    fold_claims,
    take_news,
    watch_hosts,
    hear_notices,
    poll_endpoints,
    watch_suspects,
    judge_self,
    answer_key_questions,
    take_handovers,
    drain,
    follow_attempts,
    follow_forwards,
    follow_questions,
    follow_claims,
    drop_callers,
    expire_requests,
    admit_requests,
    hold_copies,
    answer_inquiries,
    take_over_copies,
    send_copies,
    leave_endpoints,
    dispatch_queue,
    publish_changes,
    share_configuration,
    keep_leases,
    write_snapshots,
    give_orders,
    steer_capacity,
    answer_addresses,
    answer_lookups,
    answer_status,
    probe_peers,
    forget_old_rows,
)


def run_tick(world: World, inbox: Inbox, now: float) -> list[Effect]:
    """Run all systems once.

    Parameters
    ----------
    world : World
        The tables, changed in place.
    inbox : Inbox
        The messages since the last tick.
    now : float
        Monotonic time; never smaller than in the tick before.

    Returns
    -------
    effects : list of Effect
        To be carried out in order.
    """
    effects: list[Effect] = []
    for system in SYSTEMS:
        effects.extend(system(world, inbox, now))
    return effects
