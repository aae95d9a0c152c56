"""Planned stops of nodes cut nothing off."""

import signal
import time
from datetime import datetime
from functools import partial
from http import HTTPStatus

import pytest

from poplarrelay.client import CallerClient, ClientError
from poplarrelay.systems.draining import HANDOVER_SHARE
from poplarrelay.testing.processes import wait_until
from poplarrelay.testing.site import team_token
from poplarrelay.testing.steps import (
    PROMPT,
    busy_node,
    drain_stream,
    start_stream,
    whole,
)

pytestmark = pytest.mark.processes

#: Pause that is longer than one try to copy a deferred request.
PAUSE_S = 1.1
#: Time after a crash in which its peers take notice and take over.
WATCHED_S = 4.0


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
    signalled_at = time.time()
    assert node.popen.wait(timeout=20.0) == 0
    ended_at = time.time()
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 900)
    steps = {line.get("step"): line for line in node.log_lines()}
    assert steps["hurrying"]["within_s"] < steps["leaving"]["within_s"]
    assert _seconds(steps["left"]) - _seconds(steps["leaving"]) < 6.0
    handed = [line for line in node.log_lines() if "to" in line and "step" not in line]
    unhurried_s = _seconds(steps["leaving"]) + 6.0 - HANDOVER_SHARE * 6.0
    assert _seconds(handed[0]) < unhurried_s
    # As operators see it, the end of the interpreter and waits for a processor
    # included; the parts tell which of them took the time.
    parts = {
        name: round(_seconds(line) - signalled_at, 2)
        for name, line in steps.items()
        if name is not None
    }
    assert ended_at - signalled_at < 5.0, parts


def _seconds(line):
    return datetime.strptime(line["time"], "%Y-%m-%d %H:%M:%S,%f").timestamp()


def test_deferred_requests_survive_the_crash_of_their_home(site):
    # A node accepts patient reports and dies without any notice, with one answered
    # and one not yet run. A peer holds copies of both: it keeps the answer, runs the
    # other, and any node tells the caller.
    victim = site.nodes["node-1"]
    headers = {"Authorization": f"Bearer {team_token('alpha')}"}

    def defer(prompt, max_tokens):
        body = {"model": "small", "prompt": prompt, "max_tokens": max_tokens}
        reply = site.http_client.call(
            "POST",
            victim.address,
            "/v1/requests",
            {"url": "/v1/completions", "body": body},
            timeout_s=5.0,
            headers=headers,
        )
        assert reply.status == 202
        return reply.value["id"]

    done = defer("first report", 3)
    client = site.client("alpha")
    client.wait_for(done, 20.0)
    wait_until(
        lambda: any(
            line["message"] == "end" and line["request"] == done
            for line in victim.log_lines()
        )
    )
    open_still = defer("second report", 400)
    victim.kill()
    del site.nodes["node-1"]
    others = site.client("alpha", seed=3)
    found = wait_until(lambda: _answer(others, open_still), 30.0, "the second report")
    assert found == "".join(whole("second report", 400))
    assert _answer(others, done) == "".join(whole("first report", 3))


def test_answers_survive_a_peer_that_was_paused(site):
    # Guards against an old copy at a peer that takes back what callers have fetched.
    home, paused = site.nodes["node-1"], site.nodes["node-2"]
    body = {"model": "small", "prompt": "first report", "max_tokens": 3}
    deferred = {"url": "/v1/completions", "body": body}
    paused.signal(signal.SIGSTOP)
    try:
        replies = [
            _call(site, "POST", home, "/v1/requests", deferred) for _ in range(4)
        ]
        time.sleep(PAUSE_S)
    finally:
        paused.signal(signal.SIGCONT)
    reports = [reply.value["id"] for reply in replies]
    for report in reports:
        wait_until(partial(_told_answered, site, home, report))
    home.kill()
    del site.nodes["node-1"]
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        for node in site.nodes.values():
            words = {_word(site, node, report) for report in reports}
            assert words <= {"answered", "not known"}, (node.name, words)
    for report in reports:
        for node in site.nodes.values():
            wait_until(partial(_told_answered, site, node, report))


def _call(site, method, node, path, body=None):
    headers = {"Authorization": f"Bearer {team_token('alpha')}"}
    return site.http_client.call(
        method, node.address, path, body, timeout_s=8.0, headers=headers
    )


def _word(site, node, request):
    """Return what a node says of a request."""
    reply = _call(site, "GET", node, f"/v1/requests/{request}")
    if reply.status == HTTPStatus.BAD_GATEWAY:
        return "not known"
    return reply.value["status"] if reply.ok else reply.status


def _told_answered(site, node, request):
    return _word(site, node, request) == "answered"


def _answer(client, request):
    try:
        found = client.fetch(request)
    except ClientError:
        return None
    if found.status != "answered":
        return None
    return found.document["response"]["choices"][0]["text"]
