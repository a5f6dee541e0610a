"""``celeryfork soak``."""

from typing import Annotated

from celeryfork_bench.soak import soak as run_soak
from typer import Exit, Option

EXIT_BROKEN_PROMISE = 1


def soak(
    seconds: Annotated[float, Option(help="For how long to run schedules.")] = 60.0,
    seed: Annotated[int, Option(help="Seed of the first schedule.")] = 1,
) -> None:
    """Run seeded schedules of faults against a small deployment and check the promises.

    The last line counts schedules, calls and violations; exit code 1 on any violation.
    """
    broken = run_soak(seconds, seed, lambda line: print(line, flush=True))
    if broken:
        raise Exit(EXIT_BROKEN_PROMISE)
