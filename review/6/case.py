"""Bytes that belong to no request are given to clients as successes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness_2 import Answer, Case, Client, route, run_case

#: Clients, requests of each; of so many answers of a runner, one is spoiled and one is
#: followed by more bytes.
CLIENTS, REQUESTS, SPOILS_EACH = 8, 100, 100
DEADLINE_MS = 1000


async def _client(case: Case, number: int) -> list[Answer]:
    node = case.site.nodes[number % len(case.site.nodes)]
    client = Client(node.address)
    await client.connect()
    answers = []
    for turn in range(REQUESTS):
        answer = await client.call("/confirm/1", f"seat-{number}-{turn}", DEADLINE_MS)
        answers.append(answer)
        if not answer.complete:
            client.close()
            client = Client(node.address)
            await client.connect()
    client.close()
    return answers


async def play(case: Case) -> bool:
    """Send bookings to two runners, one of which spoils a few of its answers."""
    site = case.site
    kind = {"timeoutMs": 1000, "targetLatencyMs": 125, "maxAttempts": 1}
    site.configure(1, [route("confirm", "desk", "non_idempotent", **kind)], ["desk"])
    spoils_each = SPOILS_EACH if case.trouble else 0
    await site.start_runner("i-1", "desk", 6, spoils_each=spoils_each)
    await site.start_runner("i-2", "desk", 6)
    await site.start_nodes(2)
    await asyncio.sleep(2.0)
    found = await asyncio.gather(*(_client(case, n) for n in range(CLIENTS)))
    answers = [answer for each in found for answer in each]
    unsigned = 0
    for answer in answers:
        case.note_answer(answer)
        signed = "x-poplarrelay-response-signature" in answer.headers
        if 200 <= answer.status < 300 and answer.complete and not signed:
            case.note(f"MIXED: {answer.attempt} got {answer.body[:20]!r}, not signed")
            unsigned += 1
    case.note(f"{unsigned} of {len(answers)} answers are successes of no runner")
    return unsigned > 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
