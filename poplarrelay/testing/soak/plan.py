"""The plan of the faults of a soak run, drawn from its seed alone."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

__all__ = [
    "EIGHTH_KINDS",
    "ELEVENTH_KINDS",
    "FIFTH_KINDS",
    "FIRST_KINDS",
    "FOURTH_KINDS",
    "NINTH_KINDS",
    "SECOND_KINDS",
    "SEVENTH_KINDS",
    "SIXTH_KINDS",
    "TENTH_KINDS",
    "THIRD_KINDS",
    "TWELFTH_KINDS",
    "FaultKind",
    "PlannedFault",
    "draw_plan",
]

#: Mean seconds between the starts of two faults. Faults last longer on average, so
#: several overlap most of the time.
MEAN_GAP_S = 0.7
#: Minimum and maximum duration of a fault, in seconds.
MIN_DURATION_S, MAX_DURATION_S = 0.3, 3.5
#: Seconds without faults at the start of a run, so that requests are in flight when
#: the first fault occurs.
FAULT_FREE_START_S = 1.0


class FaultKind(Enum):
    """A kind of fault that the soak causes in the running system.

    KILL, STOP, PAUSE, RELOAD
        The process of a node is killed, terminated, paused, or signalled to reload its
        settings. A process that ended is started again.
    STORE_LINK, ENDPOINT_LINK
        A link to the store or to an endpoint delays its data, loses it in one or both
        directions, or is cut.
    LINK_RESET
        All open connections of a link are reset.
    STORE_OUTAGE, STORE_LOSES_REPLIES
        The store rejects the calls of some nodes or does not answer them, or it
        executes the calls of a node and loses the replies.
    STORE_COMPACTED, GROUP_REBALANCED
        The store drops all records of a topic except the newest of each key, or it
        rebalances the partitions of a consumer group.
    CONFIGURATION
        The next version of the configuration is published.
    ENDPOINT_FAULTS
        An endpoint mishandles its next requests in the ways that
        `poplarrelay.standins.users.runner.Fault` lists.
    ENDPOINT_BREAKS_STREAMS
        An endpoint breaks off its streams in the middle of an event.
    ENDPOINT_LEAVES
        An endpoint announces that it leaves, and a new one replaces it.
    ENDPOINT_RESTARTS
        An endpoint crashes and starts again under the same id, without its old state.
    FOREIGN_RECORDS
        Another writer writes unreadable records, under the id of an endpoint and under
        other keys.
    REQUEST_CRASHES
        A request that crashes every endpoint that runs it is sent repeatedly, to
        random nodes. Crashed endpoints restart.
    ENDPOINT_LIMITS
        An endpoint states a series of request rate limits. Some are unreadable.
    ROLLOUT
        Operators order that a service moves to a new version, which may be bad. When
        the roll-out is completed, the old endpoints stop at once.
    ENDPOINT_STATES_DEPARTURE
        An endpoint states in its answers that it leaves, and a new one replaces it. Its
        record says so later or never.
    ENDPOINT_PAUSES
        An endpoint refuses all requests and asks for pauses. Some are unreadable.
    STORE_RESTORED
        The store is away for a moment and comes back from a copy some seconds old.
        Operators and endpoints write their records again later.
    TEAM_FLOODS
        One team sends requests of one kind to some nodes without a pause.
    ENDPOINT_SLOW
        An endpoint becomes slow, and its record has only a few slots.
    PATHS_LOST
        Some nodes lose their paths to some or all endpoints, at once or again and
        again.
    ENDPOINTS_BRITTLE
        The endpoints of a service take few requests, and fall over when they must
        reject many. They are back a moment later.
    VERSIONS_SIDE_BY_SIDE
        Endpoints of a new version serve streams beside the others, without an order,
        and one of the two versions is taken away. Callers take up broken streams.
    PROMPT_PART_CRASHES
        Prompts, no two alike, share a part that crashes every endpoint. Others share
        their other parts.
    ALL_KILLED
        All nodes are killed at once beside long streams, which callers resume.
    LIGHT_PROMPT_PART_CRASHES
        The same as ``PROMPT_PART_CRASHES`` in light traffic, after a burst of bad
        prompts.
    LIMITS_CHANGED
        The limits on callers change, and callers use them on kept connections.
    STOPS_IN_SERIES
        Nodes are stopped one after the other or together, beside slow calls and streams
        and further signals and changes. Callers use them until their processes end.
    ENDLESS_ANSWERS
        An endpoint, the store at some nodes or the cloud API sends bytes without end in
        place of its answers.
    WRONG_ANSWERS
        Endpoints send other bytes in place of answers, send late second answers, and
        end streams regularly inside an event. Many requests are rejected meanwhile.
    CALLERS_MISBEHAVE
        Clients that keep no limit crowd a listener of a node, whose resources may be
        lowered or raised meanwhile.
    """

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store link"
    ENDPOINT_LINK = "endpoint link"
    LINK_RESET = "link reset"
    STORE_OUTAGE = "store outage"
    STORE_LOSES_REPLIES = "store loses answers"
    STORE_COMPACTED = "store forgets"
    GROUP_REBALANCED = "group dealt anew"
    CONFIGURATION = "configuration"
    ENDPOINT_FAULTS = "endpoint faults"
    ENDPOINT_BREAKS_STREAMS = "endpoint breaks streams"
    ENDPOINT_LEAVES = "endpoint leaves"
    ENDPOINT_RESTARTS = "endpoint restarts"
    FOREIGN_RECORDS = "foreign records"
    REQUEST_CRASHES = "request crashes endpoints"
    ENDPOINT_LIMITS = "endpoint limits"
    ROLLOUT = "rollout"
    ENDPOINT_STATES_DEPARTURE = "endpoint states departure"
    ENDPOINT_PAUSES = "endpoint pauses"
    STORE_RESTORED = "store restored"
    TEAM_FLOODS = "team floods"
    ENDPOINT_SLOW = "endpoint slow"
    PATHS_LOST = "paths lost"
    ENDPOINTS_BRITTLE = "endpoints brittle"
    VERSIONS_SIDE_BY_SIDE = "versions side by side"
    PROMPT_PART_CRASHES = "prompt part crashes endpoints"
    ALL_KILLED = "all killed"
    LIGHT_PROMPT_PART_CRASHES = "prompt part crashes endpoints in light traffic"
    LIMITS_CHANGED = "limits changed"
    STOPS_IN_SERIES = "stops in series"
    ENDLESS_ANSWERS = "endless answers"
    WRONG_ANSWERS = "wrong answers"
    CALLERS_MISBEHAVE = "callers misbehave"


#: Kinds before ``ENDPOINT_RESTARTS`` and ``FOREIGN_RECORDS`` were added. Seeds that
#: found a fault at that time run with these kinds, so that their plans stay the same.
FIRST_KINDS = tuple(FaultKind)[:15]
#: Kinds before ``REQUEST_CRASHES`` and ``ENDPOINT_LIMITS`` were added, for the seeds
#: of that time.
SECOND_KINDS = tuple(FaultKind)[:17]
#: Kinds before ``ROLLOUT`` was added.
THIRD_KINDS = tuple(FaultKind)[:19]
#: Kinds before ``ENDPOINT_STATES_DEPARTURE`` and ``ENDPOINT_PAUSES`` were added.
FOURTH_KINDS = tuple(FaultKind)[:20]
#: Kinds before ``STORE_RESTORED`` was added.
FIFTH_KINDS = tuple(FaultKind)[:22]
#: Kinds before ``TEAM_FLOODS`` and ``ENDPOINT_SLOW`` were added.
SIXTH_KINDS = tuple(FaultKind)[:23]
#: Kinds before ``PATHS_LOST`` and ``ENDPOINTS_BRITTLE`` were added.
SEVENTH_KINDS = tuple(FaultKind)[:25]
#: Kinds before ``VERSIONS_SIDE_BY_SIDE`` and ``PROMPT_PART_CRASHES`` were added.
EIGHTH_KINDS = tuple(FaultKind)[:27]
#: Kinds before ``ALL_KILLED`` and the two after it were added.
NINTH_KINDS = tuple(FaultKind)[:29]
#: Kinds before ``STOPS_IN_SERIES`` and ``ENDLESS_ANSWERS`` were added.
TENTH_KINDS = tuple(FaultKind)[:32]
#: Kinds before ``WRONG_ANSWERS`` was added.
ELEVENTH_KINDS = tuple(FaultKind)[:34]
#: Kinds before ``CALLERS_MISBEHAVE`` was added. These tuples depend on the order of the
#: enum: append new kinds at its end.
TWELFTH_KINDS = tuple(FaultKind)[:35]


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault of a run.

    Attributes
    ----------
    at_s, duration_s : float
        Start of the fault in seconds after the start of the run, and how long it lasts.
    seed : int
        Seed for the random choice of the target and the details. The target is chosen
        among the nodes or endpoints that exist when the fault starts.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    seed: int


def draw_plan(
    seed: int, length_s: float, kinds: Sequence[FaultKind] = tuple(FaultKind)
) -> list[PlannedFault]:
    """Return the faults of a run in order of their start.

    Examples
    --------
    >>> draw_plan(7, 10.0) == draw_plan(7, 10.0)
    True
    >>> all(1.0 <= fault.at_s < 10.0 for fault in draw_plan(7, 10.0))
    True
    """
    rng = Random(seed)
    plan = []
    at_s = FAULT_FREE_START_S
    while (at_s := at_s + rng.expovariate(1 / MEAN_GAP_S)) < length_s:
        kind = rng.choice(kinds)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        plan.append(PlannedFault(kind, at_s, duration_s, rng.randrange(1_000_000)))
    return plan
