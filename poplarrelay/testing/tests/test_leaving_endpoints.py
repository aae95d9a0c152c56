"""Tests of reclaims of endpoints while they run streams."""

import threading
import time

import pytest

from poplarrelay.testing.processes import wait_until
from poplarrelay.testing.steps import (
    PROMPT,
    busy_endpoint,
    drain_stream,
    expected_tokens,
    start_stream,
)

pytestmark = pytest.mark.processes


def test_reclaims_of_two_domains_with_notice_lose_no_token(site):
    # A reclaim notice arrives for one failure domain, and two seconds later for the
    # next. An endpoint of each domain is killed two seconds after its notice, and each
    # notice is sent twice.
    results = {}

    def complete(number):
        prompt = f"{PROMPT} {number}"
        client = site.client("alpha", seed=number)
        results[number] = client.complete(
            "small", prompt, 300
        ).tokens == expected_tokens(prompt, 300)

    threads = [threading.Thread(target=complete, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    wait_until(lambda: busy_endpoint(site))
    for domain, endpoint in (("east", "engine-1"), ("west", "engine-2")):
        site.notice(2.0, failure_domain=domain)
        site.notice(2.0, failure_domain=domain)
        time.sleep(2.0)
        site.endpoints[endpoint].kill()
    for thread in threads:
        thread.join()
    assert results == {number: True for number in range(12)}


def test_all_nodes_apply_notice_when_host_list_is_stale(site):
    # The host list is stale and does not show that the endpoint leaves. Every node must
    # learn it from the notice, and send no new requests there after one second.
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


def test_stream_is_complete_when_engine_crashes_during_cache_move(site):
    # The old engine crashes while the next engine reads its cache. The next engine must
    # recompute the cache, and the caller must get every token once.
    for engine in range(1, 5):
        site.faults(f"engine-{engine}", die_on_export=True)
    stream, result = start_stream(site, 500)
    site.notice(2.0, endpoint=wait_until(lambda: busy_endpoint(site)))
    drain_stream(stream)
    assert result.tokens == expected_tokens(PROMPT, 500)
