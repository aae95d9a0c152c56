"""Refusal of requests that crash endpoints, and probes of suspect prompt parts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from time import monotonic

from poplarrelay.entry.outcomes import Refusal, RefusalReason
from poplarrelay.entry.probe_leases import ProbeLeaseBroker
from poplarrelay.entry.quarantine import Restriction
from poplarrelay.entry.request_context import RequestContext
from poplarrelay.entry.state import EntryState

__all__ = ["CrashBlocking"]

#: Longest time in seconds, and share of its remaining time, for which a prompt waits
#: for the result of a probe of its parts.
PROBE_WAIT_S, PROBE_WAIT_SHARE = 1.0, 0.25
#: Seconds between two looks at the result of a probe, and between two requests for a
#: lease.
PROBE_POLL_S, PROBE_LEASE_INTERVAL_S = 0.05, 0.1
#: Seconds after which a caller retries a prompt that has waited in vain.
PROBE_RETRY_S = 0.5


@dataclass(slots=True)
class CrashBlocking:
    """Decides whether a request may be sent although endpoints have crashed under it.

    Attributes
    ----------
    leases : ProbeLeaseBroker
        Obtains leases for discriminating probes.
    """

    state: EntryState
    leases: ProbeLeaseBroker

    def refuse(self, context: RequestContext) -> Refusal | None:
        """Return a refusal if the request is blocked because it crashes endpoints.

        None also for a prompt that can be a discriminating probe.
        """
        restriction = self.find_restriction(context)
        if restriction is not None and not restriction.discriminating:
            return self._refuse_part(context, restriction, restriction.wait_s)
        return self._refuse_fingerprint(context)

    def find_restriction(self, context: RequestContext) -> Restriction | None:
        """Return how blocked parts restrict a prompt that is not sent as a probe."""
        if context.probes or context.probe_lease is not None:
            return None
        return self.state.quarantine.find_restriction(
            context.service, context.part_keys, monotonic()
        )

    def _refuse_part(
        self, context: RequestContext, restriction: Restriction, retry_s: float
    ) -> Refusal:
        self.state.quarantine.note_refusal(
            context.service, context.part_keys, monotonic()
        )
        detail = f"part {restriction.key}"
        return _refusal(context, RefusalReason.POISON_PART, retry_s, detail)

    def _refuse_fingerprint(self, context: RequestContext) -> Refusal | None:
        state, now = self.state, monotonic()
        request = (context.team_name, context.fingerprint, now)
        if state.crashes.blocked_s(*request) is None:
            return None
        explained = state.quarantine.explained_runs(
            context.service, context.part_keys, now
        )
        blocked_s = state.crashes.blocked_s(*request, explained)
        if blocked_s is None:
            return None
        state.crashes.refused += 1
        detail = f"fingerprint {context.fingerprint}"
        return _refusal(context, RefusalReason.CRASHES, blocked_s, detail)

    # discriminating probes

    def wait_limit(self, context: RequestContext) -> float:
        """Return the monotonic time until which a prompt waits for a probe's result."""
        wait_s = min(PROBE_WAIT_S, PROBE_WAIT_SHARE * context.remaining_s)
        return monotonic() + wait_s

    async def may_send(self, context: RequestContext) -> bool:
        """Return whether no part of a prompt is blocked, or a lease lets it probe."""
        if self.find_restriction(context) is None:
            return True
        lease = await self.leases.acquire(context.service)
        if lease is None:
            return False
        # The result of another probe may have arrived meanwhile.
        restriction = self.find_restriction(context)
        if restriction is None or not restriction.discriminating:
            self.leases.release(lease, used=False)
            return restriction is None
        context.probe_lease = lease
        self.state.quarantine.note_discriminating_probe(
            context.service, restriction.key
        )
        return True

    async def await_probe(
        self, context: RequestContext, give_up_at: float
    ) -> Refusal | None:
        """Wait until a probe can have a result; refuse the prompt after some time."""
        ask_again_at = monotonic() + PROBE_LEASE_INTERVAL_S
        while True:
            restriction = self.find_restriction(context)
            if restriction is None or not restriction.discriminating:
                return None
            now = monotonic()
            if now >= give_up_at:
                return self._refuse_part(context, restriction, PROBE_RETRY_S)
            if now >= ask_again_at:
                return None
            await asyncio.sleep(PROBE_POLL_S)

    def end_probe(self, context: RequestContext, sent: bool) -> bool:
        """Give the lease of a discriminating probe back; return whether there is one.

        Parameters
        ----------
        context : RequestContext
            The request.
        sent : bool
            Whether the probe has been sent.
        """
        if context.probe_lease is None:
            return False
        self.leases.release(context.probe_lease, sent)
        context.probe_lease = None
        return True


def _refusal(
    context: RequestContext, reason: RefusalReason, retry_s: float, detail: str
) -> Refusal:
    if context.may_have_run:
        return Refusal(502, reason, detail=detail)
    return Refusal(503, reason, retry_s, detail)
