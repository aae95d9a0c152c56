"""Decoding of the records that operators and endpoints write to the platform's store.

Only this module handles the records' formats; other modules use the decoded types.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
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


def _number(
    raw: dict[str, Any], name: str, default: float | None = None, low: float = 0.0
) -> float:
    """Return a field that is a number, or the default if it is absent or null."""
    value = raw.get(name)
    if value is None:
        if default is None:
            raise LookupError(f"{name} is missing")
        return default
    if type(value) not in (int, float):
        raise TypeError(f"{name}: {value!r} is not a number")
    if not low <= value < inf:
        raise ValueError(f"{name}: {value!r} is not a number from {low} up")
    return float(value)


def _count(
    raw: dict[str, Any], name: str, default: int | None = None, low: int = 0
) -> int:
    """Return a field that is a whole number, or the default if absent or null."""
    value = float(_number(raw, name, default, low))
    if not value.is_integer():
        raise ValueError(f"{name}: {value!r} is not a whole number")
    return int(value)


def _flag(raw: dict[str, Any], name: str) -> bool:
    """Return a field that is true or false; false if it is absent or null."""
    value = raw.get(name)
    if value is not None and type(value) is not bool:
        raise TypeError(f"{name}: {value!r} is neither true nor false")
    return bool(value)


def _text(raw: dict[str, Any], name: str) -> str:
    """Return a field that is a text."""
    value = raw[name]
    if type(value) is not str:
        raise TypeError(f"{name}: {value!r} is not a text")
    return value


def _list(raw: dict[str, Any], name: str) -> list[Any]:
    """Return a field that is a list; an empty one if it is absent or null."""
    value = raw.get(name)
    if value is not None and type(value) is not list:
        raise TypeError(f"{name}: {value!r} is not a list")
    return value or []


def _route(raw: dict[str, Any]) -> Route:
    # A route has either one service or a list of weighted "backends".
    shares = tuple(
        ServiceShare(ServiceName(_text(entry, "service")), _number(entry, "weight", 1))
        for entry in _list(raw, "backends") or [{"service": raw["service"]}]
    )
    timeout_ms = _number(raw, "timeoutMs", 30_000)
    return Route(
        name=raw["name"],
        host=_text(raw, "host").lower(),
        prefix=_text(raw, "pathPrefix"),
        kind=_ROUTE_KINDS.get(raw.get("routeType") or "", RouteKind.NON_IDEMPOTENT),
        timeout_s=timeout_ms / 1000,
        target_s=_number(raw, "targetLatencyMs", timeout_ms) / 1000,
        priority=_count(raw, "priority", 0),
        shares=shares,
        max_attempts=max(1, _count(raw, "maxAttempts", 1)),
        anonymous=_flag(raw, "anonymous"),
        affinity=_flag(raw, "sticky"),
        resumable=_flag(raw, "resumable"),
    )


def _service(raw: dict[str, Any]) -> Service:
    engine = raw.get("backend")
    scaling = raw.get("scaling")
    return Service(
        name=ServiceName(_text(raw, "name")),
        max_connections=_count(raw, "maxConnections", 0) or 1_000_000,
        engine=EngineLimits(
            _count(engine, "slots", low=1), _count(engine, "kvCapacity", 0)
        )
        if engine
        else None,
        scaling=_scaling(scaling) if scaling else None,
    )


def _scaling(raw: dict[str, Any]) -> ScalingLimits:
    prices = raw.get("zonePrices") or {}
    return ScalingLimits(
        min_endpoints=_count(raw, "min"),
        max_endpoints=_count(raw, "max"),
        boot_s=_number(raw, "bootS", 0),
        reclaimable_price=_number(raw, "spotPrice", 1),
        domain_prices={DomainId(name): _number(prices, name, 1) for name in prices},
    )


def _team(raw: dict[str, Any]) -> Team:
    rate = _number(raw, "ratePerS", 0)
    quota = None
    if rate > 0:
        quota = Quota(
            per_s=rate,
            burst=_number(raw, "burst", 0),
            in_tokens=raw.get("unit") == "token",
            default_cost=_number(raw, "uncachedTokens", 0) or 1.0,
        )
    keys = _list(raw, "apiKeys")
    if not all(type(key) is str and key for key in keys):
        raise TypeError("apiKeys: a key is not a text")
    return Team(
        name=TeamId(_text(raw, "name")),
        keys=frozenset(keys),
        priority=None if raw.get("priority") is None else _count(raw, "priority", 0),
        quota=quota,
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_ms = _number(raw, "headerTimeoutMs", 1000 * default.header_timeout_s)
    idle_ms = _number(raw, "idleTimeoutMs", 1000 * default.idle_timeout_s)
    return CallerLimits(
        max_header_bytes=_count(raw, "maxHeaderBytes", default.max_header_bytes),
        max_body_bytes=_count(raw, "maxBodyBytes", default.max_body_bytes),
        header_timeout_s=header_ms / 1000,
        idle_timeout_s=idle_ms / 1000,
    )


def _teams(raw: dict[str, Any]) -> tuple[Team, ...] | None:
    """Return the teams, None if the configuration does not speak of any."""
    if raw.get("tenants") is None:
        return None
    return tuple(_team(team) for team in _list(raw, "tenants"))


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
            tuple(_route(route) for route in _list(raw, "routes")),
            tuple(_service(service) for service in _list(raw, "services")),
            _teams(raw),
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
