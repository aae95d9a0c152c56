"""Test fair shares, request classes, queue limits, retry budgets and deadlines."""

import itertools
from collections import Counter

import pytest

from poplarrelay.configuration.schema import Deployment, Template
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    IdempotencyKey,
    Offset,
    RequestId,
    TeamId,
)
from poplarrelay.messages.calls import (
    AttemptEnded,
    AttemptProgressed,
    AttemptResult,
    RequestArrived,
)
from poplarrelay.messages.effects import EndRequest, MoveAttempt, RunAttempt
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.platform import NoticeReceived, NoticeSource, RecordsRead
from poplarrelay.outcomes import NotRun, NotRunReason
from poplarrelay.systems.configuring import rebuild
from poplarrelay.systems.schedule import run_tick
from poplarrelay.tables.configuration import InForce
from poplarrelay.tables.endpoints import EndpointKind, EndpointState, LoadReport
from poplarrelay.tables.requests import MoveMethod, RequestClass, Work, WorkKind
from poplarrelay.tables.world import CONFIGURATION
from poplarrelay.testing.builders import deployment_body, template_body
from poplarrelay.testing.site import hash_token, team_token
from poplarrelay.testing.worlds import make_endpoint, make_world

ALPHA, E0 = TeamId("alpha"), EndpointId("e0")
REPORT = LoadReport(slots=4, prefill_tokens_per_s=1000.0, step_s=0.01)


class Node:
    """One node's tables with engines and a configuration of two teams."""

    def __init__(self, engines=1, max_queued=100, max_running=64):
        self.now = 1000.0
        self.world = make_world("n1", 1, "00000001", self.now)
        self.world.endpoints.clear()
        for index in range(engines):
            engine = make_endpoint(
                f"e{index}",
                EndpointKind.ENGINE,
                ("east", "west", "north")[index % 3],
                report=REPORT,
                reported_at=self.now,
            )
            self.world.endpoints[engine.id] = engine
        limits = {
            "max_running": max_running,
            "max_queued": max_queued,
            "retry_ratio": 0.2,
        }
        table = self.world.configuration
        template = Template.model_validate(template_body(limits=limits))
        table.entries["template/base"] = InForce(Offset(0), template)
        for offset, team in enumerate(("alpha", "beta"), 1):
            value = Deployment.model_validate(deployment_body(team))
            table.entries[f"deployment/{team}"] = InForce(Offset(offset), value)
        rebuild(table)
        self._numbers = itertools.count()

    def arrive(self, team, request_class=RequestClass.STANDARD, count=1, **changes):
        arrivals = []
        for _ in range(count):
            work = Work(
                WorkKind.COMPLETION,
                "small",
                prompt="x",
                max_tokens=changes.get("max_tokens", 10),
                prompt_tokens=changes.get("prompt_tokens", 10),
                fingerprint="f",
            )
            key = changes.get("key")
            arrivals.append(
                RequestArrived(
                    id=RequestId(f"{team}-{next(self._numbers)}"),
                    token_sha256=hash_token(team_token(team)),
                    work=work,
                    request_class=request_class,
                    timeout_s=changes.get("timeout_s"),
                    received=self.now,
                    key=None if key is None else IdempotencyKey(key),
                )
            )
        return arrivals

    def tick(self, *messages):
        for endpoint in self.world.endpoints.values():
            endpoint.reported_at = self.now
        alive = RecordsRead(CONFIGURATION, Offset(0), Offset(0), Offset(0), None, ())
        return run_tick(self.world, Inbox([alive, *messages]), self.now)

    def end(self, run, result=AttemptResult.FINISHED, tokens=0):
        attempt = run.attempt
        return AttemptEnded(attempt.request, attempt.id, result, tokens)


def runs(effects):
    return [e for e in effects if isinstance(e, RunAttempt)]


def outcomes(effects):
    return {e.request: e.outcome for e in effects if isinstance(e, EndRequest)}


@pytest.fixture
def node():
    return Node()


