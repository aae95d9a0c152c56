"""One test for each safeguard of the at-most-once rule.

`bench.safeguards` removes each safeguard in turn and shows which of these tests fail.
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
    """Append the claim of the request at n1 to the log, and let n1 read it."""
    system.tick_all()
    system.perform_all(AppendRecord)
    system.read_log("n1")
    system.tick("n1")


def test_key_claimed_by_two_nodes_runs_once(system):
    # The caller sends the same booking to two nodes at the same time. Both claim the
    # key before they read the other claim. The first claim in the log wins on both
    # nodes, and the other node gets the answer from the winner.
    first, second = system.submit("n1", "seat"), system.submit("n2", "seat")
    system.tick_all()
    system.perform_all(AppendRecord)
    system.run_rounds()
    assert system.runs["seat"] == 1
    assert not system.violations
    assert first.outcomes == second.outcomes
    assert isinstance(first.outcomes[0], Answered)


def test_late_claim_of_a_second_node_does_not_replace_the_first(system):
    # The second node sends its claim before it reads the first one. That claim reaches
    # the log after the winner has run the booking.
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
    system.run_rounds()
    assert system.runs["seat"] == 1
    assert not system.violations


def test_claim_appended_twice_wins_once(system):
    # The claim is in the log, but the log's reply is lost. The claim is appended again
    # with the same record id, and the second record must not come into force.
    submission = system.submit("n1", "seat")
    system.tick_all()
    system.perform_all(AppendRecord, lost=True)
    system.run_rounds()
    assert system.runs["seat"] == 1
    assert len(submission.outcomes) == 1


def test_restarted_process_does_not_run_its_predecessors_claim(system):
    # The node claims the key, runs it and crashes before it answers. The caller sends
    # the key to the restarted process, which cannot tell whether the booking ran.
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    system.crash("n1")
    system.start("n1")
    system.exchange_all_gossip()
    system.read_log("n1")
    system.tick("n1")
    again = system.submit("n1", "seat")
    system.run_rounds()
    assert system.runs["seat"] == 1
    assert isinstance(again.outcomes[0], Unknown)


def test_key_of_a_frozen_holder_is_unknown(system):
    # The holder is paused after its claim has won. Another node gets no reply from it,
    # and must neither run the booking nor return "not run".
    system.submit("n1", "seat")
    _win_claim(system)
    system.freeze("n1")
    again = system.submit("n2", "seat")
    system.run_rounds()
    assert isinstance(again.outcomes[0], Unknown)
    system.thaw("n1")
    system.run_rounds()
    assert system.runs["seat"] <= 1
    assert not system.violations


def test_thawed_node_does_not_run_a_request_past_its_deadline(system):
    # The node is paused after it has decided to send the attempt, until after the
    # deadline. When it resumes, it must not send the attempt.
    submission = system.submit("n1", system.ticket("n1", "a"), timeout_s=2.0)
    system.tick_all()
    assert _kinds(system) == [RunAttempt]
    system.freeze("n1")
    system.now += 5.0
    system.thaw("n1")
    system.run_rounds()
    assert system.runs[submission.key] == 0


def test_request_read_after_a_freeze_counts_from_its_arrival(system):
    # The caller sends a booking to a paused node, stops waiting, and gets "not run"
    # from another node. The paused node resumes and reads the request from its socket
    # buffer. The caller may already have the same seat under a new key.
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
    system.run_rounds()
    assert system.runs["seat"] == 0
    assert not system.violations


def test_release_ends_requests_that_arrived_before_it(system):
    # Two nodes have the same booking. The node with the claim releases it before the
    # booking ran and returns "not run". The request at the other node arrived before
    # that, so it must end too: the caller may already have the seat under a new key.
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
    system.run_rounds()
    assert system.runs["seat"] == 0
    assert not system.violations


def test_log_outage_does_not_end_a_run_key_as_not_run(system):
    # One node has run the booking. The other node has not read the claim and cannot
    # read it in the outage. It must query the peers and not return "not run".
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    system.tick("n1")
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    again = system.submit("n2", "seat")
    system.run_rounds()
    assert isinstance(again.outcomes[0], Unknown)
    assert not system.violations


def test_log_outage_ends_a_new_key_as_not_run_at_once(system):
    # All peers reply that they do not have the key. The caller gets "not run" with a
    # time to retry after, before its deadline.
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
    # A paused peer does not answer and may have run the key. The caller must not get
    # "not run".
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    system.freeze("n3")
    submission = system.submit("n2", "seat")
    system.run_rounds()
    assert isinstance(submission.outcomes[0], Unknown)


def test_restarted_peer_does_not_make_its_predecessors_key_not_run(system):
    # A node claims and runs a booking, crashes, and restarts while the log is
    # unavailable. The new process has no state of the key. Another node that queries
    # it must not return "not run".
    system.submit("n1", "seat")
    _win_claim(system)
    system.perform_all(RunAttempt)
    system.log.up = False
    system.crash("n1")
    system.start("n1")
    system.exchange_all_gossip()
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    again = system.submit("n2", "seat")
    system.run_rounds()
    assert isinstance(again.outcomes[0], Unknown)
    assert not system.violations


def test_claim_that_wins_after_its_request_has_ended_is_not_used(system):
    # The log is slow: the caller gets the outcome of its request before the claim can
    # be read. The claim then comes into force, but the booking must not run.
    submission = system.submit("n1", "seat", timeout_s=1.0)
    system.tick_all()
    system.perform_all(AppendRecord)
    system.now += 3.0
    system.tick("n1")
    assert submission.outcomes
    system.run_rounds()
    assert system.runs["seat"] == 0
    assert not system.violations


def test_key_whose_request_ended_while_claiming_can_be_used_again(system):
    # The first request ends before its claim can be read. The caller retries with the
    # same key, and the booking runs.
    system.submit("n1", "seat", timeout_s=1.0)
    system.tick_all()
    system.now += 3.0
    system.tick_all()
    system.perform_all(QueryAllPeers)
    system.tick_all()
    again = system.submit("n1", "seat")
    system.run_rounds()
    assert isinstance(again.outcomes[0], Answered)
    assert system.runs["seat"] == 1
    assert not system.violations


def test_deadline_while_claiming_is_unknown(system):
    # Another node has run the key. This node still waits for its own claim when the
    # deadline passes, and must not return "not run".
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
    # The service runs the booking and its answer is lost. A second attempt could run
    # the booking twice.
    submission = system.submit("n1", system.ticket("n1", "a"))
    system.tick_all()
    system.perform_all(RunAttempt, lost=True)
    system.run_rounds()
    assert system.runs[submission.key] == 1
    assert isinstance(submission.outcomes[0], Unknown)


def test_refused_attempt_is_sent_again(system):
    # No byte reached the service, so a second attempt cannot run the booking twice.
    submission = system.submit("n1", system.ticket("n1", "a"))
    system.tick_all()
    system.refuse_attempt(system.actions[0])
    system.run_rounds()
    assert system.runs[submission.key] == 1
    assert isinstance(submission.outcomes[0], Answered)


def test_attempt_without_answer_at_its_deadline_is_unknown(system):
    # The attempt was sent and no answer arrives, so the booking may have run.
    submission = system.submit("n1", system.ticket("n1", "a"), timeout_s=2.0)
    system.tick_all()
    system.actions.clear()
    system.now += 10.0
    system.tick_all()
    assert isinstance(submission.outcomes[0], Unknown)


def test_ticket_at_another_node_is_forwarded_to_its_owner(system):
    # Two nodes receive the same ticket. If either ran it itself, the booking could run
    # twice.
    ticket = system.ticket("n1", "a")
    one, other = system.submit("n2", ticket), system.submit("n3", ticket)
    system.tick_all()
    assert _kinds(system) == [ForwardRequest, ForwardRequest]
    system.run_rounds()
    assert system.runs[ticket] == 1
    assert isinstance(one.outcomes[0], Answered)
    assert isinstance(other.outcomes[0], Answered)


def test_ticket_runs_in_a_log_outage(system):
    # A ticket needs no claim, so its owner must run it without the log.
    system.log.up = False
    for name in system.nodes:
        system.read_log(name)
    system.tick_all()
    submission = system.submit("n1", system.ticket("n1", "a"))
    system.run_rounds()
    assert isinstance(submission.outcomes[0], Answered)


def test_restarted_owner_does_not_run_an_old_ticket(system):
    # The owner crashes after the booking ran. The restarted process has no outcome of
    # the ticket and must not run it again.
    ticket = system.ticket("n1", "a")
    system.submit("n1", ticket)
    system.tick_all()
    system.perform_all(RunAttempt)
    system.crash("n1")
    system.start("n1")
    system.exchange_all_gossip()
    again = system.submit("n1", ticket)
    system.run_rounds()
    assert system.runs[ticket] == 1
    assert isinstance(again.outcomes[0], Unknown)


def test_expired_ticket_is_unknown_and_never_run(system):
    # The owner may have removed the outcome of an expired ticket, so it cannot tell
    # whether the ticket ran.
    ticket = system.ticket("n1", "a")
    system.submit("n1", ticket)
    system.run_rounds()
    system.now += 3600.0
    for _ in range(3):
        system.now += 10.0
        system.tick_all()
    again = system.submit("n1", ticket)
    system.tick_all()
    assert again.outcomes == [Unknown(UnknownReason.KEY_EXPIRED)]
    assert system.runs[ticket] == 1


def test_ticket_of_a_later_epoch_is_refused(system):
    # The owner has not reached the ticket's epoch, so the system did not issue the
    # ticket. The request is rejected as malformed.
    owner_world = system.nodes["n1"].world
    ticket = f"t1.n1.{owner_world.incarnation}.99.a"
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


def test_node_does_not_run_tickets_after_it_has_sent_a_handover(system):
    # The node has handed over its tickets, and the acknowledgement is lost. It must not
    # run a ticket, because its successor can run it.
    ticket = system.ticket("n1", "a")
    system.submit("n1", system.ticket("n1", "first"))
    system.run_rounds(2)
    _leave(system)
    assert SendHandover in _kinds(system)
    system.perform_all(SendHandover, lost=True)
    successor = system.nodes["n1"].world.handover.successor
    owner_world = system.nodes[successor].world
    assert system.nodes["n1"].world.incarnation in owner_world.inherited_incarnations
    system.submit("n1", ticket)
    system.tick_all()
    system.submit(successor, ticket)
    system.run_rounds()
    assert system.runs[ticket] <= 1
    assert not system.violations


def test_unacknowledged_handover_is_resent_to_the_same_successor(system):
    # The acknowledgement of a handover is lost. A second successor would run the same
    # tickets as the first one.
    system.submit("n1", system.ticket("n1", "first"))
    system.run_rounds(2)
    _leave(system)
    successor = system.nodes["n1"].world.handover.successor
    system.perform_all(SendHandover, lost=True)
    system.now += 0.5
    system.tick("n1")
    system.perform_all(SendHandover)
    system.tick("n1")
    assert system.nodes["n1"].world.me.successor == successor
    successors = [
        node.name
        for node in system.nodes.values()
        if system.nodes["n1"].world.incarnation in node.world.inherited_incarnations
    ]
    assert successors == [successor]


def test_successor_returns_outcomes_from_before_the_handover(system):
    # A ticket ran at a node that has left. Without the outcome that was handed over,
    # the successor would run the ticket again.
    ticket = system.ticket("n1", "first")
    first = system.submit("n1", ticket)
    system.run_rounds(2)
    _leave(system)
    system.perform_all(SendHandover)
    system.tick("n1")
    system.exchange_all_gossip()
    for node in system.nodes.values():
        if node.name != "n1":
            system.gossip(node, system.nodes["n1"])
    again = system.submit("n2", ticket)
    system.run_rounds()
    assert system.runs[ticket] == 1
    assert again.outcomes == first.outcomes


def test_forward_that_arrives_late_is_not_run(system):
    # A ticket is forwarded to its owner and delayed on the way. Meanwhile the caller
    # sends it to the owner itself and gets "not run". The forward must not run.
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
    system.run_rounds()
    assert system.runs[ticket] == 0
    assert not system.violations


def test_node_that_is_not_ready_does_not_return_not_run_for_a_key(system):
    # Another node has run the key. A node that has no configuration rejects the request
    # without resolving the key, so it cannot return "not run".
    system.submit("n1", "seat")
    system.run_rounds()
    system.nodes["n2"].world.me.ready = False
    system.nodes["n2"].world.streams["configuration"].caught_up = False
    again = system.submit("n2", "seat")
    system.tick("n2")
    assert isinstance(again.outcomes[0], Unknown)


def test_log_clock_set_forward_does_not_expire_claims(system):
    # The log's clock is set far forward when an older claim is read. If the node
    # expired the claim by that clock, the key could run again.
    system.submit("n1", "seat")
    system.run_rounds()
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
    system.run_rounds()
    assert system.runs["seat"] == 1
    assert isinstance(again.outcomes[0], Unknown)


def test_successor_runs_a_key_released_by_a_node_that_left(system):
    # A node releases a caller key and leaves. The caller sends the key to the
    # successor, which claims it again and runs it.
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
    system.run_rounds()
    assert system.runs["seat"] == 1
    assert isinstance(again.outcomes[0], Answered)


def test_full_answer_store_refuses_new_keys_and_keeps_old_ones(system):
    # The node cannot store more answers. It rejects a new ticket, and still returns the
    # answer of an old ticket to a repetition.
    ticket = system.ticket("n1", "old")
    first = system.submit("n1", ticket)
    system.run_rounds()
    world = system.nodes["n1"].world
    world.stored_answers = world.settings.limits.answers_kept
    new = system.submit("n1", system.ticket("n1", "new"))
    again = system.submit("n1", ticket)
    system.tick("n1")
    assert isinstance(new.outcomes[0], NotRun)
    assert again.outcomes == first.outcomes
    world.stored_answers = 0


def test_repeated_request_joins_the_running_one(system):
    # The caller repeats a request while its attempt is running. A second attempt would
    # run the booking twice.
    ticket = system.ticket("n1", "a")
    first = system.submit("n1", ticket)
    system.tick_all()
    again = system.submit("n1", ticket)
    system.tick_all()
    assert _kinds(system) == [RunAttempt]
    system.run_rounds()
    assert first.outcomes == again.outcomes


def test_request_for_a_key_running_at_another_node_waits_for_its_outcome(system):
    # The second node reads the first node's claim and queries it until the key ends.
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
    system.run_rounds()
    assert again.outcomes == first.outcomes
