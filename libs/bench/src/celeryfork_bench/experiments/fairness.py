"""Whether an organisation at ten times its share slows the others down."""

from collections.abc import Sequence

from attrs import evolve
from celeryfork_standin.deployment import CallerSpec

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.summary import deployment_bound, quantiles
from celeryfork_bench.workload import Arrival, WorkloadOptions, make_arrivals

MOST_RATIO = 1.2
TIMES_ITS_SHARE = 10.0
OTHERS_SHARE = 0.4
MEAN_BURST_FACTOR = 1.4
LEAST_TOKENS, MOST_TOKENS = 8, 16


def run(context: Context) -> Sequence[Figure]:
    """Return the others' p95 to the first token, beside the heavy one over alone."""
    callers = context.deployment.callers
    total = sum(caller.load_share for caller in callers)
    # The middle one: large enough to hurt at ten times its share.
    heavy = sorted(callers, key=lambda caller: caller.load_share)[len(callers) // 2]
    share = heavy.load_share / total
    others = [caller for caller in callers if caller is not heavy]
    calm = _arrivals(context, others, OTHERS_SHARE, context.seed)
    storm = _arrivals(context, [heavy], share * TIMES_ITS_SHARE, context.seed + 1)
    alone_s = _p95(context, calm, heavy.organisation)
    beside_s = _p95(context, sorted([*calm, *storm], key=_at_s), heavy.organisation)
    ratio = beside_s / alone_s if alone_s else float("nan")
    name = "fairness, others' p95 to first token over alone"
    return [context.figure(name, ratio, "ratio", at_most(MOST_RATIO))]


def _arrivals(
    context: Context, callers: Sequence[CallerSpec], share: float, seed: int
) -> list[Arrival]:
    offered = deployment_bound(context.deployment) * share
    mean_tokens = (LEAST_TOKENS + MOST_TOKENS) / 2
    options = WorkloadOptions(
        seconds=context.choose(2.0, 10.0),
        model_calls_per_s=offered / mean_tokens / MEAN_BURST_FACTOR,
        plain_calls_per_s=0.0,
        least_tokens=LEAST_TOKENS,
        most_tokens=MOST_TOKENS,
        stream_share=1.0,
    )
    deployment = evolve(context.deployment, callers=tuple(callers))
    return make_arrivals(deployment, options, seed)


def _p95(context: Context, arrivals: Sequence[Arrival], heavy: str) -> float:
    exchanges = context.run(arrivals).history.exchanges()
    return quantiles(
        exchange.first_token_s
        for exchange in exchanges
        if exchange.organisation != heavy and exchange.first_token_s is not None
    ).p95


def _at_s(arrival: Arrival) -> float:
    return arrival.at_s


FAIRNESS = Experiment("fairness", run, each_deployment=False)
