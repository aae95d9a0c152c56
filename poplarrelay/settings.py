"""Settings of a node, read from a JSON file and validated."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from poplarrelay.exception import FieldError, SettingsError

__all__ = [
    "CallersSettings",
    "LimitSettings",
    "ListenerSettings",
    "MovePolicy",
    "NodeSettings",
    "PlatformSettings",
    "RoutingPolicy",
    "StrictModel",
    "TimingSettings",
    "field_errors",
    "load_json_file",
]

ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$"


class StrictModel(BaseModel):
    """Base class of validated JSON models; unknown fields are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenerSettings(StrictModel):
    """One listener: an IP number, a port and a pool of threads."""

    host: str = Field(pattern=r"^[0-9a-fA-F.:]+$")
    port: int = Field(ge=0, le=65535)
    threads: int = Field(default=24, ge=2, le=1024)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class CallersSettings(ListenerSettings):
    """The callers' listener; each open stream occupies one of its threads."""

    threads: int = Field(default=220, ge=2, le=1024)


class PlatformSettings(StrictModel):
    """Addresses of the platform's services."""

    log: str = Field(pattern=ADDRESS_PATTERN)
    hosts: str = Field(pattern=ADDRESS_PATTERN)
    cloud: str = Field(pattern=ADDRESS_PATTERN)


class TimingSettings(StrictModel):
    """Intervals and timeouts, in seconds."""

    tick_s: float = Field(default=0.05, gt=0, le=1)
    probe_s: float = Field(default=0.6, gt=0)
    probe_timeout_s: float = Field(default=0.5, gt=0)
    suspicion_s: float = Field(default=1.5, gt=0)
    forget_dead_s: float = Field(default=600.0, gt=0)
    report_lag_s: float = Field(default=0.3, ge=0)
    load_poll_s: float = Field(default=0.5, gt=0)
    idle_poll_s: float = Field(default=3.0, gt=0)
    host_poll_s: float = Field(default=2.0, gt=0)
    log_wait_s: float = Field(default=2.0, gt=0)
    log_timeout_s: float = Field(default=1.0, gt=0)
    claim_wait_s: float = Field(default=2.0, gt=0)
    isolation_s: float = Field(default=3.0, gt=0)
    connect_timeout_s: float = Field(default=0.5, gt=0)
    progress_timeout_s: float = Field(default=2.0, gt=0)
    address_ttl_s: float = Field(default=5.0, gt=0)
    ticket_epoch_s: float = Field(default=60.0, gt=0)
    drain_s: float = Field(default=20.0, gt=0)
    lease_term_s: float = Field(default=9.0, gt=0)
    lease_margin_s: float = Field(default=3.0, gt=0)
    order_timeout_s: float = Field(default=1.0, gt=0)
    snapshot_s: float = Field(default=300.0, gt=0)


class MovePolicy(Enum):
    """How a node moves running requests off an endpoint that is leaving.

    CHEAPEST
        Finish the request, move its KV cache or recompute it, by the lowest cost.
    RECOMPUTE
        Always recompute; for engines that cannot export their cache.
    MOVE_CACHE
        Always move the cache.
    """

    CHEAPEST = "cheapest"
    RECOMPUTE = "recompute"
    MOVE_CACHE = "move-cache"


class RoutingPolicy(Enum):
    """How a node chooses an endpoint; all but the first are baselines for benchmarks.

    PREDICTED
        By predicted first-token time, price and cached prompt prefixes.
    """

    PREDICTED = "predicted"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED_LOAD = "least-reported-load"
    AFFINITY_ONLY = "affinity-only"


class LimitSettings(StrictModel):
    """Resource limits and policies of a node.

    Attributes
    ----------
    answers_kept, answers_kept_bytes : int
        Maximum number and bytes of the answers kept for retries under an idempotency
        key and for deferred requests. At the limit, the node refuses new keys and
        deferred requests.
    key_memory_s : float
        Seconds for which the node keeps the state of an idempotency key.
    watched_endpoints : int
        Maximum number of endpoints of one kind that this node uses.
    kv_tokens_per_s : float
        Rate at which cached tokens move between engines, in tokens per second.
    """

    max_body_bytes: int = Field(default=4_000_000, ge=1024)
    max_header_bytes: int = Field(default=32_768, ge=1024)
    answers_kept: int = Field(default=20_000, ge=1)
    answers_kept_bytes: int = Field(default=16_000_000, ge=1024)
    key_memory_s: float = Field(default=3600.0, gt=0)
    ticket_epochs: int = Field(default=10, ge=2)
    deferred_threads: int = Field(default=16, ge=1, le=256)
    max_attempts: int = Field(default=4, ge=1, le=20)
    watched_endpoints: int = Field(default=32, ge=1)
    move_policy: MovePolicy = MovePolicy.CHEAPEST
    routing_policy: RoutingPolicy = RoutingPolicy.PREDICTED
    kv_tokens_per_s: float = Field(default=50_000.0, gt=0)


class NodeSettings(StrictModel):
    """Settings of one node.

    Attributes
    ----------
    node : str
        The node's name, unique among the nodes.
    failure_domain : str
        The failure domain of the node's host.
    callers, peers : CallersSettings, ListenerSettings
        The callers' listener, and the one for peers, operators and metrics.
    seeds : tuple of str
        Peer addresses that the node contacts to join.
    operator_token_sha256 : str or None
        SHA-256 of the token that operators' changes must carry, None for no check.
    """

    node: str = Field(pattern=NAME_PATTERN)
    failure_domain: str = Field(pattern=NAME_PATTERN)
    callers: CallersSettings
    peers: ListenerSettings
    seeds: tuple[str, ...] = ()
    platform: PlatformSettings
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()
    operator_token_sha256: str | None = Field(default=None, pattern=r"^[0-9a-f]{64}$")
    log_level: str = Field(default="INFO", pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")

    @classmethod
    def from_file(cls, path: Path) -> NodeSettings:
        """Read and validate a settings file.

        Raises
        ------
        SettingsError
            If the file has faults; the error holds all of them.
        """
        return load_json_file(cls, path)


ModelT = TypeVar("ModelT", bound=BaseModel)


def field_errors(error: ValidationError) -> tuple[FieldError, ...]:
    """Return the faults of a validation error, without the faulty values.

    Files hold secrets and the faults are logged, so the values are left out.
    """
    return tuple(
        FieldError(".".join(str(part) for part in item["loc"]) or "(file)", item["msg"])
        for item in error.errors(include_url=False, include_input=False)
    )


def load_json_file(model: type[ModelT], path: Path) -> ModelT:
    """Read a JSON file into a validated model.

    Parameters
    ----------
    model : type of pydantic.BaseModel
        The schema.
    path : pathlib.Path
        The file.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not JSON, or has faults.
    """
    try:
        value = orjson.loads(path.read_bytes())
    except OSError as error:
        raise SettingsError(
            (FieldError(str(path), error.strerror or "unreadable"),)
        ) from None
    except orjson.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        raise SettingsError((FieldError(place, error.msg),)) from None
    try:
        return model.model_validate(value)
    except ValidationError as error:
        raise SettingsError(field_errors(error)) from None
