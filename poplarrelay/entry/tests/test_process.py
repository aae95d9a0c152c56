"""An entry node in a separate process: signals, settings and exit codes."""

import signal
import subprocess
import sys

import orjson
import pytest

from poplarrelay.testing.entry_site import (
    CALLS,
    STREAMS,
    EntryProcess,
    entry_configuration,
    poll_until,
    run_entry_site,
    run_scenario,
)

pytestmark = pytest.mark.processes


def _logged_version(node: EntryProcess) -> int:
    """Return the newest configuration version in the node's log, 0 without one."""
    lines = [x for x in node.lines() if x["message"] == "configuration in force"]
    return lines[-1]["version"] if lines else 0


def test_settings_are_read_again_with_and_without_a_signal(tmp_path):
    # The settings file of a node that serves a stream changes, once with SIGHUP and
    # once without. An invalid file changes nothing. No change interrupts the stream.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", STREAMS, events=200, pause_s=0.02)
            node = await site.start_process("a", tmp_path)
            routes = [
                {**r, "timeoutMs": 60_000} for r in entry_configuration()["routes"]
            ]
            site.configure(2, routes=routes)
            await poll_until(lambda: _logged_version(node) == 2)
            # The stream's 200 events take four seconds on an idle machine. The timeouts
            # are long enough for a busy machine.
            connection = await site.open("/draft/x", X_Poplarrelay_Deadline_Ms="50000")
            await connection.response_head()
            value = orjson.loads(node.path.read_bytes())
            value["bounds"]["retry_ratio"] = 0.1
            node.path.write_bytes(orjson.dumps(value))
            node.signal(signal.SIGHUP)
            await poll_until(lambda: node.messages().count("settings reloaded") >= 1)
            value["bounds"]["retry_ratio"] = 0.3
            node.path.write_bytes(orjson.dumps(value))
            await poll_until(lambda: node.messages().count("settings reloaded") >= 2)
            node.path.write_bytes(b'{"node": 5}')
            node.signal(signal.SIGHUP)
            await poll_until(lambda: "settings not reloaded" in node.messages())
            body = await connection.body(1_000_000)
            assert body.endswith(b"data: token 200\n\n")
            assert node.process.returncode is None

    run_scenario(scenario)


def test_stop_signal_drains_and_ends_a_node(tmp_path):
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", CALLS)
            node = await site.start_process("a", tmp_path)
            assert (await site.call("/look/x")).status == 200
            node.signal(signal.SIGTERM)
            assert (await site.call("/look/x")).status == 200
            assert await node.process.wait() == 0
            assert {"stopping", "stopped"} <= set(node.messages())

    run_scenario(scenario)


def test_log_lines_of_a_request_carry_its_id(tmp_path):
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", CALLS)
            node = await site.start_process("a", tmp_path)
            await site.call("/look/x", X_Poplarrelay_Attempt_Id="known-id")
            await poll_until(lambda: "request" in node.messages())
            lines = [li for li in node.lines() if li.get("request") == "known-id"]
            assert [line["message"] for line in lines] == ["attempt", "request"]
            assert lines[0]["endpoint"] == "r1"
            assert lines[1]["configuration"] == 1
            metrics = await site.get("control", "/metrics")
            assert b'poplarrelay_requests_total{status="200"} 1' in metrics.body
            status = orjson.loads((await site.get("control", "/status")).body)
            assert status["endpoints"]["r1"]["service"] == CALLS

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("content", "reason"),
    [(b"{", "line 1"), (b'{"node": "a"}', "listeners"), (None, "No such file")],
    ids=["no JSON", "fields missing", "no file"],
)
def test_invalid_settings_end_the_process_with_a_reason(tmp_path, content, reason):
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_bytes(content)
    run = subprocess.run(
        [sys.executable, "-m", "poplarrelay.entry", "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert run.returncode == 78
    assert reason in run.stderr
    assert "Traceback" not in run.stderr
