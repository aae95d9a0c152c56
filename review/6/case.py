"""Streams are broken off since their runner, a sound one, is silent for a moment."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from harness_2 import Answer, Case, Client, route, run_case

#: Streams at once, slots of each of the two runners, events and seconds between them.
STREAMS, SLOTS, EVENTS, EVENT_S = 26, 8, 60, 0.1
#: Seconds for which one runner is silent.
SILENCE_S = 1.7
DEADLINE_MS = 14_000


async def _client(case: Case, number: int) -> Answer:
    await asyncio.sleep(0.01 * number)
    node = case.site.nodes[number % len(case.site.nodes)]
    client = Client(node.address)
    await client.connect()
    answer = await client.call(
        "/chat/1",
        f"chat-{number}",
        DEADLINE_MS,
        X_Poplarrelay_Model="m",
        X_Poplarrelay_Token_Usage="350,360",
        X_Poplarrelay_Prefix_Hash=f"5c1e07a2:100,e4402b{number:02x}:250",
    )
    client.close()
    return answer


async def play(case: Case) -> bool:
    """Fill the runners with streams, and let one runner fall silent after a SIGHUP."""
    site = case.site
    kind = {
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 500,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "itlTargetMs": 400,
    }
    site.configure(1, [route("chat", "llm", "streaming", **kind)], ["llm"])
    options = {"events": EVENTS, "work_s": EVENT_S, "queue": 8}
    for name in ("i-1", "i-2"):
        await site.start_runner(name, "llm", SLOTS, **options)
    await site.start_nodes(2)
    await asyncio.sleep(4.0)
    clients = [asyncio.create_task(_client(case, n)) for n in range(STREAMS)]
    await asyncio.sleep(1.5)
    for node in site.nodes:
        os.kill(node.process.pid, signal.SIGHUP)
    case.note("SIGHUP to both machines; the settings files are as before")
    await asyncio.sleep(0.5)
    if case.trouble:
        silent = site.runners["i-1"].process.pid
        os.kill(silent, signal.SIGSTOP)
        case.note("runner i-1 falls silent")
        await asyncio.sleep(SILENCE_S)
        os.kill(silent, signal.SIGCONT)
        case.note("runner i-1 goes on")
    answers = await asyncio.gather(*clients)
    ran = [attempt for runner in site.runners.values() for attempt in runner.ran()]
    cut = 0
    for answer in answers:
        case.note_answer(answer)
        took = answer.ended_at - answer.sent_at
        in_time = took < 0.7 * DEADLINE_MS / 1000
        began = answer.attempt in ran and answer.status == 200
        if began and not answer.complete and in_time:
            case.note(f"LOST: {answer.attempt} was passed on, and its stream was cut")
            cut += 1
    case.note(f"{cut} of {len(answers)} streams were cut")
    return cut > 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
