"""Bytes in place of an answer or behind one, which belong to no request."""

import asyncio

import pytest

from poplarrelay.entry.answers import AnswerMarks, foreign_answer
from poplarrelay.entry.http.connection import Connection, header_value
from poplarrelay.identifiers import RequestId
from poplarrelay.platform.headers import answer_marks
from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    poll_until,
    run_entry_site,
    run_scenario,
)

ID = b"X-Poplarrelay-Attempt-Id: "
SIGNED = b"X-Poplarrelay-Response-Signature: s"
NOT_RUN = b"X-Poplarrelay-Not-Executed: 1"
#: Statements about new requests that would change what a node sends.
NOTICES = (
    b"Server-Leaving: 1",
    b"Server-Limit: 0",
    b"Server-Brittle: 0",
    b"Retry-After: 30",
)
EVENT = b"id: 1\ndata: nobody's\n\n"


def response(status, *lines, body=b"9 of none", notices=NOTICES):
    length = b"Content-Length: %d" % len(body)
    head = b"HTTP/1.1 %d Status" % status
    return b"\r\n".join((head, *lines, *notices, length, b"", body))


#: Responses that are not the answer to a request, by what is wrong.
FOREIGN = {
    "no id": response(200),
    "201 in chunks": b"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nno\r\n0\r\n\r\n",
    "event stream": response(200, b"Content-Type: text/event-stream", body=EVENT),
    "rejection": response(503, NOT_RUN),
    "other rejection": response(429, NOT_RUN),
    "misdirected": response(421, body=b""),
    "no signature": response(200, ID + b"{id}"),
    "empty signature": response(200, ID + b"{id}", SIGNED[:-1]),
    "204 without signature": b"HTTP/1.1 204 Empty\r\n" + ID + b"{id}\r\n\r\n",
    "id of another request": response(200, ID + b"other", SIGNED),
    "rejection of another request": response(503, ID + b"other", NOT_RUN),
    "id in capitals": response(200, ID + b"ONE", SIGNED),
    "space in the id": response(200, ID + b"{id} {id}", SIGNED),
    "two ids": response(200, ID + b"{id}", ID + b"other", SIGNED),
    "encoded": response(200, ID + b"{id}", SIGNED, b"Content-Encoding: gzip"),
    "after interim": b"HTTP/1.1 103 Early\r\n" + ID + b"{id}\r\n\r\n" + response(200),
}
#: Answers of sound endpoints, with the status that the caller gets.
SOUND = {
    "signed": (response(200, ID + b"{id}", SIGNED), 200),
    "spaces around the id": (response(200, ID + b"  {id} ", SIGNED), 200),
    "plain coding": (
        response(200, ID + b"{id}", SIGNED, b"Content-Encoding: identity"),
        200,
    ),
    "signed 204": (
        b"HTTP/1.1 204 Empty\r\n" + ID + b"{id}\r\n" + SIGNED + b"\r\n\r\n",
        204,
    ),
    "304": (b"HTTP/1.1 304 Same\r\n" + ID + b"{id}\r\n\r\n", 304),
    "failure without signature": (response(500, ID + b"{id}"), 500),
    "refusal without signature": (response(404, ID + b"{id}"), 404),
    "late": (response(504, ID + b"{id}"), 504),
    "after interim responses": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nServer-Leaving: 1\r\n\r\n"
        b"HTTP/1.1 200 OK\r\n" + ID + b"{id}\r\n" + SIGNED + b"\r\n"
        b"Content-Length: 0\r\n\r\n",
        200,
    ),
}


def assert_nothing_is_believed(site, failures=(0,)):
    """Check that a node has learned of failed attempts at most."""
    state = site.nodes["a"].state
    rows = state.endpoints.rows.values()
    assert sum(row.health.failures_in_row for row in rows) in failures
    for row in rows:
        assert row.limit_per_s is None
        assert not row.in_backoff(0.0)
        assert not row.departing
        assert row.running == 0
    assert not state.quarantine.records
    assert not state.crashes.records


def count_connections(runners):
    return sum(len(runner._writers) for runner in runners)


def marks(*ids, signed=True, encoded=False):
    return AnswerMarks(tuple(map(RequestId, ids)), signed, encoded)


@pytest.mark.parametrize(
    ("request_id", "status", "stated", "own"),
    [
        ("a", 200, marks("a"), True),
        ("a", 200, marks("a", "a"), True),
        ("a", 200, marks("a", signed=False), False),
        ("a", 200, marks("a", encoded=True), False),
        ("a", 503, marks("a", signed=False), True),
        ("a", 503, marks(signed=False), False),
        ("a", 503, marks("a", "b"), False),
        ("a", 200, marks("A"), False),
        ("a", 200, marks(""), False),
        ("", 400, marks(signed=False), True),
        ("", 400, marks("", signed=False), True),
        ("", 503, marks("a", signed=False), False),
        ("", 200, marks(signed=False), False),
    ],
)
def test_answer_states_the_id_of_its_request(request_id, status, stated, own):
    found = foreign_answer(RequestId(request_id), status, stated)
    assert (found is None) is own


