"""Quotas over many nodes, with the news between them late or cut off."""

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarrelay.entry.configuration import Quota
from poplarrelay.entry.quotas import Bucket, OverQuota

QUOTA = Quota(per_s=1000.0, burst=1000.0, in_tokens=True, default_cost=10.0)
STEP_S = 0.1


class Nodes:
    """Nodes that share a quota and tell each other what they used.

    Parameters
    ----------
    count : int
        How many.
    round_steps : int
        Steps between two rounds of news.
    """

    def __init__(self, count, round_steps=4):
        self.buckets = [Bucket.starting(QUOTA, 0.0, count, True) for _ in range(count)]
        self.round_steps = round_steps
        self.now = 0.0
        self.step = 0
        self.admitted = []

    def tell(self, groups):
        for group in groups:
            for teller in group:
                for hearer in group:
                    if teller != hearer:
                        spent = self.buckets[teller].spent
                        self.buckets[hearer].receive(str(teller), spent, 0.0, self.now)

    def run(self, seconds, cost, groups):
        """Let every node get one request a step."""
        for _ in range(round(seconds / STEP_S)):
            if self.step % self.round_steps == 0:
                self.tell(groups)
            for bucket in self.buckets:
                if bucket.take(QUOTA, cost, self.now, len(self.buckets)) is None:
                    self.admitted.append((self.now, cost))
            self.step += 1
            self.now += STEP_S

    def most_in(self, window_s):
        """Return the largest sum admitted in any window."""
        starts = {at for at, _ in self.admitted}
        return max(
            sum(c for at, c in self.admitted if start <= at < start + window_s)
            for start in starts
        )


def test_flood_at_all_nodes_stays_near_the_quota():
    # Six nodes get nine times the quota for eight seconds, with news every 0.4 s.
    nodes = Nodes(6)
    nodes.run(3, 5.0, [range(6)])
    nodes.run(8, 150.0, [range(6)])
    assert nodes.most_in(8) < 1.35 * (8 * QUOTA.per_s + QUOTA.burst)


def test_groups_that_are_cut_off_stay_within_one_quota_together():
    # Callers flood two nodes behind a cut and four before it. Neither group hears
    # of the other; each giving out the whole quota would let through twice as much.
    nodes = Nodes(6)
    together = [range(6)]
    apart = [range(2), range(2, 6)]
    nodes.run(3, 5.0, together)
    nodes.run(10, 150.0, apart)
    assert nodes.most_in(8) < 1.35 * (8 * QUOTA.per_s + QUOTA.burst)
    nodes.run(8, 150.0, together)
    assert nodes.most_in(8) < 1.35 * (8 * QUOTA.per_s + QUOTA.burst)


def test_usual_traffic_is_never_refused():
    nodes = Nodes(6)
    nodes.run(20, 9.0, [range(6)])
    assert len(nodes.admitted) == 6 * 200


def test_refused_request_takes_nothing_and_returns_nothing():
    # A flood is refused again and again. Each refusal must leave the bucket as it
    # was; giving back what was never taken filled the bucket by the flood itself.
    bucket = Bucket.starting(QUOTA, 0.0, 1, True)
    assert bucket.take(QUOTA, 990.0, 0.0, 1) is None
    for _ in range(50):
        assert isinstance(bucket.take(QUOTA, 500.0, 0.0, 1), OverQuota)
    assert bucket.level == 10.0
    assert bucket.spent == 990.0


def test_lower_quota_counts_at_once():
    bucket = Bucket.starting(QUOTA, 0.0, 1, True)
    low = Quota(per_s=10.0, burst=20.0, in_tokens=True, default_cost=1.0)
    assert bucket.take(low, 15.0, 0.0, 1) is None
    assert isinstance(bucket.take(low, 15.0, 0.0, 1), OverQuota)


def test_restarted_node_finds_no_full_burst():
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
def test_level_never_exceeds_the_burst_and_time_told_is_enough(steps):
    # Nodes take and report in any order. A request that is refused with a time to
    # come back is let in after that time if nobody else has taken anything.
    buckets = [Bucket.starting(QUOTA, 0.0, 3, True) for _ in range(3)]
    now = 0.0
    for index, cost, wait in steps:
        now += wait
        for teller, bucket in enumerate(buckets):
            for hearer in buckets:
                if hearer is not bucket:
                    hearer.receive(str(teller), bucket.spent, 0.0, now)
        bucket = buckets[index]
        over = bucket.take(QUOTA, cost, now, 3)
        assert bucket.level <= QUOTA.burst
        if over is None:
            continue
        now += over.retry_after_s + 0.01
        for teller, other in enumerate(buckets):
            if other is not bucket:
                bucket.receive(str(teller), other.spent, 0.0, now)
        assert bucket.take(QUOTA, cost, now, 3) is None
