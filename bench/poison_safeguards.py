"""Remove each safeguard of crashing prompt parts, and check that tests fail.

    python -m bench.poison_safeguards CLONE

CLONE is a separate clone of this repository. The run changes its files and restores
them. The exit code is 0 only if the tests fail for every removal.
"""

from __future__ import annotations

from bench.entry_safeguards import ENTRY, Safeguard, main

SAFEGUARDS = (
    Safeguard(
        "prompts with a blocked part are refused",
        f"{ENTRY}/quarantine.py",
        "        if not waits:\n",
        "        if True:\n",
        "test_crashing_parts.py",
    ),
    Safeguard(
        "progress clears a part",
        f"{ENTRY}/quarantine.py",
        "        if self.is_cleared_by(other.begun_at):\n            self.begun_at",
        "        if False:\n            self.begun_at",
        "test_quarantine.py",
    ),
    Safeguard(
        "endpoints that fall together count once",
        f"{ENTRY}/quarantine.py",
        "and (not times or crash.sent_at > times[-1])",
        "",
        "test_quarantine.py",
    ),
    Safeguard(
        "the bound keeps the crashes of the sequence",
        f"{ENTRY}/quarantine.py",
        "        del self.crashes[(surplus or runs)[0]]\n",
        "        del self.crashes[runs[0]]\n",
        "test_quarantine.py",
    ),
    Safeguard(
        "one probe passes at a time",
        f"{ENTRY}/quarantine.py",
        "            self._probed_at[record.key] = now\n",
        "",
        "test_quarantine.py",
    ),
    Safeguard(
        "only one node probes",
        f"{ENTRY}/quarantine.py",
        "            if not due or recent or not self.may_probe(record.key):\n",
        "            if not due or recent:\n",
        "test_quarantine.py",
    ),
    Safeguard(
        "the wait for a probe doubles",
        f"{ENTRY}/quarantine.py",
        "PROBE_INTERVAL_S * 2**doublings",
        "PROBE_INTERVAL_S",
        "test_quarantine.py",
    ),
    Safeguard(
        "peers get the records",
        f"{ENTRY}/gossip.py",
        '            fields["suspect_parts"] = self._quarantine.outgoing(now)\n',
        "",
        "test_quarantine.py",
    ),
    Safeguard(
        "answers without a length clear once confirmed",
        f"{ENTRY}/relaying.py",
        "                self._confirm_answers(row, attempt.sent_at)\n",
        "",
        "test_crashing_parts.py",
    ),
    Safeguard(
        "a stream without events is not whole",
        f"{ENTRY}/attempts.py",
        "        if not head.framed and not self._events:\n",
        "        if False:\n",
        "test_unframed_answers.py",
    ),
)


if __name__ == "__main__":
    raise SystemExit(main(SAFEGUARDS))
