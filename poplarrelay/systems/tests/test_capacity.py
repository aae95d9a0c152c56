"""Test that hosts start and stop by demand and price, each exactly once."""

import pytest

from poplarrelay.configuration.schema import CapacityPolicy
from poplarrelay.identifiers import DomainId
from poplarrelay.messages.platform import StartedHost
from poplarrelay.systems.capacity import _free_token, plan_capacity
from poplarrelay.tables.capacity import Demand
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site, wait_until

DOMAINS = [DomainId(name) for name in ("east", "west", "north", "south")]
OFFERS = (
    {"machine_class": "spot", "price": 1.0, "reclaimable": True},
    {"machine_class": "spot-large", "price": 1.5, "reclaimable": True},
    {"machine_class": "fixed", "price": 4.0, "reclaimable": False},
)


def policy(**changes):
    values = {
        "model": "small",
        "slots": 10,
        "max_hosts": 20,
        "headroom": 1.0,
        "offers": OFFERS,
    }
    return CapacityPolicy.model_validate({**values, **changes})


def host(number, domain="east", machine_class="spot", **changes):
    values = {
        "token": f"small.{domain}.{machine_class}.{number}",
        "model": "small",
        "machine_class": machine_class,
        "domain": DomainId(domain),
        "starting": False,
        "stopping": False,
    }
    return StartedHost(**{**values, **changes})


def plan(hosts, total, urgent=0.0, refused=(), **changes):
    return plan_capacity(
        policy(**changes), hosts, Demand(total, urgent), DOMAINS, frozenset(refused)
    )


def test_hosts_start_with_the_cheapest_offer_and_in_different_domains():
    starts = plan([], 20.0).starts
    assert [offer.machine_class for _, offer in starts] == ["spot", "spot"]
    assert len({domain for domain, _ in starts}) == 2


def test_at_most_two_hosts_start_at_a_time():
    assert len(plan([], 200.0).starts) == 2
    assert not plan([host(1, starting=True), host(2, starting=True)], 200.0).starts


def test_a_refused_offer_is_replaced_by_the_next():
    refused = {(domain, "spot") for domain in DOMAINS}
    starts = plan([], 10.0, refused=refused).starts
    assert [offer.machine_class for _, offer in starts] == ["spot-large"]


def test_nothing_is_started_when_everything_is_refused():
    refused = {(d, o["machine_class"]) for d in DOMAINS for o in OFFERS}
    assert plan([], 50.0, refused=refused).starts == ()


def test_base_hosts_start_on_machines_that_are_not_reclaimable():
    starts = plan([], 10.0, base_hosts=1).starts
    assert starts[0][1].machine_class == "fixed"


def test_urgent_demand_adds_a_host_for_the_loss_of_a_domain():
    hosts = [host(1, "east"), host(1, "west"), host(1, "north")]
    assert not plan(hosts, 30.0).starts
    assert len(plan(hosts, 30.0, urgent=30.0).starts) == 1


def test_the_most_expensive_spare_host_is_stopped_first():
    hosts = [host(1, "east"), host(1, "west", "fixed"), host(2, "east")]
    stops = plan([*hosts, host(1, "north")], 10.0).stops
    assert [h.machine_class for h in stops] == ["fixed"]


def test_base_hosts_are_not_stopped():
    hosts = [host(1, "east", "fixed"), host(1, "west"), host(2, "west")]
    stops = plan([*hosts, host(1, "north")], 10.0, base_hosts=1).stops
    assert [h.machine_class for h in stops] == ["spot"]


def test_one_spare_host_is_not_stopped():
    assert plan([host(1), host(2)], 10.0).stops == ()


def test_a_token_has_the_lowest_number_that_is_not_listed():
    taken = {"small.east.spot.1", "small.east.spot.3"}
    token = _free_token("small", DomainId("east"), "spot", taken)
    assert token == "small.east.spot.2"


@pytest.mark.processes
def test_lost_answers_and_refusals_start_each_host_exactly_once():
    # Guards against hosts that are started twice or never. The holder needs four hosts.
    # The answers to the first starts are lost after the starts took effect, and the
    # holder crashes. Then the cloud refuses starts for a while.
    capacity = [{**policy(min_hosts=4).model_dump(mode="json")}]
    timing = {"lease_term_s": 5.0, "lease_margin_s": 1.0, "order_timeout_s": 0.5}
    with run_site(
        small_site(engines=1, template={"capacity": capacity}),
        settings={"timing": timing},
    ) as site:
        cloud = site.platform["cloud"]

        def started():
            # On a busy machine a request can time out.
            return wait_until(lambda: site.get(cloud, "/starts"))

        def tokens():
            return [h["token"] for h in started()["starts"]]

        site.faults("cloud", lose_answers=2, lost_s=2.0)
        wait_until(lambda: len(tokens()) >= 1, 30.0, "a first start")
        status = wait_until(lambda: site.status("node-1"))
        site.nodes[status["duties"]["placement"]["holder"]].kill()
        site.faults("cloud", refuse_starts=True)
        wait_until(lambda: started()["calls"] > 0)
        site.faults("cloud")
        wait_until(lambda: len(tokens()) == 4, 40.0, "four hosts")
        assert len(set(tokens())) == 4
        wait_until(lambda: all(h["state"] == "running" for h in started()["starts"]))
        assert len(tokens()) == 4
