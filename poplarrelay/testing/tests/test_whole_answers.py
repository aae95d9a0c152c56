"""Tests that callers get complete responses when an engine or a node fails."""

import pytest

from poplarrelay.testing.processes import wait_until
from poplarrelay.testing.steps import (
    PROMPT,
    busy_endpoint,
    busy_node,
    drain_stream,
    expected_tokens,
    start_stream,
)

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(
    "faults",
    [
        {"die_after_tokens": 20},
        {"die_before_end": True},
        {"cut_before_end": True},
        {"skip_index": 15},
        {"repeat_index": 15},
        {"foreign_index": 15},
        {"stall_after_tokens": 20},
    ],
    ids=lambda faults: next(iter(faults)),
)
def test_response_is_complete_despite_faulty_engines(site, faults):
    # An engine crashes, stalls, cuts the stream, omits a token, repeats a token, or
    # sends a token of another attempt. The node must drop the wrong tokens and continue
    # at another engine from the next index.
    site.faults("engine-1", **faults)
    site.faults("engine-2", **faults)
    results = []
    for number in range(4):
        prompt = f"{PROMPT} {number}"
        result = site.client("alpha", seed=number).complete("small", prompt, 40)
        results.append(result.tokens == expected_tokens(prompt, 40))
    assert results == [True] * 4


def test_stream_moves_from_frozen_engine_to_another(site):
    # The engine is paused during the stream: its sockets stay open, but it sends no
    # more tokens.
    stream, result = start_stream(site, 200)
    engine = wait_until(lambda: busy_endpoint(site))
    site.endpoints[engine].freeze()
    drain_stream(stream)
    assert result.tokens == expected_tokens(PROMPT, 200)
    assert result.streams == 1


def test_caller_gets_every_token_after_node_crash(site):
    # The node crashes in the middle of a stream. The client library must resume the
    # stream at another node from the next index.
    stream, result = start_stream(site, 200)
    site.nodes[wait_until(lambda: busy_node(site))].kill()
    drain_stream(stream)
    assert result.tokens == expected_tokens(PROMPT, 200)
    assert result.streams >= 2


def test_deferred_response_is_complete_after_engine_stalls(site):
    # The engine stalls in the middle of a deferred request. The request continues at
    # another engine, and the response must include the tokens of the first engine.
    for engine in ("engine-1", "engine-2", "engine-3"):
        site.faults(engine, stall_after_tokens=10)
    client = site.client("alpha")
    body = {"model": "small", "prompt": PROMPT, "max_tokens": 30}
    accepted = [client.defer("/v1/completions", body) for _ in range(3)]
    for each in accepted:
        found = client.wait_for(each.id, 40.0)
        text = found.document["response"]["choices"][0]["text"]
        assert text == "".join(expected_tokens(PROMPT, 30))
