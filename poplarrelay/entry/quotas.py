"""Quotas of teams over all nodes, without a message to other nodes per request."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from math import exp

from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.requests import CallerRequest

__all__ = ["Bucket", "OverQuota", "RemoteUsage", "raise_refill", "request_cost"]

#: Seconds of the node's share of the refill that the bucket of a restarted node holds.
#: The previous process may have used the burst just before. The other nodes add it to
#: their buckets with the first report of the new process.
RESTART_REFILL_S = 0.25
#: Seconds after a node's last report for which its share of the refill is still added
#: to the bucket: one and a half gossip rounds.
REPORT_LAG_S = 0.6
#: Seconds without a report after which a node counts as unreachable, and its share of
#: the burst is no longer available here. Without faults every node's report arrives
#: within three gossip rounds.
UNREACHABLE_S = 1.3
#: The same for the sums of another cell, which its representative sends.
CELL_UNREACHABLE_S = 2.4
#: Fraction of the burst below which usage is reported to other nodes immediately.
LOW_LEVEL_SHARE = 0.5
#: Seconds over which the usage rate of others is averaged while the level is high.
#: Reports can follow each other within 50 ms, and one long prompt between two of them
#: is no lasting rate.
RATE_WINDOW_S = 1.0
#: The same while the level is lower, when a flood can be the cause.
RECENT_RATE_WINDOW_S = 0.3
#: Fraction of the burst below which the latter applies.
CAUTION_LEVEL_SHARE = 0.85


def request_cost(quota: Quota, request: CallerRequest) -> float:
    """Return the cost of a request in units of its team's quota."""
    if not quota.in_tokens:
        return 1.0
    if request.prompt_tokens is None or request.max_output_tokens is None:
        return quota.default_cost
    return float(request.prompt_tokens + request.max_output_tokens)


def raise_refill(quota: Quota, share: float) -> Quota:
    """Return a quota whose refill rate is raised by a fraction.

    Examples
    --------
    >>> raise_refill(Quota(100.0, 50.0, True, 1.0), 0.05).per_s
    105.0
    """
    return replace(quota, per_s=quota.per_s * (1 + share))


@dataclass(frozen=True, slots=True)
class OverQuota:
    """Result if the quota is used up, with the seconds until the request fits."""

    retry_after_s: float


@dataclass(slots=True)
class RemoteUsage:
    """Usage of another node, or of all nodes of another cell.

    Attributes
    ----------
    total : float
        Usage since that node's process started, or since the cell's representative
        started to count.
    last_seen_at : float
        Monotonic time of the last report.
    refilled_to : float
        Monotonic time up to which that node's share of the refill is in this bucket.
    usage_rate, recent_rate : float
        Moving averages of the usage per second, over `RATE_WINDOW_S` and over
        `RECENT_RATE_WINDOW_S`.
    node_count, most_nodes : int
        Number of nodes whose usage this is, and the largest number so far.
    run : str
        Id of the run within which the total only grows; empty for a single process.
    unreachable_s : float
        Seconds without a report after which the remote counts as unreachable.
    """

    total: float
    last_seen_at: float
    refilled_to: float
    usage_rate: float = 0.0
    recent_rate: float = 0.0
    node_count: int = 1
    most_nodes: int = 1
    run: str = ""
    unreachable_s: float = UNREACHABLE_S

    def is_unreachable(self, now: float) -> bool:
        """Return whether the last report is too old."""
        return now - self.last_seen_at > self.unreachable_s


