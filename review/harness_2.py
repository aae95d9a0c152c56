"""Site of real processes for the scripts of the second review.

A site has entry nodes and runners as separate processes, and stand-ins of the
platform's store and API in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from poplarrelay.standins.users.cloud import CloudStandIn
from poplarrelay.standins.users.store import StoreListener, StoreStandIn

__all__ = [
    "HOST",
    "KEY",
    "Answer",
    "Case",
    "Client",
    "Runner",
    "Site",
    "route",
    "run_case",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
#: Seconds between two records of a runner (``heartbeatMs`` of the pages).
HEARTBEAT_S = 1.2
#: Heartbeats that a runner must miss until its entry is removed.
MISSED_HEARTBEATS = 3
#: Seconds within which a process must be ready.
START_S = 20.0
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
LISTENERS = ("callers", "readiness", "discovery", "control", "metrics")


def environment() -> dict[str, str]:
    """Return the variables that the deploy page lets a process have."""
    kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
    return {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}


def route(name: str, service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration; its path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "priority": 0,
        "anonymous": False,
        **more,
    }


@dataclass(slots=True)
class Answer:
    """What a client got for one request.

    Attributes
    ----------
    status : int
        Status, 0 if no head arrived.
    complete : bool
        Whether the whole answer arrived.
    problem : str
        Why it is not complete.
    """

    attempt: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0
    problem: str = ""


class Client:
    """Client with one kept connection.

    Parameters
    ----------
    address : tuple of str and int
        Address of an entry node.
    receive_buffer : int or None
        Size of the socket's receive buffer in bytes, None for the system's default.
    """

    def __init__(
        self, address: tuple[str, int], receive_buffer: int | None = None
    ) -> None:
        self._socket = socket.socket()
        if receive_buffer is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._socket.setblocking(False)
        self._address = address
        self._received = b""

    async def connect(self) -> None:
        """Open the connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            await loop.sock_connect(self._socket, self._address)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def _read(self) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(self._socket, 65_536)
        if not data:
            raise ConnectionError("closed")
        return data

    async def _line(self) -> bytes:
        while b"\r\n" not in self._received:
            self._received += await self._read()
        line, _, self._received = self._received.partition(b"\r\n")
        return line

    async def _exactly(self, size: int) -> bytes:
        while len(self._received) < size:
            self._received += await self._read()
        data, self._received = self._received[:size], self._received[size:]
        return data

    async def call(
        self,
        path: str,
        attempt: str,
        deadline_ms: int,
        pause_s: float = 0.0,
        **headers: str,
    ) -> Answer:
        """Send a request and read its answer.

        Parameters
        ----------
        path, attempt, deadline_ms : str, str, int
            Path, id and deadline of the request.
        pause_s : float
            Seconds for which the client reads nothing after the head of the answer.
        **headers : str
            Further headers, with underscores for hyphens.
        """
        loop = asyncio.get_running_loop()
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Poplarrelay-Attempt-Id: {attempt}",
            f"X-Poplarrelay-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            "Content-Length: 0",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        request = "\r\n".join(lines) + "\r\n\r\n"
        answer = Answer(attempt, time.monotonic())
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await loop.sock_sendall(self._socket, request.encode())
                await self._read_head(answer)
                await asyncio.sleep(pause_s)
                await self._read_body(answer)
            answer.complete = True
        except (OSError, TimeoutError) as error:
            answer.problem = repr(error)
        answer.ended_at = time.monotonic()
        return answer

    async def _read_head(self, answer: Answer) -> None:
        answer.status = int((await self._line()).split()[1])
        while line := await self._line():
            name, _, value = line.decode("latin-1").partition(":")
            answer.headers[name.strip().lower()] = value.strip()

    async def _read_body(self, answer: Answer) -> None:
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self._line(), 16):
                answer.body += await self._exactly(size)
                await self._line()
            await self._line()
        else:
            answer.body = await self._exactly(
                int(answer.headers.get("content-length", "0"))
            )