def test_many_requests_of_one_team_do_not_delay_another_team(node):
    # Guards against a team that waits behind the queue of another team. One team sends
    # sixty requests, and then the other team sends two.
    first = runs(node.tick(*node.arrive("alpha", count=60)))
    served = [run.team for run in runs(node.tick(*node.arrive("beta", count=2)))]
    for _ in range(2):
        node.now += 0.1
        for endpoint in node.world.endpoints.values():
            endpoint.changes.clear()
        ended = node.tick(*[node.end(run) for run in first])
        first = runs(ended)
        served += [run.team for run in first]
    assert served.count("beta") == 2
    assert "beta" in served[:4]


def test_urgent_requests_run_before_patient_ones(node):
    node.tick(*node.arrive("alpha", RequestClass.STANDARD, count=20))
    started = runs(
        node.tick(
            *node.arrive("beta", RequestClass.PATIENT, count=3),
            *node.arrive("beta", RequestClass.URGENT, count=1),
        )
    )
    assert [run.priority for run in started] == [0]


def test_patient_work_is_not_starved(node):
    # Guards against patient requests that never run while the same team keeps sending
    # urgent ones. After half of its time a patient request counts as urgent.
    patient = node.arrive("alpha", RequestClass.PATIENT, timeout_s=20.0)
    running = runs(node.tick(*node.arrive("alpha", RequestClass.URGENT, count=12)))
    assert not runs(node.tick(*patient))
    for _ in range(30):
        node.now += 1.0
        for endpoint in node.world.endpoints.values():
            endpoint.changes.clear()
        messages = [node.end(run) for run in running]
        urgent = node.arrive("alpha", RequestClass.URGENT, count=8, timeout_s=5.0)
        running = runs(node.tick(*messages, *urgent))
        if any(run.attempt.request == patient[0].id for run in running):
            break
    assert any(run.attempt.request == patient[0].id for run in running)


def test_a_full_queue_refuses_requests_with_a_time_to_retry():
    node = Node(max_queued=8)
    effects = node.tick(*node.arrive("alpha", count=60))
    refusals = [o for o in outcomes(effects).values() if isinstance(o, NotRun)]
    assert refusals
    assert {o.reason for o in refusals} == {NotRunReason.QUEUE_FULL}
    assert all(o.retry_after_s for o in refusals)
    assert node.world.team_usage(ALPHA).queued <= 10


def test_a_team_runs_no_more_than_its_limit():
    node = Node(engines=3, max_running=4)
    started = runs(node.tick(*node.arrive("alpha", count=12)))
    assert len(started) == 5
    assert node.world.team_usage(ALPHA).running == 5


def test_an_expired_deadline_ends_a_waiting_request_at_once(node):
    node.tick(*node.arrive("alpha", count=20))
    waiting = node.arrive("alpha", timeout_s=1.0)
    node.tick(*waiting)
    node.now += 1.0
    outcome = outcomes(node.tick())[waiting[0].id]
    assert isinstance(outcome, NotRun)
    assert outcome.reason is NotRunReason.DEADLINE


def test_a_request_that_cannot_be_answered_in_time_ends_at_once(node):
    # Guards against answers that come after the deadline. The engine is full, and an
    # answer takes one second, which is longer than the time left for the request.
    node.world.endpoints[E0].attempt_s = 1.0
    node.tick(*node.arrive("alpha", count=20, max_tokens=200))
    waiting = node.arrive("alpha", timeout_s=3.0, max_tokens=200)
    assert not outcomes(node.tick(*waiting))
    node.now += 2.1
    outcome = outcomes(node.tick())[waiting[0].id]
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_s


def test_a_request_that_arrives_after_its_deadline_is_not_run(node):
    late = node.arrive("alpha", timeout_s=1.0)
    node.now += 2.0
    effects = node.tick(*late)
    assert not runs(effects)
    assert isinstance(outcomes(effects)[late[0].id], NotRun)


def test_retries_after_many_failures_stay_within_the_retry_budget():
    # Guards against a retry storm when every attempt fails at every engine.
    node = Node(engines=3)
    accepted, attempts = 200, 0
    waiting = node.arrive("alpha", count=accepted)
    effects = node.tick(*waiting)
    for _ in range(400):
        started = runs(effects)
        attempts += len(started)
        node.now += 0.05
        for endpoint in node.world.endpoints.values():
            endpoint.changes.clear()
            endpoint.closed_until = 0.0
        effects = node.tick(*[node.end(r, AttemptResult.BROKEN) for r in started])
        if not node.world.open_requests():
            break
    assert attempts / accepted < 1.6


