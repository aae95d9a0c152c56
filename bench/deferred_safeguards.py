"""Remove each safeguard of deferred requests in turn, and show which tests notice.

    python -m bench.deferred_safeguards COPY

COPY is a clone of this repository that nobody else uses; its files are changed and put
back. Exit code 0 only if every removal is noticed.
"""

from __future__ import annotations

import sys

from bench.entry_safeguards import Safeguard, main

SYSTEMS = "poplarrelay/systems"


def _safeguard(
    name: str, file: str, line: str, without: str, tests: str = "test_copying.py"
) -> Safeguard:
    return Safeguard(name, f"{SYSTEMS}/{file}", line, without, tests, SYSTEMS)


SAFEGUARDS = (
    _safeguard(
        "an outcome is told once a peer has it",
        "request_copies.py",
        "    return request.outcome if copy is not None and copy.published else None\n",
        "    return request.outcome\n",
    ),
    _safeguard(
        "the outcome's copy is waited for",
        "request_copies.py",
        "    ended = copy.ended if copied else request.state is RequestState.ENDED\n",
        "    ended = request.state is RequestState.ENDED\n",
    ),
    _safeguard(
        "peers that failed are left out",
        "request_copies.py",
        "        copy.failed.add(copy.holder)\n",
        "        copy.failed.clear()\n",
    ),
    _safeguard(
        "a ready outcome is told without any peer",
        "request_copies.py",
        "    if len(copy.failed) >= MAX_TRIES:\n",
        "    if False:\n",
    ),
    _safeguard(
        "a leaving node has requests copied",
        "request_copies.py",
        "    if world.phase not in _SENDING_PHASES:\n",
        "    if world.phase is not NodePhase.SERVING:\n",
    ),
    _safeguard(
        "a home that was taken for dead asks its holder",
        "gossiping.py",
        "            copy.maybe_taken_over = True\n",
        "            copy.maybe_taken_over = False\n",
    ),
    _safeguard(
        "peers are asked before a takeover",
        "takeover.py",
        "    return [peer for peer in first if peer.node not in held.ruled_out]\n",
        "    return []\n",
    ),
    _safeguard(
        "the newest copy goes first",
        "takeover.py",
        "    return own > (status.copies, node)\n",
        "    return True\n",
    ),
    _safeguard(
        "an old copy replaces none",
        "takeover.py",
        "    if held is not None and _supersedes(held.request, message.request):\n",
        "    if False:\n",
    ),
    _safeguard(
        "a home known as an older process is not gone",
        "takeover.py",
        "        return owner.generation > held.generation\n",
        "        return True\n",
    ),
    _safeguard(
        "an unknown home is not gone",
        "takeover.py",
        "        return now - held.received_at > world.settings.timing.forget_dead_s\n",
        "        return True\n",
    ),
    _safeguard(
        "both homes come to the same one",
        "takeover.py",
        "    return first_owner == [world.incarnation] or message.node < world.node\n",
        "    return True\n",
    ),
    _safeguard(
        "a copy's word is not an outcome",
        "lookups.py",
        "        return LookupResult(None, copy=True)\n",
        "        return LookupResult(None)\n",
    ),
    _safeguard(
        "suspected peers are asked",
        "lookups.py",
        "MemberStatus.LEAVING, MemberStatus.SUSPECT)",
        "MemberStatus.LEAVING)",
    ),
    _safeguard(
        "peers that are dead may have known it",
        "lookups.py",
        "        complete=len(reachable) == len(likely),\n",
        "",
    ),
    _safeguard(
        "a request that is handed over is known",
        "lookups.py",
        "    handed = world.handover.message.requests\n",
        "    handed = ()\n",
    ),
)

if __name__ == "__main__":
    sys.exit(main(SAFEGUARDS))
