"""``celeryfork demo``."""

from typing import Annotated

from celeryfork_bench.demo import load_named, run_demo, table
from typer import Argument, Exit, Option

from celeryfork_cmdline.output import print_table

EXIT_BROKEN_PROMISE = 1
MOST_VIOLATIONS_SHOWN = 10


def demo(
    deployment: Annotated[
        str, Argument(help="wanjiru, troskgille, or a deployment file.")
    ] = "wanjiru",
    seed: Annotated[int, Option(help="Seed of everything random.")] = 1,
) -> None:
    """Run a whole deployment in one process and show what became of every request.

    Exit code 1 if a promise was broken.
    """
    summary = run_demo(load_named(deployment), seed)
    print_table(("", ""), table(summary))
    for violation in summary.violations[:MOST_VIOLATIONS_SHOWN]:
        ids = ", ".join(violation.request_ids)
        print(f"BROKEN {violation.promise}: {violation.what} [{ids}] (seed {seed})")
    if summary.violations:
        raise Exit(EXIT_BROKEN_PROMISE)
