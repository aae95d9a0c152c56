"""Max-min shares of teams, and what callers get of engines that are short."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.scheduling.admission import (
    EXCESS_LIMIT,
    PATIENT_SHARE,
    FirstEventForecast,
    queue_limit_share,
    starts_in_time,
)
from poplarrelay.entry.scheduling.forecast_errors import ForecastErrors
from poplarrelay.entry.scheduling.shares import (
    FractionMarker,
    ShareMarker,
    max_min_shares,
)
from poplarrelay.entry.scheduling.team_demand import (
    SHORT_S,
    TeamDemand,
    contended_services,
    share_fractions,
)
from poplarrelay.identifiers import TeamId
from poplarrelay.testing.prefill_simulation import PrefillSimulation

LLM, DESK = ServiceName("llm"), ServiceName("desk")
TARGET_S = 1.0
#: Part of its prompts that a team which asks for less than its share must get in time.
SERVED_TARGET = 0.95

rates = st.dictionaries(st.sampled_from("abcdef"), st.floats(0.1, 1e6), min_size=1)


@given(rates, rates, st.floats(0.0, 1e6))
def test_shares_are_feasible_and_no_capacity_is_left(demands, weights, capacity):
    shares = max_min_shares(demands, weights, capacity)
    total = sum(shares.values())
    assert total == pytest.approx(min(capacity, sum(demands.values())))
    assert all(shares[team] <= demands[team] * (1 + 1e-9) for team in demands)


@given(rates, rates, st.floats(0.1, 1e6))
def test_nobody_gets_more_than_a_team_that_is_cut_relative_to_the_weights(
    demands, weights, capacity
):
    shares = max_min_shares(demands, weights, capacity)
    per_weight = {team: shares[team] / weights.get(team, 1.0) for team in demands}
    for team in demands:
        if shares[team] < demands[team] * (1 - 1e-9):
            assert per_weight[team] >= max(per_weight.values()) * (1 - 1e-6)


@given(
    st.floats(0.05, 0.9),
    st.lists(st.floats(100.0, 20_000.0), min_size=1, max_size=200),
)
def test_marked_part_follows_the_fraction_by_cost(fraction, costs):
    marker = ShareMarker({TeamId("a"): fraction})
    marked = sum(cost for cost in costs if marker.mark(TeamId("a"), cost))
    assert abs(marked - fraction * sum(costs)) <= max(costs)
    assert marker.mark(TeamId("b"), 1e9)


def test_demand_is_reported_only_for_services_that_are_short():
    demand = TeamDemand()
    demand.note_asked(LLM, TeamId("a"), 600.0, 10.0)
    assert demand.report((), 10.0) == {}
    demand.note_short(LLM, 10.0)
    entries = demand.report((), 10.0)
    assert contended_services(entries) == {LLM}
    assert len(demand.report([LLM], 10.0)) == 2
    assert demand.report([LLM], 10.0 + SHORT_S) == {}


def test_shares_follow_the_sums_of_all_nodes():
    # Guards against a node that judges the flood by its own callers only.
    nodes = [TeamDemand() for _ in range(3)]
    for number, node in enumerate(nodes):
        node.note_asked(LLM, TeamId("flood"), 4_000.0 if number else 0.0, 1.0)
        node.note_asked(LLM, TeamId("b"), 400.0, 1.0)
        node.note_served(LLM, 1_200.0, 1.0)
        node.note_short(LLM, 1.0)
    sums: Counter[ServiceName] = Counter()
    for node in nodes:
        sums.update(node.report([LLM], 1.0))
    fractions = share_fractions(sums, LLM, {})
    assert fractions == {"flood": pytest.approx(0.3, abs=0.01)}
    assert share_fractions(sums, DESK, {}) == {}


def test_no_team_is_cut_where_all_is_served():
    demand = TeamDemand()
    demand.note_asked(LLM, TeamId("a"), 900.0, 1.0)
    demand.note_served(LLM, 900.0, 1.0)
    demand.note_short(LLM, 1.0)
    assert share_fractions(demand.report([LLM], 1.0), LLM, {}) == {}


class Admission:
    """Admission of prompts as nodes decide it, with shares computed twice a second."""

    def __init__(self, fair):
        self.fair, self.demand, self.marker = fair, TeamDemand(), ShareMarker()
        self.next_update = 0.0

    def __call__(self, choice, team, tokens, now):
        self.demand.note_asked(LLM, TeamId(team), tokens, now)
        if now >= self.next_update:
            self.next_update = now + 0.5
            self.marker.fractions = share_fractions(
                self.demand.report([LLM], now), LLM, {}
            )
        within = not self.fair or self.marker.mark(TeamId(team), tokens)
        share = queue_limit_share(within, urgent=True)
        forecast = FirstEventForecast(
            0.0, choice.queue_s, choice.prefill_s, TARGET_S, limit_share=share
        )
        admitted = starts_in_time(forecast)
        if admitted:
            self.demand.note_served(LLM, tokens, now)
        return admitted


def count_in_time(simulation):
    """Return the part of each team's prompts that came in time, and their tokens."""
    prompts = [prompt for prompt in simulation.simulated if prompt.at >= 5.0]
    begun = [prompt for prompt in prompts if prompt.wait_s is not None]
    in_time = [prompt for prompt in begun if prompt.wait_s <= 1.1 * TARGET_S]
    asked, served = Counter(p.team for p in prompts), Counter(p.team for p in in_time)
    shares = {team: served[team] / asked[team] for team in asked}
    return shares, sum(prompt.tokens for prompt in in_time)


