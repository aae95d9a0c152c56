"""Teams' quotas over all nodes, without asking anyone for each request."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.requests import CallerRequest

__all__ = ["Bucket", "OverQuota", "RemoteUse", "raise_refill", "request_cost"]

#: Seconds of its part of the refill that a restarted node finds in its bucket. Its
#: predecessor may have spent the burst a moment ago.
RESTART_REFILL_S = 1.0
#: Seconds after its last report for which a node's part of the refill is still given
#: to the others: one and a half rounds of news.
REPORT_LAG_S = 0.6
#: Seconds without a report after which a node's part of the burst is its own, too.
#: In calm times every node is heard within three rounds.
CUT_OFF_S = 1.3
#: The same for the sums of another cell, which come by way of its speaker.
CELL_CUT_OFF_S = 2.4
#: Part of the burst below which use is told to the others at once.
TIGHT_SHARE = 0.5
#: Weight of one report in a node's pace.
PACE_WEIGHT = 0.5


def request_cost(quota: Quota, request: CallerRequest) -> float:
    """Return what a request takes from its team's quota."""
    if not quota.in_tokens:
        return 1.0
    if request.prompt_tokens is None or request.max_output_tokens is None:
        return quota.default_cost
    return float(request.prompt_tokens + request.max_output_tokens)


