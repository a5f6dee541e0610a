"""Latency that an entry instance adds to a plain call, one call at a time."""

import time
from collections.abc import Sequence
from statistics import median

from urllib3 import PoolManager

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure
from celeryfork_bench.workload import plain_kinds

BODY = b'{"number": 1}'
TIMEOUT_S = 10.0


def run(context: Context) -> Sequence[Figure]:
    """Return the difference of the medians, through an instance and straight."""
    rig = context.rig
    service, kind = next(
        (service, kind)
        for service, kind, idempotent in plain_kinds(context.deployment)
        if idempotent
    )
    target = next(t for t in rig.services.targets if t.spec.service == service)
    domain = target.spec.domain
    daemon = next(d for d in rig.daemons() if d.parts.settings.domain == domain)
    key = context.deployment.callers[0].key
    through = f"http://{daemon.http_address}/v1/services/{service}/{kind}"
    straight = f"http://{target.address}/{kind}"
    headers = {"Authorization": f"Bearer {key}"}
    times_s: dict[str, list[float]] = {through: [], straight: []}
    with PoolManager(timeout=TIMEOUT_S) as pool:
        for _ in range(int(context.choose(60, 300))):
            for url, taken_s in times_s.items():
                began_s = time.monotonic()
                pool.request("POST", url, body=BODY, headers=headers)
                taken_s.append(time.monotonic() - began_s)
    added_s = median(times_s[through]) - median(times_s[straight])
    return [context.figure("added latency of a hop, p50", added_s * 1000, "ms")]


HOP = Experiment("hop", run, each_deployment=False)
