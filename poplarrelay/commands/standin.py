"""``poplarrelay stand-in``: run stand-ins for the platform's services and back ends."""

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
    """Run a stand-in for the log service.

    Parameters
    ----------
    retention_s
        Time for which records are kept, in seconds.
    appends_per_s
        Most appends that are accepted per second.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.log import LogStandIn

    run_stand_in(host, port, LogStandIn(retention_s, appends_per_s))


@standin_app.command
def hosts(
    *, port: Port, listing: Path, host: str = "127.0.0.1", lag_s: float = 1.0
) -> None:
    """Run a stand-in for the host list.

    Parameters
    ----------
    listing
        JSON file with the initial endpoints.
    lag_s
        Delay until the list shows a change, in seconds.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.platform import HostListStandIn

    rows = orjson.loads(listing.read_bytes())
    run_stand_in(host, port, HostListStandIn(rows, lag_s))


@standin_app.command
def cloud(*, port: Port, host: str = "127.0.0.1") -> None:
    """Run a stand-in for the cloud API."""
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.platform import CloudStandIn

    run_stand_in(host, port, CloudStandIn())


@standin_app.command
def weights(*, port: Port, host: str = "127.0.0.1", loads_per_s: float = 2.0) -> None:
    """Run a stand-in for the store of model weights."""
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
    """Run a stand-in for a model engine.

    Parameters
    ----------
    models
        Names of the models, separated by commas.
    step_s
        Time between two tokens of a request, in seconds.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.batching import BatchLimits
    from poplarrelay.standins.engine import EngineStandIn

    limits = BatchLimits(slots, step_s, prefill_tokens_per_s, cache_blocks)
    stand_in = EngineStandIn(name, models.split(","), limits, checks_fencing)
    run_stand_in(host, port, stand_in, threads=128)


@standin_app.command
def service(
    *,
    port: Port,
    name: str,
    host: str = "127.0.0.1",
    slots: int = 8,
    step_s: float = 0.005,
) -> None:
    """Run a stand-in for a service.

    Parameters
    ----------
    step_s
        Duration of a call, in seconds.
    """
    from poplarrelay.standins.base import run_stand_in
    from poplarrelay.standins.service import ServiceStandIn

    run_stand_in(host, port, ServiceStandIn(name, slots, step_s))
