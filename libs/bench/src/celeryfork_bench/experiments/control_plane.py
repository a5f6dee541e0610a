"""What control costs one entry instance, idle and busy.

All instances and stand-ins share a process here, so the processor time is that of the
instances' own control threads, and the bytes are those of their connections to peers
and to the platform, each divided by the number of instances. Threads and connections
that ended meanwhile are not counted.
"""

import os
import resource
import socket
import struct
import threading
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from celeryfork_bench.experiments.context import Context, Experiment
from celeryfork_bench.figures import Figure, at_most
from celeryfork_bench.rig import Rig
from celeryfork_bench.summary import deployment_bound
from celeryfork_bench.workload import WorkloadOptions, make_arrivals

MOST_PROCESSOR_PERCENT = 2.0
MOST_MEGABYTES = 256.0
MOST_BYTES_PER_S = 4096.0
CONTROL_THREADS = frozenset(
    {
        "admission-sweep",
        "capacity",
        "claims-append",
        "claims-follow",
        "config-carrier",
        "config-follower",
        "gossip",
        "leases",
        "metrics",
        "orders",
        "peer",
        "peer-server",
        "probe",
        "watch",
    }
)
# struct tcp_info of linux/tcp.h: tcpi_bytes_acked and tcpi_bytes_received.
TCP_INFO_BYTES = 136
BYTES_OFFSET = 120
OFFERED_SHARE = 0.4
MEAN_TOKENS = 28
MEAN_BURST_FACTOR = 1.4


def run(context: Context) -> Sequence[Figure]:
    """Return processor share, bytes a second and memory."""
    rig, seconds = context.rig, context.choose(2.0, 10.0)
    figures = []
    for name in ("idle", "busy"):
        cpu_s, sent_bytes, began_s = _cpu_s(rig), _bytes(rig), time.monotonic()
        if name == "idle":
            time.sleep(seconds)
        else:
            _load(context, seconds)
        passed_s = (time.monotonic() - began_s) * len(rig.daemons())
        percent = (_cpu_s(rig) - cpu_s) / passed_s * 100
        rate = (_bytes(rig) - sent_bytes) / passed_s
        figures += [
            context.figure(
                f"control, {name}, processor",
                percent,
                "% of a core",
                at_most(MOST_PROCESSOR_PERCENT),
            ),
            context.figure(
                f"control, {name}, peers and platform",
                rate,
                "bytes/s",
                at_most(MOST_BYTES_PER_S),
            ),
        ]
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    name = "control, peak memory of the whole process, stand-ins too"
    figures.append(context.figure(name, peak, "MB", at_most(MOST_MEGABYTES)))
    return figures


def _load(context: Context, seconds: float) -> None:
    offered = deployment_bound(context.deployment) * OFFERED_SHARE
    options = WorkloadOptions(
        seconds=seconds,
        model_calls_per_s=offered / MEAN_TOKENS / MEAN_BURST_FACTOR,
        plain_calls_per_s=20.0,
    )
    context.run(make_arrivals(context.deployment, options, context.seed))


def _cpu_s(_: Rig) -> float:
    total_s = 0.0
    for thread in threading.enumerate():
        if thread.name in CONTROL_THREADS and thread.ident is not None:
            with suppress(OSError):  # it has just ended
                clock = time.pthread_getcpuclockid(thread.ident)
                total_s += time.clock_gettime(clock)
    return total_s


def _bytes(rig: Rig) -> int:
    """Return the bytes of open control connections, both ways."""
    peer_ports = {_port(daemon.peer_address) for daemon in rig.daemons()}
    platform_port = _port(rig.platform.url)
    total = 0
    for entry in Path("/proc/self/fd").iterdir():
        with suppress(OSError):
            connection = socket.socket(fileno=os.dup(int(entry.name)))
            with connection:
                if connection.family != socket.AF_INET:
                    continue
                ours, theirs = connection.getsockname()[1], connection.getpeername()[1]
                if {ours, theirs} & peer_ports or theirs == platform_port:
                    info = connection.getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
                    )
                    total += sum(struct.unpack_from("QQ", info, BYTES_OFFSET))
    return total


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


CONTROL_PLANE = Experiment("control", run, each_deployment=False)
