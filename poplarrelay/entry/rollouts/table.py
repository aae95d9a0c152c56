"""Roll-outs as one node sees them: progress, exposure and this node's evidence."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.endpoints import Endpoint, EndpointTable
from poplarrelay.entry.rollouts.coordinator import RolloutReport
from poplarrelay.entry.rollouts.evidence import (
    Evidence,
    LatencyKind,
    RouteName,
    Side,
    sum_evidence,
)
from poplarrelay.entry.rollouts.exposure import (
    ShareCredit,
    canary_endpoints,
    target_share,
)
from poplarrelay.entry.rollouts.records import (
    RolloutOrder,
    RolloutPhase,
    RolloutProgress,
    decode_progress,
    encode_progress,
    merge_progress,
)
from poplarrelay.entry.rollouts.verdict import SequentialTest, VersionTest
from poplarrelay.entry.store_era import same_position
from poplarrelay.identifiers import (
    EndpointId,
    Incarnation,
    NodeId,
    SoftwareVersion,
)

__all__ = ["LocalRollout", "RolloutTable"]

_LOG = logging.getLogger("poplarrelay.entry.rollouts")

#: Seconds for which a version that is new to this node gets no requests while endpoints
#: of older versions accept them. The order of a roll-out can arrive after the first
#: record of an endpoint that was started for it.
NEW_VERSION_HOLD_S = 1.0
#: Seconds after the end of a roll-out for which its progress is sent to peers.
SEND_ENDED_S = 20.0
#: Seconds after a completed roll-out for which the replaced versions stay barred. Their
#: endpoints have stopped by then; later ones of the same version are a new release.
COMPLETED_BAR_S = 30.0
#: Seconds after the deadline of a reverted roll-out for which its target stays barred.
REVERTED_BAR_S = 600.0
#: Weight of one request in the falling maximum of the requests' durations.
DURATION_WEIGHT = 0.005


@dataclass(slots=True)
class LocalRollout:
    """State of a service's roll-out at one node.

    Attributes
    ----------
    evidence : Evidence
        Answers that this node has received since the order.
    credit : ShareCredit
        Keeps the target version's share of this node's requests.
    had_others : bool
        Whether the node has seen an endpoint of another version since the order.
    unconfirmed_failures : dict of EndpointId to Counter
        Broken answers by route, of runs that have not answered since. If the run
        answers again, it has not crashed, and the failures count.
    replaced : frozenset of RolloutOrder
        Earlier orders for the service.
    """

    progress: RolloutProgress
    credit: ShareCredit
    evidence: Evidence = field(default_factory=Evidence)
    had_others: bool = False
    unconfirmed_failures: dict[EndpointId, Counter[RouteName]] = field(
        default_factory=dict
    )
    replaced: frozenset[RolloutOrder] = frozenset()

    @property
    def is_open(self) -> bool:
        """Return whether the roll-out has not ended."""
        return not self.progress.phase.is_final

    def has_replaced(self, order: RolloutOrder) -> bool:
        """Return whether an order is an earlier one that a restored store has again."""
        return any(
            order.repeats(other) and same_position(order.offset, other.offset)
            for other in self.replaced
        )

    def is_target(self, row: Endpoint) -> bool:
        """Return whether an endpoint runs the target version."""
        return row.version == self.progress.order.target

    def side(self, row: Endpoint) -> Side:
        """Return the side of the comparison that an endpoint is on."""
        return Side.TARGET if self.is_target(row) else Side.OTHERS

    def describe(self) -> dict[str, Any]:
        """Return the phase and the counts, for the log and the status page."""
        progress, evidence = self.progress, self.evidence
        return {
            "target": progress.order.target,
            "offset": progress.order.offset,
            "phase": progress.phase.name.lower(),
            "why": progress.why,
            "sent": {side.value: evidence.sent[side] for side in Side},
            "answers": {side.value: evidence.answers(side) for side in Side},
            "failures": {side.value: evidence.failures(side) for side in Side},
        }

    def split(self, rows: Iterable[Endpoint]) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the endpoints of the target version and those of other versions."""
        target: list[Endpoint] = []
        others: list[Endpoint] = []
        for row in rows:
            (target if self.is_target(row) else others).append(row)
        return target, others


