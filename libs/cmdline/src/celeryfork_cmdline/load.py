"""``celeryfork load``."""

import asyncio
from pathlib import Path
from typing import Annotated

from celeryfork_bench.callers import CallerOptions
from celeryfork_bench.checker import Evidence, check
from celeryfork_bench.demo import table
from celeryfork_bench.remote import load as send_load
from celeryfork_bench.summary import deployment_bound, summarize
from celeryfork_bench.workload import WorkloadOptions, make_arrivals
from celeryfork_standin.deployment import load_deployment
from typer import Argument, Exit, Option

from celeryfork_cmdline.operator_client import InstancesUrl
from celeryfork_cmdline.output import print_json, print_table

EXIT_BROKEN_PROMISE = 1
MEAN_BURST_FACTOR = 1.4
WARM_UP_SHARE = 0.3


def load(
    deployment_path: Annotated[Path, Argument(help="The deployment file.")],
    instances_url: InstancesUrl,
    seconds: Annotated[float, Option(help="For how long requests arrive.")] = 20.0,
    share: Annotated[
        float, Option(help="Offered tokens as a share of the max-flow bound.")
    ] = 1.0,
    plain: Annotated[float, Option(help="Plain calls a second.")] = 8.0,
    seed: Annotated[int, Option(help="Seed of everything random.")] = 1,
    json: Annotated[bool, Option("--json", help="Print JSON.")] = False,
) -> None:
    """Send a load in bursts to a deployment's entry instances; show what became of it.

    Waits until every entry instance of the deployment is ready. Answers are checked
    against what honest engines give. Exit code 1 if an answer is not the caller's own.
    """
    deployment = load_deployment(deployment_path)
    options = WorkloadOptions(
        seconds=seconds, model_calls_per_s=0.0, plain_calls_per_s=plain
    )
    mean_tokens = (options.least_tokens + options.most_tokens) / 2
    rate = deployment_bound(deployment) * share / mean_tokens / MEAN_BURST_FACTOR
    options = WorkloadOptions(
        seconds=seconds, model_calls_per_s=rate, plain_calls_per_s=plain
    )
    arrivals = make_arrivals(deployment, options, seed)
    history, began_s = asyncio.run(
        send_load(deployment, instances_url, arrivals, seed, CallerOptions())
    )
    layers = {model.name: model.layers for model in deployment.models}
    evidence = Evidence(history.exchanges(), (), (), layers)
    # What targets ran is not known here, so only the answers can be judged.
    violations = [v for v in check(evidence) if v.promise == "own_whole_answer"]
    summary = summarize(
        history.exchanges(),
        violations,
        deployment,
        began_s + seconds * WARM_UP_SHARE,
        began_s + seconds,
    )
    if json:
        print_json(dict(table(summary)))
    else:
        print_table(("", ""), table(summary))
    if violations:
        raise Exit(EXIT_BROKEN_PROMISE)
