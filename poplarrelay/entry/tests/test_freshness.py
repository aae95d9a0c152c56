"""How old lists of endpoints are, and what nodes confirm to each other."""

from functools import partial
from itertools import pairwise
from random import Random
from time import monotonic

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarrelay.entry.following import Dependency, StoreView
from poplarrelay.entry.freshness import (
    EARLIEST_READ_S,
    HOP_S,
    LATEST_READ_S,
    MOST_HOPS,
    SHORTEST_READ_S,
    ListClaim,
    ListFreshness,
)
from poplarrelay.entry.state import EntryState
from poplarrelay.entry.syncing import PeerSync
from poplarrelay.testing.users import CALLS, UsersSite, play, run_users_site, until


def freshness(digest="d", fresh_at=0.0):
    return ListFreshness(Random(1), "me", digest, fresh_at)


class TestClaims:
    def test_same_list_of_a_newer_peer_confirms_this_one(self):
        mine = freshness()
        mine.hear(ListClaim("d", age_s=0.4, read="a/1", hops=0), 1.0)
        assert mine.fresh_at == pytest.approx(0.6 - HOP_S)
        assert not mine.newer_heard

    def test_older_peer_changes_nothing(self):
        mine = freshness(fresh_at=2.0)
        for digest in ("d", "other"):
            mine.hear(ListClaim(digest, age_s=1.5, read="a/1", hops=0), 3.0)
        assert mine.fresh_at == 2.0
        assert not mine.newer_heard

    def test_newer_list_of_a_peer_is_read_from_the_store(self):
        # The peer read after an endpoint left. This node reads the store sooner than
        # it would have, but no two reads follow each other at once.
        mine = freshness()
        mine.note_read(1.0)
        later_s = mine.due_in_s(1.2)
        mine.hear(ListClaim("other", age_s=0.05, read="a/1", hops=0), 1.2)
        assert mine.due_in_s(1.2) == pytest.approx(1.0 + SHORTEST_READ_S - 1.2)
        assert mine.due_in_s(1.2) < later_s
        mine.note_read(1.8)
        assert not mine.newer_heard

    def test_after_a_freeze_the_store_is_read_at_once(self):
        mine = freshness(fresh_at=5.0)
        mine.distrust()
        assert mine.due_in_s(5.1) < 0


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.integers(0, 4),
            st.floats(0.01, 0.3),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_no_chain_of_peers_makes_a_list_younger_than_it_is(steps):
    # Five nodes tell each other their lists; in between, endpoints leave, and some
    # nodes read the store. Whoever believes its list fresh as of some time must
    # hold what the store held then: else it would send to one that left long ago.
    nodes = [ListFreshness(Random(1), f"n{i}", "0", 0.0) for i in range(5)]
    history = [(0.0, "0")]
    now = 0.0
    for source, target, passed_s, changes in steps:
        now += passed_s
        if changes:
            history.append((now, str(len(history))))
        if source == target:
            nodes[source].digest = history[-1][1]
            nodes[source].note_read(now)
        else:
            told = nodes[source]
            claim = ListClaim(told.digest, told.age_s(now), told.read, told.hops)
            nodes[target].hear(claim, now)
        for node in nodes:
            held = [d for at, d in history if at <= node.fresh_at + 1e-6]
            assert node.digest == held[-1]


def test_claims_that_go_round_do_not_keep_a_list_fresh():
    # Three nodes tell each other in a circle that their lists are the same. Each
    # datagram takes 60 ms, and whoever hears it counts the age from its arrival. Only
    # the first node has read the store, once: after two seconds all three must know
    # that their lists are old, else an endpoint that has left would get requests.
    nodes = [ListFreshness(Random(1), f"n{i}", "d", 0.0) for i in range(3)]
    nodes[0].note_read(0.1)
    now = 0.1
    for step in range(60):
        told = nodes[step % 3]
        claim = ListClaim(told.digest, told.age_s(now), told.read, told.hops)
        now += 0.06
        nodes[(step + 1) % 3].hear(claim, now)
    assert all(node.fresh_at < 0.25 for node in nodes)
    assert all(node.due_in_s(now) < 0 for node in nodes)


