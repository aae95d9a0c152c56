"""Whole answers, whatever an engine or a node does."""

import pytest

from poplarrelay.testing.processes import wait_until
from poplarrelay.testing.steps import (
    PROMPT,
    busy_endpoint,
    busy_node,
    drain_stream,
    start_stream,
    whole,
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
def test_faulty_engine_does_not_show_in_the_answer(site, faults):
    # The engine that runs the stream dies, stalls, cuts it, leaves a token out,
    # sends one twice or sends another attempt's. The node drops what does not
    # belong and goes on at another engine from the next index.
    site.faults("engine-1", **faults)
    site.faults("engine-2", **faults)
    results = []
    for number in range(4):
        prompt = f"{PROMPT} {number}"
        result = site.client("alpha", seed=number).complete("small", prompt, 40)
        results.append(result.tokens == whole(prompt, 40))
    assert results == [True] * 4


def test_frozen_engine_is_left_for_another(site):
    # The engine accepts and never goes on; its sockets stay open.
    stream, result = start_stream(site, 200)
    victim = wait_until(lambda: busy_endpoint(site))
    site.endpoints[victim].freeze()
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 200)
    assert result.streams == 1


def test_crashed_node_costs_the_caller_no_token(site):
    # The node dies in the middle of a stream. The caller's library goes on at
    # another node from the next index.
    stream, result = start_stream(site, 200)
    site.nodes[wait_until(lambda: busy_node(site))].kill()
    drain_stream(stream)
    assert result.tokens == whole(PROMPT, 200)
    assert result.streams >= 2


def test_deferred_answer_is_whole_after_its_engine_broke(site):
    # The engine stalls in the middle of a report that nobody waits for. The attempt
    # goes on at another engine; the tokens of the first one belong to the answer.
    for engine in ("engine-1", "engine-2", "engine-3"):
        site.faults(engine, stall_after_tokens=10)
    client = site.client("alpha")
    body = {"model": "small", "prompt": PROMPT, "max_tokens": 30}
    accepted = [client.defer("/v1/completions", body) for _ in range(3)]
    for each in accepted:
        found = client.wait_for(each.id, 40.0)
        text = found.document["response"]["choices"][0]["text"]
        assert text == "".join(whole(PROMPT, 30))
