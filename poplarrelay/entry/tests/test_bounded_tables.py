"""Rows, ids and messages whose number or size callers and senders choose."""

import zlib

import pytest

from poplarrelay.entry.backlogs import (
    MAX_CACHED_PARTS,
    BacklogTable,
    Placement,
    PromptEnd,
)
from poplarrelay.entry.clock import MAX_PEERS, ClusterClock
from poplarrelay.entry.gossip import MAX_MESSAGE_BYTES
from poplarrelay.entry.http.listener import IncomingRequest
from poplarrelay.entry.peers import MAX_ROWS, PeerTable
from poplarrelay.identifiers import EndpointId, RequestId
from poplarrelay.platform.headers import MAX_PARTS, decode_request
from poplarrelay.testing.rows import make_network, make_row


def decode(**headers):
    encoded = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return decode_request(IncomingRequest(b"POST", b"/x", encoded, b"", False, 0.0))


def prefix(parts):
    return ",".join(f"{part}:{tokens}" for part, tokens in parts)


class TestIds:
    def test_long_id_is_a_digest_in_tables_and_unchanged_for_the_endpoint(self):
        request_id = 15_000 * "q"
        request = decode(X_Poplarrelay_Attempt_Id=request_id)
        assert request.request == request_id
        assert (b"X-Poplarrelay-Attempt-Id", request_id.encode()) in (
            request.forwarded_headers
        )
        assert len(request.short_id) < 64
        assert request.short_id != decode(X_Poplarrelay_Attempt_Id="q" * 80).short_id

    def test_short_id_stays(self):
        assert decode(X_Poplarrelay_Attempt_Id="a" * 64).short_id == "a" * 64

    def test_long_parts_are_digests(self):
        request = decode(
            X_Poplarrelay_Prefix_Hash=prefix([("a" * 5000, 10), ("b" * 5000, 20)])
        )
        assert all(len(part.part) < 64 for part in request.prefix)
        assert [part.tokens for part in request.prefix] == [10, 20]

    def test_many_parts_count_as_few_with_all_their_tokens(self):
        # Guards against thousands of objects for one head.
        request = decode(
            X_Poplarrelay_Prefix_Hash=prefix([(f"{n:x}", 1) for n in range(3000)])
        )
        assert len(request.prefix) == MAX_PARTS
        assert sum(part.tokens for part in request.prefix) == 3000
        few = decode(X_Poplarrelay_Prefix_Hash=prefix([("a", 5), ("b", 7), ("c", 9)]))
        assert [part.part for part in few.prefix] == ["a", "b", "c"]

    @pytest.mark.parametrize("usage", ["-5,10", "5,-10", "9" * 400, "1," + "9" * 400])
    def test_token_counts_of_nobody_are_not_stated(self, usage):
        # Guards against counts that refill a quota or overflow a sum.
        request = decode(X_Poplarrelay_Token_Usage=usage)
        assert request.prompt_tokens is None
        assert request.max_output_tokens is None


def test_cached_parts_of_an_engine_are_bounded():
    # Guards against prompts that state parts without tokens, which evict nothing.
    table, engine = BacklogTable(), EndpointId("e")
    for number in range(200):
        parts = tuple(f"{number}-{part}" for part in range(64))
        request = RequestId(f"r{number}")
        table.add_prompt("a", Placement(engine, request, 0, parts, 0), 0.0)
        table.remove_prompt(engine, request, PromptEnd.BEGAN, 0.0)
    (backlog,) = table.backlogs.values()
    assert len(backlog._part_last_used) == MAX_CACHED_PARTS
    assert table.view("b", engine, ("199-0", "199-1"), 0.1).cached_parts == 2
    assert table.view("b", engine, ("0-0",), 0.1).cached_parts == 0


class TestSenders:
    def test_rows_of_nodes_that_nobody_knows_are_bounded(self):
        table = PeerTable(make_row("me"))
        for number in range(2 * MAX_ROWS):
            table.receive(make_row(f"n{number}"), 0.0)
        assert len(table.seen) == MAX_ROWS
        assert table.receive(make_row("n0", started=2), 1.0)

    def test_earlier_processes_of_one_node_are_bounded(self):
        table = PeerTable(make_row("me"))
        for number in range(2 * MAX_ROWS):
            table.receive(make_row("n", started=number + 1), 0.0)
        assert len(table.replaced) == MAX_ROWS

    def test_clock_readings_are_bounded(self):
        clock = ClusterClock(lambda: 100.0)
        for number in range(2 * MAX_PEERS):
            clock.receive(f"n{number}", 100.0, 0.0)
        assert len(clock._readings) == MAX_PEERS

    def test_datagram_that_grows_without_end_is_unreadable(self, caplog):
        network = make_network(2, warm_up_s=2.0)
        one, other = network.alive
        content = b'{"rows": [' + b" " * 50 * MAX_MESSAGE_BYTES + b"]}"
        node = network.nodes[other]
        node.datagram_received(zlib.compress(content), (one, 0))
        assert "unreadable news" in caplog.messages
