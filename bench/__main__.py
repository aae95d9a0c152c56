"""Measure the latency that a node adds, its relay throughput and its memory."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
import time
from typing import Any

import urllib3

from bench.measuring import cpu_seconds, percentile, resident_mb
from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import Process, RunningSite, run_site, wait_until
from poplarrelay.testing.site import free_address, loopback_host, team_token

RATE = 50.0
LATENCY_REQUESTS = 1500
RELAY_TOKENS = 60_000
STREAMS = 32
STREAM_TOKENS = 4_000
MANY_STREAMS = 200
IMPORTS = "cherrypy, cheroot.wsgi, aioprometheus, urllib3, cyclopts, orjson, pydantic"
IMPORTS += ", pythonjsonlogger.json"
HEADERS = {
    "Authorization": f"Bearer {team_token('alpha')}",
    "Content-Type": "application/json",
}


def _time_get(pool: urllib3.PoolManager, url: str) -> float:
    began = time.perf_counter()
    response = pool.request("GET", url, headers=HEADERS)
    assert response.status == 200
    return time.perf_counter() - began


def measure_latency(site: RunningSite) -> dict[str, float]:
    """Measure calls of one service, alternately direct and through a node."""
    pool = urllib3.PoolManager(retries=False)
    node = site.nodes["node-1"].address
    desk = site.endpoints["desk-1"].address
    urls = (f"http://{desk}/seats", f"http://{node}/services/booking/seats")
    times: tuple[list[float], list[float]] = ([], [])
    began = time.monotonic()
    for number in range(2 * LATENCY_REQUESTS):
        time.sleep(max(0.0, began + number / (2 * RATE) - time.monotonic()))
        index = number % 2
        times[index].append(_time_get(pool, urls[index]))
    figures: dict[str, float] = {}
    for fraction, name in ((0.5, "median"), (0.99, "p99")):
        direct, through = (1000 * percentile(values, fraction) for values in times)
        figures[f"direct_{name}_ms"] = round(direct, 2)
        figures[f"through_{name}_ms"] = round(through, 2)
        figures[f"added_{name}_ms"] = round(through - direct, 2)
        figures[f"ratio_{name}"] = round(through / direct, 2)
    return figures


def _start_source(
    site: RunningSite, name: str, write_interval_s: float, tokens_per_write: int = 8
) -> None:
    """Start a token source and add it to the host list as an engine."""
    address = free_address(loopback_host(10))
    host, port = address.split(":")
    output = site.folder / f"{name}.log"
    command = [sys.executable, "-m", "bench.source", "--host", host, "--port", port]
    command += [
        "--name",
        name,
        "--pace-s",
        str(write_interval_s),
        "--group",
        str(tokens_per_write),
    ]
    with output.open("ab") as stream:
        popen = subprocess.Popen(command, stdout=stream, stderr=stream)
    site.standins[name] = Process(name, address, popen, output)
    wait_until(lambda: site.get(address, "/load"))
    row = {
        "endpoint": name,
        "kind": "engine",
        "address": address,
        "failure_domain": "east",
        "names": [name],
        "price": 1.0,
        "reclaimable": True,
        "checks_fencing": False,
        "state": "live",
    }
    site.put(site.platform["hosts"], f"/hosts/{name}", row)
    wait_until(
        lambda: name in (site.status("node-1") or {"endpoints": {}})["endpoints"]
    )


def _count_streamed_tokens(
    site: RunningSite, tokens: int, url: str, body: dict[str, Any]
) -> int:
    pool = urllib3.PoolManager(retries=False)
    response = pool.request(
        "POST",
        url,
        body=json.dumps({**body, "max_tokens": tokens, "stream": True}),
        headers=HEADERS,
        preload_content=False,
        timeout=urllib3.Timeout(connect=5.0, read=60.0),
    )
    read = b"".join(response.stream(65_536))
    assert read.endswith(b"[DONE]\n\n"), read[-200:]
    return read.count(b'"text":"token "')


def _measure_relay(
    site: RunningSite, model: str, streams: int, tokens: int
) -> dict[str, float]:
    node = site.nodes["node-1"]
    url = f"http://{node.address}/v1/completions"
    body = {"model": model, "prompt": "x"}
    counts: list[int] = []
    threads = [
        threading.Thread(
            target=lambda: counts.append(
                _count_streamed_tokens(site, tokens, url, body)
            )
        )
        for _ in range(streams)
    ]
    cpu_s, began = cpu_seconds(node.pid), time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed, cpu_s = time.monotonic() - began, cpu_seconds(node.pid) - cpu_s
    assert sum(counts) == streams * tokens
    return {
        "tokens_per_s": round(sum(counts) / elapsed),
        "tokens_per_core_s": round(sum(counts) / cpu_s),
        "node_cores": round(cpu_s / elapsed, 2),
    }


def _measure_source(site: RunningSite, tokens: int) -> int:
    address = site.standins["fast"].address
    body = {"model": "fast", "prompt": "x", "attempt": "a"}
    began = time.monotonic()
    count = _count_streamed_tokens(
        site, tokens, f"http://{address}/v1/completions", body
    )
    return round(count / (time.monotonic() - began))


def measure_memory(site: RunningSite) -> dict[str, float]:
    """Measure the node's memory without streams and with many open streams."""
    node = site.nodes["node-1"]
    url = f"http://{node.address}/v1/completions"
    figures = {"idle_mb": round(resident_mb(node.pid), 1)}
    threads = [
        threading.Thread(
            target=_count_streamed_tokens,
            args=(site, 160, url, {"model": "slow", "prompt": "x"}),
        )
        for _ in range(MANY_STREAMS)
    ]
    for thread in threads:
        thread.start()
    wait_until(
        lambda: _count_open_streams(site) >= MANY_STREAMS, 30.0, "all streams open"
    )
    figures["streams"] = _count_open_streams(site)
    figures["at_streams_mb"] = round(resident_mb(node.pid), 1)
    for thread in threads:
        thread.join()
    return figures


