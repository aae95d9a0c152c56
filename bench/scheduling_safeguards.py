"""Remove each safeguard of slots, shares and counts in turn, as `entry_safeguards`.

python -m bench.scheduling_safeguards CLONE
"""

from __future__ import annotations

import sys

from bench.entry_safeguards import ENTRY, Safeguard, main

SCHEDULING = f"{ENTRY}/scheduling"

SAFEGUARDS = (
    Safeguard(
        "listed nodes are coordinators after a restart of all",
        f"{SCHEDULING}/coordinators.py",
        "    if uptime_s < LISTED_GRACE_S:\n",
        "    if False:\n",
        "test_coordinators.py",
        SCHEDULING,
    ),
    Safeguard(
        "engines without a count do not look empty",
        f"{ENTRY}/slots.py",
        "        assume_mean(candidates, backlogs.keys(), now)\n",
        "",
        "test_places.py",
    ),
    Safeguard(
        "a new coordinator gets the queued prompts",
        f"{ENTRY}/backlog_client.py",
        "            for placement in queued.values():\n"
        "                self._send_added(new_host, placement)\n",
        "",
        "test_backlogs.py",
    ),
    Safeguard(
        "counts are confirmed",
        f"{ENTRY}/backlog_client.py",
        "            self._confirm_counts(known)\n",
        "            pass\n",
        "test_backlogs.py",
    ),
    Safeguard(
        "counts of dead nodes expire",
        f"{SCHEDULING}/occupancy.py",
        "if node != excluded_node and now - reported_at <= COUNT_EXPIRY_S",
        "if node != excluded_node",
        "test_occupancy.py",
        SCHEDULING,
    ),
    Safeguard(
        "teams are served in the order of start tags",
        f"{SCHEDULING}/fair_queue.py",
        "        return (self._start, self._number)\n",
        "        return (0.0, self._number)\n",
        "test_slot_broker.py",
    ),
    Safeguard(
        "patient requests are not starved",
        f"{SCHEDULING}/fair_queue.py",
        "        if len(priorities) > 1 and self._patient_credit >= 1:\n",
        "        if False:\n",
        "test_fair_queue.py",
        SCHEDULING,
    ),
    Safeguard(
        "a request that leaves gives back its team's place",
        f"{SCHEDULING}/fair_queue.py",
        "        self._tags.take_back(*line, waiting.work, waiting._start)\n",
        "",
        "test_fair_queue.py",
        SCHEDULING,
    ),
    Safeguard(
        "the queue of a node is fair by team",
        f"{SCHEDULING}/request_queue.py",
        "        start = tags.assign(priority, team, 1 / weight)\n",
        "        start = 0.0\n",
        "test_fair_queue.py",
        SCHEDULING,
    ),
    Safeguard(
        "requests that would wait too long are rejected",
        f"{SCHEDULING}/slot_ledger.py",
        "        if wait_s > FORECAST_SHARE * (waiting.expires_at - now):\n",
        "        if False:\n",
        "test_slot_broker.py",
    ),
    Safeguard(
        "slots of dead nodes expire",
        f"{SCHEDULING}/slot_ledger.py",
        "            if now - grant.confirmed_at > GRANT_EXPIRY_S\n",
        "            if False\n",
        "test_slot_broker.py",
    ),
    Safeguard(
        "slots in use are confirmed",
        f"{ENTRY}/slot_broker.py",
        "            self._confirm_held()\n",
        "            pass\n",
        "test_slot_broker.py",
    ),
    Safeguard(
        "a silent coordinator delays no request",
        f"{ENTRY}/slot_broker.py",
        "            async with asyncio.timeout(REPLY_TIMEOUT_S):\n",
        "            async with asyncio.timeout(None):\n",
        "test_slot_broker.py",
    ),
    Safeguard(
        "a caller that leaves gives up its place",
        f"{ENTRY}/slot_broker.py",
        "            elif not rejected:\n"
        "                self._send(host, [END, *row.run, waiting.request])\n",
        "",
        "test_slot_broker.py",
    ),
    Safeguard(
        "prompts beyond the share join shorter queues",
        f"{SCHEDULING}/admission.py",
        "        return EXCESS_LIMIT\n",
        "        return 1.0\n",
        "test_shares.py",
        SCHEDULING,
    ),
    Safeguard(
        "patient prompts leave room for urgent ones",
        f"{SCHEDULING}/admission.py",
        "    return 1.0 if urgent else PATIENT_LIMIT\n",
        "    return 1.0\n",
        "test_shares.py",
        SCHEDULING,
    ),
    Safeguard(
        "errors of the past are forgotten",
        f"{SCHEDULING}/forecast_errors.py",
        "for at, error in errors if now - at <= WINDOW_S)",
        "for at, error in errors)",
        "test_shares.py",
        SCHEDULING,
    ),
    Safeguard(
        "shares end with the shortage",
        f"{SCHEDULING}/team_demand.py",
        "            if until > now:\n",
        "            if True:\n",
        "test_shares.py",
        SCHEDULING,
    ),
)


if __name__ == "__main__":
    sys.exit(main(SAFEGUARDS))
