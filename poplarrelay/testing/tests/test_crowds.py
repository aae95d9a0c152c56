"""Node processes beside clients that do not behave.

These tests are run one at a time, apart from the others (``make test``).
"""

import asyncio
import contextlib
import resource
import signal
from pathlib import Path

import pytest

from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.crowds import Crowd, start_crowd
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

#: Memory of the host in MB, which the process must not exceed: the smallest of the
#: operators' hosts.
MEMORY_MB = 160
#: Descriptors that the process may open, and how many must always be left to reach the
#: store, the peers and the endpoints.
FEW_DESCRIPTORS, MANY_DESCRIPTORS, SPARE_DESCRIPTORS = 256, 1024, 16
#: Seconds for which a crowd stays, and between two looks at the process.
CROWD_S, LOOK_S = 5.0, 0.05
#: Most bytes that the process may write to its log meanwhile.
MAX_LOG_BYTES = 16_000_000
#: Limits on callers: bodies may be larger than in the example configuration.
LIMITS = {**entry_configuration()["limits"], "maxBodyBytes": 1_000_000}

LISTENERS = ("callers", "readiness", "discovery", "control", "metrics", "tunnels")
AHEAD = [
    (Crowd.FOREIGN_HOST, "callers"),
    (Crowd.NO_KEY, "callers"),
    (Crowd.NO_HOST, "callers"),
    (Crowd.NO_ROUTE, "callers"),
    (Crowd.NO_ROUTE_HEAD, "callers"),
    (Crowd.SERVED_UNREAD, "callers"),
    (Crowd.READY, "readiness"),
    (Crowd.RESOLVE, "discovery"),
    (Crowd.METRICS, "control"),
    (Crowd.STATUS, "control"),
    (Crowd.METRICS, "metrics"),
    (Crowd.LONG_IDS, "callers"),
    (Crowd.LONG_PATHS, "callers"),
    (Crowd.LONG_PATHS, "readiness"),
]
HELD = [
    (Crowd.BYTES_BEHIND_A_STREAM, "callers"),
    (Crowd.UNFINISHED_BODIES, "callers"),
    (Crowd.UNFINISHED_BODIES_WITHOUT_KEY, "callers"),
    (Crowd.UNFINISHED_BODIES_WITHOUT_KEY, "discovery"),
    (Crowd.MANY_FIELDS, "callers"),
    (Crowd.MANY_FIELDS, "control"),
    (Crowd.TINY_CHUNKS, "callers"),
]
MANY = [
    *((Crowd.IDLE, listener) for listener in LISTENERS),
    (Crowd.IDLE_AFTER_A_REFUSAL, "callers"),
    (Crowd.UNFINISHED_HEADS, "callers"),
    (Crowd.EXPECTS_CONTINUE, "callers"),
    (Crowd.HALF_CLOSED, "callers"),
    (Crowd.RESETS, "callers"),
]
#: Connections of each crowd.
AHEAD_CONNECTIONS, HELD_CONNECTIONS, MANY_CONNECTIONS = 40, 250, 400


def case_name(value):
    return value.name.lower() if isinstance(value, Crowd) else value


async def start_node(site, folder, descriptors):
    """Start a node on a host with few resources, and two endpoints."""
    site.configure(2, limits=LIMITS)
    site.resources = {"memory_mb": MEMORY_MB, "descriptors": descriptors}
    site.serves_metrics = True
    await site.add_runner("r1", CALLS)
    await site.add_runner("r2", STREAMS, pause_s=0.05)
    node = await site.start_process("a", folder, stop_grace_s=2)
    limits = (descriptors, descriptors)
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limits)
    await poll_until(lambda: [x for x in node.lines() if x.get("version") == 2])
    return node


