"""Tests of the number of endpoints that are ordered, also during reclaims."""

from dataclasses import replace

import pytest

from poplarrelay.entry.configuration import Quota, ScalingLimits, ServiceName, Team
from poplarrelay.entry.demand import DemandMeter, expected_tokens_per_s
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.scheduling.sizing import (
    SizingInput,
    count_for_load,
    count_lost_to_limits,
    count_needed,
    plan_endpoints,
    reclaimed_domains,
)
from poplarrelay.identifiers import DomainId, EndpointId, TeamId

DOMAINS = {DomainId("a"): 1.0, DomainId("b"): 0.8, DomainId("c"): 1.25}
LIMITS = ScalingLimits(1, 3, 4.0, 0.18, DOMAINS)


def make_rows(reclaimable=(), on_demand=(), leaving=()):
    rows: list[Endpoint] = []
    kinds = [(reclaimable, True), (on_demand, False), (leaving, True)]
    for domains, kind in kinds:
        for domain in domains:
            row = Endpoint(
                EndpointId(f"e{len(rows)}"),
                ServiceName("s"),
                ("127.0.0.1", 1),
                DomainId(domain),
                8,
                reclaimable=kind,
                leaving=domains is leaving and bool(leaving),
            )
            rows.append(row)
    return rows


def totals(plan):
    return sum(p.reclaimable for p in plan), sum(p.on_demand for p in plan)


def make_sizing_input(present, needed, **values):
    return SizingInput(LIMITS, present, needed, needed, **values)


def test_low_demand_needs_one_reclaimable_endpoint_per_domain():
    plan = plan_endpoints(make_sizing_input(make_rows("abc"), 0.6))
    assert all((p.reclaimable, p.on_demand) == (1, 0) for p in plan)


def test_demand_is_spread_cheapest_domain_first():
    plan = plan_endpoints(make_sizing_input(make_rows("abc"), 3.0))
    assert {p.domain: p.reclaimable for p in plan} == {"a": 1, "b": 2, "c": 1}


def test_limits_of_a_domain_hold_for_both_kinds_together():
    for exhausted_domains in ((), ("a",), ("a", "b", "c")):
        for present in (
            make_rows("abc", "aab"),
            make_rows("aabbcc"),
            make_rows("", "aaabbbccc"),
        ):
            plan = plan_endpoints(
                make_sizing_input(present, 100.0, exhausted_domains=exhausted_domains)
            )
            assert all(
                p.reclaimable + p.on_demand <= LIMITS.max_endpoints for p in plan
            )


def test_initial_on_demand_endpoints_are_replaced_by_reclaimable_ones():
    # Five on-demand endpoints exist at the start, without demand. Two of them are kept
    # until reclaimable ones serve.
    start = plan_endpoints(make_sizing_input(make_rows("", "aabbc"), 0.0))
    assert totals(start) == (3, 2)
    later = plan_endpoints(make_sizing_input(make_rows("abc", "ab"), 0.0))
    assert totals(later) == (3, 0)


def test_initial_endpoint_count_is_kept_while_the_demand_is_unknown():
    # Guards against the loss of initial capacity before the first request. As many
    # reclaimable endpoints are ordered as the six on-demand ones, two of which are kept
    # until the others serve.
    initial = plan_endpoints(
        make_sizing_input(make_rows("", "aabbcc"), 0.0, min_endpoints=6)
    )
    assert totals(initial)[0] >= 3
    served = plan_endpoints(
        make_sizing_input(make_rows("aabbcc"), 0.0, min_endpoints=6)
    )
    assert totals(served) == (6, 0)


def test_reclaimed_endpoints_are_replaced_on_demand_if_all_domains_are_exhausted():
    # Two of three domains are reclaimed and all are exhausted. The demand needs four
    # engines; with only one left, all answers would be late. Guards against
    # replacements that are ordered only when requests accumulate, not at the notice.
    exhausted_domains = ("a", "b", "c")
    lost = plan_endpoints(
        make_sizing_input(
            make_rows("a", "", "bc"), 4.0, exhausted_domains=exhausted_domains
        )
    )
    assert totals(lost)[1] == 3
    booted = plan_endpoints(
        make_sizing_input(
            make_rows("a", "bbc"), 4.0, exhausted_domains=exhausted_domains
        )
    )
    assert totals(booted)[1] == 3
    back = plan_endpoints(make_sizing_input(make_rows("abbbcc", "bbc"), 4.0))
    assert totals(back)[1] == 0


