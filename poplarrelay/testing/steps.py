"""Steps that several tests of failures on real processes share."""

from __future__ import annotations

import json
from collections.abc import Iterator

from poplarrelay.client import CompletionResult, ServiceResult
from poplarrelay.standins.batching import token_text
from poplarrelay.testing.processes import RunningSite

__all__ = [
    "PROMPT",
    "SHORT_TIMEOUTS",
    "book_seat",
    "busy_endpoint",
    "busy_node",
    "drain_stream",
    "expected_tokens",
    "run_counts",
    "start_stream",
]

PROMPT = "officer notes of one family " * 40
#: Short timeouts, with which failures are detected soon.
SHORT_TIMEOUTS = {
    "timing": {
        "log_wait_s": 0.5,
        "log_timeout_s": 0.5,
        "claim_wait_s": 1.0,
        "drain_s": 6.0,
        "address_ttl_s": 1.0,
        "progress_timeout_s": 1.5,
    }
}


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens of a complete answer of `count` tokens."""
    return [token_text(prompt, index) for index in range(count)]


def busy_endpoint(site: RunningSite) -> str | None:
    """Return the name of an endpoint that runs an attempt, None if there is none."""
    for node in site.nodes:
        status = site.status(node) or {"endpoints": {}}
        for name, endpoint in status["endpoints"].items():
            if endpoint["running"]:
                return name
    return None


def busy_node(site: RunningSite) -> str | None:
    """Return the name of a node that runs an attempt, None if there is none."""
    for node in site.nodes:
        status = site.status(node) or {"requests": {}}
        if status["requests"].get("dispatched"):
            return node
    return None


def start_stream(
    site: RunningSite, count: int, tokens: int = 10
) -> tuple[Iterator[str], CompletionResult]:
    """Start a stream of `count` tokens and read the first `tokens` of them."""
    result = CompletionResult()
    stream = site.client("alpha").stream(
        "small", PROMPT, count, 60.0, "standard", result
    )
    for _ in range(tokens):
        next(stream)
    return stream, result


def drain_stream(stream: Iterator[str]) -> None:
    """Read a stream to its end."""
    for _ in stream:
        pass


def book_seat(
    site: RunningSite,
    key: str | None,
    seat: str,
    seed: int = 1,
    timeout_s: float = 8.0,
) -> ServiceResult:
    """Book a seat."""
    body = json.dumps({"seat": seat}).encode()
    return site.client("alpha", seed).call_service(
        "booking", "/confirm", body, key=key, timeout_s=timeout_s
    )


def run_counts(site: RunningSite) -> list[int]:
    """Return the number of runs of each booking."""
    return list(site.runs().values())
