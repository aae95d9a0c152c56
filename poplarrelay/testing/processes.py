"""Run a site as separate processes over loopback.

This module is for tests, demonstrations and measurements only; nodes and stand-ins
start no processes. It ends only processes that it has started, by process id.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from poplarrelay.client import CallerClient
from poplarrelay.exception import PoplarrelayError
from poplarrelay.providers.http import CallFailed, JsonHttpClient
from poplarrelay.testing.site import (
    Site,
    SiteEndpoint,
    SiteNode,
    free_address,
    loopback_host,
    team_token,
)

__all__ = ["ConditionNotMet", "Process", "RunningSite", "run_site", "wait_until"]

#: Seconds within which a process must be ready after its start.
START_TIMEOUT_S = 30.0
#: Seconds within which a process must end after SIGTERM.
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
#: Offsets of the host numbers of endpoints and nodes. The platform's stand-ins have
#: lower numbers.
ENDPOINT_HOST_OFFSET, NODE_HOST_OFFSET = 20, 120


class ConditionNotMet(PoplarrelayError):
    """A condition has not become true in time, or cannot become true."""


def wait_until(
    condition: Callable[[], Any], timeout_s: float = START_TIMEOUT_S, what: str = ""
) -> Any:
    """Poll a condition until its value is true, and return that value.

    Raises
    ------
    ConditionNotMet
        If the value does not become true in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise ConditionNotMet(f"condition false for {timeout_s} s: {what or condition}")


