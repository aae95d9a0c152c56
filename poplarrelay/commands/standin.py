"""``poplarrelay stand-in``: small stand-ins for what surrounds the system."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import orjson
from cyclopts import App, Parameter

__all__ = ["standin_app"]

standin_app = App(
    name="stand-in", help="Run a stand-in for the platform or a back end."
)

Port = Annotated[int, Parameter(help="Port to listen on.")]


@standin_app.command
def log(
    *,
    port: Port,
    host: str = "127.0.0.1",
    retention_s: float = 86_400.0,
    appends_per_s: float = 400.0,
) -> None:
    """Run the log service's stand-in.

    Parameters
    ----------
    retention_s
        Seconds for which records are kept.
    appends_per_s
        Appends taken in a second.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.log import LogStandIn

    run_stand_in(host, port, LogStandIn(retention_s, appends_per_s))


@standin_app.command
def hosts(
    *, port: Port, listing: Path, host: str = "127.0.0.1", lag_s: float = 1.0
) -> None:
    """Run the host list's stand-in.

    Parameters
    ----------
    listing
        JSON file with the endpoints to begin with.
    lag_s
        Seconds until a change is told.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.platform import HostListStandIn

    rows = orjson.loads(listing.read_bytes())
    run_stand_in(host, port, HostListStandIn(rows, lag_s))


@standin_app.command
def cloud(*, port: Port, host: str = "127.0.0.1") -> None:
    """Run the cloud API's stand-in."""
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.platform import CloudStandIn

    run_stand_in(host, port, CloudStandIn())


@standin_app.command
def weights(*, port: Port, host: str = "127.0.0.1", loads_per_s: float = 2.0) -> None:
    """Run the weight store's stand-in."""
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.platform import WeightStoreStandIn

    run_stand_in(host, port, WeightStoreStandIn(loads_per_s))


@standin_app.command
def engine(
    *,
    port: Port,
    name: str,
    models: str,
    host: str = "127.0.0.1",
    slots: int = 8,
    step_s: float = 0.01,
    prefill_tokens_per_s: float = 20_000.0,
    cache_blocks: int = 2000,
    checks_fencing: bool = False,
) -> None:
    """Run a model engine's stand-in.

    Parameters
    ----------
    models
        Names, with commas between them.
    step_s
        Seconds between two tokens of a request.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.batching import BatchLimits
    from poplarrelay.standins.engine import EngineStandIn

    limits = BatchLimits(slots, step_s, prefill_tokens_per_s, cache_blocks)
    root = EngineStandIn(name, models.split(","), limits, checks_fencing)
    run_stand_in(host, port, root, threads=128)


@standin_app.command
def service(
    *,
    port: Port,
    name: str,
    host: str = "127.0.0.1",
    slots: int = 8,
    step_s: float = 0.005,
) -> None:
    """Run a plain service's stand-in.

    Parameters
    ----------
    step_s
        Seconds that a call takes.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.service import ServiceStandIn

    run_stand_in(host, port, ServiceStandIn(name, slots, step_s))
