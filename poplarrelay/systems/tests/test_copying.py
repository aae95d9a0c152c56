"""What callers are told of deferred requests survives the crash of their home."""

import pytest

from poplarrelay.identifiers import NodeId
from poplarrelay.messages.effects import (
    QueryCopies,
    RunAttempt,
    SendHandover,
    StoreCopy,
)
from poplarrelay.systems.request_copies import MAX_TRIES
from poplarrelay.systems.request_copies import RETRY_S as ALONE_RETRY_S
from poplarrelay.tables.members import MemberStatus
from poplarrelay.testing.fakes import FakeSystem


@pytest.fixture
def system():
    return FakeSystem()


def _pass_on(system, kind, lost=False):
    """Carry out what waits of a kind, and let the nodes hear of it."""
    system.perform_all(kind, lost)
    system.tick_all()


def _held_by(system, deferral):
    return {
        name
        for name, node in system.nodes.items()
        if deferral.id in node.world.held_copies
    }


def _answer_with_copy(system):
    """Defer a request at the first node, and have its outcome copied."""
    deferral = system.defer("n1")
    system.tick_all()
    for kind in (StoreCopy, RunAttempt, StoreCopy):
        _pass_on(system, kind)
    return deferral


def _run_twice_copied(system, deferral):
    """Let the first peer asked be too late, so that a second one holds the copy too."""
    system.tick_all()
    _pass_on(system, StoreCopy, lost=True)
    (stale,) = _held_by(system, deferral)
    _pass_on(system, StoreCopy)
    _pass_on(system, RunAttempt)
    (holder,) = _held_by(system, deferral) - {stale}
    return stale, holder


def test_request_is_accepted_once_a_peer_has_a_copy(system):
    # Guards against an accepted request that nobody has after its home's crash.
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, RunAttempt)
    assert not deferral.accepted
    _pass_on(system, StoreCopy)
    assert deferral.accepted
    assert deferral.copied
    # That copy was sent before the request ended.
    assert system.look_up("n1", deferral) == "running"


