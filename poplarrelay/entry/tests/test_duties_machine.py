"""A state machine over the duties: any order of renewals, acts, freezes and deals."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarrelay.entry.duty_lease import DutyLease

NODES = ("a", "b", "c")
TTL_S, WAIT_S = 2.2, 3.0


class Group:
    """The store's group: one owner of the duty, and a generation."""

    def __init__(self):
        self.generation = 0
        self.owner = None
        self.seen = {}

    def join(self, node, now):
        for member in [m for m, at in self.seen.items() if now - at > TTL_S]:
            del self.seen[member]
            self.generation += 1
            if self.owner == member:
                self.owner = None
        if node not in self.seen:
            self.generation += 1
        self.seen[node] = now
        if self.owner is None:
            self.owner = node
        return self.owner == node, self.generation

    def deal(self):
        self.generation += 1
        if self.seen:
            self.owner = sorted(self.seen)[self.generation % len(self.seen)]


class DutyMachine(RuleBasedStateMachine):
    """Nodes renew, act, freeze and restart; the platform checks their tokens.

    Time passes between steps. What must hold: no two nodes use one token; nobody
    acts on a lease that the store has passed on for want of renewals; and no node
    acts, then another, then the first again, within the platform's bound.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.group = Group()
        self.leases = {node: DutyLease(TTL_S, WAIT_S) for node in NODES}
        self.dealt = dict.fromkeys(NODES, False)
        self.answers = []
        self.accepted = []
        self.fence = -1

    def _lease(self):
        return DutyLease(TTL_S, WAIT_S, last_action_at=self.now)

    @rule(seconds=st.floats(0.01, 1.5))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(node=st.sampled_from(NODES))
    def renew(self, node):
        holds, generation = self.group.join(node, self.now)
        self.leases[node].renew(holds, generation, self.now)
        self.dealt[node] = False

    @rule(node=st.sampled_from(NODES), seconds=st.floats(0.01, 0.5))
    def renew_and_act(self, node, seconds):
        self.now += seconds
        self.renew(node)
        self.act(node)

    @rule(nodes=st.permutations(NODES), seconds=st.floats(0.01, 0.9))
    def go_away_and_come_back(self, nodes, seconds):
        """Let the duty go from one node to another and back."""
        first, second, _ = nodes
        for node in (first, second, first):
            self.renew(node)
            for _ in range(len(NODES)):
                if self.group.owner != node:
                    self.rebalance()
            self.renew_and_act(node, seconds)

    @rule(node=st.sampled_from(NODES), seconds=st.floats(2.21, 3.0))
    def fail_to_renew(self, node, seconds):
        """Let the others renew for longer than the store waits for a node."""
        self.now += seconds
        for other in NODES:
            if other != node:
                self.renew(other)
        self.act(node)

    @rule(node=st.sampled_from(NODES))
    def renew_without_answer(self, node):
        self.group.join(node, self.now)

    @rule()
    def rebalance(self):
        self.group.deal()
        self.dealt = dict.fromkeys(NODES, True)

    @rule(node=st.sampled_from(NODES))
    def freeze(self, node):
        self.leases[node].relinquish()
        self.now += 4.0

    @rule(node=st.sampled_from(NODES))
    def restart(self, node):
        self.leases[node] = self._lease()

    @rule(node=st.sampled_from(NODES))
    def act(self, node):
        lease = self.leases[node]
        if not lease.may_act(self.now):
            return
        # Only a deal that nobody asked for may leave a holder with an old belief;
        # a lease that lapses is given up before the store passes the duty on.
        assert self.group.owner in (node, None) or self.dealt[node]
        lease.record_action(self.now)
        if lease.token < self.fence:
            lease.relinquish()
            return
        self.fence = lease.token
        self.accepted.append((self.now, node, lease.token))

    @invariant()
    def no_two_nodes_share_a_token(self):
        users: dict[int, str] = {}
        for _, node, token in self.accepted:
            assert users.setdefault(token, node) == node

    @invariant()
    def holders_do_not_alternate_within_the_bound(self):
        calls = self.accepted[-12:]
        for first, (start, node, _) in enumerate(calls):
            between = False
            for at, other, _ in calls[first + 1 :]:
                if at - start > WAIT_S:
                    break
                if other != node:
                    between = True
                assert not (between and other == node)


DutyMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)
TestDuties = DutyMachine.TestCase
