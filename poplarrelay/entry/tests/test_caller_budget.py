"""Tests of the budget of a process for its callers, without a network."""

import asyncio
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from poplarrelay.entry.caller_budget import (
    CALLERS,
    CONNECTION_BYTES,
    REQUEST_BYTES,
    CallerBudget,
    Capacity,
    Limit,
    Reaction,
    Standing,
)
from poplarrelay.entry.settings import ResourceSettings

KB, MB = 1_000, 1_000_000
SMALL = Capacity(
    held_bytes=1 * MB,
    pinned_bytes=0.75 * MB,
    connections={CALLERS: 20, "readiness": 16},
    endpoint_connections=20,
)
#: Largest body that the limits on callers allow.
MAX_BODY_BYTES = 200 * KB


class Caller:
    """Connection of a caller, which notes that it must close."""

    def __init__(self, budget, listener=CALLERS):
        self.closed_for = None
        self.account = budget.open(listener, self.give_way)

    def give_way(self, limit):
        self.closed_for = limit

    def serve(self, served=True, body_bytes=0):
        limit = self.account.admit(body_bytes)
        self.account.finish(served and limit is None, 0)
        return limit


def open_callers(budget, number, listener=CALLERS):
    callers = []
    for _ in range(number):
        assert budget.make_place(listener)
        callers.append(Caller(budget, listener))
    return callers


class TestCapacity:
    @given(
        memory_mb=st.floats(64, 100_000),
        descriptors=st.integers(64, 1_000_000),
    )
    def test_shares_are_within_the_resources(self, memory_mb, descriptors):
        capacity = Capacity.of(memory_mb * MB, descriptors)
        connections = sum(capacity.connections.values())
        used = connections + capacity.connections["tunnels"]
        used += capacity.endpoint_connections
        assert used <= descriptors
        assert min(capacity.connections.values()) >= 2
        bytes_used = capacity.held_bytes + connections * CONNECTION_BYTES
        assert bytes_used <= 0.8 * (memory_mb - min(64, 0.4 * memory_mb)) * MB

    def test_smallest_host_of_the_operators_serves_hundreds_of_callers(self):
        capacity = Capacity.of(160 * MB, 1638)
        assert capacity.connections[CALLERS] >= 500
        assert capacity.pinned_bytes >= 500 * REQUEST_BYTES

    def test_host_without_stated_resources_serves_a_thousand_callers(self):
        capacity = Capacity.from_config(ResourceSettings())
        assert capacity.pinned_bytes >= 1000 * REQUEST_BYTES

    def test_settings_are_bounded_by_what_the_system_allows(self, monkeypatch):
        module = "poplarrelay.entry.caller_budget"
        monkeypatch.setattr(f"{module}.detect_descriptors", lambda: 1024)
        stated = Capacity.from_config(ResourceSettings(memory_mb=300, descriptors=4100))
        assert stated == Capacity.of(300 * MB, 1024)
        assert Capacity.from_config(ResourceSettings()) == Capacity.of(256 * MB, 1024)


class TestConnections:
    def test_silent_connections_give_way_to_new_ones_in_their_order(self):
        budget = CallerBudget(SMALL)
        first, *others = open_callers(budget, 20)
        open_callers(budget, 1)
        assert first.closed_for is Limit.CONNECTIONS
        assert [caller.closed_for for caller in others] == [None] * 19
        assert budget.reactions[Limit.CONNECTIONS, CALLERS, Reaction.CLOSED] == 1

    def test_crowd_of_silent_connections_never_takes_the_places_of_served_ones(self):
        budget = CallerBudget(SMALL)
        served = open_callers(budget, 10)
        for caller in served:
            caller.serve()
        open_callers(budget, 500)
        assert all(caller.closed_for is None for caller in served)

    def test_refused_connections_leave_places_to_new_ones(self):
        # Guards against a crowd that keeps all places by one refused request each.
        budget = CallerBudget(SMALL)
        refused = open_callers(budget, 20)
        for caller in refused:
            caller.serve(served=False)
        new = open_callers(budget, 5)
        assert all(caller.closed_for is None for caller in new)
        assert sum(caller.closed_for is not None for caller in refused) == 5

    def test_new_connection_stays_while_as_many_come_as_half_of_the_places(self):
        budget = CallerBudget(SMALL)
        for caller in open_callers(budget, 20):
            caller.serve()
        (new,) = open_callers(budget, 1)
        open_callers(budget, 9)
        assert new.closed_for is None

    def test_request_in_progress_keeps_its_connection(self):
        budget = CallerBudget(SMALL)
        busy = open_callers(budget, 20)
        admitted = [caller.account.admit(0) for caller in busy]
        assert admitted.count(None) == 11
        assert not budget.make_place(CALLERS)
        assert all(caller.closed_for is None for caller in busy)

    def test_listeners_do_not_take_places_of_each_other(self):
        budget = CallerBudget(SMALL)
        checks = open_callers(budget, 16, "readiness")
        open_callers(budget, 100)
        assert all(caller.closed_for is None for caller in checks)

    def test_lowered_limits_close_connections_that_are_open(self):
        budget = CallerBudget(SMALL)
        callers = open_callers(budget, 20)
        for caller in callers[:4]:
            caller.serve()
        callers[4].account.admit(0)
        budget.resize(Capacity(1 * MB, 1 * MB, {CALLERS: 8}, 20))
        assert budget.connections(CALLERS) == 8
        assert all(caller.closed_for is None for caller in callers[:5])

    def test_exhausted_descriptors_close_a_few(self):
        budget = CallerBudget(SMALL)
        callers = open_callers(budget, 20)
        budget.close_some(CALLERS)
        closed = [c for c in callers if c.closed_for is Limit.DESCRIPTORS]
        assert closed == callers[:8]


