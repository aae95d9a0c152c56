"""Remove each safeguard of the entry node in turn, and show which tests notice.

    python -m bench.entry_safeguards COPY

COPY is a clone of this repository that nobody else uses; its files are changed and put
back. Exit code 0 only if every removal is noticed.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

ENTRY = "poplarrelay/entry"


@dataclass(frozen=True)
class Safeguard:
    """A line that guards a promise, what replaces it, and the tests to run.

    Attributes
    ----------
    package : str
        Where the tests stand.
    """

    name: str
    file: str
    line: str
    without: str
    tests: str
    package: str = ENTRY


SAFEGUARDS = (
    Safeguard(
        "target instance",
        "poplarrelay/platform/headers.py",
        "        (_TARGET, attempt.endpoint.encode()),\n",
        "",
        "test_calls.py",
    ),
    Safeguard(
        "headers that are ours to set",
        "poplarrelay/platform/headers.py",
        "            if name.lower() not in _SYSTEM_HEADERS\n",
        "",
        "test_calls.py",
    ),
    Safeguard(
        "headers that Connection cannot remove",
        "poplarrelay/platform/headers.py",
        "        if name not in _PROTECTED and not name.startswith(_OWN_PREFIX)\n",
        "",
        "test_calls.py",
    ),
    Safeguard(
        "echoed request id",
        f"{ENTRY}/attempts.py",
        "        if echoed is not None and echoed != self.request.request:\n",
        "        if False:\n",
        "test_calls.py",
    ),
    Safeguard(
        "bytes outside of an exchange",
        f"{ENTRY}/http/connection.py",
        "            or pending\n",
        "",
        "test_calls.py",
    ),
    Safeguard(
        "refusal of blocked requests",
        f"{ENTRY}/relaying.py",
        "        if blocked_s is None:\n",
        "        if True:\n",
        "test_crashing_requests.py",
    ),
    Safeguard(
        "crashes sent to peers",
        f"{ENTRY}/gossip.py",
        "        if not records:\n            return\n        hosts",
        "        return\n        hosts",
        "test_crashing_requests.py test_crashes.py",
    ),
    Safeguard(
        "crashes sent to nodes that start later",
        f"{ENTRY}/crashes.py",
        "            if each.sends_left > 0 or count >= ALWAYS_SENT_CRASHES\n",
        "            if each.sends_left > 0\n",
        "test_crashing_requests.py test_crashes.py",
    ),
    Safeguard(
        "complete answers unblock a request",
        f"{ENTRY}/crashes.py",
        "since = max(now - CRASH_MEMORY_S, self.answered_at + ANSWER_MEMORY_S)\n",
        "since = now - CRASH_MEMORY_S\n",
        "test_crashing_requests.py test_crashes.py",
    ),
    Safeguard(
        "silence is not a crash",
        f"{ENTRY}/relaying.py",
        "isinstance(result, Broken | StreamBroken) and result.closed\n",
        "isinstance(result, Broken | StreamBroken)\n",
        "test_crashing_requests.py",
    ),
    Safeguard(
        "the end of a leaving endpoint is not a crash",
        f"{ENTRY}/relaying.py",
        "        if not broken or row.leaving:\n",
        "        if not broken:\n",
        "test_crashing_requests.py",
    ),
    Safeguard(
        "one run is one crash",
        f"{ENTRY}/crashes.py",
        "CrashRecord(fingerprint, team, {run: now})",
        'CrashRecord(fingerprint, team, {EndpointRun(f"{run}{now}"): now})',
        "test_crashes.py",
    ),
    Safeguard(
        "permits for endpoints that state a limit",
        f"{ENTRY}/endpoints.py",
        "        return free if self.limit_per_s is None "
        "else min(free, len(self.permits))\n",
        "        return free\n",
        "test_limited_endpoints.py",
    ),
    Safeguard(
        "limits shared by all nodes",
        f"{ENTRY}/permits.py",
        "        if host == self.own_host or unanswered >= MAX_UNANSWERED:\n",
        "        if True:\n",
        "test_permits.py",
    ),
    Safeguard(
        "shares of a limit for nodes cut off",
        f"{ENTRY}/permits.py",
        "        interval_s = 1 / (max(per_s, PROBE_PER_S) * share)\n",
        "        interval_s = 1 / max(per_s, PROBE_PER_S)\n",
        "test_permits.py",
    ),
    Safeguard(
        "bounded catch-up of an idle issuer",
        f"{ENTRY}/permits.py",
        "        self._next_at[endpoint, run] = max(next_at, earliest) + interval_s\n",
        "        self._next_at[endpoint, run] = next_at + interval_s\n",
        "test_permits.py",
    ),
    Safeguard(
        "probes under a limit of zero",
        f"{ENTRY}/permits.py",
        "        interval_s = 1 / (max(per_s, PROBE_PER_S) * share)\n",
        "        interval_s = 1 / (max(per_s, 1e-9) * share)\n",
        "test_permits.py",
    ),
    Safeguard(
        "refusals when no permit is due in time",
        f"{ENTRY}/slots.py",
        "        if not rows or len(limits) < len(rows):\n",
        "        if True:\n",
        "test_places.py",
    ),
    Safeguard(
        "work that must not be repeated",
        f"{ENTRY}/relaying.py",
        "        if ran and not context.route.repeatable:\n",
        "        if False:\n",
        "test_calls.py",
    ),
    Safeguard(
        "not run is not said of what was sent",
        f"{ENTRY}/relaying.py",
        "        context.may_have_run = True\n",
        "        pass\n",
        "test_calls.py",
    ),
    Safeguard(
        "two statements of a body's length",
        f"{ENTRY}/http/listener.py",
        'header_value(headers, b"transfer-encoding"):\n',
        "False:\n",
        "test_calls.py",
    ),
    Safeguard(
        "whole events only",
        f"{ENTRY}/events.py",
        "        complete, self._rest = content[:end], content[end:]\n",
        '        complete, self._rest = content, b""\n',
        "test_streams.py",
    ),
    Safeguard(
        "a broken stream is cut visibly",
        f"{ENTRY}/responses.py",
        "            context.exchange.abort()\n",
        "            context.exchange.finish()\n",
        "test_streams.py",
    ),
    Safeguard(
        "the endpoint learns that the caller left",
        f"{ENTRY}/http/listener.py",
        "            self._task.cancel()\n",
        "            pass\n",
        "test_streams.py test_calls.py",
    ),
    Safeguard(
        "configuration versions only rise",
        f"{ENTRY}/configuration_follower.py",
        "    if known is not None and configuration.version <= known.version:\n",
        "    if False:\n",
        "test_store_troubles.py",
    ),
    Safeguard(
        "configuration from peers",
        f"{ENTRY}/peer_sync.py",
        "        if newer:\n",
        "        if False:\n",
        "test_store_troubles.py",
    ),
    Safeguard(
        "records may come back after an outage",
        f"{ENTRY}/endpoint_list.py",
        "        elif change.lapsed:\n",
        "        elif False:\n",
        "test_store_troubles.py",
    ),
    Safeguard(
        "refill in parts",
        f"{ENTRY}/quotas.py",
        "            until = min(now, remote.last_seen_at + REPORT_LAG_S)\n",
        "            until = now\n",
        "test_quotas.py",
    ),
    Safeguard(
        "only what was taken is given back",
        f"{ENTRY}/charging.py",
        "            context.quota_cost = cost\n",
        "            pass\n        context.quota_cost = cost\n"
        "        if over_quota is None:\n",
        "test_calls.py",
    ),
    Safeguard(
        "counts are decided once",
        f"{ENTRY}/duty_worker.py",
        '        self.decided.setdefault(int(value["window"]), value["counts"])\n',
        '        self.decided[int(value["window"])] = value["counts"]\n',
        "test_duties.py",
    ),
    Safeguard(
        "earlier decisions are read",
        f"{ENTRY}/duty_worker.py",
        "                self._ledger.add_record(record)\n",
        "                pass\n",
        "test_duties.py",
    ),
    Safeguard(
        "wait for the node's own last act",
        f"{ENTRY}/duty_lease.py",
        "            and now >= self.earliest_action_at\n",
        "",
        "test_duties.py test_duties_machine.py",
    ),
    Safeguard(
        "part of the lease that is kept back",
        f"{ENTRY}/duty_lease.py",
        "SAFE_SHARE = 0.7\n",
        "SAFE_SHARE = 1.6\n",
        "test_duties.py test_duties_machine.py",
    ),
    Safeguard(
        "time on which most nodes agree",
        f"{ENTRY}/clock.py",
        "        return self._wall() + self.correction\n",
        "        return self._wall()\n",
        "test_clock.py",
    ),
    Safeguard(
        "silence during a freeze does not count",
        f"{ENTRY}/peers.py",
        "            peer.last_seen_at += frozen_s\n",
        "            pass\n",
        "test_nodes.py",
    ),
    Safeguard(
        "a stopping node is not named",
        f"{ENTRY}/peers.py",
        "    chosen = [row for row in rows if row.state is NodeState.READY]\n",
        "    chosen = list(rows)\n",
        "test_nodes.py",
    ),
    Safeguard(
        "late requests of a stop go elsewhere",
        f"{ENTRY}/relaying.py",
        "        return monotonic() - stopping_at > limit_s\n",
        "        return False\n",
        "test_nodes.py",
    ),
    Safeguard(
        "retries are divided among the nodes",
        f"{ENTRY}/budgets.py",
        "self.slack / max(1, nodes)",
        "self.slack",
        "test_decisions.py",
    ),
    Safeguard(
        "the target is passed on as it came",
        f"{ENTRY}/attempts.py",
        "self.request.method, self.request.target, headers",
        "self.request.method, self.request.target.lower(), headers",
        "test_calls.py",
    ),
    Safeguard(
        "no word on routes without a configuration",
        f"{ENTRY}/relaying.py",
        "Refusal(503, RefusalReason.NO_CONFIGURATION, UNREADY_RETRY_S)",
        "Refusal(404, RefusalReason.NO_ROUTE)",
        "test_store_troubles.py",
    ),
    Safeguard(
        "no more endpoints than the route allows",
        f"{ENTRY}/relaying.py",
        "        if sends >= context.route.max_attempts or not",
        "        if not",
        "test_calls.py",
    ),
    Safeguard(
        "endpoints get the time that is left",
        "poplarrelay/platform/headers.py",
        "    remaining_ms = max(1, int(1000 * attempt.remaining_s))\n",
        "    remaining_ms = 60_000\n",
        "test_calls.py",
    ),
    Safeguard(
        "forgotten history is read anew",
        f"{ENTRY}/endpoint_reader.py",
        "            except HistoryTrimmed:\n"
        "                self._full_read_due = True\n",
        "            except HistoryTrimmed:\n                pass\n",
        "test_departures.py",
    ),
    Safeguard(
        "a failed handler still answers",
        f"{ENTRY}/http/listener.py",
        '                await exchange.send(HTTPStatus.BAD_GATEWAY, [], b"")\n',
        "                pass\n",
        "test_calls.py",
    ),
    Safeguard(
        "a part of the changes does not confirm a list",
        f"{ENTRY}/list_exchange.py",
        'as_of, age_s, digest = min(as_of, change.offset), None, ""\n',
        'as_of, digest = min(as_of, change.offset), ""\n',
        "test_freshness.py",
    ),
    Safeguard(
        "a confirmed list is as old as the peer's",
        f"{ENTRY}/list_exchange.py",
        "requested_at - reply.age_s,",
        "requested_at,",
        "test_freshness.py test_lists.py",
    ),
    Safeguard(
        "an answer counts from the question",
        f"{ENTRY}/list_exchange.py",
        "requested_at - reply.age_s,",
        "now - reply.age_s,",
        "test_freshness.py test_lists.py",
    ),
    Safeguard(
        "departures are told at once",
        f"{ENTRY}/list_exchange.py",
        "        self._immediate_steps_left = IMMEDIATE_STEPS\n"
        "        self.schedule_tick()\n",
        "",
        "test_freshness.py test_departures.py",
    ),
    Safeguard(
        "lists that differ are read anew",
        f"{ENTRY}/list_exchange.py",
        "            self.resync()\n",
        "            pass\n",
        "test_freshness.py",
    ),
    Safeguard(
        "what was asked before a freeze confirms nothing",
        f"{ENTRY}/list_freshness.py",
        " or at < self.trusted_from:",
        ":",
        "test_freshness.py",
    ),
    Safeguard(
        "a list that lacks something is read soon",
        f"{ENTRY}/list_freshness.py",
        "        if self.behind:\n",
        "        if False:\n",
        "test_freshness.py",
    ),
    Safeguard(
        "reads fit the bound",
        f"{ENTRY}/endpoint_reader.py",
        "        first_s = self._freshness.times.answer_s\n",
        "        first_s = ANSWER_TIMEOUT_S\n",
        "test_departures.py",
    ),
    Safeguard(
        "an old list alone shows no outage",
        f"{ENTRY}/endpoint_list.py",
        "        return failed and freshness",
        "        return freshness",
        "test_freshness.py",
    ),
    Safeguard(
        "failed reads alone show no outage",
        f"{ENTRY}/endpoint_list.py",
        "        return failed and freshness.age_s(now) > freshness.times.outage_s\n",
        "        return failed\n",
        "test_departures.py test_lists.py",
    ),
    Safeguard(
        "a later record holds",
        f"{ENTRY}/endpoint_list.py",
        "        return change.offset > known.offset\n",
        "        return True\n",
        "test_lists.py",
    ),
    Safeguard(
        "a removal that was seen settles a lapse",
        f"{ENTRY}/endpoint_list.py",
        "    return change.removal and not change.lapsed and known.lapsed\n",
        "    return False\n",
        "test_lists.py",
    ),
    Safeguard(
        "a record at another address is another run",
        f"{ENTRY}/endpoint_list.py",
        "not _same_run(row, record)",
        "False",
        "test_lists.py",
    ),
    Safeguard(
        "an endpoint that left while a request connected",
        f"{ENTRY}/attempts.py",
        "        if not plan.endpoint.accepts_work:\n",
        "        if False:\n",
        "test_departures.py",
    ),
    Safeguard(
        "endpoints that vouch for themselves go first",
        f"{ENTRY}/slots.py",
        "        if not freshness.within_bound(now):\n",
        "        if False:\n",
        "test_departures.py",
    ),
    Safeguard(
        "a run that another replaced never comes back",
        f"{ENTRY}/endpoint_list.py",
        "    return record.started_ms < known.started_ms\n",
        "    return False\n",
        "test_lists.py",
    ),
    Safeguard(
        "each peer's least delayed reading of the clock",
        f"{ENTRY}/clock.py",
        "    return max(recent, default=None)\n",
        "    return recent[-1] if recent else None\n",
        "test_clock.py",
    ),
    Safeguard(
        "a record without a key is left out",
        "poplarrelay/platform/store.py",
        "    if not name or len(name) < size:\n",
        "    if False:\n",
        "../../platform/tests/test_endpoint_records.py",
    ),
    Safeguard(
        "not all nodes look at all endpoints",
        f"{ENTRY}/choosing.py",
        "    return [*affinity_endpoints, "
        "*rng.sample(others, min(SAMPLE_SIZE, len(others)))]\n",
        "    return [*affinity_endpoints, *others]\n",
        "test_decisions.py",
    ),
    Safeguard(
        "demand orders endpoints",
        f"{ENTRY}/sizing.py",
        "    return tokens_per_s / (PREFILL_SHARE * speed)\n",
        "    return 0.0\n",
        "test_sizing.py",
    ),
    Safeguard(
        "an endpoint that has started again counts as gone",
        f"{ENTRY}/relaying.py",
        " and result.arrived and not result.gone:\n",
        " and result.arrived:\n",
        "test_runs.py",
    ),
    Safeguard(
        "all are told of an engine found gone",
        f"{ENTRY}/backlogs.py",
        "            self.down_until = now + DOWN_S\n",
        "            pass\n",
        "test_backlogs.py",
    ),
    Safeguard(
        "prompts of nodes that are gone leave the line",
        f"{ENTRY}/backlogs.py",
        "            if now - prompt.placed_at > PROMPT_EXPIRY_S:\n",
        "            if False:\n",
        "test_backlogs.py",
    ),
    Safeguard(
        "a silent keeper is not asked again at once",
        f"{ENTRY}/backlog_client.py",
        "                self._skip_until[host] = skip_until\n",
        "                pass\n",
        "test_backlogs.py",
    ),
    Safeguard(
        "prompts that would be late are refused",
        f"{ENTRY}/admission.py",
        "    return forecast.queue_s <= forecast.max_queue_s\n",
        "    return True\n",
        "test_decisions.py",
    ),
    Safeguard(
        "on-demand endpoints stay until others serve",
        f"{ENTRY}/sizing.py",
        "    count = min(max(sum(on_demand.values()), min_count), max_count)\n",
        "    count = min_count\n",
        "test_sizing.py",
    ),
    Safeguard(
        "no room for what cannot be had",
        f"{ENTRY}/sizing.py",
        "serving[d] if d in inputs.exhausted_domains else reclaimable[d]",
        "reclaimable[d]",
        "test_sizing.py",
    ),
    Safeguard(
        "late copies of an old speaker's summary",
        f"{ENTRY}/peers.py",
        "        return version > self._versions.get(Incarnation(incarnation), -1)\n",
        "        return True\n",
        "test_cells.py",
    ),
    Safeguard(
        "a silent speaker is followed",
        f"{ENTRY}/peers.py",
        "            and now - seen.last_seen_at <= REPRESENTATIVE_SILENCE_S\n",
        "",
        "test_cells.py",
    ),
    Safeguard(
        "a silent cell is not named",
        f"{ENTRY}/peers.py",
        "        return now - self.last_seen_at <= CELL_SILENCE_S\n",
        "        return True\n",
        "test_cells.py",
    ),
    Safeguard(
        "rows of other cells are not kept",
        f"{ENTRY}/peers.py",
        "        if row.node == self.me.node or not self.in_cell(row.node):\n",
        "        if row.node == self.me.node:\n",
        "test_cells.py",
    ),
    Safeguard(
        "nodes that know nobody are told whom to ask",
        f"{ENTRY}/gossip.py",
        "            self._introduce(rows[0], now)\n",
        "            pass\n",
        "test_cells.py",
    ),
    Safeguard(
        "the next speaker gives no use back",
        f"{ENTRY}/quotas.py",
        "        elif remote.run != run:\n",
        "        elif False:\n",
        "test_cells.py",
    ),
    Safeguard(
        "a peer's read is waited for",
        f"{ENTRY}/list_exchange.py",
        "        self.freshness.wait_for_peer_read(now)\n",
        "        pass\n",
        "test_freshness.py",
    ),
    Safeguard(
        "no wait for a peer's read beyond the latest time",
        f"{ENTRY}/list_freshness.py",
        "max(due_at, min(self.peer_read_expected_until, latest_at))",
        "self.peer_read_expected_until",
        "test_freshness.py",
    ),
    Safeguard(
        "a closed port is forgotten",
        f"{ENTRY}/gossip.py",
        "            self._transport.close()\n            self._transport = None\n",
        "            self._transport.close()\n",
        "test_freshness.py",
    ),
    Safeguard(
        "overdue nodes are asked",
        f"{ENTRY}/gossip.py",
        "        if overdue:\n",
        "        if False:\n",
        "test_cells.py",
    ),
)


def removal_is_noticed(copy: Path, safeguard: Safeguard) -> bool:
    """Remove a safeguard, run its tests, and put it back."""
    path = copy / safeguard.file
    before = path.read_text()
    if before.count(safeguard.line) != 1:
        raise SystemExit(f"{safeguard.name}: its line is not there exactly once")
    tests = [f"{safeguard.package}/tests/{name}" for name in safeguard.tests.split()]
    command = [sys.executable, "-m", "pytest", "-q", "-n", "3", *tests]
    path.write_text(before.replace(safeguard.line, safeguard.without))
    try:
        run = subprocess.run(command, cwd=copy, capture_output=True, check=False)
    finally:
        path.write_text(before)
    return run.returncode == 1


def main(safeguards: Sequence[Safeguard] = SAFEGUARDS) -> int:
    """Try all safeguards and return the exit code."""
    copy = Path(sys.argv[1])
    unnoticed = 0
    for safeguard in safeguards:
        noticed = removal_is_noticed(copy, safeguard)
        unnoticed += not noticed
        print(
            f"{'noticed' if noticed else 'NOT NOTICED'}  {safeguard.name}", flush=True
        )
    print(f"{len(safeguards) - unnoticed} of {len(safeguards)} removals were noticed")
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
