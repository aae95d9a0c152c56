"""Decoding of the records that operators and endpoints write to the platform's store.

Only this module handles the records' formats; other modules use the decoded types.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from poplarrelay.entry.configuration import (
    CallerLimits,
    Configuration,
    ConfigurationVersion,
    EngineLimits,
    Quota,
    Route,
    RouteKind,
    ScalingLimits,
    Service,
    ServiceName,
    ServiceShare,
    Team,
)
from poplarrelay.entry.rollouts.records import RolloutOrder, RolloutState
from poplarrelay.exception import PlatformRecordMalformed
from poplarrelay.identifiers import (
    DomainId,
    EndpointId,
    Offset,
    SoftwareVersion,
    StartTime,
    TeamId,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "ENDPOINTS_TOPIC",
    "STATUS_TOPIC",
    "EndpointRecord",
    "decode_configuration",
    "decode_endpoint",
    "decode_rollout_order",
    "decode_rollout_status",
    "encode_rollout_status",
    "rollout_key",
    "rollout_service",
]

#: Topic in which the newest record with the key `CONFIGURATION_KEY` is the
#: configuration.
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
#: Prefix of the keys of roll-out orders, in the same topic, and of roll-out states in
#: `STATUS_TOPIC`; the name of the service follows.
ROLLOUT_PREFIX = "rollout/"
STATUS_TOPIC = "keyed.status"
#: Topic with the record of every endpoint; the key is the endpoint's id.
ENDPOINTS_TOPIC = "keyed.servers"

#: Longest duration of a roll-out in seconds. A larger one is taken for a mistake.
MAX_ROLLOUT_S = 30 * 86_400.0
#: Largest number of slots that an endpoint can state, far above that of any real
#: endpoint. An endpoint with a larger number, in a record from a foreign writer, would
#: attract all requests.
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Decoded record of an endpoint about itself.

    Attributes
    ----------
    leaving : bool
        Whether the endpoint accepts no new work.
    reclaimable : bool
        Whether the platform can reclaim the endpoint on short notice.
    version : SoftwareVersion
        Version of the endpoint's software.
    cold_s : float
        Seconds for which the endpoint is still slow after its start.
    started_ms : StartTime or None
        Start time of this run by the endpoint's own clock, None if not stated. An
        endpoint can restart under the same id, without any state of its former run.
    leaves_in_s : float or None
        Seconds until the endpoint ends, None if not known. The value is lower in every
        later record, so records are compared without it.
    """

    endpoint: EndpointId
    service: ServiceName
    host: str
    port: int
    domain: DomainId
    slots: int
    leaving: bool
    reclaimable: bool
    version: SoftwareVersion
    started_ms: StartTime | None
    leaves_in_s: float | None = field(compare=False)
    cold_s: float = field(default=0.0, compare=False)


def _route(raw: dict[str, Any]) -> Route:
    # A route has either one service or a list of weighted "backends".
    shares = tuple(
        ServiceShare(ServiceName(entry["service"]), float(entry.get("weight", 1)))
        for entry in raw.get("backends") or [{"service": raw["service"]}]
    )
    timeout_s = raw.get("timeoutMs", 30_000) / 1000
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["pathPrefix"],
        kind=_ROUTE_KINDS.get(raw.get("routeType", ""), RouteKind.NON_IDEMPOTENT),
        timeout_s=timeout_s,
        target_s=raw.get("targetLatencyMs", 1000 * timeout_s) / 1000,
        priority=int(raw.get("priority", 0)),
        shares=shares,
        max_attempts=max(1, int(raw.get("maxAttempts", 1))),
        anonymous=bool(raw.get("anonymous", False)),
        affinity=bool(raw.get("sticky", False)),
        resumable=bool(raw.get("resumable", False)),
    )


def _service(raw: dict[str, Any]) -> Service:
    engine = raw.get("backend")
    scaling = raw.get("scaling")
    return Service(
        name=ServiceName(raw["name"]),
        max_connections=int(raw.get("maxConnections", 0)) or 1_000_000,
        engine=EngineLimits(int(engine["slots"]), int(engine.get("kvCapacity", 0)))
        if engine
        else None,
        scaling=ScalingLimits(
            min_endpoints=int(scaling["min"]),
            max_endpoints=int(scaling["max"]),
            boot_s=float(scaling.get("bootS", 0)),
            reclaimable_price=float(scaling.get("spotPrice", 1)),
            domain_prices={
                DomainId(name): float(price)
                for name, price in scaling.get("zonePrices", {}).items()
            },
        )
        if scaling
        else None,
    )


def _team(raw: dict[str, Any]) -> Team:
    rate = float(raw.get("ratePerS") or 0)
    quota = None
    if rate > 0:
        quota = Quota(
            per_s=rate,
            burst=float(raw.get("burst") or 0),
            in_tokens=raw.get("unit") == "token",
            default_cost=float(raw.get("uncachedTokens") or 1),
        )
    priority = raw.get("priority")
    return Team(
        name=TeamId(raw["name"]),
        keys=frozenset(raw.get("apiKeys", ())),
        priority=None if priority is None else int(priority),
        quota=quota,
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(raw.get("maxHeaderBytes", default.max_header_bytes)),
        max_body_bytes=int(raw.get("maxBodyBytes", default.max_body_bytes)),
        header_timeout_s=raw.get("headerTimeoutMs", 1000 * default.header_timeout_s)
        / 1000,
        idle_timeout_s=raw.get("idleTimeoutMs", 1000 * default.idle_timeout_s) / 1000,
    )


