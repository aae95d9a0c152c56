"""One test for each safeguard of the at-most-once rule.

`bench.safeguards` removes each safeguard in turn and shows which of these fails.
"""

from dataclasses import replace

import pytest

from poplarrelay.exception import MalformedKey
from poplarrelay.messages.effects import (
    AppendRecord,
    ForwardRequest,
    QueryAllPeers,
    QueryKey,
    RunAttempt,
    SendHandover,
)
from poplarrelay.outcomes import Answered, NotRun, Unknown, UnknownReason
from poplarrelay.testing.fakes import FakeSystem


@pytest.fixture
def system():
    return make_system()


def make_system():
    made = FakeSystem()
    for name in made.nodes:
        made.read_log(name)
    made.tick_all()
    return made


def _kinds(system):
    return [type(action.effect) for action in system.actions]


def _win_claim(system):
    """Let the claim of the first node's request be ordered and read back."""
    system.tick_all()
    system.perform_all(AppendRecord)
    system.read_log("n1")
    system.tick("n1")


def test_two_nodes_race_for_one_key(system):
    # The caller sends the same booking to two nodes at once. Both claim it before
    # either has read the other's claim; the first in the log wins on both, and the
    # other node gets the answer from the winner.
    first, second = system.submit("n1", "seat"), system.submit("n2", "seat")
    system.tick_all()
    system.perform_all(AppendRecord)
    system.settle()
    assert system.runs["seat"] == 1
    assert not system.violations
    assert first.outcomes == second.outcomes
    assert isinstance(first.outcomes[0], Answered)


def test_late_claim_of_a_second_node_does_not_replace_the_first(system):
    # The winner has run the booking already when the second claim, sent before the
    # first was read, reaches the log.
    system.submit("n1", "seat")
    system.submit("n2", "seat")
    system.tick_all()
    late = next(a for a in system.actions if a.node.name == "n2")
    system.actions.remove(late)
    system.perform_all(AppendRecord)
    system.read_log("n1")
    system.tick("n1")
    system.perform_all(RunAttempt)
    system.actions.append(late)
    system.perform(late)
    system.settle()
    assert system.runs["seat"] == 1
    assert not system.violations


def test_lost_append_answer_is_sent_again_and_wins_once(system):
    # The claim is in the log, its answer is lost, and it is appended again under the
    # same record id. The repetition replaces nothing.
    submission = system.submit("n1", "seat")
    system.tick_all()
    system.perform_all(AppendRecord, lost=True)
    system.settle()
    assert system.runs["seat"] == 1
    assert len(submission.outcomes) == 1


def test_restarted_process_does_not_run_its_predecessors_claim(system):
    # The node claims, runs and crashes before it answers. The caller asks the
    # process that took its place: it cannot know what ran, and says so.
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    system.crash("n1")
    system.start("n1")
    system.introduce_all()
    system.read_log("n1")
    system.tick("n1")
    again = system.submit("n1", "seat")
    system.settle()
    assert system.runs["seat"] == 1
    assert isinstance(again.outcomes[0], Unknown)


def test_frozen_holder_makes_the_key_unknown(system):
    # The holder is frozen after it has won its claim. Another node asks it, gets no
    # answer, and neither runs the booking nor says that it was not run.
    system.submit("n1", "seat")
    _win_claim(system)
    system.freeze("n1")
    again = system.submit("n2", "seat")
    system.settle()
    assert isinstance(again.outcomes[0], Unknown)
    system.thaw("n1")
    system.settle()
    assert system.runs["seat"] <= 1
    assert not system.violations


def test_thawed_node_does_not_run_what_its_caller_gave_up(system):
    # The node is frozen between its decision and the first byte, for longer than
    # the deadline. Thawed, it must not send.
    submission = system.submit("n1", system.ticket("n1", "a"), timeout_s=2.0)
    system.tick_all()
    assert _kinds(system) == [RunAttempt]
    system.freeze("n1")
    system.now += 5.0
    system.thaw("n1")
    system.settle()
    assert system.runs[submission.key] == 0


def test_request_read_after_a_freeze_came_before_it(system):
    # The caller sends a booking to a frozen node, gives it up, and is told "not run"
    # by another one. Thawed, the first node finds the request in its socket buffer.
    # Its caller may hold the same seat under a new key by then.
    system.freeze("n2")
    system.submit("n2", "seat", timeout_s=30.0)
    system.now += 1.0
    system.submit("n1", "seat", timeout_s=2.0)
    system.tick("n1")
    system.perform_all(AppendRecord)
    system.read_log("n1")
    for _ in range(6):
        for action in list(system.actions):
            if isinstance(action.effect, RunAttempt):
                system.refuse_attempt(action)
        system.tick("n1")
        system.now += 0.5
    assert system.forbidden.get("seat")
    system.thaw("n2")
    system.settle()
    assert system.runs["seat"] == 0
    assert not system.violations


