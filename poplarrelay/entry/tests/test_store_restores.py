"""A store that is restored from an older copy and forgets what it had acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import AsyncIterator
from time import monotonic

import pytest

from poplarrelay.exception import ExchangeFailed
from poplarrelay.identifiers import EndpointId, StoreEra
from poplarrelay.standins.users.store import Outage
from poplarrelay.testing.entry_site import (
    CALLS,
    EntrySite,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)
from poplarrelay.testing.soak.ledger import check_duties

R1 = EndpointId("r1")


async def start(site: EntrySite) -> None:
    """Add two endpoints, and wait until the nodes know them, a holder and an era."""
    site.store.era = 1
    for name in ("r1", "r2"):
        await site.add_runner(name, CALLS)
    for name in site.nodes:
        await site.ready(name, endpoints=2)
    states = [node.state for node in site.nodes.values()]
    await poll_until(lambda: all(len(s.peers.seen) == len(states) - 1 for s in states))
    await poll_until(lambda: holder(site))


def holder(site: EntrySite) -> str | None:
    """Return the node that holds the duties."""
    held = (name for name, node in site.nodes.items() if node.duties.lease.held)
    return next(held, None)


async def keep_calling(site: EntrySite) -> None:
    """Send calls to all nodes in turn until cancelled."""
    while True:
        for name in list(site.nodes):
            with contextlib.suppress(ExchangeFailed):
                await site.call("/look/x", name)
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_calls(site: EntrySite) -> AsyncIterator[None]:
    """Send calls in the background, from the second report of usage on."""
    calling = asyncio.create_task(keep_calling(site))
    await poll_until(lambda: len(site.cloud.windows()) >= 2)
    try:
        yield
    finally:
        calling.cancel()


def count_late_requests(site: EntrySite) -> None:
    """Count one more request in each window, as if nodes had heard of it late."""
    for node in site.nodes.values():
        for counts in node.state.usage.windows.values():
            for team in counts:
                counts[team] += 1


async def wait_for_reports(site: EntrySite, count: int, known: int) -> None:
    """Wait until a window is reported that comes `count` windows after a known one."""
    await poll_until(lambda: max(site.cloud.windows()) >= known + count)


@pytest.mark.parametrize("killed", [False, True], ids=["holder lives", "holder dies"])
@pytest.mark.parametrize("age_s", [2.0, 6.0])
def test_window_is_not_reported_with_other_counts_after_a_restore(age_s, killed):
    # Guards against a holder that decides windows again that the ledger has lost.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            async with run_calls(site):
                copy = site.store.copy()
                await asyncio.sleep(age_s)
                before = holder(site)
                if killed and before is not None:
                    await site.kill_node(before)
                count_late_requests(site)
                known = max(site.cloud.windows())
                await site.restore_store(copy)
                await wait_for_reports(site, 5, known)
            assert check_duties(site.cloud.accepted) == []

    run_scenario(scenario)


def test_windows_are_not_decided_without_counts():
    # Guards against empty reports of windows whose counts no node has any more.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            async with run_calls(site):
                for listener in site.store_listeners.values():
                    listener.begin_outage(Outage.RESET)
                await asyncio.sleep(8.0)
                for listener in site.store_listeners.values():
                    listener.outage = Outage.NONE
                known = max(site.cloud.windows())
                await wait_for_reports(site, 9, known)
            later = {w: c for w, c in site.cloud.windows().items() if w > known}
            assert all(all(counts) for counts in later.values())

    run_scenario(scenario)


def test_holder_acts_again_with_larger_tokens_after_a_restore():
    # Guards against tokens that fall or are used twice with the group's generation.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            copy = site.store.copy()
            await start(site)
            await poll_until(lambda: site.cloud.accepted)
            token = max(call.token for call in site.cloud.accepted)
            await site.restore_store(copy)
            count = len(site.cloud.accepted)
            await poll_until(lambda: len(site.cloud.accepted) >= count + 3)
            later = site.cloud.accepted[count:]
            assert min(call.token for call in later) > token
            holders = defaultdict(set)
            for call in site.cloud.accepted:
                holders[call.token].add(call.holder)
            assert all(len(names) == 1 for names in holders.values())

    run_scenario(scenario)


@pytest.mark.parametrize("records", [0, 3, 12])
def test_changes_after_a_restore_apply(records):
    # Guards against records that are missed because their offsets were used before.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            copy = site.store.copy()
            for number in range(3, 9):
                site.configure(number)
                site.list_runner("r1", CALLS, slots=number)
            states = [node.state for node in site.nodes.values()]
            await poll_until(lambda: all(s.me.configuration == 8 for s in states))
            await site.restore_store(copy)
            for number in range(9, 12):
                site.configure(number)
            for _ in range(records):
                site.list_runner("r2", CALLS)
            site.list_runner("r1", CALLS, state="draining")
            start_at = monotonic()
            await poll_until(lambda: all(s.me.configuration == 11 for s in states))
            await poll_until(lambda: all(s.endpoints.rows[R1].leaving for s in states))
            assert monotonic() - start_at < 2.0

    run_scenario(scenario)


def test_older_configuration_of_a_restored_store_is_not_applied():
    # Guards against a route or a key that returns until operators write it again.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await start(site)
            copy = site.store.copy()
            routes = entry_configuration()["routes"]
            new = {**routes[2], "name": "new", "pathPrefix": "/new/"}
            site.configure(5, routes=[*routes, new])
            states = [node.state for node in site.nodes.values()]
            await poll_until(lambda: all(s.me.configuration == 5 for s in states))
            restoring = asyncio.create_task(site.restore_store(copy, rewrite_s=2.0))
            while not restoring.done():
                assert (await site.call("/new/x")).status == 200
                await asyncio.sleep(0.05)

    run_scenario(scenario)


@pytest.mark.parametrize("departure", ["draining", "removed"])
def test_departure_that_the_store_has_forgotten_stays_known(departure):
    # Guards against an older record that makes an endpoint that leaves usable again.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            copy = site.store.copy()
            if departure == "draining":
                site.list_runner("r1", CALLS, state="draining")
            else:
                site.store.put("keyed.servers", "r1", None)

            def uses(name: str) -> bool:
                row = site.nodes[name].state.endpoints.rows.get(R1)
                return row is not None and row.accepts_work

            await poll_until(lambda: not any(uses(name) for name in site.nodes))
            received = len(site.runners["r1"].received)
            restoring = asyncio.create_task(site.restore_store(copy, rewrite_s=2.0))
            while not restoring.done():
                assert not any(uses(name) for name in site.nodes)
                await site.call("/look/x", "b")
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.5)
            assert not any(uses(name) for name in site.nodes)
            assert len(site.runners["r1"].received) == received

    run_scenario(scenario)


def test_endpoint_whose_record_a_restore_has_lost_stays_in_use():
    # Guards against endpoints that are dropped until they write their record again.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            copy = site.store.copy()
            await start(site)
            restoring = asyncio.create_task(site.restore_store(copy, rewrite_s=1.5))
            while not restoring.done():
                assert (await site.call("/look/x", "b")).status == 200
                await asyncio.sleep(0.02)
            await asyncio.sleep(1.0)
            for node in site.nodes.values():
                rows = node.state.endpoints.rows
                assert set(rows) == {"r1", "r2"}
                assert all(row.suspended_until is None for row in rows.values())

    run_scenario(scenario)


def test_endpoint_stays_in_use_if_a_peer_tells_of_the_restore():
    # Guards against a removal because no read of this node has failed.
    async def scenario():
        async with run_entry_site() as site:
            await site.add_runner("r0", CALLS)
            copy = site.store.copy()
            await start(site)
            rows = site.nodes["a"].state.endpoints.rows
            await poll_until(lambda: len(rows) == 3)
            site.store.restore(copy)
            site.nodes["a"].state.eras.observe(StoreEra(2), "peer")
            await poll_until(lambda: any(row.suspended_until for row in rows.values()))
            assert len(rows) == 3
            assert (await site.call("/look/x")).status == 200
            site.store.write_again()
            await poll_until(lambda: not any(r.suspended_until for r in rows.values()))
            assert len(rows) == 3

    run_scenario(scenario)


def test_node_that_a_restore_has_forgotten_is_listed_again():
    # Guards against a directory that lacks the nodes which started after the copy.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            copy = site.store.copy()
            await start(site)
            await site.restore_store(copy)
            hosts = "keyed.entry-hosts"
            await poll_until(lambda: set(site.store.newest_values(hosts)) == {"a", "b"})

    run_scenario(scenario)


def test_two_restores_in_a_row_bring_no_second_report():
    # Guards against a holder that trusts the ledger of the restore before.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            async with run_calls(site):
                copy = site.store.copy()
                for pause_s in (3.0, 1.5):
                    await asyncio.sleep(pause_s)
                    count_late_requests(site)
                    await site.restore_store(copy)
                known = max(site.cloud.windows())
                await wait_for_reports(site, 5, known)
            assert check_duties(site.cloud.accepted) == []

    run_scenario(scenario)


def test_node_that_the_store_refuses_during_a_restore_follows_its_peers():
    # Guards against a node that keeps the earlier era and tells others of its offsets.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            copy = site.store.copy()
            for number in range(3, 9):
                site.list_runner("r2", CALLS, slots=number)
            states = [node.state for node in site.nodes.values()]
            await poll_until(
                lambda: all(
                    s.endpoints.rows[EndpointId("r2")].slots == 8 for s in states
                )
            )
            site.store_listeners["c"].silent_topics |= {"keyed.servers", "keyed.op"}
            await site.restore_store(copy)
            await poll_until(lambda: len({s.eras.latest for s in states}) == 1)
            site.configure(9)
            site.list_runner("r1", CALLS, state="draining")
            start_at = monotonic()
            await poll_until(lambda: all(s.me.configuration == 9 for s in states))
            await poll_until(
                lambda: not any(s.endpoints.rows[R1].accepts_work for s in states)
            )
            assert monotonic() - start_at < 2.0

    run_scenario(scenario)


def test_node_that_starts_before_a_departure_is_written_again_learns_of_it():
    # Guards against a new node that knows only the older records.
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await start(site)
            copy = site.store.copy()
            site.configure(5)
            site.list_runner("r1", CALLS, state="draining")
            states = [node.state for node in site.nodes.values()]
            await poll_until(lambda: all(s.me.configuration == 5 for s in states))
            await poll_until(lambda: all(s.endpoints.rows[R1].leaving for s in states))
            restoring = asyncio.create_task(site.restore_store(copy, rewrite_s=6.0))
            await poll_until(lambda: all(s.eras.latest == 2 for s in states))
            seed = states[0].settings.listeners.control
            late = await site.add_node("late", seed)
            await site.ready("late", endpoints=2)
            await poll_until(lambda: late.state.me.configuration == 5)
            await poll_until(lambda: not late.state.endpoints.rows[R1].accepts_work)
            assert not restoring.done()
            restoring.cancel()

    run_scenario(scenario)
