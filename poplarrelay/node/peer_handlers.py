"""Handlers of the peers' listener: peers, operators, health and metrics."""

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
    ConfigurationRequested,
    CopiesQueried,
    CopyReceived,
    HandoverReceived,
    KeyQueried,
    ProbeReceived,
)
from poplarrelay.messages.questions import (
    ChangeRequested,
    HistoryRequested,
    LookupRequested,
    ShutdownRequested,
    StatusRequested,
)
from poplarrelay.node.caller_handlers import (
    COPY_FIELD,
    lookup_document,
    read_token_digest,
)
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
#: Seconds that an operator's call waits after the timeout of its change.
PUBLISH_GRACE_S = 2.0


class ChangeBody(BaseModel):
    """Body of ``POST /operator/configuration``.

    Attributes
    ----------
    after : int or None
        Offset of the version that the operator has seen in force. If the field is
        left out, the change replaces any version.
    """

    model_config = ConfigDict(extra="forbid")

    subject: str = Field(pattern=r"^(template|deployment)/[A-Za-z0-9_-]+$")
    body: dict[str, object] | None
    after: int | None = None


class DrainBody(BaseModel):
    """Body of ``POST /operator/drain``."""

    within_s: float = Field(gt=0, le=86_400)


def _timeout_problem() -> ProblemResponse:
    return ProblemResponse(
        Problem(503, "no-answer", "The node did not answer in time", outcome="unknown")
    )


