"""Order of waiting requests: shares of teams, urgency and the patient share."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.scheduling.choosing import SelectionCriteria
from poplarrelay.entry.scheduling.fair_queue import PATIENT_SHARE, FairQueue, Waiting
from poplarrelay.entry.scheduling.request_queue import RequestQueue
from poplarrelay.identifiers import DomainId, RequestId, TeamId


def make_waiting(number, team, priority=1, cost=1.0, weight=1.0, expires_at=9.0):
    name = RequestId(f"r{number}")
    return Waiting(name, "h", TeamId(team), priority, cost, weight, expires_at)


def make_queue(*groups):
    """Return a queue with (count, team, options) groups that joined in order."""
    queue, number = FairQueue(), 0
    for count, team, options in groups:
        for _ in range(count):
            number += 1
            queue.join(make_waiting(number, team, **options))
    return queue


def served_teams(queue, count):
    return Counter(queue.pop().team for _ in range(count))


def test_flood_of_one_team_does_not_delay_the_others():
    queue = make_queue((500, "flood", {}), (5, "b", {}), (5, "c", {}))
    assert served_teams(queue, 15) == {"flood": 5, "b": 5, "c": 5}
    assert served_teams(queue, 100) == {"flood": 100}


def test_shares_follow_the_weights():
    queue = make_queue((300, "a", {"weight": 3.0}), (300, "b", {"weight": 1.0}))
    assert served_teams(queue, 100)["a"] == pytest.approx(75, abs=1)


def test_shares_follow_the_cost():
    queue = make_queue((300, "long", {"cost": 4.0}), (300, "short", {"cost": 1.0}))
    assert served_teams(queue, 100)["long"] == pytest.approx(20, abs=1)


def test_urgent_requests_go_first_and_patient_ones_are_not_starved():
    # Guards against requests of low priority that wait forever beside urgent ones.
    queue = make_queue((500, "a", {"priority": 5}), (500, "a", {"priority": 0}))
    patient = sum(queue.pop().priority == 5 for _ in range(220))
    assert patient == pytest.approx(220 * PATIENT_SHARE / (1 + PATIENT_SHARE), abs=1)


def test_request_that_left_costs_its_team_nothing():
    # Guards against teams that lose their share through callers that gave up.
    queue = make_queue((200, "a", {}), (100, "b", {}))
    for number in range(1, 101):
        queue.leave(RequestId(f"r{number}"))
    assert served_teams(queue, 100) == {"a": 50, "b": 50}


def test_requests_after_those_that_left_are_not_delayed():
    # Guards against teams that pay for the place of callers that gave up.
    queue = make_queue((100, "a", {}))
    for number in range(1, 100):
        queue.leave(RequestId(f"r{number}"))
    for number in range(101, 301):
        queue.join(make_waiting(number, "a" if number % 2 else "b"))
    assert served_teams(queue, 100)["a"] == pytest.approx(50, abs=1)


def test_expired_requests_are_returned_once():
    queue = make_queue((3, "a", {"expires_at": 1.0}), (2, "b", {"expires_at": 3.0}))
    assert len(queue.pop_expired(2.0)) == 3
    assert queue.pop_expired(2.0) == []
    assert served_teams(queue, 2) == {"b": 2}
    assert queue.pop() is None


actions = st.lists(
    st.tuples(
        st.sampled_from(["join", "pop", "leave"]),
        st.sampled_from("abc"),
        st.integers(0, 2),
        st.floats(0.1, 50.0),
    ),
    max_size=60,
)


@given(actions)
def test_each_request_is_served_once_and_none_is_lost(actions):
    queue, joined, ended = FairQueue(), [], []
    for number, (action, team, priority, cost) in enumerate(actions):
        if action == "join":
            queue.join(make_waiting(number, team, priority, cost))
            joined.append(f"r{number}")
        elif action == "leave" and joined:
            left = queue.leave(RequestId(joined[number % len(joined)]))
            ended += [] if left is None else [left.request]
        elif action == "pop":
            popped = queue.pop()
            ended += [] if popped is None else [popped.request]
    while (popped := queue.pop()) is not None:
        ended.append(popped.request)
    assert sorted(ended) == sorted(joined)


def test_flood_at_one_node_does_not_fill_its_queue():
    # Guards against teams that wait behind a flood while no coordinator replies.
    async def scenario():
        queue, service = RequestQueue(), ServiceName("desk")
        loop = asyncio.get_running_loop()
        criteria = SelectionCriteria(None, 0, 0, (), DomainId("d"))
        for team, count in (("flood", 50), ("b", 3)):
            for _ in range(count):
                queue.join(
                    service, 1, criteria, loop.create_future(), team=TeamId(team)
                )
        order = [queued.start for queued in queue.pending(service)[:6]]
        assert order == [0.0, 0.0, 1.0, 1.0, 2.0, 2.0]

    asyncio.run(scenario())