def test_announced_moves_do_not_use_the_retry_budget():
    node = Node(engines=3)
    (run,) = runs(node.tick(*node.arrive("alpha", max_tokens=4000)))
    before = node.world.team_usage(ALPHA).retry_tokens
    victim = node.world.endpoints[run.attempt.endpoint]
    progressed = AttemptProgressed(run.attempt.request, run.attempt.id, 5)
    notice = NoticeReceived(2.0, NoticeSource.CLOUD, endpoint=victim.id)
    effects = node.tick(progressed, notice)
    moves = [e for e in effects if isinstance(e, MoveAttempt)]
    effects = effects or node.tick()
    moves += [e for e in effects if isinstance(e, MoveAttempt) and e not in moves]
    assert [move.plan.method for move in moves] == [MoveMethod.MOVE_CACHE]
    assert moves[0].plan.successor.endpoint != victim.id
    assert node.world.team_usage(ALPHA).retry_tokens == before


def test_moves_can_use_the_slots_reserved_for_other_teams():
    # Guards against requests that are lost with a leaving engine. One team uses all
    # slots that are open to it on both engines, and one engine leaves.
    node = Node(engines=2)
    started = runs(node.tick(*node.arrive("alpha", count=12, max_tokens=4000)))
    by_engine = Counter(run.attempt.endpoint for run in started)
    assert by_engine[E0] == 3
    progress = [
        AttemptProgressed(run.attempt.request, run.attempt.id, 5) for run in started
    ]
    effects = node.tick(*progress, NoticeReceived(2.0, NoticeSource.CLOUD, endpoint=E0))
    moves = [e for e in effects if isinstance(e, MoveAttempt)]
    assert len(moves) == 3


def test_requests_that_end_in_time_stay_at_a_leaving_engine():
    node = Node(engines=3)
    (run,) = runs(node.tick(*node.arrive("alpha", max_tokens=20)))
    notice = NoticeReceived(5.0, NoticeSource.CLOUD, endpoint=run.attempt.endpoint)
    effects = node.tick(notice)
    assert not [e for e in effects if isinstance(e, MoveAttempt)]


def test_moves_avoid_the_domain_under_notice_and_use_several_engines():
    node = Node(engines=6)
    started = runs(node.tick(*node.arrive("alpha", count=12, max_tokens=4000)))
    progress = [
        AttemptProgressed(run.attempt.request, run.attempt.id, 5) for run in started
    ]
    notice = NoticeReceived(2.0, NoticeSource.CLOUD, domain=DomainId("east"))
    effects = node.tick(*progress, notice)
    moves = [e for e in effects if isinstance(e, MoveAttempt)]
    targets = [node.world.endpoints[m.plan.successor.endpoint].domain for m in moves]
    assert moves
    assert "east" not in targets
    assert len({m.plan.successor.endpoint for m in moves}) > 1


def test_a_later_notice_does_not_postpone_the_end_of_an_endpoint():
    node = Node(engines=2)
    notice = NoticeReceived(5.0, NoticeSource.CLOUD, endpoint=E0)
    node.tick(notice)
    node.tick(NoticeReceived(60.0, NoticeSource.PEER, endpoint=E0))
    endpoint = node.world.endpoints[E0]
    assert endpoint.state is EndpointState.LEAVING
    assert endpoint.leaving_at == node.now + 5.0
    started = runs(node.tick(*node.arrive("alpha", count=6)))
    assert {run.attempt.endpoint for run in started} == {"e1"}


def test_a_failing_engine_gets_no_work_until_its_pause_ends():
    node = Node(engines=1)
    for _ in range(2):
        (run,) = runs(node.tick(*node.arrive("alpha")))[:1]
        node.tick(node.end(run, AttemptResult.BROKEN))
        node.world.requests.clear()
        node.world.queue.clear()
        for endpoint in node.world.endpoints.values():
            endpoint.running_attempts.clear()
            endpoint.changes.clear()
        node.world.team_usage(ALPHA).running = 0
    engine = node.world.endpoints[E0]
    assert engine.closed_until > node.now
    assert not runs(node.tick(*node.arrive("alpha")))
    node.now = engine.closed_until
    assert runs(node.tick())
