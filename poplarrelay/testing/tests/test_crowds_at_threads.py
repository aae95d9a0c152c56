"""Nodes that serve each connection in a thread, beside clients that do not behave.

These tests are run one at a time, apart from the others (``make test``).
"""

import asyncio
import resource
from pathlib import Path
from time import monotonic

import pytest

from poplarrelay.providers.http import CallFailed
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.crowds import Crowd, start_crowd
from poplarrelay.testing.processes import run_site

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

TOKEN = "example-token-of-alpha"
GOOD = {"model": "small", "prompt": "a prompt", "max_tokens": 2}
#: Memory of the host in MB and descriptors, which the process must not exceed, and how
#: many descriptors must be left for endpoints, peers and the log.
MEMORY_MB, DESCRIPTORS, SPARE_DESCRIPTORS = 160, 256, 16
#: Threads of the listeners of callers and peers.
THREADS = 16
#: Seconds for which a crowd stays, from which on it has come, and its connections.
CROWD_S, COME_S, CONNECTIONS = 6.0, 1.5, 300
#: Seconds between two looks at the process, and time-out of an ordinary request.
LOOK_S, REQUEST_S = 0.05, 2.0
LIMITS = {"max_body_bytes": 4_000_000}
LISTENERS = {"threads": THREADS}


@pytest.fixture
def site():
    settings = {"limits": LIMITS, "callers": LISTENERS, "peers": LISTENERS}
    with run_site(small_site(nodes=1), settings=settings) as running:
        yield running


def is_served(site):
    """Return whether one ordinary request is served."""
    node = site.nodes["node-1"]
    headers = {"Authorization": f"Bearer {TOKEN}"}
    try:
        reply = site.http_client.call(
            "POST",
            node.address,
            "/v1/completions",
            GOOD,
            timeout_s=REQUEST_S,
            headers=headers,
        )
    except CallFailed:
        return False
    return reply.status == 200


def peak_memory_mb(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1000


async def endure(site, crowd, address):
    """Run a crowd beside ordinary requests.

    Return how many requests were served while it was there, and the most descriptors.
    """
    process = site.nodes["node-1"].popen
    host, _, port = address.rpartition(":")
    served = most = 0
    async with start_crowd(crowd, (host, int(port)), CONNECTIONS, CROWD_S) as report:
        started_at = monotonic()
        while not report.done():
            most = max(most, len(list(Path(f"/proc/{process.pid}/fd").iterdir())))
            has_come = monotonic() > started_at + COME_S
            answered = await asyncio.to_thread(is_served, site)
            # The crowd's process needs a moment to start, and leaves that much later.
            has_left = monotonic() > started_at + CROWD_S
            served += answered and has_come and not has_left
            await asyncio.sleep(LOOK_S)
        done = await report
    assert done.opened >= 1
    return served, most


@pytest.mark.parametrize(
    "crowd",
    [
        Crowd.IDLE,
        Crowd.UNFINISHED_HEADS,
        Crowd.UNFINISHED_PROMPTS,
        Crowd.NO_ROUTE,
        Crowd.RESETS,
    ],
    ids=lambda crowd: crowd.name.lower(),
)
@pytest.mark.parametrize("listener", ["callers", "peers"])
def test_node_with_threads_lives_and_serves_beside_a_crowd(site, crowd, listener):
    # Guards against idle and unfinished connections that keep all threads.
    node = site.nodes["node-1"]
    resource.prlimit(node.popen.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    address = node.address if listener == "callers" else site.peers_address("node-1")
    assert is_served(site)
    served, most = asyncio.run(endure(site, crowd, address))
    assert node.popen.poll() is None
    assert peak_memory_mb(node.popen) < MEMORY_MB
    assert most <= DESCRIPTORS - SPARE_DESCRIPTORS
    assert served >= 1
    assert any(is_served(site) for _ in range(10))
    assert site.ready("node-1")
