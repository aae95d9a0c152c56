"""Roll-outs over running nodes, with stand-ins of the store and of the endpoints."""

import asyncio
from time import monotonic

import orjson
import pytest

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.http.connection import CompleteResponse
from poplarrelay.entry.rollouts.records import RolloutPhase
from poplarrelay.standins.users.runner import BadVersion
from poplarrelay.standins.users.store import Outage
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)
from poplarrelay.testing.rollouts import (
    NEW,
    add_versions,
    count_runs,
    run_traffic,
)

#: Seconds that the roll-outs of these tests may take.
DURATION_S = 6.0


async def start(site, service=CALLS, bad=None, duration_s=DURATION_S, **options):
    """Start endpoints of both versions, and order the roll-out of version 2."""
    for name in site.nodes:
        await site.ready(name)
    await add_versions(site, service, bad, **options)
    site.order_rollout(service, NEW, duration_s)


def states(site, service=CALLS):
    return [state for state, _ in site.rollout_states(service)]


async def ended(site, state, service=CALLS):
    await poll_until(lambda: state in states(site, service), f"{service} {state}")
    assert states(site, service) == ["in_progress", state]


def phase(site, name, service=CALLS):
    local = site.nodes[name].state.rollouts.get(service)
    return None if local is None else local.progress.phase


def test_good_version_gets_a_small_share_and_then_all_requests():
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            async with run_traffic(site) as statuses:
                await asyncio.sleep(2.0)
                canary = count_runs(site, "new")
                assert 1 <= canary <= 0.1 * count_runs(site, "") + 3
                await ended(site, "completed")
                completed_at = monotonic()
                await asyncio.sleep(0.5)
                assert count_runs(site, "old", since=completed_at) == 0
                assert count_runs(site, "new", since=completed_at) > 20
            assert set(statuses) == {200}

    run_scenario(scenario)


@pytest.mark.parametrize(
    "bad",
    [
        BadVersion(failure_share=0.4),
        BadVersion(slowdown=8.0),
        BadVersion(failure_share=0.6, prefix="/look/"),
        BadVersion(failure_share=0.6, after=10),
    ],
)
def test_bad_version_is_reverted_by_all_nodes(bad):
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site, bad=bad)
            async with run_traffic(site, per_s=150.0):
                await ended(site, "reverted")
                reverted_at = monotonic()
                assert count_runs(site, "new") <= 0.1 * count_runs(site, "") + 50
                await asyncio.sleep(0.8)
                assert count_runs(site, "new", since=reverted_at + 0.3) == 0
            spoiled = [a for r in site.runners.values() for a in r.bad_answers]
            assert len(spoiled) < 50

    run_scenario(scenario)


def test_failures_of_the_old_version_convict_nobody():
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await start(site)
            for name, runner in site.runners.items():
                share = 0.14 if name.startswith("new") or name != "old-0" else 0.5
                runner.bad_version = BadVersion(failure_share=share)
            async with run_traffic(site):
                await ended(site, "completed")

    run_scenario(scenario)


def test_streams_at_the_replaced_version_end_where_they_began():
    # Guards against streams that a roll-out cuts, or moves to the target.
    events = 100

    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await start(site, STREAMS, duration_s=8.0, count=4)
            for runner in site.runners.values():
                runner.events = events
            streams: list[asyncio.Task[CompleteResponse]] = []
            while not {"completed", "reverted"} & set(states(site, STREAMS)):
                node = "ab"[len(streams) % 2]
                streams.append(asyncio.create_task(site.call("/draft/x", node=node)))
                await asyncio.sleep(0.08)
            await ended(site, "completed", STREAMS)
            at_old = [r for n, r in site.runners.items() if n.startswith("old")]
            assert not any(runner.active_streams for runner in at_old)
            assert any(runner.ran for runner in at_old)
            for runner in site.runners.values():
                assert not runner.disconnected_attempts
                assert "last-event-id" not in {h for r in runner.ran for h in r.headers}
            for answer in await asyncio.gather(*streams):
                assert answer.status == 200
                assert answer.body.count(b"data:") == events

    run_scenario(scenario)


@pytest.mark.parametrize("cut_holder", [True, False])
def test_node_that_reaches_no_peer_follows_the_store(cut_holder):
    # The node gets no requests, so it has no evidence of its own.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site, bad=BadVersion(failure_share=0.5), duration_s=9.0)
            await poll_until(lambda: states(site))
            holds = [site.nodes[name].duties.lease.held for name in "abc"]
            cut = "abc"[holds.index(cut_holder)]
            site.nodes[cut].gossip.stop()
            others = "abc".replace(cut, "")
            async with run_traffic(site, nodes=others):
                await ended(site, "reverted")
            await poll_until(lambda: phase(site, cut) is RolloutPhase.REVERTED)
            began = monotonic()
            for _ in range(20):
                assert (await site.call("/look/x", node=cut)).status == 200
            assert count_runs(site, "new", since=began) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("outage", [Outage.SILENT, Outage.BUSY])
