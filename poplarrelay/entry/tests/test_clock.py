"""Tests of the agreed time of day while the clocks of some hosts jump."""

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarrelay.entry.clock import TOLERANCE_S, ClusterClock
from poplarrelay.entry.metering import UsageCounts
from poplarrelay.identifiers import TeamId


def clock_of(own_jump, peer_jumps, true=1_000_000.0, monotonic=50.0):
    clock = ClusterClock(lambda: true + own_jump)
    for number, jump in enumerate(peer_jumps):
        clock.receive(f"n{number}", true + jump, monotonic)
    return clock


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.floats(-0.02, 0.02), min_size=4, max_size=8),
    st.lists(st.floats(-5, 5), max_size=2),
    st.floats(-5, 5),
)
def test_a_minority_of_wrong_clocks_does_not_change_the_time(good, bad, own):
    # At most two peers and the node itself have a wrong clock; at least four peers have
    # a correct one.
    clock = clock_of(own, [*good, *bad])
    assert abs(clock.now() - 1_000_000.0) <= TOLERANCE_S + 0.05


def test_request_is_counted_in_the_window_of_the_correct_time():
    # The clock of the host jumps two seconds ahead just before a window ends. Its
    # requests must not be counted one window late.
    clock = clock_of(2.0, [0.0, 0.01, -0.01])
    usage = UsageCounts(5.0)
    usage.note(TeamId("alpha"), clock.now() + 4.0)
    assert list(usage.windows) == [200_000]


def test_single_peer_does_not_change_the_time():
    assert clock_of(0.0, [3.0]).correction == 0.0


def test_delayed_readings_do_not_change_the_time():
    # All clocks are correct, but on a busy link every other reading of each peer is
    # delayed by 0.8 s. Such readings make the peers' clocks look slow, and this node
    # would count usage in the previous window.
    clock = ClusterClock(wall=lambda: 1000.0 + now)
    for step in range(12):
        now = 0.2 * step
        waited_s = 0.8 if step % 2 else 0.0
        for peer in ("b", "c", "d"):
            clock.receive(peer, 1000.0 + now - waited_s, now)
        assert clock.correction == 0.0