class RolloutTable:
    """Roll-outs of all services at one node.

    Parameters
    ----------
    canary_share : float
        Largest share of a service's requests for an unproven version.
    time_of_day : callable
        Returns the time of day that the nodes agree on.
    rng : random.Random
        Random generator for the initial credit.
    test : VersionTest
        Test of this node's own evidence.

    Attributes
    ----------
    urgent : bool
        Whether a change must be sent to peers before the next round.
    on_change : callable
        Called after a phase has changed.
    """

    def __init__(
        self,
        canary_share: float,
        time_of_day: Callable[[], float],
        rng: Random,
        test: VersionTest | None = None,
    ) -> None:
        self.canary_share = canary_share
        self.urgent = False
        self.on_change: Callable[[], None] = lambda: None
        self._time_of_day = time_of_day
        self._rng = rng
        self._test = test or SequentialTest()
        self._local: dict[ServiceName, LocalRollout] = {}
        self._first_seen: dict[ServiceName, dict[SoftwareVersion, float]] = {}
        self._newest_first_seen: dict[ServiceName, float] = {}
        self._longest_s: dict[ServiceName, float] = {}

    # queries

    def __iter__(self) -> Iterator[LocalRollout]:
        return iter(list(self._local.values()))

    def get(self, service: ServiceName) -> LocalRollout | None:
        """Return the latest roll-out of a service, None if there was none."""
        return self._local.get(service)

    @property
    def has_open(self) -> bool:
        """Return whether a roll-out has not ended."""
        return any(local.is_open for local in self._local.values())

    def open_rollout(self, service: ServiceName) -> LocalRollout | None:
        """Return a service's roll-out if it has not ended."""
        local = self._local.get(service)
        return local if local is not None and local.is_open else None

    def longest_s(self, service: ServiceName) -> float:
        """Return the duration of the longest recent requests, in seconds."""
        return self._longest_s.get(service, 0.0)

    # orders and progress

    def receive_order(self, order: RolloutOrder) -> None:
        """Start the roll-out of an order that was read from the store."""
        known = self._local.get(order.service)
        if known is not None and (
            known.progress.order.offset >= order.offset or known.has_replaced(order)
        ):
            return
        now = self._time_of_day()
        _LOG.info(
            "rollout ordered",
            extra={
                "service": order.service,
                "target": order.target,
                "duration_s": order.duration_s,
                "offset": order.offset,
            },
        )
        self.merge(RolloutProgress(order, now, now), "store")

    def merge(self, progress: RolloutProgress, source: str) -> None:
        """Merge the progress of a roll-out that the store or a peer reports."""
        service = progress.order.service
        local = self._local.get(service)
        if local is not None and local.has_replaced(progress.order):
            return
        if local is None or _replaces(progress.order, local.progress.order):
            self._local[service] = self._follow(local, progress)
            self._log_phase(self._local[service], source)
            self.urgent = True
            self.on_change()
            return
        before = local.progress
        local.progress = merge_progress(before, progress)
        if local.progress.phase is not before.phase:
            self._log_phase(local, source)
            self.urgent = True
            self.on_change()

    def _follow(
        self, before: LocalRollout | None, progress: RolloutProgress
    ) -> LocalRollout:
        """Return the state of a new order, which replaces an earlier one."""
        local = LocalRollout(progress, ShareCredit(self._rng.random()))
        if before is None:
            return local
        local.replaced = before.replaced | {before.progress.order}
        earlier, target = before.progress, progress.order.target
        barred = set(earlier.barred)
        if earlier.phase is not RolloutPhase.COMPLETED:
            barred.add(earlier.order.target)
        if before.is_open and earlier.order.target == target:
            # The same roll-out with a new deadline: what is known still applies.
            local = replace(before, progress=progress, replaced=local.replaced)
        local.progress = replace(
            progress, barred=progress.barred | frozenset(barred - {target})
        )
        return local

    def revert(self, service: ServiceName, why: str) -> None:
        """Stop sending requests to the target version of an open roll-out."""
        local = self.open_rollout(service)
        if local is not None:
            now = self._time_of_day()
            reverted = local.progress.advance(RolloutPhase.REVERTED, why, now)
            self.merge(reverted, "this node")

    def judge_own_evidence(self) -> None:
        """Revert the roll-outs whose target version this node alone shows to be bad."""
        for service, local in list(self._local.items()):
            if local.is_open:
                conviction = self._test.judge(local.evidence)
                if conviction is not None:
                    self.revert(service, conviction.why)

    def _log_phase(self, local: LocalRollout, source: str) -> None:
        progress = local.progress
        _LOG.info(
            "rollout",
            extra={
                "service": progress.order.service,
                **local.describe(),
                "source": source,
                "left_s": round(progress.deadline - self._time_of_day(), 2),
            },
        )

    # messages

    def outgoing(self) -> list[list[Any]]:
        """Return the progress to send to peers: of open and of recent roll-outs."""
        now = self._time_of_day()
        return [
            encode_progress(local.progress)
            for local in self._local.values()
            if local.is_open or now - local.progress.since < SEND_ENDED_S
        ]

    def all_progress(self) -> list[list[Any]]:
        """Return the progress of every known roll-out."""
        return [encode_progress(local.progress) for local in self._local.values()]

    def report(
        self,
        local: LocalRollout,
        node: NodeId,
        incarnation: Incarnation,
        rows: Iterable[Endpoint],
    ) -> RolloutReport:
        """Return this node's report on a roll-out to its coordinator.

        Parameters
        ----------
        local : LocalRollout
            The roll-out.
        node, incarnation : NodeId, Incarnation
            This node and its process.
        rows : iterable of Endpoint
            Endpoints of the service.
        """
        order = local.progress.order
        _, others = local.split(rows)
        return RolloutReport(
            node,
            incarnation,
            order.service,
            order.offset,
            local.progress.phase,
            self._share(local) >= 1.0,
            sum(row.running for row in others),
            self.longest_s(order.service),
            sum_evidence([local.evidence]),
        )

    def receive(self, records: Iterable[list[Any]], host: str) -> None:
        """Merge progress that a peer sent; raises `ValueError` if it is malformed."""
        for progress in [decode_progress(raw) for raw in records]:
            self.merge(progress, f"peer {host}")

    # endpoints

    def mark_endpoints(self, endpoints: EndpointTable, now: float) -> None:
        """Update which endpoints are barred, and which versions are new.

        Parameters
        ----------
        endpoints : EndpointTable
            Listed endpoints.
        now : float
            Monotonic time.
        """
        for service, rows in endpoints.by_service.items():
            seen = self._first_seen.get(service)
            if seen is None:
                seen = self._first_seen[service] = {
                    row.version: float("-inf") for row in rows.values()
                }
            for row in rows.values():
                if row.version not in seen:
                    seen[row.version] = self._newest_first_seen[service] = now
            local = self._local.get(service)
            if local is not None:
                self._mark(local, rows.values())

    def _mark(self, local: LocalRollout, rows: Iterable[Endpoint]) -> None:
        progress = local.progress
        barred = set(progress.barred)
        elapsed_s = self._time_of_day() - progress.since
        if progress.phase is RolloutPhase.REVERTED:
            barred.add(progress.order.target)
            if self._time_of_day() - progress.deadline > REVERTED_BAR_S:
                barred.clear()
        elif progress.phase is RolloutPhase.COMPLETED and elapsed_s > COMPLETED_BAR_S:
            barred.clear()
        for row in rows:
            row.barred = row.version in barred
            if not local.is_target(row) and not row.barred and local.is_open:
                local.had_others = True

    def eligible(
        self, service: ServiceName, rows: Sequence[Endpoint], now: float
    ) -> Sequence[Endpoint]:
        """Return the endpoints that the next request of a service may be sent to.

        Parameters
        ----------
        service : ServiceName
            The service.
        rows : sequence of Endpoint
            Endpoints that accept work.
        now : float
            Monotonic time.

        Notes
        -----
        While the target version is unproven, it does not replace the others if all of
        these are lost: the bound on its share holds then, too.
        """
        local = self._local.get(service)
        if local is None or not local.is_open:
            return self._without_new_versions(service, rows, now)
        target, others = local.split(rows)
        if not target or not local.had_others:
            return rows
        share = self._share(local)
        if share >= 1.0:
            return target
        if local.credit.allows_target:
            order = local.progress.order.offset
            canary = canary_endpoints(target, others, share, order)
            if any(row.has_room(now) for row in canary):
                return canary
        return others

    def _share(self, local: LocalRollout) -> float:
        return target_share(local.progress, self.canary_share, self._time_of_day())

    def _without_new_versions(
        self, service: ServiceName, rows: Sequence[Endpoint], now: float
    ) -> Sequence[Endpoint]:
        newest = self._newest_first_seen.get(service)
        if newest is None or now - newest >= NEW_VERSION_HOLD_S:
            return rows
        seen = self._first_seen[service]
        known = [
            row
            for row in rows
            if now - seen.get(row.version, now) >= NEW_VERSION_HOLD_S
        ]
        return known or rows

    def counted(self, service: ServiceName, rows: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints of the versions that serve now or will soon.

        During a roll-out there are two sets of endpoints, and only one counts when
        endpoints are ordered.
        """
        local = self.open_rollout(service)
        if local is None or not local.had_others:
            return [row for row in rows if not row.barred]
        target, others = local.split(rows)
        moved = self._share(local) >= 1.0
        return [row for row in (target if moved else others) if not row.barred]

    # requests

    def note_acquired(self, row: Endpoint) -> None:
        """Count a request that takes a slot at an endpoint."""
        local = self.open_rollout(row.service)
        if local is not None:
            local.evidence.sent[local.side(row)] += 1
            local.credit.note_sent(local.is_target(row), self._share(local))

    def note_unsent(self, row: Endpoint) -> None:
        """Undo `note_acquired` for a request that did not reach the endpoint."""
        local = self.open_rollout(row.service)
        if local is not None and local.evidence.sent[local.side(row)] > 0:
            local.evidence.sent[local.side(row)] -= 1
            local.credit.note_unsent(local.is_target(row), self._share(local))

    def note_duration(self, service: ServiceName, took_s: float) -> None:
        """Update the falling maximum of the requests' durations."""
        before = self._longest_s.get(service, 0.0)
        fallen = before + DURATION_WEIGHT * (took_s - before)
        self._longest_s[service] = max(took_s, fallen)

    def note_latency(
        self, row: Endpoint, route: RouteName, kind: LatencyKind, latency: float
    ) -> None:
        """Count one latency of an endpoint that has warmed up."""
        local = self.open_rollout(row.service)
        if local is not None:
            local.evidence.of(local.side(row), route).note_latency(kind, latency)

    def note_answer(self, row: Endpoint, route: RouteName, failed: bool) -> None:
        """Count a complete answer of an endpoint."""
        local = self.open_rollout(row.service)
        if local is None:
            return
        side = local.side(row)
        unconfirmed = local.unconfirmed_failures.pop(row.endpoint, None)
        for broken_route, failures in (unconfirmed or {}).items():
            counts = local.evidence.of(side, broken_route)
            counts.answers += failures
            counts.failures += failures
        counts = local.evidence.of(side, route)
        counts.answers += 1
        counts.failures += failed

    def note_broken(self, row: Endpoint, route: RouteName) -> None:
        """Count an incomplete or missing answer once its run answers again."""
        local = self.open_rollout(row.service)
        if local is not None and row.accepts_work:
            routes = local.unconfirmed_failures.setdefault(row.endpoint, Counter())
            routes[route] += 1


def _replaces(order: RolloutOrder, known: RolloutOrder) -> bool:
    """Return whether an order is a later one, and not the known one in a later era."""
    return order.offset > known.offset and not order.repeats(known)
