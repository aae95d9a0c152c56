"""Format the report of a replay as JSON or as an HTML page with a plot."""

from __future__ import annotations

from dataclasses import asdict
from html import escape

import orjson

from poplarrelay.replay.judge import ReplayEvaluation
from poplarrelay.replay.runner import Replay, RequestResult

__all__ = ["report_html", "report_json"]

WIDTH, HEIGHT, MARGIN = 720, 220, 36
COLOURS = {"urgent": "#b3261e", "standard": "#1e5fb3", "patient": "#4b8b3b"}
_STYLE = """
body { font: 15px/1.5 sans-serif; max-width: 60rem; margin: 2rem auto; }
table { border-collapse: collapse; } td, th { padding: .2rem .8rem; text-align: left;
border-bottom: 1px solid #ccc; } svg { background: #f7f7f7; } .bad { color: #b3261e; }
"""


def report_json(evaluation: ReplayEvaluation) -> bytes:
    """Return the report as indented JSON."""
    document = {**asdict(evaluation), "good": evaluation.good}
    return orjson.dumps(document, option=orjson.OPT_INDENT_2)


def _row(*cells: object) -> str:
    return "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in cells) + "</tr>"


def _first_token_plot(replay: Replay) -> str:
    """Return an SVG plot of the time to the first token over the time of sending."""
    points = [r for r in replay.results if r.first_s is not None]
    longest_s = max((r.first_s or 0.0 for r in points), default=1.0) or 1.0
    seconds = replay.trace.head.seconds
    circles = "".join(_circle(r, longest_s, seconds) for r in points)
    axis = (
        f'<text x="4" y="14" font-size="11">{longest_s:.2f} s</text>'
        f'<text x="{WIDTH - 60}" y="{HEIGHT - 6}" font-size="11">{seconds:.0f} s</text>'
    )
    events = "".join(
        f'<line x1="{_x(e.at, seconds):.1f}" x2="{_x(e.at, seconds):.1f}" y1="20" '
        f'y2="{HEIGHT - 20}" stroke="#888" stroke-dasharray="3 3">'
        f"<title>{escape(e.event.value)}</title></line>"
        for e in replay.trace.events
    )
    return f'<svg width="{WIDTH}" height="{HEIGHT}">{events}{circles}{axis}</svg>'


def _x(at: float, seconds: float) -> float:
    return MARGIN + (WIDTH - 2 * MARGIN) * min(1.0, at / seconds)


def _circle(result: RequestResult, longest_s: float, seconds: float) -> str:
    height = (HEIGHT - 2 * MARGIN) * (result.first_s or 0.0) / longest_s
    colour = COLOURS[result.request.request_class.value]
    return (
        f'<circle cx="{_x(result.request.at, seconds):.1f}" '
        f'cy="{HEIGHT - MARGIN - height:.1f}" r="2" fill="{colour}">'
        f"<title>{escape(result.request.id)}</title></circle>"
    )


def report_html(evaluation: ReplayEvaluation, replay: Replay) -> str:
    """Return the report as one HTML page without external files."""
    verdict = "all stated outcomes were reached" if evaluation.good else "broken"
    classes = "".join(
        _row(
            name,
            figures.requests,
            figures.answered,
            figures.in_time,
            figures.median_first_s,
            figures.p95_first_s,
        )
        for name, figures in evaluation.classes.items()
    )
    totals = "".join(
        _row(name.replace("_", " "), getattr(evaluation, name))
        for name in (
            "requests",
            "doubled",
            "lost",
            "fragments",
            "false_not_run",
            "prompt_tokens",
            "cached_tokens",
            "recomputed_moving",
            "recomputed_missing_cache",
        )
    )
    broken = "".join(
        _row(missed.outcome, missed.stated, missed.found, ", ".join(missed.requests))
        for missed in evaluation.broken
    )
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>{escape(evaluation.name)}</title><style>{_STYLE}</style></head><body>
<h1>{escape(evaluation.name)}: <span class="{"" if evaluation.good else "bad"}">
{verdict}</span></h1>
<h2>By class</h2><table><tr><th>class<th>requests<th>answered<th>in time
<th>median first token, s<th>95th, s</tr>{classes}</table>
<h2>Time to the first token</h2>{_first_token_plot(replay)}
<p>Red urgent, blue standard, green patient; dashed lines are platform events.</p>
<h2>Totals</h2><table>{totals}</table>
<h2>Broken outcomes</h2><table><tr><th>outcome<th>stated<th>found<th>requests</tr>
{broken or _row("none", "", "", "")}</table></body></html>
"""
