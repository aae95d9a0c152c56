"""Charge requests to the quotas of their teams."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.quotas import Bucket, raise_refill, request_cost
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.state import EntryState

__all__ = ["QuotaCharges"]

#: Share of `quota_slack` that all nodes together can use of a bucket with a low level
#: before they report the usage. Each node gets an equal part of it. The unreported
#: usage of all nodes then stays within a quarter of the slack that operators tolerate.
UNREPORTED_SHARE = 0.25
#: Share of `quota_slack` that covers errors in the estimated usage of other nodes.
ESTIMATE_ERROR_SHARE = 0.25
#: Share of `quota_slack` that only resumed streams can use. After a loss of all nodes
#: they come back together, and their long prompts would lose against short calls.
RESUMED_SHARE = 0.5
#: Share of `quota_overrun` by which buckets refill faster. Otherwise, when nodes
#: estimate each other's usage too high, they refuse requests within the quota.
OVERRUN_SHARE = 0.25


class QuotaCharges:
    """Charges requests to the quotas of their teams.

    Parameters
    ----------
    state : EntryState
        The node's tables.
    announce : callable
        Sends this node's row to all peers before the next gossip round.
    """

    def __init__(self, state: EntryState, announce: Callable[[], None]) -> None:
        self._state = state
        self._announce = announce

    def charge(self, context: RequestContext) -> Refusal | None:
        """Take a request's cost from its team's quota.

        Returns
        -------
        Refusal or None
            The refusal if the quota is used up, otherwise None.
        """
        team = context.team
        if team is None or team.quota is None:
            return None
        now = monotonic()
        bucket = self._state.bucket(team, now)
        assert bucket is not None
        bounds = self._state.settings.bounds
        cost = request_cost(team.quota, context.request)
        over_quota = bucket.take(
            raise_refill(team.quota, OVERRUN_SHARE * bounds.quota_overrun),
            cost,
            now,
            self._state.total_nodes,
            self._tolerance_share(context) * bounds.quota_slack,
        )
        context.quota_left = bucket.level
        if over_quota is None:
            context.quota_cost = cost
            if bucket.is_low(team.quota):
                self._announce_usage(bucket)
            return None
        return Refusal(
            429,
            RefusalReason.OVER_QUOTA,
            over_quota.retry_after_s,
            f"left {bucket.level:.0f}, cost {cost:.0f}",
        )

    def _tolerance_share(self, context: RequestContext) -> float:
        """Return the share of `quota_slack` that a request can use."""
        begun = context.progress.version is not None
        return ESTIMATE_ERROR_SHARE + (RESUMED_SHARE if begun else 0.0)

    def _announce_usage(self, bucket: Bucket) -> None:
        """Announce this node's row if its unreported usage has become too large."""
        bounds = self._state.settings.bounds
        unreported = bucket.used - bucket.reported
        if unreported > UNREPORTED_SHARE * bounds.quota_slack / self._state.total_nodes:
            self._announce()

    def refund(self, context: RequestContext) -> None:
        """Return the cost of a request that did not run to its team's quota."""
        if context.team is None or context.quota_cost == 0:
            return
        bucket = self._state.bucket(context.team, monotonic())
        if bucket is not None:
            bucket.refund(context.quota_cost)
            context.quota_cost = 0.0
