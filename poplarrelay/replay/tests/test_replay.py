"""Traces, evaluation of results, and a replay against node processes."""

import json
import subprocess
import sys

import pytest

from poplarrelay.exception import SettingsError
from poplarrelay.replay.generate import Day, generate_trace
from poplarrelay.replay.judge import evaluate_replay
from poplarrelay.replay.report import report_html
from poplarrelay.replay.runner import Replay, ReplayOutcome, RequestResult
from poplarrelay.replay.trace import read_trace, write_trace
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site


@pytest.fixture
def trace():
    return generate_trace(small_site(engines=4), Day.HARBOUR, 3, 8.0, 6.0)


def test_the_same_seed_gives_the_same_trace(trace):
    again = generate_trace(small_site(engines=4), Day.HARBOUR, 3, 8.0, 6.0)
    assert trace == again


def test_a_trace_is_read_as_it_was_written(trace, tmp_path):
    path = tmp_path / "trace.jsonl"
    write_trace(path, trace)
    assert read_trace(path) == trace


def test_every_error_in_a_trace_file_is_reported(trace, tmp_path):
    path = tmp_path / "trace.jsonl"
    write_trace(path, trace)
    lines = path.read_text().splitlines()
    lines[2] = "{"
    lines[3] = '{"kind": "event", "at": -1, "event": "flood"}'
    path.write_text("\n".join(lines))
    with pytest.raises(SettingsError) as caught:
        read_trace(path)
    places = [fault.place for fault in caught.value.faults]
    assert places[0] == "line 3"
    assert any(place.startswith("line 4") and "at" in place for place in places)
    assert any(place.startswith("line 4") and "event" in place for place in places)


def _make_replay(trace, **changes):
    results = [
        RequestResult(r, ReplayOutcome.ANSWERED, first_s=0.1, run_name=f"run {r.id}")
        for r in trace.requests
    ]
    runs = {result.run_name: 1 for result in results}
    for name, value in changes.items():
        setattr(results[0], name, value)
    return Replay(trace, results, runs, 8.0)


def test_a_replay_with_all_answers_reaches_every_stated_target(trace):
    assert evaluate_replay(_make_replay(trace)).good


@pytest.mark.parametrize(
    ("word", "criterion"),
    [
        (ReplayOutcome.UNKNOWN, "lost"),
        (ReplayOutcome.FRAGMENT, "fragments"),
        (ReplayOutcome.NOT_RUN, "false_not_run"),
    ],
)
def test_each_missed_target_names_its_request(trace, word, criterion):
    replay = _make_replay(trace, word=word)
    broken = {b.outcome: b for b in evaluate_replay(replay).broken}
    assert broken[criterion].requests == (trace.requests[0].id,)
    assert criterion in report_html(evaluate_replay(replay), replay)


def test_a_doubled_run_is_a_missed_target(trace):
    replay = _make_replay(trace)
    replay.runs[replay.results[0].run_name] = 2
    assert [b.outcome for b in evaluate_replay(replay).broken] == ["doubled"]


def test_late_answers_miss_the_share_of_their_class(trace):
    replay = _make_replay(trace)
    for result in replay.results:
        result.first_s = 50.0
    names = {b.outcome for b in evaluate_replay(replay).broken}
    assert "in_time_share.urgent" in names


@pytest.mark.processes
def test_replay_command_evaluates_running_nodes(trace, tmp_path):
    # The trace contains an outage of the log and reclaims in two domains.
    trace_path, target = tmp_path / "trace.jsonl", tmp_path / "target.json"
    page = tmp_path / "report.html"
    write_trace(trace_path, trace)
    with run_site(small_site(engines=4)) as site:
        target.write_text(json.dumps(site.replay_target()))
        command = [sys.executable, "-m", "poplarrelay", "replay", str(trace_path)]
        command += ["--target", str(target), "--report", str(page), "--json"]
        completed = subprocess.run(
            command, capture_output=True, check=False, timeout=90
        )
    report = json.loads(completed.stdout)
    assert report["doubled"] == report["fragments"] == report["false_not_run"] == 0
    assert report["lost"] == 0
    assert report["requests"] == len(trace.requests)
    assert completed.returncode == (0 if report["good"] else 1)
    assert "<svg" in page.read_text()
