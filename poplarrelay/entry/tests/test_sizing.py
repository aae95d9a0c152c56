"""How many endpoints are ordered, played over waves of reclaims."""

from dataclasses import replace

import pytest

from poplarrelay.entry.configuration import Quota, ScalingLimits, ServiceName, Team
from poplarrelay.entry.demand import DemandMeter, expected_tokens_per_s
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.sizing import (
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


def rows(reclaimable=(), on_demand=(), leaving=()):
    made: list[Endpoint] = []
    kinds = [(reclaimable, True), (on_demand, False), (leaving, True)]
    for domains, kind in kinds:
        for domain in domains:
            row = Endpoint(
                EndpointId(f"e{len(made)}"),
                ServiceName("s"),
                ("127.0.0.1", 1),
                DomainId(domain),
                8,
                reclaimable=kind,
                leaving=domains is leaving and bool(leaving),
            )
            made.append(row)
    return made


def totals(plan):
    return sum(p.reclaimable for p in plan), sum(p.on_demand for p in plan)


def given(present, needed, **values):
    return SizingInput(LIMITS, present, needed, needed, **values)


def test_calm_needs_one_reclaimable_endpoint_a_domain():
    plan = plan_endpoints(given(rows("abc"), 0.6))
    assert all((p.reclaimable, p.on_demand) == (1, 0) for p in plan)


def test_demand_is_spread_cheapest_domain_first():
    plan = plan_endpoints(given(rows("abc"), 3.0))
    assert {p.domain: p.reclaimable for p in plan} == {"a": 1, "b": 2, "c": 1}


def test_limits_of_a_domain_hold_for_both_kinds_together():
    for exhausted_domains in ((), ("a",), ("a", "b", "c")):
        for present in (rows("abc", "aab"), rows("aabbcc"), rows("", "aaabbbccc")):
            plan = plan_endpoints(
                given(present, 100.0, exhausted_domains=exhausted_domains)
            )
            assert all(p.reclaimable + p.on_demand <= LIMITS.most for p in plan)


def test_first_endpoints_are_replaced_by_cheaper_ones():
    # Five on-demand endpoints are there at the start and nobody asks yet. Two stay
    # until reclaimable ones serve, then none.
    start = plan_endpoints(given(rows("", "aabbc"), 0.0))
    assert totals(start) == (3, 2)
    later = plan_endpoints(given(rows("abc", "ab"), 0.0))
    assert totals(later) == (3, 0)


def test_endpoints_found_at_the_start_stand_for_a_demand_that_is_not_known():
    # Six on-demand endpoints are there, no request has come. As many reclaimable
    # ones are ordered; two on-demand ones stay until those serve.
    found = plan_endpoints(given(rows("", "aabbcc"), 0.0, least=6))
    assert totals(found)[0] >= 3
    served = plan_endpoints(given(rows("aabbcc"), 0.0, least=6))
    assert totals(served) == (6, 0)


def test_wave_is_replaced_on_demand_while_none_are_to_be_had():
    # Two of three domains are taken within seconds, and no reclaimable endpoints are
    # to be had anywhere. With one engine left all callers would be late. The demand
    # of four engines is known all along: three come at the notice, not when requests
    # have piled up at the engine that is left.
    exhausted_domains = ("a", "b", "c")
    lost = plan_endpoints(
        given(rows("a", "", "bc"), 4.0, exhausted_domains=exhausted_domains)
    )
    assert totals(lost)[1] == 3
    booted = plan_endpoints(
        given(rows("a", "bbc"), 4.0, exhausted_domains=exhausted_domains)
    )
    assert totals(booted)[1] == 3
    back = plan_endpoints(given(rows("abbbcc", "bbc"), 4.0))
    assert totals(back)[1] == 0


def test_wave_is_made_up_for_in_other_domains():
    # One domain of three is taken. Reclaimable endpoints of the others boot just as
    # fast as on-demand ones and cost a fraction.
    plan = plan_endpoints(given(rows("aabb", "", "cc"), 4.0, exhausted_domains=("c",)))
    assert {p.domain: p.reclaimable for p in plan} == {"a": 2, "b": 3, "c": 0}
    assert totals(plan)[1] == 0


def test_endpoints_that_do_not_come_are_replaced_on_demand():
    # Three were ordered in a domain and should serve by now. Perhaps a wave took them
    # as they booted; nobody says so.
    booting = {DomainId("a"): 3, DomainId("b"): 1, DomainId("c"): 1}
    still = plan_endpoints(given(rows("bc"), 4.0, ordered=booting))
    assert totals(still)[1] == 0
    late = plan_endpoints(
        given(rows("bc"), 4.0, ordered=booting, overdue_domains=("a",))
    )
    assert totals(late)[1] == 2


def test_dear_endpoints_come_for_the_mean_and_not_for_peaks():
    # Few long prompts make the demand swing. Reclaimable endpoints are had for its
    # peaks; on-demand ones, paid for their boot at least, for what lasts.
    calm = SizingInput(LIMITS, rows("a"), 6.0, 3.0, exhausted_domains=tuple(DOMAINS))
    assert totals(plan_endpoints(calm))[1] == 2
    lasting = SizingInput(LIMITS, rows("a"), 6.0, 6.0, exhausted_domains=tuple(DOMAINS))
    assert totals(plan_endpoints(lasting))[1] == 5


def test_dear_endpoints_make_up_for_less_than_cheap_ones():
    # No reclaimable endpoints are to be had, and ten are needed. At the same price
    # on-demand ones come for all; at many times the price callers wait a little.
    exhausted_domains = tuple(DOMAINS)
    cheap = ScalingLimits(1, 9, 4.0, 1.0, DOMAINS)
    dear = ScalingLimits(1, 9, 4.0, 0.0, DOMAINS)
    counts = [
        totals(
            plan_endpoints(
                SizingInput(
                    limits, rows(), 10.0, 10.0, exhausted_domains=exhausted_domains
                )
            )
        )[1]
        for limits in (cheap, dear)
    ]
    assert counts == [10, 9]


def test_on_demand_endpoints_serve_until_reclaimable_ones_do():
    # Reclaimable endpoints can be had again and boot. Given up at the order, the
    # on-demand ones are missed for the seconds of the boot.
    booting = {DomainId("a"): 2, DomainId("b"): 1, DomainId("c"): 1}
    plan = plan_endpoints(given(rows("a", "bbc"), 4.0, ordered=booting))
    assert totals(plan)[1] == 3
    serving = plan_endpoints(given(rows("aabc", "bbc"), 4.0))
    assert totals(serving)[1] == 0


def test_what_piled_up_orders_nothing():
    # Requests wait at the engines after a loss. The demand is that of three engines,
    # and a new endpoint would serve when they are through.
    piled = rows("abc")
    for row in piled:
        row.running = 8
    plan = plan_endpoints(given(piled, max(3.0, count_for_load(24.0, 64))))
    assert totals(plan) == (4, 0)


def test_endpoints_are_not_moved_from_domain_to_domain():
    # A domain that was dry has endpoints to be had again. What serves elsewhere stays
    # until those have booted; nobody is without an endpoint meanwhile.
    plan = plan_endpoints(given(rows("aabb"), 3.0))
    counts = {p.domain: p.reclaimable for p in plan}
    assert counts == {"a": 2, "b": 2, "c": 1}
    after = plan_endpoints(given(rows("aabbc"), 3.0))
    assert totals(after) == (4, 0)


def test_what_cannot_be_had_takes_no_room():
    # At high demand all domains are to be full of reclaimable endpoints, and none are
    # to be had. The places are free for on-demand ones; planned ones do not count.
    exhausted_domains = tuple(DOMAINS)
    plan = plan_endpoints(given(rows("a"), 12.0, exhausted_domains=exhausted_domains))
    assert totals(plan) == (1, 8)
    # Those that were ordered before the wave came are not to be had either.
    lost = given(
        rows("a"),
        12.0,
        exhausted_domains=exhausted_domains,
        ordered=dict.fromkeys(DOMAINS, 3),
    )
    assert totals(plan_endpoints(replace(lost, overdue_domains=exhausted_domains))) == (
        1,
        8,
    )


def test_endpoints_that_were_given_up_are_no_wave():
    # The count of two domains is lowered by one each, and what was given up says that
    # it leaves, as endpoints do that a wave takes. A wave takes all of a domain.
    lowered = rows("aabbc", "", "ab")
    ordered = {DomainId("a"): 2, DomainId("b"): 2, DomainId("c"): 1}
    assert reclaimed_domains(lowered, ordered) == set()
    assert reclaimed_domains(rows("aab", "", "cc"), ordered) == {"c"}
    assert reclaimed_domains(rows("aab", "", "cc"), {DomainId("c"): 0}) == set()
    assert reclaimed_domains(rows("aab", "", "cc"), {DomainId("c"): None}) == {"c"}


def test_no_on_demand_endpoint_is_added_while_reclaimable_ones_can_be_had():
    plan = plan_endpoints(given(rows("a"), 6.0))
    assert totals(plan)[1] == 0


def test_demand_orders_endpoints_before_requests_pile_up():
    # Traffic has just begun: callers ask for 1.4 million tokens a second, and no
    # request has been at an engine for long. Sized by the requests there, sixteen
    # engines were left with three dozen engines' load for the seven seconds that it
    # took to see it and to boot more; first events took over a second.
    limits = ScalingLimits(1, 46, 4.0, 0.18, DOMAINS)
    needed = count_needed(1_400_000.0, 60_000.0)
    early = SizingInput(limits, rows("abc"), needed, needed)
    assert totals(plan_endpoints(early))[0] >= 28
    calm = given(rows("abc"), count_for_load(40.0, 64))
    assert totals(plan_endpoints(calm))[0] < 8


def test_quotas_tell_the_size_of_the_load_before_it_comes():
    tokens = Quota(100_000.0, 1e6, in_tokens=True, default_cost=1.0)
    calls = Quota(500.0, 1e3, in_tokens=False, default_cost=1.0)
    teams = [
        Team(TeamId(f"t{i}"), frozenset(), None, quota)
        for i, quota in enumerate((tokens, tokens, calls, None))
    ]
    assert expected_tokens_per_s(teams) == 100_000.0


def test_demand_is_that_of_the_last_seconds():
    meter = DemandMeter()
    for step in range(50):
        meter.note(ServiceName("s"), 900, 100, step * 0.1)
    assert meter.rates(5.0) == {"s": 10_000}
    assert meter.rates(60.0) == {}


def test_prompts_that_engines_keep_are_no_demand():
    # Callers ask again and again about the same long documents. Engines keep nine
    # tenths of what is asked, and a tenth of the engines carries it.
    meter = DemandMeter()
    for _ in range(400):
        meter.note_unread(ServiceName("s"), 10_000, 1_000)
    for step in range(50):
        meter.note(ServiceName("s"), 10_000, 0, step * 0.1)
    assert meter.rates(5.0)[ServiceName("s")] == pytest.approx(10_000, rel=0.05)


@pytest.mark.parametrize("speed", [25_000.0, 61_800.0, 110_000.0])
def test_engines_of_any_speed_are_sized_for_what_they_read(speed):
    # Customers' engines read from 25,000 to 110,000 tokens a second. Sized for one
    # speed, the slow ones were in line at twice what they read, and of the fast ones
    # twice as many were paid for as were needed.
    needed = count_needed(158_000.0, speed)
    assert 0.6 <= 158_000.0 / (needed * speed) <= 0.8


def test_long_answers_take_slots():
    # Prompts of a few tokens and answers of a minute: nothing is in line, and the
    # batches fill up.
    assert count_for_load(64.0, 16) == 8.0


def test_capacity_lost_to_limits_is_replaced():
    # Guards against counting a limited endpoint at full capacity.
    found = rows("abc")
    found[0].limit_per_s = 1.0
    found[1].limit_per_s = 50.0
    assert count_lost_to_limits(found, requests_per_s=10.0) == pytest.approx(0.9)
    needed = 2.0 + count_lost_to_limits(found, requests_per_s=10.0)
    assert totals(plan_endpoints(given(found, needed)))[0] == 4
    found[0].leaving = True
    assert count_lost_to_limits(found, requests_per_s=10.0) == 0.0
