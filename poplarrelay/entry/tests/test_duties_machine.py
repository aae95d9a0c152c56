"""State machine test of duty leases: renewals, actions, pauses and rebalances."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from poplarrelay.entry.duty_lease import DutyLease

NODES = ("a", "b", "c")
TTL_S, WAIT_S = 2.2, 3.0


class Group:
    """The store's group: its members, the holder of the duty and a generation."""

    def __init__(self):
        self.generation = 0
        self.holder = None
        self.renewed_at = {}

    def join(self, node, now):
        for member in [m for m, at in self.renewed_at.items() if now - at > TTL_S]:
            del self.renewed_at[member]
            self.generation += 1
            if self.holder == member:
                self.holder = None
        if node not in self.renewed_at:
            self.generation += 1
        self.renewed_at[node] = now
        if self.holder is None:
            self.holder = node
        return self.holder == node, self.generation

    def rebalance(self):
        self.generation += 1
        if self.renewed_at:
            self.holder = sorted(self.renewed_at)[
                self.generation % len(self.renewed_at)
            ]


class DutyMachine(RuleBasedStateMachine):
    """Nodes renew, act, pause and restart; the platform checks their fencing tokens.

    Time passes between steps. Two nodes never use the same token. A node never acts
    after the store has given its lease to another node for missing renewals. Within
    the platform's bound, a node never acts before and after another node.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.group = Group()
        self.leases = {node: DutyLease(TTL_S, WAIT_S) for node in NODES}
        self.rebalanced = dict.fromkeys(NODES, False)
        self.answers = []
        self.accepted = []
        self.highest_token = -1

    def _lease(self):
        return DutyLease(TTL_S, WAIT_S, last_action_at=self.now)

    @rule(seconds=st.floats(0.01, 1.5))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(node=st.sampled_from(NODES))
    def renew(self, node):
        holds, generation = self.group.join(node, self.now)
        self.leases[node].renew(holds, generation, self.now)
        self.rebalanced[node] = False

    @rule(node=st.sampled_from(NODES), seconds=st.floats(0.01, 0.5))
    def renew_and_act(self, node, seconds):
        self.now += seconds
        self.renew(node)
        self.act(node)

    @rule(nodes=st.permutations(NODES), seconds=st.floats(0.01, 0.9))
    def move_duty_and_back(self, nodes, seconds):
        """Move the duty from one node to another and back."""
        first, second, _ = nodes
        for node in (first, second, first):
            self.renew(node)
            for _ in range(len(NODES)):
                if self.group.holder != node:
                    self.rebalance()
            self.renew_and_act(node, seconds)

    @rule(node=st.sampled_from(NODES), seconds=st.floats(2.21, 3.0))
    def fail_to_renew(self, node, seconds):
        """Let only the other nodes renew after the lease of a node has expired."""
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
        self.group.rebalance()
        self.rebalanced = dict.fromkeys(NODES, True)

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
        # A node stops using its lease before the lease expires at the store. Only
        # after a rebalance can a node act that no longer has the duty.
        assert self.group.holder in (node, None) or self.rebalanced[node]
        lease.record_action(self.now)
        if lease.token < self.highest_token:
            lease.relinquish()
            return
        self.highest_token = lease.token
        self.accepted.append((self.now, node, lease.token))

    @invariant()
    def no_two_nodes_share_a_token(self):
        holders: dict[int, str] = {}
        for _, node, token in self.accepted:
            assert holders.setdefault(token, node) == node

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
