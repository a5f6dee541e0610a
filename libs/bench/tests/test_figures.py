"""Tests of celeryfork_bench.figures and .report."""

from pathlib import Path

import pytest
from celeryfork_bench.figures import (
    Bound,
    Figure,
    Verdict,
    at_least,
    at_most,
    exit_code,
)
from celeryfork_bench.report import write_report
from orjson import loads


@pytest.mark.parametrize(
    ("value", "bound", "verdict"),
    [
        (0.95, at_least(0.95), Verdict.HOLDS),
        (0.94, at_least(0.95), Verdict.FALLS_SHORT),
        (1.0, at_most(1.0), Verdict.HOLDS),
        (1.1, at_most(1.0), Verdict.FALLS_SHORT),
        (float("nan"), at_most(1.0), Verdict.FALLS_SHORT),
        (float("nan"), at_least(1.0), Verdict.FALLS_SHORT),
        (5.0, None, None),
    ],
)
def test_a_verdict_is_on_the_right_side_of_its_bound(
    value: float, bound: Bound | None, verdict: Verdict | None
) -> None:
    assert Figure("f", value, "s", bound).verdict is verdict


def test_one_figure_that_falls_short_decides_the_exit_code() -> None:
    good, free = Figure("a", 1, "s", at_most(2)), Figure("b", 9, "s")
    assert exit_code([good, free]) == 0
    assert exit_code([good, Figure("c", 3, "s", at_most(2)), free]) == 1


def test_a_line_gives_name_value_unit_bound_and_verdict() -> None:
    line = Figure("delay", 0.5, "s", at_most(1), "wanjiru").line()
    assert line.split() == ["wanjiru:", "delay", "0.5", "s", "at", "most", "1", "holds"]


def test_the_report_names_every_figure_and_loads_nothing(tmp_path: Path) -> None:
    figures = [
        Figure("<delay>", 3, "s", at_most(1), "wanjiru"),
        Figure("none seen", float("nan"), "s", at_most(0)),
        Figure("free", 9, "calls"),
    ]
    write_report(tmp_path / "new", figures)
    page = (tmp_path / "new" / "report.html").read_text()
    assert "&lt;delay&gt;" in page and "none seen" in page and "free" in page
    assert "2 short" in page
    assert "src=" not in page and "href=" not in page
    data = loads((tmp_path / "new" / "figures.json").read_bytes())
    assert [one["verdict"] for one in data] == ["falls short", "falls short", None]
