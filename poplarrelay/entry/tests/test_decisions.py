"""Decisions of an entry node, without a network."""

from random import Random

import pytest

from poplarrelay.entry.budgets import SAFE_SHARE, RetryBudget
from poplarrelay.entry.configuration import Route, RouteKind, ServiceName, ServiceShare
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.health import note_failure, note_success
from poplarrelay.entry.scheduling.admission import (
    FirstEventForecast,
    retry_after_queue,
    starts_in_time,
)
from poplarrelay.entry.scheduling.choosing import SelectionCriteria, choose_endpoint
from poplarrelay.entry.scheduling.request_queue import max_queue_wait, retry_after
from poplarrelay.entry.settings import EntrySettings
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import DomainId, EndpointId, Incarnation
from poplarrelay.testing.prefill_simulation import PrefillSimulation

NORTH, SOUTH = DomainId("north"), DomainId("south")


def endpoint(name, domain=NORTH, slots=8, **values):
    row = Endpoint(EndpointId(name), ServiceName("s"), ("127.0.0.1", 1), domain, slots)
    for key, value in values.items():
        setattr(row, key, value)
    return row


def criteria(key=None, prompt=0, shared=0, tried=()):
    return SelectionCriteria(key, prompt, shared, tried, NORTH)


def chosen(rows, wanted, now=0.0, seed=1):
    choice = choose_endpoint(rows, wanted, now, Random(seed))
    assert choice is not None
    return choice.endpoint


class TestChoice:
    def test_full_endpoints_are_not_chosen(self):
        rows = [endpoint("a", running=8), endpoint("b", running_at_other_nodes=8)]
        assert choose_endpoint(rows, criteria(), 0.0, Random(1)) is None

    def test_avoided_endpoint_is_used_only_if_no_other_is_free(self):
        bad, good = endpoint("a"), endpoint("b", running=5)
        bad.health.avoided_until = 10.0
        for seed in range(20):
            assert chosen([bad, good], criteria(), 5.0, seed) is good
        good.running = 8
        assert chosen([bad, good], criteria(), 5.0) is bad
        assert chosen([bad, good], criteria(), 11.0) is bad

    def test_endpoint_that_was_tried_is_not_tried_again(self):
        rows = [endpoint("a"), endpoint("b")]
        for seed in range(20):
            assert chosen(rows, criteria(tried=("a",)), seed=seed).endpoint == "b"

    def test_nodes_agree_on_the_affinity_endpoint_of_a_prompt(self):
        # Nodes choose it without communication. The loss of an endpoint moves only the
        # prompts that have their affinity there.
        rows = [endpoint(f"e{i}") for i in range(5)]
        keys = [f"k{i}" for i in range(200)]

        def find_affinity_endpoints(rows):
            return {key: chosen(rows, criteria(key, 9000, 5000)) for key in keys}

        before, again = (
            find_affinity_endpoints(rows),
            find_affinity_endpoints(list(reversed(rows))),
        )
        assert all(before[k] is again[k] for k in keys)
        after = find_affinity_endpoints(rows[1:])
        moved = [k for k in keys if before[k] is not after[k]]
        assert all(before[k] is rows[0] for k in moved)

    def test_frequent_prompt_is_sent_to_more_than_its_affinity_endpoint(self):
        # All requests share one part. The cache of the affinity endpoint saves 5,000
        # tokens, and each request there counts as 500. The eleventh request is sent to
        # another endpoint, which fetches the shared part.
        rows = [endpoint(f"e{i}", slots=64) for i in range(3)]
        order = []
        for _ in range(30):
            choice = choose_endpoint(rows, criteria("hot", 6000, 5000), 0.0, Random(1))
            assert choice is not None
            choice.endpoint.running += 1
            order.append(choice)
        affinity_endpoint = order[0].endpoint
        assert all(
            c.endpoint is affinity_endpoint and not c.fetch_from for c in order[:10]
        )
        assert {c.endpoint.endpoint for c in order} == {"e0", "e1", "e2"}
        away = [choice for choice in order if choice.endpoint is not affinity_endpoint]
        assert all(choice.fetch_from == affinity_endpoint.address for choice in away)

    def test_endpoint_with_long_queued_prompts_is_not_chosen(self):
        rows = [endpoint("a", prefill_tokens=40_000), endpoint("b", running=4)]
        assert chosen(rows, criteria("k", 9000, 1000)).endpoint == "b"

    def test_many_nodes_with_outdated_loads_choose_different_endpoints(self):
        # 61 nodes receive each other's loads a second late. One engine has just booted,
        # and 40 others have five requests each. When all nodes chose the least loaded
        # engine, it got every request of that second, and its callers waited seconds
        # for their first event.
        rows = [
            endpoint(f"e{i}", slots=24, running_at_other_nodes=5) for i in range(40)
        ]
        rows.append(endpoint("new", slots=24))
        counts: dict[str, int] = {}
        for number in range(300):
            row = chosen(rows, criteria(f"k{number}", 3000, 1000), seed=number)
            counts[row.endpoint] = counts.get(row.endpoint, 0) + 1
        assert counts["new"] < 60
        assert len(counts) > 30

    def test_local_endpoint_is_chosen_among_equal_ones(self):
        rows = [endpoint("a", SOUTH), endpoint("b", NORTH)]
        assert chosen(rows, criteria()).endpoint == "b"