def test_marks_are_read_from_all_headers():
    headers = [
        (b"x-poplarrelay-attempt-id", b"a"),
        (b"X-Poplarrelay-Attempt-Id", b"b"),
        (b"X-Poplarrelay-Response-Signature", b" "),
    ]
    assert answer_marks(headers) == marks("a", "b", signed=False)


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("path", ["/book/x", "/pay/x"])
@pytest.mark.parametrize("raw", FOREIGN.values(), ids=FOREIGN)
def test_request_that_may_run_once_gets_no_foreign_bytes(raw, path, kept):
    # Guards against bytes of nobody as a confirmation, or as a promise of "not run".
    async def scenario():
        async with run_entry_site() as site:
            runners = [await site.add_runner(f"r{n}", CALLS) for n in (1, 2)]
            await site.ready(endpoints=2)
            while kept and not all(runner.received for runner in runners):
                await asyncio.gather(*(site.call("/look/x") for _ in range(4)))
            before = sum(len(runner.received) for runner in runners)
            left = count_connections(runners) - kept
            for runner in runners:
                runner.raw_answers.append(raw)
            answer = await site.call(path, X_Poplarrelay_Attempt_Id="one")
            assert answer.status == 502
            assert b"of none" not in answer.body
            assert sum(len(runner.received) for runner in runners) == before + 1
            # Only on a new connection do the bytes show that the attempt has failed.
            assert_nothing_is_believed(site, failures=(0 if kept else 1,))
            assert site.nodes["a"].state.answers_foreign == 1
            await poll_until(lambda: count_connections(runners) == left)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "service"), [("/look/x", CALLS), ("/draft/x", STREAMS)]
)
@pytest.mark.parametrize("raw", FOREIGN.values(), ids=FOREIGN)
def test_repeatable_request_gets_the_answer_of_a_further_attempt(raw, path, service):
    # Guards against bytes of nobody as an answer where another attempt can serve.
    async def scenario():
        async with run_entry_site() as site:
            events = 3 if service == STREAMS else 0
            runners = [
                await site.add_runner(f"r{n}", service, events=events) for n in (1, 2)
            ]
            await site.ready(endpoints=2)
            runners[0].raw_answers.append(raw)
            for number in range(3):
                request = f"one-{number}"
                answer = await site.call(path, X_Poplarrelay_Attempt_Id=request)
                assert answer.status == 200
                assert header_value(
                    answer.headers, b"x-poplarrelay-response-signature"
                ) in (b"sig-r1", b"sig-r2")
            # A later answer of the endpoint ends its row of failures.
            assert_nothing_is_believed(site, failures=(0, 1))

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/book/x", "/look/x"])
@pytest.mark.parametrize(("raw", "status"), SOUND.values(), ids=SOUND)
def test_sound_answer_is_passed_on(raw, status, path):
    # Guards against a check that turns away answers of sound endpoints.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.raw_answers += [raw, raw]
            answer = await site.call(path, X_Poplarrelay_Attempt_Id="one")
            assert answer.status == status
            assert site.nodes["a"].state.answers_foreign == 0

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/book/x", "/look/x"])
@pytest.mark.parametrize("raw", FOREIGN.values(), ids=FOREIGN)
def test_late_bytes_are_not_the_next_answer(raw, path):
    # Guards against bytes behind an answer that reach the caller of the next request.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.late_answers.append(raw.replace(b"{id}", b"other"))
            statuses = set()
            for number in range(4):
                request = f"one-{number}"
                answer = await site.call(path, X_Poplarrelay_Attempt_Id=request)
                statuses.add(answer.status)
                assert answer.status == 502 or answer.body == runner.body_of(request)
            assert statuses == ({200} if path == "/look/x" else {200, 502})
            assert_nothing_is_believed(site)

    run_scenario(scenario)


def test_call_is_answered_as_a_whole_whatever_its_content_type():
    # Guards against a part of a call's answer that is forwarded before its end.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            whole = response(
                200,
                ID + b"{id}",
                SIGNED,
                b"Content-Type: text/event-stream",
                body=2 * EVENT,
                notices=(),
            )
            runner.raw_answers += [whole, whole[:-2]]
            answer = await site.call("/book/x", X_Poplarrelay_Attempt_Id="one")
            assert answer.body == 2 * EVENT
            connection = await site.open("/book/x", X_Poplarrelay_Attempt_Id="two")
            await poll_until(lambda: len(runner.ran) == 2)
            await asyncio.sleep(0.1)
            runner.stop()
            assert (await connection.response_head()).status == 502

    run_scenario(scenario)


def test_request_without_an_id_is_not_run_anywhere():
    # Guards against an answer that nothing connects with its request.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            await site.ready(endpoints=1)
            runner.raw_answers.append(response(200, SIGNED, ID + b"other"))
            answer = await site.call("/book/x", X_Poplarrelay_Attempt_Id="")
            assert answer.status == 502

    run_scenario(scenario)


def test_bodiless_response_is_framed():
    # Guards against a whole answer without a body that counts as cut.
    async def scenario():
        async with run_entry_site() as site:
            runner = await site.add_runner("r1", CALLS)
            runner.raw_answers.append(SOUND["signed 204"][0])
            host, _, port = runner.address.partition(":")
            connection = await Connection.open(host, int(port), 1.0)
            connection.send(b"GET", b"/", [(b"Host", b"r")], b"")
            assert (await connection.response_head()).framed
            connection.abort()

    run_scenario(scenario)
