"""True time while some hosts' time of day jumps."""

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
def test_less_than_half_of_the_clocks_cannot_mislead(good, bad, own):
    # At most two peers and the node itself are wrong, at least four are right.
    clock = clock_of(own, [*good, *bad])
    assert abs(clock.now() - 1_000_000.0) <= TOLERANCE_S + 0.05


def test_request_is_counted_into_the_window_of_true_time():
    # The host's time of day jumps two seconds ahead right before the end of a
    # window. Its requests must not be reported one window late.
    clock = clock_of(2.0, [0.0, 0.01, -0.01])
    usage = UsageCounts(5.0)
    usage.note(TeamId("alpha"), clock.now() + 4.0)
    assert list(usage.windows) == [200_000]


def test_two_nodes_keep_their_own_time():
    assert clock_of(0.0, [3.0]).correction == 0.0


def test_readings_that_waited_on_the_way_do_not_move_the_time():
    # This node's link is busy: of each peer's readings every other one waits 0.8 s.
    # All clocks are right. Counted from the arrival the peers seem to be behind, and
    # this node would count usage into the window before.
    clock = ClusterClock(wall=lambda: 1000.0 + now)
    for step in range(12):
        now = 0.2 * step
        waited_s = 0.8 if step % 2 else 0.0
        for peer in ("b", "c", "d"):
            clock.receive(peer, 1000.0 + now - waited_s, now)
        assert clock.correction == 0.0