class TestMemory:
    def test_oldest_unfinished_request_gives_way_first(self):
        budget = CallerBudget(SMALL)
        callers = open_callers(budget, 6)
        for caller in callers[:5]:
            assert caller.account.hold(180 * KB)
        assert callers[5].account.hold(180 * KB)
        assert callers[0].closed_for is Limit.MEMORY
        assert [caller.closed_for for caller in callers[1:]] == [None] * 5

    def test_rejected_request_keeps_its_connection_until_it_gives_way_again(self):
        budget = CallerBudget(SMALL)
        caller = Caller(budget)
        for other in open_callers(budget, 6):
            caller.account.hold(100 * KB)
            other.account.hold(180 * KB)
        assert caller.closed_for is Limit.MEMORY
        assert caller.account.is_open
        assert not caller.account.hold(1)

    def test_upload_of_a_served_caller_is_never_hit_by_a_crowd_of_uploads(self):
        budget = CallerBudget(SMALL)
        caller = Caller(budget)
        caller.serve()
        assert caller.account.hold(MAX_BODY_BYTES)
        for other in open_callers(budget, 19):
            other.account.hold(MAX_BODY_BYTES)
        assert caller.closed_for is None

    def test_request_beyond_the_pinned_bytes_is_refused(self):
        budget = CallerBudget(SMALL)
        callers = open_callers(budget, 4)
        assert callers[0].account.admit(MAX_BODY_BYTES) is None
        assert callers[1].account.admit(MAX_BODY_BYTES) is Limit.MEMORY
        assert callers[2].account.admit(0) is None
        assert budget.pinned_bytes == 2 * REQUEST_BYTES + 2 * MAX_BODY_BYTES

    def test_answer_not_taken_gives_way_only_after_its_deadline(self):
        budget = CallerBudget(SMALL)
        reader, uploader = open_callers(budget, 2)
        reader.account.admit(0)
        reader.account.finish(True, 950 * KB)
        uploader.account.hold(100 * KB)
        assert reader.closed_for is None
        assert uploader.closed_for is Limit.MEMORY
        reader.account.expire()
        (uploader,) = open_callers(budget, 1)
        assert uploader.account.hold(100 * KB)
        assert reader.closed_for is Limit.MEMORY

    def test_taken_answer_ends_the_last_time(self):
        budget = CallerBudget(SMALL)
        (caller,) = open_callers(budget, 1)
        caller.serve()
        caller.account.expire()
        caller.account.settle()
        assert caller.account.hold(10 * KB)
        assert caller.account.standing is Standing.SERVED

    def test_closed_connections_free_what_they_hold(self):
        budget = CallerBudget(SMALL)
        for size, caller in enumerate(open_callers(budget, 20)):
            caller.account.hold(size * KB)
            if size % 2:
                caller.account.admit(size * KB)
            caller.account.close()
            caller.account.close()
        assert budget.held_bytes == budget.pinned_bytes == 0
        assert budget.connections(CALLERS) == 0


class TestAnswers:
    def test_answers_wait_for_each_other_and_all_end(self):
        # Guards against answers that have been read in part and wait for each other.
        async def read(budget, caller, parts, ended):
            caller.account.admit(0)
            for _ in range(parts):
                await budget.reserve_answer(caller.account, 100 * KB)
                await asyncio.sleep(0)
            ended.append(caller)
            caller.account.finish(True, 0)

        async def scenario():
            budget, most = CallerBudget(SMALL), 0
            ended: list[Caller] = []
            callers = open_callers(budget, 8)
            tasks = [
                asyncio.create_task(read(budget, caller, 30, ended))
                for caller in callers
            ]
            while not all(task.done() for task in tasks):
                most = max(most, budget.held_bytes)
                await asyncio.sleep(0)
            assert len(ended) == 8
            assert most <= SMALL.held_bytes + 30 * 100 * KB
            assert budget.held_bytes == 0

        asyncio.run(asyncio.wait_for(scenario(), 20))

    def test_answers_that_nobody_takes_add_up_to_one_beyond_the_limit(self):
        async def scenario():
            budget = CallerBudget(SMALL)
            first, second = open_callers(budget, 2)
            for caller in (first, second):
                caller.account.admit(0)
            await budget.reserve_answer(first.account, 2 * MB)
            first.account.finish(True, 2 * MB)
            waits = asyncio.create_task(budget.reserve_answer(second.account, 1 * MB))
            await asyncio.sleep(0.01)
            assert not waits.done()
            first.account.expire()
            await asyncio.wait_for(waits, 1.0)
            assert first.closed_for is Limit.MEMORY

        asyncio.run(scenario())

    def test_cancelled_wait_leaves_nothing(self):
        async def scenario():
            budget = CallerBudget(SMALL)
            first, second, third = open_callers(budget, 3)
            for caller in (first, second, third):
                caller.account.admit(0)
            await budget.reserve_answer(first.account, 2 * MB)
            waits = [
                asyncio.create_task(budget.reserve_answer(c.account, 100 * KB))
                for c in (second, third)
            ]
            await asyncio.sleep(0)
            waits[0].cancel()
            second.account.close()
            first.account.close()
            await asyncio.wait_for(waits[1], 1.0)
            third.account.close()
            assert budget.held_bytes == 0

        asyncio.run(scenario())