@dataclass(slots=True)
class Runner:
    """Runner that runs as a separate process; see ``runner_2.py``."""

    name: str
    service: str
    process: asyncio.subprocess.Process
    log: Path
    address: str
    version: str
    slots: int
    born: int
    zone: str
    options: dict[str, Any]
    sequence: int = 0

    def lines(self) -> list[dict[str, Any]]:
        """Return what the runner has written to its log."""
        return [json.loads(line) for line in self.log.read_text().splitlines()]

    def ran(self) -> list[str]:
        """Return the attempt ids of the requests that it has begun to run."""
        return [line["attempt"] for line in self.lines() if line["what"] == "ran"]

    def record(self) -> dict[str, Any]:
        """Return its entry in the platform's store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }


@dataclass(slots=True)
class Node:
    """Entry node that runs as a separate process."""

    name: str
    process: asyncio.subprocess.Process
    host: str
    ports: dict[str, int]
    output: Path

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.host, self.ports["callers"]

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log lines of the node."""
        lines = self.output.read_bytes().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{")]


class Site:
    """Processes of one case.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._store = StoreStandIn()
        self._store_listener = StoreListener(self._store, "127.0.0.1")
        self._cloud = CloudStandIn("127.0.0.1")
        self._ports: dict[str, int] = {}
        self._net = 2 + os.getpid() % 250
        self._tasks: list[asyncio.Task[None]] = []
        self.nodes: list[Node] = []
        self.runners: dict[str, Runner] = {}

    @property
    def store(self) -> StoreStandIn:
        """Return the platform's store."""
        return self._store

    async def start_platform(self) -> None:
        """Start the platform's store and its API."""
        await self._store_listener.start()
        await self._cloud.start()

    def configure(
        self, version: int, routes: list[dict[str, Any]], services: list[str]
    ) -> None:
        """Write a configuration, with the limits and the tenant of the pages."""
        value = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConnections": 370}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
        self._store.put("keyed.op", "config", value)

    async def start_runner(
        self, name: str, service: str, slots: int, version: str = "1", **options: Any
    ) -> Runner:
        """Start a runner, and write its entry at every heartbeat."""
        log = self._folder / f"{name}.log"
        log.touch()
        options |= {"name": name, "log": str(log), "slots": slots}
        process, address = await self._launch({**options, "version": version})
        runner = Runner(
            name,
            service,
            process,
            log,
            address,
            version,
            slots,
            time.time_ns() // 1_000_000,
            "colombo-hall",
            options,
        )
        self.runners[name] = runner
        self._tasks.append(asyncio.create_task(self._beat(runner)))
        return runner

    async def _launch(
        self, options: dict[str, Any]
    ) -> tuple[asyncio.subprocess.Process, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "runner_2.py"),
            json.dumps(options),
            stdout=subprocess.PIPE,
            env=environment(),
            cwd=ROOT,
        )
        assert process.stdout is not None
        async with asyncio.timeout(START_S):
            address = (await process.stdout.readline()).decode().strip()
        return process, address

    async def kill_runner(self, runner: Runner) -> None:
        """Kill a runner; its entry is not written any more."""
        runner.process.kill()
        await runner.process.wait()

    async def start_runner_again(self, runner: Runner, version: str) -> None:
        """Start a killed runner under its id and address, and write its entry."""
        port = int(runner.address.rsplit(":", 1)[1])
        options = {**runner.options, "version": version, "port": port}
        runner.process, _ = await self._launch(options)
        runner.version, runner.sequence = version, 0
        runner.born = time.time_ns() // 1_000_000
        self._write_entry(runner)

    def _write_entry(self, runner: Runner) -> None:
        if runner.process.returncode is None:
            self._store.put("keyed.servers", runner.name, runner.record())

    async def _beat(self, runner: Runner) -> None:
        missed = 0
        while True:
            self._write_entry(runner)
            missed = 0 if runner.process.returncode is None else missed + 1
            if missed == MISSED_HEARTBEATS:
                self._store.put("keyed.servers", runner.name, None)
            await asyncio.sleep(HEARTBEAT_S)

    def _find_ports(self, hosts: list[str]) -> None:
        names = (*LISTENERS, "gossip")
        while len(self._ports) < len(names):
            with socket.socket() as probe:
                probe.bind((hosts[0], 0))
                port = probe.getsockname()[1]
            if port not in self._ports.values():
                self._ports[names[len(self._ports)]] = port

    def _settings(self, name: str, host: str, seed: str) -> dict[str, Any]:
        """Return the settings that the template gives with the figures of the sheet."""
        ports = self._ports
        return {
            "node": name,
            "failure_domain": "colombo-hall",
            "failure_domains": "colombo-hall,negombo-hall",
            "listeners": {
                **{listener: f"{host}:{ports[listener]}" for listener in LISTENERS},
                "gossip_port": ports["gossip"],
            },
            "source_host": host,
            "seeds": seed,
            "first_start": True,
            "platform": {
                "cloud": self._cloud.address,
                "duties": "metering,autoscale",
                "store": self._store_listener.address,
                "history_s": 300,
                "group_ttl_min_ms": 1000,
            },
            "bounds": {
                "leaving_endpoint_ms": 2000,
                "endpoint_heartbeat_ms": 1200,
                "stop_grace_s": 8,
                "retry_ratio": 0.2,
                "retry_slack": 58,
                "retry_window_s": 10,
                "quota_window_s": 8,
                "quota_overrun": 0.1,
                "quota_slack": 140000,
                "lease_ms": 3000,
                "usage_window_s": 5,
                "usage_late_s": 10,
                "address_ttl_most_s": 5,
            },
            "scheduling": {"fair_shares": True, "forecast_quantile": 0.8},
        }

    async def start_nodes(self, count: int) -> None:
        """Start entry nodes with the command of the deploy file."""
        hosts = [f"127.77.{self._net}.{number + 1}" for number in range(count)]
        self._find_ports(hosts)
        seed = f"{hosts[0]}:{self._ports['control']}"
        for number, host in enumerate(hosts):
            name = f"edge-colombo-hall-{number + 1}"
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(self._settings(name, host, seed)))
            output = self._folder / f"{name}.log"
            with output.open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    "python3",
                    "-m",
                    "poplarrelay.entry",
                    "--settings",
                    str(path),
                    stdout=log,
                    stderr=log,
                    env=environment(),
                    cwd=ROOT,
                )
            self.nodes.append(Node(name, process, host, self._ports, output))
        async with asyncio.timeout(START_S):
            for node in self.nodes:
                while not any(x.get("message") == "ready" for x in node.log_lines()):
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all processes that the site has started."""
        for task in self._tasks:
            task.cancel()
        started = [*self.nodes, *self.runners.values()]
        for each in started:
            with contextlib.suppress(ProcessLookupError):
                os.kill(each.process.pid, signal.SIGCONT)
                each.process.kill()
        for each in started:
            await each.process.wait()
        self._store_listener.stop()
        self._cloud.stop()


@dataclass(slots=True)
class Case:
    """Site, record and switch of one case.

    Attributes
    ----------
    trouble : bool
        Whether the disruption takes place.
    """

    site: Site
    trouble: bool
    started_at: float = field(default_factory=time.monotonic)
    _lines: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def note_answer(self, answer: Answer) -> None:
        """Add what a client sent and got to the record."""
        sent = answer.sent_at - self.started_at
        took = answer.ended_at - answer.sent_at
        end = "complete" if answer.complete else f"NOT COMPLETE: {answer.problem}"
        signed = "x-poplarrelay-response-signature" in answer.headers
        self.note(
            f"request {answer.attempt} sent at {sent:.2f}, status {answer.status}"
            f"{' of the runner' if signed else ''}, {len(answer.body)} bytes,"
            f" {end}, after {took:.2f} s"
        )

    def write(self, folder: Path) -> None:
        """Write the record, with what the runners have logged."""
        for runner in self.site.runners.values():
            for line in runner.lines():
                at = line["at"] - self.started_at
                self._lines.append(
                    f"{at:7.2f} runner {runner.name}: {line['what']} {line['attempt']}"
                )
        self._lines.sort(key=lambda line: float(line.split()[0]))
        (folder / "record.txt").write_text("\n".join(self._lines) + "\n")


async def _run(play: Callable[[Case], Awaitable[bool]], folder: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        site = Site(Path(temporary))
        case = Case(site, trouble)
        try:
            async with asyncio.timeout(110):
                await site.start_platform()
                broken = await play(case)
            case.note("the rule was broken" if broken else "the rule held")
            case.write(folder)
            return BROKEN if broken else HELD
        finally:
            await site.stop()


def run_case(play: Callable[[Case], Awaitable[bool]], folder: Path) -> int:
    """Play a case and return the exit code of its script.

    Parameters
    ----------
    play : callable
        Plays the case, and returns whether the rule was broken.
    folder : Path
        Folder for the record.
    """
    try:
        return asyncio.run(_run(play, folder))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
