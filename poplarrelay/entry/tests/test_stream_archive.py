"""Archive of the versions of streams, which outlives all nodes, in virtual time."""

import asyncio
from random import Random

import pytest

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.resumption import UNKNOWN_RETRY_S
from poplarrelay.entry.stream_archive import TOPIC
from poplarrelay.entry.stream_versions import StreamOrigin, stream_key
from poplarrelay.identifiers import RequestId, SoftwareVersion, StoreEra, TeamId
from poplarrelay.platform.records import ENDPOINTS_TOPIC
from poplarrelay.testing.resumption_network import MemoryLog, ResumptionNetwork
from poplarrelay.testing.virtual_time import run_virtual

SERVICE = ServiceName("drafts")
V1, V2 = SoftwareVersion("1"), SoftwareVersion("2")
STREAMS = 24
#: Seconds within which the origin of a stream that runs on is archived.
ARCHIVED_S = 1.5
#: Longest and mean time in seconds until then by the design, with a margin for the
#: delays of the network.
MAX_LAG_S, MEAN_LAG_S = 0.9, 0.4


def keys(name):
    return [stream_key(TeamId("a"), RequestId(f"{name}-{n}")) for n in range(STREAMS)]


async def make_network(*versions, count=9):
    log = MemoryLog()
    for version in versions:
        await log.list_endpoint(f"endpoint-{version}", SERVICE, version)
    network = ResumptionNetwork(count, log=log)
    for broker in network.brokers.values():
        # The whole system has started for the first time.
        broker.history.complete_since = float("-inf")
    return network


async def begin(network, name, *versions):
    """Begin streams of some versions at all nodes in turn; return their origins."""
    origins = {}
    brokers = list(network.brokers.values())
    for number, key in enumerate(keys(name)):
        origins[key] = StreamOrigin(SERVICE, versions[number % len(versions)])
        broker = brokers[number % len(brokers)]
        broker.table.add(key, origins[key], network.now())
        broker.continue_stream(key, origins[key])
    return origins


async def find(network, origins):
    """Return what nodes in turn find of some streams."""
    brokers = list(network.brokers.values())
    found = await asyncio.gather(
        *(
            brokers[-1 - number % len(brokers)].find(key, SERVICE)
            for number, key in enumerate(origins)
        )
    )
    return dict(zip(origins, found, strict=True))


def nothing(origins):
    return dict.fromkeys(origins)


def test_versions_side_by_side_are_known_after_the_loss_of_all_nodes():
    # Guards against origins that only the memory of nodes holds.
    async def scenario():
        network = await make_network(V1, V2)
        origins = await begin(network, "s", V1, V2)
        await network.run(ARCHIVED_S, (V1, V2))
        network.kill_all()
        assert await find(network, origins) == origins

    run_virtual(scenario())


def test_streams_are_known_after_the_loss_of_all_nodes_twice_in_a_row():
    # Guards against a history that a second loss makes incomplete.
    async def scenario():
        network = await make_network(V1)
        for round_number in range(3):
            origins = await begin(network, f"s{round_number}", V1)
            await network.run(ARCHIVED_S, (V1,))
            young = await begin(network, f"young{round_number}", V1)
            network.kill_all()
            assert await find(network, origins | young) == origins | young

    run_virtual(scenario())


def test_second_loss_of_all_nodes_finds_a_claim_without_lookups_in_between():
    # Guards against an archivist that has no complete history to claim after a start.
    async def scenario():
        network = await make_network(V1)
        await begin(network, "first", V1)
        await network.run(ARCHIVED_S, (V1,))
        network.kill_all()
        # All records of before are dropped until the second loss.
        for number in range(12):
            await begin(network, f"second-{number}", V1)
            await network.run(2.0, (V1,))
        young = await begin(network, "young", V1)
        network.kill_all()
        assert await find(network, young) == young

    run_virtual(scenario())


