"""Send the requests of a trace at their times and record the result of each."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import Enum

from poplarrelay.client import AnswerNotRun, CallerClient, ClientError
from poplarrelay.client.caller import CompletionResult
from poplarrelay.providers.http import CallFailed, JsonHttpClient
from poplarrelay.replay.target import ReplayTarget
from poplarrelay.replay.trace import (
    EventKind,
    Trace,
    TraceEvent,
    TraceRequest,
    TraceWork,
    make_prompt,
)
from poplarrelay.standins.batching import token_text
from poplarrelay.standins.service import call_name

__all__ = ["Replay", "ReplayOutcome", "RequestResult", "run_replay"]

WORKERS = 128


class ReplayOutcome(Enum):
    """Outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    FRAGMENT = "fragment"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class RequestResult:
    """Result of one request.

    Attributes
    ----------
    first_s : float or None
        Seconds until the first token, or until a service's answer, in trace time.
    run_name : str
        Name under which a service counts the runs of the call. Empty for completions
        and for calls that may be repeated.
    """

    request: TraceRequest
    word: ReplayOutcome
    first_s: float | None = None
    total_s: float = 0.0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    prompt_tokens: int = 0
    run_name: str = ""


@dataclass(slots=True)
class Replay:
    """Results of a replay.

    Attributes
    ----------
    runs : dict of str to int
        Number of runs that the services counted, by run name.
    """

    trace: Trace
    results: list[RequestResult] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    seconds: float = 0.0


class _RequestSender:
    def __init__(self, target: ReplayTarget, scale: float) -> None:
        self._target = target
        self._scale = scale
        self._thread_state = threading.local()

    def _client(self, team: str) -> CallerClient:
        """Return this thread's client of a team.

        A thread reuses its client, so the client keeps its node addresses.
        """
        clients = self._thread_state.__dict__.setdefault("clients", {})
        if team not in clients:
            token = self._target.tokens[team]
            clients[team] = CallerClient(self._target.callers, token)
        return clients[team]

    def send(self, request: TraceRequest) -> RequestResult:
        """Send a request and return its result."""
        started = time.monotonic()
        methods: dict[TraceWork, Callable[[TraceRequest], RequestResult]] = {
            TraceWork.COMPLETION: self._complete,
            TraceWork.SERVICE: self._call,
            TraceWork.DEFERRED: self._defer,
        }
        try:
            result = methods[request.work](request)
        except AnswerNotRun:
            result = RequestResult(request, ReplayOutcome.NOT_RUN)
        except ClientError:
            result = RequestResult(request, ReplayOutcome.UNKNOWN)
        result.total_s = (time.monotonic() - started) / self._scale
        if request.work is TraceWork.SERVICE:
            if not request.may_repeat:
                result.run_name = call_name("POST", "/confirm", _booking_body(request))
            if result.word is ReplayOutcome.ANSWERED:
                result.first_s = result.total_s
        return result

    def _complete(self, request: TraceRequest) -> RequestResult:
        prompt = make_prompt(request)
        result = CompletionResult()
        client = self._client(request.team)
        for _ in client.stream(
            request.name,
            prompt,
            request.answer_tokens,
            request.timeout_s * self._scale,
            request.request_class.value,
            result,
        ):
            pass
        first = result.first_token_s
        return RequestResult(
            request,
            _completion_outcome(request, prompt, result.text),
            None if first is None else first / self._scale,
            cached_tokens=result.usage.get("cached_tokens", 0),
            recomputed_tokens=result.usage.get("recomputed_tokens", 0),
            prompt_tokens=result.usage.get("prompt_tokens", 0),
        )

    def _call(self, request: TraceRequest) -> RequestResult:
        """Call a service: a lookup if the call may be repeated, else a booking."""
        may_repeat = request.may_repeat
        self._client(request.team).call_service(
            request.name,
            f"/seats?of={request.id}" if may_repeat else "/confirm",
            None if may_repeat else _booking_body(request),
            "GET" if may_repeat else "POST",
            request.timeout_s * self._scale,
            request_class=request.request_class.value,
        )
        return RequestResult(request, ReplayOutcome.ANSWERED)

    def _defer(self, request: TraceRequest) -> RequestResult:
        prompt = make_prompt(request)
        client = self._client(request.team)
        timeout = request.timeout_s * self._scale
        body = {
            "model": request.name,
            "prompt": prompt,
            "max_tokens": request.answer_tokens,
        }
        accepted = client.defer("/v1/completions", body, timeout)
        found = client.wait_for(accepted.id, timeout)
        if found.status != "answered":
            return RequestResult(request, ReplayOutcome.UNKNOWN)
        answer = found.document["response"]
        usage = answer["usage"]
        return RequestResult(
            request,
            _completion_outcome(request, prompt, answer["choices"][0]["text"]),
            cached_tokens=usage["cached_tokens"],
            recomputed_tokens=usage["recomputed_tokens"],
            prompt_tokens=usage["prompt_tokens"],
        )


