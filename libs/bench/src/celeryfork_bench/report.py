"""Writes the figures as JSON and as one HTML page with a plot, without resources."""

from collections.abc import Iterable, Sequence
from html import escape
from itertools import groupby
from math import isfinite
from pathlib import Path

from orjson import OPT_INDENT_2, dumps

from celeryfork_bench.figures import Better, Figure, Verdict

WIDTH_PX = 300
HEIGHT_PX = 16
# The bound is drawn here, and a bar twice as long fills the plot.
BOUND_PX = WIDTH_PX / 2
COLOURS_BY_VERDICT = {Verdict.HOLDS: "#2f7d5b", Verdict.FALLS_SHORT: "#c0392b"}
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #222; margin: 2rem auto;
       max-width: 70rem; padding: 0 1rem }
table { border-collapse: collapse; width: 100% }
th, td { text-align: left; padding: .35rem .8rem .35rem 0;
         border-bottom: 1px solid #e4e4e4 }
td.number { text-align: right; font-variant-numeric: tabular-nums }
h2 { margin-top: 2.5rem; font-weight: 600 }
.short { color: #c0392b; font-weight: 600 } .holds { color: #2f7d5b }
"""


def write_report(directory: Path, figures: Sequence[Figure]) -> None:
    """Write ``figures.json`` and ``report.html`` into a directory, made if missing."""
    directory.mkdir(parents=True, exist_ok=True)
    data = dumps([figure.as_json() for figure in figures], option=OPT_INDENT_2)
    (directory / "figures.json").write_bytes(data)
    (directory / "report.html").write_text(html_report(figures), encoding="utf-8")


def html_report(figures: Sequence[Figure]) -> str:
    """Return the page."""
    short = sum(figure.verdict is Verdict.FALLS_SHORT for figure in figures)
    bounded = sum(figure.bound is not None for figure in figures)
    ordered = sorted(figures, key=lambda figure: figure.deployment)
    sections = [
        _section(name or "both deployments", group)
        for name, group in groupby(ordered, key=lambda figure: figure.deployment)
    ]
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>celeryfork bench</title><style>{STYLE}</style>"
        f"<h1>celeryfork bench</h1><p>{len(figures)} figures, {bounded} with a bound, "
        f"{short} short of it. The line in each plot is the bound.</p>"
        f"{''.join(sections)}</html>\n"
    )


def _section(name: str, figures: Iterable[Figure]) -> str:
    rows = "".join(map(_row, figures))
    heads = "".join(
        f"<th>{head}</th>" for head in ("figure", "value", "unit", "bound", "", "")
    )
    return f"<h2>{escape(name)}</h2><table><tr>{heads}</tr>{rows}</table>"


def _row(figure: Figure) -> str:
    bound = f"{figure.bound.better} {figure.bound.value:g}" if figure.bound else ""
    style = "short" if figure.verdict is Verdict.FALLS_SHORT else "holds"
    return (
        f'<tr><td>{escape(figure.name)}</td><td class="number">{figure.value:.4g}</td>'
        f"<td>{escape(figure.unit)}</td><td>{bound}</td><td>{_plot(figure)}</td>"
        f'<td class="{style}">{figure.verdict or ""}</td></tr>'
    )


def _plot(figure: Figure) -> str:
    """Return a bar whose length is the value in parts of the bound."""
    bound = figure.bound
    if bound is None or figure.verdict is None or not isfinite(figure.value):
        return ""
    share = figure.value / bound.value if bound.value else 2.0 * (figure.value > 0)
    length = min(WIDTH_PX, max(1.0, share * BOUND_PX))
    side = "right" if bound.better is Better.AT_LEAST else "left"
    return (
        f'<svg width="{WIDTH_PX}" height="{HEIGHT_PX}" role="img">'
        f"<title>{share:.3g} of the bound; good is {side} of the line</title>"
        f'<rect width="{WIDTH_PX}" height="{HEIGHT_PX}" fill="#f3f3f1" rx="3"/>'
        f'<rect width="{length:.1f}" height="{HEIGHT_PX}" rx="3" '
        f'fill="{COLOURS_BY_VERDICT[figure.verdict]}"/>'
        f'<line x1="{BOUND_PX}" x2="{BOUND_PX}" y2="{HEIGHT_PX}" stroke="#222" '
        'stroke-width="2"/></svg>'
    )