def raise_refill(quota: Quota, share: float) -> Quota:
    """Return a quota whose refill is faster by a share.

    Examples
    --------
    >>> raise_refill(Quota(100.0, 50.0, True, 1.0), 0.05).per_s
    105.0
    """
    return replace(quota, per_s=quota.per_s * (1 + share))


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The quota is used up; the request fits in after some time."""

    retry_after_s: float


@dataclass(slots=True)
class RemoteUse:
    """What another node, or all nodes of another cell, have used.

    Attributes
    ----------
    total : float
        Sum since that node's process started.
    last_seen_at : float
        Monotonic time of the last report.
    refilled_to : float
        Time up to which that node's part of the refill is in this bucket.
    pace : float
        Moving use a second.
    weight : int
        Nodes that it stands for.
    run : str
        Under which the total only grows; empty for a single process.
    cut_off_s : float
        Seconds without a report after which it counts as cut off.
    """

    total: float
    last_seen_at: float
    refilled_to: float
    pace: float = 0.0
    weight: int = 1
    run: str = ""
    cut_off_s: float = CUT_OFF_S

    def cut_off(self, now: float) -> bool:
        """Return whether it has not been heard for too long."""
        return now - self.last_seen_at > self.cut_off_s


@dataclass(slots=True)
class Bucket:
    """A team's bucket as one node sees it.

    Attributes
    ----------
    level : float
        What is left; below zero after other nodes' use was heard late.
    refilled_to : float
        Monotonic time up to which this node's own part of the refill is in it.
    spent : float
        What this node has taken since it started, told to the others.
    told : float
        What of it they have been told.
    remotes : dict of str to RemoteUse
        The other nodes' use, by node and incarnation.

    Notes
    -----
    Each node subtracts its own use at once and the others' as it is heard. What
    others use between two reports is guessed from their pace, so a flood that
    arrives at all nodes overruns by about one report interval of its growth, not
    of its size; when the bucket is tight, use is reported at once.

    The refill is divided into equal parts, one a node, and a node's part is given
    only up to its last report. Nodes that are cut off from each other cannot report;
    callers keep the addresses of such nodes, which moreover name only themselves to
    new callers. With whole refills a cut of three nodes let through up to four
    quotas; in parts, all groups together stay within one.
    """

    level: float
    refilled_to: float
    spent: float = 0.0
    told: float = 0.0
    remotes: dict[str, RemoteUse] = field(default_factory=dict)

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
        """Add the parts of the refill that are due; a lower burst counts at once.

        Parameters
        ----------
        quota : Quota
            The quota in force.
        now : float
            Monotonic time.
        nodes : int
            How many nodes there are, cut off ones included.
        """
        nodes = max(nodes, self._known_nodes)
        due_s = max(0.0, now - self.refilled_to)
        self.refilled_to = max(self.refilled_to, now)
        for remote in self.remotes.values():
            until = min(now, remote.last_seen_at + REPORT_LAG_S)
            due_s += remote.weight * max(0.0, until - remote.refilled_to)
            remote.refilled_to = max(remote.refilled_to, until)
        self.level += due_s * quota.per_s / nodes
        self.level = min(self.level, quota.burst * self.reachable_fraction(now, nodes))

    def reachable_fraction(self, now: float, nodes: int) -> float:
        """Return the part of all nodes that this node hears, itself included."""
        heard = sum(r.weight for r in self.remotes.values() if not r.cut_off(now))
        return (1 + heard) / max(nodes, self._known_nodes)

    @property
    def _known_nodes(self) -> int:
        """Return how many nodes the reports stand for, this one included."""
        return 1 + sum(remote.weight for remote in self.remotes.values())

    def guessed(self, now: float) -> float:
        """Return what the others have probably used since their last reports."""
        guess = 0.0
        for remote in self.remotes.values():
            if not remote.cut_off(now):
                guess += remote.pace * max(0.0, now - remote.last_seen_at)
        return guess

    def tight(self, quota: Quota) -> bool:
        """Return whether so little is left that others must know of use at once."""
        return self.level < TIGHT_SHARE * quota.burst

    def take(
        self,
        quota: Quota,
        cost: float,
        now: float,
        nodes: int,
        tolerance: float = 0.0,
    ) -> OverQuota | None:
        """Take a request's cost, or tell when it would fit.

        Parameters
        ----------
        quota : Quota
            The quota in force.
        cost : float
            What the request takes.
        now : float
            Monotonic time.
        nodes : int
            How many nodes there are, cut off ones included.
        tolerance : float
            What all nodes together may take beyond the quota. It covers what this
            node guesses too high of the others' use: a request within the quota
            must not be refused for a guess.

        Notes
        -----
        A request larger than the whole burst is let in with a full bucket, and
        leaves a debt; otherwise it could never run.
        """
        self.refill(quota, now, nodes)
        share = self.reachable_fraction(now, nodes)
        left = self.level - self.guessed(now) + share * tolerance
        needed = min(cost, quota.burst * share)
        if left < needed:
            return OverQuota((needed - left) / (share * quota.per_s))
        self.level -= cost
        self.spent += cost
        return None

    def give_back(self, cost: float) -> None:
        """Return the cost of a request that did not run."""
        self.level += cost
        self.spent -= cost

    def receive(self, reporter: str, total: float, baseline: float, now: float) -> None:
        """Take another node's report of what it has used.

        Parameters
        ----------
        reporter : str
            The node and its incarnation.
        total : float
            What it has used since it started.
        baseline : float
            What of it had been used before this node started.
        now : float
            Monotonic time.
        """
        remote = self.remotes.get(reporter)
        if remote is None:
            remote = RemoteUse(baseline, now, now)
            self.remotes[reporter] = remote
        self._charge(remote, total, now)

    def record_cell_usage(
        self, cell: str, run: str, total: float, weight: int, now: float
    ) -> None:
        """Take what all nodes of another cell have used.

        Parameters
        ----------
        cell : str
            The cell.
        run : str
            Under which the total only grows but for refunds.
        total : float
            What they have used, as far as their speaker counts.
        weight : int
            How many nodes of the cell are alive.
        now : float
            Monotonic time.

        Notes
        -----
        The next speaker counts from another beginning, and a row that is forgotten
        leaves the sum. The difference of two such totals means nothing; what was
        used between them is taken from the pace before. Without this one speaker's
        end gave all nodes back what its cell had used since its start.
        """
        remote = self.remotes.get(cell)
        if remote is None:
            remote = RemoteUse(total, now, now, cut_off_s=CELL_CUT_OFF_S)
            self.remotes[cell] = remote
        elif remote.run != run:
            silence_s = min(now - remote.last_seen_at, remote.cut_off_s)
            remote.total = total - remote.pace * silence_s
        remote.run = run
        remote.weight = weight
        self._charge(remote, total, now)

    def _charge(self, remote: RemoteUse, total: float, now: float) -> None:
        """Subtract what a remote has used since its last report."""
        used = total - remote.total
        elapsed = max(0.05, now - remote.last_seen_at)
        remote.total = total
        self.level -= used
        remote.pace += PACE_WEIGHT * (max(0.0, used) / elapsed - remote.pace)
        remote.last_seen_at = now

    def forget(self, known: Collection[str]) -> None:
        """Drop the reports of processes that are not known any more."""
        for reporter in [name for name in self.remotes if name not in known]:
            del self.remotes[reporter]
