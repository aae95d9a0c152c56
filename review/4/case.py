"""A request that was answered 503 has run: a late second rejection is believed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness_2 import Answer, Case, Client, route, run_case

#: Clients, requests of each, and those of them that find both runners full.
CLIENTS, REQUESTS, FULL_TURNS = 8, 165, (40, 90)
#: Clients that have such requests, and entry nodes.
FULL_CLIENTS, NODES = 7, 4
DEADLINE_MS = 1000
#: Seconds for which one of the two runners sends second answers.
DOUBLES_S = 5.0
RULE_STATUSES = (408, 421, 429, 503)


async def _client(case: Case, number: int) -> list[Answer]:
    node = case.site.nodes[number % len(case.site.nodes)]
    client = Client(node.address)
    await client.connect()
    answers = []
    for turn in range(REQUESTS):
        full = turn in FULL_TURNS and number < FULL_CLIENTS
        kind = "full" if full else "seat"
        attempt = f"{kind}-{number}-{turn}"
        answer = await client.call("/confirm/1", attempt, DEADLINE_MS)
        answers.append(answer)
        if not answer.complete or answer.headers.get("connection") == "close":
            client.close()
            client = Client(node.address)
            await client.connect()
        await asyncio.sleep(0.01)
    client.close()
    return answers


async def play(case: Case) -> bool:
    """Send bookings, of which a few find the runner full when they first arrive."""
    site = case.site
    kind = {"timeoutMs": 1000, "targetLatencyMs": 125, "maxAttempts": 3}
    site.configure(1, [route("confirm", "desk", "non_idempotent", **kind)], ["desk"])
    doubles_s = DOUBLES_S if case.trouble else 0.0
    await site.start_runner("i-1", "desk", 6, full_for="full", doubles_s=doubles_s)
    await site.start_runner("i-2", "desk", 6, full_for="full")
    await site.start_nodes(NODES)
    await asyncio.sleep(2.0)
    found = await asyncio.gather(*(_client(case, n) for n in range(CLIENTS)))
    answers = [answer for each in found for answer in each]
    ran = [attempt for runner in site.runners.values() for attempt in runner.ran()]
    broken = False
    for answer in answers:
        case.note_answer(answer)
        if answer.status in RULE_STATUSES and answer.attempt in ran:
            case.note(f"REFUSED: {answer.attempt} got {answer.status} and has run")
            broken = True
    for attempt in sorted({each for each in ran if ran.count(each) > 1}):
        case.note(f"TWICE: {attempt} ran {ran.count(attempt)} times")
        broken = True
    lines = site.runners["i-1"].lines()
    doubled = sum(line["what"].startswith("will double") for line in lines)
    given = sum(line["what"] in ("finished", "rejected as full") for line in lines)
    case.note(f"runner i-1 doubled {doubled} of {given} answers")
    served = sum(answer.status == 200 for answer in answers)
    case.note(f"{served} of {len(answers)} requests were served")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
