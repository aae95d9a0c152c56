"""Share of a service's requests that the target version of a roll-out gets."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.rollouts.records import RolloutPhase, RolloutProgress
from poplarrelay.identifiers import Offset

__all__ = ["RAMP_S", "ShareCredit", "canary_endpoints", "target_share"]

#: Part of the allowed share that the canary gets. The rest covers requests that are
#: counted for one version only, and chance at nodes with few requests.
USED_SHARE = 0.8
#: Shares of the target version while the traffic moves, with the seconds since the
#: move began.
RAMP = ((0.0, 0.25), (0.6, 0.5), (1.2, 1.0))
#: Seconds until the target version gets all requests.
RAMP_S = RAMP[-1][0]
#: Largest credit, in requests. More could be saved up while the canary is full, and
#: spent at once.
MAX_CREDIT = 1.5


def target_share(
    progress: RolloutProgress, canary_share: float, time_of_day: float
) -> float:
    """Return the share of the requests that the target version should get.

    Parameters
    ----------
    progress : RolloutProgress
        Progress of the roll-out.
    canary_share : float
        Allowed share before the target version is proven.
    time_of_day : float
        Current time in seconds.
    """
    if progress.phase is RolloutPhase.CANARY:
        return USED_SHARE * canary_share
    if progress.phase is RolloutPhase.REVERTED:
        return 0.0
    if progress.phase is RolloutPhase.COMPLETED:
        return 1.0
    elapsed_s = time_of_day - progress.since
    return max((share for at, share in RAMP if at <= elapsed_s), default=RAMP[0][1])


@dataclass(slots=True)
class ShareCredit:
    """Number of requests that the target version may get at this node.

    Attributes
    ----------
    credit : float
        Requests that the target version may get now. A node starts with a random part
        of a request: the expected share is then exact even if each of many nodes has
        only a few requests.

    Notes
    -----
    Each node keeps the share of its own requests, so the share holds over all nodes
    without messages, and at nodes that cannot reach the others.
    """

    credit: float

    @property
    def allows_target(self) -> bool:
        """Return whether the next request may go to the target version."""
        return self.credit >= 1.0

    def note_sent(self, to_target: bool, share: float) -> None:
        """Count a request for the service."""
        self.credit = min(MAX_CREDIT, self.credit + share) - to_target

    def note_unsent(self, to_target: bool, share: float) -> None:
        """Undo `note_sent`: the request reached no endpoint."""
        self.credit = min(MAX_CREDIT, self.credit - share + to_target)


def canary_endpoints(
    target: Sequence[Endpoint], others: Sequence[Endpoint], share: float, order: Offset
) -> list[Endpoint]:
    """Return the endpoints that get the target version's share of the requests.

    Parameters
    ----------
    target, others : sequence of Endpoint
        Accepting endpoints of the target version and of the other versions.
    share : float
        Share of the requests.
    order : Offset
        The order of the roll-out.

    Notes
    -----
    Their part of the slots is the share, rounded up to whole endpoints, so they are
    loaded like the others, and a fault that shows only under load shows. All nodes find
    the same endpoints without messages.
    """
    needed = share * sum(row.slots for row in others)
    chosen = []
    for row in sorted(target, key=lambda row: _rank(order, row)):
        chosen.append(row)
        needed -= row.slots
        if needed <= 0:
            break
    return chosen


def _rank(order: Offset, row: Endpoint) -> bytes:
    return hashlib.blake2b(f"{order}|{row.endpoint}".encode(), digest_size=8).digest()