def test_reclaimed_endpoints_are_replaced_in_other_domains():
    # One of three domains is reclaimed. Guards against on-demand replacements, since
    # reclaimable endpoints in other domains boot as fast and cost a fraction.
    plan = plan_endpoints(
        make_sizing_input(make_rows("aabb", "", "cc"), 4.0, exhausted_domains=("c",))
    )
    assert {p.domain: p.reclaimable for p in plan} == {"a": 2, "b": 3, "c": 0}
    assert totals(plan)[1] == 0


def test_overdue_reclaimable_endpoints_are_replaced_on_demand():
    # Guards against counting on three ordered endpoints that should already serve. A
    # reclaim can take booting endpoints without any notice to the nodes.
    booting = {DomainId("a"): 3, DomainId("b"): 1, DomainId("c"): 1}
    still = plan_endpoints(make_sizing_input(make_rows("bc"), 4.0, ordered=booting))
    assert totals(still)[1] == 0
    late = plan_endpoints(
        make_sizing_input(make_rows("bc"), 4.0, ordered=booting, overdue_domains=("a",))
    )
    assert totals(late)[1] == 2


def test_on_demand_endpoints_cover_the_mean_demand_and_not_its_peaks():
    # A few long prompts make the demand vary. Guards against on-demand endpoints for
    # short peaks, since each is paid at least for its boot.
    calm = SizingInput(
        LIMITS, make_rows("a"), 6.0, 3.0, exhausted_domains=tuple(DOMAINS)
    )
    assert totals(plan_endpoints(calm))[1] == 2
    lasting = SizingInput(
        LIMITS, make_rows("a"), 6.0, 6.0, exhausted_domains=tuple(DOMAINS)
    )
    assert totals(plan_endpoints(lasting))[1] == 5


def test_fewer_on_demand_endpoints_are_ordered_if_they_are_more_expensive():
    # Ten endpoints are needed and none are reclaimable. At the same price on-demand
    # endpoints replace all; at many times the price callers wait a little longer.
    exhausted_domains = tuple(DOMAINS)
    cheap = ScalingLimits(1, 9, 4.0, 1.0, DOMAINS)
    expensive = ScalingLimits(1, 9, 4.0, 0.0, DOMAINS)
    counts = [
        totals(
            plan_endpoints(
                SizingInput(
                    limits, make_rows(), 10.0, 10.0, exhausted_domains=exhausted_domains
                )
            )
        )[1]
        for limits in (cheap, expensive)
    ]
    assert counts == [10, 9]


def test_on_demand_endpoints_are_kept_until_reclaimable_ones_serve():
    # Reclaimable endpoints are available again and boot. Guards against on-demand
    # endpoints that are released at the order, seconds before the others serve.
    booting = {DomainId("a"): 2, DomainId("b"): 1, DomainId("c"): 1}
    plan = plan_endpoints(
        make_sizing_input(make_rows("a", "bbc"), 4.0, ordered=booting)
    )
    assert totals(plan)[1] == 3
    serving = plan_endpoints(make_sizing_input(make_rows("aabc", "bbc"), 4.0))
    assert totals(serving)[1] == 0


def test_accumulated_requests_order_no_endpoints():
    # Requests have accumulated after a loss, and the demand needs three engines. Guards
    # against orders for requests that end before a new endpoint serves.
    rows = make_rows("abc")
    for row in rows:
        row.running = 8
    plan = plan_endpoints(make_sizing_input(rows, max(3.0, count_for_load(24.0, 64))))
    assert totals(plan) == (4, 0)


def test_endpoints_are_kept_when_another_domain_becomes_available():
    # A domain is no longer exhausted. Guards against releasing endpoints that serve in
    # other domains before the new ones have booted.
    plan = plan_endpoints(make_sizing_input(make_rows("aabb"), 3.0))
    counts = {p.domain: p.reclaimable for p in plan}
    assert counts == {"a": 2, "b": 2, "c": 1}
    after = plan_endpoints(make_sizing_input(make_rows("aabbc"), 3.0))
    assert totals(after) == (4, 0)


def test_unavailable_reclaimable_endpoints_do_not_use_up_the_domain_limit():
    # All domains are exhausted at high demand. Guards against planned reclaimable
    # endpoints that count against the domain's limit and block on-demand ones.
    exhausted_domains = tuple(DOMAINS)
    plan = plan_endpoints(
        make_sizing_input(make_rows("a"), 12.0, exhausted_domains=exhausted_domains)
    )
    assert totals(plan) == (1, 8)
    # Endpoints that were ordered before the reclaim are not available either.
    lost = make_sizing_input(
        make_rows("a"),
        12.0,
        exhausted_domains=exhausted_domains,
        ordered=dict.fromkeys(DOMAINS, 3),
    )
    assert totals(plan_endpoints(replace(lost, overdue_domains=exhausted_domains))) == (
        1,
        8,
    )


