"""Planned stops of nodes cut nothing off."""

import signal
import time

import pytest

from poplarrelay.client import CallerClient
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site, wait_until
from poplarrelay.testing.site import team_token
from poplarrelay.testing.steps import (
    PROMPT,
    QUICK,
    busy_node,
    drain_stream,
    start_stream,
    whole,
)

pytestmark = pytest.mark.processes


@pytest.fixture
def site():
    with run_site(small_site(engines=4), settings=QUICK) as running:
        yield running


def test_terminated_node_cuts_off_no_stream(site):
    # The stream ends before the node has to.
    stream, result = start_stream(site, 150)
    node = site.nodes[wait_until(lambda: busy_node(site))]
    node.signal(signal.SIGTERM)
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 150)
    assert result.streams == 1
    assert node.popen.wait(timeout=20.0) == 0


def test_terminated_node_hands_a_long_stream_to_a_peer(site):
    # The stream is longer than the node's time to leave. The caller is told where
    # to go on and from which index.
    stream, result = start_stream(site, 900)
    node = site.nodes[wait_until(lambda: busy_node(site))]
    node.signal(signal.SIGTERM)
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 900)
    assert result.streams == 2
    assert node.popen.wait(timeout=20.0) == 0


def test_outcomes_of_tickets_and_deferred_requests_move(site):
    # A node runs a booking and a patient report, and leaves. Another node answers
    # for both.
    client = site.client("alpha")
    booked = client.call_service("booking", "/confirm", b'{"seat": "moved"}')
    home = booked.key.split(".")[1]
    known = (site.nodes[home].address,)
    at_home = CallerClient(known, team_token("alpha"), 1)
    at_home._discovery._keep(
        {
            "addresses": [
                {"address": known[0], "failure_domain": "east", "ticket": "t1"}
            ],
            "ttl_s": 60.0,
        }
    )
    body = {"model": "small", "prompt": PROMPT, "max_tokens": 5}
    report = at_home.defer("/v1/completions", body)
    at_home.wait_for(report.id, 20.0)
    site.nodes[home].signal(signal.SIGTERM)
    assert site.nodes[home].popen.wait(timeout=20.0) == 0
    del site.nodes[home]
    others = site.client("alpha", seed=5)
    again = others.call_service(
        "booking", "/confirm", b'{"seat": "moved"}', key=booked.key
    )
    assert again.body == booked.body
    assert others.fetch(report.id).status == "answered"


def test_second_signal_hurries(site):
    stream, result = start_stream(site, 900)
    node = site.nodes[wait_until(lambda: busy_node(site))]
    node.signal(signal.SIGTERM)
    wait_until(lambda: not site.ready(node.name), 5.0)
    node.signal(signal.SIGTERM)
    started = time.monotonic()
    assert node.popen.wait(timeout=20.0) == 0
    assert time.monotonic() - started < 5.0
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 900)
