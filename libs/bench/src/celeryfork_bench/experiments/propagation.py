"""Time until a change of configuration is in force on every instance."""

import contextlib
import threading
import time
from collections.abc import Iterator, Sequence

from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError
from celeryfork_platform.log import make_log_client

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.rig import Rig

MOST_S = 17.0
WAIT_S = 30.0
STORM_THREADS = 8
STORM_STREAM = "storm"
APPEND_TIMEOUT_S = 5.0


def run(context: Context) -> Sequence[Figure]:
    """Return the longest of some changes, with an idle log and in a storm."""
    changes = int(context.choose(3, 15))
    idle = max(_change(context.rig) for _ in range(changes))
    with _storm(context.rig):
        stormy = max(_change(context.rig) for _ in range(changes))
    return [
        context.figure(
            "configuration in force, idle, longest", idle, "s", at_most(MOST_S)
        ),
        context.figure(
            "configuration in force, append storm, longest",
            stormy,
            "s",
            at_most(MOST_S),
        ),
    ]


def _change(rig: Rig) -> float:
    """Publish an unchanged limit anew; return seconds until it is in force."""
    record = next(
        record
        for record in rig.deployment.configuration
        if record.name.startswith("organisation/")
    )
    began_s = time.monotonic()
    while True:
        with contextlib.suppress(CeleryforkError):
            offset = rig.publish([{"name": record.name, "payload": record.payload}])
            break
        if time.monotonic() - began_s > WAIT_S:
            return float("inf")
    rig.wait_in_force(offset, WAIT_S)
    return time.monotonic() - began_s


@contextlib.contextmanager
def _storm(rig: Rig) -> Iterator[None]:
    """Append to another stream of the log as fast as it takes records."""
    stopping = threading.Event()

    def append() -> None:
        log = make_log_client(rig.platform.url, SystemClock(), Counters())
        number = 0
        while not stopping.is_set():
            number += 1
            with contextlib.suppress(CeleryforkError):
                log.append(STORM_STREAM, "{}", f"{id(log)}-{number}", APPEND_TIMEOUT_S)

    threads = [
        threading.Thread(target=append, name="storm", daemon=True)
        for _ in range(STORM_THREADS)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopping.set()
        for thread in threads:
            thread.join(APPEND_TIMEOUT_S)


PROPAGATION = Experiment("propagation", run)
