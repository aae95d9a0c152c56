"""Queued prompts at engines, counted by one coordinator node per engine."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from statistics import median
from typing import Any

from poplarrelay.entry.requests import PromptPart
from poplarrelay.entry.scheduling.occupancy import Load, Occupancy
from poplarrelay.identifiers import EndpointId, RequestId

__all__ = [
    "Backlog",
    "BacklogTable",
    "BacklogView",
    "Placement",
    "PrefillSpeed",
    "PromptEnd",
]

#: First events from which an engine's prefill speed is computed: at most and at least.
#: The speed is their median, so a few outliers, such as after a pause of the process,
#: have no effect.
MAX_SPEED_SAMPLES = 15
MIN_SPEED_SAMPLES = 3
#: Prompt tokens below which a sample is ignored: the network and the other requests in
#: the batch then determine the time to a first event more than the engine's speed.
MIN_SAMPLE_TOKENS = 1_000
#: Range of plausible speeds, in tokens per second. Samples outside it come from a clock
#: that stopped or from a prompt that was cached although it counted as uncached.
MIN_SPEED, MAX_SPEED = 500.0, 2_000_000.0
#: Seconds after which a prompt is removed from the queue if its node has not reported
#: its end. Callers of streams stop waiting sooner than that.
PROMPT_EXPIRY_S = 6.0
#: Seconds for which no node uses an engine that one node has found gone, unless no
#: other engine has free slots. After that time, a caller's request tries the engine
#: again. The list of endpoints usually shows the loss before.
DOWN_S = 1.5
#: A shared part counts as evicted when this many prompt tokens have been placed at the
#: engine since its last use. Engines have caches of different sizes and do not report
#: them. If an evicted part counts as cached, its prefill is repeated. If a cached part
#: counts as evicted, another engine gets a copy of it.
EVICTION_TOKENS = 400_000
#: Most shared parts that are remembered for one engine. Prompts can state parts without
#: tokens, which evict nothing.
MAX_CACHED_PARTS = 4096


class PromptEnd(Enum):
    """Reason why a prompt is no longer queued."""

    BEGAN = "began"
    NOT_BEGUN = "not begun"
    ENGINE_GONE = "engine gone"


@dataclass(frozen=True, slots=True)
class Placement:
    """A prompt that a node has sent to an engine.

    Attributes
    ----------
    tokens : int
        Uncached tokens of the prompt.
    parts : tuple of str
        Ids of the parts that other prompts can share, in order.
    prompt_tokens : int
        Length of the prompt in tokens.
    """

    endpoint: EndpointId
    request: RequestId
    tokens: int
    parts: tuple[str, ...] = ()
    prompt_tokens: int = 0

    def encode(self) -> list[Any]:
        """Return the placement as a list of JSON values."""
        parts = list(self.parts)
        return [self.endpoint, self.request, self.tokens, parts, self.prompt_tokens]

    @classmethod
    def decode(cls, raw: Sequence[Any]) -> Placement:
        """Return the placement from its JSON values; raises `ValueError`."""
        endpoint, request, tokens, parts, prompt_tokens = raw
        return cls(
            EndpointId(str(endpoint)),
            RequestId(str(request)),
            max(0, int(tokens)),
            tuple(str(part) for part in parts),
            max(0, int(prompt_tokens)),
        )


@dataclass(frozen=True, slots=True)
class BacklogView:
    """State of an engine's queue, as sent to one node on request.

    Attributes
    ----------
    tokens : int
        Queued prompt tokens of nodes other than the requesting one.
    speed : float
        Prefill speed of the engine in tokens per second; 0 if it is not known.
    cached_parts : int
        Number of the prompt's shared parts, counted from the first, that the engine
        has cached.
    down : bool
        Whether a node has found the engine gone within the last `DOWN_S` seconds.
    load : Load or None
        Requests at the engine; None if the coordinator does not count them. It is sent
        beside the view, since earlier versions accept no further value in the view.
    """

    endpoint: EndpointId
    tokens: int
    speed: float
    cached_parts: int
    down: bool = False
    load: Load | None = None

    def encode(self) -> list[Any]:
        """Return the view as a list of JSON values."""
        return [self.endpoint, self.tokens, self.speed, self.cached_parts, self.down]

    @classmethod
    def decode(cls, raw: Sequence[Any]) -> BacklogView:
        """Return the view from its JSON values; raises `ValueError`."""
        endpoint, tokens, speed, cached_parts, down = raw
        return cls(
            EndpointId(str(endpoint)),
            max(0, int(tokens)),
            max(0.0, float(speed)),
            int(cached_parts),
            bool(down),
        )

    def cached_tokens_at(self, prefix: Sequence[PromptPart]) -> int:
        """Return the number of cached tokens among a prompt's shared parts."""
        return sum(part.tokens for part in prefix[:-1][: self.cached_parts])


