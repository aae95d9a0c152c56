"""Tests of quotas over many nodes, with late or lost reports between them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.quotas import Bucket, OverQuota
from poplarrelay.testing.quota_simulation import QuotaScenario, simulate_quota

QUOTA = Quota(per_s=1000.0, burst=1000.0, in_tokens=True, default_cost=10.0)
STEP_S = 0.1


class Nodes:
    """Nodes that share a quota and report their usage to each other.

    Parameters
    ----------
    count : int
        Number of nodes.
    round_steps : int
        Steps between two rounds of reports.
    """

    def __init__(self, count, round_steps=4):
        self.buckets = [Bucket.starting(QUOTA, 0.0, count, True) for _ in range(count)]
        self.round_steps = round_steps
        self.now = 0.0
        self.step = 0
        self.admitted = []

    def exchange_reports(self, groups):
        for group in groups:
            for sender in group:
                for receiver in group:
                    if sender != receiver:
                        used = self.buckets[sender].used
                        self.buckets[receiver].receive(str(sender), used, 0.0, self.now)

    def run(self, seconds, cost, groups):
        """Send one request to every node in each step."""
        for _ in range(round(seconds / STEP_S)):
            if self.step % self.round_steps == 0:
                self.exchange_reports(groups)
            for bucket in self.buckets:
                if bucket.take(QUOTA, cost, self.now, len(self.buckets)) is None:
                    self.admitted.append((self.now, cost))
            self.step += 1
            self.now += STEP_S

    def max_in_window(self, window_s):
        """Return the largest sum admitted in any window."""
        starts = {at for at, _ in self.admitted}
        return max(
            sum(c for at, c in self.admitted if start <= at < start + window_s)
            for start in starts
        )


def test_flood_at_all_nodes_stays_near_the_quota():
    # Guards against nodes that each admit a flood until they receive the others'
    # reports. Six nodes get nine times the quota for 8 s, with reports every 0.4 s.
    nodes = Nodes(6)
    nodes.run(3, 5.0, [range(6)])
    nodes.run(8, 150.0, [range(6)])
    assert nodes.max_in_window(8) < 1.35 * (8 * QUOTA.per_s + QUOTA.burst)


def test_partitioned_groups_stay_within_one_quota_together():
    # Guards against partitioned groups that each admit the full quota, twice as much
    # together. Callers flood groups of two and four nodes that cannot reach each other.
    nodes = Nodes(6)
    together = [range(6)]
    apart = [range(2), range(2, 6)]
    nodes.run(3, 5.0, together)
    nodes.run(10, 150.0, apart)
    assert nodes.max_in_window(8) < 1.35 * (8 * QUOTA.per_s + QUOTA.burst)
    nodes.run(8, 150.0, together)
    assert nodes.max_in_window(8) < 1.35 * (8 * QUOTA.per_s + QUOTA.burst)


def test_traffic_within_the_quota_is_never_refused():
    nodes = Nodes(6)
    nodes.run(20, 9.0, [range(6)])
    assert len(nodes.admitted) == 6 * 200


def test_refused_request_does_not_change_the_bucket():
    # Guards against refunds of costs that were never taken: the refusals of a flood
    # then refilled the bucket.
    bucket = Bucket.starting(QUOTA, 0.0, 1, True)
    assert bucket.take(QUOTA, 990.0, 0.0, 1) is None
    for _ in range(50):
        assert isinstance(bucket.take(QUOTA, 500.0, 0.0, 1), OverQuota)
    assert bucket.level == 10.0
    assert bucket.used == 990.0


def test_lower_quota_takes_effect_immediately():
    bucket = Bucket.starting(QUOTA, 0.0, 1, True)
    low = Quota(per_s=10.0, burst=20.0, in_tokens=True, default_cost=1.0)
    assert bucket.take(low, 15.0, 0.0, 1) is None
    assert isinstance(bucket.take(low, 15.0, 0.0, 1), OverQuota)


def test_restarted_node_starts_without_a_full_burst():
    bucket = Bucket.starting(QUOTA, 0.0, 5, False)
    assert bucket.level <= QUOTA.per_s / 5


@settings(derandomize=True, max_examples=60)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(1, 400), st.floats(0, 0.5)),
        min_size=1,
        max_size=60,
    )
)
def test_level_never_exceeds_the_burst_and_retry_after_is_sufficient(steps):
    # Nodes take and report in any order. A refused request must be admitted after its
    # retry delay if no other request was admitted in between.
    buckets = [Bucket.starting(QUOTA, 0.0, 3, True) for _ in range(3)]
    now = 0.0
    for index, cost, wait in steps:
        now += wait
        for sender, bucket in enumerate(buckets):
            for receiver in buckets:
                if receiver is not bucket:
                    receiver.receive(str(sender), bucket.used, 0.0, now)
        bucket = buckets[index]
        over = bucket.take(QUOTA, cost, now, 3)
        assert bucket.level <= QUOTA.burst
        if over is None:
            continue
        now += over.retry_after_s + 0.01
        for sender, other in enumerate(buckets):
            if other is not bucket:
                bucket.receive(str(sender), other.used, 0.0, now)
        assert bucket.take(QUOTA, cost, now, 3) is None


def test_long_prompt_elsewhere_does_not_hide_a_full_bucket():
    # Guards against a rate that is extrapolated from two reports 50 ms apart.
    bucket = Bucket.starting(QUOTA, 0.0, 2, True)
    bucket.receive("b", 0.0, 0.0, 0.0)
    for step in range(1, 21):
        bucket.receive("b", 0.0, 0.0, 0.4 * step)
    bucket.receive("b", 400.0, 0.0, 8.05)
    bucket.refill(QUOTA, 8.6, 2)
    assert bucket.level >= 900.0
    assert bucket.take(QUOTA, 500.0, 9.0, 2) is None


def test_first_refill_of_a_restarted_process_counts_with_its_usage():
    # Guards against charging a new process's usage without the refill that it used.
    buckets = [Bucket.starting(QUOTA, 0.0, 4, False) for _ in range(4)]
    first = buckets[0].level
    buckets[0].receive("b", first, 0.0, 0.0)
    buckets[0].refill(QUOTA, 0.0, 4)
    assert buckets[0].level == pytest.approx(first)


def test_callers_within_the_quota_are_served_by_several_nodes():
    outcomes = [simulate_quota(QuotaScenario(9, seed)) for seed in range(4)]
    owed = sum(outcome.owed for outcome in outcomes)
    assert sum(outcome.refused for outcome in outcomes) <= owed / 200


def test_nodes_that_a_cell_learns_of_are_not_charged_for_their_past():
    # Guards against a burst of usage that seems to come at once after a mass restart.
    bucket = Bucket.starting(QUOTA, 0.0, 9, True)
    bucket.record_cell_usage("cell", "run", 10.0, 2, 0.0)
    bucket.record_cell_usage("cell", "run", 900.0, 8, 0.4)
    bucket.refill(QUOTA, 0.4, 9)
    assert bucket.level - bucket.estimated_usage(QUOTA, 1.0) > 900.0
    bucket.record_cell_usage("cell", "run", 1500.0, 8, 0.8)
    assert bucket.level < 500.0


@pytest.mark.parametrize("nodes", [9, 69])
@pytest.mark.parametrize("killed_at", [float("inf"), 5.0])
def test_flood_at_many_nodes_stays_within_the_bound(nodes, killed_at):
    # Guards against nodes that forget what was used before all of them were killed.
    flood = (3.0, 11.0, 4.8)
    scenario = QuotaScenario(nodes, 1, flood=flood, killed_at=killed_at, length_s=12.0)
    assert simulate_quota(scenario).most_in_window <= 1.0


@pytest.mark.parametrize("nodes", [9, 69])
def test_restarted_nodes_serve_within_two_seconds(nodes):
    outcome = simulate_quota(QuotaScenario(nodes, 1, killed_at=4.0, length_s=9.0))
    later = range(7, 9)
    refused = sum(outcome.refused_by_second[second] for second in later)
    assert refused <= sum(outcome.owed_by_second[second] for second in later) / 100


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("per_s", [50_000.0, 100_000.0])
def test_streams_taken_up_after_the_loss_of_all_nodes_are_admitted(per_s, seed):
    # Guards against long prompts that lose their quota to the short calls of a crowd.
    streams = 10
    scenario = QuotaScenario(
        9, seed, per_s=per_s, load=1.1, killed_at=5.0, resumed=streams, length_s=12.0
    )
    outcome = simulate_quota(scenario)
    assert outcome.resumed >= streams / 2
    assert outcome.most_in_window <= 1.0


@pytest.mark.parametrize("nodes", [9, 69])
@pytest.mark.parametrize("seed", range(1, 5))
def test_streams_taken_up_beside_a_flood_stay_within_the_bound(nodes, seed):
    # Guards against a quota that is exceeded by what resumed streams may overdraw.
    flood = (3.0, 11.0, 4.8)
    scenario = QuotaScenario(
        nodes, seed, flood=flood, killed_at=5.0, resumed=20, length_s=12.0
    )
    assert simulate_quota(scenario).most_in_window <= 1.0