@pytest.mark.parametrize("left", [1, 4])
def test_streams_are_known_if_a_few_nodes_are_left(left):
    # Guards against nodes that ask only the few peers which are left.
    async def scenario():
        network = await make_network(V1, V2)
        origins = await begin(network, "s", V1, V2)
        await network.run(ARCHIVED_S, (V1, V2))
        survivors = dict(list(network.brokers.items())[:left])
        network.kill_all()
        network.brokers.update(survivors)
        assert await find(network, origins) == origins

    run_virtual(scenario())


def test_young_streams_of_the_only_version_are_known():
    # Guards against refusals of streams that began after the last append.
    async def scenario():
        network = await make_network(V1)
        await begin(network, "s", V1)
        await network.run(ARCHIVED_S, (V1,))
        young = await begin(network, "young", V1)
        network.kill_all()
        assert await find(network, young) == young
        assert all(b.history.covered_s(network.now()) for b in network.brokers.values())

    run_virtual(scenario())


@pytest.mark.parametrize("listed_still", [True, False])
def test_young_streams_are_unknown_if_another_version_was_listed(listed_still):
    # Guards against a guess after a version came while no node ran, or came and went.
    async def scenario():
        network = await make_network(V1)
        await begin(network, "s", V1)
        await network.run(ARCHIVED_S, (V1,))
        await network.log.list_endpoint("endpoint-2", SERVICE, V2)
        young = await begin(network, "young", V2)
        network.kill_all()
        if listed_still:
            await network.run(0.1, (V2,))
        assert await find(network, young) == nothing(young)

    run_virtual(scenario())


def test_archived_streams_keep_their_version_if_another_one_has_replaced_it():
    # Guards against one listed version that is taken for the origin.
    async def scenario():
        network = await make_network(V1)
        origins = await begin(network, "s", V1)
        await network.run(ARCHIVED_S, (V1,))
        network.kill_all()
        await network.log.list_endpoint("endpoint-2", SERVICE, V2)
        await network.run(0.1, (V2,))
        assert await find(network, origins) == origins

    run_virtual(scenario())


def test_young_streams_are_unknown_if_the_list_has_a_gap():
    # Guards against versions in records that the store has dropped.
    async def scenario():
        network = await make_network(V1)
        await begin(network, "s", V1)
        await network.run(ARCHIVED_S, (V1,))
        young = await begin(network, "young", V2)
        for version in (V2, V1):
            await network.log.list_endpoint(f"endpoint-{version}", SERVICE, version)
        network.log.trimmed[ENDPOINTS_TOPIC] = 3
        network.kill_all()
        assert await find(network, young) == nothing(young)

    run_virtual(scenario())


def test_young_streams_are_unknown_after_a_restore_of_the_store():
    # Guards against a position in the list that means another record by now.
    async def scenario():
        network = await make_network(V1)
        await begin(network, "s", V1)
        await network.run(ARCHIVED_S, (V1,))
        young = await begin(network, "young", V2)
        network.log.era = StoreEra(1)
        network.kill_all()
        assert await find(network, young) == nothing(young)

    run_virtual(scenario())


def test_streams_are_unknown_for_now_while_the_store_is_silent():
    # Guards against a guess, and against a refusal that names no time.
    async def scenario():
        network = await make_network(V1, V2)
        origins = await begin(network, "s", V1, V2)
        await network.run(ARCHIVED_S, (V1, V2))
        network.kill_all()
        network.log.silent = True
        assert await find(network, origins) == nothing(origins)
        for broker in network.brokers.values():
            assert broker.retry_after_s() == UNKNOWN_RETRY_S
        network.log.silent = False
        assert await find(network, origins) == origins
        never_archived = nothing(keys("other"))
        assert await find(network, never_archived) == never_archived
        for broker in network.brokers.values():
            assert broker.retry_after_s() is None

    run_virtual(scenario())


def test_origins_are_archived_after_an_outage_of_the_store():
    # Guards against batches that are lost with a failed append.
    async def scenario():
        network = await make_network(V1, V2)
        network.log.silent = True
        origins = await begin(network, "s", V1, V2)
        await network.run(5.0, (V1, V2))
        network.log.silent = False
        await network.run(4.0, (V1, V2))
        network.kill_all()
        assert await find(network, origins) == origins

    run_virtual(scenario())


