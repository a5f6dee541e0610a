"""The bench: runs experiments one after the other and collects their figures."""

from collections.abc import Callable, Iterator, Sequence

from attrs import frozen
from celeryfork_standin.deployment import Deployment

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.experiments.control_plane import CONTROL_PLANE
from celeryfork_bench.experiments.fairness import FAIRNESS
from celeryfork_bench.experiments.hop import HOP
from celeryfork_bench.experiments.leaving import LEAVING
from celeryfork_bench.experiments.limits import LIMITS
from celeryfork_bench.experiments.poison import POISON
from celeryfork_bench.experiments.propagation import PROPAGATION
from celeryfork_bench.experiments.recovery import RECOVERY
from celeryfork_bench.experiments.relay import RELAY
from celeryfork_bench.experiments.retries import RETRIES
from celeryfork_bench.experiments.saturation import SATURATION
from celeryfork_bench.experiments.size import SIZE
from celeryfork_bench.figures import Figure

EXPERIMENTS: tuple[Experiment, ...] = (
    SATURATION,
    RECOVERY,
    RELAY,
    HOP,
    PROPAGATION,
    LIMITS,
    FAIRNESS,
    LEAVING,
    RETRIES,
    POISON,
    CONTROL_PLANE,
    SIZE,
)


@frozen
class BenchOptions:
    """What to run.

    Parameters
    ----------
    only
        Names of experiments; empty for all.
    """

    quick: bool = False
    seed: int = 1
    only: tuple[str, ...] = ()


def names() -> list[str]:
    """Return the names of all experiments."""
    return [experiment.name for experiment in EXPERIMENTS]


def run_bench(
    deployments: Sequence[Deployment],
    options: BenchOptions,
    tell: Callable[[Figure], None],
) -> list[Figure]:
    """Run the experiments on each deployment; return all figures.

    Parameters
    ----------
    tell
        Takes each figure as soon as its experiment has ended.
    """
    figures: list[Figure] = []
    for number, deployment in enumerate(deployments):
        context = Context(deployment, options.quick, options.seed)
        try:
            for figure in _run(context, options, first=number == 0):
                figures.append(figure)
                tell(figure)
        finally:
            context.close()
    return figures


def _run(context: Context, options: BenchOptions, first: bool) -> Iterator[Figure]:
    for experiment in EXPERIMENTS:
        wanted = not options.only or experiment.name in options.only
        if wanted and (first or experiment.each_deployment):
            yield from experiment.run(context)
