"""Throughput against the max-flow bound at saturation: routing alone, virtual time."""

from collections.abc import Sequence
from statistics import fmean

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.experiments.queueing import POLICIES, QueueingRun
from celeryfork_bench.figures import Figure, at_least

CALLERS = 600
WARM_S = 10.0
LEAST_SHARE = 0.95


def run(context: Context) -> Sequence[Figure]:
    """Return the share of the bound that each routing policy reaches."""
    seconds = context.choose(10.0, 20.0)
    seeds = range(context.seed, context.seed + int(context.choose(1, 3)))
    figures = []
    for policy in POLICIES:
        runs = [QueueingRun(context.deployment, policy, seed) for seed in seeds]
        share = fmean(run.reached(CALLERS, WARM_S, seconds) for run in runs)
        bound = at_least(LEAST_SHARE) if policy == "router" else None
        name = f"throughput of the bound, virtual time, {policy}"
        figures.append(context.figure(name, share, "share", bound))
    return figures


SATURATION = Experiment("saturation", run)