class TestHealth:
    def test_two_failures_in_a_row_avoid_an_endpoint(self):
        rows = [endpoint("a"), endpoint("b")]
        assert not note_failure(rows[0], rows, 0.0, certain=False)
        assert note_failure(rows[0], rows, 0.1, certain=False)
        assert rows[0].health.avoided_until > 0.1

    def test_dead_endpoint_is_avoided_after_one_failure(self):
        rows = [endpoint("a"), endpoint("b")]
        assert note_failure(rows[0], rows, 0.0, certain=True)

    def test_endpoints_are_not_avoided_if_all_of_a_service_fail_as_often(self):
        # All endpoints answer one request in seven with an error that the service
        # itself causes. To avoid some of them would only add load to the others.
        rows = [endpoint(f"e{i}") for i in range(4)]
        rng = Random(7)
        avoided = 0
        for step in range(2000):
            row = rng.choice(rows)
            if rng.random() < 0.14:
                avoided += note_failure(row, rows, step * 0.1, certain=False)
            else:
                note_success(row)
        assert avoided < 40

    def test_endpoint_that_fails_more_often_than_the_others_is_avoided(self):
        # One endpoint fails nearly half of its requests, while its own health check and
        # the other endpoints are good.
        rows = [endpoint(f"e{i}") for i in range(4)]
        rng = Random(7)
        now, avoided_s = 0.0, 0.0
        for _ in range(1000):
            now += 0.02
            avoided_s += 0.02 * (rows[0].health.avoided_until > now)
            open_rows = [r for r in rows if r.health.avoided_until <= now]
            row = rng.choice(open_rows)
            if row is rows[0] and rng.random() < 0.45:
                note_failure(row, rows, now, certain=False)
            else:
                note_success(row)
        assert avoided_s > 0.4 * now


