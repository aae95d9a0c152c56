"""Which faults a run has, and when; drawn from its seed alone."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = ["FIRST_KINDS", "SECOND_KINDS", "FaultKind", "PlannedFault", "draw_plan"]

#: Seconds between two faults, on average. They last longer than that, so several
#: are at work at most times.
MEAN_GAP_S = 0.7
#: Shortest and longest time in seconds for which a fault lasts.
SHORTEST_S, LONGEST_S = 0.3, 3.5
#: Part of the run at its start that is left calm, so that there is work to disturb.
CALM_START_S = 1.0


class FaultKind(Enum):
    """What is done to the running system from outside.

    KILL, STOP, PAUSE, RELOAD
        A node's process is killed, told to stop, stopped and continued, or told
        that its settings have changed. One that ended is started again.
    STORE_LINK, ENDPOINT_LINK
        What a link to the store or to an endpoint carries is delayed, lost one way
        or both, or cut.
    LINK_RESET
        All open connections of a link are reset.
    STORE_OUTAGE, STORE_LOSES
        The store refuses or does not answer some nodes, or does what they ask and
        loses its answers.
    STORE_FORGETS, GROUP_DEALT
        Its history is dropped, or its groups' partitions are dealt anew.
    CONFIGURATION
        Operators publish the next version.
    ENDPOINT_FAULTS
        An endpoint treats its next requests badly.
    ENDPOINT_BREAKS
        An endpoint breaks off its streams in the middle of an event.
    ENDPOINT_LEAVES
        An endpoint says that it leaves, and is replaced.
    ENDPOINT_RESTARTS
        An endpoint crashes and starts again under its id, knowing nothing of before.
    FOREIGN_RECORDS
        Another writer writes records that cannot be read, under an endpoint's id and
        under others.
    REQUEST_CRASHES
        A request that crashes every endpoint that runs it is sent repeatedly, to
        random nodes. Crashed endpoints restart.
    ENDPOINT_LIMITS
        An endpoint states a series of request rate limits, which may be unreadable.
    """

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store link"
    ENDPOINT_LINK = "endpoint link"
    LINK_RESET = "link reset"
    STORE_OUTAGE = "store outage"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets"
    GROUP_DEALT = "group dealt anew"
    CONFIGURATION = "configuration"
    ENDPOINT_FAULTS = "endpoint faults"
    ENDPOINT_BREAKS = "endpoint breaks streams"
    ENDPOINT_LEAVES = "endpoint leaves"
    ENDPOINT_RESTARTS = "endpoint restarts"
    FOREIGN_RECORDS = "foreign records"
    REQUEST_CRASHES = "request crashes endpoints"
    ENDPOINT_LIMITS = "endpoint limits"


#: Kinds that plans were drawn from before endpoints restarted under their ids. Seeds
#: that showed something then are played with these, so that their plans stay the same.
FIRST_KINDS = tuple(FaultKind)[:15]
#: Kinds before ``REQUEST_CRASHES`` and ``ENDPOINT_LIMITS`` were added, for the seeds
#: of that time. Both tuples depend on the order of the enum: append new kinds.
SECOND_KINDS = tuple(FaultKind)[:17]


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault of a run.

    Attributes
    ----------
    at_s, for_s : float
        Seconds from the start of the run, and how long it lasts.
    draw : int
        Picks who is struck among those that are there at that moment, and how.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    draw: int


def draw_plan(
    seed: int, length_s: float, kinds: Sequence[FaultKind] = tuple(FaultKind)
) -> list[PlannedFault]:
    """Return the faults of a run in order.

    Examples
    --------
    >>> draw_plan(7, 10.0) == draw_plan(7, 10.0)
    True
    >>> all(1.0 <= fault.at_s < 10.0 for fault in draw_plan(7, 10.0))
    True
    """
    rng = Random(seed)
    plan = []
    at_s = CALM_START_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_GAP_S)) < length_s:
        kind = rng.choice(kinds)
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        plan.append(PlannedFault(kind, at_s, for_s, rng.randrange(1_000_000)))
    return plan
