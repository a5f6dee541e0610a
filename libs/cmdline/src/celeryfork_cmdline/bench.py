"""``celeryfork bench``."""

from pathlib import Path
from typing import Annotated

from celeryfork_bench.bench import BenchOptions, names, run_bench
from celeryfork_bench.demo import load_named
from celeryfork_bench.figures import Figure, exit_code
from celeryfork_bench.report import write_report
from typer import BadParameter, Exit, Option

from celeryfork_cmdline.output import print_json

DEPLOYMENTS = ("wanjiru", "troskgille")


def bench(
    quick: Annotated[bool, Option("--quick", help="Measure for less long.")] = False,
    json: Annotated[bool, Option("--json", help="Print JSON.")] = False,
    out: Annotated[
        Path | None, Option(help="Directory for figures.json and report.html.")
    ] = None,
    only: Annotated[
        list[str] | None, Option(help="Name of an experiment; may be repeated.")
    ] = None,
    seed: Annotated[int, Option(help="Seed of everything random.")] = 1,
) -> None:
    """Measure both sample deployments against the users' bounds, one line a figure.

    Exit code 1 if a figure falls short of its bound.
    """
    unknown = sorted(set(only or ()) - set(names()))
    if unknown:
        known = ", ".join(names())
        raise BadParameter(f"{unknown[0]!r} is no experiment; choose from {known}.")
    deployments = [load_named(name) for name in DEPLOYMENTS]
    options = BenchOptions(quick, seed, tuple(only or ()))
    figures = run_bench(deployments, options, _silent if json else _print_line)
    if json:
        print_json([figure.as_json() for figure in figures])
    if out is not None:
        write_report(out, figures)
    if exit_code(figures):
        raise Exit(exit_code(figures))


def _print_line(figure: Figure) -> None:
    print(figure.line(), flush=True)


def _silent(_: Figure) -> None:
    """Print nothing: all figures follow as JSON."""