@dataclass(slots=True)
class PrefillSpeed:
    """Prefill speed of an engine, measured by the times to first events.

    Attributes
    ----------
    samples : deque of float
        The last measured speeds in tokens per second.
    """

    samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SPEED_SAMPLES)
    )

    def note(self, tokens_to_first_event: float, took_s: float) -> None:
        """Add a sample: the tokens processed up to a first event, and the time taken.

        Parameters
        ----------
        tokens_to_first_event : float
            Prompt tokens processed from the sending of a prompt to its first event.
        took_s : float
            Seconds from the sending of the prompt to its first event.
        """
        if tokens_to_first_event < MIN_SAMPLE_TOKENS or took_s <= 0:
            return
        speed = tokens_to_first_event / took_s
        if MIN_SPEED <= speed <= MAX_SPEED:
            self.samples.append(speed)

    @property
    def tokens_per_s(self) -> float:
        """Return the speed, 0 if there are too few samples."""
        return median(self.samples) if len(self.samples) >= MIN_SPEED_SAMPLES else 0.0


@dataclass(slots=True)
class _QueuedPrompt:
    """A queued prompt.

    Attributes
    ----------
    node : str
        The node that placed the prompt.
    tokens : int
        Uncached tokens of the prompt.
    tokens_to_first_event : float
        Tokens to process before the prompt's first event: its own uncached tokens and
        those queued before it.
    placed_at : float
        Monotonic time of the placement.
    parts : tuple of str
        Ids of its shared parts.
    placed_tokens : int
        Total length of the prompts placed at the engine, up to this one.
    """

    node: str
    tokens: int
    tokens_to_first_event: float
    placed_at: float
    parts: tuple[str, ...]
    placed_tokens: int


@dataclass(slots=True)
class Backlog:
    """The queued prompts of one engine.

    Attributes
    ----------
    down_until : float
        Monotonic time until which the engine counts as gone.
    occupancy : Occupancy
        Requests at the engine, queued and running.
    _queue : dict of RequestId to _QueuedPrompt
        The queued prompts in the order of their placement.
    _prefill_began_at : float
        Monotonic time at which the prefill of the first queued prompt began.
    _part_last_used : dict of str to int
        Value of `_placed_tokens` at the last start of a prompt with each shared part.
    _placed_tokens : int
        Total length of all prompts that have been placed at the engine.
    """

    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    down_until: float = 0.0
    occupancy: Occupancy = field(default_factory=Occupancy)
    _queue: dict[RequestId, _QueuedPrompt] = field(default_factory=dict)
    _prefill_began_at: float = 0.0
    _part_last_used: dict[str, int] = field(default_factory=dict)
    _placed_tokens: int = 0

    def tokens(self, now: float, excluded_node: str = "") -> float:
        """Return the queued tokens without the processed ones of the first prompt.

        Parameters
        ----------
        now : float
            Monotonic time.
        excluded_node : str
            Node whose prompts are not counted.
        """
        total = 0.0
        for index, prompt in enumerate(self._queue.values()):
            if prompt.node == excluded_node:
                continue
            remaining = float(prompt.tokens)
            if index == 0:
                processed = self.speed.tokens_per_s * (now - self._prefill_began_at)
                remaining = max(0.0, remaining - processed)
            total += remaining
        return total

    def add_prompt(self, node: str, placement: Placement, now: float) -> None:
        """Add a prompt to the queue, unless it is there already."""
        self._drop_stale(now)
        if placement.request in self._queue:
            return
        if not self._queue:
            self._prefill_began_at = now
        tokens_to_first_event = self.tokens(now) + placement.tokens
        self._placed_tokens += placement.prompt_tokens
        self._queue[placement.request] = _QueuedPrompt(
            node,
            placement.tokens,
            tokens_to_first_event,
            now,
            placement.parts,
            self._placed_tokens,
        )

    def remove_prompt(self, request: RequestId, end: PromptEnd, now: float) -> None:
        """Remove a prompt and update the engine's speed and its `down_until`."""
        if end is PromptEnd.ENGINE_GONE:
            self.down_until = now + DOWN_S
        first = next(iter(self._queue), None)
        prompt = self._queue.pop(request, None)
        if prompt is None:
            return
        if request == first:
            self._prefill_began_at = now
        if end is PromptEnd.BEGAN:
            self.down_until = 0.0
            self.speed.note(prompt.tokens_to_first_event, now - prompt.placed_at)
            self._note_cached(prompt)

    def _note_cached(self, prompt: _QueuedPrompt) -> None:
        for part in prompt.parts:
            self._part_last_used.pop(part, None)
            self._part_last_used[part] = self._placed_tokens
        while len(self._part_last_used) > MAX_CACHED_PARTS:
            del self._part_last_used[next(iter(self._part_last_used))]

    def has_requests(self, now: float) -> bool:
        """Return whether requests are queued or running at the engine."""
        return bool(self._queue) or self.occupancy.total(now) > 0

    def _drop_stale(self, now: float) -> None:
        for request, prompt in list(self._queue.items()):
            if now - prompt.placed_at > PROMPT_EXPIRY_S:
                # The report of its start can have been lost.
                self._note_cached(prompt)
                self.remove_prompt(request, PromptEnd.NOT_BEGUN, now)

    def count_cached(self, parts: Iterable[str]) -> int:
        """Return how many shared parts, counted from the first, are cached.

        Parts of queued prompts count, since they will be. Prompts that do not begin
        leave nothing: a node without a path would make engines look warm to all nodes.
        """
        oldest = self._placed_tokens - EVICTION_TOKENS
        queued = {}
        for prompt in self._queue.values():
            queued.update(dict.fromkeys(prompt.parts, prompt.placed_tokens))
        cached = 0
        for part in parts:
            last_used = queued.get(part, self._part_last_used.get(part))
            if last_used is None or last_used < oldest:
                break
            cached += 1
        return cached

    def forget(self, now: float) -> None:
        """Drop what has expired, and parts that count as evicted."""
        self._drop_stale(now)
        self.occupancy.forget(now)
        oldest = self._placed_tokens - EVICTION_TOKENS
        self._part_last_used = {
            part: last_used
            for part, last_used in self._part_last_used.items()
            if last_used > oldest
        }


