"""Prompts in line at engines, as one node keeps count of them for all."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from statistics import median
from typing import Any

from poplarrelay.entry.requests import PromptPart
from poplarrelay.identifiers import EndpointId, RequestId

__all__ = [
    "Backlog",
    "BacklogTable",
    "BacklogView",
    "Placement",
    "PrefillSpeed",
    "PromptEnd",
]

#: First events over which an engine's speed is taken, and those needed to know it. A
#: freeze or a grey moment spoils some of them, which the median leaves out.
SPEED_SAMPLES = 15
LEAST_SAMPLES = 3
#: Prompt tokens of work below which the time to a first event tells more of the path
#: and of the batch than of the engine's speed.
LEAST_WORK = 1_000
#: Speeds in tokens a second beyond which a sample is absurd: a clock that stood still,
#: or a prompt that was kept after all.
LEAST_SPEED, MOST_SPEED = 500.0, 2_000_000.0
#: Seconds after which a prompt whose node has said nothing more is taken out of line:
#: callers of streams leave sooner than that.
FORGET_S = 6.0
#: Seconds for which nobody goes to an engine that one node has found gone, unless no
#: other has room. Then one caller's request finds out; the list of endpoints mostly
#: tells before.
DOWN_S = 1.5
#: Prompt tokens placed at an engine since a part's last use after which the part is
#: taken for evicted. Engines' memories differ and none is told; taking a part for kept
#: costs its reading, taking it for evicted costs a copy of it elsewhere.
KEPT_TOKENS = 400_000


class PromptEnd(Enum):
    """Why a prompt is no longer in line."""

    BEGAN = "began"
    NOT_BEGUN = "not begun"
    ENGINE_GONE = "engine gone"


@dataclass(frozen=True, slots=True)
class Placement:
    """A prompt that a node has sent to an engine.

    Attributes
    ----------
    tokens : int
        What of it the engine has to read.
    parts : tuple of str
        Ids of its parts that others may share, in order.
    whole_tokens : int
        Its length.
    """

    endpoint: EndpointId
    request: RequestId
    tokens: int
    parts: tuple[str, ...] = ()
    whole_tokens: int = 0

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        parts = list(self.parts)
        return [self.endpoint, self.request, self.tokens, parts, self.whole_tokens]

    @classmethod
    def decode(cls, raw: Sequence[Any]) -> Placement:
        """Return the placement that a form for JSON holds; raises `ValueError`."""
        endpoint, request, tokens, parts, whole_tokens = raw
        return cls(
            EndpointId(str(endpoint)),
            RequestId(str(request)),
            max(0, int(tokens)),
            tuple(str(part) for part in parts),
            max(0, int(whole_tokens)),
        )


@dataclass(frozen=True, slots=True)
class BacklogView:
    """What is in line at an engine, for one node that asks.

    Attributes
    ----------
    tokens : int
        Prompt tokens of other nodes that the engine has to read first.
    speed : float
        Prompt tokens that it reads in a second; 0 if that is not known.
    cached_parts : int
        How many of the prompt's shared parts, from the first on, it keeps.
    down : bool
        Whether a node has lately found it gone.
    """

    endpoint: EndpointId
    tokens: int
    speed: float
    cached_parts: int
    down: bool = False

    def encode(self) -> list[Any]:
        """Return a form for JSON."""
        return [self.endpoint, self.tokens, self.speed, self.cached_parts, self.down]

    @classmethod
    def decode(cls, raw: Sequence[Any]) -> BacklogView:
        """Return the view that a form for JSON holds; raises `ValueError`."""
        endpoint, tokens, speed, cached_parts, down = raw
        return cls(
            EndpointId(str(endpoint)),
            max(0, int(tokens)),
            max(0.0, float(speed)),
            int(cached_parts),
            bool(down),
        )

    def cached_tokens_at(self, prefix: Sequence[PromptPart]) -> int:
        """Return how much of a prompt's shared parts the engine keeps."""
        return sum(part.tokens for part in prefix[:-1][: self.cached_parts])


@dataclass(slots=True)
class PrefillSpeed:
    """Prompt tokens a second that an engine reads, from its first events."""

    samples: deque[float] = field(default_factory=lambda: deque(maxlen=SPEED_SAMPLES))

    def note(self, work: float, took_s: float) -> None:
        """Note the tokens up to a first event, and the time that it took."""
        if work < LEAST_WORK or took_s <= 0:
            return
        speed = work / took_s
        if LEAST_SPEED <= speed <= MOST_SPEED:
            self.samples.append(speed)

    @property
    def tokens_per_s(self) -> float:
        """Return the speed, 0 before it is known."""
        return median(self.samples) if len(self.samples) >= LEAST_SAMPLES else 0.0


