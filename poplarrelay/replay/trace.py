"""Read and write traces.

A trace is a file of JSON lines. The first line is the head, which holds the stated
targets. The other lines are requests and platform events.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Literal

import orjson
from pydantic import Field, TypeAdapter, ValidationError

from poplarrelay.exception import FieldError, SettingsError
from poplarrelay.settings import StrictModel, field_errors
from poplarrelay.tables.requests import RequestClass

__all__ = [
    "EventKind",
    "StatedOutcomes",
    "Trace",
    "TraceEvent",
    "TraceHead",
    "TraceRequest",
    "TraceWork",
    "make_prompt",
    "read_trace",
    "write_trace",
]

#: Share of a prompt that is the common prefix of its family.
SHARED_SHARE = 0.8


class TraceWork(Enum):
    """Kind of work that a request asks for."""

    COMPLETION = "completion"
    SERVICE = "service"
    DEFERRED = "deferred"


class EventKind(Enum):
    """Kind of platform event."""

    NOTICE = "notice"
    RECLAIM = "reclaim"
    LOG_OUTAGE = "log-outage"
    REFUSED_STARTS = "refused-starts"
    PRICE = "price"


class StatedOutcomes(StrictModel):
    """Targets of a replay: bounds on the outcomes of its requests.

    Attributes
    ----------
    in_time_share : dict
        Lowest share of requests that are answered in time, by request class.
    """

    max_doubled: int = 0
    max_lost: int = 0
    max_fragments: int = 0
    max_false_not_run: int = 0
    in_time_share: dict[RequestClass, float] = Field(default_factory=dict)


class TraceHead(StrictModel):
    """First line of a trace.

    Attributes
    ----------
    targets_s : dict
        Most seconds until the first token, or until a service's answer, by class.
    """

    kind: Literal["head"] = "head"
    name: str
    seconds: float = Field(gt=0)
    targets_s: dict[RequestClass, float]
    stated: StatedOutcomes = StatedOutcomes()


class TraceRequest(StrictModel):
    """Request of a caller.

    Attributes
    ----------
    at : float
        Time of sending, in seconds since the start of the trace.
    family : str
        Prompts of one family share a prefix; empty for no family.
    may_repeat : bool
        Whether the request can run twice without harm.
    """

    kind: Literal["request"] = "request"
    at: float = Field(ge=0)
    id: str
    team: str
    request_class: RequestClass
    work: TraceWork
    name: str
    prompt_tokens: int = 0
    family: str = ""
    answer_tokens: int = 0
    timeout_s: float = Field(gt=0)
    may_repeat: bool = True


class TraceEvent(StrictModel):
    """Event of the platform."""

    kind: Literal["event"] = "event"
    at: float = Field(ge=0)
    event: EventKind
    endpoint: str | None = None
    failure_domain: str | None = None
    remaining_s: float = 0.0
    duration_s: float = 0.0
    price: float = 0.0


class Trace(StrictModel):
    """Trace with its requests and its events in order of time."""

    head: TraceHead
    requests: tuple[TraceRequest, ...]
    events: tuple[TraceEvent, ...]


_LINE_ADAPTER: TypeAdapter[Any] = TypeAdapter(
    Annotated[TraceHead | TraceRequest | TraceEvent, Field(discriminator="kind")]
)


def read_trace(path: Path) -> Trace:
    """Read and check a trace.

    Raises
    ------
    SettingsError
        With every fault and the number of its line.
    """
    lines, faults = [], []
    try:
        content = path.read_bytes().splitlines()
    except OSError as error:
        fault = FieldError(str(path), error.strerror or "unreadable")
        raise SettingsError((fault,)) from None
    for number, line in enumerate(content, 1):
        try:
            lines.append(
                _LINE_ADAPTER.validate_python(orjson.loads(line), strict=False)
            )
        except orjson.JSONDecodeError as error:
            faults.append(FieldError(f"line {number}", error.msg))
        except ValidationError as error:
            faults += [
                FieldError(f"line {number}: {f.place}", f.problem)
                for f in field_errors(error)
            ]
    if not faults and (not lines or not isinstance(lines[0], TraceHead)):
        faults.append(FieldError("line 1", "a trace must begin with its head"))
    if faults:
        raise SettingsError(tuple(faults))
    requests = [line for line in lines if isinstance(line, TraceRequest)]
    events = [line for line in lines if isinstance(line, TraceEvent)]
    return Trace(
        head=lines[0],
        requests=tuple(sorted(requests, key=lambda r: r.at)),
        events=tuple(sorted(events, key=lambda e: e.at)),
    )


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace to a file as JSON lines."""
    lines: Iterable[StrictModel] = (trace.head, *trace.events, *trace.requests)
    with path.open("wb") as stream:
        for line in lines:
            stream.write(orjson.dumps(line.model_dump(mode="json")) + b"\n")


def make_prompt(request: TraceRequest) -> str:
    """Return the prompt of a request; prompts of one family share a prefix.

    Examples
    --------
    >>> line = TraceRequest(at=0, id="r1", team="t", request_class="urgent",
    ...     work="completion", name="m", prompt_tokens=10, family="f", timeout_s=1)
    >>> make_prompt(line).split()[:2]
    ['f-0', 'f-1']
    >>> len(make_prompt(line).split())
    10
    """
    shared = int(request.prompt_tokens * SHARED_SHARE) if request.family else 0
    words = [f"{request.family}-{index}" for index in range(shared)]
    words += [f"{request.id}-{index}" for index in range(shared, request.prompt_tokens)]
    return " ".join(words)
