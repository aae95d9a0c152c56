"""Test that endpoints are chosen by price, predicted time and cached prefixes."""

from collections import Counter
from random import Random

import pytest

from poplarrelay.identifiers import DomainId, EndpointId, RequestId, TeamId
from poplarrelay.settings import RoutingPolicy
from poplarrelay.systems.routing import (
    Criteria,
    choose_endpoint,
    predict_first_token,
)
from poplarrelay.tables.endpoints import EndpointKind, EndpointState, LoadReport
from poplarrelay.tables.requests import Request, RequestClass, Work, WorkKind
from poplarrelay.testing.worlds import make_endpoint

NOW = 100.0
DOMAINS = ("east", "west", "north", "south")


def engine(index, running=0, **changes):
    report = LoadReport(running, 0, 8, 0, 1000.0, 0.01)
    values = {"report": report, "reported_at": NOW, **changes}
    return make_endpoint(f"e{index}", EndpointKind.ENGINE, DOMAINS[index % 4], **values)


def request(prompt_tokens=100, prefix="p", request_class=RequestClass.STANDARD):
    work = Work(
        WorkKind.COMPLETION, "small", prompt_tokens=prompt_tokens, prefix=prefix
    )
    return Request(
        RequestId("r"), TeamId("t"), work, request_class, NOW, NOW + 30.0, 1.7
    )


def criteria(**changes):
    values = {
        "domains": frozenset(DomainId(d) for d in DOMAINS),
        "avoided": frozenset(),
        "tried": frozenset(),
        "now": NOW,
    }
    return Criteria(**{**values, **changes})


def choose(endpoints, routed_request=None, seed=1, **changes):
    routed_request = routed_request or request()
    choice = choose_endpoint(
        endpoints, routed_request, criteria(**changes), Random(seed)
    )
    return None if choice is None else choice.endpoint.id


def test_the_cheapest_engine_that_meets_the_target_is_chosen():
    expensive, cheap = engine(0, price=4.0), engine(1, running=5, price=1.0)
    assert choose([expensive, cheap]) == "e1"


def test_a_cheap_engine_that_misses_the_target_is_not_chosen():
    report = LoadReport(4, 0, 8, 5000, 1000.0, 0.01)
    expensive, cheap = engine(0, price=4.0), engine(1, price=1.0, report=report)
    assert choose([expensive, cheap]) == "e0"


def test_the_fastest_engine_is_chosen_if_none_meets_the_target():
    slow = LoadReport(4, 0, 8, 9000, 1000.0, 0.01)
    slower = LoadReport(4, 0, 8, 20000, 1000.0, 0.01)
    assert choose([engine(0, report=slower), engine(1, report=slow)]) == "e1"


def test_requests_sent_since_the_report_count_as_load():
    one, other = engine(0), engine(1)
    one.note_sent(RequestId("x"), 3000, NOW)
    assert predict_first_token(one, request(), NOW) > 3.0
    assert choose([one, other]) == "e1"


def test_a_report_includes_only_changes_older_than_its_lag():
    one = engine(0)
    one.note_sent(RequestId("old"), 10, NOW - 1.0)
    one.note_sent(RequestId("new"), 10, NOW - 0.1)
    one.note_report(one.report, NOW, lag_s=0.3)
    assert [change.at for change in one.changes] == [NOW - 0.1]


def test_a_prompt_goes_to_the_engine_that_has_its_prefix():
    engines = [engine(index) for index in range(4)]
    engines[2].prefixes["t/p"] = NOW - 5.0
    assert {choose(engines, seed=seed) for seed in range(10)} == {"e2"}


def test_a_full_engine_is_not_chosen_for_a_cached_prefix():
    engines = [engine(index) for index in range(4)]
    engines[2].prefixes["t/p"] = NOW - 5.0
    engines[2].report = LoadReport(8, 8, 8, 0, 1000.0, 0.01)
    assert choose(engines) != "e2"


def test_prefixes_of_another_team_do_not_count_as_cached():
    engines = [engine(index) for index in range(4)]
    engines[2].prefixes["other/p"] = NOW - 5.0
    assert len({choose(engines, seed=seed) for seed in range(20)}) > 1


def test_domains_under_notice_are_used_only_without_alternative():
    engines = [engine(0), engine(1)]
    avoided = frozenset({DomainId("east")})
    assert {choose(engines, seed=s, avoided=avoided) for s in range(9)} == {"e1"}
    assert choose(engines[:1], avoided=avoided) == "e0"


def test_engines_that_leave_or_pause_or_lack_the_model_are_not_chosen():
    leaving = engine(0, state=EndpointState.LEAVING)
    paused = engine(1, closed_until=NOW + 1.0)
    without = engine(2, loaded=frozenset({"other"}))
    assert choose([leaving, paused, without]) is None


def test_patient_work_waits_for_a_free_slot():
    full = engine(0, running=8)
    assert choose([full]) == "e0"
    patient = request(request_class=RequestClass.PATIENT)
    assert choose([full], routed_request=patient) is None


def _largest_share(policy, nodes=200, engines=20):
    """Return the largest share of one engine when all nodes see the same report."""
    counted: Counter[EndpointId] = Counter()
    for node in range(nodes):
        pool = [engine(index, running=3 - (index == 7)) for index in range(engines)]
        counted[choose(pool, seed=node, policy=policy)] += 1
    return max(counted.values()) / nodes


def test_nodes_with_the_same_old_report_choose_different_engines():
    # Guards against all nodes sending to the engine that reports the lowest load. The
    # sample of two random engines spreads the requests.
    assert _largest_share(RoutingPolicy.LEAST_REPORTED_LOAD) == 1.0
    assert _largest_share(RoutingPolicy.PREDICTED) < 0.2


@pytest.mark.parametrize("policy", list(RoutingPolicy))
def test_every_policy_chooses_an_engine_with_free_slots(policy):
    engines = [engine(0, running=16), engine(1), engine(2)]
    assert choose(engines, policy=policy) in ("e1", "e2")
