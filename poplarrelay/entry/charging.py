"""Taking requests from their teams' quotas."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.quotas import Bucket, raise_refill, request_cost
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.state import EntryState

__all__ = ["QuotaCharges"]

#: Part of the quotas' tolerance, divided by the nodes, that may be used of a tight
#: bucket before the others are told: the untold use of all nodes together stays
#: within a quarter of what operators tolerate.
UNTOLD_SHARE = 0.25
#: Part of the quotas' tolerance that covers wrong guesses of the others' use.
TOLERANCE_SHARE = 0.25
#: Part of the tolerated overrun by which buckets refill faster. What nodes guess too
#: high of each other's use would otherwise refuse requests that are within the quota.
OVERRUN_SHARE = 0.5


class QuotaCharges:
    """Charges requests to their teams' quotas.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    announce : callable
        Tells all peers this node's row soon, out of turn.
    """

    def __init__(self, state: EntryState, announce: Callable[[], None]) -> None:
        self._state = state
        self._announce = announce

    def charge(self, context: RequestContext) -> Refusal | None:
        """Take a request's cost from its team's quota, or refuse it."""
        team = context.team
        if team is None or team.quota is None:
            return None
        now = monotonic()
        bucket = self._state.bucket(team, now)
        assert bucket is not None
        bounds = self._state.settings.bounds
        cost = request_cost(team.quota, context.request)
        over = bucket.take(
            raise_refill(team.quota, OVERRUN_SHARE * bounds.quota_overrun),
            cost,
            now,
            self._state.total_nodes,
            TOLERANCE_SHARE * bounds.quota_slack,
        )
        context.quota_left = bucket.level
        if over is None:
            context.quota_cost = cost
            if bucket.tight(team.quota):
                self._tell_use(bucket)
            return None
        return Refusal(
            429,
            RefusalReason.OVER_QUOTA,
            over.retry_after_s,
            f"left {bucket.level:.0f}, cost {cost:.0f}",
        )

    def _tell_use(self, bucket: Bucket) -> None:
        """Tell the other nodes at once once untold use matters."""
        bounds = self._state.settings.bounds
        untold = bucket.spent - bucket.told
        if untold > UNTOLD_SHARE * bounds.quota_slack / self._state.total_nodes:
            self._announce()

    def refund(self, context: RequestContext) -> None:
        """Give back what a request that did not run has taken from its quota."""
        if context.team is None or context.quota_cost == 0:
            return
        bucket = self._state.bucket(context.team, monotonic())
        if bucket is not None:
            bucket.give_back(context.quota_cost)
            context.quota_cost = 0.0
