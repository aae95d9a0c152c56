"""Entry nodes in front of stand-ins of the users' platform, in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from time import monotonic
from typing import Any

import orjson

from poplarrelay.entry.http.connection import (
    Connection,
    Headers,
    ResponseHead,
    WholeResponse,
)
from poplarrelay.entry.process import EntryNode
from poplarrelay.entry.settings import EntrySettings, parse_address
from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.runner import RunnerStandIn
from poplarrelay.standins.users.store import StoreListener, StoreStandIn
from poplarrelay.testing.links import Link
from poplarrelay.testing.site import free_address, loopback_host

__all__ = [
    "CALLS",
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
#: Services of the example configuration: a plain one, and one of streams.
CALLS, STREAMS = "desk", "drafts"
#: Seconds within which a condition of a test must come true.
PATIENCE_S = 12.0
#: Seconds within which nodes must have heard of each other, or of another's end.
NAMED_S = 15.0

_NUMBERS = count(1)


def entry_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as an operator writes it.

    Parameters
    ----------
    version : int
        Its number.
    **changes
        Values that replace those of the example, by top-level name.
    """
    plain = {"host": HOST, "service": CALLS, "timeoutMs": 1500, "targetLatencyMs": 200}
    stream = {
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
                **plain,
                "name": "book",
                "pathPrefix": "/book/",
                "routeType": "non_idempotent",
                "maxAttempts": 1,
            },
            {
                **plain,
                "name": "pay",
                "pathPrefix": "/pay/",
                "routeType": "non_idempotent",
                "maxAttempts": 2,
            },
            {
                **plain,
                "name": "look",
                "pathPrefix": "/look/",
                "routeType": "idempotent",
                "maxAttempts": 2,
            },
            {
                **plain,
                "name": "open",
                "pathPrefix": "/open/",
                "routeType": "idempotent",
                "anonymous": True,
            },
            {
                **stream,
                "name": "draft",
                "pathPrefix": "/draft/",
                "resumable": True,
                "maxAttempts": 2,
            },
            {
                **stream,
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
    """Run a scenario in an event loop of its own, for a minute at most."""
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def poll_until(condition: Callable[[], Any], what: str = "") -> Any:
    """Wait until a condition is true and return its value."""
    end = monotonic() + PATIENCE_S
    while not (value := condition()):
        if monotonic() > end:
            raise AssertionError(f"not within {PATIENCE_S} s: {what or condition}")
        await asyncio.sleep(0.01)
    return value


@dataclass(slots=True)
class EntryProcess:
    """A node that runs as a process of its own."""

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
        """Send a signal to the process, if it still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once, if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


@dataclass(slots=True)
class EntrySite:
    """Nodes, endpoints and the platform of one test.

    Attributes
    ----------
    store_listeners : dict of str to StoreListener
        The store's address for each node.
    started : list of EntryProcess
        All processes of the test, those that were replaced included.
    linked : bool
        Whether links that a test can cut lie before the store's doors and the
        endpoints.
    links : dict of str to Link
        Those links, by the name of the node or of the endpoint.
    """

    store: StoreStandIn
    cloud: CloudStandIn
    nodes: dict[str, EntryNode] = field(default_factory=dict)
    store_listeners: dict[str, StoreListener] = field(default_factory=dict)
    runners: dict[str, RunnerStandIn] = field(default_factory=dict)
    processes: dict[str, EntryProcess] = field(default_factory=dict)
    started: list[EntryProcess] = field(default_factory=list)
    linked: bool = False
    links: dict[str, Link] = field(default_factory=dict)
    _settings: dict[str, EntrySettings] = field(default_factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _ports: dict[str, str] = field(default_factory=dict)
    _recoveries: list[asyncio.Task[None]] = field(default_factory=list)
    _requests: count[int] = field(default_factory=lambda: count(1))

    def delay_gossip(self, name: str, delay_s: float) -> None:
        """Let datagrams to a node wait before it reads them, as in a busy link."""
        gossip = self.nodes[name].gossip
        read = type(gossip).datagram_received
        loop = asyncio.get_running_loop()

        def wait(data: bytes, addr: Any) -> None:
            loop.call_later(delay_s, read, gossip, data, addr)

        gossip.datagram_received = wait  # type: ignore[method-assign]

    def _reach(self, name: str, address: str) -> str:
        """Return the address by which nodes reach something."""
        if not self.linked:
            return address
        if name not in self.links:
            self.links[name] = Link("127.0.0.1", address)
        return self.links[name].address

    async def settings_of(
        self, name: str, seeds: str = "", **changes: Any
    ) -> dict[str, Any]:
        """Return a node's settings, with an address of the store of its own."""
        host = loopback_host(next(_NUMBERS) % 250 + 1)
        if not self._ports:
            names = ("callers", "readiness", "discovery", "control", "gossip")
            for listener in names:
                self._ports[listener] = free_address(host).rsplit(":", 1)[1]
        store_listener = StoreListener(self.store, "127.0.0.1")
        await store_listener.start()
        self.store_listeners[name] = store_listener
        listeners: dict[str, Any] = {
            listener: f"{host}:{port}"
            for listener, port in self._ports.items()
            if listener != "gossip"
        }
        listeners["gossip_port"] = int(self._ports["gossip"])
        return {
            "node": name,
            "failure_domain": "north",
            "listeners": listeners,
            "seeds": seeds,
            "platform": {
                "store": self._reach(name, store_listener.address),
                "cloud": self.cloud.address,
            },
            "bounds": {"lease_ms": 300, "usage_window_s": 1, **changes},
        }

    async def add_node(self, name: str, seeds: str = "", **changes: Any) -> EntryNode:
        """Start a node in this process; its bounds may be changed."""
        value = await self.settings_of(name, seeds, **changes)
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
        """Start a node as a process of its own, with a settings file."""
        value = await self.settings_of(name, seeds, **changes)
        self._settings[name] = EntrySettings.model_validate(value)
        path = folder / f"{name}.json"
        path.write_bytes(orjson.dumps(value))
        started = await self.run_process(name, path)
        await poll_until(lambda: "ready" in started.messages(), "node process ready")
        return started

    async def start_processes(self, names: str, folder: Path) -> None:
        """Start nodes as processes that have the first one as their seed."""
        seed = ""
        for name in names:
            await self.start_process(name, folder, seed)
            seed = seed or ":".join(map(str, self.address(name, "control")))

    async def kill_and_restart_process(self, name: str) -> None:
        """Kill a node's process, and wait until another one of it serves."""
        killed = self.processes[name]
        await killed.kill()
        restarted = await self.run_process(name, killed.path)
        await poll_until(
            lambda: "ready" in restarted.messages(), "restarted node ready"
        )

    async def run_process(self, name: str, settings: Path) -> EntryProcess:
        """Run a node's process with a settings file; its log is started anew."""
        output = settings.with_suffix(f".{next(_NUMBERS)}.log")
        with output.open("wb") as stream:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "poplarrelay.entry",
                "--settings",
                str(settings),
                stdout=stream,
                stderr=stream,
            )
        started = EntryProcess(process, settings, output)
        self.started.append(started)
        self.processes[name] = started
        return started

    async def end_node(self, name: str) -> None:
        """Wait until a node that was told to stop has ended."""
        await self._tasks[name]

    async def kill_node(self, name: str) -> None:
        """End a node without any farewell."""
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.nodes.pop(name).abandon()

    async def add_runner(
        self, name: str, service: str, port: int = 0, **options: Any
    ) -> RunnerStandIn:
        """Start an endpoint and list it; port 0 stands for any free one."""
        if service == STREAMS:
            options.setdefault("events", 5)
        runner = RunnerStandIn(name, "127.0.0.1", **options)
        await runner.start(port)
        self.runners[name] = runner
        self.list_runner(name, service)
        return runner

    async def restart_runner(self, name: str, service: str) -> RunnerStandIn:
        """End an endpoint's run, and start another under its id and at its address."""
        before = self.runners[name]
        port = int(before.address.rsplit(":", 1)[1])
        before.stop()
        again = RunnerStandIn(
            name, before.host, events=before.events, pause_s=before.pause_s
        )
        await again.start(port)
        self.runners[name] = again
        self.list_runner(name, service, born=time.time_ns() // 1_000_000)
        return again

    def crash_on(self, name: str, service: str, body: bytes, recovery_s: float) -> None:
        """Let requests with a body crash an endpoint, which restarts after that.

        Each run has the same address and a new id.
        """
        runner = self.runners[name]
        runner.crash_bodies = {body}
        port = int(runner.address.rsplit(":", 1)[1])

        async def recover() -> None:
            await asyncio.sleep(recovery_s)
            self.unlist_runner(name)
            again = f"{name.partition('.')[0]}.{next(_NUMBERS)}"
            await self.add_runner(
                again,
                service,
                port=port,
                events=runner.events,
                pause_s=runner.pause_s,
            )
            self.crash_on(again, service, body, recovery_s)

        def start_recovery() -> None:
            self._recoveries.append(asyncio.create_task(recover()))

        runner.on_crash = start_recovery

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
        """Write an endpoint's record, with more fields or others."""
        record = {
            "service": service,
            "address": self._reach(name, self.runners[name].address),
            "zone": "north",
            "version": "1",
            "slots": slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": next(self._requests),
            **more,
        }
        self.store.put("keyed.servers", name, record)

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration."""
        value = entry_configuration(version, **changes)
        self.store.put("keyed.op", "config", value)

    async def ready(self, name: str = "a", endpoints: int = 0) -> None:
        """Wait until a node serves and knows a number of endpoints."""
        state = self.nodes[name].state
        await poll_until(lambda: state.ready, "node ready")
        await poll_until(
            lambda: len(state.endpoints.rows) >= endpoints, "endpoints listed"
        )

    def address(self, name: str = "a", listener: str = "callers") -> tuple[str, int]:
        """Return an address of a node."""
        listeners = self._settings[name].listeners
        return parse_address(getattr(listeners, listener))

    def headers(self, **more: str) -> Headers:
        """Return the headers of a caller's request."""
        number = next(self._requests)
        headers: Headers = [
            (b"Host", HOST.encode()),
            (b"X-Poplarrelay-Attempt-Id", f"attempt-{number}".encode()),
            (b"X-Poplarrelay-Deadline-Ms", b"5000"),
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
        """Send a request on a new connection."""
        connection = await Connection.open(*self.address(node), 2.0)
        headers = self.headers(**more)
        if body:
            headers.append((b"Content-Length", str(len(body)).encode()))
        connection.send(b"POST", path.encode(), headers, body)
        return connection

    async def call(
        self, path: str, node: str = "a", body: bytes = b"", **more: str
    ) -> WholeResponse:
        """Send a request and return its whole answer."""
        connection = await self.open(path, node, body, **more)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await connection.whole_response(1_000_000)
        finally:
            connection.abort()

    async def get(self, listener: str, path: str, node: str = "a") -> WholeResponse:
        """Ask one of a node's other listeners."""
        connection = await Connection.open(*self.address(node, listener), 2.0)
        connection.send(b"GET", path.encode(), [(b"Host", b"node")], b"")
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await connection.whole_response(1_000_000)
        finally:
            connection.abort()

    async def stop(self) -> None:
        """End everything."""
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
async def run_entry_site(nodes: int = 1, **changes: Any) -> AsyncIterator[EntrySite]:
    """Run a site with a configuration and some nodes, and end it."""
    site = EntrySite(StoreStandIn(), CloudStandIn("127.0.0.1"))
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
    """Return the head of an answer, within the test's patience."""
    async with asyncio.timeout(PATIENCE_S):
        return await connection.response_head()


def hosts(site: EntrySite, *names: str) -> set[str]:
    """Return the hosts of nodes."""
    return {site.nodes[name].state.me.host for name in names}


async def resolve_hosts(site: EntrySite, node: str) -> set[str]:
    """Return the hosts that a node names to callers."""
    answer = await site.get("discovery", "/api/resolve?name=x", node)
    return {address.split(":")[0] for address in orjson.loads(answer.body)["addresses"]}


async def wait_until_resolved(site: EntrySite, node: str, expected: set[str]) -> None:
    """Wait until a node names just these hosts to callers."""
    async with asyncio.timeout(NAMED_S):
        while await resolve_hosts(site, node) != expected:
            await asyncio.sleep(0.02)
