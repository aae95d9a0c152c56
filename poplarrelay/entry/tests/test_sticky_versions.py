"""Streams go on only at the software version that began them."""

import asyncio
from collections import Counter

import pytest

from poplarrelay.entry.stream_archive import TOPIC
from poplarrelay.testing.entry_site import (
    STREAMS,
    entry_configuration,
    hosts,
    poll_until,
    run_entry_site,
    run_scenario,
    wait_until_resolved,
)
from poplarrelay.testing.resuming_callers import (
    ResumingCaller,
    ask_nodes,
    make_callers,
    run_callers,
)

CALLERS = 24
#: Streams that may hold events of two versions.
MAX_MIXED = 2
EVENTS = 6
#: Seconds within which the version of a stream that runs on is archived.
ARCHIVED_S = 2.0
#: Slots of each endpoint, so that one of them has room for all streams.
SLOTS = 4 * CALLERS


async def add_versions(site, nodes, per_version=2, **options):
    """Start endpoints of versions 1 and 2, and wait until all nodes list them."""
    options = {"events": EVENTS, "pause_s": 0.03} | options
    runners = {
        f"{version}-{number}": await site.add_runner(
            f"{version}-{number}", STREAMS, version=version, **options
        )
        for version in "12"
        for number in range(per_version)
    }
    for name in runners:
        site.list_runner(name, STREAMS, slots=SLOTS)
    for node in nodes:
        await site.ready(node, endpoints=len(runners))
    return runners


def mixed(site, callers):
    """Return the streams that have events of more than one version."""
    return [c.stream for c in callers if len(site.stream_versions(c.stream)) > 1]


def whole_stream(runner):
    return b"".join(runner.event_of(number) for number in range(1, EVENTS + 1))


async def begin_streams(site, nodes):
    """Return callers whose streams have all begun, and the task that reads them."""
    callers = make_callers(site, CALLERS)
    running = asyncio.create_task(ask_nodes(callers, nodes))
    await poll_until(lambda: all(caller.last_id for caller in callers))
    return callers, running


async def resume_all(callers, nodes):
    """Take up all broken streams at some nodes in turn, and return them."""
    broken = [caller for caller in callers if caller.broken]
    await ask_nodes(broken, nodes, "again-")
    return broken


def test_stream_goes_on_at_its_version_within_one_answer():
    # Guards against a second attempt at an endpoint of another version.
    async def scenario():
        async with run_entry_site(3) as site:
            runners = await add_versions(site, "abc")
            runners["1-0"].break_after = runners["2-0"].break_after = 3
            callers = await run_callers(site, "abc", CALLERS)
            assert len(mixed(site, callers)) <= MAX_MIXED
            whole = [c for c in callers if c.content == whole_stream(runners["1-0"])]
            assert len(whole) >= 0.9 * CALLERS

    run_scenario(scenario)


def test_stream_looks_broken_off_if_its_version_has_no_endpoint_left():
    # Guards against events of another version, and against a wait until the deadline.
    async def scenario():
        async with run_entry_site(3) as site:
            runners = await add_versions(site, "abc", per_version=1)
            runners["1-0"].break_after = 3
            callers = await run_callers(site, "abc", CALLERS)
            assert len(mixed(site, callers)) <= MAX_MIXED
            begun = [c for c in callers if site.stream_versions(c.stream) == {"1"}]
            assert begun
            assert not any(caller.complete for caller in begun)
            site.unlist_runner("1-0")
            await poll_until(
                lambda: all(
                    len(node.state.endpoints.rows) == 1 for node in site.nodes.values()
                )
            )
            resumed = await resume_all(callers, "bca")
            assert {caller.statuses[-1] for caller in resumed} == {503}
            assert max(caller.took_s[-1] for caller in resumed) < 0.5
            assert len(mixed(site, callers)) <= MAX_MIXED

    run_scenario(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.5])
def test_stream_goes_on_at_its_version_at_other_nodes(delay_s):
    # Guards against nodes that do not know which version began a stream.
    async def scenario():
        async with run_entry_site(4) as site:
            runners = await add_versions(site, "abcd")
            for runner in runners.values():
                runner.break_after = 3
            callers = await run_callers(site, "abcd", CALLERS)
            for runner in runners.values():
                runner.break_after = None
            await asyncio.sleep(delay_s)
            resumed = await resume_all(callers, "bcda")
            assert len(resumed) >= CALLERS // 2
            assert len(mixed(site, callers)) <= MAX_MIXED
            assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)

    run_scenario(scenario)


def test_stream_goes_on_at_its_version_after_its_node_was_killed():
    # Guards against a version that only the node that began the stream knows.
    async def scenario():
        async with run_entry_site(4) as site:
            runners = await add_versions(site, "abcd", events=60, pause_s=0.1)
            callers, running = await begin_streams(site, "a")
            await site.kill_node("a")
            await running
            for runner in runners.values():
                runner.pause_s = 0.01
            resumed = await resume_all(callers, "bcd")
            assert len(resumed) == CALLERS
            assert len(mixed(site, callers)) <= MAX_MIXED
            assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)

    run_scenario(scenario)