class PeerHandlers:
    """Handlers of ``/peer/...``, which other nodes call."""

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self._gateway = gateway
        self._peers = peers

    def _call(self, make_message: Callable, timeout_s: float = 2.0) -> object:
        try:
            return self._gateway.call(make_message, timeout_s)
        except CallTimedOut:
            raise _timeout_problem() from None

    @cherrypy.expose
    def probe(self) -> bytes:
        """Reply to a probe."""
        message = read_json(ProbeMessage, MAX_PEER_BYTES)
        reply = self._call(lambda call: ProbeReceived(call, message))
        return _answer_model(reply)

    @cherrypy.expose
    def through(self) -> bytes:
        """Probe a node on behalf of a peer that cannot reach it."""
        request = read_json(IndirectProbe, MAX_PEER_BYTES)
        reply = self._peers.probe(request.target, request.message, ())
        if reply is None:
            raise ProblemResponse(Problem(504, "no-answer", "It did not answer"))
        return _answer_model(reply)

    @cherrypy.expose
    def key(self) -> bytes:
        """Return the state of a key."""
        query = read_json(KeyQuery, MAX_PEER_BYTES)
        return _answer_model(self._call(lambda call: KeyQueried(call, query)))

    @cherrypy.expose
    def configuration(self) -> bytes:
        """Return the configuration in force."""
        snapshot = self._call(ConfigurationRequested)
        if snapshot is None:
            raise ProblemResponse(Problem(503, "not-ready", "Not caught up yet"))
        return _answer_model(snapshot)

    @cherrypy.expose
    def handover(self) -> bytes:
        """Take over keys and requests from a node that leaves."""
        message = read_json(HandoverMessage, MAX_PEER_BYTES)
        return _answer_model(self._call(lambda call: HandoverReceived(call, message)))

    @cherrypy.expose
    def copy(self) -> bytes:
        """Store a copy of a deferred request."""
        message = read_json(CopyMessage, MAX_PEER_BYTES)
        reply = self._call(lambda call: CopyReceived(call, message))
        assert isinstance(reply, CopyReply)
        return answer_json(reply.model_dump(mode="json", exclude_defaults=True))

    @cherrypy.expose
    def copies(self) -> bytes:
        """Return the state of this node's copies of requests whose owner is gone."""
        query = read_json(CopyQuery, MAX_PEER_BYTES)
        return _answer_model(self._call(lambda call: CopiesQueried(call, query)))

    @cherrypy.expose
    def requests(self, request: str, team: str) -> bytes:
        """Return the state of a deferred request."""
        found = self._call(
            lambda call: LookupRequested(
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
        """Run a request whose ticket names this node, and return the outcome."""
        message = read_json(RequestMessage, MAX_PEER_BYTES)
        arrived = RequestArrived(
            id=self._gateway.new_request_id(),
            token_sha256="",
            work=decode_work(message),
            request_class=RequestClass(message.request_class),
            timeout_s=message.remaining_s,
            received=self._gateway.arrival_time(),
            key=None if message.key is None else IdempotencyKey(message.key),
            forwarded=True,
            team=TeamId(message.team),
            age_s=message.age_s,
            owner_clock=message.home_clock,
        )
        events = self._gateway.serve(arrived)
        try:
            return _answer_model(_final_outcome(events))
        finally:
            events.close()


def _final_outcome(events: object) -> OutcomeMessage:
    for event in events:  # type: ignore[attr-defined]
        if isinstance(event, Ended):
            return encode_outcome(event.outcome)
        if isinstance(event, Rejected):
            raise reject(event.error)
    return encode_outcome(Unknown(UnknownReason.ATTEMPT_BROKEN))


def _answer_model(value: object) -> bytes:
    assert isinstance(value, BaseModel)
    return answer_json(value.model_dump(mode="json"))


class OperatorHandlers:
    """Handlers of ``/operator/...``, which operators call."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def _check_token(self) -> None:
        expected_digest = self._gateway.settings.operator_token_sha256
        if expected_digest is None:
            return
        try:
            digest = read_token_digest()
        except AuthenticationFailed as error:
            raise reject(error) from None
        if not hmac.compare_digest(digest, expected_digest):
            raise reject(AuthenticationFailed("this is not the operators' token"))

    @cherrypy.expose
    def configuration(self) -> bytes:
        """Publish a change (POST) or return the configuration in force (GET)."""
        require_method("GET", "POST")
        self._check_token()
        if cherrypy.request.method == "GET":
            return _answer_model(self._gateway.call(ConfigurationRequested))
        body = read_json(ChangeBody, MAX_PEER_BYTES)
        check_after = "after" in body.model_fields_set
        after = None if body.after is None else Offset(body.after)
        result = self._gateway.call(
            lambda call: ChangeRequested(
                call, body.subject, body.body, after, check_after
            ),
            PUBLISH_TIMEOUT_S + PUBLISH_GRACE_S,
        )
        return _answer_change(result)

    @cherrypy.expose
    def history(self) -> bytes:
        """Return the newest changes and which of them came into force."""
        require_method("GET")
        self._check_token()
        return answer_json({"changes": self._gateway.call(HistoryRequested)})

    @cherrypy.expose
    def drain(self) -> bytes:
        """Make this node leave."""
        require_method("POST")
        self._check_token()
        body = read_json(DrainBody, MAX_PEER_BYTES)
        self._gateway.submit(ShutdownRequested(body.within_s))
        return answer_json({"status": "leaving"}, status=202)


def _answer_change(result: object) -> bytes:
    if isinstance(result, ChangeResult):
        return answer_json({"status": "accepted", "offset": result.winner})
    cherrypy.response.headers["Content-Type"] = "application/problem+json"
    document: dict[str, object] = {"detail": str(result)}
    if isinstance(result, ConfigurationConflict):
        status, slug = 409, "configuration-conflict"
        document["winner"] = result.winner
    elif isinstance(result, InvalidConfiguration):
        status, slug = 422, "configuration-invalid"
        document["faults"] = [
            {"place": fault.place, "problem": fault.problem} for fault in result.faults
        ]
    elif isinstance(result, LogUnavailable):
        status, slug = 503, "log-unavailable"
        document["outcome"] = "not_run"
    else:
        assert isinstance(result, ConfigurationUnconfirmed)
        status, slug = 504, "configuration-unconfirmed"
        document["outcome"] = "unknown"
    document["type"] = f"urn:poplarrelay:problem:{slug}"
    document["title"] = "The change is not in force"
    document["status"] = status
    cherrypy.response.status = status
    return orjson.dumps(document)


class PeersRoot:
    """Root of the URL tree of the peers' listener."""

    def __init__(self, gateway: Gateway, peers: PeerClient) -> None:
        self._gateway = gateway
        self.peer = PeerHandlers(gateway, peers)
        self.operator = OperatorHandlers(gateway)

    def _status(self) -> NodeStatus:
        try:
            status = self._gateway.call(StatusRequested, 2.0)
        except CallTimedOut:
            raise _timeout_problem() from None
        assert isinstance(status, NodeStatus)
        return status

    @cherrypy.expose
    def health(self) -> bytes:
        """Return the node's phase; 503 if its tick thread does not reply."""
        status = self._status()
        return answer_json({"node": status.node, "phase": status.phase})

    @cherrypy.expose
    def ready(self) -> bytes:
        """Return whether the node accepts work; 503 if it does not."""
        status = self._status()
        body = {"node": status.node, "ready": status.ready, "phase": status.phase}
        return answer_json(body, status=200 if status.ready else 503)

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the node's status and its view of the other nodes."""
        return answer_json(self._status())

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        accepts = cherrypy.request.headers.get("Accept", "")
        body, headers = self._gateway.metrics.render([accepts])
        cherrypy.response.headers.update(headers)
        return body
