"""The second listener: peers, operators, health and metrics."""

from __future__ import annotations

import hmac
from collections.abc import Callable

import cherrypy
import orjson
from pydantic import BaseModel, ConfigDict, Field

from poplarrelay.exception import (
    AuthenticationFailed,
    CallerError,
    ConfigurationConflict,
    ConfigurationUnconfirmed,
    InvalidConfiguration,
    LogUnavailable,
)
from poplarrelay.identifiers import IdempotencyKey, Offset, RequestId, TeamId
from poplarrelay.messages.calls import RequestArrived
from poplarrelay.messages.encoding import decode_work, encode_outcome
from poplarrelay.messages.gossip import (
    CopyMessage,
    CopyQuery,
    CopyReply,
    HandoverMessage,
    KeyQuery,
    OutcomeMessage,
    ProbeMessage,
    RequestMessage,
)
from poplarrelay.messages.peers import (
    ConfigurationAsked,
    CopiesQueried,
    CopyReceived,
    HandoverReceived,
    KeyQueried,
    ProbeReceived,
)
from poplarrelay.messages.questions import (
    ChangeAsked,
    HistoryAsked,
    LookupAsked,
    ShutdownAsked,
    StatusAsked,
)
from poplarrelay.node.caller_handlers import COPY_FIELD, lookup_document, read_token
from poplarrelay.node.gateway import Gateway
from poplarrelay.node.mailboxes import CallTimedOut
from poplarrelay.node.peer_client import IndirectProbe, PeerClient
from poplarrelay.node.sessions import Ended, Rejected
from poplarrelay.outcomes import Unknown, UnknownReason
from poplarrelay.systems.configuring import PUBLISH_TIMEOUT_S
from poplarrelay.systems.lookups import LookupResult
from poplarrelay.systems.reporting import NodeStatus
from poplarrelay.tables.configuration import ChangeResult
from poplarrelay.tables.requests import RequestClass
from poplarrelay.web.exchange import answer_json, read_json, reject, require_method
from poplarrelay.web.problems import Problem, ProblemResponse

__all__ = ["PeersRoot"]

#: Largest message between nodes, in bytes.
MAX_PEER_BYTES = 64_000_000
#: Seconds beyond a change's own timeout that its operator is kept waiting.
PUBLISH_GRACE_S = 2.0


class ChangeBody(BaseModel):
    """Body of ``POST /operator/configuration``.

    Attributes
    ----------
    after : int or None
        Offset that the operator has seen in force; leave it out to replace
        whatever is in force.
    """

    model_config = ConfigDict(extra="forbid")

    subject: str = Field(pattern=r"^(template|deployment)/[A-Za-z0-9_-]+$")
    body: dict[str, object] | None
    after: int | None = None


class DrainBody(BaseModel):
    """Body of ``POST /operator/drain``."""

    within_s: float = Field(gt=0, le=86_400)


def _timed_out() -> ProblemResponse:
    return ProblemResponse(
        Problem(503, "no-answer", "The node did not answer in time", outcome="unknown")
    )


class PeerHandlers:
    """``/peer/...``: what other nodes call."""

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self._gateway = gateway
        self._peers = peers

    def _ask(self, make: Callable, timeout_s: float = 2.0) -> object:
        try:
            return self._gateway.ask(make, timeout_s)
        except CallTimedOut:
            raise _timed_out() from None

    @cherrypy.expose
    def probe(self) -> bytes:
        """Answer a probe."""
        probe = read_json(ProbeMessage, MAX_PEER_BYTES)
        answer = self._ask(lambda call: ProbeReceived(call, probe))
        return _dump(answer)

    @cherrypy.expose
    def through(self) -> bytes:
        """Probe another node for one that cannot reach it."""
        through = read_json(IndirectProbe, MAX_PEER_BYTES)
        answer = self._peers.probe(through.target, through.message, ())
        if answer is None:
            raise ProblemResponse(Problem(504, "no-answer", "It did not answer"))
        return _dump(answer)

    @cherrypy.expose
    def key(self) -> bytes:
        """Tell what became of a key."""
        query = read_json(KeyQuery, MAX_PEER_BYTES)
        return _dump(self._ask(lambda call: KeyQueried(call, query)))

    @cherrypy.expose
    def configuration(self) -> bytes:
        """Give all configuration in force."""
        snapshot = self._ask(ConfigurationAsked)
        if snapshot is None:
            raise ProblemResponse(Problem(503, "not-ready", "Not caught up yet"))
        return _dump(snapshot)

    @cherrypy.expose
    def handover(self) -> bytes:
        """Take over from a node that leaves."""
        handover = read_json(HandoverMessage, MAX_PEER_BYTES)
        return _dump(self._ask(lambda call: HandoverReceived(call, handover)))

    @cherrypy.expose
    def copy(self) -> bytes:
        """Keep a copy of a deferred request."""
        message = read_json(CopyMessage, MAX_PEER_BYTES)
        reply = self._ask(lambda call: CopyReceived(call, message))
        assert isinstance(reply, CopyReply)
        return answer_json(reply.model_dump(mode="json", exclude_defaults=True))

    @cherrypy.expose
    def copies(self) -> bytes:
        """Tell what this node has of requests whose home is gone."""
        query = read_json(CopyQuery, MAX_PEER_BYTES)
        return _dump(self._ask(lambda call: CopiesQueried(call, query)))

    @cherrypy.expose
    def requests(self, request: str, team: str) -> bytes:
        """Tell what became of a deferred request."""
        found = self._ask(
            lambda call: LookupAsked(
                call, "", RequestId(request), TeamId(team), forwarded=True
            )
        )
        if isinstance(found, CallerError):
            raise reject(found)
        assert isinstance(found, LookupResult)
        document = lookup_document(RequestId(request), found)
        if found.copy:
            document[COPY_FIELD] = True
        return answer_json(document)

    @cherrypy.expose
    def forward(self) -> bytes:
        """Run a request whose ticket names this node."""
        stored = read_json(RequestMessage, MAX_PEER_BYTES)
        arrived = RequestArrived(
            id=self._gateway.new_request_id(),
            token_sha256="",
            work=decode_work(stored),
            request_class=RequestClass(stored.request_class),
            timeout_s=stored.remaining_s,
            received=self._gateway.received(),
            key=None if stored.key is None else IdempotencyKey(stored.key),
            forwarded=True,
            team=TeamId(stored.team),
            age_s=stored.age_s,
            home_clock=stored.home_clock,
        )
        events = self._gateway.serve(arrived)
        try:
            return _dump(_forwarded(events))
        finally:
            events.close()