def test_node_that_joined_later_finds_the_version_of_a_stream():
    # Guards against nodes that know only the streams begun since their start.
    async def scenario():
        async with run_entry_site(3) as site:
            runners = await add_versions(site, "abc")
            for runner in runners.values():
                runner.break_after = 3
            callers = await run_callers(site, "abc", CALLERS)
            for runner in runners.values():
                runner.break_after = None
            seed = site.nodes["a"].state.settings.listeners.control
            await site.add_node("d", seed)
            await site.ready("d", endpoints=4)
            await wait_until_resolved(site, "d", hosts(site, *"abcd"))
            resumed = await resume_all(callers, "d")
            assert len(resumed) >= CALLERS // 2
            assert len(mixed(site, callers)) <= MAX_MIXED
            assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)

    run_scenario(scenario)


def test_unknown_stream_is_refused_while_two_versions_serve():
    # Guards against a guess of the version by a node that cannot find it.
    async def scenario():
        async with run_entry_site(3) as site:
            await add_versions(site, "abc")
            for number in range(CALLERS):
                caller = ResumingCaller(site, stream=f"lost-{number}", last_id=b"2")
                await caller.ask("abc"[number % 3], f"again-{number}")
                assert caller.statuses == [503]
                assert caller.took_s[0] < 0.5
            received = Counter(
                request.attempt
                for runner in site.runners.values()
                for request in runner.received
            )
            assert not received

    run_scenario(scenario)


def test_resumed_stream_without_its_first_try_is_refused_while_two_versions_serve():
    # Guards against callers that state only where the stream goes on.
    async def scenario():
        async with run_entry_site(1) as site:
            await add_versions(site, "a")
            answer = await site.call("/draft/x", Last_Event_Id="2")
            assert answer.status == 503
            assert not any(runner.received for runner in site.runners.values())

    run_scenario(scenario)


def test_unknown_stream_goes_on_if_only_one_version_has_served():
    # Guards against refusals where no other version can have begun the stream.
    async def scenario():
        async with run_entry_site(3) as site:
            for number in range(2):
                await site.add_runner(f"1-{number}", STREAMS, events=EVENTS)
            for node in "abc":
                await site.ready(node, endpoints=2)
            caller = ResumingCaller(site, stream="lost", last_id=b"2")
            await caller.ask("a", "again")
            assert caller.statuses == [200]
            assert caller.complete

    run_scenario(scenario)


def test_unknown_stream_is_refused_after_its_version_has_left():
    # Guards against a node that takes the version of the list for the only one.
    async def scenario():
        async with run_entry_site(2) as site:
            await add_versions(site, "ab", per_version=1)
            site.unlist_runner("1-0")
            await poll_until(
                lambda: all(
                    len(node.state.endpoints.rows) == 1 for node in site.nodes.values()
                )
            )
            caller = ResumingCaller(site, stream="lost", last_id=b"2")
            await caller.ask("a", "again")
            assert caller.statuses == [503]

    run_scenario(scenario)


def test_team_cannot_take_up_the_stream_of_another_team():
    # Guards against ids of streams that are looked up without their team.
    async def scenario():
        async with run_entry_site(1) as site:
            tenants = entry_configuration()["tenants"]
            tenants = [*tenants, {"name": "beta", "apiKeys": ["key-of-beta"]}]
            site.configure(2, tenants=tenants)
            runners = await add_versions(site, "a")
            await poll_until(lambda: site.nodes["a"].state.me.configuration == 2)
            for runner in runners.values():
                runner.break_after = 3
            callers = await run_callers(site, "a", 4)
            for runner in runners.values():
                runner.break_after = None
            for number, caller in enumerate(callers):
                caller.key = "key-of-beta"
                await caller.ask("a", f"beta-{number}")
                assert caller.statuses[-1] == 503

    run_scenario(scenario)


def test_stream_of_a_version_that_a_new_one_replaces_ends_where_it_began():
    # Guards against a second version that appears after a stream has begun.
    async def scenario():
        async with run_entry_site(2) as site:
            for number in range(2):
                await site.add_runner(
                    f"1-{number}", STREAMS, events=EVENTS, break_after=3, pause_s=0.03
                )
                site.list_runner(f"1-{number}", STREAMS, slots=SLOTS)
            for node in "ab":
                await site.ready(node, endpoints=2)
            callers = await run_callers(site, "a", CALLERS)
            for runner in site.runners.values():
                runner.break_after = None
            for number in range(4):
                await site.add_runner(
                    f"2-{number}", STREAMS, version="2", events=EVENTS, pause_s=0.03
                )
            for node in "ab":
                await site.ready(node, endpoints=6)
            resumed = await resume_all(callers, "b")
            assert len(resumed) >= CALLERS // 2
            assert not mixed(site, callers)
            assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)

    run_scenario(scenario)


