"""Seconds until a request that crashes targets is known in its failure domain."""

import time
from collections.abc import Sequence

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.rig import Rig

MOST_S = 2.0
WAIT_S = 10.0
POLL_S = 0.002
CRASHES = 2


def run(context: Context) -> Sequence[Figure]:
    """Return the longest of some spreads, from the last crash seen by one instance."""
    count = int(context.choose(3, 10))
    longest_s = max(_spread_s(context.rig, number) for number in range(count))
    name = "poison, known everywhere in the failure domain, longest"
    return [context.figure(name, longest_s, "s", at_most(MOST_S))]


def _spread_s(rig: Rig, number: int) -> float:
    daemons = rig.daemons()
    domain = daemons[0].parts.settings.domain
    registries = [
        daemon.parts.gate.poison
        for daemon in daemons
        if daemon.parts.settings.domain == domain
    ]
    fingerprint = f"bench-{time.monotonic_ns()}-{number}"
    for crash in range(CRASHES):
        registries[0].record_crash(fingerprint, f"bench-target-{crash}")
    began_s = time.monotonic()
    while time.monotonic() - began_s < WAIT_S:
        if all(registry.crashes(fingerprint) >= CRASHES for registry in registries):
            return time.monotonic() - began_s
        time.sleep(POLL_S)
    return float("inf")


POISON = Experiment("poison", run, each_deployment=False)
