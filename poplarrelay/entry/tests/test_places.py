"""Slots at endpoints that state a limit or ask for a pause, without a network."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from time import monotonic
from typing import cast
from unittest.mock import AsyncMock, Mock

import pytest

from poplarrelay.entry.backlog_client import BacklogClient
from poplarrelay.entry.backlogs import BacklogView
from poplarrelay.entry.configuration import (
    CallerLimits,
    Configuration,
    ConfigurationVersion,
    ServiceName,
    Team,
)
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.permits import PermitBroker
from poplarrelay.entry.requests import PromptPart
from poplarrelay.entry.scheduling.choosing import Choice
from poplarrelay.entry.scheduling.sizing import count_serving
from poplarrelay.entry.settings import EntrySettings, SchedulingSettings
from poplarrelay.entry.slots import SlotAllocator
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import DomainId, EndpointId, Incarnation, TeamId
from poplarrelay.testing.request_contexts import make_request_context

SERVICE = "desk"


def make_slot_allocator(
    limits: list[float | None],
) -> tuple[SlotAllocator, PermitBroker, EntryState]:
    """Return the slot allocator of a node whose peer issues all permits."""
    listeners = dict.fromkeys(
        ("callers", "readiness", "discovery", "control"), "127.0.0.1:1"
    )
    settings = EntrySettings.model_validate(
        {
            "node": "a",
            "failure_domain": "north",
            "listeners": {**listeners, "gossip_port": 2},
            "platform": {"store": "127.0.0.1:3"},
        }
    )
    state = EntryState.from_settings(settings, Incarnation("1-1"), Random(1))
    for number, limit in enumerate(limits):
        name = EndpointId(f"e{number}")
        row = Endpoint(
            name, ServiceName(SERVICE), ("127.0.0.1", 1), DomainId("north"), 8
        )
        row.limit_per_s = limit
        state.endpoints.put(row)
    broker = PermitBroker(
        "here",
        state.endpoints.rows,
        lambda: {"b": "elsewhere"},  # type: ignore[dict-item]
        lambda: (1.0, 0.5),
        Mock(),
        monotonic,
    )
    return SlotAllocator(state, Mock(), broker, Mock()), broker, state


def make_fair(state: EntryState) -> None:
    """Configure two teams, and let them share contended services."""
    teams = tuple(
        Team(TeamId(name), frozenset({name}), None, None) for name in ("a", "b")
    )
    state.configuration = Configuration.from_parts(
        ConfigurationVersion(1), (), (), teams, CallerLimits()
    )
    scheduling = SchedulingSettings(fair_shares=True)
    state.settings = state.settings.model_copy(update={"scheduling": scheduling})


async def run_other_tasks(rounds: int = 5) -> None:
    """Let other tasks run without a delay."""
    for _ in range(rounds):
        await asyncio.sleep(0)


def test_call_is_refused_immediately_if_no_permit_is_due_in_time():
    # Guards against calls that wait for endpoints at their limit until they time out.
    async def scenario():
        slot_allocator, _, state = make_slot_allocator([2.0, 2.0])
        for row in state.endpoints.rows.values():
            row.next_permit_at = row.next_permit_request_at = monotonic() + 0.6
        call = asyncio.create_task(
            slot_allocator.acquire_slot(make_request_context(SERVICE))
        )
        await run_other_tasks()
        refusal = call.result()
        assert isinstance(refusal, Refusal)
        assert (refusal.status, refusal.reason) == (503, RefusalReason.LIMITED)
        assert refusal.retry_after_s == pytest.approx(0.5, abs=0.15)

    asyncio.run(scenario())


def test_queued_calls_are_refused_when_permits_are_denied():
    # Guards against calls that stay queued although no permit can arrive in time.
    async def scenario():
        slot_allocator, broker, _ = make_slot_allocator([50.0, 50.0])
        queued = [
            asyncio.create_task(
                slot_allocator.acquire_slot(make_request_context(SERVICE))
            )
            for _ in range(3)
        ]
        await run_other_tasks()
        assert not any(task.done() for task in queued)
        broker.receive("elsewhere", [["permit", "e0", None, 0.9]])
        broker.receive("elsewhere", [["permit", "e1", None, 0.9]])
        await run_other_tasks()
        for task in queued:
            refusal = task.result()
            assert isinstance(refusal, Refusal)
            assert refusal.reason is RefusalReason.LIMITED

    asyncio.run(scenario())


def test_queued_call_gets_a_slot_when_a_permit_arrives():
    # Guards against permits that expire unused while calls wait for them.
    async def scenario():
        slot_allocator, broker, state = make_slot_allocator([2.0])
        queued = asyncio.create_task(
            slot_allocator.acquire_slot(make_request_context(SERVICE))
        )
        await run_other_tasks()
        broker.receive("elsewhere", [["permit", "e0", None, 0.0]])
        await run_other_tasks()
        choice = queued.result()
        assert not isinstance(choice, Refusal)
        assert choice.endpoint.endpoint == "e0"
        assert state.endpoints.rows[EndpointId("e0")].permits == []

    asyncio.run(scenario())


def test_endpoint_without_a_limit_is_used_if_another_is_at_its_limit():
    # Guards against refusals while another endpoint has free slots.
    async def scenario():
        slot_allocator, _, _ = make_slot_allocator([2.0, None])
        for _ in range(8):
            choice = await slot_allocator.acquire_slot(make_request_context(SERVICE))
            assert not isinstance(choice, Refusal)
            assert choice.endpoint.endpoint == "e1"

    asyncio.run(scenario())


def test_queued_calls_are_refused_when_all_endpoints_begin_a_pause():
    # Guards against calls that stay queued although no endpoint takes them in time.
    async def scenario():
        slot_allocator, _, state = make_slot_allocator([None, None])
        rows = list(state.endpoints.rows.values())
        for row in rows:
            row.running = row.slots
        queued = [
            asyncio.create_task(
                slot_allocator.acquire_slot(make_request_context(SERVICE))
            )
            for _ in range(3)
        ]
        await run_other_tasks()
        slot_allocator.note_backoff(rows[0], 3.0)
        await run_other_tasks()
        assert not any(task.done() for task in queued)
        slot_allocator.note_backoff(rows[1], 2.0)
        await run_other_tasks()
        for task in queued:
            refusal = task.result()
            assert isinstance(refusal, Refusal)
            assert (refusal.status, refusal.reason) == (503, RefusalReason.BACKOFF)
            assert refusal.retry_after_s is not None
            assert 1.9 < refusal.retry_after_s < 3.1

    asyncio.run(scenario())


def test_queued_call_gets_a_slot_when_a_short_pause_ends():
    # Guards against calls that time out in the queue beside an idle endpoint.
    async def scenario():
        slot_allocator, _, state = make_slot_allocator([None])
        (row,) = state.endpoints.rows.values()
        slot_allocator.note_backoff(row, 0.05)
        choice = await slot_allocator.acquire_slot(make_request_context(SERVICE))
        assert not isinstance(choice, Refusal)
        assert choice.endpoint is row
        assert not row.in_backoff(monotonic())

    asyncio.run(scenario())


def test_limited_and_pausing_endpoints_together_refuse_at_once():
    # Guards against a wait for a permit of an endpoint in its pause.
    async def scenario():
        slot_allocator, _, state = make_slot_allocator([2.0, None])
        limited, pausing = state.endpoints.rows.values()
        limited.next_permit_at = limited.next_permit_request_at = monotonic() + 0.6
        slot_allocator.note_backoff(pausing, 2.0)
        refusal = await slot_allocator.acquire_slot(make_request_context(SERVICE))
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.LIMITED

    asyncio.run(scenario())


def test_pause_does_not_change_the_number_of_endpoints_that_serve():
    # Guards against orders for a pause, which is shorter than the boot of an endpoint.
    async def scenario():
        slot_allocator, _, state = make_slot_allocator([None])
        (row,) = state.endpoints.rows.values()
        slot_allocator.note_backoff(row, 2.0)
        assert count_serving([row], DomainId("north"), reclaimable=False) == 1

    asyncio.run(scenario())


class SilentCoordinators:
    """Backlog client of a node that gets no reply about some engines."""

    def __init__(self, views: list[BacklogView]) -> None:
        self.views = views

    async def request_backlogs(
        self, endpoints: list[EndpointId], parts: list[str]
    ) -> dict[EndpointId, BacklogView]:
        return {view.endpoint: view for view in self.views}


@pytest.mark.parametrize("silent", range(3))
def test_engine_that_nobody_counts_is_not_taken_for_empty(silent):
    # Guards against all nodes sending to the engines of a coordinator that is down.
    _, broker, state = make_slot_allocator([None] * 3)
    others = [EndpointId(f"e{n}") for n in range(3) if n != silent]
    views = [BacklogView(e, 9_000 * (n + 1), 0.0, 0) for n, e in enumerate(others)]
    client = cast(BacklogClient, SilentCoordinators(views))
    allocator = SlotAllocator(state, client, broker, Mock())

    async def scenario() -> None:
        context = make_request_context(SERVICE)
        prompt = (PromptPart("shared", 10), PromptPart("own", 990))
        context.request = replace(
            context.request, prefix=prompt, prompt_tokens=1_000, max_output_tokens=10
        )
        context.route = replace(context.route, target_s=9.0)
        choice = await allocator.acquire_slot(context)
        assert isinstance(choice, Choice)
        assert choice.endpoint.endpoint == others[0]
        assert choice.counted

    asyncio.run(scenario())


def test_silent_coordinators_lock_no_caller_out():
    # Guards against a node that waits for slots which coordinators grant to the others.
    _, broker, state = make_slot_allocator([None] * 2)
    make_fair(state)
    for row in state.endpoints.rows.values():
        row.running_at_other_nodes = row.slots
    silent = Mock()
    silent.acquire = AsyncMock(return_value=None)
    allocator = SlotAllocator(state, Mock(), broker, silent)

    async def scenario() -> None:
        choices = [
            await asyncio.wait_for(
                allocator.acquire_slot(make_request_context(SERVICE)), 0.05
            )
            for _ in range(2)
        ]
        assert all(isinstance(choice, Choice) for choice in choices)

    asyncio.run(scenario())
