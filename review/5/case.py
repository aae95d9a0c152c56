"""A stream whose runner stops in the middle of an event looks complete."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness_2 import Answer, Case, Client, route, run_case

#: Clients, streams of each, slots of a runner, events and seconds between two of them.
CLIENTS, STREAMS, SLOTS, EVENTS, EVENT_S = 16, 12, 16, 20, 0.015
#: Of so many streams of one of the two runners, one stops in the middle of an event.
STOPS_EACH = 25
DEADLINE_MS = 15_000


async def _client(case: Case, number: int) -> list[Answer]:
    node = case.site.nodes[number % len(case.site.nodes)]
    answers = []
    for turn in range(STREAMS):
        client = Client(node.address)
        await client.connect()
        answer = await client.call(
            "/draft/1",
            f"draft-{number}-{turn}",
            DEADLINE_MS,
            X_Poplarrelay_Model="m",
            X_Poplarrelay_Token_Usage="350,120",
            X_Poplarrelay_Prefix_Hash=f"{number:02x}e0:100,{number:02x}{turn:02x}:250",
        )
        client.close()
        answers.append(answer)
    return answers


async def play(case: Case) -> bool:
    """Send streams to two runners, one of which stops a few of them early."""
    site = case.site
    kind = {
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "itlTargetMs": 400,
    }
    site.configure(1, [route("draft", "llm", "streaming", **kind)], ["llm"])
    options = {"events": EVENTS, "work_s": EVENT_S}
    stops_each = STOPS_EACH if case.trouble else 0
    await site.start_runner("i-1", "llm", SLOTS, stops_each=stops_each, **options)
    await site.start_runner("i-2", "llm", SLOTS, **options)
    await site.start_nodes(2)
    await asyncio.sleep(2.0)
    found = await asyncio.gather(*(_client(case, n) for n in range(CLIENTS)))
    answers = [answer for each in found for answer in each]
    last = f"id: {EVENTS}\n".encode()
    early = 0
    for answer in answers:
        case.note_answer(answer)
        if answer.status == 200 and answer.complete and last not in answer.body:
            end = answer.body[-40:]
            case.note(f"ORDER: {answer.attempt} ends as complete with {end!r}")
            early += 1
    runner = site.runners["i-1"]
    stops = sum(line["what"].startswith("stops") for line in runner.lines())
    case.note(f"runner i-1 stopped {stops} of {len(runner.ran())} streams early")
    case.note(f"{early} of {len(answers)} streams look complete and are not")
    return early > 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
