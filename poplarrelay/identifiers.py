"""Types of the identifiers that the tables use."""

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
    "SoftwareVersion",
    "StartTime",
    "StoreEra",
    "StreamName",
    "TeamId",
]

#: Name of a node. It comes from the node's settings, so a restart does not change it.
NodeId = NewType("NodeId", str)
#: One run of a node's process. A restart creates a new incarnation.
Incarnation = NewType("Incarnation", str)
#: Identifier of a model engine (runner) or a plain service.
EndpointId = NewType("EndpointId", str)
#: Time at which an endpoint's run started, in ms since 1970 by the endpoint's clock.
#: The endpoint id and this time identify the run. A run with a later start time
#: replaces the earlier run.
StartTime = NewType("StartTime", int)
#: Version of the software that an endpoint runs.
SoftwareVersion = NewType("SoftwareVersion", str)
#: Digest of a team and of the try that began one of its streams.
StreamKey = NewType("StreamKey", str)
#: Digest of a service, a model and a shared part of a prompt.
PartKey = NewType("PartKey", str)
#: Digest of an endpoint id and a start time.
EndpointRun = NewType("EndpointRun", str)
#: Name of a failure domain.
DomainId = NewType("DomainId", str)
#: Name of a team, the unit of isolation between callers.
TeamId = NewType("TeamId", str)
#: Identifier of a request, unique over all incarnations of all nodes.
RequestId = NewType("RequestId", str)
#: Digest of a request's caller and content. Unlike the request id, it does not change
#: when the caller retries.
RequestFingerprint = NewType("RequestFingerprint", str)
#: Identifier of one attempt to run a request at an endpoint.
AttemptId = NewType("AttemptId", str)
#: Identifier of a log record, chosen by the record's writer.
RecordId = NewType("RecordId", str)
#: Name of a stream of the platform's log service.
StreamName = NewType("StreamName", str)
#: Position of a record in its stream, counted from 0.
Offset = NewType("Offset", int)
#: Number of times that the platform's store was restored from an older copy. Offsets
#: of different eras cannot be compared.
StoreEra = NewType("StoreEra", int)
#: Value of a caller's ``Idempotency-Key`` header.
IdempotencyKey = NewType("IdempotencyKey", str)
