"""Reclaims of endpoints under live streams."""

import threading
import time

import pytest

from poplarrelay.testing.processes import wait_until
from poplarrelay.testing.steps import (
    PROMPT,
    busy_endpoint,
    drain_stream,
    start_stream,
    whole,
)

pytestmark = pytest.mark.processes


def test_announced_reclaim_of_a_domain_and_then_the_next_loses_nothing(site):
    # Notice for one failure domain, two seconds later for the next; each goes two
    # seconds after its notice, and the notices are doubled.
    results = {}

    def ask(number):
        prompt = f"{PROMPT} {number}"
        client = site.client("alpha", seed=number)
        results[number] = client.complete("small", prompt, 300).tokens == whole(
            prompt, 300
        )

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    wait_until(lambda: busy_endpoint(site))
    for domain, victim in (("east", "engine-1"), ("west", "engine-2")):
        site.notice(2.0, failure_domain=domain)
        site.notice(2.0, failure_domain=domain)
        time.sleep(2.0)
        site.endpoints[victim].kill()
    for thread in threads:
        thread.join()
    assert results == {number: True for number in range(12)}


def test_notice_reaches_a_node_that_the_platform_does_not_tell(site):
    # The host list is stale, and only one node hears the notice, from its peers'
    # side. Every node stops sending new work there within a second.
    site.faults("hosts", stale=True)
    site.notice(30.0, endpoint="engine-1")
    started = time.monotonic()

    def all_leaving():
        states = [
            (site.status(node) or {"endpoints": {}})["endpoints"]
            .get("engine-1", {})
            .get("state")
            for node in site.nodes
        ]
        return states == ["leaving"] * len(site.nodes)

    wait_until(all_leaving, 5.0)
    assert time.monotonic() - started < 1.0


def test_engine_that_dies_while_its_cache_moves(site):
    # The cache is read by the next engine when the old one dies. The next engine
    # computes it again, and the caller sees every token once.
    for engine in range(1, 5):
        site.faults(f"engine-{engine}", die_on_export=True)
    stream, result = start_stream(site, 500)
    site.notice(2.0, endpoint=wait_until(lambda: busy_endpoint(site)))
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 500)