@dataclass(slots=True)
class Process:
    """A started process.

    Attributes
    ----------
    address : str
        ``host:port`` that the process listens on.
    output : Path
        File that standard output and standard error are written to.
    """

    name: str
    address: str
    popen: subprocess.Popen[bytes]
    output: Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, as a reclaim or a crash does, and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Pause the process; its sockets stay open."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process."""
        self.signal(signal.SIGCONT)

    def end(self) -> int:
        """Stop the process with SIGTERM and return its exit code.

        A process that does not end within `STOP_TIMEOUT_S` is killed.
        """
        self.thaw()
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.wait()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines that the process has written so far."""
        lines = self.output.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


@dataclass(slots=True)
class RunningSite:
    """A site with running processes.

    Attributes
    ----------
    folder : Path
        Folder of the settings files and logs.
    nodes, endpoints, standins : dict of str to Process
        Processes by name; `standins` includes the endpoints.
    platform : dict of str to str
        Addresses of the platform's stand-ins, by kind.
    node_settings : dict of str to dict
        Settings of each node, by the name of the node.
    settings_changes : dict
        Values that replace settings of every node.
    command : tuple of str
        Command that runs poplarrelay.
    """

    site: Site
    folder: Path
    http_client: JsonHttpClient
    nodes: dict[str, Process] = field(default_factory=dict)
    endpoints: dict[str, Process] = field(default_factory=dict)
    standins: dict[str, Process] = field(default_factory=dict)
    platform: dict[str, str] = field(default_factory=dict)
    node_settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    settings_changes: dict[str, Any] = field(default_factory=dict)
    command: tuple[str, ...] = (sys.executable, "-m", "poplarrelay")

    # -- starting ----------------------------------------------------------

    def _start(self, name: str, address: str, arguments: list[str]) -> Process:
        output = self.folder / f"{name}.log"
        with output.open("ab") as stream:
            popen = subprocess.Popen(
                [*self.command, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return Process(name, address, popen, output)

    def start_standin(
        self, name: str, kind: str, address: str, options: list[str]
    ) -> Process:
        """Start a stand-in."""
        host, port = address.split(":")
        arguments = ["stand-in", kind, "--host", host, "--port", port, *options]
        process = self._start(name, address, arguments)
        self.standins[name] = process
        return process

    def start_endpoint(self, endpoint: SiteEndpoint, address: str) -> Process:
        """Start an endpoint's stand-in."""
        options = ["--name", endpoint.name, "--slots", str(endpoint.slots)]
        options += ["--step-s", str(endpoint.step_s)]
        if endpoint.kind == "engine":
            options += ["--models", ",".join(endpoint.names)]
            options += ["--prefill-tokens-per-s", str(endpoint.prefill_tokens_per_s)]
            options += ["--cache-blocks", str(endpoint.cache_blocks)]
            if endpoint.checks_fencing:
                options.append("--checks-fencing")
        process = self.start_standin(endpoint.name, endpoint.kind, address, options)
        self.endpoints[endpoint.name] = process
        return process

    def start_node(self, name: str) -> Process:
        """Start a node, or restart it after it has ended."""
        settings = self.node_settings[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        callers = settings["callers"]
        address = f"{callers['host']}:{callers['port']}"
        process = self._start(name, address, ["node", "--settings", str(path)])
        self.nodes[name] = process
        return process

    # -- requests ----------------------------------------------------------

    def peers_address(self, node: str) -> str:
        """Return the address of a node's listener for peers."""
        peers = self.node_settings[node]["peers"]
        return f"{peers['host']}:{peers['port']}"

    def get(self, address: str, path: str) -> Any:
        """Return the JSON at a path, None if the call fails or is rejected."""
        try:
            reply = self.http_client.call("GET", address, path)
        except CallFailed:
            return None
        return reply.value if reply.ok else None

    def put(self, address: str, path: str, value: Any) -> None:
        """Put JSON at a path."""
        self.http_client.call("PUT", address, path, value, timeout_s=5.0)

    def post(self, address: str, path: str, value: Any) -> Any:
        """Post JSON to a path and return the JSON of the response."""
        return self.http_client.call("POST", address, path, value, timeout_s=15.0).value

    def faults(self, name: str, **faults: Any) -> None:
        """Replace all faults of a stand-in."""
        self.put(self.standins[name].address, "/faults", faults)

    def status(self, node: str) -> dict[str, Any] | None:
        """Return a node's status, None if the node does not report it."""
        return self.get(self.peers_address(node), "/status")

    def ready(self, node: str) -> bool:
        """Return whether a node is ready for requests."""
        status = self.status(node)
        return bool(status and status["ready"])

    def publish(self, node: str, subject: str, body: Any) -> Any:
        """Publish a configuration change through a node."""
        path = "/operator/configuration"
        value = {"subject": subject, "body": body}
        return self.post(self.peers_address(node), path, value)

    def replay_target(self) -> dict[str, Any]:
        """Return a target file's content for ``poplarrelay replay``."""
        return {
            "callers": [process.address for process in self.nodes.values()],
            "peers": [self.peers_address(name) for name in self.nodes],
            "tokens": {
                deployment.team: team_token(deployment.team)
                for deployment in self.site.configuration.deployments
            },
            "cloud": self.platform["cloud"],
            "log": self.platform["log"],
            "hosts": self.platform["hosts"],
            "endpoints": {n: p.address for n, p in self.endpoints.items()},
        }

    def client(self, team: str, seed: int = 1) -> CallerClient:
        """Return a client that calls the nodes with the token of a team."""
        addresses = tuple(process.address for process in self.nodes.values())
        return CallerClient(addresses, team_token(team), seed)

    def notice(self, remaining_s: float, **target: str) -> None:
        """Make the cloud send a reclaim notice for an endpoint or a failure domain."""
        value = {"remaining_s": remaining_s, **target}
        self.post(self.platform["cloud"], "/notices", value)

    def delist(self, endpoint: str) -> None:
        """Remove an endpoint from the host list."""
        self.http_client.call("DELETE", self.platform["hosts"], f"/hosts/{endpoint}")

    def runs(self) -> dict[str, int]:
        """Return how often each call ran, summed over the services that respond."""
        run_counts: dict[str, int] = {}
        for endpoint in self.site.endpoints:
            if endpoint.kind != "service":
                continue
            reply = self.get(self.endpoints[endpoint.name].address, "/runs")
            for name, times in (reply or {"runs": {}})["runs"].items():
                run_counts[name] = run_counts.get(name, 0) + times
        return run_counts

    # -- lifecycle ---------------------------------------------------------

    def wait_ready(self) -> None:
        """Wait until every node lists all other nodes and all endpoints."""
        for name, process in self.nodes.items():
            try:
                wait_until(partial(self._has_all_rows, name), what=f"{name} ready")
            except ConditionNotMet as error:
                # Without the log, a slow start and a failed start look the same.
                log_end = process.output.read_text(errors="replace")[-2000:]
                status = self.status(name)
                raise ConditionNotMet(
                    f"{error}; status {status}; log: {log_end}"
                ) from error

    def _has_all_rows(self, node: str) -> bool:
        process = self.nodes[node]
        if process.popen.poll() is not None:
            raise ConditionNotMet(
                f"{node} has ended; log: {process.output.read_text()[-2000:]}"
            )
        status = self.status(node)
        if not status or not status["ready"]:
            return False
        alive_members = [
            m for m in status["members"].values() if m["status"] == "alive"
        ]
        all_alive = len(alive_members) == len(self.nodes) - 1
        return all_alive and len(status["endpoints"]) == len(self.endpoints)

    def publish_all(self) -> None:
        """Publish the site's configuration through the first node."""
        node = next(iter(self.nodes))
        configuration = self.site.configuration
        for template in configuration.templates:
            subject = f"template/{template.name}"
            self._publish(node, subject, template.model_dump(mode="json"))
        for deployment in configuration.deployments:
            subject = f"deployment/{deployment.team}"
            self._publish(node, subject, deployment.model_dump(mode="json"))

    def _publish(self, node: str, subject: str, body: Any) -> None:
        def accepted() -> bool:
            reply = self.publish(node, subject, body)
            if reply.get("status") in (409, 422):
                raise ConditionNotMet(f"{subject} rejected: {reply}")
            return bool(reply.get("status") == "accepted")

        wait_until(accepted, what=subject)

    def stop(self) -> None:
        """Kill all processes, and wait until they have ended."""
        processes = [*self.nodes.values(), *self.standins.values()]
        for process in processes:
            process.thaw()
            process.signal(signal.SIGKILL)
        for process in processes:
            process.popen.wait()


def _host_records(site: Site, addresses: dict[str, str]) -> list[dict[str, Any]]:
    return [
        {
            "endpoint": endpoint.name,
            "kind": endpoint.kind,
            "address": addresses[endpoint.name],
            "failure_domain": endpoint.failure_domain,
            "names": list(endpoint.names),
            "price": endpoint.price,
            "reclaimable": endpoint.reclaimable,
            "checks_fencing": endpoint.checks_fencing,
            "state": "live",
        }
        for endpoint in site.endpoints
    ]


def _node_settings(
    running: RunningSite, node: SiteNode, host: str, seeds: list[str], peers: str
) -> dict[str, Any]:
    callers_host, callers_port = free_address(host).split(":")
    peers_host, peers_port = peers.split(":")
    settings: dict[str, Any] = {
        "node": node.name,
        "failure_domain": node.failure_domain,
        "callers": {"host": callers_host, "port": int(callers_port), "threads": 64},
        "peers": {"host": peers_host, "port": int(peers_port), "threads": 16},
        "seeds": [seed for seed in seeds if seed != peers],
        "platform": {
            name: running.platform[name] for name in ("log", "hosts", "cloud")
        },
    }
    for name, change in running.settings_changes.items():
        if isinstance(change, dict):
            settings[name] = {**settings.get(name, {}), **change}
        else:
            settings[name] = change
    return settings


def _start_platform(running: RunningSite, log_options: list[str]) -> None:
    site = running.site
    hosts = {
        name: loopback_host(i)
        for i, name in enumerate(("log", "hosts", "cloud", "weights"), 1)
    }
    running.platform = {name: free_address(host) for name, host in hosts.items()}
    addresses = {
        endpoint.name: free_address(loopback_host(ENDPOINT_HOST_OFFSET + index))
        for index, endpoint in enumerate(site.endpoints, 1)
    }
    listing = running.folder / "hosts.json"
    listing.write_text(json.dumps(_host_records(site, addresses)))
    start = running.start_standin
    start("log", "log", running.platform["log"], log_options)
    start("cloud", "cloud", running.platform["cloud"], [])
    start("weights", "weights", running.platform["weights"], [])
    start("hosts", "hosts", running.platform["hosts"], ["--listing", str(listing)])
    for endpoint in site.endpoints:
        running.start_endpoint(endpoint, addresses[endpoint.name])


def _start_nodes(running: RunningSite) -> None:
    count = len(running.site.nodes)
    hosts = [loopback_host(NODE_HOST_OFFSET + index) for index in range(1, count + 1)]
    peers = [free_address(host) for host in hosts]
    for node, host, peers_address in zip(running.site.nodes, hosts, peers, strict=True):
        running.node_settings[node.name] = _node_settings(
            running, node, host, peers[:3], peers_address
        )
    for node in running.site.nodes:
        running.start_node(node.name)


@contextlib.contextmanager
def run_site(
    site: Site,
    settings: dict[str, Any] | None = None,
    log_options: list[str] | None = None,
    command: tuple[str, ...] | None = None,
    nodes: bool = True,
) -> Iterator[RunningSite]:
    """Run a site, and end all its processes on exit.

    Parameters
    ----------
    site : Site
        Nodes, endpoints and configuration to start.
    settings : dict or None
        Values that replace settings of every node.
    log_options : list of str or None
        Command-line options of the log's stand-in.
    command : tuple of str or None
        Command that runs poplarrelay; None for a module of this interpreter.
    nodes : bool
        Whether to start the nodes, publish the configuration, and wait until all nodes
        are ready.
    """
    with tempfile.TemporaryDirectory(prefix="poplarrelay-") as folder:
        running = RunningSite(site, Path(folder), JsonHttpClient(1.0))
        running.settings_changes = settings or {}
        if command is not None:
            running.command = command
        try:
            _start_platform(running, log_options or [])
            if nodes:
                _start_nodes(running)
                for name in running.nodes:
                    wait_until(partial(running.ready, name), what=name)
                running.publish_all()
                running.wait_ready()
            yield running
        finally:
            running.stop()
