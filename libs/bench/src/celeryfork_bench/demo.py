"""The demo: a whole deployment in one process, a burst, and some bad luck."""

import time
from collections.abc import Sequence
from pathlib import Path

from celeryfork_standin.deployment import Deployment, load_deployment

from celeryfork_bench.checker import check
from celeryfork_bench.field import Event, Field, make_field
from celeryfork_bench.rig import make_rig
from celeryfork_bench.summary import RunSummary, deployment_bound, summarize
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

DEMO_S = 5.0
MEAN_TOKENS = 28
# Above what the engines can do, so that the throughput shows their limit.
OFFERED_SHARE = 1.2
PLAIN_CALLS_PER_S = 8.0
KILL_AT_S = 2.0
LEAVE_AT_S = 2.8
CHANGE_AT_S = 3.2
REPLACE_AT_S = 3.5
BUSY_FROM_S = 2.0
BUSY_UNTIL_S = 5.0


def run_demo(deployment: Deployment, seed: int) -> RunSummary:
    """Run the demo with progress lines and return what it came to."""
    _say(f"starting {deployment.name}: {len(deployment.entries)} entry instances")
    rig = make_rig(deployment, seed=seed)
    began_s = time.monotonic()
    try:
        rig.start()
        _say(f"ready after {time.monotonic() - began_s:.1f} s; the burst begins")
        field = make_field(rig, seed)
        field.run(make_arrivals(deployment, _options(deployment), seed), _events(field))
        _say(f"all answers are in after {field.ended_s - field.began_s:.1f} s")
        evidence = field.evidence()
    finally:
        rig.stop()
    return summarize(
        evidence.exchanges,
        check(evidence),
        deployment,
        field.began_s + BUSY_FROM_S,
        field.began_s + BUSY_UNTIL_S,
    )


def table(summary: RunSummary) -> list[tuple[str, str]]:
    """Return the rows of the demo's table."""
    first, gap = summary.first_token_s, summary.token_gap_s
    share = summary.tokens_per_second / summary.bound_tokens_per_second
    reasons = ", ".join(f"{name}: {n}" for name, n in sorted(summary.reasons.items()))
    return [
        ("asks", str(summary.asks)),
        ("answered whole", str(summary.answered_whole)),
        ("refused, not run", str(summary.refused)),
        ("in doubt", str(summary.in_doubt)),
        ("by outcome", reasons),
        ("doubled", str(summary.doubled)),
        ("lost", str(summary.lost)),
        ("untrue not_run", str(summary.untrue_not_run)),
        ("other broken promises", str(_others(summary))),
        ("first token p50 / p95", f"{first.p50:.3f} / {first.p95:.3f} s"),
        ("between tokens p50 / p95", f"{gap.p50:.3f} / {gap.p95:.3f} s"),
        ("tokens a second", f"{summary.tokens_per_second:.0f}"),
        ("bound", f"{summary.bound_tokens_per_second:.0f} ({share:.0%} reached)"),
    ]


def deployment_path(name: str) -> Path:
    """Return the file of a sample deployment by its name, or the path itself."""
    here = Path(name)
    if here.suffix == ".json":
        return here
    return Path("examples") / f"{name}.json"


def load_named(name: str) -> Deployment:
    """Return a sample deployment by its name or file."""
    return load_deployment(deployment_path(name))


def _options(deployment: Deployment) -> WorkloadOptions:
    offered = deployment_bound(deployment) * OFFERED_SHARE
    # Bursts triple the rate for a fifth of the time.
    mean_factor = 1.4
    return WorkloadOptions(
        seconds=DEMO_S,
        model_calls_per_s=offered / MEAN_TOKENS / mean_factor,
        plain_calls_per_s=PLAIN_CALLS_PER_S,
    )


def _events(field: Field) -> Sequence[Event]:
    engines = [engine.spec.id for engine in field.rig.engines.engines]
    entry = field.rig.deployment.entries[0].id
    organisation = next(
        record
        for record in field.rig.deployment.configuration
        if record.name.startswith("organisation/")
    )

    def kill(field: Field) -> None:
        _say(f"engine {engines[0]} is killed partway")
        field.rig.engines.kill(engines[0])

    def leave(field: Field) -> None:
        _say(f"engine {engines[1]} is leaving")
        field.leave_engine(engines[1])

    def change(field: Field) -> None:
        _say("an operator changes a limit")
        field.publish(organisation.name, dict(organisation.payload))

    def replace(field: Field) -> None:
        _say(f"entry instance {entry} is replaced")
        field.replace_entry(entry)

    return (
        Event(KILL_AT_S, "kill", kill),
        Event(LEAVE_AT_S, "leave", leave),
        Event(CHANGE_AT_S, "change", change),
        Event(REPLACE_AT_S, "replace", replace),
    )


def _others(summary: RunSummary) -> int:
    named = summary.doubled + summary.lost + summary.untrue_not_run
    return len(summary.violations) - named


def _say(line: str) -> None:
    print(f"  {line}", flush=True)