@dataclass(slots=True)
class Bucket:
    """Token bucket of a team, as one node sees it.

    Attributes
    ----------
    level : float
        Amount left; negative after late reports of other nodes' usage.
    refilled_to : float
        Monotonic time up to which this node's share of the refill is in the bucket.
    used : float
        Amount that this node has taken since it started; it is reported to the others.
    reported : float
        Amount that has been reported to the others.
    remotes : dict of str to RemoteUsage
        Usage of other nodes, by node and incarnation, and of other cells, by cell.

    Notes
    -----
    Each node subtracts its own usage immediately and other nodes' usage when their
    reports arrive. The usage of others between two reports is estimated from their
    usage rates. A flood that arrives at all nodes therefore exceeds the quota by about
    its growth in one report interval, not by its size. When the level is low, usage is
    reported immediately.

    The refill is divided into equal shares, one per node, and a node's share is added
    only up to its last report. Partitioned nodes cannot report to each other, but
    callers keep the addresses of such nodes, and each of these nodes gives new callers
    only its own address. With undivided refills, a partition of three nodes admitted up
    to four quotas; with shares, all groups together stay within one quota.
    """

    level: float
    refilled_to: float
    used: float = 0.0
    reported: float = 0.0
    remotes: dict[str, RemoteUsage] = field(default_factory=dict)

    @classmethod
    def starting(
        cls, quota: Quota, now: float, nodes: int, first_start: bool
    ) -> Bucket:
        """Return the bucket of a node that has just started."""
        level = quota.burst
        if not first_start:
            level = min(level, quota.per_s * RESTART_REFILL_S / max(1, nodes))
        return cls(level, now)

    def refill(self, quota: Quota, now: float, nodes: int) -> None:
        """Add the shares of the refill that are due, and limit the level to the burst.

        Parameters
        ----------
        quota : Quota
            The quota in force.
        now : float
            Monotonic time.
        nodes : int
            Number of nodes, including unreachable ones.
        """
        nodes = max(nodes, self._known_nodes)
        due_s = max(0.0, now - self.refilled_to)
        self.refilled_to = max(self.refilled_to, now)
        for remote in self.remotes.values():
            until = min(now, remote.last_seen_at + REPORT_LAG_S)
            due_s += remote.node_count * max(0.0, until - remote.refilled_to)
            remote.refilled_to = max(remote.refilled_to, until)
        self.level += due_s * quota.per_s / nodes
        self.level = min(self.level, quota.burst * self.reachable_fraction(now, nodes))

    def reachable_fraction(self, now: float, nodes: int) -> float:
        """Return the fraction of all nodes that are reachable, including this node."""
        reachable = sum(
            r.node_count for r in self.remotes.values() if not r.is_unreachable(now)
        )
        return (1 + reachable) / max(nodes, self._known_nodes)

    @property
    def _known_nodes(self) -> int:
        """Return the number of nodes that have reported, including this node."""
        return 1 + sum(remote.node_count for remote in self.remotes.values())

    def estimated_usage(self, quota: Quota, now: float) -> float:
        """Return the estimated usage of the others since their last reports."""
        is_cautious = self.level < CAUTION_LEVEL_SHARE * quota.burst
        estimate = 0.0
        for remote in self.remotes.values():
            if not remote.is_unreachable(now):
                rate = remote.recent_rate if is_cautious else remote.usage_rate
                estimate += rate * max(0.0, now - remote.last_seen_at)
        return estimate

    def is_low(self, quota: Quota) -> bool:
        """Return whether the level is so low that usage is reported immediately."""
        return self.level < LOW_LEVEL_SHARE * quota.burst

    def take(
        self,
        quota: Quota,
        cost: float,
        now: float,
        nodes: int,
        tolerance: float = 0.0,
    ) -> OverQuota | None:
        """Take a request's cost, or return the time until the request fits.

        Parameters
        ----------
        quota : Quota
            The quota in force.
        cost : float
            Cost of the request.
        now : float
            Monotonic time.
        nodes : int
            Number of nodes, including unreachable ones.
        tolerance : float
            Amount that all nodes together may take beyond the quota. It covers
            estimates of other nodes' usage that are too high: a request within the
            quota must not be refused because of an estimate.

        Notes
        -----
        A request that costs more than the burst is admitted if the bucket is full, and
        the level becomes negative. Otherwise the request could never run.
        """
        self.refill(quota, now, nodes)
        share = self.reachable_fraction(now, nodes)
        available = self.level - self.estimated_usage(quota, now) + share * tolerance
        needed = min(cost, quota.burst * share)
        if available < needed:
            return OverQuota((needed - available) / (share * quota.per_s))
        self.level -= cost
        self.used += cost
        return None

    def refund(self, cost: float) -> None:
        """Refund the cost of a request that did not run."""
        self.level += cost
        self.used -= cost

    def receive(self, reporter: str, total: float, baseline: float, now: float) -> None:
        """Record another node's report of its usage.

        Parameters
        ----------
        reporter : str
            Id of the node and its incarnation.
        total : float
            Usage of that node since it started.
        baseline : float
            Part of the total that was used before this node started.
        now : float
            Monotonic time.
        """
        remote = self.remotes.get(reporter)
        if remote is None:
            # A process that has started since holds its first refill; see `starting`.
            refilled_to = now - RESTART_REFILL_S if baseline == 0 else now
            self.remotes[reporter] = RemoteUsage(total, now, refilled_to)
            # The time in which this was used is not known, so it sets no usage rate.
            self.level -= total - baseline
            return
        self._charge(remote, total, now)

    def record_cell_usage(
        self, cell: str, run: str, total: float, node_count: int, now: float
    ) -> None:
        """Record the usage of all nodes of another cell.

        Parameters
        ----------
        cell : str
            Id of the cell.
        run : str
            Id of the run within which the total only grows, except for refunds.
        total : float
            Usage that the cell's representative has counted.
        node_count : int
            Number of live nodes in the cell.
        now : float
            Monotonic time.

        Notes
        -----
        The next representative starts to count at another time, and rows that are
        dropped leave the sum. The difference between totals of two runs is therefore
        meaningless, and the usage between them is estimated from the previous usage
        rate. Without this estimate, the end of a representative refunded all usage of
        its cell since its start at every node.

        The same applies when the representative has learned of further nodes: their
        usage until then was limited by their own shares of the refill, which are not in
        this bucket.
        """
        remote = self.remotes.get(cell)
        if remote is None:
            remote = RemoteUsage(total, now, now, unreachable_s=CELL_UNREACHABLE_S)
            self.remotes[cell] = remote
        elif remote.run != run or node_count > remote.most_nodes:
            silence_s = min(now - remote.last_seen_at, remote.unreachable_s)
            remote.total = total - remote.usage_rate * silence_s
        if remote.run != run:
            remote.most_nodes = 0
        remote.run = run
        remote.node_count = node_count
        remote.most_nodes = max(remote.most_nodes, node_count)
        self._charge(remote, total, now)

    def _charge(self, remote: RemoteUsage, total: float, now: float) -> None:
        """Subtract a remote's usage since its last report."""
        used = total - remote.total
        elapsed_s = max(0.0, now - remote.last_seen_at)
        remote.total = total
        self.level -= used
        used = max(0.0, used)
        remote.usage_rate *= exp(-elapsed_s / RATE_WINDOW_S)
        remote.usage_rate += used / RATE_WINDOW_S
        remote.recent_rate *= exp(-elapsed_s / RECENT_RATE_WINDOW_S)
        remote.recent_rate += used / RECENT_RATE_WINDOW_S
        remote.last_seen_at = now

    def forget(self, known: Collection[str]) -> None:
        """Drop the usage of nodes and cells that are no longer known."""
        for reporter in [name for name in self.remotes if name not in known]:
            del self.remotes[reporter]