@dataclass(slots=True)
class BacklogTable:
    """The queues of the engines that this node coordinates."""

    backlogs: dict[EndpointId, Backlog] = field(default_factory=dict)

    def add_prompt(self, node: str, placement: Placement, now: float) -> None:
        """Add a node's prompt to an engine's queue."""
        self.backlogs.setdefault(placement.endpoint, Backlog()).add_prompt(
            node, placement, now
        )

    def remove_prompt(
        self, endpoint: EndpointId, request: RequestId, end: PromptEnd, now: float
    ) -> None:
        """Remove a prompt from an engine's queue."""
        backlog = self.backlogs.get(endpoint)
        if backlog is not None:
            backlog.remove_prompt(request, end, now)

    def report_requests(
        self, node: str, counts: Mapping[EndpointId, int], now: float
    ) -> None:
        """Set the number of a node's requests at some engines."""
        for endpoint, count in counts.items():
            backlog = self.backlogs.setdefault(endpoint, Backlog())
            backlog.occupancy.report(node, count, now)

    def view(
        self, node: str, endpoint: EndpointId, parts: Sequence[str], now: float
    ) -> BacklogView:
        """Return the state of an engine's queue for a requesting node.

        Parameters
        ----------
        node : str
            The requesting node. It counts its own prompts, so they are left out.
        endpoint : EndpointId
            The engine.
        parts : sequence of str
            Ids of the shared parts of the prompt to be placed, in order.
        now : float
            Monotonic time.
        """
        backlog = self.backlogs.get(endpoint)
        if backlog is None:
            return BacklogView(endpoint, 0, 0.0, 0, load=Load(0, 0.0))
        return BacklogView(
            endpoint,
            round(backlog.tokens(now, excluded_node=node)),
            round(backlog.speed.tokens_per_s),
            backlog.count_cached(parts),
            now < backlog.down_until,
            backlog.occupancy.load(now, excluded_node=node),
        )

    def forget(self, known: Iterable[EndpointId], now: float) -> None:
        """Drop old entries, and the queues of unlisted endpoints without requests.

        Notes
        -----
        The list of a coordinator can be older than that of a node which sends prompts.
        """
        listed = set(known)
        for backlog in self.backlogs.values():
            backlog.forget(now)
        self.backlogs = {
            endpoint: backlog
            for endpoint, backlog in self.backlogs.items()
            if endpoint in listed or backlog.has_requests(now)
        }
