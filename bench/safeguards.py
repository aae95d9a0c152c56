"""Remove each safeguard of the at-most-once rule in turn.

For each one, the state machine of `poplarrelay.systems.tests.test_at_most_once` runs
without it. A safeguard whose removal the machine does not notice is either covered
by a test of its own or not needed.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import replace
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from poplarrelay.outcomes import NotRun, NotRunReason
from poplarrelay.systems import (
    admitting,
    attempting,
    claiming,
    expiring,
    key_ownership,
    key_resolution,
    ticketing,
)
from poplarrelay.systems.tests import test_safeguards
from poplarrelay.systems.tests.test_at_most_once import AtMostOnce
from poplarrelay.tables.claims import Claim, KeyState, TeamKey
from poplarrelay.testing.fakes import FakeSystem

EXAMPLES = 400
STEPS = 50
WORKERS = 6

Removal = Callable[[ExitStack], object]


def _patch(stack: ExitStack, module: object, name: str, value: object) -> None:
    stack.enter_context(patch.object(module, name, value))


def without_claims(stack: ExitStack) -> None:
    """Run plain keys at once."""

    def settle(world, request, form, now):
        key = world.team_key(request)
        world.key_executions[key] = claiming.KeyExecution(
            KeyState.OPEN, request.id, request.work.fingerprint, now
        )
        yield from ()

    _patch(stack, key_resolution, "resolve_caller_key", settle)


def without_compare(stack: ExitStack) -> None:
    """Let the last claim in the log win."""

    def fold(world, record, now):
        claim = record.value
        key = TeamKey.of(claim.team, claim.key)
        world.claims[key] = Claim.from_record(record.offset, claim, now)

    _patch(stack, claiming, "_fold_claim", fold)


def without_incarnation(stack: ExitStack) -> None:
    """Ask a restarted process about its predecessor's keys."""
    _patch(stack, claiming, "owner_of", lambda world, node, _: world.members.get(node))
    original = key_ownership.key_reply

    def reply(world, query, now):
        if query.incarnation:
            query = query.model_copy(update={"incarnation": world.incarnation})
        answer = original(world, query, now)
        if answer.state == "absent" and query.incarnation:
            return answer.model_copy(update={"state": "released"})
        return answer

    _patch(stack, key_ownership, "key_reply", reply)


def without_release_age(stack: ExitStack) -> None:
    """Claim anew after any release, also for requests that came before it."""

    def take(world, request, key, reply, now):
        yield from claiming.claim_key(world, request, world.claims.get(key), now)

    _patch(stack, claiming, "_handle_release", take)


def without_verification(stack: ExitStack) -> None:
    """Say "not run" in an outage without asking the peers."""
    _patch(stack, claiming, "_query_all_peers", claiming._end_not_run)


def without_catching_up(stack: ExitStack) -> None:
    """Vouch for keys before the claims have been read to their end."""
    original = claiming._query_all_peers
    original_reply = key_ownership.key_reply

    def caught_up(world):
        world.streams[claiming.CLAIMS].caught_up = True

    def verify(world, request, now):
        caught_up(world)
        yield from original(world, request, now)

    def reply(world, query, now):
        caught_up(world)
        return original_reply(world, query, now)

    _patch(stack, claiming, "_query_all_peers", verify)
    _patch(stack, key_ownership, "key_reply", reply)


def without_running_mark(stack: ExitStack) -> None:
    """Say "not run" at the deadline although an attempt may have been sent."""

    def late(request):
        return NotRun(NotRunReason.DEADLINE)

    _patch(stack, expiring, "_late_outcome", late)


def without_single_attempt(stack: ExitStack) -> None:
    """Send work that may not be repeated again after a broken attempt."""
    original = attempting._may_retry

    def may_retry(request, result, now, world):
        request.work = replace(request.work, repeatable=True)
        return original(request, result, now, world)

    _patch(stack, attempting, "_may_retry", may_retry)


def without_ticket_home(stack: ExitStack) -> None:
    """Run a ticket at whichever node it comes to."""

    def settle(world, request, ticket, forwarded, now):
        yield from ticketing._open_execution(world, request, now)

    _patch(stack, key_resolution, "resolve_ticket", settle)


def without_ticket_incarnation(stack: ExitStack) -> None:
    """Let a restarted process run its predecessor's tickets."""
    original = ticketing.resolve_ticket

    def settle(world, request, ticket, forwarded, now):
        if ticket.node == world.node:
            ticket = replace(ticket, incarnation=world.incarnation, epoch=0)
        yield from original(world, request, ticket, forwarded, now)

    _patch(stack, key_resolution, "resolve_ticket", settle)


