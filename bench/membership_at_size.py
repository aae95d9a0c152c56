"""Measure how gossip between entry nodes works as their number grows.

The simulation runs the real tables and datagrams of entry nodes over a network in
memory, with packet loss, delay and killed nodes. The processor is not limited, so the
figures show the behaviour of the protocol and not the effects of a busy host.

    python -m bench.membership_at_size 9 61 195 410 --loss 0.025 --seed 1 --json
"""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass
from typing import Any

import orjson
from cyclopts import App

from poplarrelay.entry.peer_rows import NodeState
from poplarrelay.identifiers import TeamId
from poplarrelay.testing.network import USAGE_PER_S, Network

__all__ = ["Figures", "measure"]

#: Seconds until the nodes have found each other, and seconds without any change.
WARM_UP_S = 6.0
IDLE_S = 3.0
#: Seconds of observation after the state changes, and again after the kills.
OBSERVATION_S = 4.0
#: Nodes that change their state, and nodes that are killed.
CHANGED, KILLED = 8, 5
#: The error of a team's usage is relative to its usage in these seconds, as for quotas.
USAGE_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a run; `sent_kb_s`, `messages_s` and `cpu_percent` are per node."""

    nodes: int
    false_deaths_percent: float
    news_p99_s: float
    detect_p99_s: float
    sent_kb_s: float
    messages_s: float
    cpu_percent: float
    use_error_percent: float


def _quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )


def _usage_error(network: Network) -> float:
    """Return the mean error of a team's usage in the nodes' tables, in percent."""
    actual = sum(
        network.tables[host].me.used[TeamId("team-0")] for host in network.alive
    )
    total = USAGE_PER_S * USAGE_WINDOW_S * len(network.alive)
    errors = []
    for host in network.alive[:: max(1, network.count // 20)]:
        table = network.tables[host]
        rows = (table.me, *table.rows_and_summaries(network.now))
        reported = sum(each.used.get(TeamId("team-0"), 0.0) for each in rows)
        errors.append(abs(actual - reported) / total)
    return 100 * sum(errors) / len(errors)


def _detection_time(network: Network, victims: list[str], sees: Any) -> float:
    """Return the time until 99 of 100 nodes see the event at each victim, in s."""
    began = network.now
    waiting = {(host, v) for host in network.alive for v in victims if host != v}
    total = len(waiting)
    times: list[float] = []
    for _ in network.run(OBSERVATION_S):
        detected = {pair for pair in waiting if sees(*pair)}
        waiting -= detected
        times += [network.now - began] * len(detected)
    times += [float("inf")] * (total - len(times))
    return _quantile(times, 0.99)


def measure(count: int, loss: float = 0.0, seed: int = 1) -> Figures:
    """Simulate a number of nodes and return the figures.

    Parameters
    ----------
    count : int
        Number of nodes.
    loss : float
        Fraction of the datagrams that is lost.
    seed : int
        Seed of the random generators.
    """
    network = Network.create(count, loss, seed)
    for _ in network.run(WARM_UP_S):
        pass
    sent = [(n.sent_bytes, n.sent_datagrams) for n in network.nodes.values()]
    cpu_s = time.process_time()
    false_deaths = pairs = 0
    errors = []
    for _ in network.run(IDLE_S):
        found = network.count_false_deaths()
        false_deaths, pairs = false_deaths + found[0], pairs + found[1]
        errors.append(_usage_error(network))
    cpu_s = time.process_time() - cpu_s
    nodes = network.nodes.values()
    sent_bytes = sum(n.sent_bytes for n in nodes) - sum(b for b, _ in sent)
    datagrams = sum(n.sent_datagrams for n in nodes) - sum(d for _, d in sent)
    changed = network.rng.sample(network.alive, min(CHANGED, count - 1))
    for host in changed:
        network.tables[host].me.state = NodeState.DRAINING
        network.tables[host].me.version += 1
        network.nodes[host].run_round((), to_all=True)

    def lists_as_draining(host: str, victim: str) -> bool:
        states = network.tables[host].states()
        return states.get(network.tables[victim].me.node) is NodeState.DRAINING

    def lists_as_dead(host: str, victim: str) -> bool:
        alive = network.tables[host].alive(network.now)
        return all(row.host != victim for row in alive)

    change_s = _detection_time(network, changed, lists_as_draining)
    killed = network.rng.sample(network.alive, min(KILLED, count // 3))
    network.dead |= set(killed)
    detect_s = _detection_time(network, killed, lists_as_dead)
    return Figures(
        nodes=count,
        false_deaths_percent=round(100 * false_deaths / pairs, 3),
        news_p99_s=round(change_s, 2),
        detect_p99_s=round(detect_s, 2),
        sent_kb_s=round(sent_bytes / count / IDLE_S / 1000, 1),
        messages_s=round(datagrams / count / IDLE_S, 1),
        cpu_percent=round(100 * cpu_s / count / IDLE_S, 2),
        use_error_percent=round(sum(errors) / len(errors), 2),
    )


app = App(name="membership_at_size", help="Measure gossip between many entry nodes.")


@app.default
def main(*sizes: int, loss: float = 0.0, seed: int = 1, json: bool = False) -> None:
    """Print one line of figures for each number of nodes.

    Parameters
    ----------
    sizes
        Numbers of nodes.
    loss
        Fraction of the datagrams that is lost.
    seed
        Seed of the random generators.
    json
        Whether to print each line as JSON.
    """
    for count in sizes or (9, 61, 195, 410):
        figures = asdict(measure(count, loss, seed))
        if json:
            print(orjson.dumps(figures).decode(), flush=True)
        else:
            print(*(f"{name}={value}" for name, value in figures.items()), flush=True)


if __name__ == "__main__":
    app()
