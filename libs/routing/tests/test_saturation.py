"""Throughput of routers relative to the max-flow bound, simulated in virtual time.

Real routers of several instances, each with its own delayed load reports, run over the
bench's queueing model of engines. Each caller sends its next request when the last has
ended. Run as a program, it prints the tables of docs/notes/routing.md:
``python libs/routing/tests/test_saturation.py [seconds]``.
"""

import sys
from pathlib import Path

import pytest
from celeryfork_bench.experiments.queueing import POLICIES, QueueingRun
from celeryfork_standin.deployment import load_deployment

EXAMPLES = Path(__file__).parents[3] / "examples"
SLOW_ENGINES, SLOW_FACTOR = (0, 9, 21), 4.0


def make_run(name: str, policy: str, seed: int, slow: bool = False) -> QueueingRun:
    """Return a run over a sample deployment.

    With ``slow``, some engines are slower than the rate that they report.
    """
    deployment = load_deployment(EXAMPLES / f"{name}.json")
    ids = [spec.id for spec in deployment.engine_specs()]
    factors = {ids[number]: SLOW_FACTOR for number in SLOW_ENGINES if slow}
    return QueueingRun(deployment, policy, seed, factors)


@pytest.mark.slow
@pytest.mark.parametrize("name", ["wanjiru", "troskgille"])
def test_saturated_routers_come_near_the_bound_and_beat_the_baselines(
    name: str,
) -> None:
    reached = {p: make_run(name, p, seed=1).reached(600, 10, 10) for p in POLICIES}
    assert reached["router"] > 0.95
    assert reached["router"] == max(reached.values())


@pytest.mark.slow
@pytest.mark.parametrize("name", ["wanjiru", "troskgille"])
def test_saturated_routers_come_near_the_bound_with_slow_engines(name: str) -> None:
    assert make_run(name, "router", seed=1, slow=True).reached(600, 20, 10) > 0.88


def print_tables(seconds: float) -> None:
    for name in ("wanjiru", "troskgille"):
        for slow in (False, True):
            bound = make_run(name, "random", 1, slow).bound()
            speeds = "3 engines 4 times slower than reported" if slow else "as reported"
            print(
                f"{name}, {speeds}: bound {bound:.0f} tokens/s; "
                "reached shares of it with seeds 1, 2 and 3:"
            )
            for callers in (300, 600, 1200):
                for policy in POLICIES:
                    runs = [make_run(name, policy, seed, slow) for seed in (1, 2, 3)]
                    shares = [run.reached(callers, 20, seconds) for run in runs]
                    shown = " ".join(f"{share:.3f}" for share in shares)
                    print(f"  {callers:5} callers  {policy:16} {shown}", flush=True)


if __name__ == "__main__":
    print_tables(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
