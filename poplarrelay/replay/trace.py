"""Traces: JSON lines with requests and platform events, stated outcomes first."""

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
    "Stated",
    "Trace",
    "TraceEvent",
    "TraceHead",
    "TraceRequest",
    "TraceWork",
    "make_prompt",
    "read_trace",
    "write_trace",
]

#: Share of a prompt that all prompts of its family have in common.
SHARED_SHARE = 0.8


class TraceWork(Enum):
    """What kind of request a line stands for."""

    COMPLETION = "completion"
    SERVICE = "service"
    DEFERRED = "deferred"


class EventKind(Enum):
    """What the platform does."""

    NOTICE = "notice"
    RECLAIM = "reclaim"
    LOG_OUTAGE = "log-outage"
    REFUSED_STARTS = "refused-starts"
    PRICE = "price"


class Stated(StrictModel):
    """Outcomes that a replay must show.

    Attributes
    ----------
    in_time_share : dict
        By class, the least share of answers in time.
    """

    max_doubled: int = 0
    max_lost: int = 0
    max_fragments: int = 0
    max_false_not_run: int = 0
    in_time_share: dict[RequestClass, float] = Field(default_factory=dict)


class TraceHead(StrictModel):
    """First line of a trace; `targets_s` bounds first tokens and answers by class."""

    kind: Literal["head"] = "head"
    name: str
    seconds: float = Field(gt=0)
    targets_s: dict[RequestClass, float]
    stated: Stated = Stated()


class TraceRequest(StrictModel):
    """A caller's request.

    Attributes
    ----------
    at : float
        Seconds since the start.
    family : str
        Prompts of one family share their head.
    may_repeat : bool
        Whether running it twice does no harm.
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
    """Something that the platform does."""

    kind: Literal["event"] = "event"
    at: float = Field(ge=0)
    event: EventKind
    endpoint: str | None = None
    failure_domain: str | None = None
    remaining_s: float = 0.0
    duration_s: float = 0.0
    price: float = 0.0


class Trace(StrictModel):
    """A whole trace, in order of time."""

    head: TraceHead
    requests: tuple[TraceRequest, ...]
    events: tuple[TraceEvent, ...]


_LINE: TypeAdapter[Any] = TypeAdapter(
    Annotated[TraceHead | TraceRequest | TraceEvent, Field(discriminator="kind")]
)


def read_trace(path: Path) -> Trace:
    """Read and check a trace.

    Raises
    ------
    SettingsError
        With every fault, and the line that it is in.
    """
    lines, faults = [], []
    try:
        content = path.read_bytes().splitlines()
    except OSError as error:
        fault = FieldError(str(path), error.strerror or "unreadable")
        raise SettingsError((fault,)) from None
    for number, line in enumerate(content, 1):
        try:
            lines.append(_LINE.validate_python(orjson.loads(line), strict=False))
        except orjson.JSONDecodeError as error:
            faults.append(FieldError(f"line {number}", error.msg))
        except ValidationError as error:
            faults += [
                FieldError(f"line {number}: {f.place}", f.problem)
                for f in field_errors(error)
            ]
    if not faults and (not lines or not isinstance(lines[0], TraceHead)):
        faults.append(FieldError("line 1", "a trace begins with its head"))
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
    """Write a trace."""
    lines: Iterable[StrictModel] = (trace.head, *trace.events, *trace.requests)
    with path.open("wb") as stream:
        for line in lines:
            stream.write(orjson.dumps(line.model_dump(mode="json")) + b"\n")


def make_prompt(request: TraceRequest) -> str:
    """Return a prompt of the stated length that shares its head with its family.

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