def _count_open_streams(site: RunningSite) -> int:
    status = site.status("node-1") or {"requests": {}}
    return int(status["requests"].get("dispatched", 0))


def imports_mb() -> float:
    """Return the memory of a process that only imports the libraries, in MB."""
    code = f"import {IMPORTS}, time; print('ready', flush=True); time.sleep(30)"
    with subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE) as p:
        assert p.stdout is not None
        p.stdout.readline()
        memory = resident_mb(p.pid)
        p.kill()
    return round(memory, 1)


def main() -> int:
    """Print all figures as JSON."""
    template = {
        "models": ["small", "fast", "single", "slow"],
        "limits": {"max_running": 5000, "max_queued": 5000, "retry_ratio": 0.2},
    }
    settings = {"callers": {"threads": 260}, "log_level": "INFO"}
    site = small_site(nodes=1, engines=1, template=template)
    figures: dict[str, Any] = {"imports_mb": imports_mb()}
    with run_site(site, settings=settings) as running:
        figures["memory_idle_mb"] = round(resident_mb(running.nodes["node-1"].pid), 1)
        figures["latency"] = measure_latency(running)
        _start_source(running, "fast", 0.0)
        figures["source_alone_tokens_per_s"] = _measure_source(running, RELAY_TOKENS)
        _start_source(running, "single", 0.0, tokens_per_write=1)
        for model, write_size in (("fast", "8_a_write"), ("single", "1_a_write")):
            figures[f"relay_1_stream_{write_size}"] = _measure_relay(
                running, model, 1, RELAY_TOKENS
            )
            figures[f"relay_{STREAMS}_streams_{write_size}"] = _measure_relay(
                running, model, STREAMS, STREAM_TOKENS
            )
            running.standins[model].kill()
            running.delist(model)
        _start_source(running, "slow", 0.4)
        figures["memory"] = measure_memory(running)
    print(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
