"""How many endpoints are ordered, played over waves of reclaims."""

from poplarrelay.entry.configuration import Quota, ScalingLimits, ServiceName, Team
from poplarrelay.entry.demand import DemandMeter, expected_tokens_per_s
from poplarrelay.entry.endpoints import Endpoint
from poplarrelay.entry.sizing import (
    SizingInput,
    count_for_demand,
    domains_taken,
    plan_endpoints,
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


def test_calm_needs_one_reclaimable_endpoint_a_domain():
    plan = plan_endpoints(SizingInput(LIMITS, rows("abc"), 5.0, False))
    assert all((p.reclaimable, p.on_demand) == (1, 0) for p in plan)


def test_load_is_spread_cheapest_domain_first():
    plan = plan_endpoints(SizingInput(LIMITS, rows("abc"), 24.0, False))
    assert {p.domain: p.reclaimable for p in plan} == {"a": 1, "b": 2, "c": 1}


def test_limits_of_a_domain_hold_for_both_kinds_together():
    for scarce in (False, True):
        for present in (rows("abc", "aab"), rows("aabbcc"), rows("", "aaabbbccc")):
            plan = plan_endpoints(SizingInput(LIMITS, present, 1000.0, scarce))
            assert all(p.reclaimable + p.on_demand <= LIMITS.most for p in plan)


def test_first_endpoints_are_replaced_by_cheaper_ones():
    # Five on-demand endpoints are there at the start and there is no load yet. Two
    # stay until reclaimable ones serve, then none.
    start = plan_endpoints(SizingInput(LIMITS, rows("", "aabbc"), 0.0, False))
    assert totals(start) == (3, 2)
    later = plan_endpoints(SizingInput(LIMITS, rows("abc", "ab"), 0.0, False))
    assert totals(later) == (3, 0)


def test_endpoints_found_at_the_start_stand_for_a_load_that_is_not_known():
    # Six on-demand endpoints are there, no request has come. As many reclaimable
    # ones are ordered; two on-demand ones stay until those serve.
    given = SizingInput(LIMITS, rows("", "aabbcc"), 0.0, False, least=6)
    plan = plan_endpoints(given)
    assert totals(plan)[0] >= 3
    served = SizingInput(LIMITS, rows("aabbcc"), 0.0, False, least=6)
    assert totals(plan_endpoints(served)) == (6, 0)


def test_wave_is_replaced_on_demand_while_none_are_to_be_had():
    # Two of three domains are taken within seconds, and no reclaimable endpoints are
    # to be had anywhere. With one engine left all callers would be late.
    lost = plan_endpoints(SizingInput(LIMITS, rows("a", "", "bc"), 30.0, True))
    assert totals(lost)[1] == 3
    booted = plan_endpoints(SizingInput(LIMITS, rows("a", "bbc"), 30.0, True))
    assert totals(booted)[1] == 3
    back = plan_endpoints(SizingInput(LIMITS, rows("abbbcc", "bbc"), 30.0, False))
    assert totals(back)[1] == 0


def test_what_cannot_be_had_takes_no_room():
    # At high load all domains are to be full of reclaimable endpoints, and none are
    # to be had. The places are free for on-demand ones; planned ones do not count.
    plan = plan_endpoints(SizingInput(LIMITS, rows("a"), 90.0, True))
    assert totals(plan) == (1, 8)


def test_endpoints_that_were_given_up_are_no_wave():
    # The count of two domains is lowered by one each, and what was given up says that
    # it leaves, as endpoints do that a wave takes. A wave takes all of a domain.
    lowered = rows("aabbc", "", "ab")
    ordered = {DomainId("a"): 2, DomainId("b"): 2, DomainId("c"): 1}
    assert domains_taken(lowered, ordered) == set()
    assert domains_taken(rows("aab", "", "cc"), ordered) == {"c"}
    assert domains_taken(rows("aab", "", "cc"), {DomainId("c"): 0}) == set()
    assert domains_taken(rows("aab", "", "cc"), {DomainId("c"): None}) == {"c"}


def test_no_on_demand_endpoint_is_added_while_reclaimable_ones_can_be_had():
    plan = plan_endpoints(SizingInput(LIMITS, rows("a"), 60.0, False))
    assert totals(plan)[1] == 0


def test_demand_orders_endpoints_before_requests_pile_up():
    # Traffic has just begun: callers ask for 1.4 million tokens a second, and no
    # request has been at an engine for long. Sized by the requests there, sixteen
    # engines were left with three dozen engines' load for the seven seconds that it
    # took to see it and to boot more; first events took over a second.
    limits = ScalingLimits(1, 46, 4.0, 0.18, DOMAINS)
    early = SizingInput(limits, rows("abc"), 40.0, False, demand=1_400_000.0)
    assert totals(plan_endpoints(early))[0] >= 28
    calm = SizingInput(limits, rows("abc"), 40.0, False)
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
        meter.note(ServiceName("s"), 1000, step * 0.1)
    assert meter.rates(5.0) == {"s": 10_000}
    assert meter.rates(60.0) == {}


def test_engines_that_read_slowly_are_not_used_beyond_half():
    # A calm day asks for 158,000 tokens a second of engines that read 61,800. With one
    # for each 50,000, prompts were in line at four fifths of their time: a quarter of
    # the first events were late, and streams beside them paused.
    needed = count_for_demand(158_000.0)
    assert 158_000.0 / (needed * 61_800.0) <= 0.55
