"""Entry nodes and stand-ins of the platform that run in one event loop, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.http.connection import (
    CompleteResponse,
    Connection,
    Headers,
    ResponseHead,
)
from poplarrelay.entry.process import EntryNode
from poplarrelay.entry.settings import EntrySettings, parse_address
from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.standins.users.store import (
    Outage,
    StoreCopy,
    StoreListener,
    StoreStandIn,
)
from poplarrelay.testing.links import Link, PathFault
from poplarrelay.testing.site import free_address, loopback_host

__all__ = [
    "CALLS",
    "DEADLINE_S",
    "HOST",
    "KEY",
    "STREAMS",
    "EntryProcess",
    "EntrySite",
    "entry_configuration",
    "hosts",
    "poll_until",
    "resolve_hosts",
    "run_entry_site",
    "run_scenario",
    "wait_until_resolved",
]

HOST = "desk.example"
KEY = "key-of-alpha"
#: Services of the example configuration: one for plain calls and one for streams.
CALLS, STREAMS = "desk", "drafts"
#: Deadline of a caller's request in seconds, unless a test states another one.
DEADLINE_S = 5.0
#: Seconds within which a condition must become true.
CONDITION_TIMEOUT_S = 12.0
#: Seconds within which nodes must detect the start or the end of another node.
RESOLVE_TIMEOUT_S = 15.0

_UNIQUE_NUMBERS = count(1)


def entry_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return an example configuration in the form that an operator writes.

    Parameters
    ----------
    version : int
        Version number of the configuration.
    **changes
        Values that replace top-level fields of the example.
    """
    call_route = {
        "host": HOST,
        "service": CALLS,
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
    }
    stream_route = {
        "host": HOST,
        "service": STREAMS,
        "routeType": "streaming",
        "timeoutMs": 6000,
        "targetLatencyMs": 500,
        "sticky": True,
    }
    value = {
        "version": version,
        "routes": [
            {
                **call_route,
                "name": "book",
                "pathPrefix": "/book/",
                "routeType": "non_idempotent",
                "maxAttempts": 1,
            },
            {
                **call_route,
                "name": "pay",
                "pathPrefix": "/pay/",
                "routeType": "non_idempotent",
                "maxAttempts": 2,
            },
            {
                **call_route,
                "name": "look",
                "pathPrefix": "/look/",
                "routeType": "idempotent",
                "maxAttempts": 2,
            },
            {
                **call_route,
                "name": "open",
                "pathPrefix": "/open/",
                "routeType": "idempotent",
                "anonymous": True,
            },
            {
                **stream_route,
                "name": "draft",
                "pathPrefix": "/draft/",
                "resumable": True,
                "maxAttempts": 2,
            },
            {
                **stream_route,
                "name": "brief",
                "pathPrefix": "/brief/",
                "resumable": False,
                "maxAttempts": 1,
            },
        ],
        "services": [
            {"name": CALLS, "maxConnections": 50},
            {"name": STREAMS, "maxConnections": 50},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 3000,
        },
        "tenants": [{"name": "alpha", "apiKeys": [KEY]}],
    }
    return {**value, **changes}


