"""Decisions of an entry node, without a network."""

from random import Random

import pytest

from poplarrelay.entry.admission import (
    FirstEventForecast,
    retry_after_queue,
    starts_in_time,
)
from poplarrelay.entry.budgets import SAFE_SHARE, RetryBudget
from poplarrelay.entry.choosing import SelectionCriteria, choose_endpoint
from poplarrelay.entry.configuration import Route, RouteKind, ServiceName, ServiceShare
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.health import note_failure, note_success
from poplarrelay.entry.request_queue import max_queue_wait, retry_after
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
    def test_full_endpoints_are_no_choice(self):
        rows = [endpoint("a", running=8), endpoint("b", elsewhere=8)]
        assert choose_endpoint(rows, criteria(), 0.0, Random(1)) is None

    def test_avoided_endpoint_is_used_only_alone(self):
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

    def test_nodes_agree_on_a_prompts_home(self):
        # Nodes do not ask each other. A lost endpoint moves only its own prompts.
        rows = [endpoint(f"e{i}") for i in range(5)]
        keys = [f"k{i}" for i in range(200)]

        def homes(rows):
            return {key: chosen(rows, criteria(key, 9000, 5000)) for key in keys}

        before, again = homes(rows), homes(list(reversed(rows)))
        assert all(before[k] is again[k] for k in keys)
        after = homes(rows[1:])
        moved = [k for k in keys if before[k] is not after[k]]
        assert all(before[k] is rows[0] for k in moved)

    def test_hot_prompt_outgrows_its_home(self):
        # One prompt gets all requests. Its home saves reading 5,000 tokens, and each
        # request there counts 500: the eleventh goes elsewhere, where what the home
        # keeps is fetched.
        rows = [endpoint(f"e{i}", slots=64) for i in range(3)]
        order = []
        for _ in range(30):
            choice = choose_endpoint(rows, criteria("hot", 6000, 5000), 0.0, Random(1))
            assert choice is not None
            choice.endpoint.running += 1
            order.append(choice)
        home = order[0].endpoint
        assert all(c.endpoint is home and not c.fetch_from for c in order[:10])
        assert {c.endpoint.endpoint for c in order} == {"e0", "e1", "e2"}
        away = [choice for choice in order if choice.endpoint is not home]
        assert all(choice.fetch_from == home.address for choice in away)

    def test_long_prompts_in_line_send_the_next_one_elsewhere(self):
        rows = [endpoint("a", prefill_tokens=40_000), endpoint("b", running=4)]
        assert chosen(rows, criteria("k", 9000, 1000)).endpoint == "b"

    def test_many_nodes_with_old_news_do_not_all_choose_the_same_endpoint(self):
        # 61 nodes hear of each other's requests a second late, and see one engine
        # that has just booted beside 40 with five requests each. When all took the
        # least loaded one, it got every request of that second, and its callers
        # waited seconds for their first event.
        rows = [endpoint(f"e{i}", slots=24, elsewhere=5) for i in range(40)]
        rows.append(endpoint("new", slots=24))
        counts: dict[str, int] = {}
        for number in range(300):
            row = chosen(rows, criteria(f"k{number}", 3000, 1000), seed=number)
            counts[row.endpoint] = counts.get(row.endpoint, 0) + 1
        assert counts["new"] < 60
        assert len(counts) > 30

    def test_near_endpoint_goes_first_among_equals(self):
        rows = [endpoint("a", SOUTH), endpoint("b", NORTH)]
        assert chosen(rows, criteria()).endpoint == "b"


class TestHealth:
    def test_two_failures_in_a_row_avoid_an_endpoint(self):
        rows = [endpoint("a"), endpoint("b")]
        assert not note_failure(rows[0], rows, 0.0, certain=False)
        assert note_failure(rows[0], rows, 0.1, certain=False)
        assert rows[0].health.avoided_until > 0.1

    def test_dead_endpoint_is_avoided_at_once(self):
        rows = [endpoint("a"), endpoint("b")]
        assert note_failure(rows[0], rows, 0.0, certain=True)

    def test_service_that_often_fails_is_not_avoided_as_a_whole(self):
        # All endpoints answer one call in seven with an error of their own. None of
        # them stands out.
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

    def test_grey_endpoint_is_found(self):
        # One endpoint fails nearly half of its requests; its own health check and
        # the others are good.
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

    def test_prompt_that_would_be_late_is_told_when_to_come_back(self):
        late = FirstEventForecast(0.0, queue_s=1.5, prefill_s=0.2, target_s=0.8)
        assert not starts_in_time(late)
        again = retry_after_queue(late)
        assert starts_in_time(FirstEventForecast(0.0, 1.5 - again, 0.2, 0.8))

    def test_what_has_waited_has_less_time_in_line(self):
        assert not starts_in_time(
            FirstEventForecast(0.5, queue_s=0.5, prefill_s=0.2, target_s=0.8)
        )

    def test_longest_prompts_are_served_where_the_line_is_short(self):
        # A prompt takes an engine longer than its target. It is late wherever it
        # goes; refused for that, it would never be served.
        assert starts_in_time(
            FirstEventForecast(0.0, queue_s=0.2, prefill_s=1.5, target_s=0.8)
        )
        assert not starts_in_time(
            FirstEventForecast(0.0, queue_s=0.5, prefill_s=1.5, target_s=0.8)
        )

    @pytest.mark.parametrize("seed", range(3))
    def test_callers_are_served_in_time_after_the_loss_of_engines(self, seed):
        # Two engines of five are lost, and prompts of a little more than the others
        # read keep coming. All are sent: 12 to 56 of 100 callers have their first
        # event in time, since the line grows and grows. Where those that would be
        # late are refused, 87 to 92 do, and 4 to 8 are told when to come back.
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
    def test_nodes_together_stay_within_the_bound(self):
        # Six nodes cannot talk to each other, and every request at each fails.
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

    def test_reloaded_settings_do_not_renew_a_spent_budget(self):
        # Operators send SIGHUP again and again while a service fails.
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
    def test_nobody_waits_longer_than_the_answer_is_worth(self, remaining_s):
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

    def test_callers_come_back_one_after_the_other(self):
        times = [retry_after(waiting, 10.0, 30.0) for waiting in range(5)]
        assert times == sorted(times)
        assert times[4] - times[0] == pytest.approx(0.4)

    def test_nobody_is_sent_away_for_longer_than_it_would_stay_away(self):
        assert retry_after(1000, 1.0, 3.0) == 1.0