class BudgetMachine(RuleBasedStateMachine):
    """Callers that arrive, send, read and leave in any order."""

    def __init__(self):
        super().__init__()
        self.budget = CallerBudget(SMALL)
        self.callers = []
        self.numbers = count()

    def pick(self, index, state, told=False):
        """Return a caller; one that was told to close sends nothing more."""
        found = [
            caller
            for caller in self.callers
            if caller.account.is_open
            and state(caller.account)
            and (told or caller.closed_for is None)
        ]
        return found[index % len(found)] if found else None

    @rule(number=st.integers(1, 30))
    def arrive(self, number):
        for _ in range(number):
            if self.budget.make_place(CALLERS):
                self.callers.append(Caller(self.budget))

    @rule(index=st.integers(0, 99), size=st.integers(0, MAX_BODY_BYTES))
    def send(self, index, size):
        caller = self.pick(index, lambda a: not a.busy and not a.pinned)
        if caller is not None:
            caller.account.hold(size)

    @rule(index=st.integers(0, 99), size=st.integers(0, MAX_BODY_BYTES))
    def complete(self, index, size):
        caller = self.pick(index, lambda a: not a.busy and not a.pinned)
        if caller is not None:
            caller.account.admit(size)

    @rule(
        index=st.integers(0, 99), served=st.booleans(), unsent=st.integers(0, 50 * KB)
    )
    def answer(self, index, served, unsent):
        caller = self.pick(index, lambda a: a.busy)
        if caller is not None:
            caller.account.finish(served, unsent)

    @rule(index=st.integers(0, 99))
    def take(self, index):
        caller = self.pick(index, lambda a: a.pinned and not a.busy)
        if caller is not None:
            caller.account.settle()

    @rule(index=st.integers(0, 99))
    def expire(self, index):
        caller = self.pick(index, lambda a: a.pinned and not a.busy)
        if caller is not None:
            caller.account.expire()

    @rule(index=st.integers(0, 99))
    def leave(self, index):
        caller = self.pick(index, lambda a: True, told=True)
        if caller is not None:
            caller.account.close()

    @rule(connections=st.integers(5, 20), held_kb=st.integers(200, 1000))
    def change_limits(self, connections, held_kb):
        self.budget.resize(
            Capacity(held_kb * KB, 0.75 * held_kb * KB, {CALLERS: connections}, 20)
        )

    @precondition(lambda self: not self.budget.held_bytes)
    @rule(size=st.integers(0, 25 * KB))
    def serve_a_caller_in_calm(self, size):
        if not self.budget.make_place(CALLERS):
            return
        caller = Caller(self.budget)
        assert caller.account.hold(size)
        if not any(c.account.busy for c in self.callers):
            assert caller.serve(body_bytes=size) is None
        caller.account.close()

    @invariant()
    def sums_are_right(self):
        accounts = [c.account for c in self.callers if c.account.is_open]
        assert self.budget.connections(CALLERS) == len(accounts)
        assert self.budget.held_bytes == sum(a.held + a.pinned for a in accounts)
        assert self.budget.pinned_bytes == sum(a.pinned for a in accounts)

    @invariant()
    def limits_hold_unless_only_pinned_bytes_are_left(self):
        capacity, budget = self.budget.capacity, self.budget
        small = 4096 * budget.connections(CALLERS)
        most = max(capacity.held_bytes, budget.pinned_bytes + small)
        assert budget.held_bytes <= most

    @invariant()
    def busy_callers_are_never_closed(self):
        assert not any(c.closed_for and c.account.busy for c in self.callers)


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True
)


@pytest.mark.parametrize("served", [True, False])
def test_standing_never_falls(served):
    budget = CallerBudget()
    (caller,) = open_callers(budget, 1)
    caller.serve()
    caller.serve(served)
    assert caller.account.standing is Standing.SERVED
