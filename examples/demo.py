"""Start a site, show five kinds of request and a reclaim, and stop the site.

The exit code is 0 only if every answer is complete and every booking runs once.
"""

from __future__ import annotations

import sys
import threading
from pathlib import Path

from poplarrelay.client import CallerClient, CompletionResult
from poplarrelay.standins.batching import token_text
from poplarrelay.testing.processes import RunningSite, run_site, wait_until
from poplarrelay.testing.site import Site, team_token

SITE = Path(__file__).parent / "ceremony_booking_relay_western_province.json"
TEAM = "registry-counters"
MODEL = "packet-assistant"
LONG_PROMPT = "Officer notes for the oath day packet of one family. " * 60
NOTICE_S = 2.0

checks: list[bool] = []


def check(what: str, good: bool) -> None:
    """Print a result and record whether it is correct."""
    checks.append(good)
    print(f"  {'ok ' if good else 'BAD'}  {what}", flush=True)


def step(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n{text}", flush=True)


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens of a complete answer."""
    return [token_text(prompt, index) for index in range(count)]


def show_completions(client: CallerClient, site: RunningSite) -> None:
    """Show a completion with a streamed answer and one with a single answer."""
    step("1. A streamed completion")
    result = client.complete(MODEL, LONG_PROMPT, 40)
    check(
        f"40 tokens, {result.usage}", result.tokens == expected_tokens(LONG_PROMPT, 40)
    )
    step("2. The same completion, not streamed, with its prompt cached")
    reply = site.http_client.call(
        "POST",
        next(iter(site.nodes.values())).address,
        "/v1/completions",
        {"model": MODEL, "prompt": LONG_PROMPT, "max_tokens": 40},
        timeout_s=30.0,
        headers={"Authorization": f"Bearer {team_token(TEAM)}"},
    )
    text = reply.value["choices"][0]["text"]
    check(f"one answer, {reply.value['usage']}", text == result.text)


def show_services(client: CallerClient, site: RunningSite) -> None:
    """Show a repeatable call of a service, and a booking that runs only once."""
    step("3. A plain service")
    seats = client.call_service("booking", "/seats?day=12", method="GET")
    check(f"status {seats.status}", seats.status == 200)
    step("4. A booking that must not be repeated, sent twice with one key")
    body = b'{"seat": "A-17", "family": "P-2201"}'
    first = client.call_service("booking", "/confirm", body)
    repeated = client.call_service("booking", "/confirm", body, key=first.key)
    runs = [n for name, n in site.runs().items() if name.startswith("POST /confirm")]
    check(f"the desk ran it {sum(runs)} time(s)", runs == [1])
    check("both calls got the same answer", first.body == repeated.body)


def show_deferred(client: CallerClient) -> None:
    """Show a deferred request whose answer is fetched later."""
    step("5. A patient report, fetched by its id")
    body = {"model": MODEL, "prompt": "season report", "max_tokens": 30}
    accepted = client.defer("/v1/completions", body)
    deferred = client.wait_for(accepted.id, 30.0)
    text = deferred.document["response"]["choices"][0]["text"]
    check(f"{accepted.id}", text == "".join(expected_tokens("season report", 30)))


def busy_endpoint(site: RunningSite) -> str:
    """Return the name of an endpoint that runs an attempt, or an empty string."""
    for node in site.nodes:
        status = site.status(node) or {"endpoints": {}}
        for name, endpoint in status["endpoints"].items():
            if endpoint["running"]:
                return str(name)
    return ""


def show_reclaim(client: CallerClient, site: RunningSite) -> None:
    """Show a stream that continues when its endpoint is reclaimed."""
    step(f"An endpoint is reclaimed under a live stream, {NOTICE_S:.0f} s after notice")
    prompt = LONG_PROMPT + "reclaimed"
    result = CompletionResult()
    stream = client.stream(MODEL, prompt, 400, 60.0, "standard", result)
    for _ in range(20):
        next(stream)
    reclaimed = wait_until(lambda: busy_endpoint(site), what="a running attempt")
    print(
        f"       notice for {reclaimed} after {len(result.tokens)} tokens", flush=True
    )
    site.notice(NOTICE_S, endpoint=reclaimed)
    reclaim = threading.Timer(NOTICE_S, site.endpoints[reclaimed].kill)
    reclaim.start()
    for _ in stream:
        pass
    reclaim.join()
    check(f"400 tokens, {result.usage}", result.tokens == expected_tokens(prompt, 400))
    check(f"{result.streams} stream(s) to the caller", result.streams == 1)
    moves = [
        line
        for node in site.nodes.values()
        for line in node.log_lines()
        if line["message"] == "move"
    ]
    for move in moves:
        print(f"       moved by {move['way']}: {move['from']} to {move['to']}")


def main() -> int:
    """Run the demonstration and return the exit code."""
    site = Site.from_file(SITE)
    print(
        f"Starting {len(site.nodes)} nodes, {len(site.endpoints)} endpoints in "
        f"{len(site.failure_domains)} failure domains, and the platform ...",
        flush=True,
    )
    with run_site(site) as running_site:
        client = running_site.client(TEAM)
        show_completions(client, running_site)
        show_services(client, running_site)
        show_deferred(client)
        show_reclaim(client, running_site)
    good = all(checks)
    print(f"\n{sum(checks)} of {len(checks)} checks passed", flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