def _forwarded(events: object) -> OutcomeMessage:
    for event in events:  # type: ignore[attr-defined]
        if isinstance(event, Ended):
            return encode_outcome(event.outcome)
        if isinstance(event, Rejected):
            raise reject(event.error)
    return encode_outcome(Unknown(UnknownReason.ATTEMPT_BROKEN))


def _dump(value: object) -> bytes:
    assert isinstance(value, BaseModel)
    return answer_json(value.model_dump(mode="json"))


class OperatorHandlers:
    """``/operator/...``: what operators call."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def _check_token(self) -> None:
        wanted = self._gateway.settings.operator_token_sha256
        if wanted is None:
            return
        try:
            given = read_token()
        except AuthenticationFailed as error:
            raise reject(error) from None
        if not hmac.compare_digest(given, wanted):
            raise reject(AuthenticationFailed("this is not the operators' token"))

    @cherrypy.expose
    def configuration(self) -> bytes:
        """Publish a change, or tell all that is in force."""
        require_method("GET", "POST")
        self._check_token()
        if cherrypy.request.method == "GET":
            return _dump(self._gateway.ask(ConfigurationAsked))
        body = read_json(ChangeBody, MAX_PEER_BYTES)
        checked = "after" in body.model_fields_set
        after = None if body.after is None else Offset(body.after)
        verdict = self._gateway.ask(
            lambda call: ChangeAsked(call, body.subject, body.body, after, checked),
            PUBLISH_TIMEOUT_S + PUBLISH_GRACE_S,
        )
        return _verdict(verdict)

    @cherrypy.expose
    def history(self) -> bytes:
        """Tell the newest changes, and which came into force."""
        require_method("GET")
        self._check_token()
        return answer_json({"changes": self._gateway.ask(HistoryAsked)})

    @cherrypy.expose
    def drain(self) -> bytes:
        """Let this node leave."""
        require_method("POST")
        self._check_token()
        body = read_json(DrainBody, MAX_PEER_BYTES)
        self._gateway.submit(ShutdownAsked(body.within_s))
        return answer_json({"status": "leaving"}, status=202)


def _verdict(verdict: object) -> bytes:
    if isinstance(verdict, ChangeResult):
        return answer_json({"status": "accepted", "offset": verdict.winner})
    cherrypy.response.headers["Content-Type"] = "application/problem+json"
    document: dict[str, object] = {"detail": str(verdict)}
    if isinstance(verdict, ConfigurationConflict):
        status, slug = 409, "configuration-conflict"
        document["winner"] = verdict.winner
    elif isinstance(verdict, InvalidConfiguration):
        status, slug = 422, "configuration-invalid"
        document["faults"] = [
            {"place": fault.place, "problem": fault.problem} for fault in verdict.faults
        ]
    elif isinstance(verdict, LogUnavailable):
        status, slug = 503, "log-unavailable"
        document["outcome"] = "not_run"
    else:
        assert isinstance(verdict, ConfigurationUnconfirmed)
        status, slug = 504, "configuration-unconfirmed"
        document["outcome"] = "unknown"
    document["type"] = f"urn:poplarrelay:problem:{slug}"
    document["title"] = "The change is not in force"
    document["status"] = status
    cherrypy.response.status = status
    return orjson.dumps(document)


class PeersRoot:
    """Root of the second listener."""

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self._gateway = gateway
        self.peer = PeerHandlers(gateway, peers)
        self.operator = OperatorHandlers(gateway)

    def _status(self) -> NodeStatus:
        try:
            status = self._gateway.ask(StatusAsked, 2.0)
        except CallTimedOut:
            raise _timed_out() from None
        assert isinstance(status, NodeStatus)
        return status

    @cherrypy.expose
    def health(self) -> bytes:
        """Tell whether the process works; 503 if its tick thread does not."""
        status = self._status()
        return answer_json({"node": status.node, "phase": status.phase})

    @cherrypy.expose
    def ready(self) -> bytes:
        """Tell whether the node takes work; 503 if it does not."""
        status = self._status()
        body = {"node": status.node, "ready": status.ready, "phase": status.phase}
        return answer_json(body, status=200 if status.ready else 503)

    @cherrypy.expose
    def status(self) -> bytes:
        """Tell the node's view of itself and of the others."""
        return answer_json(self._status())

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Give the metrics in Prometheus' text form."""
        accepts = cherrypy.request.headers.get("Accept", "")
        body, headers = self._gateway.metrics.render([accepts])
        cherrypy.response.headers.update(headers)
        return body