def test_release_binds_requests_that_came_before_it(system):
    # Two nodes hold the same booking. The one that has the claim gives it up before
    # it ran and tells its caller "not run". The other one, which waits for it, came
    # earlier and must end as well: its caller may hold the same seat under a new key.
    system.submit("n1", "seat", timeout_s=4.0)
    system.submit("n2", "seat", timeout_s=30.0)
    system.tick_all()
    system.perform_all(AppendRecord)
    for name in ("n1", "n2"):
        system.read_log(name)
    system.tick_all()
    for _ in range(6):
        for action in list(system.actions):
            if isinstance(action.effect, RunAttempt):
                system.refuse_attempt(action)
        system.tick("n1")
        system.now += 1.0
    system.tick_all()
    assert system.forbidden.get("seat")
    system.settle()
    assert system.runs["seat"] == 0
    assert not system.violations


def test_log_outage_asks_the_peers_before_it_says_not_run(system):
    # One node has run the booking; the other one has not read the claim and cannot,
    # because the log is away. It must not say "not run".
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    system.tick("n1")
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    again = system.submit("n2", "seat")
    system.settle()
    assert isinstance(again.outcomes[0], Unknown)
    assert not system.violations


def test_log_outage_ends_a_new_key_as_not_run_at_once(system):
    # Nobody has seen the key and all peers say so, so the caller is told "not run"
    # and when to come back, without waiting for its deadline.
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    submission = system.submit("n2", "seat")
    system.tick_all()
    system.perform_all(QueryAllPeers)
    system.tick_all()
    assert isinstance(submission.outcomes[0], NotRun)
    assert submission.outcomes[0].retry_after_s is not None


def test_log_outage_with_a_peer_that_does_not_answer_is_unknown(system):
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    system.freeze("n3")
    submission = system.submit("n2", "seat")
    system.settle()
    assert isinstance(submission.outcomes[0], Unknown)


def test_restarted_peer_does_not_vouch_for_its_predecessor(system):
    # A node claims and runs a booking, crashes, and starts again while the log is
    # away. Asked by another node, the new process knows nothing of the key; that
    # must not count as "nobody has run it".
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    system.log.up = False
    system.crash("n1")
    system.start("n1")
    system.introduce_all()
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    again = system.submit("n2", "seat")
    system.settle()
    assert isinstance(again.outcomes[0], Unknown)
    assert not system.violations


def test_claim_that_comes_into_force_late_is_not_used(system):
    # The log is slow: the caller has been told how its request ended before the
    # claim can be read. The claim then comes into force, and nothing may run.
    submission = system.submit("n1", "seat", timeout_s=1.0)
    system.tick_all()
    system.perform_all(AppendRecord)
    system.now += 3.0
    system.tick("n1")
    assert submission.outcomes
    system.settle()
    assert system.runs["seat"] == 0
    assert not system.violations


def test_key_that_was_given_up_can_be_presented_again(system):
    # The first request ended before its claim could be read. The caller comes back
    # with the same key, as it was told to, and now the booking runs.
    system.submit("n1", "seat", timeout_s=1.0)
    system.tick_all()
    system.now += 3.0
    system.tick_all()
    system.perform_all(QueryAllPeers)
    system.tick_all()
    again = system.submit("n1", "seat")
    system.settle()
    assert isinstance(again.outcomes[0], Answered)
    assert system.runs["seat"] == 1
    assert not system.violations


def test_deadline_while_claiming_is_unknown(system):
    # Another node has run the key; this one is still waiting to read its claim when
    # the deadline passes.
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    late = system.submit("n2", "seat", timeout_s=0.5)
    system.tick("n2")
    system.now += 1.0
    system.tick("n2")
    assert isinstance(late.outcomes[0], Unknown)
    assert not system.violations


def test_broken_attempt_is_not_sent_again(system):
    # The desk runs the booking and its answer is lost.
    submission = system.submit("n1", system.ticket("n1", "a"))
    system.tick_all()
    system.perform_all(RunAttempt, lost=True)
    system.settle()
    assert system.runs[submission.key] == 1
    assert isinstance(submission.outcomes[0], Unknown)


