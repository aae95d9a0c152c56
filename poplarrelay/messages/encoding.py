"""Convert rows to the messages that nodes exchange, and back."""

from __future__ import annotations

from base64 import b64decode, b64encode

from poplarrelay.identifiers import (
    DomainId,
    IdempotencyKey,
    Incarnation,
    NodeId,
    RequestId,
    TeamId,
)
from poplarrelay.messages.gossip import MemberRow, OutcomeMessage, RequestMessage
from poplarrelay.outcomes import (
    Answered,
    Continued,
    NotRun,
    NotRunReason,
    Outcome,
    ServiceAnswer,
    Unknown,
    UnknownReason,
    Usage,
)
from poplarrelay.tables.members import Member, MemberStatus
from poplarrelay.tables.requests import Request, RequestClass, Work, WorkKind

__all__ = [
    "decode_member",
    "decode_outcome",
    "decode_request",
    "decode_work",
    "encode_member",
    "encode_outcome",
    "encode_request",
]


def encode_outcome(outcome: Outcome) -> OutcomeMessage:
    """Return the message that encodes an outcome."""
    if isinstance(outcome, NotRun):
        return OutcomeMessage(
            tag="not_run",
            reason=outcome.reason.value,
            retry_after_s=outcome.retry_after_s,
        )
    if isinstance(outcome, Unknown):
        return OutcomeMessage(
            tag="unknown",
            reason=outcome.reason.value,
            retry_after_s=outcome.retry_after_s,
        )
    if isinstance(outcome, Continued):
        return OutcomeMessage(
            tag="unknown", reason=UnknownReason.NODE_LEAVING.value, retry_after_s=0.0
        )
    service, usage = outcome.service, outcome.usage
    return OutcomeMessage(
        tag="answered",
        tokens=outcome.tokens,
        status=0 if service is None else service.status,
        content_type="" if service is None else service.content_type,
        body="" if service is None else b64encode(service.body).decode(),
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        cached_tokens=usage.cached_tokens,
        recomputed_tokens=usage.recomputed_tokens,
    )


def decode_outcome(message: OutcomeMessage) -> Outcome:
    """Return the outcome that a message encodes.

    Examples
    --------
    >>> outcome = NotRun(NotRunReason.DEADLINE)
    >>> decode_outcome(encode_outcome(outcome)) == outcome
    True
    """
    if message.tag == "not_run":
        return NotRun(NotRunReason(message.reason), message.retry_after_s)
    if message.tag == "unknown":
        return Unknown(UnknownReason(message.reason), message.retry_after_s)
    service = None
    if message.status:
        body = b64decode(message.body)
        service = ServiceAnswer(message.status, message.content_type, body)
    usage = Usage(
        message.prompt_tokens,
        message.completion_tokens,
        message.cached_tokens,
        message.recomputed_tokens,
    )
    return Answered(message.tokens, service, usage)


def encode_request(
    request: Request, now: float, owner_clock: float = 0.0
) -> RequestMessage:
    """Return the message that encodes a request."""
    work = request.work
    outcome = request.outcome
    return RequestMessage(
        id=request.id,
        team=request.team,
        request_class=request.request_class.value,
        kind=work.kind.value,
        name=work.name,
        method=work.method,
        path=work.path,
        content_type=work.content_type,
        body=b64encode(work.body).decode(),
        prompt=work.prompt,
        max_tokens=work.max_tokens,
        prefix=work.prefix,
        prompt_tokens=work.prompt_tokens,
        repeatable=work.repeatable,
        fingerprint=work.fingerprint,
        key=request.key,
        remaining_s=request.deadline - now,
        age_s=now - request.arrived,
        home_clock=owner_clock,
        first_token_s=request.first_token_s,
        deferred=request.deferred,
        outcome=None if outcome is None else encode_outcome(outcome),
        copies=request.copies,
    )


def decode_work(message: RequestMessage) -> Work:
    """Return the work of the request that a message encodes."""
    return Work(
        kind=WorkKind(message.kind),
        name=message.name,
        method=message.method,
        path=message.path,
        content_type=message.content_type,
        body=b64decode(message.body),
        prompt=message.prompt,
        max_tokens=message.max_tokens,
        prompt_tokens=message.prompt_tokens,
        prefix=message.prefix,
        repeatable=message.repeatable,
        fingerprint=message.fingerprint,
    )


def decode_request(message: RequestMessage, now: float) -> Request:
    """Return the row of the request that a message encodes."""
    request = Request(
        id=RequestId(message.id),
        team=TeamId(message.team),
        work=decode_work(message),
        request_class=RequestClass(message.request_class),
        arrived=now - message.age_s,
        deadline=now + message.remaining_s,
        first_token_s=message.first_token_s,
        key=None if message.key is None else IdempotencyKey(message.key),
        deferred=message.deferred,
        copies=message.copies,
    )
    if message.outcome is not None:
        request.outcome = decode_outcome(message.outcome)
    return request


def encode_member(member: Member) -> MemberRow:
    """Return the message that encodes a member."""
    return MemberRow(
        node=member.node,
        incarnation=member.incarnation,
        generation=member.generation,
        version=member.version,
        status=member.status.value,
        domain=member.domain,
        callers=member.callers,
        peers=member.peers,
        ready=member.ready,
        epoch=member.epoch,
        clock=member.clock,
        configuration_next=member.configuration_next,
        successor=member.successor,
    )


def decode_member(row: MemberRow, now: float) -> Member:
    """Return the member that a message encodes."""
    return Member(
        node=NodeId(row.node),
        incarnation=Incarnation(row.incarnation),
        generation=row.generation,
        version=row.version,
        status=MemberStatus(row.status),
        domain=DomainId(row.domain),
        callers=row.callers,
        peers=row.peers,
        ready=row.ready,
        epoch=row.epoch,
        clock=row.clock,
        configuration_next=row.configuration_next,
        successor=None if row.successor is None else NodeId(row.successor),
        changed_at=now,
    )
