"""Results of deferred requests that callers have got survive the owner's crash."""

import pytest

from poplarrelay.identifiers import NodeId
from poplarrelay.messages.effects import (
    QueryCopies,
    RunAttempt,
    SendHandover,
    StoreCopy,
)
from poplarrelay.systems.request_copies import MAX_TRIES
from poplarrelay.systems.request_copies import RETRY_S as COPY_RETRY_S
from poplarrelay.tables.members import MemberStatus
from poplarrelay.testing.fakes import FakeSystem


@pytest.fixture
def system():
    return FakeSystem()


def _perform(system, kind, lost=False):
    """Perform all pending actions of a kind, and tick all nodes."""
    system.perform_all(kind, lost)
    system.tick_all()


def _held_by(system, deferral):
    return {
        name
        for name, node in system.nodes.items()
        if deferral.id in node.world.held_copies
    }


def _finish_with_copied_outcome(system):
    """Defer a request at n1, run it, and copy its outcome to a peer."""
    deferral = system.defer("n1")
    system.tick_all()
    for kind in (StoreCopy, RunAttempt, StoreCopy):
        _perform(system, kind)
    return deferral


def _finish_with_stale_copy(system, deferral):
    """Run a request with two copies: the reply of the first holder is lost."""
    system.tick_all()
    _perform(system, StoreCopy, lost=True)
    (stale,) = _held_by(system, deferral)
    _perform(system, StoreCopy)
    _perform(system, RunAttempt)
    (holder,) = _held_by(system, deferral) - {stale}
    return stale, holder


def test_request_is_accepted_when_a_peer_has_a_copy(system):
    # Guards against an accepted request that is lost when its owner crashes.
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, RunAttempt)
    assert not deferral.accepted
    _perform(system, StoreCopy)
    assert deferral.accepted
    assert deferral.copied
    # That copy was sent before the request ended and does not contain the outcome.
    assert system.look_up("n1", deferral) == "running"