def play_flood(fair, seed):
    """Return the part of each team's prompts that came in time, and their tokens."""
    simulation = PrefillSimulation(6, (60_000.0,) * 4, True, seed)
    simulation.teams = {"flood": 0.8, "b": 0.1, "c": 0.1}
    simulation.is_team_admitted = Admission(fair)
    simulation.run(40.0, per_s=80.0, tokens=4_000, shared=2_000)
    prompts = [prompt for prompt in simulation.simulated if prompt.at >= 5.0]
    in_time = [
        p for p in prompts if p.wait_s is not None and p.wait_s <= 1.1 * TARGET_S
    ]
    asked, served = Counter(p.team for p in prompts), Counter(p.team for p in in_time)
    shares = {team: served[team] / asked[team] for team in asked}
    return shares, sum(prompt.tokens for prompt in in_time)


@pytest.mark.parametrize("seed", range(3))
def test_prompts_of_teams_below_their_share_are_served_beside_a_flood(seed):
    # Guards against a team that fills the queues of all engines.
    before, before_total = play_flood(False, seed)
    after, after_total = play_flood(True, seed)
    assert before["b"] < 0.8 and before["c"] < 0.8
    assert after["b"] >= SERVED_TARGET and after["c"] >= SERVED_TARGET
    assert after_total >= 0.95 * before_total


def play_priorities(nodes, urgent_part, seed):
    """Return the part of the urgent and of the patient prompts that came in time."""
    simulation = PrefillSimulation(nodes, (60_000.0,) * 4, True, seed)
    simulation.teams = {"urgent": urgent_part, "patient": 1 - urgent_part}
    marker = FractionMarker()

    def admit(choice, team, tokens, now):
        urgent = team == "urgent" or marker.mark(team, PATIENT_SHARE, tokens)
        share = queue_limit_share(True, urgent)
        return starts_in_time(
            FirstEventForecast(
                0.0, choice.queue_s, choice.prefill_s, TARGET_S, limit_share=share
            )
        )

    simulation.is_team_admitted = admit
    simulation.run(40.0, per_s=80.0, tokens=4_000, shared=2_000)
    return count_in_time(simulation)[0]


@pytest.mark.parametrize("nodes", [1, 3, 83])
def test_urgent_prompts_keep_their_target_beside_a_patient_flood(nodes):
    served = play_priorities(nodes, 0.1, seed=1)
    assert served["urgent"] >= SERVED_TARGET
    assert served["patient"] >= 0.4


def test_urgent_flood_does_not_starve_patient_prompts():
    # Guards against queues that urgent prompts alone keep above the patient limit.
    served = play_priorities(6, 0.9, seed=1)
    assert served["patient"] >= 0.5 * PATIENT_SHARE


def test_patient_prompts_leave_room_for_urgent_ones():
    assert queue_limit_share(True, True) > queue_limit_share(True, False)
    assert queue_limit_share(True, False) > queue_limit_share(False, True)
    assert queue_limit_share(False, False) == EXCESS_LIMIT > 0


@pytest.mark.parametrize("seed", range(3))
def test_learned_error_of_the_forecast_keeps_admitted_prompts_in_time(seed):
    # Guards against forecasts that are short wherever an engine is slow for a moment.
    shares = []
    for quantile in (0.0, 0.8):
        simulation = PrefillSimulation(6, (60_000.0,) * 4, True, seed)
        simulation.slowdown = lambda rng: 3.0 if rng.random() < 0.25 else 1.0
        errors = ForecastErrors()

        def admit(choice, team, tokens, now, errors=errors, quantile=quantile):
            error_s = errors.quantile(LLM, quantile, now) if quantile else 0.0
            return starts_in_time(
                FirstEventForecast(
                    0.0, choice.queue_s, choice.prefill_s, TARGET_S, error_s
                )
            )

        def note(choice, sent_at, began_at, errors=errors):
            forecast_s = choice.queue_s + choice.prefill_s
            errors.note(LLM, began_at - sent_at - forecast_s, began_at)

        simulation.is_team_admitted, simulation.on_first_event = admit, note
        simulation.run(40.0, per_s=80.0, tokens=4_000, shared=2_000)
        waits = [p.wait_s for p in simulation.simulated if p.wait_s is not None]
        in_time = sum(wait <= 1.1 * TARGET_S for wait in waits)
        shares.append((in_time / len(waits), in_time))
    (share_before, count_before), (share_after, count_after) = shares
    assert share_after > share_before
    assert count_after >= 0.95 * count_before


def test_errors_of_the_past_are_forgotten():
    # Guards against refusals that last because nothing is admitted any more.
    errors = ForecastErrors()
    for number in range(20):
        errors.note(LLM, 0.5, number * 0.1)
    assert errors.quantile(LLM, 0.8, 2.0) == 0.5
    assert errors.quantile(LLM, 0.8, 60.0) == 0.0
    assert errors.quantile(DESK, 0.8, 2.0) == 0.0


@given(st.lists(st.floats(allow_nan=False), max_size=80))
def test_absurd_errors_are_bounded(values):
    errors = ForecastErrors()
    for value in values:
        errors.note(LLM, value, 1.0)
    assert 0.0 <= errors.quantile(LLM, 0.9, 1.0) <= 2.0
