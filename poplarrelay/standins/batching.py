"""Simulation of the continuous batching and prefix cache of a model engine."""

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

#: Tokens in a block of the prefix cache.
BLOCK_TOKENS = 16


def tokenize(prompt: str) -> list[str]:
    """Return the tokens of a prompt, which are its words."""
    return prompt.split()


def token_text(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    The text depends only on the arguments, so a test can detect a wrong, missing or
    repeated token.

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
    """Cache of prompt prefixes in blocks, with least-recently-used eviction.

    Parameters
    ----------
    blocks : int
        Capacity in blocks.

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
        self._cached: OrderedDict[str, None] = OrderedDict()

    @staticmethod
    def _block_names(namespace: str, tokens: list[str]) -> list[str]:
        digest = hashlib.blake2b(namespace.encode(), digest_size=12)
        names = []
        for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
            digest.update(" ".join(tokens[end - BLOCK_TOKENS : end]).encode())
            names.append(digest.copy().hexdigest())
        return names

    def find(self, namespace: str, tokens: list[str]) -> int:
        """Return how many tokens at the start of a prompt are cached."""
        found = 0
        for name in self._block_names(namespace, tokens):
            if name not in self._cached:
                break
            self._cached.move_to_end(name)
            found += BLOCK_TOKENS
        return found

    def add(self, namespace: str, tokens: list[str]) -> list[tuple[str, str]]:
        """Cache a prompt; return an event for each added and removed block."""
        events = []
        for name in self._block_names(namespace, tokens):
            if name not in self._cached:
                events.append(("added", name))
            self._cached[name] = None
            self._cached.move_to_end(name)
        while len(self._cached) > self._blocks:
            name, _ = self._cached.popitem(last=False)
            events.append(("removed", name))
        return events


class SequenceEvent(Enum):
    """End of a sequence, sent to its reader after the tokens."""

    FINISHED = "finished"
    EXPORTED = "exported"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Sequence:
    """State of an attempt in the engine.

    Attributes
    ----------
    next_index : int
        Index of the next token.
    prefill_left : float
        Uncached tokens that the engine has still to process.
    cached_tokens : int
        Tokens found in the cache, or imported, when the sequence was added.
    arrival_number : int
        Order of arrival, for sequences of the same priority.
    events : SimpleQueue
        Indices of the tokens as ints, then a `SequenceEvent`.
    """

    attempt: str
    namespace: str
    prompt: str
    tokens: list[str]
    max_tokens: int
    priority: int
    next_index: int
    prefill_left: float = 0.0
    cached_tokens: int = 0
    arrival_number: int = 0
    events: SimpleQueue[int | SequenceEvent] = field(default_factory=SimpleQueue)


@dataclass(frozen=True, slots=True)
class BatchLimits:
    """Speed and capacity of an engine."""

    slots: int
    step_s: float
    prefill_tokens_per_s: float
    cache_blocks: int


class Batch:
    """Scheduler that runs sequences together, one step at a time.

    Parameters
    ----------
    limits : BatchLimits
        Speed and capacity.
    on_cache_event : callable
        Called with the kind (``added`` or ``removed``) and the block of each event.

    Notes
    -----
    A waiting sequence starts when a slot is free, the lowest `priority` number first.
    All running sequences share the prefill speed of a step. A sequence whose prefill
    is complete gets one token per step.
    """

    def __init__(
        self, limits: BatchLimits, on_cache_event: Callable[[str, str], None]
    ) -> None:
        self._limits = limits
        self._on_cache_event = on_cache_event
        self._cache = PrefixCache(limits.cache_blocks)
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._arrival_numbers = count()
        self._changed = threading.Condition()
        self.speed = 1.0

    def start(self) -> None:
        """Start the thread that runs the steps."""
        threading.Thread(target=self._run, name="batch", daemon=True).start()

    def add(self, sequence: Sequence, cache_imported: bool) -> None:
        """Queue a sequence; with `cache_imported` it needs no prefill."""
        with self._changed:
            sequence.arrival_number = next(self._arrival_numbers)
            sequence.cached_tokens = self._cache.find(
                sequence.namespace, sequence.tokens
            )
            if cache_imported:
                sequence.cached_tokens = len(sequence.tokens) + sequence.next_index
            context = len(sequence.tokens) + sequence.next_index
            sequence.prefill_left = float(max(0, context - sequence.cached_tokens))
            self._waiting.append(sequence)
            self._changed.notify()

    def remove(self, attempt: str, event: SequenceEvent) -> Sequence | None:
        """Stop a sequence, send `event` to its reader and return the sequence."""
        with self._changed:
            for sequences in (self._running, self._waiting):
                for sequence in sequences:
                    if sequence.attempt == attempt:
                        sequences.remove(sequence)
                        sequence.events.put(event)
                        return sequence
        return None

    def counts(self) -> tuple[int, int, int]:
        """Return the numbers of running and waiting sequences and uncached tokens."""
        with self._changed:
            all_sequences = [*self._running, *self._waiting]
            tokens = sum(int(sequence.prefill_left) for sequence in all_sequences)
            return len(self._running), len(self._waiting), tokens

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._running and not self._waiting:
                    self._changed.wait()
                self._step()
            time.sleep(self._limits.step_s / self.speed)

    def _step(self) -> None:
        self._waiting.sort(key=lambda s: (s.priority, s.arrival_number))
        free_slots = self._limits.slots - len(self._running)
        for _ in range(min(free_slots, len(self._waiting))):
            self._running.append(self._waiting.pop(0))
        budget = self._limits.prefill_tokens_per_s * self._limits.step_s
        for sequence in list(self._running):
            if sequence.prefill_left > 0:
                budget = self._prefill(sequence, budget)
            else:
                self._decode(sequence)

    def _prefill(self, sequence: Sequence, budget: float) -> float:
        computed_tokens = min(budget, sequence.prefill_left)
        sequence.prefill_left -= computed_tokens
        if sequence.prefill_left <= 0:
            for kind, name in self._cache.add(sequence.namespace, sequence.tokens):
                self._on_cache_event(kind, name)
        return budget - computed_tokens

    def _decode(self, sequence: Sequence) -> None:
        if sequence.next_index < sequence.max_tokens:
            sequence.events.put(sequence.next_index)
            sequence.next_index += 1
        if sequence.next_index >= sequence.max_tokens:
            self._running.remove(sequence)
            sequence.events.put(SequenceEvent.FINISHED)
