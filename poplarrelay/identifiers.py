"""Identifiers of the entities that the tables hold."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "AttemptId",
    "DomainId",
    "EndpointId",
    "EndpointRun",
    "IdempotencyKey",
    "Incarnation",
    "NodeId",
    "Offset",
    "RecordId",
    "RequestFingerprint",
    "RequestId",
    "StartTime",
    "StreamName",
    "TeamId",
]

#: A node's name, fixed by its settings and kept over restarts.
NodeId = NewType("NodeId", str)
#: One run of a node's process. A restart is a new incarnation.
Incarnation = NewType("Incarnation", str)
#: A model engine (runner) or a plain service.
EndpointId = NewType("EndpointId", str)
#: Start of a run of an endpoint in ms since 1970, by the endpoint's clock. Together
#: with the endpoint's id it names the run; a later one replaces the run before it.
StartTime = NewType("StartTime", int)
#: Digest of an endpoint's id and start.
EndpointRun = NewType("EndpointRun", str)
#: A failure domain.
DomainId = NewType("DomainId", str)
#: A team, the unit of isolation between callers.
TeamId = NewType("TeamId", str)
#: A request, unique over all incarnations of all nodes.
RequestId = NewType("RequestId", str)
#: Digest of a request's caller and content. Unlike the request id, it stays the same
#: when the caller retries.
RequestFingerprint = NewType("RequestFingerprint", str)
#: One attempt to run a request at an endpoint.
AttemptId = NewType("AttemptId", str)
#: A record of the log, chosen by its writer.
RecordId = NewType("RecordId", str)
#: A stream of the platform's log service.
StreamName = NewType("StreamName", str)
#: A record's position in its stream, counted from 0.
Offset = NewType("Offset", int)
#: The value of a caller's ``Idempotency-Key`` header.
IdempotencyKey = NewType("IdempotencyKey", str)