def test_refused_attempt_is_sent_again(system):
    # No byte reached the desk, so another attempt does no harm.
    submission = system.submit("n1", system.ticket("n1", "a"))
    system.tick_all()
    system.refuse_attempt(system.actions[0])
    system.settle()
    assert system.runs[submission.key] == 1
    assert isinstance(submission.outcomes[0], Answered)


def test_attempt_that_outlives_its_deadline_is_unknown(system):
    # The attempt has been sent and nothing comes back. It may have run.
    submission = system.submit("n1", system.ticket("n1", "a"), timeout_s=2.0)
    system.tick_all()
    system.actions.clear()
    system.now += 10.0
    system.tick_all()
    assert isinstance(submission.outcomes[0], Unknown)


def test_ticket_at_another_node_is_sent_to_its_home(system):
    ticket = system.ticket("n1", "a")
    one, other = system.submit("n2", ticket), system.submit("n3", ticket)
    system.tick_all()
    assert _kinds(system) == [ForwardRequest, ForwardRequest]
    system.settle()
    assert system.runs[ticket] == 1
    assert isinstance(one.outcomes[0], Answered)
    assert isinstance(other.outcomes[0], Answered)


def test_ticket_runs_in_a_log_outage(system):
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    submission = system.submit("n1", system.ticket("n1", "a"))
    system.settle()
    assert isinstance(submission.outcomes[0], Answered)


def test_restarted_home_does_not_run_an_old_ticket(system):
    ticket = system.ticket("n1", "a")
    system.submit("n1", ticket)
    system.tick_all()
    system.perform_all(RunAttempt)
    system.crash("n1")
    system.start("n1")
    system.introduce_all()
    again = system.submit("n1", ticket)
    system.settle()
    assert system.runs[ticket] == 1
    assert isinstance(again.outcomes[0], Unknown)


def test_expired_ticket_is_unknown_and_never_run(system):
    # What ran under the ticket may have been forgotten.
    ticket = system.ticket("n1", "a")
    system.submit("n1", ticket)
    system.settle()
    system.now += 3600.0
    for _ in range(3):
        system.now += 10.0
        system.tick_all()
    again = system.submit("n1", ticket)
    system.tick_all()
    assert again.outcomes == [Unknown(UnknownReason.KEY_EXPIRED)]
    assert system.runs[ticket] == 1


def test_ticket_of_a_later_epoch_is_refused(system):
    home = system.nodes["n1"].world
    ticket = f"t1.n1.{home.incarnation}.99.a"
    submission = system.submit("n1", ticket)
    system.tick_all()
    assert submission.outcomes == []
    assert not system.actions
    assert MalformedKey.status == 400


def _leave(system):
    system.leave("n1", 4.0)
    for _ in range(7):
        system.tick_all()
        system.now += 0.3


def test_handover_gives_up_tickets_before_it_is_sent(system):
    # The node has handed its tickets over, and the acknowledgement is lost. It must
    # not run a ticket any more, because its successor may.
    ticket = system.ticket("n1", "a")
    system.submit("n1", system.ticket("n1", "first"))
    system.settle(2)
    _leave(system)
    assert SendHandover in _kinds(system)
    system.perform_all(SendHandover, lost=True)
    successor = system.nodes["n1"].world.handover.successor
    home = system.nodes[successor].world
    assert system.nodes["n1"].world.incarnation in home.inherited_incarnations
    system.submit("n1", ticket)
    system.tick_all()
    system.submit(successor, ticket)
    system.settle()
    assert system.runs[ticket] <= 1
    assert not system.violations


def test_lost_acknowledgement_is_resent_to_the_same_successor(system):
    system.submit("n1", system.ticket("n1", "first"))
    system.settle(2)
    _leave(system)
    successor = system.nodes["n1"].world.handover.successor
    system.perform_all(SendHandover, lost=True)
    system.now += 0.5
    system.tick("n1")
    system.perform_all(SendHandover)
    system.tick("n1")
    assert system.nodes["n1"].world.me.successor == successor
    adopters = [
        node.name
        for node in system.nodes.values()
        if system.nodes["n1"].world.incarnation in node.world.inherited_incarnations
    ]
    assert adopters == [successor]


