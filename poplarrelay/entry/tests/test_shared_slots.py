"""Teams and priorities that compete for plain endpoints behind running nodes."""

from __future__ import annotations

import asyncio
from functools import partial
from time import monotonic

import pytest

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.http.connection import CompleteResponse
from poplarrelay.entry.state import EntryState
from poplarrelay.identifiers import TeamId
from poplarrelay.testing.entry_site import (
    CALLS,
    KEY,
    STREAMS,
    EntrySite,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)

OTHER_KEY = "key-of-beta"
#: Seconds for which an endpoint runs a call, and calls that it runs at a time.
CALL_S, SLOTS = 0.1, 2
#: Target of the calls: far longer than the nodes' common event loop may stand still.
TARGET_MS = 1000
#: Part of its calls that a team which asks for less than its share must get served.
SERVED_TARGET = 0.95


async def send_calls(
    site: EntrySite, node: str, key: str, per_s: float, for_s: float
) -> list[int]:
    """Send calls of a team to a node at a rate; return their statuses."""
    started_at = monotonic()
    sent: list[asyncio.Task[CompleteResponse]] = []
    while (elapsed_s := monotonic() - started_at) < for_s:
        while len(sent) < per_s * elapsed_s:
            call = site.call("/look/x", node, Authorization=f"Bearer {key}")
            sent.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)
    return [response.status for response in await asyncio.gather(*sent)]


async def start_endpoints(site: EntrySite) -> None:
    """Configure two teams, and start two endpoints with few slots."""
    teams = [
        {"name": "alpha", "apiKeys": [KEY]},
        {"name": "beta", "apiKeys": [OTHER_KEY]},
    ]
    configuration = entry_configuration(2, tenants=teams)
    for route in configuration["routes"]:
        route.update(targetLatencyMs=TARGET_MS, timeoutMs=3 * TARGET_MS)
    site.store.put("keyed.op", "config", configuration)
    for number in range(2):
        await site.add_runner(f"r{number}", CALLS, pause_s=CALL_S)
        site.list_runner(f"r{number}", CALLS, slots=SLOTS)
    for name in site.nodes:
        await site.ready(name, endpoints=2)
        await poll_until(partial(knows_everything, site, name), "teams and peers known")


def knows_everything(site: EntrySite, name: str) -> bool:
    """Return whether a node knows the slots, the teams and the other nodes."""
    state = site.nodes[name].state
    slots = {row.slots for row in state.endpoints.rows.values()}
    teams = () if state.configuration is None else state.configuration.teams
    return (
        slots == {SLOTS}
        and len(teams) == 2
        and len(state.coordinators()) == len(site.nodes)
    )


@pytest.mark.parametrize("flood_at", ["a", "b"])
def test_flood_of_one_team_does_not_starve_another(flood_at):
    # Guards against a team that takes all slots by sending several times what fits.
    async def scenario():
        async with run_entry_site(nodes=2, fair_shares=True) as site:
            await start_endpoints(site)
            flood, quiet = await asyncio.gather(
                send_calls(site, flood_at, KEY, per_s=120.0, for_s=4.0),
                send_calls(site, "b", OTHER_KEY, per_s=4.0, for_s=4.0),
            )
            assert quiet.count(200) >= SERVED_TARGET * len(quiet)
            assert set(flood) <= {200, 503}
            decisions = [
                node.slot_broker.statistics.decisions for node in site.nodes.values()
            ]
            assert sum(sum(each.values()) for each in decisions) > 0

    run_scenario(scenario)


def test_calls_are_served_after_the_coordinators_are_killed():
    # Guards against calls that wait for a coordinator which is gone.
    async def scenario():
        async with run_entry_site(nodes=3, fair_shares=True) as site:
            await start_endpoints(site)
            calls = asyncio.create_task(send_calls(site, "a", KEY, 10.0, 4.0))
            await asyncio.sleep(1.0)
            await site.kill_node("b")
            await site.kill_node("c")
            statuses = await calls
            assert statuses.count(200) >= SERVED_TARGET * len(statuses)

    run_scenario(scenario)


def test_metrics_and_log_show_the_decisions():
    async def scenario():
        async with run_entry_site(nodes=1, fair_shares=True) as site:
            await start_endpoints(site)
            assert (await site.call("/look/x")).status == 200
            metrics = (await site.get("control", "/metrics")).body.decode()
            assert 'poplarrelay_node{what="slots_granted"} 1' in metrics

    run_scenario(scenario)


def test_short_engines_are_divided_by_the_demand_of_all_nodes():
    # Guards against shares by the callers of one node, or that outlast the shortage.
    async def scenario():
        async with run_entry_site(nodes=2, fair_shares=True) as site:
            await start_endpoints(site)
            first, second = (node.state for node in site.nodes.values())
            service, flood, quiet = (
                ServiceName(STREAMS),
                TeamId("alpha"),
                TeamId("beta"),
            )
            now = monotonic()
            first.team_demand.note_short(service, now)
            while monotonic() < now + 1.5:
                first.team_demand.note_asked(service, flood, 900.0, monotonic())
                second.team_demand.note_asked(service, quiet, 40.0, monotonic())
                second.team_demand.note_served(service, 300.0, monotonic())
                await asyncio.sleep(0.1)
            await poll_until(
                lambda: all(
                    service in state.markers
                    and flood in state.markers[service].fractions
                    for state in (first, second)
                ),
                "shares known at both nodes",
            )
            fractions = second.markers[service].fractions
            assert quiet not in fractions
            assert 0.1 < fractions[flood] < 0.6
            metrics = (await site.get("control", "/metrics")).body.decode()
            assert "poplarrelay_team_share{" in metrics
            await poll_until(
                lambda: not first.markers and not second.markers, "no shares"
            )

    run_scenario(scenario)


def is_cut(state: EntryState, service: ServiceName, team: TeamId) -> bool:
    """Return whether a node knows that a team asks for more than its share."""
    marker = state.markers.get(service)
    return marker is not None and team in marker.fractions
