"""What nodes know of each other as their number grows.

Plays the real tables and datagrams of entry nodes over a path in memory, with loss,
delay and nodes that are killed. No processor limit, so it shows what the protocol
does, not what a busy host makes of it.

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
from poplarrelay.testing.network import USE_PER_S, Network

__all__ = ["Figures", "measure"]

#: Seconds for the nodes to find each other, and of quiet before anything happens.
SETTLE_S = 6.0
QUIET_S = 3.0
#: Seconds after the changes and after the deaths.
AFTER_S = 4.0
#: Nodes that change their state, and nodes that are killed.
CHANGED, KILLED = 8, 5
#: Seconds over which a team's use is compared, as quotas are judged.
USE_WINDOW_S = 8.0


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run showed; `sent_kb_s`, `messages_s`, `cpu_percent` are a node's."""

    nodes: int
    false_deaths_percent: float
    news_p99_s: float
    detect_p99_s: float
    sent_kb_s: float
    messages_s: float
    cpu_percent: float
    use_error_percent: float


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _use_error(network: Network) -> float:
    """Return how far the use of a team is from what nodes believe, in percent."""
    truth = sum(
        network.tables[host].me.spent[TeamId("team-0")] for host in network.alive
    )
    whole = USE_PER_S * USE_WINDOW_S * len(network.alive)
    errors = []
    for host in network.alive[:: max(1, network.count // 20)]:
        table = network.tables[host]
        told = (table.me, *table.counted(network.now))
        believed = sum(each.spent.get(TeamId("team-0"), 0.0) for each in told)
        errors.append(abs(truth - believed) / whole)
    return 100 * sum(errors) / len(errors)


def _spread(network: Network, victims: list[str], seen: Any) -> float:
    """Return the time until 99 of 100 nodes see what happened to some, in s."""
    began = network.now
    waiting = {(host, v) for host in network.alive for v in victims if host != v}
    whole = len(waiting)
    times: list[float] = []
    for _ in network.run(AFTER_S):
        done = {pair for pair in waiting if seen(*pair)}
        waiting -= done
        times += [network.now - began] * len(done)
    times += [float("inf")] * (whole - len(times))
    return _quantile(times, 0.99)


def measure(count: int, loss: float = 0.0, seed: int = 1) -> Figures:
    """Play one number of nodes.

    Parameters
    ----------
    count : int
        How many nodes.
    loss : float
        Part of all datagrams that is lost.
    seed : int
        Of all that is drawn.
    """
    network = Network.starting(count, loss, seed)
    for _ in network.run(SETTLE_S):
        pass
    sent = [(n.sent_bytes, n.sent_datagrams) for n in network.nodes.values()]
    cpu = time.process_time()
    wrong = pairs = 0
    errors = []
    for _ in network.run(QUIET_S):
        found = network.count_false_deaths()
        wrong, pairs = wrong + found[0], pairs + found[1]
        errors.append(_use_error(network))
    cpu = time.process_time() - cpu
    nodes = network.nodes.values()
    sent_bytes = sum(n.sent_bytes for n in nodes) - sum(b for b, _ in sent)
    datagrams = sum(n.sent_datagrams for n in nodes) - sum(d for _, d in sent)
    changed = network.rng.sample(network.alive, min(CHANGED, count - 1))
    for host in changed:
        network.tables[host].me.state = NodeState.DRAINING
        network.tables[host].me.version += 1
        network.nodes[host].run_round((), to_all=True)

    def sees_change(host: str, victim: str) -> bool:
        states = network.tables[host].states()
        return states.get(network.tables[victim].me.node) is NodeState.DRAINING

    def sees_death(host: str, victim: str) -> bool:
        alive = network.tables[host].alive(network.now)
        return all(row.host != victim for row in alive)

    news_s = _spread(network, changed, sees_change)
    killed = network.rng.sample(network.alive, min(KILLED, count // 3))
    network.dead |= set(killed)
    detect_s = _spread(network, killed, sees_death)
    return Figures(
        nodes=count,
        false_deaths_percent=round(100 * wrong / pairs, 3),
        news_p99_s=round(news_s, 2),
        detect_p99_s=round(detect_s, 2),
        sent_kb_s=round(sent_bytes / count / QUIET_S / 1000, 1),
        messages_s=round(datagrams / count / QUIET_S, 1),
        cpu_percent=round(100 * cpu / count / QUIET_S, 2),
        use_error_percent=round(sum(errors) / len(errors), 2),
    )


app = App(name="membership_at_size", help="What nodes know of each other at size.")


@app.default
def main(*sizes: int, loss: float = 0.0, seed: int = 1, json: bool = False) -> None:
    """Print a line a size.

    Parameters
    ----------
    sizes
        Numbers of nodes.
    loss
        Part of all datagrams that is lost.
    seed
        Of all that is drawn.
    json
        Print JSON.
    """
    for count in sizes or (9, 61, 195, 410):
        figures = asdict(measure(count, loss, seed))
        if json:
            print(orjson.dumps(figures).decode(), flush=True)
        else:
            print(*(f"{name}={value}" for name, value in figures.items()), flush=True)


if __name__ == "__main__":
    app()
