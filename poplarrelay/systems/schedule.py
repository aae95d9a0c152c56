"""The order in which the systems run in a tick."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from poplarrelay.messages.effects import Effect
from poplarrelay.messages.inbox import Inbox
from poplarrelay.systems.admitting import admit_requests, cancel_abandoned
from poplarrelay.systems.attempting import process_attempt_results
from poplarrelay.systems.capacity import scale_hosts
from poplarrelay.systems.claiming import check_claims, fold_claims, follow_key_queries
from poplarrelay.systems.configuring import (
    fold_configuration,
    publish_changes,
    share_configuration,
)
from poplarrelay.systems.discovering import answer_addresses
from poplarrelay.systems.dispatching import dispatch_queue
from poplarrelay.systems.draining import drain, process_handovers
from poplarrelay.systems.endpoint_monitoring import (
    poll_endpoints,
    receive_notices,
    watch_hosts,
)
from poplarrelay.systems.expiring import expire_requests, forget_old_rows
from poplarrelay.systems.key_ownership import answer_key_queries
from poplarrelay.systems.leasing import keep_leases
from poplarrelay.systems.lookups import answer_lookups
from poplarrelay.systems.membership import (
    merge_gossip,
    probe_peers,
    update_readiness,
    watch_suspects,
)
from poplarrelay.systems.moving import move_attempts
from poplarrelay.systems.placing import send_model_orders
from poplarrelay.systems.reporting import answer_status
from poplarrelay.systems.request_copies import send_copies
from poplarrelay.systems.snapshotting import write_snapshots
from poplarrelay.systems.takeover import (
    answer_copy_queries,
    hold_copies,
    take_over_copies,
)
from poplarrelay.systems.ticketing import process_forward_replies
from poplarrelay.tables.world import World

__all__ = ["SYSTEMS", "System", "run_tick"]

System = Callable[[World, Inbox, float], Iterator[Effect]]

#: Systems that update the tables run before systems that decide by them: first records,
#: gossip and notices, then results of attempts, then arrivals, then dispatch.
SYSTEMS: tuple[System, ...] = (
    fold_configuration,
    fold_claims,
    merge_gossip,
    watch_hosts,
    receive_notices,
    poll_endpoints,
    watch_suspects,
    update_readiness,
    answer_key_queries,
    process_handovers,
    drain,
    process_attempt_results,
    process_forward_replies,
    follow_key_queries,
    check_claims,
    cancel_abandoned,
    expire_requests,
    admit_requests,
    hold_copies,
    answer_copy_queries,
    take_over_copies,
    send_copies,
    move_attempts,
    dispatch_queue,
    publish_changes,
    share_configuration,
    keep_leases,
    write_snapshots,
    send_model_orders,
    scale_hosts,
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
        Monotonic time; never smaller than in the previous tick.

    Returns
    -------
    effects : list of Effect
        Effects, to be carried out in this order.
    """
    effects: list[Effect] = []
    for system in SYSTEMS:
        effects.extend(system(world, inbox, now))
    return effects
