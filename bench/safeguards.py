"""Remove each safeguard of the at-most-once rule in turn and check that a test fails.

Without each safeguard, the state machine of
`poplarrelay.systems.tests.test_at_most_once` and the tests of
`poplarrelay.systems.tests.test_safeguards` run. A safeguard is unnecessary, or lacks a
test, if none of them fails.
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
    """Run caller keys at once, without a claim."""

    def resolve(world, request, parsed, now):
        key = world.team_key(request)
        world.key_executions[key] = claiming.KeyExecution(
            KeyState.OPEN, request.id, request.work.fingerprint, now
        )
        yield from ()

    _patch(stack, key_resolution, "resolve_caller_key", resolve)


def without_claim_comparison(stack: ExitStack) -> None:
    """Let the last claim in the log win, without a comparison with earlier claims."""

    def fold_claim(world, record, now):
        claim = record.value
        key = TeamKey.of(claim.team, claim.key)
        world.claims[key] = Claim.from_record(record.offset, claim, now)

    _patch(stack, claiming, "_fold_claim", fold_claim)


def without_incarnation(stack: ExitStack) -> None:
    """Query a restarted process for the keys of its previous incarnation."""
    _patch(stack, claiming, "owner_of", lambda world, node, _: world.members.get(node))
    original = key_ownership.key_reply

    def reply(world, query, now):
        if query.incarnation:
            query = query.model_copy(update={"incarnation": world.incarnation})
        key_reply = original(world, query, now)
        if key_reply.state == "absent" and query.incarnation:
            return key_reply.model_copy(update={"state": "released"})
        return key_reply

    _patch(stack, key_ownership, "key_reply", reply)


def without_release_age(stack: ExitStack) -> None:
    """Claim a key again after any release, even for requests from before it."""

    def claim_again(world, request, key, reply, now):
        yield from claiming.claim_key(world, request, world.claims.get(key), now)

    _patch(stack, claiming, "_handle_release", claim_again)


def without_verification(stack: ExitStack) -> None:
    """Answer "not run" in an outage without querying the peers."""
    _patch(stack, claiming, "_query_all_peers", claiming._end_not_run)


def without_catching_up(stack: ExitStack) -> None:
    """Answer key queries before the claims have been read to their end."""
    original = claiming._query_all_peers
    original_reply = key_ownership.key_reply

    def mark_caught_up(world):
        world.streams[claiming.CLAIMS].caught_up = True

    def query_all_peers(world, request, now):
        mark_caught_up(world)
        yield from original(world, request, now)

    def reply(world, query, now):
        mark_caught_up(world)
        return original_reply(world, query, now)

    _patch(stack, claiming, "_query_all_peers", query_all_peers)
    _patch(stack, key_ownership, "key_reply", reply)


def without_running_mark(stack: ExitStack) -> None:
    """Answer "not run" at the deadline although an attempt may have been sent."""

    def not_run_outcome(request):
        return NotRun(NotRunReason.DEADLINE)

    _patch(stack, expiring, "_late_outcome", not_run_outcome)


def without_single_attempt(stack: ExitStack) -> None:
    """Retry non-repeatable work after a broken attempt."""
    original = attempting._may_retry

    def may_retry(request, result, now, world):
        request.work = replace(request.work, repeatable=True)
        return original(request, result, now, world)

    _patch(stack, attempting, "_may_retry", may_retry)


def without_ticket_owner(stack: ExitStack) -> None:
    """Run a ticket at the node that receives it instead of its owner."""

    def resolve(world, request, ticket, forwarded, now):
        yield from ticketing._open_execution(world, request, now)

    _patch(stack, key_resolution, "resolve_ticket", resolve)


def without_ticket_incarnation(stack: ExitStack) -> None:
    """Let a restarted process run the tickets of its previous incarnation."""
    original = ticketing.resolve_ticket

    def resolve(world, request, ticket, forwarded, now):
        if ticket.node == world.node:
            ticket = replace(ticket, incarnation=world.incarnation, epoch=0)
        yield from original(world, request, ticket, forwarded, now)

    _patch(stack, key_resolution, "resolve_ticket", resolve)


def without_ticket_handover(stack: ExitStack) -> None:
    """Continue to run tickets after their handover."""

    def resolve(world, request, ticket, now):
        yield from ticketing._open_execution(world, request, now)

    _patch(stack, ticketing, "_resolve_own", resolve)
    _patch(stack, key_resolution, "_end_unresolved", _run_while_leaving)


def _run_while_leaving(world, request, parsed, now):
    """Run a request as if the node were not leaving."""
    yield from ticketing._open_execution(world, request, now)


def without_late_forward_check(stack: ExitStack) -> None:
    """Run a forwarded ticket although a caller got "not run" for it meanwhile."""

    def open_execution(world, request, now):
        key = world.team_key(request)
        world.key_executions[key] = claiming.KeyExecution(
            KeyState.OPEN, request.id, request.work.fingerprint, now
        )
        yield from ()

    _patch(stack, ticketing, "_open_execution", open_execution)


def without_unknown_for_unresolved_keys(stack: ExitStack) -> None:
    """Answer "not run" for a key that the node has not resolved."""

    def not_run_outcome(arrived, not_run, unknown):
        return NotRun(not_run)

    _patch(stack, admitting, "_unchecked_outcome", not_run_outcome)


def without_freeze_clock(stack: ExitStack) -> None:
    """Set the arrival time of requests sent during a freeze to its end."""

    def resume(self, name):
        node = self.nodes[name]
        if node.frozen_at is not None:
            node.frozen_at = None
            for arrived in node.unprocessed:
                node.inbox.append(replace(arrived, received=self.now))
            node.unprocessed.clear()

    _patch(stack, FakeSystem, "thaw", resume)


def without_joining(stack: ExitStack) -> None:
    """Run a repeated request although the first one is still running."""

    def ignore_repetition(world, request, execution, now):
        yield from ()

    _patch(stack, key_resolution, "_resolve_repeated", ignore_repetition)


REMOVALS: dict[str, Removal] = {
    "nothing removed": lambda stack: None,
    "caller keys are claimed before dispatch": without_claims,
    "the fold compares claims": without_claim_comparison,
    "claims belong to one incarnation": without_incarnation,
    "a release applies to older requests": without_release_age,
    "all peers are queried in an outage": without_verification,
    "claims are read before queries are answered": without_catching_up,
    "requests that were sent end as unknown": without_running_mark,
    "non-repeatable work is not retried when broken": without_single_attempt,
    "tickets have one owner": without_ticket_owner,
    "tickets belong to one incarnation": without_ticket_incarnation,
    "a handover passes tickets on": without_ticket_handover,
    "late forwarded requests do not run": without_late_forward_check,
    "requests with unresolved keys end as unknown": without_unknown_for_unresolved_keys,
    "repeated requests join the running one": without_joining,
    "arrival times are corrected for freezes": without_freeze_clock,
}


def _directed_failures() -> list[str]:
    """Return the names of the tests of `test_safeguards` that fail."""
    failed = []
    for name, test in vars(test_safeguards).items():
        if not name.startswith("test_"):
            continue
        try:
            test(test_safeguards.make_system())
        except Exception:  # a test can fail with any exception
            failed.append(name)
    return failed


def _machine_failure() -> str | None:
    """Return the first violation that the state machine finds, or None."""
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
    except Exception as error:  # a removal can break the surrounding code
        return f"{type(error).__name__}: {error}"
    return None


def try_without(name: str) -> tuple[str | None, list[str]]:
    """Remove a safeguard; return the violation and the names of the failing tests."""
    with ExitStack() as stack:
        REMOVALS[name](stack)
        return _machine_failure(), _directed_failures()


def main() -> int:
    """Print the failures caused by each removal; return 1 if a removal causes none."""
    all_noticed = True
    with ProcessPoolExecutor(WORKERS) as pool:
        results = pool.map(try_without, REMOVALS)
        for name, (violation, tests) in zip(REMOVALS, results, strict=True):
            print(f"{name}\n    machine: {violation or 'no violation found'}")
            for test in tests:
                print(f"    {test}")
            noticed = bool(violation or tests)
            all_noticed = all_noticed and noticed == (name != "nothing removed")
            sys.stdout.flush()
    return 0 if all_noticed else 1


if __name__ == "__main__":
    sys.exit(main())
