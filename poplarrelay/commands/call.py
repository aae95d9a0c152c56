"""``poplarrelay call``: send requests as a caller."""

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

call_app = App(name="call", help="Send a request as a caller.")

Address = Annotated[
    str,
    Parameter(help="Address for callers at any node; separate several with commas."),
]
Json = Annotated[bool, Parameter(name="--json", help="Print JSON.", negative="")]


def _caller_client(address: str) -> CallerClient:
    token = os.environ.get(TOKEN_VARIABLE)
    if not token:
        fail(ExitCode.USAGE, f"the team's token is missing: set {TOKEN_VARIABLE}")
    return CallerClient(tuple(address.split(",")), token)


def _exit_for_error(failure: ClientError) -> None:
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
    """Request a completion and print its text as it arrives.

    Parameters
    ----------
    prompt
        Text of the prompt.
    """
    client, result = _caller_client(address), CompletionResult()
    try:
        for text in client.stream(
            model, prompt, max_tokens, timeout_s, request_class, result
        ):
            if not json:
                print(text, end="")
                sys.stdout.flush()
    except ClientError as failure:
        _exit_for_error(failure)
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
    """Call a service; it runs the call at most once unless the method is repeatable.

    Parameters
    ----------
    name
        Name of the service.
    path
        Path of the call within the service.
    key
        Idempotency key; without a key, a ticket identifies the call.
    """
    try:
        result = _caller_client(address).call_service(
            name, path, body.encode() or None, method, timeout_s, key
        )
    except ClientError as failure:
        _exit_for_error(failure)
        return
    text = result.body.decode("utf-8", "replace")
    if json:
        print_json({"status": result.status, "key": result.key, "body": text})
    else:
        print(text)


@call_app.command
def defer(url: str, body: str, *, address: Address, json: Json = False) -> None:
    """Defer a request: the system runs it later. Print the request's id.

    Parameters
    ----------
    url
        Path of the request, such as ``/v1/completions``.
    body
        JSON body of the request.
    """
    try:
        result = _caller_client(address).defer(url, orjson.loads(body))
    except orjson.JSONDecodeError as error:
        fail(ExitCode.USAGE, f"the body is not JSON: {error}")
    except ClientError as failure:
        _exit_for_error(failure)
        return
    print_json(result.document) if json else print(result.id)


@call_app.command
def fetch(
    request: str, *, address: Address, wait_s: float = 0.0, json: Json = False
) -> None:
    """Print the state of a deferred request.

    Parameters
    ----------
    request
        Id of the request.
    wait_s
        Longest time to wait until the request ends, in seconds.
    """
    client = _caller_client(address)
    try:
        deferred_request = (
            client.wait_for(request, wait_s) if wait_s else client.fetch(request)
        )
    except ClientError as failure:
        _exit_for_error(failure)
        return
    print_json(deferred_request.document) if json else print(deferred_request.status)
