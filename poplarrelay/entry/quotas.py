"""Teams' quotas over all nodes, without asking anyone for each request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.requests import CallerRequest

__all__ = ["Bucket", "OverQuota", "RemoteUse", "cost_of"]

#: Seconds of a silent peer's last pace that are added to what it reported. News
#: takes up to two rounds; a peer that is silent longer is dead or cut off, and
#: counted as going on at its pace for at most this long.
LONGEST_GUESS_S = 3.0
#: Seconds of refill that a restarted node finds in its bucket. Its predecessor may
#: have spent the burst a moment ago.
RESTART_REFILL_S = 1.0
#: Weight of one report in a peer's pace.
PACE_WEIGHT = 0.5


def cost_of(quota: Quota, request: CallerRequest) -> float:
    """Return what a request takes from its team's quota."""
    if not quota.in_tokens:
        return 1.0
    if request.prompt_tokens is None or request.most_output_tokens is None:
        return quota.default_cost
    return float(request.prompt_tokens + request.most_output_tokens)


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The quota is used up; the request fits in after some time."""

    retry_after_s: float


@dataclass(slots=True)
class RemoteUse:
    """What another node says that it has used.

    Attributes
    ----------
    total : float
        Sum since that node's process started.
    pace : float
        Moving use a second.
    heard_at : float
        Monotonic time of the last report.
    """

    total: float
    pace: float = 0.0
    heard_at: float = 0.0


@dataclass(slots=True)
class Bucket:
    """A team's bucket as one node sees it.

    Attributes
    ----------
    level : float
        What is left; below zero after other nodes' use was heard late.
    spent : float
        What this node has taken since it started, told to the others.
    remotes : dict of str to RemoteUse
        The other nodes' use, by node and incarnation.

    Notes
    -----
    Each node subtracts its own use at once and the others' as it is heard. What
    others use between two reports is guessed from their pace, so a flood that
    arrives at all nodes overruns by about one report interval of its growth, not
    of its size. A node that hears nobody goes on with the last paces for
    `LONGEST_GUESS_S` and then has the whole refill: by then the others have dropped
    it from the addresses that callers get.
    """

    level: float
    refilled_at: float
    spent: float = 0.0
    remotes: dict[str, RemoteUse] = field(default_factory=dict)

    @classmethod
    def starting(cls, quota: Quota, now: float, first_start: bool) -> Bucket:
        """Return the bucket of a node that has just started."""
        level = quota.burst if first_start else quota.per_s * RESTART_REFILL_S
        return cls(min(level, quota.burst), now)

    def refill(self, quota: Quota, now: float) -> None:
        """Add what has accrued; a lowered burst takes effect at once."""
        accrued = quota.per_s * max(0.0, now - self.refilled_at)
        self.level = min(quota.burst, self.level + accrued)
        self.refilled_at = now

    def guessed(self, now: float) -> float:
        """Return what the others have probably used since their last reports."""
        return sum(
            remote.pace * min(LONGEST_GUESS_S, max(0.0, now - remote.heard_at))
            for remote in self.remotes.values()
        )

    def take(self, quota: Quota, cost: float, now: float) -> OverQuota | None:
        """Take a request's cost, or tell when it would fit.

        Notes
        -----
        A request larger than the whole burst is let in with a full bucket, and
        leaves a debt; otherwise it could never run.
        """
        self.refill(quota, now)
        left = self.level - self.guessed(now)
        needed = min(cost, quota.burst)
        if left < needed:
            return OverQuota((needed - left) / quota.per_s)
        self.level -= cost
        self.spent += cost
        return None

    def give_back(self, cost: float) -> None:
        """Return the cost of a request that did not run."""
        self.level += cost
        self.spent -= cost

    def hear(self, reporter: str, total: float, now: float) -> None:
        """Take another node's report of what it has used."""
        remote = self.remotes.get(reporter)
        if remote is None:
            # What it used before this node knew it is paid for by the time that
            # its process has been running.
            self.remotes[reporter] = RemoteUse(total, 0.0, now)
            return
        used = total - remote.total
        elapsed = max(0.05, now - remote.heard_at)
        remote.total = total
        self.level -= used
        remote.pace += PACE_WEIGHT * (max(0.0, used) / elapsed - remote.pace)
        remote.heard_at = now

    def forget(self, alive: Iterable[str]) -> None:
        """Drop the reports of nodes that are gone."""
        kept = set(alive)
        for reporter in [name for name in self.remotes if name not in kept]:
            del self.remotes[reporter]
