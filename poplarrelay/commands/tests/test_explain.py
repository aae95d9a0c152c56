"""The history of a request, from recorded log lines of two nodes."""

from poplarrelay.commands.explain import explain_request, read_lines

RECORDED = b"""\
  -9.1 n-1 {"time": "t0", "message": "configuration in force", "node": "n-1", "version": 3}
  1.0 n-1 {"time": "t1", "message": "endpoint", "node": "n-1", "endpoint": "e-1", "change": "new"}
  1.1 n-2 {"time": "t1", "message": "endpoint", "node": "n-2", "endpoint": "e-1", "change": "leaving"}
  2.0 n-1 {"time": "t2", "message": "dependency lost", "node": "n-1", "dependency": "store", "why": "read: 503"}
  2.5 n-1 {"time": "t3", "message": "attempt", "node": "n-1", "request": "r-7", "endpoint": "e-1", "result": "Broken", "why": "connection lost"}
  2.5 n-1 {"time": "t3", "message": "attempt", "node": "n-1", "request": "r-8", "endpoint": "e-2", "result": "Answered"}
  2.6 n-1 {"time": "t4", "message": "endpoint avoided", "node": "n-1", "endpoint": "e-1", "for_s": 0.5}
  2.7 n-1 {"time": "t5", "message": "request", "node": "n-1", "request": "r-7", "status": 502, "outcome": "the endpoint broke off"}
  9.0 n-1 {"time": "t6", "message": "endpoint", "node": "n-1", "endpoint": "e-1", "change": "gone"}
  9.5 n-1 {"time": "t7", "message": "request blocked", "node": "n-1", "fingerprint": "f-1", "crashes": 3, "source": "n-2"}
  9.6 n-1 {"time": "t7", "message": "request blocked", "node": "n-1", "fingerprint": "f-2", "crashes": 3, "source": "n-2"}
  9.7 n-1 {"time": "t8", "message": "request", "node": "n-1", "request": "r-9", "fingerprint": "f-1", "status": 503, "outcome": "endpoints have crashed under this request"}
  10.0 n-1 {"time": "t9", "message": "path", "node": "n-1", "endpoint": "e-3", "service": "s", "state": "lost", "isolated": true}
  10.1 n-1 {"time": "t9", "message": "attempt", "node": "n-1", "request": "r-10", "endpoint": "e-3", "carrier": "10.0.0.2", "result": "Answered"}
  11.0 n-1 {"time": "t10", "message": "part blocked", "node": "n-1", "part": "p-1", "service": "s", "crashes": 3, "source": "peer 10.0.0.2"}
  11.0 n-1 {"time": "t10", "message": "part blocked", "node": "n-1", "part": "p-2", "service": "s", "crashes": 3, "source": "this node"}
  11.1 n-1 {"time": "t11", "message": "request", "node": "n-1", "request": "r-11", "status": 503, "detail": "part p-1"}
  12.0 n-1 {"time": "t12", "message": "history has a gap", "node": "n-1", "why": "HistoryTrimmed(9)"}
  12.1 n-1 {"time": "t13", "message": "request", "node": "n-1", "request": "r-12", "status": 503, "resumes": "r-7", "outcome": "the version that began the stream is not known"}
  12.2 n-1 {"time": "t14", "message": "request", "node": "n-1", "request": "r-13", "status": 200}
  12.3 n-1 {"time": "t15", "message": "limit reached", "node": "n-1", "limit": "memory", "listener": "callers"}
  12.3 n-1 {"time": "t15", "message": "limit reached", "node": "n-1", "limit": "connections", "listener": "callers"}
  12.4 n-1 {"time": "t16", "message": "refused", "node": "n-1", "request": "r-14", "status": 503, "why": "the node's memory for requests is full"}
a line of another program
""".splitlines()  # noqa: E501


def test_history_of_a_request_with_the_state_known_to_its_node():
    explanation = explain_request("r-7", read_lines(RECORDED))
    assert [line["message"] for line in explanation.lines] == ["attempt", "request"]
    known_state = {
        (line["message"], line.get("change")) for line in explanation.known_state
    }
    assert known_state == {
        ("configuration in force", None),
        ("endpoint", "new"),
        ("dependency lost", None),
        ("endpoint avoided", None),
    }
    text = "\n".join(explanation.text())
    assert "connection lost" in text
    assert "status=502" in text
    assert "r-8" not in text


def test_refused_request_is_shown_with_the_block_of_its_fingerprint():
    explanation = explain_request("r-9", read_lines(RECORDED))
    blocked = [
        line for line in explanation.known_state if line["message"] == "request blocked"
    ]
    assert [(line["fingerprint"], line["crashes"]) for line in blocked] == [("f-1", 3)]


def test_refused_prompt_is_shown_with_the_block_of_its_part():
    explanation = explain_request("r-11", read_lines(RECORDED))
    blocked = [
        line for line in explanation.known_state if line["message"] == "part blocked"
    ]
    assert [(line["part"], line["source"]) for line in blocked] == [
        ("p-1", "peer 10.0.0.2")
    ]


def test_refused_resumption_is_shown_with_the_state_of_the_archive():
    gaps = [
        sum(
            line["message"] == "history has a gap"
            for line in explain_request(request, read_lines(RECORDED)).known_state
        )
        for request in ("r-12", "r-13")
    ]
    assert gaps == [1, 0]


def test_tunnelled_request_is_shown_with_the_loss_of_its_path():
    explanation = explain_request("r-10", read_lines(RECORDED))
    assert [line["carrier"] for line in explanation.lines] == ["10.0.0.2"]
    assert any(line.get("state") == "lost" for line in explanation.known_state)


def test_request_refused_for_a_limit_is_shown_with_the_limits_reached():
    explanation = explain_request("r-14", read_lines(RECORDED))
    limits = [line["limit"] for line in explanation.known_state if "limit" in line]
    assert limits == ["memory", "connections"]


def test_request_without_log_lines_is_reported():
    explanation = explain_request("r-0", read_lines(RECORDED))
    assert explanation.text() == ["no line tells of request r-0"]
