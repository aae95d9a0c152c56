"""``poplarrelay call``: make requests as a caller."""

from __future__ import annotations

import os
import sys
from dataclasses import asdict
from typing import Annotated

import orjson
from cyclopts import App, Parameter

from poplarrelay.client import (
    AnswerNotRun,
    CallerClient,
    ClientError,
    CompletionResult,
    RequestRefused,
)
from poplarrelay.commands.output import ExitCode, fail, print_json

__all__ = ["TOKEN_VARIABLE", "call_app"]

#: Environment variable that holds the team's token.
TOKEN_VARIABLE = "POPLARRELAY_TOKEN"

call_app = App(name="call", help="Make a request as a caller.")

Address = Annotated[
    str, Parameter(help="Callers' address of any node; several with commas.")
]
Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


def _client(address: str) -> CallerClient:
    token = os.environ.get(TOKEN_VARIABLE)
    if not token:
        fail(ExitCode.USAGE, f"set the team's token in {TOKEN_VARIABLE}")
    return CallerClient(tuple(address.split(",")), token)


def _failed(failure: ClientError) -> None:
    if isinstance(failure, RequestRefused):
        code, text = ExitCode.REFUSED, "refused"
    elif isinstance(failure, AnswerNotRun):
        code, text = ExitCode.UNREACHABLE, "not run"
    else:
        code, text = ExitCode.UNKNOWN, "unknown"
    detail = failure.problem.get("detail", "")
    fail(code, f"{text}: {failure}" + (f" ({detail})" if detail else ""))


@call_app.command
def complete(
    prompt: str,
    *,
    address: Address,
    model: str,
    max_tokens: int = 64,
    timeout_s: float = 30.0,
    request_class: str = "standard",
    json: Json = False,
) -> None:
    """Ask for a completion and print it as it comes.

    Parameters
    ----------
    prompt
        The prompt.
    """
    client, result = _client(address), CompletionResult()
    try:
        for text in client.stream(
            model, prompt, max_tokens, timeout_s, request_class, result
        ):
            if not json:
                print(text, end="")
                sys.stdout.flush()
    except ClientError as failure:
        _failed(failure)
    print_json(asdict(result)) if json else print()


@call_app.command
def service(
    name: str,
    path: str,
    *,
    address: Address,
    body: str = "",
    method: str = "POST",
    key: str | None = None,
    timeout_s: float = 10.0,
    json: Json = False,
) -> None:
    """Call a plain service; at most once unless the method may be repeated.

    Parameters
    ----------
    name
        The service.
    path
        Path within it.
    key
        Idempotency key; without one a ticket is used.
    """
    try:
        result = _client(address).call_service(
            name, path, body.encode() or None, method, timeout_s, key
        )
    except ClientError as failure:
        _failed(failure)
        return
    text = result.body.decode("utf-8", "replace")
    if json:
        print_json({"status": result.status, "key": result.key, "body": text})
    else:
        print(text)


@call_app.command
def defer(url: str, body: str, *, address: Address, json: Json = False) -> None:
    """Leave a request with the system and print its id.

    Parameters
    ----------
    url
        Such as ``/v1/completions``.
    body
        JSON body of the call.
    """
    try:
        result = _client(address).defer(url, orjson.loads(body))
    except orjson.JSONDecodeError as error:
        fail(ExitCode.USAGE, f"the body is not JSON: {error}")
    except ClientError as failure:
        _failed(failure)
        return
    print_json(result.document) if json else print(result.id)


@call_app.command
def fetch(
    request: str, *, address: Address, wait_s: float = 0.0, json: Json = False
) -> None:
    """Print where a deferred request stands.

    Parameters
    ----------
    request
        Its id.
    wait_s
        Seconds to wait for its end.
    """
    client = _client(address)
    try:
        found = client.wait_for(request, wait_s) if wait_s else client.fetch(request)
    except ClientError as failure:
        _failed(failure)
        return
    print_json(found.document) if json else print(found.status)
