"""Background tasks that fail while a node serves callers."""

import asyncio
from itertools import pairwise

import pytest

from poplarrelay.entry.supervision import TaskSupervisor
from poplarrelay.testing.entry_site import (
    CALLS,
    poll_until,
    run_entry_site,
    run_scenario,
)

#: Objects of a node whose method a test replaces, by the name of the task or step.
FAILING = {
    "configuration": ("_follower", "_read"),
    "endpoints": ("_reader", "_read"),
    "directory": ("_directory", "_refresh"),
    "rollout progress": ("_rollout_follower", "_read"),
    "duty lease": ("_duties", "_is_candidate"),
    "usage": ("_duties", "_prepare_ledger"),
    "orders": ("_duties._endpoint_scaler", "run_round"),
    "rollouts": ("_duties._rollouts", "run_round"),
    "stream archive": ("_archive", "append_forever"),
    "peer state": ("_peer_sync", "peer_to_ask"),
    "settings": ("", "_watch_settings"),
    "gossip": ("", "_run_gossip"),
    "list exchange": ("_exchange", "tick"),
    "endpoint expiry": ("_endpoints", "expire"),
    "paths": ("_paths", "tick"),
    "resumption": ("_resumption", "tick"),
    "archive": ("_archive", "tick"),
    "status": ("", "_log_status"),
    "dispatch": ("", "_dispatch_queued"),
    "tick": ("_freeze_detector", "check"),
}


class Failing(Exception):
    """Failure of a task, which only tests raise."""


def fail(*args, **kwargs):
    raise Failing


@pytest.mark.parametrize("task", FAILING)
def test_failing_task_neither_ends_the_node_nor_its_requests(task, monkeypatch):
    # Guards against the loss of all requests in progress when one task fails.
    async def scenario():
        async with run_entry_site(nodes=1) as site:
            await site.add_runner("r", CALLS, pause_s=0.8)
            await site.ready("a", endpoints=1)
            node = site.nodes["a"]
            if task == "rollout progress":
                site.order_rollout(CALLS, "2", 30.0)
                await poll_until(lambda: node.state.rollouts.has_open)
            asked = asyncio.create_task(site.call("/book/x"))
            await poll_until(lambda: site.runners["r"].active)
            path, method = FAILING[task]
            target = node
            for part in filter(None, path.split(".")):
                target = getattr(target, part)
            # Classes, since instances with slots take no attributes.
            monkeypatch.setattr(type(target), method, fail)
            node._follower.resync()
            assert (await asked).status == 200
            await asyncio.sleep(0.3)
            monkeypatch.undo()
            assert (await site.call("/look/x")).status == 200
            assert not site._tasks["a"].done()

    run_scenario(scenario)


def test_failed_task_starts_again_after_growing_pauses():
    async def scenario():
        starts = []

        async def run():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 4:
                raise Failing
            await asyncio.Event().wait()

        supervisor = TaskSupervisor(lambda: False)
        supervisor.start("test", run)
        await poll_until(lambda: len(starts) == 4)
        gaps = [later - former for former, later in pairwise(starts)]
        assert gaps == pytest.approx([0.1, 0.2, 0.4], abs=0.08)
        assert supervisor.failures == {"test": 3}
        await supervisor.cancel()

    asyncio.run(scenario())


def test_task_that_returns_starts_again_unless_the_node_stops():
    async def scenario():
        stopping = False
        starts: list[None] = []

        async def run():
            starts.append(None)

        supervisor = TaskSupervisor(lambda: stopping)
        supervisor.start("test", run)
        await poll_until(lambda: len(starts) > 1)
        stopping = True
        (task,) = supervisor._tasks
        await asyncio.wait_for(task, 5.0)

    asyncio.run(scenario())
