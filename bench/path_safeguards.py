"""Remove each safeguard of lost paths and brittle endpoints, and check that tests fail.

    python -m bench.path_safeguards CLONE

CLONE is a separate clone of this repository. The run changes its files and restores
them. The exit code is 0 only if the tests fail for every removal.
"""

from __future__ import annotations

from bench.entry_safeguards import ENTRY, Safeguard, main

SAFEGUARDS = (
    Safeguard(
        "a tunnel that breaks does not end a body",
        f"{ENTRY}/http/tunnels.py",
        """        if self._open and not self._ended:
            self._connection.connection_lost(OSError(f"tunnel broke: {exc!r}"))
""",
        """        if self._open and not self._ended:
            self._connection.eof_received()
""",
        "test_tunnels.py",
    ),
    Safeguard(
        "a reset by the carrier's own path is no reset by the endpoint",
        f"{ENTRY}/http/tunnels.py",
        "        self.end(None if lost else _Mark.RESET)\n",
        "        self.end(_Mark.RESET)\n",
        "test_tunnels.py",
    ),
    Safeguard(
        "a carrier aborts its connection to the endpoint with the peer's",
        f"{ENTRY}/http/tunnels.py",
        """        if self._endpoint_side is not None:
            self._endpoint_side.abort()
""",
        "",
        "test_tunnels.py",
    ),
    Safeguard(
        "a peer is asked beside a slow direct connection",
        f"{ENTRY}/paths.py",
        "        ways = (through_peer,) if lost else (direct, through_peer)\n",
        "        ways = (direct,)\n",
        "test_lost_paths.py",
    ),
    Safeguard(
        "silent paths are checked",
        f"{ENTRY}/paths.py",
        "        self._check_silent(now)\n",
        "",
        "test_lost_paths.py",
    ),
    Safeguard(
        "a kept connection is trusted only while endpoints are heard",
        f"{ENTRY}/reachability.py",
        "        return now - self.heard_at <= RECENT_S and quiet_s <= QUIET_S\n",
        "        return True\n",
        "test_reachability.py",
    ),
    Safeguard(
        "an unstable path must hold before it is used",
        f"{ENTRY}/reachability.py",
        "            if now - each.up_since >= each.hold_s:\n",
        "            if True:\n",
        "test_reachability.py",
    ),
    Safeguard(
        "local carriers are not the only ones",
        f"{ENTRY}/carriers.py",
        "[*local[:MAX_LOCAL], *others, *local[MAX_LOCAL:]]",
        "[*local, *others]",
        "test_reachability.py",
    ),
    Safeguard(
        "a connection with a request outlives a silence",
        f"{ENTRY}/http/sockets.py",
        "BUSY_SILENCE_MS = 3500\n",
        "BUSY_SILENCE_MS = 1800\n",
        "test_silent_endpoints.py",
    ),
    Safeguard(
        "requests to brittle endpoints need a granted slot",
        f"{ENTRY}/slots.py",
        """        if survives is not None and self._needs_grant(
            context.service, criteria.version
        ):
""",
        "        if False:\n",
        "test_brittle_endpoints.py",
    ),
    Safeguard(
        "a rejection lowers what a brittle endpoint gets",
        f"{ENTRY}/scheduling/slot_ledger.py",
        "        if self.survives_per_s is None or self.room is None:\n",
        "        if True:\n",
        "test_brittleness.py",
    ),
    Safeguard(
        "a service stays brittle while all its endpoints have fallen",
        f"{ENTRY}/brittleness.py",
        "        if last is None or now - last.at > SERVICE_VALID_S or stated:\n",
        "        if True:\n",
        "test_brittleness.py",
    ),
)


if __name__ == "__main__":
    raise SystemExit(main(SAFEGUARDS))
