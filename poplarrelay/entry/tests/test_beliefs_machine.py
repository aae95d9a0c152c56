"""State machine tests of the shared retry budget and of endpoint health."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarrelay.entry.budgets import RetryBudget
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.health import MAX_AVOIDANCE_S, note_failure, note_success
from poplarrelay.identifiers import DomainId, EndpointId

RATIO, SLACK, WINDOW_S = 0.2, 20.0, 10.0
NODES = 4


class BudgetMachine(RuleBasedStateMachine):
    """State machine of four nodes that send and retry requests.

    The nodes do not always receive each other's messages. Each node divides the slack
    by the largest number of nodes that it has counted recently. Invariant for each
    window: all nodes together retry at most the slack plus the ratio of the requests
    that callers sent in the window.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.budgets = [RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(NODES)]
        self.sent = []
        self.repeated = []

    @rule(seconds=st.floats(0.01, 4.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(node=st.integers(0, NODES - 1), number=st.integers(1, 30))
    def callers_send(self, node, number):
        for _ in range(number):
            self.budgets[node].note_request(self.now)
            self.sent.append(self.now)

    @rule(node=st.integers(0, NODES - 1), number=st.integers(1, 30))
    def endpoints_refuse(self, node, number):
        for _ in range(number):
            if self.budgets[node].take(self.now, NODES):
                self.repeated.append(self.now)

    @rule(node=st.integers(0, NODES - 1))
    def settings_are_read_again(self, node):
        self.budgets[node].ratio = RATIO

    @invariant()
    def all_nodes_together_keep_the_budget(self):
        start = self.now - WINDOW_S
        sent = sum(at >= start for at in self.sent)
        repeated = sum(at >= start for at in self.repeated)
        assert repeated <= RATIO * sent + SLACK


class HealthMachine(RuleBasedStateMachine):
    """State machine of endpoints that answer, fail, are slow or do not answer.

    Invariants: an endpoint is never avoided for longer than the longest time, so that
    a recovered endpoint gets requests again. An endpoint always has a free slot, since
    only requests show that it has recovered. The first success of an endpoint with a
    low failure rate ends its avoidance.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.rows = [
            Endpoint(EndpointId(f"e{i}"), ServiceName("s"), ("a", 1), DomainId("n"), 16)
            for i in range(3)
        ]

    @rule(seconds=st.floats(0.01, 6.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 2), certain=st.booleans(), number=st.integers(1, 12))
    def fail(self, index, certain, number):
        row = self.rows[index]
        for _ in range(number):
            note_failure(row, self.rows, self.now, certain)
        if certain:
            assert row.health.avoided_until > self.now

    @rule(index=st.integers(0, 2), number=st.integers(1, 30))
    def succeed(self, index, number):
        row = self.rows[index]
        for _ in range(number):
            note_success(row)
        assert row.health.failures_in_row == 0
        if number == 30:
            assert row.health.avoided_until == 0.0

    @invariant()
    def no_endpoint_is_avoided_forever(self):
        for row in self.rows:
            assert row.health.avoided_until <= self.now + MAX_AVOIDANCE_S
            row.running = 0
            assert row.free >= 1


_SETTINGS = settings(derandomize=True, max_examples=60, deadline=None)
TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = _SETTINGS
TestHealthMachine = HealthMachine.TestCase
TestHealthMachine.settings = _SETTINGS
