"""Remove each safeguard of deferred requests in turn and check that its tests fail.

    python -m bench.deferred_safeguards CLONE

CLONE is a separate clone of this repository. The run changes its files and restores
them. The exit code is 0 only if the tests fail for every removal.
"""

from __future__ import annotations

import sys

from bench.entry_safeguards import Safeguard, main

SYSTEMS = "poplarrelay/systems"


def _safeguard(
    name: str, file: str, line: str, replacement: str, tests: str = "test_copying.py"
) -> Safeguard:
    return Safeguard(name, f"{SYSTEMS}/{file}", line, replacement, tests, SYSTEMS)


SAFEGUARDS = (
    _safeguard(
        "an outcome is published only after a peer has it",
        "request_copies.py",
        "    return request.outcome if copy is not None and copy.published else None\n",
        "    return request.outcome\n",
    ),
    _safeguard(
        "publication waits for the copy of the outcome",
        "request_copies.py",
        "    ended = copy.ended if copied else request.state is RequestState.ENDED\n",
        "    ended = request.state is RequestState.ENDED\n",
    ),
    _safeguard(
        "peers that failed are not tried again",
        "request_copies.py",
        "        copy.failed.add(copy.holder)\n",
        "        copy.failed.clear()\n",
    ),
    _safeguard(
        "an outcome is published if no peer accepts a copy",
        "request_copies.py",
        "    if len(copy.failed) >= MAX_TRIES:\n",
        "    if False:\n",
    ),
    _safeguard(
        "a leaving node sends copies",
        "request_copies.py",
        "    if world.phase not in _SENDING_PHASES:\n",
        "    if world.phase is not NodePhase.SERVING:\n",
    ),
    _safeguard(
        "an owner reported as dead queries the copy's holder",
        "gossiping.py",
        "            copy.maybe_taken_over = True\n",
        "            copy.maybe_taken_over = False\n",
    ),
    _safeguard(
        "peers are queried before a takeover",
        "takeover.py",
        "    return [peer for peer in first if peer.node not in held.ruled_out]\n",
        "    return []\n",
    ),
    _safeguard(
        "the newest copy takes precedence",
        "takeover.py",
        "    return own > (status.copies, node)\n",
        "    return True\n",
    ),
    _safeguard(
        "an old copy does not replace a newer one",
        "takeover.py",
        "    if held is not None and _supersedes(held.request, message.request):\n",
        "    if False:\n",
    ),
    _safeguard(
        "an owner whose row is of an older process is not gone",
        "takeover.py",
        "        return owner.generation > held.generation\n",
        "        return True\n",
    ),
    _safeguard(
        "an unknown owner is not gone",
        "takeover.py",
        "        return now - held.received_at > world.settings.timing.forget_dead_s\n",
        "        return True\n",
    ),
    _safeguard(
        "both owners decide for the same node",
        "takeover.py",
        "    return first_owner == [world.incarnation] or message.node < world.node\n",
        "    return True\n",
    ),
    _safeguard(
        "the existence of a copy is not an outcome",
        "lookups.py",
        "        return LookupResult(None, copy=True)\n",
        "        return LookupResult(None)\n",
    ),
    _safeguard(
        "suspected peers are queried",
        "lookups.py",
        "MemberStatus.LEAVING, MemberStatus.SUSPECT)",
        "MemberStatus.LEAVING)",
    ),
    _safeguard(
        "dead peers may have had the request",
        "lookups.py",
        "        complete=len(reachable) == len(likely),\n",
        "",
    ),
    _safeguard(
        "a request in a handover is found",
        "lookups.py",
        "    handed = world.handover.message.requests\n",
        "    handed = ()\n",
    ),
)

if __name__ == "__main__":
    sys.exit(main(SAFEGUARDS))
