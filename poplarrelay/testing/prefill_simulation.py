"""Engines that read prompts one after the other, and nodes that place them, played."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from poplarrelay.entry.backlogs import BacklogTable, Placement, PromptEnd
from poplarrelay.entry.choosing import (
    Choice,
    SelectionCriteria,
    choose_candidate,
    sample_candidates,
)
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.requests import PromptPart
from poplarrelay.identifiers import DomainId, EndpointId, RequestId

__all__ = ["PrefillSimulation", "SimulatedPrompt"]

#: Seconds between a prompt's first event and its last.
STREAM_S = 0.4
#: Seconds between news of loads among the nodes.
NEWS_S = 0.4
#: Shared parts that prompts begin with, so many that most are read anew.
PARTS = 1_000
#: Seconds of a step of an engine, which each first event waits for.
STEP_S = 0.004


@dataclass(frozen=True, slots=True)
class SimulatedPrompt:
    """What became of a prompt.

    Attributes
    ----------
    wait_s : float or None
        Time to its first event, None if it was refused.
    """

    at: float
    tokens: int
    wait_s: float | None


@dataclass(slots=True)
class _Engine:
    speed: float
    free_at: float = 0.0
    cached_parts: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PrefillSimulation:
    """Nodes in front of engines, in virtual time.

    Attributes
    ----------
    speeds : tuple of float
        Tokens a second that each engine reads.
    asks : bool
        Whether nodes ask what is in line, or go by their own prompts and by loads
        that are told now and then.
    admits : callable or None
        Decides whether a prompt is sent where it was chosen to go.
    """

    nodes: int
    speeds: tuple[float, ...]
    asks: bool
    seed: int
    admits: Callable[[Choice], bool] | None = None
    simulated: list[SimulatedPrompt] = field(default_factory=list)
    _tables: list[list[Endpoint]] = field(default_factory=list)
    _coordinator: BacklogTable = field(default_factory=BacklogTable)
    _engines: dict[EndpointId, _Engine] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    _number: count[int] = field(default_factory=count)

    def run(self, seconds: float, per_s: float, tokens: int, shared: int) -> None:
        """Have prompts come for some time, and play it to its end.

        Parameters
        ----------
        per_s : float
            Prompts a second at all nodes.
        tokens, shared : int
            Usual length of a prompt's own part and of its shared one; single ones
            are up to six times as long.
        """
        rng = Random(self.seed)
        self._engines = {
            EndpointId(f"e{index}"): _Engine(speed)
            for index, speed in enumerate(self.speeds)
        }
        self._tables = [self._rows() for _ in range(self.nodes)]
        at = 0.0
        while (at := at + rng.expovariate(per_s)) < seconds:
            own = round(tokens * min(6.0, rng.lognormvariate(-0.4, 0.9)))
            part = PromptPart(f"part-{rng.randrange(PARTS)}", shared)
            prompt = (part, PromptPart("own", own))
            self._at(at, self._arrival(rng.randrange(self.nodes), prompt, rng))
        for tick in range(round(seconds / NEWS_S)):
            self._at(tick * NEWS_S, self._tell_loads)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def _rows(self) -> list[Endpoint]:
        return [
            Endpoint(e, ServiceName("llm"), ("127.0.0.1", 1), DomainId("d"), 64)
            for e in self._engines
        ]

    def _at(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._number), event))

    def _tell_loads(self, now: float) -> None:
        for index, row in enumerate(self._tables[0]):
            total = sum(rows[index].running for rows in self._tables)
            for rows in self._tables:
                rows[index].elsewhere = total - rows[index].running
            assert row.load == total

    def _arrival(
        self, node: int, prefix: tuple[PromptPart, ...], rng: Random
    ) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            shared = prefix[0]
            whole = sum(part.tokens for part in prefix)
            criteria = SelectionCriteria(
                shared.part, whole, shared.tokens, (), DomainId("d")
            )
            drawn = sample_candidates(self._tables[node], criteria, now, rng)
            cached_tokens = {}
            for row in drawn if self.asks else ():
                view = self._coordinator.view(
                    f"n{node}", row.endpoint, [shared.part], now
                )
                row.update_backlog(view.tokens, view.speed, now)
                cached_tokens[row.endpoint] = view.cached_tokens_at(prefix)
            choice = (
                choose_candidate(drawn, criteria, cached_tokens, now) if drawn else None
            )
            if choice is None or (self.admits is not None and not self.admits(choice)):
                self.simulated.append(SimulatedPrompt(now, whole, None))
                return
            self._send(node, choice, shared, whole, now)

        return arrive

    def _send(
        self, node: int, choice: Choice, shared: PromptPart, whole: int, now: float
    ) -> None:
        row = choice.endpoint
        engine = self._engines[row.endpoint]
        unread = whole - (shared.tokens if shared.part in engine.cached_parts else 0)
        engine.cached_parts.add(shared.part)
        request = RequestId(f"r{next(self._number)}")
        name, told = f"n{node}", choice.unread_tokens
        row.running += 1
        row.prefill_tokens += told
        placed = Placement(row.endpoint, request, told, (shared.part,), whole)
        self._coordinator.add_prompt(name, placed, now)
        engine.free_at = max(now, engine.free_at) + unread / engine.speed
        begins_at = engine.free_at + STEP_S

        def begin(at: float) -> None:
            row.prefill_tokens -= told
            self._coordinator.remove_prompt(row.endpoint, request, PromptEnd.BEGAN, at)
            self.simulated.append(SimulatedPrompt(now, whole, at - now))

        def end(at: float) -> None:
            row.running -= 1

        self._at(begins_at, begin)
        self._at(begins_at + STREAM_S, end)
