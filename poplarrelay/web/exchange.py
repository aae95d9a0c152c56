"""Functions for CherryPy handlers that read requests and write JSON responses."""

from __future__ import annotations

from typing import Any, TypeVar

import cherrypy
import orjson
from pydantic import BaseModel, ValidationError

from poplarrelay.exception import BodyTooLarge, CallerError, MalformedBody, MemoryFull
from poplarrelay.settings import field_errors
from poplarrelay.web.bodies import BODIES
from poplarrelay.web.listener import BODY_RECEIVED, CLOSE_CONNECTION
from poplarrelay.web.problems import Problem, ProblemResponse, problem_from_error

__all__ = [
    "answer_json",
    "close_connection",
    "header",
    "parse_body",
    "read_body",
    "read_json",
    "reject",
    "require_method",
]

_READ_BYTES = 65_536

ModelT = TypeVar("ModelT", bound=BaseModel)


def header(name: str) -> str | None:
    """Return the value of a request header, None if it is absent."""
    value = cherrypy.request.headers.get(name)
    return None if value is None else str(value)


def reject(error: CallerError) -> ProblemResponse:
    """Return the exception that answers an unacceptable request."""
    return ProblemResponse(problem_from_error(error))


def require_method(*allowed: str) -> None:
    """Answer 405 unless the request uses one of the allowed methods."""
    if cherrypy.request.method not in allowed:
        cherrypy.response.headers["Allow"] = ", ".join(allowed)
        raise ProblemResponse(
            Problem(
                405,
                "method-not-allowed",
                "The method is not allowed here",
                outcome="not_run",
            )
        )


def read_body(limit: int) -> bytes:
    """Return the request's body.

    Raises
    ------
    BodyTooLarge
        If the body or its ``Content-Length`` exceeds `limit` bytes.
    MalformedBody
        If the sender stops before the end of the body.
    MemoryFull
        If the bodies of other requests leave no room for it.

    Notes
    -----
    The body counts until the end of the request.
    """
    length = header("Content-Length")
    if length is not None and (not length.isdigit() or int(length) > limit):
        close_connection()
        raise BodyTooLarge(f"at most {limit} bytes are taken")
    chunked = (header("Transfer-Encoding") or "").lower() == "chunked"
    if length is None and not chunked:
        return b""
    parts: list[bytes] = []
    size = 0
    cherrypy.request.hooks.attach("on_end_request", lambda: BODIES.free(size))
    try:
        while chunk := cherrypy.request.rfile.read(_READ_BYTES):
            if size + len(chunk) > limit:
                raise BodyTooLarge(f"at most {limit} bytes are taken")
            BODIES.hold(len(chunk))
            size += len(chunk)
            parts.append(chunk)
    except (BodyTooLarge, MemoryFull):
        close_connection()
        raise
    except (OSError, ValueError) as error:
        close_connection()
        raise MalformedBody("the body did not arrive whole") from error
    if length is not None and size != int(length):
        close_connection()
        raise MalformedBody("the body did not arrive whole")
    note_received = cherrypy.request.wsgi_environ.get(BODY_RECEIVED)
    if note_received is not None:
        note_received()
    return b"".join(parts)


def close_connection() -> None:
    """Close the connection after the response, without reading the rest of the body."""
    close = cherrypy.request.wsgi_environ.get(CLOSE_CONNECTION)
    if close is not None:
        close()


def parse_body(body: bytes, model: type[ModelT]) -> ModelT:
    """Return a JSON body as a validated model.

    Raises
    ------
    MalformedBody
        If the body has faults. The message lists all of them, without the values.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise MalformedBody("the body is not JSON") from None
    try:
        return model.model_validate(value)
    except ValidationError as error:
        problems = "; ".join(str(fault) for fault in field_errors(error))
        raise MalformedBody(problems) from None


def read_json(model: type[ModelT], limit: int) -> ModelT:
    """Return the request's body as a validated model, or answer 4xx."""
    try:
        return parse_body(read_body(limit), model)
    except CallerError as error:
        raise reject(error) from None


def answer_json(value: Any, status: int = 200) -> bytes:
    """Set the response's status and type, and return the value as its JSON body."""
    body = orjson.dumps(value)
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return body