def peak_memory_mb(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1000


def open_descriptors(process):
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


async def is_served(site):
    """Return whether one ordinary request is served."""
    with contextlib.suppress(ExchangeFailed, TimeoutError):
        async with asyncio.timeout(2.0):
            return (await site.call("/look/x")).status == 200
    return False


async def call_until(site, done):
    """Send ordinary requests in turn; return how many were served."""
    served = 0
    while not done():
        served += await is_served(site)
        await asyncio.sleep(LOOK_S)
    return served


async def watch(process, done):
    """Return the largest number of descriptors of a process."""
    most = 0
    while not done() and process.returncode is None:
        most = max(most, open_descriptors(process))
        await asyncio.sleep(LOOK_S)
    return most


async def endure(site, node, crowd, listener, connections, descriptors):
    """Run a crowd beside ordinary requests, and check what the node must keep."""
    address = site.address("a", listener)
    async with start_crowd(crowd, address, connections, CROWD_S) as report:
        served, most_descriptors = await asyncio.gather(
            call_until(site, report.done), watch(node.process, report.done)
        )
        done = await report
    assert node.process.returncode is None
    assert done.opened >= 1, done
    assert peak_memory_mb(node.process) < MEMORY_MB, done
    assert most_descriptors <= descriptors - SPARE_DESCRIPTORS, done
    assert served >= 1, done
    assert await is_served_soon(site)
    for name, path in (("readiness", "/api/readyz"), ("control", "/status")):
        assert (await site.get(name, path)).status == 200
    output = node.output.read_bytes()
    assert len(output) < MAX_LOG_BYTES
    assert b"Traceback" not in output


async def is_served_soon(site):
    for _ in range(20):
        if await is_served(site):
            return True
        await asyncio.sleep(0.25)
    return False


@pytest.mark.parametrize(("crowd", "listener"), AHEAD, ids=case_name)
def test_requests_sent_ahead_do_not_fill_the_memory(crowd, listener, tmp_path):
    # Guards against answers and log lines that are kept without a bound.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            node = await start_node(site, tmp_path, MANY_DESCRIPTORS)
            await endure(
                site, node, crowd, listener, AHEAD_CONNECTIONS, MANY_DESCRIPTORS
            )

    run_scenario(scenario)


@pytest.mark.parametrize(("crowd", "listener"), HELD, ids=case_name)
def test_unfinished_requests_do_not_fill_the_memory(crowd, listener, tmp_path):
    # Guards against a sum over connections that nothing bounds.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            node = await start_node(site, tmp_path, MANY_DESCRIPTORS)
            await endure(
                site, node, crowd, listener, HELD_CONNECTIONS, MANY_DESCRIPTORS
            )

    run_scenario(scenario)


@pytest.mark.parametrize(("crowd", "listener"), MANY, ids=case_name)
def test_many_connections_leave_descriptors(crowd, listener, tmp_path):
    # Guards against a node that cannot accept, reach its store or an endpoint.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            node = await start_node(site, tmp_path, FEW_DESCRIPTORS)
            await endure(site, node, crowd, listener, MANY_CONNECTIONS, FEW_DESCRIPTORS)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "crowd", [Crowd.NO_ROUTE, Crowd.SERVED_UNREAD, Crowd.UNFINISHED_BODIES, Crowd.IDLE]
)
def test_node_stops_in_order_under_a_crowd(crowd, tmp_path):
    # Guards against a stop that waits for callers who never read.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            node = await start_node(site, tmp_path, MANY_DESCRIPTORS)
            address = site.address("a")
            async with start_crowd(crowd, address, AHEAD_CONNECTIONS, 20.0):
                await asyncio.sleep(1.0)
                node.signal(signal.SIGTERM)
                async with asyncio.timeout(15.0):
                    assert await node.process.wait() == 0

    run_scenario(scenario)


def test_node_starts_under_a_crowd(tmp_path):
    # Guards against a node whose start depends on callers that behave.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            node = await start_node(site, tmp_path, MANY_DESCRIPTORS)
            address = site.address("a")
            async with start_crowd(
                Crowd.NO_ROUTE, address, AHEAD_CONNECTIONS, 8.0
            ) as report:
                await node.kill()
                await site.kill_and_restart_process("a")
                served = await call_until(site, report.done)
            assert served >= 1
            assert peak_memory_mb(site.processes["a"].process) < MEMORY_MB

    run_scenario(scenario)