def test_node_without_store_follows_its_peers(outage):
    # Guards against full traffic to the canary at a node that missed the order.
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            for name in site.nodes:
                await site.ready(name)
            site.store_listeners["c"].begin_outage(outage)
            async with run_traffic(site):
                await start(site, bad=BadVersion(failure_share=0.5))
                await ended(site, "reverted")
                await poll_until(lambda: phase(site, "c") is RolloutPhase.REVERTED)
                assert count_runs(site, "new") <= 0.1 * count_runs(site, "") + 50

    run_scenario(scenario)


@pytest.mark.parametrize("at_s", [0.5, 2.5, 3.8])
def test_rollout_ends_in_time_while_the_store_loses_answers(at_s):
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site)
            async with run_traffic(site):
                await asyncio.sleep(at_s)
                for listener in site.store_listeners.values():
                    listener.lose_answers = True
                await asyncio.sleep(1.0)
                for listener in site.store_listeners.values():
                    listener.lose_answers = False
                await ended(site, "completed")

    run_scenario(scenario)


def test_bad_version_is_reverted_while_the_store_is_silent():
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site, bad=BadVersion(failure_share=0.4))
            await poll_until(lambda: states(site))
            for name in site.nodes:
                await site.ready(name, endpoints=6)
            for listener in site.store_listeners.values():
                listener.begin_outage(Outage.SILENT)
            async with run_traffic(site):
                reverted = RolloutPhase.REVERTED
                await poll_until(lambda: {phase(site, n) for n in "abc"} == {reverted})
                for listener in site.store_listeners.values():
                    listener.begin_outage(Outage.NONE)
                await ended(site, "reverted")

    run_scenario(scenario)


def test_new_holder_of_the_duties_continues():
    async def scenario():
        async with run_entry_site(nodes=3) as site:
            await start(site, duration_s=9.0)
            async with run_traffic(site):
                await poll_until(lambda: states(site))
                holder = next(n for n in site.nodes if site.nodes[n].duties.lease.held)
                await site.kill_node(holder)
                await ended(site, "completed")

    run_scenario(scenario)


def test_restarted_node_knows_the_verdict():
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await start(site, bad=BadVersion(failure_share=0.5))
            async with run_traffic(site):
                await ended(site, "reverted")
            late = await site.add_node("late")
            await site.ready("late", endpoints=6)
            await poll_until(lambda: phase(site, "late") is RolloutPhase.REVERTED)
            rows = late.state.endpoints.accepting(ServiceName(CALLS))
            assert {row.version for row in rows} == {"1"}

    run_scenario(scenario)


def test_second_order_replaces_the_first():
    async def scenario():
        async with run_entry_site(nodes=2) as site:
            await start(site, duration_s=60.0)
            async with run_traffic(site):
                await poll_until(lambda: count_runs(site, "new"))
                site.order_rollout(CALLS, "1", DURATION_S)
                await poll_until(
                    lambda: ("completed", "1") in site.rollout_states(CALLS)
                )
                began = monotonic()
                await asyncio.sleep(0.3)
                assert count_runs(site, "new", since=began) == 0
            assert site.rollout_states(CALLS) == [
                ("in_progress", NEW),
                ("reverted", NEW),
                ("completed", "1"),
            ]

    run_scenario(scenario)


def test_order_without_endpoints_of_the_target_is_reverted():
    async def scenario():
        async with run_entry_site() as site:
            await site.ready()
            await site.add_runner("old-0", CALLS)
            site.order_rollout(CALLS, NEW, 3.0)
            site.order_rollout("unknown", NEW, 3.0)
            async with run_traffic(site, per_s=30.0):
                for service in (CALLS, "unknown"):
                    await ended(site, "reverted", service)

    run_scenario(scenario)


def test_malformed_orders_are_logged_and_change_nothing(caplog):
    async def scenario():
        async with run_entry_site() as site:
            await site.ready()
            await site.add_runner("old-0", CALLS)
            for value in (b"{}", b"no json", b'{"service":"desk","target":7}'):
                key = f"rollout/{CALLS}".encode()
                site.store.put_raw("keyed.op", bytes([len(key)]) + key + value)
            site.configure(2)
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            assert not site.nodes["a"].state.rollouts.has_open
            await poll_until(lambda: site.nodes["a"].state.endpoints.rows)
            assert (await site.call("/look/x")).status == 200

    run_scenario(scenario)
    unreadable = [r for r in caplog.records if r.message == "rollout order unreadable"]
    assert len(unreadable) == 3


def test_status_page_and_metrics_show_the_rollout():
    async def scenario():
        async with run_entry_site() as site:
            await start(site, duration_s=60.0)
            async with run_traffic(site, per_s=60.0):
                await poll_until(lambda: count_runs(site, "new") > 2)
            answer = await site.get("control", "/status")
            shown = orjson.loads(answer.body)["rollouts"][CALLS]
            assert shown["phase"] == "canary"
            assert shown["target"] == NEW
            assert shown["sent"]["target"] >= 2
            metrics = (await site.get("control", "/metrics")).body.decode()
            assert (
                'poplarrelay_rollout{service="desk",version="2",what="sent"}' in metrics
            )

    run_scenario(scenario)
