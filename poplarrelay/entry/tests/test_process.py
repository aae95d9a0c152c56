"""An entry node in a separate process: signals, settings and exit codes."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import orjson
import pytest

from poplarrelay.entry.http.connection import Connection, header_value
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


#: Longest waits in seconds before a signal of the start; a seed draws more.
SIGNAL_TIMES_S = (0.05, 0.1, 0.2, 0.4)


@pytest.mark.parametrize("seed", range(3))
def test_signals_at_any_moment_are_handled(seed, tmp_path):
    # Guards against processes that a signal ends without a drain.
    async def scenario():
        rng = Random(seed)
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", CALLS)
            node = await site.start_process("a", tmp_path)
            await node.kill()
            for after_s in (*SIGNAL_TIMES_S, *(rng.uniform(0.05, 3) for _ in "abc")):
                number = rng.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
                started = await site.run_process("a", node.path)
                assert await signal_and_stop(started, number, after_s, rng) == 0

    run_scenario(scenario)


async def signal_and_stop(started, number, after_s, rng):
    """Send a signal up to three times and then SIGTERM; return the exit code."""
    await wait_until_caught(started)
    for _ in range(rng.randint(1, 3)):
        await asyncio.sleep(after_s * rng.random())
        started.signal(number)
    if number is signal.SIGHUP:
        await poll_until(lambda: "ready" in started.messages())
        started.signal(signal.SIGTERM)
        await asyncio.sleep(3 * rng.random())
        started.signal(signal.SIGHUP)
    return await started.process.wait()


async def wait_until_caught(started):
    """Wait until a process catches the signals, and return its processor time then."""
    folder = Path(f"/proc/{started.process.pid}")
    status = folder / "status"
    await poll_until(lambda: _catches(status.read_text(), signal.SIGHUP))
    return _processor_ticks(folder)


def _processor_ticks(folder):
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def test_signals_are_caught_before_most_modules_are_loaded(tmp_path):
    # Guards against a start in which a signal ends the process for half a second.
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", CALLS)
            node = await site.start_process("a", tmp_path)
            await node.kill()
            started = await site.run_process("a", node.path)
            until_caught = await wait_until_caught(started)
            await poll_until(lambda: "started" in started.messages())
            folder = Path(f"/proc/{started.process.pid}")
            assert until_caught < 0.5 * _processor_ticks(folder)

    run_scenario(scenario)


def _catches(status, number):
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught & 1 << (number - 1))


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


def test_changed_resources_are_in_force_without_a_restart(tmp_path):
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", CALLS)
            site.resources = {"memory_mb": 160, "descriptors": 1024}
            node = await site.start_process("a", tmp_path)
            idle = [await Connection.open(*site.address(), 1.0) for _ in range(60)]
            assert (await site.call("/look/x")).status == 200
            value = orjson.loads(node.path.read_bytes())
            value["resources"]["descriptors"] = 128
            node.path.write_bytes(orjson.dumps(value))
            node.signal(signal.SIGHUP)
            await poll_until(lambda: sum(each.ended for each in idle) >= 25)
            assert (await site.call("/look/x")).status == 200
            metrics = (await site.get("control", "/metrics")).body.decode()
            assert 'action="closed",limit="connections",listener="callers"' in metrics
            await poll_until(lambda: "limit reached" in node.messages())
            for each in idle:
                each.abort()

    run_scenario(scenario)


def test_request_that_the_memory_has_no_room_for_is_refused_and_explained(tmp_path):
    async def scenario():
        async with run_entry_site(nodes=0) as site:
            await site.add_runner("r1", CALLS)
            site.resources = {"memory_mb": 64, "descriptors": 1024}
            site.configure(2, limits={"maxBodyBytes": 20_000_000})
            node = await site.start_process("a", tmp_path)
            await poll_until(lambda: _logged_version(node) == 2)
            answer = await site.call("/look/x", body=b"x" * 8_000_000)
            assert answer.status == 503
            retry_s = float(header_value(answer.headers, b"retry-after") or 0)
            assert 0.5 <= retry_s <= 1.0
            assert site.runners["r1"].received == []
            assert (await site.call("/look/x", body=b"x" * 1_000_000)).status == 200
            lines = [x for x in node.lines() if x["message"] == "unreadable request"]
            assert lines[0]["why"] == "limit reached: memory"
            assert lines[0]["request"]

    run_scenario(scenario)