def decode_configuration(content: bytes) -> Configuration:
    """Decode a record of the configuration.

    Raises
    ------
    PlatformRecordMalformed
        If a required field is missing, or a value is invalid.
    """
    try:
        raw = orjson.loads(content)
        if type(raw["version"]) is not int:
            raise TypeError("version is not an integer")
        return Configuration.from_parts(
            ConfigurationVersion(raw["version"]),
            tuple(_route(route) for route in raw.get("routes", ())),
            tuple(_service(service) for service in raw.get("services", ())),
            tuple(_team(team) for team in raw.get("tenants") or ()),
            _limits(raw.get("limits") or {}),
        )
    except (
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        ArithmeticError,
    ) as error:
        raise PlatformRecordMalformed("configuration", repr(error)) from error


def _first_fault(error: ValidationError) -> str:
    """Return the first faulty field of a record and what is wrong with it."""
    first = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(map(str, first["loc"])) or "record"
    return f"{location}: {first['msg']}"


class _EndpointModel(BaseModel):
    """Required format of an endpoint's record."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    service: str = Field(min_length=1)
    address: str = Field(pattern=r"^[^:]+:[1-9][0-9]{0,4}$")
    zone: str
    version: str
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    # Milliseconds for which the endpoint is still slow after its start.
    cold_ms: float = Field(alias="coldRemainingMs", ge=0, allow_inf_nan=False)
    sequence: int = Field(ge=0)
    preemptible: bool = False
    leaves_ms: float | None = Field(default=None, ge=0, allow_inf_nan=False)
    born: int | None = Field(default=None, ge=0)


def decode_endpoint(endpoint: EndpointId, content: bytes) -> EndpointRecord:
    """Decode an endpoint's record.

    Raises
    ------
    PlatformRecordMalformed
        If the record does not have the format that endpoints write.

    Notes
    -----
    Missing fields get no defaults. When they did, a record without a state meant an
    endpoint that is ready for work, and callers got failures from the process at its
    address.
    """
    try:
        raw = _EndpointModel.model_validate_json(content)
    except ValidationError as error:
        why = _first_fault(error)
        raise PlatformRecordMalformed(f"endpoint {endpoint}", why) from error
    host, _, port = raw.address.rpartition(":")
    if int(port) > MAX_PORT:
        raise PlatformRecordMalformed(
            f"endpoint {endpoint}", f"address: port out of range: {port}"
        )
    return EndpointRecord(
        endpoint=endpoint,
        service=ServiceName(raw.service),
        host=host,
        port=int(port),
        domain=DomainId(raw.zone),
        slots=raw.slots,
        leaving=raw.state == "draining",
        reclaimable=raw.preemptible,
        version=SoftwareVersion(raw.version),
        started_ms=None if raw.born is None else StartTime(raw.born),
        leaves_in_s=None if raw.leaves_ms is None else raw.leaves_ms / 1000,
        cold_s=raw.cold_ms / 1000,
    )


class _RolloutModel(BaseModel):
    """Required format of a roll-out order."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    service: str = Field(min_length=1)
    target: str = Field(min_length=1)
    duration_s: float = Field(
        alias="durationS", gt=0, le=MAX_ROLLOUT_S, allow_inf_nan=False
    )


def rollout_key(service: ServiceName) -> str:
    """Return the key of a service's roll-out order and of its roll-out state."""
    return f"{ROLLOUT_PREFIX}{service}"


def rollout_service(key: str) -> ServiceName | None:
    """Return the service of a roll-out order's key, None for any other key."""
    if not key.startswith(ROLLOUT_PREFIX):
        return None
    return ServiceName(key.removeprefix(ROLLOUT_PREFIX))


def decode_rollout_order(
    service: ServiceName, content: bytes, offset: Offset
) -> RolloutOrder:
    """Decode the order to move a service to another version.

    Raises
    ------
    PlatformRecordMalformed
        If the record does not have the format that operators write, or names another
        service than its key.
    """
    place = f"roll-out of {service}"
    try:
        raw = _RolloutModel.model_validate_json(content)
    except ValidationError as error:
        raise PlatformRecordMalformed(place, _first_fault(error)) from error
    if raw.service != service:
        raise PlatformRecordMalformed(place, f"service: names {raw.service}")
    return RolloutOrder(service, SoftwareVersion(raw.target), raw.duration_s, offset)


def encode_rollout_status(state: RolloutState, target: SoftwareVersion) -> bytes:
    """Encode the state of a roll-out, which operators read."""
    return orjson.dumps({"state": state.value, "target": target})


def decode_rollout_status(
    service: ServiceName, content: bytes
) -> tuple[SoftwareVersion, RolloutState]:
    """Decode the state of a roll-out, with the target version.

    Raises
    ------
    PlatformRecordMalformed
        If the record has another format.
    """
    try:
        raw = orjson.loads(content)
        return SoftwareVersion(str(raw["target"])), RolloutState(raw["state"])
    except (ValueError, LookupError, TypeError) as error:
        place = f"state of the roll-out of {service}"
        raise PlatformRecordMalformed(place, repr(error)) from error