def test_stream_of_a_barred_version_may_end_there():
    # Guards against streams that a reverted roll-out leaves without an endpoint.
    async def scenario():
        async with run_entry_site(2) as site:
            runners = await add_versions(site, "ab", per_version=2)
            for runner in runners.values():
                runner.break_after = 3
            callers = await run_callers(site, "a", 8)
            for runner in runners.values():
                runner.break_after = None
            for row in site.nodes["b"].state.endpoints.rows.values():
                row.barred = row.version == "2"
            resumed = await resume_all(callers, "b")
            assert len(resumed) == 8
            assert not mixed(site, callers)
            assert all(caller.complete for caller in resumed)

    run_scenario(scenario)


def test_streams_of_a_node_that_reaches_no_peer_are_not_taken_up_elsewhere():
    # Guards against a guess on either side of a partition between nodes.
    async def scenario():
        async with run_entry_site(3) as site:
            runners = await add_versions(site, "abc")
            site.silence_gossip("a")
            site.store.refused_topics.add(TOPIC)
            for runner in runners.values():
                runner.break_after = 3
            callers = await run_callers(site, "ab", CALLERS)
            for runner in runners.values():
                runner.break_after = None
            at_a, at_b = callers[::2], callers[1::2]
            assert not mixed(site, callers)
            for begun, node in ((at_a, "b"), (at_b, "a")):
                resumed = await resume_all(begun, node)
                assert len(resumed) >= CALLERS // 4
                assert {caller.statuses[-1] for caller in resumed} == {503}
            for begun, node in ((at_a, "a"), (at_b, "c")):
                resumed = await resume_all(begun, node)
                assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)
            assert not mixed(site, callers)

    run_scenario(scenario)


def test_streams_of_a_node_that_reaches_no_peer_go_on_elsewhere_by_the_archive():
    # Guards against refusals while the store can tell the version.
    async def scenario():
        async with run_entry_site(3) as site:
            runners = await add_versions(site, "abc", events=40, pause_s=0.1)
            site.silence_gossip("a")
            for runner in runners.values():
                runner.break_after = 30
            callers = await run_callers(site, "a", CALLERS)
            for runner in runners.values():
                runner.break_after = None
                runner.pause_s = 0.01
            resumed = await resume_all(callers, "bc")
            assert len(resumed) >= CALLERS // 2
            assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)
            assert not mixed(site, callers)

    run_scenario(scenario)


@pytest.mark.parametrize("versions", ["1", "12"])
@pytest.mark.parametrize("kills", [1, 2])
def test_streams_go_on_after_all_nodes_are_killed(versions, kills, tmp_path):
    # Guards against versions of streams that only the nodes' memory holds.
    async def scenario():
        async with run_entry_site(0) as site:
            for number in range(4):
                version = versions[number % len(versions)]
                name = f"{version}-{number}"
                await site.add_runner(
                    name, STREAMS, version=version, events=60, pause_s=0.1
                )
                site.list_runner(name, STREAMS, slots=SLOTS)
            await site.start_processes("abc", tmp_path)
            callers, running = await begin_streams(site, "abc")
            await asyncio.sleep(ARCHIVED_S)
            for _ in range(kills):
                await site.kill_and_restart_all_processes(0.2)
            await running
            assert all(caller.broken for caller in callers)
            for runner in site.runners.values():
                runner.pause_s = 0.005
            resumed = await resume_all(callers, "abc")
            assert sum(c.complete for c in resumed) >= 0.9 * len(resumed)
            assert not mixed(site, callers)

    run_scenario(scenario)


def test_streams_are_refused_if_their_version_was_replaced_while_no_node_ran(tmp_path):
    # Guards against the only listed version being taken for the one that began them.
    async def scenario():
        async with run_entry_site(0) as site:
            await site.add_runner("old", STREAMS, version="1", events=60, pause_s=0.1)
            site.list_runner("old", STREAMS, slots=SLOTS)
            await site.start_processes("abc", tmp_path)
            callers, running = await begin_streams(site, "abc")
            await asyncio.sleep(ARCHIVED_S)
            restarted = asyncio.create_task(site.kill_and_restart_all_processes(0.5))
            await asyncio.sleep(0.2)
            site.store.put("keyed.servers", "old", None)
            await site.add_runner("new", STREAMS, version="2", events=60, pause_s=0.01)
            site.list_runner("new", STREAMS, slots=SLOTS)
            await restarted
            await running
            resumed = await resume_all(callers, "abc")
            assert {caller.statuses[-1] for caller in resumed} == {503}
            assert max(caller.took_s[-1] for caller in resumed) < 1.0
            assert not mixed(site, callers)

    run_scenario(scenario)