def test_released_endpoints_do_not_count_as_reclaimed():
    # Released endpoints leave like reclaimed ones. Guards against mistaking a
    # lowered count for a reclaim, which takes all reclaimable endpoints of a domain.
    lowered = make_rows("aabbc", "", "ab")
    ordered = {DomainId("a"): 2, DomainId("b"): 2, DomainId("c"): 1}
    assert reclaimed_domains(lowered, ordered) == set()
    assert reclaimed_domains(make_rows("aab", "", "cc"), ordered) == {"c"}
    assert reclaimed_domains(make_rows("aab", "", "cc"), {DomainId("c"): 0}) == set()
    assert reclaimed_domains(make_rows("aab", "", "cc"), {DomainId("c"): None}) == {"c"}


def test_no_on_demand_endpoint_is_added_while_reclaimable_ones_are_available():
    plan = plan_endpoints(make_sizing_input(make_rows("a"), 6.0))
    assert totals(plan)[1] == 0


def test_demand_orders_endpoints_before_requests_accumulate():
    # Callers start to ask for 1.4 million tokens per second. When endpoints were
    # sized by the requests in flight, for 7 s sixteen engines served a load that needs
    # three dozen, until more were ordered and booted; first events took over a second.
    limits = ScalingLimits(1, 46, 4.0, 0.18, DOMAINS)
    needed = count_needed(1_400_000.0, 60_000.0)
    early = SizingInput(limits, make_rows("abc"), needed, needed)
    assert totals(plan_endpoints(early))[0] >= 28
    calm = make_sizing_input(make_rows("abc"), count_for_load(40.0, 64))
    assert totals(plan_endpoints(calm))[0] < 8


def test_expected_demand_is_half_of_the_token_quotas():
    tokens = Quota(100_000.0, 1e6, in_tokens=True, default_cost=1.0)
    calls = Quota(500.0, 1e3, in_tokens=False, default_cost=1.0)
    teams = [
        Team(TeamId(f"t{i}"), frozenset(), None, quota)
        for i, quota in enumerate((tokens, tokens, calls, None))
    ]
    assert expected_tokens_per_s(teams) == 100_000.0


def test_demand_counts_only_recent_requests():
    meter = DemandMeter()
    for step in range(50):
        meter.note(ServiceName("s"), 900, 100, step * 0.1)
    assert meter.rates(5.0) == {"s": 10_000}
    assert meter.rates(60.0) == {}


def test_cached_prompt_tokens_do_not_count_as_demand():
    # Callers repeatedly send the same long documents. Engines have nine tenths of the
    # prompts cached, and a tenth of the engines is enough.
    meter = DemandMeter()
    for _ in range(400):
        meter.note_uncached(ServiceName("s"), 10_000, 1_000)
    for step in range(50):
        meter.note(ServiceName("s"), 10_000, 0, step * 0.1)
    assert meter.rates(5.0)[ServiceName("s")] == pytest.approx(10_000, rel=0.05)


@pytest.mark.parametrize("speed", [25_000.0, 61_800.0, 110_000.0])
def test_endpoint_count_follows_the_prefill_speed(speed):
    # Engines prefill 25,000 to 110,000 tokens per second. With one assumed speed, slow
    # engines got twice the load that they can prefill, and twice as many fast engines
    # were paid for as were needed.
    needed = count_needed(158_000.0, speed)
    assert 0.6 <= 158_000.0 / (needed * speed) <= 0.8


def test_long_answers_are_sized_by_slots():
    # Short prompts with answers of a minute: no prompts are queued, but the batches
    # become full.
    assert count_for_load(64.0, 16) == 8.0


def test_capacity_lost_to_limits_is_replaced():
    # Guards against counting a limited endpoint at full capacity.
    limited = make_rows("abc")
    limited[0].limit_per_s = 1.0
    limited[1].limit_per_s = 50.0
    assert count_lost_to_limits(limited, requests_per_s=10.0) == pytest.approx(0.9)
    needed = 2.0 + count_lost_to_limits(limited, requests_per_s=10.0)
    assert totals(plan_endpoints(make_sizing_input(limited, needed)))[0] == 4
    limited[0].leaving = True
    assert count_lost_to_limits(limited, requests_per_s=10.0) == 0.0