def _booking_body(request: TraceRequest) -> bytes:
    return b'{"booking": "%b"}' % request.id.encode()


def _completion_outcome(request: TraceRequest, prompt: str, text: str) -> ReplayOutcome:
    """Return whether an answer is complete.

    The tokens of stand-in engines are a function of the prompt, so the expected text is
    known.
    """
    expected = "".join(token_text(prompt, i) for i in range(request.answer_tokens))
    return ReplayOutcome.ANSWERED if text == expected else ReplayOutcome.FRAGMENT


class _PlatformEvents:
    """Applies the platform events of a trace to the stand-ins."""

    def __init__(self, target: ReplayTarget, scale: float) -> None:
        self._target = target
        self._scale = scale
        self._http_client = JsonHttpClient(1.0)

    def _call(self, method: str, address: str | None, path: str, body: object) -> None:
        if address is None:
            return
        try:
            self._http_client.call(method, address, path, body, timeout_s=2.0)
        except CallFailed:
            # An endpoint that exits on request sends no answer.
            return

    def apply(self, event: TraceEvent) -> None:
        """Apply one event."""
        target = self._target
        if event.event is EventKind.NOTICE:
            notice = {
                "remaining_s": event.remaining_s * self._scale,
                "endpoint": event.endpoint,
                "failure_domain": event.failure_domain,
            }
            self._call("POST", target.cloud, "/notices", notice)
        elif event.event is EventKind.RECLAIM and event.endpoint:
            address = target.endpoints.get(event.endpoint)
            self._call("POST", address, "/exit", {})
            self._call("DELETE", target.hosts, f"/hosts/{event.endpoint}", None)
        elif event.event is EventKind.LOG_OUTAGE:
            self._call("PUT", target.log, "/faults", {"refuse": True})
            time.sleep(event.duration_s * self._scale)
            self._call("PUT", target.log, "/faults", {})
        elif event.event is EventKind.REFUSED_STARTS:
            self._call("PUT", target.cloud, "/faults", {"refuse_starts": True})
            time.sleep(event.duration_s * self._scale)
            self._call("PUT", target.cloud, "/faults", {})
        elif event.event is EventKind.PRICE and event.endpoint:
            body = {"price": event.price}
            self._call("POST", target.hosts, f"/prices/{event.endpoint}", body)

    def runs(self) -> dict[str, int]:
        """Return the number of runs that the services counted, by run name."""
        total: dict[str, int] = {}
        for address in self._target.endpoints.values():
            try:
                reply = self._http_client.call("GET", address, "/runs")
            except CallFailed:
                continue
            runs = reply.value.get("runs", {}) if reply.ok else {}
            for name, times in runs.items():
                total[name] = total.get(name, 0) + times
        return total


def run_replay(
    trace: Trace,
    target: ReplayTarget,
    scale: float = 1.0,
    progress: Callable[[int, int], None] | None = None,
) -> Replay:
    """Replay a trace and return the results.

    Parameters
    ----------
    trace : Trace
        Trace to replay.
    target : ReplayTarget
        Addresses and tokens of the running system.
    scale : float
        Seconds of the replay per second of the trace.
    progress : callable or None
        Called after each request with the number of ended requests and the number of
        all requests.
    """
    replay = Replay(trace)
    sender, platform = _RequestSender(target, scale), _PlatformEvents(target, scale)
    started = time.monotonic()
    lock = threading.Lock()

    def wait_until(moment: float) -> None:
        time.sleep(max(0.0, started + moment * scale - time.monotonic()))

    def send(request: TraceRequest) -> None:
        result = sender.send(request)
        with lock:
            replay.results.append(result)
            if progress is not None:
                progress(len(replay.results), len(trace.requests))

    def apply_events() -> None:
        with ThreadPoolExecutor(8) as pool:
            for event in trace.events:
                wait_until(event.at)
                pool.submit(platform.apply, event)

    event_thread = threading.Thread(target=apply_events)
    event_thread.start()
    with ThreadPoolExecutor(WORKERS) as pool:
        for request in trace.requests:
            wait_until(request.at)
            pool.submit(send, request)
    event_thread.join()
    replay.seconds = time.monotonic() - started
    replay.runs = platform.runs()
    return replay