class TestAdmission:
    def test_prompt_that_would_be_in_time_is_sent(self):
        assert starts_in_time(
            FirstEventForecast(0.0, queue_s=0.5, prefill_s=0.2, target_s=0.8)
        )

    def test_prompt_that_would_be_late_is_refused_with_a_time_to_retry(self):
        late = FirstEventForecast(0.0, queue_s=1.5, prefill_s=0.2, target_s=0.8)
        assert not starts_in_time(late)
        again = retry_after_queue(late)
        assert starts_in_time(FirstEventForecast(0.0, 1.5 - again, 0.2, 0.8))

    def test_time_that_a_prompt_has_waited_shortens_its_permitted_queue(self):
        assert not starts_in_time(
            FirstEventForecast(0.5, queue_s=0.5, prefill_s=0.2, target_s=0.8)
        )

    def test_longest_prompts_are_served_if_the_queue_is_short(self):
        # The prefill of this prompt takes longer than its target, so it is late at
        # every engine. If prompts were refused for that, it would never be served.
        assert starts_in_time(
            FirstEventForecast(0.0, queue_s=0.2, prefill_s=1.5, target_s=0.8)
        )
        assert not starts_in_time(
            FirstEventForecast(0.0, queue_s=0.5, prefill_s=1.5, target_s=0.8)
        )

    @pytest.mark.parametrize("seed", range(3))
    def test_callers_are_served_in_time_after_the_loss_of_engines(self, seed):
        # Two engines of five are lost, and callers send slightly more tokens than the
        # other three can process. If all prompts are sent, the queues grow, and 12 to
        # 56 of 100 callers get their first event in time. If late prompts are refused,
        # 87 to 92 do, and 4 to 8 get a time to retry.
        def admits(choice):
            return starts_in_time(
                FirstEventForecast(0.0, choice.queue_s, choice.prefill_s, 0.8)
            )

        shares = []
        for decide in (None, admits):
            simulation = PrefillSimulation(6, (60_000.0,) * 3, True, seed, decide)
            simulation.run(40.0, per_s=14.0, tokens=4_000, shared=10_000)
            waits = [prompt.wait_s for prompt in simulation.simulated]
            in_time = sum(wait is not None and wait <= 0.8 for wait in waits)
            shares.append(in_time / len(waits))
            longest = sorted(simulation.simulated, key=lambda prompt: prompt.tokens)
            longest = longest[-len(longest) // 10 :]
            served = sum(prompt.wait_s is not None for prompt in longest)
            assert served >= 0.5 * len(longest)
        assert shares[0] < 0.6
        assert shares[1] >= 0.8


class TestBudget:
    def test_retries_of_all_nodes_together_stay_within_the_bound(self):
        # Six nodes cannot reach each other, and every request at each of them fails.
        budgets = [RetryBudget(0.2, 58, 10) for _ in range(6)]
        taken = 0
        for step in range(100):
            for budget in budgets:
                budget.note_request(step * 0.1)
                taken += budget.take(step * 0.1, nodes=6)
        assert taken <= SAFE_SHARE * (0.2 * 600 + 58) + 6

    def test_old_requests_allow_no_retries(self):
        budget = RetryBudget(0.2, 0, 10)
        for _ in range(100):
            budget.note_request(0.0)
        assert budget.take(1.0, nodes=1)
        assert not budget.take(20.0, nodes=1)

    def test_reloaded_settings_do_not_refill_a_used_budget(self):
        # Operators send SIGHUP several times while a service fails.
        value = {
            "node": "a",
            "failure_domain": "north",
            "listeners": {
                "callers": "127.0.0.1:1",
                "readiness": "127.0.0.1:2",
                "discovery": "127.0.0.1:3",
                "control": "127.0.0.1:4",
                "gossip_port": 5,
            },
            "platform": {"store": "127.0.0.1:6"},
            "bounds": {"retry_slack": 10},
        }
        settings = EntrySettings.model_validate(value)
        state = EntryState.from_settings(settings, Incarnation("1-1"), Random(1))
        taken = 0
        for _ in range(5):
            budget = state.budget(ServiceName("s"))
            taken += sum(budget.take(1.0, nodes=1) for _ in range(20))
            state.apply_settings(settings)
        assert taken == SAFE_SHARE * 10


class TestWaiting:
    @pytest.mark.parametrize("remaining_s", [0.01, 0.5, 10.0])
    def test_wait_for_a_slot_is_bounded_by_target_and_deadline(self, remaining_s):
        route = Route(
            "r",
            "h",
            "/",
            RouteKind.IDEMPOTENT,
            timeout_s=10,
            target_s=0.2,
            priority=0,
            shares=(ServiceShare(ServiceName("s"), 1.0),),
        )
        wait = max_queue_wait(route, remaining_s)
        assert wait <= 0.2
        assert wait <= remaining_s / 2

    def test_refused_callers_get_increasing_times_to_retry(self):
        times = [retry_after(waiting, 10.0, 30.0) for waiting in range(5)]
        assert times == sorted(times)
        assert times[4] - times[0] == pytest.approx(0.4)

    def test_time_to_retry_is_bounded_by_the_remaining_time(self):
        assert retry_after(1000, 1.0, 3.0) == 1.0