def test_outcome_is_told_once_a_peer_has_it(system):
    # Guards against an answer that a caller has fetched and a crash takes back.
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    _pass_on(system, RunAttempt)
    assert system.look_up("n1", deferral) == "running"
    _pass_on(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"
    system.crash("n1")
    system.declare_dead("n1")
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "answered"
    system.settle(10)
    assert deferral.runs == 1


def test_outcome_is_told_when_its_confirmation_is_lost(system):
    # Guards against "running" from the home after the holder has told the outcome.
    deferral = system.defer("n1", repeatable=False)
    system.tick_all()
    _pass_on(system, StoreCopy)
    _pass_on(system, RunAttempt)
    system.perform_all(StoreCopy, lost=True)
    (holder,) = _held_by(system, deferral)
    assert system.look_up(holder, deferral) == "answered"
    for name in system.nodes:
        assert system.look_up(name, deferral) == "answered"


def test_outcome_is_told_where_no_peer_takes_it():
    # Guards against a ready answer that is held back while peer after peer is asked.
    system = FakeSystem(("n1", "n2", "n3", "n4", "n5", "n6"))
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    for name in system.nodes.keys() - {"n1"}:
        system.crash(name)
    _pass_on(system, RunAttempt)
    for _ in range(MAX_TRIES):
        _pass_on(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"


def test_single_node_answers_at_once():
    # Guards against a wait for peers where there are none.
    system = FakeSystem(("n1",))
    deferral = system.defer("n1")
    system.tick_all()
    assert deferral.accepted
    _pass_on(system, RunAttempt)
    assert system.look_up("n1", deferral) == "answered"


def test_peers_that_failed_are_not_asked_again_at_once(system):
    # Guards against a second try at the very peer that has just not answered.
    deferral = system.defer("n1")
    asked = []
    for _ in range(2):
        system.tick_all()
        asked += [
            a.effect.peer for a in system.actions if isinstance(a.effect, StoreCopy)
        ]
        _pass_on(system, StoreCopy, lost=True)
    assert len(set(asked)) == 2
    assert deferral.accepted
    assert not deferral.copied
    system.now += ALONE_RETRY_S
    system.tick_all()
    _pass_on(system, StoreCopy)
    assert system.nodes["n1"].world.sent_copies[deferral.id].holder is not None


def test_leaving_node_still_has_requests_copied(system):
    # Guards against a caller that waits for ever at a node that is leaving.
    system.leave("n1", 30.0)
    system.tick_all()
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    assert deferral.accepted


@pytest.mark.parametrize("repeatable", [True, False])
def test_stale_copy_is_not_taken_over(system, repeatable):
    # Guards against a second run, and a withdrawn answer, from a peer's old copy.
    deferral = system.defer("n1", repeatable)
    stale, holder = _run_twice_copied(system, deferral)
    _pass_on(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"
    system.crash("n1")
    for name in (stale, holder):
        assert system.look_up(name, deferral) == "answered"
    system.declare_dead("n1")
    system.settle(10)
    for name in (stale, holder):
        assert system.look_up(name, deferral) == "answered"
    assert deferral.runs == 1


def test_search_goes_on_after_a_stale_copy():
    # Guards against "running" from an old copy while the next peer has the answer.
    system = FakeSystem(("n1", "n2", "n3", "n4"))
    deferral = system.defer("n1")
    stale, holder = _run_twice_copied(system, deferral)
    _pass_on(system, StoreCopy)
    (other,) = set(system.nodes) - {"n1", stale, holder}
    system.crash("n1")
    assert system.look_up(other, deferral) == "answered"
    system.freeze(holder)
    assert system.look_up(other, deferral) == "not_known"


def test_search_is_not_complete_without_peers_that_are_dead():
    # Guards against a final "no such request" while its holder may only be frozen.
    system = FakeSystem(("n1", "n2", "n3", "n4"))
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    (holder,) = _held_by(system, deferral)
    system.freeze(holder)
    for name in ("n1", holder):
        system.declare_dead(name)
    system.crash("n1")
    for name in set(system.nodes) - {"n1", holder}:
        system.nodes[name].world.members.pop(NodeId("n1"))
        assert system.look_up(name, deferral) == "not_known"


def test_restarted_node_without_peers_does_not_know(system):
    # Guards against a final "no such request" from a node that knows nobody yet.
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    system.crash("n3")
    system.start("n3")
    assert system.look_up("n3", deferral) == "not_known"


def test_newest_copy_is_taken_over_once(system):
    # Guards against two peers that both run a request after its home's crash.
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy, lost=True)
    _pass_on(system, StoreCopy)
    assert len(_held_by(system, deferral)) == 2
    system.crash("n1")
    system.declare_dead("n1")
    system.settle(10)
    assert deferral.runs == 1
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "answered"


def test_holder_waits_for_a_peer_that_may_know_more(system):
    # Guards against a takeover while a frozen peer has the answer.
    deferral = system.defer("n1")
    stale, holder = _run_twice_copied(system, deferral)
    _pass_on(system, StoreCopy)
    system.crash("n1")
    system.freeze(holder)
    system.nodes[stale].world.members[NodeId("n1")].status = MemberStatus.DEAD
    system.settle(4)
    assert deferral.runs == 1
    assert system.look_up(stale, deferral) == "not_known"
    system.thaw(holder)
    system.settle(10)
    assert deferral.runs == 1
    assert system.look_up(stale, deferral) == "answered"


def test_old_copy_does_not_replace_a_newer_one(system):
    # Guards against a copy that was stuck in a socket and arrives after the answer's.
    deferral = system.defer("n1")
    system.tick_all()
    (late,) = [a for a in system.actions if isinstance(a.effect, StoreCopy)]
    _pass_on(system, StoreCopy)
    _pass_on(system, RunAttempt)
    _pass_on(system, StoreCopy)
    (holder,) = _held_by(system, deferral)
    system.actions.append(late)
    _pass_on(system, StoreCopy)
    held = system.nodes[holder].world.held_copies[deferral.id]
    assert held.request.outcome is not None


@pytest.mark.parametrize("known", [True, False])
def test_copy_of_a_process_that_is_not_known_yet_is_kept(system, known):
    # Guards against a takeover before the news of a restarted home has come.
    system.crash("n1")
    system.now += 2.0
    system.start("n1")
    for name in ("n2", "n3"):
        system.gossip(system.nodes["n1"], system.nodes[name])
        if not known:
            system.nodes[name].world.members.pop(NodeId("n1"))
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    for _ in range(3):
        system.tick_all()
        _pass_on(system, QueryCopies)
    assert len(_held_by(system, deferral)) == 1
    assert system.look_up("n1", deferral) == "running"


def test_home_that_was_taken_for_dead_follows_its_successor(system):
    # Guards against two homes that tell a caller different things.
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    system.freeze("n1")
    system.declare_dead("n1")
    system.settle(10)
    assert system.look_up("n2", deferral) == "answered"
    system.thaw("n1")
    system.introduce_all()
    system.tick_all()
    _pass_on(system, StoreCopy)
    assert system.look_up("n1", deferral) == "answered"
    system.settle(10)
    for name in system.nodes:
        assert system.look_up(name, deferral) == "answered"


def test_outcome_of_work_that_a_leaving_node_gives_up_is_handed_over(system):
    # Guards against a request that looks as if it ran for ever after its home has left.
    deferral = system.defer("n1", repeatable=False)
    system.tick_all()
    _pass_on(system, StoreCopy)
    system.leave("n1", 5.0)
    system.tick_all()
    system.now += 4.0
    system.tick_all()
    _pass_on(system, SendHandover)
    system.introduce_all()
    system.tick_all()
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "unknown"


@pytest.mark.parametrize("first", [0, 1])
def test_two_homes_do_not_leave_a_request_to_each_other(system, first):
    # Guards against a request that nobody runs after a holder was taken for dead.
    deferral = system.defer("n1")
    system.tick_all()
    _pass_on(system, StoreCopy)
    (holder,) = _held_by(system, deferral)
    system.crash("n1")
    system.declare_dead("n1")
    for kind in (QueryCopies, StoreCopy):
        system.tick_all()
        _pass_on(system, kind)
    system.freeze(holder)
    system.declare_dead(holder)
    system.tick_all()
    system.thaw(holder)
    system.introduce_all()
    system.now += ALONE_RETRY_S
    system.tick_all()
    sent = [a for a in system.actions if isinstance(a.effect, StoreCopy)]
    assert len({action.node.name for action in sent}) == 2
    system.perform(sent[first])
    system.perform(sent[1 - first])
    system.tick_all()
    homes = [n for n in system.nodes.values() if deferral.id in n.world.requests]
    assert len([node for node in homes if node.answers]) == 1
    system.settle(10)
    for name in ("n2", "n3"):
        assert system.look_up(name, deferral) == "answered"


def test_unknown_while_a_holder_is_suspected(system):
    # Guards against a final "no such request" while a suspected peer has the answer.
    deferral = _answer_with_copy(system)
    (holder,) = _held_by(system, deferral)
    (other,) = set(system.nodes) - {"n1", holder}
    system.crash("n1")
    system.freeze(holder)
    members = system.nodes[other].world.members
    members.pop(NodeId("n1"))
    members[holder].status = MemberStatus.SUSPECT
    assert system.look_up(other, deferral) == "not_known"


def test_request_is_found_while_it_is_handed_over(system):
    # Guards against a final "no such request" between two homes.
    deferral = _answer_with_copy(system)
    for name in ("n2", "n3"):
        system.nodes[name].world.held_copies.clear()
    system.leave("n1", 5.0)
    system.tick_all()
    system.now += 4.0
    system.tick_all()
    assert system.nodes["n1"].world.handover is not None
    for name in system.nodes:
        assert system.look_up(name, deferral) == "answered"