def test_read_does_not_get_younger_on_a_long_way():
    # One node of sixty has read the store. All are busy: a datagram lies for 0.2 s
    # until it is read, and the news takes the longest way, through one after the other.
    # The last one must not take the list for seconds younger than it is.
    nodes = [ListFreshness(Random(1), f"n{i}", "d") for i in range(60)]
    now = 0.1
    nodes[0].note_read(now)
    for told, hearing in pairwise(nodes):
        claim = ListClaim(told.digest, told.age_s(now), told.read, told.hops)
        now += 0.2
        hearing.hear(claim, now)
    assert all(node.fresh_at <= 0.1 + MOST_HOPS * 0.2 for node in nodes)
    assert nodes[MOST_HOPS].fresh_at > 0.0
    assert nodes[-1].age_s(now) == float("inf")


def test_leaving_endpoint_is_known_everywhere_in_time_with_few_reads():
    # Eight nodes serve and confirm each other's lists, so that few of them read the
    # store. An endpoint leaves: all of them learn it nevertheless.
    async def scenario():
        async with run_users_site(nodes=8) as site:
            await site.add_runner("r1", CALLS)
            await site.add_runner("r2", CALLS)
            for name in site.nodes:
                await site.ready(name, endpoints=2)
            states = [node.state for node in site.nodes.values()]
            await until(lambda: all(len(s.peers.seen) == 7 for s in states))
            began, before = monotonic(), _reads(site)
            await until(lambda: all(s.freshness.fresh_at > began + 3 for s in states))
            passed_s = monotonic() - began
            # Each by itself, the nodes would read eight times in 0.85 to 1.2 s.
            alone = len(states) * passed_s / LATEST_READ_S
            assert 1 <= _reads(site) - before < 0.5 * alone
            site.list_runner("r1", CALLS, state="draining")
            await until(lambda: all(not _accepts(s, "r1") for s in states))
            assert all(_accepts(state, "r2") for state in states)

    play(scenario)


def test_newer_list_is_not_asked_of_the_peer_that_told_of_it():
    # Sixty nodes hear at once that one has read a newer list. Its link is small: sixty
    # answers with all endpoints would keep it busy for seconds.
    async def scenario():
        async with run_users_site() as site:
            await site.ready()
            state = site.nodes["a"].state
            view = StoreView(state, Dependency("endpoints"), lambda: None)
            sync = PeerSync(state, view, control_port=1)
            now = monotonic()
            state.freshness.note_read(now)
            claim = ListClaim("other", age_s=0.0, read="b/1", hops=0)
            state.freshness.hear(claim, now + 0.1)
            assert sync.peer_to_ask(now + 0.1) is None
            assert state.freshness.due_in_s(now) <= SHORTEST_READ_S

    play(scenario)


def test_old_list_alone_does_not_keep_an_endpoint_that_is_gone():
    # The store answers all the time, but this node's list has got old, as after some
    # slow reads. An endpoint's record is removed: it gets no request more, since only
    # records that lapse while the store is away may come back.
    async def scenario():
        async with run_users_site() as site:
            await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            state = site.nodes["a"].state
            row = next(iter(state.endpoints.rows.values()))
            state.freshness.distrust()
            site.store.put("keyed.servers", "r1", None)
            await until(lambda: row.gone or row.suspended_until is not None)
            assert row.gone

    play(scenario)


def test_node_without_peers_reads_by_itself():
    async def scenario():
        async with run_users_site() as site:
            await site.ready()
            freshness = site.nodes["a"].state.freshness
            for _ in range(3):
                read_at = freshness.fresh_at
                await until(partial(_confirmed_after, freshness, read_at))
                assert freshness.fresh_at - read_at >= EARLIEST_READ_S

    play(scenario)


def _confirmed_after(freshness: ListFreshness, at: float) -> bool:
    return freshness.fresh_at > at


def _reads(site: UsersSite) -> int:
    """Return the reads of the endpoints' topic that the store has answered."""
    return site.store.reads["keyed.servers"]


def _accepts(state: EntryState, name: str) -> bool:
    rows = state.endpoints.rows.values()
    return any(row.endpoint == name and row.accepts_work for row in rows)
