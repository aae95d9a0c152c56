"""Configuration, endpoint list and service of nodes while the store has faults."""

import asyncio

import orjson
import pytest

from poplarrelay.entry.configuration_follower import apply_configuration
from poplarrelay.entry.endpoint_list import LAPSE_GRACE_S
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


#: Seconds within which a change is in force after its acknowledgement, and after the
#: end of an outage of the store.
APPLIED_S, CONTACT_S = 2.0, 3.0


async def assert_change_in_force_in_time(site, number, store_back_at):
    """Publish a version, and check that all nodes have it in time."""
    loop = asyncio.get_running_loop()
    site.configure(number, routes=with_route("/new/"))
    due_at = max(loop.time() + APPLIED_S, store_back_at + CONTACT_S)
    await poll_until(lambda: all(version(site, name) == number for name in site.nodes))
    assert loop.time() <= due_at


def with_route(prefix):
    routes = entry_configuration()["routes"]
    return [*routes, {**routes[1], "name": "new", "pathPrefix": prefix}]


def test_node_without_configuration_is_not_ready():
    # The store is unavailable when the node starts. The node must not be ready, and
    # must answer 503 instead of reporting that the route does not exist.
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


def test_configuration_applies_at_once_and_never_reverts():
    # After a change the node must use the new routes, and must ignore an older version
    # that is written later.
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
def test_node_without_store_learns_from_peers(outage):
    # The store is unavailable to node b only. Node b must learn from node a that a key
    # was removed and that an endpoint is leaving.
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


def test_configuration_change_alone_reaches_node_without_store():
    # The store stays unavailable to node b, and the endpoints do not change. Gossip
    # from node a confirms b's endpoint list, so b does not fetch that list from a. It
    # must still get the new configuration, in which a key is removed.
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


def test_older_configuration_is_ignored():
    # A delayed read or a peer with old state brings an older configuration. Guards
    # against the return of a key that operators have removed.
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


def test_configuration_comes_from_peer_if_one_topic_is_silent():
    # Only reads of the operators' topic get no reply at node b; its endpoint list stays
    # current. It must read the configuration from its peer because the version in the
    # peer's row is newer.
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


def test_requests_are_served_while_store_is_unavailable():
    # Guards against requests that depend on a reply of the store.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            site.store_listeners["a"].outage = Outage.SILENT
            for _ in range(10):
                assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_newest_records_are_read_after_history_is_dropped():
    # The store drops all records but the newest of each key. The node must still apply
    # a change and the removal of an endpoint that were in the dropped records.
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


def test_records_lapsed_in_outage_are_kept_for_grace_time():
    # Both records expire during a store outage, and only the first is written again.
    # The first endpoint must serve throughout; the second must be removed after the
    # grace time.
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
            assert loop.time() - returned < LAPSE_GRACE_S + 1
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)


def test_malformed_record_is_logged_and_ignored(caplog):
    # Guards against malformed records that stop the reading of later ones, or that are
    # ignored without a log line.
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


@pytest.mark.parametrize("outage_s", [2.5, 5.0])
@pytest.mark.parametrize("nodes", [1, 3])
def test_change_after_an_outage_that_began_under_the_long_reads_applies(
    nodes, outage_s
):
    # Guards against long reads that hang beyond the end of an outage at all nodes.
    async def scenario():
        async with run_entry_site(nodes=nodes) as site:
            for name in site.nodes:
                await site.ready(name)
            site.configure(5)
            await poll_until(lambda: all(version(site, n) == 5 for n in site.nodes))
            await asyncio.sleep(0.3)
            for listener in site.store_listeners.values():
                listener.outage = Outage.SILENT
            await asyncio.sleep(outage_s)
            for listener in site.store_listeners.values():
                listener.outage = Outage.NONE
            back_at = asyncio.get_running_loop().time()
            await asyncio.sleep(0.2)
            await assert_change_in_force_in_time(site, 6, back_at)

    run_scenario(scenario)


def test_change_whose_answers_were_lost_applies():
    # Guards against long reads whose answers are lost at all nodes in the same moment.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            for name in site.nodes:
                await site.ready(name)
            await asyncio.sleep(0.5)
            for listener in site.store_listeners.values():
                listener.lose_answers = True
            site.configure(5)
            await asyncio.sleep(2.5)
            for listener in site.store_listeners.values():
                listener.lose_answers = False
            back_at = asyncio.get_running_loop().time()
            await assert_change_in_force_in_time(site, 6, back_at)

    run_scenario(scenario)
