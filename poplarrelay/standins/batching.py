"""Continuous batching and a prefix cache, as a model engine has them."""

from __future__ import annotations

import hashlib
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from queue import SimpleQueue

__all__ = [
    "Batch",
    "BatchLimits",
    "PrefixCache",
    "Sequence",
    "SequenceEvent",
    "token_text",
    "tokenize",
]

#: Tokens of a block of the prefix cache.
BLOCK_TOKENS = 16


def tokenize(prompt: str) -> list[str]:
    """Return the prompt's tokens: its words."""
    return prompt.split()


def token_text(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    A pure function, so that any wrong, missing or doubled token shows.

    Examples
    --------
    >>> token_text("a", 0) == token_text("a", 0)
    True
    >>> token_text("a", 0) == token_text("a", 1)
    False
    """
    digest = hashlib.blake2b(f"{index}/{prompt}".encode(), digest_size=3)
    return digest.hexdigest() + " "


class PrefixCache:
    """Heads of prompts whose computation is kept, the least used ones dropped.

    Parameters
    ----------
    blocks : int
        Blocks that fit.

    Examples
    --------
    >>> cache = PrefixCache(blocks=10)
    >>> tokens = ["w"] * 40
    >>> cache.find("team", tokens)
    0
    >>> _ = cache.add("team", tokens)
    >>> cache.find("team", tokens), cache.find("other", tokens)
    (32, 0)
    """

    def __init__(self, blocks: int) -> None:
        self._blocks = blocks
        self._kept: OrderedDict[str, None] = OrderedDict()

    @staticmethod
    def _names(namespace: str, tokens: list[str]) -> list[str]:
        digest = hashlib.blake2b(namespace.encode(), digest_size=12)
        names = []
        for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
            digest.update(" ".join(tokens[end - BLOCK_TOKENS : end]).encode())
            names.append(digest.copy().hexdigest())
        return names

    def find(self, namespace: str, tokens: list[str]) -> int:
        """Return how many tokens at the head are kept."""
        found = 0
        for name in self._names(namespace, tokens):
            if name not in self._kept:
                break
            self._kept.move_to_end(name)
            found += BLOCK_TOKENS
        return found

    def add(self, namespace: str, tokens: list[str]) -> list[tuple[str, str]]:
        """Keep a prompt; return the cache events."""
        events = []
        for name in self._names(namespace, tokens):
            if name not in self._kept:
                events.append(("added", name))
            self._kept[name] = None
            self._kept.move_to_end(name)
        while len(self._kept) > self._blocks:
            name, _ = self._kept.popitem(last=False)
            events.append(("removed", name))
        return events


class SequenceEvent(Enum):
    """What a sequence's reader is told besides tokens."""

    FINISHED = "finished"
    EXPORTED = "exported"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Sequence:
    """One attempt within the engine.

    Attributes
    ----------
    next_index : int
        Index of the next token.
    prefill_left : float
        Prompt tokens that are still to be computed.
    events : SimpleQueue
        Indices of tokens as ints, and at the end a `SequenceEvent`.
    """

    attempt: str
    namespace: str
    prompt: str
    tokens: list[str]
    max_tokens: int
    priority: int
    next_index: int
    prefill_left: float = 0.0
    cached: int = 0
    order: int = 0
    events: SimpleQueue[int | SequenceEvent] = field(default_factory=SimpleQueue)


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """Speed and size of an engine."""

    slots: int
    step_s: float
    prefill_tokens_per_s: float
    cache_blocks: int


class Batch:
    """Runs sequences together, a step at a time.

    Parameters
    ----------
    limits : BatchLimits
        Speed and size.
    on_cache : callable
        Is told each cache event.

    Notes
    -----
    A waiting sequence joins as soon as a slot is free, more urgent ones first.
    Prompt tokens of all that joined share the prefill speed of a step; sequences
    whose prompt is done get one token a step.
    """

    def __init__(
        self, limits: BatchLimits, on_cache: Callable[[str, str], None]
    ) -> None:
        self._limits = limits
        self._on_cache = on_cache
        self._cache = PrefixCache(limits.cache_blocks)
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._orders = count()
        self._changed = threading.Condition()
        self.speed = 1.0

    def start(self) -> None:
        """Start to step."""
        threading.Thread(target=self._run, name="batch", daemon=True).start()

    def add(self, sequence: Sequence, has_cache: bool) -> None:
        """Add a sequence; `has_cache` if its computation was imported."""
        with self._changed:
            sequence.order = next(self._orders)
            sequence.cached = self._cache.find(sequence.namespace, sequence.tokens)
            if has_cache:
                sequence.cached = len(sequence.tokens) + sequence.next_index
            context = len(sequence.tokens) + sequence.next_index
            sequence.prefill_left = float(max(0, context - sequence.cached))
            self._waiting.append(sequence)
            self._changed.notify()

    def remove(self, attempt: str, event: SequenceEvent) -> Sequence | None:
        """Stop a sequence and tell its reader why."""
        with self._changed:
            for sequences in (self._running, self._waiting):
                for sequence in sequences:
                    if sequence.attempt == attempt:
                        sequences.remove(sequence)
                        sequence.events.put(event)
                        return sequence
        return None

    def counts(self) -> tuple[int, int, int]:
        """Return running and waiting sequences, and prompt tokens to compute."""
        with self._changed:
            everything = [*self._running, *self._waiting]
            tokens = sum(int(sequence.prefill_left) for sequence in everything)
            return len(self._running), len(self._waiting), tokens

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._running and not self._waiting:
                    self._changed.wait()
                self._step()
            time.sleep(self._limits.step_s / self.speed)

    def _step(self) -> None:
        self._waiting.sort(key=lambda s: (s.priority, s.order))
        free = self._limits.slots - len(self._running)
        for _ in range(min(free, len(self._waiting))):
            self._running.append(self._waiting.pop(0))
        budget = self._limits.prefill_tokens_per_s * self._limits.step_s
        for sequence in list(self._running):
            if sequence.prefill_left > 0:
                budget = self._prefill(sequence, budget)
            else:
                self._decode(sequence)

    def _prefill(self, sequence: Sequence, budget: float) -> float:
        done = min(budget, sequence.prefill_left)
        sequence.prefill_left -= done
        if sequence.prefill_left <= 0:
            for kind, name in self._cache.add(sequence.namespace, sequence.tokens):
                self._on_cache(kind, name)
        return budget - done

    def _decode(self, sequence: Sequence) -> None:
        if sequence.next_index < sequence.max_tokens:
            sequence.events.put(sequence.next_index)
            sequence.next_index += 1
        if sequence.next_index >= sequence.max_tokens:
            self._running.remove(sequence)
            sequence.events.put(SequenceEvent.FINISHED)