def test_origins_of_streams_that_run_on_outlive_the_history_of_the_store():
    # Guards against records that the store drops while their streams run.
    async def scenario():
        network = await make_network(V1, V2)
        origins = await begin(network, "s", V1, V2)
        await network.run(50.0, (V1, V2))
        network.kill_all()
        assert await find(network, origins) == origins

    run_virtual(scenario())


def test_complete_streams_are_not_archived():
    async def scenario():
        network = await make_network(V1)
        origins = await begin(network, "s", V1)
        for broker in network.brokers.values():
            for key in origins:
                broker.end_stream(key, complete=True)
        await network.run(ARCHIVED_S, (V1,))
        assert not any(b"origins" in each for _, each in network.log.topics[TOPIC])

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_origin_is_archived_within_its_bound(seed):
    # Guards against young streams that no node knows after the loss of all nodes.
    async def scenario():
        rng = Random(seed)
        network = await make_network(V1, V2)
        brokers = list(network.brokers.values())
        running = asyncio.create_task(network.run(20.0, (V1, V2)))
        lags = []

        async def measure(number):
            await asyncio.sleep(rng.uniform(0, 18.0))
            key = stream_key(TeamId("a"), RequestId(f"s-{number}"))
            begun_at = network.now()
            rng.choice(brokers).continue_stream(key, StreamOrigin(SERVICE, V1))
            while not any(
                key.encode() in record
                for _, record in network.log.topics.get(TOPIC, ())
            ):
                await asyncio.sleep(0.01)
            lags.append(network.now() - begun_at)

        await asyncio.gather(*(measure(number) for number in range(60)))
        await running
        assert max(lags) <= MAX_LAG_S
        assert sum(lags) / len(lags) <= MEAN_LAG_S

    run_virtual(scenario())


@pytest.mark.parametrize(("count", "per_s"), [(9, 2.5), (83, 7.5), (300, 25.0)])
def test_appends_are_few_at_any_number_of_nodes(count, per_s):
    # Guards against an append for each node or each stream.
    async def scenario():
        network = await make_network(V1, V2, count=count)
        running = asyncio.create_task(network.run(10.0, (V1, V2)))
        for number in range(40):
            await begin(network, f"s{number}", V1, V2)
            await asyncio.sleep(0.25)
        await running
        assert network.log.appends <= 10 * per_s

    run_virtual(scenario())


@pytest.mark.parametrize(
    "message", [[], ["batch", 1], ["batch", 1, [["s", "1", [7]]]], ["other", 1]]
)
def test_malformed_message_is_an_error_that_gossip_logs(message):
    async def scenario():
        network = await make_network(V1)
        with pytest.raises((ValueError, TypeError)):
            network.brokers["node-0"].archive.receive("peer", message)

    run_virtual(scenario())


def test_unreadable_record_is_skipped():
    # Guards against a record of a foreign writer that ends all lookups.
    async def scenario():
        network = await make_network(V1, V2)
        await network.log.append(TOPIC, 0, [b"\xff", b"7", b'{"versions": 3}'])
        origins = await begin(network, "s", V1, V2)
        await network.run(ARCHIVED_S, (V1, V2))
        network.kill_all()
        assert await find(network, origins) == origins

    run_virtual(scenario())


def test_store_that_drops_records_again_and_again_ends_a_lookup():
    # Guards against a read that never ends, with a call each few milliseconds.
    async def scenario():
        network = await make_network(V1, V2)
        origins = await begin(network, "s", V1, V2)
        await network.run(ARCHIVED_S, (V1, V2))
        network.kill_all()
        network.log.trimmed[TOPIC] = 1000
        reads = network.log.reads
        assert await find(network, origins) == nothing(origins)
        assert network.log.reads - reads <= 10 * len(network.brokers)

    run_virtual(scenario())