def test_successor_answers_for_what_ran_before_the_handover(system):
    ticket = system.ticket("n1", "first")
    first = system.submit("n1", ticket)
    system.settle(2)
    _leave(system)
    system.perform_all(SendHandover)
    system.tick("n1")
    system.introduce_all()
    for node in system.nodes.values():
        if node.name != "n1":
            system.gossip(node, system.nodes["n1"])
    again = system.submit("n2", ticket)
    system.settle()
    assert system.runs[ticket] == 1
    assert again.outcomes == first.outcomes


def test_forward_that_arrives_late_is_not_run(system):
    # A ticket was sent on to its home and got stuck on the way. Meanwhile the caller
    # asked the home itself and was told "not run". The late one must not run.
    ticket = system.ticket("n1", "a")
    system.submit("n2", ticket, timeout_s=30.0)
    system.tick("n2")
    forward = system.actions[0]
    system.submit("n1", ticket, timeout_s=2.0)
    system.now += 1.0
    system.tick("n1")
    for _ in range(8):
        for action in list(system.actions):
            if isinstance(action.effect, RunAttempt):
                system.refuse_attempt(action)
        system.tick("n1")
        system.now += 0.5
    assert system.forbidden.get(ticket)
    system.perform(forward)
    system.settle()
    assert system.runs[ticket] == 0
    assert not system.violations


def test_node_that_is_not_ready_does_not_say_not_run_for_a_key(system):
    system.submit("n1", "seat")
    system.settle()
    system.nodes["n2"].world.me.ready = False
    system.nodes["n2"].world.streams["configuration"].caught_up = False
    again = system.submit("n2", "seat")
    system.tick("n2")
    assert isinstance(again.outcomes[0], Unknown)


def test_log_clock_set_forward_does_not_forget_claims(system):
    # The log's clock is set far forward when a claim of before is read. The node must
    # remember the claim all the same, or the key could run again.
    system.submit("n1", "seat")
    system.settle()
    system.crash("n1")
    world = system.nodes["n2"].world
    position = world.streams["claims"]
    position.next = 0
    world.claims.clear()
    read = system.log.read("claims", 0)
    system.nodes["n2"].inbox.append(replace(read, log_time=9e9))
    system.tick("n2")
    system.now += 6.0
    system.tick("n2")
    again = system.submit("n2", "seat")
    system.settle()
    assert system.runs["seat"] == 1
    assert isinstance(again.outcomes[0], Unknown)


def test_successor_answers_for_a_claim_of_a_node_that_left(system):
    # A plain key was released before its home left. Presented at the successor, it
    # is claimed anew and runs.
    system.submit("n1", "seat", timeout_s=3.0)
    _win_claim(system)
    for _ in range(8):
        for action in list(system.actions):
            if isinstance(action.effect, RunAttempt):
                system.refuse_attempt(action)
        system.tick("n1")
        system.now += 0.5
    _leave(system)
    system.perform_all(SendHandover)
    system.tick("n1")
    successor = system.nodes["n1"].world.handover.successor
    for name in ("n2", "n3"):
        system.gossip(system.nodes[name], system.nodes["n1"])
    again = system.submit(successor, "seat")
    system.settle()
    assert system.runs["seat"] == 1
    assert isinstance(again.outcomes[0], Answered)


def test_full_memory_refuses_new_keys_and_forgets_none(system):
    # No more answers can be kept. A new ticket is refused, and a repetition of an
    # old one still gets its answer.
    ticket = system.ticket("n1", "old")
    first = system.submit("n1", ticket)
    system.settle()
    world = system.nodes["n1"].world
    world.kept_answers = world.settings.limits.answers_kept
    new = system.submit("n1", system.ticket("n1", "new"))
    again = system.submit("n1", ticket)
    system.tick("n1")
    assert isinstance(new.outcomes[0], NotRun)
    assert again.outcomes == first.outcomes
    world.kept_answers = 0


def test_repetition_while_it_runs_joins(system):
    ticket = system.ticket("n1", "a")
    first = system.submit("n1", ticket)
    system.tick_all()
    again = system.submit("n1", ticket)
    system.tick_all()
    assert _kinds(system) == [RunAttempt]
    system.settle()
    assert first.outcomes == again.outcomes


def test_question_about_a_running_key_waits_for_its_answer(system):
    # The second node learns of the first one's claim and asks it until it has ended.
    first = system.submit("n1", "seat")
    system.tick_all()
    system.perform_all(AppendRecord)
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    again = system.submit("n2", "seat")
    system.tick("n2")
    system.perform_all(QueryKey)
    system.tick("n2")
    assert again.outcomes == []
    system.settle()
    assert again.outcomes == first.outcomes
