"""Invalid input gets a typed 4xx response, and the node still serves others."""

import json
import socket
from typing import Any

import pytest

from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site, wait_until

pytestmark = pytest.mark.processes

TOKEN = "example-token-of-alpha"
GOOD = {"model": "small", "prompt": "secret words of a caller", "max_tokens": 2}
PATH = "/v1/completions"


@pytest.fixture(scope="module")
def site():
    limits = {"max_body_bytes": 20_000, "max_header_bytes": 4096}
    with run_site(small_site(nodes=1), settings={"limits": limits}) as running:
        yield running


@pytest.fixture
def node(site):
    return site.nodes["node-1"]


def _post(site, node, body, path=PATH, token=TOKEN, **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    headers["Authorization"] = f"Bearer {token}"
    return site.http_client.call(
        "POST", node.address, path, body, timeout_s=10.0, headers=headers
    )


def _raw(node, content, timeout=15.0):
    host, port = node.address.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.sendall(content)
        parts = []
        while chunk := connection.recv(65_536):
            parts.append(chunk)
            if b"\r\n\r\n" in b"".join(parts):
                break
    return b"".join(parts)


def _assert_serves(site, node):
    assert _post(site, node, GOOD).status == 200


CASES: dict[str, tuple[dict[str, Any], int, str]] = {
    "unknown team": ({"token": "nobody"}, 401, "authentication-failed"),
    "wrong model": ({"body": {**GOOD, "model": "large"}}, 404, "unknown-model"),
    "missing field": ({"body": {"model": "small"}}, 400, "malformed-body"),
    "wrong type": ({"body": {**GOOD, "max_tokens": "many"}}, 400, "malformed-body"),
    "a list": ({"body": [1, 2]}, 400, "malformed-body"),
    "unknown class": ({"Request_Class": "royal"}, 400, "malformed-header"),
    "bad timeout": ({"Request_Timeout": "soon"}, 400, "malformed-header"),
    "negative timeout": ({"Request_Timeout": "-1"}, 400, "malformed-header"),
    "bad key": ({"Idempotency_Key": "two words"}, 400, "key-malformed"),
    "part of a ticket": ({"Idempotency_Key": "t1.node-1"}, 400, "key-malformed"),
    "unknown service": (
        {"path": "/services/nothing/x"},
        404,
        "unknown-service",
    ),
}


@pytest.mark.parametrize("case", CASES, ids=str)
def test_invalid_request_is_a_typed_problem(site, node, case):
    # Guards against invalid values that pass validation and cause a status 500, a
    # traceback in the answer or an outcome other than "not_run".
    changes, status, slug = CASES[case]
    reply = _post(site, node, **{"body": GOOD, **changes})
    assert reply.status == status
    assert reply.value["type"].endswith(slug)
    assert reply.value["outcome"] == "not_run"
    assert "Traceback" not in json.dumps(reply.value)
    _assert_serves(site, node)


def test_missing_token_is_refused(site, node):
    # Guards against a request without a bearer token that is served.
    reply = site.http_client.call("POST", node.address, PATH, GOOD)
    assert reply.status == 401


def test_method_not_allowed(site, node):
    # Guards against a handler that runs for a method that it does not support.
    assert site.http_client.call("GET", node.address, PATH).status == 405


def test_unknown_path(site, node):
    # Guards against an unknown path that gets an answer without a problem document.
    reply = site.http_client.call("GET", node.address, "/nowhere")
    assert reply.status == 404
    assert reply.value["type"].endswith("not-found")


def test_oversize_body_is_refused(site, node):
    # Guards against a body over the size limit that is accepted.
    reply = _post(site, node, {**GOOD, "prompt": "x" * 30_000})
    assert reply.status == 413
    _assert_serves(site, node)


def test_oversize_body_in_chunks_is_refused(site, node):
    # Guards against a body that has no Content-Length and is read without a limit.
    # The listener can find out its size only while it reads.
    chunk = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {TOKEN}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    answer = _raw(node, head.encode() + chunk * 4 + b"0\r\n\r\n")
    assert answer.split()[1] == b"413"
    _assert_serves(site, node)


def test_broken_json_is_refused(site, node):
    # Guards against incomplete JSON that ends in a status 500.
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {TOKEN}\r\n"
        "Content-Length: 9\r\nConnection: close\r\n\r\n"
    )
    answer = _raw(node, head.encode() + b'{"model":')
    assert answer.split()[1] == b"400"
    _assert_serves(site, node)


def test_slow_sender_times_out_and_others_are_served(site, node):
    # Guards against a sender that blocks the node. The sender sends only a part of
    # the body; the listener must stop waiting and serve other callers meanwhile.
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {TOKEN}\r\n"
        "Content-Length: 500\r\n\r\n{"
    )
    host, port = node.address.split(":")
    with socket.create_connection((host, int(port)), timeout=20.0) as connection:
        connection.sendall(head.encode())
        _assert_serves(site, node)
        answer = connection.recv(65_536)
    assert answer.split()[1] in (b"400", b"408")


def test_oversize_headers_are_refused(site, node):
    # Guards against headers over the size limit that are accepted.
    flood = "".join(f"X-Flood-{i}: {'y' * 100}\r\n" for i in range(200))
    head = f"GET /v1/addresses HTTP/1.1\r\nHost: n\r\n{flood}\r\n"
    answer = _raw(node, head.encode())
    assert answer.split()[1] in (b"413", b"431")
    _assert_serves(site, node)


def _rejected_types(node):
    return [line["rejected"] for line in node.log_lines() if "rejected" in line]


def _wait_for_lines(site, node):
    """Send a request that is refused, and wait for its log line.

    Lines keep their order, so all earlier lines are written by then.
    """
    reached = _rejected_types(node).count("unknown-service") + 1
    _post(site, node, GOOD, path="/services/marker/x")
    wait_until(lambda: _rejected_types(node).count("unknown-service") >= reached)


def test_logs_contain_no_token_prompt_or_answer(site, node):
    # Guards against log lines that contain callers' secrets or data.
    prompt = "a prompt that must not be logged"
    reply = _post(site, node, {**GOOD, "prompt": prompt})
    answer = reply.value["choices"][0]["text"]
    _post(site, node, GOOD, token="a-token-that-must-not-be-logged")
    _wait_for_lines(site, node)
    text = node.output.read_text()
    assert "must not be logged" not in text
    assert "must-not-be-logged" not in text
    assert TOKEN not in text
    assert answer.strip() not in text


def test_each_refusal_has_one_log_line(site, node):
    # Guards against refusals that are logged twice or not at all. The logging thread
    # writes a line after the node has answered, so the test counts the lines between
    # those of two other refusals; lines keep their order.
    _wait_for_lines(site, node)
    before = len(_rejected_types(node))
    _post(site, node, {**GOOD, "model": "large"})
    _wait_for_lines(site, node)
    assert _rejected_types(node)[before:] == ["unknown-model", "unknown-service"]
