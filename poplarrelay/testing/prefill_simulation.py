"""Simulation of nodes and of engines that prefill one prompt at a time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from poplarrelay.entry.backlogs import BacklogTable, Placement, PromptEnd
from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.requests import PromptPart
from poplarrelay.entry.scheduling.choosing import (
    Choice,
    SelectionCriteria,
    choose_candidate,
    sample_candidates,
)
from poplarrelay.identifiers import DomainId, EndpointId, RequestId

__all__ = ["PrefillSimulation", "SimulatedPrompt"]

#: Seconds between the first and the last event of a prompt.
STREAM_S = 0.4
#: Seconds between the load reports that nodes exchange.
LOAD_REPORT_INTERVAL_S = 0.4
#: Number of shared parts that prompts begin with. It is so large that most prompts
#: find their shared part uncached.
SHARED_PARTS = 1_000
#: Seconds per step of an engine. Each first event waits for one step.
STEP_S = 0.004


@dataclass(frozen=True, slots=True)
class SimulatedPrompt:
    """Result of one prompt.

    Attributes
    ----------
    at : float
        Time at which the prompt arrived.
    tokens : int
        Length of the prompt.
    wait_s : float or None
        Time to its first event, None if it was refused.
    team : str
        Team that sent the prompt.
    """

    at: float
    tokens: int
    wait_s: float | None
    team: str = ""


@dataclass(slots=True)
class _Engine:
    speed: float
    free_at: float = 0.0
    cached_parts: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PrefillSimulation:
    """Nodes that send prompts to engines, in simulated time.

    Attributes
    ----------
    nodes : int
        Number of nodes.
    speeds : tuple of float
        Prefill rate of each engine in tokens per second.
    requests_backlogs : bool
        Whether nodes request the queued tokens of the engines from the coordinator.
        If not, a node uses its own prompts and the load reports of the other nodes.
    is_admitted : callable or None
        Returns whether to send a prompt to the endpoint that was chosen for it.
    is_team_admitted : callable or None
        The same, called with the choice, the team, the uncached tokens and the time.
    on_first_event : callable or None
        Called with the choice, and the times of the arrival and of the first event.
    teams : dict of str to float
        Teams that send the prompts, with their parts of all prompts.
    slowdown : callable
        Returns the factor by which the prefill of a prompt is slower than the speed of
        its engine, from a random generator.
    simulated : list of SimulatedPrompt
        Results, in the order of first events and refusals.
    """

    nodes: int
    speeds: tuple[float, ...]
    requests_backlogs: bool
    seed: int
    is_admitted: Callable[[Choice], bool] | None = None
    is_team_admitted: Callable[[Choice, str, int, float], bool] | None = None
    on_first_event: Callable[[Choice, float, float], None] | None = None
    teams: dict[str, float] = field(default_factory=lambda: {"": 1.0})
    slowdown: Callable[[Random], float] = lambda rng: 1.0
    simulated: list[SimulatedPrompt] = field(default_factory=list)
    _tables: list[list[Endpoint]] = field(default_factory=list)
    _coordinator: BacklogTable = field(default_factory=BacklogTable)
    _engines: dict[EndpointId, _Engine] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    _sequence_numbers: count[int] = field(default_factory=count)

    def run(self, seconds: float, per_s: float, tokens: int, shared: int) -> None:
        """Simulate prompts that arrive for some time, until the last one has ended.

        Parameters
        ----------
        seconds : float
            Time in which prompts arrive.
        per_s : float
            Prompts per second at all nodes together.
        tokens, shared : int
            Typical length of the unshared part of a prompt, and length of its shared
            part. The unshared part can be up to six times as long.
        """
        rng = Random(self.seed)
        self._engines = {
            EndpointId(f"e{index}"): _Engine(speed)
            for index, speed in enumerate(self.speeds)
        }
        self._tables = [self._rows() for _ in range(self.nodes)]
        at = 0.0
        while (at := at + rng.expovariate(per_s)) < seconds:
            own_tokens = round(tokens * min(6.0, rng.lognormvariate(-0.4, 0.9)))
            shared_part = PromptPart(f"part-{rng.randrange(SHARED_PARTS)}", shared)
            prompt = (shared_part, PromptPart("own", own_tokens))
            self._schedule(
                at, self._make_arrival(rng.randrange(self.nodes), prompt, rng)
            )
        for tick in range(round(seconds / LOAD_REPORT_INTERVAL_S)):
            self._schedule(tick * LOAD_REPORT_INTERVAL_S, self._report_loads)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def _rows(self) -> list[Endpoint]:
        return [
            Endpoint(name, ServiceName("llm"), ("127.0.0.1", 1), DomainId("d"), 64)
            for name in self._engines
        ]

    def _schedule(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence_numbers), event))

    def _report_loads(self, now: float) -> None:
        for index, row in enumerate(self._tables[0]):
            total = sum(rows[index].running for rows in self._tables)
            for rows in self._tables:
                rows[index].running_at_other_nodes = total - rows[index].running
            assert row.load == total

    def _make_arrival(
        self, node: int, prefix: tuple[PromptPart, ...], rng: Random
    ) -> Callable[[float], None]:
        team = next(iter(self.teams))
        if len(self.teams) > 1:
            (team,) = rng.choices(list(self.teams), list(self.teams.values()))

        def is_refused(choice: Choice, now: float) -> bool:
            if self.is_admitted is not None and not self.is_admitted(choice):
                return True
            tokens = choice.unread_tokens
            admits = self.is_team_admitted
            return admits is not None and not admits(choice, team, tokens, now)

        def arrive(now: float) -> None:
            shared = prefix[0]
            total_tokens = sum(part.tokens for part in prefix)
            criteria = SelectionCriteria(
                shared.part, total_tokens, shared.tokens, (), DomainId("d")
            )
            candidates = sample_candidates(self._tables[node], criteria, now, rng)
            cached_tokens = {}
            for row in candidates if self.requests_backlogs else ():
                view = self._coordinator.view(
                    f"n{node}", row.endpoint, [shared.part], now
                )
                row.update_backlog(view.tokens, view.speed, now)
                cached_tokens[row.endpoint] = view.cached_tokens_at(prefix)
            choice = (
                choose_candidate(candidates, criteria, cached_tokens, now)
                if candidates
                else None
            )
            if choice is None or is_refused(choice, now):
                self.simulated.append(SimulatedPrompt(now, total_tokens, None, team))
                return
            slowdown = self.slowdown(rng)
            self._send(node, choice, shared, total_tokens, now, team, slowdown)

        return arrive

    def _send(
        self,
        node: int,
        choice: Choice,
        shared: PromptPart,
        total_tokens: int,
        now: float,
        team: str,
        slowdown: float,
    ) -> None:
        row = choice.endpoint
        engine = self._engines[row.endpoint]
        uncached_tokens = total_tokens - (
            shared.tokens if shared.part in engine.cached_parts else 0
        )
        engine.cached_parts.add(shared.part)
        request = RequestId(f"r{next(self._sequence_numbers)}")
        name, forecast_tokens = f"n{node}", choice.unread_tokens
        row.running += 1
        row.prefill_tokens += forecast_tokens
        placement = Placement(
            row.endpoint, request, forecast_tokens, (shared.part,), total_tokens
        )
        self._coordinator.add_prompt(name, placement, now)
        prefill_s = slowdown * uncached_tokens / engine.speed
        engine.free_at = max(now, engine.free_at) + prefill_s
        begins_at = engine.free_at + STEP_S

        def begin(at: float) -> None:
            row.prefill_tokens -= forecast_tokens
            self._coordinator.remove_prompt(row.endpoint, request, PromptEnd.BEGAN, at)
            self.simulated.append(SimulatedPrompt(now, total_tokens, at - now, team))
            if self.on_first_event is not None:
                self.on_first_event(choice, now, at)

        def end(at: float) -> None:
            row.running -= 1

        self._schedule(begins_at, begin)
        self._schedule(begins_at + STREAM_S, end)
