"""Remove each safeguard of the budget for callers, and check that tests fail.

    python -m bench.budget_safeguards CLONE

CLONE is a separate clone of this repository. The run changes its files and restores
them. The exit code is 0 only if the tests fail for every removal.
"""

from __future__ import annotations

from bench.entry_safeguards import ENTRY, Safeguard, main

BUDGET = f"{ENTRY}/caller_budget.py"
HTTP = f"{ENTRY}/http"
LISTENER = f"{HTTP}/listener.py"
TESTS = "test_caller_budget.py"
CONNECTIONS = "test_budget.py"
BACKPRESSURE = "test_backpressure.py"

SAFEGUARDS = (
    Safeguard(
        "new connections compete among themselves from half of the places",
        BUDGET,
        "        if weights[Standing.UNPROVEN] >= half:\n",
        "        if False:\n",
        TESTS,
    ),
    Safeguard(
        "an answer that is not taken is kept until its deadline",
        BUDGET,
        "        return self.is_open and not self.busy and (self.overdue or "
        "not self.pinned)\n",
        "        return self.is_open and not self.busy\n",
        TESTS,
    ),
    Safeguard(
        "only one answer exceeds the limit",
        BUDGET,
        "        within = self.held_bytes <= self.capacity.held_bytes\n",
        "        within = True\n",
        TESTS,
    ),
    Safeguard(
        "one answer may exceed the limit",
        BUDGET,
        "            self._overdraft = account\n            return True\n",
        "            return False\n",
        TESTS,
    ),
    Safeguard(
        "lowered limits hold for open connections",
        BUDGET,
        "            while self._open[listener] > self.limit_of(listener):\n",
        "            while False:\n",
        TESTS,
    ),
    Safeguard(
        "the next request waits until the answer is taken",
        LISTENER,
        "        if self._write_paused:\n            self._undelivered = True\n",
        "        if False:\n            self._undelivered = True\n",
        BACKPRESSURE,
        package=HTTP,
    ),
    Safeguard(
        "bytes behind a request count over all requests",
        LISTENER,
        "        self._note_early_bytes(len(self._http.trailing_data[0]))\n",
        "        self._note_early_bytes(0)\n",
        BACKPRESSURE,
        package=HTTP,
    ),
    Safeguard(
        "a body without room is refused before it is read",
        LISTENER,
        "            self._reject_for(limit)\n            return\n",
        "            pass\n",
        CONNECTIONS,
        package=HTTP,
    ),
    Safeguard(
        "a field of a head counts with its objects",
        LISTENER,
        "    return _head_bytes(head) + FIELD_BYTES * len(head.headers)\n",
        "    return _head_bytes(head)\n",
        CONNECTIONS,
        package=HTTP,
    ),
    Safeguard(
        "a closed connection is freed at once",
        LISTENER,
        "        self._turns.end()\n",
        "        self._turns.cancel()\n",
        CONNECTIONS,
        package=HTTP,
    ),
    Safeguard(
        "an answer that nobody takes ends",
        LISTENER,
        "        self.abort(CutReason.LIMIT)\n\n    def _close_after_response",
        "        pass\n\n    def _close_after_response",
        CONNECTIONS,
        package=HTTP,
    ),
    Safeguard(
        "accepting pauses without descriptors",
        f"{HTTP}/accepting.py",
        "                if error.errno not in OUT_OF_DESCRIPTORS:\n",
        "                if True:\n",
        CONNECTIONS,
        package=HTTP,
    ),
    Safeguard(
        "a listener accepts few connections in one turn",
        f"{HTTP}/accepting.py",
        "        for _ in range(max(1, min(MAX_BATCH, batch))):\n",
        "        for _ in range(1024):\n",
        CONNECTIONS,
        package=HTTP,
    ),
)


if __name__ == "__main__":
    raise SystemExit(main(SAFEGUARDS))
