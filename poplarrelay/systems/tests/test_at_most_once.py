"""Each idempotency key runs at most once: a state machine over the systems.

A caller gets an answer, "not run" or "unknown". Nodes pause, resume, crash, restart and
leave, the log becomes unavailable, replies are lost, and actions are performed in any
order. A key must not run twice. A key must not run if a caller got "not run" for it,
because that caller can repeat the work under another key.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from poplarrelay.messages.effects import (
    AppendRecord,
    ForwardRequest,
    QueryKey,
    RunAttempt,
)
from poplarrelay.testing.fakes import FakeSystem

NODES = st.sampled_from(["n1", "n2", "n3"])
KEYS = st.sampled_from(["seat-1", "seat-2"])
NONCES = st.sampled_from(["a", "b"])


class AtMostOnce(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.system = FakeSystem()
        self.tickets = {}

    @rule(node=NODES, key=KEYS, wait=st.sampled_from([1.0, 8.0]))
    def submit_caller_key(self, node, key, wait):
        if not self.system.nodes[node].dead:
            self.system.submit(node, key, wait)

    @rule(node=NODES, home=NODES, nonce=NONCES, wait=st.sampled_from([1.0, 8.0]))
    def submit_ticket(self, node, home, nonce, wait):
        ticket = self.tickets.setdefault((home, nonce), self.system.ticket(home, nonce))
        if not self.system.nodes[node].dead:
            self.system.submit(node, ticket, wait)

    @rule()
    def tick_all(self):
        self.system.tick_all()

    @rule(node=NODES)
    def read_log(self, node):
        self.system.read_log(node)
        self.system.tick(node)

    @precondition(lambda self: self.system.actions)
    @rule(data=st.data(), lost=st.booleans())
    def perform(self, data, lost):
        index = data.draw(st.integers(0, len(self.system.actions) - 1))
        self.system.perform(self.system.actions[index], lost)

    @precondition(lambda self: self.system.actions)
    @rule(
        kind=st.sampled_from([AppendRecord, RunAttempt, QueryKey, ForwardRequest]),
        lost=st.booleans(),
    )
    def perform_kind(self, kind, lost):
        self.system.perform_all(kind, lost)
        self.system.tick_all()

    @rule(key=KEYS, one=NODES, other=NODES)
    def race(self, key, one, other):
        for node in (one, other):
            if not self.system.nodes[node].dead:
                self.system.submit(node, key)
        self.system.tick_all()

    @precondition(
        lambda self: any(isinstance(a.effect, RunAttempt) for a in self.system.actions)
    )
    @rule()
    def refuse(self):
        action = next(
            a for a in self.system.actions if isinstance(a.effect, RunAttempt)
        )
        if not action.node.frozen:
            self.system.refuse_attempt(action)

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0]))
    def pass_time(self, seconds):
        self.system.now += seconds

    @rule(node=NODES)
    def freeze(self, node):
        self.system.freeze(node)

    @rule(node=NODES)
    def thaw(self, node):
        self.system.thaw(node)

    @rule(node=NODES)
    def crash_and_start(self, node):
        self.system.crash(node)
        self.system.start(node)

    @rule(one=NODES, other=NODES)
    def gossip(self, one, other):
        first, second = self.system.nodes[one], self.system.nodes[other]
        if one != other and first.answers and second.answers:
            self.system.gossip(first, second)

    @rule(node=NODES)
    def leave(self, node):
        self.system.leave(node, 6.0)
        self.system.tick(node)

    @rule(up=st.booleans())
    def switch_log(self, up):
        self.system.log.up = up

    @rule()
    def settle(self):
        self.system.run_rounds(rounds=4)

    @invariant()
    def nothing_is_doubled_and_no_not_run_is_false(self):
        assert not self.system.violations, self.system.violations[0]

    def teardown(self):
        for name in self.system.nodes:
            self.system.thaw(name)
        self.system.log.up = True
        self.system.run_rounds(rounds=60)
        assert not self.system.violations, self.system.violations[0]
        for submission in self.system.submissions.values():
            assert len(submission.outcomes) <= 1


AtMostOnce.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestAtMostOnce = AtMostOnce.TestCase
