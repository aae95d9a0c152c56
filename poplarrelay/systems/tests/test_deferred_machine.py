"""Deferred requests while nodes pause, crash and are declared dead: a state machine.

Replies between nodes are lost, and actions are performed in any order. An outcome that
a caller has fetched never changes. A lookup of an accepted request never returns that
it does not exist. Work that must not be repeated runs once. At the end, every node
returns the outcome of each request that had a copy at a peer. At most one node crashes,
because a second crash could lose the only copy.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from poplarrelay.messages.effects import QueryCopies, RunAttempt, StoreCopy
from poplarrelay.testing.fakes import FakeSystem

NAMES = ("n1", "n2", "n3", "n4")
NODES = st.sampled_from(NAMES)
KINDS = st.sampled_from([StoreCopy, QueryCopies, RunAttempt])
OPEN = ("running", "not_known")
MAX_FROZEN = 1


class DeferredRequests(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.system = FakeSystem(NAMES)
        self.crashed = None
        self.exempt = set()

    def _running(self, name):
        return self.system.nodes[name].answers

    @property
    def _frozen(self):
        return [name for name, node in self.system.nodes.items() if node.frozen]

    @rule(node=NODES, repeatable=st.booleans())
    def defer(self, node, repeatable):
        if self._running(node) and len(self.system.deferrals) < 3:
            self.system.defer(node, repeatable)
            self.system.tick(node)

    @rule()
    def tick_all(self):
        self.system.tick_all()

    @precondition(lambda self: self.system.actions)
    @rule(data=st.data(), lost=st.booleans())
    def perform(self, data, lost):
        index = data.draw(st.integers(0, len(self.system.actions) - 1))
        self.system.perform(self.system.actions[index], lost)

    @precondition(lambda self: self.system.actions)
    @rule(kind=KINDS)
    def perform_kind(self, kind):
        self.system.perform_all(kind)
        self.system.tick_all()

    @rule(node=NODES)
    def freeze(self, node):
        if self._running(node) and len(self._frozen) < MAX_FROZEN:
            self.system.freeze(node)

    @precondition(lambda self: self._frozen)
    @rule()
    def thaw(self):
        for name in self._frozen:
            self.system.thaw(name)
        self.system.exchange_all_gossip()
        self.system.tick_all()

    @precondition(lambda self: self.crashed is None)
    @rule(node=NODES)
    def crash(self, node):
        self.crashed = node
        self.system.crash(node)
        for deferral in self.system.deferrals.values():
            if deferral.owner == node and not self._has_confirmed_copy(node, deferral):
                self.exempt.add(deferral.id)

    def _has_confirmed_copy(self, node, deferral):
        """Return whether a confirmed copy remains if the node crashes."""
        copy = self.system.nodes[node].world.sent_copies.get(deferral.id)
        return copy is None or (copy.holder is not None and not copy.in_flight)

    @rule(node=NODES)
    def declare_dead(self, node):
        if not self._running(node):
            self.system.declare_dead(node)

    @rule(seconds=st.sampled_from([0.3, 1.0]))
    def pass_time(self, seconds):
        self.system.now += seconds
        self.system.tick_all()

    @rule(node=NODES)
    def look_up(self, node):
        if self._running(node):
            for deferral in self.system.deferrals.values():
                self._check(node, deferral)

    def _check(self, node, deferral):
        if not deferral.accepted or deferral.id in self.exempt:
            return
        state = self.system.look_up(node, deferral)
        if deferral.fetched_outcome is not None:
            assert state in (deferral.fetched_outcome, "not_known"), (
                node,
                state,
                deferral,
            )
        elif state not in OPEN:
            assert state != "absent", (node, deferral)
            deferral.fetched_outcome = state

    @invariant()
    def work_that_must_not_be_repeated_runs_once(self):
        for deferral in self.system.deferrals.values():
            assert deferral.repeatable or deferral.runs <= 1, deferral

    def teardown(self):
        for name in self._frozen:
            self.system.thaw(name)
        self.system.exchange_all_gossip()
        if self.crashed is not None:
            self.system.declare_dead(self.crashed)
        self.system.run_rounds(20)
        for deferral in self.system.deferrals.values():
            if deferral.accepted and deferral.id not in self.exempt:
                self._check_outcome(deferral)

    def _check_outcome(self, deferral):
        for name in NAMES:
            if self._running(name):
                state = self.system.look_up(name, deferral)
                assert state not in ("absent", *OPEN), (name, state, deferral)
                assert deferral.fetched_outcome in (None, state), (
                    name,
                    state,
                    deferral,
                )


TestDeferredRequests = DeferredRequests.TestCase
TestDeferredRequests.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