@dataclass(slots=True)
class _Waiting:
    """A prompt in line; `work` are the tokens up to its first event."""

    node: str
    tokens: int
    work: float
    placed_at: float


@dataclass(slots=True)
class Backlog:
    """The prompts in line at one engine.

    Attributes
    ----------
    down_until : float
        Monotonic time until which the engine counts as gone.
    """

    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    down_until: float = 0.0
    _waiting: dict[RequestId, _Waiting] = field(default_factory=dict)
    _first_since: float = 0.0
    _parts: dict[str, int] = field(default_factory=dict)
    _placed_tokens: int = 0

    def tokens(self, now: float, but_node: str = "") -> float:
        """Return the tokens in line, less what is read of the first prompt."""
        total = 0.0
        for index, prompt in enumerate(self._waiting.values()):
            if prompt.node == but_node:
                continue
            left = float(prompt.tokens)
            if index == 0:
                read = self.speed.tokens_per_s * (now - self._first_since)
                left = max(0.0, left - read)
            total += left
        return total

    def add_prompt(self, node: str, placed: Placement, now: float) -> None:
        """Add a prompt to the line."""
        self._drop_stale(now)
        if not self._waiting:
            self._first_since = now
        work = self.tokens(now) + placed.tokens
        self._waiting[placed.request] = _Waiting(node, placed.tokens, work, now)
        self._placed_tokens += placed.whole_tokens
        for part in placed.parts:
            self._parts[part] = self._placed_tokens

    def remove_prompt(self, request: RequestId, end: PromptEnd, now: float) -> None:
        """Take a prompt out of line, and learn from what became of it."""
        if end is PromptEnd.ENGINE_GONE:
            self.down_until = now + DOWN_S
        first = next(iter(self._waiting), None)
        prompt = self._waiting.pop(request, None)
        if prompt is None:
            return
        if request == first:
            self._first_since = now
        if end is PromptEnd.BEGAN:
            self.down_until = 0.0
            self.speed.note(prompt.work, now - prompt.placed_at)

    def _drop_stale(self, now: float) -> None:
        for request, prompt in list(self._waiting.items()):
            if now - prompt.placed_at > FORGET_S:
                self.remove_prompt(request, PromptEnd.NOT_BEGUN, now)

    def count_cached(self, parts: Iterable[str]) -> int:
        """Return how many of a prompt's shared parts are kept, from the first on."""
        oldest = self._placed_tokens - KEPT_TOKENS
        cached = 0
        for part in parts:
            used = self._parts.get(part)
            if used is None or used < oldest:
                break
            cached += 1
        return cached

    def forget(self, now: float) -> None:
        """Drop prompts that nobody tells of any more, and parts taken for evicted."""
        self._drop_stale(now)
        oldest = self._placed_tokens - KEPT_TOKENS
        self._parts = {
            part: used for part, used in self._parts.items() if used > oldest
        }


@dataclass(slots=True)
class BacklogTable:
    """The lines at the engines that this node keeps count of."""

    backlogs: dict[EndpointId, Backlog] = field(default_factory=dict)

    def add_prompt(self, node: str, placed: Placement, now: float) -> None:
        """Add a node's prompt to an engine's line."""
        self.backlogs.setdefault(placed.endpoint, Backlog()).add_prompt(
            node, placed, now
        )

    def remove_prompt(
        self, endpoint: EndpointId, request: RequestId, end: PromptEnd, now: float
    ) -> None:
        """Take a prompt out of an engine's line."""
        backlog = self.backlogs.get(endpoint)
        if backlog is not None:
            backlog.remove_prompt(request, end, now)

    def view(
        self, node: str, endpoint: EndpointId, parts: Sequence[str], now: float
    ) -> BacklogView:
        """Return an engine's line as a node that asks needs it."""
        backlog = self.backlogs.get(endpoint)
        if backlog is None:
            return BacklogView(endpoint, 0, 0.0, 0)
        return BacklogView(
            endpoint,
            round(backlog.tokens(now, but_node=node)),
            round(backlog.speed.tokens_per_s),
            backlog.count_cached(parts),
            now < backlog.down_until,
        )

    def forget(self, known: Iterable[EndpointId], now: float) -> None:
        """Drop the lines of endpoints that are gone, and what is too old elsewhere."""
        listed = set(known)
        for endpoint in [e for e in self.backlogs if e not in listed]:
            del self.backlogs[endpoint]
        for backlog in self.backlogs.values():
            backlog.forget(now)