def without_giving_up_tickets(stack: ExitStack) -> None:
    """Go on running tickets after they were handed over."""

    def settle(world, request, ticket, now):
        yield from ticketing._open_execution(world, request, now)

    _patch(stack, ticketing, "_resolve_own", settle)
    _patch(stack, key_resolution, "_end_unresolved", leave_alone)


def leave_alone(world, request, form, now):
    """Settle a request as if the node were not leaving."""
    yield from ticketing._open_execution(world, request, now)


def without_late_forward_check(stack: ExitStack) -> None:
    """Run a forwarded ticket although its key was told "not run" meanwhile."""

    def hold(world, request, now):
        key = world.team_key(request)
        world.key_executions[key] = claiming.KeyExecution(
            KeyState.OPEN, request.id, request.work.fingerprint, now
        )
        yield from ()

    _patch(stack, ticketing, "_open_execution", hold)


def without_unknown_for_unread_keys(stack: ExitStack) -> None:
    """Say "not run" for a key that the node has not looked into."""

    def given_up(arrived, not_run, unknown):
        return NotRun(not_run)

    _patch(stack, admitting, "_unchecked_outcome", given_up)


def without_freeze_clock(stack: ExitStack) -> None:
    """Count requests that are read after a freeze as having just come."""

    def thaw(self, name):
        node = self.nodes[name]
        if node.frozen_at is not None:
            node.frozen_at = None
            for arrived in node.unread:
                node.inbox.append(replace(arrived, received=self.now))
            node.unread.clear()

    _patch(stack, FakeSystem, "thaw", thaw)


def without_joining(stack: ExitStack) -> None:
    """Run a repeated request beside the one that runs already."""

    def repeat(world, request, execution, now):
        yield from ()

    _patch(stack, key_resolution, "_resolve_repeated", repeat)


REMOVALS: dict[str, Removal] = {
    "nothing removed": lambda stack: None,
    "claim before dispatch": without_claims,
    "compare on the fold": without_compare,
    "claims belong to an incarnation": without_incarnation,
    "a release binds older requests": without_release_age,
    "ask all peers in an outage": without_verification,
    "catch up before vouching": without_catching_up,
    "sent means unknown": without_running_mark,
    "one attempt unless refused": without_single_attempt,
    "tickets have one home": without_ticket_home,
    "tickets name an incarnation": without_ticket_incarnation,
    "handover gives up tickets": without_giving_up_tickets,
    "late forwards are not run": without_late_forward_check,
    "unread keys are unknown": without_unknown_for_unread_keys,
    "repetitions join": without_joining,
    "arrivals are corrected for freezes": without_freeze_clock,
}


def _directed_failures() -> list[str]:
    """Return the directed tests that fail."""
    failed = []
    for name, test in vars(test_safeguards).items():
        if not name.startswith("test_"):
            continue
        try:
            test(test_safeguards.make_system())
        except Exception:  # any failure of a test counts
            failed.append(name)
    return failed


def _machine_failure() -> str | None:
    """Return the state machine's first violation."""
    try:
        run_state_machine_as_test(
            AtMostOnce,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                derandomize=True,
                deadline=None,
                suppress_health_check=list(HealthCheck),
                phases=[Phase.generate],
                print_blob=False,
                report_multiple_bugs=False,
            ),
        )
    except AssertionError as error:
        return (str(error) or "violated").splitlines()[0]
    except Exception as error:  # a removal may break the code around it
        return f"{type(error).__name__}: {error}"
    return None


def try_without(name: str) -> tuple[str | None, list[str]]:
    """Return what notices that a safeguard is gone."""
    with ExitStack() as stack:
        REMOVALS[name](stack)
        return _machine_failure(), _directed_failures()


def main() -> int:
    """Print what notices each removal; exit code 1 if one is not noticed."""
    good = True
    with ProcessPoolExecutor(WORKERS) as pool:
        results = pool.map(try_without, REMOVALS)
        for name, (violation, tests) in zip(REMOVALS, results, strict=True):
            print(f"{name}\n    machine: {violation or 'no violation found'}")
            for test in tests:
                print(f"    {test}")
            noticed = bool(violation or tests)
            good = good and noticed == (name != "nothing removed")
            sys.stdout.flush()
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
