"""Which of a node's paths count as lost, and which peers carry tunnels."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from math import inf
from random import Random

import pytest

from poplarrelay.entry.carriers import MAX_ASKED, MAX_LOCAL, Carriers
from poplarrelay.entry.peer_rows import NodeState
from poplarrelay.entry.racing import first_success
from poplarrelay.entry.reachability import Reachability
from poplarrelay.identifiers import DomainId
from poplarrelay.testing.rows import make_row

A, B, C = ("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)


class TestReachability:
    def test_one_lost_path_concerns_one_endpoint(self):
        paths = Reachability()
        paths.note_lost(A, 10.0)
        assert paths.is_lost(A, 10.0)
        assert not paths.is_lost(B, 10.0)

    def test_node_without_direct_bytes_and_two_lost_paths_is_isolated(self):
        # Guards against a slow first connection to each endpoint in turn.
        paths = Reachability()
        paths.note_heard(C, 9.0)
        paths.note_lost(A, 10.0)
        paths.note_lost(B, 10.1)
        assert paths.is_lost(C, 10.1)
        paths.note_heard(C, 10.2)
        assert not paths.is_lost(C, 10.3)
        assert paths.is_lost(A, 10.3)

    def test_node_that_has_just_heard_an_endpoint_is_not_isolated(self):
        # Guards against open streams that end as only new connections are refused.
        paths = Reachability()
        paths.note_heard(C, 9.99)
        paths.note_lost(A, 10.0)
        paths.note_lost(B, 10.0)
        assert not paths.is_lost(C, 10.0)

    @pytest.mark.parametrize(
        ("heard_at", "unanswered_at", "trusted"),
        [
            (9.5, inf, True),
            (8.5, inf, False),
            (9.5, 9.9, True),
            (9.5, 9.6, False),
            (9.9, 9.0, True),
        ],
    )
    def test_kept_connections_are_trusted_while_endpoints_are_heard(
        self, heard_at, unanswered_at, trusted
    ):
        # Guards against calls that must not be repeated on connections of a cut.
        paths = Reachability()
        paths.note_heard(A, heard_at)
        assert paths.can_trust(unanswered_at, 10.0) is trusted

    def test_paths_return_together(self):
        # Guards against a heal that is found one endpoint at a time.
        paths = Reachability()
        for address in (A, B, C):
            paths.note_lost(address, 10.0)
        assert paths.next_probe(10.0) == A
        assert paths.next_probe(10.1) is None
        assert paths.note_probe(A, True, 10.1) == [A, B, C]
        assert paths.lost == []

    def test_unstable_path_must_hold_before_it_is_used(self):
        # Guards against requests that are lost in each turn of a flapping link.
        paths = Reachability()
        holds = []
        now = 10.0
        for _ in range(6):
            paths.note_lost(A, now)
            start = now
            while not paths.note_probe(A, True, now):
                now += 0.25
            holds.append(now - start)
            now += 0.5
        assert holds == [0.0, 0.5, 1.0, 2.0, 4.0, 4.0]

    def test_failed_probe_starts_the_hold_anew(self):
        paths = Reachability()
        for _ in range(2):
            paths.note_lost(A, 10.0)
            paths.note_probe(A, True, 10.0)
        assert paths.note_probe(A, False, 10.4) == []
        assert paths.note_probe(A, True, 10.6) == []
        assert paths.note_probe(A, True, 11.2) == [A]

    def test_forgets_endpoints_that_are_not_listed(self):
        paths = Reachability()
        paths.note_lost(A, 10.0)
        paths.note_lost(B, 10.0)
        paths.forget({B}, 11.0)
        assert paths.lost == [B]


def make_peers(*domains, **changes):
    return [
        replace(make_row(f"n{number}"), domain=DomainId(domain), **changes)
        for number, domain in enumerate(domains)
    ]


class TestCarriers:
    def test_local_peers_come_first_and_others_follow(self):
        # Guards against a failure domain that loses all its paths at once.
        peers = make_peers(*["d"] * 10, *["e"] * 10)
        hosts = Carriers(DomainId("d"), lambda: peers, Random(1)).choose(10.0)
        domains = [next(p.domain for p in peers if p.host == host) for host in hosts]
        assert domains == ["d"] * MAX_LOCAL + ["e"] * (MAX_ASKED - MAX_LOCAL)

    def test_peer_that_refused_is_left_out_for_a_moment(self):
        peers = make_peers("d", "d")
        carriers = Carriers(DomainId("d"), lambda: peers, Random(1))
        carriers.note_refused("n0", 10.0)
        assert carriers.choose(10.5) == ["n1"]
        assert set(carriers.choose(11.5)) == {"n0", "n1"}

    def test_stopping_peers_carry_nothing(self):
        peers = make_peers("d", "e", state=NodeState.DRAINING)
        assert Carriers(DomainId("d"), lambda: peers, Random(1)).choose(10.0) == []

    def test_tunnels_of_many_nodes_are_spread_over_peers(self):
        # Guards against nodes that all ask the peer that was least busy.
        peers = make_peers(*"eeeeeeee")
        for number, peer in enumerate(peers):
            peer.loads = {"r1": number}
        first = [
            Carriers(DomainId("d"), lambda: peers, Random(seed)).choose(10.0)[0]
            for seed in range(200)
        ]
        assert all(first.count(peer.host) <= 100 for peer in peers)


class TestFirstSuccess:
    @staticmethod
    async def attempt(result, after_s):
        await asyncio.sleep(after_s)
        if isinstance(result, Exception):
            raise result
        return result

    def race(self, *attempts, is_final=lambda error: False):
        discarded: list[str] = []

        async def run():
            ways = [lambda each=each: self.attempt(*each) for each in attempts]
            return await first_success(ways, 0.05, discarded.append, is_final)

        return asyncio.run(run()), discarded

    def test_next_attempt_starts_when_one_is_slow_or_fails(self):
        assert self.race(("slow", 1.0), ("quick", 0.0)) == ("quick", [])
        assert self.race((OSError(), 0.0), ("second", 0.0)) == ("second", [])

    def test_all_failures_are_raised_together(self):
        with pytest.raises(ExceptionGroup) as caught:
            self.race((OSError("a"), 0.0), (OSError("b"), 0.0))
        assert [str(error) for error in caught.value.exceptions] == ["a", "b"]

    def test_final_failure_ends_all_attempts(self):
        with pytest.raises(ValueError, match="final"):
            self.race(
                ("slow", 1.0),
                (ValueError("final"), 0.0),
                is_final=lambda error: isinstance(error, ValueError),
            )