def run_scenario(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario in a new event loop, for one minute at most."""
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def poll_until(condition: Callable[[], Any], what: str = "") -> Any:
    """Poll a condition until its value is true, and return that value."""
    deadline = monotonic() + CONDITION_TIMEOUT_S
    while not (value := condition()):
        if monotonic() > deadline:
            raise AssertionError(
                f"condition false for {CONDITION_TIMEOUT_S} s: {what or condition}"
            )
        await asyncio.sleep(0.01)
    return value


@dataclass(slots=True)
class EntryProcess:
    """A node that runs as a separate process.

    Attributes
    ----------
    path : Path
        Settings file of the node.
    output : Path
        File that standard output and standard error are written to.
    """

    process: asyncio.subprocess.Process
    path: Path
    output: Path

    def lines(self) -> list[dict[str, Any]]:
        """Return the log lines written so far."""
        lines = self.output.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines if line.startswith(b"{")]

    def messages(self) -> list[str]:
        """Return the messages of the log lines written so far."""
        return [line["message"] for line in self.lines()]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        # The process's own method may take the exit code, and asyncio reports 255 then.
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Kill the process if it still runs, and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self.process.wait()


@dataclass(slots=True)
class EntrySite:
    """Nodes, endpoints and platform stand-ins of one test.

    Attributes
    ----------
    store_listeners : dict of str to StoreListener
        Listener of the store for each node, by the name of the node.
    started : list of EntryProcess
        All processes that were started, including those replaced since.
    use_links : bool
        Whether nodes reach the store and the endpoints through links, with which a
        test can simulate network faults.
    links : dict of str to Link
        These links, by the name of the node or of the endpoint.
    fair_shares : bool
        Whether contended services are divided between the teams.
    checkout : Path or None
        Checkout whose code the node processes run, None for this one.
    resources : dict of str to int
        Resources of the nodes' hosts; those that are missing have their defaults.
    serves_metrics : bool
        Whether nodes have an address of its own for metrics.
    """

    store: StoreStandIn
    cloud: CloudStandIn
    nodes: dict[str, EntryNode] = field(default_factory=dict)
    store_listeners: dict[str, StoreListener] = field(default_factory=dict)
    runners: dict[str, RunnerStandIn] = field(default_factory=dict)
    processes: dict[str, EntryProcess] = field(default_factory=dict)
    started: list[EntryProcess] = field(default_factory=list)
    use_links: bool = False
    links: dict[str, Link] = field(default_factory=dict)
    fair_shares: bool = False
    checkout: Path | None = None
    resources: dict[str, int] = field(default_factory=dict)
    serves_metrics: bool = False
    _settings: dict[str, EntrySettings] = field(default_factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _listener_ports: dict[str, str] = field(default_factory=dict)
    _recoveries: list[asyncio.Task[None]] = field(default_factory=list)
    _versions: dict[str, str] = field(default_factory=dict)
    _sequence_numbers: count[int] = field(default_factory=lambda: count(1))

    def delay_gossip(self, name: str, delay_s: float) -> None:
        """Delay the datagrams that a node receives, as a busy network link does."""
        gossip = self.nodes[name].gossip
        receive = type(gossip).datagram_received
        loop = asyncio.get_running_loop()

        def receive_later(data: bytes, addr: Any) -> None:
            loop.call_later(delay_s, receive, gossip, data, addr)

        gossip.datagram_received = receive_later  # type: ignore[method-assign]

    def silence_gossip(self, name: str) -> None:
        """Drop all datagrams that a node sends or receives."""
        gossip = self.nodes[name].gossip
        gossip.datagram_received = lambda data, addr: None  # type: ignore[method-assign]
        gossip._send = lambda data, hosts: None  # type: ignore[method-assign]

    def _reachable_address(self, name: str, address: str) -> str:
        """Return the address of the link to `address`, or `address` without links."""
        if not self.use_links:
            return address
        if name not in self.links:
            self.links[name] = Link("127.0.0.1", address)
        return self.links[name].address

    async def _build_settings(
        self, name: str, seeds: str = "", **changes: Any
    ) -> dict[str, Any]:
        """Return a node's settings, and start a store listener for the node."""
        host = loopback_host(next(_UNIQUE_NUMBERS) % 250 + 1)
        if not self._listener_ports:
            names = ["callers", "readiness", "discovery", "control", "gossip"]
            if self.serves_metrics:
                names.append("metrics")
            for listener in names:
                self._listener_ports[listener] = free_address(host).rsplit(":", 1)[1]
        store_listener = StoreListener(self.store, "127.0.0.1")
        await store_listener.start()
        self.store_listeners[name] = store_listener
        listeners: dict[str, Any] = {
            listener: f"{host}:{port}"
            for listener, port in self._listener_ports.items()
            if listener != "gossip"
        }
        listeners["gossip_port"] = int(self._listener_ports["gossip"])
        return {
            "resources": self.resources,
            "node": name,
            "failure_domain": "north",
            "source_host": host,
            "listeners": listeners,
            "seeds": seeds,
            "platform": {
                "store": self._reachable_address(name, store_listener.address),
                "cloud": self.cloud.address,
            },
            "bounds": {"lease_ms": 300, "usage_window_s": 1, **changes},
            "scheduling": dict.fromkeys(
                ("fair_shares", "prompt_shares"), self.fair_shares
            ),
        }

    async def add_node(self, name: str, seeds: str = "", **changes: Any) -> EntryNode:
        """Start a node in this process; `changes` replace fields of its bounds."""
        value = await self._build_settings(name, seeds, **changes)
        settings = EntrySettings.model_validate(value)
        self._settings[name] = settings
        node = EntryNode.from_settings(settings)
        await node.start()
        self.nodes[name] = node
        self._tasks[name] = asyncio.create_task(node.serve())
        return node

    async def start_process(
        self, name: str, folder: Path, seeds: str = "", **changes: Any
    ) -> EntryProcess:
        """Start a node as a separate process, and wait until it is ready."""
        value = await self._build_settings(name, seeds, **changes)
        self._settings[name] = EntrySettings.model_validate(value)
        path = folder / f"{name}.json"
        path.write_bytes(orjson.dumps(value))
        started = await self.run_process(name, path)
        await poll_until(lambda: "ready" in started.messages(), "node process ready")
        return started

    async def start_processes(self, names: str, folder: Path) -> None:
        """Start nodes as processes; the first one is the seed of the others."""
        seed = ""
        for name in names:
            await self.start_process(name, folder, seed)
            seed = seed or ":".join(map(str, self.address(name, "control")))

    async def kill_and_restart_process(self, name: str) -> None:
        """Kill a node's process, start another, and wait until it is ready."""
        killed = self.processes[name]
        await killed.kill()
        restarted = await self.run_process(name, killed.path)
        await poll_until(
            lambda: "ready" in restarted.messages(), "restarted node ready"
        )

    async def kill_and_restart_all_processes(self, after_s: float = 0.0) -> None:
        """Kill all nodes' processes at once, and start them some seconds later."""
        killed = dict(self.processes)
        for process in killed.values():
            process.signal(signal.SIGKILL)
        for process in killed.values():
            await process.process.wait()
            value = orjson.loads(process.path.read_bytes())
            process.path.write_bytes(orjson.dumps({**value, "first_start": False}))
        await asyncio.sleep(after_s)
        restarted = [
            await self.run_process(name, process.path)
            for name, process in killed.items()
        ]
        for process in restarted:
            await poll_until(
                lambda process=process: "ready" in process.messages(),  # type: ignore[misc]
                "restarted node ready",
            )

    async def run_process(self, name: str, settings_path: Path) -> EntryProcess:
        """Run a node's process with a settings file and a new log file."""
        output = settings_path.with_suffix(f".{next(_UNIQUE_NUMBERS)}.log")
        with output.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "poplarrelay.entry",
                "--settings",
                str(settings_path.absolute()),
                stdout=log_file,
                stderr=log_file,
                cwd=self.checkout,
            )
        started = EntryProcess(process, settings_path, output)
        self.started.append(started)
        self.processes[name] = started
        return started

    def log_lines(self) -> Iterator[dict[str, Any]]:
        """Yield the log lines of all processes."""
        for process in self.started:
            yield from process.lines()

    async def wait_until_ended(self, name: str) -> None:
        """Wait until a node that is stopping has ended."""
        await self._tasks[name]

    async def kill_node(self, name: str) -> None:
        """End a node abruptly; it sends nothing to its peers."""
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.nodes.pop(name).abandon()

    async def add_runner(
        self,
        name: str,
        service: str,
        port: int = 0,
        version: str = "1",
        **options: Any,
    ) -> RunnerStandIn:
        """Start an endpoint and write its record; port 0 picks a free port."""
        if service == STREAMS:
            options.setdefault("events", 5)
        runner = RunnerStandIn(name, "127.0.0.1", **options)
        await runner.start(port)
        self.runners[name] = runner
        self._versions[name] = version
        self.list_runner(name, service)
        return runner

    async def restart_runner(self, name: str, service: str) -> RunnerStandIn:
        """Stop an endpoint, and start a new run with the same id and address."""
        previous = self.runners[name]
        port = int(previous.address.rsplit(":", 1)[1])
        previous.stop()
        restarted = RunnerStandIn(
            name,
            previous.host,
            events=previous.events,
            pause_s=previous.pause_s,
            label=previous.label,
        )
        await restarted.start(port)
        self.runners[name] = restarted
        self.list_runner(name, service, born=time.time_ns() // 1_000_000)
        return restarted

    def crash_on(self, name: str, service: str, body: bytes, recovery_s: float) -> None:
        """Make an endpoint crash on requests with the given body, and then restart."""
        self.runners[name].crash_bodies = {body}
        self.restart_after_crash(name, service, recovery_s)

    def restart_after_crash(self, name: str, service: str, recovery_s: float) -> None:
        """Start the next run of an endpoint some seconds after each of its crashes.

        Each run has the same address, a new id and the same causes of crashes.
        `recovery_s` is the time in seconds between a crash and the next run.
        """
        runner = self.runners[name]
        port = int(runner.address.rsplit(":", 1)[1])

        async def recover() -> None:
            await asyncio.sleep(recovery_s)
            self.unlist_runner(name)
            next_name = f"{name.partition('.')[0]}.{next(_UNIQUE_NUMBERS)}"
            await self.add_runner(
                next_name,
                service,
                port=port,
                events=runner.events,
                pause_s=runner.pause_s,
                crash_bodies=runner.crash_bodies,
                crash_parts=runner.crash_parts,
                framed=runner.framed,
            )
            self.restart_after_crash(next_name, service, recovery_s)

        def start_recovery() -> None:
            self._recoveries.append(asyncio.create_task(recover()))

        runner.on_crash = start_recovery

    def recover_from_falls(self, name: str, service: str, recovery_s: float) -> None:
        """Start a brittle endpoint again some seconds after each of its falls."""
        fallen = self.runners[name]

        async def recover() -> None:
            await asyncio.sleep(recovery_s)
            restarted = await self.restart_runner(name, service)
            restarted.capacity, restarted.queue = fallen.capacity, fallen.queue
            restarted.brittle, restarted.falls = fallen.brittle, fallen.falls
            restarted.received = fallen.received
            self.recover_from_falls(name, service, recovery_s)

        def start_recovery() -> None:
            self._recoveries.append(asyncio.create_task(recover()))

        fallen.on_fall = start_recovery

    async def restore_store(
        self, copy: StoreCopy, away_s: float = 0.3, rewrite_s: float = 0.3
    ) -> None:
        """Restore the store from a copy; operators and endpoints write again later.

        Parameters
        ----------
        copy : StoreCopy
            Earlier state of the store.
        away_s : float
            Seconds for which the store answers nobody.
        rewrite_s : float
            Seconds from the restore until the newest records of operators and
            endpoints are written again.
        """
        for listener in self.store_listeners.values():
            listener.begin_outage(Outage.RESET)
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        for listener in self.store_listeners.values():
            listener.outage = Outage.NONE
        await asyncio.sleep(rewrite_s)
        self.store.write_again()

    def order_rollout(self, service: str, target: str, duration_s: float) -> None:
        """Order that a service's traffic moves to a version."""
        order = {"service": service, "target": target, "durationS": duration_s}
        self.store.put("keyed.op", f"rollout/{service}", order)

    def rollout_states(self, service: str) -> list[tuple[str, str]]:
        """Return the states written for a service's roll-outs, with their targets."""
        key = f"rollout/{service}".encode()
        records = self.store.records("keyed.status")
        values = [
            orjson.loads(record[1 + record[0] :])
            for record in records
            if record[1 : 1 + record[0]] == key
        ]
        return [(value["state"], value["target"]) for value in values]

    def set_paths(
        self, nodes: Iterable[str], fault: PathFault, endpoints: Iterable[str] = ()
    ) -> None:
        """Disturb the paths of some nodes to some endpoints, by default to all."""
        hosts = [self.address(node)[0] for node in nodes]
        for name in endpoints or self.runners:
            self.links[name].set_path(hosts, fault)

    def stream_versions(self, stream: str) -> set[str]:
        """Return the versions of the endpoints that have sent events of a stream."""
        return {
            self._versions[name]
            for name, runner in self.runners.items()
            if runner.event_counts[stream]
        }

    def unlist_runner(self, name: str) -> None:
        """Remove an endpoint's record."""
        self.store.put_raw("keyed.servers", bytes([len(name)]) + name.encode())

    def list_runner(
        self,
        name: str,
        service: str,
        state: str = "ready",
        slots: int = 8,
        **more: Any,
    ) -> None:
        """Write an endpoint's record; `more` adds or replaces fields."""
        record = {
            "service": service,
            "address": self._reachable_address(name, self.runners[name].address),
            "zone": "north",
            "version": self._versions.get(name, "1"),
            "slots": slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": next(self._sequence_numbers),
            **more,
        }
        self.store.put("keyed.servers", name, record)

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration to the store; `changes` replace top-level fields."""
        value = entry_configuration(version, **changes)
        self.store.put("keyed.op", "config", value)

    async def ready(self, name: str = "a", endpoints: int = 0) -> None:
        """Wait until a node is ready and lists at least `endpoints` endpoints."""
        state = self.nodes[name].state
        await poll_until(lambda: state.ready, "node ready")
        await poll_until(
            lambda: len(state.endpoints.rows) >= endpoints, "endpoints listed"
        )

    def address(self, name: str = "a", listener: str = "callers") -> tuple[str, int]:
        """Return the address of one of a node's listeners, or of its tunnels."""
        listeners = self._settings[name].listeners
        if listener == "tunnels":
            return parse_address(listeners.control)[0], listeners.gossip_port
        return parse_address(getattr(listeners, listener))

    def headers(self, **more: str) -> Headers:
        """Return the headers of a caller's request.

        `more` adds or replaces headers, with underscores for hyphens in their names. An
        empty value removes the header.
        """
        number = next(self._sequence_numbers)
        headers: Headers = [
            (b"Host", HOST.encode()),
            (b"X-Poplarrelay-Attempt-Id", f"attempt-{number}".encode()),
            (b"X-Poplarrelay-Deadline-Ms", str(int(1000 * DEADLINE_S)).encode()),
            (b"Authorization", f"Bearer {KEY}".encode()),
        ]
        for name, value in more.items():
            key = name.replace("_", "-").encode()
            headers = [h for h in headers if h[0].lower() != key.lower()]
            if value:
                headers.append((key, value.encode()))
        return headers

    async def open(
        self, path: str, node: str = "a", body: bytes = b"", **more: str
    ) -> Connection:
        """Send a request on a new connection, and return the connection."""
        connection = await Connection.open(*self.address(node), 2.0)
        headers = self.headers(**more)
        if body:
            headers.append((b"Content-Length", str(len(body)).encode()))
        connection.send(b"POST", path.encode(), headers, body)
        return connection

    async def call(
        self, path: str, node: str = "a", body: bytes = b"", **more: str
    ) -> CompleteResponse:
        """Send a request on a new connection, and return the complete response."""
        connection = await self.open(path, node, body, **more)
        try:
            async with asyncio.timeout(CONDITION_TIMEOUT_S):
                return await connection.complete_response(1_000_000)
        finally:
            connection.abort()

    async def get(self, listener: str, path: str, node: str = "a") -> CompleteResponse:
        """Send a GET request to one of a node's listeners, and return the response."""
        connection = await Connection.open(*self.address(node, listener), 2.0)
        connection.send(b"GET", path.encode(), [(b"Host", b"node")], b"")
        try:
            async with asyncio.timeout(CONDITION_TIMEOUT_S):
                return await connection.complete_response(1_000_000)
        finally:
            connection.abort()

    async def stop(self) -> None:
        """End all tasks, nodes, processes, endpoints, listeners and links."""
        tasks = [*self._tasks.values(), *self._recoveries]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self.nodes.values():
            await node.abandon()
        for process in self.started:
            await process.kill()
        for runner in self.runners.values():
            runner.stop()
        for store_listener in self.store_listeners.values():
            store_listener.stop()
        for link in self.links.values():
            link.stop()
        self.cloud.stop()


@contextlib.asynccontextmanager
async def run_entry_site(
    nodes: int = 1, fair_shares: bool = False, use_links: bool = False, **changes: Any
) -> AsyncIterator[EntrySite]:
    """Run a site with the example configuration and some nodes, and stop it on exit."""
    site = EntrySite(
        StoreStandIn(),
        CloudStandIn("127.0.0.1"),
        fair_shares=fair_shares,
        use_links=use_links,
    )
    await site.cloud.start()
    site.configure(1)
    seeds: list[str] = []
    try:
        for name in "abcdefgh"[:nodes]:
            node = await site.add_node(name, ",".join(seeds[:3]), **changes)
            seeds.append(node.state.settings.listeners.control)
        yield site
    finally:
        await site.stop()


async def read_head(connection: Connection) -> ResponseHead:
    """Return the head of a response, or raise `TimeoutError`."""
    async with asyncio.timeout(CONDITION_TIMEOUT_S):
        return await connection.response_head()


def hosts(site: EntrySite, *names: str) -> set[str]:
    """Return the hosts of the named nodes."""
    return {site.nodes[name].state.me.host for name in names}


async def resolve_hosts(site: EntrySite, node: str) -> set[str]:
    """Return the hosts that a node's discovery listener lists."""
    answer = await site.get("discovery", "/api/resolve?name=x", node)
    return {address.split(":")[0] for address in orjson.loads(answer.body)["addresses"]}


async def wait_until_resolved(site: EntrySite, node: str, expected: set[str]) -> None:
    """Wait until a node's discovery listener lists exactly the expected hosts."""
    async with asyncio.timeout(RESOLVE_TIMEOUT_S):
        while await resolve_hosts(site, node) != expected:
            await asyncio.sleep(0.02)