def test_outcome_is_published_when_a_peer_has_it(system):
    # Guards against an outcome that a caller has fetched and that a crash then loses.
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    _perform(system, RunAttempt)
    assert system.look_up("n1", deferral) == "running"
    _perform(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"
    system.crash("n1")
    system.declare_dead("n1")
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "answered"
    system.run_rounds(10)
    assert deferral.runs == 1


def test_outcome_is_returned_by_all_nodes_if_its_confirmation_is_lost(system):
    # Guards against "running" from the owner after the holder has returned the outcome.
    deferral = system.defer("n1", repeatable=False)
    system.tick_all()
    _perform(system, StoreCopy)
    _perform(system, RunAttempt)
    system.perform_all(StoreCopy, lost=True)
    (holder,) = _held_by(system, deferral)
    assert system.look_up(holder, deferral) == "answered"
    for name in system.nodes:
        assert system.look_up(name, deferral) == "answered"


def test_outcome_is_published_if_no_peer_stores_a_copy():
    # Guards against an outcome that stays unpublished while many peers are tried.
    system = FakeSystem(("n1", "n2", "n3", "n4", "n5", "n6"))
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    for name in system.nodes.keys() - {"n1"}:
        system.crash(name)
    _perform(system, RunAttempt)
    for _ in range(MAX_TRIES):
        _perform(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"


def test_single_node_publishes_outcomes_at_once():
    # Guards against a wait for peers when there are none.
    system = FakeSystem(("n1",))
    deferral = system.defer("n1")
    system.tick_all()
    assert deferral.accepted
    _perform(system, RunAttempt)
    assert system.look_up("n1", deferral) == "answered"


def test_failed_peers_are_not_sent_a_copy_again_at_once(system):
    # Guards against a second attempt at the peer that has just failed to reply.
    deferral = system.defer("n1")
    peers = []
    for _ in range(2):
        system.tick_all()
        peers += [
            a.effect.peer for a in system.actions if isinstance(a.effect, StoreCopy)
        ]
        _perform(system, StoreCopy, lost=True)
    assert len(set(peers)) == 2
    assert deferral.accepted
    assert not deferral.copied
    system.now += COPY_RETRY_S
    system.tick_all()
    _perform(system, StoreCopy)
    assert system.nodes["n1"].world.sent_copies[deferral.id].holder is not None


def test_leaving_node_still_sends_copies(system):
    # Guards against a caller that never gets its acceptance from a leaving node.
    system.leave("n1", 30.0)
    system.tick_all()
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    assert deferral.accepted


@pytest.mark.parametrize("repeatable", [True, False])
def test_stale_copy_is_not_taken_over(system, repeatable):
    # Guards against a takeover from a stale copy after the owner's crash. The work
    # would run twice, or a fetched outcome would change.
    deferral = system.defer("n1", repeatable)
    stale, holder = _finish_with_stale_copy(system, deferral)
    _perform(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"
    system.crash("n1")
    for name in (stale, holder):
        assert system.look_up(name, deferral) == "answered"
    system.declare_dead("n1")
    system.run_rounds(10)
    for name in (stale, holder):
        assert system.look_up(name, deferral) == "answered"
    assert deferral.runs == 1


def test_search_continues_after_a_stale_copy():
    # Guards against "running" from a stale copy while the next peer has the outcome.
    system = FakeSystem(("n1", "n2", "n3", "n4"))
    deferral = system.defer("n1")
    stale, holder = _finish_with_stale_copy(system, deferral)
    _perform(system, StoreCopy)
    (other,) = set(system.nodes) - {"n1", stale, holder}
    system.crash("n1")
    assert system.look_up(other, deferral) == "answered"
    system.freeze(holder)
    assert system.look_up(other, deferral) == "not_known"


def test_search_is_incomplete_while_peers_are_declared_dead():
    # Guards against a final "no such request" while its holder may just be paused.
    system = FakeSystem(("n1", "n2", "n3", "n4"))
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    (holder,) = _held_by(system, deferral)
    system.freeze(holder)
    for name in ("n1", holder):
        system.declare_dead(name)
    system.crash("n1")
    for name in set(system.nodes) - {"n1", holder}:
        system.nodes[name].world.members.pop(NodeId("n1"))
        assert system.look_up(name, deferral) == "not_known"


def test_restarted_node_without_members_returns_not_known(system):
    # Guards against a final "no such request" from a node that has no member rows yet.
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    system.crash("n3")
    system.start("n3")
    assert system.look_up("n3", deferral) == "not_known"


def test_newest_copy_is_taken_over_once(system):
    # Guards against two holders that both run a request after its owner's crash.
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy, lost=True)
    _perform(system, StoreCopy)
    assert len(_held_by(system, deferral)) == 2
    system.crash("n1")
    system.declare_dead("n1")
    system.run_rounds(10)
    assert deferral.runs == 1
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "answered"


def test_holder_waits_for_a_peer_that_may_have_the_outcome(system):
    # Guards against a takeover while a paused peer has the outcome.
    deferral = system.defer("n1")
    stale, holder = _finish_with_stale_copy(system, deferral)
    _perform(system, StoreCopy)
    system.crash("n1")
    system.freeze(holder)
    system.nodes[stale].world.members[NodeId("n1")].status = MemberStatus.DEAD
    system.run_rounds(4)
    assert deferral.runs == 1
    assert system.look_up(stale, deferral) == "not_known"
    system.thaw(holder)
    system.run_rounds(10)
    assert deferral.runs == 1
    assert system.look_up(stale, deferral) == "answered"


def test_old_copy_does_not_replace_a_newer_one(system):
    # Guards against a delayed copy that arrives after the copy with the outcome.
    deferral = system.defer("n1")
    system.tick_all()
    (late,) = [a for a in system.actions if isinstance(a.effect, StoreCopy)]
    _perform(system, StoreCopy)
    _perform(system, RunAttempt)
    _perform(system, StoreCopy)
    (holder,) = _held_by(system, deferral)
    system.actions.append(late)
    _perform(system, StoreCopy)
    held = system.nodes[holder].world.held_copies[deferral.id]
    assert held.request.outcome is not None


@pytest.mark.parametrize("known", [True, False])
def test_copy_is_held_before_gossip_about_its_sender_arrives(system, known):
    # Guards against a takeover before the gossip about a restarted owner arrives.
    system.crash("n1")
    system.now += 2.0
    system.start("n1")
    for name in ("n2", "n3"):
        system.gossip(system.nodes["n1"], system.nodes[name])
        if not known:
            system.nodes[name].world.members.pop(NodeId("n1"))
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    for _ in range(3):
        system.tick_all()
        _perform(system, QueryCopies)
    assert len(_held_by(system, deferral)) == 1
    assert system.look_up("n1", deferral) == "running"


def test_owner_that_was_declared_dead_adopts_the_outcome(system):
    # Guards against two owners that return different outcomes: the resumed owner, and
    # the peer that took the request over.
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    system.freeze("n1")
    system.declare_dead("n1")
    system.run_rounds(10)
    assert system.look_up("n2", deferral) == "answered"
    system.thaw("n1")
    system.exchange_all_gossip()
    system.tick_all()
    _perform(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"
    system.run_rounds(10)
    for name in system.nodes:
        assert system.look_up(name, deferral) == "answered"


def test_outcome_of_work_that_a_leaving_node_ends_is_handed_over(system):
    # Guards against a request that stays "running" forever after its owner has left.
    deferral = system.defer("n1", repeatable=False)
    system.tick_all()
    _perform(system, StoreCopy)
    system.leave("n1", 5.0)
    system.tick_all()
    system.now += 4.0
    system.tick_all()
    _perform(system, SendHandover)
    system.exchange_all_gossip()
    system.tick_all()
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "unknown"


@pytest.mark.parametrize("first", [0, 1])
def test_two_owners_do_not_transfer_a_request_to_each_other(system, first):
    # Guards against a request that no node runs. A holder took it over and was declared
    # dead, another peer took it over too, and both send each other a copy.
    deferral = system.defer("n1")
    system.tick_all()
    _perform(system, StoreCopy)
    (holder,) = _held_by(system, deferral)
    system.crash("n1")
    system.declare_dead("n1")
    for kind in (QueryCopies, StoreCopy):
        system.tick_all()
        _perform(system, kind)
    system.freeze(holder)
    system.declare_dead(holder)
    system.tick_all()
    system.thaw(holder)
    system.exchange_all_gossip()
    system.now += COPY_RETRY_S
    system.tick_all()
    sent = [a for a in system.actions if isinstance(a.effect, StoreCopy)]
    assert len({action.node.name for action in sent}) == 2
    system.perform(sent[first])
    system.perform(sent[1 - first])
    system.tick_all()
    owners = [n for n in system.nodes.values() if deferral.id in n.world.requests]
    assert len([node for node in owners if node.answers]) == 1
    system.run_rounds(10)
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "answered"


def test_lookup_returns_not_known_while_a_holder_is_suspect(system):
    # Guards against a final "no such request" while a suspect peer has the outcome.
    deferral = _finish_with_copied_outcome(system)
    (holder,) = _held_by(system, deferral)
    (other,) = set(system.nodes) - {"n1", holder}
    system.crash("n1")
    system.freeze(holder)
    members = system.nodes[other].world.members
    members.pop(NodeId("n1"))
    members[holder].status = MemberStatus.SUSPECT
    assert system.look_up(other, deferral) == "not_known"


def test_request_is_found_while_it_is_handed_over(system):
    # Guards against a final "no such request" during the handover to the successor.
    deferral = _finish_with_copied_outcome(system)
    for name in ("n2", "n3"):
        system.nodes[name].world.held_copies.clear()
    system.leave("n1", 5.0)
    system.tick_all()
    system.now += 4.0
    system.tick_all()
    assert system.nodes["n1"].world.handover is not None
    for name in system.nodes:
        assert system.look_up(name, deferral) == "answered"
