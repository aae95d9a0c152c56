"""What nodes believe and do while the platform's store misbehaves."""

import asyncio

import orjson
import pytest

from poplarrelay.entry.configuration_follower import apply_configuration
from poplarrelay.entry.endpoint_list import COMEBACK_S
from poplarrelay.identifiers import EndpointId
from poplarrelay.standins.users.store import Outage
from poplarrelay.testing.entry_site import (
    CALLS,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)


def version(site, name):
    return site.nodes[name].state.me.configuration


def with_route(prefix):
    routes = entry_configuration()["routes"]
    return [*routes, {**routes[1], "name": "new", "pathPrefix": prefix}]


def test_node_without_a_configuration_says_so():
    # The store is away when the node starts. It must not claim that routes do not
    # exist: it refuses with the time to come back, and is not ready.
    async def scenario():
        async with run_entry_site() as site:
            await site.ready()
            site.store.put("keyed.op", "config", None)
            node = await site.add_node("late")
            node.state.configuration = None
            site.store_listeners["late"].outage = Outage.SILENT
            assert (await site.get("readiness", "/api/readyz", "late")).status == 503
            answer = await site.call("/look/x", node="late")
            assert answer.status == 503

    run_scenario(scenario)


def test_change_is_in_force_at_once_and_never_goes_back():
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            assert (await site.call("/new/x")).status == 404
            site.configure(5, routes=with_route("/new/"))
            await poll_until(lambda: version(site, "a") == version(site, "b") == 5)
            assert (await site.call("/new/x")).status == 200
            site.configure(4)
            site.configure(6, routes=with_route("/newer/"))
            await poll_until(lambda: version(site, "a") == 6)
            assert (await site.call("/new/x")).status == 404

    run_scenario(scenario)


@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.BUSY, Outage.RESET])
def test_node_that_the_store_refuses_learns_from_its_peers(outage):
    # The store turns node b away and serves node a. Operators take away a key and
    # an endpoint leaves: b learns both from a, and keeps serving.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            for runner in ("r1", "r2"):
                await site.add_runner(runner, CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=2)
            state = site.nodes["b"].state
            await poll_until(
                lambda: state.peers.alive(asyncio.get_running_loop().time())
            )
            site.store_listeners["b"].begin_outage(outage)
            tenants = [{"name": "alpha", "apiKeys": ["another"]}]
            site.configure(9, tenants=tenants)
            site.list_runner("r1", CALLS, state="draining")
            await poll_until(lambda: version(site, "b") == 9)
            assert (await site.call("/look/x", node="b")).status == 401
            await poll_until(lambda: state.endpoints.rows[EndpointId("r1")].leaving)
            answer = await site.call(
                "/look/x", node="b", Authorization="Bearer another"
            )
            assert answer.status == 200

    run_scenario(scenario)


def test_change_alone_reaches_a_node_that_the_store_refuses():
    # The store turns node b away for good and serves node a. Nothing happens to the
    # endpoints, so a's news confirms b's list of them, and b has no reason to ask for
    # it. Operators take away a key: b must still learn that there is a newer version.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await site.add_runner("r1", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=1)
            lists = [node.endpoints for node in site.nodes.values()]
            await poll_until(lambda: lists[0].digest == lists[1].digest)
            site.store_listeners["b"].begin_outage(Outage.RESET)
            site.configure(9, tenants=[{"name": "alpha", "apiKeys": ["another"]}])
            await poll_until(lambda: version(site, "b") == 9)
            assert (await site.call("/look/x", node="b")).status == 401

    run_scenario(scenario)


def test_older_version_never_comes_back():
    # A read that is behind, or a peer that is, brings an older configuration. A key
    # that was taken away in between must stay away.
    async def scenario():
        async with run_entry_site() as site:
            await site.ready()
            state = site.nodes["a"].state
            newer = orjson.dumps(entry_configuration(9, tenants=[]))
            older = orjson.dumps(entry_configuration(8))
            assert apply_configuration(state, newer, "store")
            assert not apply_configuration(state, older, "peer")
            assert not apply_configuration(state, newer, "peer")
            assert state.me.configuration == 9
            assert state.configuration is not None
            assert state.configuration.teams == {}

    run_scenario(scenario)


def test_part_of_the_store_is_silent():
    # Only the operators' topic gives node b no answers; its list of endpoints is
    # fresh. It learns from the version in its peer's news that there is a newer
    # configuration, and reads it there.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            for name in site.nodes:
                await site.ready(name)
            site.store_listeners["b"].silent_topics.add("keyed.op")
            await asyncio.sleep(2.0)
            site.configure(9)
            await poll_until(lambda: version(site, "a") == 9)
            await poll_until(lambda: version(site, "b") == 9)

    run_scenario(scenario)


def test_requests_go_on_while_the_store_is_away():
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            site.store_listeners["a"].outage = Outage.SILENT
            for _ in range(10):
                assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_forgotten_history_is_read_again():
    # The store drops all records but the newest of each key, with a change and an
    # endpoint's end among them.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.add_runner("r2", CALLS)
            await site.ready(endpoints=2)
            site.store_listeners["a"].outage = Outage.BUSY
            site.configure(7, routes=with_route("/new/"))
            site.store.put("keyed.servers", "r1", None)
            site.store.compact("keyed.op")
            site.store.compact("keyed.servers")
            site.store_listeners["a"].outage = Outage.NONE
            await poll_until(lambda: version(site, "a") == 7)
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: set(rows) == {"r2"})

    run_scenario(scenario)


def test_entries_that_lapsed_in_an_outage_may_come_back():
    # Both endpoints' records lapse while the store is away; one is written again at
    # once after its return, the other never. The first must serve all the while, the
    # second is gone after the time to come back.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.add_runner("r2", CALLS)
            await site.ready(endpoints=2)
            rows = site.nodes["a"].state.endpoints.rows
            site.store_listeners["a"].outage = Outage.SILENT
            site.store.put("keyed.servers", "r1", None)
            site.store.put("keyed.servers", "r2", None)
            await asyncio.sleep(2.0)
            site.store_listeners["a"].outage = Outage.NONE
            await poll_until(lambda: all(r.suspended_until for r in rows.values()))
            assert (await site.call("/look/x")).status == 200
            site.list_runner("r1", CALLS)
            loop = asyncio.get_running_loop()
            returned = loop.time()
            await poll_until(lambda: set(rows) == {"r1"})
            assert loop.time() - returned < COMEBACK_S + 1
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_malformed_record_is_logged_and_changes_nothing(caplog):
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            site.store.put("keyed.op", "config", {"version": 8, "routes": [{}]})
            site.store.put("keyed.servers", "r9", {"service": CALLS})
            site.configure(9)
            await poll_until(lambda: version(site, "a") == 9)
            await poll_until(lambda: "endpoint unreadable" in caplog.text)
            assert "configuration unreadable" in caplog.text
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)
